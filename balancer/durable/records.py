"""What a node keeps over a crash, as records and as what they add up to.

Each record is msgpack with a tag, and a later version may add fields and tags. A record whose tag is unknown
is passed on in snapshots, so that a program that is older for an hour loses nothing of the newer one's.
Times are wall-clock ms. What is learned has a `Stamp` besides, by which its age is bounded from below.
"""

from __future__ import annotations

import math
import time
from pathlib import Path

import msgspec

from balancer.errors import BalancerError
from balancer.interface import LearnedState

BOOT = Path("/proc/sys/kernel/random/boot_id")
MOST_UNKNOWN = 256  # records of unknown kinds that are passed on


class RecordError(BalancerError):
    """A snapshot cannot be read; of a sound file only a newer program's."""

    code = "STA02"
    remedy = "start the newer version again, or let durable.directory name an empty one"


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A moment by both clocks. `up` counts only while `boot` is the same: it means nothing after a reboot."""

    wall: float  # ms, Unix time
    boot: str  # the system's name for the time between two reboots; empty where it has none
    up: float  # ms since the reboot, sleep included

    def age(self, now: Stamp) -> float:
        """Ms that have passed at least; infinity where no clock can tell.

        A wall clock that was set back or ahead makes it older, never younger.
        """
        by_wall = now.wall - self.wall
        if self.boot and self.boot == now.boot and now.up >= self.up:
            return max(by_wall, now.up - self.up)
        return by_wall if by_wall >= 0 else math.inf


def stamp() -> Stamp:
    """This moment."""
    try:
        boot = BOOT.read_text("ascii").strip()
    except (OSError, ValueError):
        boot = ""
    return Stamp(time.time() * 1000, boot, time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the list of backends."""

    backend: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    weight: float
    phase: str
    started_at: float


class Out(msgspec.Struct, frozen=True, tag="out"):
    """The operators took a backend out."""

    backend: str
    at: float


class Back(msgspec.Struct, frozen=True, tag="back"):
    """And put it back."""

    backend: str
    at: float


class Listed(msgspec.Struct, frozen=True, tag="list"):
    """Discovery told the list, or changes of it."""

    revision: int
    whole: bool
    heard: float
    rows: list[Row]


class Started(msgspec.Struct, frozen=True, tag="start"):
    """A process began a life of that number among the members."""

    life: int
    at: float


class Sampled(msgspec.Struct, frozen=True, tag="learned"):
    """What the module has learned, now and then."""

    at: Stamp
    learned: LearnedState
    rate: float = 0.0  # requests a second that the node takes; 0: not known


class Flag(msgspec.Struct, frozen=True, array_like=True):
    """A row of the register of bans and returns that the nodes of a tier share (`recovery.register`)."""

    backend: str
    node: int
    life: int
    seq: int
    live: bool
    at: float  # -inf where nobody knows

    @property
    def key(self) -> tuple[int, int, bool]:
        """The greater one of the same backend and node wins."""
        return self.life, self.seq, not self.live


class Flagged(msgspec.Struct, frozen=True, tag="flags"):
    """Rows of the register have changed."""

    rows: list[Flag]


Record = Out | Back | Listed | Started | Sampled | Flagged
_decoder = msgspec.msgpack.Decoder(Record)


class Kept(msgspec.Struct, array_like=True):
    """What all records so far add up to; as msgpack it is a snapshot."""

    out: dict[str, float] = {}  # backends that are out, since when
    back: dict[str, float] = {}  # and that were put back, when
    revision: int = 0
    heard: float = 0.0  # when the list was told
    rows: dict[str, Row] = {}
    life: int = 0
    sampled: Sampled | None = None
    unknown: list[bytes] = []
    # By backend and node. In a snapshot they are a record among the unknown ones, last: that is what a
    # program from before the register passes on.
    flags: dict[str, dict[int, Flag]] = {}

    def apply(self, data: bytes) -> None:
        """One more record."""
        try:
            record = _decoder.decode(data)
        except msgspec.MsgspecError:
            self.unknown = [*self.unknown, data][-MOST_UNKNOWN:]
            return
        match record:
            case Out():
                self.out[record.backend] = record.at
                self.back.pop(record.backend, None)
            case Back():
                self.out.pop(record.backend, None)
                self.back[record.backend] = record.at
            case Listed():
                rows = {row.backend: row for row in record.rows}
                self.rows = rows if record.whole else self.rows | rows
                self.revision, self.heard = record.revision, record.heard
            case Started():
                self.life = max(self.life, record.life)
            case Sampled():
                self.sampled = record
            case Flagged():
                self._flagged(record.rows)
                for name in {row.backend for row in record.rows}:
                    self._follow(name)

    def _flagged(self, rows: list[Flag]) -> None:
        for row in rows:
            held = self.flags.setdefault(row.backend, {})
            if row.node not in held or row.key > held[row.node].key:
                held[row.node] = row

    def _follow(self, backend: str) -> None:
        """The register's word counts as that of the operators: another start may be without the register."""
        rows = self.flags[backend].values()
        if any(row.live for row in rows):
            self.out[backend] = max(0.0, min(row.at for row in rows if row.live))
            self.back.pop(backend, None)
        else:
            self.out.pop(backend, None)
            self.back[backend] = max(0.0, max(row.at for row in rows))

    def resolve(self) -> None:
        """Take records that an older program has passed on; of bans it knew by records of its own."""
        rest = []
        for data in self.unknown:
            try:
                record = _decoder.decode(data)
            except msgspec.MsgspecError:
                rest.append(data)
                continue
            if isinstance(record, Flagged):
                self._flagged(record.rows)
        self.unknown = rest

    def encode(self) -> bytes:
        """A snapshot."""
        rows = [row for held in self.flags.values() for row in held.values()]
        more = [encode(Flagged(rows))] if rows else []
        return msgspec.msgpack.encode(msgspec.structs.replace(self, unknown=self.unknown + more, flags={}))

    def forget(self, before: float) -> None:
        """Drop returns that no ramp needs any more."""
        self.back = {name: at for name, at in self.back.items() if at >= before}


def total(snapshot: bytes | None, records: list[bytes]) -> Kept:
    """What a snapshot and the records after it add up to; raises RecordError."""
    try:
        kept = msgspec.msgpack.decode(snapshot, type=Kept) if snapshot else Kept()
    except msgspec.MsgspecError as err:
        raise RecordError(f"a snapshot is of a form this program does not know: {err}") from None
    kept.resolve()
    for data in records:
        kept.apply(data)
    return kept


def encode(record: Record) -> bytes:
    """A record's bytes."""
    return msgspec.msgpack.encode(record)
