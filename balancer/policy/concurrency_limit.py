"""An adaptive limit of the node's concurrent attempts, controlled by response times."""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.minimum import MinimumTracker
from balancer.policy.records import ClassStatistics, EndpointRecord

TARGET_OBJECTIVE_FRACTION = 1 / 3  # The limit keeps response times at about a third of the latency objective.
LIMIT_GAIN = 0.015  # A small gain prevents oscillation, as all nodes react to overload in the same way.
MIN_LIMIT = 2.0  # The lowest limit is 2 attempts per endpoint of the node's share, but at least 2.
# The lowest response time drifts up by 0.5 % per response, as network routes change.
MIN_RESPONSE_DRIFT = 1.005
OVERLOAD_EWMA_WEIGHT = EWMA_WEIGHT / 2


class ConcurrencyLimit:
    """Adjusts the limit of concurrent attempts to the most overloaded request class.

    The overload of a class is the mean logarithm of response time over target. The network round trip is
    subtracted from response times: no limit shortens it, and with remote endpoints it alone would keep the
    limit at its minimum. The round trip is estimated per zone, because a node with little traffic has few
    responses from each endpoint, and none from a new one. The limit keeps endpoints from becoming so loaded
    that they turn slow, from which they take far longer to recover. It rises only while it restricts
    requests: nodes with little traffic would otherwise raise it and flood the endpoints in the next burst.
    """

    __slots__ = ("_classes", "_index", "_overloads", "in_flight", "limit", "min_limit")

    def __init__(self, index: EndpointIndex) -> None:
        """Start at the lowest limit."""
        self._index = index
        self.limit = MIN_LIMIT
        self.min_limit = MIN_LIMIT
        self.in_flight = 0

    def configure(self, classes: dict[str, ClassStatistics]) -> None:
        """Apply the request classes of new settings."""
        self._classes = classes
        self._overloads = MinimumTracker(self._heap_key)
        for name in classes:
            self._overloads.update(name)

    def resize(self, endpoint_count: int, node_count: int) -> None:
        """Set the lowest limit in proportion to the number of endpoints per node."""
        self.min_limit = MIN_LIMIT * max(1.0, endpoint_count / node_count)
        self.limit = max(self.limit, self.min_limit)

    @property
    def highest_overload(self) -> float:
        """Return the overload of the most overloaded class."""
        return -self._overloads.minimum()

    def observe(
        self,
        statistics: ClassStatistics,
        endpoint: EndpointRecord,
        status: api.AttemptStatus,
        duration_ms: float,
    ) -> None:
        """Adjust the limit after a response or a timeout, which counts as a response at the objective."""
        objective_ms = statistics.config.latency_objective_ms
        if status is api.AttemptStatus.OK:
            endpoint.min_response_ms = min(endpoint.min_response_ms * MIN_RESPONSE_DRIFT, duration_ms)
            self._index.mark_changed(endpoint)
            zone_min_ms = self._index.min_response_ms(endpoint.entry.zone)
            service_ms = duration_ms - min(endpoint.min_response_ms, zone_min_ms)
        else:
            service_ms = objective_ms
        target_ms = TARGET_OBJECTIVE_FRACTION * objective_ms
        # The ratio is bounded below so that one very fast response cannot outweigh many slow ones.
        ratio = max(service_ms, TARGET_OBJECTIVE_FRACTION * target_ms) / target_ms
        statistics.overload += OVERLOAD_EWMA_WEIGHT * (math.log(ratio) - statistics.overload)
        self._overloads.update(statistics.config.name)
        self._adjust()

    def refresh_overload(self, class_name: str) -> None:
        """Update the ranking of the classes after the overload of one was set directly."""
        self._overloads.update(class_name)

    def _adjust(self) -> None:
        excess = self.highest_overload
        if excess > 0 or self.in_flight >= self.limit - 1.0:
            self.limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
        self.limit = max(self.limit, self.min_limit)

    def _heap_key(self, class_name: str) -> float:
        """Return the negated overload of a class, so that the most overloaded class is the minimum."""
        statistics = self._classes.get(class_name)
        return -statistics.overload if statistics is not None else math.inf
