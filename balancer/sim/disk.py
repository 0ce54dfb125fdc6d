"""A disk that can be cut off from power: the store's file layer in memory, and what it may hold afterwards.

Limits of what is played: a file's data outlasts a cut as far as it was synced; of what was written since, any
block of `BLOCK` bytes may be missing (zeros, or cut off at the end) and the first may be torn. A name made,
changed or removed since the directory was last synced may or may not be so, each by itself, as POSIX promises
no order. A rename is whole or not done. A failed sync leaves what it was for as good as unwritten for ever.
Source: the crash states of ALICE (Pillai et al. 2014).
"""

from __future__ import annotations

import contextlib
import errno
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from balancer.durable.files import File

BLOCK = 512
MOST_NAMES = 6  # name changes not synced of which every subset is played

Image = dict[str, bytes]


class PowerCut(Exception):
    """The machine is off; the call did not return."""


@dataclass
class Inode:
    """A file's bytes, and how many of them are sure."""

    data: bytearray = field(default_factory=bytearray)
    synced: int = 0
    spoilt: bool = False  # a sync has failed: nothing more becomes sure

    def variants(self) -> list[bytes]:
        """What of it may be there after a cut."""
        sure, whole = bytes(self.data[: self.synced]), bytes(self.data)
        if len(sure) == len(whole):
            return [whole]
        edge = (self.synced // BLOCK + 1) * BLOCK
        edges = list(range(edge, len(whole), BLOCK))
        torn = {self.synced + 1, (self.synced + min(edge, len(whole))) // 2, min(edge, len(whole)) - 1}
        cuts = sorted({*edges, *(t for t in torn if self.synced < t < len(whole))})
        out = [sure, whole, *(whole[:cut] for cut in cuts)]
        out.append(sure + bytes(len(whole) - len(sure)))  # the size came, the data did not
        for begin, end in itertools.pairwise([self.synced, *edges, len(whole)]):
            out.append(whole[:begin] + bytes(end - begin) + whole[end:])  # a later block came first
        return list(dict.fromkeys(out))


class Disk:
    """One directory. `fail` is asked before each call and may raise OSError or PowerCut in its place."""

    def __init__(self, image: Image | None = None) -> None:
        self.now = {name: Inode(bytearray(data), len(data)) for name, data in (image or {}).items()}
        self.sure = dict(self.now)
        self.pending: list[tuple[str, str, Inode | None]] = []  # name, former name, what it stands for
        self.calls = 0
        self.fail: Callable[[int, str, str], None] = lambda call, what, name: None
        self.held = False

    def call(self, what: str, name: str) -> None:
        """One more call reaches the disk."""
        self.calls += 1
        self.fail(self.calls, what, name)

    def image(self) -> Image:
        """What is there while power lasts."""
        return {name: bytes(inode.data) for name, inode in self.now.items()}

    def images(self, dice: random.Random, most: int) -> Iterator[Image]:
        """What may be there after a cut now: all of it, or `most` drawn ones where it would be more."""
        tables = self._names()
        choices = []
        total = 0
        for table in tables:
            inodes = list(dict.fromkeys(map(id, table.values())))
            kept = {id(i): i.variants() for i in table.values()}
            choices.append((table, inodes, kept))
            count = 1
            for number in inodes:
                count *= len(kept[number])
            total += count
        for table, inodes, kept in choices:
            every = itertools.product(*(kept[number] for number in inodes))
            for picks in every:
                if total > most and dice.random() * total >= most:
                    continue
                data = dict(zip(inodes, picks, strict=True))
                yield {name: data[id(inode)] for name, inode in table.items()}

    def _names(self) -> list[dict[str, Inode]]:
        """Which names there may be."""
        count = len(self.pending)
        if count <= MOST_NAMES:
            picks = list(itertools.product((False, True), repeat=count))
        else:  # none, all, all but one, and each beginning
            picks = [tuple(i < n for i in range(count)) for n in range(count + 1)]
            picks += [tuple(i != n for i in range(count)) for n in range(count)]
        out: dict[tuple[tuple[str, int], ...], dict[str, Inode]] = {}
        for pick in picks:
            table = dict(self.sure)
            for done, (name, former, inode) in zip(pick, self.pending, strict=True):
                if not done:
                    continue
                if inode is None:
                    table.pop(name, None)
                else:
                    table.pop(former, None)
                    table[name] = inode
            out[tuple(sorted((n, id(i)) for n, i in table.items()))] = table
        return list(out.values())


class DiskFile:
    """A file that is being written."""

    def __init__(self, disk: Disk, name: str, inode: Inode) -> None:
        self.disk, self.name, self.inode = disk, name, inode

    def write(self, data: bytes) -> None:
        """Append; a cut in its midst leaves any part of it."""
        before = len(self.inode.data)
        self.inode.data += data
        try:
            self.disk.call("write", self.name)
        except OSError:
            del self.inode.data[before + len(data) // 2 :]  # it was half done
            raise

    def sync(self) -> None:
        """All of it is sure from here on."""
        try:
            self.disk.call("sync", self.name)
        except OSError:
            self.inode.spoilt = True
            raise
        if not self.inode.spoilt:
            self.inode.synced = len(self.inode.data)

    def close(self) -> None:
        """Nothing to give back."""


class DiskFiles:
    """The file layer over such a disk."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def names(self) -> list[str]:
        """What is there, in order."""
        return sorted(self.disk.now)

    def read(self, name: str) -> bytes:
        """A whole file."""
        self.disk.call("read", name)
        if name not in self.disk.now:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.disk.now[name].data)

    def create(self, name: str) -> File:
        """A new, empty file."""
        self.disk.call("create", name)
        if name in self.disk.now:
            raise FileExistsError(errno.EEXIST, "it is there", name)
        inode = self.disk.now[name] = Inode()
        self.disk.pending.append((name, name, inode))
        return DiskFile(self.disk, name, inode)

    def rename(self, old: str, new: str) -> None:
        """Whole or not done."""
        self.disk.call("rename", new)
        if old not in self.disk.now:
            raise FileNotFoundError(errno.ENOENT, "no such file", old)
        inode = self.disk.now.pop(old)
        self.disk.now[new] = inode
        self.disk.pending.append((new, old, inode))

    def remove(self, name: str) -> None:
        """Take a file away."""
        self.disk.call("remove", name)
        if name not in self.disk.now:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        del self.disk.now[name]
        self.disk.pending.append((name, name, None))

    def sync_names(self) -> None:
        """Names are sure from here on."""
        self.disk.call("sync_names", "")
        self.disk.sure, self.disk.pending = dict(self.disk.now), []

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Alone; a lock goes with its process, so with the power too."""
        if self.disk.held:
            raise BlockingIOError
        self.disk.held = True
        try:
            yield
        finally:
            self.disk.held = False
