"""An adaptive limit of the node's concurrent attempts, steered by response times."""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.minimum import MinimumTracker
from balancer.policy.records import ClassStatistics, EndpointRecord

TARGET_OBJECTIVE_FRACTION = 1 / 3  # of the tightest latency objective that responses are to take
LIMIT_GAIN = 0.015  # relative change per response and unit of error: small, as all nodes act alike
MIN_LIMIT = 2.0  # lowest and first limit, for each endpoint that falls to this node if that is over one
MIN_RESPONSE_DRIFT = 1.005  # growth of an endpoint's lowest duration with each response: routes change
OVERLOAD_EWMA_WEIGHT = EWMA_WEIGHT / 2


class ConcurrencyLimit:
    """Steers the limit by the most overloaded class.

    A class is the more overloaded the longer its responses take, in proportion to what the limit steers for.
    The network's part is left out: no limit shortens it, and with remote endpoints it alone would hold the
    limit at its lowest. It is that of the endpoint's zone, because a quiet node has few responses of each
    endpoint, and none of a new one. The limit keeps the endpoints from becoming so crowded that they turn
    slow, which takes far longer to undo. It rises only while it binds: quiet nodes whose limit floats up
    would flood the endpoints when a burst comes.
    """

    __slots__ = ("_classes", "_index", "_overloads", "in_flight", "limit", "min_limit")

    def __init__(self, index: EndpointIndex) -> None:
        """Start at the lowest limit."""
        self._index = index
        self.limit = MIN_LIMIT
        self.min_limit = MIN_LIMIT
        self.in_flight = 0  # own attempts

    def configure(self, classes: dict[str, ClassStatistics]) -> None:
        """Take the classes of new settings."""
        self._classes = classes
        self._overloads = MinimumTracker(self._heap_key)
        for name in classes:
            self._overloads.update(name)

    def resize(self, endpoint_count: int, node_count: int) -> None:
        """Set the lowest limit by how many endpoints fall to each node."""
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
        """Learn from a response, or from a timeout, which counts as a response at the objective."""
        objective_ms = statistics.config.latency_objective_ms
        if status is api.AttemptStatus.OK:
            endpoint.min_response_ms = min(endpoint.min_response_ms * MIN_RESPONSE_DRIFT, duration_ms)
            self._index.mark_changed(endpoint)
            zone_min_ms = self._index.min_response_ms(endpoint.entry.zone)
            served_ms = duration_ms - min(endpoint.min_response_ms, zone_min_ms)
        else:
            served_ms = objective_ms
        target_ms = TARGET_OBJECTIVE_FRACTION * objective_ms
        # A response at once weighs as much as one at the objective: a logarithm has no lower bound.
        ratio = max(served_ms, TARGET_OBJECTIVE_FRACTION * target_ms) / target_ms
        statistics.overload += OVERLOAD_EWMA_WEIGHT * (math.log(ratio) - statistics.overload)
        self._overloads.update(statistics.config.name)
        self._adjust()

    def refresh_overload(self, class_name: str) -> None:
        """Take note that the overload of a class was set from outside."""
        self._overloads.update(class_name)

    def _adjust(self) -> None:
        excess = self.highest_overload
        if excess > 0 or self.in_flight >= self.limit - 1.0:
            self.limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
        self.limit = max(self.limit, self.min_limit)

    def _heap_key(self, class_name: str) -> float:
        """Return the heap key of a class: the most overloaded class sorts first."""
        statistics = self._classes.get(class_name)
        return -statistics.overload if statistics is not None else math.inf
