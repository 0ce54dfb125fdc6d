"""Datagrams between nodes: at most 256 bytes, checked, versioned. What is unknown is skipped.

    crc32:u32 version:u8 kind:u8 sender:u16 life:u32 incarnation:u16
    sequence:u32 view:u32 subject:u16 extra:u8 (extra bytes) (rumours)

A rumour is member:u16 life:u32 incarnation:u16 state:u8, and accuser:u16 where the state is SUSPECT. All
numbers are big-endian. A datagram of a later version has its new fields in `extra`; a kind or a state that
is not known leaves the rest of the datagram readable. Not taken: msgpack, whose integers take 9 bytes for a
life and leave room for half as many rumours.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

VERSION = 1
MOST = 256  # bytes of a datagram
HEAD = struct.Struct(">IBBHIHIIHB")
RUMOUR = struct.Struct(">HIHB")
ACCUSER = struct.Struct(">H")
NOBODY = 0xFFFF  # a subject that names no member
BUCKETS = 104  # of the digest: two members in each where there are 200
DIGEST = struct.Struct(f">B{BUCKETS}H")
LAST_LIFE = 0xFFFFFFFF
LAST_WORD = 0xFFFF  # the incarnation of a member that has left: nothing of this life comes after it


class MessageError(ValueError):
    """A datagram that cannot be read: it is counted, and no operator ever sees this."""


class State(IntEnum):
    """What is said of a member, in the order in which one overrides another at the same incarnation."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


STATES = tuple(State)


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 1
    ACK = 2
    PING_REQ = 3  # ping `subject` for me
    NACK = 4  # `subject` has not answered me so far
    DIGEST = 5  # hashes of what I know, in `extra`; its first byte asks for the like
    GOSSIP = 6  # rumours alone
    PAGE = 7  # to all: rumours that many lack
    ROLL = 8  # to all: who of these, whom I hold for dead, lives? They alone take it to heart


class Rumour(NamedTuple):
    """What somebody says of a member. `key` orders all that can be said of one."""

    member: int
    life: int
    incarnation: int
    state: State
    accuser: int = NOBODY

    @property
    def key(self) -> tuple[int, int, int]:
        """Greater is newer: views are joined by the greatest key, in whatever order rumours come."""
        return self[1:4]

    @property
    def size(self) -> int:
        """Bytes in a datagram."""
        return RUMOUR.size + (ACCUSER.size if self.state is State.SUSPECT else 0)


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram."""

    kind: int  # a `Kind`, or one of a later version
    sender: int
    life: int
    incarnation: int
    sequence: int
    view: int
    subject: int = NOBODY
    extra: bytes = b""
    rumours: tuple[Rumour, ...] = ()


ROOM = MOST - HEAD.size  # bytes for `extra` and rumours


def encode(message: Message) -> bytes:
    """The bytes of a message; raises MessageError if it is too long."""
    m = message
    extra = len(m.extra)
    head = HEAD.pack(
        0, VERSION, m.kind, m.sender, m.life, m.incarnation, m.sequence, m.view, m.subject, extra
    )
    parts = [head, m.extra]
    for r in m.rumours:
        parts.append(RUMOUR.pack(r.member, r.life, r.incarnation, r.state))
        if r.state is State.SUSPECT:
            parts.append(ACCUSER.pack(r.accuser))
    body = b"".join(parts)[4:]
    if len(body) + 4 > MOST:
        raise MessageError(f"{len(body) + 4} bytes")
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes) -> Message:
    """The message in a datagram; raises MessageError on anything else."""
    if not HEAD.size <= len(data) <= MOST:
        raise MessageError(f"{len(data)} bytes")
    check, version, kind, sender, life, incarnation, sequence, view, subject, extra = HEAD.unpack_from(data)
    if zlib.crc32(data[4:]) != check:
        raise MessageError("corrupt")
    if not version:
        raise MessageError("no version")
    at = HEAD.size + extra
    if at > len(data):
        raise MessageError("cut short")
    rumours = []
    while at < len(data):
        if at + RUMOUR.size > len(data):
            raise MessageError("cut short")
        member, its_life, its_incarnation, state = RUMOUR.unpack_from(data, at)
        at += RUMOUR.size
        accuser = NOBODY
        if state == State.SUSPECT:
            if at + ACCUSER.size > len(data):
                raise MessageError("cut short")
            (accuser,) = ACCUSER.unpack_from(data, at)
            at += ACCUSER.size
        if State.UNKNOWN < state <= State.LEFT:
            rumours.append(Rumour(member, its_life, its_incarnation, STATES[state], accuser))
    more = data[HEAD.size : HEAD.size + extra]
    return Message(kind, sender, life, incarnation, sequence, view, subject, more, tuple(rumours))
