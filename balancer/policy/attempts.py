"""Starts and ends of attempts: the one place where a request is sent."""

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
    """Starts attempts within all rules, and counts those in flight."""

    outbox: Outbox
    requests: RequestTable
    eligibility: Eligibility
    slow_start: SlowStart
    limit: ConcurrencyLimit
    timeouts: AttemptTimeouts
    endpoints: EndpointList
    _checks_first: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._checks_first = checks_health_before_sending(settings)

    def start(self, request: Request, endpoint: EndpointRecord, now: float) -> None:
        """Send a request to an endpoint, or give it up where a rule forbids that."""
        if not self._is_allowed(request, endpoint, now):
            self.requests.give_up(request, api.GiveUpReason.TOO_LATE, now)
            return
        if self.slow_start.recovery is not None:
            self.slow_start.count_recovery_attempt(endpoint, now)
        latest_start = self.eligibility.latest_start(request)
        attempt = Attempt(endpoint, now, endpoint.estimate == 0 or not self._checks_first)
        request.attempts.append(attempt)
        request.in_flight += 1
        endpoint.estimate += 1
        if request.is_arriving:  # a slow client takes no capacity from others: the endpoint has yet to begin
            attempt.counts_in_flight = False
        else:
            endpoint.in_flight += 1
            self.limit.in_flight += 1
        timeout_ms = self.timeouts.set_timeout(request, attempt, now)
        self.outbox.actions.append(
            api.StartAttempt(request.id, endpoint.entry.backend, timeout_ms, latest_start)
        )

    def on_body_received(self, request: Request, now: float) -> None:
        """Count the attempt in flight of a request whose body is complete now."""
        if request.in_flight:
            attempt = request.attempts[-1]
            attempt.counts_in_flight = True
            attempt.sent_at = now
            attempt.endpoint.in_flight += 1
            self.limit.in_flight += 1

    def end(self, request: Request, attempt: Attempt, status: api.AttemptStatus) -> None:
        """Count an attempt as ended."""
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
