"""Split the register into pages of one datagram each, and queue pages for single peers."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.recovery.agreement import LOWER_HASH_MASK
from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey
from balancer.recovery.messages import MAX_ENTRIES_BYTES, RegisterPage, encoded_entry_size

Page = tuple[BanEntry, ...]


class Paginator:
    """Split a register into pages; every node with the same register hash gets the same pages."""

    def __init__(self, register: BanRegister) -> None:
        """Create a paginator of the given register."""
        self._register = register
        # The cache holds the pages of one register hash and bucket mask.
        self._cache_key: tuple[int, int] | None = None
        self._cached_pages: list[Page] = []

    def pages(self, mask: int) -> list[Page]:
        """Return the pages with the entries of the buckets in a mask; there is at least one page."""
        if self._cache_key != (self._register.hash, mask):
            self._cached_pages = self._split(mask)
            self._cache_key = (self._register.hash, mask)
        return self._cached_pages

    def _split(self, mask: int) -> list[Page]:
        pages: list[Page] = []
        page: list[BanEntry] = []
        free_bytes = MAX_ENTRIES_BYTES
        for entry in self._register.entries_in(mask):
            size = encoded_entry_size(entry)
            if size > free_bytes:
                pages.append(tuple(page))
                page = []
                free_bytes = MAX_ENTRIES_BYTES
            page.append(entry)
            free_bytes -= size
        return [*pages, tuple(page)]


@dataclass(slots=True)
class Repair:
    """Entries still to be sent to a peer that has requested them.

    Attributes:
        base: Lower half of the peer's register hash.
        mask: Buckets in which the registers of both nodes differ.
        register_hash: Hash of this node's register at the time of the request.
        remaining: Keys of the entries on each unsent page.
        parts: Number of pages, including those already sent.
    """

    base: int
    mask: int
    register_hash: int
    remaining: list[tuple[EntryKey, ...]]
    parts: int


@dataclass(slots=True, frozen=True)
class RepairPage:
    """Page to send to one peer."""

    node: int
    page: RegisterPage


class RepairQueue:
    """Queue of repairs for several peers, which are served in round-robin order."""

    def __init__(self, register: BanRegister) -> None:
        """Create an empty queue; `register` provides the entries to send."""
        self._register = register
        self._repairs: dict[int, Repair] = {}

    def __len__(self) -> int:
        """Return the number of peers with an unfinished repair."""
        return len(self._repairs)

    def __contains__(self, node: int) -> bool:
        """Return whether a peer has an unfinished repair."""
        return node in self._repairs

    def start(self, node: int, peer_hash: int, mask: int, pages: list[Page]) -> None:
        """Queue pages for a peer, in place of those that have not been sent to it yet."""
        remaining = [tuple(entry.key for entry in page) for page in pages]
        self._repairs[node] = Repair(
            peer_hash & LOWER_HASH_MASK, mask, self._register.hash, remaining, len(remaining)
        )

    def clear(self) -> None:
        """Cancel all repairs."""
        self._repairs.clear()

    def forget(self, node: int) -> None:
        """Cancel the repair of a peer."""
        self._repairs.pop(node, None)

    def take(self) -> RepairPage | None:
        """Return the next page, which claims complete buckets only while the register is unchanged."""
        if not self._repairs:
            return None
        node = next(iter(self._repairs))
        repair = self._repairs.pop(node)
        keys = repair.remaining.pop(0)
        part = repair.parts - len(repair.remaining) - 1
        if repair.remaining:
            self._repairs[node] = repair
        entries = tuple(entry for key in keys if (entry := self._register.get(*key)) is not None)
        if repair.register_hash != self._register.hash:
            return RepairPage(node, RegisterPage(entries))
        return RepairPage(node, RegisterPage(entries, repair.base, repair.mask, part, repair.parts))
