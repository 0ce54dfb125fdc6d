"""Outlier ejection: endpoints that fail or are full get no requests for some time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.records import EndpointRecord

MAX_CONSECUTIVE_FAILURES = 5  # The ejection time doubles with each consecutive failure up to the fifth.
MIN_UNAVAILABLE_MS = 500.0  # Ejections under 500 ms end before an operator could see them in statistics.
JITTER = (0.5, 1.5)


@dataclass(slots=True, eq=False)
class OutlierEjection:
    """Ejects endpoints with exponential backoff and jitter."""

    rng: random.Random
    index: EndpointIndex
    longest_objective_ms: float = field(default=0.0, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.longest_objective_ms = max(c.latency_objective_ms for c in settings.classes)

    def eject(self, endpoint: EndpointRecord, now: float) -> None:
        """Eject an endpoint after a failure, for a time that doubles with each consecutive one."""
        _mark_unavailable(endpoint, now)
        endpoint.consecutive_failures = min(endpoint.consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES)
        backoff_ms = self.longest_objective_ms * 2 ** (endpoint.consecutive_failures - 1)
        endpoint.ejected_until = now + backoff_ms * self.rng.uniform(*JITTER)
        self.index.mark_changed(endpoint)

    def avoid_busy(self, endpoint: EndpointRecord, now: float, expected_ms: float) -> None:
        """Avoid an endpoint that rejected a request, for about the expected duration of a response."""
        _mark_unavailable(endpoint, now)
        endpoint.busy_until = now + expected_ms * self.rng.uniform(*JITTER)
        self.index.mark_changed(endpoint)

    def avoid_stalled(self, endpoint: EndpointRecord, now: float, expected_ms: float) -> None:
        """Avoid an endpoint that has not answered a health check in time, without counting a failure."""
        until = now + expected_ms * self.rng.uniform(*JITTER)
        endpoint.ejected_until = max(endpoint.ejected_until, until)
        self.index.mark_changed(endpoint)

    def count_unavailable(self, now: float) -> int:
        """Return how many listed endpoints get no requests at present, or only in a panic."""
        index = self.index
        avoided = sum(
            now - endpoint.unavailable_since >= MIN_UNAVAILABLE_MS for endpoint in index.iter_avoided(now)
        )
        return index.listed_count - len(index.order) + avoided


def _mark_unavailable(endpoint: EndpointRecord, now: float) -> None:
    if max(endpoint.busy_until, endpoint.ejected_until) <= now:
        endpoint.unavailable_since = now
