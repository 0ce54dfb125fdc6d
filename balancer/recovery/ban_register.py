"""Replicated register of bans that converges to the same state on every node, in any order of merges.

The register holds an enable-wins flag for each backend (Shapiro et al. 2011, "A comprehensive study of
convergent and commutative replicated data types"), stored as entries by backend and node. Each ban that an
operator requests at a node raises the counter of that node's entry; a lift clears the active entries that its
node knows of. The greater counter wins; at equal counters the lifted entry wins, because the lift has seen
the ban. A backend is banned while any of its entries is active. A concurrent ban and lift therefore result in
a ban, and entries that are merged twice, late, or from a month-old disk change nothing. Clocks never decide
the order; `changed_at` only tells how long ago a backend returned.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_BACKEND_ID_BYTES = 96
MAX_ENTRIES = 4096  # a full register accepts no new entries of other nodes
DIGEST_BUCKET_COUNT = 16
# Incarnations and sequence numbers are limited, so that a node can always issue a greater counter.
COUNTER_LIMIT = 0xFFFFFFFF
MAX_NODE_NUMBER = 0xFFFF
PROCESS_TAG_BITS = 24  # the low bits of a sequence number identify the process that issued it
# A process that runs out of sequence numbers continues in the next incarnation.
MAX_BANS_PER_INCARNATION = COUNTER_LIMIT >> PROCESS_TAG_BITS


class EntryKey(NamedTuple):
    """Backend and node that identify an entry."""

    backend: str
    node: int


class BanEntry(NamedTuple):
    """Last ban of a backend that was requested at one node, and whether it has been lifted.

    Attributes:
        backend: Backend that is or was banned.
        node: Node at which the ban was requested.
        incarnation: Incarnation of that node; first part of the ban's counter.
        sequence: Sequence number of the ban; second part of its counter.
        active: True until a lift that has seen this ban clears it.
        changed_at: When the ban or its lift was requested (node clock, ms); -inf if unknown.
    """

    backend: str
    node: int
    incarnation: int
    sequence: int
    active: bool
    changed_at: float

    @property
    def key(self) -> EntryKey:
        """Key of the entry in the register."""
        return EntryKey(self.backend, self.node)

    @property
    def counter(self) -> tuple[int, int]:
        """Counter that orders all bans requested at one node."""
        return self.incarnation, self.sequence

    @property
    def version(self) -> tuple[int, int, bool]:
        """Version of the entry; of two states of an entry the one with the greater version wins."""
        return self.incarnation, self.sequence, not self.active


def is_shareable(backend: str) -> bool:
    """Return whether an id fits into a datagram; a ban of any other id applies at its own node only."""
    try:
        return 0 < len(backend.encode()) <= MAX_BACKEND_ID_BYTES
    except UnicodeEncodeError:
        return False


def bucket_of(backend: str) -> int:
    """Return the digest bucket that holds all entries of a backend."""
    return hashlib.blake2b(backend.encode(), digest_size=1).digest()[0] % DIGEST_BUCKET_COUNT


def _hash(entry: BanEntry) -> int:
    """Return a 64-bit hash of an entry; hashes are combined by XOR, so the order of entries is irrelevant."""
    fields = f"{entry.node} {entry.incarnation} {entry.sequence} {entry.active:d} {entry.backend}"
    return int.from_bytes(hashlib.blake2b(fields.encode(), digest_size=8).digest(), "big")


class BanCounter:
    """Counter of the bans that one process of a node issues.

    The low bits of its sequence numbers are a tag of the process. Two processes of a node can have the same
    incarnation after a disk is lost; they issue the same counter only if their tags are equal.
    """

    def __init__(self, incarnation: int, tag: int) -> None:
        """Create the counter of a process that has not issued a ban yet."""
        self.incarnation = incarnation
        self._tag = tag % (1 << PROCESS_TAG_BITS)
        self._issued_in_incarnation = 0

    @property
    def sequence(self) -> int:
        """Sequence number of the last issued ban."""
        return self._issued_in_incarnation << PROCESS_TAG_BITS | self._tag

    def is_behind(self, entry: BanEntry) -> bool:
        """Return whether an entry of this node has a greater counter."""
        return entry.counter > (self.incarnation, self.sequence)

    def advance_past(self, entry: BanEntry) -> None:
        """Skip the incarnation of a greater counter, as its process may have issued more bans in it."""
        if self.is_behind(entry):
            self.incarnation = entry.incarnation + 1

    def increment(self) -> None:
        """Advance to the counter of the next ban."""
        self._issued_in_incarnation += 1
        if self._issued_in_incarnation >= MAX_BANS_PER_INCARNATION:
            self.incarnation += 1
            self._issued_in_incarnation = 0


class BanRegister:
    """Ban entries that one node knows."""

    def __init__(self, node: int, incarnation: int, process_tag: int = 0) -> None:
        """Create an empty register; `process_tag` must differ between processes of the same incarnation."""
        self.node = node
        self.counter = BanCounter(incarnation, process_tag)
        self.hash = 0  # the hash combines all shareable entries, so equal registers have equal hashes
        self.buckets = [0] * DIGEST_BUCKET_COUNT
        self.counts: Counter[str] = Counter()
        self._entries: dict[str, dict[int, BanEntry]] = {}
        self._size = 0
        # Backends whose entries of this node were issued by this process.
        self._issued_backends: set[str] = set()
        # Maps backends to the incarnations of this node's active entries on its disk.
        self._restored_incarnations: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return self._size

    def entries(self) -> list[BanEntry]:
        """Return all entries in an order that is the same on every node."""
        return [by_node[node] for _, by_node in sorted(self._entries.items()) for node in sorted(by_node)]

    def entries_in(self, buckets: int) -> list[BanEntry]:
        """Return the shareable entries of the buckets in a bit mask, in the same order on every node."""
        return [
            entry
            for entry in self.entries()
            if is_shareable(entry.backend) and buckets >> bucket_of(entry.backend) & 1
        ]

    def entries_of(self, backend: str) -> list[BanEntry]:
        """Return all entries of a backend."""
        return list(self._entries.get(backend, {}).values())

    def get(self, backend: str, node: int) -> BanEntry | None:
        """Return the entry of a backend and a node, or None."""
        return self._entries.get(backend, {}).get(node)

    def is_banned(self, backend: str) -> bool:
        """Return whether a backend is banned."""
        return any(entry.active for entry in self.entries_of(backend))

    def bans(self) -> dict[str, float]:
        """Return the banned backends in sorted order, each with the start time of its ban."""
        return {backend: self.since(backend) for backend in sorted(self._entries) if self.is_banned(backend)}

    def since(self, backend: str) -> float:
        """Return when a backend's ban began or, if it is not banned, was lifted; -inf if unknown."""
        entries = self.entries_of(backend)
        banned = [entry.changed_at for entry in entries if entry.active]
        return min(banned) if banned else max((entry.changed_at for entry in entries), default=-math.inf)

    def new_ban(self, backend: str, requested_at: float) -> BanEntry:
        """Return an entry, not merged yet, for a ban requested here; its counter exceeds all of this node."""
        known = self.get(backend, self.node)
        if known is not None:
            self.counter.advance_past(known)
        self.counter.increment()
        return BanEntry(
            backend, self.node, self.counter.incarnation, self.counter.sequence, True, requested_at
        )

    def new_lift(self, backend: str, requested_at: float) -> list[BanEntry]:
        """Return the entries, not merged yet, with which a lift requested here clears every known ban."""
        entries = sorted(self.entries_of(backend), key=lambda entry: entry.node)
        return [entry._replace(active=False, changed_at=requested_at) for entry in entries if entry.active]

    def commit(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge entries of a local request that are on disk; return reissued ones that must still be written.

        A newer entry may have arrived during the write. A ban is then reissued above that entry, which is of
        an earlier incarnation that was unknown to this node's disk. A lift does not apply to the newer entry,
        as it has not seen that ban.
        """
        reissued = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            is_superseded = known is not None and known.version > entry.version
            if not is_superseded:
                self.put(entry)
                if entry.active:
                    self._issued_backends.add(entry.backend)
            elif entry.active:
                reissued.append(self.new_ban(entry.backend, entry.changed_at))
            else:
                self.counts["lifts_superseded"] += 1
        return reissued

    def restore(self, entries: Sequence[BanEntry]) -> list[BanEntry]:
        """Merge entries from this node's own disk; return the entries that changed.

        Own bans among them are reissued if a peer has an entry of this node with a later incarnation. Either
        this disk replaced a lost one while the clock was behind, or it is an old disk; as these cases look
        the same, the bans stay in force.
        """
        own = [entry for entry in entries if entry.node == self.node and self._is_valid(entry)]
        for entry in own:
            self.counter.advance_past(entry)
        changed = self.merge(entries)
        self._restored_incarnations.update(
            (entry.backend, entry.incarnation) for entry in own if entry.active
        )
        return changed

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge newer entries; return the entries that changed, including own bans that were reissued."""
        changed: dict[EntryKey, BanEntry] = {}
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            if not self._is_valid(entry) or (known is None and self._is_full(entry)):
                continue
            if known is not None and entry.version <= known.version:
                continue
            if entry.node == self.node:
                for reissued in self._reissue_for(entry):
                    changed[reissued.key] = reissued
                known = self.get(entry.backend, entry.node)
                if known is not None and known.version > entry.version:
                    continue
            self.put(entry)
            changed[entry.key] = entry
        return list(changed.values())

    def reissue_above(self, entry: BanEntry) -> list[BanEntry]:
        """Reissue own bans above an entry of an earlier incarnation, which must not override them."""
        self.counter.advance_past(entry)
        self.counts["outbid"] += 1
        reissued = []
        for backend in sorted(self._issued_backends):
            known = self.get(backend, self.node)
            if known is not None and known.active and known.counter < entry.counter:
                reissued.append(self.new_ban(backend, known.changed_at))
                self.put(reissued[-1])
        return reissued

    def put(self, entry: BanEntry) -> None:
        """Replace an entry without comparing versions, which the callers have already compared."""
        by_node = self._entries.setdefault(entry.backend, {})
        former = by_node.get(entry.node)
        by_node[entry.node] = entry
        self._size += former is None
        if not is_shareable(entry.backend):
            return
        bucket = bucket_of(entry.backend)
        for changed in (former, entry):
            if changed is not None:
                value = _hash(changed)
                self.hash ^= value
                self.buckets[bucket] ^= value & 0xFFFFFFFF

    def _reissue_for(self, entry: BanEntry) -> list[BanEntry]:
        """Reissue own bans where a peer's entry of this node requires it; return the reissued bans."""
        is_ahead = self.counter.is_behind(entry)
        if is_ahead:  # this node's disk does not know the incarnation, so its bans may be newer
            self._issued_backends |= self._restored_incarnations.keys()
        elif entry.incarnation > self._restored_incarnations.get(entry.backend, entry.incarnation):
            # The restored ban may be newer than the entry even if this process has a greater incarnation.
            self._issued_backends.add(entry.backend)
        if not is_ahead and entry.backend not in self._issued_backends:
            return []
        return self.reissue_above(entry)

    def _is_valid(self, entry: BanEntry) -> bool:
        """Return whether a greater counter is possible; otherwise the sender could block this node's bans."""
        valid = (
            0 <= entry.incarnation < COUNTER_LIMIT - 1
            and 0 <= entry.sequence < COUNTER_LIMIT
            and 0 <= entry.node <= MAX_NODE_NUMBER
        )
        if not valid:
            self.counts["impossible"] += 1
        return valid

    def _is_full(self, entry: BanEntry) -> bool:
        full = self._size >= MAX_ENTRIES and entry.node != self.node
        self.counts["rows_dropped"] += full
        return full
