"""Pages of the register that go to all peers, because several of them lack some entries."""

from __future__ import annotations

import math
import random

from balancer.recovery.agreement import ALL_BUCKETS, RegisterAgreement
from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey, is_shareable
from balancer.recovery.messages import RegisterPage
from balancer.recovery.pages import Paginator

PAGES_PER_S = 8.0  # of all nodes together
PAGE_DELAY_MS = 60.0  # in which a node hears who else has the same
MIN_PEERS_FOR_BROADCAST = 3  # that differ, or that ask
MIN_DIFFERING_PART = 3  # one peer in so many
MAX_COMPLETE_PAGES = 4  # that a register may take to be sent completely


class PageBroadcast:
    """Entries that nobody has sent to all, and when this node sends the first page of them."""

    def __init__(
        self,
        register: BanRegister,
        agreement: RegisterAgreement,
        paginator: Paginator,
        generator: random.Random,
    ) -> None:
        """Create a broadcast without entries."""
        self.next_at = math.inf  # ms
        self._register = register
        self._agreement = agreement
        self._paginator = paginator
        self._random = generator
        self._unsent: dict[EntryKey, None] = {}

    def mark_unsent(self, entry: BanEntry) -> None:
        """Record an entry that nobody has sent to all."""
        if is_shareable(entry.backend):
            self._unsent[entry.key] = None

    def mark_sent(self, entry: BanEntry) -> None:
        """Record an entry that somebody has sent to all."""
        self._unsent.pop(entry.key, None)

    def plan(self, now: float) -> None:
        """Plan a page, if enough peers differ from this node."""
        if self.next_at == math.inf and self._is_worthwhile():
            self.next_at = now + PAGE_DELAY_MS + self._random_delay()

    def start(self, mask: int, now: float) -> None:
        """Send at once the entries of the buckets in a mask, or all of a small register."""
        is_small = len(self._paginator.pages(ALL_BUCKETS)) <= MAX_COMPLETE_PAGES
        for entry in self._register.entries_in(ALL_BUCKETS if is_small else mask):
            self._unsent[entry.key] = None
        self.next_at = now

    def take(self, now: float) -> RegisterPage | None:
        """Return the first page with entries that nobody has sent to all; None if none is due."""
        if now < self.next_at:
            return None
        self.next_at = math.inf
        pages = self._paginator.pages(ALL_BUCKETS)
        for part, entries in enumerate(pages):
            if not any(entry.key in self._unsent for entry in entries):
                continue
            for entry in entries:
                self.mark_sent(entry)
            if self._unsent:
                self.next_at = now + self._random_delay()
            return RegisterPage(entries, 0, ALL_BUCKETS, part, len(pages), to_all=True)
        return None

    def _is_worthwhile(self) -> bool:
        enough = max(1, len(self._agreement.peer_hashes) // MIN_DIFFERING_PART)
        differing = self._agreement.differing_peer_count()
        return bool(self._unsent) and differing >= min(MIN_PEERS_FOR_BROADCAST, enough)

    def _random_delay(self) -> float:
        """Draw the wait (ms) with which nodes of the same register send `PAGES_PER_S` together."""
        same = 1 + self._agreement.matching_peer_count()
        return self._random.expovariate(PAGES_PER_S / same) * 1000
