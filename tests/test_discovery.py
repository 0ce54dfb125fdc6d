"""Calls to discovery in virtual time: how soon what a failed or silent one missed is asked for again."""

from __future__ import annotations

import asyncio
import json
import math
import random
import selectors
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer.interface import ListUpdateKind
from balancer.net import config
from balancer.net.discovery import DiscoveryClient
from balancer.net.discovery_call import CallStage
from balancer.net.endpoints import Address, EndpointUpdate
from balancer.net.liveness import RETRY_PERIOD_S
from balancer.net.node import Node, Rooms
from tests.sockets import configuration

KNOWN = 6.0  # s after which what discovery has counts as told, whatever became of the calls before
MOVED = 4.0  # s after SIGHUP from which on it does
QUEUE = 1.0  # s that discovery may take to answer
CROWDED = 2.0  # s that a call waits there at most; then it fails
NEW = 9  # revision
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MEMBER = {"id": "b0", "host_port": "127.0.0.1:9", "phase": "in_service"}


class Skip(selectors.DefaultSelector):
    """Waits for nothing: the clock jumps to the next timer."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is left to happen"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop with a clock of its own, whose connections are made by the test."""

    def __init__(self, dial: Callable[[asyncio.Protocol, Address], Coroutine[Any, Any, None]]) -> None:
        self.skip, self.dial = Skip(), dial
        super().__init__(self.skip)

    def time(self) -> float:
        return self.skip.now

    async def create_connection(self, factory: Any, *args: Any, **kwargs: Any) -> Any:  # type: ignore[override]
        await self.dial(factory(), (args[0], args[1]))


class Line(asyncio.Transport):
    """Discovery's end of a connection."""

    def __init__(self, world: World, protocol: asyncio.Protocol, play: str) -> None:
        super().__init__()
        self.world, self.protocol, self.play, self.open = world, protocol, play, True
        self.begun, self.ended = world.now, math.inf
        self.unread: list[bytes] | None = None  # while the node does not read
        world.lines.append(self)

    def write(self, data: Any) -> None:
        target = bytes(data).split(b" ")[1].decode()
        self.begun = self.world.now
        self.world.asked.append((self.begun, target, self.play))
        if "watch=1" in target:
            getattr(self, self.play)()
        else:
            self.put(self.world.whole(indent=2))
            self.raw(b"0\r\n\r\n")

    def open_at(self, when: float) -> bool:
        return self.begun <= when < self.ended

    def abort(self) -> None:
        if self.open:
            self.open, self.ended = False, self.world.now
            self.world.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return not self.open

    def pause_reading(self) -> None:
        assert self.unread is None
        self.unread = []

    def resume_reading(self) -> None:
        assert self.unread is not None
        unread, self.unread = self.unread, None
        for data in unread:
            self.world.loop.call_soon(self.raw, data)

    def raw(self, data: bytes) -> None:
        if self.open and self.unread is not None:
            self.unread.append(data)
        elif self.open:
            self.protocol.data_received(data)

    def put(self, text: bytes, first: bool = True) -> None:
        self.raw((HEAD if first else b"") + b"%x\r\n%b\r\n" % (len(text), text))

    def at(self, when: float, text: bytes, first: bool = False) -> None:
        """A piece of the watch so many seconds after its begin."""
        self.world.loop.call_at(self.begun + when, self.put, text, first)

    def good(self, beats: int = 1000) -> None:
        """The list, then an empty line every 2 s, each late by up to 0.7 s."""
        self.put(self.world.whole())
        self.beat(0.0, beats)

    def beat(self, since: float, beats: int = 1000) -> None:
        """An empty line every 2 s, each other one late by 0.7 s."""
        for i in range(beats):
            self.at(since + 2.0 * (i + 1) + 0.7 * (i % 2), b"\n")

    def queued(self) -> None:
        """The list of after the return, as late as a call may wait there."""
        self.at(self.world.queue, self.world.whole(revision=NEW), first=True)
        self.beat(self.world.queue)

    def falls(self) -> None:
        """Silent after 4.7 s."""
        self.good(beats=2)

    def trickles(self) -> None:
        """As before, but an object begins then that never ends."""
        self.good(beats=2)
        for i in range(1000):
            self.at(4.71 + 0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ")

    def endless(self) -> None:
        """An object that never ends, from the beginning."""
        for i in range(1000):
            self.at(0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ", first=i == 0)

    def halts(self) -> None:
        """The list and no more."""
        self.good(beats=0)

    def reset(self) -> None:
        """The list, and the connection is reset at once."""
        self.good(beats=0)
        self.abort()

    def leaves(self) -> None:
        """The list, and an orderly end some time later."""
        self.good(beats=0)
        self.world.loop.call_at(self.begun + 1.9, self.raw, b"0\r\n\r\n")

    def brief(self) -> None:
        """Nothing new, and an orderly end some time later: it ends instead of telling."""
        self.put(b'{"revision": 0, "complete": false, "members": []}\n')
        self.world.loop.call_at(self.begun + 1.2, self.raw, b"0\r\n\r\n")

    def twice(self) -> None:
        """Two lists in one piece."""
        self.put(self.world.whole() + self.world.whole(revision=NEW))

    def garbage(self) -> None:
        """What is not HTTP."""
        self.raw(b"220 mail.example.com ESMTP\r\n")

    def mute(self) -> None:
        """No answer."""

    def opens(self) -> None:
        """The head of an answer."""
        self.raw(HEAD)

    def busy(self) -> None:
        """Too many callers."""
        self.raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    def slow(self) -> None:
        """A list that takes 9 s to arrive."""
        text = self.world.whole()
        self.put(text[:9])
        for i in range(1, 91):
            self.at(i / 10, text[9 * i : 9 * (i + 1) if i < 90 else None])
        self.beat(9.0)

    def spoilt(self) -> None:
        """A list with a broken object behind it."""
        self.put(self.world.whole() + b'{"revision": 9, "members": [7]}\n{"revision": 10, "members": []}\n')


class World:
    """A node with its discovery, which plays the given calls in turn; the last one goes on for ever.

    From `back` on it is sound, and each call that is dialled from then on is answered `queue` s later.
    """

    def __init__(
        self, path: Path, must_subscribe: bool, *plays: str, seed: int = 1, list_max_age_ms: float = 10_000.0,
        back: float = math.inf, queue: float = CROWDED,
    ) -> None:  # fmt: skip
        self.plays, self.dialled, self.back, self.queue = list(plays), list[float](), back, queue
        self.addresses = list[Address]()  # of what was dialled
        self.lines = list[Line]()
        self.asked = list[tuple[float, str, str]]()  # when, what, and which play answers
        self.heard = list[tuple[float, int]]()  # when the node was told a list, and its revision
        raw = configuration(
            [], 1, rules={"drain-grace": 2000, "answer-slack": 20, "ask-within": list_max_age_ms}
        )
        raw["settings"]["discovery"] = "subscribe" if must_subscribe else "automatic"
        (path / "config.json").write_text(json.dumps(raw | {"seed": f"{seed:x}"}))
        self.config = config.load({"PROXY_CONFIG": str(path / "config.json")})
        self.loop = VirtualLoop(self.dial)

    @property
    def now(self) -> float:
        return self.loop.time()

    async def dial(self, protocol: asyncio.Protocol, address: Address) -> None:
        self.dialled.append(self.now)
        self.addresses.append(address)
        play = self.plays.pop(0) if len(self.plays) > 1 else self.plays[0]
        if self.now >= self.back:
            play = "queued"
        if play == "stall":
            await asyncio.Event().wait()
        if play == "refuse":
            raise ConnectionRefusedError("refused")
        if play == "comes up late":
            await asyncio.sleep(1.0)
            play = "good"
        protocol.connection_made(Line(self, protocol, play))

    def whole(self, indent: int | None = None, revision: int = 8) -> bytes:
        """The whole list, some 900 bytes long."""
        rows = [MEMBER | {"id": f"b{i}"} for i in range(12)]
        table = {"revision": revision, "complete": True, "members": rows}
        return json.dumps(table, indent=indent).encode() + b"\n"

    def node(self, held: config.Config) -> Node:
        """A node with its watch, begun as the program does."""
        node = Node(held)
        node.now = lambda: self.now * 1000  # type: ignore[method-assign]
        node.discovery = out = DiscoveryClient(node, held.discovery, 0)
        take = node.list

        def told(news: EndpointUpdate, kind: ListUpdateKind) -> None:
            self.heard.append((self.now, news.revision))
            take(news, kind)

        node.list = told  # type: ignore[method-assign]
        node.list(held.known, ListUpdateKind.CACHED)
        if not held.settings.must_subscribe:
            out.watch(True)
        return node

    def play(self, seconds: float, meanwhile: Callable[[DiscoveryClient], None] = lambda _: None) -> Node:
        """So many seconds of a node's life."""

        async def life() -> Node:
            node = self.node(self.config)
            out = cast(DiscoveryClient, node.discovery)
            meanwhile(out)
            await asyncio.sleep(seconds)
            out.watch(False)
            assert (out.watch_call, out.retry_timer, out.slow_call) == (None, None, None)
            await asyncio.sleep(0.1)
            assert not any(line.open for line in self.lines)
            return node

        try:
            return self.loop.run_until_complete(life())
        finally:
            self.loop.close()

    def gap(self, fell: float) -> float:
        """From a first watch's last news, `fell` s after its begin, to the next call that is answered; s."""
        first, *more = self.asked
        return next(at for at, _, play in more if play == "good") - first[0] - fell


@pytest.fixture
def worst(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """The shell's draws are all at their most."""
    monkeypatch.setattr(random, "uniform", lambda least, most: most)
    yield


@pytest.fixture
def all_at_most(worst: None, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """The module's draws are, too."""
    monkeypatch.setattr(random.Random, "uniform", lambda self, least, most: most)
    yield


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("first", ["falls", "trickles"])
@pytest.mark.parametrize(
    ("between", "bound"),
    [((), 3.3), (("refuse",), 3.5), (("busy",), 3.5), (("stall",), 5.0), (("mute",), 5.0), (("opens",), 5.0)],
    ids=["nothing", "refused", "busy", "connect stalls", "no answer", "a head and no more"],
)
def test_what_a_silent_watch_missed_is_asked_for_in_time(
    tmp_path: Path, worst: None, must_subscribe: bool, first: str, between: tuple[str, ...], bound: float
) -> None:
    """Also where `ask-within` makes the module's own wait long."""
    world = World(tmp_path, must_subscribe, first, *between, "good", list_max_age_ms=60_000.0)
    world.play(60)
    late = 0.75 if first == "trickles" else 0.0
    assert 2.7 < world.gap(4.7) < bound + late + 0.01
    assert bound + late < KNOWN and bound + QUEUE <= KNOWN
    assert len(world.dialled) == 2 + len(between)  # and no call more


FAILURES = ["refuse", "stall", "busy", "mute", "opens", "garbage", "endless"]  # without a word
ENDS = ["reset", "leaves", "spoilt", "halts", "falls"]  # behind the first list


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("list_max_age_ms", [10_000.0, 60_000.0])
@pytest.mark.parametrize("failure", FAILURES + ENDS)
def test_after_any_failed_call_a_change_is_had_in_time(
    tmp_path: Path, all_at_most: None, must_subscribe: bool, list_max_age_ms: float, failure: str
) -> None:
    """The worst moments: discovery is back, or has a change, right after a call that comes to nothing."""
    tried = World(tmp_path, must_subscribe, failure, list_max_age_ms=list_max_age_ms)
    tried.play(60)
    # A watch counts as silent from its last byte on; the hurried call that follows may wait for less.
    sound, within, queue = 0.0, RETRY_PERIOD_S, CROWDED
    if failure in ("falls", "halts"):
        sound, within, queue = 4.7 if failure == "falls" else 0.0, 3.3, QUEUE
    assert max(b - a for a, b in pairwise(tried.dialled)) <= sound + within + 0.001
    for last in [t for t in tried.dialled if 8 < t < 35][:5]:
        world = World(
            tmp_path, must_subscribe, failure, list_max_age_ms=list_max_age_ms, back=last + 0.001, queue=queue
        )
        world.play(60)
        told = next(at for at, revision in world.heard if revision == NEW)
        assert told - last - sound <= within + queue + 0.01 <= KNOWN


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("failure", FAILURES)
def test_waits_still_double_when_discovery_stays_away(
    tmp_path: Path, must_subscribe: bool, failure: str
) -> None:
    """Up to the time in which the next call is due: no storm, and none that comes in step."""
    early, late, drawn = list[float](), list[float](), set[float]()
    for seed in range(5):
        random.seed(seed)
        world = World(tmp_path, must_subscribe, "falls", failure, seed=seed)
        world.play(120)
        steps = [b - a for a, b in pairwise(t for t in world.dialled if t > 4.7)]
        early, late = early + steps[:2], late + steps[10:]
        drawn |= {round(step, 2) for step in steps[10:]}
        assert len(world.dialled) < 90
        assert max(steps) <= RETRY_PERIOD_S + 0.001
        assert max(sum(line.open_at(t) for line in world.lines) for t in world.dialled) <= 2
    assert min(late) >= (0.9 if failure in ("refuse", "busy", "garbage") else 2.0)
    assert sum(late) / len(late) > 1.8 and len(drawn) > 25
    if failure in ("refuse", "busy", "garbage"):
        assert sum(late) / len(late) > 5 * sum(early) / len(early)


@pytest.mark.usefixtures("all_at_most")
@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
def test_a_watch_that_ends_instead_of_telling_is_opened_anew_soon_after_an_outage(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """Guards against waits that still grow from the failures before: the answer had nothing new in it."""
    world = World(tmp_path, must_subscribe, *["refuse"] * 7, "brief", "good")
    world.play(40)
    ended = next(line.begun for line in world.lines if line.play == "brief") + 1.2
    asked = next(at for at, _, play in world.asked if play == "good")
    assert asked - ended <= 1.0
    assert not must_subscribe or asked - ended > 0.3


class Crowd(World):
    """Many nodes and one discovery, which is down for a while and takes calls in turn, 4 ms each.

    A call that would wait there for over 1 s fails. Down, it refuses calls or, `cut` off, lets them hang.
    """

    DOWN, BACK, COSTS, PATIENCE = 20.0, 28.0, 0.004, 1.0

    def __init__(self, path: Path, must_subscribe: bool, nodes: int, cut: bool) -> None:
        super().__init__(path, must_subscribe, "mute")
        self.nodes, self.cut = nodes, cut
        self.free_at = 0.0
        self.answered, self.failed = list[float](), list[float]()

    async def dial(self, protocol: asyncio.Protocol, address: Address) -> None:
        self.dialled.append(self.now)
        if self.DOWN <= self.now < self.BACK:
            if self.cut:
                await asyncio.Event().wait()
            raise ConnectionRefusedError("refused")
        line = Line(self, protocol, "mute")
        protocol.connection_made(line)
        start = max(self.now, self.free_at)
        if start - self.now > self.PATIENCE:
            self.failed.append(self.now)
            self.loop.call_later(self.PATIENCE, line.busy)
            return
        self.free_at = start + self.COSTS
        self.answered.append(self.now)
        text = self.whole(revision=8 if self.now < self.DOWN else NEW)
        self.loop.call_at(self.free_at, line.put, text)
        for i in range(1, 30):
            self.loop.call_at(self.free_at + 2.0 * i, line.put, b"\n", False)

    def outage(self) -> None:
        """All of it; each node was told the new list in time."""

        async def life() -> None:
            nodes = [self.node(replace(self.config, seed=i)) for i in range(self.nodes)]
            await asyncio.sleep(self.DOWN - self.now)
            for line in self.lines:
                if self.cut:
                    line.open = False
                else:
                    line.abort()
            await asyncio.sleep(self.BACK + KNOWN - self.now)
            assert len([at for at, revision in self.heard if revision == NEW]) == self.nodes
            for node in nodes:
                cast(DiscoveryClient, node.discovery).watch(False)

        try:
            self.loop.run_until_complete(life())
        finally:
            self.loop.close()

    def most(self, since: float, until: float, within: float) -> int:
        """Calls that were dialled in the worst such time."""
        times = [t for t in self.dialled if since <= t < until]
        return max(sum(t <= other < t + within for other in times) for t in times)


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("cut", [False, True], ids=["refused", "cut off"])
def test_a_fleet_has_the_list_in_time_after_an_outage_and_swamps_nobody(
    tmp_path: Path, must_subscribe: bool, cut: bool
) -> None:
    """Discovery can take 250 calls a second; 200 nodes failed together."""
    random.seed(1)
    world = Crowd(tmp_path, must_subscribe, 200, cut)
    world.outage()
    assert world.failed == []
    assert len([t for t in world.answered if t > world.BACK]) == 200  # and no call more
    # While it is away the calls spread: in its last seconds, and right behind it.
    assert world.most(world.DOWN + 4.0, world.BACK, 1.0) <= (200 if cut else 140)
    assert world.most(world.BACK, math.inf, 0.25) <= 0.25 / world.COSTS + 1


def test_a_sound_watch_is_left_alone_though_the_node_stands_still(tmp_path: Path) -> None:
    """Guards against a timer that judges before what has come is read."""
    world = World(tmp_path, False, "good")

    def hold_up(discovery: DiscoveryClient) -> None:
        def stands_still() -> None:
            world.loop.skip.now += 5.0
            assert discovery.watch_call is not None and discovery.watch_call.transport is not None
            line = cast(Line, discovery.watch_call.transport)
            world.loop.call_later(0.01, line.put, b"\n", False)

        world.loop.call_later(3.0, stands_still)

    world.play(600, hold_up)
    assert len(world.dialled) == 1


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
def test_a_long_list_that_really_arrives_is_taken_after_few_tries(
    tmp_path: Path, must_subscribe: bool
) -> None:
    """It comes 9 s after it was first asked for: the call goes on beside the next ones, which end with it."""
    world = World(tmp_path, must_subscribe, "slow")
    node = world.play(60)
    assert node.ready and len(node.pool.members) == 12
    assert [round(at, 6) for at, _ in world.heard[1:]] == [9.0]
    assert len(world.asked) == 3
    assert [line.ended < 9.01 for line in world.lines] == [False, True, True]


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("play", ["slow", "mute"])
def test_a_room_that_steers_the_watch_hears_of_failures_but_not_of_a_list_that_still_comes(
    tmp_path: Path, must_subscribe: bool, play: str
) -> None:
    """It would stop every call, the slow one with them, and wait for its next turn."""
    world = World(tmp_path, must_subscribe, play)
    failed = list[float]()

    def steer(discovery: DiscoveryClient) -> None:
        def list_failed() -> None:
            failed.append(world.now)
            discovery.watch(False)
            if world.now < 25:
                world.loop.call_later(1.0, discovery.watch, True)

        rooms = SimpleNamespace(list_failed=list_failed, listed=lambda *_: None, unchanged=lambda: None)
        discovery.node.fleet = cast(Rooms, rooms)
        # The module is heard until its turn is over.
        watcher = SimpleNamespace(watch=lambda on: None if failed else discovery.watch(on))
        discovery.node.discovery = cast(DiscoveryClient, watcher)

    node = world.play(30, steer)
    if play == "slow":
        assert failed == [] and [round(at, 6) for at, _ in world.heard[1:]] == [9.0]
    else:
        # No timer is left behind a stop: the room's turn alone brings the next call.
        assert not node.ready
        assert [round(at, 2) for at in world.dialled] == [0.0, 4.05, 8.1, 12.15, 16.2, 20.25, 24.3]
        assert [round(at, 2) for at in failed] == [round(t + 3.05, 2) for t in world.dialled]


def test_a_watch_that_is_stopped_by_its_own_news_tells_no_more(tmp_path: Path) -> None:
    """Two objects in one piece: the second one would open the call anew, and its end close the next watch."""
    world = World(tmp_path, False, "twice", "good")

    def steer(discovery: DiscoveryClient) -> None:
        def listed(*_: object) -> None:
            if len(world.dialled) == 1:
                discovery.watch(False)
                discovery.watch(True)

        rooms = SimpleNamespace(list_failed=lambda: None, listed=listed, unchanged=lambda: None)
        discovery.node.fleet = cast(Rooms, rooms)

    world.play(60, steer)
    assert world.dialled == [0.0, 0.0]
    assert [revision for _, revision in world.heard[1:]] == [8, 8]


def test_an_object_that_never_ends_gives_way_to_a_long_list_that_does(tmp_path: Path) -> None:
    """Guards against a call that trickles for ever and keeps its place from those that come to something."""
    world = World(tmp_path, False, "endless", "slow")
    node = world.play(90)
    assert node.ready and world.lines[0].ended < 68
    assert sum(line.open_at(89) for line in world.lines) == 1


@pytest.mark.parametrize("must_subscribe", [False, True])
def test_lists_that_come_broken_make_no_storm_and_no_flood(
    tmp_path: Path, must_subscribe: bool, caplog: pytest.LogCaptureFixture
) -> None:
    world = World(tmp_path, must_subscribe, "spoilt")
    node = world.play(60)
    assert node.ready
    assert 20 <= len(world.asked) <= 120
    assert {target for _, target, _ in world.asked} == {"/discovery/hosts?watch=1&from=0"}
    assert 5 <= sum("bad list" in line for line in caplog.messages) <= 7


NEAR, FAR = ("127.0.0.1", 1), ("127.0.0.2", 2)
"""Discovery's address before and after SIGHUP."""
MOMENTS = {  # what the first calls do, when SIGHUP comes, and which stage the call is in then
    "dialling": (("stall",), 1.0, CallStage.DIALLING),
    "comes up late": (("comes up late",), 0.5, CallStage.DIALLING),
    "asked": (("mute",), 1.0, CallStage.SENT),
    "a head": (("opens",), 2.9, CallStage.SENT),
    "open": (("good",), 5.0, CallStage.OPEN),
    "silent": (("falls",), 7.0, CallStage.OPEN),
    "second look": (("halts",), 3.26, CallStage.OPEN),
    "hurried": (("halts", "mute"), 4.0, CallStage.SENT),
    "slow": (("endless", "mute"), 4.1, CallStage.SENT),
    "slow alone": (("endless", "mute"), 3.051, None),
    "waiting": (("refuse",), 15.0, None),
}


def aged(
    world: World, moment: str, then: Callable[[DiscoveryClient], None]
) -> Callable[[DiscoveryClient], None]:
    """Does `then` at that moment, and looks whether it is that."""
    _, when, stage = MOMENTS[moment]

    def look(discovery: DiscoveryClient) -> None:
        assert (discovery.watch_call.stage if discovery.watch_call is not None else None) is stage
        assert (discovery.slow_call is not None) == moment.startswith("slow")
        then(discovery)

    return lambda discovery: cast(None, world.loop.call_at(when, look, discovery))


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_move_opens_one_watch_at_the_new_address_whatever_was_under_way(
    tmp_path: Path, all_at_most: None, must_subscribe: bool, moment: str
) -> None:
    """No timer and no connection of the old address opens a second one or tells a thing.

    One thing alone puts it off: a call that was asked less than a second ago, whose answer may be on its way.
    """
    plays, when, _ = MOMENTS[moment]
    world = World(tmp_path, must_subscribe, *plays, back=when, queue=0.7)
    due = when

    def move(discovery: DiscoveryClient) -> None:
        nonlocal due
        if moment in ("hurried", "slow"):
            due = world.dialled[1] + 1.0
            assert when < due < when + 1.0
        discovery.move(FAR)
        assert (discovery.watch_call is not None) is (due == when)
        assert (discovery.retry_timer is not None) is (due > when)
        assert discovery.slow_call is None

    world.play(30, aged(world, moment, move))
    moved = [
        (round(at, 6), where)
        for at, where in zip(world.dialled, world.addresses, strict=True) if at >= when
    ]  # fmt: skip
    assert moved == [(round(due, 6), FAR)]
    assert [(round(at - due, 6), revision) for at, revision in world.heard if at > when] == [(0.7, NEW)]
    assert sum(line.open_at(due + 1.0) for line in world.lines) == 1
    assert len([at for at, _, _ in world.asked if at >= when]) == 1


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
def test_a_timer_of_the_old_address_adds_no_call_at_the_new_one(
    tmp_path: Path, all_at_most: None, must_subscribe: bool
) -> None:
    """It would begin a second row of calls, or cut a wait short."""
    world = World(tmp_path, must_subscribe, "refuse")
    world.play(60, lambda discovery: cast(None, world.loop.call_at(15.0, discovery.move, FAR)))
    moved = [t - 15.0 for t in world.dialled if t >= 15.0]
    assert {where for t, where in zip(world.dialled, world.addresses, strict=True) if t >= 15.0} == {FAR}
    if not must_subscribe:
        assert moved[:7] == pytest.approx([0.0, 0.15, 0.45, 1.05, 2.25, 4.65, 7.65])
    last = RETRY_PERIOD_S if must_subscribe else 3.0
    assert [b - a for a, b in pairwise(moved[6:])] == pytest.approx([last] * len(moved[7:]))


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_watch_that_is_stopped_stays_so_and_one_that_is_wanted_again_is_opened_at_once(
    tmp_path: Path, all_at_most: None, must_subscribe: bool, moment: str
) -> None:
    plays, when, _ = MOMENTS[moment]
    stopped = World(tmp_path, must_subscribe, *plays, back=when, queue=0.0)
    stopped.play(30, aged(stopped, moment, lambda discovery: discovery.watch(False)))
    # The module's own wait goes on: it knows no more than that its call had failed.
    asks = must_subscribe and moment in ("waiting", "slow alone")
    assert len([at for at in stopped.dialled if at >= when]) == asks
    again = World(tmp_path, must_subscribe, *plays, back=when, queue=0.0)

    def turn(discovery: DiscoveryClient) -> None:
        discovery.watch(False)
        discovery.watch(True)

    again.play(30, aged(again, moment, turn))
    assert [at for at in again.dialled if at >= when] == [when]


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize(
    "failures", [("refuse", "refuse"), ("busy",), ("stall",), ("mute",), ("opens",), ("endless",)]
)
def test_after_a_move_discovery_has_told_in_time_though_the_first_calls_fail(
    tmp_path: Path, all_at_most: None, must_subscribe: bool, failures: tuple[str, ...]
) -> None:
    """The waits are the first ones again, also where the old address had been away for long."""
    world = World(tmp_path, must_subscribe, *["refuse"] * 100, queue=QUEUE)

    def move(discovery: DiscoveryClient) -> None:
        world.plays = [*failures, "queued"]
        discovery.node.reconfigure(world.config)  # as SIGHUP does
        discovery.move(FAR)

    world.play(60, lambda _: cast(None, world.loop.call_at(30.0, move, _)))
    told = next(at for at, revision in world.heard if revision == NEW)
    assert told - 30.0 <= 1.5 + 0.05 + 0.15 + QUEUE + 0.01 <= MOVED


@pytest.mark.parametrize("must_subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("failure", ["refuse", "stall", "busy", "mute"])
@pytest.mark.parametrize("back", [0.0, 0.001, 3.0, 7.0, 15.0])
def test_a_node_without_a_saved_list_is_ready_soon_once_discovery_is_back(
    tmp_path: Path, all_at_most: None, must_subscribe: bool, failure: str, back: float
) -> None:
    world = World(tmp_path, must_subscribe, failure, back=back, queue=QUEUE)
    assert world.play(40).ready
    told = next(at for at, revision in world.heard if revision == NEW)
    assert told - back <= RETRY_PERIOD_S + QUEUE + 0.01
    assert world.dialled[0] == 0.0


def test_the_whole_list_may_come_indented(tmp_path: Path) -> None:
    world = World(tmp_path, True, "good")
    node = world.play(0.2, lambda d: d.fetch())
    assert world.asked[0][1] == "/discovery/hosts" and len(node.pool.members) == 12
