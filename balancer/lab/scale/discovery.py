"""Scale measurements of discovery on loopback: a stub that serves calls one at a time, and many watches."""

from __future__ import annotations

import asyncio
import itertools
import math
import resource
import statistics
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import cast

import uvloop

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.lab.scale.points import NotPlayed, Play, Point
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.discovery import DiscoveryClient
from balancer.net.endpoints import EndpointUpdate
from balancer.net.node import Node
from balancer.settings import parse_settings

WATCHER_COUNTS = (40, 80, 160, 320, round(size.NODES / size.CONTROL_MACHINES), 800)
QUICK_WATCHER_COUNTS = (10, 20, 40)
BURST_SIZES = (1, size.RACK_MACHINES, 400, 2_000, size.BACKENDS_PER_ZONE)
QUICK_BURST_SIZES = (1, size.RACK_MACHINES, 400)
LIST_ENTRIES = 200
EVENTS_PER_DAY = size.CONFIG_CHANGES_PER_DAY + size.RESTARTS_PER_DAY
STREAM_WATCHERS = 4
MAX_LINES_AHEAD = 200  # The sender waits for the slowest watcher after every 200 lines.
BROADCASTS = 40
CALL_SERVICE_S = 0.004  # The stub serves a call in 4 ms, as the platform's discovery does.
CALL_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 2.0
CONVERGENCE_TIMEOUT_S = 40.0
SPARE_DESCRIPTORS = 100  # Besides the watches, the process needs up to 100 file descriptors.
MEASURED_BURSTS = 6

LIMITS = (
    "A watcher is the discovery client of a node without the rest of it: no decision module, no connection "
    "pool and no clients. All watchers and the stub share one process, so the processor time of a delivery "
    "includes both ends. The stub serves one call at a time, in 4 ms each, and fails calls that waited over "
    "1 s; its list has 200 entries. A change of the configuration is simulated by a line with one entry, as "
    "the protocol has no message for it."
)


class DiscoveryCall(asyncio.Protocol):
    """A call received by the discovery stub."""

    transport: asyncio.Transport

    def __init__(self, stub: SerialDiscoveryStub) -> None:
        """Create a call that belongs to a stub."""
        self.stub, self.open = stub, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Queue the call, whose request arrives in a single piece (asyncio)."""
        self.stub.call(self, b"from=0 " in data)

    def chunk(self, data: bytes) -> None:
        """Send a line as one HTTP chunk."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the watch (asyncio)."""
        self.stub.watches.pop(self, None)


@dataclass
class SerialDiscoveryStub:
    """A discovery stub that serves one call at a time and sends each line to all watches."""

    snapshot: bytes
    watches: dict[DiscoveryCall, None] = field(default_factory=dict)
    queue: deque[tuple[float, DiscoveryCall, bool]] = field(default_factory=deque)
    calls: int = 0
    failed: int = 0
    sent_bytes: int = 0
    heartbeat: asyncio.TimerHandle | None = None

    def call(self, discovery_call: DiscoveryCall, wants_snapshot: bool) -> None:
        """Queue a call, which may ask for a snapshot."""
        loop = asyncio.get_running_loop()
        self.calls += 1
        self.queue.append((loop.time(), discovery_call, wants_snapshot))
        if len(self.queue) == 1:
            loop.call_later(CALL_SERVICE_S, self._complete_call)

    def _complete_call(self) -> None:
        loop = asyncio.get_running_loop()
        queued_at, discovery_call, wants_snapshot = self.queue.popleft()
        if loop.time() - queued_at > CALL_TIMEOUT_S:
            self.failed += 1
            discovery_call.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif not discovery_call.transport.is_closing():
            discovery_call.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            discovery_call.chunk(self.snapshot if wants_snapshot else b"\n")
            self.sent_bytes += len(self.snapshot) * wants_snapshot
            self.watches[discovery_call] = None
        if self.queue:
            loop.call_later(CALL_SERVICE_S, self._complete_call)

    def broadcast(self, line: bytes) -> None:
        """Send a line to all watches."""
        for watch in self.watches:
            watch.chunk(line)
        self.sent_bytes += len(line) * len(self.watches)

    def send_heartbeat(self) -> None:
        """Send an empty line to all watches as a heartbeat, and schedule the next."""
        for watch in self.watches:
            watch.chunk(b"\n")
        self.heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)


@dataclass(slots=True, frozen=True)
class StubNodeConfig:
    """The part of a node's configuration that a watch of the list needs."""

    memory_mb: float = 192.0


@dataclass
class StubNode:
    """A stub for a node that counts what its watch of the list receives."""

    settings: api.Settings
    scheduler: CooperativeScheduler
    config: StubNodeConfig = StubNodeConfig()
    fleet: None = None
    snapshots: int = 0
    lines: int = 0
    entries: int = 0
    failed: int = 0

    def member(self, name: str) -> None:
        """Ignore that a list is in force."""

    def update_endpoints(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Count a snapshot or a change."""
        self.snapshots += kind is api.ListUpdateKind.SNAPSHOT
        self.lines += kind is api.ListUpdateKind.DELTA
        self.entries += len(update.members)

    def endpoints_unchanged(self) -> None:
        """Ignore a heartbeat."""

    def discovery_failed(self) -> None:
        """Count a failed call."""
        self.failed += 1


class Watchers:
    """Watchers with stub nodes, all connected to one discovery stub."""

    def __init__(self, count: int, stub: SerialDiscoveryStub) -> None:
        """Create the watchers without connecting them."""
        self.count, self.stub = count, stub
        self.settings = parse_settings(generated_inputs.raw_settings(LIST_ENTRIES))
        self.nodes: list[StubNode] = []
        self.discoveries: list[DiscoveryClient] = []
        self.revisions = itertools.count(2)

    async def start(self) -> None:
        """Start the discovery stub, and let all watchers connect at the same time."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: DiscoveryCall(self.stub), "127.0.0.1", 0, backlog=2 * self.count
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        self.stub.send_heartbeat()
        for _ in range(self.count):
            self.nodes.append(StubNode(self.settings, CooperativeScheduler(loop)))
            self.discoveries.append(self._connect(self.nodes[-1]))

    def _connect(self, node: StubNode) -> DiscoveryClient:
        out = DiscoveryClient(cast(Node, node), self.address, 0)
        out.watch(True)
        return out

    def restart(self, number: int) -> None:
        """Replace a watcher by one without state, which connects again."""
        self.discoveries[number].watch(False)
        self.nodes[number] = StubNode(self.settings, CooperativeScheduler(asyncio.get_running_loop()))
        self.discoveries[number] = self._connect(self.nodes[number])

    async def wait_for_all(self, done: Callable[[StubNode], bool]) -> None:
        """Wait until all watchers are done.

        Raises:
            TimeoutError: Some watcher was not done within CONVERGENCE_TIMEOUT_S.
        """
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while not all(done(node) for node in self.nodes):
                await asyncio.sleep(0.002)

    def encode_change(self, count: int) -> bytes:
        """Encode a line that changes `count` list entries."""
        revision = next(self.revisions)
        phase = api.EndpointPhase.DRAINING if revision % 2 else api.EndpointPhase.IN_SERVICE
        return generated_inputs.encode_update(
            [generated_inputs.entry(n, phase) for n in range(count)], revision, False
        )

    async def broadcast(self, line: bytes) -> float:
        """Send a line to all watchers, wait until all received it, and return the processor time in us."""
        wanted, started_at = self.nodes[0].lines + 1, time.process_time()
        self.stub.broadcast(line)
        await self.wait_for_all(lambda node: node.lines >= wanted)
        return (time.process_time() - started_at) * 1e6

    async def stop(self) -> None:
        """Close the watches and the discovery stub."""
        if self.stub.heartbeat is not None:
            self.stub.heartbeat.cancel()
        for client in self.discoveries:
            client.watch(False)
        self.server.close()
        await asyncio.sleep(0.05)


def _has_descriptors(watchers: int) -> bool:
    """Return whether the process may open the descriptors for both ends of all watches."""
    return 2 * watchers + SPARE_DESCRIPTORS <= resource.getrlimit(resource.RLIMIT_NOFILE)[0]


async def play_watchers(count: int) -> list[Point]:
    """Measure a simultaneous join, broadcast changes, and the restart of a tenth of the watchers."""
    stub = SerialDiscoveryStub(
        generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True)
    )
    watchers = Watchers(count, stub)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await watchers.start()
    try:
        await watchers.wait_for_all(lambda node: node.snapshots > 0)
        join_s, calls, failed = loop.time() - started_at, stub.calls, stub.failed
        sent_before = stub.sent_bytes
        lines = [watchers.encode_change(1) for _ in range(BROADCASTS)]
        durations_us = [await watchers.broadcast(line) for line in lines]
        sent_bytes = stub.sent_bytes - sent_before
        started_at, before, restarted_count = loop.time(), stub.calls, math.ceil(count / 10)
        for number in range(restarted_count):
            watchers.restart(number)
        await watchers.wait_for_all(lambda node: node.snapshots > 0)
        reconnect_s = loop.time() - started_at
    finally:
        await watchers.stop()
    figures = [
        ("join", "ms", join_s * 1000, False),
        ("join_calls", "calls", float(calls), False),
        ("join_failed", "calls", float(failed), False),
        ("delivery", "us", statistics.median(durations_us) / count, False),
        ("tell", "ms", statistics.median(durations_us) / 1000, False),
        ("told", "bytes", sent_bytes / BROADCASTS, True),
        ("tenth_restarts", "ms", reconnect_s * 1000, False),
        ("tenth_calls", "calls", float(stub.calls - before), False),
    ]
    return [Point("discovery", name, unit, count, value, exact) for name, unit, value, exact in figures]


async def play_bursts(sizes: tuple[int, ...]) -> list[Point]:
    """Measure the bytes and processor time of lines that change many entries, such as a rack or a zone."""
    watchers = Watchers(
        1,
        SerialDiscoveryStub(generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True)),
    )
    await watchers.start()
    out = []
    try:
        await watchers.wait_for_all(lambda node: node.snapshots > 0)
        for count in sizes:
            lines = [watchers.encode_change(count) for _ in range(MEASURED_BURSTS)]
            durations_us = [await watchers.broadcast(line) for line in lines]
            out.append(Point("burst", "line", "bytes", count, float(len(lines[0])), True))
            out.append(Point("burst", "delivery", "us", count, statistics.median(durations_us), False))
    finally:
        await watchers.stop()
    return out


async def play_day(events: int) -> list[Point]:
    """Measure the bytes and processor time of one day's changes, sent without pauses."""
    stub = SerialDiscoveryStub(
        generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True)
    )
    watchers = Watchers(STREAM_WATCHERS, stub)
    await watchers.start()
    out = []
    marks = [events * part // 16 for part in (1, 2, 4, 8, 16)]
    try:
        await watchers.wait_for_all(lambda node: node.snapshots > 0)
        started_at, sent_before = time.process_time(), stub.sent_bytes
        for number in range(1, events + 1):
            stub.broadcast(watchers.encode_change(1))
            if number % MAX_LINES_AHEAD == 0 or number in marks:
                await watchers.wait_for_all(lambda node, number=number: node.lines >= number)  # type: ignore[misc]
            if number in marks:
                spent = (time.process_time() - started_at) * 1000 / STREAM_WATCHERS
                sent_bytes = (stub.sent_bytes - sent_before) / STREAM_WATCHERS
                out.append(Point("day", "stream", "bytes", number, sent_bytes, True))
                out.append(Point("day", "processor", "ms", number, spent, False))
        if any(node.lines != events for node in watchers.nodes):
            raise ValueError("a watcher did not receive all changes of the day; the figures are invalid")
    finally:
        await watchers.stop()
    return out


def plays(quick: bool) -> list[Play]:
    """Return the plays of discovery."""
    counts, bursts = (QUICK_WATCHER_COUNTS, QUICK_BURST_SIZES) if quick else (WATCHER_COUNTS, BURST_SIZES)
    events = EVENTS_PER_DAY // 20 if quick else EVENTS_PER_DAY

    def discovery(_: int) -> Iterator[Point | NotPlayed]:
        for count in counts:
            if not _has_descriptors(count):
                yield NotPlayed(f"discovery at {count}", "the process may not open enough descriptors")
                continue
            try:
                yield from uvloop.run(play_watchers(count))
            except TimeoutError:
                yield NotPlayed(
                    f"discovery at {count}",
                    f"not all watchers received the list, or a change, within {CONVERGENCE_TIMEOUT_S:g} s",
                )

    return [
        Play("discovery", discovery, size.NODES, LIMITS),
        Play("burst", lambda _: uvloop.run(play_bursts(bursts)), size.BACKENDS_PER_ZONE, LIMITS),
        Play("day", lambda _: uvloop.run(play_day(events)), EVENTS_PER_DAY, LIMITS),
    ]
