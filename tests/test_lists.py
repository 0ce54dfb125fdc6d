"""Test decoding of endpoint lists: accepted notations, errors, and reuse of unchanged members."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balancer import interface as api
from balancer.net.endpoint_decoder import decode_update, update_from_json
from balancer.net.endpoints import EndpointListError, EndpointUpdate, parse_address
from tests.helpers import member

ROW = {"id": "a", "host_port": "10.0.0.1:80", "phase": "in_service"}


def list_json(**over: Any) -> bytes:
    """Return the JSON of a list with one entry."""
    return json.dumps({"revision": 7, "members": [ROW | over]}).encode()


@pytest.mark.parametrize("data", [
    list_json(locality="z", cell=3, size=2, up_since_ms=9),
    list_json(locality="z", cell="3", size=2.0, up_since_ms=9.0, new={"x": [1]}),
    list_json(locality="z", cell=3.5, size=2, up_since_ms=9, new=float("nan")),  # NaN is not valid JSON.
    list_json(locality="z", cell=3, size=2, up_since_ms=9).replace(b'"size"', b'"size": "x", "size"'),
    list_json(locality="z", cell=3, size=2, up_since_ms=9, new="\ud800"),
])  # fmt: skip
def test_entries_in_unusual_notation_are_accepted(data: bytes) -> None:
    entry = api.Endpoint("a", "z", 3, 2.0, api.EndpointPhase.IN_SERVICE, 9.0, "")
    update = decode_update(data)
    assert (update.revision, update.complete) == (7, False)
    assert update.members == (member(entry, "10.0.0.1:80"),)
    assert update.members[0].address == ("10.0.0.1", 80)
    assert update_from_json(json.loads(data)) == update


@pytest.mark.parametrize(("over", "message"), [
    ({"id": ""}, "members[0].id is invalid: '', expected `str` of length >= 1"),
    ({"size": -1}, "members[0].size is invalid: -1, expected `float` >= 0.0"),
    ({"size": float("nan")}, "members[0].size is invalid: nan, expected `float` >= 0.0"),
    ({"up_since_ms": True}, "members[0].up_since_ms is invalid: True, expected `float`, got `bool`"),
    ({"phase": "up"}, "members[0].phase is invalid: 'up', invalid enum value 'up'"),
    ({"cell": None}, "members[0].cell must be an integer, got None"),
    ({"cell": float("inf")}, "members[0].cell must be an integer, got inf"),
    ({"host_port": "b.example:80"}, "members[0].host_port must be IP:PORT, got 'b.example:80'"),
])  # fmt: skip
def test_an_invalid_entry_rejects_the_list_with_the_name_of_the_field(
    over: dict[str, Any], message: str
) -> None:
    with pytest.raises(EndpointListError) as err:
        decode_update(list_json(**over))
    assert str(err.value) == message


@pytest.mark.parametrize(("data", "message"), [
    (b'{"revision": 1, "members": [{}]}', "members[0].id is missing"),
    (b'{"members": []}', "revision is missing"),
    (b"[]", "the JSON document is invalid: [], expected `object`, got `array`"),
])  # fmt: skip
def test_json_that_is_not_a_list_is_rejected_with_the_reason(data: bytes, message: str) -> None:
    with pytest.raises(EndpointListError) as err:
        decode_update(data)
    assert str(err.value) == message


def test_an_address_needs_a_literal_ip_address() -> None:
    assert parse_address("[::1]:9") == ("::1", 9) and parse_address("10.0.0.1:0") == ("10.0.0.1", 0)
    for invalid in (
        "localhost:80",
        "010.0.0.1:80",
        "10.0.0.1",
        "10.0.0.1:65536",
        "10.0.0.1:+1",
        " 10.0.0.1:1",
    ):
        with pytest.raises(ValueError):
            parse_address(invalid)
    assert decode_update(b'{"revision": 0, "complete": true, "members": []}') == EndpointUpdate(0, True, ())


@pytest.mark.parametrize("address", ["10.0.0.1:80", "[::1]:9", "::1:9", "255.249.99.0:65535", "1.2.3.4:0",
                                  "1.2.3.4:60000"])  # fmt: skip
def test_addresses_in_different_notation_give_equal_members(address: str) -> None:
    (member,) = decode_update(list_json(host_port=address)).members
    assert member.address == parse_address(address)
    host, _, port = address.rpartition(":")
    assert decode_update(list_json(host_port=f"{host}:00{port}")).members == (member,)


ROWS: list[dict[str, Any]] = [
    {"id": f"b{i}", "host_port": f"10.0.0.{i}:80", "phase": "in_service", "locality": "z", "flavor": "m",
     "cell": i, "size": 1.0, "up_since_ms": 1.5 * i} for i in range(40)
]  # fmt: skip


@pytest.mark.parametrize("over", [
    {"host_port": "10.0.0.9:81"}, {"phase": "terminating"}, {"phase": "terminated"}, {"locality": "y"},
    {"flavor": "n"}, {"cell": 70}, {"size": 2.0}, {"up_since_ms": 1e12},
])  # fmt: skip
def test_unchanged_entries_reuse_the_member_objects(over: dict[str, Any]) -> None:
    """Guards against a second copy of a long list in memory when few of its entries have changed."""
    first = decode_update(json.dumps({"revision": 7, "complete": True, "members": ROWS}).encode()).members
    current_members = {member.backend: member for member in first}
    changed_rows = [*ROWS[:9], ROWS[9] | over, *ROWS[10:]]
    data = json.dumps({"revision": 8, "complete": True, "members": changed_rows}).encode()
    update = decode_update(data, current_members.get)
    assert [a is b for a, b in zip(update.members, first, strict=True)] == [i != 9 for i in range(40)]
    assert update == decode_update(data) and update.members[9] != first[9]


def test_an_unchanged_entry_in_another_notation_reuses_the_member_object() -> None:
    first = decode_update(list_json(cell=3, locality="z"))
    current_members = {"a": first.members[0]}
    assert (
        decode_update(list_json(cell="3", locality="z", new=1), current_members.get).members == first.members
    )
