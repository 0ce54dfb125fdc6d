"""Run parts of plays in parallel worker processes: simulations whose counted figures depend on a seed alone.

Each part has the processor time of its own process; plays that measure an idle machine do not belong here.
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
    """A part and its results."""

    part: Part
    items: Sequence[Point | NotPlayed]
    seconds: float  # that it took in its process


def default_workers() -> int:
    """Return half of the cores: the rest is for other work."""
    return max(1, len(os.sched_getaffinity(0)) // 2)


def played(
    parts: Sequence[Part], seed: int, workers: int, until: float, not_played: Callable[[str], NotPlayed]
) -> Generator[PartResult, None, None]:
    """Yield each part as it ends; the costliest begin first.

    At `until`, a time of the monotonic clock, processes that have not ended are killed, and `left` tells of
    their parts. Raises what a part raises.
    """
    others = set(multiprocessing.active_children())
    spawn = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, spawn, partial(_end_with_parent, os.getpid()))
    ordered = sorted(parts, key=lambda part: -part.cost)
    running = {pool.submit(_play, part.run, seed): part for part in ordered}
    try:
        while running and (ended := wait(running, until - time.monotonic(), FIRST_COMPLETED).done):
            for future in ended:
                yield _done(running.pop(future), future)
        for part in running.values():
            yield PartResult(part, [not_played(part.name)], 0.0)
    finally:
        if running:
            for process in set(multiprocessing.active_children()) - others:
                process.kill()
        pool.shutdown(cancel_futures=True)


def _done(part: Part, future: Future[tuple[list[Point | NotPlayed], float]]) -> PartResult:
    try:
        return PartResult(part, *future.result())
    except BrokenProcessPool:  # for want of memory, perhaps
        return PartResult(part, [NotPlayed(part.name, "its process, or one beside it, was ended")], 0.0)


def _play(
    run: Callable[[int], Iterable[Point | NotPlayed]], seed: int
) -> tuple[list[Point | NotPlayed], float]:
    begin = time.monotonic()
    return list(run(seed)), time.monotonic() - begin


def _end_with_parent(parent: int) -> None:
    """End with the parent, however it ends; leave interrupts to it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:  # it died in between
        os._exit(1)
