"""Timers on the protocol's own clock."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable

MAX_TIMERS = 4096


class TimerQueue:
    """Callbacks by their due time; those due at the same time run in the order of scheduling."""

    def __init__(self, now_ms: float, counts: Counter[str]) -> None:
        """Start the clock at `now_ms`; `counts` gets the number of timers dropped for want of space."""
        self.now_ms = now_ms
        self._counts = counts
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._heap)

    @property
    def next_due_ms(self) -> float:
        """When the next timer is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def advance(self, now_ms: float) -> None:
        """Set the clock; it never goes back."""
        self.now_ms = max(self.now_ms, now_ms)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback, or drop it where too many are pending."""
        if len(self._heap) >= MAX_TIMERS:
            self._counts["timers_dropped"] += 1
            return
        self._scheduled += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._scheduled, callback))

    def run_due(self) -> None:
        """Run all callbacks that are due, those included that others schedule for now."""
        while self._heap and self._heap[0][0] <= self.now_ms:
            _, _, callback = heapq.heappop(self._heap)
            callback()
