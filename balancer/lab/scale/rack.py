"""A rack is lost and discovery is cut off in the same moment, before a long list: real nodes under load."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import cast

import uvloop

from balancer import interface as api
from balancer.lab.figures import percentiles
from balancer.lab.scale import crowd, fleet, size
from balancer.lab.scale.listing import BEGIN, HOST, RATE_PER_S, StandInBackend, StandInDiscovery, lag
from balancer.lab.scale.points import NotPlayed, Play, Point
from balancer.lab.scale.processes import COUNT, READY_MOST, serving

LISTED = 20_000
REACHED = 0.98  # of the rate, else it counts as not played
LATE_MS = 25.0  # that 99 in 100 of the rig's own requests and looks may be late, else likewise
CROWDS = 2  # processes of clients, beside the one of the backends and of discovery
BEFORE, AFTER = 4.0, 5.0  # s of load before the loss and behind it
GRACE = 1.05  # s after which nothing may go to what was told gone: the rule's, and its slack on sockets

LIMITS = (
    f"{COUNT} processes by `python -m balancer`, without the fleet's rooms, before {LISTED:,} listed. Each "
    "backend has an address of its own, all of them one listener of the rig. The rack is 40 backends that "
    "the nodes were using; they are told as gone, their connections are reset, and all watches end with "
    "discovery in the same moment. Clients ask each node 193 times a second, however long answers take, from "
    f"{CROWDS} processes; backends and discovery are one more, and all share the cores with the nodes. Sends "
    "are counted as the backends saw them; `rig_late` is what 99 in 100 of the rig's own requests and looks "
    "were late by at most."
)


def address(number: int) -> str:
    """The host of a backend, in 127.0.0.0/8 and none of the rig's own."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Bank:
    """All backends: one listener, told apart by the address that was called."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        self.socket.bind(("0.0.0.0", 0))
        self.port: int = self.socket.getsockname()[1]
        self.got = Counter[str]()  # requests by host
        self.lost: frozenset[str] = frozenset()
        self.lost_at = 0.0
        self.late = 0  # requests that reached a lost one after the grace
        self.open: set[NamedBackend] = set()

    def lose(self, hosts: frozenset[str]) -> None:
        """These are gone: what is open there is reset, what comes is too."""
        self.lost, self.lost_at = hosts, asyncio.get_running_loop().time()
        for connection in [c for c in self.open if c.host in hosts]:
            connection.transport.abort()

    def request(self, host: str) -> bool:
        """A request has come; whether it is to be answered."""
        self.got[host] += 1
        if host not in self.lost:
            return True
        self.late += asyncio.get_running_loop().time() - self.lost_at > GRACE
        return False


class NamedBackend(StandInBackend):
    """One connection to one of the bank."""

    def __init__(self, bank: Bank) -> None:
        self.bank, self.host = bank, ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See who is called."""
        super().connection_made(transport)
        self.host = cast(str, transport.get_extra_info("sockname")[0])
        self.bank.open.add(self)

    def data_received(self, data: bytes) -> None:
        """A request counts also where its backend is gone, and is not answered then."""
        if all(self.bank.request(self.host) for _ in range(data.count(b"\r\n\r\n"))):
            super().data_received(data)
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self.bank.open.discard(self)


async def play_rack(
    count: int, backends: int, before: float = BEFORE, after: float = AFTER
) -> list[Point | NotPlayed]:
    """So many nodes before a list of so many, under load throughout."""
    loop = asyncio.get_running_loop()
    bank = Bank()
    told = fleet.entries(backends, time.time() * 1000 - fleet.DAY)
    by_host = {address(number): number for number in range(backends)}
    hosts = {told[number].backend: f"{host}:{bank.port}" for host, number in by_host.items()}
    discovery = StandInDiscovery(fleet.line(told, 2, True, hosts))
    async with contextlib.AsyncExitStack() as stack:
        server = await loop.create_server(lambda: NamedBackend(bank), sock=bank.socket)
        stack.callback(server.close)
        calls = await asyncio.start_server(discovery.serve, HOST, 0)
        stack.callback(calls.close)
        try:
            ports = await serving(stack, count, backends, calls.sockets[0].getsockname()[1])
        except TimeoutError:
            return [NotPlayed(f"rack at {backends}", f"not all {count} served in {READY_MOST:g} s")]
        each = [list(ports.values())[number::CROWDS] for number in range(CROWDS)]
        crowds = [await crowd.spawn(stack, crowd.Plan(some, RATE_PER_S, before, after)) for some in each]
        begin, lags = time.monotonic() + BEGIN, list[float]()
        for one in crowds:
            await one.begin(begin)
        stack.callback(loop.create_task(lag(lags)).cancel)
        await asyncio.sleep(begin + before - time.monotonic())
        used = [host for host, _ in bank.got.most_common(size.RACK_MACHINES)]
        rack = [told[by_host[host]] for host in used]
        gone = [replace(entry, phase=api.EndpointPhase.REMOVED) for entry in rack]
        served_there = sum(bank.got[host] for host in used)
        discovery.tell(fleet.line(gone, 3, False, hosts))
        await asyncio.sleep(0)
        discovery.cut()
        calls.close()
        bank.lose(frozenset(used))
        seen = [await one.parts() for one in crowds]
    earlier, later = (merged(parts) for parts in zip(*seen, strict=True))
    counts = (("sent_before", "requests", float(served_there)), ("sent_late", "requests", float(bank.late)))
    points = [Point("rack", name, unit, backends, value, False) for name, unit, value in counts]
    return [*points, *seen_by_clients(backends, count * (before + after), earlier, later, lags)]


def seen_by_clients(
    backends: int, node_s: float, earlier: crowd.Part, later: crowd.Part, lags_ms: list[float]
) -> Iterator[Point | NotPlayed]:
    """Figures of both parts, which lasted so many seconds of a node; what was not reached of the rate."""
    sent_per_s = (earlier.sent + later.sent) / node_s
    late_ms = max(percentiles(some, (99.0,))[0] for some in (earlier.late_ms + later.late_ms, lags_ms))
    figures = (
        ("unanswered", "requests", float(earlier.statuses.get(0, 0) + later.statuses.get(0, 0))),
        ("asked_after", "requests", float(later.due)),
        ("served_after", "share", later.statuses.get(200, 0) / max(1, later.due)),
        ("offered", "requests/s", sent_per_s), ("rig_late", "ms", late_ms),
        ("p99_before", "ms", percentiles(earlier.took_ms, (99.0,))[0]),
        ("p99_after", "ms", percentiles(later.took_ms, (99.0,))[0]),
    )  # fmt: skip
    for name, unit, value in figures:
        yield Point("rack", name, unit, backends, value, False)
    if sent_per_s < REACHED * RATE_PER_S or late_ms > LATE_MS:
        why = f"{sent_per_s:.0f} were reached, and the rig itself was up to {late_ms:.0f} ms late"
        yield NotPlayed(f"rack at {RATE_PER_S:.0f} requests a second a node", why)


def merged(parts: Sequence[crowd.Part]) -> crowd.Part:
    """What all crowds saw of one part of the time."""
    out = crowd.Part(parts[0].until)
    for part in parts:
        out.due, out.sent = out.due + part.due, out.sent + part.sent
        out.took_ms += part.took_ms
        out.late_ms += part.late_ms
        for status, number in part.statuses.items():
            out.answered(status, number)
    return out


def plays(quick: bool) -> list[Play]:
    """The play of the rack; not in a quick run."""

    def rack(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed("a rack lost and discovery cut off, before real processes", "not in a quick run")
            return
        yield from uvloop.run(play_rack(COUNT, LISTED))

    return [Play("rack", rack, size.BACKENDS, LIMITS)]
