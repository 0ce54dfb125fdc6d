"""The backends that may have new work, kept up by what changed: an event costs what it names, not the list.

Nothing here decides: `policy` says who may have work and which are near, and asks who stands where.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from operator import itemgetter

from balancer import interface as api
from balancer.state import Backend

BLOCK = 512  # names in a block of an order, twice as many at most: about the root of a long list
SLACK = 64  # stale values that a heap may hold beside as many as it has sound ones
FORMER = 1024  # ids remembered after they are forgotten, for operators who name one that has just gone


class Least:
    """The least of many values that change one at a time: a heap whose stale entries go as they surface."""

    def __init__(self, current: Callable[[str], float]) -> None:
        """`current` gives the value that a name has now; infinite: it does not count."""
        self.current = current
        self.heap: list[tuple[float, str]] = []
        self.most = SLACK

    def push(self, name: str) -> None:
        """The value of this name is another one, or it counts again."""
        if (value := self.current(name)) < math.inf:
            heapq.heappush(self.heap, (value, name))
            if len(self.heap) > self.most:
                sound = {name for value, name in self.heap if self.current(name) == value}
                self.heap = [(self.current(name), name) for name in sound]
                heapq.heapify(self.heap)
                self.most = SLACK + 2 * len(sound)

    def least(self) -> float:
        """Infinite where none counts."""
        while self.heap and self.current(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf


class Places:
    """Names by position, in blocks: to insert, remove or find one costs about the root of their number."""

    def __init__(self, records: dict[str, Backend]) -> None:
        self.records, self.size = records, 0
        self.blocks: list[list[str]] = []

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[str]:
        for block in self.blocks:
            yield from block

    def window(self, first: int, last: int) -> list[str]:
        """The names at these positions, `last` not included."""
        out: list[str] = []
        for block in self.blocks:
            if last <= 0:
                break
            if first < len(block):
                out += block[max(0, first) : last]
            first, last = first - len(block), last - len(block)
        return out

    def index(self, name: str) -> int:
        """The position of a name that is here."""
        mine, at = self.records[name].block, 0
        for block in self.blocks:
            if block is mine:
                break
            at += len(block)
        return at + (mine or []).index(name)

    def insert(self, some: Sequence[tuple[int, str]]) -> None:
        """Each before the one that stands at its position now, at the end beyond the last; positions ascend.

        All in one pass: a long list comes in pieces of many.
        """
        if not self.blocks:
            self.blocks.append([])
        ends = list(accumulate(map(len, self.blocks)))
        first = more = 0  # of `some`; blocks that came of those before
        while first < len(some):
            number = min(bisect_left(ends, some[first][0]), len(ends) - 1)
            last = len(some)
            if number < len(ends) - 1:
                last = bisect_right(some, ends[number], first, key=itemgetter(0))
            block = self.blocks[number + more]
            self._fill(block, ends[number] - len(block), some[first:last])
            first = last
            if len(block) > 2 * BLOCK:
                upper = [block[at : at + BLOCK] for at in range(BLOCK, len(block), BLOCK)]
                del block[BLOCK:]
                self.blocks[number + more + 1 : number + more + 1] = upper
                more += len(upper)
                for one in upper:
                    for name in one:
                        self.records[name].block = one

    def _fill(self, block: list[str], begin: int, some: Sequence[tuple[int, str]]) -> None:
        for _, name in some:
            self.records[name].block = block
        self.size += len(some)
        if (size := len(block)) > len(some):
            for at, name in reversed(some):  # what is put behind moves nothing before it
                block.insert(min(at - begin, size), name)
            return
        out, done = list[str](), 0
        for at, name in some:
            out += block[done : at - begin]
            out.append(name)
            done = at - begin
        block[:] = out + block[done:]

    def remove(self, name: str) -> None:
        """One that is here."""
        block = self.records[name].block or []
        block.remove(name)
        self.records[name].block = None
        self.size -= 1
        if not block:
            del self.blocks[next(i for i, one in enumerate(self.blocks) if one is block)]


class Order:
    """A node's own order of what may have new work: all that are near, then all that are far."""

    def __init__(self, records: dict[str, Backend]) -> None:
        self.records = records
        self.far, self.near = Places(records), Places(records)

    def __len__(self) -> int:
        return len(self.near) + len(self.far)

    def __iter__(self) -> Iterator[str]:
        yield from self.near
        yield from self.far

    def __contains__(self, name: str) -> bool:
        return (b := self.records.get(name)) is not None and b.block is not None

    def window(self, first: int, last: int, far: bool = False) -> list[str]:
        """The names at these positions; `far`: counted from the first far one, the near ones behind them."""
        one, two = (self.far, self.near) if far else (self.near, self.far)
        return one.window(first, last) + two.window(first - len(one), last - len(one))

    def side(self, near: bool) -> Places:
        """The near ones or the far ones."""
        return self.near if near else self.far

    def index(self, name: str) -> int:
        """The position of a name that is here, on its side."""
        return self.side(self.records[name].near).index(name)

    def join(self, some: Sequence[tuple[int, str]], near: bool) -> None:
        """Insert near ones or far ones; see `Places.insert`."""
        for _, name in some:
            self.records[name].near = near
        self.side(near).insert(some)

    def leave(self, name: str) -> None:
        """One that is here may have no new work any more."""
        self.side(self.records[name].near).remove(name)

    def turn(self, name: str, near: bool) -> None:
        """One that is here has become near or far: it stands next to those that it leaves."""
        self.leave(name)
        self.join([(len(self.near) if near else 0, name)], near)

    def sort(self, near: Callable[[Backend], bool]) -> None:
        """Tell all near ones and far ones apart anew; each side keeps its order."""
        sides: dict[bool, list[tuple[int, str]]] = {True: [], False: []}
        for name in self:
            sides[near(self.records[name])].append((0, name))
        self.far, self.near = Places(self.records), Places(self.records)
        for side, some in sides.items():
            self.join(some, side)


class Zone:
    """The backends of one zone that may have new work."""

    def __init__(self, name: str, records: dict[str, Backend]) -> None:
        def trip(of: str) -> float:
            b = records.get(of)
            return b.trip if b is not None and b.block is not None and b.entry.zone == name else math.inf

        self.size, self.trips = 0, Least(trip)  # the least way there and back of each


class Index:
    """All that is listed, and what follows from it."""

    def __init__(self) -> None:
        self.records: dict[str, Backend] = {}  # what is gone stays while something of it is out
        self.order = Order(self.records)
        self.listed = 0  # of the records, those that are not gone
        self.zones: dict[str, Zone] = {}  # of those in `order`
        self.cells: Counter[int] = Counter()  # likewise
        self.aside: dict[str, None] = {}  # ejected or busy, perhaps no more
        self.learned: dict[str, None] = {}  # those of which something is known, perhaps no more
        self.former: dict[str, None] = {}  # the latest that were forgotten

    def take(self, entry: api.Endpoint) -> None:
        """Take an entry of the list. One that was gone is another one, as is one that has started since."""
        b = self.records.get(entry.backend)
        if b is None:
            if entry.phase is not api.EndpointPhase.REMOVED:
                self.records[entry.backend] = Backend(entry)
                self.listed += 1
            return
        was, self.listed = b.entry, self.listed + _is_listed(entry) - _is_listed(b.entry)
        if entry.started_at > was.started_at or (_is_listed(entry) and not _is_listed(was)):
            b.restarted()
        if b.block is None or (was.zone, was.cell) == (entry.zone, entry.cell):
            b.entry = entry
        else:
            self._uncount(b)
            b.entry = entry
            self._count(b)

    def join(self, some: Sequence[tuple[int, str]], near: bool) -> None:
        """These may have new work from now on; see `Order.join`."""
        self.order.join(some, near)
        for _, name in some:
            self._count(self.records[name])

    def leave(self, name: str) -> None:
        """One may have no new work any more."""
        self._uncount(self.records[name])
        self.order.leave(name)

    def forget(self, b: Backend) -> bool:
        """Drop the record of one that is gone, unless something of it is out; whether it has gone."""
        name = b.entry.backend
        if _is_listed(b.entry) or b.out or b.waiting is not None or self.records.get(name) is not b:
            return False
        del self.records[name]
        self.aside.pop(name, None)
        self.learned.pop(name, None)
        self.former.pop(name, None)
        self.former[name] = None
        if len(self.former) > FORMER:
            del self.former[next(iter(self.former))]
        return True

    def window(self, first: int, last: int, far: bool = False) -> list[Backend]:
        """Those at these positions; see `Order.window`."""
        return [self.records[name] for name in self.order.window(first, last, far)]

    def least_trip(self, zone: str) -> float:
        """The least way there and back of those in a zone that may have new work."""
        return self.zones[zone].trips.least() if zone in self.zones else math.inf

    def note(self, b: Backend) -> None:
        """Something was learned of one, its least way there and back perhaps, or it was ejected."""
        name = b.entry.backend
        if self.records.get(name) is b:
            self.learned[name] = None
            if max(b.until, b.busy) > 0.0:
                self.aside[name] = None
            if b.block is not None:
                self.zones[b.entry.zone].trips.push(name)

    def set_aside(self, now: float) -> Iterator[Backend]:
        """Those that may have new work but are ejected or busy now."""
        for name in list(self.aside):
            b = self.records[name]
            if max(b.busy, b.until) <= now:
                del self.aside[name]
            elif b.block is not None:
                yield b

    def _count(self, b: Backend) -> None:
        if (zone := self.zones.get(b.entry.zone)) is None:
            zone = self.zones[b.entry.zone] = Zone(b.entry.zone, self.records)
        zone.size += 1
        if b.trip < math.inf:
            zone.trips.push(b.entry.backend)
        self.cells[b.entry.cell] += 1

    def _uncount(self, b: Backend) -> None:
        zone = self.zones[b.entry.zone]
        zone.size -= 1
        if not zone.size:
            del self.zones[b.entry.zone]
        self.cells[b.entry.cell] -= 1
        if not self.cells[b.entry.cell]:
            del self.cells[b.entry.cell]


def _is_listed(entry: api.Endpoint) -> bool:
    return entry.phase is not api.EndpointPhase.REMOVED
