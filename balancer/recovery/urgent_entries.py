"""Entries that go to all peers at once: those of an operator's request."""

from __future__ import annotations

import math
from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey
from balancer.recovery.messages import MAX_ENTRIES_BYTES, encoded_entry_size

MAX_URGENT = 1024  # entries
TRANSMISSIONS = 2  # of each entry


@dataclass(slots=True, frozen=True)
class Transmission:
    """When an entry is sent next, and how often still."""

    at: float
    remaining: int


class UrgentEntries:
    """Queue of entries to be sent to all at once, and once more after `repeat_after` ms."""

    def __init__(self, register: BanRegister, repeat_after: float) -> None:
        """Create an empty queue."""
        self._register = register
        self._repeat_after = repeat_after
        self._queue: dict[EntryKey, Transmission] = {}

    @property
    def is_full(self) -> bool:
        """Whether no more may be added."""
        return len(self._queue) >= MAX_URGENT

    @property
    def next_at(self) -> float:
        """Time of the next transmission; infinite if there is none."""
        return min((transmission.at for transmission in self._queue.values()), default=math.inf)

    def add(self, entry: BanEntry, now: float) -> None:
        """Send an entry from `now` on."""
        self._queue[entry.key] = Transmission(now, TRANSMISSIONS)

    def take(self, now: float) -> tuple[BanEntry, ...]:
        """Return the entries of one datagram; empty if none is due."""
        entries = []
        free_bytes = MAX_ENTRIES_BYTES
        for key, transmission in list(self._queue.items()):
            entry = self._register.get(*key)
            if transmission.at > now or entry is None or encoded_entry_size(entry) > free_bytes:
                continue
            entries.append(entry)
            free_bytes -= encoded_entry_size(entry)
            del self._queue[key]
            if transmission.remaining > 1:
                self._queue[key] = Transmission(now + self._repeat_after, transmission.remaining - 1)
        return tuple(entries)
