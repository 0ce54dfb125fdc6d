"""Broadcast filters of the endpoint list for peers that have no list from discovery yet."""

from __future__ import annotations

import math
import random

from balancer.recovery.messages import ListFilter

TIER_FILTERS_PER_S = 2.0  # all nodes of a tier together send 2 filters per second on average
MIN_TIER_FILTER_INTERVAL_MS = 5000.0


class FilterBroadcast:
    """Filter that this node can broadcast, and the time of the broadcast."""

    def __init__(self, generator: random.Random) -> None:
        """Create a broadcast without a filter."""
        self.own: ListFilter | None = None  # the filter is built from the list that discovery has sent
        self.next_at_ms = math.inf
        self._random = generator
        self._last_filter_of_tier_at_ms = -math.inf

    def plan(self, now: float, listed_count: int) -> None:
        """Schedule a filter for a peer without a list from discovery; `listed_count` nodes could send one."""
        if (
            self.own is None
            or self.next_at_ms < math.inf
            or now < self._last_filter_of_tier_at_ms + MIN_TIER_FILTER_INTERVAL_MS
        ):
            return
        self.next_at_ms = now + self._random.expovariate(TIER_FILTERS_PER_S / max(1, listed_count)) * 1000

    def received(self, list_filter: ListFilter, now: float) -> None:
        """Cancel this node's broadcast if a peer's filter is at least as new."""
        if self.own is not None and list_filter.revision >= self.own.revision:
            self.next_at_ms = math.inf
            self._last_filter_of_tier_at_ms = now

    def cancel(self) -> None:
        """Cancel the scheduled broadcast."""
        self.next_at_ms = math.inf

    def take(self, now: float) -> ListFilter | None:
        """Return the filter to send now, or None if no broadcast is due."""
        if now < self.next_at_ms:
            return None
        self.next_at_ms = math.inf
        self._last_filter_of_tier_at_ms = now
        return self.own
