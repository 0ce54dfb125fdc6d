"""Encoding of membership datagrams: at most 256 bytes, with a checksum and a version.

    crc32:u32 version:u8 kind:u8 sender:u16 generation:u32 incarnation:u16
    sequence:u32 view:u32 subject:u16 extra:u8 (extra bytes) (updates)

An update is member:u16 generation:u32 incarnation:u16 state:u8, followed by accuser:u16 if the state is
SUSPECT. All numbers are big-endian. A later version places its new fields in `extra`, and a datagram with an
unknown kind or member state remains readable otherwise. The format is not msgpack because its
integers take 9 bytes for a generation, which would halve the number of updates per datagram.

A generation identifies one process of a node (operators know it as the incarnation of the process, and
`/stats` shows it as `life`). SWIM's incarnation counts the refutations within a generation.
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
# The extra field and the updates of a datagram share the space after its header.
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - HEADER_STRUCT.size
# Value of a `subject` or `accuser` field that refers to no member.
NO_MEMBER = 0xFFFF
# A tier of 200 nodes has about two members in each digest bucket.
DIGEST_BUCKETS = 104
# A digest consists of the flag whether a reply is wanted and one 16-bit hash per bucket.
DIGEST_STRUCT = struct.Struct(f">B{DIGEST_BUCKETS}H")
MAX_GENERATION = 0xFFFFFFFF
# Incarnation of a member that has left: the greatest value, so no claim of the same generation overrides it.
LEFT_INCARNATION = 0xFFFF


class MessageError(ValueError):
    """A datagram cannot be encoded or decoded; callers count the error and do not report it to operators."""


class MemberState(IntEnum):
    """State of a member; at the same incarnation a greater state overrides a lesser one."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


PRESENT_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
STATES = tuple(MemberState)


class MessageKind(IntEnum):
    """Purpose of a datagram; the values are part of the wire format."""

    PING = 1
    ACK = 2
    # PING_REQ asks the receiver to ping `subject` on behalf of the sender.
    PING_REQ = 3
    # NACK tells the prober that `subject` has not answered the helper's ping in time.
    NACK = 4
    # DIGEST carries the bucket hashes of the sender's view in `extra`.
    DIGEST = 5
    # GOSSIP carries nothing but updates.
    GOSSIP = 6
    # BULK_UPDATE broadcasts updates that many nodes do not have yet.
    BULK_UPDATE = 7
    # LIVENESS_QUERY is a broadcast that asks members believed dead to refute their death.
    LIVENESS_QUERY = 8


class Update(NamedTuple):
    """A claim about the state of a member; `key` orders all claims about one member."""

    member: int
    generation: int
    incarnation: int
    state: MemberState
    accuser: int = NO_MEMBER

    @property
    def key(self) -> tuple[int, int, int]:
        """Precedence of the claim: the greatest key wins, in whatever order claims arrive."""
        return self[1:4]

    @property
    def size(self) -> int:
        """Encoded size of the update in bytes."""
        return UPDATE_STRUCT.size + (ACCUSER_STRUCT.size if self.state is MemberState.SUSPECT else 0)


@dataclass(slots=True, frozen=True)
class Message:
    """A decoded datagram.

    `kind` is a `MessageKind`, or an unknown number if a later version sent the datagram. `view` is the state
    hash of the sender's view.
    """

    kind: int
    sender: int
    generation: int
    incarnation: int
    sequence: int
    view: int
    subject: int = NO_MEMBER
    extra: bytes = b""
    updates: tuple[Update, ...] = ()


def encode(message: Message) -> bytes:
    """Return the datagram that encodes a message. Raises MessageError if it is too long."""
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
        raise MessageError(f"{size} bytes of message do not fit into one datagram")
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data: bytes) -> Message:
    """Return the message that a datagram encodes. Raises MessageError if it is malformed."""
    if not HEADER_STRUCT.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageError(f"{len(data)} bytes are too few or too many for a datagram")
    checksum, version, kind, sender, generation, incarnation, sequence, view, subject, extra_size = (
        HEADER_STRUCT.unpack_from(data)
    )
    if zlib.crc32(data[CHECKSUM_BYTES:]) != checksum:
        raise MessageError("datagram checksum does not match its content")
    if not version:
        raise MessageError("datagram has protocol version 0, expected 1 or later")
    payload_end = HEADER_STRUCT.size + extra_size
    if payload_end > len(data):
        raise MessageError("datagram ends within its extra field")
    extra = data[HEADER_STRUCT.size : payload_end]
    updates = _decode_updates(data, payload_end)
    return Message(kind, sender, generation, incarnation, sequence, view, subject, extra, updates)


def _decode_updates(data: bytes, offset: int) -> tuple[Update, ...]:
    updates = []
    while offset < len(data):
        if offset + UPDATE_STRUCT.size > len(data):
            raise MessageError("datagram ends within an update")
        member, generation, incarnation, state = UPDATE_STRUCT.unpack_from(data, offset)
        offset += UPDATE_STRUCT.size
        accuser = NO_MEMBER
        if state == MemberState.SUSPECT:
            if offset + ACCUSER_STRUCT.size > len(data):
                raise MessageError("datagram ends before the accuser of a suspicion")
            (accuser,) = ACCUSER_STRUCT.unpack_from(data, offset)
            offset += ACCUSER_STRUCT.size
        if MemberState.UNKNOWN < state <= MemberState.LEFT:
            updates.append(Update(member, generation, incarnation, STATES[state], accuser))
    return tuple(updates)
