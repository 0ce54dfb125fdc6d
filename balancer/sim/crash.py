"""Crash testing of the write-ahead log: a power cut at every disk call, and the crash states it may leave.

A workload appends numbered records, syncs some of them, and rotates the log. Power is cut at each of its disk
calls, and for each possible crash state of the disk the check requires that a new writer can read the
directory, take it over and append to it, that the records are a prefix of those written, and that no
acknowledged record is missing.
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
# The longest padding makes a record span two disk blocks.
PADDING_BYTES = (3, 40, 700)
MAX_VIOLATIONS = 5

MakeDirectory = Callable[[SimulatedDisk], Directory]


@dataclass
class CrashReport:
    """Number of power cuts and crash states that were checked, and the violations found."""

    cuts: int = 0
    states: int = 0
    violations: list[str] = field(default_factory=list)


@dataclass
class History:
    """Records that a workload wrote, in order, and how many of them were acknowledged.

    `written` includes the records of a call that did not return.
    """

    written: list[bytes] = field(default_factory=list)
    acknowledged_count: int = 0


def all_records(contents: DirectoryContents) -> list[bytes]:
    """Return the records of the snapshot, followed by those of the log."""
    snapshot_records = contents.snapshot.split(SEPARATOR) if contents.snapshot else []
    return snapshot_records + contents.records


def make_snapshot(contents: DirectoryContents) -> bytes:
    """Return a snapshot that contains all records of a directory."""
    return SEPARATOR.join(all_records(contents))


def run_workload(directory: Directory, seed: int, steps: int, history: History) -> None:
    """Append batches of records of random lengths, some of them synced, and rotate the log at random."""
    rng = random.Random(f"workload {seed}")
    writer = LogWriter(directory, NODE, DIRECTORY_ID, make_snapshot)
    history.acknowledged_count = len(history.written)
    for _ in range(steps):
        if rng.random() < ROTATION_PROBABILITY:
            writer.rotate(SEPARATOR.join(history.written))
            history.acknowledged_count = len(history.written)
        count = rng.randint(1, MAX_BATCH_RECORDS)
        sync = rng.random() < SYNC_PROBABILITY
        first = len(history.written)
        records = [b"%d:" % (first + index) + b"x" * rng.choice(PADDING_BYTES) for index in range(count)]
        history.written += records
        writer.append(records, sync)
        if sync:
            history.acknowledged_count = len(history.written)
    writer.close()


def find_violation(image: DiskImage, history: History, make_directory: MakeDirectory) -> str:
    """Return a description of what is wrong with a crash state; empty if nothing is."""
    try:
        records = all_records(read_directory(make_directory(SimulatedDisk(image)), NODE))
    except Exception as err:
        return f"the directory cannot be read: {type(err).__name__} {err}"
    if records != history.written[: len(records)]:
        return f"expected a prefix of the written records, but the last one is {records[-1][:20]!r}"
    if len(records) < history.acknowledged_count:
        return f"read {len(records)} records, fewer than the {history.acknowledged_count} acknowledged"
    disk = SimulatedDisk(image)
    try:
        writer = LogWriter(make_directory(disk), NODE, DIRECTORY_ID, make_snapshot)
        writer.append([b"after"], True)
        writer.close()
    except Exception as err:
        return f"a new writer cannot take over the directory: {type(err).__name__} {err}"
    reread = all_records(read_directory(make_directory(SimulatedDisk(disk.image())), NODE))
    if reread != [*records, b"after"]:
        return "a record appended after the crash does not follow the records read before it"
    return ""


def explore_power_cuts(
    seed: int,
    steps: int,
    images_per_cut: int,
    make_directory: MakeDirectory = SimulatedDirectory,
    max_violations: int = MAX_VIOLATIONS,
) -> CrashReport:
    """Cut power at each disk call of a workload, and check about `images_per_cut` crash states at most."""
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
