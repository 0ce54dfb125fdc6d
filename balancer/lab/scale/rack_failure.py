"""A rack failure together with an outage of discovery: real nodes with a long list, under load."""

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
from balancer.lab.scale import concurrent_callers, generated_inputs, size
from balancer.lab.scale.dense_hosting import COUNT, READY_TIMEOUT_S, start_nodes
from balancer.lab.scale.endpoint_list import (
    CLIENT_START_DELAY_S,
    HOST,
    RATE_PER_S,
    BackendStub,
    DiscoveryStub,
    record_lag,
)
from balancer.lab.scale.points import NotPlayed, Play, Point

LIST_ENTRIES = 20_000
MIN_RATE_SHARE = 0.98  # of the rate, else it counts as not played
MAX_LATENESS_MS = 25.0  # that 99 in 100 of the harness's own requests and looks may be late, else likewise
CALLER_PROCESSES = 2  # processes of clients, beside the one of the backends and of discovery
BEFORE_S = 4.0  # of load before the failure
AFTER_S = 5.0  # of load after it
DRAIN_GRACE_S = 1.05  # after which nothing may go to a removed backend, with the slack of sockets

LIMITS = (
    f"{COUNT} processes by `python -m balancer`, without the fleet's rooms, before {LIST_ENTRIES:,} "
    "listed. Each backend has an address of its own, all of them one listener of the harness. The rack "
    "is 40 backends that the nodes were using; they are told as gone, their connections are reset, and "
    "all watches end with discovery in the same moment. Clients ask each node 193 times a second, "
    f"however long answers take, from {CALLER_PROCESSES} processes; backends and discovery are one "
    "more, and all share the cores with the nodes. Sends are counted as the backends saw them; "
    "`rig_late` is what 99 in 100 of the harness's own requests and looks were late by at most."
)


def address(number: int) -> str:
    """Return the host of a backend in 127.0.0.0/8, apart from those of the harness."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class BackendBank:
    """All backends on one listener, distinguished by the address that was called."""

    def __init__(self) -> None:
        """Bind the listener to the loopback device."""
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        self.socket.bind(("0.0.0.0", 0))
        self.port: int = self.socket.getsockname()[1]
        self.requests = Counter[str]()  # requests by host
        self.failed_hosts: frozenset[str] = frozenset()
        self.failed_at = 0.0
        self.late = 0  # requests that reached a failed one after the grace period
        self.open: set[NamedBackend] = set()

    def fail(self, hosts: frozenset[str]) -> None:
        """Fail these hosts: reset open and new connections."""
        self.failed_hosts, self.failed_at = hosts, asyncio.get_running_loop().time()
        for connection in [c for c in self.open if c.host in hosts]:
            connection.transport.abort()

    def request(self, host: str) -> bool:
        """Count a request; return whether it is to be answered."""
        self.requests[host] += 1
        if host not in self.failed_hosts:
            return True
        self.late += asyncio.get_running_loop().time() - self.failed_at > DRAIN_GRACE_S
        return False


class NamedBackend(BackendStub):
    """A connection to one of the backends."""

    def __init__(self, bank: BackendBank) -> None:
        """Prepare a connection."""
        self.bank, self.host = bank, ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the address that was called (asyncio)."""
        super().connection_made(transport)
        self.host = cast(str, transport.get_extra_info("sockname")[0])
        self.bank.open.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer requests; reset the connection where the backend has failed (asyncio)."""
        if all(self.bank.request(self.host) for _ in range(data.count(b"\r\n\r\n"))):
            super().data_received(data)
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection (asyncio)."""
        self.bank.open.discard(self)


async def play_rack(
    count: int, backends: int, before: float = BEFORE_S, after: float = AFTER_S
) -> list[Point | NotPlayed]:
    """Measure nodes with a list under load, before and after the failure."""
    loop = asyncio.get_running_loop()
    bank = BackendBank()
    entries = generated_inputs.entries(backends, time.time() * 1000 - generated_inputs.DAY_MS)
    by_host = {address(number): number for number in range(backends)}
    hosts = {entries[number].backend: f"{host}:{bank.port}" for host, number in by_host.items()}
    discovery = DiscoveryStub(generated_inputs.encode_update(entries, 2, True, hosts))
    async with contextlib.AsyncExitStack() as stack:
        server = await loop.create_server(lambda: NamedBackend(bank), sock=bank.socket)
        stack.callback(server.close)
        calls = await asyncio.start_server(discovery.serve, HOST, 0)
        stack.callback(calls.close)
        try:
            ports = await start_nodes(stack, count, backends, calls.sockets[0].getsockname()[1])
        except TimeoutError:
            return [NotPlayed(f"rack at {backends}", f"not all {count} served in {READY_TIMEOUT_S:g} s")]
        plan = concurrent_callers.Plan(list(ports.values()), RATE_PER_S, before, after)
        callers = await spawn_callers(stack, plan)
        begin, lags = time.monotonic() + CLIENT_START_DELAY_S, list[float]()
        for one in callers:
            await one.send_from(begin)
        stack.callback(loop.create_task(record_lag(lags)).cancel)
        await asyncio.sleep(begin + before - time.monotonic())
        used = [host for host, _ in bank.requests.most_common(size.RACK_MACHINES)]
        gone = [replace(entries[by_host[host]], phase=api.EndpointPhase.REMOVED) for host in used]
        served_there = sum(bank.requests[host] for host in used)
        discovery.send(generated_inputs.encode_update(gone, 3, False, hosts))
        await asyncio.sleep(0)
        discovery.cut()
        calls.close()
        bank.fail(frozenset(used))
        seen = [await one.results() for one in callers]
    earlier, later = (merged(parts) for parts in zip(*seen, strict=True))
    counts = (("sent_before", "requests", float(served_there)), ("sent_late", "requests", float(bank.late)))
    points = [Point("rack", name, unit, backends, value, False) for name, unit, value in counts]
    return [*points, *seen_by_clients(backends, count * (before + after), earlier, later, lags)]


async def spawn_callers(
    stack: contextlib.AsyncExitStack, plan: concurrent_callers.Plan
) -> list[concurrent_callers.CallerProcess]:
    """Start the processes of clients, each with a part of the plan's nodes; they end with the stack."""
    parts = [plan.ports[number::CALLER_PROCESSES] for number in range(CALLER_PROCESSES)]
    plans = [concurrent_callers.Plan(ports, plan.per_s, plan.first, plan.second) for ports in parts]
    return [await concurrent_callers.spawn(stack, each) for each in plans]


def seen_by_clients(
    backends: int,
    node_s: float,
    earlier: concurrent_callers.PartResult,
    later: concurrent_callers.PartResult,
    lags_ms: list[float],
) -> Iterator[Point | NotPlayed]:
    """Yield the clients' figures of both parts, which lasted `node_s` seconds times nodes."""
    sent_per_s = (earlier.sent + later.sent) / node_s
    late_ms = max(percentiles(some, (99.0,))[0] for some in (earlier.late_ms + later.late_ms, lags_ms))
    figures = (
        ("unanswered", "requests", float(earlier.statuses.get(0, 0) + later.statuses.get(0, 0))),
        ("asked_after", "requests", float(later.scheduled)),
        ("served_after", "share", later.statuses.get(200, 0) / max(1, later.scheduled)),
        ("offered", "requests/s", sent_per_s), ("rig_late", "ms", late_ms),
        ("p99_before", "ms", percentiles(earlier.took_ms, (99.0,))[0]),
        ("p99_after", "ms", percentiles(later.took_ms, (99.0,))[0]),
    )  # fmt: skip
    for name, unit, value in figures:
        yield Point("rack", name, unit, backends, value, False)
    if sent_per_s < MIN_RATE_SHARE * RATE_PER_S or late_ms > MAX_LATENESS_MS:
        why = f"{sent_per_s:.0f} were reached, and the harness itself was up to {late_ms:.0f} ms late"
        yield NotPlayed(f"rack at {RATE_PER_S:.0f} requests a second a node", why)


def merged(parts: Sequence[concurrent_callers.PartResult]) -> concurrent_callers.PartResult:
    """Merge the results of all client processes for one part."""
    out = concurrent_callers.PartResult(parts[0].until)
    for part in parts:
        out.scheduled, out.sent = out.scheduled + part.scheduled, out.sent + part.sent
        out.took_ms += part.took_ms
        out.late_ms += part.late_ms
        for status, number in part.statuses.items():
            out.answered(status, number)
    return out


def plays(quick: bool) -> list[Play]:
    """Return the play of the rack failure; a quick run leaves it out."""

    def rack(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed("a rack lost and discovery cut off, before real processes", "not in a quick run")
            return
        yield from uvloop.run(play_rack(COUNT, LIST_ENTRIES))

    return [Play("rack", rack, size.BACKENDS, LIMITS)]
