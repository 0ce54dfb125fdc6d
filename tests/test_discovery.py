"""Calls of discovery in virtual time: how soon what a failed or silent call missed is received."""

from __future__ import annotations

import random
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from balancer.net.discovery import DiscoveryClient
from balancer.net.liveness import RETRY_PERIOD_S
from balancer.net.node_ports import FleetServices
from tests.virtual_discovery import (
    ANSWER_DELAY_S,
    MAX_QUEUE_TIME_S,
    NEW_REVISION,
    RECEIVED_AFTER_S,
    WATCHING_AND_POLLING,
    DiscoveryConnection,
    DiscoveryWorld,
    all_longest_draws,
    longest_draws,
)

__all__ = ["all_longest_draws", "longest_draws"]  # fixtures

SILENT_AT_S = 4.7  # last byte of `goes_silent`
TOLERANCE_S = 0.01
FAILURES_WITHOUT_MESSAGE = [
    "connection_refused",
    "connect_stalls",
    "rejects",
    "no_response",
    "headers_only",
    "not_http",
    "endless_object",
]
FAILURES_AFTER_LIST = ["resets", "closes_later", "malformed_list", "list_only", "goes_silent"]
IMMEDIATE_FAILURES = ("connection_refused", "rejects", "not_http")


@WATCHING_AND_POLLING
@pytest.mark.parametrize("first", ["goes_silent", "trickles"])
@pytest.mark.parametrize(
    ("between", "bound"),
    [
        ((), 3.3),
        (("connection_refused",), 3.5),
        (("rejects",), 3.5),
        (("connect_stalls",), 5.0),
        (("no_response",), 5.0),
        (("headers_only",), 5.0),
    ],
    ids=["nothing", "refused", "rejected", "connect stalls", "no response", "headers only"],
)
def test_events_that_a_silent_watch_missed_are_received_in_time(
    tmp_path: Path,
    longest_draws: None,
    must_subscribe: bool,
    first: str,
    between: tuple[str, ...],
    bound: float,
) -> None:
    """A large `ask-within` makes the decision module's own delay long."""
    world = DiscoveryWorld(tmp_path, must_subscribe, first, *between, "healthy", list_max_age_ms=60_000.0)
    world.run(60)
    late = 0.75 if first == "trickles" else 0.0
    assert 2.7 < world.recovery_time(SILENT_AT_S) < bound + late + TOLERANCE_S
    assert bound + late < RECEIVED_AFTER_S
    assert bound + ANSWER_DELAY_S <= RECEIVED_AFTER_S
    assert len(world.dialled_at) == 2 + len(between)


@WATCHING_AND_POLLING
@pytest.mark.parametrize("list_max_age_ms", [10_000.0, 60_000.0])
@pytest.mark.parametrize("failure", FAILURES_WITHOUT_MESSAGE + FAILURES_AFTER_LIST)
def test_a_change_is_received_in_time_after_any_failed_call(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, list_max_age_ms: float, failure: str
) -> None:
    """The worst moments: discovery is back, or has a change, right after a call was dialled that fails."""
    failing = DiscoveryWorld(tmp_path, must_subscribe, failure, list_max_age_ms=list_max_age_ms)
    failing.run(60)
    healthy_s = 0.0
    period = RETRY_PERIOD_S
    queue_time = MAX_QUEUE_TIME_S
    if failure in ("goes_silent", "list_only"):  # counts from the last byte; the next call is urgent
        healthy_s = SILENT_AT_S if failure == "goes_silent" else 0.0
        period = 3.3
        queue_time = ANSWER_DELAY_S
    assert max(b - a for a, b in pairwise(failing.dialled_at)) <= healthy_s + period + 0.001
    for last in [t for t in failing.dialled_at if 8 < t < 35][:5]:
        world = DiscoveryWorld(
            tmp_path,
            must_subscribe,
            failure,
            list_max_age_ms=list_max_age_ms,
            back=last + 0.001,
            queue_time=queue_time,
        )
        world.run(60)
        received = next(at for at, revision in world.updates if revision == NEW_REVISION)
        assert received - last - healthy_s <= period + queue_time + TOLERANCE_S <= RECEIVED_AFTER_S


@WATCHING_AND_POLLING
@pytest.mark.parametrize("failure", FAILURES_WITHOUT_MESSAGE)
def test_backoff_doubles_with_jitter_while_discovery_is_away(
    tmp_path: Path, must_subscribe: bool, failure: str
) -> None:
    """Up to the period of retries: no storm of calls, and no calls in step."""
    early = list[float]()
    late = list[float]()
    drawn = set[float]()
    for seed in range(5):
        random.seed(seed)
        world = DiscoveryWorld(tmp_path, must_subscribe, "goes_silent", failure, seed=seed)
        world.run(120)
        delays = [b - a for a, b in pairwise(t for t in world.dialled_at if t > SILENT_AT_S)]
        early += delays[:2]
        late += delays[10:]
        drawn |= {round(delay, 2) for delay in delays[10:]}
        assert len(world.dialled_at) < 90
        assert max(delays) <= RETRY_PERIOD_S + 0.001
        open_connections = (sum(c.was_open_at(t) for c in world.connections) for t in world.dialled_at)
        assert max(open_connections) <= 2
    assert min(late) >= (0.9 if failure in IMMEDIATE_FAILURES else 2.0)
    assert sum(late) / len(late) > 1.8
    assert len(drawn) > 25
    if failure in IMMEDIATE_FAILURES:
        assert sum(late) / len(late) > 5 * sum(early) / len(early)


@pytest.mark.usefixtures("all_longest_draws")
@WATCHING_AND_POLLING
def test_a_watch_that_closes_without_an_event_is_opened_anew_soon_after_an_outage(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """The backoff of the failures before must not go on: discovery has answered, with nothing new."""
    world = DiscoveryWorld(
        tmp_path, must_subscribe, *["connection_refused"] * 7, "closes_without_event", "healthy"
    )
    world.run(40)
    closing = next(c for c in world.connections if c.behaviour == "closes_without_event")
    closed_at = closing.opened_at + 1.2
    requested_at = next(request.at for request in world.requests if request.behaviour == "healthy")
    assert requested_at - closed_at <= 1.0
    assert not must_subscribe or requested_at - closed_at > 0.3


def test_a_healthy_watch_goes_on_when_the_node_stalls(tmp_path: Path) -> None:
    """A timer must not expire before what has come is read."""
    world = DiscoveryWorld(tmp_path, False, "healthy")

    def stall_later(client: DiscoveryClient) -> None:
        def stall() -> None:
            world.loop.stall(5.0)
            assert client.watch_call is not None
            assert client.watch_call.transport is not None
            connection = cast(DiscoveryConnection, client.watch_call.transport)
            world.loop.call_later(0.01, connection.send_chunk, b"\n", False)

        world.loop.call_later(3.0, stall)

    world.run(600, stall_later)
    assert len(world.dialled_at) == 1


@WATCHING_AND_POLLING
def test_a_list_that_takes_long_to_arrive_is_received_after_few_calls(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """It takes 9 s: the call goes on in parallel with the next ones, which end with it."""
    world = DiscoveryWorld(tmp_path, must_subscribe, "slow_list")
    node = world.run(60)
    assert node.has_endpoints
    assert len(node.pool.members) == 12
    assert [round(at, 6) for at, _ in world.updates[1:]] == [9.0]
    assert len(world.requests) == 3
    assert [connection.closed_at < 9.01 for connection in world.connections] == [False, True, True]


class RecoveryTurns:
    """Stands in for the recovery adapter: stops the watch at a failure; starts it 1 s later, until 25 s."""

    def __init__(self, world: DiscoveryWorld) -> None:
        self.world = world
        self.failed_at = list[float]()

    def steer(self, client: DiscoveryClient) -> None:
        """Take control of the client's watch."""

        def list_failed() -> None:
            self.failed_at.append(self.world.now)
            client.watch(False)
            if self.world.now < 25:
                self.world.loop.call_later(1.0, client.watch, True)

        fleet = SimpleNamespace(
            list_request_failed=list_failed, list_received=lambda *_: None, list_confirmed=lambda: None
        )
        client.node.fleet = cast(FleetServices, fleet)
        # The decision module controls the watch until the first failure.
        watcher = SimpleNamespace(watch=lambda on: None if self.failed_at else client.watch(on))
        client.node.discovery = cast(DiscoveryClient, watcher)


@WATCHING_AND_POLLING
def test_recovery_is_not_told_of_a_failure_while_a_slow_list_arrives(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """It would stop all calls, the slow one with them."""
    world = DiscoveryWorld(tmp_path, must_subscribe, "slow_list")
    turns = RecoveryTurns(world)
    world.run(30, turns.steer)
    assert turns.failed_at == []
    assert [round(at, 6) for at, _ in world.updates[1:]] == [9.0]


@WATCHING_AND_POLLING
def test_recovery_alone_times_the_next_call_after_a_failure(tmp_path: Path, must_subscribe: bool) -> None:
    """No timer is left when the watch is stopped."""
    world = DiscoveryWorld(tmp_path, must_subscribe, "no_response")
    turns = RecoveryTurns(world)
    node = world.run(30, turns.steer)
    assert not node.has_endpoints
    assert [round(at, 2) for at in world.dialled_at] == [0.0, 4.05, 8.1, 12.15, 16.2, 20.25, 24.3]
    assert [round(at, 2) for at in turns.failed_at] == [round(t + 3.05, 2) for t in world.dialled_at]


def test_a_watch_that_is_stopped_by_its_own_event_delivers_no_other(tmp_path: Path) -> None:
    """Of two objects in one chunk, the second would open the call anew, and its end close the next watch."""
    world = DiscoveryWorld(tmp_path, False, "two_lists", "healthy")

    def restart_at_first_list(client: DiscoveryClient) -> None:
        def listed(*_: object) -> None:
            if len(world.dialled_at) == 1:
                client.watch(False)
                client.watch(True)

        fleet = SimpleNamespace(
            list_request_failed=lambda: None, list_received=listed, list_confirmed=lambda: None
        )
        client.node.fleet = cast(FleetServices, fleet)

    world.run(60, restart_at_first_list)
    assert world.dialled_at == [0.0, 0.0]
    assert [update.revision for update in world.updates[1:]] == [8, 8]


def test_an_object_that_never_ends_gives_way_to_a_slow_list(tmp_path: Path) -> None:
    """A call that trickles for ever must not keep the place of one that completes."""
    world = DiscoveryWorld(tmp_path, False, "endless_object", "slow_list")
    node = world.run(90)
    assert node.has_endpoints
    assert world.connections[0].closed_at < 68
    assert sum(connection.was_open_at(89) for connection in world.connections) == 1


@pytest.mark.parametrize("must_subscribe", [False, True])
def test_malformed_lists_cause_no_storm_of_calls_and_no_flood_of_log_lines(
    tmp_path: Path, must_subscribe: bool, caplog: pytest.LogCaptureFixture
) -> None:
    world = DiscoveryWorld(tmp_path, must_subscribe, "malformed_list")
    node = world.run(60)
    assert node.has_endpoints
    assert 20 <= len(world.requests) <= 120
    assert {request.target for request in world.requests} == {"/discovery/hosts?watch=1&from=0"}
    assert 5 <= sum("bad list" in line for line in caplog.messages) <= 7


def test_a_complete_list_may_be_indented(tmp_path: Path) -> None:
    world = DiscoveryWorld(tmp_path, True, "healthy")
    node = world.run(0.2, lambda client: client.fetch())
    assert world.requests[0].target == "/discovery/hosts"
    assert len(node.pool.members) == 12
