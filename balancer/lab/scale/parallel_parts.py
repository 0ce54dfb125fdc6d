"""Runs parts of plays in parallel worker processes.

The parts are simulations whose counted figures depend only on the seed.

Each part measures the processor time of its own process. Plays that need an otherwise idle machine must not
run here.
"""

from __future__ import annotations

import ctypes
import multiprocessing
import os
import signal
import time
from collections.abc import Callable, Generator, Iterable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass
from functools import partial

from balancer.lab.processes import PR_SET_PDEATHSIG
from balancer.lab.scale.points import NotPlayed, Part, Point


@dataclass(slots=True, frozen=True)
class PartResult:
    """The results of one part, and its run time in its process."""

    part: Part
    items: Sequence[Point | NotPlayed]
    seconds: float


def default_workers() -> int:
    """Return half the number of available cores, which leaves the rest to other work."""
    return max(1, len(os.sched_getaffinity(0)) // 2)


def run_parts(
    parts: Sequence[Part], seed: int, workers: int, deadline: float, not_played: Callable[[str], NotPlayed]
) -> Generator[PartResult, None, None]:
    """Run parts in worker processes and yield each result as it arrives; the longest parts start first.

    At `deadline`, a time of the monotonic clock, the remaining processes are killed, and the result of each
    of their parts is what `not_played` returns for its name. An exception in a part is raised here.
    """
    earlier_children = set(multiprocessing.active_children())
    spawn = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, spawn, partial(_end_with_parent, os.getpid()))
    ordered = sorted(parts, key=lambda part: -part.estimated_s)
    running = {pool.submit(_run_part, part.run, seed): part for part in ordered}
    try:
        while running and (ended := wait(running, deadline - time.monotonic(), FIRST_COMPLETED).done):
            for future in ended:
                yield _result_of(running.pop(future), future)
        for part in running.values():
            yield PartResult(part, [not_played(part.name)], 0.0)
    finally:
        if running:
            for process in set(multiprocessing.active_children()) - earlier_children:
                process.kill()
        pool.shutdown(cancel_futures=True)


def _result_of(part: Part, future: Future[tuple[list[Point | NotPlayed], float]]) -> PartResult:
    try:
        return PartResult(part, *future.result())
    except BrokenProcessPool:  # A worker process died, for example because the machine ran out of memory.
        return PartResult(part, [NotPlayed(part.name, "a worker process of the pool was terminated")], 0.0)


def _run_part(
    run: Callable[[int], Iterable[Point | NotPlayed]], seed: int
) -> tuple[list[Point | NotPlayed], float]:
    begin = time.monotonic()
    return list(run(seed)), time.monotonic() - begin


def _end_with_parent(parent: int) -> None:
    """Have the kernel kill this worker when its parent ends, and ignore SIGINT, which the parent handles."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:  # The parent has already ended, so its death signal will never arrive.
        os._exit(1)
