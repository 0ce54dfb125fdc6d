"""Test splitting of a byte stream into JSON objects, for any chunks and layouts, and for malformed data."""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Iterable
from itertools import pairwise
from mmap import mmap
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.net.json_stream import JsonSplitter, JsonStreamError

MAX_BYTES = 8 * 1024 * 1024
ROW = {"id": 'a"b\\', "x": "}{][\n\t", "y": "ü\u2028💥"}
UNUSUAL_OBJECT: dict[str, Any] = {"revision": 7, "members": [ROW, {}, [], [[1, {"z": None}]]]}


def split(chunks: Iterable[bytes], max_bytes: int = MAX_BYTES) -> list[Any]:
    """Return the decoded objects of a stream, with None for each empty line."""
    splitter = JsonSplitter(max_bytes)
    return [json.loads(item[:]) if item else None for chunk in chunks for item in splitter.feed(chunk)]


def chunks_of(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


LEAVES = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text()
VALUES = st.recursive(LEAVES, lambda v: st.lists(v) | st.dictionaries(st.text(), v), max_leaves=12)


@settings(max_examples=60)
@given(
    st.lists(st.dictionaries(st.text(), VALUES), max_size=3), st.sampled_from([None, 0, 1, 4]), st.booleans(),
    st.sampled_from(["", "\n", "\r\n", "\n\n", " \r\n\t\n"]), st.lists(st.integers(0, 400)),
)  # fmt: skip
def test_objects_in_any_layout_are_split_correctly_for_any_chunks(
    tables: list[Any], indent: int | None, ascii_only: bool, gap: str, cuts: list[int]
) -> None:
    data = "".join(json.dumps(t, indent=indent, ensure_ascii=ascii_only) + gap for t in tables)
    raw = data.replace("\n", "\r\n" if gap == "\r\n" else "\n").encode()
    ends = sorted({0, len(raw), *(c for c in cuts if c < len(raw))})
    chunks = [raw[a:b] for a, b in pairwise(ends)]
    assert [t for t in split(chunks) if t is not None] == tables
    assert [t for t in split(chunks_of(raw, 1)) if t is not None] == tables


def test_an_object_may_be_cut_at_any_byte_even_in_an_escape_or_a_character() -> None:
    for raw in (
        json.dumps(UNUSUAL_OBJECT).encode(),
        json.dumps(UNUSUAL_OBJECT, indent=1, ensure_ascii=False).encode(),
    ):
        for at in range(len(raw) + 1):
            assert split([raw[:at], raw[at:]]) == [UNUSUAL_OBJECT]


def test_empty_lines_are_reported_only_between_objects() -> None:
    assert split([b"\n"]) == split([b"\r\n"]) == split([b" ", b"\n"]) == [None]
    assert split([b" ", b" \t"]) == []
    assert split([b"{}\n{}\n"]) == split([b"{}", b"\r\n{}{}\n"])[:2] == [{}, {}]
    assert split([b"{}\n\n{}\n", b"\n"]) == [{}, None, {}, None]
    assert split([b'{"a":\n\n', b"\n\n", b"\n1}"]) == [{"a": 1}]
    splitter = JsonSplitter(MAX_BYTES)
    assert (list(splitter.feed(b"\n{")), splitter.is_between_objects) == ([b""], False)
    assert (list(splitter.feed(b"}")), splitter.is_between_objects) == ([b"{}"], True)


@pytest.mark.parametrize(
    "malformed",
    [
        b"nonsense", b"[1]", b'"a"', b"7", b"\xff", b"}",
        b'{"a":]}', b'{"a":[}', b'{"revision":4\n', b'{"revision":43,"complete"\n', b'{"revision":43,\n',
        b'{"revision":43,"members":[{"id":"s-5b\n', b'{"revision":43,"members":[{"id":"s-5b"},\n{"id"\n',
        b'{"revision":43,"members":[{"id":"s-5b"}\n', b'{"id":"\\\n',
    ],
)  # fmt: skip
def test_a_malformed_object_is_detected_before_the_next_object_is_yielded(malformed: bytes) -> None:
    valid = b'{"revision":44,"complete":false,"members":[{"id":"s-1"}]}\n'
    for size in (1, 7, 1000):
        splitter, out = JsonSplitter(MAX_BYTES), []
        with pytest.raises(JsonStreamError):
            for chunk in chunks_of(b"{}\n" + malformed + valid, size):
                for item in splitter.feed(chunk):
                    out.append(item)
        assert out == [b"{}"]


def test_whitespace_takes_no_memory_and_does_not_count_towards_the_size_limit() -> None:
    whitespace = b" \r\n\t" * (2 * 1024 * 1024)
    for head, tail in ((b"", b"{}"), (b"{", b"}"), (b'{"a": [1,', b"2]}")):
        chunks = [head, *chunks_of(whitespace, 65_536), tail]
        splitter = JsonSplitter(64)
        tracemalloc.start()
        out = [item for chunk in chunks for item in splitter.feed(chunk) if item]
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert len(out) == 1 and json.loads(out[0][:]) == json.loads(head + tail)
        assert peak < 1024 * 1024
    assert split([b"\n" * MAX_BYTES]) == [None]


def test_a_long_object_is_buffered_outside_the_allocator() -> None:
    """Guards against memory for the longest list that stays allocated after the list has been applied."""
    data = b'{"a":"' + b"x" * 6_000_000 + b'"}'
    chunks, splitter = chunks_of(data, 65_536), JsonSplitter(MAX_BYTES)
    tracemalloc.start()
    (whole,) = (item for chunk in chunks for item in splitter.feed(chunk))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(whole, mmap) and whole[:] == data and peak < 400_000


def test_the_size_limit_of_an_object_holds_for_one_or_several_chunks() -> None:
    fits, longer = (b'{"a":"%b"}' % (b"x" * n) for n in (92, 93))
    for size in (9, 1000):
        assert split(chunks_of(fits, size), max_bytes=100) == [json.loads(fits)]
        with pytest.raises(JsonStreamError):
            split(chunks_of(longer, size), max_bytes=100)
    with pytest.raises(JsonStreamError):
        split([b'{"a":' + b"[" * 100])
