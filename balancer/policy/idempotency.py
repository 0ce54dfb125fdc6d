"""Rules for retries: to which endpoints and until when a request can be sent without taking effect twice."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy.records import Attempt, EndpointRecord, Request

DeduplicationDomain = str | int
"""A zone or a cell: the endpoints in it recognise a retry of a request that another one may have executed."""

CLOCK_ERROR_TICKS = 2


def deduplication_domain(request: Request, endpoint: EndpointRecord) -> DeduplicationDomain:
    """Return the zone or the cell of an endpoint, depending on which one shares the request's keys."""
    if request.statistics.config.deduplication_scope is api.DeduplicationScope.ZONE:
        return endpoint.entry.zone
    return endpoint.entry.cell


def required_domains(
    request: Request, now: float, clock_granularity_ms: float
) -> set[DeduplicationDomain] | None:
    """Return the domains that the endpoint of the next attempt must be in, or None if none may be made."""
    config = request.statistics.config
    domains = set[DeduplicationDomain]()
    for attempt in request.attempts:
        if attempt.status is None:  # Only one attempt of a request may be in flight.
            return None
        if attempt.status in api.NOT_EXECUTED or config.idempotency is api.Idempotency.IDEMPOTENT:
            continue
        if config.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            return None
        if now > _window_end(request, attempt, clock_granularity_ms):
            return None
        if config.deduplication_scope is not api.DeduplicationScope.ALL:
            domains.add(deduplication_domain(request, attempt.endpoint))
    return domains


def latest_start(request: Request, clock_granularity_ms: float) -> float:
    """Return the latest clock time at which the next attempt may be sent; 0 means no limit."""
    if request.statistics.config.idempotency is not api.Idempotency.WITH_KEY:
        return 0.0
    return min(
        (
            _window_end(request, attempt, clock_granularity_ms)
            for attempt in request.attempts
            if attempt.status not in api.NOT_EXECUTED
        ),
        default=0.0,
    )


def is_safe_to_retry(request: Request) -> bool:
    """Return whether the client may retry the request at any time and through any endpoint."""
    config = request.statistics.config
    return (
        config.idempotency is api.Idempotency.IDEMPOTENT
        or all(attempt.status in api.NOT_EXECUTED for attempt in request.attempts)
        or (
            config.idempotency is api.Idempotency.WITH_KEY
            and config.deduplication_scope is api.DeduplicationScope.ALL
        )
    )


def _window_end(request: Request, attempt: Attempt, clock_granularity_ms: float) -> float:
    """Return the earliest time at which endpoints may have forgotten the idempotency key of an attempt."""
    window_ms = request.statistics.config.deduplication_window_ms
    return attempt.sent_at + window_ms - CLOCK_ERROR_TICKS * clock_granularity_ms
