"""Find the peers with register entries that this node lacks by comparing register hashes.

Register entries are only replaced by newer versions. A node therefore knows everything that a peer knew at a
given register hash if its own register has had that hash, or if it has received all pages of that register.
In either case the node covers the hash and agrees with the peer.
"""

from __future__ import annotations

from typing import Any

from balancer.recovery.ban_register import DIGEST_BUCKET_COUNT, BanRegister
from balancer.recovery.messages import RegisterPage

ALL_BUCKETS = (1 << DIGEST_BUCKET_COUNT) - 1
LOWER_HASH_MASK = 0xFFFFFFFF
MAX_COVERED_HASHES = 4096
MAX_PARTIAL_TRANSFERS = 64


class RegisterAgreement:
    """Register hashes that this node covers, and the last register hash received from each peer."""

    def __init__(self, register: BanRegister) -> None:
        """Create a record without peers; `register` is this node's own register."""
        self.peer_hashes: dict[int, int] = {}  # maps node numbers to the peers' last register hashes
        self._register = register
        self._covered: dict[
            int, None
        ] = {}  # keys are in insertion order, so that the oldest hash is dropped first
        # Contains the lower half of each hash that this node's register has had.
        self._own_lower_halves: dict[int, None] = {}
        self._received_parts: dict[tuple[int, int, int, int], set[int]] = {}
        self._cover(0)
        self.register_changed()

    def register_changed(self) -> None:
        """Record the current hash of this node's register as covered."""
        self._own_lower_halves[self._register.hash & LOWER_HASH_MASK] = None
        _drop_oldest(self._own_lower_halves, MAX_COVERED_HASHES)
        self._cover(self._register.hash)

    def agrees_with(self, node: int) -> bool:
        """Return whether this node knows all bans and lifts that a peer knew at its last message."""
        return node in self.peer_hashes and self.covers(self.peer_hashes[node])

    def is_behind(self, node: int) -> bool:
        """Return whether a peer, at its last message, lacked entries of this node and had no new ones."""
        return self.agrees_with(node) and self.peer_hashes[node] != self._register.hash

    def peers_ahead(self) -> list[int]:
        """Return the peers with entries that this node lacks."""
        return [node for node, hash_ in sorted(self.peer_hashes.items()) if not self.covers(hash_)]

    def covers(self, register_hash: int) -> bool:
        """Return whether this node has all entries of a register with the given hash."""
        return register_hash in self._covered

    def matching_peer_count(self) -> int:
        """Return the number of peers whose register equals this node's."""
        return sum(hash_ == self._register.hash for hash_ in self.peer_hashes.values())

    def differing_peer_count(self) -> int:
        """Return the number of peers whose register differs from this node's."""
        return sum(hash_ != self._register.hash for hash_ in self.peer_hashes.values())

    def page_received(self, node: int, register_hash: int, page: RegisterPage) -> None:
        """Record a page of a peer's register; the register's hash is covered once all parts have arrived."""
        is_base_known = page.mask and page.base in self._own_lower_halves
        if page.mask != ALL_BUCKETS and not is_base_known:
            return
        transfer = (node, register_hash, page.mask, page.parts)
        received = self._received_parts.setdefault(transfer, set())
        received.add(page.part)
        if len(received) == page.parts:
            del self._received_parts[transfer]
            self._cover(register_hash)
        _drop_oldest(self._received_parts, MAX_PARTIAL_TRANSFERS)

    def forget(self, node: int) -> None:
        """Remove a peer that has left the tier or was replaced."""
        self.peer_hashes.pop(node, None)

    def _cover(self, register_hash: int) -> None:
        self._covered.pop(register_hash, None)
        self._covered[register_hash] = None
        _drop_oldest(self._covered, MAX_COVERED_HASHES)


def _drop_oldest(table: dict[Any, Any], max_size: int) -> None:
    while len(table) > max_size:
        del table[next(iter(table))]
