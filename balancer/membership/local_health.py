"""Lifeguard's local health: a node that seems slow itself gives its peers more time to answer."""

from __future__ import annotations

# At the maximum score probe timeouts are nine times as long as those of a healthy node.
MAX_SCORE = 8


class LocalHealth:
    """Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018); a score of 0 is healthy."""

    def __init__(self, is_enabled: bool) -> None:
        """Start healthy; the score stays 0 if local health is disabled."""
        self.score = 0
        self._is_enabled = is_enabled

    def adjust(self, by: int) -> None:
        """Add to the score: a positive value if this node seems slow, a negative one after a timely ack."""
        if self._is_enabled:
            self.score = max(0, min(MAX_SCORE, self.score + by))

    def scale(self, timeout_ms: float) -> float:
        """Return a timeout multiplied by the score plus 1."""
        return timeout_ms * (1 + self.score)
