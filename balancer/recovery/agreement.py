"""Which peers have entries of the register that this node lacks, by the hashes of their registers.

As entries only grow, a node knows all that a peer knew at a register hash that it has had itself, or whose
pages it has received completely: that is what agreement means here.
"""

from __future__ import annotations

from typing import Any

from balancer.recovery.ban_register import BUCKET_COUNT, BanRegister
from balancer.recovery.messages import RegisterPage

ALL_BUCKETS = (1 << BUCKET_COUNT) - 1
LOWER_HALF = 0xFFFFFFFF  # of a hash
MAX_COVERED_HASHES = 4096
MAX_PARTIAL_TRANSFERS = 64


class RegisterAgreement:
    """Hashes of registers that this node covers, and the last one of each peer."""

    def __init__(self, register: BanRegister) -> None:
        """Create the record of a node without peers."""
        self.peer_hashes: dict[int, int] = {}  # by node
        self._register = register
        self._covered: dict[int, None] = {}  # in the order of their coming
        self._own: dict[int, None] = {}  # lower halves of hashes that this register has had
        self._partial: dict[tuple[int, int, int, int], set[int]] = {}  # parts that have come of a transfer
        self._cover(0)
        self.register_changed()

    def register_changed(self) -> None:
        """Record the hash of this node's register."""
        self._own[self._register.hash & LOWER_HALF] = None
        _drop_oldest(self._own, MAX_COVERED_HASHES)
        self._cover(self._register.hash)

    def agrees_with(self, node: int) -> bool:
        """Return whether this node knows all bans and lifts that a peer knew when it last spoke."""
        return node in self.peer_hashes and self.covers(self.peer_hashes[node])

    def is_behind(self, node: int) -> bool:
        """Return whether a peer lacked something when it last spoke, and had nothing new."""
        return self.agrees_with(node) and self.peer_hashes[node] != self._register.hash

    def peers_ahead(self) -> list[int]:
        """Return the peers that have entries that this node lacks."""
        return [node for node, hash_ in sorted(self.peer_hashes.items()) if not self.covers(hash_)]

    def covers(self, register_hash: int) -> bool:
        """Return whether this node has all entries of a register with that hash."""
        return register_hash in self._covered

    def matching_peers(self) -> int:
        """Return how many peers have the same register."""
        return sum(hash_ == self._register.hash for hash_ in self.peer_hashes.values())

    def differing_peers(self) -> int:
        """Return how many peers have another one."""
        return sum(hash_ != self._register.hash for hash_ in self.peer_hashes.values())

    def page_received(self, node: int, register_hash: int, page: RegisterPage) -> None:
        """Record a page of a peer's register: its hash is covered once all parts have come."""
        is_base_known = page.mask and page.base in self._own
        if page.mask != ALL_BUCKETS and not is_base_known:
            return
        transfer = (node, register_hash, page.mask, page.parts)
        received = self._partial.setdefault(transfer, set())
        received.add(page.part)
        if len(received) == page.parts:
            del self._partial[transfer]
            self._cover(register_hash)
        _drop_oldest(self._partial, MAX_PARTIAL_TRANSFERS)

    def forget(self, node: int) -> None:
        """Drop a peer that is gone, or replaced."""
        self.peer_hashes.pop(node, None)

    def _cover(self, register_hash: int) -> None:
        self._covered.pop(register_hash, None)
        self._covered[register_hash] = None
        _drop_oldest(self._covered, MAX_COVERED_HASHES)


def _drop_oldest(table: dict[Any, Any], max_size: int) -> None:
    while len(table) > max_size:
        del table[next(iter(table))]
