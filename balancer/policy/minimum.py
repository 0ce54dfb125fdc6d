"""Tracks the minimum of many named values that change one at a time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

STALE_ENTRIES_ALLOWED = 64  # Compaction removes stale entries beyond 64 plus one per current entry.


class MinimumTracker:
    """A heap of named values that drops a stale entry when it becomes the minimum."""

    def __init__(self, current: Callable[[str], float]) -> None:
        """Create an empty heap; `current` returns the present value of a name, infinity if it has none."""
        self.current = current
        self.heap: list[tuple[float, str]] = []
        self.max_size = STALE_ENTRIES_ALLOWED

    def update(self, name: str) -> None:
        """Record that the value of a name changed or that the name has a value again."""
        if (value := self.current(name)) < math.inf:
            heapq.heappush(self.heap, (value, name))
            if len(self.heap) > self.max_size:
                self._compact()

    def minimum(self) -> float:
        """Return the minimum, or infinity if no name has a value."""
        while self.heap and self.current(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def _compact(self) -> None:
        names = {name for value, name in self.heap if self.current(name) == value}
        self.heap = [(self.current(name), name) for name in names]
        heapq.heapify(self.heap)
        self.max_size = STALE_ENTRIES_ALLOWED + 2 * len(names)
