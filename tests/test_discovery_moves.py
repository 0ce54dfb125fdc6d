"""Test in virtual time a change of discovery's address, and a stopped watch, at each stage of a call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

import pytest

from balancer.net.discovery import DiscoveryClient
from balancer.net.discovery_call import CallStage
from balancer.net.liveness import RETRY_PERIOD_S
from tests.virtual_discovery import (
    ADDRESS_CHANGE_DEADLINE_S,
    MAX_ANSWER_DELAY_S,
    NEW_ADDRESS,
    NEW_REVISION,
    WATCHING_AND_POLLING,
    DiscoverySimulation,
    all_longest_draws,
    longest_draws,
)

# Tests request these imported fixtures by name.
__all__ = ["all_longest_draws", "longest_draws"]

# A call at a new address waits up to MAX_ADDRESS_CHANGE_WAIT_S for an unanswered call at the old one.
MAX_ADDRESS_CHANGE_WAIT_S = 1.0


@dataclass(slots=True, frozen=True)
class Moment:
    """A time at which the calls are in a given state, after discovery has behaved as scripted."""

    behaviours: tuple[str, ...]
    at: float
    stage: CallStage | None
    has_slow_call: bool = False
    # A call at a new address has to wait for the unanswered call at the old one.
    waits_for_call: bool = False


MOMENTS = {
    "connect stalls": Moment(("connect_stalls",), 1.0, CallStage.DIALLING),
    "connects late": Moment(("connects_late",), 0.5, CallStage.DIALLING),
    "no response": Moment(("no_response",), 1.0, CallStage.SENT),
    "headers only": Moment(("headers_only",), 2.9, CallStage.SENT),
    "open": Moment(("healthy",), 5.0, CallStage.OPEN),
    "silent": Moment(("goes_silent",), 7.0, CallStage.OPEN),
    "recheck": Moment(("list_only",), 3.26, CallStage.OPEN),
    "urgent": Moment(("list_only", "no_response"), 4.0, CallStage.SENT, waits_for_call=True),
    "slow": Moment(("endless_object", "no_response"), 4.1, CallStage.SENT, True, waits_for_call=True),
    "slow alone": Moment(("endless_object", "no_response"), 3.051, None, True),
    "waiting": Moment(("connection_refused",), 15.0, None),
}


def at_moment(
    sim: DiscoverySimulation, moment: Moment, act: Callable[[DiscoveryClient], None]
) -> Callable[[DiscoveryClient], None]:
    """Return a function that schedules `act` for that moment, with a check of the state of the calls."""

    def check_and_act(client: DiscoveryClient) -> None:
        stage = client.watch_call.stage if client.watch_call is not None else None
        assert stage is moment.stage
        assert (client.slow_call is not None) == moment.has_slow_call
        act(client)

    def schedule(client: DiscoveryClient) -> None:
        sim.loop.call_at(moment.at, check_and_act, client)

    return schedule


def restart(client: DiscoveryClient) -> None:
    """Stop and restart the watch."""
    client.watch(False)
    client.watch(True)


@WATCHING_AND_POLLING
@pytest.mark.parametrize("moment", MOMENTS.values(), ids=MOMENTS.keys())
def test_a_new_address_gets_one_watch_at_any_stage_of_the_old_call(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, moment: Moment
) -> None:
    """Guards against timers or connections of the old address that open a second watch or deliver an event.

    Only a call sent less than a second ago delays the new watch, as its response may be on its way.
    """
    at = moment.at
    sim = DiscoverySimulation(tmp_path, must_subscribe, *moment.behaviours, recovers_at=at, queue_time=0.7)
    due_at = at

    def change_address(client: DiscoveryClient) -> None:
        nonlocal due_at
        if moment.waits_for_call:
            due_at = sim.dialled_at[1] + MAX_ADDRESS_CHANGE_WAIT_S
            assert at < due_at < at + MAX_ADDRESS_CHANGE_WAIT_S
        client.change_address(NEW_ADDRESS)
        assert (client.watch_call is not None) is (due_at == at)
        assert (client.retry_timer is not None) is (due_at > at)
        assert client.slow_call is None

    sim.run(30, at_moment(sim, moment, change_address))
    calls = zip(sim.dialled_at, sim.dialled_addresses, strict=True)
    calls_at_new_address = [
        (round(dialled_at, 6), address) for dialled_at, address in calls if dialled_at >= at
    ]
    assert calls_at_new_address == [(round(due_at, 6), NEW_ADDRESS)]
    received = [(round(u.at - due_at, 6), u.revision) for u in sim.updates if u.at > at]
    assert received == [(0.7, NEW_REVISION)]
    assert sum(connection.was_open_at(due_at + 1.0) for connection in sim.connections) == 1
    assert len([request for request in sim.requests if request.at >= at]) == 1


@WATCHING_AND_POLLING
def test_a_retry_timer_of_the_old_address_makes_no_call_at_the_new_address(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool
) -> None:
    """Guards against a timer that survives an address change and starts a second series of retries."""
    sim = DiscoverySimulation(tmp_path, must_subscribe, "connection_refused")

    def change_address_later(client: DiscoveryClient) -> None:
        sim.loop.call_at(15.0, client.change_address, NEW_ADDRESS)

    sim.run(60, change_address_later)
    calls_at_new_address = [t - 15.0 for t in sim.dialled_at if t >= 15.0]
    calls = zip(sim.dialled_at, sim.dialled_addresses, strict=True)
    assert {address for t, address in calls if t >= 15.0} == {NEW_ADDRESS}
    if not must_subscribe:
        assert calls_at_new_address[:7] == pytest.approx([0.0, 0.15, 0.45, 1.05, 2.25, 4.65, 7.65])
    last = RETRY_PERIOD_S if must_subscribe else 3.0
    assert [b - a for a, b in pairwise(calls_at_new_address[6:])] == pytest.approx(
        [last] * len(calls_at_new_address[7:])
    )


@WATCHING_AND_POLLING
@pytest.mark.parametrize("name", MOMENTS)
def test_a_stopped_watch_makes_no_further_call(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, name: str
) -> None:
    moment = MOMENTS[name]
    sim = DiscoverySimulation(
        tmp_path, must_subscribe, *moment.behaviours, recovers_at=moment.at, queue_time=0.0
    )
    sim.run(30, at_moment(sim, moment, lambda client: client.watch(False)))
    # The decision module's own retry delay continues, as it only knows that its call has failed.
    polls = must_subscribe and name in ("waiting", "slow alone")
    assert len([t for t in sim.dialled_at if t >= moment.at]) == polls


@WATCHING_AND_POLLING
@pytest.mark.parametrize("moment", MOMENTS.values(), ids=MOMENTS.keys())
def test_a_restarted_watch_is_opened_immediately(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, moment: Moment
) -> None:
    sim = DiscoverySimulation(
        tmp_path, must_subscribe, *moment.behaviours, recovers_at=moment.at, queue_time=0.0
    )
    sim.run(30, at_moment(sim, moment, restart))
    assert [t for t in sim.dialled_at if t >= moment.at] == [moment.at]


@WATCHING_AND_POLLING
@pytest.mark.parametrize(
    "failures",
    [
        ("connection_refused", "connection_refused"),
        ("rejects",),
        ("connect_stalls",),
        ("no_response",),
        ("headers_only",),
        ("endless_object",),
    ],
)
def test_the_list_is_received_by_the_deadline_after_an_address_change_with_failing_calls(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, failures: tuple[str, ...]
) -> None:
    """Guards against a backoff that carries over from an old address that was unavailable for long."""
    sim = DiscoverySimulation(
        tmp_path, must_subscribe, *["connection_refused"] * 100, queue_time=MAX_ANSWER_DELAY_S
    )

    def change_address(client: DiscoveryClient) -> None:
        sim.behaviours = [*failures, "answers_late"]
        client.node.reconfigure(sim.config)  # SIGHUP reconfigures the node before the address changes.
        client.change_address(NEW_ADDRESS)

    def change_address_later(client: DiscoveryClient) -> None:
        sim.loop.call_at(30.0, change_address, client)

    sim.run(60, change_address_later)
    received = next(update.at for update in sim.updates if update.revision == NEW_REVISION)
    assert received - 30.0 <= 1.5 + 0.05 + 0.15 + MAX_ANSWER_DELAY_S + 0.01 <= ADDRESS_CHANGE_DEADLINE_S


@WATCHING_AND_POLLING
@pytest.mark.parametrize("failure", ["connection_refused", "connect_stalls", "rejects", "no_response"])
@pytest.mark.parametrize("recovers_at", [0.0, 0.001, 3.0, 7.0, 15.0])
def test_a_node_without_a_cached_list_is_ready_soon_after_discovery_recovers(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, failure: str, recovers_at: float
) -> None:
    sim = DiscoverySimulation(
        tmp_path, must_subscribe, failure, recovers_at=recovers_at, queue_time=MAX_ANSWER_DELAY_S
    )
    assert sim.run(40).has_endpoints
    received = next(update.at for update in sim.updates if update.revision == NEW_REVISION)
    assert received - recovers_at <= RETRY_PERIOD_S + MAX_ANSWER_DELAY_S + 0.01
    assert sim.dialled_at[0] == 0.0
