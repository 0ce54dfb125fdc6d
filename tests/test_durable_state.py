"""Tests of durable state: replay of records, snapshots, and ages measured by two clocks."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.durable.records import (
    BanLifted,
    BanSet,
    EndpointListReceived,
    EndpointRow,
    IncarnationStarted,
    LearnedSample,
    RegisterRow,
    RegisterRowsChanged,
    encode_record,
)
from balancer.durable.state import replay
from balancer.durable.timestamp import Timestamp
from balancer.interface import LearnedState

LEARNED = LearnedState(12.5, 0.9, 0.0, {"read": (30.0, 4.0, -0.2)}, {"b0": (0.0, 1.2, 3.5, 1, 250.0)})
# Number of fields in a snapshot of a version without the ban register.
FIELDS_BEFORE_REGISTER = 8

times = st.floats(0, 2e12)
names = st.sampled_from(["a", "b", "c"])
endpoint_rows = st.builds(EndpointRow, names, st.just("127.0.0.1"), st.integers(1, 65535), names, names,
                          st.integers(-1, 5), st.floats(0, 10), st.sampled_from(["up", "draining", "gone"]),
                          times)  # fmt: skip
register_rows = st.builds(
    RegisterRow, names, st.integers(0, 2), st.integers(0, 3), st.integers(0, 3), st.booleans(), times
)
records = (
    st.builds(BanSet, names, times)
    | st.builds(RegisterRowsChanged, st.lists(register_rows, max_size=3))
    | st.builds(BanLifted, names, times)
    | st.builds(
        EndpointListReceived, st.integers(0, 9), st.booleans(), times, st.lists(endpoint_rows, max_size=3)
    )
    | st.builds(IncarnationStarted, st.integers(0, 2**32), times)
    | st.builds(LearnedSample, st.builds(Timestamp, times, st.just("boot"), times), st.just(LEARNED))
)


@settings(deadline=None)
@given(st.lists(records.map(encode_record) | st.binary(max_size=9), max_size=12), st.integers(0, 12))
def test_a_snapshot_replaces_the_records_before_it(encoded: list[bytes], cut: int) -> None:
    snapshot = replay(None, encoded[:cut]).encode_snapshot()
    assert replay(snapshot, encoded[cut:]) == replay(None, encoded)


def test_records_of_a_newer_version_are_preserved_in_snapshots() -> None:
    unknown = encode_record(BanSet("a", 1.0)).replace(b"out", b"new")
    state = replay(replay(None, [unknown]).encode_snapshot(), [])
    assert state.unknown_records == [unknown] and state.banned == {}


BANNED_BY_ONE_NODE = RegisterRowsChanged(
    [RegisterRow("a", 0, 7, 1, True, 5.0), RegisterRow("a", 1, 7, 1, False, 6.0)]
)
# Node 1 wrote this row in an earlier incarnation than its row in `BANNED_BY_ONE_NODE`.
OUTDATED = RegisterRowsChanged([RegisterRow("a", 1, 6, 9, True, 4.0)])
LIFTED = RegisterRowsChanged([RegisterRow("a", 0, 7, 1, False, 8.0)])
REGISTER_LOG = [encode_record(record) for record in (BanLifted("a", 1.0), BANNED_BY_ONE_NODE, OUTDATED)]


def test_an_active_register_row_bans_its_backend() -> None:
    state = replay(None, REGISTER_LOG)
    assert state.banned == {"a": 5.0} and state.lifted == {}


def test_an_outdated_register_row_is_ignored() -> None:
    assert not replay(None, REGISTER_LOG).register["a"][1].is_active


def test_a_ban_is_lifted_with_its_last_active_register_row() -> None:
    snapshot = replay(None, REGISTER_LOG).encode_snapshot()
    state = replay(snapshot, [encode_record(LIFTED)])
    assert state.banned == {} and state.lifted == {"a": 8.0}


def test_the_register_survives_a_version_that_does_not_know_it() -> None:
    state = replay(None, REGISTER_LOG)
    older = msgspec.msgpack.decode(state.encode_snapshot())[:FIELDS_BEFORE_REGISTER]
    again = replay(msgspec.msgpack.encode(older), [])
    assert again == state and not again.unknown_records


@pytest.mark.parametrize(
    ("now", "age_ms"),
    [
        pytest.param(Timestamp(5000.0, "x", 4000.0), 4000.0, id="same boot"),
        pytest.param(Timestamp(3000.0, "x", 4000.0), 3000.0, id="wall clock set back"),
        pytest.param(Timestamp(9000.0, "x", 2500.0), 8000.0, id="wall clock set forward"),
        pytest.param(Timestamp(5000.0, "y", 10.0), 4000.0, id="reboot"),
        pytest.param(Timestamp(500.0, "y", 10.0), float("inf"), id="reboot and wall clock set back"),
    ],
)
def test_a_clock_step_never_makes_a_timestamp_younger(now: Timestamp, age_ms: float) -> None:
    assert Timestamp(1000.0, "x", 1000.0).age_ms(now) == age_ms
