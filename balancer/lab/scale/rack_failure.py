"""A rack failure during an outage of discovery, measured on loaded node processes with a long list."""

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
from balancer.lab.scale.dense_hosting import PROCESS_COUNT, READY_TIMEOUT_S, start_nodes
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
# The run is reported as not played if the clients send less than 98% of the planned request rate.
MIN_OFFERED_SHARE = 0.98
# The run is reported as not played if the p99 lateness of the harness itself exceeds 25 ms.
MAX_LATENESS_MS = 25.0
CALLER_PROCESSES = 2  # Clients run in two processes; one more serves the backends and discovery.
BEFORE_S = 4.0
AFTER_S = 5.0
# No request may reach a backend later than 1 s after its removal; sockets get 50 ms more.
DRAIN_GRACE_S = 1.05

LIMITS = (
    f"{PROCESS_COUNT} processes of `python -m balancer`, without a fleet file, have a list of "
    f"{LIST_ENTRIES:,} backends. Each backend has its own address, but one listener of the harness serves "
    "them all. The rack is the 40 backends with the most requests: they are reported as removed, their "
    "connections are reset, and at the same time discovery fails and all watches end. Clients send 193 "
    f"requests per second to each node, whatever the latency, from {CALLER_PROCESSES} processes; backends "
    "and discovery are one more process, and all share the cores with the nodes. Attempts are counted where "
    "they reach the backends; `rig_late` is the p99 lateness of the harness's own requests and wake-ups."
)


def backend_host(number: int) -> str:
    """Return a backend's own host address in 127.0.0.0/8, outside those that the harness uses."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class BackendBank:
    """All backends on one listener, distinguished by the address that a node connects to."""

    def __init__(self) -> None:
        """Bind the listener to all addresses of the loopback device."""
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        self.socket.bind(("0.0.0.0", 0))
        self.port: int = self.socket.getsockname()[1]
        self.requests = Counter[str]()
        self.failed_hosts: frozenset[str] = frozenset()
        self.failed_at = 0.0
        self.late = 0  # A request is late if it reaches a failed backend after the drain grace.
        self.open: set[BackendConnection] = set()

    def fail(self, hosts: frozenset[str]) -> None:
        """Fail these hosts: reset their open connections, and new ones at their first request."""
        self.failed_hosts, self.failed_at = hosts, asyncio.get_running_loop().time()
        for connection in [c for c in self.open if c.host in hosts]:
            connection.transport.abort()

    def request(self, host: str) -> bool:
        """Count a request and return whether its backend is up."""
        self.requests[host] += 1
        if host not in self.failed_hosts:
            return True
        self.late += asyncio.get_running_loop().time() - self.failed_at > DRAIN_GRACE_S
        return False


class BackendConnection(BackendStub):
    """A node's connection to one of the backends."""

    def __init__(self, bank: BackendBank) -> None:
        """Create a connection whose backend is not known yet."""
        self.bank, self.host = bank, ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify the backend by the local address of the connection (asyncio)."""
        super().connection_made(transport)
        self.host = cast(str, transport.get_extra_info("sockname")[0])
        self.bank.open.add(self)

    def data_received(self, data: bytes) -> None:
        """Respond to requests, or reset the connection if the backend has failed (asyncio)."""
        if all(self.bank.request(self.host) for _ in range(data.count(b"\r\n\r\n"))):
            super().data_received(data)
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection (asyncio)."""
        self.bank.open.discard(self)


async def play_rack(
    count: int, backends: int, before_s: float = BEFORE_S, after_s: float = AFTER_S
) -> list[Point | NotPlayed]:
    """Measure loaded nodes before and after the failure of a rack and of discovery."""
    loop = asyncio.get_running_loop()
    bank = BackendBank()
    entries = generated_inputs.entries(backends, time.time() * 1000 - generated_inputs.DAY_MS)
    by_host = {backend_host(number): number for number in range(backends)}
    hosts = {entries[number].backend: f"{host}:{bank.port}" for host, number in by_host.items()}
    discovery = DiscoveryStub(generated_inputs.encode_update(entries, 2, True, hosts))
    async with contextlib.AsyncExitStack() as stack:
        server = await loop.create_server(lambda: BackendConnection(bank), sock=bank.socket)
        stack.callback(server.close)
        calls = await asyncio.start_server(discovery.serve, HOST, 0)
        stack.callback(calls.close)
        try:
            ports = await start_nodes(stack, count, backends, calls.sockets[0].getsockname()[1])
        except TimeoutError:
            return [
                NotPlayed(
                    f"rack at {backends}",
                    f"not all {count} nodes served a request within {READY_TIMEOUT_S:g} s",
                )
            ]
        plan = concurrent_callers.Plan(list(ports.values()), RATE_PER_S, before_s, after_s)
        callers = await spawn_callers(stack, plan)
        begin, lags = time.monotonic() + CLIENT_START_DELAY_S, list[float]()
        for one in callers:
            await one.send_from(begin)
        stack.callback(loop.create_task(record_lag(lags)).cancel)
        await asyncio.sleep(begin + before_s - time.monotonic())
        rack_hosts = [host for host, _ in bank.requests.most_common(size.RACK_MACHINES)]
        removed = [replace(entries[by_host[host]], phase=api.EndpointPhase.REMOVED) for host in rack_hosts]
        sent_before = sum(bank.requests[host] for host in rack_hosts)
        discovery.send(generated_inputs.encode_update(removed, 3, False, hosts))
        await asyncio.sleep(0)
        discovery.end_watches()
        calls.close()
        bank.fail(frozenset(rack_hosts))
        client_results = [await one.results() for one in callers]
    earlier, later = (merge_results(parts) for parts in zip(*client_results, strict=True))
    counts = (("sent_before", "requests", float(sent_before)), ("sent_late", "requests", float(bank.late)))
    points = [Point("rack", name, unit, backends, value, False) for name, unit, value in counts]
    return [*points, *client_points(backends, count * (before_s + after_s), earlier, later, lags)]


async def spawn_callers(
    stack: contextlib.AsyncExitStack, plan: concurrent_callers.Plan
) -> list[concurrent_callers.CallerProcess]:
    """Start the client processes, each with a part of the plan's nodes; they are killed with the stack."""
    parts = [plan.ports[number::CALLER_PROCESSES] for number in range(CALLER_PROCESSES)]
    plans = [concurrent_callers.Plan(ports, plan.per_s, plan.first, plan.second) for ports in parts]
    return [await concurrent_callers.spawn(stack, each) for each in plans]


def client_points(
    backends: int,
    node_s: float,
    earlier: concurrent_callers.PartResult,
    later: concurrent_callers.PartResult,
    lags_ms: list[float],
) -> Iterator[Point | NotPlayed]:
    """Yield the clients' figures of both parts, whose durations times the nodes add up to `node_s`."""
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
    if sent_per_s < MIN_OFFERED_SHARE * RATE_PER_S or late_ms > MAX_LATENESS_MS:
        why = f"{sent_per_s:.0f} a second were sent, and the harness itself was up to {late_ms:.0f} ms late"
        yield NotPlayed(f"rack at {RATE_PER_S:.0f} requests a second a node", why)


def merge_results(parts: Sequence[concurrent_callers.PartResult]) -> concurrent_callers.PartResult:
    """Merge the results that all client processes have for one part of the run."""
    out = concurrent_callers.PartResult(parts[0].until)
    for part in parts:
        out.scheduled, out.sent = out.scheduled + part.scheduled, out.sent + part.sent
        out.took_ms += part.took_ms
        out.late_ms += part.late_ms
        for status, number in part.statuses.items():
            out.answered(status, number)
    return out


def plays(quick: bool) -> list[Play]:
    """Return the play of the rack failure, which a quick run skips."""

    def rack(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed("a rack lost and discovery cut off, before real processes", "not in a quick run")
            return
        yield from uvloop.run(play_rack(PROCESS_COUNT, LIST_ENTRIES))

    return [Play("rack", rack, size.BACKENDS, LIMITS)]
