"""Passes the outcome of each attempt to the components that learn from it."""

from __future__ import annotations

from dataclasses import dataclass

from balancer import interface as api
from balancer.policy.attempt_timeouts import AttemptTimeouts
from balancer.policy.class_table import ClassTable
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.load_shedding import LoadShedding
from balancer.policy.outlier_ejection import OutlierEjection
from balancer.policy.records import Attempt, ClassStatistics
from balancer.policy.selection import Selection
from balancer.policy.zone_routing import ZoneRouting

UNINFORMATIVE_STATUSES = frozenset({api.AttemptStatus.CANCELLED, api.AttemptStatus.NOT_STARTED})
LOAD_DEPENDENT_STATUSES = frozenset(
    {api.AttemptStatus.OK, api.AttemptStatus.REJECTED, api.AttemptStatus.TIMEOUT}
)
TIMED_STATUSES = frozenset({api.AttemptStatus.OK, api.AttemptStatus.TIMEOUT})


@dataclass(slots=True, eq=False)
class OutcomeLearning:
    """Updates the statistics of classes, endpoints and zones with the outcome of an attempt."""

    classes: ClassTable
    ejection: OutlierEjection
    limit: ConcurrencyLimit
    selection: Selection
    shedding: LoadShedding
    timeouts: AttemptTimeouts
    zones: ZoneRouting

    def learn(
        self,
        statistics: ClassStatistics,
        attempt: Attempt,
        status: api.AttemptStatus,
        duration_ms: float,
        now: float,
    ) -> None:
        """Update all statistics after an attempt of a request of this class ended."""
        if status in UNINFORMATIVE_STATUSES or (
            attempt.has_short_timeout and status is api.AttemptStatus.TIMEOUT
        ):
            return
        if attempt.reflects_load and status in LOAD_DEPENDENT_STATUSES:
            self._learn_load(statistics, attempt, status, duration_ms)
        endpoint = attempt.endpoint
        if status is api.AttemptStatus.OK:
            endpoint.consecutive_failures = 0
            if attempt.reflects_load:
                self.classes.observe_duration(statistics, duration_ms)
        elif status is api.AttemptStatus.REJECTED:
            self.ejection.avoid_busy(endpoint, now, statistics.expected_ms)
        else:
            self.ejection.eject(endpoint, now)
            if status is api.AttemptStatus.CONNECT_FAILED:
                endpoint.busy_until = endpoint.ejected_until
        if status in TIMED_STATUSES:
            self.limit.observe(statistics, endpoint, status, duration_ms)

    def _learn_load(
        self, statistics: ClassStatistics, attempt: Attempt, status: api.AttemptStatus, duration_ms: float
    ) -> None:
        endpoint = attempt.endpoint
        objective_ms = statistics.config.latency_objective_ms
        is_success = status is api.AttemptStatus.OK and duration_ms <= objective_ms
        self.timeouts.observe(status is api.AttemptStatus.TIMEOUT)
        is_load_independent = attempt.has_reduced_timeout or status is api.AttemptStatus.REJECTED
        self.shedding.observe(is_success, is_load_independent)
        relative_ms = (duration_ms if is_success else objective_ms) / statistics.expected_ms
        endpoint.slowness += EWMA_WEIGHT * (relative_ms - endpoint.slowness)
        self.selection.refresh_max_weight(endpoint)
        self.zones.observe(endpoint, is_success)
