"""Cumulative statistics of the process, by request class, and the reasons for which connections close."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class RequestOutcome(Enum):
    """How a request that the node accepted has ended for its client; the values are keys of `/stats`."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class CloseReason(Enum):
    """Why this side closes a connection to a backend; the values are part of the keys of the counts line."""

    PEER_CLOSED = "ended"  # or it was never established
    ABANDONED = "given_up"  # its attempt was cancelled or timed out
    IDLE_TIMEOUT = "idle"
    EVICTED = "crowded"  # another connection needs its descriptor
    ENDPOINT_REMOVED = "unlisted"  # the endpoint drains, is gone, in maintenance or at another address
    NOT_REUSABLE = "unusable"


class RequestStatistics:
    """Counts since the start of the process; a class that the configuration drops keeps its counts.

    Each count is raised in one place only: where the thing that it counts ends.
    """

    def __init__(self) -> None:
        """Begin at zero."""
        self.outcomes: dict[RequestOutcome, Counter[str]] = {outcome: Counter() for outcome in RequestOutcome}
        self.attempts_sent = 0  # attempts whose last byte has been sent
        self.reloads = 0
        self.reload_errors = 0

    def record_outcome(self, outcome: RequestOutcome, class_name: str) -> None:
        """Count a request that has its final response."""
        self.outcomes[outcome][class_name] += 1

    def table(self, class_names: list[str]) -> dict[str, object]:
        """Return the counts in the form of `GET /stats`, with zeros for classes without a request."""
        table: dict[str, object] = {
            outcome.value: dict.fromkeys(class_names, 0) | counts for outcome, counts in self.outcomes.items()
        }
        table["upstream_requests"] = self.attempts_sent
        table["config_reloads"] = self.reloads
        table["config_reload_errors"] = self.reload_errors
        return table
