"""Cooperative scheduling: long work runs in short slices of the event loop, between those of requests."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import deque
from collections.abc import Callable, Iterator

GC_DISABLED_THRESHOLD = 2**30  # of the oldest generation: is never reached
MIN_PAUSE_S = 0.001  # between two slices: what came in meanwhile is read
Clock = Callable[[], float]


class CooperativeScheduler:
    """Runs generators round-robin, one step a slice."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock = time.thread_time) -> None:
        """Begin without work.

        Args:
            loop: runs the slices.
            clock: returns the processor time used, in seconds.
        """
        self.loop = loop
        self.clock = clock
        self.skips_pauses = True  # while nothing else needs the processor, as before the node serves
        self._work: deque[Iterator[None]] = deque()
        self._next_slice: asyncio.Handle | None = None
        self._is_running = False
        self._gc_thresholds = gc.get_threshold()

    def add(self, work: Iterator[None]) -> None:
        """Run the rest of `work` from the next slice on."""
        if not self._work:
            # A full collection would scan all of a growing list again and again.
            self._gc_thresholds = gc.get_threshold()
            gc.set_threshold(*self._gc_thresholds[:2], GC_DISABLED_THRESHOLD)
        self._work.append(work)
        if self._next_slice is None and not self._is_running:
            self._next_slice = self.loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._next_slice = None
        self._is_running = True
        begin = self.clock()
        try:
            next(self._work[0])
            self._work.rotate(-1)
        except BaseException as err:
            self._work.popleft()
            if not isinstance(err, StopIteration):
                raise
        finally:
            self._is_running = False
            # A pause as long as the slice leaves at least half of a core to requests.
            if not self._work:
                self._restore_gc()
            elif self.skips_pauses:
                self._next_slice = self.loop.call_soon(self._run_slice)
            else:
                pause = max(MIN_PAUSE_S, self.clock() - begin)
                self._next_slice = self.loop.call_later(pause, self._run_slice)

    def _restore_gc(self) -> None:
        gc.freeze()  # what is in a list stays, as what was loaded before the node served
        gc.set_threshold(*self._gc_thresholds)
