"""One clock for silence, in virtual time: how long until what a silent watch missed is asked for again."""

from __future__ import annotations

import asyncio
import json
import random
import selectors
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from dillport.interface import ListKind
from dillport.net import config
from dillport.net.discovery import Discovery
from dillport.net.node import Node
from tests.sockets import configuration

KNOWN = 6.0  # s after which what a silent watch missed counts as told
QUEUE = 1.0  # s that discovery may take to answer
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

    def __init__(self, dial: Callable[[asyncio.Protocol], Coroutine[Any, Any, None]]) -> None:
        self.skip, self.dial = Skip(), dial
        super().__init__(self.skip)

    def time(self) -> float:
        return self.skip.now

    async def create_connection(self, factory: Any, *args: Any, **kwargs: Any) -> Any:  # type: ignore[override]
        await self.dial(factory())


class Line(asyncio.Transport):
    """Discovery's end of a connection."""

    def __init__(self, world: World, protocol: asyncio.Protocol, play: str) -> None:
        super().__init__()
        self.world, self.protocol, self.play, self.open = world, protocol, play, True
        self.begun = 0.0

    def write(self, data: Any) -> None:
        target = bytes(data).split(b" ")[1].decode()
        self.begun = self.world.now
        self.world.asked.append((self.begun, target, self.play))
        if "watch=1" in target:
            getattr(self, self.play)()
        else:
            self.put(self.world.whole(indent=2))
            self.raw(b"0\r\n\r\n")

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.world.loop.call_soon(self.protocol.connection_lost, None)

    def raw(self, data: bytes) -> None:
        if self.open:
            self.protocol.data_received(data)

    def put(self, text: bytes, first: bool = True) -> None:
        self.raw((HEAD if first else b"") + b"%x\r\n%b\r\n" % (len(text), text))

    def at(self, when: float, text: bytes) -> None:
        """A piece of the watch so many seconds after its begin."""
        self.world.loop.call_at(self.begun + when, self.put, text, False)

    def good(self, beats: int = 1000) -> None:
        """The list, then an empty line every 2 s, each late by up to 0.7 s."""
        self.put(self.world.whole())
        for i in range(beats):
            self.at(2.0 * (i + 1) + 0.7 * (i % 2), b"\n")

    def falls(self) -> None:
        """Silent after 4.7 s."""
        self.good(beats=2)

    def trickles(self) -> None:
        """As before, but an object begins then that never ends."""
        self.good(beats=2)
        for i in range(1000):
            self.at(4.71 + 0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ")

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

    def spoilt(self) -> None:
        """A list with a broken object behind it."""
        self.put(self.world.whole() + b'{"revision": 9, "members": [7]}\n{"revision": 10, "members": []}\n')


class World:
    """A node with its discovery, which plays the given calls in turn; the last one goes on for ever."""

    def __init__(
        self, path: Path, must_ask: bool, *plays: str, seed: int = 1, ask_within: float = 10_000.0
    ) -> None:
        self.plays, self.dialled = list(plays), list[float]()
        self.asked = list[tuple[float, str, str]]()  # when, what, and which play answers
        raw = configuration([], 1, rules={"drain-grace": 2000, "answer-slack": 20, "ask-within": ask_within})
        raw["settings"]["discovery"] = "subscribe" if must_ask else "automatic"
        (path / "config.json").write_text(json.dumps(raw | {"seed": f"{seed:x}"}))
        self.config = config.load({"PROXY_CONFIG": str(path / "config.json")})
        self.loop = VirtualLoop(self.dial)

    @property
    def now(self) -> float:
        return self.loop.time()

    async def dial(self, protocol: asyncio.Protocol) -> None:
        self.dialled.append(self.now)
        play = self.plays.pop(0) if len(self.plays) > 1 else self.plays[0]
        if play == "stall":
            await asyncio.Event().wait()
        if play == "refuse":
            raise ConnectionRefusedError("refused")
        protocol.connection_made(Line(self, protocol, play))

    def whole(self, indent: int | None = None) -> bytes:
        """The whole list, some 900 bytes long."""
        rows = [MEMBER | {"id": f"b{i}"} for i in range(12)]
        return json.dumps({"revision": 8, "complete": True, "members": rows}, indent=indent).encode() + b"\n"

    def play(self, seconds: float, meanwhile: Callable[[Discovery], None] = lambda _: None) -> Node:
        """So many seconds of a node's life."""

        async def life() -> Node:
            node = Node(self.config)
            node.now = lambda: self.now * 1000  # type: ignore[method-assign]
            node.discovery = out = Discovery(node, self.config.discovery, 0)
            node.list(self.config.known, ListKind.SAVED)
            if not self.config.settings.must_ask:
                out.watch(True)
            meanwhile(out)
            await asyncio.sleep(seconds)
            out.watch(False)
            await asyncio.sleep(0.1)
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


@pytest.mark.parametrize("must_ask", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("first", ["falls", "trickles"])
@pytest.mark.parametrize(
    ("between", "bound"),
    [((), 3.3), (("refuse",), 3.5), (("busy",), 3.5), (("stall",), 5.0),
     (("mute",), 5.0), (("opens",), 5.0)],
    ids=["nothing", "refused", "busy", "connect stalls", "no answer", "a head and no more"],
)
def test_what_a_silent_watch_missed_is_asked_for_in_time(
    tmp_path: Path, worst: None, must_ask: bool, first: str, between: tuple[str, ...], bound: float
) -> None:
    """Also where `ask-within` makes the module's own wait long."""
    world = World(tmp_path, must_ask, first, *between, "good", ask_within=60_000.0)
    world.play(60)
    late = 0.75 if first == "trickles" else 0.0
    assert 2.7 < world.gap(4.7) < bound + late + 0.01
    assert bound + late < KNOWN and bound + QUEUE <= KNOWN
    assert len(world.dialled) == 2 + len(between)  # and no call more


@pytest.mark.parametrize("must_ask", [False, True])
def test_waits_still_double_when_discovery_stays_away(tmp_path: Path, must_ask: bool) -> None:
    for seed in range(5):
        random.seed(seed)
        world = World(tmp_path, must_ask, "falls", "refuse", seed=seed)
        world.play(120)
        # Pushed: up to 3 s between two tries; asked: the module's waits, up to 30 s.
        assert len(world.dialled) < (90 if not must_ask else 25)
        assert len([t for t in world.dialled if t > 60]) > 2


def test_a_sound_watch_is_left_alone_though_the_node_stands_still(tmp_path: Path) -> None:
    """Guards against a timer that judges before what has come is read."""
    world = World(tmp_path, False, "good")

    def hold_up(discovery: Discovery) -> None:
        def stands_still() -> None:
            world.loop.skip.now += 5.0
            assert discovery.call is not None and discovery.call.transport is not None
            line = cast(Line, discovery.call.transport)
            world.loop.call_later(0.01, line.put, b"\n", False)

        world.loop.call_later(3.0, stands_still)

    world.play(600, hold_up)
    assert len(world.dialled) == 1


def test_a_long_list_that_really_arrives_is_taken_after_few_tries(tmp_path: Path) -> None:
    world = World(tmp_path, False, "slow")
    node = world.play(60)
    assert node.ready and len(node.pool.hosts) == 12
    assert len([t for t, _, _ in world.asked if t < 22]) == 3


@pytest.mark.parametrize("must_ask", [False, True])
def test_lists_that_come_broken_make_no_storm_and_no_flood(
    tmp_path: Path, must_ask: bool, caplog: pytest.LogCaptureFixture
) -> None:
    world = World(tmp_path, must_ask, "spoilt")
    node = world.play(60)
    assert node.ready
    assert 20 <= len(world.asked) <= 120
    assert {target for _, target, _ in world.asked} == {"/discovery/hosts?watch=1&from=0"}
    assert 5 <= sum("bad list" in line for line in caplog.messages) <= 7


def test_the_whole_list_may_come_indented(tmp_path: Path) -> None:
    world = World(tmp_path, True, "good")
    node = world.play(0.2, lambda d: d.fetch())
    assert world.asked[0][1] == "/discovery/hosts" and len(node.pool.hosts) == 12
