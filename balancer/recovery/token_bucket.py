"""Token bucket that limits the datagram rate of one protocol."""

from __future__ import annotations

ROUNDING_MARGIN_MS = 1e-6  # the margin ensures a whole token at `available_at` despite rounding


class TokenBucket:
    """Bucket that gains `rate` tokens per second and holds at most `burst` tokens."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket; `now` is in ms."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    @property
    def available_at(self) -> float:
        """Time (ms) at which the next whole token is available."""
        missing = max(0.0, 1.0 - self._tokens)
        return self._refilled_at + missing / self.rate * 1000 + ROUNDING_MARGIN_MS

    def refill(self, now: float) -> None:
        """Add the tokens gained until `now` (ms)."""
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) / 1000 * self.rate)
        self._refilled_at = now

    @property
    def has_token(self) -> bool:
        """Whether a whole token is available."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Remove one token from the bucket."""
        self._tokens -= 1.0
