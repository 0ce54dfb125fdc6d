"""Replicated register of bans: merged in any order, on any node, to the same state.

An enable-wins flag for each backend (Shapiro et al. 2011, A comprehensive study of convergent and
commutative replicated data types), kept as entries by (backend, node): a node raises its own entry's counter
with each ban that an operator requests there; a lift clears the active entries that its node knows of. The
greater counter wins, and at the same counter a lifted entry, for it has seen the ban. A backend is banned
while any of its entries is active. So a concurrent ban and lift end in the ban, and whatever is merged a
second time, late, or from a disk of last month changes nothing. No clock orders anything; `changed_at` only
says how long ago a backend returned.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_ID_BYTES = 96  # of a backend's id in a datagram
MAX_ENTRIES = 4096  # from which on entries of other nodes are dropped
BUCKET_COUNT = 16  # of a digest
COUNTER_LIMIT = 0xFFFFFFFF  # no incarnation or sequence comes so high: a greater counter always exists
MAX_NODE = 0xFFFF
TAG_BITS = 24  # of a sequence number
MAX_ISSUED = COUNTER_LIMIT >> TAG_BITS  # bans of one incarnation, the next ones are of the next


class EntryKey(NamedTuple):
    """Identity of an entry."""

    backend: str
    node: int


class BanEntry(NamedTuple):
    """The last ban of a backend by one node, and whether it has been lifted."""

    backend: str
    node: int
    incarnation: int
    sequence: int
    active: bool  # a ban that no lift has seen
    changed_at: float  # node clock, ms: when it was requested, or lifted; -inf if unknown

    @property
    def key(self) -> EntryKey:
        """Identity of the entry."""
        return EntryKey(self.backend, self.node)

    @property
    def counter(self) -> tuple[int, int]:
        """Order of all bans of one node."""
        return self.incarnation, self.sequence

    @property
    def version(self) -> tuple[int, int, bool]:
        """Order of the states of one entry: the greater one wins."""
        return self.incarnation, self.sequence, not self.active


def is_shareable(backend: str) -> bool:
    """Return whether an id fits into a datagram. A ban of any other one holds at its own node alone."""
    try:
        return 0 < len(backend.encode()) <= MAX_ID_BYTES
    except UnicodeEncodeError:
        return False


def bucket_of(backend: str) -> int:
    """Return the digest bucket that holds all entries of a backend."""
    return hashlib.blake2b(backend.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _hash(entry: BanEntry) -> int:
    """Return eight well-mixed bytes: they are joined by exclusive or, so their order does not count."""
    fields = f"{entry.node} {entry.incarnation} {entry.sequence} {entry.active:d} {entry.backend}"
    return int.from_bytes(hashlib.blake2b(fields.encode(), digest_size=8).digest(), "big")


class BanCounter:
    """Counter of the bans that one process of a node issues.

    Its sequence numbers end in the tag of the process, so two processes of one incarnation, of which one had
    a disk that was lost, issue no counter twice unless their tags are equal.
    """

    def __init__(self, incarnation: int, tag: int) -> None:
        """Create the counter of a process that has issued nothing."""
        self.incarnation = incarnation
        self._tag = tag % (1 << TAG_BITS)
        self._issued_count = 0  # in this incarnation

    @property
    def sequence(self) -> int:
        """Sequence number of the last ban."""
        return self._issued_count << TAG_BITS | self._tag

    def is_behind(self, entry: BanEntry) -> bool:
        """Return whether an entry of this node counts further."""
        return entry.counter > (self.incarnation, self.sequence)

    def advance_past(self, entry: BanEntry) -> None:
        """Continue in an incarnation above: the former process may have used what follows in its own."""
        if self.is_behind(entry):
            self.incarnation = entry.incarnation + 1

    def increment(self) -> None:
        """Advance to the next ban."""
        self._issued_count += 1
        if self._issued_count >= MAX_ISSUED:
            self.incarnation += 1
            self._issued_count = 0


class BanRegister:
    """The entries that one node knows."""

    def __init__(self, node: int, incarnation: int, sequence: int = 0) -> None:
        """Create an empty register; `sequence` is to differ between two processes of one incarnation."""
        self.node = node
        self.counter = BanCounter(incarnation, sequence)
        self.hash = 0  # of all shareable entries; equal where the entries are
        self.buckets = [0] * BUCKET_COUNT
        self.counts: Counter[str] = Counter()
        self._entries: dict[str, dict[int, BanEntry]] = {}
        self._size = 0
        self._issued: set[str] = set()  # backends whose own entry this process has issued
        self._restored: dict[str, int] = {}  # incarnation of own active entries that were on the disk

    def __len__(self) -> int:
        """Return the number of entries."""
        return self._size

    # --- queries

    def entries(self) -> list[BanEntry]:
        """Return all entries, in an order that is the same on every node."""
        return [by_node[node] for _, by_node in sorted(self._entries.items()) for node in sorted(by_node)]

    def entries_in(self, buckets: int) -> list[BanEntry]:
        """Return the shareable entries of the buckets whose bits are set, in that order."""
        return [
            entry
            for entry in self.entries()
            if is_shareable(entry.backend) and buckets >> bucket_of(entry.backend) & 1
        ]

    def entries_of(self, backend: str) -> list[BanEntry]:
        """Return the entries of a backend."""
        return list(self._entries.get(backend, {}).values())

    def get(self, backend: str, node: int) -> BanEntry | None:
        """Return one entry."""
        return self._entries.get(backend, {}).get(node)

    def is_banned(self, backend: str) -> bool:
        """Return whether a backend is banned."""
        return any(entry.active for entry in self.entries_of(backend))

    def bans(self) -> dict[str, float]:
        """Return the banned backends, in order, and since when."""
        return {backend: self.since(backend) for backend in sorted(self._entries) if self.is_banned(backend)}

    def since(self, backend: str) -> float:
        """Return since when a backend is banned, or has been back; -inf if unknown."""
        entries = self.entries_of(backend)
        banned = [entry.changed_at for entry in entries if entry.active]
        return min(banned) if banned else max((entry.changed_at for entry in entries), default=-math.inf)

    # --- requests of operators

    def new_ban(self, backend: str, requested_at: float) -> BanEntry:
        """Return the entry of a ban requested here, above all of this node so far. It is not merged yet."""
        known = self.get(backend, self.node)
        if known is not None:
            self.counter.advance_past(known)
        self.counter.increment()
        return BanEntry(
            backend, self.node, self.counter.incarnation, self.counter.sequence, True, requested_at
        )

    def new_lift(self, backend: str, requested_at: float) -> list[BanEntry]:
        """Return the entries of a lift requested here: every known ban is lifted. Not merged yet."""
        entries = sorted(self.entries_of(backend), key=lambda entry: entry.node)
        return [entry._replace(active=False, changed_at=requested_at) for entry in entries if entry.active]

    def commit(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge entries requested here that are on the disk; return those that have to be issued anew for it.

        Meanwhile a newer entry may have come. A ban is issued above it, as it is one of a former incarnation
        that no disk here knew; a lift does not apply to it, as it has not seen that ban.
        """
        reissued = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            is_superseded = known is not None and known.version > entry.version
            if not is_superseded:
                self.put(entry)
                if entry.active:
                    self._issued.add(entry.backend)
            elif entry.active:
                reissued.append(self.new_ban(entry.backend, entry.changed_at))
            else:
                self.counts["lifts_superseded"] += 1
        return reissued

    # --- entries of peers and of the disk

    def restore(self, entries: Sequence[BanEntry]) -> list[BanEntry]:
        """Merge what this node's own disk has; return the entries that changed.

        Own bans among it are issued anew once a peer shows an entry of a later incarnation of this node than
        theirs: either the disk came after a lost one, by a clock that was behind, or it is an old one. In
        doubt they hold.
        """
        own = [entry for entry in entries if entry.node == self.node and self._is_valid(entry)]
        for entry in own:
            self.counter.advance_past(entry)
        changed = self.merge(entries)
        self._restored.update((entry.backend, entry.incarnation) for entry in own if entry.active)
        return changed

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge newer entries; return those that changed, own ones that were issued anew included."""
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
        """Issue own bans anew above an entry of a former incarnation, which must not cover them."""
        self.counter.advance_past(entry)
        self.counts["outbid"] += 1
        reissued = []
        for backend in sorted(self._issued):
            known = self.get(backend, self.node)
            if known is not None and known.active and known.counter < entry.counter:
                reissued.append(self.new_ban(backend, known.changed_at))
                self.put(reissued[-1])
        return reissued

    def put(self, entry: BanEntry) -> None:
        """Replace an entry, whatever its version: callers have compared it with the known one."""
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
        """Return own bans issued anew because of an entry of this node that a peer had."""
        is_ahead = self.counter.is_behind(entry)
        if is_ahead:  # of an incarnation unknown to this disk: what the disk has may come after that one
            self._issued |= self._restored.keys()
        elif entry.incarnation > self._restored.get(entry.backend, entry.incarnation):
            self._issued.add(entry.backend)  # the same, though this process has a greater one already
        if not is_ahead and entry.backend not in self._issued:
            return []
        return self.reissue_above(entry)

    def _is_valid(self, entry: BanEntry) -> bool:
        """Return whether a greater counter exists: else its sender could keep this node from its bans."""
        valid = (
            0 <= entry.incarnation < COUNTER_LIMIT - 1
            and 0 <= entry.sequence < COUNTER_LIMIT
            and 0 <= entry.node <= MAX_NODE
        )
        if not valid:
            self.counts["impossible"] += 1
        return valid

    def _is_full(self, entry: BanEntry) -> bool:
        full = self._size >= MAX_ENTRIES and entry.node != self.node
        self.counts["rows_dropped"] += full
        return full
