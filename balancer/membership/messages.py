"""Datagrams between nodes: at most 256 bytes, with a checksum and a version. Unknown parts are skipped.

    crc32:u32 version:u8 kind:u8 sender:u16 generation:u32 incarnation:u16
    sequence:u32 view:u32 subject:u16 extra:u8 (extra bytes) (updates)

An update is member:u16 generation:u32 incarnation:u16 state:u8, and accuser:u16 where the state is SUSPECT.
All numbers are big-endian. A datagram of a later version has its new fields in `extra`; an unknown kind or
state leaves the rest of the datagram readable. Not msgpack: its integers take 9 bytes for a generation and
would leave space for half as many updates.

A generation numbers the starts of a node's process (operators call it the incarnation of a process, `/stats`
its life). SWIM's incarnation counts the refutations within a generation.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

VERSION = 1
MAX_DATAGRAM_BYTES = 256
CHECKSUM_BYTES = 4
HEADER_STRUCT = struct.Struct(">IBBHIHIIHB")
UPDATE_STRUCT = struct.Struct(">HIHB")
ACCUSER_STRUCT = struct.Struct(">H")
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - HEADER_STRUCT.size  # for `extra` and updates
NO_MEMBER = 0xFFFF  # a subject or an accuser that names no member
DIGEST_BUCKETS = 104  # two members in each where there are 200
DIGEST_STRUCT = struct.Struct(f">B{DIGEST_BUCKETS}H")  # whether a reply is wanted, the bucket hashes
MAX_GENERATION = 0xFFFFFFFF
LEFT_INCARNATION = 0xFFFF  # of a member that has left: nothing of its generation overrides it


class MessageError(ValueError):
    """A datagram that cannot be encoded or decoded: it is counted and never reaches an operator."""


class MemberState(IntEnum):
    """State of a member, in the order in which one overrides another at the same incarnation."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


PRESENT_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
STATES = tuple(MemberState)


class MessageKind(IntEnum):
    """Purpose of a datagram."""

    PING = 1
    ACK = 2
    PING_REQ = 3  # a request to ping `subject` on the sender's behalf
    NACK = 4  # `subject` has not answered the helper in time
    DIGEST = 5  # bucket hashes of the sender's view, in `extra`
    GOSSIP = 6  # updates alone
    BULK_UPDATE = 7  # broadcast of updates that many lack
    LIVENESS_QUERY = 8  # broadcast that asks members believed dead to refute it


class Update(NamedTuple):
    """A claim about a member. `key` orders all claims about one member."""

    member: int
    generation: int
    incarnation: int
    state: MemberState
    accuser: int = NO_MEMBER

    @property
    def key(self) -> tuple[int, int, int]:
        """Precedence: the claim with the greatest key wins, in whatever order claims arrive."""
        return self[1:4]

    @property
    def size(self) -> int:
        """Bytes in a datagram."""
        return UPDATE_STRUCT.size + (ACCUSER_STRUCT.size if self.state is MemberState.SUSPECT else 0)


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram."""

    kind: int  # a `MessageKind`, or one of a later version
    sender: int
    generation: int
    incarnation: int
    sequence: int
    view: int  # state hash of the sender's view
    subject: int = NO_MEMBER
    extra: bytes = b""
    updates: tuple[Update, ...] = ()


def encode(message: Message) -> bytes:
    """Return the bytes of a message. Raises MessageError if it is too long."""
    header = HEADER_STRUCT.pack(
        0,
        VERSION,
        message.kind,
        message.sender,
        message.generation,
        message.incarnation,
        message.sequence,
        message.view,
        message.subject,
        len(message.extra),
    )
    parts = [header, message.extra]
    for update in message.updates:
        parts.append(UPDATE_STRUCT.pack(update.member, update.generation, update.incarnation, update.state))
        if update.state is MemberState.SUSPECT:
            parts.append(ACCUSER_STRUCT.pack(update.accuser))
    body = b"".join(parts)[CHECKSUM_BYTES:]
    size = len(body) + CHECKSUM_BYTES
    if size > MAX_DATAGRAM_BYTES:
        raise MessageError(f"{size} bytes")
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data: bytes) -> Message:
    """Return the message in a datagram. Raises MessageError if it is malformed."""
    if not HEADER_STRUCT.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(data)} bytes")
    checksum, version, kind, sender, generation, incarnation, sequence, view, subject, extra_size = (
        HEADER_STRUCT.unpack_from(data)
    )
    if zlib.crc32(data[CHECKSUM_BYTES:]) != checksum:
        raise MessageError("corrupt")
    if not version:
        raise MessageError("no version")
    payload_end = HEADER_STRUCT.size + extra_size
    if payload_end > len(data):
        raise MessageError("truncated")
    extra = data[HEADER_STRUCT.size : payload_end]
    updates = _decode_updates(data, payload_end)
    return Message(kind, sender, generation, incarnation, sequence, view, subject, extra, updates)


def _decode_updates(data: bytes, offset: int) -> tuple[Update, ...]:
    updates = []
    while offset < len(data):
        if offset + UPDATE_STRUCT.size > len(data):
            raise MessageError("truncated")
        member, generation, incarnation, state = UPDATE_STRUCT.unpack_from(data, offset)
        offset += UPDATE_STRUCT.size
        accuser = NO_MEMBER
        if state == MemberState.SUSPECT:
            if offset + ACCUSER_STRUCT.size > len(data):
                raise MessageError("truncated")
            (accuser,) = ACCUSER_STRUCT.unpack_from(data, offset)
            offset += ACCUSER_STRUCT.size
        if MemberState.UNKNOWN < state <= MemberState.LEFT:
            updates.append(Update(member, generation, incarnation, STATES[state], accuser))
    return tuple(updates)
