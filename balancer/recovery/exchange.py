"""What one node tells its peers of itself and of its register, and when: under one budget, most urgent first.

Rows go to all where several lack them: every node that has rows nobody told waits for an exponential time,
the longer the more peers have the same register, and what it hears on the way it tells no further
(suppression as in SRM, Floyd et al. 1997). What is left differs by pairs: a digest of 16 bucket hashes asks,
and what differs comes back. As rows only grow, a node knows all that a peer knew at a register hash that it
has had itself, or that it was told whole: that is what agreement means here.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from balancer.recovery.ban_register import BUCKET_COUNT, BanEntry, BanRegister, is_shareable
from balancer.recovery.messages import (
    MAX_ENTRIES_BYTES,
    Body,
    ListFilter,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
    encoded_entry_size,
)

ALL = (1 << BUCKET_COUNT) - 1
LOW = 0xFFFFFFFF
MOST_COVERED = 4096  # hashes
MOST_OWED = 256  # answers
MOST_REPAIRS = 16  # peers that are repaired at once
MOST_PARTIAL = 64  # tellings in parts that are under way
MOST_URGENT = 1024  # rows
PAGES = 8.0  # a second, of all nodes together, while much is new
PAGE_BASE = 60.0  # ms in which a node hears who else has the same
SEVERAL = 3  # peers that differ, or that ask, from which rows go to all
FEW_PARTS = 4  # datagrams that a whole register may take to go as a whole
LONGEST = 4000.0  # ms from one digest to the next, while they bring nothing
COMPARE = 5000.0  # ms between two states that are told to somebody
FILTERS = 2.0  # a second, of all nodes together
FILTER_AGAIN = 5000.0  # ms between two of one tier
TIMES = 2  # that a call's row is told to all
COUNTER_NAMES = {
    MessageKind.SURVEY: "sent_roll",
    MessageKind.STATUS: "sent_answer",
    MessageKind.DIGEST: "sent_digest",
    MessageKind.ENTRIES: "sent_rows",
    MessageKind.LIST_FILTER: "sent_filter",
}  # keys of `/stats`


class Out(NamedTuple):
    """A datagram to be sent."""

    node: int | None  # None: to all
    kind: MessageKind
    body: Body


@dataclass(slots=True)
class Repair:
    """Rows on their way to one peer that has asked for them."""

    of: int  # the lower half of his register's hash
    mask: int  # the buckets that differ
    hash: int  # of this register when he asked
    rest: list[tuple[tuple[str, int], ...]]  # parts still to go, by backend and node
    parts: int


class Exchange:
    """Datagrams of node `me` about `register`; at most `rate` a second, `burst` at once."""

    def __init__(
        self, me: int, register: BanRegister, rand: random.Random, rate: float, burst: float, again: float,
        now: float,
    ) -> None:  # fmt: skip
        self.me, self.register, self.random = me, register, rand
        self.rate, self.burst, self.again = rate, burst, again
        self.counts: Counter[str] = Counter()
        self.said: dict[int, int] = {}  # the last register hash of each peer
        self.leaving = False
        self.filter: ListFilter | None = None  # what this node could tell of a list of discovery's
        self._tokens, self._earned = burst, now
        self._covered: dict[int, None] = {}  # hashes of registers that this one holds all rows of
        self._mine: dict[int, None] = {}  # lower halves of those that this one has had
        self._untold: dict[tuple[str, int], None] = {}  # rows that nobody told to all
        self._urgent: dict[tuple[str, int], tuple[float, int]] = {}  # when they go, how often still
        self._roll = False
        self._owed: dict[int | None, None] = {}  # None: all
        self._repairs: dict[int, Repair] = {}
        self._partial: dict[tuple[int, int, int, int], set[int]] = {}
        self._answer = self._pages = self._digest = self._filter = math.inf
        self._compare = now + COMPARE * rand.uniform(0.5, 1.5)
        self._filtered = -math.inf  # when a filter was last told to all
        self._split: tuple[int, int, list[tuple[BanEntry, ...]]] = (0, 0, [()])
        self._patience = again  # ms from one digest to the next
        self._cover(0)
        self.grown()

    # --- what this node knows

    def grown(self, rows: Iterable[BanEntry] = (), told: bool = False) -> None:
        """The register has changed by these rows, that all were told or not."""
        self._mine[self.register.hash & LOW] = None
        _cap(self._mine, MOST_COVERED)
        self._cover(self.register.hash)
        self._patience = self.again
        for row in rows:
            if not is_shareable(row.backend):
                continue
            if told:
                self._untold.pop(row[:2], None)
            else:
                self._untold[row[:2]] = None

    def agrees(self, node: int) -> bool:
        """Whether this node knows all bans and returns that a peer knew when it last spoke."""
        return node in self.said and self.said[node] in self._covered

    def is_behind(self, node: int) -> bool:
        """Whether a peer lacked something when it last spoke, and had nothing that is news here."""
        return self.agrees(node) and self.said[node] != self.register.hash

    def lacking(self) -> list[int]:
        """Peers that know what this node does not."""
        return [node for node, hash_ in sorted(self.said.items()) if hash_ not in self._covered]

    def _cover(self, hash_: int) -> None:
        self._covered.pop(hash_, None)
        self._covered[hash_] = None
        _cap(self._covered, MOST_COVERED)

    # --- what it is asked to send

    def roll(self) -> None:
        """Call the roll."""
        self._roll = True

    def owe(self, node: int | None, now: float, wait: float = 0.0) -> None:
        """Answer a peer, or say to all what this node is by now; several at once make one datagram to all."""
        if len(self._owed) >= MOST_OWED:
            self.counts["answers_dropped"] += 1
        else:
            self._owed[node] = None
            self._answer = min(self._answer, now + wait)

    def urge(self, rows: Iterable[BanEntry], now: float) -> None:
        """Tell rows to all at once, and once more."""
        for row in rows:
            if not is_shareable(row.backend):
                self.counts["ids_not_shared"] += 1
            elif len(self._urgent) >= MOST_URGENT:  # it is told by digests then
                self.counts["urgent_dropped"] += 1
            else:
                self._urgent[row[:2]] = (now, TIMES)

    def forget(self, node: int) -> None:
        """A peer is gone, or another one is at home there."""
        for table in (self.said, self._owed, self._repairs):
            table.pop(node, None)

    # --- what it hears

    def hears(self, node: int, hash_: int, now: float, wait: float) -> None:
        """A peer's register has that hash; what this node lacks it asks for after `wait` ms at most."""
        self.said[node] = hash_
        if hash_ not in self._covered:
            self._digest = min(self._digest, now + self.random.uniform(wait / 2, wait))
        if hash_ != self.register.hash and self._pages == math.inf and self._worth_a_page():
            self._pages = now + PAGE_BASE + self._wait(PAGES)

    def rows_came(self, node: int, hash_: int, rows: RegisterPage) -> list[BanEntry]:
        """Rows of a peer; returns those of this register that are other ones for it."""
        changed = self.register.join(rows.rows)
        self.grown(changed)
        if rows.to_all:
            for row in rows.rows:
                known = self.register.get(row.backend, row.node)
                if known is not None and known.key == row.key:
                    self._untold.pop(row[:2], None)
        if rows.mask == ALL or (rows.mask and rows.of in self._mine):
            key = (node, hash_, rows.mask, rows.parts)
            parts = self._partial.setdefault(key, set())
            parts.add(rows.part)
            if len(parts) == rows.parts:
                del self._partial[key]
                self._cover(hash_)
            _cap(self._partial, MOST_PARTIAL)
        return changed

    def digest_came(self, node: int, hash_: int, theirs: tuple[int, ...], now: float) -> None:
        """A peer asks for what it lacks; where there is nothing, an empty answer says that it has all."""
        own = self.register.buckets
        mask = sum(1 << i for i, (a, b) in enumerate(zip(own, theirs, strict=True)) if a != b)
        if not mask:
            self.owe(node, now)  # he has not heard of it
            return
        if node not in self._repairs and len(self._repairs) + 1 >= SEVERAL and not self.leaving:
            self._repairs.clear()  # to all at once: one datagram for each of them is more
            for row in self.register.rows_in(ALL if len(self._parts(ALL)) <= FEW_PARTS else mask):
                self._untold[row[:2]] = None
            self._pages = now
        elif node not in self._repairs and len(self._repairs) >= MOST_REPAIRS:
            self.counts["repairs_dropped"] += 1
        else:
            rest = [tuple(row[:2] for row in part) for part in self._parts(mask)]
            self._repairs[node] = Repair(hash_ & LOW, mask, self.register.hash, rest, len(rest))

    def filter_came(self, filter_: ListFilter, now: float) -> None:
        """Somebody told all what this node would have told."""
        if self.filter is not None and filter_.revision >= self.filter.revision:
            self._filter, self._filtered = math.inf, now

    def filter_wanted(self, now: float, listed: int) -> None:
        """A peer serves from its saved list, and `listed` nodes could tell it better."""
        if self.filter is not None and self._filter == math.inf and now >= self._filtered + FILTER_AGAIN:
            self._filter = now + self.random.expovariate(FILTERS / max(1, listed)) * 1000

    # --- what goes out

    @property
    def due(self) -> float:
        """When something is to be sent and may be."""
        wanted = min(self._answer, self._pages, self._digest, self._filter, self._compare)
        if self._urgent:
            wanted = min(wanted, min(at for at, _ in self._urgent.values()))
        if self._roll or self._repairs:
            wanted = -math.inf
        lacks = max(0.0, 1.0 - self._tokens)
        return max(wanted, self._earned + lacks / self.rate * 1000 + 1e-6)

    def take(self, now: float, state: Callable[[StatusFlag], NodeStatus], peers: list[int]) -> list[Out]:
        """What goes out now; `peers` are those present."""
        self._tokens = min(self.burst, self._tokens + (now - self._earned) / 1000 * self.rate)
        self._earned = now
        sent: list[Out] = []
        while self._tokens >= 1.0 and (one := self._next(now, state, peers)) is not None:
            self._tokens -= 1.0
            sent.append(one)
            self.counts[COUNTER_NAMES[one.kind]] += 1
        return sent

    def _next(self, now: float, state: Callable[[StatusFlag], NodeStatus], peers: list[int]) -> Out | None:
        if (rows := self._take_urgent(now)) is not None:
            return Out(None, MessageKind.ENTRIES, RegisterPage(rows, to_all=True))
        if now >= self._pages and (page := self._take_page(now)) is not None:
            return page
        if self._roll:
            self._roll = False
            self._owed.clear()  # all hear it
            self._answer = math.inf
            return Out(None, MessageKind.SURVEY, state(StatusFlag(0)))
        if now >= self._digest:
            self._digest = math.inf
            if lacking := self.lacking():
                self._digest = now + self._patience * self.random.uniform(1.0, 1.5)
                self._patience = min(2 * self._patience, LONGEST)
                return Out(self.random.choice(lacking), MessageKind.DIGEST, tuple(self.register.buckets))
        if (repair := self._take_repair()) is not None:
            return repair
        if now >= self._answer:
            node = next(iter(self._owed)) if len(self._owed) == 1 else None
            some, self._answer = bool(self._owed), math.inf
            self._owed.clear()
            if some:
                return Out(node, MessageKind.STATUS, state(StatusFlag.REPLY))
        if self.leaving:
            self._filter = self._compare = math.inf
            return None
        if now >= self._filter:
            self._filter, self._filtered = math.inf, now
            if self.filter is not None:
                return Out(None, MessageKind.LIST_FILTER, self.filter)
        if now >= self._compare:
            self._compare = now + COMPARE * self.random.uniform(0.75, 1.25)
            if peers:
                return Out(self.random.choice(peers), MessageKind.STATUS, state(StatusFlag(0)))
        return None

    def _take_urgent(self, now: float) -> tuple[BanEntry, ...] | None:
        rows, room = [], MAX_ENTRIES_BYTES
        for key, (at, times) in list(self._urgent.items()):
            row = self.register.get(*key)
            if at > now or row is None or encoded_entry_size(row) > room:
                continue
            rows.append(row)
            room -= encoded_entry_size(row)
            self._untold.pop(key, None)
            del self._urgent[key]
            if times > 1:
                self._urgent[key] = (now + self.again, times - 1)
        return tuple(rows) if rows else None

    def _take_repair(self) -> Out | None:
        """One part for one peer; the others follow in turn. Once the register has changed it is not all."""
        if not self._repairs:
            return None
        node = next(iter(self._repairs))
        repair = self._repairs.pop(node)
        keys, part = repair.rest.pop(0), repair.parts - len(repair.rest) - 1
        if repair.rest:
            self._repairs[node] = repair
        rows = tuple(row for key in keys if (row := self.register.get(*key)) is not None)
        if repair.hash != self.register.hash:
            return Out(node, MessageKind.ENTRIES, RegisterPage(rows))
        return Out(node, MessageKind.ENTRIES, RegisterPage(rows, repair.of, repair.mask, part, repair.parts))

    def _take_page(self, now: float) -> Out | None:
        """The first part of the register that has rows which nobody told to all."""
        self._pages = math.inf
        parts = self._parts(ALL)
        for part, rows in enumerate(parts):
            if any(row[:2] in self._untold for row in rows):
                for row in rows:
                    self._untold.pop(row[:2], None)
                if self._untold:
                    self._pages = now + self._wait(PAGES)
                return Out(
                    None, MessageKind.ENTRIES, RegisterPage(rows, 0, ALL, part, len(parts), to_all=True)
                )
        return None

    def _worth_a_page(self) -> bool:
        differ = sum(hash_ != self.register.hash for hash_ in self.said.values())
        return bool(self._untold) and differ >= min(SEVERAL, max(1, len(self.said) // 3))

    def _wait(self, rate: float) -> float:
        """Nodes with the same register make `rate` pages a second together, ms."""
        same = 1 + sum(hash_ == self.register.hash for hash_ in self.said.values())
        return self.random.expovariate(rate / same) * 1000

    def _parts(self, mask: int) -> list[tuple[BanEntry, ...]]:
        """The rows of some buckets, by datagrams: the same for the same hash, whoever asks."""
        if self._split[:2] != (self.register.hash, mask):
            parts: list[tuple[BanEntry, ...]] = []
            page: list[BanEntry] = []
            room = MAX_ENTRIES_BYTES
            for row in self.register.rows_in(mask):
                if encoded_entry_size(row) > room:
                    parts.append(tuple(page))
                    page, room = [], MAX_ENTRIES_BYTES
                page.append(row)
                room -= encoded_entry_size(row)
            self._split = (self.register.hash, mask, [*parts, tuple(page)])
        return self._split[2]


def _cap(table: dict[int, None] | dict[tuple[int, int, int, int], set[int]], most: int) -> None:
    """Drop what was put in first."""
    while len(table) > most:
        del table[next(iter(table))]  # type: ignore[arg-type]
