"""Names of endpoints by position, kept in blocks.

An insertion, a removal or a look-up costs about the square root of the number of names.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from operator import itemgetter

from balancer.policy.records import EndpointRecord

BLOCK_SIZE = 512  # names in a block, twice as many at most: about the square root of a long list

MAX_POSITION_LOOKUPS = 64  # For more names, one pass over all names is cheaper than a look-up for each.

Insertion = tuple[int, str]
"""A position, before whose present name a new name goes, and that name."""


class OrderedNames:
    """A list of names in blocks; each record knows the block that holds its name."""

    def __init__(self, records: dict[str, EndpointRecord]) -> None:
        """Start empty; `records` has the record of each name."""
        self.records = records
        self.size = 0
        self.blocks: list[list[str]] = []

    def __len__(self) -> int:
        """Return the number of names."""
        return self.size

    def __iter__(self) -> Iterator[str]:
        """Yield the names in order."""
        for block in self.blocks:
            yield from block

    def window(self, first: int, last: int) -> list[str]:
        """Return the names at these positions, `last` excluded."""
        names: list[str] = []
        for block in self.blocks:
            if last <= 0:
                break
            if first < len(block):
                names += block[max(0, first) : last]
            first -= len(block)
            last -= len(block)
        return names

    def index(self, name: str) -> int:
        """Return the position of a name that is here."""
        own_block = self.records[name].order_block
        begin = 0
        for block in self.blocks:
            if block is own_block:
                break
            begin += len(block)
        return begin + (own_block or []).index(name)

    def insert(self, insertions: Sequence[Insertion]) -> None:
        """Insert each name at its position, at the end beyond the last; positions ascend.

        All blocks are handled in one pass, as a long list comes in pieces of many names.
        """
        if not self.blocks:
            self.blocks.append([])
        ends = list(accumulate(map(len, self.blocks)))
        first = 0  # of the insertions that remain
        added_blocks = 0
        while first < len(insertions):
            number = min(bisect_left(ends, insertions[first][0]), len(ends) - 1)
            last = len(insertions)
            if number < len(ends) - 1:
                last = bisect_right(insertions, ends[number], first, key=itemgetter(0))
            block = self.blocks[number + added_blocks]
            self._insert_into(block, ends[number] - len(block), insertions[first:last])
            first = last
            if len(block) > 2 * BLOCK_SIZE:
                added_blocks += self._split(number + added_blocks)

    def remove(self, name: str) -> None:
        """Remove a name that is here."""
        block = self.records[name].order_block or []
        block.remove(name)
        self.records[name].order_block = None
        self.size -= 1
        if not block:
            del self.blocks[next(i for i, one in enumerate(self.blocks) if one is block)]

    def _split(self, number: int) -> int:
        """Split a block and return how many blocks were added behind it."""
        block = self.blocks[number]
        added = [block[at : at + BLOCK_SIZE] for at in range(BLOCK_SIZE, len(block), BLOCK_SIZE)]
        del block[BLOCK_SIZE:]
        self.blocks[number + 1 : number + 1] = added
        for new_block in added:
            for name in new_block:
                self.records[name].order_block = new_block
        return len(added)

    def _insert_into(self, block: list[str], begin: int, insertions: Sequence[Insertion]) -> None:
        for _, name in insertions:
            self.records[name].order_block = block
        self.size += len(insertions)
        if (size := len(block)) > len(insertions):
            for position, name in reversed(insertions):  # an insertion moves nothing before it
                block.insert(min(position - begin, size), name)
            return
        merged = list[str]()
        done = 0
        for position, name in insertions:
            merged += block[done : position - begin]
            merged.append(name)
            done = position - begin
        block[:] = merged + block[done:]


class EndpointOrder:
    """A node's own order of the endpoints that may get new work: all local ones, then all remote ones."""

    def __init__(self, records: dict[str, EndpointRecord]) -> None:
        """Start empty; `records` has the record of each name."""
        self.records = records
        self.remote = OrderedNames(records)
        self.local = OrderedNames(records)

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return len(self.local) + len(self.remote)

    def __iter__(self) -> Iterator[str]:
        """Yield the names in order."""
        yield from self.local
        yield from self.remote

    def __contains__(self, name: str) -> bool:
        """Return whether an endpoint may get new work."""
        return (endpoint := self.records.get(name)) is not None and endpoint.order_block is not None

    def window(self, first: int, last: int, remote_first: bool = False) -> list[str]:
        """Return the names at these positions, counted from the first local or the first remote one."""
        head, tail = (self.remote, self.local) if remote_first else (self.local, self.remote)
        return head.window(first, last) + tail.window(first - len(head), last - len(head))

    def side(self, is_local: bool) -> OrderedNames:
        """Return the local ones or the remote ones."""
        return self.local if is_local else self.remote

    def index(self, name: str) -> int:
        """Return the position, on its side, of a name that is here."""
        return self.side(self.records[name].is_local).index(name)

    def insert(self, insertions: Sequence[Insertion], is_local: bool) -> None:
        """Insert local or remote endpoints; see `OrderedNames.insert`."""
        for _, name in insertions:
            self.records[name].is_local = is_local
        self.side(is_local).insert(insertions)

    def remove(self, name: str) -> None:
        """Remove an endpoint that is here."""
        self.side(self.records[name].is_local).remove(name)

    def change_sides(self, names: Sequence[str]) -> None:
        """Move endpoints to the other side, next to the side that they leave, in the order that they have."""
        moved: dict[bool, list[str]] = {True: [], False: []}
        for name in self._in_order(names):
            moved[not self.records[name].is_local].append(name)
        for name in names:
            self.remove(name)
        self.insert([(len(self.local), name) for name in moved[True]], is_local=True)
        self.insert([(0, name) for name in moved[False]], is_local=False)

    def _in_order(self, names: Sequence[str]) -> list[str]:
        """Return names of both sides in the order of each side."""
        if len(names) <= MAX_POSITION_LOOKUPS:
            return sorted(names, key=self.index)
        wanted = set(names)
        return [name for name in self if name in wanted]

    def partition(self, is_local: Callable[[EndpointRecord], bool]) -> None:
        """Assign all endpoints to sides anew; each side keeps its order."""
        sides: dict[bool, list[Insertion]] = {True: [], False: []}
        for name in self:
            sides[is_local(self.records[name])].append((0, name))
        self.remote = OrderedNames(self.records)
        self.local = OrderedNames(self.records)
        for side, insertions in sides.items():
            self.insert(insertions, side)
