"""Model of a node's disk in the simulation of a tier's recovery, and what a start finds on it.

A model one step above `sim/disk.py`: records are kept complete and in order, as the store's own exploration
has proved; here it counts which of them a start finds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from balancer.recovery.ban_register import BanEntry, EntryKey
from balancer.recovery.events import DiskRead

MONTH_MS = 30 * 24 * 3600 * 1000.0
MAX_LOST_RECORDS = 3  # of a disk without its last ones

Record = tuple[BanEntry, ...]


def shifted(entries: Record, by: float) -> Record:
    """Return entries with their times on another clock."""
    return tuple(entry._replace(changed_at=entry.changed_at + by) for entry in entries)


class DiskCondition(Enum):
    """Condition of a disk at a node's start."""

    SOUND = "sound"  # all that was synced, and some of what was not
    LOST = "lost"  # another, empty disk
    DAMAGED = "damaged"  # nothing of it can be read
    OLDER = "older"  # the last records are missing, and nothing tells that they were there
    MONTH = "month"  # an image of long ago
    SWAPPED = "swapped"  # another node's directory: rejected


@dataclass(slots=True, frozen=True)
class DiskContents:
    """What a start reads."""

    sound: bool
    fresh: bool
    incarnation: int = 0
    age_ms: float = 0.0  # by a wall clock that may have been stepped
    entries: Record = ()
    revision: int = 0
    saved_ids: tuple[str, ...] = ()
    warm_rate: float = 0.0

    def event(self, shift: float) -> DiskRead:
        """Return the event of it, `shift` ms from the node's wall clock to its monotonic one."""
        return DiskRead(
            sound=self.sound,
            fresh_disk=self.fresh,
            incarnation=self.incarnation,
            age_ms=self.age_ms,
            entries=shifted(self.entries, shift),
            revision=self.revision,
            warm_rate=self.warm_rate,
        )


@dataclass(slots=True, frozen=True)
class Image:
    """A copy of a disk from long ago."""

    record_count: int = 0
    revision: int = 0
    saved_ids: tuple[str, ...] = ()


@dataclass
class Disk:
    """One node's records."""

    records: list[Record] = field(default_factory=list)
    unsynced: list[Record] = field(default_factory=list)
    incarnation: int = 0
    written_at: float = 0.0  # by the node's wall clock
    revision: int = 0
    saved_ids: tuple[str, ...] = ()
    warm_rate: float = 0.0
    is_used: bool = False  # by any process so far
    epoch: int = 0  # raised each time that something that was synced is gone
    image: Image = field(default_factory=Image)

    def sync(self) -> None:
        """Make all writes durable."""
        self.records += self.unsynced
        self.unsynced = []

    def take_image(self) -> None:
        """Keep an image that may come back as a disk of a month ago."""
        self.image = Image(len(self.records), self.revision, self.saved_ids)

    def cut_power(self, generator: random.Random) -> None:
        """Lose all but a first part of what was not synced."""
        self.records += self.unsynced[: generator.randint(0, len(self.unsynced))]
        self.unsynced = []

    def read(self, condition: DiskCondition, wall_time: float, generator: random.Random) -> DiskContents:
        """Return what the next start finds; the disk is in that condition from now on."""
        age_ms = wall_time - self.written_at
        self.sync()  # after a mere crash the page cache has all of it
        match condition:
            case DiskCondition.LOST | DiskCondition.DAMAGED | DiskCondition.SWAPPED:
                self._clear()
                is_empty = condition is DiskCondition.LOST
                return DiskContents(sound=is_empty, fresh=is_empty)
            case DiskCondition.OLDER:
                self.records = self.records[: -generator.randint(1, MAX_LOST_RECORDS)]
                self.epoch += 1
            case DiskCondition.MONTH:
                self.records = self.records[: self.image.record_count]
                self.revision = self.image.revision
                self.saved_ids = self.image.saved_ids
                self.epoch += 1
                age_ms += MONTH_MS
        is_fresh = not self.is_used
        self.is_used = True
        return DiskContents(
            sound=True,
            fresh=is_fresh,
            incarnation=self.incarnation,
            age_ms=age_ms,
            entries=self._newest_entries(),
            revision=self.revision,
            saved_ids=self.saved_ids,
            warm_rate=self.warm_rate,
        )

    def _clear(self) -> None:
        self.records = []
        self.incarnation = 0
        self.revision = 0
        self.saved_ids = ()
        self.warm_rate = 0.0
        self.epoch += 1
        self.is_used = True

    def _newest_entries(self) -> Record:
        newest: dict[EntryKey, BanEntry] = {}
        for record in self.records:
            for entry in record:  # an earlier one may be written later
                known = newest.get(entry.key)
                if known is None or entry.version > known.version:
                    newest[entry.key] = entry
        return tuple(newest.values())
