"""The list at growing sizes: its bytes, its decoding, and one real node process that is told it."""

from __future__ import annotations

import asyncio
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
from dataclasses import dataclass, field
from mmap import mmap
from pathlib import Path
from typing import cast

import uvloop

from dillport import interface as api
from dillport.lab.figures import percentiles
from dillport.lab.processes import limits
from dillport.lab.programs import ROOT
from dillport.lab.scale import fleet, module, size
from dillport.lab.scale.points import NotPlayed, Play, Point
from dillport.net.config import News, news_in_turns, news_of
from dillport.net.discovery import most_object
from dillport.net.figures import Figures
from dillport.net.listing import Listing
from dillport.net.objects import BrokenObject, Objects
from dillport.net.stream import Budget
from dillport.net.turns import Turns
from dillport.net.upstream import Pool

SIZES = (200, 700, 2_200, 7_000, 22_000, 45_000, 70_000)
QUICK_SIZES = (200, 800, 3_200)
NODE_SIZES = (200, 2_000, 7_000, 20_000, 40_000, 70_000)
QUICK_NODE_SIZES = (200, 1_000, 3_200)
PIECE = 64 * 1024  # bytes that a socket gives at a time
READY_MOST = 20.0  # s that a node has until it serves
CHANGE_EVERY = 0.5  # s
EMPTY_LINE = 2.0  # s between two empty lines of a watch: without them it would count as dead
ANSWER_MOST = 5.0  # s for one answer
HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PAGE = os.sysconf("SC_PAGE_SIZE")

LIST_LIMITS = (
    "Objects and the decoders as the node's watch uses them, in pieces of 64 KiB, without the socket; "
    "entries have ids of seven characters and one kind. A list is taken by the node's own Listing with its "
    "Pool and Balancer, one turn after the other, without the pauses between them and with no request "
    "under way; the cycle collector rests meanwhile, as it does in the node."
)
MEMORY_MB = 192.0  # of a node, as the platform's larger ones have
NODE_LIMITS = (
    "One process by `python -m dillport`, without the fleet's rooms. Discovery, one backend address under "
    "all ids, and one client are one process of the rig beside it: the latencies hold their time too. One "
    "request after the other, so fewer than 193 a second before a slow node; one entry changes each 0.5 s."
)


def lists(sizes: tuple[int, ...]) -> Iterator[Point | NotPlayed]:
    """Bytes of a whole list and of a change, and the processor time to cut and decode it."""
    for backends in sizes:
        data = fleet.line(fleet.entries(backends), 2, True)
        yield Point("list", "whole", "bytes", backends, float(len(data)), True)
        change = fleet.line([fleet.entry(backends - 1)], 3, False)
        yield Point("list", "change", "bytes", backends, float(len(change)), True)
        try:
            decode(data)
        except BrokenObject as err:
            yield NotPlayed(f"list.decode at {backends}", f"refused whole: {err.line}")
            continue
        took = fleet.spent_us(lambda data=data: decode(data), 1.0, 50)  # type: ignore[misc]
        yield Point("list", "decode", "us", backends, took, False)
        yield from uvloop.run(taken(backends))


def decode(data: bytes) -> tuple[News | None, float]:
    """Cut and decode a list as it comes: its news, and the us of the longest turn. Raises BrokenObject."""
    objects, news, longest = Objects(most_object(MEMORY_MB)), None, 0.0
    for at in range(0, len(data), PIECE):
        begin = time.process_time_ns()
        for item in objects.feed(data[at : at + PIECE]):
            if isinstance(item, mmap):
                steps = Steps(news_in_turns(item))
                news, longest = steps.result, max(longest, steps.longest_us)
            elif item:
                news = news_of(item)
            begin = time.process_time_ns()
        longest = max(longest, (time.process_time_ns() - begin) / 1000)
    return news, longest


class Steps:
    """Carries out a generator, one step after the other; `Turns` without its pauses."""

    def __init__(self, work: Iterator[None] | None = None) -> None:
        self.spent_us = self.longest_us = 0.0
        self.result: News | None = None
        if work is not None:
            self.add(work)

    def add(self, work: Iterator[None]) -> None:
        """Carry it out."""
        gc.disable()
        try:
            self._carry_out(work)
        finally:
            gc.enable()

    def _carry_out(self, work: Iterator[None]) -> None:
        while True:
            begin = time.process_time_ns()
            try:
                next(work)
            except StopIteration as end:
                self.result = end.value
                return
            finally:
                took = (time.process_time_ns() - begin) / 1000
                self.spent_us, self.longest_us = self.spent_us + took, max(self.longest_us, took)


async def taken(backends: int) -> list[Point]:
    """A node's list is taken: all of it, a zone of it lost, the zone back: all turns, and the longest."""
    balancer = module.node(backends, 1)

    def tell(event: api.ListUpdate) -> None:
        balancer.handle(now, event)

    pool = Pool(balancer.cfg, 1, Figures(), Budget(MEMORY_MB))
    now = time.time() * 1000
    told = fleet.entries(backends, now - fleet.DAY)
    out = []

    def news(revision: int, entries: list[api.Entry]) -> News:
        found, longest = decode(fleet.line(entries, revision, True))
        assert found is not None
        if revision == 1:
            out.append(Point("list", "decode_turn", "us", backends, longest, False))
        return found

    steps = Steps()
    listing = Listing(pool, tell, lambda *_: None, cast(Turns, steps))
    rest = [entry for entry in told if entry.zone != told[0].zone]
    for revision, (name, entries) in enumerate(
        [("take", told), ("zone_lost", rest), ("zone_back", told)], 1
    ):
        what, steps.longest_us = news(revision, entries), 0.0
        gc.collect()
        begin = time.process_time_ns()
        listing.put(what, api.ListKind.FULL)
        spent = (time.process_time_ns() - begin) / 1000  # short lists take no turns
        out.append(Point("list", name, "us", backends, spent, False))
        out.append(Point("list", f"{name}_turn", "us", backends, steps.longest_us or spent, False))
    return out


class StandInBackend(asyncio.Protocol):
    """Answers each request at once; a request is one head without a body."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep where to answer."""
        self.transport, self.held = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Count heads."""
        self.held += data
        heads = self.held.count(b"\r\n\r\n")
        if heads:
            self.held = self.held[self.held.rindex(b"\r\n\r\n") + 4 :]
            self.transport.write(OK * heads)


@dataclass
class StandInDiscovery:
    """Tells each watch the whole list, then changes and empty lines, as chunks."""

    whole: bytes
    watches: list[asyncio.StreamWriter] = field(default_factory=list)
    calls: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self.whole)
            self.watches.append(writer)
            while not await self._gone(reader):
                self._chunk(writer, b"\n")
        if writer in self.watches:
            self.watches.remove(writer)

    @staticmethod
    async def _gone(reader: asyncio.StreamReader) -> bool:
        """Whether the caller is gone; False once an empty line is due."""
        try:
            async with asyncio.timeout(EMPTY_LINE):
                await reader.read()
                return True
        except TimeoutError:
            return False

    def tell(self, line: bytes) -> None:
        """All that watch."""
        for writer in self.watches:
            self._chunk(writer, line)

    def cut(self) -> None:
        """Discovery is away: all watches end, behind what was told."""
        for writer in self.watches:
            writer.close()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


@dataclass
class Client:
    """One connection to the node, made anew where it ends; one request after the other."""

    port: int
    numbers: Iterator[int] = field(default_factory=itertools.count)
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self) -> tuple[int, float]:
        """One request: its answer's status, 0 where none came, and the milliseconds it took."""
        begin = time.perf_counter()
        try:
            async with asyncio.timeout(ANSWER_MOST):
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
        """Break it off."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


def used(pid: int) -> tuple[float, float]:
    """Seconds of processor time of a process's first thread, the event loop, and the bytes that it holds."""
    spent = int(Path(f"/proc/{pid}/schedstat").read_text("utf-8").split()[0])
    pages = int(Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1])
    return spent / 1e9, float(pages * PAGE)


async def spawn(folder: Path, backends: int, discovery: int) -> asyncio.subprocess.Process:
    """A node that knows no backend yet."""
    config = {
        "name": "n7", "listen": f"{HOST}:0", "discovery": f"{HOST}:{discovery}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": fleet.raw_settings(backends),
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(config), "utf-8")
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "dillport", cwd=ROOT,
        env=env | {"PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        preexec_fn=limits(sorted(os.sched_getaffinity(0)), 1024),
    )  # fmt: skip


async def serves_on(process: asyncio.subprocess.Process) -> int:
    """The port that it serves on, by its log."""
    assert process.stderr is not None
    async with asyncio.timeout(READY_MOST):
        while text := (await process.stderr.readline()).decode("utf-8", "replace"):
            if found := re.search(r"serves on \S+:(\d+)", text):
                return int(found[1])
    raise ConnectionError("the node has ended")


async def drop(process: asyncio.subprocess.Process) -> None:
    """Read its log, so that it never waits for a reader."""
    assert process.stderr is not None
    while await process.stderr.read(65536):
        pass


async def play_node(backends: int, seconds: float) -> list[Point | NotPlayed]:
    """One node process before a list of so many: until it serves, then a client and changes for a while."""
    loop = asyncio.get_running_loop()
    backend = await loop.create_server(StandInBackend, HOST, 0)
    where = f"{HOST}:{backend.sockets[0].getsockname()[1]}"
    told = fleet.entries(backends, time.time() * 1000 - fleet.DAY)
    discovery = StandInDiscovery(fleet.line(told, 2, True, where))
    server = await asyncio.start_server(discovery.serve, HOST, 0)
    with tempfile.TemporaryDirectory(prefix="dillport-scale-") as folder:
        begin = loop.time()
        process = await spawn(Path(folder), backends, server.sockets[0].getsockname()[1])
        try:
            client = Client(await serves_on(process))
            drain = loop.create_task(drop(process))
            while (await client.ask())[0] != 200:
                if loop.time() - begin > READY_MOST:
                    why = f"never ready: nothing served in {READY_MOST:g} s, {discovery.calls} calls"
                    held = Point("node", "memory_unready", "bytes", backends, used(process.pid)[1], False)
                    return [held, NotPlayed(f"node at {backends}", why)]
                await asyncio.sleep(0.05)
            ready_ms = (loop.time() - begin) * 1000
            out = await _requests(process.pid, client, discovery, told, where, seconds)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            server.close()
            backend.close()
    drain.cancel()
    client.close()
    out = {"ready": (ready_ms, "ms")} | out
    return [Point("node", name, unit, backends, value, False) for name, (value, unit) in out.items()]


async def _requests(
    pid: int, client: Client, discovery: StandInDiscovery, told: list[api.Entry], where: str, seconds: float
) -> dict[str, tuple[float, str]]:
    loop = asyncio.get_running_loop()
    took: list[float] = []
    served, changes = 0, 0
    begin, (cpu, _) = loop.time(), used(pid)
    due = begin
    while loop.time() < begin + seconds:
        if loop.time() >= due:  # one drains, then it is back
            item = told[changes // 2 * 7 % len(told)]
            phase = api.Phase.UP if changes % 2 else api.Phase.DRAINING
            changed = api.Entry(item.backend, item.zone, item.cell, 1.0, phase, item.started_at, item.kind)
            changes, due = changes + 1, due + CHANGE_EVERY
            discovery.tell(fleet.line([changed], changes + 2, False, where))
        status, ms = await client.ask()
        took.append(ms)
        served += status == 200
    spent, held = used(pid)
    p50, p99 = percentiles(took, (50.0, 99.0))
    return {
        "p50": (p50, "ms"), "p99": (p99, "ms"), "memory": (held, "bytes"),
        "core_per_request": ((spent - cpu) * 1e6 / len(took), "us"), "served": (served / len(took), "share"),
    }  # fmt: skip


def plays(quick: bool) -> list[Play]:
    """The plays of the list."""
    sizes, node_sizes = (QUICK_SIZES, QUICK_NODE_SIZES) if quick else (SIZES, NODE_SIZES)
    seconds = 2.0 if quick else 8.0

    def nodes(_: int) -> Iterator[Point | NotPlayed]:
        for backends in node_sizes:
            yield from uvloop.run(play_node(backends, seconds))

    return [
        Play("list", lambda _: lists(sizes), size.BACKENDS, LIST_LIMITS),
        Play("node", nodes, size.BACKENDS, NODE_LIMITS),
    ]
