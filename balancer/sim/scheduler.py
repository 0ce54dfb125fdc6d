"""Discrete-event scheduler for simulations in virtual time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable


class EventScheduler:
    """A virtual clock in ms; events due at the same time run in the order in which they were scheduled."""

    def __init__(self, now: float) -> None:
        """Set the clock to `now`, with an empty event queue."""
        self.now = now
        self._scheduled = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def next_event(self) -> float:
        """The time of the next event; infinity if none is scheduled."""
        return self._queue[0][0] if self._queue else math.inf

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time; one in the past runs at the current time."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(when, self.now), self._scheduled, callback))

    def run(self, until: float) -> None:
        """Run all events that are due by `until`, and set the clock to that time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = until
