"""Timeouts of attempts, adapted to the rate at which responses are lost."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import Attempt, Request

LOSSY_RATE_THRESHOLD = 0.05  # Responses are assumed to get lost if more than 5 % of attempts time out.
REDUCED_TIMEOUT_DEVIATIONS = 4  # A response 4 mean deviations later than expected counts as lost.
MIN_REDUCED_TIMEOUT_OBJECTIVE_FRACTION = 1 / 2
# Attempts time out two clock ticks early, so that a failure reaches the client in time.
TIMEOUT_MARGIN_TICKS = 2


@dataclass(slots=True, eq=False)
class AttemptTimeouts:
    """Tracks the rate of lost responses and sets the timeout of each attempt accordingly."""

    loss_rate: float = 0.0
    _clock_granularity_ms: float = field(default=0.0, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._clock_granularity_ms = settings.clock_granularity_ms

    def observe(self, is_timeout: bool) -> None:
        """Update the loss rate after an attempt ended."""
        self.loss_rate += EWMA_WEIGHT * (is_timeout - self.loss_rate)

    def set_timeout(self, request: Request, attempt: Attempt, now: float) -> float:
        """Return the timeout of an attempt in ms, 0 for none, and mark the attempt if the timeout is short.

        An attempt times out just before its response would become worthless. If responses get lost and a late
        response still has some worth, the timeout is reduced, so that a retry can respond in time.
        """
        statistics = request.statistics
        config = statistics.config
        tick_ms = self._clock_granularity_ms
        time_left_ms = request.useful_until - now
        timeout_ms = 0.0
        if request.useful_until < request.deadline:
            timeout_ms = max(tick_ms, time_left_ms - TIMEOUT_MARGIN_TICKS * tick_ms)
        reduced_timeout_ms = max(
            config.latency_objective_ms * MIN_REDUCED_TIMEOUT_OBJECTIVE_FRACTION,
            statistics.expected_ms + REDUCED_TIMEOUT_DEVIATIONS * statistics.deviation_ms,
        )
        if (
            self.loss_rate > LOSSY_RATE_THRESHOLD
            and config.late_weight_fraction > 0
            and config.idempotency is not api.Idempotency.NOT_IDEMPOTENT
            and reduced_timeout_ms + statistics.expected_ms < time_left_ms
        ):
            timeout_ms = reduced_timeout_ms
            attempt.has_reduced_timeout = True
        attempt.has_short_timeout = (timeout_ms or request.deadline - now) < reduced_timeout_ms
        return timeout_ms
