"""Test in virtual time how soon changes are received that a failed or silent discovery call has missed."""

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
    MAX_ANSWER_DELAY_S,
    MAX_QUEUE_TIME_S,
    NEW_REVISION,
    RECEIPT_DEADLINE_S,
    WATCHING_AND_POLLING,
    DiscoveryConnection,
    DiscoverySimulation,
    all_longest_draws,
    longest_draws,
)

# Tests request these imported fixtures by name.
__all__ = ["all_longest_draws", "longest_draws"]

# The behaviour `goes_silent` sends its last byte at SILENT_AT_S.
SILENT_AT_S = 4.7
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
@pytest.mark.parametrize("first", ["goes_silent", "sends_incomplete_event"])
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
def test_events_missed_by_a_silent_watch_are_received_by_the_deadline(
    tmp_path: Path,
    longest_draws: None,
    must_subscribe: bool,
    first: str,
    between: tuple[str, ...],
    bound: float,
) -> None:
    """Guards against a reconnect delayed by the decision module, whose delay `ask-within` makes long."""
    sim = DiscoverySimulation(tmp_path, must_subscribe, first, *between, "healthy", list_max_age_ms=60_000.0)
    sim.run(60)
    late = 0.75 if first == "sends_incomplete_event" else 0.0
    assert 2.7 < sim.recovery_time(SILENT_AT_S) < bound + late + TOLERANCE_S
    assert bound + late < RECEIPT_DEADLINE_S
    assert bound + MAX_ANSWER_DELAY_S <= RECEIPT_DEADLINE_S
    assert len(sim.dialled_at) == 2 + len(between)


@WATCHING_AND_POLLING
@pytest.mark.parametrize("list_max_age_ms", [10_000.0, 60_000.0])
@pytest.mark.parametrize("failure", FAILURES_WITHOUT_MESSAGE + FAILURES_AFTER_LIST)
def test_a_change_is_received_by_the_deadline_after_any_failed_call(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, list_max_age_ms: float, failure: str
) -> None:
    """Guards against late receipt in the worst case: a change right after dialling a call that fails."""
    failing = DiscoverySimulation(tmp_path, must_subscribe, failure, list_max_age_ms=list_max_age_ms)
    failing.run(60)
    healthy_s = 0.0
    period = RETRY_PERIOD_S
    queue_time = MAX_QUEUE_TIME_S
    if failure in ("goes_silent", "list_only"):  # The timeout counts from the last byte of the watch.
        healthy_s = SILENT_AT_S if failure == "goes_silent" else 0.0
        period = 3.3
        queue_time = MAX_ANSWER_DELAY_S
    assert max(b - a for a, b in pairwise(failing.dialled_at)) <= healthy_s + period + 0.001
    for last in [t for t in failing.dialled_at if 8 < t < 35][:5]:
        sim = DiscoverySimulation(
            tmp_path,
            must_subscribe,
            failure,
            list_max_age_ms=list_max_age_ms,
            recovers_at=last + 0.001,
            queue_time=queue_time,
        )
        sim.run(60)
        received = next(at for at, revision in sim.updates if revision == NEW_REVISION)
        assert received - last - healthy_s <= period + queue_time + TOLERANCE_S <= RECEIPT_DEADLINE_S


@WATCHING_AND_POLLING
@pytest.mark.parametrize("failure", FAILURES_WITHOUT_MESSAGE)
def test_backoff_doubles_with_jitter_while_discovery_is_unavailable(
    tmp_path: Path, must_subscribe: bool, failure: str
) -> None:
    """Guards against call storms and nodes that retry in step; delays grow up to the retry period."""
    early = list[float]()
    late = list[float]()
    drawn = set[float]()
    for seed in range(5):
        random.seed(seed)
        sim = DiscoverySimulation(tmp_path, must_subscribe, "goes_silent", failure, seed=seed)
        sim.run(120)
        delays = [b - a for a, b in pairwise(t for t in sim.dialled_at if t > SILENT_AT_S)]
        early += delays[:2]
        late += delays[10:]
        drawn |= {round(delay, 2) for delay in delays[10:]}
        assert len(sim.dialled_at) < 90
        assert max(delays) <= RETRY_PERIOD_S + 0.001
        open_connections = (sum(c.was_open_at(t) for c in sim.connections) for t in sim.dialled_at)
        assert max(open_connections) <= 2
    assert min(late) >= (0.9 if failure in IMMEDIATE_FAILURES else 2.0)
    assert sum(late) / len(late) > 1.8
    assert len(drawn) > 25
    if failure in IMMEDIATE_FAILURES:
        assert sum(late) / len(late) > 5 * sum(early) / len(early)


@pytest.mark.usefixtures("all_longest_draws")
@WATCHING_AND_POLLING
def test_a_watch_closed_without_an_event_is_reopened_soon_after_an_outage(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """Guards against a backoff that keeps growing although discovery has answered, with nothing new."""
    sim = DiscoverySimulation(
        tmp_path, must_subscribe, *["connection_refused"] * 7, "closes_without_event", "healthy"
    )
    sim.run(40)
    closing = next(c for c in sim.connections if c.behaviour == "closes_without_event")
    closed_at = closing.opened_at + 1.2
    requested_at = next(request.at for request in sim.requests if request.behaviour == "healthy")
    assert requested_at - closed_at <= 1.0
    assert not must_subscribe or requested_at - closed_at > 0.3


def test_a_healthy_watch_stays_open_when_the_node_stalls(tmp_path: Path) -> None:
    """Guards against a timeout that expires before received data is read."""
    sim = DiscoverySimulation(tmp_path, False, "healthy")

    def stall_later(client: DiscoveryClient) -> None:
        def stall() -> None:
            sim.loop.stall(5.0)
            assert client.watch_call is not None
            assert client.watch_call.transport is not None
            connection = cast(DiscoveryConnection, client.watch_call.transport)
            sim.loop.call_later(0.01, connection.send_chunk, b"\n", False)

        sim.loop.call_later(3.0, stall)

    sim.run(600, stall_later)
    assert len(sim.dialled_at) == 1


@WATCHING_AND_POLLING
def test_a_slow_list_is_received_with_few_calls(tmp_path: Path, must_subscribe: bool) -> None:
    """The list arrives over 9 s; its call stays open in parallel with the next ones and supersedes them."""
    sim = DiscoverySimulation(tmp_path, must_subscribe, "slow_list")
    node = sim.run(60)
    assert node.has_endpoints
    assert len(node.pool.members) == 12
    assert [round(at, 6) for at, _ in sim.updates[1:]] == [9.0]
    assert len(sim.requests) == 3
    assert [connection.closed_at < 9.01 for connection in sim.connections] == [False, True, True]


class FakeRecovery:
    """Stands in for recovery: stops the watch on a failure and restarts it 1 s later, until 25 s."""

    def __init__(self, sim: DiscoverySimulation) -> None:
        self.sim = sim
        self.failed_at = list[float]()

    def control(self, client: DiscoveryClient) -> None:
        """Take control of the client's watch."""

        def list_failed() -> None:
            self.failed_at.append(self.sim.now)
            client.watch(False)
            if self.sim.now < 25:
                self.sim.loop.call_later(1.0, client.watch, True)

        fleet = SimpleNamespace(
            list_request_failed=list_failed, list_received=lambda *_: None, list_confirmed=lambda: None
        )
        client.node.fleet = cast(FleetServices, fleet)
        # The decision module controls the watch until the first failure.
        watcher = SimpleNamespace(watch=lambda on: None if self.failed_at else client.watch(on))
        client.node.discovery = cast(DiscoveryClient, watcher)


@WATCHING_AND_POLLING
def test_recovery_is_not_notified_of_a_failure_while_a_slow_list_arrives(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """Guards against stopping a slow call, as recovery stops all calls when it is notified of a failure."""
    sim = DiscoverySimulation(tmp_path, must_subscribe, "slow_list")
    recovery = FakeRecovery(sim)
    sim.run(30, recovery.control)
    assert recovery.failed_at == []
    assert [round(at, 6) for at, _ in sim.updates[1:]] == [9.0]


@WATCHING_AND_POLLING
def test_only_recovery_schedules_the_next_call_after_a_failure(tmp_path: Path, must_subscribe: bool) -> None:
    """Guards against a retry timer that survives the stop of the watch and makes a call of its own."""
    sim = DiscoverySimulation(tmp_path, must_subscribe, "no_response")
    recovery = FakeRecovery(sim)
    node = sim.run(30, recovery.control)
    assert not node.has_endpoints
    assert [round(at, 2) for at in sim.dialled_at] == [0.0, 4.05, 8.1, 12.15, 16.2, 20.25, 24.3]
    assert [round(at, 2) for at in recovery.failed_at] == [round(t + 3.05, 2) for t in sim.dialled_at]


def test_a_watch_stopped_by_its_own_event_delivers_no_further_event(tmp_path: Path) -> None:
    """Guards against a second object in a chunk that reopens the closed call and ends the next watch."""
    sim = DiscoverySimulation(tmp_path, False, "two_lists", "healthy")

    def restart_at_first_list(client: DiscoveryClient) -> None:
        def listed(*_: object) -> None:
            if len(sim.dialled_at) == 1:
                client.watch(False)
                client.watch(True)

        fleet = SimpleNamespace(
            list_request_failed=lambda: None, list_received=listed, list_confirmed=lambda: None
        )
        client.node.fleet = cast(FleetServices, fleet)

    sim.run(60, restart_at_first_list)
    assert sim.dialled_at == [0.0, 0.0]
    assert [update.revision for update in sim.updates[1:]] == [8, 8]


def test_an_endless_object_is_superseded_by_a_slow_list(tmp_path: Path) -> None:
    """Guards against an endless response that blocks the slot for slow calls."""
    sim = DiscoverySimulation(tmp_path, False, "endless_object", "slow_list")
    node = sim.run(90)
    assert node.has_endpoints
    assert sim.connections[0].closed_at < 68
    assert sum(connection.was_open_at(89) for connection in sim.connections) == 1


@pytest.mark.parametrize("must_subscribe", [False, True])
def test_malformed_lists_cause_few_calls_and_log_lines(
    tmp_path: Path, must_subscribe: bool, caplog: pytest.LogCaptureFixture
) -> None:
    sim = DiscoverySimulation(tmp_path, must_subscribe, "malformed_list")
    node = sim.run(60)
    assert node.has_endpoints
    assert 20 <= len(sim.requests) <= 120
    assert {request.target for request in sim.requests} == {"/discovery/hosts?watch=1&from=0"}
    assert 5 <= sum("bad list" in line for line in caplog.messages) <= 7


def test_a_complete_list_may_be_indented(tmp_path: Path) -> None:
    sim = DiscoverySimulation(tmp_path, True, "healthy")
    node = sim.run(0.2, lambda client: client.fetch())
    assert sim.requests[0].target == "/discovery/hosts"
    assert len(node.pool.members) == 12
