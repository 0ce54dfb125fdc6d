"""Test decoding of long lists in slices: results, errors, and the length of slices."""

from __future__ import annotations

import json
import random
import re
import tracemalloc
from itertools import count, pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.errors import BalancerError
from balancer.net import endpoint_decoder, list_layout
from balancer.net.endpoint_decoder import decode_update, decode_update_in_slices
from balancer.net.endpoints import EndpointListError, EndpointUpdate
from balancer.net.json_stream import PageBuffer

ROW = {"id": "a", "host_port": "10.0.0.1:80", "phase": "in_service"}


def decode_in_slices(data: bytes) -> tuple[EndpointUpdate, int]:
    """Return the decoded update and the number of slices."""
    work = decode_update_in_slices(PageBuffer(data).finish())
    for slices in count(1):
        try:
            next(work)
        except StopIteration as end:
            return end.value, slices
    raise AssertionError


def outcome(data: bytes, sliced: bool) -> EndpointUpdate | str:
    """Return the decoded update, or the text of the error."""
    try:
        return decode_in_slices(data)[0] if sliced else decode_update(data)
    except BalancerError as err:
        return err.summary
    except (ValueError, RecursionError):
        return "invalid JSON"


def list_object(number: int, **over: Any) -> dict[str, Any]:
    """Return a list with a number of rows; `over` replaces fields of the last one."""
    members = [ROW | {"id": f"b{i}", "locality": "abc"[i % 3]} for i in range(number)]
    return {"revision": 7, "complete": True, "members": [*members[:-1], members[-1] | over]}


LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
ANY_VALUE = st.recursive(
    LEAVES, lambda v: st.lists(v) | st.dictionaries(st.text(max_size=8), v), max_leaves=8
)
FIELDS = {
    "locality": st.text(max_size=4), "flavor": ANY_VALUE, "cell": st.integers(-2, 50) | ANY_VALUE,
    "size": st.floats(0, 9) | ANY_VALUE, "up_since_ms": st.integers(0, 2**41), "new": ANY_VALUE,
    'x"\\{': ANY_VALUE,
}  # fmt: skip
ROWS = st.fixed_dictionaries(
    {"id": st.text("ab\"\\ü{", max_size=4) | ANY_VALUE,
     "host_port": st.sampled_from(["10.0.0.1:80", "[::1]:9", "b.example:80"]),
     "phase": st.sampled_from(["in_service", "terminating", "terminated", "in_service", "up"])},
    optional=FIELDS,
)  # fmt: skip
VALID_ROWS = st.fixed_dictionaries(
    {"id": st.text("abcdefgh\"\\ü{]", min_size=1, max_size=9), "host_port": st.just("10.0.0.1:80"),
     "phase": st.sampled_from(["in_service", "terminating", "terminated"])},
    optional={"locality": st.text(max_size=4), "new": ANY_VALUE, 'x"\\{': ANY_VALUE, "cell": st.integers()},
)  # fmt: skip
LIST_FIELDS = st.fixed_dictionaries(
    {"revision": st.integers(0, 2**40)},
    optional={
        "complete": st.booleans(),
        "new": ANY_VALUE,
        "member": ANY_VALUE,
        'x"\\[': ANY_VALUE,
        "revision ": ANY_VALUE,
    },
)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(VALID_ROWS, max_size=12) | ANY_VALUE, st.none() | ROWS, LIST_FIELDS,
    st.sampled_from([None, 0, 1, 4]),
    st.booleans(), st.integers(), st.integers(1, 400), st.integers(1, 5),
)  # fmt: skip
def test_decoding_in_slices_equals_decoding_at_once_for_any_layout(
    members: Any, odd: dict[str, Any] | None, top: dict[str, Any], indent: int | None, ascii_only: bool,
    seed: int, min_run_bytes: int, runs_per_slice: int,
) -> None:  # fmt: skip
    """At most one entry is invalid, because the two decoders may name different ones of several."""
    draw = random.Random(seed)

    def shuffled(entries: dict[str, Any]) -> dict[str, Any]:
        return dict(draw.sample(list(entries.items()), len(entries)))

    if isinstance(members, list):
        if odd is not None and all(isinstance(row, dict) and "host_port" in row for row in members):
            members.insert(draw.randint(0, len(members)), odd)
            top = top | {"complete": False}
        members = [shuffled(row) if isinstance(row, dict) else row for row in members]
    text = json.dumps(shuffled(top | {"members": members}), indent=indent, ensure_ascii=ascii_only)
    data = text.encode("utf-8", "surrogatepass")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "MIN_RUN_BYTES", min_run_bytes)
        patch.setattr(list_layout, "RUNS_PER_SLICE", runs_per_slice)
        assert outcome(data, sliced=True) == outcome(data, sliced=False)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10**6), st.binary(max_size=3), st.integers(0, 3), st.sampled_from([None, 1]))
def test_decoding_in_slices_equals_decoding_at_once_for_corrupted_lists(
    at: int, other: bytes, lost: int, indent: int | None
) -> None:
    data = json.dumps(list_object(9, new={"x": [1, "]"]}), indent=indent).encode()
    at %= len(data)
    data = data[:at] + other + data[at + lost :]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "MIN_RUN_BYTES", 200)
        if data.lstrip()[:1] == b"{":  # The splitter rejects data without a leading brace before decoding.
            assert outcome(data, sliced=True) == outcome(data, sliced=False)


@pytest.mark.parametrize(("data", "min_slices"), [
    (json.dumps(list_object(5000)).encode(), 20),
    (json.dumps(list_object(5000), indent=4).encode(), 20),
    (json.dumps(list_object(5000) | {"more": {"members": [[]]}}).encode(), 20),
    (json.dumps({k: [r | {"new": {"x": [r]}} for r in v] if k == "members" else v
                 for k, v in list_object(5000).items()}).encode(), 20),
    (json.dumps({"members": [], **list_object(5000)}).replace('"members": []', '"a": 0').encode(), 20),
    (b'{"members": [7], ' + json.dumps(list_object(5000)).encode()[1:], 1),
    (json.dumps(list_object(5000)).replace('"members"', '"m\\u0065mbers"').encode(), 1),
])  # fmt: skip
def test_a_long_list_takes_many_slices_unless_its_layout_is_unusual(data: bytes, min_slices: int) -> None:
    update, slices = decode_in_slices(data)
    assert update == decode_update(data) and len(update.members) == 5000
    assert slices >= 20 if min_slices > 1 else slices == 1


def test_a_slice_decodes_at_most_a_few_hundred_short_rows() -> None:
    members = [{"id": f"{i:x}", "host_port": "1.1.1.1:1", "phase": "in_service"} for i in range(20_000)]
    data = json.dumps({"revision": 1, "members": members}, separators=(",", ":")).encode()
    work = list_layout.scan_layout(data)
    try:
        while True:
            next(work)
    except StopIteration as end:
        begins = [end.value.first_row, *end.value.run_ends]
    most = max(data.count(b'"id"', a, b) for a, b in pairwise(begins))
    assert 100 < most < 400


@pytest.mark.parametrize("indent", [None, 1])
def test_most_rows_of_a_list_with_the_usual_layout_are_decoded_without_a_scan(indent: int | None) -> None:
    """Guards against scanning each byte before it is decoded, which takes too long."""
    data = json.dumps(list_object(20_000), indent=indent).encode()
    with pytest.raises(StopIteration) as end:
        next(list_layout.scan_layout(data, skip_rows=True))
    assert len(end.value.value.run_ends) > len(data) / list_layout.MIN_RUN_BYTES / 2
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "FLAT_ROWS", counting := CountingPattern(list_layout.FLAT_ROWS))
        decode_in_slices(data)
    assert counting.bytes < 4 * list_layout.MIN_RUN_BYTES


class CountingPattern:
    """Wraps a pattern and counts the bytes that it matches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern, self.bytes = pattern, 0

    def match(self, data: bytes, at: int) -> re.Match[bytes] | None:
        found = self.pattern.match(data, at)
        self.bytes += found.end() - at if found else 0
        return found


def test_a_rejected_list_is_released_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    data, slices = json.dumps(list_object(4000, cell=None)).encode(), list[int]()
    for released in (10_000, 50):
        monkeypatch.setattr(endpoint_decoder, "RELEASED_MEMBERS_PER_SLICE", released)
        work = decode_update_in_slices(PageBuffer(data).finish())
        slice_count = 0
        with pytest.raises(EndpointListError):
            while True:
                next(work)
                slice_count += 1
        slices.append(slice_count)
    # Both decoding passes release their members in slices.
    assert slices[1] - slices[0] > 2 * 3700 / 50


@pytest.mark.parametrize(("over", "line"), [
    ({"cell": None}, "members[3999].cell must be an integer, got None"),
    ({"id": ""}, "members[3999].id is invalid: '', expected `str` of length >= 1"),
    ({"id": 7}, "members[3999].id is invalid: 7, expected `str`, got `int`"),
    ({"id": "b5"}, "members[3999].id must be unique, but 'b5' is listed twice"),
    ({"id": "b3998"}, "members[3999].id must be unique, but 'b3998' is listed twice"),
    ({"phase": "up"}, "members[3999].phase is invalid: 'up', invalid enum value 'up'"),
    ({"host_port": "b.example:80"}, "members[3999].host_port must be IP:PORT, got 'b.example:80'"),
])  # fmt: skip
def test_the_error_names_the_one_invalid_entry_of_thousands(over: dict[str, Any], line: str) -> None:
    data = json.dumps(list_object(4000, **over)).encode()
    for decode in (decode_in_slices, decode_update):
        with pytest.raises(EndpointListError) as err:
            decode(data)
        assert str(err.value) == line


def test_an_event_may_list_a_backend_twice() -> None:
    data = json.dumps(list_object(4000, id="b5") | {"complete": False}).encode()
    assert decode_in_slices(data)[0] == decode_update(data)


def test_the_error_locates_malformed_json_within_the_rows() -> None:
    data = json.dumps(list_object(4000, cell=12345)).replace("12345", "1 2").encode()
    with pytest.raises(
        ValueError, match=r"^malformed JSON at or after members\[\d+\]: Expecting ',' delimiter"
    ):
        decode_in_slices(data)


def test_the_json_is_released_while_the_list_is_decoded() -> None:
    data = PageBuffer(json.dumps(list_object(20_000), indent=4).encode()).finish()
    size, work = len(data), decode_update_in_slices(data)
    tracemalloc.start()
    for _ in work:
        pass
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert data.closed and peak < 12_000_000 < 4 * size
