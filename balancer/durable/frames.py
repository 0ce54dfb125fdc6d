"""Framing of log records: length-prefixed frames with chained checksums.

    crc:u32 chain:u32 length:u32 batch:u64 number:u64 payload:bytes[length]

All numbers are big-endian. `crc` is the CRC32C of all fields after `chain`. `chain` is the CRC32C of the
previous frame's chain and of `crc`, which detects missing frames and frames from another log or position.
`batch` is the number of the first record written since the last sync: a power cut can tear only the last
batch, so an invalid frame before a later batch is damage and not a torn tail.

The chained CRC and the rule for torn tails follow the write-ahead log of etcd.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import google_crc32c

from balancer.errors import BalancerError

# Layout of a frame header: crc, chain, length, batch and number.
HEADER = struct.Struct(">IIIQQ")
# The header fields that the CRC of a frame covers: length, batch and number.
CHECKED_FIELDS = struct.Struct(">IQQ")
UINT32 = struct.Struct(">I")
MAX_PAYLOAD_BYTES = 4 * 2**20
# Behind damaged bytes, a frame whose record number jumps by 2**32 or more is taken for random data.
MAX_NUMBER_GAP = 2**32


class RecordTooLongError(BalancerError):
    """A record exceeds the size limit, for example an endpoint list with very many backends."""

    code = "STA03"
    remedy = "the node continues without [durable]; restart it once discovery's endpoint list is shorter"


@dataclass(slots=True, frozen=True)
class Frame:
    """A record's payload with its position in the log."""

    number: int
    batch: int
    chain: int
    payload: bytes


@dataclass(slots=True)
class ParsedFrames:
    """The valid frames at the start of a byte string, and a description of the bytes after them.

    `end` is the offset after the last valid frame. `is_damaged` means that the invalid bytes are not a torn
    tail, because valid frames of a later batch follow them. `last_lost_number` is the last lost record that
    had certainly been synced, or 0 if there is none.
    """

    frames: list[Frame] = field(default_factory=list)
    end: int = 0
    trailing_bytes: int = 0
    is_damaged: bool = False
    last_lost_number: int = 0


def crc32c(data: bytes) -> int:
    """Return the CRC32C checksum of `data`."""
    return int(google_crc32c.value(data))


def chain_crc(chain: int, crc: int) -> int:
    """Return the chain value of a frame with checksum `crc` that is written after `chain`."""
    return int(google_crc32c.extend(chain, UINT32.pack(crc)))


def make_frame(number: int, batch: int, chain: int, payload: bytes) -> Frame:
    """Return the frame of a record that is written after `chain`.

    Raises:
        RecordTooLongError: The payload exceeds `MAX_PAYLOAD_BYTES`.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordTooLongError(
            f"a record of {len(payload)} bytes is too long, the limit is {MAX_PAYLOAD_BYTES} bytes"
        )
    return Frame(number, batch, chain_crc(chain, _frame_crc(number, batch, payload)), payload)


def _frame_crc(number: int, batch: int, payload: bytes) -> int:
    return crc32c(CHECKED_FIELDS.pack(len(payload), batch, number) + payload)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame."""
    crc = _frame_crc(frame.number, frame.batch, frame.payload)
    header = HEADER.pack(crc, frame.chain, len(frame.payload), frame.batch, frame.number)
    return header + frame.payload


def parse_frames(data: bytes, offset: int, number: int, chain: int) -> ParsedFrames:
    """Parse the frames of `data` from `offset` on that continue record `number` and its chain value."""
    parsed = ParsedFrames()
    batch = number + 1
    while True:
        frame = _frame_at(data, offset)
        if frame is None or frame.number != number + 1 or not batch <= frame.batch <= frame.number:
            break
        if frame.chain != chain_crc(chain, UINT32.unpack_from(data, offset)[0]):
            break
        number = frame.number
        chain = frame.chain
        batch = frame.batch
        parsed.frames.append(frame)
        offset += HEADER.size + len(frame.payload)
    parsed.end = offset
    parsed.trailing_bytes = len(data) - offset
    if parsed.trailing_bytes:
        parsed.last_lost_number = _last_synced_after(data, offset, number)
        parsed.is_damaged = parsed.last_lost_number > number
    return parsed


def _frame_at(data: bytes, offset: int) -> Frame | None:
    """Return the frame at `offset` if its checksum is valid; the chain value is not checked."""
    if offset + HEADER.size > len(data):
        return None
    crc, chain, length, batch, number = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if _frame_crc(number, batch, payload) != crc:
        return None
    return Frame(number, batch, chain, payload)


def _last_synced_after(data: bytes, offset: int, number: int) -> int:
    """Return the number of the last synced record after `number`, derived from later valid frames."""
    last = 0
    while offset + HEADER.size <= len(data):
        _, _, length, batch, candidate = HEADER.unpack_from(data, offset)
        is_plausible = number < candidate < number + MAX_NUMBER_GAP and batch <= candidate
        if is_plausible and length <= MAX_PAYLOAD_BYTES:
            frame = _frame_at(data, offset)
            if frame is not None:
                last = max(last, batch - 1)
                offset += HEADER.size + length
                continue
        offset += 1
    return last
