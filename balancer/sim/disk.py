"""Simulated disk that can lose power: the write-ahead log's directory in memory, and its crash states.

After a power cut the synced data of a file is intact. Of the data written since the last sync any block of
`BLOCK_BYTES` may be missing (zeros, or cut off at the end), and the first one may be torn. Each name created,
changed or removed since the directory was last synced may or may not have reached the disk, independently of
the others, as POSIX guarantees no order. A rename is atomic. After a failed sync no more data of that file
becomes durable.

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
# Every subset of up to six unsynced name changes is explored; of more changes, only some subsets.
MAX_EXHAUSTIVE_NAME_CHANGES = 6

DiskImage = dict[str, bytes]
NameTable = dict[str, "Inode"]


class PowerCutError(Exception):
    """Raised in place of a disk call during which power was cut."""


class DiskCall(Enum):
    """Calls of the file system interface that access the disk."""

    READ = auto()
    CREATE = auto()
    WRITE = auto()
    SYNC = auto()
    RENAME = auto()
    REMOVE = auto()
    SYNC_NAMES = auto()


CallHook = Callable[[int, DiskCall, str], None]


def no_fault(count: int, call: DiskCall, name: str) -> None:
    """Let a disk call succeed."""


@dataclass
class Inode:
    """Contents of a file and the length of its durable part, which is final after a failed sync."""

    data: bytearray = field(default_factory=bytearray)
    durable_bytes: int = 0
    has_sync_failed: bool = False

    def crash_variants(self) -> list[bytes]:
        """Return the possible contents of the file after a power cut."""
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
        # The file size may have become durable without the data, which then reads as zeros.
        variants.append(durable + bytes(size - len(durable)))
        for begin, end in itertools.pairwise([self.durable_bytes, *edges, size]):
            # A later block may have become durable before an earlier one, which then reads as zeros.
            variants.append(complete[:begin] + bytes(end - begin) + complete[end:])
        return list(dict.fromkeys(variants))


@dataclass(frozen=True)
class NameChange:
    """A change of the directory that is not durable yet: a creation, rename or removal.

    `former_name` differs from `name` only in a rename; `inode` is None in a removal.
    """

    name: str
    former_name: str
    inode: Inode | None

    def apply(self, table: NameTable) -> None:
        """Apply the change to a table of names."""
        if self.inode is None:
            table.pop(self.name, None)
        else:
            table.pop(self.former_name, None)
            table[self.name] = self.inode


@dataclass(frozen=True)
class CrashTable:
    """A possible table of names after a power cut, with the possible contents of each file.

    The keys of `variants` are the ids of the inode objects.
    """

    names: NameTable
    variants: dict[int, list[bytes]]

    @classmethod
    def of(cls, names: NameTable) -> CrashTable:
        """Create the table of these names, with the possible contents of each file."""
        return cls(names, {id(inode): inode.crash_variants() for inode in names.values()})

    @property
    def state_count(self) -> int:
        """Return the number of disk images that the table's variants can form."""
        count = 1
        for variants in self.variants.values():
            count *= len(variants)
        return count

    def images(self) -> Iterator[DiskImage]:
        """Yield each disk image that the table's variants can form."""
        for choice in itertools.product(*self.variants.values()):
            contents = dict(zip(self.variants, choice, strict=True))
            yield {name: contents[id(inode)] for name, inode in self.names.items()}


class SimulatedDisk:
    """A disk with one directory; `before_call` may raise OSError or PowerCutError in place of a call."""

    def __init__(self, image: DiskImage | None = None) -> None:
        """Create a disk whose durable contents are those of `image`."""
        self.files: NameTable = {
            name: Inode(bytearray(data), len(data)) for name, data in (image or {}).items()
        }
        self.durable_names: NameTable = dict(self.files)
        self.pending: list[NameChange] = []
        self.call_count = 0
        self.before_call: CallHook = no_fault
        self.is_locked = False

    def record_call(self, call: DiskCall, name: str) -> None:
        """Count a disk call and run the hook `before_call`."""
        self.call_count += 1
        self.before_call(self.call_count, call, name)

    def image(self) -> DiskImage:
        """Return the current contents of the directory, durable or not."""
        return {name: bytes(inode.data) for name, inode in self.files.items()}

    def crash_images(self, rng: random.Random, limit: int) -> Iterator[DiskImage]:
        """Yield the possible disk images after a power cut now; if there are more than `limit`, a sample."""
        tables = [CrashTable.of(names) for names in self._crash_tables()]
        total = sum(table.state_count for table in tables)
        for table in tables:
            for image in table.images():
                if total > limit and rng.random() * total >= limit:
                    continue
                yield image

    def _crash_tables(self) -> list[NameTable]:
        """Return the possible tables of names after a power cut."""
        count = len(self.pending)
        if count <= MAX_EXHAUSTIVE_NAME_CHANGES:
            subsets = list(itertools.product((False, True), repeat=count))
        else:
            # Of many changes only the prefixes are explored, and the sets that lack a single change.
            subsets = [tuple(index < length for index in range(count)) for length in range(count + 1)]
            subsets += [tuple(index != skipped for index in range(count)) for skipped in range(count)]
        tables: dict[tuple[tuple[str, int], ...], NameTable] = {}
        for subset in subsets:
            table = dict(self.durable_names)
            for is_durable, change in zip(subset, self.pending, strict=True):
                if is_durable:
                    change.apply(table)
            tables[tuple(sorted((name, id(inode)) for name, inode in table.items()))] = table
        return list(tables.values())


class SimulatedFile:
    """A file of the simulated disk that is open for appending."""

    def __init__(self, disk: SimulatedDisk, name: str, inode: Inode) -> None:
        """Open an inode of the disk for appending."""
        self._disk = disk
        self._name = name
        self._inode = inode

    def write(self, data: bytes) -> None:
        """Append data; a power cut during the call leaves any part of it, an error leaves the first half."""
        size = len(self._inode.data)
        self._inode.data += data
        try:
            self._disk.record_call(DiskCall.WRITE, self._name)
        except OSError:
            del self._inode.data[size + len(data) // 2 :]
            raise

    def sync(self) -> None:
        """Make the file's contents durable, unless an earlier sync has failed."""
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
    """File system interface of the write-ahead log on a simulated disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Access the directory of a simulated disk."""
        self.disk = disk

    def list_names(self) -> list[str]:
        """Return the sorted names of all files in the directory."""
        return sorted(self.disk.files)

    def read(self, name: str) -> bytes:
        """Return the current contents of a file."""
        self.disk.record_call(DiskCall.READ, name)
        return bytes(self._inode(name).data)

    def create(self, name: str) -> AppendFile:
        """Create an empty file and open it for appending."""
        self.disk.record_call(DiskCall.CREATE, name)
        if name in self.disk.files:
            raise FileExistsError(errno.EEXIST, "file exists", name)
        inode = Inode()
        self.disk.files[name] = inode
        self.disk.pending.append(NameChange(name, name, inode))
        return SimulatedFile(self.disk, name, inode)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        self.disk.record_call(DiskCall.RENAME, new)
        inode = self._inode(old)
        del self.disk.files[old]
        self.disk.files[new] = inode
        self.disk.pending.append(NameChange(new, old, inode))

    def remove(self, name: str) -> None:
        """Remove a file from the directory."""
        self.disk.record_call(DiskCall.REMOVE, name)
        self._inode(name)
        del self.disk.files[name]
        self.disk.pending.append(NameChange(name, name, None))

    def sync_names(self) -> None:
        """Make all creations, renames and removals in the directory durable."""
        self.disk.record_call(DiskCall.SYNC_NAMES, "")
        self.disk.durable_names = dict(self.disk.files)
        self.disk.pending = []

    @contextlib.contextmanager
    def writer_lock(self) -> Iterator[None]:
        """Hold the writer lock, which the system releases when its process ends."""
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
