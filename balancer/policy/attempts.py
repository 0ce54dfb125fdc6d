"""Starts and ends attempts; no other module sends a request to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.attempt_timeouts import AttemptTimeouts
from balancer.policy.charges import checks_health_before_sending
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_list import EndpointList
from balancer.policy.outbox import Outbox
from balancer.policy.records import Attempt, EndpointRecord, Request
from balancer.policy.request_table import RequestTable
from balancer.policy.slow_start import SlowStart


@dataclass(slots=True, eq=False)
class Attempts:
    """Starts attempts that the rules permit, and counts those in flight."""

    outbox: Outbox
    requests: RequestTable
    eligibility: Eligibility
    slow_start: SlowStart
    limit: ConcurrencyLimit
    timeouts: AttemptTimeouts
    endpoints: EndpointList
    _checks_health_first: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._checks_health_first = checks_health_before_sending(settings)

    def start(self, request: Request, endpoint: EndpointRecord, now: float) -> None:
        """Send a request to an endpoint, or give it up if a rule forbids the attempt."""
        if not self._is_allowed(request, endpoint, now):
            self.requests.give_up(request, api.GiveUpReason.TOO_LATE, now)
            return
        if self.slow_start.recovery is not None:
            self.slow_start.count_recovery_attempt(endpoint, now)
        latest_start = self.eligibility.latest_start(request)
        attempt = Attempt(endpoint, now, endpoint.estimate == 0 or not self._checks_health_first)
        request.attempts.append(attempt)
        request.in_flight += 1
        endpoint.estimate += 1
        if request.is_arriving:
            # The endpoint starts work once the body is complete; a slow client must not use up the limit.
            attempt.counts_in_flight = False
        else:
            endpoint.in_flight += 1
            self.limit.in_flight += 1
        timeout_ms = self.timeouts.set_timeout(request, attempt, now)
        self.outbox.actions.append(
            api.StartAttempt(request.id, endpoint.entry.backend, timeout_ms, latest_start)
        )

    def on_body_received(self, request: Request, now: float) -> None:
        """Count an attempt as in flight once the body of its request is complete."""
        if request.in_flight:
            attempt = request.attempts[-1]
            attempt.counts_in_flight = True
            attempt.sent_at = now
            attempt.endpoint.in_flight += 1
            self.limit.in_flight += 1

    def end(self, request: Request, attempt: Attempt, status: api.AttemptStatus) -> None:
        """Record the status of an ended attempt and stop counting it as in flight."""
        attempt.status = status
        request.in_flight -= 1
        if attempt.counts_in_flight:
            attempt.endpoint.in_flight -= 1
            self.limit.in_flight -= 1
            self.endpoints.forget(attempt.endpoint)

    def _is_allowed(self, request: Request, endpoint: EndpointRecord, now: float) -> bool:
        return (
            not request.is_closed
            and not request.is_streaming
            and self.eligibility.is_in_service(endpoint)
            and self.eligibility.permits_attempt(request, endpoint, now)
            and len(request.attempts) < request.max_attempts
            and (now < request.deadline or request.is_arriving)
        )
