"""Simulated disk that can lose power: the write-ahead log's directory in memory, and its crash states.

What a power cut can leave: the data of a file survives as far as it was synced; of what was written since,
any block of `BLOCK_BYTES` may be missing (zeros, or cut off at the end) and the first may be torn. A name
created, changed or removed since the directory was last synced may have reached the disk or not, each by
itself, as POSIX promises no order. A rename is atomic. After a failed sync nothing more of that file becomes
durable.

Source: the crash states of ALICE (Pillai et al. 2014).
"""

from __future__ import annotations

import contextlib
import errno
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from balancer.durable.filesystem import AppendFile

BLOCK_BYTES = 512
MAX_EXHAUSTIVE_NAME_CHANGES = 6  # unsynced name changes of which every subset is explored

DiskImage = dict[str, bytes]
NameTable = dict[str, "Inode"]


class PowerCutError(Exception):
    """Power was cut; the call did not return."""


class DiskCall(Enum):
    """Calls of the file system interface that reach the disk."""

    READ = auto()
    CREATE = auto()
    WRITE = auto()
    SYNC = auto()
    RENAME = auto()
    REMOVE = auto()
    SYNC_NAMES = auto()


CallHook = Callable[[int, DiskCall, str], None]


def no_fault(count: int, call: DiskCall, name: str) -> None:
    """Let every call succeed."""


@dataclass
class Inode:
    """The bytes of a file, and how many of them are durable."""

    data: bytearray = field(default_factory=bytearray)
    durable_bytes: int = 0
    has_sync_failed: bool = False  # nothing more becomes durable

    def crash_variants(self) -> list[bytes]:
        """Return the contents that a power cut may leave."""
        durable = bytes(self.data[: self.durable_bytes])
        complete = bytes(self.data)
        size = len(complete)
        if len(durable) == size:
            return [complete]
        first_edge = (self.durable_bytes // BLOCK_BYTES + 1) * BLOCK_BYTES
        edges = list(range(first_edge, size, BLOCK_BYTES))
        first_end = min(first_edge, size)
        torn = {self.durable_bytes + 1, (self.durable_bytes + first_end) // 2, first_end - 1}
        cuts = sorted({*edges, *(cut for cut in torn if self.durable_bytes < cut < size)})
        variants = [durable, complete, *(complete[:cut] for cut in cuts)]
        variants.append(durable + bytes(size - len(durable)))  # the size is durable, the data is not
        for begin, end in itertools.pairwise([self.durable_bytes, *edges, size]):
            variants.append(
                complete[:begin] + bytes(end - begin) + complete[end:]
            )  # a later block came first
        return list(dict.fromkeys(variants))


@dataclass(frozen=True)
class NameChange:
    """A change of the directory that is not durable yet."""

    name: str
    former_name: str  # equal to `name` unless it is a rename
    inode: Inode | None  # None: the name was removed

    def apply(self, table: NameTable) -> None:
        """Make the change in a table of names."""
        if self.inode is None:
            table.pop(self.name, None)
        else:
            table.pop(self.former_name, None)
            table[self.name] = self.inode


@dataclass(frozen=True)
class CrashTable:
    """A table of names that may be left, with the variants of each file in it."""

    names: NameTable
    variants: dict[int, list[bytes]]  # by id of the inode

    @classmethod
    def of(cls, names: NameTable) -> CrashTable:
        """Return the table with the variants of its files."""
        return cls(names, {id(inode): inode.crash_variants() for inode in names.values()})

    @property
    def state_count(self) -> int:
        """Return how many images the table stands for."""
        count = 1
        for variants in self.variants.values():
            count *= len(variants)
        return count

    def images(self) -> Iterator[DiskImage]:
        """Yield each image."""
        for choice in itertools.product(*self.variants.values()):
            contents = dict(zip(self.variants, choice, strict=True))
            yield {name: contents[id(inode)] for name, inode in self.names.items()}


class SimulatedDisk:
    """One directory on a disk. `before_call` may raise OSError or PowerCutError in place of a call."""

    def __init__(self, image: DiskImage | None = None) -> None:
        """Start with the durable contents of `image`."""
        self.files: NameTable = {
            name: Inode(bytearray(data), len(data)) for name, data in (image or {}).items()
        }
        self.durable_names: NameTable = dict(self.files)
        self.pending: list[NameChange] = []
        self.call_count = 0
        self.before_call: CallHook = no_fault
        self.is_locked = False

    def record_call(self, call: DiskCall, name: str) -> None:
        """Count a call and run the hook."""
        self.call_count += 1
        self.before_call(self.call_count, call, name)

    def image(self) -> DiskImage:
        """Return the contents of the directory while power lasts."""
        return {name: bytes(inode.data) for name, inode in self.files.items()}

    def crash_images(self, rng: random.Random, limit: int) -> Iterator[DiskImage]:
        """Yield the images that a power cut now may leave: all, or about `limit` drawn ones of more."""
        tables = [CrashTable.of(names) for names in self._crash_tables()]
        total = sum(table.state_count for table in tables)
        for table in tables:
            for image in table.images():
                if total > limit and rng.random() * total >= limit:
                    continue
                yield image

    def _crash_tables(self) -> list[NameTable]:
        """Return the tables of names that a power cut may leave."""
        count = len(self.pending)
        if count <= MAX_EXHAUSTIVE_NAME_CHANGES:
            subsets = list(itertools.product((False, True), repeat=count))
        else:  # each prefix, and all but one
            subsets = [tuple(index < length for index in range(count)) for length in range(count + 1)]
            subsets += [tuple(index != left_out for index in range(count)) for left_out in range(count)]
        tables: dict[tuple[tuple[str, int], ...], NameTable] = {}
        for subset in subsets:
            table = dict(self.durable_names)
            for is_durable, change in zip(subset, self.pending, strict=True):
                if is_durable:
                    change.apply(table)
            tables[tuple(sorted((name, id(inode)) for name, inode in table.items()))] = table
        return list(tables.values())


class SimulatedFile:
    """A file that is being appended to."""

    def __init__(self, disk: SimulatedDisk, name: str, inode: Inode) -> None:
        """Append to an inode of the disk."""
        self._disk = disk
        self._name = name
        self._inode = inode

    def write(self, data: bytes) -> None:
        """Append; a power cut during the call leaves any part of it, an error half."""
        size = len(self._inode.data)
        self._inode.data += data
        try:
            self._disk.record_call(DiskCall.WRITE, self._name)
        except OSError:
            del self._inode.data[size + len(data) // 2 :]
            raise

    def sync(self) -> None:
        """Make the contents durable."""
        try:
            self._disk.record_call(DiskCall.SYNC, self._name)
        except OSError:
            self._inode.has_sync_failed = True
            raise
        if not self._inode.has_sync_failed:
            self._inode.durable_bytes = len(self._inode.data)

    def close(self) -> None:
        """Do nothing: a simulated file holds no descriptor."""


class SimulatedDirectory:
    """The file system interface on a simulated disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Use the one directory of a disk."""
        self.disk = disk

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.disk.files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        self.disk.record_call(DiskCall.READ, name)
        return bytes(self._inode(name).data)

    def create(self, name: str) -> AppendFile:
        """Create an empty file."""
        self.disk.record_call(DiskCall.CREATE, name)
        if name in self.disk.files:
            raise FileExistsError(errno.EEXIST, "file exists", name)
        inode = Inode()
        self.disk.files[name] = inode
        self.disk.pending.append(NameChange(name, name, inode))
        return SimulatedFile(self.disk, name, inode)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any other file of the new name."""
        self.disk.record_call(DiskCall.RENAME, new)
        inode = self._inode(old)
        del self.disk.files[old]
        self.disk.files[new] = inode
        self.disk.pending.append(NameChange(new, old, inode))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.disk.record_call(DiskCall.REMOVE, name)
        self._inode(name)
        del self.disk.files[name]
        self.disk.pending.append(NameChange(name, name, None))

    def sync_names(self) -> None:
        """Make all names durable."""
        self.disk.record_call(DiskCall.SYNC_NAMES, "")
        self.disk.durable_names = dict(self.disk.files)
        self.disk.pending = []

    @contextlib.contextmanager
    def writer_lock(self) -> Iterator[None]:
        """Hold the lock, which does not survive its process."""
        if self.disk.is_locked:
            raise BlockingIOError
        self.disk.is_locked = True
        try:
            yield
        finally:
            self.disk.is_locked = False

    def _inode(self, name: str) -> Inode:
        if name not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.disk.files[name]
