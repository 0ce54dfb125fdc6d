"""Stateless model checking of two log writers on one directory: the interleavings of their disk calls.

The production writer is run from the start for each schedule. Where both writers have a call to make, both
orders are tried, depth first, up to a bound on preemptions. After every schedule each acknowledged record
must be in the log, and no record twice.

Source: CHESS (Musuvathi et al. 2008), including the bound on preemptions.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from balancer.durable.reader import read_directory
from balancer.durable.writer import FencedError, LogWriter
from balancer.sim.crash import DIRECTORY_ID, NODE, SEPARATOR, MakeDirectory, all_records, make_snapshot
from balancer.sim.disk import DiskCall, SimulatedDirectory, SimulatedDisk, no_fault

MAX_VIOLATIONS = 3
INITIAL_RECORD = b"before"

Behaviour = Callable[["WriterProcess"], None]


class WriterProcess:
    """A writer process on its own thread, which makes a disk call only when it is scheduled."""

    def __init__(
        self, disk: SimulatedDisk, writer: LogWriter, behaviour: Behaviour, make_directory: MakeDirectory
    ) -> None:
        """Create a process that has `writer` open; `start` runs its behaviour."""
        self.writer = writer
        self.acknowledged: list[bytes] = []
        self.error: BaseException | None = None
        self.has_ended = False
        self._directory = make_directory(disk)
        self._behaviour = behaviour
        self._may_run = threading.Semaphore(0)
        self._has_stopped = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Run the process up to its first disk call."""
        self._thread.start()
        self._has_stopped.acquire()

    def step(self) -> None:
        """Let the process make one disk call, and run it up to the next one."""
        self._may_run.release()
        self._has_stopped.acquire()

    def wait_for_turn(self) -> None:
        """Block before a disk call until the process is scheduled."""
        self._has_stopped.release()
        self._may_run.acquire()

    def take_over(self) -> None:
        """Open a new writer on the directory, which takes it over from the current one."""
        self.writer = LogWriter(self._directory, NODE, DIRECTORY_ID, make_snapshot)

    def append(self, record: bytes) -> None:
        """Append and sync a record, which counts as acknowledged once the call returns."""
        self.writer.append([record], True)
        self.acknowledged.append(record)

    def _run(self) -> None:
        try:
            self._behaviour(self)
        except (FencedError, BlockingIOError):
            pass
        except BaseException as err:
            self.error = err
        self.has_ended = True
        self._has_stopped.release()


@dataclass
class InterleavingReport:
    """Number of schedules that were run, the longest one's disk calls, and the violations found.

    `is_exhaustive` is true if every schedule within the bound on preemptions was run.
    """

    schedules: int = 0
    max_calls: int = 0
    is_exhaustive: bool = True
    violations: list[str] = field(default_factory=list)


@dataclass
class ScheduleRun:
    """A schedule that was run: the process of each call, the runnable ones at each call, any violation."""

    turns: list[int] = field(default_factory=list)
    runnable: list[list[int]] = field(default_factory=list)
    violation: str = ""

    def preemptions(self, turns: Sequence[int]) -> int:
        """Return how often `turns` switches away from a process that was still runnable."""
        steps = zip(turns, turns[1:], self.runnable[1:], strict=False)
        return sum(before != after and before in runnable for before, after, runnable in steps)


def run_schedule(
    behaviours: Sequence[Behaviour], prefix: Sequence[int], make_directory: MakeDirectory
) -> ScheduleRun:
    """Run a schedule: first the turns of `prefix`, then the rest without preemptions."""
    disk = SimulatedDisk()
    first = LogWriter(SimulatedDirectory(disk), NODE, DIRECTORY_ID, make_snapshot)
    first.append([INITIAL_RECORD], True)
    processes = [WriterProcess(disk, first, behaviour, make_directory) for behaviour in behaviours]
    scheduled: list[WriterProcess] = []

    def wait(count: int, call: DiskCall, name: str) -> None:
        scheduled[-1].wait_for_turn()

    disk.before_call = wait
    for process in processes:
        scheduled.append(process)
        process.start()
    run = ScheduleRun()
    turns = run.turns
    while runnable := [index for index, process in enumerate(processes) if not process.has_ended]:
        if len(turns) < len(prefix):
            chosen = prefix[len(turns)]
        else:
            chosen = turns[-1] if turns and turns[-1] in runnable else runnable[0]
        run.runnable.append(runnable)
        turns.append(chosen)
        scheduled.append(processes[chosen])
        processes[chosen].step()
    disk.before_call = no_fault
    run.violation = _find_violation(disk, processes)
    return run


def _find_violation(disk: SimulatedDisk, processes: Sequence[WriterProcess]) -> str:
    for process in processes:
        if process.error is not None:
            return f"{type(process.error).__name__}: {process.error}"
    records = all_records(read_directory(SimulatedDirectory(disk), NODE))
    acknowledged = [record for process in processes for record in process.acknowledged]
    missing = [record for record in acknowledged if record not in records]
    if missing or INITIAL_RECORD not in records:
        return f"acknowledged {missing} are missing from the log, which holds {records}"
    if len(set(records)) < len(records):
        return f"expected each record once, the log holds {records}"
    return ""


def explore_interleavings(
    behaviours: Sequence[Behaviour],
    max_preemptions: int,
    max_schedules: int,
    make_directory: MakeDirectory = SimulatedDirectory,
) -> InterleavingReport:
    """Run every schedule with up to `max_preemptions` preemptions, but at most `max_schedules`."""
    report = InterleavingReport()
    prefixes = [[index] for index in range(len(behaviours))]
    while prefixes:
        if report.schedules >= max_schedules:
            report.is_exhaustive = False
            break
        prefix = prefixes.pop()
        run = run_schedule(behaviours, prefix, make_directory)
        report.schedules += 1
        report.max_calls = max(report.max_calls, len(run.turns))
        if run.violation:
            report.violations.append(f"turns {''.join(map(str, run.turns))}: {run.violation}")
            if len(report.violations) >= MAX_VIOLATIONS:
                break
        prefixes += _alternatives(run, len(prefix), max_preemptions)
    return report


def _alternatives(run: ScheduleRun, begin: int, max_preemptions: int) -> list[list[int]]:
    """Return the prefixes that differ from a schedule in the last turn, at turn `begin` or later."""
    alternatives = []
    for index in range(begin, len(run.turns)):
        for other in run.runnable[index]:
            turns = [*run.turns[:index], other]
            if other != run.turns[index] and run.preemptions(turns) <= max_preemptions:
                alternatives.append(turns)
    return alternatives


def run_predecessor(process: WriterProcess) -> None:
    """Append records as the current writer, and rotate the log between them."""
    # The successor may remove the predecessor's draft file; the failed call is then not acknowledged.
    with contextlib.suppress(OSError):
        process.append(b"old 1")
        process.writer.rotate(SEPARATOR.join([INITIAL_RECORD, b"old 1"]))
        process.append(b"old 2")


def run_successor(process: WriterProcess) -> None:
    """Take over the directory as a new writer, and append one record."""
    process.take_over()
    process.append(b"new")
