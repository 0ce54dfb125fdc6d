"""Hypothesis strategies for ban register entries and recovery datagrams."""

from __future__ import annotations

import math

from hypothesis import strategies as st

from balancer.recovery.ban_register import DIGEST_BUCKET_COUNT, BanEntry
from balancer.recovery.messages import (
    Digest,
    ListFilter,
    Message,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
)

NOW_MS = 100_000.0

entries = st.builds(
    BanEntry,
    st.sampled_from(["a", "b", "c"]),
    st.integers(0, 3),
    st.integers(0, 2),
    st.integers(0, 3),
    st.booleans(),
    st.sampled_from([-math.inf, 0.0, NOW_MS]),
)

entry_lists = st.lists(entries, max_size=12)

u8 = st.integers(0, 255)
u16 = st.integers(0, 2**16 - 1)
u32 = st.integers(0, 2**32 - 1)

statuses = st.builds(
    NodeStatus,
    u32,
    u32.map(float),
    u8,
    u8,
    st.integers(0, 31).map(StatusFlag),
    u32,
    u32.map(lambda v: v / 10),
    st.integers(0, 2**32 - 2).map(lambda v: v / 10) | st.just(math.inf),
    u16,
    st.integers(0, 2**300),
)

pages = st.builds(
    RegisterPage,
    st.lists(entries, max_size=9).map(tuple),
    u32,
    u16,
    st.integers(0, 3),
    st.integers(4, 9),
    st.booleans(),
)

filters = st.builds(ListFilter, u32, st.integers(1, 9), st.binary(min_size=1, max_size=200))

digests = st.lists(u32, min_size=DIGEST_BUCKET_COUNT, max_size=DIGEST_BUCKET_COUNT).map(tuple).map(Digest)

messages = st.one_of(
    st.builds(
        Message,
        st.sampled_from([MessageKind.SURVEY, MessageKind.STATUS]),
        u16,
        st.integers(0, 2**64 - 1),
        statuses,
    ),
    st.builds(Message, st.just(MessageKind.DIGEST), u16, st.integers(0, 2**64 - 1), digests),
    st.builds(Message, st.just(MessageKind.ENTRIES), u16, st.integers(0, 2**64 - 1), pages),
    st.builds(Message, st.just(MessageKind.LIST_FILTER), u16, st.integers(0, 2**64 - 1), filters),
)
