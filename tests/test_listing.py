"""The list on its way into the node: long ones in turns, and what comes in the middle of one."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.__main__ import take_place
from balancer.interface import EndpointPhase, ListUpdateKind
from balancer.net import config, discovery_call, endpoint_updater, list_layout, objects
from balancer.net.discovery import DiscoveryClient
from balancer.net.discovery_call import MIN_OBJECT_LIMIT_BYTES, max_object_bytes
from balancer.net.endpoint_decoder import PHASES
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.liveness import LivenessTimeout
from balancer.net.node import Node, Rooms
from balancer.policy import Balancer
from tests import test_discovery, test_discovery_moves, virtual_discovery
from tests.helpers import member as listed_at
from tests.virtual_discovery import DiscoveryWorld

# What holds for short lists holds for long ones, with the bounds below.
test_silence = test_discovery.test_events_that_a_silent_watch_missed_are_received_in_time
test_slow = test_discovery.test_a_list_that_takes_long_to_arrive_is_received_after_few_calls
test_malformed = test_discovery.test_malformed_lists_cause_no_storm_of_calls_and_no_flood_of_log_lines
test_move = test_discovery_moves.test_a_new_address_gets_one_watch_whatever_was_under_way
test_stopped = test_discovery_moves.test_a_stopped_watch_makes_no_other_call
test_restarted = test_discovery_moves.test_a_restarted_watch_is_opened_at_once
all_longest_draws, longest_draws = virtual_discovery.all_longest_draws, virtual_discovery.longest_draws
UP, DRAINING, GONE = EndpointPhase.IN_SERVICE, EndpointPhase.DRAINING, EndpointPhase.REMOVED
PHASE_WORDS = {phase: word for word, phase in PHASES.items()}
SHORT, PIECE = 4, 2


@pytest.fixture(autouse=True)
def soon_long(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """A list of some entries is a long one."""
    monkeypatch.setattr(objects, "LONG", 100)
    monkeypatch.setattr(list_layout, "MIN_RUN_BYTES", 100)
    monkeypatch.setattr(list_layout, "ROWS_PER_MATCH", 2)
    monkeypatch.setattr(list_layout, "RUNS_PER_SLICE", 1)
    monkeypatch.setattr(endpoint_updater, "MAX_SHORT_UPDATE", SHORT)
    monkeypatch.setattr(endpoint_updater, "BATCH_SIZE", PIECE)
    monkeypatch.setattr(endpoint_updater, "COMPARED_PER_SLICE", 5)
    yield


class Module:
    """Stands in for the decision module: holds what it is told."""

    def __init__(self) -> None:
        self.phases: dict[str, EndpointPhase] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.told = list[tuple[ListUpdateKind, dict[str, EndpointPhase]]]()
        self.then: Callable[[int], None] = lambda piece: None  # after so many pieces

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ListUpdate) and event.kind is not ListUpdateKind.FAILED:
            told = {entry.backend: entry.phase for entry in event.entries}
            if event.kind is not ListUpdateKind.DELTA:
                self.phases = dict.fromkeys(self.phases, GONE)
            self.phases |= told
            self.entries |= {entry.backend: entry for entry in event.entries}
            self.told.append((event.kind, told))
            self.then(len(self.told))
        return []

    @property
    def held(self) -> dict[str, EndpointPhase]:
        return {name: phase for name, phase in self.phases.items() if phase is not GONE}


def member(name: str, phase: EndpointPhase = UP, **over: Any) -> Member:
    port = over.pop("port", 9)
    entry = replace(api.Endpoint(name, "a", 0, 1.0, phase, 0.0), **over)
    return listed_at(entry, f"127.0.0.1:{port}")


def whole(revision: int, number: int, **phases: EndpointPhase) -> EndpointUpdate:
    """A whole list of b0, b1, ..., some of them in another phase."""
    told = dict.fromkeys((f"b{i}" for i in range(number)), UP) | phases
    return EndpointUpdate(revision, True, tuple(member(*one) for one in told.items() if one[1] is not GONE))


def change(revision: int, **phases: EndpointPhase) -> EndpointUpdate:
    return EndpointUpdate(revision, False, tuple(member(name, phase) for name, phase in phases.items()))


def text(news: EndpointUpdate) -> bytes:
    """As discovery says it."""
    members = [
        {"id": m.backend, "host_port": f"{m.address[0]}:{m.address[1]}", "phase": PHASE_WORDS[m.phase],
         "locality": m.zone} for m in news.members
    ]  # fmt: skip
    table = {"revision": news.revision, "complete": news.complete, "members": members}
    return json.dumps(table).encode() + b"\n"


class Long(DiscoveryWorld):
    """A node without the module, before discovery that says what the test says."""

    def __init__(self, path: Path, *plays: str) -> None:
        super().__init__(path, False, *(plays or ("headers_only",)))
        self.module = Module()
        self.taken = list[int]()  # revisions, as they came into force
        self.task: asyncio.Task[None] | None = None

    def node(self, held: config.Config) -> Node:
        node = super().node(held)
        node.balancer = cast(Balancer, self.module)
        self.module.told.clear()
        rooms = SimpleNamespace(
            list_failed=lambda: None, unchanged=lambda: self.taken.append(-1),
            listed=lambda news, kind: self.taken.append(news.revision),
        )  # fmt: skip
        node.fleet = cast(Rooms, rooms)
        return node

    def live(self, *steps: Callable[[Node, DiscoveryClient], None], seconds: float = 1.0) -> Node:
        """Each step once the one before is through; a second more of life."""

        def begin(discovery: DiscoveryClient) -> None:
            for i, step in enumerate(steps):
                self.loop.call_at(0.1 + i, step, discovery.node, discovery)

        return self.run(0.1 + len(steps) + seconds, begin)

    def says(self, *news: EndpointUpdate, call: int = 0) -> Callable[[Node, DiscoveryClient], None]:
        return lambda node, _: self.connections[call].send_chunk(b"".join(map(text, news)), first=False)


def pieces(world: Long) -> list[dict[str, EndpointPhase]]:
    return [told for _, told in world.module.told]


def test_a_long_list_is_in_force_after_many_turns_and_counts_only_then(tmp_path: Path) -> None:
    world, seen = Long(tmp_path), list[tuple[bool, bool, int]]()

    def say(node: Node, discovery: DiscoveryClient) -> None:
        world.module.then = lambda _: seen.append((node.ready, node.fresh.is_set(), len(world.taken)))
        world.says(whole(8, 30))(node, discovery)

    node = world.live(say)
    assert {ready for ready, _, _ in seen} == {fresh for _, fresh, _ in seen} == {False}
    assert node.ready and node.fresh.is_set() and world.taken == [8]
    assert len(pieces(world)) == 15 and max(map(len, pieces(world))) == PIECE
    assert {kind for kind, _ in world.module.told} == {ListUpdateKind.DELTA}
    assert world.module.held == dict.fromkeys((f"b{i}" for i in range(30)), UP)
    assert node.pool.members.keys() == world.module.held.keys() and node.pool.listed == 30


def test_what_stops_goes_first_and_what_is_as_it_was_costs_the_module_nothing(tmp_path: Path) -> None:
    world = Long(tmp_path)
    world.live(
        world.says(whole(8, 30)),
        lambda *_: world.module.told.clear(),
        world.says(whole(9, 40, b3=GONE, b4=DRAINING, b5=GONE, b31=DRAINING)),
    )
    told = [item for piece in pieces(world) for item in piece.items()]
    assert told[:3] == [("b3", GONE), ("b5", GONE), ("b4", DRAINING)]
    assert told[3:-1] == [(f"b{i}", UP) for i in range(30, 40) if i != 31]
    assert told[-1] == ("b31", DRAINING)  # it is new and has nothing that could stop


def test_a_long_list_that_says_nothing_new_is_heard_by_the_module(tmp_path: Path) -> None:
    world = Long(tmp_path)
    world.live(world.says(whole(8, 30)), lambda *_: world.module.told.clear(), world.says(whole(9, 30)))
    assert world.module.told == [(ListUpdateKind.DELTA, {})] and world.taken == [8, 9]


def test_an_id_that_comes_again_with_another_address_or_zone_is_told(tmp_path: Path) -> None:
    moved = EndpointUpdate(
        9, True, (member("b0", port=10), member("b1", zone="b"), *whole(9, 30).members[2:])
    )
    world = Long(tmp_path)
    node = world.live(world.says(whole(8, 30)), lambda *_: world.module.told.clear(), world.says(moved))
    assert pieces(world) == [{"b0": UP, "b1": UP}]
    assert node.pool.members["b0"].address == ("127.0.0.1", 10) and world.module.entries["b1"].zone == "b"


def test_a_saved_list_has_the_module_ask_by_its_first_piece_alone(tmp_path: Path) -> None:
    world = Long(tmp_path)
    saved = EndpointUpdate(7, True, (member("b0", DRAINING), *whole(7, 30).members[1:]))
    fresh = list[bool]()

    async def life() -> None:
        node = Node(world.config)
        node.balancer = cast(Balancer, world.module)
        node.list(saved, ListUpdateKind.CACHED)
        await node.listing.wait_idle()
        fresh.extend((node.fresh.is_set(), node.ready))

    world.loop.run_until_complete(life())
    world.loop.close()
    assert [kind for kind, _ in world.module.told] == [ListUpdateKind.CACHED] + [ListUpdateKind.DELTA] * 15
    assert UP in pieces(world)[0].values()  # the module waits for its call where something serves
    assert fresh == [False, True] and len(world.module.held) == 30


def test_a_change_in_mid_list_comes_after_it_but_what_it_stops_does_so_at_once(tmp_path: Path) -> None:
    world = Long(tmp_path)

    newer = text(change(9, b0=GONE, b29=GONE, b28=DRAINING, b40=UP))
    world.module.then = lambda piece: (
        world.connections[0].send_chunk(newer, first=False) if piece == 5 else None
    )
    world.live(world.says(whole(8, 30)))
    told = pieces(world)  # the change is long enough here to be decoded in turns, too
    assert 5 <= told.index({"b0": GONE}) <= 8 and any("b27" in piece for piece in told[9:])
    assert not any(told.get("b29") is UP or told.get("b28") is UP for told in pieces(world))
    assert world.taken == [8, 9]
    serve = [*(f"b{i}" for i in range(1, 28)), "b40"]
    assert world.module.held == dict.fromkeys(serve, UP) | {"b28": DRAINING}


def test_what_a_change_stops_and_a_later_one_starts_serves_in_the_end(tmp_path: Path) -> None:
    world = Long(tmp_path)
    later = [change(9, b0=GONE, b29=GONE), change(10, b0=UP, b29=UP), change(10, b1=GONE), change(9, b2=GONE)]
    world.live(world.says(whole(8, 30), *later))
    assert world.taken == [8, 9, 10] and world.module.held == dict.fromkeys((f"b{i}" for i in range(30)), UP)


def test_a_newer_whole_list_in_mid_list_is_compared_with_what_is_in_force(tmp_path: Path) -> None:
    world = Long(tmp_path)
    newer = text(whole(9, 12, b1=GONE))
    world.module.then = lambda piece: (
        world.connections[0].send_chunk(newer, first=False) if piece == 4 else None
    )
    node = world.live(world.says(whole(8, 30)))
    assert world.taken == [9] and world.module.held.keys() == {"b0", *(f"b{i}" for i in range(2, 12))}
    assert node.pool.members.keys() == world.module.held.keys()
    names = [name for told in pieces(world) for name in told]
    assert len(names) < 30 and names.count("b0") == 1  # the rest of the older one never came


@pytest.mark.parametrize("turns", range(20))
def test_what_goes_by_a_change_while_a_list_without_it_is_taken_goes_once(tmp_path: Path, turns: int) -> None:
    """Guards against a list given up as it looks for one that has gone meanwhile."""
    world = Long(tmp_path)

    def say(node: Node, _: DiscoveryClient) -> None:
        node.list(whole(9, 4), ListUpdateKind.SNAPSHOT)
        later = change(10, b29=GONE, b28=GONE)
        work = node.loop.call_soon

        def wait(left: int) -> None:
            work(wait, left - 1) if left else node.list(later, ListUpdateKind.DELTA)

        wait(turns)

    node = world.live(world.says(whole(8, 30)), say)
    assert world.module.held.keys() == node.pool.members.keys() == {"b0", "b1", "b2", "b3"}
    assert world.taken == [8, 9, 10]


@pytest.mark.parametrize(("rest_at", "listens_at"), [(2.1, 2.1), (None, 3.1)])
def test_a_process_that_takes_over_in_mid_list_listens_once_that_is_whole_and_in_force(
    tmp_path: Path, rest_at: float | None, listens_at: float
) -> None:
    """Or, where it stays half a list, in time to be ready with the one that was saved."""
    world, data = Long(tmp_path), text(whole(8, 30))
    seen = list[tuple[float, int]]()

    async def take_over(node: Node) -> None:
        await take_place(node, cast(Any, SimpleNamespace(enough=True)), False)
        seen.append((round(world.now, 2), len(world.module.held)))

    def begin(node: Node, _: DiscoveryClient) -> None:
        world.task = node.loop.create_task(take_over(node))
        world.connections[0].send_chunk(data[:700], first=False)
        if rest_at is not None:
            node.loop.call_at(rest_at, lambda: world.connections[0].send_chunk(data[700:], first=False))

    world.live(begin, seconds=4.0)
    assert seen == [(listens_at, 30 if rest_at else 0)]


def test_empty_lines_in_mid_list_do_not_make_the_node_fresh(tmp_path: Path) -> None:
    world, seen = Long(tmp_path), list[bool]()

    def beat(node: Node, _: DiscoveryClient) -> None:
        world.module.then = lambda _: seen.append(node.fresh.is_set())
        world.connections[0].send_chunk(text(whole(8, 30)) + b"\n\n", first=False)

    node = world.live(beat)
    assert seen and not any(seen) and node.fresh.is_set() and world.taken == [8]


def test_an_empty_line_alone_is_news(tmp_path: Path) -> None:
    world = Long(tmp_path)
    node = world.live(lambda *_: world.connections[0].send_chunk(b"\n", first=False))
    assert node.fresh.is_set() and world.taken == [-1]


@pytest.mark.parametrize("pieces_before", [None, 0, 5])
def test_what_is_whole_when_its_watch_is_reset_goes_on(tmp_path: Path, pieces_before: int | None) -> None:
    """While it is decoded (None: with the next one begun), or taken."""
    world = Long(tmp_path, "headers_only", "no_response")

    def say(node: Node, _: DiscoveryClient) -> None:
        if pieces_before is None:
            world.connections[0].send_chunk(text(whole(8, 30)) + text(whole(9, 2))[:60], first=False)
            world.connections[0].abort()
        else:
            world.connections[0].send_chunk(text(whole(8, 30)), first=False)
            if pieces_before == 0:
                world.connections[0].abort()

    world.module.then = lambda piece: world.connections[0].abort() if piece == pieces_before else None
    world.live(say, seconds=9.0)
    assert world.taken == [8] and len(world.module.held) == 30
    assert [t for _, t, _ in world.requests[1:]] == ["/discovery/hosts?watch=1&from=8"] * (
        len(world.requests) - 1
    )
    assert len(world.requests) > 1


def test_a_broken_long_list_leaves_the_last_one_in_force_and_the_call_begins_anew(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    world = Long(tmp_path, "headers_only", "no_response")
    bad = text(whole(9, 30, b3=GONE)).replace(b'"b29"', b'"b28"')
    node = world.live(
        world.says(whole(8, 30)),
        lambda *_: world.connections[0].send_chunk(bad + text(change(10, b5=GONE)), first=False),
        seconds=5.0,
    )
    assert world.taken == [8] and len(world.module.held) == 30
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST01: members[28].id makes no sense: 'b28' is there twice"]
    assert world.requests[1][1] == "/discovery/hosts?watch=1&from=0"
    assert not cast(DiscoveryClient, node.discovery).receiver.queue


def test_a_call_that_is_silent_while_its_list_is_decoded_is_no_dead_one(tmp_path: Path) -> None:
    world = Long(tmp_path)

    def slow(node: Node, _: DiscoveryClient) -> None:
        node.turns.skips_pauses = False
        node.turns.clock = Clock(0.2)  # each slice takes so long, and a pause as well
        world.says(whole(8, 60))(node, _)
        world.connections[0].send_empty_lines(world.now, 40)

    world.live(slow, seconds=60.0)
    assert world.taken == [8] and len(world.dialled_at) == 1


class Clock:
    """Each second look says that so much time was used."""

    def __init__(self, step: float) -> None:
        self.step, self.used = step, 0.0

    def __call__(self) -> float:
        self.used += self.step
        return self.used


def test_a_pause_is_as_long_as_the_turn_before_it(tmp_path: Path) -> None:
    world, at = Long(tmp_path), list[float]()
    world.module.then = lambda _: at.append(world.now)

    def say(node: Node, discovery: DiscoveryClient) -> None:
        node.turns.skips_pauses = False
        node.turns.clock = Clock(0.003)
        assert discovery.watch_call is not None
        discovery.receiver.apply(discovery.watch_call, whole(8, 30))

    world.live(say)
    assert len(at) == 15
    assert [round(b - a, 6) for a, b in pairwise(at)] == [0.003] * 14


@pytest.mark.parametrize("piece", [None, 5])
def test_sighup_in_mid_list_goes_on_with_what_is_whole_and_claims_no_more(
    tmp_path: Path, piece: int | None
) -> None:
    """Decoded or taken then: it came whole and counts as told, so the next call goes on from it."""
    world = Long(tmp_path, "headers_only", "headers_only", "no_response")

    def say(node: Node, discovery: DiscoveryClient) -> None:
        world.module.then = lambda n: discovery.move(("127.0.0.2", 1)) if n == piece else None
        world.says(whole(8, 30))(node, discovery)
        if piece is None:
            discovery.move(("127.0.0.2", 1))

    world.live(say, world.says(change(9, b0=GONE), call=1))
    assert world.requests[1][1] == "/discovery/hosts?watch=1&from=8"
    assert world.taken == [8, 9]
    assert len(world.module.held) == 29


def test_a_watch_that_is_stopped_in_mid_list_tells_no_more_of_what_is_not_decoded(tmp_path: Path) -> None:
    world = Long(tmp_path)

    def say(node: Node, discovery: DiscoveryClient) -> None:
        world.says(whole(8, 30))(node, discovery)
        discovery.watch(False)

    world.live(say)
    assert world.taken == [] and world.module.told == []


def test_the_same_long_list_of_two_calls_at_once_is_taken_once(tmp_path: Path) -> None:
    """The slow one and the next: whichever is whole first goes on, and the other one is closed."""
    world = Long(tmp_path, "endless_object", "headers_only", "no_response")

    def say(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.slow_call is not None
        rest = text(whole(8, 30))[len(b'{"revision": 9, "complete"') :]
        world.connections[0].send_chunk(rest, first=False)
        world.connections[1].send_chunk(text(whole(8, 30)), first=False)

    world.run(5, lambda discovery: cast(None, world.loop.call_at(4.0, say, discovery.node, discovery)))
    assert world.taken == [9] and len(world.module.held) == 30  # the slow one has that revision
    assert [line.was_open_at(4.5) for line in world.connections] == [True, False]


def test_a_room_repeats_what_was_saved_without_undoing_what_discovery_tells(tmp_path: Path) -> None:
    """The whole list of discovery wins; a change of it comes after what is repeated."""
    world = Long(tmp_path)
    repeated = whole(7, 30, b1=DRAINING, b2=DRAINING)

    def say(node: Node, _: DiscoveryClient) -> None:
        node.list(whole(8, 30, b3=GONE), ListUpdateKind.SNAPSHOT)
        node.list(repeated, ListUpdateKind.CACHED)
        node.list(EndpointUpdate(7, False, (member("b3"),), is_repeated=True), ListUpdateKind.DELTA)

    world.live(say, seconds=2.0)
    assert world.module.held == dict.fromkeys((f"b{i}" for i in range(30) if i != 3), UP)
    world = Long(tmp_path)

    def saved(node: Node, _: DiscoveryClient) -> None:
        node.list(whole(7, 30), ListUpdateKind.CACHED)
        node.list(change(8, b1=UP, b4=GONE), ListUpdateKind.DELTA)
        node.list(repeated, ListUpdateKind.CACHED)

    world.live(saved, seconds=2.0)
    assert world.taken == [8] and "b4" not in world.module.held
    assert [world.module.held[name] for name in ("b1", "b2", "b3")] == [UP, DRAINING, UP]


def test_news_that_come_of_news_that_are_taken_wait_for_their_turn(tmp_path: Path) -> None:
    world = Long(tmp_path)

    def say(node: Node, _: DiscoveryClient) -> None:
        def listed(news: EndpointUpdate, kind: ListUpdateKind) -> None:
            world.taken.append(news.revision)
            if news.revision == 8:
                node.list(change(9, b0=GONE), ListUpdateKind.DELTA)
                node.list(whole(10, 20), ListUpdateKind.SNAPSHOT)
                node.list(change(11, b1=GONE), ListUpdateKind.DELTA)

        cast(Any, node.fleet).listed = listed
        world.says(whole(8, 30))(node, _)

    world.live(say)
    assert world.taken == [8, 9, 10, 11]
    assert world.module.held == dict.fromkeys((f"b{i}" for i in range(20) if i != 1), UP)


def test_a_defect_while_a_list_is_taken_does_not_hold_up_the_next(tmp_path: Path) -> None:
    world = Long(tmp_path)

    def broken(node: Node, _: DiscoveryClient) -> None:
        def fails(*_: object) -> None:
            cast(Any, node.fleet).listed = lambda news, kind: world.taken.append(news.revision)
            raise RuntimeError

        cast(Any, node.fleet).listed = fails
        world.loop.set_exception_handler(lambda loop, context: None)
        world.says(whole(8, 30))(node, _)

    world.live(broken, world.says(whole(9, 31)))
    assert world.taken == [9] and len(world.module.held) == 31


NAMES = [f"b{i}" for i in range(14)]
LISTS = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([UP, UP, DRAINING]), min_size=SHORT + 1)
CHANGES = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([UP, DRAINING, GONE]), max_size=9)
SAID = st.tuples(st.just(True), LISTS) | st.tuples(st.just(False), CHANGES)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.tuples(SAID, st.integers(0, 6), st.integers(1, 3)), max_size=8))
def test_whatever_comes_at_whatever_turn_the_end_is_as_if_each_had_been_taken_at_once(
    tmp_path: Path, said: list[tuple[tuple[bool, dict[str, EndpointPhase]], int, int]]
) -> None:
    """And no backend that the last word stops is ever started behind it."""
    world, expected = Long(tmp_path), dict[str, EndpointPhase]()

    async def life() -> None:
        node = world.node(world.config)
        last = dict[str, EndpointPhase]()

        def then(_: int) -> None:
            told = world.module.told[-1][1]
            assert not any(phase is UP and last.get(name) is GONE for name, phase in told.items())

        world.module.then = then
        for number, ((complete, phases), turns, port) in enumerate(said, 1):
            members = tuple(member(name, phase, port=port) for name, phase in phases.items())
            last = phases if not complete else dict.fromkeys(NAMES, GONE) | phases
            kind = ListUpdateKind.SNAPSHOT if complete else ListUpdateKind.DELTA
            node.list(EndpointUpdate(number, complete, members), kind)
            if complete:
                expected.clear()
            expected.update(phases)
            for _ in range(turns):
                await asyncio.sleep(0)
        while node.listing.pending:
            await asyncio.sleep(0)
        held = {name: phase for name, phase in expected.items() if phase is not GONE}
        assert world.module.held == held
        assert {name: m.phase is UP for name, m in node.pool.members.items()} == {
            name: phase is UP for name, phase in held.items()
        }
        assert node.pool.listed == sum(phase is UP for phase in held.values())
        assert not said or world.taken[-1] == len(said)
        cast(DiscoveryClient, node.discovery).watch(False)

    try:
        world.loop.run_until_complete(life())
    finally:
        world.loop.close()


def test_the_most_that_an_object_may_have_follows_from_the_memory(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A list of 70,000 has 10,434,719 bytes."""
    assert max_object_bytes(192.0) >= 1.5 * 10_434_719 and max_object_bytes(16.0) == MIN_OBJECT_LIMIT_BYTES
    caplog.set_level(logging.INFO)
    world = Long(tmp_path, "headers_only", "no_response")

    def say(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.watch_call is not None
        discovery.watch_call.objects.most = 1000
        world.says(whole(8, 30))(node, discovery)

    world.live(say, seconds=5.0)
    assert "list: at most 16.0 MiB in one object, of 192 MB" in caplog.messages
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST02: an object of over 1000 bytes"]
    assert world.taken == [] and world.requests[1][1].endswith("from=0")


def test_seventy_thousand_in_odd_pieces_are_taken(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for where, name, value in (
        (objects, "LONG", 65_536),
        (list_layout, "MIN_RUN_BYTES", 16_384),
        (list_layout, "RUNS_PER_SLICE", 8),
        (endpoint_updater, "MAX_SHORT_UPDATE", 256),
        (endpoint_updater, "BATCH_SIZE", 128),
        (endpoint_updater, "COMPARED_PER_SLICE", 1024),
    ):
        monkeypatch.setattr(where, name, value)
    world = Long(tmp_path)
    table = [{"id": f"s-{i:08x}", "host_port": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8080", "locality": "a",
              "flavor": "m2", "cell": i % 40, "phase": "in_service", "size": 1.0, "up_since_ms": 1.7e12}
             for i in range(70_000)]  # fmt: skip
    data = json.dumps({"revision": 41, "complete": True, "members": table}).encode()
    assert len(data) > 8 * 1024 * 1024

    def say(node: Node, _: DiscoveryClient) -> None:
        at, size = 0, 1
        while at < len(data):
            world.connections[0].send_chunk(data[at : at + size], first=False)
            at, size = at + size, size * 7 % 99_991 + 1

    node = world.live(say)
    assert world.taken == [41] and node.pool.listed == len(world.module.held) == 70_000
    assert max(map(len, pieces(world))) == 128


def test_what_comes_in_one_long_piece_is_read_in_turns_up_to_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where the connection has ended by then, and where no HTTP stands behind it."""
    monkeypatch.setattr(discovery_call, "MAX_SLICE_BYTES", 50)
    for behind in (b"0\r\n\r\n", b"no HTTP\r\n"):
        world, read = Long(tmp_path, "headers_only", "no_response"), list[int]()

        def say(node: Node, watch: DiscoveryClient, world: Long = world, behind: bytes = behind) -> None:
            said = text(whole(8, 30)) + text(change(9, b0=GONE))
            world.connections[0].send_raw(b"%x\r\n%b\r\n" % (len(said), said) + behind)
            world.connections[0].abort()

        def fed(self: LivenessTimeout, now: float, read: list[int] = read) -> None:
            read.append(1)

        monkeypatch.setattr(LivenessTimeout, "bytes_received", fed)
        world.live(say, seconds=9.0)
        assert len(read) > 30 and world.taken == [8, 9]
        assert len(world.module.held) == 29 and world.requests[1][1].endswith("from=9")
