"""The open requests, and the final answer of those that are given up."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy import idempotency
from balancer.policy.outbox import OperatorLog, Outbox
from balancer.policy.records import Request
from balancer.policy.slow_start import SlowStart

RETRY_AFTER_FACTORS = (1.0, 2.0)  # of the expected duration: Retry-After of a rejected client
RETRY_AFTER_FACTORS_IN_RECOVERY = (1.0, 12.0)  # when many more clients come back


@dataclass(slots=True, eq=False)
class RequestTable:
    """Requests by id, from arrival to the end of the last attempt."""

    rng: random.Random
    outbox: Outbox
    log: OperatorLog
    slow_start: SlowStart
    by_id: dict[str, Request] = field(default_factory=dict, init=False)
    given_up: Counter[api.GiveUpReason] = field(default_factory=Counter, init=False)  # since it was last read
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._settings = settings

    def give_up(self, request: Request, reason: api.GiveUpReason, now: float) -> None:
        """Answer a request without a response: reject it if a retry does no harm, else fail it."""
        if request.is_closed or request.is_streaming:
            return
        self.given_up[reason] += 1
        if idempotency.is_safe_to_repeat(request):
            action: api.Action = api.RejectRequest(request.id, self._retry_after_ms(request), reason)
        else:
            action = api.FailRequest(request.id, reason)
        self.outbox.actions.append(action)
        self.log.note_rejection(now)
        self.close(request)

    def close(self, request: Request) -> None:
        """Send nothing more for a request, and cancel an attempt that is in flight."""
        request.is_closed = True
        request.pending_checks = set()
        if request.in_flight and self._settings.cancellation_allowed and not request.is_streaming:
            self.outbox.actions.append(api.CancelAttempt(request.id, len(request.attempts) - 1))
        if not request.in_flight:
            self.by_id.pop(request.id, None)

    def _retry_after_ms(self, request: Request) -> float:
        """Return a drawn wait, so that rejected clients do not come back in step."""
        max_wait_ms = self._settings.max_retry_after_ms
        if max_wait_ms <= 0:
            return max_wait_ms
        is_recovering = self.slow_start.recovery is not None
        factors = RETRY_AFTER_FACTORS_IN_RECOVERY if is_recovering else RETRY_AFTER_FACTORS
        return min(max_wait_ms, request.statistics.expected_ms * self.rng.uniform(*factors))
