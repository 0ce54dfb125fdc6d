"""What the node has done since its process started, by class; a class that vanishes keeps its counts."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class End(Enum):
    """How a request that the node took has ended for its client."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class Figures:
    """Cumulative counts. Each is raised in one place only: where the thing it counts ends."""

    def __init__(self) -> None:
        self.ends: dict[End, Counter[str]] = {end: Counter() for end in End}
        self.sent = 0  # attempts whose last byte has left
        self.reloads = self.reload_errors = 0

    def ended(self, end: End, class_name: str) -> None:
        """A request has its final answer."""
        self.ends[end][class_name] += 1

    def table(self, classes: list[str]) -> dict[str, object]:
        """The counts in the form of `GET /stats`; `classes` are shown before their first request too."""
        out: dict[str, object] = {
            end.value: dict.fromkeys(classes, 0) | counts for end, counts in self.ends.items()
        }
        out["upstream_requests"] = self.sent
        out["config_reloads"] = self.reloads
        out["config_reload_errors"] = self.reload_errors
        return out
