"""JSON objects out of a stream: cut anywhere, in any layout, sound or broken; time linear in the bytes."""

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

MOST = 8 * 1024 * 1024
ROW = {"id": 'a"b\\', "x": "}{][\n\t", "y": "ü\u2028💥"}
ODD: dict[str, Any] = {"revision": 7, "members": [ROW, {}, [], [[1, {"z": None}]]]}


def cut(pieces: Iterable[bytes], most: int = MOST) -> list[Any]:
    """What comes out, decoded; None for a mark that nothing is new."""
    objects = JsonSplitter(most)
    return [json.loads(item[:]) if item else None for piece in pieces for item in objects.feed(piece)]


def parts(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


LEAVES = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text()
VALUES = st.recursive(LEAVES, lambda v: st.lists(v) | st.dictionaries(st.text(), v), max_leaves=12)


@settings(max_examples=60)
@given(
    st.lists(st.dictionaries(st.text(), VALUES), max_size=3), st.sampled_from([None, 0, 1, 4]), st.booleans(),
    st.sampled_from(["", "\n", "\r\n", "\n\n", " \r\n\t\n"]), st.lists(st.integers(0, 400)),
)  # fmt: skip
def test_any_objects_in_any_layout_come_out_whole_wherever_they_are_cut(
    tables: list[Any], indent: int | None, ascii_only: bool, gap: str, cuts: list[int]
) -> None:
    data = "".join(json.dumps(t, indent=indent, ensure_ascii=ascii_only) + gap for t in tables)
    raw = data.replace("\n", "\r\n" if gap == "\r\n" else "\n").encode()
    ends = sorted({0, len(raw), *(c for c in cuts if c < len(raw))})
    pieces = [raw[a:b] for a, b in pairwise(ends)]
    assert [t for t in cut(pieces) if t is not None] == tables
    assert [t for t in cut(parts(raw, 1)) if t is not None] == tables


def test_each_single_cut_even_in_an_escape_or_a_character() -> None:
    for raw in (json.dumps(ODD).encode(), json.dumps(ODD, indent=1, ensure_ascii=False).encode()):
        for at in range(len(raw) + 1):
            assert cut([raw[:at], raw[at:]]) == [ODD]


def test_empty_lines_tell_that_nothing_is_new_only_between_objects() -> None:
    assert cut([b"\n"]) == cut([b"\r\n"]) == cut([b" ", b"\n"]) == [None]
    assert cut([b" ", b" \t"]) == []
    assert cut([b"{}\n{}\n"]) == cut([b"{}", b"\r\n{}{}\n"])[:2] == [{}, {}]
    assert cut([b"{}\n\n{}\n", b"\n"]) == [{}, None, {}, None]
    assert cut([b'{"a":\n\n', b"\n\n", b"\n1}"]) == [{"a": 1}]
    objects = JsonSplitter(MOST)
    assert (list(objects.feed(b"\n{")), objects.is_between_objects) == ([b""], False)
    assert (list(objects.feed(b"}")), objects.is_between_objects) == ([b"{}"], True)


@pytest.mark.parametrize(
    "bad",
    [
        b"nonsense", b"[1]", b'"a"', b"7", b"\xff", b"}",
        b'{"a":]}', b'{"a":[}', b'{"revision":4\n', b'{"revision":43,"complete"\n', b'{"revision":43,\n',
        b'{"revision":43,"members":[{"id":"s-5b\n', b'{"revision":43,"members":[{"id":"s-5b"},\n{"id"\n',
        b'{"revision":43,"members":[{"id":"s-5b"}\n', b'{"id":"\\\n',
    ],
)  # fmt: skip
def test_a_broken_object_shows_before_the_sound_one_behind_it_is_taken(bad: bytes) -> None:
    sound = b'{"revision":44,"complete":false,"members":[{"id":"s-1"}]}\n'
    for size in (1, 7, 1000):
        objects, out = JsonSplitter(MOST), []
        with pytest.raises(JsonStreamError):
            for piece in parts(b"{}\n" + bad + sound, size):
                for item in objects.feed(piece):
                    out.append(item)
        assert out == [b"{}"]


def test_blanks_cost_no_memory_and_do_not_make_an_object_too_long() -> None:
    blanks = b" \r\n\t" * (2 * 1024 * 1024)
    for head, tail in ((b"", b"{}"), (b"{", b"}"), (b'{"a": [1,', b"2]}")):
        pieces = [head, *parts(blanks, 65_536), tail]
        objects = JsonSplitter(64)
        tracemalloc.start()
        out = [item for piece in pieces for item in objects.feed(piece) if item]
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert len(out) == 1 and json.loads(out[0][:]) == json.loads(head + tail)
        assert peak < 1024 * 1024
    assert cut([b"\n" * MOST]) == [None]


def test_the_bytes_of_a_long_object_are_not_the_allocators() -> None:
    """Guards against room for the longest list that is kept for ever once the list has been taken."""
    data = b'{"a":"' + b"x" * 6_000_000 + b'"}'
    pieces, objects = parts(data, 65_536), JsonSplitter(MOST)
    tracemalloc.start()
    (whole,) = (item for piece in pieces for item in objects.feed(piece))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(whole, mmap) and whole[:] == data and peak < 400_000


def test_an_object_may_be_as_long_as_the_cap_and_no_longer_whole_or_in_pieces() -> None:
    fits, longer = (b'{"a":"%b"}' % (b"x" * n) for n in (92, 93))
    for size in (9, 1000):
        assert cut(parts(fits, size), most=100) == [json.loads(fits)]
        with pytest.raises(JsonStreamError):
            cut(parts(longer, size), most=100)
    with pytest.raises(JsonStreamError):
        cut([b'{"a":' + b"[" * 100])
