"""Warm start: hands the learned state of a node's process over to its successor."""

from __future__ import annotations

import math
from dataclasses import dataclass

from balancer import interface as api
from balancer.policy.attempt_timeouts import AttemptTimeouts
from balancer.policy.class_table import ClassTable, bounded_expected_ms
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.load_shedding import LoadShedding
from balancer.policy.maintenance import Maintenance
from balancer.policy.slow_start import SlowStart

HALF = 0.5


@dataclass(slots=True, eq=False)
class WarmStart:
    """Exports and restores the learned state of the other components; load estimates are not handed over."""

    index: EndpointIndex
    classes: ClassTable
    limit: ConcurrencyLimit
    shedding: LoadShedding
    timeouts: AttemptTimeouts
    maintenance: Maintenance
    slow_start: SlowStart

    def export(self, now: float) -> api.LearnedState:
        """Return the learned state for a successor, as of the clock time `now`."""
        classes = {
            name: (s.expected_ms, s.deviation_ms, s.overload) for name, s in self.classes.by_name.items()
        }
        backends = {}
        for endpoint in [self.index.records[name] for name in self.index.maybe_observed]:
            entry = endpoint.entry
            is_known = endpoint.consecutive_failures or endpoint.min_response_ms < math.inf
            if entry.phase is not api.EndpointPhase.REMOVED and is_known:
                backends[entry.backend] = (
                    entry.started_at,
                    endpoint.slowness,
                    endpoint.min_response_ms,
                    endpoint.consecutive_failures,
                    max(0.0, endpoint.ejected_until - now),
                )
        return api.LearnedState(
            self.limit.limit, self.shedding.success_rate, self.timeouts.loss_rate, classes, backends
        )

    def restore(self, learned: api.LearnedState, age_ms: float, now: float) -> None:
        """Restore a predecessor's learned state, whose weight halves with each slow start time of age."""
        weight = HALF ** (age_ms / self.slow_start.ramp_ms)
        limit = self.limit
        limit.limit = max(limit.limit, limit.min_limit + weight * (learned.limit - limit.min_limit))
        self.shedding.success_rate = 1.0 - weight * (1.0 - learned.trust)
        self.timeouts.loss_rate = weight * learned.lost
        self._restore_classes(learned, weight)
        self._restore_endpoints(learned, age_ms, weight, now)

    def _restore_classes(self, learned: api.LearnedState, weight: float) -> None:
        for name, (expected_ms, deviation_ms, overload) in learned.classes.items():
            statistics = self.classes.by_name.get(name)
            if statistics is None:
                continue
            blended_ms = statistics.expected_ms + weight * (expected_ms - statistics.expected_ms)
            statistics.expected_ms = bounded_expected_ms(statistics.config, blended_ms)
            statistics.deviation_ms = weight * deviation_ms
            statistics.overload += weight * (overload - statistics.overload)
            self.limit.refresh_overload(name)
        self.classes.refresh_mean()

    def _restore_endpoints(self, learned: api.LearnedState, age_ms: float, weight: float, now: float) -> None:
        """Restore the state of endpoints that neither restarted nor had a ban lifted since it was saved."""
        for name, (started_at, slowness, min_response_ms, failures, ejected_ms) in learned.backends.items():
            endpoint = self.index.records.get(name)
            if endpoint is None or endpoint.entry.started_at > started_at:
                continue
            if name in self.maintenance.returned_at or weight == 0.0:
                continue
            endpoint.slowness = 1.0 + weight * (slowness - 1.0)
            endpoint.min_response_ms = min_response_ms / weight
            if ejected_ms > age_ms:
                endpoint.consecutive_failures = failures
                endpoint.ejected_until = now + ejected_ms - age_ms
                endpoint.unavailable_since = now
            self.index.mark_changed(endpoint)
