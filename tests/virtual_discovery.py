"""Simulate discovery in virtual time, with a scripted behaviour for each call of a node."""

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

# A change must be received RECEIPT_DEADLINE_S after discovery has it, even if earlier calls have failed.
RECEIPT_DEADLINE_S = 6.0
# The list must be received ADDRESS_CHANGE_DEADLINE_S after SIGHUP names a new address of discovery.
ADDRESS_CHANGE_DEADLINE_S = 4.0
# Discovery may take up to MAX_ANSWER_DELAY_S to answer a call.
MAX_ANSWER_DELAY_S = 1.0
# Discovery fails a call that waits in its queue for longer than MAX_QUEUE_TIME_S.
MAX_QUEUE_TIME_S = 2.0
NEW_REVISION = 9
OLD_ADDRESS = ("127.0.0.1", 1)
NEW_ADDRESS = ("127.0.0.2", 2)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
MEMBER_ROW = {"id": "b0", "host_port": "127.0.0.1:9", "phase": "in_service"}


WATCHING_AND_POLLING = pytest.mark.parametrize("must_subscribe", [False, True], ids=["watching", "polling"])
"""Run a test with a watch, and with a decision module that polls discovery itself."""


class Request(NamedTuple):
    """A request that discovery received, at this time in seconds."""

    at: float
    target: str
    behaviour: str


class AppliedUpdate(NamedTuple):
    """An update that the node received, at this time in seconds."""

    at: float
    revision: int


class VirtualClockSelector(selectors.DefaultSelector):
    """A selector that advances a virtual clock to the next timer instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "the event loop has no timer left, so it would wait forever"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock, whose connections are made by a function of the test."""

    def __init__(self, dial: Callable[[asyncio.Protocol, Address], Coroutine[Any, Any, None]]) -> None:
        self.clock_selector = VirtualClockSelector()
        self.dial = dial
        super().__init__(self.clock_selector)

    def time(self) -> float:
        return self.clock_selector.now

    def stall(self, seconds: float) -> None:
        """Advance the clock without running any callback, like a process that gets no CPU time."""
        self.clock_selector.now += seconds

    async def create_connection(self, factory: Any, *args: Any, **kwargs: Any) -> Any:  # type: ignore[override]
        await self.dial(factory(), (args[0], args[1]))


class DiscoveryConnection(asyncio.Transport):
    """Discovery's end of a connection, whose methods are the behaviours that a test can script."""

    def __init__(self, sim: DiscoverySimulation, protocol: asyncio.Protocol, behaviour: str) -> None:
        super().__init__()
        self.sim = sim
        self.protocol = protocol
        self.behaviour = behaviour
        self.is_open = True
        self.opened_at = sim.now
        self.closed_at = math.inf
        # Data that is held back while the node has paused reading.
        self.paused_data: list[bytes] | None = None
        sim.connections.append(self)

    def write(self, data: Any) -> None:
        target = bytes(data).split(b" ")[1].decode()
        self.opened_at = self.sim.now
        self.sim.requests.append(Request(self.opened_at, target, self.behaviour))
        if "watch=1" in target:
            getattr(self, self.behaviour)()
        else:
            self.send_chunk(self.sim.complete_list(indent=2))
            self.send_raw(LAST_CHUNK)

    def was_open_at(self, when: float) -> bool:
        return self.opened_at <= when < self.closed_at

    def abort(self) -> None:
        if self.is_open:
            self.is_open = False
            self.closed_at = self.sim.now
            self.sim.loop.call_soon(self.protocol.connection_lost, None)

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
            self.sim.loop.call_soon(self.send_raw, data)

    def send_raw(self, data: bytes) -> None:
        if self.is_open and self.paused_data is not None:
            self.paused_data.append(data)
        elif self.is_open:
            self.protocol.data_received(data)

    def send_chunk(self, text: bytes, first: bool = True) -> None:
        self.send_raw((RESPONSE_HEAD if first else b"") + b"%x\r\n%b\r\n" % (len(text), text))

    def send_chunk_at(self, when: float, text: bytes, first: bool = False) -> None:
        """Send a chunk at a time in seconds from the opening of the connection."""
        self.sim.loop.call_at(self.opened_at + when, self.send_chunk, text, first)

    def healthy(self, empty_line_count: int = 1000) -> None:
        """Send the list, then an empty line every 2 s, every other one 0.7 s late."""
        self.send_chunk(self.sim.complete_list())
        self.send_empty_lines(0.0, empty_line_count)

    def send_empty_lines(self, since: float, empty_line_count: int = 1000) -> None:
        """Send an empty line every 2 s, every other one 0.7 s late."""
        for i in range(empty_line_count):
            self.send_chunk_at(since + 2.0 * (i + 1) + 0.7 * (i % 2), b"\n")

    def answers_late(self) -> None:
        """Send a newer list after `queue_time` seconds."""
        self.send_chunk_at(self.sim.queue_time, self.sim.complete_list(revision=NEW_REVISION), first=True)
        self.send_empty_lines(self.sim.queue_time)

    def goes_silent(self) -> None:
        """Send the list and two empty lines, the last one at 4.7 s, and nothing after that."""
        self.healthy(empty_line_count=2)

    def sends_incomplete_event(self) -> None:
        """Send the list and two empty lines, then an object that never ends."""
        self.healthy(empty_line_count=2)
        for i in range(1000):
            self.send_chunk_at(4.71 + 0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ")

    def endless_object(self) -> None:
        """Send an object that never ends as the only response."""
        for i in range(1000):
            self.send_chunk_at(0.3 * i, b'{"revision": 9, "complete"' if i == 0 else b" ", first=i == 0)

    def list_only(self) -> None:
        """Send the list and nothing after it."""
        self.healthy(empty_line_count=0)

    def resets(self) -> None:
        """Send the list and abort the connection."""
        self.healthy(empty_line_count=0)
        self.abort()

    def closes_later(self) -> None:
        """Send the list and end the response after 1.9 s."""
        self.healthy(empty_line_count=0)
        self.sim.loop.call_at(self.opened_at + 1.9, self.send_raw, LAST_CHUNK)

    def closes_without_event(self) -> None:
        """Send an event without changes, and end the response after 1.2 s instead of sending another one."""
        self.send_chunk(b'{"revision": 0, "complete": false, "members": []}\n')
        self.sim.loop.call_at(self.opened_at + 1.2, self.send_raw, LAST_CHUNK)

    def two_lists(self) -> None:
        """Send two lists in one chunk."""
        self.send_chunk(self.sim.complete_list() + self.sim.complete_list(revision=NEW_REVISION))

    def not_http(self) -> None:
        """Send a greeting of another protocol than HTTP."""
        self.send_raw(b"220 mail.example.com ESMTP\r\n")

    def no_response(self) -> None:
        """Send nothing."""

    def headers_only(self) -> None:
        """Send the headers of a response without a body."""
        self.send_raw(RESPONSE_HEAD)

    def rejects(self) -> None:
        """Reject the call with status 503."""
        self.send_raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    def slow_list(self) -> None:
        """Send a list in pieces over 9 s."""
        text = self.sim.complete_list()
        self.send_chunk(text[:9])
        for i in range(1, 91):
            self.send_chunk_at(i / 10, text[9 * i : 9 * (i + 1) if i < 90 else None])
        self.send_empty_lines(9.0)

    def malformed_list(self) -> None:
        """Send a list followed by a malformed event."""
        events = b'{"revision": 9, "members": [7]}\n{"revision": 10, "members": []}\n'
        self.send_chunk(self.sim.complete_list() + events)


class DiscoverySimulation:
    """A node and its discovery, which gives each call the next scripted behaviour and repeats the last one.

    A call that is dialled at `recovers_at` or later is answered after `queue_time` seconds instead.
    """

    def __init__(
        self,
        path: Path,
        must_subscribe: bool,
        *behaviours: str,
        seed: int = 1,
        list_max_age_ms: float = 10_000.0,
        recovers_at: float = math.inf,
        queue_time: float = MAX_QUEUE_TIME_S,
    ) -> None:
        self.behaviours = list(behaviours)
        self.recovers_at = recovers_at
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
        if self.now >= self.recovers_at:
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
        """Return a complete list of twelve members in some 900 bytes."""
        rows = [MEMBER_ROW | {"id": f"b{i}"} for i in range(12)]
        table = {"revision": revision, "complete": True, "members": rows}
        return json.dumps(table, indent=indent).encode() + b"\n"

    def node(self, node_config: config.Config) -> Node:
        """Start a node and its watch as the program does."""
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
        """Run a node for a number of seconds; `begin` is called with its discovery client at the start."""

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
        """Return the seconds from `silent_at` in the first watch to the next answered call."""
        first, *later = self.requests
        return next(request.at for request in later if request.behaviour == "healthy") - first.at - silent_at


@pytest.fixture
def longest_draws(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Make the node draw the largest value of each range."""
    monkeypatch.setattr(random, "uniform", lambda least, most: most)
    yield


@pytest.fixture
def all_longest_draws(longest_draws: None, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Make the node and the decision module draw the largest value of each range."""
    monkeypatch.setattr(random.Random, "uniform", lambda self, least, most: most)
    yield
