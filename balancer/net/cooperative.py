"""Run long tasks in short slices of the event loop, so that requests are served in between."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import deque
from collections.abc import Callable, Iterator

# A threshold that is never reached, which disables collections of the oldest generation.
GC_DISABLED_THRESHOLD = 2**30
MIN_PAUSE_S = 0.001  # The pause between two slices lets the event loop read its sockets.
Clock = Callable[[], float]


class CooperativeScheduler:
    """Runs generators round-robin, one step of one generator in each slice of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock = time.thread_time) -> None:
        """Create a scheduler without tasks.

        Args:
            loop: Runs the slices.
            clock: Returns the CPU time used by this thread, in seconds.
        """
        self.loop = loop
        self.clock = clock
        # Before the node serves nothing else needs the CPU, so slices run without pauses.
        self.skips_pauses = True
        self._tasks: deque[Iterator[None]] = deque()
        self._next_slice: asyncio.Handle | None = None
        self._is_running = False
        self._gc_thresholds = gc.get_threshold()

    def add(self, task: Iterator[None]) -> None:
        """Run `task` to its end, from the next slice on."""
        if not self._tasks:
            # Full collections would repeatedly scan a list that is still growing.
            self._gc_thresholds = gc.get_threshold()
            gc.set_threshold(*self._gc_thresholds[:2], GC_DISABLED_THRESHOLD)
        self._tasks.append(task)
        if self._next_slice is None and not self._is_running:
            self._next_slice = self.loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._next_slice = None
        self._is_running = True
        started_at = self.clock()
        try:
            next(self._tasks[0])
            self._tasks.rotate(-1)
        except BaseException as err:
            self._tasks.popleft()
            if not isinstance(err, StopIteration):
                raise
        finally:
            self._is_running = False
            # A pause as long as the slice leaves requests at least half of the core.
            if not self._tasks:
                self._restore_gc()
            elif self.skips_pauses:
                self._next_slice = self.loop.call_soon(self._run_slice)
            else:
                pause = max(MIN_PAUSE_S, self.clock() - started_at)
                self._next_slice = self.loop.call_later(pause, self._run_slice)

    def _restore_gc(self) -> None:
        # The entries of an applied list live as long as the list, so the collector need not scan them.
        gc.freeze()
        gc.set_threshold(*self._gc_thresholds)
