"""Long lists decoded in slices: result, errors, and the length of a slice."""

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


def in_slices(data: bytes) -> tuple[EndpointUpdate, int]:
    """Return the update, and after how many slices."""
    work = decode_update_in_slices(PageBuffer(data).finish())
    for slices in count(1):
        try:
            next(work)
        except StopIteration as end:
            return end.value, slices
    raise AssertionError


def outcome(data: bytes, sliced: bool) -> EndpointUpdate | str:
    """Return the update, or the line of the error."""
    try:
        return in_slices(data)[0] if sliced else decode_update(data)
    except BalancerError as err:
        return err.summary
    except (ValueError, RecursionError):
        return "no JSON"


def table(number: int, **over: Any) -> dict[str, Any]:
    """Return a list of so many rows; `over` has fields of the last one."""
    members = [ROW | {"id": f"b{i}", "locality": "abc"[i % 3]} for i in range(number)]
    return {"revision": 7, "complete": True, "members": [*members[:-1], members[-1] | over]}


LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
ANY = st.recursive(LEAVES, lambda v: st.lists(v) | st.dictionaries(st.text(max_size=8), v), max_leaves=8)
FIELDS = {
    "locality": st.text(max_size=4), "flavor": ANY, "cell": st.integers(-2, 50) | ANY,
    "size": st.floats(0, 9) | ANY, "up_since_ms": st.integers(0, 2**41), "new": ANY, 'x"\\{': ANY,
}  # fmt: skip
ROWS = st.fixed_dictionaries(
    {"id": st.text("ab\"\\ü{", max_size=4) | ANY,
     "host_port": st.sampled_from(["10.0.0.1:80", "[::1]:9", "b.example:80"]),
     "phase": st.sampled_from(["in_service", "terminating", "terminated", "in_service", "up"])},
    optional=FIELDS,
)  # fmt: skip
SOUND = st.fixed_dictionaries(
    {"id": st.text("abcdefgh\"\\ü{]", min_size=1, max_size=9), "host_port": st.just("10.0.0.1:80"),
     "phase": st.sampled_from(["in_service", "terminating", "terminated"])},
    optional={"locality": st.text(max_size=4), "new": ANY, 'x"\\{': ANY, "cell": st.integers()},
)  # fmt: skip
TOPS = st.fixed_dictionaries(
    {"revision": st.integers(0, 2**40)},
    optional={"complete": st.booleans(), "new": ANY, "member": ANY, 'x"\\[': ANY, "revision ": ANY},
)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(SOUND, max_size=12) | ANY, st.none() | ROWS, TOPS, st.sampled_from([None, 0, 1, 4]),
    st.booleans(), st.integers(), st.integers(1, 400), st.integers(1, 5),
)  # fmt: skip
def test_any_object_in_any_layout_is_decoded_in_slices_as_at_once(
    members: Any, odd: dict[str, Any] | None, top: dict[str, Any], indent: int | None, ascii_only: bool,
    seed: int, run: int, looks: int,
) -> None:  # fmt: skip
    """One entry is invalid at most, as of several another one may be named."""
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
        patch.setattr(list_layout, "MIN_RUN_BYTES", run)
        patch.setattr(list_layout, "RUNS_PER_SLICE", looks)
        assert outcome(data, sliced=True) == outcome(data, sliced=False)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10**6), st.binary(max_size=3), st.integers(0, 3), st.sampled_from([None, 1]))
def test_a_corrupted_list_is_accepted_or_rejected_in_slices_as_at_once(
    at: int, other: bytes, lost: int, indent: int | None
) -> None:
    data = json.dumps(table(9, new={"x": [1, "]"]}), indent=indent).encode()
    at %= len(data)
    data = data[:at] + other + data[at + lost :]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "MIN_RUN_BYTES", 200)
        if data.lstrip()[:1] == b"{":  # else no object is cut out of the stream
            assert outcome(data, sliced=True) == outcome(data, sliced=False)


@pytest.mark.parametrize(("data", "least"), [
    (json.dumps(table(5000)).encode(), 20),
    (json.dumps(table(5000), indent=4).encode(), 20),
    (json.dumps(table(5000) | {"more": {"members": [[]]}}).encode(), 20),
    (json.dumps({k: [r | {"new": {"x": [r]}} for r in v] if k == "members" else v
                 for k, v in table(5000).items()}).encode(), 20),
    (json.dumps({"members": [], **table(5000)}).replace('"members": []', '"a": 0').encode(), 20),
    (b'{"members": [7], ' + json.dumps(table(5000)).encode()[1:], 1),
    (json.dumps(table(5000)).replace('"members"', '"m\\u0065mbers"').encode(), 1),
])  # fmt: skip
def test_a_long_list_takes_many_slices_and_an_unusual_one_is_decoded_too(data: bytes, least: int) -> None:
    got, slices = in_slices(data)
    assert got == decode_update(data) and len(got.members) == 5000
    assert slices >= 20 if least > 1 else slices == 1


def test_no_slice_decodes_more_than_some_hundred_rows_however_short() -> None:
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
def test_most_rows_of_a_usual_list_are_not_scanned_before_they_are_decoded(indent: int | None) -> None:
    """To scan each byte before it is decoded would take too long."""
    data = json.dumps(table(20_000), indent=indent).encode()
    with pytest.raises(StopIteration) as end:
        next(list_layout.scan_layout(data, skip_rows=True))
    assert len(end.value.value.run_ends) > len(data) / list_layout.MIN_RUN_BYTES / 2
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "FLAT_ROWS", counting := CountingPattern(list_layout.FLAT_ROWS))
        in_slices(data)
    assert counting.bytes < 4 * list_layout.MIN_RUN_BYTES


class CountingPattern:
    """A pattern that counts the bytes it matches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern, self.bytes = pattern, 0

    def match(self, data: bytes, at: int) -> re.Match[bytes] | None:
        found = self.pattern.match(data, at)
        self.bytes += found.end() - at if found else 0
        return found


def test_a_rejected_list_is_released_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    data, slices = json.dumps(table(4000, cell=None)).encode(), list[int]()
    for released in (10_000, 50):
        monkeypatch.setattr(endpoint_decoder, "RELEASED_MEMBERS_PER_SLICE", released)
        work = decode_update_in_slices(PageBuffer(data).finish())
        slice_count = 0
        with pytest.raises(EndpointListError):
            while True:
                next(work)
                slice_count += 1
        slices.append(slice_count)
    assert slices[1] - slices[0] > 2 * 3700 / 50  # two looks: one by leaps, one to name what is wrong


@pytest.mark.parametrize(("over", "line"), [
    ({"cell": None}, "members[3999].cell must be an integer, got None"),
    ({"id": ""}, "members[3999].id is invalid: '', expected `str` of length >= 1"),
    ({"id": 7}, "members[3999].id is invalid: 7, expected `str`, got `int`"),
    ({"id": "b5"}, "members[3999].id must be unique, but 'b5' is listed twice"),
    ({"id": "b3998"}, "members[3999].id must be unique, but 'b3998' is listed twice"),
    ({"phase": "up"}, "members[3999].phase is invalid: 'up', invalid enum value 'up'"),
    ({"host_port": "b.example:80"}, "members[3999].host_port must be IP:PORT, got 'b.example:80'"),
])  # fmt: skip
def test_one_invalid_entry_of_thousands_is_named(over: dict[str, Any], line: str) -> None:
    data = json.dumps(table(4000, **over)).encode()
    for decode in (in_slices, decode_update):
        with pytest.raises(EndpointListError) as err:
            decode(data)
        assert str(err.value) == line


def test_an_event_may_name_a_backend_twice() -> None:
    data = json.dumps(table(4000, id="b5") | {"complete": False}).encode()
    assert in_slices(data)[0] == decode_update(data)


def test_malformed_json_within_the_rows_is_located() -> None:
    data = json.dumps(table(4000, cell=12345)).replace("12345", "1 2").encode()
    with pytest.raises(
        ValueError, match=r"^malformed JSON at or after members\[\d+\]: Expecting ',' delimiter"
    ):
        in_slices(data)


def test_the_bytes_are_released_before_the_list_is_applied() -> None:
    data = PageBuffer(json.dumps(table(20_000), indent=4).encode()).finish()
    size, work = len(data), decode_update_in_slices(data)
    tracemalloc.start()
    for _ in work:
        pass
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert data.closed and peak < 12_000_000 < 4 * size
