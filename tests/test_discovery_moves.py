"""A new address of discovery, and a watch that is stopped, at any moment of a call; in virtual time."""

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
    ANSWER_DELAY_S,
    NEW_ADDRESS,
    NEW_REVISION,
    RECEIVED_AFTER_MOVE_S,
    WATCHING_AND_POLLING,
    DiscoveryWorld,
    all_longest_draws,
    longest_draws,
)

__all__ = ["all_longest_draws", "longest_draws"]  # fixtures

MAX_UNANSWERED_S = 1.0  # of a former call before one at a new address is made


@dataclass(slots=True, frozen=True)
class Moment:
    """A moment of a call: what the first calls get, the time, and the stage of the watch call then."""

    behaviours: tuple[str, ...]
    at: float
    stage: CallStage | None
    has_slow_call: bool = False
    waits_for_call: bool = False  # a call at a new address waits for the one that is under way


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
    world: DiscoveryWorld, moment: Moment, act: Callable[[DiscoveryClient], None]
) -> Callable[[DiscoveryClient], None]:
    """Return what schedules `act` at that moment, with a check that it is the moment meant."""

    def check_and_act(client: DiscoveryClient) -> None:
        stage = client.watch_call.stage if client.watch_call is not None else None
        assert stage is moment.stage
        assert (client.slow_call is not None) == moment.has_slow_call
        act(client)

    def schedule(client: DiscoveryClient) -> None:
        world.loop.call_at(moment.at, check_and_act, client)

    return schedule


def restart(client: DiscoveryClient) -> None:
    """Stop the watch and start it again."""
    client.watch(False)
    client.watch(True)


@WATCHING_AND_POLLING
@pytest.mark.parametrize("moment", MOMENTS.values(), ids=MOMENTS.keys())
def test_a_new_address_gets_one_watch_whatever_was_under_way(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, moment: Moment
) -> None:
    """No timer and no connection of the old address opens a second one or delivers an event.

    Only a call that was sent less than a second ago delays it, as its response may be on its way.
    """
    at = moment.at
    world = DiscoveryWorld(tmp_path, must_subscribe, *moment.behaviours, back=at, queue_time=0.7)
    due_at = at

    def move(client: DiscoveryClient) -> None:
        nonlocal due_at
        if moment.waits_for_call:
            due_at = world.dialled_at[1] + MAX_UNANSWERED_S
            assert at < due_at < at + MAX_UNANSWERED_S
        client.change_address(NEW_ADDRESS)
        assert (client.watch_call is not None) is (due_at == at)
        assert (client.retry_timer is not None) is (due_at > at)
        assert client.slow_call is None

    world.run(30, at_moment(world, moment, move))
    calls = zip(world.dialled_at, world.dialled_addresses, strict=True)
    moved = [(round(dialled_at, 6), address) for dialled_at, address in calls if dialled_at >= at]
    assert moved == [(round(due_at, 6), NEW_ADDRESS)]
    received = [(round(u.at - due_at, 6), u.revision) for u in world.updates if u.at > at]
    assert received == [(0.7, NEW_REVISION)]
    assert sum(connection.was_open_at(due_at + 1.0) for connection in world.connections) == 1
    assert len([request for request in world.requests if request.at >= at]) == 1


@WATCHING_AND_POLLING
def test_a_timer_of_the_old_address_adds_no_call_at_the_new_one(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool
) -> None:
    """It would begin a second series of calls, or cut a delay short."""
    world = DiscoveryWorld(tmp_path, must_subscribe, "connection_refused")

    def move_later(client: DiscoveryClient) -> None:
        world.loop.call_at(15.0, client.change_address, NEW_ADDRESS)

    world.run(60, move_later)
    moved = [t - 15.0 for t in world.dialled_at if t >= 15.0]
    calls = zip(world.dialled_at, world.dialled_addresses, strict=True)
    assert {address for t, address in calls if t >= 15.0} == {NEW_ADDRESS}
    if not must_subscribe:
        assert moved[:7] == pytest.approx([0.0, 0.15, 0.45, 1.05, 2.25, 4.65, 7.65])
    last = RETRY_PERIOD_S if must_subscribe else 3.0
    assert [b - a for a, b in pairwise(moved[6:])] == pytest.approx([last] * len(moved[7:]))


@WATCHING_AND_POLLING
@pytest.mark.parametrize("name", MOMENTS)
def test_a_stopped_watch_makes_no_other_call(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, name: str
) -> None:
    moment = MOMENTS[name]
    world = DiscoveryWorld(tmp_path, must_subscribe, *moment.behaviours, back=moment.at, queue_time=0.0)
    world.run(30, at_moment(world, moment, lambda client: client.watch(False)))
    # The module's own delay goes on: it knows only that its call has failed.
    polls = must_subscribe and name in ("waiting", "slow alone")
    assert len([t for t in world.dialled_at if t >= moment.at]) == polls


@WATCHING_AND_POLLING
@pytest.mark.parametrize("moment", MOMENTS.values(), ids=MOMENTS.keys())
def test_a_restarted_watch_is_opened_at_once(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, moment: Moment
) -> None:
    world = DiscoveryWorld(tmp_path, must_subscribe, *moment.behaviours, back=moment.at, queue_time=0.0)
    world.run(30, at_moment(world, moment, restart))
    assert [t for t in world.dialled_at if t >= moment.at] == [moment.at]


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
def test_the_list_is_received_in_time_after_a_move_though_the_first_calls_fail(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, failures: tuple[str, ...]
) -> None:
    """The backoff begins anew, also where the old address had been away for long."""
    world = DiscoveryWorld(tmp_path, must_subscribe, *["connection_refused"] * 100, queue_time=ANSWER_DELAY_S)

    def move(client: DiscoveryClient) -> None:
        world.behaviours = [*failures, "answers_late"]
        client.node.reconfigure(world.config)  # as SIGHUP does
        client.change_address(NEW_ADDRESS)

    def move_later(client: DiscoveryClient) -> None:
        world.loop.call_at(30.0, move, client)

    world.run(60, move_later)
    received = next(update.at for update in world.updates if update.revision == NEW_REVISION)
    assert received - 30.0 <= 1.5 + 0.05 + 0.15 + ANSWER_DELAY_S + 0.01 <= RECEIVED_AFTER_MOVE_S


@WATCHING_AND_POLLING
@pytest.mark.parametrize("failure", ["connection_refused", "connect_stalls", "rejects", "no_response"])
@pytest.mark.parametrize("back", [0.0, 0.001, 3.0, 7.0, 15.0])
def test_a_node_without_a_cached_list_is_ready_soon_once_discovery_is_back(
    tmp_path: Path, all_longest_draws: None, must_subscribe: bool, failure: str, back: float
) -> None:
    world = DiscoveryWorld(tmp_path, must_subscribe, failure, back=back, queue_time=ANSWER_DELAY_S)
    assert world.run(40).has_endpoints
    received = next(update.at for update in world.updates if update.revision == NEW_REVISION)
    assert received - back <= RETRY_PERIOD_S + ANSWER_DELAY_S + 0.01
    assert world.dialled_at[0] == 0.0
