"""Decides whether a request may go to an endpoint: phase, bans, ejection, load and idempotency."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import idempotency
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.join_up_to_m import IsEligible
from balancer.policy.maintenance import Maintenance
from balancer.policy.records import EndpointRecord, Request

NO_DOMAINS: frozenset[idempotency.DeduplicationDomain] = frozenset()


class Eligibility:
    """Checks endpoints against the list, bans, observed faults and a request's earlier attempts."""

    __slots__ = ("_banned", "_clock_granularity_ms", "_index")

    def __init__(self, index: EndpointIndex, maintenance: Maintenance) -> None:
        """Check the endpoints of `index` against the bans of `maintenance`."""
        self._index = index
        self._banned = maintenance.banned
        self._clock_granularity_ms = 0.0

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._clock_granularity_ms = settings.clock_granularity_ms

    def is_in_service(self, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint is listed as in service and is not banned."""
        entry = endpoint.entry
        return entry.phase is api.EndpointPhase.IN_SERVICE and entry.backend not in self._banned

    def required_domains(self, request: Request, now: float) -> set[idempotency.DeduplicationDomain] | None:
        """Return the deduplication domains that bind the next attempt, or None if none may be made."""
        return idempotency.required_domains(request, now, self._clock_granularity_ms)

    def permits_attempt(self, request: Request, endpoint: EndpointRecord, now: float) -> bool:
        """Return whether an attempt at an endpoint cannot make the request take effect twice."""
        if not request.attempts:
            return True
        domains = self.required_domains(request, now)
        return domains is not None and all(
            domain == idempotency.deduplication_domain(request, endpoint) for domain in domains
        )

    def permits_retry(self, request: Request, now: float) -> bool:
        """Return whether the next attempt may go to any endpoint in service."""
        domains = self.required_domains(request, now)
        if domains is None or len(domains) > 1:
            return False
        if not domains:
            return len(self._index.order) > 0
        scope = request.statistics.config.deduplication_scope
        present = self._index.zones if scope is api.DeduplicationScope.ZONE else self._index.cells
        return all(domain in present for domain in domains)

    def latest_start(self, request: Request) -> float:
        """Return the latest clock time at which the next attempt may be sent; 0 means no limit."""
        if not request.attempts:
            return 0.0
        return idempotency.latest_start(request, self._clock_granularity_ms)

    def filter_for(
        self, request: Request, now: float, max_in_flight: float, ignore_ejection: bool = False
    ) -> IsEligible:
        """Return a predicate that tells whether a warm endpoint may receive this request.

        It excludes endpoints with more than `max_in_flight` attempts of this node.
        """
        checked = request.checked
        domains = self.required_domains(request, now) if request.attempts else NO_DOMAINS
        if domains is None:
            return _reject

        def is_eligible(endpoint: EndpointRecord) -> bool:
            return (
                endpoint.in_flight <= max_in_flight
                and endpoint.busy_until <= now
                and (ignore_ejection or endpoint.ejected_until <= now)
                and endpoint not in checked
            )

        if not domains:
            return is_eligible
        return lambda endpoint: (
            is_eligible(endpoint)
            and all(domain == idempotency.deduplication_domain(request, endpoint) for domain in domains)
        )


def _reject(endpoint: EndpointRecord) -> bool:
    """Exclude every endpoint."""
    return False
