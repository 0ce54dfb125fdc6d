"""Broadcast pages of the register when several peers lack some of its entries."""

from __future__ import annotations

import math
import random

from balancer.recovery.agreement import ALL_BUCKETS, RegisterAgreement
from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey, is_shareable
from balancer.recovery.messages import RegisterPage
from balancer.recovery.pages import Paginator

TIER_PAGES_PER_S = 8.0  # all nodes with the same register together send 8 pages per second on average
MIN_PAGE_DELAY_MS = 60.0  # a node waits to learn which peers have the same register
MIN_PEERS_FOR_BROADCAST = 3  # if fewer than 3 peers lack entries, each is repaired separately
PEERS_PER_DIFFERING_PEER = 3  # in a small tier one differing peer in three suffices for a broadcast
MAX_SMALL_REGISTER_PAGES = 4  # a small register is broadcast completely, not only its differing buckets


class PageBroadcast:
    """Entries that no node has broadcast yet, and the time at which this node broadcasts a page of them."""

    def __init__(
        self,
        register: BanRegister,
        agreement: RegisterAgreement,
        paginator: Paginator,
        generator: random.Random,
    ) -> None:
        """Create a broadcast without entries."""
        self.next_at_ms = math.inf
        self._register = register
        self._agreement = agreement
        self._paginator = paginator
        self._random = generator
        self._unsent: dict[EntryKey, None] = {}

    def mark_unsent(self, entry: BanEntry) -> None:
        """Record an entry that no node has broadcast yet."""
        if is_shareable(entry.backend):
            self._unsent[entry.key] = None

    def mark_sent(self, entry: BanEntry) -> None:
        """Record that this node or a peer has broadcast an entry."""
        self._unsent.pop(entry.key, None)

    def plan(self, now: float) -> None:
        """Schedule a page if the registers of enough peers differ from this node's."""
        if self.next_at_ms == math.inf and self._is_worthwhile():
            self.next_at_ms = now + MIN_PAGE_DELAY_MS + self._random_delay()

    def start(self, mask: int, now: float) -> None:
        """Broadcast the entries of the buckets in a mask, or all entries of a small register, immediately."""
        is_small = len(self._paginator.pages(ALL_BUCKETS)) <= MAX_SMALL_REGISTER_PAGES
        for entry in self._register.entries_in(ALL_BUCKETS if is_small else mask):
            self._unsent[entry.key] = None
        self.next_at_ms = now

    def take(self, now: float) -> RegisterPage | None:
        """Return the first page with entries that no node has broadcast, or None if no page is due."""
        if now < self.next_at_ms:
            return None
        self.next_at_ms = math.inf
        pages = self._paginator.pages(ALL_BUCKETS)
        for part, entries in enumerate(pages):
            if not any(entry.key in self._unsent for entry in entries):
                continue
            for entry in entries:
                self.mark_sent(entry)
            if self._unsent:
                self.next_at_ms = now + self._random_delay()
            return RegisterPage(entries, 0, ALL_BUCKETS, part, len(pages), to_all=True)
        return None

    def _is_worthwhile(self) -> bool:
        enough = max(1, len(self._agreement.peer_hashes) // PEERS_PER_DIFFERING_PEER)
        differing = self._agreement.differing_peer_count()
        return bool(self._unsent) and differing >= min(MIN_PEERS_FOR_BROADCAST, enough)

    def _random_delay(self) -> float:
        """Return a random delay (ms) so that all nodes with the same register send `TIER_PAGES_PER_S`."""
        same = 1 + self._agreement.matching_peer_count()
        return self._random.expovariate(TIER_PAGES_PER_S / same) * 1000
