"""Crash testing of the write-ahead log: a power cut at every call, and every state of the disk it may leave.

A workload appends numbered records, some of them synced, and rotates generations in between. After a cut at
each of its calls, for each crash state: the directory can be read and taken over and goes on from where it
was; its records are a prefix of what was written, and all acknowledged ones are among them.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from balancer.durable.filesystem import Directory
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.writer import LogWriter
from balancer.sim.disk import DiskCall, DiskImage, PowerCutError, SimulatedDirectory, SimulatedDisk, no_fault

NODE = "n0"
DIRECTORY_ID = "0123456789abcdef"
SEPARATOR = b"\0"
ROTATION_PROBABILITY = 0.2
SYNC_PROBABILITY = 0.7
MAX_BATCH_RECORDS = 3
PADDING_BYTES = (3, 40, 700)  # the longest spans two blocks
MAX_VIOLATIONS = 5

MakeDirectory = Callable[[SimulatedDisk], Directory]


@dataclass
class CrashReport:
    """The extent of an exploration, and the violations that it found."""

    cuts: int = 0
    states: int = 0
    violations: list[str] = field(default_factory=list)


@dataclass
class History:
    """What a workload did before it ended."""

    written: list[bytes] = field(default_factory=list)  # in order, also those whose call did not return
    acknowledged: int = 0  # how many of them


def all_records(contents: DirectoryContents) -> list[bytes]:
    """Return all records, from the snapshot and the log."""
    older = contents.snapshot.split(SEPARATOR) if contents.snapshot else []
    return older + contents.records


def make_snapshot(contents: DirectoryContents) -> bytes:
    """Return a snapshot that lists all records."""
    return SEPARATOR.join(all_records(contents))


def run_workload(directory: Directory, seed: int, steps: int, history: History) -> None:
    """Append batches of records of various lengths, synced or not, and rotate now and then."""
    rng = random.Random(f"workload {seed}")
    writer = LogWriter(directory, NODE, DIRECTORY_ID, make_snapshot)
    history.acknowledged = len(history.written)
    for _ in range(steps):
        if rng.random() < ROTATION_PROBABILITY:
            writer.rotate(SEPARATOR.join(history.written))
            history.acknowledged = len(history.written)
        count = rng.randint(1, MAX_BATCH_RECORDS)
        sync = rng.random() < SYNC_PROBABILITY
        first = len(history.written)
        records = [b"%d:" % (first + index) + b"x" * rng.choice(PADDING_BYTES) for index in range(count)]
        history.written += records
        writer.append(records, sync)
        if sync:
            history.acknowledged = len(history.written)
    writer.close()


def find_violation(image: DiskImage, history: History, make_directory: MakeDirectory) -> str:
    """Return what is wrong with a crash state, or an empty string."""
    try:
        records = all_records(read_directory(make_directory(SimulatedDisk(image)), NODE))
    except Exception as err:
        return f"cannot be read: {type(err).__name__} {err}"
    if records != history.written[: len(records)]:
        return f"holds what was not written: {records[-1][:20]!r}"
    if len(records) < history.acknowledged:
        return f"holds {len(records)} records, {history.acknowledged} were acknowledged"
    disk = SimulatedDisk(image)
    try:
        writer = LogWriter(make_directory(disk), NODE, DIRECTORY_ID, make_snapshot)
        writer.append([b"after"], True)
        writer.close()
    except Exception as err:
        return f"cannot be taken over: {type(err).__name__} {err}"
    reread = all_records(read_directory(make_directory(SimulatedDisk(disk.image())), NODE))
    if reread != [*records, b"after"]:
        return "does not go on from where it was"
    return ""


def explore_power_cuts(
    seed: int,
    steps: int,
    images_per_cut: int,
    make_directory: MakeDirectory = SimulatedDirectory,
    max_violations: int = MAX_VIOLATIONS,
) -> CrashReport:
    """Cut the power at each call of a workload, and check up to about `images_per_cut` crash states each."""
    report = CrashReport()
    rng = random.Random(f"states {seed}")
    uncut = SimulatedDisk()
    run_workload(make_directory(uncut), seed, steps, History())
    for cut in range(1, uncut.call_count + 2):
        disk = SimulatedDisk()
        history = History()

        def cut_power(count: int, call: DiskCall, name: str, cut: int = cut) -> None:
            if count >= cut:
                raise PowerCutError

        disk.before_call = cut_power
        with contextlib.suppress(PowerCutError):
            run_workload(make_directory(disk), seed, steps, history)
        report.cuts += 1
        disk.before_call = no_fault
        for image in disk.crash_images(rng, images_per_cut):
            report.states += 1
            violation = find_violation(image, history, make_directory)
            if violation:
                report.violations.append(f"seed {seed}, call {cut}: {violation}")
                if len(report.violations) >= max_violations:
                    return report
    return report
