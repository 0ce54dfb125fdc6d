"""Timer queue on the clock of the membership protocol."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

MAX_TIMERS = 4096


class Timer(NamedTuple):
    """A pending callback; timers are ordered by due time, then by the order of scheduling."""

    due_ms: float
    number: int
    callback: Callable[[], None]
    is_essential: bool


class TimerQueue:
    """Queue of callbacks; those due at the same time run in the order of scheduling."""

    def __init__(self, now_ms: float, counts: Counter[str]) -> None:
        """Start the clock at `now_ms`; timers dropped from a full queue are counted in `counts`."""
        self.now_ms = now_ms
        self._counts = counts
        self._heap: list[Timer] = []
        self._scheduled = 0

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._heap)

    @property
    def next_due_ms(self) -> float:
        """Due time of the next timer, or infinity if there is none."""
        return self._heap[0].due_ms if self._heap else math.inf

    def advance(self, now_ms: float) -> None:
        """Advance the clock to `now_ms`; an earlier time is ignored."""
        self.now_ms = max(self.now_ms, now_ms)

    def call_later(self, delay_ms: float, callback: Callable[[], None], is_essential: bool = False) -> None:
        """Schedule a callback, or drop it if `MAX_TIMERS` are pending.

        An essential callback, which reschedules itself, is never dropped: it replaces the non-essential timer
        with the latest due time.
        """
        if len(self._heap) >= MAX_TIMERS:
            self._counts["timers_dropped"] += 1
            if not is_essential:
                return
            self._drop_latest()
        self._scheduled += 1
        timer = Timer(self.now_ms + delay_ms, self._scheduled, callback, is_essential)
        heapq.heappush(self._heap, timer)

    def _drop_latest(self) -> None:
        ordinary = [timer for timer in self._heap if not timer.is_essential]
        if ordinary:
            self._heap.remove(max(ordinary))
            heapq.heapify(self._heap)

    def run_due(self) -> None:
        """Run all due callbacks, including those that a callback schedules for the current time."""
        while self._heap and self._heap[0].due_ms <= self.now_ms:
            heapq.heappop(self._heap).callback()
