"""Recovery datagrams: encoding, decoding, and the handling of invalid ones."""

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
from tests.recovery_strategies import NOW_MS, messages
from tests.recovery_tier import BAN, settled_tier


def with_byte_replaced(data: bytes, offset: int, value: int) -> bytes:
    body = bytearray(data[4:])
    body[offset - 4] = value
    return zlib.crc32(body).to_bytes(4, "big") + bytes(body)


@given(messages)
def test_datagram_decodes_to_the_encoded_message(message: Message) -> None:
    data = encode(message, NOW_MS)
    assert len(data) <= MAX_DATAGRAM_BYTES and decode(data, NOW_MS) == message
    assert decode(data, NOW_MS + 5).hash == message.hash


@given(messages, st.data())
def test_datagram_with_a_flipped_bit_is_rejected(message: Message, data: st.DataObject) -> None:
    corrupted = bytearray(encode(message, NOW_MS))
    bit = data.draw(st.integers(0, len(corrupted) * 8 - 1))
    corrupted[bit // 8] ^= 1 << bit % 8
    with pytest.raises(MessageError):
        decode(bytes(corrupted), NOW_MS)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_to_a_message_or_raise_message_error(data: bytes) -> None:
    for datagram in (data, zlib.crc32(data).to_bytes(4, "big") + data):
        try:
            decode(datagram, NOW_MS)
        except MessageError:
            continue


@given(messages, st.binary(max_size=9))
def test_known_fields_of_later_versions_are_decoded(message: Message, appended_fields: bytes) -> None:
    data = with_byte_replaced(encode(message, NOW_MS), 4, 2)[4:] + appended_fields
    data = zlib.crc32(data).to_bytes(4, "big") + data
    if len(data) <= MAX_DATAGRAM_BYTES:
        assert decode(data, NOW_MS) == message
    with pytest.raises(UnknownKindError):
        decode(with_byte_replaced(encode(message, NOW_MS), 5, 30), NOW_MS)


def test_invalid_datagrams_are_counted_and_ignored() -> None:
    tier = settled_tier(3)
    core = tier.nodes[0]
    valid = encode(Message(MessageKind.ENTRIES, 1, 0, RegisterPage((BAN,))), tier.now)
    before = core.stats()
    for source, data in (
        (2, valid),
        (1, valid[:-1]),
        (1, with_byte_replaced(valid, 5, 31)),
        (0, valid),
        (7, valid),
    ):
        core.handle(tier.now, DatagramReceived(source, data))
    assert not core.register.entries()
    new_counts = Counter(core.stats().counts) - Counter(before.counts)
    assert new_counts == {"wrong_sender": 3, "unreadable": 1, "unknown_kinds": 1}
