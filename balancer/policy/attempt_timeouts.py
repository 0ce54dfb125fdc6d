"""How long an attempt is waited for, and the rate of responses that get lost."""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import Attempt, Request

LOSSY_RATE_THRESHOLD = 0.05  # of attempts without a response, from which responses are taken to get lost
REDUCED_TIMEOUT_DEVIATIONS = 4  # beyond the expected duration, after which a response is taken for lost
MIN_REDUCED_TIMEOUT_OBJECTIVE_FRACTION = 1 / 2  # but no sooner than this part of the objective
TIMEOUT_MARGIN_TICKS = 2  # so that a failure does not come late


@dataclass(slots=True, eq=False)
class AttemptTimeouts:
    """Learns the rate of lost responses and sets the timeout of each attempt by it."""

    loss_rate: float = 0.0
    _clock_granularity_ms: float = field(default=0.0, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._clock_granularity_ms = settings.clock_granularity_ms

    def observe(self, is_timeout: bool) -> None:
        """Learn from the end of an attempt."""
        self.loss_rate += EWMA_WEIGHT * (is_timeout - self.loss_rate)

    def set_timeout(self, request: Request, attempt: Attempt, now: float) -> float:
        """Return the timeout of an attempt in ms, 0 for none, and note on the attempt how tight it is.

        A response after the objective is worth nothing, so an attempt is given up just before. Where
        responses get lost, one that may come late is cut short and asked for again while it has worth.
        """
        statistics = request.statistics
        config = statistics.config
        tick_ms = self._clock_granularity_ms
        time_left_ms = request.useful_until - now
        timeout_ms = 0.0
        if request.useful_until < request.deadline:
            timeout_ms = max(tick_ms, time_left_ms - TIMEOUT_MARGIN_TICKS * tick_ms)
        cut_ms = max(
            config.latency_objective_ms * MIN_REDUCED_TIMEOUT_OBJECTIVE_FRACTION,
            statistics.expected_ms + REDUCED_TIMEOUT_DEVIATIONS * statistics.deviation_ms,
        )
        if (
            self.loss_rate > LOSSY_RATE_THRESHOLD
            and config.late_weight_fraction > 0
            and config.idempotency is not api.Idempotency.NOT_IDEMPOTENT
            and cut_ms + statistics.expected_ms < time_left_ms
        ):
            timeout_ms = cut_ms
            attempt.has_reduced_timeout = True
        attempt.has_short_timeout = (timeout_ms or request.deadline - now) < cut_ms
        return timeout_ms
