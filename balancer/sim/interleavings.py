"""Model checking of two writers on one directory: every order in which their calls to the disk can fall.

Stateless model checking of the writer itself: each schedule is played from the start; where both writers have
a call to make, both orders are tried, depth first, up to a bound on preemptions. In every schedule an
acknowledged record is there at the end, and no record is there twice.

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
    """One process on a thread of its own, which makes a call to the disk only when it is scheduled."""

    def __init__(
        self, disk: SimulatedDisk, writer: LogWriter, behaviour: Behaviour, make_directory: MakeDirectory
    ) -> None:
        """Create a process that has `writer` open and has not been started."""
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
        """Run up to the first call."""
        self._thread.start()
        self._has_stopped.acquire()

    def step(self) -> None:
        """Make one call, and run up to the next one."""
        self._may_run.release()
        self._has_stopped.acquire()

    def wait_for_turn(self) -> None:
        """Stop before a call until the process is scheduled."""
        self._has_stopped.release()
        self._may_run.acquire()

    def take_over(self) -> None:
        """Open a writer of its own."""
        self.writer = LogWriter(self._directory, NODE, DIRECTORY_ID, make_snapshot)

    def append(self, record: bytes) -> None:
        """Append a record, which is acknowledged once the call returns."""
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
    """The extent of an exploration, and the violations that it found."""

    schedules: int = 0
    max_calls: int = 0  # of one schedule
    is_exhaustive: bool = True  # every schedule within the bound on preemptions was played
    violations: list[str] = field(default_factory=list)


@dataclass
class PlayedSchedule:
    """One schedule: who made each call, who could have, and what is wrong with the outcome."""

    turns: list[int] = field(default_factory=list)
    runnable: list[list[int]] = field(default_factory=list)
    violation: str = ""

    def preemptions(self, turns: Sequence[int]) -> int:
        """Return how often `turns`, with the same choices, switches away from a process that could go on."""
        steps = zip(turns, turns[1:], self.runnable[1:], strict=False)
        return sum(before != after and before in runnable for before, after, runnable in steps)


def play_schedule(
    behaviours: Sequence[Behaviour], prefix: Sequence[int], make_directory: MakeDirectory
) -> PlayedSchedule:
    """Play one schedule: the turns of `prefix`, then without preemptions."""
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
    played = PlayedSchedule()
    turns = played.turns
    while runnable := [index for index, process in enumerate(processes) if not process.has_ended]:
        if len(turns) < len(prefix):
            chosen = prefix[len(turns)]
        else:
            chosen = turns[-1] if turns and turns[-1] in runnable else runnable[0]
        played.runnable.append(runnable)
        turns.append(chosen)
        scheduled.append(processes[chosen])
        processes[chosen].step()
    disk.before_call = no_fault
    played.violation = _find_violation(disk, processes)
    return played


def _find_violation(disk: SimulatedDisk, processes: Sequence[WriterProcess]) -> str:
    for process in processes:
        if process.error is not None:
            return f"{type(process.error).__name__}: {process.error}"
    records = all_records(read_directory(SimulatedDirectory(disk), NODE))
    acknowledged = [record for process in processes for record in process.acknowledged]
    missing = [record for record in acknowledged if record not in records]
    if missing or INITIAL_RECORD not in records:
        return f"acknowledged {missing}, holds {records}"
    if len(set(records)) < len(records):
        return f"holds a record twice: {records}"
    return ""


def explore_interleavings(
    behaviours: Sequence[Behaviour],
    max_preemptions: int,
    max_schedules: int,
    make_directory: MakeDirectory = SimulatedDirectory,
) -> InterleavingReport:
    """Play every schedule with up to `max_preemptions`, but no more than `max_schedules`."""
    report = InterleavingReport()
    prefixes = [[index] for index in range(len(behaviours))]
    while prefixes:
        if report.schedules >= max_schedules:
            report.is_exhaustive = False
            break
        prefix = prefixes.pop()
        played = play_schedule(behaviours, prefix, make_directory)
        report.schedules += 1
        report.max_calls = max(report.max_calls, len(played.turns))
        if played.violation:
            report.violations.append(f"turns {''.join(map(str, played.turns))}: {played.violation}")
            if len(report.violations) >= MAX_VIOLATIONS:
                break
        prefixes += _alternatives(played, len(prefix), max_preemptions)
    return report


def _alternatives(played: PlayedSchedule, begin: int, max_preemptions: int) -> list[list[int]]:
    """Return the prefixes that differ from a schedule in one choice from turn `begin` on."""
    alternatives = []
    for index in range(begin, len(played.turns)):
        for other in played.runnable[index]:
            turns = [*played.turns[:index], other]
            if other != played.turns[index] and played.preemptions(turns) <= max_preemptions:
                alternatives.append(turns)
    return alternatives


def run_predecessor(process: WriterProcess) -> None:
    """Go on acknowledging records as the current writer, and rotate in between."""
    with contextlib.suppress(OSError):  # the successor may remove its draft: that call is not acknowledged
        process.append(b"old 1")
        process.writer.rotate(SEPARATOR.join([INITIAL_RECORD, b"old 1"]))
        process.append(b"old 2")


def run_successor(process: WriterProcess) -> None:
    """Take over and append one record."""
    process.take_over()
    process.append(b"new")
