"""What discovery knows: the list, its versions, and what becomes known when. Times are ms."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace
from enum import Enum

PAST = 500  # changes kept for watches that come back; older ones get the whole list


class Phase(Enum):
    """A backend's state in the list."""

    UP = "in_service"
    DRAINING = "terminating"
    GONE = "terminated"


@dataclass(slots=True, frozen=True)
class Listed:
    """One entry; `up_since` is Unix time in ms, 0 for long ago."""

    name: str
    zone: str
    cell: int
    phase: Phase = Phase.UP
    up_since: float = 0.0


@dataclass
class Watch:
    """What one watch has been told: the list up to a version. Its first object comes in any case."""

    told: int
    first: bool = True
    silent: bool = False
    brief: bool = False  # it ends where something has changed, instead of telling it

    def ends(self, directory: Directory) -> bool:
        """Whether it is to end now."""
        return self.brief and not (self.first or self.silent) and self.told != directory.revision

    def news(self, directory: Directory) -> tuple[list[Listed], bool] | None:
        """What it does not know, and whether that is the whole list; None where nothing is to be said."""
        if self.silent or (self.told == directory.revision and not self.first):
            return None
        changed = directory.since(self.told)
        self.told, self.first = directory.revision, False
        return (list(directory.entries.values()), True) if changed is None else (changed, False)


@dataclass
class Directory:
    """The list with its history. `plan` sets a change that is known later, `advance` makes it known."""

    entries: dict[str, Listed]
    revision: int = 1
    changes: list[tuple[int, Listed]] = field(default_factory=list)
    planned: list[tuple[float, int, Listed]] = field(default_factory=list)
    count: int = 0

    def plan(self, known_at: float, name: str, phase: Phase, up_since: float | None = None) -> None:
        """Discovery learns at `known_at` that a backend is in this phase."""
        self.count += 1
        entry = self.entries[name] if name in self.entries else self._last(name)
        since = entry.up_since if up_since is None else up_since
        heapq.heappush(self.planned, (known_at, self.count, replace(entry, phase=phase, up_since=since)))

    def _last(self, name: str) -> Listed:
        return next(entry for _, entry in reversed(self.changes) if entry.name == name)

    def advance(self, now: float) -> list[Listed]:
        """What becomes known by `now`."""
        out: list[Listed] = []
        while self.planned and self.planned[0][0] <= now:
            entry = heapq.heappop(self.planned)[2]
            if self.entries.get(entry.name) == entry or (
                entry.phase is Phase.GONE and entry.name not in self.entries
            ):
                continue
            self.revision += 1
            self.changes.append((self.revision, entry))
            if entry.phase is Phase.GONE:
                del self.entries[entry.name]
            else:
                self.entries[entry.name] = entry
            out.append(entry)
        del self.changes[:-PAST]
        return out

    def since(self, revision: int) -> list[Listed] | None:
        """The latest state of what changed after a version; None where only the whole list will do."""
        if revision > self.revision or revision < self.revision - len(self.changes):
            return None
        return list({entry.name: entry for number, entry in self.changes if number > revision}.values())
