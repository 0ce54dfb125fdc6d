"""Open-loop clients on sockets behind front-end proxies; they send each request at its drawn arrival time."""

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

LOST_AFTER_DEADLINE_MS = 500.0
DOWN_CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 1.0
TERMINATION_NOTICE_S = 0.3  # Front-end proxies stop using a node 0.3 s after its SIGTERM.
FAILED_CHECKS_UNTIL_DOWN = 2
LINK_POLL_S = 0.02
TIMER_TOLERANCE_MS = 0.5
IDENT_STEP = 0x9E3779B97F4A7C15  # An odd step makes all request IDs of an operation differ.
REJECTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


def next_ident(ident: str, number: int) -> str:
    """Return the request ID of an operation's attempt, which is the same in every run of a seed."""
    return f"{(int(ident, 16) + number * IDENT_STEP) % 2**64:016x}"


class FrontEndProxy:
    """Distributes a zone's client connections over nodes, and detects dead nodes with a delay."""

    def __init__(
        self, spec: Experiment, zone: str, addresses: AddressPlan, network: NetworkConditions
    ) -> None:
        """Create the proxy of a zone, whose health checks begin with `start`."""
        self.spec, self.zone, self.addresses, self.network = spec, zone, addresses, network
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
            # A node counts as down after two failed checks, which fit into `failure-detection-s`.
            await asyncio.sleep(
                self.spec.clients.failure_detection_s / 2 if self.up[node] else DOWN_CHECK_INTERVAL_S
            )

    async def _check(self, node: int) -> bool:
        if self.network.is_cut(f"c-{self.zone}", f"n{node}"):
            return False
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.addresses.node(node))
                writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        return line.startswith(b"HTTP/1.1 200")

    def leave(self, node: int) -> None:
        """Open no new connections to a node until it has failed its checks and passes them again."""
        self.leaving.add(node)
        self.up[node] = False

    def choose_node(self) -> int | None:
        """Return the zone's next live node for a new connection, or one of any zone if it has none."""
        for nodes in (self.own, list(self.up)):
            alive = [n for n in nodes if self.up[n]]
            if alive:
                self.turn += 1
                return alive[self.turn % len(alive)]
        return None


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """A client attempt that has no final result yet."""

    operation: Operation
    row: int
    step: PlannedAttempt
    record: records.ClientAttemptRecord
    data: bytes
    connection: ClientConnection | None = (
        None  # The request of an attempt was last written to this connection.
    )
    ended: bool = False  # An attempt has ended once its client no longer waits for the response.
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class ClientConnection(ImpairedConnection):
    """Client side of a connection to a node."""

    def __init__(
        self, group: ClientGroup, node: int, in_flight: InFlightAttempt, remaining_requests: int
    ) -> None:
        """Create a connection for an attempt; it closes after `remaining_requests` requests."""
        super().__init__(group.network, group.clock, f"c-{group.zone}", f"n{node}")
        self.group, self.node, self.remaining_requests = group, node, remaining_requests
        self.in_flight: InFlightAttempt | None = in_flight
        self.parser = httptools.HttpResponseParser(self)
        self.new_connection = self.keep = True

    def up(self) -> None:
        """Send the attempt that was waiting for the connection."""
        self.group.connections.add(self)
        if self.in_flight is not None:
            self.write(self.in_flight)

    def write(self, in_flight: InFlightAttempt) -> None:
        """Send a request on this connection."""
        self.in_flight, in_flight.connection = in_flight, self
        in_flight.record.node, in_flight.record.new_connection = self.node, self.new_connection
        if in_flight.ended:  # The attempt timed out while the connection was being established.
            self.group.free(self)
            return
        self.body, self.retry_after, self.keep = b"", 0.0, True
        in_flight.record.sent_at = self.clock.now()
        self.remaining_requests -= 1
        self.send(in_flight.data)

    def received(self, data: bytes) -> None:
        """Parse received bytes of a response; reset the connection if they are malformed."""
        if self.in_flight is not None:
            self.in_flight.record.response_started = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the delay of a `Retry-After` header, unless it is no number."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after = float(value) * 1000

    def on_body(self, body: bytes) -> None:
        """Append a piece of the response body."""
        self.body += body

    def on_message_complete(self) -> None:
        """End the attempt in flight with its complete response."""
        in_flight, code = self.in_flight, self.parser.get_status_code()
        if in_flight is None or code < HTTPStatus.OK:
            return
        self.new_connection, record = False, in_flight.record
        record.answered_at, record.status = self.clock.now(), code
        record.response_body, record.retry_after_ms = self.body.decode("latin-1"), self.retry_after
        end = _outcome(code)
        self.keep = self.parser.should_keep_alive()
        self.in_flight = None
        self.group.ended(in_flight, end)
        self.group.free(self)

    def ended(self) -> None:
        """Report the closed connection to its client group."""
        self.group.lost(self)


class ClientGroup:
    """Clients of a zone in one lab process; they send every `of`-th arrival from number `part` on."""

    def __init__(self, spec: Experiment, seed: int, zone: str, part: int, of: int, addresses: AddressPlan,
                 network: NetworkConditions, clock: RunClock,
                 run_records: records.RunRecords) -> None:  # fmt: skip
        """Draw the arrivals that this process sends for a zone."""
        self.spec, self.zone, self.addresses, self.network = spec, zone, addresses, network
        self.clock, self.run_records = clock, run_records
        self.front_end = FrontEndProxy(spec, zone, addresses, network)
        self.arrivals = _part(draw_arrivals(spec, seed, zone), part, of)
        self.random = random_stream(seed, "connections", zone, part)
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.next = 0
        self.open = 0
        self.done = asyncio.Event()
        self.counts: Counter[str] = Counter()
        self.recent_latencies_ms: list[float] = []  # Latencies are kept until the next call of `live`.
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to send arrivals; the zero of the run clock must be set before."""
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, 0):  # Planned restarts are the same for every seed.
            if isinstance(moment.fault, Terminate):
                at = moment.at_s + TERMINATION_NOTICE_S - self.clock.now() / 1000
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
        self.run_records.lateness.append(max(0.0, now - scheduled_at))
        step = operation.begin_attempt(max(now, scheduled_at))
        ident = next_ident(first, step.number)
        cls = operation.cls
        record = records.ClientAttemptRecord(
            ident, first, self.zone, int(self.arrivals.kind[row]), step.number, -1, operation.intended_at,
            scheduled_at, 0.0, step.deadline, 0.0, "", key=f"k{first}" if cls.effect == "dedup" else "",
        )  # fmt: skip
        self.run_records.client_attempts.append(record)
        data = _request(record, cls, float(self.arrivals.work[row]), step.deadline - max(now, scheduled_at))
        in_flight = InFlightAttempt(operation, row, step, record, data)
        self._end_at(in_flight, step.deadline, Outcome.TIMED_OUT)
        if step.disconnects_at is not None:
            self._end_at(in_flight, step.disconnects_at, Outcome.ABANDONED)
        self._assign_connection(in_flight)

    def _end_at(self, in_flight: InFlightAttempt, retry_at: float, end: Outcome) -> None:
        wait = max(0.0, retry_at - self.clock.now()) / 1000
        in_flight.timers.append(asyncio.get_running_loop().call_later(wait, self.ended, in_flight, end))

    def _assign_connection(self, in_flight: InFlightAttempt, new_connection: bool = False) -> None:
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
        remaining_requests = int(self.random.geometric(1 / self.spec.clients.requests_per_connection))
        while self.network.is_cut(f"c-{self.zone}", f"n{node}"):
            if in_flight.ended:
                return
            await asyncio.sleep(LINK_POLL_S)
        try:
            remaining_s = max(0.01, (in_flight.step.deadline - self.clock.now()) / 1000)
            async with asyncio.timeout(remaining_s):
                await loop.create_connection(
                    lambda: ClientConnection(self, node, in_flight, remaining_requests),
                    *self.addresses.node(node),
                )
        except OSError:
            self.ended(in_flight, Outcome.UNREACHABLE)
        except TimeoutError:
            pass  # The deadline timer of the attempt reports the timeout.

    def free(self, connection: ClientConnection) -> None:
        """Return a connection to the idle pool, or close it after its last request."""
        connection.in_flight = None
        if connection.remaining_requests <= 0 or not connection.keep:
            connection.finish()
        else:
            self.idle.append(connection)

    def lost(self, connection: ClientConnection) -> None:
        """Handle a closed connection: resend its attempt once, or report a disconnect."""
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
            self._assign_connection(in_flight, new_connection=True)
        else:
            self.ended(in_flight, Outcome.DISCONNECTED)

    def ended(self, in_flight: InFlightAttempt, end: Outcome) -> None:
        """End an attempt for its client; a later response is still recorded."""
        now, record = self.clock.now(), in_flight.record
        if in_flight.ended:
            return
        in_flight.ended, record.ended_at, record.outcome = True, now, end.value
        for timer in in_flight.timers:
            timer.cancel()
        if end is Outcome.ABANDONED:
            self._reset_connection(in_flight)
        elif end is Outcome.TIMED_OUT:
            asyncio.get_running_loop().call_later(
                LOST_AFTER_DEADLINE_MS / 1000, self._reset_connection, in_flight
            )
        self.counts[end.value] += 1
        if end is Outcome.SERVED:
            self.recent_latencies_ms.append(now - in_flight.operation.intended_at)
        retry_at = in_flight.operation.next_attempt_at(
            now, record.sent_at or record.scheduled_at, end, record.retry_after_ms
        )
        if retry_at is None:
            record.is_last = True
            self.open -= 1
            if not self.open and self.next >= len(self.arrivals.at):
                self.done.set()
        else:
            wait = max(0.0, retry_at - now) / 1000
            asyncio.get_running_loop().call_later(
                wait, self._send_attempt, in_flight.operation, in_flight.row, retry_at, record.operation
            )

    def _reset_connection(self, in_flight: InFlightAttempt) -> None:
        if in_flight.connection is not None and in_flight.connection.in_flight is in_flight:
            in_flight.connection.reset()

    def live(self) -> dict[str, Any]:
        """Return live figures for the display: outcomes so far, and latencies since the last call."""
        recent, self.recent_latencies_ms = self.recent_latencies_ms, []
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
    """Return the HTTP method and body that an operation's requests have."""
    return ("GET", "") if cls.effect == "retryable" else ("POST", f'{{"wish":"{operation}"}}')


def _request(record: records.ClientAttemptRecord, cls: RequestClass, work: float, wait: float) -> bytes:
    method, body = method_and_body(cls, record.operation)
    lines = [
        f"{method} /{cls.name}/{record.operation}?{WORK_PARAMETER}={work:.3f} HTTP/1.1", "Host: api.internal",
        f"Request-Id: {record.ident}", f"Request-Timeout: {wait:.3f}m",
    ]  # fmt: skip
    if record.key:
        lines.append(f"Idempotency-Key: {record.key}")
    if record.attempt_number:
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
