"""Discovery and the connections of a node in virtual time: scripted behaviours, one for each call."""

from __future__ import annotations

import asyncio
import json
import math
import random
import selectors
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, NamedTuple, cast

import pytest

from balancer.interface import ListUpdateKind
from balancer.net import config
from balancer.net.discovery import DiscoveryClient
from balancer.net.endpoints import Address, EndpointUpdate
from balancer.net.node import Node
from tests.sockets import node_config

RECEIVED_AFTER_S = 6.0  # after which what discovery has counts as received, whatever became of earlier calls
RECEIVED_AFTER_MOVE_S = 4.0  # likewise, from SIGHUP on
ANSWER_DELAY_S = 1.0  # that discovery may take to answer
MAX_QUEUE_TIME_S = 2.0  # that a call waits in discovery's queue; then it fails
NEW_REVISION = 9
OLD_ADDRESS = ("127.0.0.1", 1)
NEW_ADDRESS = ("127.0.0.2", 2)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
MEMBER_ROW = {"id": "b0", "host_port": "127.0.0.1:9", "phase": "in_service"}


WATCHING_AND_POLLING = pytest.mark.parametrize("must_subscribe", [False, True], ids=["watching", "polling"])
"""Whether the decision module polls discovery by itself."""


class Request(NamedTuple):
    """A request that discovery got."""

    at: float
    target: str
    behaviour: str


class AppliedUpdate(NamedTuple):
    """An update that the node got."""

    at: float
    revision: int


class SkippingSelector(selectors.DefaultSelector):
    """Does not wait: its clock jumps to the next timer."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is left to happen"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop with a virtual clock, whose connections the test makes."""

    def __init__(self, dial: Callable[[asyncio.Protocol, Address], Coroutine[Any, Any, None]]) -> None:
        self.skipping_selector = SkippingSelector()
        self.dial = dial
        super().__init__(self.skipping_selector)

    def time(self) -> float:
        return self.skipping_selector.now

    def stall(self, seconds: float) -> None:
        """Advance the clock without running anything, as a process that gets no processor."""
        self.skipping_selector.now += seconds

    async def create_connection(self, factory: Any, *args: Any, **kwargs: Any) -> Any:  # type: ignore[override]
        await self.dial(factory(), (args[0], args[1]))


class DiscoveryConnection(asyncio.Transport):
    """Discovery's end of a connection."""

    def __init__(self, world: DiscoveryWorld, protocol: asyncio.Protocol, behaviour: str) -> None:
        super().__init__()
        self.world = world
        self.protocol = protocol
        self.behaviour = behaviour
        self.is_open = True
        self.opened_at = world.now
        self.closed_at = math.inf
        self.paused_data: list[bytes] | None = None  # while the node does not read
        world.connections.append(self)

    def write(self, data: Any) -> None:
        target = bytes(data).split(b" ")[1].decode()
        self.opened_at = self.world.now
        self.world.requests.append(Request(self.opened_at, target, self.behaviour))
        if "watch=1" in target:
            getattr(self, self.behaviour)()
        else:
            self.send_chunk(self.world.complete_list(indent=2))
            self.send_raw(LAST_CHUNK)

    def was_open_at(self, when: float) -> bool:
        return self.opened_at <= when < self.closed_at

    def abort(self) -> None:
        if self.is_open:
            self.is_open = False
            self.closed_at = self.world.now
            self.world.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return not self.is_open

    def pause_reading(self) -> None:
        assert self.paused_data is None
        self.paused_data = []

    def resume_reading(self) -> None:
        assert self.paused_data is not None
        paused_data = self.paused_data
        self.paused_data = None
        for data in paused_data:
            self.world.loop.call_soon(self.send_raw, data)

    def send_raw(self, data: bytes) -> None:
        if self.is_open and self.paused_data is not None:
            self.paused_data.append(data)
        elif self.is_open:
            self.protocol.data_received(data)

    def send_chunk(self, text: bytes, first: bool = True) -> None:
        self.send_raw((RESPONSE_HEAD if first else b"") + b"%x\r\n%b\r\n" % (len(text), text))

    def send_chunk_at(self, when: float, text: bytes, first: bool = False) -> None:
        """Send a chunk so many seconds after the connection was opened."""
        self.world.loop.call_at(self.opened_at + when, self.send_chunk, text, first)

    def healthy(self, beats: int = 1000) -> None:
        """Send the list, then an empty line every 2 s, each late by up to 0.7 s."""
        self.send_chunk(self.world.complete_list())
        self.send_empty_lines(0.0, beats)

    def send_empty_lines(self, since: float, beats: int = 1000) -> None:
        """Send an empty line every 2 s, every other one late by 0.7 s."""
        for i in range(beats):
            self.send_chunk_at(since + 2.0 * (i + 1) + 0.7 * (i % 2), b"\n")

    def answers_late(self) -> None:
        """Send a newer list, after `queue_time`."""
        self.send_chunk_at(self.world.queue_time, self.world.complete_list(revision=NEW_REVISION), first=True)
        self.send_empty_lines(self.world.queue_time)

    def goes_silent(self) -> None:
        """Send the list and two empty lines; silent after 4.7 s."""
        self.healthy(beats=2)

    def trickles(self) -> None:
        """As `goes_silent`, but an object begins then that never ends."""
        self.healthy(beats=2)
        for i in range(1000):
            self.send_chunk_at(4.71 + 0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ")

    def endless_object(self) -> None:
        """Send an object that never ends, from the beginning."""
        for i in range(1000):
            self.send_chunk_at(0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ", first=i == 0)

    def list_only(self) -> None:
        """Send the list and no more."""
        self.healthy(beats=0)

    def resets(self) -> None:
        """Send the list and reset the connection."""
        self.healthy(beats=0)
        self.abort()

    def closes_later(self) -> None:
        """Send the list and end the response 1.9 s later."""
        self.healthy(beats=0)
        self.world.loop.call_at(self.opened_at + 1.9, self.send_raw, LAST_CHUNK)

    def closes_without_event(self) -> None:
        """Send an event without changes, and end the response 1.2 s later instead of sending the next one."""
        self.send_chunk(b'{"revision": 0, "complete": false, "members": []}\n')
        self.world.loop.call_at(self.opened_at + 1.2, self.send_raw, LAST_CHUNK)

    def two_lists(self) -> None:
        """Send two lists in one chunk."""
        self.send_chunk(self.world.complete_list() + self.world.complete_list(revision=NEW_REVISION))

    def not_http(self) -> None:
        """Send something that is no HTTP."""
        self.send_raw(b"220 mail.example.com ESMTP\r\n")

    def no_response(self) -> None:
        """Send nothing."""

    def headers_only(self) -> None:
        """Send the head of a response and no body."""
        self.send_raw(RESPONSE_HEAD)

    def rejects(self) -> None:
        """Reject the call."""
        self.send_raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    def slow_list(self) -> None:
        """Send a list that takes 9 s to arrive."""
        text = self.world.complete_list()
        self.send_chunk(text[:9])
        for i in range(1, 91):
            self.send_chunk_at(i / 10, text[9 * i : 9 * (i + 1) if i < 90 else None])
        self.send_empty_lines(9.0)

    def malformed_list(self) -> None:
        """Send a list with a malformed event behind it."""
        events = b'{"revision": 9, "members": [7]}\n{"revision": 10, "members": []}\n'
        self.send_chunk(self.world.complete_list() + events)


class DiscoveryWorld:
    """A node with its discovery, which gives each call the next behaviour; the last one is repeated.

    From `back` on discovery is healthy, and each call dialled from then on is answered `queue_time` s later.
    """

    def __init__(
        self,
        path: Path,
        must_subscribe: bool,
        *behaviours: str,
        seed: int = 1,
        list_max_age_ms: float = 10_000.0,
        back: float = math.inf,
        queue_time: float = MAX_QUEUE_TIME_S,
    ) -> None:
        self.behaviours = list(behaviours)
        self.back = back
        self.queue_time = queue_time
        self.dialled_at = list[float]()
        self.dialled_addresses = list[Address]()
        self.connections = list[DiscoveryConnection]()
        self.requests = list[Request]()
        self.updates = list[AppliedUpdate]()
        raw = node_config(
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
        self.dialled_at.append(self.now)
        self.dialled_addresses.append(address)
        behaviour = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
        if self.now >= self.back:
            behaviour = "answers_late"
        if behaviour == "connect_stalls":
            await asyncio.Event().wait()
        if behaviour == "connection_refused":
            raise ConnectionRefusedError("refused")
        if behaviour == "connects_late":
            await asyncio.sleep(1.0)
            behaviour = "healthy"
        protocol.connection_made(DiscoveryConnection(self, protocol, behaviour))

    def complete_list(self, indent: int | None = None, revision: int = 8) -> bytes:
        """Return a complete list of twelve members, some 900 bytes long."""
        rows = [MEMBER_ROW | {"id": f"b{i}"} for i in range(12)]
        table = {"revision": revision, "complete": True, "members": rows}
        return json.dumps(table, indent=indent).encode() + b"\n"

    def node(self, node_config: config.Config) -> Node:
        """Return a node with its watch, started as the program starts it."""
        node = Node(node_config)
        node.now = lambda: self.now * 1000  # type: ignore[method-assign]
        client = DiscoveryClient(node, node_config.discovery, 0)
        node.discovery = client
        apply = node.update_endpoints

        def record(update: EndpointUpdate, kind: ListUpdateKind) -> None:
            self.updates.append(AppliedUpdate(self.now, update.revision))
            apply(update, kind)

        node.update_endpoints = record  # type: ignore[method-assign]
        node.update_endpoints(node_config.initial_list, ListUpdateKind.CACHED)
        if not node_config.settings.must_subscribe:
            client.watch(True)
        return node

    def run(self, seconds: float, begin: Callable[[DiscoveryClient], None] = lambda _: None) -> Node:
        """Run a node for so many seconds; `begin` is called at its start."""

        async def run_node() -> Node:
            node = self.node(self.config)
            client = cast(DiscoveryClient, node.discovery)
            begin(client)
            await asyncio.sleep(seconds)
            client.watch(False)
            assert (client.watch_call, client.retry_timer, client.slow_call) == (None, None, None)
            await asyncio.sleep(0.1)
            assert not any(connection.is_open for connection in self.connections)
            return node

        try:
            return self.loop.run_until_complete(run_node())
        finally:
            self.loop.close()

    def recovery_time(self, silent_at: float) -> float:
        """Return the seconds from the last event of the first watch to the next answered call."""
        first, *later = self.requests
        return next(request.at for request in later if request.behaviour == "healthy") - first.at - silent_at


@pytest.fixture
def longest_draws(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let all draws of the node be the largest ones."""
    monkeypatch.setattr(random, "uniform", lambda least, most: most)
    yield


@pytest.fixture
def all_longest_draws(longest_draws: None, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let all draws of node and decision module be the largest ones."""
    monkeypatch.setattr(random.Random, "uniform", lambda self, least, most: most)
    yield
