"""Cumulative request statistics of the process, and the reasons for closing backend connections."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class RequestOutcome(Enum):
    """Outcome of an accepted request for its client; the values are keys of `/stats`."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class CloseReason(Enum):
    """Why this side closes a backend connection; the values are suffixes of keys in the counts line."""

    PEER_CLOSED = "ended"  # The backend closed the connection, or it was never established.
    ABANDONED = "given_up"  # The attempt on the connection was cancelled or timed out.
    IDLE_TIMEOUT = "idle"
    EVICTED = "crowded"  # A new connection needed the descriptor of an idle one.
    ENDPOINT_REMOVED = "unlisted"  # The endpoint is draining, removed, in maintenance or has moved.
    NOT_REUSABLE = "unusable"


class RequestStatistics:
    """Counts since the start of the process; a class removed from the configuration keeps its counts.

    Each count is incremented in one place only, at the end of the request, attempt or reload that it counts.
    """

    def __init__(self) -> None:
        """Create statistics with all counts at zero."""
        self.outcomes: dict[RequestOutcome, Counter[str]] = {outcome: Counter() for outcome in RequestOutcome}
        self.attempts_sent = 0  # Number of attempts whose last byte has been sent.
        self.reloads = 0
        self.reload_errors = 0

    def record_outcome(self, outcome: RequestOutcome, class_name: str) -> None:
        """Count a request that has received its final response."""
        self.outcomes[outcome][class_name] += 1

    def table(self, class_names: list[str]) -> dict[str, object]:
        """Return the counts in the format of `GET /stats`, with zeros for classes without requests."""
        table: dict[str, object] = {
            outcome.value: dict.fromkeys(class_names, 0) | counts for outcome, counts in self.outcomes.items()
        }
        table["upstream_requests"] = self.attempts_sent
        table["config_reloads"] = self.reloads
        table["config_reload_errors"] = self.reload_errors
        return table
