"""Lists as discovery tells them: what is taken, what is not, and what is said then."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balancer import interface as api
from balancer.net.endpoint_decoder import decode_update, update_from_json
from balancer.net.endpoints import EndpointListError, EndpointUpdate, parse_address
from tests.helpers import member

ROW = {"id": "a", "host_port": "10.0.0.1:80", "phase": "in_service"}


def told(**over: Any) -> bytes:
    """A list of one entry as bytes."""
    return json.dumps({"revision": 7, "members": [ROW | over]}).encode()


@pytest.mark.parametrize("text", [
    told(locality="z", cell=3, size=2, up_since_ms=9),
    told(locality="z", cell="3", size=2.0, up_since_ms=9.0, new={"x": [1]}),
    told(locality="z", cell=3.5, size=2, up_since_ms=9, new=float("nan")),  # NaN is no JSON
    told(locality="z", cell=3, size=2, up_since_ms=9).replace(b'"size"', b'"size": "x", "size"'),
    told(locality="z", cell=3, size=2, up_since_ms=9, new="\ud800"),
])  # fmt: skip
def test_unusual_but_clear_entries_are_accepted(text: bytes) -> None:
    entry = api.Endpoint("a", "z", 3, 2.0, api.EndpointPhase.IN_SERVICE, 9.0, "")
    got = decode_update(text)
    assert (got.revision, got.complete) == (7, False)
    assert got.members == (member(entry, "10.0.0.1:80"),)
    assert got.members[0].address == ("10.0.0.1", 80)
    assert update_from_json(json.loads(text)) == got


@pytest.mark.parametrize(("over", "line"), [
    ({"id": ""}, "members[0].id is invalid: '', expected `str` of length >= 1"),
    ({"size": -1}, "members[0].size is invalid: -1, expected `float` >= 0.0"),
    ({"size": float("nan")}, "members[0].size is invalid: nan, expected `float` >= 0.0"),
    ({"up_since_ms": True}, "members[0].up_since_ms is invalid: True, expected `float`, got `bool`"),
    ({"phase": "up"}, "members[0].phase is invalid: 'up', invalid enum value 'up'"),
    ({"cell": None}, "members[0].cell must be an integer, got None"),
    ({"cell": float("inf")}, "members[0].cell must be an integer, got inf"),
    ({"host_port": "b.example:80"}, "members[0].host_port must be IP:PORT, got 'b.example:80'"),
])  # fmt: skip
def test_an_invalid_entry_is_named_and_invalidates_the_list(over: dict[str, Any], line: str) -> None:
    with pytest.raises(EndpointListError) as err:
        decode_update(told(**over))
    assert str(err.value) == line


@pytest.mark.parametrize(("text", "line"), [
    (b'{"revision": 1, "members": [{}]}', "members[0].id is missing"),
    (b'{"members": []}', "revision is missing"),
    (b"[]", "the JSON document is invalid: [], expected `object`, got `array`"),
])  # fmt: skip
def test_text_that_is_no_list_is_named(text: bytes, line: str) -> None:
    with pytest.raises(EndpointListError) as err:
        decode_update(text)
    assert str(err.value) == line


def test_a_host_is_an_ip_address_and_never_a_name() -> None:
    assert parse_address("[::1]:9") == ("::1", 9) and parse_address("10.0.0.1:0") == ("10.0.0.1", 0)
    for wrong in ("localhost:80", "010.0.0.1:80", "10.0.0.1", "10.0.0.1:65536", "10.0.0.1:+1", " 10.0.0.1:1"):
        with pytest.raises(ValueError):
            parse_address(wrong)
    assert decode_update(b'{"revision": 0, "complete": true, "members": []}') == EndpointUpdate(0, True, ())


@pytest.mark.parametrize("text", ["10.0.0.1:80", "[::1]:9", "::1:9", "255.249.99.0:65535", "1.2.3.4:0",
                                  "1.2.3.4:60000"])  # fmt: skip
def test_equal_addresses_in_different_notation_are_the_same_member(text: str) -> None:
    (member,) = decode_update(told(host_port=text)).members
    assert member.address == parse_address(text)
    host, _, port = text.rpartition(":")
    assert decode_update(told(host_port=f"{host}:00{port}")).members == (member,)


ROWS: list[dict[str, Any]] = [
    {"id": f"b{i}", "host_port": f"10.0.0.{i}:80", "phase": "in_service", "locality": "z", "flavor": "m",
     "cell": i, "size": 1.0, "up_since_ms": 1.5 * i} for i in range(40)
]  # fmt: skip


@pytest.mark.parametrize("over", [
    {"host_port": "10.0.0.9:81"}, {"phase": "terminating"}, {"phase": "terminated"}, {"locality": "y"},
    {"flavor": "n"}, {"cell": 70}, {"size": 2.0}, {"up_since_ms": 1e12},
])  # fmt: skip
def test_unchanged_entries_are_the_same_objects(over: dict[str, Any]) -> None:
    """Guards against a second copy of a long list while nothing, or little, is new."""
    first = decode_update(json.dumps({"revision": 7, "complete": True, "members": ROWS}).encode()).members
    held = {member.backend: member for member in first}
    again = [*ROWS[:9], ROWS[9] | over, *ROWS[10:]]
    data = json.dumps({"revision": 8, "complete": True, "members": again}).encode()
    got = decode_update(data, held.get)
    assert [a is b for a, b in zip(got.members, first, strict=True)] == [i != 9 for i in range(40)]
    assert got == decode_update(data) and got.members[9] != first[9]


def test_the_same_entry_in_other_notation_is_the_same_object() -> None:
    first = decode_update(told(cell=3, locality="z"))
    held = {"a": first.members[0]}
    assert decode_update(told(cell="3", locality="z", new=1), held.get).members == first.members
