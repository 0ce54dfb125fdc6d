"""Real node processes before one list: a check on the hollow ones, which have no module and no pool."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import uvloop

from balancer import interface as api
from balancer.lab.scale import fleet, size
from balancer.lab.scale.listing import (
    HOST,
    Client,
    Ports,
    StandInBackend,
    StandInDiscovery,
    drop,
    end_process,
    listed,
    serves_on,
    spawn,
    used,
)
from balancer.lab.scale.points import NotPlayed, Play, Point

COUNT = 16
SIZES = (200, 1_000, 4_000, 20_000)
READY_MOST = 40.0  # s that all have until they serve
CHANGES, CHANGE_EVERY = 12, 0.4  # told to all; s between two

LIMITS = (
    "Processes by `python -m balancer` that share the machine's cores, without the fleet's rooms and at "
    "rest: no requests but one each that shows it is ready. What a change costs is the processor time while "
    "changes come, less that of as long a time without."
)


async def play_processes(count: int, backends: int, changes: int = CHANGES) -> list[Point | NotPlayed]:
    """So many nodes before a list of so many: until all serve, then changes; the median node's figures."""
    loop = asyncio.get_running_loop()
    backend = await loop.create_server(StandInBackend, HOST, 0)
    where = f"{HOST}:{backend.sockets[0].getsockname()[1]}"
    told = fleet.entries(backends, time.time() * 1000 - fleet.DAY)
    discovery = StandInDiscovery(fleet.line(told, 2, True, where))
    server = await asyncio.start_server(discovery.serve, HOST, 0)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(server.close)
        stack.callback(backend.close)
        begin = loop.time()
        try:
            ports = await serving(stack, count, backends, server.sockets[0].getsockname()[1])
        except TimeoutError:
            return [NotPlayed(f"processes at {backends}", f"not all {count} served in {READY_MOST:g} s")]
        ready_ms = (loop.time() - begin) * 1000
        pids = list(ports)
        rest = await _spent(pids, discovery, [], changes)
        lines = []
        for number in range(changes):
            at = fleet.entry(
                number // 2,
                api.EndpointPhase.IN_SERVICE if number % 2 else api.EndpointPhase.DRAINING,
                told[0].started_at,
            )
            lines.append(fleet.line([at], number + 3, False, where))
        busy = await _spent(pids, discovery, lines, changes)
        held = [used(pid)[1] for pid in pids]
    figures = (
        ("ready", "ms", ready_ms),
        ("memory", "bytes", statistics.median(held)),
        ("change", "us", max(0.0, statistics.median(busy) - statistics.median(rest)) * 1e6 / changes),
    )
    return [Point("processes", name, unit, backends, value, False) for name, unit, value in figures]


async def serving(
    stack: contextlib.AsyncExitStack, count: int, backends: int, discovery_port: int
) -> dict[int, int]:
    """So many nodes once all serve and the list is in force: the clients' port of each, by its process id.

    Each has a subset of its own; they end with the stack. Raises TimeoutError after READY_MOST.
    """
    nodes, ports = [], dict[int, Ports]()
    for me in range(count):
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="balancer-scale-"))
        nodes.append(await spawn(Path(folder), backends, discovery_port, me))
        stack.push_async_callback(end_process, nodes[-1])
    async with asyncio.timeout(READY_MOST):
        for node in nodes:
            ports[node.pid] = await serves_on(node)
            stack.callback(asyncio.create_task(drop(node)).cancel)
            client = Client(ports[node.pid].clients)
            while (await client.ask())[0] != 200:
                await asyncio.sleep(0.05)
            client.close()
        for node in nodes:
            await listed(ports[node.pid], backends)
    return {pid: each.clients for pid, each in ports.items()}


async def _spent(pids: list[int], discovery: StandInDiscovery, lines: list[bytes], steps: int) -> list[float]:
    """Seconds of processor time of each, over as long as so many changes take, with these told."""
    before = [used(pid)[0] for pid in pids]
    for step in range(steps):
        if step < len(lines):
            discovery.tell(lines[step])
        await asyncio.sleep(CHANGE_EVERY)
    return [used(pid)[0] - was for pid, was in zip(pids, before, strict=True)]


def plays(quick: bool) -> list[Play]:
    """The play of the processes; not in a quick run, as it takes a minute and a half."""

    def processes(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed(f"{COUNT} real processes before one list", "not in a quick run")
            return
        for backends in SIZES:
            yield from uvloop.run(play_processes(COUNT, backends))

    return [Play("processes", processes, size.BACKENDS, LIMITS)]
