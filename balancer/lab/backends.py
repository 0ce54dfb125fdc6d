"""The stand-in backends on sockets: each node reaches each backend at an address of its own."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs

import httptools

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import SlowConnects
from balancer.experiments.random_streams import stream
from balancer.lab import records
from balancer.lab.places import Places
from balancer.lab.wires import Clock, Listener, Wire
from balancer.models.backend import RAN, Backend, Cell, Job, Topple, Verdict
from balancer.models.connect_delay import spells
from balancer.models.network import Weather

CODES = {
    Verdict.SERVED: "200 OK", Verdict.REPEATED: "200 OK", Verdict.ERROR: "500 Internal Server Error",
    Verdict.TURNED_AWAY: "503 Service Unavailable", Verdict.EXPIRED: "504 Gateway Timeout",
}  # fmt: skip
NOT_STARTED = frozenset({Verdict.TURNED_AWAY, Verdict.EXPIRED})
WORK = "w"  # the query that tells a stand-in how much work a request is; nodes pass it on unread


def answer(code: str, body: bytes, *headers: str) -> bytes:
    """An HTTP answer."""
    lines = [f"HTTP/1.1 {code}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Host:
    """One backend with its listeners, one for each node, and its connections."""

    def __init__(self, farm: Farm, number: int, core: Backend) -> None:
        self.farm, self.number, self.core, self.name = farm, number, core, f"s{number}"
        self.connections: dict[BackendWire, None] = {}  # in the order they came: a run's draws follow it
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.cap = farm.spec.backends.connections_per_core * farm.spec.backends.cores
        self.served = self.errors = 0  # for the live figures
        self.alive = True
        self.owners: dict[Job, BackendWire] = {}
        self.dark: set[int] = set()  # nodes whose connections do not come up for a moment
        self.listeners = [
            Listener(farm.places.backend(node, number), lambda node=node: BackendWire(self, node))  # type: ignore[misc]
            for node in range(farm.spec.fleet.nodes)
        ]

    def weather_changed(self) -> None:
        """Silence on the way of a node: its connections do not come up."""
        for node, listener in enumerate(self.listeners):
            listener.darken(node in self.dark or self.farm.weather.severed(f"n{node}", self.name))

    def late(self, fault: SlowConnects) -> None:
        """Each node's new connections come up late in a share of the time from now on."""
        loop, now = asyncio.get_running_loop(), self.farm.clock.now() / 1000
        for node in range(self.farm.spec.fleet.nodes):
            random = stream(self.farm.seed, "late", str(fault.at), self.number, node)
            for begin, end in spells(random, fault.share, fault.at, fault.ends_at):
                loop.call_later(begin - now, self._darken, node, True)
                loop.call_later(end - now, self._darken, node, False)

    def _darken(self, node: int, on: bool) -> None:
        (self.dark.add if on else self.dark.discard)(node)
        self.weather_changed()

    def open(self) -> None:
        """Listen."""
        for listener in self.listeners:
            listener.open()
        self.alive = True
        self.weather_changed()

    def close(self) -> None:
        """Vanish: connections reset, new ones are refused, what runs is lost."""
        self.alive = False
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.drop()

    def restart(self) -> None:
        """Come back cold."""
        self.close()
        self.core.restart(self.farm.clock.now())
        self.owners.clear()
        self.open()

    def offer(self, job: Job, wire: BackendWire) -> None:
        """An attempt is whole."""
        toppled = self.core.toppled
        verdict = self.core.offer(self.farm.clock.now(), job)
        if verdict is not None:
            job.verdict = verdict
            if verdict is Verdict.ERROR:
                asyncio.get_running_loop().call_later(self.core.trouble.gray_ms / 1000, wire.conclude, job)
            else:
                wire.conclude(job)
        else:
            self.owners[job] = wire
            self.arm()
        if self.core.toppled is not None and toppled is None:
            self.farm.toppled(self, self.core.toppled)
            self.close()

    def arm(self) -> None:
        """See to it that `_due` is called at the next end."""
        when = self.core.next_end
        if when is None or (self.timer is not None and self.timer_at <= when):
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, when - self.farm.clock.now()) / 1000
        self.timer, self.timer_at = asyncio.get_running_loop().call_later(wait, self._due), when

    def _due(self) -> None:
        self.timer = None
        self.conclude(self.core.advance(self.farm.clock.now() + 0.5))
        self.arm()

    def conclude(self, jobs: list[Job]) -> None:
        """Answer what has ended."""
        for job in jobs:
            if (wire := self.owners.pop(job, None)) is not None:
                wire.conclude(job)


class BackendWire(Wire):
    """A node's connection to a backend."""

    def __init__(self, host: Host, node: int) -> None:
        super().__init__(host.farm.weather, host.farm.clock, host.name, f"n{node}")
        self.host, self.node = host, node
        self.parser = httptools.HttpRequestParser(self)
        self.fresh, self.surplus = True, False
        self.first = 0.0
        self.record: records.AttemptRecord | None = None
        self.job: Job | None = None
        self.alive = True

    def up(self) -> None:
        self.surplus = len(self.host.connections) >= self.host.cap
        self.host.connections[self] = None

    def raw_end(self) -> None:
        if self.record is not None and not self.record.ended and not self.record.closed:
            self.record.closed = self.closed_at

    def received(self, data: bytes) -> None:
        self.first = self.first or self.came_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            self.host.farm.seen.unknown.append(f"{self.peer}: {err}")
            self.reset()

    def ended(self) -> None:
        self.host.connections.pop(self, None)
        self.alive = False

    def drop(self) -> None:
        """The backend dies under it."""
        if self.record is not None and not self.record.ended:
            self.record.verdict, self.record.ended = "lost", self.clock.now()
            self.record.ran = self.job is not None and self.job.began
        self.reset()

    # --- httptools

    def on_message_begin(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.url = self.body = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
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
        cls = self.host.farm.classes.get(path.split("/")[1] if "/" in path else "")
        try:
            work = float(parse_qs(query)[WORK][0])
            timeout = _milliseconds(self.headers.get(b"request-timeout", b""))
        except (KeyError, ValueError):
            cls = None
            work = timeout = 0.0
        if cls is None:
            self.host.farm.seen.unknown.append(f"{self.peer}: {method} {self.url.decode('latin-1')} {ident}")
            self.send(answer("400 Bad Request", b""))
            return
        now = self.clock.now()
        key = self.headers.get(b"idempotency-key", b"").decode("latin-1")
        span = cls.memory_span_ms if cls.effect == "dedup" else 0.0
        if self.fresh:
            work += self.host.farm.spec.backends.handshake_ms
        self.record = records.AttemptRecord(
            ident, self.node, self.host.number, method, self.url.decode("latin-1"), key, first, self.came_at,
            "", 0.0, self.closed_at, False, asked=self.body.decode("latin-1"),
        )  # fmt: skip
        self.host.farm.seen.attempts.append(self.record)
        job = self.job = Job(ident, self.node, work, now, now + timeout, key if span else "", span)
        fresh, self.fresh = self.fresh, False
        if self.surplus:
            job.verdict = Verdict.TURNED_AWAY
            self.conclude(job)
        elif fresh and (wait := self._handshake()) >= 0.5:
            asyncio.get_running_loop().call_later(wait / 1000, self._late_offer, job)
        else:
            self.host.offer(job, self)

    def _handshake(self) -> float:
        held = self.weather.between(self.peer, self.me)
        return 2 * held.delay * self.host.farm.spec.backends.handshake_rtts

    def _late_offer(self, job: Job) -> None:
        if self.host.alive and self.alive:
            self.host.offer(job, self)

    def _probe(self) -> None:
        handled, waiting = self.host.core.report
        report = f"Server-Load: TEXT inflight={handled}, queue={waiting}"
        self.send(answer("200 OK", b"", report))

    def conclude(self, job: Job) -> None:
        """The attempt has ended at the backend: answer it, or break."""
        record = self.record
        if record is None or record.ident != job.ident or record.ended:
            return
        verdict = job.verdict
        record.verdict, record.ended, record.ran = verdict.value, self.clock.now(), verdict in RAN
        if verdict is Verdict.RESET:
            self.reset()
            return
        body, headers = b"", []
        if verdict in (Verdict.SERVED, Verdict.REPEATED):
            self.host.served += 1
            self.host.farm.serial += 1
            text = f"{job.ident} {self.host.name} {self.host.farm.serial}"
            record.body, body = text, text.encode()
        else:
            self.host.errors += 1
        if verdict in NOT_STARTED:
            headers.append("Not-Started: 1")
        if self.surplus:
            headers.append("Connection: close")
        self.send(answer(CODES[verdict], body, *headers))
        if self.surplus:
            self.finish()


def _milliseconds(value: bytes) -> float:
    unit = {b"m": 1.0, b"u": 0.001}.get(value[-1:])
    if unit is None:
        raise ValueError(value)
    return float(value[:-1]) * unit


class Farm:
    """The backends that one process of the lab plays: whole cells, as these share what they have seen."""

    def __init__(self, spec: Experiment, seed: int, places: Places, weather: Weather, clock: Clock,
                 seen: records.Seen, numbers: list[int]) -> None:  # fmt: skip
        self.spec, self.places, self.weather, self.clock, self.seen = spec, places, weather, clock, seen
        self.seed = seed
        self.classes = {c.name: c for c in spec.load.classes}
        self.serial = 0
        cells: dict[int, Cell] = {}
        self.hosts: dict[str, Host] = {}
        for number in numbers:
            speed = float(stream(seed, "speed", number).uniform(*spec.backends.speed))
            core = Backend(
                spec.backends, spec.rules, speed, cells.setdefault(spec.cell_of(number), {}),
                stream(seed, "backend", number), 0.0 if spec.backends.start_cold else -1e12,
            )  # fmt: skip
            self.hosts[f"s{number}"] = Host(self, number, core)
        weather.watchers.append(self._weather_changed)

    def _weather_changed(self) -> None:
        for host in self.hosts.values():
            host.weather_changed()

    def open(self) -> None:
        """All listen."""
        for host in self.hosts.values():
            host.open()

    def toppled(self, host: Host, topple: Topple) -> None:
        """Take note."""
        self.seen.topples.append(
            records.ToppleRecord(host.number, topple.at, topple.started, topple.work_by_node)
        )

    def bears(self) -> float:
        """Work a ms that those with power could do now, by how warm they are; a toppled one would bear it."""
        now = self.clock.now()
        return sum(h.core.capacity(now) for h in self.hosts.values() if h.alive or h.core.toppled is not None)

    def live(self) -> dict[str, Any]:
        """Figures for the screen: by backend, what it has served and holds."""
        return {
            name: {
                "served": h.served, "errors": h.errors, "held": sum(h.core.report), "alive": h.alive,
                "warmth": round(h.core.warmth(self.clock.now()), 2),
            }
            for name, h in self.hosts.items()
        }  # fmt: skip
