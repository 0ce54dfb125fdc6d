"""What a node's disk holds in the simulation of a tier's return, and what a start finds of it.

A model one step above `sim/disk.py`: records are kept whole and in order, as the store's own exploration has
proved; here it counts which of them a start finds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from balancer.recovery.ban_register import BanEntry, EntryKey

MONTH_MS = 30 * 24 * 3600 * 1000.0


class Condition(Enum):
    """What has become of a disk by a node's start."""

    SOUND = "sound"  # all that was synced, and some of what was not
    LOST = "lost"  # another, empty disk
    DAMAGED = "damaged"  # nothing of it can be read
    OLDER = "older"  # the last records are not there, and nothing tells that they were
    MONTH = "month"  # an image of long ago
    SWAPPED = "swapped"  # another node's directory: refused


@dataclass(slots=True, frozen=True)
class Found:
    """What a start reads."""

    sound: bool
    fresh: bool
    life: int
    age_ms: float  # by a wall clock that may have been stepped
    rows: tuple[BanEntry, ...]
    revision: int
    saved: tuple[str, ...]
    rate: float


@dataclass
class Disk:
    """One node's records. `epoch` goes up each time that something that was synced is gone."""

    rows: list[tuple[BanEntry, ...]] = field(default_factory=list)
    unsure: list[tuple[BanEntry, ...]] = field(default_factory=list)  # written, not synced
    life: int = 0
    written_wall: float = 0.0
    revision: int = 0
    saved: tuple[str, ...] = ()
    rate: float = 0.0
    used: bool = False  # by any process so far
    epoch: int = 0
    image: tuple[int, int, tuple[str, ...]] | None = None  # records, revision and list of long ago

    def sync(self) -> None:
        """All that was written is sure."""
        self.rows += self.unsure
        self.unsure = []

    def photograph(self) -> None:
        """Keep an image that may come back as a disk of a month ago."""
        self.image = (len(self.rows), self.revision, self.saved)

    def power_cut(self, dice: random.Random) -> None:
        """Of what was not synced a first part may be there."""
        self.rows += self.unsure[: dice.randint(0, len(self.unsure))]
        self.unsure = []

    def read(self, condition: Condition, wall: float, dice: random.Random) -> Found:
        """What the next start finds; the disk is in that state from now on."""
        age = wall - self.written_wall
        self.sync()  # after a mere crash the page cache has all of it
        match condition:
            case Condition.LOST | Condition.DAMAGED | Condition.SWAPPED:
                self.rows, self.life, self.revision, self.saved, self.rate = [], 0, 0, (), 0.0
                self.epoch, self.used = self.epoch + 1, True
                empty = condition is Condition.LOST
                return Found(empty, empty, 0, 0.0, (), 0, (), 0.0)
            case Condition.OLDER:
                self.rows, self.epoch = self.rows[: -dice.randint(1, 3)], self.epoch + 1
            case Condition.MONTH:
                records, self.revision, self.saved = self.image or (0, 0, ())
                self.rows, self.epoch = self.rows[:records], self.epoch + 1
                age += MONTH_MS
        fresh, self.used = not self.used, True
        best: dict[EntryKey, BanEntry] = {}
        for row in (row for record in self.rows for row in record):  # an earlier one may be written later
            if (known := best.get(row.key)) is None or row.version > known.version:
                best[row.key] = row
        rows = tuple(best.values())
        return Found(True, fresh, self.life, age, rows, self.revision, self.saved, self.rate)
