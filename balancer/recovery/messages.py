"""Datagrams of the return: at most 256 bytes, checked, versioned. What is unknown is skipped.

    crc32:u32 version:u8 kind:u8 sender:u16  hash:u64  then by kind

`hash` is of the sender's register. All numbers are big-endian. What a later version adds to a kind comes
after what is known of it and is skipped; a form that changes gets a kind of its own.

    ROLL, ANSWER  life:u32 running:u32 phase:u8 path:u8 flags:u8 revision:u32 rate:u32 demand:u32
                  young:u16 length:u8, then who is present: a bit for each node, of that many bytes
    DIGEST        16 bucket hashes, u32
    ROWS          of:u32 mask:u16 part:u16 parts:u16 flags:u8 count:u8, then for each row
                  node:u16 life:u32 seq:u32 live:u8 age:u32 length:u8 id
    FILTER        revision:u32 hashes:u8 length:u8, then a Bloom filter of that many bytes
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, IntFlag

from balancer.recovery.ban_register import BUCKET_COUNT, MAX_ID_BYTES, BanEntry

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # bytes of a datagram
FIRST_MESSAGE_KIND, LAST_MESSAGE_KIND = 16, 31  # of this room
HEAD = struct.Struct(">IBBHQ")
STATE = struct.Struct(">IIBBBIIIHB")
DIGEST = struct.Struct(f">{BUCKET_COUNT}I")
ROWS = struct.Struct(">IHHHBB")
ROW = struct.Struct(">HIIBIB")
FILTER = struct.Struct(">IBB")
UNKNOWN_AGE = 0xFFFFFFFF  # an age in ms that nobody knows, or that is as long
MAX_ENTRIES_BYTES = MAX_DATAGRAM_BYTES - HEAD.size - ROWS.size  # bytes for rows
MAX_STATUS_NODES = 8 * (
    MAX_DATAGRAM_BYTES - HEAD.size - STATE.size
)  # of whom a state can say that they are present
MAX_FILTER_BYTES = 200  # bytes
MAX_FILTER_HASHES = 16  # bits that a filter may set for each id


class MessageError(ValueError):
    """A datagram that cannot be read."""


class UnknownKindError(MessageError):
    """A datagram of a kind that only a later version knows: it is skipped."""


class MessageKind(IntEnum):
    """What a datagram is for."""

    SURVEY = 16  # I return: who is there?
    STATUS = 17  # I am
    DIGEST = 18  # tell me the rows that you have and I lack
    ENTRIES = 19
    LIST_FILTER = 20  # the backends in service of a list that discovery has told, as a Bloom filter


class StatusFlag(IntFlag):
    """Of ROLL and ANSWER."""

    SOUND = 1  # the sender's disk was
    FRESH = 2  # nothing was kept on it
    LISTED = 4  # discovery has told the sender its list in this life
    REPLY = 8  # in answer to an answer: none is wanted
    WARM = 16  # by the sender's clock every listed backend is warm


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a node says of itself."""

    life: int
    running: float  # ms since its process started, by its own clock
    phase: int  # a `Phase`, or one of a later version
    path: int  # index in `PATHS`, or one of a later version
    flags: StatusFlag
    revision: int  # of the list that it has
    rate: float  # requests a second that it carried when warm; 0: it does not know
    demand: float  # requests that came to it in the last second; infinite: it does not know
    young: int  # nodes that are returning, of those that it sees
    nodes: int  # bits of those that it has heard, of itself, and once it serves of all that it sees

    @property
    def present(self) -> int:
        """How many it sees."""
        return self.nodes.bit_count()


@dataclass(slots=True, frozen=True)
class RegisterPage:
    """Rows of the sender's register.

    All parts 0 to `parts` - 1 with the same hash and mask are all rows of the buckets in the mask. `of` is
    the lower half of the hash with which the receiver asked: the buckets outside the mask were the same then.
    """

    rows: tuple[BanEntry, ...]  # `at` is on the receiver's clock, as of `decode`'s `now`
    of: int = 0
    mask: int = 0  # 0: single rows that say nothing of others
    part: int = 0
    parts: int = 1
    to_all: bool = False


@dataclass(slots=True, frozen=True)
class ListFilter:
    """Which backends are in service; some that are not may seem to be."""

    revision: int
    hashes: int  # bits set for each id
    bits: bytes


Body = NodeStatus | tuple[int, ...] | RegisterPage | ListFilter  # the tuple: a digest's bucket hashes


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram."""

    kind: MessageKind
    sender: int
    hash: int
    body: Body


def node_bits(nodes: Iterable[int]) -> int:
    """One bit for each node."""
    return sum(1 << node for node in nodes)


def encoded_entry_size(row: BanEntry) -> int:
    """Bytes in a datagram."""
    return ROW.size + len(row.backend.encode())


def encode(message: Message, now: float) -> bytes:
    """The bytes of a message, ages of rows as of `now` (ms); raises MessageError if it is too long."""
    match message.body:
        case NodeStatus() as s:
            running, rate = min(int(s.running), UNKNOWN_AGE), min(round(s.rate * 10), UNKNOWN_AGE)
            demand = UNKNOWN_AGE if s.demand == math.inf else min(round(s.demand * 10), UNKNOWN_AGE - 1)
            body = STATE.pack(s.life, running, s.phase, s.path, s.flags, s.revision & 0xFFFFFFFF, rate,
                              demand, s.young, 0)  # fmt: skip
            bits = s.nodes & (1 << MAX_STATUS_NODES) - 1
            seen = bits.to_bytes((bits.bit_length() + 7) // 8, "big")
            body = body[:-1] + bytes([len(seen)]) + seen
        case RegisterPage() as r:
            parts = [ROWS.pack(r.of, r.mask, r.part, r.parts, r.to_all, len(r.rows))]
            parts += [_packed(row, now) for row in r.rows]
            body = b"".join(parts)
        case ListFilter() as f:
            body = FILTER.pack(f.revision & 0xFFFFFFFF, f.hashes, len(f.bits)) + f.bits
        case hashes:
            body = DIGEST.pack(*hashes)
    head = HEAD.pack(0, VERSION, message.kind, message.sender, message.hash)
    if len(head) + len(body) > MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(head) + len(body)} bytes")
    rest = head[4:] + body
    return zlib.crc32(rest).to_bytes(4, "big") + rest


def _packed(row: BanEntry, now: float) -> bytes:
    name = row.backend.encode()
    if not 0 < len(name) <= MAX_ID_BYTES:
        raise MessageError(f"an id of {len(name)} bytes")
    age = UNKNOWN_AGE if row.at == -math.inf else min(max(0, int(now - row.at)), UNKNOWN_AGE)
    return ROW.pack(row.node, row.life, row.seq, row.live, age, len(name)) + name


def decode(data: bytes, now: float) -> Message:
    """The message in a datagram that came at `now` (ms); raises MessageError on anything else."""
    if not HEAD.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(data)} bytes")
    check, version, kind, sender, hash_ = HEAD.unpack_from(data)
    if zlib.crc32(data[4:]) != check:
        raise MessageError("corrupt")
    if not version:
        raise MessageError("no version")
    body = data[HEAD.size :]
    try:
        match kind:
            case MessageKind.SURVEY | MessageKind.STATUS:
                return Message(MessageKind(kind), sender, hash_, _state(body))
            case MessageKind.DIGEST:
                return Message(MessageKind.DIGEST, sender, hash_, DIGEST.unpack_from(body))
            case MessageKind.ENTRIES:
                return Message(MessageKind.ENTRIES, sender, hash_, _rows(body, now))
            case MessageKind.LIST_FILTER:
                revision, hashes, length = FILTER.unpack_from(body)
                bits = body[FILTER.size : FILTER.size + length]
                if not 0 < hashes <= MAX_FILTER_HASHES or not length or len(bits) < length:
                    raise MessageError("no filter")
                return Message(MessageKind.LIST_FILTER, sender, hash_, ListFilter(revision, hashes, bits))
    except struct.error:
        raise MessageError("cut short") from None
    raise UnknownKindError(f"kind {kind}")


def _state(body: bytes) -> NodeStatus:
    life, running, phase, path, flags, revision, rate, came, young, length = STATE.unpack_from(body)
    seen = body[STATE.size : STATE.size + length]
    if len(seen) < length:
        raise MessageError("cut short")
    nodes = int.from_bytes(seen, "big")
    known = StatusFlag(flags & sum(StatusFlag))
    demand = math.inf if came == UNKNOWN_AGE else came / 10
    return NodeStatus(life, float(running), phase, path, known, revision, rate / 10, demand, young, nodes)


def _rows(body: bytes, now: float) -> RegisterPage:
    of, mask, part, parts, flags, count = ROWS.unpack_from(body)
    at, rows = ROWS.size, []
    for _ in range(count):
        node, life, seq, live, age, length = ROW.unpack_from(body, at)
        name = body[at + ROW.size : at + ROW.size + length]
        at += ROW.size + length
        if len(name) < length or not 0 < length <= MAX_ID_BYTES:
            raise MessageError("cut short")
        try:
            backend = name.decode()
        except UnicodeDecodeError:
            raise MessageError("an id that is none") from None
        rows.append(
            BanEntry(backend, node, life, seq, bool(live), -math.inf if age == UNKNOWN_AGE else now - age)
        )
    if part >= parts:
        raise MessageError(f"part {part} of {parts}")
    return RegisterPage(tuple(rows), of, mask, part, parts, bool(flags & 1))
