"""Clients on sockets behind front-end proxies: an open loop that sends arrivals on time."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools
import numpy as np

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Terminate
from balancer.experiments.random_streams import random_stream
from balancer.experiments.tables import RequestClass
from balancer.lab import records
from balancer.lab.addresses import AddressPlan
from balancer.lab.backend_stubs import WORK_PARAMETER
from balancer.lab.impaired_sockets import ImpairedConnection, RunClock
from balancer.lab.timeline import timeline
from balancer.models.client import Operation, Outcome, PlannedAttempt
from balancer.models.load import Arrivals, draw_arrivals
from balancer.models.network import NetworkConditions

OVERDUE_MS = 500.0  # after its deadline, a request without an answer counts as lost
DOWN_CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 1.0
TERMINATION_NOTICE_S = 0.3  # after SIGTERM, until the front-end proxies use the node no more
FAILED_CHECKS_UNTIL_DOWN = 2
LINK_POLL_S = 0.02
TIMER_TOLERANCE_MS = 0.5
IDENT_STEP = 0x9E3779B97F4A7C15  # odd, so that all identifiers of an operation differ
REJECTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


def next_ident(ident: str, number: int) -> str:
    """Return the request identifier of an attempt, the same in every run of a seed."""
    return f"{(int(ident, 16) + number * IDENT_STEP) % 2**64:016x}"


class FrontEndProxy:
    """Distributes the connections of a zone's clients over nodes; detects a dead node with a delay."""

    def __init__(self, spec: Experiment, zone: str, places: AddressPlan, network: NetworkConditions) -> None:
        """Prepare the proxy of a zone; `start` begins its checks."""
        self.spec, self.zone, self.places, self.network = spec, zone, places, network
        names = spec.node_names
        self.own = [i for i, n in enumerate(names) if spec.zone_of(n) == zone]
        self.up: dict[int, bool] = dict.fromkeys(range(len(names)), False)
        self.leaving: set[int] = set()
        self.turn = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the health checks of the nodes."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._watch(node)) for node in self.up]

    async def _watch(self, node: int) -> None:
        missed = 0
        while True:
            good = await self._check(node)
            missed = 0 if good else missed + 1
            if good:
                self.up[node] = node not in self.leaving
            elif missed >= FAILED_CHECKS_UNTIL_DOWN:
                self.up[node] = False
                self.leaving.discard(node)
            # Two checks in a row have to fail within `failure-detection-s`.
            await asyncio.sleep(
                self.spec.clients.failure_detection_s / 2 if self.up[node] else DOWN_CHECK_INTERVAL_S
            )

    async def _check(self, node: int) -> bool:
        if self.network.is_cut(f"c-{self.zone}", f"n{node}"):
            return False
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.places.node(node))
                writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        return line.startswith(b"HTTP/1.1 200")

    def leave(self, node: int) -> None:
        """Open no new connections to a node until it has been down and answers again."""
        self.leaving.add(node)
        self.up[node] = False

    def choose_node(self) -> int | None:
        """Return the node of a new connection: of the zone in turn, else of another zone."""
        for nodes in (self.own, list(self.up)):
            alive = [n for n in nodes if self.up[n]]
            if alive:
                self.turn += 1
                return alive[self.turn % len(alive)]
        return None


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight."""

    operation: Operation
    row: int
    step: PlannedAttempt
    record: records.ClientAttemptRecord
    data: bytes
    connection: ClientConnection | None = None  # what it was written to last
    ended: bool = False  # the client has moved on
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class ClientConnection(ImpairedConnection):
    """A connection of a client to a node."""

    def __init__(self, group: ClientGroup, node: int, in_flight: InFlightAttempt, uses: int) -> None:
        """Prepare a connection for an attempt; `uses` bounds its requests."""
        super().__init__(group.network, group.clock, f"c-{group.zone}", f"n{node}")
        self.group, self.node, self.uses = group, node, uses
        self.in_flight: InFlightAttempt | None = in_flight
        self.parser = httptools.HttpResponseParser(self)
        self.new_connection = self.keep = True

    def up(self) -> None:
        """Send the attempt that waits for the connection."""
        self.group.connections.add(self)
        if self.in_flight is not None:
            self.write(self.in_flight)

    def write(self, in_flight: InFlightAttempt) -> None:
        """Send a request on this connection."""
        self.in_flight, in_flight.connection = in_flight, self
        in_flight.record.node, in_flight.record.new_connection = self.node, self.new_connection
        if in_flight.ended:  # its time ran out while the connection came up
            self.group.free(self)
            return
        self.body, self.retry_after, self.keep = b"", 0.0, True
        in_flight.record.sent = self.clock.now()
        self.uses -= 1
        self.send(in_flight.data)

    def received(self, data: bytes) -> None:
        """Parse a piece of a response."""
        if self.in_flight is not None:
            self.in_flight.record.response_started = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the advice of `Retry-After`."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after = float(value) * 1000

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """End the attempt with its response."""
        in_flight, code = self.in_flight, self.parser.get_status_code()
        if in_flight is None or code < HTTPStatus.OK:
            return
        self.new_connection, record = False, in_flight.record
        record.answered, record.status = self.clock.now(), code
        record.body, record.retry_after = self.body.decode("latin-1"), self.retry_after
        end = _outcome(code)
        self.keep = self.parser.should_keep_alive()
        self.in_flight = None
        self.group.ended(in_flight, end)
        self.group.free(self)

    def ended(self) -> None:
        """Report the end of the connection."""
        self.group.lost(self)


class ClientGroup:
    """The clients of one zone in one process of the lab: every `of`-th arrival from `part` on."""

    def __init__(self, spec: Experiment, seed: int, zone: str, part: int, of: int, places: AddressPlan,
                 network: NetworkConditions, clock: RunClock, seen: records.RunRecords) -> None:  # fmt: skip
        """Draw the arrivals of this part of a zone."""
        self.spec, self.zone, self.places, self.network = spec, zone, places, network
        self.clock, self.seen = clock, seen
        self.front_end = FrontEndProxy(spec, zone, places, network)
        self.arrivals = _part(draw_arrivals(spec, seed, zone), part, of)
        self.random = random_stream(seed, "connections", zone, part)
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.next = 0
        self.open = 0
        self.done = asyncio.Event()
        self.counts: Counter[str] = Counter()
        self.recent: list[float] = []  # ms: answers since the last look
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to send, once the zero of the clock is set."""
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, 0):  # no seed draws a planned restart
            if isinstance(moment.fault, Terminate):
                at = moment.at + TERMINATION_NOTICE_S - self.clock.now() / 1000
                for name in moment.names:
                    loop.call_later(max(0.0, at), self.front_end.leave, int(name[1:]))
        self._send_due()

    def _send_due(self) -> None:
        now, total = self.clock.now(), len(self.arrivals.at)
        while self.next < total and self.arrivals.at[self.next] <= now + TIMER_TOLERANCE_MS:
            row, self.next = self.next, self.next + 1
            cls = self.spec.load.classes[self.arrivals.kind[row]]
            operation = Operation(cls, self.spec.clients, float(self.arrivals.at[row]),
                        tuple(self.arrivals.client_draws[row].tolist()))  # fmt: skip
            self.open += 1
            self._send_attempt(
                operation, row, float(self.arrivals.at[row]), f"{int(self.arrivals.ident[row]):016x}"
            )
        if self.next < total:
            wait = (self.arrivals.at[self.next] - self.clock.now()) / 1000
            asyncio.get_running_loop().call_later(max(0.0, float(wait)), self._send_due)
        elif not self.open:
            self.done.set()

    def _send_attempt(self, operation: Operation, row: int, scheduled_at: float, first: str) -> None:
        now = self.clock.now()
        self.seen.lateness.append(max(0.0, now - scheduled_at))
        step = operation.begin_attempt(max(now, scheduled_at))
        ident = next_ident(first, step.number)
        cls = operation.cls
        record = records.ClientAttemptRecord(
            ident, first, self.zone, int(self.arrivals.kind[row]), step.number, -1, operation.intended_at,
            scheduled_at, 0.0, step.deadline, 0.0, "", key=f"k{first}" if cls.effect == "dedup" else "",
        )  # fmt: skip
        self.seen.client_attempts.append(record)
        data = _request(record, cls, float(self.arrivals.work[row]), step.deadline - max(now, scheduled_at))
        in_flight = InFlightAttempt(operation, row, step, record, data)
        self._at(in_flight, step.deadline, Outcome.TIMED_OUT)
        if step.disconnects_at is not None:
            self._at(in_flight, step.disconnects_at, Outcome.ABANDONED)
        self._place(in_flight)

    def _at(self, in_flight: InFlightAttempt, retry_at: float, end: Outcome) -> None:
        wait = max(0.0, retry_at - self.clock.now()) / 1000
        in_flight.timers.append(asyncio.get_running_loop().call_later(wait, self.ended, in_flight, end))

    def _place(self, in_flight: InFlightAttempt, new_connection: bool = False) -> None:
        while self.idle and not new_connection:
            index = int(self.random.random() * len(self.idle))
            self.idle[index], self.idle[-1] = self.idle[-1], self.idle[index]
            connection = self.idle.pop()
            if connection.open and connection.transport is not None and not connection.transport.is_closing():
                connection.write(in_flight)
                return
        node = self.front_end.choose_node()
        if node is None:
            self.ended(in_flight, Outcome.UNREACHABLE)
            return
        task = asyncio.get_running_loop().create_task(self._connect(in_flight, node))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, in_flight: InFlightAttempt, node: int) -> None:
        loop = asyncio.get_running_loop()
        in_flight.record.node = node
        uses = int(self.random.geometric(1 / self.spec.clients.requests_per_connection))
        while self.network.is_cut(f"c-{self.zone}", f"n{node}"):
            if in_flight.ended:
                return
            await asyncio.sleep(LINK_POLL_S)
        try:
            remaining_s = max(0.01, (in_flight.step.deadline - self.clock.now()) / 1000)
            async with asyncio.timeout(remaining_s):
                await loop.create_connection(
                    lambda: ClientConnection(self, node, in_flight, uses), *self.places.node(node)
                )
        except OSError:
            self.ended(in_flight, Outcome.UNREACHABLE)
        except TimeoutError:
            pass  # its deadline's timer says so

    def free(self, connection: ClientConnection) -> None:
        """Take a connection back that is idle again."""
        connection.in_flight = None
        if connection.uses <= 0 or not connection.keep:
            connection.finish()
        else:
            self.idle.append(connection)

    def lost(self, connection: ClientConnection) -> None:
        """Handle the end of a connection."""
        self.connections.discard(connection)
        with contextlib.suppress(ValueError):
            self.idle.remove(connection)
        in_flight, connection.in_flight = connection.in_flight, None
        if in_flight is None:
            return
        resent_at = (
            not connection.new_connection
            and not in_flight.record.response_started
            and not in_flight.ended
            and not in_flight.record.resent_at
        )
        if resent_at:
            in_flight.record.resent_at = self.clock.now()
            self._place(in_flight, new_connection=True)
        else:
            self.ended(in_flight, Outcome.DISCONNECTED)

    def ended(self, in_flight: InFlightAttempt, end: Outcome) -> None:
        """End an attempt for its client; a late answer is still recorded."""
        now, record = self.clock.now(), in_flight.record
        if in_flight.ended:
            return
        in_flight.ended, record.ended, record.end = True, now, end.value
        for timer in in_flight.timers:
            timer.cancel()
        if end is Outcome.ABANDONED:
            self._hang_up(in_flight)
        elif end is Outcome.TIMED_OUT:
            asyncio.get_running_loop().call_later(OVERDUE_MS / 1000, self._hang_up, in_flight)
        self.counts[end.value] += 1
        if end is Outcome.SERVED:
            self.recent.append(now - in_flight.operation.intended_at)
        retry_at = in_flight.operation.next_attempt_at(
            now, record.sent or record.scheduled_at, end, record.retry_after
        )
        if retry_at is None:
            record.last = True
            self.open -= 1
            if not self.open and self.next >= len(self.arrivals.at):
                self.done.set()
        else:
            wait = max(0.0, retry_at - now) / 1000
            asyncio.get_running_loop().call_later(
                wait, self._send_attempt, in_flight.operation, in_flight.row, retry_at, record.operation
            )

    def _hang_up(self, in_flight: InFlightAttempt) -> None:
        if in_flight.connection is not None and in_flight.connection.in_flight is in_flight:
            in_flight.connection.reset()

    def live(self) -> dict[str, Any]:
        """Return live figures for the screen: outcomes so far, and latencies since the last call."""
        recent, self.recent = self.recent, []
        return {
            "ends": dict(self.counts),
            "recent": recent,
            "up": [n for n, up in self.front_end.up.items() if up],
        }


def _outcome(status: int) -> Outcome:
    if status == HTTPStatus.OK:
        return Outcome.SERVED
    return Outcome.REJECTED if status in REJECTED else Outcome.FAILED


def method_and_body(cls: RequestClass, operation: str) -> tuple[str, str]:
    """Return the method and the body of an operation's requests."""
    return ("GET", "") if cls.effect == "retryable" else ("POST", f'{{"wish":"{operation}"}}')


def _request(record: records.ClientAttemptRecord, cls: RequestClass, work: float, wait: float) -> bytes:
    method, body = method_and_body(cls, record.operation)
    lines = [
        f"{method} /{cls.name}/{record.operation}?{WORK_PARAMETER}={work:.3f} HTTP/1.1", "Host: api.internal",
        f"Request-Id: {record.ident}", f"Request-Timeout: {wait:.3f}m",
    ]  # fmt: skip
    if record.key:
        lines.append(f"Idempotency-Key: {record.key}")
    if record.number:
        lines.append("Client-Retry: 1")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", body]).encode()


def _part(arrivals: Arrivals, part: int, of: int) -> Arrivals:
    rows = np.arange(part, len(arrivals.at), of)
    return Arrivals(
        arrivals.zone,
        arrivals.at[rows],
        arrivals.kind[rows],
        arrivals.work[rows],
        arrivals.client_draws[rows],
        arrivals.ident[rows],
    )
