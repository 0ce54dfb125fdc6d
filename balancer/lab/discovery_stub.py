"""Stub of the discovery service, which serves the list of backends on sockets."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, deque
from functools import partial
from urllib.parse import parse_qs, urlsplit

import httptools

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Reload
from balancer.lab import records
from balancer.lab.addresses import AddressPlan, format_address
from balancer.lab.impaired_sockets import ImpairedConnection, ImpairedListener, RunClock
from balancer.models.directory import Directory, ListedEndpoint, Phase, Watch
from balancer.models.network import NetworkConditions

FORMER_CONNECTION_LIFETIME_S = 1.5  # Discovery closes connections to a former address 1.5 s after a move.
HEARTBEAT_INTERVAL_S = 2.0  # An open watch sends an empty line as a heartbeat every 2 s.


class DiscoveryStub:
    """Discovery service with one address per node; it serves calls one by one and spreads watch events."""

    def __init__(self, spec: Experiment, addresses: AddressPlan, network: NetworkConditions, clock: RunClock,
                 run_records: records.RunRecords) -> None:  # fmt: skip
        """Create the backend list, and the listeners of all nodes without starting them."""
        self.spec, self.addresses, self.network, self.clock, self.run_records = (
            spec,
            addresses,
            network,
            clock,
            run_records,
        )
        self.directory = Directory({
            name: ListedEndpoint(name, spec.zone_of(name), spec.cell_of(number),
                         up_since=time.time() * 1000 if spec.backends.start_cold else 0.0)
            for number, name in enumerate(spec.backend_names)
        })  # fmt: skip
        self.down, self.late_ms = False, 0.0
        self.connections: set[DiscoveryConnection] = set()
        self.calls: deque[tuple[float, DiscoveryConnection, int | None]] = deque()
        self.busy = False
        self.counts: Counter[str] = Counter()
        moves = sum(isinstance(fault, Reload) and fault.moves_discovery for fault in spec.faults)
        self.moves_by_node = Counter[int]()
        self.listeners = {
            (node, move): ImpairedListener(
                addresses.discovery(node, move), partial(DiscoveryConnection, self, node, move)
            )
            for node in range(spec.fleet.nodes)
            for move in range(moves + 1)
        }

    def open(self) -> None:
        """Start all listeners, those at the addresses of later moves included."""
        for listener in self.listeners.values():
            listener.open()

    def move(self, names: tuple[str, ...]) -> None:
        """Stop listening at these nodes' present address; their new configuration names the next one."""
        for node in (int(name[1:]) for name in names):
            self.listeners[node, self.moves_by_node[node]].close()
            self.moves_by_node[node] += 1
            asyncio.get_running_loop().call_later(
                FORMER_CONNECTION_LIFETIME_S, self._close_former, node, self.moves_by_node[node]
            )

    def _close_former(self, node: int, move: int) -> None:
        for connection in [w for w in self.connections if w.node == node and w.move < move]:
            connection.finish()

    def fail(self, down: bool) -> None:
        """Take discovery down and reset its connections, or bring it back."""
        self.down = down
        for connection in list(self.connections) if down else ():
            connection.reset()

    def silence(self, names: tuple[str, ...]) -> None:
        """Stop sending anything on the open watches of these nodes."""
        for connection in self.connections:
            if connection.watch is not None and connection.peer in names:
                connection.watch.is_silent = True
                self.counts["silent"] += 1

    def plan(self, lag_s: float, name: str, phase: Phase, up_since: float | None = None) -> None:
        """Schedule a change of a backend, which discovery learns of `lag_s` from now."""
        self.directory.schedule_change(self.clock.now() + lag_s * 1000, name, phase, up_since)
        asyncio.get_running_loop().call_later(lag_s + 0.001, self._publish)

    def _publish(self) -> None:
        changed = self.directory.advance(self.clock.now())
        if not changed:
            return
        self.run_records.list_deliveries.extend(
            records.ListDeliveryRecord(-1, self.clock.now(), int(e.name[1:]), e.phase.value, e.up_since)
            for e in changed
        )
        connections = sorted((w for w in self.connections if w.watch is not None), key=lambda w: w.node)
        for place, connection in enumerate(connections):
            wait = self.spec.discovery.watch_spread_ms * place / max(1, len(connections)) + self.late_ms
            asyncio.get_running_loop().call_later(wait / 1000, connection.send_pending)

    def call(self, connection: DiscoveryConnection, since: int | None) -> None:
        """Queue a call for a snapshot (`since` is None) or for a watch from revision `since` on."""
        self.counts["calls"] += 1
        self.run_records.discovery_calls.append(
            records.DiscoveryCallRecord(connection.node, self.clock.now())
        )
        self.calls.append((self.clock.now(), connection, since))
        if not self.busy:
            self._next()

    def _next(self) -> None:
        self.busy = bool(self.calls)
        if self.busy:
            asyncio.get_running_loop().call_later(
                self.spec.discovery.call_service_ms / 1000, self._answer_call
            )

    def _answer_call(self) -> None:
        came, connection, since = self.calls.popleft()
        late = self.clock.now() - came > self.spec.discovery.timeout_ms
        if not connection.open:
            self.counts["abandoned"] += 1
        elif late:
            self.counts["failed"] += 1
            connection.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif since is None:
            line = self.line(connection.node, list(self.directory.entries.values()), True)
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
        else:
            connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.watch = Watch(since, ends_on_change=self.spec.discovery.watch_ends_on_change)
            connection.send_pending()
            connection.send_heartbeat()
        self._next()

    def line(self, node: int, entries: list[ListedEndpoint], complete: bool) -> bytes:
        """Encode list entries as JSON for a node, and record them as delivered."""
        now = self.clock.now()
        rows = []
        for entry in entries:
            number = int(entry.name[1:])
            rows.append({
                "id": entry.name, "host_port": format_address(self.addresses.backend(node, number)),
                "locality": entry.zone, "flavor": "std", "cell": entry.cell, "phase": entry.phase.value,
                "size": 1.0, "up_since_ms": entry.up_since,
            })  # fmt: skip
            self.run_records.list_deliveries.append(
                records.ListDeliveryRecord(node, now, number, entry.phase.value, entry.up_since)
            )
        if complete:
            here = {entry.name for entry in entries}
            for number, name in enumerate(self.spec.backend_names):
                if name not in here:
                    self.run_records.list_deliveries.append(
                        records.ListDeliveryRecord(node, now, number, Phase.REMOVED.value, 0.0)
                    )
        table = {"revision": self.directory.revision, "complete": complete, "members": rows}
        return json.dumps(table, indent=1 if self.spec.discovery.multi_line else None).encode() + b"\n"


class DiscoveryConnection(ImpairedConnection):
    """Discovery's side of a connection from a node."""

    def __init__(self, service: DiscoveryStub, node: int, move: int = 0) -> None:
        """Create a connection to the address that discovery has after `move` moves."""
        super().__init__(service.network, service.clock, "d", f"n{node}")
        self.service, self.node, self.move = service, node, move
        self.parser = httptools.HttpRequestParser(self)
        self.watch: Watch | None = None
        self.heartbeat: asyncio.TimerHandle | None = None

    def up(self) -> None:
        """Register the connection; reset it while discovery is down."""
        self.service.connections.add(self)
        if self.service.down:
            self.reset()

    def received(self, data: bytes) -> None:
        """Parse received bytes of a call; reset the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Queue a call, or answer 404 for an unknown path."""
        parts = urlsplit(url.decode("latin-1"))
        query = parse_qs(parts.query)
        if parts.path != "/discovery/hosts":
            self.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        since = int(query.get("from", ["-1"])[0]) if query.get("watch") == ["1"] else None
        self.service.call(self, since)

    def send_pending(self) -> None:
        """Send the pending entries of the watch, or end a watch that closes on a change."""
        if self.open and self.watch is not None and self.watch.should_end(self.service.directory):
            self.watch = None
            self.send(b"0\r\n\r\n")
            self.finish()
            return
        pending = self.watch.pending(self.service.directory) if self.open and self.watch is not None else None
        if pending is not None:
            line = self.service.line(self.node, *pending)
            self.send(b"%x\r\n%b\r\n" % (len(line), line))

    def send_heartbeat(self) -> None:
        """Send an empty line as a heartbeat and schedule the next one."""
        if self.open and self.watch is not None and not self.watch.is_silent:
            self.send(b"1\r\n\n\r\n")
            self.heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)

    def ended(self) -> None:
        """Remove the closed connection and end its watch."""
        self.service.connections.discard(self)
        self.watch = None
        if self.heartbeat is not None:
            self.heartbeat.cancel()
