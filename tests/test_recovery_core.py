"""The core of a tier's return: its register's laws, its datagrams, then its phases under a virtual clock."""

from __future__ import annotations

import math
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dillport.recovery.messages import (
    MOST,
    Filter,
    Flag,
    Kind,
    Message,
    MessageError,
    Rows,
    State,
    UnknownKind,
    decode,
    encode,
)
from dillport.recovery.register import BUCKETS, Register, Row

NOW = 100_000.0
rows = st.builds(
    Row, st.sampled_from(["a", "b", "c"]), st.integers(0, 3), st.integers(0, 2), st.integers(0, 3),
    st.booleans(), st.sampled_from([-math.inf, 0.0, NOW]),
)  # fmt: skip
many = st.lists(rows, max_size=12)
u8, u16, u32 = st.integers(0, 255), st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1)
states = st.builds(
    State, u32, u32.map(float), u8, u8, st.integers(0, 31).map(Flag), u32, u32.map(lambda v: v / 10), u16, u16
)
sent = st.builds(
    Rows, st.lists(rows, max_size=9).map(tuple), u32, u16, st.integers(0, 3), st.integers(4, 9), st.booleans()
)
filters = st.builds(Filter, u32, st.integers(1, 9), st.binary(min_size=1, max_size=200))
digests = st.lists(u32, min_size=BUCKETS, max_size=BUCKETS).map(tuple)
messages = st.one_of(
    st.builds(Message, st.sampled_from([Kind.ROLL, Kind.ANSWER]), u16, st.integers(0, 2**64 - 1), states),
    st.builds(Message, st.just(Kind.DIGEST), u16, st.integers(0, 2**64 - 1), digests),
    st.builds(Message, st.just(Kind.ROWS), u16, st.integers(0, 2**64 - 1), sent),
    st.builds(Message, st.just(Kind.FILTER), u16, st.integers(0, 2**64 - 1), filters),
)


def register(*parts: list[Row]) -> Register:
    out = Register(9, 1)
    for part in parts:
        out.join(part)
    return out


def said(of: Register) -> list[tuple[object, ...]]:
    """All rows, but for their ages, which order nothing."""
    return [row[:5] for row in of.rows()]


# --- register


@given(many, many, many)
def test_joins_commute_associate_and_are_idempotent(one: list[Row], two: list[Row], three: list[Row]) -> None:
    a, b = register(one, two, three), register(three, two, one, two)
    assert said(a) == said(b) and a.hash == b.hash and a.buckets == b.buckets
    assert not a.join(b.rows()) and not b.join(one)  # an old state changes nothing


@given(many, many)
def test_hashes_are_equal_exactly_where_rows_are(one: list[Row], two: list[Row]) -> None:
    a, b = register(one), register(two)
    assert (a.hash == b.hash) == (a.buckets == b.buckets) == (said(a) == said(b))


def test_a_ban_and_a_return_at_the_same_time_end_in_the_ban() -> None:
    one, two = Register(1, 1), Register(2, 1)
    one.commit([one.ban("a", 0.0)])
    two.join(one.rows())
    again = one.ban("a", 5.0)  # a second word, that the return below does not know of
    two.commit(two.back("a", 5.0))
    one.commit([again])
    one.join(two.rows())
    two.join(one.rows())
    assert one.banned("a") and two.banned("a") and one.hash == two.hash
    one.commit(one.back("a", 9.0))
    two.join(one.rows())
    assert not two.bans() and two.since("a") == 9.0


@given(st.lists(rows.map(lambda r: r._replace(node=0)), max_size=9), st.integers(0, 3))
def test_a_former_life_covers_no_ban_of_this_one(former: list[Row], life: int) -> None:
    """The disk was lost, so lives begin anew: peers know rows of this node with greater counters."""
    here, there = Register(0, life, seq=1), register(former)
    here.commit([here.ban("a", 0.0)])
    there.join(here.rows())
    here.join(former)
    there.join(here.rows())
    here.join(there.rows())
    assert here.banned("a") and there.banned("a") and here.hash == there.hash
    late = here.ban("b", 1.0)
    here.commit([late])
    there.join(here.rows())
    assert there.get("b", 0) == late


def test_a_call_that_waits_for_the_disk_is_issued_anew_above_a_former_life() -> None:
    here = Register(0, 1)
    waiting = here.ban("a", 0.0)
    here.join([Row("a", 0, 7, 3, False, 0.0)])
    (again,) = here.commit([waiting])
    assert not here.banned("a") and again.counter > (7, 3)
    assert not here.commit([again]) and here.banned("a")


def test_no_counter_can_keep_a_node_from_its_bans() -> None:
    here = Register(0, 1)
    here.join([Row("a", 0, 2**32 - 1, 0, False, 0.0), Row("a", 0, 5, 2**32 - 1, False, 0.0)])
    assert not here.rows() and here.counts["impossible"] == 2
    here.join([Row("a", 0, 2**32 - 3, 2**32 - 2, False, 0.0)])
    here.commit([here.ban("a", 0.0)])
    assert here.banned("a")


# --- datagrams


@given(messages)
def test_a_datagram_is_read_as_it_was_written(message: Message) -> None:
    data = encode(message, NOW)
    assert len(data) <= MOST and decode(data, NOW) == message
    assert decode(data, NOW + 5).hash == message.hash


@given(messages, st.data())
def test_a_flipped_bit_is_refused(message: Message, data: st.DataObject) -> None:
    bad = bytearray(encode(message, NOW))
    bit = data.draw(st.integers(0, len(bad) * 8 - 1))
    bad[bit // 8] ^= 1 << bit % 8
    with pytest.raises(MessageError):
        decode(bytes(bad), NOW)


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_an_error(data: bytes) -> None:
    for one in (data, zlib.crc32(data).to_bytes(4, "big") + data):
        try:
            decode(one, NOW)
        except MessageError:
            continue


def changed(data: bytes, at: int, value: int) -> bytes:
    body = bytearray(data[4:])
    body[at - 4] = value
    return zlib.crc32(body).to_bytes(4, "big") + bytes(body)


@given(messages, st.binary(max_size=9))
def test_later_versions_are_read_as_far_as_they_are_known(message: Message, more: bytes) -> None:
    data = changed(encode(message, NOW), 4, 2)[4:] + more
    data = zlib.crc32(data).to_bytes(4, "big") + data
    if len(data) <= MOST:
        assert decode(data, NOW) == message
    with pytest.raises(UnknownKind):
        decode(changed(encode(message, NOW), 5, 30), NOW)
