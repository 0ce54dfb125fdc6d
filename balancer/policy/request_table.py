"""The open requests, and the final response to those that are given up."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy import idempotency
from balancer.policy.outbox import OperatorLog, Outbox
from balancer.policy.records import Request
from balancer.policy.slow_start import SlowStart

RETRY_AFTER_FACTORS = (1.0, 2.0)  # Retry-After is drawn between these multiples of the expected duration.
RETRY_AFTER_FACTORS_IN_RECOVERY = (1.0, 12.0)  # The range is wider as many more clients retry in a recovery.


@dataclass(slots=True, eq=False)
class RequestTable:
    """The requests by id, from arrival to the end of the last attempt.

    `given_up` counts the requests that were given up, by reason, until a reader clears it.
    """

    rng: random.Random
    outbox: Outbox
    log: OperatorLog
    slow_start: SlowStart
    by_id: dict[str, Request] = field(default_factory=dict, init=False)
    given_up: Counter[api.GiveUpReason] = field(default_factory=Counter, init=False)
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def give_up(self, request: Request, reason: api.GiveUpReason, now: float) -> None:
        """Give up a request: reject it if the client can safely retry it, otherwise fail it."""
        if request.is_closed or request.is_streaming:
            return
        self.given_up[reason] += 1
        if idempotency.is_safe_to_retry(request):
            action: api.Action = api.RejectRequest(request.id, self._retry_after_ms(request), reason)
        else:
            action = api.FailRequest(request.id, reason)
        self.outbox.actions.append(action)
        self.log.count_rejection(now)
        self.close(request)

    def close(self, request: Request) -> None:
        """Close a request, so that no attempt follows, and cancel an attempt that is in flight."""
        request.is_closed = True
        request.pending_checks = set()
        if request.in_flight and self._settings.cancellation_allowed and not request.is_streaming:
            self.outbox.actions.append(api.CancelAttempt(request.id, len(request.attempts) - 1))
        if not request.in_flight:
            self.by_id.pop(request.id, None)

    def _retry_after_ms(self, request: Request) -> float:
        """Return a random delay, so that rejected clients do not all retry at the same time."""
        max_wait_ms = self._settings.max_retry_after_ms
        if max_wait_ms <= 0:
            return max_wait_ms
        is_recovering = self.slow_start.recovery is not None
        factors = RETRY_AFTER_FACTORS_IN_RECOVERY if is_recovering else RETRY_AFTER_FACTORS
        return min(max_wait_ms, request.statistics.expected_ms * self.rng.uniform(*factors))
