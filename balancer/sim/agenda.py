"""Virtual time: what is planned, in the order in which it is due."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Agenda:
    """A world's clock, ms. What is due at the same time happens in the order in which it was planned."""

    def __init__(self, now: float) -> None:
        self.now, self.planned = now, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Plan something, now at the soonest."""
        self.planned += 1
        heapq.heappush(self.queue, (max(when, self.now), self.planned, call))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until
