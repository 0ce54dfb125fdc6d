"""Model of discovery's endpoint list: its revisions, history and scheduled changes; times are in ms."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace
from enum import Enum

# A watch that starts before the oldest kept change receives a snapshot of the complete list.
MAX_HISTORY_CHANGES = 500


class Phase(Enum):
    """State of a backend in the endpoint list."""

    IN_SERVICE = "in_service"
    DRAINING = "terminating"
    REMOVED = "terminated"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An entry of the endpoint list; `up_since` is Unix time in ms, or 0 if the backend has long been up."""

    name: str
    zone: str
    cell: int
    phase: Phase = Phase.IN_SERVICE
    up_since: float = 0.0


@dataclass
class Watch:
    """State of a watch: the revision that its caller has, and whether its first event is still to be sent.

    The first event is sent even without a change. A silent watch sends nothing; one that `ends_on_change`
    closes at the first change after that event instead of sending it.
    """

    sent_revision: int
    is_first_event: bool = True
    is_silent: bool = False
    ends_on_change: bool = False

    def should_end(self, directory: Directory) -> bool:
        """Return whether the watch must close now."""
        return (
            self.ends_on_change
            and not (self.is_first_event or self.is_silent)
            and self.sent_revision != directory.revision
        )

    def pending(self, directory: Directory) -> tuple[list[ListedEndpoint], bool] | None:
        """Return the entries to send and whether they are a snapshot; None if there is nothing to send."""
        if self.is_silent or (self.sent_revision == directory.revision and not self.is_first_event):
            return None
        changed = directory.since(self.sent_revision)
        self.sent_revision, self.is_first_event = directory.revision, False
        return (list(directory.entries.values()), True) if changed is None else (changed, False)


@dataclass
class Directory:
    """Endpoint list with its history; `schedule_change` adds a later change, and `advance` applies it."""

    entries: dict[str, ListedEndpoint]
    revision: int = 1
    changes: list[tuple[int, ListedEndpoint]] = field(default_factory=list)
    scheduled: list[tuple[float, int, ListedEndpoint]] = field(default_factory=list)
    change_count: int = 0

    def schedule_change(
        self, known_at: float, name: str, phase: Phase, up_since: float | None = None
    ) -> None:
        """Schedule the time `known_at` (ms) at which discovery learns of a backend's new phase."""
        self.change_count += 1
        entry = self.entries[name] if name in self.entries else self._last_entry(name)
        since = entry.up_since if up_since is None else up_since
        heapq.heappush(
            self.scheduled, (known_at, self.change_count, replace(entry, phase=phase, up_since=since))
        )

    def _last_entry(self, name: str) -> ListedEndpoint:
        return next(entry for _, entry in reversed(self.changes) if entry.name == name)

    def advance(self, now: float) -> list[ListedEndpoint]:
        """Apply the changes that are due by `now`, and return the changed entries."""
        out: list[ListedEndpoint] = []
        while self.scheduled and self.scheduled[0][0] <= now:
            entry = heapq.heappop(self.scheduled)[2]
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
        del self.changes[:-MAX_HISTORY_CHANGES]
        return out

    def since(self, revision: int) -> list[ListedEndpoint] | None:
        """Return the newest entry of each backend changed after a revision; None if a snapshot is needed."""
        if revision > self.revision or revision < self.revision - len(self.changes):
            return None
        return list({entry.name: entry for number, entry in self.changes if number > revision}.values())
