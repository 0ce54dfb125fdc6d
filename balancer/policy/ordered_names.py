"""Lists of endpoint names that are stored in blocks.

The cost of an insertion, a removal or a look-up is about the square root of the number of names.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from operator import itemgetter

from balancer.policy.records import EndpointRecord

BLOCK_SIZE = 512  # A block of 512 to 1024 names is about the square root of the length of a long list.

# For more than 64 names, one pass over all names is cheaper than looking up the position of each.
MAX_POSITION_LOOKUPS = 64

Insertion = tuple[int, str]
"""A position and a new name that is inserted before the present name at that position."""


class OrderedNames:
    """A list of names in blocks; the record of each endpoint refers to the block that has its name."""

    def __init__(self, records: dict[str, EndpointRecord]) -> None:
        """Create an empty list; `records` has the record of each name."""
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
        """Return the names from position `first` up to, but not including, `last`."""
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
        """Return the position of a name, which must be in the list."""
        target_block = self.records[name].order_block
        block_start = 0
        for block in self.blocks:
            if block is target_block:
                break
            block_start += len(block)
        return block_start + (target_block or []).index(name)

    def insert(self, insertions: Sequence[Insertion]) -> None:
        """Insert each name at its position, or at the end if that is beyond the last; positions must ascend.

        The blocks are updated in a single pass, because one update of a long list inserts many names.
        """
        if not self.blocks:
            self.blocks.append([])
        ends = list(accumulate(map(len, self.blocks)))
        first = 0
        added_blocks = 0
        while first < len(insertions):
            block_index = min(bisect_left(ends, insertions[first][0]), len(ends) - 1)
            last = len(insertions)
            if block_index < len(ends) - 1:
                last = bisect_right(insertions, ends[block_index], first, key=itemgetter(0))
            block = self.blocks[block_index + added_blocks]
            self._insert_into(block, ends[block_index] - len(block), insertions[first:last])
            first = last
            if len(block) > 2 * BLOCK_SIZE:
                added_blocks += self._split(block_index + added_blocks)

    def remove(self, name: str) -> None:
        """Remove a name, which must be in the list."""
        block = self.records[name].order_block or []
        block.remove(name)
        self.records[name].order_block = None
        self.size -= 1
        if not block:
            del self.blocks[next(i for i, other in enumerate(self.blocks) if other is block)]

    def _split(self, block_index: int) -> int:
        """Split a block and return how many blocks were added after it."""
        block = self.blocks[block_index]
        added = [block[at : at + BLOCK_SIZE] for at in range(BLOCK_SIZE, len(block), BLOCK_SIZE)]
        del block[BLOCK_SIZE:]
        self.blocks[block_index + 1 : block_index + 1] = added
        for new_block in added:
            for name in new_block:
                self.records[name].order_block = new_block
        return len(added)

    def _insert_into(self, block: list[str], block_start: int, insertions: Sequence[Insertion]) -> None:
        for _, name in insertions:
            self.records[name].order_block = block
        self.size += len(insertions)
        if (size := len(block)) > len(insertions):
            # Inserting in reverse order keeps the remaining positions valid.
            for position, name in reversed(insertions):
                block.insert(min(position - block_start, size), name)
            return
        merged = list[str]()
        copied = 0
        for position, name in insertions:
            merged += block[copied : position - block_start]
            merged.append(name)
            copied = position - block_start
        block[:] = merged + block[copied:]


class EndpointOrder:
    """A node's order of the endpoints that may get new requests: all local ones, then all remote ones."""

    def __init__(self, records: dict[str, EndpointRecord]) -> None:
        """Create an empty order; `records` has the record of each name."""
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
        """Return whether an endpoint may get new requests."""
        return (endpoint := self.records.get(name)) is not None and endpoint.order_block is not None

    def window(self, first: int, last: int, remote_first: bool = False) -> list[str]:
        """Return the names at a range of positions, with the local or the remote endpoints first."""
        head, tail = (self.remote, self.local) if remote_first else (self.local, self.remote)
        return head.window(first, last) + tail.window(first - len(head), last - len(head))

    def side(self, is_local: bool) -> OrderedNames:
        """Return the list of the local or of the remote endpoints."""
        return self.local if is_local else self.remote

    def index(self, name: str) -> int:
        """Return the position of an endpoint among the local or among the remote ones."""
        return self.side(self.records[name].is_local).index(name)

    def insert(self, insertions: Sequence[Insertion], is_local: bool) -> None:
        """Insert endpoints among the local or the remote ones; see `OrderedNames.insert`."""
        for _, name in insertions:
            self.records[name].is_local = is_local
        self.side(is_local).insert(insertions)

    def remove(self, name: str) -> None:
        """Remove an endpoint, which must be in the order."""
        self.side(self.records[name].is_local).remove(name)

    def switch_sides(self, names: Sequence[str]) -> None:
        """Move endpoints between local and remote, to the boundary of the two, without reordering them."""
        moved: dict[bool, list[str]] = {True: [], False: []}
        for name in self._in_order(names):
            moved[not self.records[name].is_local].append(name)
        for name in names:
            self.remove(name)
        self.insert([(len(self.local), name) for name in moved[True]], is_local=True)
        self.insert([(0, name) for name in moved[False]], is_local=False)

    def _in_order(self, names: Sequence[str]) -> list[str]:
        """Return names of local and remote endpoints, those of each kind in their present order."""
        if len(names) <= MAX_POSITION_LOOKUPS:
            return sorted(names, key=self.index)
        wanted = set(names)
        return [name for name in self if name in wanted]

    def partition(self, is_local: Callable[[EndpointRecord], bool]) -> None:
        """Reassign all endpoints to the local and remote ones without reordering them."""
        sides: dict[bool, list[Insertion]] = {True: [], False: []}
        for name in self:
            sides[is_local(self.records[name])].append((0, name))
        self.remote = OrderedNames(self.records)
        self.local = OrderedNames(self.records)
        for side, insertions in sides.items():
            self.insert(insertions, side)
