"""A dict of many names in shards, so that no insertion takes long."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableMapping
from itertools import chain
from typing import TypeVar
from zlib import crc32

SHARD_COUNT = 64  # a power of two; at 70,000 names one that grows moves some 1,400 entries

Value = TypeVar("Value")


def shard_index(name: str) -> int:
    """Return which shard of every such dict has this name."""
    return crc32(name.encode("utf-8", "surrogatepass")) % SHARD_COUNT


class ShardedDict(MutableMapping[str, Value]):
    """A dict in shards by the hash of the name, with the same order in each process.

    A plain dict that grows over 43,690 names would hold up the event loop for 4 ms and more. Two sharded
    dicts have a name in the same one of their `shards`.
    """

    __slots__ = ("shards",)

    def __init__(self, items: Iterable[tuple[str, Value]] = ()) -> None:
        """Make a dict of these items."""
        self.shards: tuple[dict[str, Value], ...] = tuple({} for _ in range(SHARD_COUNT))
        for name, value in items:
            self[name] = value

    def shard(self, name: str) -> dict[str, Value]:
        """Return the shard that has this name, or would have it."""
        return self.shards[shard_index(name)]

    def get(self, name: str, default: Value | None = None) -> Value | None:  # type: ignore[override]
        """Return the value of a name."""
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
        """Return whether it has a name."""
        return isinstance(name, str) and name in self.shard(name)

    def __len__(self) -> int:
        """Return the number of names."""
        return sum(map(len, self.shards))

    def __iter__(self) -> Iterator[str]:
        """Iterate shard by shard, each as it is when its turn comes: names may come and go meanwhile."""
        return chain.from_iterable(map(tuple, self.shards))
