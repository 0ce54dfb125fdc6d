"""A dict for many names, split into shards so that no single insertion takes long."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableMapping
from itertools import chain
from typing import TypeVar
from zlib import crc32

SHARD_COUNT = 64  # a power of two; with 70,000 names, a shard that grows rehashes some 1,400 entries

Value = TypeVar("Value")


def shard_index(name: str) -> int:
    """Return the index of the shard for a name, which is the same in every ShardedDict."""
    return crc32(name.encode("utf-8", "surrogatepass")) % SHARD_COUNT


class ShardedDict(MutableMapping[str, Value]):
    """A dict sharded by a stable hash of the name, so that its order is the same in each process.

    A plain dict that grows beyond 43,690 names would block the event loop for 4 ms or more. Two sharded dicts
    store the same name in shards of the same index.
    """

    __slots__ = ("shards",)

    def __init__(self, items: Iterable[tuple[str, Value]] = ()) -> None:
        """Create a dict of these items."""
        self.shards: tuple[dict[str, Value], ...] = tuple({} for _ in range(SHARD_COUNT))
        for name, value in items:
            self[name] = value

    def shard(self, name: str) -> dict[str, Value]:
        """Return the shard in which this name belongs."""
        return self.shards[shard_index(name)]

    def get(self, name: str, default: Value | None = None) -> Value | None:  # type: ignore[override]
        """Return the value of a name, or `default`."""
        return self.shards[shard_index(name)].get(name, default)

    def __getitem__(self, name: str) -> Value:
        """Return the value of a name. Raises KeyError."""
        return self.shard(name)[name]

    def __setitem__(self, name: str, value: Value) -> None:
        """Set the value of a name."""
        self.shard(name)[name] = value

    def __delitem__(self, name: str) -> None:
        """Remove a name. Raises KeyError."""
        del self.shard(name)[name]

    def __contains__(self, name: object) -> bool:
        """Return whether the dict has a name."""
        return isinstance(name, str) and name in self.shard(name)

    def __len__(self) -> int:
        """Return the number of names."""
        return sum(map(len, self.shards))

    def __iter__(self) -> Iterator[str]:
        """Iterate over a copy of each shard in turn; names may be added or removed during the iteration."""
        return chain.from_iterable(map(tuple, self.shards))
