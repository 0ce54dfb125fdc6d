"""Dense hosting: many real node processes with the same list, to verify the figures of stub nodes."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import tempfile
import time
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path

import uvloop

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.lab.scale.endpoint_list import (
    HOST,
    BackendStub,
    Client,
    DiscoveryStub,
    Ports,
    drain_log,
    end_process,
    resources_of,
    spawn,
    wait_for_ports,
    wait_until_listed,
)
from balancer.lab.scale.points import NotPlayed, Play, Point

PROCESS_COUNT = 16
SIZES = (200, 1_000, 4_000, 20_000)
READY_TIMEOUT_S = 40.0
CHANGE_COUNT, CHANGE_INTERVAL_S = 12, 0.4

LIMITS = (
    "Processes of `python -m balancer` share the machine's cores, without a fleet file and idle except for "
    "one request each that shows it is ready. The cost of a change is the processor time while changes "
    "arrive, minus that of an equally long time without changes."
)


async def play_processes(count: int, backends: int, changes: int = CHANGE_COUNT) -> list[Point | NotPlayed]:
    """Measure the start of nodes with a list, then the cost of changes, as medians over the nodes."""
    loop = asyncio.get_running_loop()
    backend = await loop.create_server(BackendStub, HOST, 0)
    where = f"{HOST}:{backend.sockets[0].getsockname()[1]}"
    entries = generated_inputs.entries(backends, time.time() * 1000 - generated_inputs.DAY_MS)
    discovery = DiscoveryStub(generated_inputs.encode_update(entries, 2, True, where))
    server = await asyncio.start_server(discovery.serve, HOST, 0)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(server.close)
        stack.callback(backend.close)
        begin = loop.time()
        try:
            ports = await start_nodes(stack, count, backends, server.sockets[0].getsockname()[1])
        except TimeoutError:
            return [
                NotPlayed(
                    f"processes at {backends}",
                    f"not all {count} nodes served a request within {READY_TIMEOUT_S:g} s",
                )
            ]
        ready_ms = (loop.time() - begin) * 1000
        pids = list(ports)
        idle_s = await _processor_times(pids, discovery, [], changes)
        lines = []
        for number in range(changes):
            at = generated_inputs.entry(
                number // 2,
                api.EndpointPhase.IN_SERVICE if number % 2 else api.EndpointPhase.DRAINING,
                entries[0].started_at,
            )
            lines.append(generated_inputs.encode_update([at], number + 3, False, where))
        busy_s = await _processor_times(pids, discovery, lines, changes)
        memory = [resources_of(pid)[1] for pid in pids]
    figures = (
        ("ready", "ms", ready_ms),
        ("memory", "bytes", statistics.median(memory)),
        ("change", "us", max(0.0, statistics.median(busy_s) - statistics.median(idle_s)) * 1e6 / changes),
    )
    return [Point("processes", name, unit, backends, value, False) for name, unit, value in figures]


async def start_nodes(
    stack: contextlib.AsyncExitStack, count: int, backends: int, discovery_port: int
) -> dict[int, int]:
    """Start nodes, wait until all serve requests and have the list, and return their ports by process ID.

    Each node has its own subset. The processes are killed when the stack closes.

    Raises:
        TimeoutError: Some node was not ready within READY_TIMEOUT_S.
    """
    nodes, ports = [], dict[int, Ports]()
    for me in range(count):
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="balancer-scale-"))
        nodes.append(await spawn(Path(folder), backends, discovery_port, me))
        stack.push_async_callback(end_process, nodes[-1])
    async with asyncio.timeout(READY_TIMEOUT_S):
        for node in nodes:
            ports[node.pid] = await wait_for_ports(node)
            stack.callback(asyncio.create_task(drain_log(node)).cancel)
            client = Client(ports[node.pid].clients)
            while (await client.send_request())[0] != HTTPStatus.OK:
                await asyncio.sleep(0.05)
            client.close()
        for node in nodes:
            await wait_until_listed(ports[node.pid], backends)
    return {pid: each.clients for pid, each in ports.items()}


async def _processor_times(
    pids: list[int], discovery: DiscoveryStub, lines: list[bytes], steps: int
) -> list[float]:
    """Return each process's processor time in s over `steps` intervals, one line being sent in each."""
    before = [resources_of(pid)[0] for pid in pids]
    for step in range(steps):
        if step < len(lines):
            discovery.send(lines[step])
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return [resources_of(pid)[0] - before_s for pid, before_s in zip(pids, before, strict=True)]


def plays(quick: bool) -> list[Play]:
    """Return the play of the node processes; a quick run skips it, because it takes a minute and a half."""

    def processes(_: int) -> Iterator[Point | NotPlayed]:
        if quick:
            yield NotPlayed(f"{PROCESS_COUNT} real processes before one list", "not in a quick run")
            return
        for backends in SIZES:
            yield from uvloop.run(play_processes(PROCESS_COUNT, backends))

    return [Play("processes", processes, size.BACKENDS, LIMITS)]
