"""Framing of records: length-prefixed frames with chained checksums, so that a missing middle is detected.

    crc:u32 chain:u32 length:u32 batch:u64 number:u64 payload:bytes[length]

All numbers are big-endian. `crc` is the CRC32C of everything that follows `chain`. `chain` is the CRC32C of
the previous frame's chain and `crc`, so that a frame of another log, or of another position of this log, does
not fit. `batch` is the number of the first record written since the last sync: a power cut tears only the
last batch, so an invalid frame before a later batch is damage and not a torn tail.

Source: the write-ahead log of etcd (chained CRC, rule on torn tails).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import google_crc32c

from balancer.errors import BalancerError

HEADER = struct.Struct(">IIIQQ")  # crc, chain, length, batch, number
CHECKED_FIELDS = struct.Struct(">IQQ")  # length, batch, number
UINT32 = struct.Struct(">I")
MAX_PAYLOAD_BYTES = 4 * 2**20
MAX_NUMBER_GAP = 2**32  # a larger step between two records is not searched behind damage


class RecordTooLongError(BalancerError):
    """A record is too long to be written, for example a list of very many backends."""

    code = "STA03"
    remedy = "the node serves on without [durable]; start it again once discovery's list is shorter"


@dataclass(slots=True, frozen=True)
class Frame:
    """One record and its position in a log."""

    number: int
    batch: int
    chain: int
    payload: bytes


@dataclass(slots=True)
class ParsedFrames:
    """The valid frames at the start of some bytes, and what follows them."""

    frames: list[Frame] = field(default_factory=list)
    end: int = 0  # offset of the first byte that is not part of a valid frame
    trailing_bytes: int = 0
    is_damaged: bool = False  # valid frames of a later batch follow, so this is no torn tail
    last_lost_number: int = 0  # last record that had certainly been synced; 0 if nothing is lost


def crc32c(data: bytes) -> int:
    """Return the CRC32C of `data`."""
    return int(google_crc32c.value(data))


def chain_crc(chain: int, crc: int) -> int:
    """Return the chain value that follows a frame with checksum `crc` written after `chain`."""
    return int(google_crc32c.extend(chain, UINT32.pack(crc)))


def make_frame(number: int, batch: int, chain: int, payload: bytes) -> Frame:
    """Return the frame of a record that follows `chain`.

    Raises:
        RecordTooLongError: The payload exceeds `MAX_PAYLOAD_BYTES`.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordTooLongError(f"a record has {len(payload)} bytes, {MAX_PAYLOAD_BYTES} fit")
    return Frame(number, batch, chain_crc(chain, _frame_crc(number, batch, payload)), payload)


def _frame_crc(number: int, batch: int, payload: bytes) -> int:
    return crc32c(CHECKED_FIELDS.pack(len(payload), batch, number) + payload)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    crc = _frame_crc(frame.number, frame.batch, frame.payload)
    header = HEADER.pack(crc, frame.chain, len(frame.payload), frame.batch, frame.number)
    return header + frame.payload


def parse_frames(data: bytes, offset: int, number: int, chain: int) -> ParsedFrames:
    """Parse the frames of `data` from `offset` on, as they follow record `number` with its `chain`."""
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
    """Return the frame at `offset` if its own checksum is valid, whatever its chain."""
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
    """Return the last record after `number` that was synced, by the batches of valid frames further on."""
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
