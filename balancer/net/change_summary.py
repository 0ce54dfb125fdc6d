"""Summarize the changes of endpoint list updates in one log line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from balancer import interface as api
from balancer.net.endpoints import Member

MAX_NAMES_PER_CHANGE = 8  # The names of further backends are replaced by their number.


class Change(Enum):
    """A kind of change of a backend."""

    DRAINING = "draining"
    REMOVED = "removed"
    IN_SERVICE = "in service"
    RESTARTED = "restarted"


CHANGE_BY_PHASE = {
    api.EndpointPhase.DRAINING: Change.DRAINING,
    api.EndpointPhase.REMOVED: Change.REMOVED,
    api.EndpointPhase.IN_SERVICE: Change.IN_SERVICE,
}
"""The change that is reported for a backend by its new phase."""


@dataclass(slots=True)
class _Tally:
    """Backends with one kind of change."""

    count: int = 0
    names: list[str] = field(default_factory=list)

    def add(self, name: str) -> None:
        self.count += 1
        if self.count <= MAX_NAMES_PER_CHANGE:
            self.names.append(name)

    def text(self) -> str:
        unnamed = self.count - len(self.names)
        return " ".join(self.names) + (f" and {unnamed} more" if unnamed else "")


class ChangeSummary:
    """Collects changes of the endpoint list until they are logged."""

    def __init__(self) -> None:
        """Create a summary without changes."""
        self._tallies = {change: _Tally() for change in Change}
        self._by_phase = {phase: self._tallies[change] for phase, change in CHANGE_BY_PHASE.items()}

    def add_update(self, member: Member, current: Member | None) -> None:
        """Compare a member of an update with the current one, and add the difference."""
        phase = api.EndpointPhase.REMOVED if current is None else current.phase
        if member.phase is not phase:
            self._by_phase[member.phase].add(member.backend)
        elif current is not None and member.started_at > current.started_at:
            self._tallies[Change.RESTARTED].add(member.backend)

    def add_changed(self, members: Iterable[Member]) -> None:
        """Add members that are known to have changed, without looking up the current ones."""
        tallies = self._by_phase
        for member in members:
            tallies[member.phase].add(member.backend)

    def text(self) -> str:
        """Return the text of all changes, empty if there are none."""
        return ", ".join(
            f"{change.value} {tally.text()}" for change, tally in self._tallies.items() if tally.count
        )
