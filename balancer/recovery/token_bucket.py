"""Rate limit of the datagrams of one protocol."""

from __future__ import annotations

ROUNDING_MARGIN_MS = 1e-6  # so that a whole token has been earned at the time that was promised


class TokenBucket:
    """Earns `rate` tokens a second, `burst` at most."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket; `now` is in ms."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    @property
    def available_at(self) -> float:
        """Time (ms) of the next whole token."""
        missing = max(0.0, 1.0 - self._tokens)
        return self._refilled_at + missing / self.rate * 1000 + ROUNDING_MARGIN_MS

    def refill(self, now: float) -> None:
        """Add what was earned by `now` (ms)."""
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) / 1000 * self.rate)
        self._refilled_at = now

    @property
    def has_token(self) -> bool:
        """Whether one may be taken."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take a token."""
        self._tokens -= 1.0
