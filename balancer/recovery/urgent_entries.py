"""Queue of entries from operator requests, which are sent to all peers immediately."""

from __future__ import annotations

import math
from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey
from balancer.recovery.messages import MAX_ENTRIES_BYTES, encoded_entry_size

MAX_URGENT_ENTRIES = 1024
TRANSMISSIONS_PER_ENTRY = 2


@dataclass(slots=True, frozen=True)
class Transmission:
    """Time of an entry's next transmission, and the number of transmissions left."""

    at: float
    remaining: int


class UrgentEntries:
    """Queue of entries to send to all peers immediately, and once more after `repeat_after_ms`."""

    def __init__(self, register: BanRegister, repeat_after_ms: float) -> None:
        """Create an empty queue; `register` provides the current entries."""
        self._register = register
        self._repeat_after_ms = repeat_after_ms
        self._queue: dict[EntryKey, Transmission] = {}

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no more entries."""
        return len(self._queue) >= MAX_URGENT_ENTRIES

    @property
    def next_at_ms(self) -> float:
        """Time (ms) of the next transmission; infinite if the queue is empty."""
        return min((transmission.at for transmission in self._queue.values()), default=math.inf)

    def add(self, entry: BanEntry, now: float) -> None:
        """Queue an entry for its first transmission at `now` (ms)."""
        self._queue[entry.key] = Transmission(now, TRANSMISSIONS_PER_ENTRY)

    def take(self, now: float) -> tuple[BanEntry, ...]:
        """Return the due entries that fit into one datagram; empty if none is due."""
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
                self._queue[key] = Transmission(now + self._repeat_after_ms, transmission.remaining - 1)
        return tuple(entries)
