"""Datagrams of the recovery protocol: at most 256 bytes, with checksum and version; skips unknown kinds.

    crc32:u32 version:u8 kind:u8 sender:u16  hash:u64  then by kind

`hash` is the hash of the sender's register. All numbers are big-endian. A later version may append fields to
a kind, which older versions ignore; an incompatible layout gets a kind of its own.

    SURVEY, STATUS  incarnation:u32 uptime:u32 phase:u8 path:u8 flags:u8 revision:u32 rate:u32 demand:u32
                    recovering:u16 length:u8, then that many bytes with one bit for each present node
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
FIRST_MESSAGE_KIND = 16  # membership uses the message kinds below 16 on the same port
MAX_U32 = 0xFFFFFFFF
UNKNOWN = MAX_U32  # the largest number encodes an age (ms) or demand that is unknown or too large
HEADER = struct.Struct(">IBBHQ")
STATUS_LAYOUT = struct.Struct(">IIBBBIIIHB")
DIGEST_LAYOUT = struct.Struct(f">{DIGEST_BUCKET_COUNT}I")
PAGE_LAYOUT = struct.Struct(">IHHHBB")
ENTRY_LAYOUT = struct.Struct(">HIIBIB")
FILTER_LAYOUT = struct.Struct(">IBB")
CRC_BYTES = 4
RATE_SCALE = 10  # rates are sent in tenths of a request per second
MAX_ENTRIES_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - PAGE_LAYOUT.size
# The presence bits of a status fill the rest of its datagram.
MAX_STATUS_NODES = 8 * (MAX_DATAGRAM_BYTES - HEADER.size - STATUS_LAYOUT.size)
MAX_FILTER_BYTES = 200
MAX_FILTER_HASHES = 16  # a received filter that sets more than 16 bits for each id is rejected


class MessageError(ValueError):
    """The datagram cannot be decoded, or the message cannot be encoded."""


class UnknownKindError(MessageError):
    """The datagram has a kind that only a later version knows, so the receiver skips it."""


class MessageKind(IntEnum):
    """Kinds of recovery datagrams."""

    SURVEY = 16  # a survey asks all peers for their status
    STATUS = 17
    DIGEST = 18  # a digest asks for the entries that the sender lacks
    ENTRIES = 19
    LIST_FILTER = 20  # a filter tells which backends of a list from discovery are in service


class StatusFlag(IntFlag):
    """Flags of SURVEY and STATUS datagrams."""

    SOUND = 1  # the sender's disk was sound
    FRESH = 2  # the sender's disk was empty
    LISTED = 4  # discovery has sent the sender its list in this incarnation
    REPLY = 8  # the status is itself a reply, so it needs no further reply
    WARM = 16  # by the sender's clock every listed backend is warm


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """Status that a node reports about itself.

    Attributes:
        incarnation: Incarnation of the node, which orders its bans.
        uptime_ms: Uptime of the node's process by the node's own clock.
        phase: Value of a `Phase`, or of a phase that only a later version knows.
        path: Index in `PATHS`, or of a path that only a later version knows.
        flags: Further properties of the node's state.
        revision: Revision of the endpoint list that the node has; 0 if unknown.
        warm_rate: Requests per second that the node carried when warm; 0 if unknown.
        demand: Requests that arrived at the node in the last second; infinite if unknown.
        recovering: Number of recovering nodes among those that the node sees.
        present_nodes: Bits of the node and the peers it has heard from; once it serves, of all present nodes.
    """

    incarnation: int
    uptime_ms: float
    phase: int
    path: int
    flags: StatusFlag
    revision: int
    warm_rate: float
    demand: float
    recovering: int
    present_nodes: int

    @property
    def present_count(self) -> int:
        """Number of nodes that the reporting node sees, including itself."""
        return self.present_nodes.bit_count()


@dataclass(slots=True, frozen=True)
class RegisterPage:
    """Page with entries of the sender's register.

    The parts 0 to `parts` - 1 with the same hash and mask together hold all entries of the buckets in the
    mask. `base` is the lower half of the register hash that came with the receiver's digest; at that hash the
    buckets outside the mask were equal.

    Attributes:
        entries: Entries of the page; `decode` converts their `changed_at` to the receiver's clock.
        base: Lower half of the receiver's register hash; 0 if the page does not answer a digest.
        mask: Buckets that all parts together cover completely; 0 for single entries.
        part: Number of this page.
        parts: Number of pages that belong together.
        to_all: Whether the page is broadcast.
    """

    entries: tuple[BanEntry, ...]
    base: int = 0
    mask: int = 0
    part: int = 0
    parts: int = 1
    to_all: bool = False


@dataclass(slots=True, frozen=True)
class Digest:
    """Hash of each bucket of the sender's register."""

    buckets: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class ListFilter:
    """Bloom filter of the backends in service; it may match a few others.

    Attributes:
        revision: Revision of the endpoint list that the filter was built from.
        hashes: Number of bits that each id sets.
        bits: Bit array of the filter.
    """

    revision: int
    hashes: int
    bits: bytes


Body = NodeStatus | Digest | RegisterPage | ListFilter


@dataclass(slots=True, frozen=True)
class Message:
    """Decoded content of one datagram."""

    kind: MessageKind
    sender: int
    hash: int
    body: Body


def node_bits(nodes: Iterable[int]) -> int:
    """Return a bit mask in which the bit of each node is set."""
    return sum(1 << node for node in nodes)


def rounded_demand(demand: float) -> float:
    """Return a demand as peers decode it from a status: rounded to tenths, infinite if unknown."""
    if demand == math.inf:
        return math.inf
    return min(round(demand * RATE_SCALE), UNKNOWN - 1) / RATE_SCALE


def encoded_entry_size(entry: BanEntry) -> int:
    """Return the size in bytes of an entry in a datagram."""
    return ENTRY_LAYOUT.size + len(entry.backend.encode())


def encode(message: Message, now: float) -> bytes:
    """Return the datagram of a message, with the ages of entries at `now` (ms).

    Raises:
        MessageError: If the message is too long for a datagram, or a backend id is empty or too long.
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
        raise MessageError(f"{len(header) + len(body)} bytes exceed the size limit of a datagram")
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
        raise MessageError(f"backend id of {len(backend)} bytes is empty or exceeds the length limit")
    is_unknown = entry.changed_at == -math.inf
    age = UNKNOWN if is_unknown else min(max(0, int(now - entry.changed_at)), UNKNOWN)
    fixed = ENTRY_LAYOUT.pack(entry.node, entry.incarnation, entry.sequence, entry.active, age, len(backend))
    return fixed + backend


def decode(data: bytes, now: float) -> Message:
    """Return the message in a datagram that arrived at `now` (ms).

    Raises:
        UnknownKindError: If only a later version knows the kind of the datagram.
        MessageError: If the datagram is invalid.
    """
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(data)} bytes are too few or too many for a datagram of recovery")
    checksum, version, kind, sender, register_hash = HEADER.unpack_from(data)
    if zlib.crc32(data[CRC_BYTES:]) != checksum:
        raise MessageError("checksum does not match the content of the datagram")
    if not version:
        raise MessageError("protocol version is 0, expected 1 or later")
    try:
        body = _decode_body(kind, data[HEADER.size :], now)
    except struct.error:
        raise MessageError("datagram is shorter than the fixed fields of its kind") from None
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
    raise UnknownKindError(f"unknown message kind {kind}")


def _decode_filter(body: bytes) -> ListFilter:
    revision, hashes, length = FILTER_LAYOUT.unpack_from(body)
    bits = body[FILTER_LAYOUT.size : FILTER_LAYOUT.size + length]
    if not 0 < hashes <= MAX_FILTER_HASHES or not length or len(bits) < length:
        raise MessageError("list filter is empty or truncated, or its number of hashes is out of range")
    return ListFilter(revision, hashes, bits)


def _decode_status(body: bytes) -> NodeStatus:
    fields = STATUS_LAYOUT.unpack_from(body)
    incarnation, uptime, phase, path, flags, revision, rate, demand, recovering, length = fields
    present = body[STATUS_LAYOUT.size : STATUS_LAYOUT.size + length]
    if len(present) < length:
        raise MessageError("status ends before its last presence byte")
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
        raise MessageError(f"page has part number {part}, expected less than the number of parts {parts}")
    return RegisterPage(tuple(entries), base, mask, part, parts, bool(flags & 1))


def _decode_entry(body: bytes, offset: int, now: float) -> BanEntry:
    node, incarnation, sequence, active, age, length = ENTRY_LAYOUT.unpack_from(body, offset)
    encoded = body[offset + ENTRY_LAYOUT.size : offset + ENTRY_LAYOUT.size + length]
    if len(encoded) < length or not 0 < length <= MAX_BACKEND_ID_BYTES:
        raise MessageError("backend id is empty, too long or truncated")
    try:
        backend = encoded.decode()
    except UnicodeDecodeError:
        raise MessageError("backend id is not valid UTF-8") from None
    changed_at = -math.inf if age == UNKNOWN else now - age
    return BanEntry(backend, node, incarnation, sequence, bool(active), changed_at)
