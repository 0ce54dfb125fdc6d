"""The endpoint list of discovery: its revisions, and when changes become known. Times are ms."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace
from enum import Enum

MAX_HISTORY = 500  # changes; a watch from an older revision gets a snapshot


class Phase(Enum):
    """A backend's state in the list."""

    IN_SERVICE = "in_service"
    DRAINING = "terminating"
    REMOVED = "terminated"


@dataclass(slots=True, frozen=True)
class Listed:
    """One entry; `up_since` is Unix time in ms, 0 for long ago."""

    name: str
    zone: str
    cell: int
    phase: Phase = Phase.IN_SERVICE
    up_since: float = 0.0


@dataclass
class Watch:
    """The state of a watch: the revision up to which it was sent the list. Its first event always comes."""

    sent_revision: int
    first: bool = True
    silent: bool = False
    brief: bool = False  # it ends at a change instead of sending an event

    def ends(self, directory: Directory) -> bool:
        """Return whether it is to end now."""
        return self.brief and not (self.first or self.silent) and self.sent_revision != directory.revision

    def pending(self, directory: Directory) -> tuple[list[Listed], bool] | None:
        """Return the entries to send and whether they are a snapshot; None where there is nothing to send."""
        if self.silent or (self.sent_revision == directory.revision and not self.first):
            return None
        changed = directory.since(self.sent_revision)
        self.sent_revision, self.first = directory.revision, False
        return (list(directory.entries.values()), True) if changed is None else (changed, False)


@dataclass
class Directory:
    """The list with its history: `plan` adds a change that becomes known later, `advance` applies it."""

    entries: dict[str, Listed]
    revision: int = 1
    changes: list[tuple[int, Listed]] = field(default_factory=list)
    planned: list[tuple[float, int, Listed]] = field(default_factory=list)
    count: int = 0

    def plan(self, known_at: float, name: str, phase: Phase, up_since: float | None = None) -> None:
        """Plan that discovery learns at `known_at` (ms) of a backend's phase."""
        self.count += 1
        entry = self.entries[name] if name in self.entries else self._last(name)
        since = entry.up_since if up_since is None else up_since
        heapq.heappush(self.planned, (known_at, self.count, replace(entry, phase=phase, up_since=since)))

    def _last(self, name: str) -> Listed:
        return next(entry for _, entry in reversed(self.changes) if entry.name == name)

    def advance(self, now: float) -> list[Listed]:
        """Apply the changes that become known by `now`, and return them."""
        out: list[Listed] = []
        while self.planned and self.planned[0][0] <= now:
            entry = heapq.heappop(self.planned)[2]
            if self.entries.get(entry.name) == entry or (
                entry.phase is Phase.REMOVED and entry.name not in self.entries
            ):
                continue
            self.revision += 1
            self.changes.append((self.revision, entry))
            if entry.phase is Phase.REMOVED:
                del self.entries[entry.name]
            else:
                self.entries[entry.name] = entry
            out.append(entry)
        del self.changes[:-MAX_HISTORY]
        return out

    def since(self, revision: int) -> list[Listed] | None:
        """Return the latest state of what changed after a revision; None where a snapshot is needed."""
        if revision > self.revision or revision < self.revision - len(self.changes):
            return None
        return list({entry.name: entry for number, entry in self.changes if number > revision}.values())
