"""Long lists decoded in turns: what comes of them, what is said of broken ones, how long a turn is."""

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
from balancer.net.objects import Pages

ROW = {"id": "a", "host_port": "10.0.0.1:80", "phase": "in_service"}


def in_turns(data: bytes) -> tuple[EndpointUpdate, int]:
    """What comes of it, after how many turns."""
    work = decode_update_in_slices(Pages(data).whole())
    for turns in count(1):
        try:
            next(work)
        except StopIteration as end:
            return end.value, turns
    raise AssertionError


def outcome(data: bytes, turned: bool) -> EndpointUpdate | str:
    """What comes of it, or the line that says why nothing does; of what is no JSON, that it is none."""
    try:
        return in_turns(data)[0] if turned else decode_update(data)
    except BalancerError as err:
        return err.line
    except (ValueError, RecursionError):
        return "no JSON"


def table(number: int, **over: Any) -> dict[str, Any]:
    """A list of so many rows; each member of `over` is a field that the last one has."""
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
def test_any_object_in_any_layout_comes_to_the_same_as_at_once(
    members: Any, odd: dict[str, Any] | None, top: dict[str, Any], indent: int | None, ascii_only: bool,
    seed: int, run: int, looks: int,
) -> None:  # fmt: skip
    """Where several entries make no sense, another one of them may be named: here one does at most."""
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
        assert outcome(data, turned=True) == outcome(data, turned=False)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10**6), st.binary(max_size=3), st.integers(0, 3), st.sampled_from([None, 1]))
def test_a_list_with_some_bytes_changed_is_taken_or_refused_as_at_once(
    at: int, other: bytes, lost: int, indent: int | None
) -> None:
    data = json.dumps(table(9, new={"x": [1, "]"]}), indent=indent).encode()
    at %= len(data)
    data = data[:at] + other + data[at + lost :]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "MIN_RUN_BYTES", 200)
        if data.lstrip()[:1] == b"{":  # else no object is cut out of the stream
            assert outcome(data, turned=True) == outcome(data, turned=False)


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
def test_a_long_list_takes_turns_and_an_odd_one_comes_right_too(data: bytes, least: int) -> None:
    got, turns = in_turns(data)
    assert got == decode_update(data) and len(got.members) == 5000
    assert turns >= 20 if least > 1 else turns == 1


def test_no_turn_decodes_more_than_some_hundred_rows_however_short_they_are() -> None:
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
def test_most_rows_of_a_usual_list_are_not_looked_at_before_they_are_decoded(indent: int | None) -> None:
    """Guards against the time of a look at each byte that the decoder looks at, too."""
    data = json.dumps(table(20_000), indent=indent).encode()
    with pytest.raises(StopIteration) as end:
        next(list_layout.scan_layout(data, skip_rows=True))
    assert len(end.value.value.run_ends) > len(data) / list_layout.MIN_RUN_BYTES / 2
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(list_layout, "FLAT_ROWS", looked := Looked(list_layout.FLAT_ROWS))
        in_turns(data)
    assert looked.bytes < 4 * list_layout.MIN_RUN_BYTES


class Looked:
    """Counts the bytes that a pattern matches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern, self.bytes = pattern, 0

    def match(self, data: bytes, at: int) -> re.Match[bytes] | None:
        found = self.pattern.match(data, at)
        self.bytes += found.end() - at if found else 0
        return found


def test_a_refused_list_is_let_go_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    data, turns = json.dumps(table(4000, cell=None)).encode(), list[int]()
    for let_go in (10_000, 50):
        monkeypatch.setattr(endpoint_decoder, "RELEASED_MEMBERS_PER_SLICE", let_go)
        work = decode_update_in_slices(Pages(data).whole())
        turn = 0
        with pytest.raises(EndpointListError):
            while True:
                next(work)
                turn += 1
        turns.append(turn)
    assert turns[1] - turns[0] > 2 * 3700 / 50  # two looks: one by leaps, one to name what is wrong


@pytest.mark.parametrize(("over", "line"), [
    ({"cell": None}, "members[3999].cell makes no sense: None"),
    ({"id": ""}, "members[3999].id makes no sense: '', expected `str` of length >= 1"),
    ({"id": 7}, "members[3999].id makes no sense: 7, expected `str`, got `int`"),
    ({"id": "b5"}, "members[3999].id makes no sense: 'b5' is there twice"),
    ({"id": "b3998"}, "members[3999].id makes no sense: 'b3998' is there twice"),
    ({"phase": "up"}, "members[3999].phase makes no sense: 'up', invalid enum value 'up'"),
    ({"host_port": "b.example:80"}, "members[3999].host_port makes no sense: 'b.example:80'"),
])  # fmt: skip
def test_one_senseless_entry_of_thousands_is_named(over: dict[str, Any], line: str) -> None:
    data = json.dumps(table(4000, **over)).encode()
    for decode in (in_turns, decode_update):
        with pytest.raises(EndpointListError) as err:
            decode(data)
        assert str(err.value) == line


def test_a_change_may_name_a_backend_twice_and_the_later_word_counts() -> None:
    data = json.dumps(table(4000, id="b5") | {"complete": False}).encode()
    assert in_turns(data)[0] == decode_update(data)


def test_what_is_no_json_within_the_rows_says_behind_which() -> None:
    data = json.dumps(table(4000, cell=12345)).replace("12345", "1 2").encode()
    with pytest.raises(ValueError, match=r"^from members\[\d+\] on: Expecting ',' delimiter"):
        in_turns(data)


def test_the_bytes_are_given_back_before_the_list_is_taken_and_no_second_copy_is_held() -> None:
    data = Pages(json.dumps(table(20_000), indent=4).encode()).whole()
    size, work = len(data), decode_update_in_slices(data)
    tracemalloc.start()
    for _ in work:
        pass
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert data.closed and peak < 12_000_000 < 4 * size
