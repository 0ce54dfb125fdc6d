"""Datagrams of recovery: encoding, decoding, and what a core makes of strange ones."""

from __future__ import annotations

import zlib
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.recovery.events import (
    DatagramReceived,
)
from balancer.recovery.messages import (
    MAX_DATAGRAM_BYTES,
    Message,
    MessageError,
    MessageKind,
    RegisterPage,
    UnknownKindError,
    decode,
    encode,
)
from tests.recovery_strategies import NOW, messages
from tests.recovery_tier import BAN, settled_tier


def changed(data: bytes, at: int, value: int) -> bytes:
    body = bytearray(data[4:])
    body[at - 4] = value
    return zlib.crc32(body).to_bytes(4, "big") + bytes(body)


@given(messages)
def test_a_datagram_decodes_to_what_was_encoded(message: Message) -> None:
    data = encode(message, NOW)
    assert len(data) <= MAX_DATAGRAM_BYTES and decode(data, NOW) == message
    assert decode(data, NOW + 5).hash == message.hash


@given(messages, st.data())
def test_a_flipped_bit_is_rejected(message: Message, data: st.DataObject) -> None:
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


@given(messages, st.binary(max_size=9))
def test_later_versions_are_decoded_as_far_as_they_are_known(message: Message, more: bytes) -> None:
    data = changed(encode(message, NOW), 4, 2)[4:] + more
    data = zlib.crc32(data).to_bytes(4, "big") + data
    if len(data) <= MAX_DATAGRAM_BYTES:
        assert decode(data, NOW) == message
    with pytest.raises(UnknownKindError):
        decode(changed(encode(message, NOW), 5, 30), NOW)


def test_strange_datagrams_are_counted_and_change_nothing() -> None:
    tier = settled_tier(3)
    core = tier.nodes[0]
    good = encode(Message(MessageKind.ENTRIES, 1, 0, RegisterPage((BAN,))), tier.now)
    before = core.stats()
    for source, data in ((2, good), (1, good[:-1]), (1, changed(good, 5, 31)), (0, good), (7, good)):
        core.handle(tier.now, DatagramReceived(source, data))
    assert not core.register.entries()
    new = Counter(core.stats().counts) - Counter(before.counts)
    assert new == {"wrong_sender": 3, "unreadable": 1, "unknown_kinds": 1}
