"""Concurrent clients of some nodes in a process of their own: an open loop of requests at a steady rate.

It reads a plan as a line of JSON, says that it is ready, reads when to begin, and writes what it saw.
"""

from __future__ import annotations

import asyncio
import gc
import os
import re
import sys
import time
from contextlib import AsyncExitStack
from typing import cast

import msgspec
import uvloop

from balancer.lab.processes import process_limits
from balancer.lab.programs import ROOT

HOST = "127.0.0.1"
ANSWER_TIMEOUT_S = 5.0  # s from the last request until all have their answers
POLL_INTERVAL_S = 0.02  # s between two looks whether they have
MAX_CONNECTIONS = 64  # connections to one node; what comes beyond that waits for one of them
MAX_LINE_BYTES = 2**26  # bytes of a line of JSON
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
CONNECTION_CLOSE = re.compile(rb"connection: close", re.IGNORECASE)


class Plan(msgspec.Struct, frozen=True):
    """The requests of one process from its begin on; times in s."""

    ports: list[int]  # of its nodes
    per_s: float  # requests to each
    first: float  # how long the first part lasts
    second: float


class PartResult(msgspec.Struct):
    """The results of the requests that were due in one part of the run."""

    until: float  # of the monotonic clock
    scheduled: int = 0
    sent: int = 0  # of them, before the part was over
    statuses: dict[int, int] = msgspec.field(default_factory=dict)  # of the answers; 0: none came
    took_ms: list[float] = msgspec.field(default_factory=list)  # of each answer, since its request was due
    late_ms: list[float] = msgspec.field(default_factory=list)  # the harness's own lateness with each request

    def answered(self, status: int, count: int = 1) -> None:
        """Count requests that have ended."""
        self.statuses[status] = self.statuses.get(status, 0) + count

    @property
    def open(self) -> int:
        """The number of requests in progress."""
        return self.scheduled - sum(self.statuses.values())


class CallerConnection(asyncio.Protocol):
    """One connection to a node, with one request at a time."""

    transport: asyncio.Transport

    def __init__(self, target: Target) -> None:
        """Prepare a connection to a node."""
        self.target, self.buffer = target, b""
        self.request: tuple[PartResult, float] | None = None  # that has no answer yet, and when it was due

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, part: PartResult, due_at: float) -> None:
        """Send a request."""
        self.request = part, due_at
        part.sent += time.monotonic() < part.until
        self.transport.write(
            b"GET /c0 HTTP/1.1\r\nHost: node\r\nRequest-Id: %016x\r\n\r\n" % self.target.number
        )
        self.target.number += 1

    def data_received(self, data: bytes) -> None:
        """Parse a piece of a response."""
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        if not found or len(body) < (int(length[1]) if length else 0):
            return
        self.buffer = b""
        self._end_request(int(head[9:12]))
        if CONNECTION_CLOSE.search(head):
            self.transport.close()
        else:
            self.target.free(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress without an answer."""
        self._end_request(0)
        self.target.lost(self)

    def _end_request(self, status: int) -> None:
        if self.request is not None:
            part, due_at = self.request
            part.answered(status)
            if status:
                part.took_ms.append((time.monotonic() - due_at) * 1000)
            self.request = None


class Target:
    """One node, and the requests that wait for a connection to it."""

    def __init__(self, port: int) -> None:
        """Prepare the connections to a node by its port."""
        self.port, self.number = port, 0
        self.idle: list[CallerConnection] = []
        self.connections = 0  # with those that are being opened
        self.waiting: list[tuple[PartResult, float]] = []
        self.opening: set[asyncio.Task[None]] = set()

    def send(self, part: PartResult, due_at: float) -> None:
        """Send a request on an idle connection, a new one, or the next that becomes idle."""
        if self.idle:
            self.idle.pop().send(part, due_at)
            return
        self.waiting.append((part, due_at))
        if self.connections < MAX_CONNECTIONS:
            self.connections += 1
            task = asyncio.get_running_loop().create_task(self._open())
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        try:
            _, wire = await asyncio.get_running_loop().create_connection(
                lambda: CallerConnection(self), HOST, self.port
            )
        except OSError:
            self.connections -= 1
            if self.waiting:
                self.waiting.pop(0)[0].answered(0)
        else:
            self.free(wire)

    def free(self, wire: CallerConnection) -> None:
        """Take a connection that is idle."""
        if self.waiting:
            wire.send(*self.waiting.pop(0))
        else:
            self.idle.append(wire)

    def lost(self, wire: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self.connections -= 1
        if wire in self.idle:
            self.idle.remove(wire)


async def send_all(plan: Plan, begin: float) -> list[PartResult]:
    """Send all requests from `begin` (s, monotonic) on, and return the results of both parts."""
    parts = PartResult(begin + plan.first), PartResult(begin + plan.first + plan.second)
    targets = [Target(port) for port in plan.ports]
    per_s = plan.per_s * len(targets)
    first, every = round(plan.first * per_s), round((plan.first + plan.second) * per_s)
    for number in range(every):
        due_at = begin + number / per_s
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        part = parts[number >= first]
        part.scheduled += 1
        part.late_ms.append(max(0.0, time.monotonic() - due_at) * 1000)
        targets[number % len(targets)].send(part, due_at)
    last = time.monotonic() + ANSWER_TIMEOUT_S
    while any(part.open for part in parts) and time.monotonic() < last:
        await asyncio.sleep(POLL_INTERVAL_S)
    for part in parts:
        part.answered(0, part.open)
    return list(parts)


class CallerProcess:
    """A process of concurrent clients, as its parent has it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a process that has been started."""
        self.process = process

    async def begin(self, when: float) -> None:
        """Let it send from `when` (s, monotonic) on."""
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(when) + b"\n")
        await self.process.stdin.drain()

    async def parts(self) -> list[PartResult]:
        """Return its results once it is done; raises msgspec.DecodeError where it has ended without."""
        assert self.process.stdout is not None
        return msgspec.json.decode(await self.process.stdout.readline(), type=list[PartResult])


async def spawn(stack: AsyncExitStack, plan: Plan) -> CallerProcess:
    """Start one and wait until it is ready; it ends with the stack."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "balancer.lab.scale.concurrent_callers", cwd=ROOT, limit=MAX_LINE_BYTES,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        preexec_fn=process_limits(sorted(os.sched_getaffinity(0)), None),
    )  # fmt: skip

    async def end() -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    stack.push_async_callback(end)
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(msgspec.json.encode(plan) + b"\n")
    await process.stdout.readline()
    return CallerProcess(process)


def main() -> None:
    """Run the process."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=Plan)
    gc.freeze()
    sys.stdout.write("null\n")
    sys.stdout.flush()
    begin = msgspec.json.decode(sys.stdin.readline(), type=float)
    parts = uvloop.run(send_all(plan, begin))
    sys.stdout.write(msgspec.json.encode(parts).decode() + "\n")


if __name__ == "__main__":
    main()
