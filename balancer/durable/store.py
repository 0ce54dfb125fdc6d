"""The record log with snapshots of one node, over a file layer. It does all its I/O through that layer.

A generation is a snapshot `snap-GENERATION-FENCE` and the log `log-GENERATION-FENCE` of the records after it.
A new one is begun at each start, and when the log has grown: snapshot beside, synced, renamed, directory
synced, read back; then the log; only then does the generation before the last one go, so two are kept. Where
a snapshot is bad, the one before and its whole log give the same state.

`fence` holds the number of the writer that may write. A new writer raises it before it reads the log; the one
before looks at it after each sync, before it says yes. So a record that was said yes to is one that the new
writer has read, however long the old one was asleep. Their files have different names: neither can write over
what is the other's.

Sources: etcd's write-ahead log (chained CRC, torn tail), SQLite's and ALICE's rules on what a power cut
leaves, Serf's snapshot file, fencing tokens as in Chubby.
"""

from __future__ import annotations

import contextlib
import errno
import math
import re
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from balancer.durable import frames
from balancer.durable.files import File, Files
from balancer.durable.frames import Parsed
from balancer.errors import BalancerError

VERSION = 1
SNAP, LOG, DRAFT, FENCE = "snap", "log", "draft-", "fence"
# The first bytes of each kind of file. They hold the program's former name: files on disk outlive a rename.
MAGIC = {SNAP: b"dillport snap\n", LOG: b"dillport  log\n", FENCE: b"dillport fenc\n"}
NAME = re.compile(r"(snap|log)-(\d{12})-(\d{8})")
LOG_MOST = 2 * 2**20  # bytes of a log from which a new generation is begun
KEPT = 2  # generations

Place = tuple[int, int]  # a generation's fence and number: later writers come after all of earlier ones


class StoreError(BalancerError):
    """The directory is another node's or a newer program's. Nothing in it was changed."""

    code = "STA01"
    remedy = "let durable.directory name one that is this node's alone, or start the version that wrote it"


class Fenced(Exception):
    """Another process writes here now: a sign to the caller, who knows which one."""


class Header(msgspec.Struct, frozen=True, array_like=True):
    """What stands first in each file: whose it is, and where it belongs."""

    version: int
    store: str  # drawn when the directory was first used: files of another one do not pass
    node: str
    fence: int
    generation: int = 0
    number: int = 0  # of the last record before it
    chain: int = 0  # that record's


@dataclass(slots=True)
class Loaded:
    """What a directory holds."""

    store: str = ""
    node: str = ""
    generation: int = 0  # the newest of which anything is there
    fence: int = 0
    number: int = 0  # of the last record
    chain: int = 0
    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)  # after the snapshot
    notes: list[str] = field(default_factory=list)  # what was not as it should be, one line each
    lost: bool = False  # something that had been synced is not there any more
    files: int = 0
    size: int = 0  # bytes


def _name(kind: str, place: Place) -> str:
    return f"{kind}-{place[1]:012d}-{place[0]:08d}"


def places(names: Sequence[str]) -> list[Place]:
    """The generations of which there is a file, newest first."""
    found = filter(None, map(NAME.fullmatch, names))
    return sorted({(int(m[3]), int(m[2])) for m in found}, reverse=True)


def _start(kind: str, header: Header) -> bytes:
    magic = MAGIC[kind]
    return magic + frames.encode(frames.frame(0, 0, frames.crc(magic), msgspec.msgpack.encode(header)))


def _open(data: bytes, kind: str) -> tuple[Header, int]:
    """A file's header and where it ends; raises ValueError, and StoreError for a newer version."""
    magic = MAGIC[kind]
    if data[: len(magic)] != magic:
        raise ValueError("its first bytes are not those of such a file")
    parsed = frames.parse(data[: len(magic) + 4096], len(magic), -1, frames.crc(magic))
    if not parsed.frames:
        raise ValueError("its header is bad")
    first = parsed.frames[0]
    try:
        version = msgspec.msgpack.decode(first.data, type=list[object])[0]
        if isinstance(version, int) and version > VERSION:
            raise StoreError(f"it is of version {version}, this program reads up to {VERSION}")
        header = msgspec.msgpack.decode(first.data, type=Header)
    except (msgspec.MsgspecError, IndexError):
        raise ValueError("its header is bad") from None
    return header, len(magic) + frames.HEAD.size + len(first.data)


class _Generation:
    """One generation as it is read."""

    def __init__(self, files: Files, place: Place, names: Sequence[str], out: Loaded) -> None:
        self.place, self.out = place, out
        self.snap: Header | None = None
        self.data = b""
        self.log: Header | None = None
        self.begin = 0  # the chain that the log's first record comes after
        self.parsed = Parsed()
        for kind, take in ((SNAP, self._take_snapshot), (LOG, self._take_log)):
            if (name := _name(kind, place)) in names:
                self._read(files, name, kind, take)

    def _read(self, files: Files, name: str, kind: str, take: Callable[[bytes, Header, int], None]) -> None:
        try:
            data = files.read(name)
            self.out.files += 1
            self.out.size += len(data)
            header, at = _open(data, kind)
            if (header.fence, header.generation) != self.place:
                raise ValueError(f"it is that of generation {header.generation} under another name")
            take(data, header, at)
        except (OSError, ValueError) as err:
            self.out.notes.append(f"{name}: {err}")
        if self.parsed.damaged:
            self.out.notes.append(f"{name}: damaged at byte {self.parsed.used}: records from there to number "
                                  f"{self.parsed.lost_to} cannot be read")  # fmt: skip
        elif self.parsed.rest:
            self.out.notes.append(f"{name}: a torn tail of {self.parsed.rest} bytes is left out")

    def _take_snapshot(self, data: bytes, header: Header, at: int) -> None:
        body = frames.parse(data, at, 0, frames.crc(data[:at]))
        if len(body.frames) != 1 or body.rest:
            raise ValueError("it is bad")
        self.snap, self.data = header, body.frames[0].data

    def _take_log(self, data: bytes, header: Header, at: int) -> None:
        self.log = header
        # The header is part of the chain: a log's records fit no other one's beginning.
        self.begin = frames.crc(data[:at])
        self.parsed = frames.parse(data, at, header.number, self.begin)

    @property
    def head(self) -> Header:
        """The header of what there is of it."""
        head = self.snap or self.log
        assert head is not None
        return head

    def of(self, owner: Header) -> bool:
        """Whether all there is of it is of the owner's directory."""
        return all(h is None or (h.store, h.node) == (owner.store, owner.node) for h in (self.snap, self.log))

    def upto(self, most: int | None) -> tuple[list[bytes], int, int]:
        """Its log's records to number `most`, the last one's number and chain."""
        assert self.log is not None
        taken = [f for f in self.parsed.frames if most is None or f.number <= most]
        last = (taken[-1].number, taken[-1].chain) if taken else (self.log.number, self.begin)
        return [f.data for f in taken], *last


def load(files: Files, node: str | None = None, whole: bool = True) -> Loaded:
    """What the directory holds, by the newest snapshot that is sound. Nothing is changed.

    Where it is not to be `whole`, generations that nothing depends on are not read. Raises StoreError where
    the directory is a newer program's or another node's, OSError where it cannot be listed.
    """
    names = files.names()
    out = Loaded()
    fence = _fence(files, names, out.notes)
    found = places(names)
    out.generation = max((generation for _, generation in found), default=0)
    read: list[_Generation] = []
    for place in found:
        one = _Generation(files, place, names, out)
        if one.snap is not None or one.log is not None:
            read.append(one)
        if not whole and one.snap is not None and fence is not None and one.of(fence):
            break
    owner = fence or _owner(read)
    if owner is None:
        if found:
            out.lost = True
            out.notes.append("no file is sound: the node starts with nothing")
        return out
    if node is not None and owner.node != node:
        raise StoreError(f"the directory is that of node {owner.node!r}, this one is {node!r}")
    out.store, out.node = owner.store, owner.node
    out.fence = max([owner.fence, *(fence for fence, _ in found)])
    if found and read and read[0].place != found[0]:
        out.lost = True
        out.notes.append(f"generation {found[0][1]}: nothing of it can be read, its records are lost")
    mine = []
    for one in read:
        if one.of(owner):
            mine.append(one)
        else:
            out.notes.append(f"generation {one.place[1]}: files of another directory are left out")
    _choose(mine, out)
    if out.snapshot is None and found:
        out.lost = True
        out.notes.append("no snapshot is sound: the node starts with nothing")
    return out


def _owner(read: list[_Generation]) -> Header | None:
    """Whose directory it is where `fence` does not say so: that of most files."""
    heads = [h for g in read for h in (g.snap, g.log) if h is not None]
    counts = Counter((h.store, h.node) for h in heads)
    return max(heads, key=lambda h: (counts[h.store, h.node], h.fence), default=None)


def _choose(read: list[_Generation], out: Loaded) -> None:
    """The newest sound snapshot, then the records of its log and of those after it, as far as they join."""
    most = math.inf  # what a later writer has read, and no more, is true of an earlier one's files
    start = 0
    while start < len(read) and ((snap := read[start].snap) is None or snap.number > most):
        most = min(most, read[start].head.number)
        start += 1
    if start == len(read):
        return
    base = read[start]
    out.snapshot, out.number, out.chain = base.data, base.head.number, base.head.chain
    for index in range(start, -1, -1):
        one = read[index]
        later = read[index - 1].head if index else None
        if one.log is not None and (one.log.number, one.log.chain) == (out.number, out.chain):
            records, out.number, out.chain = one.upto(None if later is None else later.number)
            out.records += records
            out.lost = out.lost or (one.parsed.damaged and later is None)
        if later is not None and later.number != out.number:
            out.lost = True
            out.notes.append(f"records {out.number + 1} to {later.number} are lost, and what came after them")
            return


def _fence(files: Files, names: Sequence[str], notes: list[str]) -> Header | None:
    """Who may write; None where nothing or nothing sound says so. Raises StoreError for a newer version."""
    if FENCE not in names:
        return None
    try:
        return _open(files.read(FENCE), FENCE)[0]
    except (OSError, ValueError) as err:
        notes.append(f"{FENCE}: {err}")
        return None


class Store:
    """The writer. Every call may raise OSError; after one nothing more can be written by this object."""

    def __init__(self, files: Files, node: str, fresh: str, snapshot: Callable[[Loaded], bytes]) -> None:
        """Take the directory over from whoever writes there.

        `snapshot` makes one of what was loaded, `fresh` names the directory if it is new. Raises StoreError
        as `load` does, LengthError, BlockingIOError where another process is just doing the same.
        """
        self.files, self.node = files, node
        self.log: File | None = None
        self.broken, self.written = False, 0
        with files.locked():
            # Before anything is changed: is it ours, and can it be read?
            before = load(files, node, whole=False)
            self.store, self.fence = before.store or fresh, before.fence + 1
            del before  # it may be long
            self._write_new(FENCE, _start(FENCE, Header(VERSION, self.store, node, self.fence)))
            loaded = load(files, node, whole=False)
            self.generation, self.number = loaded.generation, loaded.number
            self.chain, self.batch = loaded.chain, 0
            self.rotate(snapshot(loaded))

    def _write_new(self, name: str, data: bytes) -> None:
        """A whole file under its name, or none: beside, synced, renamed, directory synced."""
        draft = f"{DRAFT}{name}-{self.fence}"
        with contextlib.suppress(FileNotFoundError):
            self.files.remove(draft)
        file = self.files.create(draft)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        self.files.rename(draft, name)
        self.files.sync_names()

    def append(self, records: Sequence[bytes], sync: bool) -> None:
        """Write records; with `sync` they outlast a power cut when this returns.

        Raises Fenced where another writer has taken over: then none of them may be said yes to. LengthError.
        """
        if self.broken or self.log is None:
            raise OSError(errno.EIO, "an earlier write has failed")
        parts, number, chain = [], self.number, self.chain
        for data in records:
            one = frames.frame(number + 1, self.batch, chain, data)
            parts.append(frames.encode(one))
            number, chain = one.number, one.chain
        whole = b"".join(parts)
        try:
            self.log.write(whole)
            if sync:
                self.log.sync()
        except OSError:
            self.broken = True  # what of it is on disk, nobody knows: this file is not written to again
            raise
        self.number, self.chain = number, chain
        self.written += len(whole)
        if sync:
            self.batch = number + 1
        self.check()

    def check(self) -> None:
        """Raises Fenced where another writer has taken over."""
        if self.superseded():
            self.broken = True
            raise Fenced

    def superseded(self) -> bool:
        """Whether another writer has taken over, as far as the directory can be read."""
        found = _fence(self.files, [FENCE], [])
        return found is not None and found.fence > self.fence

    @property
    def full(self) -> bool:
        """Whether a new generation is due."""
        return self.written >= LOG_MOST

    def rotate(self, snapshot: bytes) -> None:
        """Begin a new generation with a snapshot of all records so far; the one before is kept."""
        self.check()
        place = (self.fence, self.generation + 1)
        header = Header(VERSION, self.store, self.node, *place, self.number, self.chain)
        start = _start(SNAP, header)
        body = frames.frame(1, 1, frames.crc(start), snapshot)
        self.broken = True  # until it has worked
        self._write_new(_name(SNAP, place), start + frames.encode(body))
        names = self.files.names()
        again = _Generation(self.files, place, names, Loaded())
        if again.snap != header or again.data != snapshot:
            raise OSError(errno.EIO, "a snapshot does not read as it was written")
        if self.log is not None:
            self.log.close()
        first = _start(LOG, header)
        self.log = self.files.create(_name(LOG, place))
        self.log.write(first)
        self.log.sync()
        self.files.sync_names()
        self.chain, self.batch, self.written = frames.crc(first), self.number + 1, 0
        self.generation, self.broken = place[1], False
        self._tidy(names)

    def _tidy(self, names: Sequence[str]) -> None:
        """Take away what is older than the generations that are kept, and drafts of writers before."""
        kept = places(names)[:KEPT]
        for name in names:
            found = NAME.fullmatch(name)
            old = found is not None and (int(found[3]), int(found[2])) not in kept
            writer = name.rpartition("-")[2] if name.startswith(DRAFT) else ""
            if old or (writer.isdecimal() and int(writer) < self.fence):  # a later writer's is in the making
                with contextlib.suppress(OSError):
                    self.files.remove(name)

    def close(self) -> None:
        """Write no more."""
        if self.log is not None:
            self.log.close()
            self.log = None
        self.broken = True
