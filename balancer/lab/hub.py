"""Discovery and the datagrams between nodes, on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import time
from collections import Counter, deque
from functools import partial
from urllib.parse import parse_qs, urlsplit

import httptools

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Reload
from balancer.lab import records
from balancer.lab.places import Places, text
from balancer.lab.wires import Clock, Listener, Wire
from balancer.models.directory import Directory, Listed, Phase, Watch
from balancer.models.network import Weather

LEFT = 1.5  # s after which an address that was left closes its connections
EMPTY_LINE = 2.0  # s between two empty lines of a watch
MOST_DATAGRAM = 256  # bytes; a longer one breaks the protocol


class DirectoryService:
    """The list on sockets: one address a node, calls handled in turn, watches told with a spread."""

    def __init__(self, spec: Experiment, places: Places, weather: Weather, clock: Clock,
                 seen: records.Seen) -> None:  # fmt: skip
        self.spec, self.places, self.weather, self.clock, self.seen = spec, places, weather, clock, seen
        self.core = Directory({
            name: Listed(name, spec.zone_of(name), spec.cell_of(number),
                         up_since=time.time() * 1000 if spec.backends.start_cold else 0.0)
            for number, name in enumerate(spec.backend_names)
        })  # fmt: skip
        self.down, self.late_ms = False, 0.0
        self.wires: set[DiscoveryWire] = set()
        self.calls: deque[tuple[float, DiscoveryWire, int | None]] = deque()
        self.busy = False
        self.counts: Counter[str] = Counter()
        moves = sum(isinstance(fault, Reload) and fault.moves_discovery for fault in spec.faults)
        self.moved = Counter[int]()  # how often discovery has moved, by node
        self.listeners = {
            (node, move): Listener(places.discovery(node, move), partial(DiscoveryWire, self, node, move))
            for node in range(spec.fleet.nodes)
            for move in range(moves + 1)
        }

    def open(self) -> None:
        """Listen, at the addresses to come as well."""
        for listener in self.listeners.values():
            listener.open()

    def move(self, names: tuple[str, ...]) -> None:
        """These nodes are told another address."""
        for node in (int(name[1:]) for name in names):
            self.listeners[node, self.moved[node]].close()
            self.moved[node] += 1
            asyncio.get_running_loop().call_later(LEFT, self._leave, node, self.moved[node])

    def _leave(self, node: int, move: int) -> None:
        for wire in [w for w in self.wires if w.node == node and w.move < move]:
            wire.finish()

    def fail(self, down: bool) -> None:
        """Go down, with resets; or come back."""
        self.down = down
        for wire in list(self.wires) if down else ():
            wire.reset()

    def silence(self, names: tuple[str, ...]) -> None:
        """The watches that these nodes have open say nothing more."""
        for wire in self.wires:
            if wire.watch is not None and wire.peer in names:
                wire.watch.silent = True
                self.counts["silent"] += 1

    def plan(self, lag_s: float, name: str, phase: Phase, up_since: float | None = None) -> None:
        """Something happened to a backend now; it becomes known `lag_s` later."""
        self.core.plan(self.clock.now() + lag_s * 1000, name, phase, up_since)
        asyncio.get_running_loop().call_later(lag_s + 0.001, self._known)

    def _known(self) -> None:
        changed = self.core.advance(self.clock.now())
        if not changed:
            return
        self.seen.told.extend(
            records.ToldRecord(-1, self.clock.now(), int(e.name[1:]), e.phase.value, e.up_since)
            for e in changed
        )
        wires = sorted((w for w in self.wires if w.watch is not None), key=lambda w: w.node)
        for place, wire in enumerate(wires):
            wait = self.spec.discovery.watch_spread_ms * place / max(1, len(wires)) + self.late_ms
            asyncio.get_running_loop().call_later(wait / 1000, wire.tell)

    def call(self, wire: DiscoveryWire, since: int | None) -> None:
        """A call came: the whole list (`since` None), or a watch."""
        self.counts["calls"] += 1
        self.seen.calls.append(records.CallRecord(wire.node, self.clock.now()))
        self.calls.append((self.clock.now(), wire, since))
        if not self.busy:
            self._next()

    def _next(self) -> None:
        self.busy = bool(self.calls)
        if self.busy:
            asyncio.get_running_loop().call_later(self.spec.discovery.call_service_ms / 1000, self._handled)

    def _handled(self) -> None:
        came, wire, since = self.calls.popleft()
        late = self.clock.now() - came > self.spec.discovery.timeout_ms
        if not wire.open:
            self.counts["abandoned"] += 1
        elif late:
            self.counts["failed"] += 1
            wire.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif since is None:
            line = self.line(wire.node, list(self.core.entries.values()), True)
            wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
        else:
            wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            wire.watch = Watch(since, brief=self.spec.discovery.watch_ends_on_change)
            wire.tell()
            wire.beat()
        self._next()

    def line(self, node: int, entries: list[Listed], complete: bool) -> bytes:
        """One list, as `node` sees it; what it says counts as told."""
        now = self.clock.now()
        rows = []
        for entry in entries:
            number = int(entry.name[1:])
            rows.append({
                "id": entry.name, "host_port": text(self.places.backend(node, number)),
                "locality": entry.zone, "flavor": "std", "cell": entry.cell, "phase": entry.phase.value,
                "size": 1.0, "up_since_ms": entry.up_since,
            })  # fmt: skip
            self.seen.told.append(records.ToldRecord(node, now, number, entry.phase.value, entry.up_since))
        if complete:
            here = {entry.name for entry in entries}
            for number, name in enumerate(self.spec.backend_names):
                if name not in here:
                    self.seen.told.append(records.ToldRecord(node, now, number, Phase.GONE.value, 0.0))
        table = {"revision": self.core.revision, "complete": complete, "members": rows}
        return json.dumps(table, indent=1 if self.spec.discovery.multi_line else None).encode() + b"\n"


class DiscoveryWire(Wire):
    """A node's connection to discovery."""

    def __init__(self, service: DirectoryService, node: int, move: int = 0) -> None:
        """`move`: how often discovery had moved to come to this address."""
        super().__init__(service.weather, service.clock, "d", f"n{node}")
        self.service, self.node, self.move = service, node, move
        self.parser = httptools.HttpRequestParser(self)
        self.watch: Watch | None = None
        self.beats: asyncio.TimerHandle | None = None

    def up(self) -> None:
        self.service.wires.add(self)
        if self.service.down:
            self.reset()

    def received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        parts = urlsplit(url.decode("latin-1"))
        query = parse_qs(parts.query)
        if parts.path != "/discovery/hosts":
            self.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        since = int(query.get("from", ["-1"])[0]) if query.get("watch") == ["1"] else None
        self.service.call(self, since)

    def tell(self) -> None:
        """What the watch does not know yet; one that ends instead tells no more than its first object."""
        if self.open and self.watch is not None and self.watch.ends(self.service.core):
            self.watch = None
            self.send(b"0\r\n\r\n")
            self.finish()
            return
        news = self.watch.news(self.service.core) if self.open and self.watch is not None else None
        if news is not None:
            line = self.service.line(self.node, *news)
            self.send(b"%x\r\n%b\r\n" % (len(line), line))

    def beat(self) -> None:
        """An empty line now and then."""
        if self.open and self.watch is not None and not self.watch.silent:
            self.send(b"1\r\n\n\r\n")
            self.beats = asyncio.get_running_loop().call_later(EMPTY_LINE, self.beat)

    def ended(self) -> None:
        self.service.wires.discard(self)
        self.watch = None
        if self.beats is not None:
            self.beats.cancel()


class Relay:
    """The way of datagrams between nodes: what i sends to `relay(i, j)` comes to j from `relay(j, i)`."""

    def __init__(self, spec: Experiment, places: Places, weather: Weather) -> None:
        self.spec, self.places, self.weather = spec, places, weather
        self.ways: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.sends: list[tuple[float, int]] = []  # when (monotonic s) each was sent, and by whom
        self.counts: Counter[str] = Counter()

    def sent(self, zero: float) -> list[records.DatagramsRecord]:
        """How many each node sent in each second of the run, by its zero (monotonic s)."""
        counts = Counter((near, math.floor(at - zero)) for at, near in self.sends)
        return [records.DatagramsRecord(node, second, n) for (node, second), n in sorted(counts.items())]

    async def open(self) -> None:
        """Listen for every pair; address i of node i itself is its way to all. Raises OSError."""
        loop = asyncio.get_running_loop()
        for near in range(self.spec.fleet.nodes):
            for far in range(self.spec.fleet.nodes):
                transport, _ = await loop.create_datagram_endpoint(
                    lambda near=near, far=far: RelayEnd(self, near, far),  # type: ignore[misc]
                    local_addr=self.places.relay(near, far),
                )
                self.ways[near, far] = transport

    def passed(self, near: int, far: int, data: bytes) -> None:
        """A datagram of node `near` for `far`, or for all where these are one."""
        if len(data) > MOST_DATAGRAM:
            self.counts["too_long"] += 1
            return
        self.sends.append((time.monotonic(), near))
        targets = [n for n in range(self.spec.fleet.nodes) if n != near] if near == far else [far]
        for target in targets:
            self.counts["sent"] += 1
            held = self.weather.between(f"n{near}", f"n{target}")
            copies = self.weather.datagram(held, len(data))
            self.counts["lost"] += not copies
            for late in copies:
                asyncio.get_running_loop().call_later(late / 1000, self._arrive, near, target, data)

    def _arrive(self, near: int, target: int, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.ways[target, near].sendto(data, self.places.peer(target))


class RelayEnd(asyncio.DatagramProtocol):
    """What one node takes for the address of another."""

    def __init__(self, relay: Relay, near: int, far: int) -> None:
        self.relay, self.near, self.far = relay, near, far

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr[0] == self.relay.places.peer(self.near)[0]:
            self.relay.passed(self.near, self.far, data)
        else:
            self.relay.counts["foreign"] += 1
