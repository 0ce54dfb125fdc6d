"""How much of a response has come, and when."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResponseProgress:
    """Progress of the body of a response."""

    size: int  # Number of body bytes received.
    first_ms: float  # How many ms ago the first of them came.
    last_ms: float  # How many ms ago the last of them came.

    def __str__(self) -> str:
        """Return the progress as it is written to the log."""
        return f"{self.size} bytes, the first {self.first_ms:.0f} ms ago, the last {self.last_ms:.0f} ms ago"
