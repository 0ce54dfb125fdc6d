"""Virtual time: a discrete-event scheduler."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable


class EventScheduler:
    """A virtual clock in ms; events due at the same time happen in the order in which they were scheduled."""

    def __init__(self, now: float) -> None:
        """Start the clock at `now` without events."""
        self.now = now
        self._scheduled = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def next_event(self) -> float:
        """When the next event is due; infinity if there is none."""
        return self._queue[0][0] if self._queue else math.inf

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule an event, now at the earliest."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(when, self.now), self._scheduled, callback))

    def run(self, until: float) -> None:
        """Run all events due up to a time and set the clock to it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = until
