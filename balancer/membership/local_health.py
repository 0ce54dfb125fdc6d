"""Lifeguard's local health: a node that may itself be slow gives its peers more time."""

from __future__ import annotations

MAX_SCORE = 8  # probe timeouts then are nine times as long


class LocalHealth:
    """The local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018)."""

    def __init__(self, is_enabled: bool) -> None:
        """Start healthy; where it is not enabled, stay so."""
        self.score = 0  # 0 is healthy
        self._is_enabled = is_enabled

    def adjust(self, by: int) -> None:
        """Raise the score for signs of a slow node, lower it for a timely ack."""
        if self._is_enabled:
            self.score = max(0, min(MAX_SCORE, self.score + by))

    def scale(self, timeout_ms: float) -> float:
        """Return a timeout multiplied according to the score."""
        return timeout_ms * (1 + self.score)
