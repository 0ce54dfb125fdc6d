"""Clients on sockets behind fronts: arrivals drawn ahead, sent on time whatever the answers do."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httptools
import numpy as np

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Terminate
from balancer.experiments.random_streams import stream
from balancer.experiments.tables import RequestClass
from balancer.lab import records
from balancer.lab.backends import WORK
from balancer.lab.places import Places
from balancer.lab.timeline import timeline
from balancer.lab.wires import Clock, Wire
from balancer.models.client import End, Try, Wish
from balancer.models.load import Arrivals, draw
from balancer.models.network import Weather

OVERDUE = 500.0  # ms after its time that an answer is still looked for: by then a request counts as lost
CHECK_OUT = 0.1  # s between two looks at a node that is out
CHECK_WAIT = 1.0  # s for a check's answer
LEAVES = 0.3  # s after a planned SIGTERM that the front stops dealing connections to the node
MIX = 0x9E3779B97F4A7C15


def next_ident(ident: str, number: int) -> str:
    """A new id for a try: the same for the same request in every run."""
    return f"{(int(ident, 16) + number * MIX) % 2**64:016x}"


class Front:
    """Deals the connections of a zone's clients over its nodes; sees late that a node is dead."""

    def __init__(self, spec: Experiment, zone: str, places: Places, weather: Weather) -> None:
        self.spec, self.zone, self.places, self.weather = spec, zone, places, weather
        names = spec.node_names
        self.own = [i for i, n in enumerate(names) if spec.zone_of(n) == zone]
        self.up: dict[int, bool] = dict.fromkeys(range(len(names)), False)
        self.leaving: set[int] = set()
        self.turn = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to look at the nodes."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._watch(node)) for node in self.up]

    async def _watch(self, node: int) -> None:
        missed = 0
        while True:
            good = await self._check(node)
            missed = 0 if good else missed + 1
            if good:
                self.up[node] = node not in self.leaving
            elif missed >= 2:
                self.up[node] = False
                self.leaving.discard(node)
            # Two looks in a row have to miss, so that a dead node is noticed after `notice-s` at the latest.
            await asyncio.sleep(self.spec.clients.failure_detection_s / 2 if self.up[node] else CHECK_OUT)

    async def _check(self, node: int) -> bool:
        if self.weather.severed(f"c-{self.zone}", f"n{node}"):
            return False
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CHECK_WAIT):
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
        """A planned restart: no new connections, until it has been down and answers again."""
        self.leaving.add(node)
        self.up[node] = False

    def deal(self) -> int | None:
        """The node of a new connection: the zone's in turn, another zone's where it has none."""
        for nodes in (self.own, list(self.up)):
            alive = [n for n in nodes if self.up[n]]
            if alive:
                self.turn += 1
                return alive[self.turn % len(alive)]
        return None


@dataclass(slots=True, eq=False)
class Flight:
    """One try under way."""

    wish: Wish
    row: int
    step: Try
    record: records.TryRecord
    data: bytes
    wire: ClientWire | None = None  # what it was written to last
    over: bool = False  # the client has moved on
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class ClientWire(Wire):
    """A client's connection to a node."""

    def __init__(self, crowd: Crowd, node: int, flight: Flight, uses: int) -> None:
        super().__init__(crowd.weather, crowd.clock, f"c-{crowd.zone}", f"n{node}")
        self.crowd, self.node, self.uses = crowd, node, uses
        self.flight: Flight | None = flight
        self.parser = httptools.HttpResponseParser(self)
        self.fresh = self.keep = True

    def up(self) -> None:
        self.crowd.wires.add(self)
        if self.flight is not None:
            self.write(self.flight)

    def write(self, flight: Flight) -> None:
        """Send a request on this connection."""
        self.flight, flight.wire = flight, self
        flight.record.node, flight.record.fresh = self.node, self.fresh
        if flight.over:  # its time ran out while the connection came up
            self.crowd.free(self)
            return
        self.body, self.retry_after, self.keep = b"", 0.0, True
        flight.record.sent = self.clock.now()
        self.uses -= 1
        self.send(flight.data)

    def received(self, data: bytes) -> None:
        if self.flight is not None:
            self.flight.record.began = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after = float(value) * 1000

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        flight, code = self.flight, self.parser.get_status_code()
        if flight is None or code < 200:
            return
        self.fresh, record = False, flight.record
        record.answered, record.status = self.clock.now(), code
        record.body, record.retry_after = self.body.decode("latin-1"), self.retry_after
        end = End.SERVED if code == 200 else End.REFUSED if code in (429, 503) else End.FAILED
        self.keep = self.parser.should_keep_alive()
        self.flight = None
        self.crowd.ended(flight, end)
        self.crowd.free(self)

    def ended(self) -> None:
        self.crowd.lost(self)


class Crowd:
    """The clients of one zone that one process of the lab plays: every `of`-th arrival from `part` on."""

    def __init__(self, spec: Experiment, seed: int, zone: str, part: int, of: int, places: Places,
                 weather: Weather, clock: Clock, seen: records.Seen) -> None:  # fmt: skip
        self.spec, self.zone, self.places, self.weather = spec, zone, places, weather
        self.clock, self.seen = clock, seen
        self.front = Front(spec, zone, places, weather)
        self.arrivals = _part(draw(spec, seed, zone), part, of)
        self.random = stream(seed, "connections", zone, part)
        self.idle: list[ClientWire] = []
        self.wires: set[ClientWire] = set()
        self.next = 0
        self.open = 0
        self.done = asyncio.Event()
        self.counts: Counter[str] = Counter()
        self.recent: list[float] = []  # ms: answers since the last look
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """The clock's zero is set: send from now on."""
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, 0):  # no seed draws a planned restart
            if isinstance(moment.fault, Terminate):
                at = moment.at + LEAVES - self.clock.now() / 1000
                for name in moment.names:
                    loop.call_later(max(0.0, at), self.front.leave, int(name[1:]))
        self._due()

    def _due(self) -> None:
        now, total = self.clock.now(), len(self.arrivals.at)
        while self.next < total and self.arrivals.at[self.next] <= now + 0.5:
            row, self.next = self.next, self.next + 1
            cls = self.spec.load.classes[self.arrivals.kind[row]]
            wish = Wish(cls, self.spec.clients, float(self.arrivals.at[row]),
                        tuple(self.arrivals.whim[row].tolist()))  # fmt: skip
            self.open += 1
            self._try(wish, row, float(self.arrivals.at[row]), f"{int(self.arrivals.ident[row]):016x}")
        if self.next < total:
            wait = (self.arrivals.at[self.next] - self.clock.now()) / 1000
            asyncio.get_running_loop().call_later(max(0.0, float(wait)), self._due)
        elif not self.open:
            self.done.set()

    def _try(self, wish: Wish, row: int, due: float, first: str) -> None:
        now = self.clock.now()
        self.seen.lateness.append(max(0.0, now - due))
        step = wish.begin(max(now, due))
        ident = next_ident(first, step.number)
        cls = wish.cls
        record = records.TryRecord(
            ident, first, self.zone, int(self.arrivals.kind[row]), step.number, -1, wish.intended, due, 0.0,
            step.deadline, 0.0, "", key=f"k{first}" if cls.effect == "dedup" else "",
        )  # fmt: skip
        self.seen.tries.append(record)
        data = _request(record, cls, float(self.arrivals.work[row]), step.deadline - max(now, due))
        flight = Flight(wish, row, step, record, data)
        self._at(flight, step.deadline, End.SILENT)
        if step.leaves is not None:
            self._at(flight, step.leaves, End.LEFT)
        self._place(flight)

    def _at(self, flight: Flight, when: float, end: End) -> None:
        wait = max(0.0, when - self.clock.now()) / 1000
        flight.timers.append(asyncio.get_running_loop().call_later(wait, self.ended, flight, end))

    def _place(self, flight: Flight, fresh: bool = False) -> None:
        while self.idle and not fresh:
            index = int(self.random.random() * len(self.idle))
            self.idle[index], self.idle[-1] = self.idle[-1], self.idle[index]
            wire = self.idle.pop()
            if wire.open and wire.transport is not None and not wire.transport.is_closing():
                wire.write(flight)
                return
        node = self.front.deal()
        if node is None:
            self.ended(flight, End.UNREACHABLE)
            return
        task = asyncio.get_running_loop().create_task(self._connect(flight, node))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, flight: Flight, node: int) -> None:
        loop = asyncio.get_running_loop()
        flight.record.node = node
        uses = int(self.random.geometric(1 / self.spec.clients.requests_per_connection))
        while self.weather.severed(f"c-{self.zone}", f"n{node}"):
            if flight.over:
                return
            await asyncio.sleep(0.02)
        try:
            left = max(0.01, (flight.step.deadline - self.clock.now()) / 1000)
            async with asyncio.timeout(left):
                await loop.create_connection(
                    lambda: ClientWire(self, node, flight, uses), *self.places.node(node)
                )
        except OSError:
            self.ended(flight, End.UNREACHABLE)
        except TimeoutError:
            pass  # its deadline's timer says so

    def free(self, wire: ClientWire) -> None:
        """A connection is idle again."""
        wire.flight = None
        if wire.uses <= 0 or not wire.keep:
            wire.finish()
        else:
            self.idle.append(wire)

    def lost(self, wire: ClientWire) -> None:
        """A connection has ended."""
        self.wires.discard(wire)
        with contextlib.suppress(ValueError):
            self.idle.remove(wire)
        flight, wire.flight = wire.flight, None
        if flight is None:
            return
        crossed = not wire.fresh and not flight.record.began and not flight.over and not flight.record.crossed
        if crossed:
            flight.record.crossed = self.clock.now()
            self._place(flight, fresh=True)
        else:
            self.ended(flight, End.CUT)

    def ended(self, flight: Flight, end: End) -> None:
        """A try has ended for its client; a late answer is still looked for."""
        now, record = self.clock.now(), flight.record
        if flight.over:
            return
        flight.over, record.ended, record.end = True, now, end.value
        for timer in flight.timers:
            timer.cancel()
        if end is End.LEFT:
            self._hang_up(flight)
        elif end is End.SILENT:
            asyncio.get_running_loop().call_later(OVERDUE / 1000, self._hang_up, flight)
        self.counts[end.value] += 1
        if end is End.SERVED:
            self.recent.append(now - flight.wish.intended)
        when = flight.wish.ended(now, record.sent or record.due, end, record.retry_after)
        if when is None:
            record.last = True
            self.open -= 1
            if not self.open and self.next >= len(self.arrivals.at):
                self.done.set()
        else:
            wait = max(0.0, when - now) / 1000
            asyncio.get_running_loop().call_later(wait, self._try, flight.wish, flight.row, when, record.wish)

    def _hang_up(self, flight: Flight) -> None:
        if flight.wire is not None and flight.wire.flight is flight:
            flight.wire.reset()

    def live(self) -> dict[str, Any]:
        """Figures for the screen: ends of tries so far, and times of the answers since the last look."""
        recent, self.recent = self.recent, []
        return {
            "ends": dict(self.counts),
            "recent": recent,
            "up": [n for n, up in self.front.up.items() if up],
        }


def wording(cls: RequestClass, wish: str) -> tuple[str, str]:
    """The method and the body of an operation's requests."""
    return ("GET", "") if cls.effect == "retryable" else ("POST", f'{{"wish":"{wish}"}}')


def _request(record: records.TryRecord, cls: RequestClass, work: float, wait: float) -> bytes:
    method, body = wording(cls, record.wish)
    lines = [
        f"{method} /{cls.name}/{record.wish}?{WORK}={work:.3f} HTTP/1.1", "Host: api.internal",
        f"Request-Id: {record.ident}", f"Request-Timeout: {wait:.3f}m",
    ]  # fmt: skip
    if record.key:
        lines.append(f"Idempotency-Key: {record.key}")
    if record.number:
        lines.append("Client-Retry: 1")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", body]).encode()


def _part(whole: Arrivals, part: int, of: int) -> Arrivals:
    rows = np.arange(part, len(whole.at), of)
    return Arrivals(whole.zone, whole.at[rows], whole.kind[rows], whole.work[rows], whole.whim[rows],
                    whole.ident[rows])  # fmt: skip
