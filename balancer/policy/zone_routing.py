"""Zone routing: decides how much traffic stays in the node's own zone and how much spills over to others."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.charges import is_cross_zone_costly
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import Candidates, EndpointRecord

SPILL_GAIN = 0.1  # A response moves the spill fraction by 0.1 times the advantage of other zones.
PROHIBITIVE_CHARGE = 1.0  # A charge of 1 makes a cross-zone request cost all that it earns.


@dataclass(slots=True, eq=False)
class ZoneRouting:
    """Compares the failure rates of local and remote endpoints, and spills traffic to the better ones.

    `spill_fraction` of the requests prefer remote endpoints.
    """

    spill_fraction: float = 0.0
    _local_failure_rate: float = field(default=0.0, init=False)
    _remote_failure_rate: float = field(default=0.0, init=False)
    _zone: str = field(default="", init=False)
    _is_priced: bool = field(default=False, init=False)
    _cross_zone_charge: float = field(default=0.0, init=False)

    def configure(self, settings: api.Settings) -> bool:
        """Apply new settings and return whether they change which endpoints are local."""
        previous = (self._zone, self._is_priced)
        self._zone = settings.zone
        self._is_priced = is_cross_zone_costly(settings)
        self._cross_zone_charge = settings.charges.cross_zone
        return previous != (self._zone, self._is_priced)

    def is_local(self, endpoint: EndpointRecord) -> bool:
        """Return whether sending to an endpoint costs no cross-zone charge, or only a negligible one."""
        return not self._is_priced or endpoint.entry.zone == self._zone

    def reset_spill(self, local_count: int, count: int) -> None:
        """Spread requests evenly over all endpoints, as long as the failure rates of zones are unknown."""
        self.spill_fraction = 1.0 - local_count / max(1, count)

    def observe(self, endpoint: EndpointRecord, is_success: bool) -> None:
        """Update failure rates and spill fraction, by the remote endpoints' advantage over their charge."""
        if self.is_local(endpoint):
            self._local_failure_rate += EWMA_WEIGHT * (1 - is_success - self._local_failure_rate)
        else:
            self._remote_failure_rate += EWMA_WEIGHT * (1 - is_success - self._remote_failure_rate)
        advantage = self._local_failure_rate - self._remote_failure_rate - self._cross_zone_charge
        self.spill_fraction = max(0.0, min(1.0, self.spill_fraction + SPILL_GAIN * advantage))

    def overflow_fraction(self, candidates: Candidates, has_remote: bool) -> float:
        """Return the fraction of the requests without a local endpoint that may go to other zones.

        It is the fraction of local candidates that are warming up, as after the loss of a whole zone. If
        local endpoints are overloaded or fail instead, other zones are not flooded with their load. The
        fraction is 0 if cross-zone traffic costs all that a request is worth.
        """
        if not has_remote or self._cross_zone_charge >= PROHIBITIVE_CHARGE or not candidates.endpoints:
            return 0.0
        return len(candidates.warming) / len(candidates.endpoints)
