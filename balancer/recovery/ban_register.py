"""Bans and returns as a replicated register: joined in any order, on any node, to the same.

An enable-wins flag for each backend (Shapiro et al. 2011, A comprehensive study of convergent and
commutative replicated data types), kept as rows by (backend, node): a node raises its own row's counter with
each ban that it is told; a return clears the live rows that its node knows of. The greater counter wins, and
at the same counter a cleared row, for it has seen the ban. A backend is banned while any of its rows is live.
So a ban and a return at the same time end in the ban, and whatever is joined a second time, late, or from a
disk of last month changes nothing. No clock orders anything; `at` only says how long ago a backend returned.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_ID_BYTES = 96  # bytes of a backend's id in a datagram
MAX_REMOTE_ENTRIES = 4096  # that other nodes may have this one keep
BUCKET_COUNT = 16
COUNTER_LIMIT = (
    0xFFFFFFFF  # neither a life nor a sequence comes so high: there is always a counter above a row's
)


class BanEntry(NamedTuple):
    """What one node's last ban of a backend has come to."""

    backend: str
    node: int
    life: int
    seq: int
    live: bool  # a ban that no return has seen
    at: float  # node clock, ms: when it was called, or cleared; -inf where nobody knows

    @property
    def counter(self) -> tuple[int, int]:
        """Orders all bans of one node."""
        return self.life, self.seq

    @property
    def key(self) -> tuple[int, int, bool]:
        """The greater one wins."""
        return self.life, self.seq, not self.live


def is_shareable(backend: str) -> bool:
    """Whether an id can be told to others. A ban of any other one holds at its own node alone."""
    try:
        return 0 < len(backend.encode()) <= MAX_ID_BYTES
    except UnicodeEncodeError:
        return False


def bucket_of(backend: str) -> int:
    """Of the digests: all rows of a backend are in the same one."""
    return hashlib.blake2b(backend.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _hash(row: BanEntry) -> int:
    """Eight bytes that mix well: they are joined by exclusive or, so their order does not count."""
    text = f"{row.node} {row.life} {row.seq} {row.live:d} {row.backend}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class BanRegister:
    """The rows that one node knows. `seq` should differ between two processes of the same life."""

    def __init__(self, me: int, life: int, seq: int = 0) -> None:
        self.me, self.life, self.seq = me, life, seq
        self.hash = 0  # of all rows that are shared; equal where the rows are
        self.buckets = [0] * BUCKET_COUNT
        self.counts: Counter[str] = Counter()
        self._rows: dict[str, dict[int, BanEntry]] = {}
        self._size = 0
        self._own: set[str] = set()  # backends whose own row this process has issued
        self._restored: set[str] = set()  # those whose own row, a ban, the disk has brought back

    def __len__(self) -> int:
        return self._size

    # --- what it says

    def rows(self) -> list[BanEntry]:
        """All of them, in an order that is the same on every node."""
        return [by[node] for _, by in sorted(self._rows.items()) for node in sorted(by)]

    def rows_in(self, buckets: int) -> list[BanEntry]:
        """Those that are told to others, of the buckets whose bits are set, in that order."""
        return [r for r in self.rows() if is_shareable(r.backend) and buckets >> bucket_of(r.backend) & 1]

    def get(self, backend: str, node: int) -> BanEntry | None:
        """One row."""
        return self._rows.get(backend, {}).get(node)

    def banned(self, backend: str) -> bool:
        """Whether a backend is out."""
        return any(row.live for row in self._rows.get(backend, {}).values())

    def bans(self) -> dict[str, float]:
        """Backends that are out, in order, and since when."""
        return {name: self.since(name) for name in sorted(self._rows) if self.banned(name)}

    def since(self, backend: str) -> float:
        """Since when it is out, or has been back; -inf where nobody knows."""
        by = self._rows.get(backend, {}).values()
        out = [row.at for row in by if row.live]
        return min(out) if out else max((row.at for row in by), default=-math.inf)

    # --- what an operator calls

    def ban(self, backend: str, at: float) -> BanEntry:
        """The row of a ban called here, above all of this node so far. It is not joined yet."""
        known = self.get(backend, self.me)
        if known is not None:
            self._above(known)
        self._step()
        return BanEntry(backend, self.me, self.life, self.seq, True, at)

    def back(self, backend: str, at: float) -> list[BanEntry]:
        """The rows of a return called here: every ban that is known is cleared. Not joined yet."""
        by = self._rows.get(backend, {})
        return [by[node]._replace(live=False, at=at) for node in sorted(by) if by[node].live]

    def commit(self, rows: Iterable[BanEntry]) -> list[BanEntry]:
        """Join rows of calls here that are synced; returns those that have to be issued anew for it.

        Meanwhile a row of a former life of this node may have come, that no disk here knew: a ban above it.
        """
        again = []
        for row in rows:
            known = self.get(row.backend, row.node)
            if row.live and known is not None and known.key > row.key:
                again.append(self.ban(row.backend, row.at))
                continue
            if row.live:
                self._own.add(row.backend)
            self._put(row)
        return again

    # --- what others say, and the disk

    def restore(self, rows: Sequence[BanEntry]) -> list[BanEntry]:
        """Take what this node's own disk has kept; returns the rows that are now another than before.

        Own bans among it are issued anew once a peer tells of a later life of this node than this one: either
        the disk came after a lost one, by a clock that was behind, or it is an old one. In doubt they hold.
        """
        own = [row for row in rows if row.node == self.me and self._possible(row)]
        for row in own:
            self._above(row)
        changed = self.join(rows)
        self._restored.update(row.backend for row in own if row.live)
        return changed

    def join(self, rows: Iterable[BanEntry]) -> list[BanEntry]:
        """Take what is news; returns the rows that are now another than before, own ones issued anew too."""
        changed: dict[tuple[str, int], BanEntry] = {}
        for row in rows:
            known = self.get(row.backend, row.node)
            if not self._possible(row) or (known is None and self._full(row)):
                continue
            if known is not None and row.key <= known.key:
                continue
            ahead = row.counter > (self.life, self.seq)
            if row.node == self.me and (ahead or row.backend in self._own):
                if ahead:  # of a life that this disk has not seen: what it holds may come after that one
                    self._own |= self._restored
                for again in self._outbid(row):
                    changed[again.backend, self.me] = again
                known = self.get(row.backend, row.node)
                if known is not None and known.key > row.key:
                    continue
            self._put(row)
            changed[row.backend, row.node] = row
        return list(changed.values())

    def _outbid(self, row: BanEntry) -> list[BanEntry]:
        """A former life of this node counted further than this one: its bans must not cover ours."""
        self._above(row)
        self.counts["outbid"] += 1
        out = []
        for name in sorted(self._own):
            known = self.get(name, self.me)
            if known is not None and known.live and known.counter < row.counter:
                out.append(self.ban(name, known.at))
                self._put(out[-1])
        return out

    def _above(self, row: BanEntry) -> None:
        """Count on in a life above: what follows `row` in its own life the former process may have used."""
        if row.counter > (self.life, self.seq):
            self.life = row.life + 1

    def _step(self) -> None:
        self.seq += 1
        if self.seq >= COUNTER_LIMIT:
            self.life, self.seq = self.life + 1, 0

    def _possible(self, row: BanEntry) -> bool:
        """Whether there is a counter above: else whoever says so could keep this node from its bans."""
        sound = 0 <= row.life < COUNTER_LIMIT - 1 and 0 <= row.seq < COUNTER_LIMIT and 0 <= row.node <= 0xFFFF
        if not sound:
            self.counts["impossible"] += 1
        return sound

    def _full(self, row: BanEntry) -> bool:
        full = self._size >= MAX_REMOTE_ENTRIES and row.node != self.me
        self.counts["rows_dropped"] += full
        return full

    def _put(self, row: BanEntry) -> None:
        by = self._rows.setdefault(row.backend, {})
        old = by.get(row.node)
        by[row.node] = row
        self._size += old is None
        if is_shareable(row.backend):
            at = bucket_of(row.backend)
            for one in (old, row):
                if one is not None:
                    value = _hash(one)
                    self.hash ^= value
                    self.buckets[at] ^= value & 0xFFFFFFFF
