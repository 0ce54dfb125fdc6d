"""Backend stubs on sockets; each node reaches each backend at a separate address."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs

import httptools

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import SlowConnects
from balancer.experiments.random_streams import random_stream
from balancer.lab import records
from balancer.lab.addresses import AddressPlan
from balancer.lab.impaired_sockets import ImpairedConnection, ImpairedListener, RunClock
from balancer.models.backend import EXECUTED, Backend, Job, OverloadCollapse, SeenKeys, Verdict
from balancer.models.connect_delay import connect_delays
from balancer.models.network import NetworkConditions

STATUS_LINES = {
    Verdict.SERVED: "200 OK", Verdict.REPEATED: "200 OK", Verdict.ERROR: "500 Internal Server Error",
    Verdict.REJECTED: "503 Service Unavailable", Verdict.EXPIRED: "504 Gateway Timeout",
}  # fmt: skip
MIN_TIMER_DELAY_MS = 0.5  # The event loop's timers cannot resolve delays below 0.5 ms.
TIMER_TOLERANCE_MS = 0.5
NOT_STARTED = frozenset({Verdict.REJECTED, Verdict.EXPIRED})
WORK_PARAMETER = "w"  # The query parameter `w` carries the work of a request; nodes forward it unread.


def answer(code: str, body: bytes, *headers: str) -> bytes:
    """Return the bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {code}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class BackendStub:
    """A backend model on sockets, with one listener per node."""

    def __init__(self, group: BackendGroup, number: int, model: Backend) -> None:
        """Create the listeners, which `open` starts."""
        self.group, self.number, self.model, self.name = group, number, model, f"s{number}"
        # Connections are kept in order of arrival because a run's random draws follow this order.
        self.connections: dict[BackendConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.cap = group.spec.backends.connections_per_core * group.spec.backends.cores
        self.served = self.errors = 0  # The counts of responses feed the live display only.
        self.alive = True
        self.owners: dict[Job, BackendConnection] = {}
        self.unresponsive: set[int] = set()  # Connections from these nodes stay unaccepted for a while.
        self.listeners = [self._listener(node) for node in range(group.spec.fleet.nodes)]

    def _listener(self, node: int) -> ImpairedListener:
        address = self.group.addresses.backend(node, self.number)
        return ImpairedListener(address, lambda: BackendConnection(self, node))

    def network_changed(self) -> None:
        """Leave connections from nodes behind a cut link unaccepted until the link is back."""
        for node, listener in enumerate(self.listeners):
            listener.set_unresponsive(
                node in self.unresponsive or self.group.network.is_cut(f"n{node}", self.name)
            )

    def schedule_connect_delays(self, fault: SlowConnects) -> None:
        """Schedule the intervals in which new connections from each node are accepted late."""
        loop, now = asyncio.get_running_loop(), self.group.clock.now() / 1000
        for node in range(self.group.spec.fleet.nodes):
            random = random_stream(self.group.seed, "late", str(fault.at), self.number, node)
            for begin, end in connect_delays(random, fault.share, fault.at, fault.ends_at):
                loop.call_later(begin - now, self._set_unresponsive, node, True)
                loop.call_later(end - now, self._set_unresponsive, node, False)

    def _set_unresponsive(self, node: int, on: bool) -> None:
        (self.unresponsive.add if on else self.unresponsive.discard)(node)
        self.network_changed()

    def open(self) -> None:
        """Start the listeners of all nodes."""
        for listener in self.listeners:
            listener.open()
        self.alive = True
        self.network_changed()

    def close(self) -> None:
        """Stop the backend: reset its connections, refuse new ones and lose the requests in progress."""
        self.alive = False
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.drop()

    def restart(self) -> None:
        """Restart the backend in its cold state."""
        self.close()
        self.model.restart(self.group.clock.now())
        self.owners.clear()
        self.open()

    def offer(self, job: Job, connection: BackendConnection) -> None:
        """Submit a completely received attempt to the backend model."""
        collapsed = self.model.collapse
        verdict = self.model.offer(self.group.clock.now(), job)
        if verdict is not None:
            job.verdict = verdict
            if verdict is Verdict.ERROR:
                asyncio.get_running_loop().call_later(
                    self.model.active_faults.gray_ms / 1000, connection.conclude, job
                )
            else:
                connection.conclude(job)
        else:
            self.owners[job] = connection
            self.arm()
        if self.model.collapse is not None and collapsed is None:
            self.group.collapsed(self, self.model.collapse)
            self.close()

    def arm(self) -> None:
        """Set the timer to the time at which the next request ends."""
        ends_at = self.model.next_end
        if ends_at is None or (self.timer is not None and self.timer_at <= ends_at):
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, ends_at - self.group.clock.now()) / 1000
        self.timer, self.timer_at = asyncio.get_running_loop().call_later(wait, self._on_timer), ends_at

    def _on_timer(self) -> None:
        self.timer = None
        self.conclude(self.model.advance(self.group.clock.now() + TIMER_TOLERANCE_MS))
        self.arm()

    def conclude(self, jobs: list[Job]) -> None:
        """Send the responses of requests that have ended."""
        for job in jobs:
            if (connection := self.owners.pop(job, None)) is not None:
                connection.conclude(job)


class BackendConnection(ImpairedConnection):
    """Backend side of a connection from a node."""

    def __init__(self, stub: BackendStub, node: int) -> None:
        """Create the state of a connection that is not established yet."""
        super().__init__(stub.group.network, stub.group.clock, stub.name, f"n{node}")
        self.stub, self.node = stub, node
        self.parser = httptools.HttpRequestParser(self)
        self.new_connection, self.surplus = True, False
        self.first = 0.0
        self.record: records.BackendAttemptRecord | None = None
        self.job: Job | None = None
        self.alive = True

    def up(self) -> None:
        """Register the connection; a connection over the limit has its first request rejected."""
        self.surplus = len(self.stub.connections) >= self.stub.cap
        self.stub.connections[self] = None

    def peer_closed(self) -> None:
        """Record when the node closed the connection during an attempt."""
        if self.record is not None and not self.record.ended_at and not self.record.closed_at:
            self.record.closed_at = self.closed_at

    def received(self, data: bytes) -> None:
        """Parse received bytes of a request; reset the connection if they are malformed."""
        self.first = self.first or self.read_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            self.stub.group.run_records.unknown.append(f"{self.peer}: {err}")
            self.reset()

    def ended(self) -> None:
        """Remove the closed connection from its backend."""
        self.stub.connections.pop(self, None)
        self.alive = False

    def drop(self) -> None:
        """Record the attempt in progress as lost and reset the connection."""
        if self.record is not None and not self.record.ended_at:
            self.record.verdict, self.record.ended_at = "lost", self.clock.now()
            self.record.was_executed = self.job is not None and self.job.started
        self.reset()

    # --- callbacks of the httptools parser

    def on_message_begin(self) -> None:
        """Clear the parsed fields for a new request."""
        self.headers: dict[bytes, bytes] = {}
        self.url = self.body = b""

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a request header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a piece of the request body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Answer a health check, or submit an attempt to the backend model."""
        path, _, query = self.url.decode("latin-1").partition("?")
        method = self.parser.get_method().decode()
        first, self.first = self.first, 0.0
        if method == "GET" and path in ("/alive", "/metrics/load"):
            self._probe()
            return
        ident = self.headers.get(b"request-id", b"").decode("latin-1")
        if not ident:
            self.send(answer("404 Not Found", b""))
            return
        request_class = self.stub.group.classes.get(path.split("/")[1] if "/" in path else "")
        try:
            work = float(parse_qs(query)[WORK_PARAMETER][0])
            timeout = _milliseconds(self.headers.get(b"request-timeout", b""))
        except (KeyError, ValueError):
            request_class = None
            work = timeout = 0.0
        if request_class is None:
            self.stub.group.run_records.unknown.append(
                f"{self.peer}: {method} {self.url.decode('latin-1')} {ident}"
            )
            self.send(answer("400 Bad Request", b""))
            return
        key = self.headers.get(b"idempotency-key", b"").decode("latin-1")
        span = request_class.memory_span_ms if request_class.effect == "dedup" else 0.0
        now = self.clock.now()
        self.record = records.BackendAttemptRecord(
            ident, self.node, self.stub.number, method, self.url.decode("latin-1"), key, first, self.read_at,
            "", 0.0, self.closed_at, False, request_body=self.body.decode("latin-1"),
        )  # fmt: skip
        self.stub.group.run_records.backend_attempts.append(self.record)
        if self.new_connection:
            work += self.stub.group.spec.backends.handshake_ms
        self.job = Job(ident, self.node, work, now, now + timeout, key if span else "", span)
        self._submit(self.job)

    def _submit(self, job: Job) -> None:
        """Submit an attempt, after the handshake on a new connection; reject it on a surplus one."""
        new_connection, self.new_connection = self.new_connection, False
        if self.surplus:
            job.verdict = Verdict.REJECTED
            self.conclude(job)
        elif new_connection and (wait := self._handshake_ms()) >= MIN_TIMER_DELAY_MS:
            asyncio.get_running_loop().call_later(wait / 1000, self._late_offer, job)
        else:
            self.stub.offer(job, self)

    def _handshake_ms(self) -> float:
        link = self.network.conditions(self.peer, self.me)
        return 2 * link.delay * self.stub.group.spec.backends.handshake_rtts

    def _late_offer(self, job: Job) -> None:
        if self.stub.alive and self.alive:
            self.stub.offer(job, self)

    def _probe(self) -> None:
        handled, waiting = self.stub.model.request_counts
        report = f"Server-Load: TEXT inflight={handled}, queue={waiting}"
        self.send(answer("200 OK", b"", report))

    def conclude(self, job: Job) -> None:
        """Send the response of an attempt that has ended, or reset its connection."""
        record = self.record
        if record is None or record.ident != job.ident or record.ended_at:
            return
        verdict = job.verdict
        record.verdict, record.ended_at, record.was_executed = (
            verdict.value,
            self.clock.now(),
            verdict in EXECUTED,
        )
        if verdict is Verdict.RESET:
            self.reset()
            return
        body, headers = b"", []
        if verdict in (Verdict.SERVED, Verdict.REPEATED):
            self.stub.served += 1
            self.stub.group.serial += 1
            text = f"{job.ident} {self.stub.name} {self.stub.group.serial}"
            record.response_body, body = text, text.encode()
        else:
            self.stub.errors += 1
        if verdict in NOT_STARTED:
            headers.append("Not-Started: 1")
        if self.surplus:
            headers.append("Connection: close")
        self.send(answer(STATUS_LINES[verdict], body, *headers))
        if self.surplus:
            self.finish()


def _milliseconds(value: bytes) -> float:
    unit = {b"m": 1.0, b"u": 0.001}.get(value[-1:])
    if unit is None:
        raise ValueError(value)
    return float(value[:-1]) * unit


class BackendGroup:
    """The backends of one lab process: whole cells, whose members share the keys they received."""

    def __init__(
        self,
        spec: Experiment,
        seed: int,
        addresses: AddressPlan,
        network: NetworkConditions,
        clock: RunClock,
        run_records: records.RunRecords,
        numbers: list[int],
    ) -> None:
        """Create the backends of these numbers, with speeds drawn from the seed."""
        self.spec, self.addresses, self.network, self.clock, self.run_records = (
            spec,
            addresses,
            network,
            clock,
            run_records,
        )
        self.seed = seed
        self.classes = {c.name: c for c in spec.load.classes}
        self.serial = 0
        cells: dict[int, SeenKeys] = {}
        self.stubs: dict[str, BackendStub] = {}
        for number in numbers:
            speed = float(random_stream(seed, "speed", number).uniform(*spec.backends.speed))
            model = Backend(
                spec.backends, spec.rules, speed, cells.setdefault(spec.cell_of(number), {}),
                random_stream(seed, "backend", number), 0.0 if spec.backends.start_cold else -1e12,
            )  # fmt: skip
            self.stubs[f"s{number}"] = BackendStub(self, number, model)
        network.watchers.append(self._network_changed)

    def _network_changed(self) -> None:
        for stub in self.stubs.values():
            stub.network_changed()

    def open(self) -> None:
        """Start the listeners of all backends."""
        for stub in self.stubs.values():
            stub.open()

    def collapsed(self, stub: BackendStub, collapse: OverloadCollapse) -> None:
        """Record the overload collapse of a backend."""
        self.run_records.collapses.append(
            records.CollapseRecord(stub.number, collapse.at, collapse.started_at, collapse.work_by_node)
        )

    def capacity(self) -> float:
        """Return the work per ms that all backends with power can do now, collapsed ones included."""
        now = self.clock.now()
        return sum(
            h.model.capacity(now) for h in self.stubs.values() if h.alive or h.model.collapse is not None
        )

    def live(self) -> dict[str, Any]:
        """Return the live figures of each backend for the display."""
        return {
            name: {
                "served": h.served, "errors": h.errors, "held": sum(h.model.request_counts), "alive": h.alive,
                "warmth": round(h.model.warmth(self.clock.now()), 2),
            }
            for name, h in self.stubs.items()
        }  # fmt: skip
