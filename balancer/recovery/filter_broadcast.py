"""Filters of the endpoint list that go to peers which discovery has not sent one."""

from __future__ import annotations

import math
import random

from balancer.recovery.messages import ListFilter

FILTERS_PER_S = 2.0  # of all nodes together
FILTER_INTERVAL_MS = 5000.0  # between two filters of one tier


class FilterBroadcast:
    """The filter that this node could send, and when it does."""

    def __init__(self, generator: random.Random) -> None:
        """Create a broadcast without a filter."""
        self.own: ListFilter | None = None  # of a list that discovery has sent to this node
        self.next_at = math.inf  # ms
        self._random = generator
        self._sent_at = -math.inf  # by any node of the tier

    def plan(self, now: float, listed_count: int) -> None:
        """Plan a filter for a peer that serves from its saved list; `listed_count` nodes could send one."""
        if self.own is None or self.next_at < math.inf or now < self._sent_at + FILTER_INTERVAL_MS:
            return
        self.next_at = now + self._random.expovariate(FILTERS_PER_S / max(1, listed_count)) * 1000

    def received(self, list_filter: ListFilter, now: float) -> None:
        """Drop the own filter's transmission, if a peer's filter is as new."""
        if self.own is not None and list_filter.revision >= self.own.revision:
            self.next_at = math.inf
            self._sent_at = now

    def cancel(self) -> None:
        """Send none."""
        self.next_at = math.inf

    def take(self, now: float) -> ListFilter | None:
        """Return the filter to be sent now; None if none is due."""
        if now < self.next_at:
            return None
        self.next_at = math.inf
        self._sent_at = now
        return self.own
