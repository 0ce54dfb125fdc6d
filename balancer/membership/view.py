"""Membership table of a node, with the hashes that nodes use to compare their tables."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from balancer.membership.messages import DIGEST_BUCKETS, PRESENT_STATES, MemberState, Update

# Odd multiplier that spreads the salt of a digest over all bits (multiplicative hashing).
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
MASK_32 = 2**32 - 1
MASK_64 = 2**64 - 1
# A digest entry is the upper 16 bits of a 64-bit product.
DIGEST_SHIFT_BITS = 48
HASH_BYTES = 8


def unknown_record(member: int) -> Update:
    """Return the initial record of a member, in state UNKNOWN."""
    return Update(member, 0, 0, MemberState.UNKNOWN)


@dataclass
class View:
    """Newest update on each member, indexed by member number.

    `state_hash` covers the present members and their generations. All hashes are maintained incrementally.
    """

    records: list[Update]
    present_count: int = 0
    state_hash: int = 0
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * DIGEST_BUCKETS)

    @classmethod
    def with_unknown_members(cls, node_count: int) -> View:
        """Return a view of `node_count` members that are all unknown."""
        return cls([unknown_record(member) for member in range(node_count)])

    def copy(self) -> View:
        """Return a copy that shares no mutable state with this view."""
        return View(list(self.records), self.present_count, self.state_hash, list(self.bucket_hashes))

    def put(self, update: Update) -> Update:
        """Replace the record of a member and return the previous one."""
        old = self.records[update.member]
        self._toggle(old)
        self._toggle(update)
        self.present_count += (update.state in PRESENT_STATES) - (old.state in PRESENT_STATES)
        self.records[update.member] = update
        return old

    def resize(self, node_count: int) -> None:
        """Change the number of members to `node_count`; new members, and those removed, must be unknown."""
        del self.records[node_count:]
        self.records.extend(unknown_record(member) for member in range(len(self.records), node_count))

    def present_members(self) -> list[int]:
        """Return the numbers of the members that are alive or suspected, in ascending order."""
        return [record.member for record in self.records if record.state in PRESENT_STATES]

    def in_state(self, *states: MemberState) -> Iterator[Update]:
        """Return the records in any of these states, ordered by member number."""
        return (record for record in self.records if record.state in states)

    def digest(self, salt: int) -> list[int]:
        """Return a 16-bit hash per bucket; differences that collide under one salt show under another."""
        factor = (2 * salt + 1) * GOLDEN_RATIO_64
        return [(bucket * factor & MASK_64) >> DIGEST_SHIFT_BITS for bucket in self.bucket_hashes]

    def _toggle(self, record: Update) -> None:
        """Add a record to the hashes or remove it; with XOR both are the same operation."""
        if record.state is not MemberState.UNKNOWN:
            bucket = record.member % DIGEST_BUCKETS
            self.bucket_hashes[bucket] ^= _hash(record.member, *record.key)
        if record.state in PRESENT_STATES:
            self.state_hash ^= _hash(record.member, record.generation) & MASK_32


def _hash(*values: int) -> int:
    """Return a 64-bit hash of some integers.

    A cryptographic hash is used because linear checksums would cancel each other out under XOR.
    """
    text = b"".join(value.to_bytes(4, "big") for value in values)
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")
