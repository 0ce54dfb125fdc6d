"""Limits what one node sends to warming endpoints while its whole tier recovers from a power loss.

When all endpoints warm up at once, the slow start rule for single warming endpoints rejects too much: half of
the requests at a time when nearly all could be served. During a recovery a token bucket limits the load
instead. It is filled with this node's share of the capacity of all warming endpoints, derived from the rate
that the tier carried when warm. While responses are in time, no other limit applies to an endpoint that is at
least as warm as the mean.
"""

from __future__ import annotations

from collections.abc import Sequence

from balancer import interface as api

USABLE_CAPACITY_FRACTION = 0.8  # Nodes use only 80 % of the load that overloads warming endpoints.
BURST_WINDOW_DIVISOR = 4  # The bucket holds the tokens of at most a quarter of the overload window.
MIN_BURST_ATTEMPTS = 2.0
FILL_INTERVAL_MS = 50.0  # Filling costs a pass over all endpoints, whose capacity grows slowly.
MIN_SUCCESS_RATE_TO_RELAX = 0.8
MS_PER_S = 1000


class RecoveryAdmission:
    """The token bucket of one node for attempts at warming endpoints.

    `progress` is the latest progress of the recovery. High-value requests may take up to `max_overdraft`
    tokens more than the bucket has.
    """

    def __init__(self, progress: api.RecoveryProgressed, now: float) -> None:
        """Create an empty bucket at the clock time `now`."""
        self.progress = progress
        self.filled_at = now
        self.tokens = 0.0
        self.max_overdraft = 0.0
        self.mean_warmth = 1.0

    def is_due(self, now: float) -> bool:
        """Return whether it is time to fill the bucket again."""
        return now - self.filled_at >= FILL_INTERVAL_MS

    def fill(self, now: float, warmth: Sequence[float], peak_count: int, settings: api.Settings) -> None:
        """Add the tokens for the time since the last filling.

        `warmth` has the available fraction of capacity, 0 to 1, of each endpoint that may get new requests;
        `peak_count` is the largest number of such endpoints so far.
        """
        self.mean_warmth = sum(warmth) / max(1, len(warmth))
        warming = sum(fraction for fraction in warmth if fraction < 1.0)
        tier_rate_per_ms = (
            settings.overload_multiple
            * warming
            / max(1, peak_count)
            * self.progress.tier_requests_per_s
            / MS_PER_S
        )
        own_rate_per_ms = USABLE_CAPACITY_FRACTION * self.progress.capacity_share * tier_rate_per_ms
        max_tokens = max(
            MIN_BURST_ATTEMPTS, own_rate_per_ms * settings.overload_window_ms / BURST_WINDOW_DIVISOR
        )
        self.tokens = min(max_tokens, self.tokens + own_rate_per_ms * (now - self.filled_at))
        self.filled_at = now
        self.max_overdraft = max_tokens / 2

    def allows(self, is_high_value: bool) -> bool:
        """Return whether one more request may be sent to a warming endpoint.

        There is no limit while the tier's rate is unknown. High-value requests may overdraw the bucket, so
        that they are the last to be rejected.
        """
        return self.progress.tier_requests_per_s <= 0 or self.tokens >= (
            -self.max_overdraft if is_high_value else 1.0
        )

    def spend(self) -> None:
        """Take a token for an attempt at a warming endpoint."""
        self.tokens -= 1.0

    def relaxed_probability(
        self, probability: float, sample_size: float, warmth: float, success_rate: float
    ) -> tuple[float, float]:
        """Return the admission probability and the effective sample size, relaxed by the success rate.

        An endpoint that is colder than the mean restarted later than the others and keeps its own
        probability.
        """
        if warmth < self.mean_warmth:
            return probability, sample_size
        relaxation = max(0.0, (success_rate - MIN_SUCCESS_RATE_TO_RELAX) / (1 - MIN_SUCCESS_RATE_TO_RELAX))
        return probability + (1 - probability) * relaxation, 1 + (sample_size - 1) * (1 - relaxation)
