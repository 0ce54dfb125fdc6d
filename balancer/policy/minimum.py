"""The minimum of many values that change one at a time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

STALE_ENTRIES_ALLOWED = 64  # in addition to twice the number of current ones


class MinimumTracker:
    """A heap of named values whose stale entries are dropped as they surface."""

    def __init__(self, current: Callable[[str], float]) -> None:
        """Use `current` to read the value that a name has now; infinite: it does not count."""
        self.current = current
        self.heap: list[tuple[float, str]] = []
        self.max_size = STALE_ENTRIES_ALLOWED

    def update(self, name: str) -> None:
        """Take note that the value of this name has changed, or counts again."""
        if (value := self.current(name)) < math.inf:
            heapq.heappush(self.heap, (value, name))
            if len(self.heap) > self.max_size:
                self._compact()

    def minimum(self) -> float:
        """Return the minimum, infinite where no value counts."""
        while self.heap and self.current(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def _compact(self) -> None:
        names = {name for value, name in self.heap if self.current(name) == value}
        self.heap = [(self.current(name), name) for name in names]
        heapq.heapify(self.heap)
        self.max_size = STALE_ENTRIES_ALLOWED + 2 * len(names)
