"""How much traffic stays in the node's own zone, and how much spills to others."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.charges import is_cross_zone_costly
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import Candidates, EndpointRecord

SPILL_GAIN = 0.1  # change of the spilled fraction per response and unit of the difference in failure rates
PROHIBITIVE_CHARGE = 1.0  # the way to another zone costs all that a request earns


@dataclass(slots=True, eq=False)
class ZoneRouting:
    """Compares failure rates of local and remote endpoints, and spills what others serve better."""

    spill_fraction: float = 0.0  # of the requests that go to remote endpoints first
    _local_failure_rate: float = field(default=0.0, init=False)
    _remote_failure_rate: float = field(default=0.0, init=False)
    _zone: str = field(default="", init=False)
    _is_priced: bool = field(default=False, init=False)
    _cross_zone_charge: float = field(default=0.0, init=False)

    def configure(self, settings: api.Settings) -> bool:
        """Take new settings and return whether they change which endpoints are local."""
        former = (self._zone, self._is_priced)
        self._zone = settings.zone
        self._is_priced = is_cross_zone_costly(settings)
        self._cross_zone_charge = settings.charges.cross_zone
        return former != (self._zone, self._is_priced)

    def is_local(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint is reached without a price that counts."""
        return not self._is_priced or endpoint.entry.zone == self._zone

    def reset_spill(self, local_count: int, count: int) -> None:
        """Spread requests evenly over all endpoints, while nothing is known of how zones serve."""
        self.spill_fraction = 1.0 - local_count / max(1, count)

    def observe(self, endpoint: EndpointRecord, is_good: bool) -> None:
        """Learn from a response: spill more the more remote endpoints are better by than their price."""
        if self.is_local(endpoint):
            self._local_failure_rate += EWMA_WEIGHT * (1 - is_good - self._local_failure_rate)
        else:
            self._remote_failure_rate += EWMA_WEIGHT * (1 - is_good - self._remote_failure_rate)
        advantage = self._local_failure_rate - self._remote_failure_rate - self._cross_zone_charge
        self.spill_fraction = max(0.0, min(1.0, self.spill_fraction + SPILL_GAIN * advantage))

    def overflow_fraction(self, candidates: Candidates, has_remote: bool) -> float:
        """Return the part of requests without a local endpoint that other zones are to take.

        It is the part of the local candidates that is warming up, as after the loss of a whole zone. Where
        local ones are crowded or fail, other zones are not flooded; nothing goes that would earn less than
        its way costs.
        """
        if not has_remote or self._cross_zone_charge >= PROHIBITIVE_CHARGE or not candidates.endpoints:
            return 0.0
        return len(candidates.warming) / len(candidates.endpoints)
