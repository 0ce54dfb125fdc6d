"""Scale measurements of the endpoint list: its bytes, its decoding, and one node process that uses it."""

from __future__ import annotations

import asyncio
import compileall
import contextlib
import gc
import itertools
import json
import os
import re
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from mmap import mmap
from pathlib import Path
from typing import NamedTuple, cast

import uvloop

from balancer import interface as api
from balancer.lab.figures import percentiles
from balancer.lab.processes import call_console, process_limits
from balancer.lab.programs import ROOT
from balancer.lab.scale import concurrent_callers, decision_module, generated_inputs, size
from balancer.lab.scale.points import NotPlayed, Play, Point
from balancer.net.connection_pool import ConnectionPool
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.discovery_call import max_object_bytes
from balancer.net.endpoint_decoder import decode_update, decode_update_in_slices
from balancer.net.endpoint_updater import EndpointUpdater
from balancer.net.endpoints import EndpointUpdate
from balancer.net.json_stream import JsonSplitter, JsonStreamError
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory

SIZES = (200, 700, 2_200, 7_000, 22_000, 45_000, 70_000)
QUICK_SIZES = (200, 800, 3_200)
NODE_SIZES = (200, 2_000, 7_000, 20_000, 40_000, 70_000)
QUICK_NODE_SIZES = (200, 1_000, 3_200)
PIECE_BYTES = 64 * 1024  # The decoder gets pieces of 64 KiB, the size of a socket read.
READY_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
LOOP_LAG_INTERVAL_S = 0.02
RATE_PER_S = size.PEAK_PER_S / size.NODES
CLIENT_START_DELAY_S = 0.2
CHANGE_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 2.0  # Without a heartbeat every 2 s, a node would consider its watch dead.
ANSWER_TIMEOUT_S = 5.0
HOST = "127.0.0.1"
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

LIST_LIMITS = (
    "The node's own JSON splitter and decoders read pieces of 64 KiB, without a socket; entries have IDs of "
    "seven characters and one kind. The node's own EndpointUpdater, connection pool and Balancer apply the "
    "list, step by step without pauses and with no request in progress; the cyclic garbage collector is "
    "disabled during that time, as it is in the node."
)
MEMORY_MB = 192.0  # The platform's larger nodes have 192 MB of memory.
NODE_LIMITS = (
    "One process of `python -m balancer` with compiled modules and without a fleet file. One process of the "
    "harness serves discovery and the backends, all of which have the same address; another runs the "
    "clients. They send 193 requests per second, whatever the latency, which counts from the time a request "
    "was due and so includes the harness's own delays (`rig_late` is the p99 lateness of its requests and "
    "wake-ups, `rig_worst` the maximum). Once the list is in force, one entry changes every 0.5 s. Figures "
    "named `*_lists` are from the time after that, in which discovery sends a snapshot without the node's "
    "own zone, one with it, and one with a single entry less, each once the previous one is in force."
)


def lists(sizes: tuple[int, ...]) -> Iterator[Point | NotPlayed]:
    """Yield the bytes of a snapshot and of a change, and the time to decode and apply a snapshot."""
    for backends in sizes:
        data = generated_inputs.encode_update(generated_inputs.entries(backends), 2, True)
        yield Point("list", "whole", "bytes", backends, float(len(data)), True)
        change = generated_inputs.encode_update([generated_inputs.entry(backends - 1)], 3, False)
        yield Point("list", "change", "bytes", backends, float(len(change)), True)
        try:
            decode(data)
        except JsonStreamError as err:
            yield NotPlayed(f"list.decode at {backends}", f"the decoder refused the list: {err.summary}")
            continue
        took = generated_inputs.median_cpu_us(lambda data=data: decode(data), 1.0, 50)  # type: ignore[misc]
        yield Point("list", "decode", "us", backends, took, False)
        yield from uvloop.run(measure_updates(backends))


def decode(data: bytes) -> tuple[EndpointUpdate | None, float]:
    """Decode a list in pieces, and return its update and the time in us of the longest step.

    Raises:
        JsonStreamError: The list cannot be decoded.
    """
    objects, event, longest = JsonSplitter(max_object_bytes(MEMORY_MB)), None, 0.0
    for at in range(0, len(data), PIECE_BYTES):
        begin = time.process_time_ns()
        for item in objects.feed(data[at : at + PIECE_BYTES]):
            if isinstance(item, mmap):
                steps = StepRunner(decode_update_in_slices(item))
                event, longest = steps.result, max(longest, steps.longest_us)
            elif item:
                event = decode_update(item)
            begin = time.process_time_ns()
        longest = max(longest, (time.process_time_ns() - begin) / 1000)
    return event, longest


class StepRunner:
    """Runs a generator step by step like `CooperativeScheduler`, but without pauses between the steps."""

    def __init__(self, work: Iterator[None] | None = None) -> None:
        """Run a generator if one is given."""
        self.median_cpu_us = self.longest_us = 0.0
        self.result: EndpointUpdate | None = None
        if work is not None:
            self.add(work)

    def add(self, work: Iterator[None]) -> None:
        """Run a generator to its end with the cyclic garbage collector disabled."""
        gc.disable()
        try:
            self._run(work)
        finally:
            gc.enable()

    def _run(self, work: Iterator[None]) -> None:
        while True:
            begin = time.process_time_ns()
            try:
                next(work)
            except StopIteration as end:
                self.result = end.value
                return
            finally:
                took = (time.process_time_ns() - begin) / 1000
                self.median_cpu_us, self.longest_us = self.median_cpu_us + took, max(self.longest_us, took)


async def measure_updates(backends: int) -> list[Point]:
    """Measure the steps in which a node applies a list, one without a zone, and the first list again."""
    balancer = decision_module.new_balancer(backends, 1)

    def send(event: api.ListUpdate) -> None:
        balancer.handle(now, event)

    pool = ConnectionPool(balancer.settings, 1, RequestStatistics(), StreamMemory(MEMORY_MB))
    now = time.time() * 1000
    lines = generated_inputs.entries(backends, now - generated_inputs.DAY_MS)
    out = []

    def event(revision: int, entries: list[api.Endpoint]) -> EndpointUpdate:
        found, longest = decode(generated_inputs.encode_update(entries, revision, True))
        assert found is not None
        if revision == 1:
            out.append(Point("list", "decode_turn", "us", backends, longest, False))
        return found

    steps = StepRunner()
    listing = EndpointUpdater(pool, send, lambda *_: None, cast(CooperativeScheduler, steps))
    other_zones = [entry for entry in lines if entry.zone != lines[0].zone]
    for revision, (name, entries) in enumerate(
        [("take", lines), ("zone_lost", other_zones), ("zone_back", lines)], 1
    ):
        what, steps.longest_us = event(revision, entries), 0.0
        gc.collect()
        begin = time.process_time_ns()
        listing.put(what, api.ListUpdateKind.SNAPSHOT)
        # Short lists are applied at once, without steps of the scheduler.
        spent = (time.process_time_ns() - begin) / 1000
        out.append(Point("list", name, "us", backends, spent, False))
        out.append(Point("list", f"{name}_turn", "us", backends, steps.longest_us or spent, False))
    return out


class BackendStub(asyncio.Protocol):
    """Responds at once to each request, which is one head without a body."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport, self.buffer = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request head (asyncio)."""
        self.buffer += data
        heads = self.buffer.count(b"\r\n\r\n")
        if heads:
            self.buffer = self.buffer[self.buffer.rindex(b"\r\n\r\n") + 4 :]
            self.transport.write(OK_RESPONSE * heads)


@dataclass
class DiscoveryStub:
    """Sends the snapshot to each new watch, then changes and heartbeats, as HTTP chunks."""

    snapshot: bytes
    watches: list[asyncio.StreamWriter] = field(default_factory=list)
    calls: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one call until its caller disconnects."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self.snapshot)
            self.watches.append(writer)
            while not await self._is_caller_gone(reader):
                self._chunk(writer, b"\n")
        if writer in self.watches:
            self.watches.remove(writer)

    @staticmethod
    async def _is_caller_gone(reader: asyncio.StreamReader) -> bool:
        """Return True once the caller has disconnected, or False when a heartbeat is due."""
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await reader.read()
                return True
        except TimeoutError:
            return False

    def send(self, line: bytes) -> None:
        """Send a line to all watches."""
        for writer in self.watches:
            self._chunk(writer, line)

    async def send_long(self, line: bytes) -> None:
        """Send a long line to all watches in pieces, as fast as they read it."""
        for writer in self.watches:
            for at in range(0, len(line), PIECE_BYTES):
                self._chunk(writer, line[at : at + PIECE_BYTES])
                await writer.drain()

    def end_watches(self) -> None:
        """End all watches, as in an outage of discovery."""
        for writer in self.watches:
            writer.close()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


@dataclass
class Client:
    """A client that sends one request after the other on a connection, which it reopens if it ends."""

    port: int
    numbers: Iterator[int] = field(default_factory=itertools.count)
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send_request(self) -> tuple[int, float]:
        """Send a request and return its status, or 0 without a response, and the latency in ms."""
        begin = time.perf_counter()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(HOST, self.port)
                reader, writer = self.streams
                name = f"{next(self.numbers):016x}"
                writer.write(f"GET /c0 HTTP/1.1\r\nHost: node\r\nRequest-Id: {name}\r\n\r\n".encode())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = re.search(rb"content-length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                if b"connection: close" in head:
                    self.close()
                return int(head.split(b" ", 2)[1]), (time.perf_counter() - begin) * 1000
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0, (time.perf_counter() - begin) * 1000

    def close(self) -> None:
        """Abort the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


def resources_of(pid: int) -> tuple[float, float]:
    """Return the processor time in s of a process's main thread, and the memory of the process in bytes."""
    spent = int(Path(f"/proc/{pid}/schedstat").read_text("utf-8").split()[0])
    pages = int(Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1])
    return spent / 1e9, float(pages * PAGE_BYTES)


async def spawn(folder: Path, backends: int, discovery: int, me: int = 7) -> asyncio.subprocess.Process:
    """Start a node process without a list; `me` is the node's index, which selects its subset."""
    config = {
        "name": f"n{me}", "listen": f"{HOST}:0", "console": f"{HOST}:0", "discovery": f"{HOST}:{discovery}",
        "seed": f"8c1f30d27a5b{me:04x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": generated_inputs.raw_settings(backends) | {"me": me},
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(config), "utf-8")
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "balancer", cwd=ROOT,
        env=env | {"PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        preexec_fn=process_limits(sorted(os.sched_getaffinity(0)), 1024),
    )  # fmt: skip


class Ports(NamedTuple):
    """The ports of a node for clients and for its console."""

    clients: int
    console: int


async def wait_for_ports(process: asyncio.subprocess.Process) -> Ports:
    """Read a node's log until it reports its ports.

    Raises:
        TimeoutError: The node reported no port within READY_TIMEOUT_S.
        ConnectionError: The node ended before it reported its ports.
    """
    assert process.stderr is not None
    console = 0
    async with asyncio.timeout(READY_TIMEOUT_S):
        while text := (await process.stderr.readline()).decode("utf-8", "replace"):
            if found := re.search(r"(console|serves) on \S+:(\d+)", text):
                if found[1] == "serves":
                    return Ports(int(found[2]), console)
                console = int(found[2])
    raise ConnectionError("the node process ended before it logged the port on which it serves")


async def record_lag(seen_ms: list[float]) -> None:
    """Record the lateness of this event loop in ms at regular wake-ups, until cancelled."""
    while True:
        due = time.monotonic() + LOOP_LAG_INTERVAL_S
        await asyncio.sleep(LOOP_LAG_INTERVAL_S)
        seen_ms.append(max(0.0, time.monotonic() - due) * 1000)


async def wait_until_listed(ports: Ports, backends: int) -> None:
    """Wait until a node's console reports `backends` members, so that the complete list is in force."""
    while True:
        status, body = await call_console((HOST, ports.console), "GET", "/stats")
        if status == HTTPStatus.OK and json.loads(body)["members"] == backends:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Kill a process and wait for its end."""
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


async def drain_log(process: asyncio.subprocess.Process) -> None:
    """Discard the log of a process, so that the process never blocks on a full pipe."""
    assert process.stderr is not None
    while await process.stderr.read(65536):
        pass


async def play_node(backends: int, seconds: float, lists_s: float) -> list[Point | NotPlayed]:
    """Measure one node process: the time until it serves, the time until the list is in force, and requests.

    One list entry changes at regular intervals for `seconds`, then snapshots arrive for `lists_s`.
    """
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        backend = await loop.create_server(BackendStub, HOST, 0)
        stack.callback(backend.close)
        lines = ListLines(backends, f"{HOST}:{backend.sockets[0].getsockname()[1]}")
        discovery = DiscoveryStub(lines.snapshot)
        server = await asyncio.start_server(discovery.serve, HOST, 0)
        stack.callback(server.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="balancer-scale-"))
        begin = loop.time()
        process = await spawn(Path(folder), backends, server.sockets[0].getsockname()[1])
        stack.push_async_callback(end_process, process)
        ports = await wait_for_ports(process)
        stack.callback(loop.create_task(drain_log(process)).cancel)
        client = Client(ports.clients)
        while (await client.send_request())[0] != HTTPStatus.OK:
            if loop.time() - begin > READY_TIMEOUT_S:
                why = (
                    f"no request was served in {READY_TIMEOUT_S:g} s, with {discovery.calls} discovery calls"
                )
                return _points_of_unready_node(backends, resources_of(process.pid)[1], why)
            await asyncio.sleep(POLL_INTERVAL_S)
        ready_ms = (loop.time() - begin) * 1000
        client.close()
        try:
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                await wait_until_listed(ports, backends)
            in_force_ms = (loop.time() - begin) * 1000
            plan = concurrent_callers.Plan([ports.clients], RATE_PER_S, seconds, lists_s)
            clients, lags_ms = await concurrent_callers.spawn(stack, plan), list[float]()
            stack.callback(loop.create_task(record_lag(lags_ms)).cancel)
            out = await _measure_requests(process.pid, clients, plan, ports, discovery, lines, lags_ms)
        except TimeoutError:
            return [NotPlayed(f"node at {backends}", "a snapshot was not in force in time")]
    out = {"ready": (ready_ms, "ms"), "in_force": (in_force_ms, "ms")} | out
    return [Point("node", name, unit, backends, value, False) for name, (value, unit) in out.items()]


def _points_of_unready_node(backends: int, memory: float, why: str) -> list[Point | NotPlayed]:
    point = Point("node", "memory_unready", "bytes", backends, memory, False)
    return [point, NotPlayed(f"node at {backends}", why)]


class ListLines:
    """The lines that discovery sends, encoded before the measurement."""

    def __init__(self, backends: int, address: str) -> None:
        """Encode a list of backends that all have the same address."""
        self.entries, self.address = (
            generated_inputs.entries(backends, time.time() * 1000 - generated_inputs.DAY_MS),
            address,
        )
        self.other_zones = [entry for entry in self.entries if entry.zone != generated_inputs.OWN_ZONE]
        self.snapshot = generated_inputs.encode_update(self.entries, 2, True, address)
        self.revision = 2

    def change(self) -> bytes:
        """Encode a line in which one backend starts to drain, or is in service again."""
        number, self.revision = self.revision - 2, self.revision + 1
        was = self.entries[number // 2 * 7 % len(self.entries)]
        phase = api.EndpointPhase.IN_SERVICE if number % 2 else api.EndpointPhase.DRAINING
        return generated_inputs.encode_update([replace(was, phase=phase)], self.revision, False, self.address)

    def lists(self) -> list[tuple[int, bytes]]:
        """Encode the snapshots to send one after the other, each with the number of its entries."""
        # The last snapshot has one entry less, so that its number of entries shows when it is in force.
        each = self.other_zones, self.entries, self.entries[:-1]
        first, self.revision = self.revision + 1, self.revision + len(each)
        return [
            (len(entries), generated_inputs.encode_update(entries, number, True, self.address))
            for number, entries in enumerate(each, first)
        ]


async def _measure_requests(
    pid: int,
    clients: concurrent_callers.CallerProcess,
    plan: concurrent_callers.Plan,
    ports: Ports,
    discovery: DiscoveryStub,
    lines: ListLines,
    lags_ms: list[float],
) -> dict[str, tuple[float, str]]:
    """Measure requests during changes and snapshots.

    Raises:
        TimeoutError: A snapshot was not in force in time.
    """
    changes = [lines.change() for _ in range(int(plan.first / CHANGE_INTERVAL_S))]
    lists, slowest = lines.lists(), 0.0
    begin, (cpu, _) = time.monotonic() + CLIENT_START_DELAY_S, resources_of(pid)
    await clients.send_from(begin)
    for number, line in enumerate(changes):
        await asyncio.sleep(begin + number * CHANGE_INTERVAL_S - time.monotonic())
        discovery.send(line)
    await asyncio.sleep(begin + plan.first - time.monotonic())
    spent, memory = resources_of(pid)
    async with asyncio.timeout(plan.second):
        for count, line in lists:
            sent_at = time.monotonic()
            await discovery.send_long(line)
            await wait_until_listed(ports, count)
            slowest = max(slowest, time.monotonic() - sent_at)
    at_rest, busy = await clients.results()
    p50, p99 = percentiles(at_rest.took_ms, (50.0, 99.0))
    late_ms = at_rest.late_ms + busy.late_ms
    return {
        "p50": (p50, "ms"), "p99": (p99, "ms"), "memory": (memory, "bytes"),
        "core_per_request": ((spent - cpu) * 1e6 / at_rest.scheduled, "us"),
        "served": (_served(at_rest), "share"),
        "p99_lists": (percentiles(busy.took_ms, (99.0,))[0], "ms"), "worst_lists": (max(busy.took_ms), "ms"),
        "in_force_lists": (slowest * 1000, "ms"), "memory_lists": (resources_of(pid)[1], "bytes"),
        "served_lists": (_served(busy), "share"),
        "rig_late": (max(percentiles(each, (99.0,))[0] for each in (late_ms, lags_ms)), "ms"),
        "rig_worst": (max(late_ms + lags_ms), "ms"),
    }  # fmt: skip


def _served(part: concurrent_callers.PartResult) -> float:
    return part.statuses.get(200, 0) / part.scheduled


def plays(quick: bool) -> list[Play]:
    """Return the plays of the endpoint list."""
    sizes, node_sizes = (QUICK_SIZES, QUICK_NODE_SIZES) if quick else (SIZES, NODE_SIZES)
    seconds, lists_s = (2.0, 4.0) if quick else (6.0, 10.0)

    def nodes(_: int) -> Iterator[Point | NotPlayed]:
        # Modules are compiled beforehand, as in a build: a node that compiles them itself keeps 2 MB more.
        compileall.compile_dir(ROOT / "balancer", quiet=2)
        for backends in node_sizes:
            yield from uvloop.run(play_node(backends, seconds, lists_s))

    return [
        Play("list", lambda _: lists(sizes), size.BACKENDS, LIST_LIMITS),
        Play("node", nodes, size.BACKENDS, NODE_LIMITS),
    ]
