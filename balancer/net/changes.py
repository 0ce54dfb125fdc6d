"""What news of the list change, as one line of the log: which backends drain, are gone, are in service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import Enum

from balancer import interface as api
from balancer.net.config import Member

NAMES = 8  # backends of a kind of change that are named; the others are counted


class Change(Enum):
    """What became of a backend."""

    DRAINING = "draining"
    GONE = "gone"
    READY = "ready"
    RESTARTED = "restarted"


BY_PHASE = {
    api.EndpointPhase.DRAINING: Change.DRAINING,
    api.EndpointPhase.REMOVED: Change.GONE,
    api.EndpointPhase.IN_SERVICE: Change.READY,
}
"""What has become of a backend that is in another phase now."""


class ListChanges:
    """The changes of one object of discovery, collected piece by piece."""

    def __init__(self) -> None:
        self.counts: Counter[Change] = Counter()
        self.names: dict[Change, list[str]] = {}

    def add(self, member: Member, was: Member | None) -> None:
        """Compare what is told of a backend with what is in force of it."""
        change = _change(member, was)
        if change is None:
            return
        self.counts[change] += 1
        names = self.names.setdefault(change, [])
        if len(names) < NAMES:
            names.append(member.backend)

    def add_piece(self, members: Sequence[Member]) -> None:
        """These have all changed; what they were is not looked up, as a long list has many such pieces."""
        counts, names = self.counts, self.names
        for member in members:
            change = BY_PHASE[member.phase]
            counts[change] += 1
            if counts[change] == 1:
                names[change] = []
            if counts[change] <= NAMES:
                names[change].append(member.backend)

    def add_gone(self, members: Iterable[Member]) -> None:
        """These are left out by a whole list."""
        for member in members:
            self.add(_without(member), member)

    def text(self) -> str:
        """All of it; empty where nothing has changed."""
        return ", ".join(self._kind(change) for change in Change if self.counts[change])

    def _kind(self, change: Change) -> str:
        names = self.names[change]
        more = self.counts[change] - len(names)
        return f"{change.value} {' '.join(names)}" + (f" and {more} more" if more else "")


def _without(member: Member) -> Member:
    return Member(member.backend, member.zone, member.cell, member.weight, api.EndpointPhase.REMOVED, 0.0)


def _change(member: Member, was: Member | None) -> Change | None:
    before = api.EndpointPhase.REMOVED if was is None else was.phase
    if member.phase is not before:
        return BY_PHASE[member.phase]
    if was is not None and member.started_at > was.started_at:
        return Change.RESTARTED
    return None
