"""Where and until when a request may be sent again without taking effect twice."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy.records import Attempt, EndpointRecord, Request

DeduplicationDomain = str | int
"""What bounds a retry: a zone, or a cell."""

CLOCK_ERROR_TICKS = 2


def deduplication_domain(request: Request, endpoint: EndpointRecord) -> DeduplicationDomain:
    """Return the zone or the cell of an endpoint, whichever shares the request's idempotency keys."""
    if request.statistics.config.deduplication_scope is api.DeduplicationScope.ZONE:
        return endpoint.entry.zone
    return endpoint.entry.cell


def required_domains(
    request: Request, now: float, clock_granularity_ms: float
) -> set[DeduplicationDomain] | None:
    """Return all domains that the next attempt has to be in, or None if no attempt may be made."""
    config = request.statistics.config
    domains = set[DeduplicationDomain]()
    for attempt in request.attempts:
        if attempt.status is None:  # one attempt is in flight at a time
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
    """Return the clock time until which the next attempt may leave; 0 means no limit."""
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


def is_safe_to_repeat(request: Request) -> bool:
    """Return whether a client may send the request again without any limit of time or domain."""
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
    """Return when endpoints may have forgotten the idempotency key of an attempt."""
    window_ms = request.statistics.config.deduplication_window_ms
    return attempt.sent_at + window_ms - CLOCK_ERROR_TICKS * clock_granularity_ms
