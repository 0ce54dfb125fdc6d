"""Discovery on loopback: one stub that handles calls in turn, hundreds of watches."""

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

WATCHERS = (40, 80, 160, 320, round(size.NODES / size.CONTROL_MACHINES), 800)
QUICK_WATCHERS = (10, 20, 40)
BURSTS = (1, size.RACK_MACHINES, 400, 2_000, size.BACKENDS_PER_ZONE)  # entries that one line changes
QUICK_BURSTS = (1, size.RACK_MACHINES, 400)
LIST_ENTRIES = 200  # entries of the whole list that watchers are told
EVENTS_PER_DAY = size.CONFIG_CHANGES_PER_DAY + size.RESTARTS_PER_DAY
STREAM_WATCHERS = 4
MAX_LINES_AHEAD = 200  # lines that are sent before the last watcher is waited for
BROADCASTS = 40  # changes told to all, one after the other
CALL_SERVICE_S = 0.004  # s of a call's work, as the platform's discovery has it
CALL_TIMEOUT_S = 1.0  # s that a call may wait before it fails
HEARTBEAT_INTERVAL_S = 2.0  # s between two empty lines of a watch
CONVERGENCE_TIMEOUT_S = 40.0  # s for all watchers to have come as far
SPARE_DESCRIPTORS = 100  # descriptors for all but the watches
MEASURED_BURSTS = 6  # bursts of each size, the median counts

LIMITS = (
    "A watcher is the very Discovery and Call of a node with nothing behind it: no module, no pool, no "
    "clients. All of them and the stub are one process, so the processor time of a delivery holds both "
    "ends. The stub takes calls in turn, 4 ms each, and fails what waits over 1 s; its list has 200 "
    "entries. A change of the configuration is played as a line with one entry, as today's protocol has no "
    "other word for it."
)


class DiscoveryCall(asyncio.Protocol):
    """A call at the stub."""

    transport: asyncio.Transport

    def __init__(self, directory: Directory) -> None:
        """Prepare a call of a directory."""
        self.directory, self.open = directory, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Queue a call, which is one small piece (asyncio)."""
        self.directory.call(self, b"from=0 " in data)

    def chunk(self, data: bytes) -> None:
        """Send a line, or an empty one."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the watch."""
        self.directory.watches.pop(self, None)


@dataclass
class Directory:
    """The stub: handles calls in turn, sends a line to all watches."""

    snapshots: bytes
    watches: dict[DiscoveryCall, None] = field(default_factory=dict)
    queue: deque[tuple[float, DiscoveryCall, bool]] = field(default_factory=deque)
    calls: int = 0
    failed: int = 0
    sent: int = 0  # bytes of lists and changes
    heartbeat: asyncio.TimerHandle | None = None

    def call(self, who: DiscoveryCall, anew: bool) -> None:
        """Queue a call."""
        loop = asyncio.get_running_loop()
        self.calls += 1
        self.queue.append((loop.time(), who, anew))
        if len(self.queue) == 1:
            loop.call_later(CALL_SERVICE_S, self._handled)

    def _handled(self) -> None:
        loop = asyncio.get_running_loop()
        came, who, anew = self.queue.popleft()
        if loop.time() - came > CALL_TIMEOUT_S:
            self.failed += 1
            who.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif not who.transport.is_closing():
            who.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            who.chunk(self.snapshots if anew else b"\n")
            self.sent += len(self.snapshots) * anew
            self.watches[who] = None
        if self.queue:
            loop.call_later(CALL_SERVICE_S, self._handled)

    def broadcast(self, line: bytes) -> None:
        """Send a line to all watches."""
        for watch in self.watches:
            watch.chunk(line)
        self.sent += len(line) * len(self.watches)

    def send_heartbeat(self) -> None:
        """Send an empty line to all as a heartbeat, and plan the next."""
        for watch in self.watches:
            watch.chunk(b"\n")
        self.heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)


@dataclass(slots=True, frozen=True)
class HollowConfig:
    """What a watch of the list needs of a node's configuration."""

    memory_mb: float = 192.0


@dataclass
class HollowNode:
    """What a watch of the list needs of a node."""

    settings: api.Settings
    scheduler: CooperativeScheduler
    config: HollowConfig = HollowConfig()
    fleet: None = None
    snapshots: int = 0  # lists
    lines: int = 0  # changes
    entries: int = 0  # in all of them
    failed: int = 0

    def member(self, name: str) -> None:
        """Accept that a list is in force."""

    def update_endpoints(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Count a snapshot or a change."""
        self.snapshots += kind is api.ListUpdateKind.SNAPSHOT
        self.lines += kind is api.ListUpdateKind.DELTA
        self.entries += len(update.members)

    def endpoints_unchanged(self) -> None:
        """Accept an empty line."""

    def discovery_failed(self) -> None:
        """Count a failed call."""
        self.failed += 1


class Watchers:
    """Hollow watchers of one stub."""

    def __init__(self, count: int, directory: Directory) -> None:
        """Prepare the watchers; `start` connects them."""
        self.count, self.directory = count, directory
        self.settings = parse_settings(generated_inputs.raw_settings(LIST_ENTRIES))
        self.nodes: list[HollowNode] = []
        self.discoveries: list[DiscoveryClient] = []
        self.revisions = itertools.count(2)

    async def start(self) -> None:
        """Listen, and let all watchers connect at once."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: DiscoveryCall(self.directory), "127.0.0.1", 0, backlog=2 * self.count
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        self.directory.send_heartbeat()
        for _ in range(self.count):
            self.nodes.append(HollowNode(self.settings, CooperativeScheduler(loop)))
            self.discoveries.append(self._dial(self.nodes[-1]))

    def _dial(self, node: HollowNode) -> DiscoveryClient:
        out = DiscoveryClient(cast(Node, node), self.address, 0)
        out.watch(True)
        return out

    def restart(self, number: int) -> None:
        """Let a watcher lose its state and connect again."""
        self.discoveries[number].watch(False)
        self.nodes[number] = HollowNode(self.settings, CooperativeScheduler(asyncio.get_running_loop()))
        self.discoveries[number] = self._dial(self.nodes[number])

    async def until(self, done: Callable[[HollowNode], bool]) -> None:
        """Wait until all are done; raises TimeoutError after WAIT."""
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while not all(done(node) for node in self.nodes):
                await asyncio.sleep(0.002)

    def change(self, count: int) -> bytes:
        """Return a line that changes `count` entries."""
        revision = next(self.revisions)
        phase = api.EndpointPhase.DRAINING if revision % 2 else api.EndpointPhase.IN_SERVICE
        return generated_inputs.encode_update(
            [generated_inputs.entry(n, phase) for n in range(count)], revision, False
        )

    async def broadcast(self, line: bytes) -> float:
        """Send a line to all, wait until all have it, and return the processor time in us."""
        wanted, begin = self.nodes[0].lines + 1, time.process_time()
        self.directory.broadcast(line)
        await self.until(lambda node: node.lines >= wanted)
        return (time.process_time() - begin) * 1e6

    async def stop(self) -> None:
        """Close everything."""
        if self.directory.heartbeat is not None:
            self.directory.heartbeat.cancel()
        for one in self.discoveries:
            one.watch(False)
        self.server.close()
        await asyncio.sleep(0.05)


def _fits(watchers: int) -> bool:
    """Return whether there are descriptors for both ends of the watches."""
    return 2 * watchers + SPARE_DESCRIPTORS <= resource.getrlimit(resource.RLIMIT_NOFILE)[0]


async def play_watchers(count: int) -> list[Point]:
    """Measure a join of all at once, changes, and a reconnection of a tenth without state."""
    directory = Directory(generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True))
    watchers = Watchers(count, directory)
    loop = asyncio.get_running_loop()
    begin = loop.time()
    await watchers.start()
    try:
        await watchers.until(lambda node: node.snapshots > 0)
        joined, calls, failed = loop.time() - begin, directory.calls, directory.failed
        sent = directory.sent
        lines = [watchers.change(1) for _ in range(BROADCASTS)]
        took = [await watchers.broadcast(line) for line in lines]
        sent_bytes = directory.sent - sent
        begin, before, some = loop.time(), directory.calls, math.ceil(count / 10)
        for number in range(some):
            watchers.restart(number)
        await watchers.until(lambda node: node.snapshots > 0)
        again = loop.time() - begin
    finally:
        await watchers.stop()
    figures = [
        ("join", "ms", joined * 1000, False),
        ("join_calls", "calls", float(calls), False),
        ("join_failed", "calls", float(failed), False),
        ("delivery", "us", statistics.median(took) / count, False),
        ("tell", "ms", statistics.median(took) / 1000, False),
        ("told", "bytes", sent_bytes / BROADCASTS, True),
        ("tenth_restarts", "ms", again * 1000, False),
        ("tenth_calls", "calls", float(directory.calls - before), False),
    ]
    return [Point("discovery", name, unit, count, value, exact) for name, unit, value, exact in figures]


async def play_bursts(sizes: tuple[int, ...]) -> list[Point]:
    """Measure bytes and processor time of lines that change many entries: a rack, a zone."""
    watchers = Watchers(
        1, Directory(generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True))
    )
    await watchers.start()
    out = []
    try:
        await watchers.until(lambda node: node.snapshots > 0)
        for count in sizes:
            lines = [watchers.change(count) for _ in range(MEASURED_BURSTS)]
            took = [await watchers.broadcast(line) for line in lines]
            out.append(Point("burst", "line", "bytes", count, float(len(lines[0])), True))
            out.append(Point("burst", "delivery", "us", count, statistics.median(took), False))
    finally:
        await watchers.stop()
    return out


async def play_day(events: int) -> list[Point]:
    """Measure bytes and processor time of a day's stream of changes, sent fast."""
    directory = Directory(generated_inputs.encode_update(generated_inputs.entries(LIST_ENTRIES), 1, True))
    watchers = Watchers(STREAM_WATCHERS, directory)
    await watchers.start()
    out = []
    marks = [events * part // 16 for part in (1, 2, 4, 8, 16)]
    try:
        await watchers.until(lambda node: node.snapshots > 0)
        begin, sent = time.process_time(), directory.sent
        for number in range(1, events + 1):
            directory.broadcast(watchers.change(1))
            if number % MAX_LINES_AHEAD == 0 or number in marks:
                await watchers.until(lambda node, number=number: node.lines >= number)  # type: ignore[misc]
            if number in marks:
                spent = (time.process_time() - begin) * 1000 / STREAM_WATCHERS
                sent_bytes = (directory.sent - sent) / STREAM_WATCHERS
                out.append(Point("day", "stream", "bytes", number, sent_bytes, True))
                out.append(Point("day", "processor", "ms", number, spent, False))
        if any(node.lines != events for node in watchers.nodes):
            raise ValueError("a watcher missed a change")
    finally:
        await watchers.stop()
    return out


def plays(quick: bool) -> list[Play]:
    """Return the plays of discovery."""
    counts, bursts = (QUICK_WATCHERS, QUICK_BURSTS) if quick else (WATCHERS, BURSTS)
    events = EVENTS_PER_DAY // 20 if quick else EVENTS_PER_DAY

    def discovery(_: int) -> Iterator[Point | NotPlayed]:
        for count in counts:
            if not _fits(count):
                yield NotPlayed(f"discovery at {count}", "there are too few descriptors")
                continue
            try:
                yield from uvloop.run(play_watchers(count))
            except TimeoutError:
                yield NotPlayed(
                    f"discovery at {count}",
                    f"not all had the list, or a change, in {CONVERGENCE_TIMEOUT_S:g} s",
                )

    return [
        Play("discovery", discovery, size.NODES, LIMITS),
        Play("burst", lambda _: uvloop.run(play_bursts(bursts)), size.BACKENDS_PER_ZONE, LIMITS),
        Play("day", lambda _: uvloop.run(play_day(events)), EVENTS_PER_DAY, LIMITS),
    ]
