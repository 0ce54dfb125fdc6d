"""Backend stubs on sockets: each node reaches each backend at an address of its own."""

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
MIN_NOTICED_WAIT_MS = 0.5  # the resolution of the event loop
TIMER_TOLERANCE_MS = 0.5
NOT_STARTED = frozenset({Verdict.REJECTED, Verdict.EXPIRED})
WORK_PARAMETER = "w"  # of the query: the work of a request, which nodes pass on unread


def answer(code: str, body: bytes, *headers: str) -> bytes:
    """Return the bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {code}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class BackendStub:
    """A backend with a listener for each node, and its connections."""

    def __init__(self, group: BackendGroup, number: int, core: Backend) -> None:
        """Prepare the listeners; `open` starts them."""
        self.group, self.number, self.core, self.name = group, number, core, f"s{number}"
        # In the order in which they came: the draws of a run follow it.
        self.connections: dict[BackendConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.cap = group.spec.backends.connections_per_core * group.spec.backends.cores
        self.served = self.errors = 0  # for the live figures
        self.alive = True
        self.owners: dict[Job, BackendConnection] = {}
        self.unresponsive: set[int] = set()  # nodes whose connections do not come up for a moment
        self.listeners = [self._listener(node) for node in range(group.spec.fleet.nodes)]

    def _listener(self, node: int) -> ImpairedListener:
        address = self.group.places.backend(node, self.number)
        return ImpairedListener(address, lambda: BackendConnection(self, node))

    def network_changed(self) -> None:
        """Let the connections of nodes behind a cut link not come up."""
        for node, listener in enumerate(self.listeners):
            listener.set_unresponsive(
                node in self.unresponsive or self.group.network.is_cut(f"n{node}", self.name)
            )

    def schedule_connect_delays(self, fault: SlowConnects) -> None:
        """Schedule the intervals in which new connections of each node come up late."""
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
        """Listen."""
        for listener in self.listeners:
            listener.open()
        self.alive = True
        self.network_changed()

    def close(self) -> None:
        """Vanish: reset connections, refuse new ones, lose the requests in progress."""
        self.alive = False
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.drop()

    def restart(self) -> None:
        """Restart cold."""
        self.close()
        self.core.restart(self.group.clock.now())
        self.owners.clear()
        self.open()

    def offer(self, job: Job, connection: BackendConnection) -> None:
        """Offer a complete attempt to the model."""
        collapsed = self.core.collapse
        verdict = self.core.offer(self.group.clock.now(), job)
        if verdict is not None:
            job.verdict = verdict
            if verdict is Verdict.ERROR:
                asyncio.get_running_loop().call_later(
                    self.core.active_faults.gray_ms / 1000, connection.conclude, job
                )
            else:
                connection.conclude(job)
        else:
            self.owners[job] = connection
            self.arm()
        if self.core.collapse is not None and collapsed is None:
            self.group.collapsed(self, self.core.collapse)
            self.close()

    def arm(self) -> None:
        """Set the timer for the next end of a request."""
        ends_at = self.core.next_end
        if ends_at is None or (self.timer is not None and self.timer_at <= ends_at):
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, ends_at - self.group.clock.now()) / 1000
        self.timer, self.timer_at = asyncio.get_running_loop().call_later(wait, self._on_timer), ends_at

    def _on_timer(self) -> None:
        self.timer = None
        self.conclude(self.core.advance(self.group.clock.now() + TIMER_TOLERANCE_MS))
        self.arm()

    def conclude(self, jobs: list[Job]) -> None:
        """Answer the requests that have ended."""
        for job in jobs:
            if (connection := self.owners.pop(job, None)) is not None:
                connection.conclude(job)


class BackendConnection(ImpairedConnection):
    """A connection of a node to a backend."""

    def __init__(self, host: BackendStub, node: int) -> None:
        """Prepare the state of one connection."""
        super().__init__(host.group.network, host.group.clock, host.name, f"n{node}")
        self.host, self.node = host, node
        self.parser = httptools.HttpRequestParser(self)
        self.new_connection, self.surplus = True, False
        self.first = 0.0
        self.record: records.BackendAttemptRecord | None = None
        self.job: Job | None = None
        self.alive = True

    def up(self) -> None:
        """Count the connection; one over the limit is refused with its first request."""
        self.surplus = len(self.host.connections) >= self.host.cap
        self.host.connections[self] = None

    def peer_closed(self) -> None:
        """Record when the node closed under an attempt."""
        if self.record is not None and not self.record.ended and not self.record.closed:
            self.record.closed = self.closed_at

    def received(self, data: bytes) -> None:
        """Parse a piece of a request."""
        self.first = self.first or self.came_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            self.host.group.seen.unknown.append(f"{self.peer}: {err}")
            self.reset()

    def ended(self) -> None:
        """Forget the connection."""
        self.host.connections.pop(self, None)
        self.alive = False

    def drop(self) -> None:
        """Lose the attempt in progress with the backend, and reset."""
        if self.record is not None and not self.record.ended:
            self.record.verdict, self.record.ended = "lost", self.clock.now()
            self.record.was_executed = self.job is not None and self.job.started
        self.reset()

    # --- httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self.headers: dict[bytes, bytes] = {}
        self.url = self.body = b""

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Answer a health check, or offer an attempt."""
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
        request_class = self.host.group.classes.get(path.split("/")[1] if "/" in path else "")
        try:
            work = float(parse_qs(query)[WORK_PARAMETER][0])
            timeout = _milliseconds(self.headers.get(b"request-timeout", b""))
        except (KeyError, ValueError):
            request_class = None
            work = timeout = 0.0
        if request_class is None:
            self.host.group.seen.unknown.append(f"{self.peer}: {method} {self.url.decode('latin-1')} {ident}")
            self.send(answer("400 Bad Request", b""))
            return
        key = self.headers.get(b"idempotency-key", b"").decode("latin-1")
        span = request_class.memory_span_ms if request_class.effect == "dedup" else 0.0
        now = self.clock.now()
        self.record = records.BackendAttemptRecord(
            ident, self.node, self.host.number, method, self.url.decode("latin-1"), key, first, self.came_at,
            "", 0.0, self.closed_at, False, request_body=self.body.decode("latin-1"),
        )  # fmt: skip
        self.host.group.seen.backend_attempts.append(self.record)
        if self.new_connection:
            work += self.host.group.spec.backends.handshake_ms
        self.job = Job(ident, self.node, work, now, now + timeout, key if span else "", span)
        self._submit(self.job)

    def _submit(self, job: Job) -> None:
        """Offer an attempt, after the handshake of a new connection; reject it on a surplus one."""
        new_connection, self.new_connection = self.new_connection, False
        if self.surplus:
            job.verdict = Verdict.REJECTED
            self.conclude(job)
        elif new_connection and (wait := self._handshake_ms()) >= MIN_NOTICED_WAIT_MS:
            asyncio.get_running_loop().call_later(wait / 1000, self._late_offer, job)
        else:
            self.host.offer(job, self)

    def _handshake_ms(self) -> float:
        link = self.network.conditions(self.peer, self.me)
        return 2 * link.delay * self.host.group.spec.backends.handshake_rtts

    def _late_offer(self, job: Job) -> None:
        if self.host.alive and self.alive:
            self.host.offer(job, self)

    def _probe(self) -> None:
        handled, waiting = self.host.core.request_counts
        report = f"Server-Load: TEXT inflight={handled}, queue={waiting}"
        self.send(answer("200 OK", b"", report))

    def conclude(self, job: Job) -> None:
        """Answer an attempt that has ended, or reset its connection."""
        record = self.record
        if record is None or record.ident != job.ident or record.ended:
            return
        verdict = job.verdict
        record.verdict, record.ended, record.was_executed = (
            verdict.value,
            self.clock.now(),
            verdict in EXECUTED,
        )
        if verdict is Verdict.RESET:
            self.reset()
            return
        body, headers = b"", []
        if verdict in (Verdict.SERVED, Verdict.REPEATED):
            self.host.served += 1
            self.host.group.serial += 1
            text = f"{job.ident} {self.host.name} {self.host.group.serial}"
            record.body, body = text, text.encode()
        else:
            self.host.errors += 1
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
    """The backends of one process of the lab: complete cells, whose members share the keys they have seen."""

    def __init__(
        self,
        spec: Experiment,
        seed: int,
        places: AddressPlan,
        network: NetworkConditions,
        clock: RunClock,
        seen: records.RunRecords,
        numbers: list[int],
    ) -> None:
        """Draw the backends of these numbers."""
        self.spec, self.places, self.network, self.clock, self.seen = spec, places, network, clock, seen
        self.seed = seed
        self.classes = {c.name: c for c in spec.load.classes}
        self.serial = 0
        cells: dict[int, SeenKeys] = {}
        self.hosts: dict[str, BackendStub] = {}
        for number in numbers:
            speed = float(random_stream(seed, "speed", number).uniform(*spec.backends.speed))
            core = Backend(
                spec.backends, spec.rules, speed, cells.setdefault(spec.cell_of(number), {}),
                random_stream(seed, "backend", number), 0.0 if spec.backends.start_cold else -1e12,
            )  # fmt: skip
            self.hosts[f"s{number}"] = BackendStub(self, number, core)
        network.watchers.append(self._network_changed)

    def _network_changed(self) -> None:
        for host in self.hosts.values():
            host.network_changed()

    def open(self) -> None:
        """Let all listen."""
        for host in self.hosts.values():
            host.open()

    def collapsed(self, host: BackendStub, collapse: OverloadCollapse) -> None:
        """Record a collapse."""
        self.seen.collapses.append(
            records.CollapseRecord(host.number, collapse.at, collapse.started_at, collapse.work_by_node)
        )

    def capacity(self) -> float:
        """Return the work a millisecond that all with power could do now, collapsed ones included."""
        now = self.clock.now()
        return sum(
            h.core.capacity(now) for h in self.hosts.values() if h.alive or h.core.collapse is not None
        )

    def live(self) -> dict[str, Any]:
        """Return live figures by backend for the screen."""
        return {
            name: {
                "served": h.served, "errors": h.errors, "held": sum(h.core.request_counts), "alive": h.alive,
                "warmth": round(h.core.warmth(self.clock.now()), 2),
            }
            for name, h in self.hosts.items()
        }  # fmt: skip
