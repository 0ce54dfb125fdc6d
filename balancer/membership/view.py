"""The membership table of one node, with the hashes by which nodes compare their tables."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from balancer.membership.messages import DIGEST_BUCKETS, PRESENT_STATES, MemberState, Update

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # odd multiplier that spreads salts over all bits
MASK_32 = 2**32 - 1
MASK_64 = 2**64 - 1
DIGEST_SHIFT = 48  # leaves the upper two bytes of a product
HASH_BYTES = 8


def unknown(member: int) -> Update:
    """Return the record of a member of which nothing is known."""
    return Update(member, 0, 0, MemberState.UNKNOWN)


@dataclass
class View:
    """The newest update on each member, by its number; hashes are maintained with each change."""

    records: list[Update]
    present_count: int = 0
    state_hash: int = 0  # of the present members and their generations
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * DIGEST_BUCKETS)

    @classmethod
    def with_unknown_members(cls, node_count: int) -> View:
        """Return a view in which all members are unknown."""
        return cls([unknown(member) for member in range(node_count)])

    def copy(self) -> View:
        """Return an independent copy."""
        return View(list(self.records), self.present_count, self.state_hash, list(self.bucket_hashes))

    def put(self, update: Update) -> Update:
        """Replace the record of a member and return the one before."""
        old = self.records[update.member]
        self._toggle(old)
        self._toggle(update)
        self.present_count += (update.state in PRESENT_STATES) - (old.state in PRESENT_STATES)
        self.records[update.member] = update
        return old

    def resize(self, node_count: int) -> None:
        """Cut off members from `node_count` on, whose records must be unknown, or add unknown ones."""
        del self.records[node_count:]
        self.records.extend(unknown(member) for member in range(len(self.records), node_count))

    def present_members(self) -> list[int]:
        """Return the members that are alive or suspected, in order."""
        return [record.member for record in self.records if record.state in PRESENT_STATES]

    def in_state(self, *states: MemberState) -> Iterator[Update]:
        """Return the records in one of these states, in order of members."""
        return (record for record in self.records if record.state in states)

    def digest(self, salt: int) -> list[int]:
        """Return two bytes of each bucket's hash; another salt shows differences that one hides."""
        factor = (2 * salt + 1) * GOLDEN_RATIO_64
        return [(bucket * factor & MASK_64) >> DIGEST_SHIFT for bucket in self.bucket_hashes]

    def _toggle(self, record: Update) -> None:
        """Add a record to the hashes or remove it from them: with XOR both are the same."""
        if record.state is not MemberState.UNKNOWN:
            bucket = record.member % DIGEST_BUCKETS
            self.bucket_hashes[bucket] ^= _hash(record.member, *record.key)
        if record.state in PRESENT_STATES:
            self.state_hash ^= _hash(record.member, record.generation) & MASK_32


def _hash(*values: int) -> int:
    """Return a hash of eight bytes. XOR of plain checksums, which are linear, would cancel out."""
    text = b"".join(value.to_bytes(4, "big") for value in values)
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")
