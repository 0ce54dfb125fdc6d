"""A table of many names that never takes a long turn to grow."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableMapping
from itertools import chain
from typing import TypeVar
from zlib import crc32

SHARDS = 64  # a power of two; at 70,000 names one that grows moves some 1,400 entries

Value = TypeVar("Value")


def shard(name: str) -> int:
    """Which part of every such table has this name."""
    return crc32(name.encode("utf-8", "surrogatepass")) % SHARDS


class Shards(MutableMapping[str, Value]):
    """A dict in parts, told apart by the name alone: the same order in each process.

    Guards against a turn of 4 ms and more, which a dict takes to grow over 43,690 names. Two such tables have
    a name in the same one of their `parts`.
    """

    __slots__ = ("parts",)

    def __init__(self, items: Iterable[tuple[str, Value]] = ()) -> None:
        self.parts: tuple[dict[str, Value], ...] = tuple({} for _ in range(SHARDS))
        for name, value in items:
            self[name] = value

    def part(self, name: str) -> dict[str, Value]:
        """The part that has this name, or would have it."""
        return self.parts[shard(name)]

    def get(self, name: str, default: Value | None = None) -> Value | None:  # type: ignore[override]
        """The value of a name."""
        return self.parts[shard(name)].get(name, default)

    def __getitem__(self, name: str) -> Value:
        return self.part(name)[name]

    def __setitem__(self, name: str, value: Value) -> None:
        self.part(name)[name] = value

    def __delitem__(self, name: str) -> None:
        del self.part(name)[name]

    def __contains__(self, name: object) -> bool:
        return isinstance(name, str) and name in self.part(name)

    def __len__(self) -> int:
        return sum(map(len, self.parts))

    def __iter__(self) -> Iterator[str]:
        """Part after part, each as it is when its turn comes: names may come and go meanwhile."""
        return chain.from_iterable(map(tuple, self.parts))
