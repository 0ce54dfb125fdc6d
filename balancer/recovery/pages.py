"""Pages of the register, one datagram each, and the queue of pages for single peers."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.recovery.agreement import LOWER_HASH_MASK
from balancer.recovery.ban_register import BanEntry, BanRegister, EntryKey
from balancer.recovery.messages import MAX_ENTRIES_BYTES, RegisterPage, encoded_entry_size

Page = tuple[BanEntry, ...]


class Paginator:
    """Splits a register into pages: the same ones for the same register hash on any node."""

    def __init__(self, register: BanRegister) -> None:
        """Create a paginator of a register."""
        self._register = register
        self._cached_for: tuple[int, int] | None = None  # register hash, mask
        self._cached: list[Page] = []

    def pages(self, mask: int) -> list[Page]:
        """Return the pages of the buckets in a mask: one at least."""
        if self._cached_for != (self._register.hash, mask):
            self._cached = self._split(mask)
            self._cached_for = (self._register.hash, mask)
        return self._cached

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
    """Entries on their way to one peer that has asked for them."""

    base: int  # the lower half of the peer's register hash
    mask: int  # the buckets that differ
    register_hash: int  # of this register when the peer asked
    remaining: list[tuple[EntryKey, ...]]  # pages still to go
    parts: int


@dataclass(slots=True, frozen=True)
class RepairPage:
    """A page for one peer."""

    node: int
    page: RegisterPage


class RepairQueue:
    """Repairs of several peers, served round robin."""

    def __init__(self, register: BanRegister) -> None:
        """Create an empty queue of a register's repairs."""
        self._register = register
        self._repairs: dict[int, Repair] = {}

    def __len__(self) -> int:
        """Return the number of peers under repair."""
        return len(self._repairs)

    def __contains__(self, node: int) -> bool:
        """Return whether a peer is under repair."""
        return node in self._repairs

    def start(self, node: int, peer_hash: int, mask: int, pages: list[Page]) -> None:
        """Begin to send pages to a peer, replacing its unsent ones."""
        remaining = [tuple(entry.key for entry in page) for page in pages]
        self._repairs[node] = Repair(
            peer_hash & LOWER_HASH_MASK, mask, self._register.hash, remaining, len(remaining)
        )

    def clear(self) -> None:
        """Drop all."""
        self._repairs.clear()

    def forget(self, node: int) -> None:
        """Drop a peer's."""
        self._repairs.pop(node, None)

    def take(self) -> RepairPage | None:
        """Return the next page; once the register has changed it makes no claim to be complete."""
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
