"""Records as bytes: length-prefixed frames whose checksums are chained, so that a lost middle is seen.

    check:u32 chain:u32 length:u32 batch:u64 number:u64 (length bytes)

`check` is the CRC32C of all that follows `chain`; `chain` that of the frame before it and `check`: frames of
another log, or of another place of this one, do not fit in. `batch` is the number of the first record that
was written since the last sync: a power cut tears the last batch only, so a bad frame before a later batch is
damage. All numbers are big-endian. Source: the write-ahead log of etcd, whose chain and rule on torn tails
these are.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import google_crc32c

from balancer.errors import BalancerError

HEAD = struct.Struct(">IIIQQ")
REST = struct.Struct(">IQQ")
WORD = struct.Struct(">I")
LONGEST = 4 * 2**20  # bytes of one record


class LengthError(BalancerError):
    """A record is too long to be written, a list of very many backends for one."""

    code = "STA03"
    remedy = "the node serves on without [durable]; start it again once discovery's list is shorter"


@dataclass(slots=True, frozen=True)
class Frame:
    """One record and its place."""

    number: int
    batch: int
    chain: int
    data: bytes


@dataclass(slots=True)
class Parsed:
    """The sound frames at the beginning of some bytes, and what comes after them."""

    frames: list[Frame] = field(default_factory=list)
    used: int = 0  # bytes
    rest: int = 0  # bytes that are no sound frames
    damaged: bool = False  # sound frames of a later batch follow: the rest is no torn tail
    lost_to: int = 0  # the last record that had surely been synced; 0 where nothing is lost


def crc(data: bytes) -> int:
    """CRC32C."""
    return int(google_crc32c.value(data))


def link(chain: int, check: int) -> int:
    """The chain after a frame, from the chain before it and the frame's check."""
    return int(google_crc32c.extend(chain, WORD.pack(check)))


def frame(number: int, batch: int, chain: int, data: bytes) -> Frame:
    """A record that comes after `chain`; raises LengthError where it is too long."""
    if len(data) > LONGEST:
        raise LengthError(f"a record has {len(data)} bytes, {LONGEST} fit")
    return Frame(number, batch, link(chain, _check(number, batch, data)), data)


def _check(number: int, batch: int, data: bytes) -> int:
    return crc(REST.pack(len(data), batch, number) + data)


def encode(one: Frame) -> bytes:
    """A frame's bytes."""
    check = _check(one.number, one.batch, one.data)
    return HEAD.pack(check, one.chain, len(one.data), one.batch, one.number) + one.data


def parse(data: bytes, at: int, number: int, chain: int) -> Parsed:
    """The frames of `data` from `at` on, as they follow record `number` with its `chain`."""
    out, batch = Parsed(), number + 1
    while True:
        one = _at(data, at)
        sound = one is not None and one.number == number + 1 and batch <= one.batch <= one.number
        if one is None or not sound or one.chain != link(chain, WORD.unpack_from(data, at)[0]):
            break
        number, chain, batch = one.number, one.chain, one.batch
        out.frames.append(one)
        at += HEAD.size + len(one.data)
    out.used, out.rest = at, len(data) - at
    if out.rest:
        out.lost_to = _synced_after(data, at, number)
        out.damaged = out.lost_to > number
    return out


def _at(data: bytes, at: int) -> Frame | None:
    """The frame that stands there by its own check, whatever its chain."""
    if at + HEAD.size > len(data):
        return None
    check, chain, length, batch, number = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    if length > LONGEST or end > len(data):
        return None
    payload = data[at + HEAD.size : end]
    return Frame(number, batch, chain, payload) if _check(number, batch, payload) == check else None


def _synced_after(data: bytes, at: int, number: int) -> int:
    """The last record after `number` that was synced, by the batches of sound frames behind what is bad."""
    last = 0
    while at + HEAD.size <= len(data):
        _, _, length, batch, found = HEAD.unpack_from(data, at)
        if number < found and batch <= found < number + 2**32 and length <= LONGEST:
            one = _at(data, at)
            if one is not None:
                last = max(last, batch - 1)
                at += HEAD.size + length
                continue
        at += 1
    return last
