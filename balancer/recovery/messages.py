"""Datagrams of recovery: at most 256 bytes, with checksum and version. Unknown kinds are skipped.

    crc32:u32 version:u8 kind:u8 sender:u16  hash:u64  then by kind

`hash` is of the sender's register. All numbers are big-endian. A later version may append
fields to a kind, which are ignored; an incompatible layout gets a kind of its own.

    SURVEY, STATUS  incarnation:u32 uptime:u32 phase:u8 path:u8 flags:u8 revision:u32 rate:u32 demand:u32
                    recovering:u16 length:u8, then who is present: a bit for each node, of that many bytes
    DIGEST          16 bucket hashes, u32
    ENTRIES         base:u32 mask:u16 part:u16 parts:u16 flags:u8 count:u8, then for each entry
                    node:u16 incarnation:u32 sequence:u32 active:u8 age:u32 length:u8 id
    LIST_FILTER     revision:u32 hashes:u8 length:u8, then a Bloom filter of that many bytes
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, IntFlag

from balancer.recovery.ban_register import DIGEST_BUCKET_COUNT, MAX_BACKEND_ID_BYTES, BanEntry

VERSION = 1
MAX_DATAGRAM_BYTES = 256
FIRST_MESSAGE_KIND = 16  # of this protocol, on a port that it shares
MAX_U32 = 0xFFFFFFFF
UNKNOWN = MAX_U32  # an age (ms) or a demand that is unknown, or too large
HEADER = struct.Struct(">IBBHQ")
STATUS_LAYOUT = struct.Struct(">IIBBBIIIHB")
DIGEST_LAYOUT = struct.Struct(f">{DIGEST_BUCKET_COUNT}I")
PAGE_LAYOUT = struct.Struct(">IHHHBB")
ENTRY_LAYOUT = struct.Struct(">HIIBIB")
FILTER_LAYOUT = struct.Struct(">IBB")
CRC_BYTES = 4
RATE_SCALE = 10  # rates are sent in tenths
MAX_ENTRIES_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - PAGE_LAYOUT.size
MAX_STATUS_NODES = 8 * (MAX_DATAGRAM_BYTES - HEADER.size - STATUS_LAYOUT.size)  # whose presence fits
MAX_FILTER_BYTES = 200
MAX_FILTER_HASHES = 16  # bits that a filter may set for each id


class MessageError(ValueError):
    """A datagram that cannot be decoded, or encoded."""


class UnknownKindError(MessageError):
    """A datagram of a kind that only a later version knows: it is skipped."""


class MessageKind(IntEnum):
    """Kinds of datagrams."""

    SURVEY = 16  # asks all peers for their status
    STATUS = 17
    DIGEST = 18  # asks for the entries that the sender lacks
    ENTRIES = 19
    LIST_FILTER = 20  # the backends in service of a list that discovery has sent


class StatusFlag(IntFlag):
    """Flags of SURVEY and STATUS."""

    SOUND = 1  # the sender's disk was sound
    FRESH = 2  # it was empty
    LISTED = 4  # discovery has sent the sender its list in this incarnation
    REPLY = 8  # in reply to a status: no further reply is wanted
    WARM = 16  # by the sender's clock every listed backend is warm


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a node reports of itself."""

    incarnation: int
    uptime_ms: float  # by its own clock
    phase: int  # a `Phase`, or one of a later version
    path: int  # index in `PATHS`, or one of a later version
    flags: StatusFlag
    revision: int  # of the list that it has
    warm_rate: float  # requests a second that it carried when warm; 0: unknown
    demand: float  # requests that came to it in the last second; infinite: unknown
    recovering: int  # nodes that are recovering, of those that it sees
    present_nodes: int  # bits of itself and its reporting peers; once it serves, of all present

    @property
    def present_count(self) -> int:
        """Number of nodes that it sees."""
        return self.present_nodes.bit_count()


@dataclass(slots=True, frozen=True)
class RegisterPage:
    """Entries of the sender's register.

    All parts 0 to `parts` - 1 with the same hash and mask are all entries of the buckets in the mask. `base`
    is the lower half of the hash with which the receiver asked: the buckets outside the mask were the same
    then.
    """

    entries: tuple[BanEntry, ...]  # `changed_at` is on the receiver's clock, as of `decode`'s `now`
    base: int = 0
    mask: int = 0  # 0: single entries, no complete buckets
    part: int = 0
    parts: int = 1
    to_all: bool = False


@dataclass(slots=True, frozen=True)
class Digest:
    """Hashes of the buckets of the sender's register."""

    buckets: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class ListFilter:
    """Bloom filter of the backends in service; some that are not may seem to be."""

    revision: int
    hashes: int  # bits set for each id
    bits: bytes


Body = NodeStatus | Digest | RegisterPage | ListFilter


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram."""

    kind: MessageKind
    sender: int
    hash: int
    body: Body


def node_bits(nodes: Iterable[int]) -> int:
    """Return a number with one bit set for each node."""
    return sum(1 << node for node in nodes)


def rounded_demand(demand: float) -> float:
    """Return a demand as peers read it from a status: in tenths, infinite if it is unknown."""
    if demand == math.inf:
        return math.inf
    return min(round(demand * RATE_SCALE), UNKNOWN - 1) / RATE_SCALE


def encoded_entry_size(entry: BanEntry) -> int:
    """Return the bytes that an entry takes in a datagram."""
    return ENTRY_LAYOUT.size + len(entry.backend.encode())


def encode(message: Message, now: float) -> bytes:
    """Return the bytes of a message, ages of entries as of `now` (ms).

    Raises:
        MessageError: If it is too long for a datagram.
    """
    match message.body:
        case NodeStatus() as status:
            body = _encode_status(status)
        case RegisterPage() as page:
            body = _encode_page(page, now)
        case ListFilter() as found:
            body = FILTER_LAYOUT.pack(found.revision & MAX_U32, found.hashes, len(found.bits)) + found.bits
        case Digest() as digest:
            body = DIGEST_LAYOUT.pack(*digest.buckets)
    header = HEADER.pack(0, VERSION, message.kind, message.sender, message.hash)
    if len(header) + len(body) > MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(header) + len(body)} bytes")
    checked = header[CRC_BYTES:] + body
    return zlib.crc32(checked).to_bytes(CRC_BYTES, "big") + checked


def _encode_status(status: NodeStatus) -> bytes:
    bits = status.present_nodes & (1 << MAX_STATUS_NODES) - 1
    present = bits.to_bytes((bits.bit_length() + 7) // 8, "big")
    demand = rounded_demand(status.demand)
    fixed = STATUS_LAYOUT.pack(
        status.incarnation,
        min(int(status.uptime_ms), MAX_U32),
        status.phase,
        status.path,
        status.flags,
        status.revision & MAX_U32,
        min(round(status.warm_rate * RATE_SCALE), MAX_U32),
        UNKNOWN if demand == math.inf else round(demand * RATE_SCALE),
        status.recovering,
        len(present),
    )
    return fixed + present


def _encode_page(page: RegisterPage, now: float) -> bytes:
    fixed = PAGE_LAYOUT.pack(page.base, page.mask, page.part, page.parts, page.to_all, len(page.entries))
    return b"".join([fixed, *(_encode_entry(entry, now) for entry in page.entries)])


def _encode_entry(entry: BanEntry, now: float) -> bytes:
    backend = entry.backend.encode()
    if not 0 < len(backend) <= MAX_BACKEND_ID_BYTES:
        raise MessageError(f"an id of {len(backend)} bytes")
    is_unknown = entry.changed_at == -math.inf
    age = UNKNOWN if is_unknown else min(max(0, int(now - entry.changed_at)), UNKNOWN)
    fixed = ENTRY_LAYOUT.pack(entry.node, entry.incarnation, entry.sequence, entry.active, age, len(backend))
    return fixed + backend


def decode(data: bytes, now: float) -> Message:
    """Return the message in a datagram that came at `now` (ms).

    Raises:
        UnknownKindError: If only a later version knows its kind.
        MessageError: If it is anything else.
    """
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(data)} bytes")
    checksum, version, kind, sender, register_hash = HEADER.unpack_from(data)
    if zlib.crc32(data[CRC_BYTES:]) != checksum:
        raise MessageError("corrupt")
    if not version:
        raise MessageError("no version")
    try:
        body = _decode_body(kind, data[HEADER.size :], now)
    except struct.error:
        raise MessageError("cut short") from None
    return Message(MessageKind(kind), sender, register_hash, body)


def _decode_body(kind: int, body: bytes, now: float) -> Body:
    match kind:
        case MessageKind.SURVEY | MessageKind.STATUS:
            return _decode_status(body)
        case MessageKind.DIGEST:
            return Digest(DIGEST_LAYOUT.unpack_from(body))
        case MessageKind.ENTRIES:
            return _decode_page(body, now)
        case MessageKind.LIST_FILTER:
            return _decode_filter(body)
    raise UnknownKindError(f"kind {kind}")


def _decode_filter(body: bytes) -> ListFilter:
    revision, hashes, length = FILTER_LAYOUT.unpack_from(body)
    bits = body[FILTER_LAYOUT.size : FILTER_LAYOUT.size + length]
    if not 0 < hashes <= MAX_FILTER_HASHES or not length or len(bits) < length:
        raise MessageError("no filter")
    return ListFilter(revision, hashes, bits)


def _decode_status(body: bytes) -> NodeStatus:
    fields = STATUS_LAYOUT.unpack_from(body)
    incarnation, uptime, phase, path, flags, revision, rate, demand, recovering, length = fields
    present = body[STATUS_LAYOUT.size : STATUS_LAYOUT.size + length]
    if len(present) < length:
        raise MessageError("cut short")
    return NodeStatus(
        incarnation,
        float(uptime),
        phase,
        path,
        StatusFlag(flags & sum(StatusFlag)),
        revision,
        rate / RATE_SCALE,
        math.inf if demand == UNKNOWN else demand / RATE_SCALE,
        recovering,
        int.from_bytes(present, "big"),
    )


def _decode_page(body: bytes, now: float) -> RegisterPage:
    base, mask, part, parts, flags, count = PAGE_LAYOUT.unpack_from(body)
    offset = PAGE_LAYOUT.size
    entries = []
    for _ in range(count):
        entry = _decode_entry(body, offset, now)
        offset += encoded_entry_size(entry)
        entries.append(entry)
    if part >= parts:
        raise MessageError(f"part {part} of {parts}")
    return RegisterPage(tuple(entries), base, mask, part, parts, bool(flags & 1))


def _decode_entry(body: bytes, offset: int, now: float) -> BanEntry:
    node, incarnation, sequence, active, age, length = ENTRY_LAYOUT.unpack_from(body, offset)
    encoded = body[offset + ENTRY_LAYOUT.size : offset + ENTRY_LAYOUT.size + length]
    if len(encoded) < length or not 0 < length <= MAX_BACKEND_ID_BYTES:
        raise MessageError("cut short")
    try:
        backend = encoded.decode()
    except UnicodeDecodeError:
        raise MessageError("an id that is none") from None
    changed_at = -math.inf if age == UNKNOWN else now - age
    return BanEntry(backend, node, incarnation, sequence, bool(active), changed_at)
