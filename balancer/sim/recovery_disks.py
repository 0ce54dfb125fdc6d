"""Model of a node's disk in the simulation of a tier's recovery, and of what a starting process reads.

The model is coarser than `sim/disk.py`: records stay complete and in order, as crash testing of the
write-ahead log verifies. Only which of the records a starting process finds matters here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from balancer.recovery.ban_register import BanEntry, EntryKey
from balancer.recovery.events import DiskRead

MONTH_MS = 30 * 24 * 3600 * 1000.0
MAX_LOST_RECORDS = 3

Record = tuple[BanEntry, ...]


def shift_times(entries: Record, by: float) -> Record:
    """Return copies of entries with `by` ms added to their times, to convert them to another clock."""
    return tuple(entry._replace(changed_at=entry.changed_at + by) for entry in entries)


class DiskCondition(Enum):
    """Condition of a node's disk when a process starts.

    SOUND: all synced records are present, and some of the others. LOST: an empty disk has replaced the former
    one. DAMAGED: nothing can be read. OLDER: the last records are missing without a trace. MONTH: an image
    from a month ago. SWAPPED: the directory of another node, which is rejected.
    """

    SOUND = "sound"
    LOST = "lost"
    DAMAGED = "damaged"
    OLDER = "older"
    MONTH = "month"
    SWAPPED = "swapped"


@dataclass(slots=True, frozen=True)
class DiskContents:
    """State that a starting process reads from disk; its age is by a wall clock that may have stepped."""

    sound: bool
    fresh: bool
    incarnation: int = 0
    age_ms: float = 0.0
    entries: Record = ()
    revision: int = 0
    saved_ids: tuple[str, ...] = ()
    warm_rate: float = 0.0

    def event(self, shift: float) -> DiskRead:
        """Return the event for the core; `shift` ms convert the node's wall clock to its monotonic clock."""
        return DiskRead(
            sound=self.sound,
            fresh_disk=self.fresh,
            incarnation=self.incarnation,
            age_ms=self.age_ms,
            entries=shift_times(self.entries, shift),
            revision=self.revision,
            warm_rate=self.warm_rate,
        )


@dataclass(slots=True, frozen=True)
class Image:
    """Contents of a disk a month ago."""

    record_count: int = 0
    revision: int = 0
    saved_ids: tuple[str, ...] = ()


@dataclass
class Disk:
    """A node's disk: its synced and unsynced records, and the rest of the durable state.

    `written_at` is by the node's wall clock. `is_used` is set once a process has used the disk, and `epoch`
    grows each time synced records are lost.
    """

    records: list[Record] = field(default_factory=list)
    unsynced: list[Record] = field(default_factory=list)
    incarnation: int = 0
    written_at: float = 0.0
    revision: int = 0
    saved_ids: tuple[str, ...] = ()
    warm_rate: float = 0.0
    is_used: bool = False
    epoch: int = 0
    image: Image = field(default_factory=Image)

    def sync(self) -> None:
        """Make all unsynced records durable."""
        self.records += self.unsynced
        self.unsynced = []

    def take_image(self) -> None:
        """Keep an image of the disk, which a later start may find as the disk of a month ago."""
        self.image = Image(len(self.records), self.revision, self.saved_ids)

    def cut_power(self, generator: random.Random) -> None:
        """Lose the unsynced records, except for a random prefix of them."""
        self.records += self.unsynced[: generator.randint(0, len(self.unsynced))]
        self.unsynced = []

    def read(self, condition: DiskCondition, wall_time: float, generator: random.Random) -> DiskContents:
        """Return what the next process reads; the disk remains in that condition."""
        age_ms = wall_time - self.written_at
        # The page cache survives a crash of the process, so that unsynced records are not lost.
        self.sync()
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
            # Versions are compared, as an older entry may have been written after a newer one.
            for entry in record:
                known = newest.get(entry.key)
                if known is None or entry.version > known.version:
                    newest[entry.key] = entry
        return tuple(newest.values())
