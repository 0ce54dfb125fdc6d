"""Concurrent clients of some nodes in a separate process, with an open loop of requests at a steady rate.

The process reads a plan as a line of JSON, reports that it is ready, reads its start time, and writes its
results.
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
ANSWER_TIMEOUT_S = 5.0  # Requests count as unanswered if the response is missing 5 s after the last request.
POLL_INTERVAL_S = 0.02
MAX_CONNECTIONS = 64  # If all 64 connections to a node are busy, further requests wait for one of them.
MAX_LINE_BYTES = 2**26
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
CONNECTION_CLOSE = re.compile(rb"connection: close", re.IGNORECASE)


class Plan(msgspec.Struct, frozen=True):
    """The load of one process: a request rate for each node, and the durations of both parts in seconds."""

    ports: list[int]
    per_s: float
    first: float
    second: float


class PartResult(msgspec.Struct):
    """The results of the requests that were due in one part of the run.

    `until` is the end of the part on the monotonic clock; only requests sent before it count as `sent`.
    """

    until: float
    scheduled: int = 0
    sent: int = 0
    # Responses are counted by status; status 0 stands for requests without a response.
    statuses: dict[int, int] = msgspec.field(default_factory=dict)
    # Latencies of responses are measured from the time at which the request was due.
    took_ms: list[float] = msgspec.field(default_factory=list)
    # The delay with which the harness itself sends each request is recorded to detect an overloaded machine.
    late_ms: list[float] = msgspec.field(default_factory=list)

    def answered(self, status: int, count: int = 1) -> None:
        """Count requests that have ended, by status."""
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
        # A request in progress is stored as its part of the run and the time at which it was due.
        self.request: tuple[PartResult, float] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, part: PartResult, due_at: float) -> None:
        """Send a request and count it as sent if its part has not ended yet."""
        self.request = part, due_at
        part.sent += time.monotonic() < part.until
        self.transport.write(
            b"GET /c0 HTTP/1.1\r\nHost: node\r\nRequest-Id: %016x\r\n\r\n" % self.target.number
        )
        self.target.number += 1

    def data_received(self, data: bytes) -> None:
        """Parse a piece of a response, and end the request once the response is complete (asyncio)."""
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
            self.target.connection_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress as unanswered (asyncio)."""
        self._end_request(0)
        self.target.remove(self)

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
        """Start without connections to the node that listens on this port."""
        self.port, self.number = port, 0
        self.idle: list[CallerConnection] = []
        self.connections = 0  # The number of connections includes those that are still being opened.
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
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: CallerConnection(self), HOST, self.port
            )
        except OSError:
            self.connections -= 1
            if self.waiting:
                self.waiting.pop(0)[0].answered(0)
        else:
            self.connection_idle(connection)

    def connection_idle(self, connection: CallerConnection) -> None:
        """Use an idle connection for the next waiting request, or keep it for later."""
        if self.waiting:
            connection.send(*self.waiting.pop(0))
        else:
            self.idle.append(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)


async def send_all(plan: Plan, begin: float) -> list[PartResult]:
    """Send all requests from `begin` on, a time of the monotonic clock; return the results of both parts."""
    parts = PartResult(begin + plan.first), PartResult(begin + plan.first + plan.second)
    targets = [Target(port) for port in plan.ports]
    per_s = plan.per_s * len(targets)
    first, total = round(plan.first * per_s), round((plan.first + plan.second) * per_s)
    for number in range(total):
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
    """A process of concurrent clients, controlled by its parent."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a process that has been started."""
        self.process = process

    async def send_from(self, when: float) -> None:
        """Tell the process to send requests from `when` on, in seconds of the monotonic clock."""
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(when) + b"\n")
        await self.process.stdin.drain()

    async def results(self) -> list[PartResult]:
        """Wait for the results of the process.

        Raises:
            msgspec.DecodeError: The process ended without results.
        """
        assert self.process.stdout is not None
        return msgspec.json.decode(await self.process.stdout.readline(), type=list[PartResult])


async def spawn(stack: AsyncExitStack, plan: Plan) -> CallerProcess:
    """Start a client process that is killed when the stack closes, and wait until it is ready."""
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
    """Run the client process: read the plan and the start time from stdin, write the results to stdout."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=Plan)
    gc.freeze()
    sys.stdout.write("null\n")
    sys.stdout.flush()
    begin = msgspec.json.decode(sys.stdin.readline(), type=float)
    parts = uvloop.run(send_all(plan, begin))
    sys.stdout.write(msgspec.json.encode(parts).decode() + "\n")


if __name__ == "__main__":
    main()
