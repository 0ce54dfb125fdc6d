"""What one node may give to warming endpoints while its whole tier recovers from a loss of power.

Where all endpoints are warming up at once, the rule for a single one among warm ones rejects far too much:
half of the requests at a time when nearly all could be served. Instead a token bucket bounds the work. It is
filled with this node's share of what all warming endpoints carry together, by the rate that the tier carried
when warm; and while responses come in time nothing else is withheld from an endpoint no colder than the
mean.
"""

from __future__ import annotations

from collections.abc import Sequence

from balancer import interface as api

USABLE_CAPACITY_FRACTION = 0.8  # of what warming endpoints take before they become overloaded
BURST_WINDOW_DIVISOR = 4  # the overload window is so many times what may be saved up
MIN_BURST_ATTEMPTS = 2.0
FILL_INTERVAL_MS = 50.0  # warmth moves slowly, and a filling looks at all endpoints
MIN_SUCCESS_RATE_TO_RELAX = 0.8
MS_PER_S = 1000


class RecoveryAdmission:
    """The token bucket of one node; `progress` is the latest progress of the recovery."""

    def __init__(self, progress: api.RecoveryProgressed, now: float) -> None:
        """Start with an empty bucket at the clock time `now`."""
        self.progress = progress
        self.filled_at = now
        self.tokens = 0.0  # attempts at warming endpoints
        self.max_overdraft = 0.0  # what valuable requests may overdraw
        self.mean_warmth = 1.0

    def is_due(self, now: float) -> bool:
        """Return whether the bucket is to be filled."""
        return now - self.filled_at >= FILL_INTERVAL_MS

    def fill(self, now: float, warmth: Sequence[float], largest_count: int, settings: api.Settings) -> None:
        """Fill the bucket for the time that has passed.

        `warmth` has the capacity fraction, 0 to 1, of each endpoint that may get new work; `largest_count` is
        the most that there ever were.
        """
        self.mean_warmth = sum(warmth) / max(1, len(warmth))
        warming = sum(one for one in warmth if one < 1.0)
        tier_rate_per_ms = (
            settings.overload_multiple
            * warming
            / max(1, largest_count)
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
        """Return whether a warming endpoint may be sent one more request.

        Nothing is bounded while nobody knows the tier's rate. The most valuable requests may use tokens that
        are yet to be filled in: they are the last to be rejected.
        """
        return self.progress.tier_requests_per_s <= 0 or self.tokens >= (
            -self.max_overdraft if is_high_value else 1.0
        )

    def spend(self) -> None:
        """Count an attempt at a warming endpoint."""
        self.tokens -= 1.0

    def relaxed_chance(
        self, chance: float, drawn: float, warmth: float, success_rate: float
    ) -> tuple[float, float]:
        """Return the chance of a warming endpoint, one of `drawn`, raised by how well attempts go.

        An endpoint colder than the mean keeps its own chance: it restarted later than the others.
        """
        if warmth < self.mean_warmth:
            return chance, drawn
        ease = max(0.0, (success_rate - MIN_SUCCESS_RATE_TO_RELAX) / (1 - MIN_SUCCESS_RATE_TO_RELAX))
        return chance + (1 - chance) * ease, 1 + (drawn - 1) * (1 - ease)
