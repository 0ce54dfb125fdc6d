"""Play an experiment of the lab in one process under a virtual clock, so that the result is deterministic.

The lab's clients, backends, discovery and faults run with a simple node on one event loop. Its clock advances
only when all tasks wait, and its connections are in memory. No time passes while code runs, so no deadline is
missed because the machine is slow.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any
from unittest import mock

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Maintenance
from balancer.lab import records
from balancer.lab.addresses import AddressPlan
from balancer.lab.processes import call_console, node_configuration
from balancer.lab.run import LEAD_S, TAIL_S
from balancer.lab.timeline import Moment, Step, timeline
from balancer.lab.worker import Plan, Role, Worker
from tests.broken_node import DefectiveNode

Address = tuple[str, int]
ROLES: tuple[Role, ...] = ("backends", "clients", "discovery")
# Exit code of the node process if the node has the defect `crash`.
CRASH_EXIT_CODE = 3


class VirtualSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock by the timeout instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks wait and no timer is scheduled, so the virtual clock cannot advance"
            )
        self.now_s += timeout
        return []


class FakeSocket:
    """The socket of an in-memory connection, as far as the lab uses it."""

    def setsockopt(self, *_: Any) -> None:
        """Ignore the option: `abort` of an in-memory transport always resets the connection."""

    def getsockopt(self, *_: Any) -> bytes:
        """Return an empty structure, as in-memory bytes are read when they arrive."""
        return b""


class InMemoryTransport(asyncio.Transport):
    """One end of an in-memory connection; `peer` is the other end."""

    def __init__(self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol) -> None:
        super().__init__({"socket": FakeSocket()})
        self.loop, self.protocol = loop, protocol
        self.peer: InMemoryTransport
        self.closing = self.is_disconnected = False

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        if not self.closing:
            self.loop.call_soon(self.peer.receive, bytes(data))

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.peer.receive_eof)
            self.loop.call_soon(self.disconnect, None)

    def abort(self) -> None:
        if not self.is_disconnected:
            self.closing = True
            self.loop.call_soon(self.disconnect, None)
            self.loop.call_soon(self.peer.disconnect, ConnectionResetError())

    def receive(self, data: bytes) -> None:
        """Receive bytes from the peer; if this end is closing, reset the peer's end instead."""
        if self.closing:
            self.peer.disconnect(ConnectionResetError())
        else:
            self.protocol.data_received(data)

    def receive_eof(self) -> None:
        """Receive the end of the stream, because the peer has closed its end."""
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def disconnect(self, error: Exception | None) -> None:
        """Notify the protocol of this end that the connection is lost, unless that has happened before."""
        if not self.is_disconnected:
            self.closing = self.is_disconnected = True
            self.protocol.connection_lost(error)


ProtocolFactory = Callable[[], asyncio.Protocol]


class Server:
    """A listener at a virtual address; connections to it never open while it is unresponsive."""

    def __init__(
        self, servers: dict[Address, Server], address: Address, protocol_factory: ProtocolFactory
    ) -> None:
        self.servers, self.address, self.protocol_factory, self.unresponsive = (
            servers,
            address,
            protocol_factory,
            False,
        )

    def open(self) -> None:
        """Accept connections from now on."""
        self.servers[self.address] = self

    def close(self) -> None:
        """Refuse connections from now on."""
        self.servers.pop(self.address, None)

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Choose whether new connections stay pending forever, as with `ImpairedListener`."""
        self.unresponsive = unresponsive


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with in-memory connections and a clock that advances only when all tasks wait."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        self.servers: dict[Address, Server] = {}
        # Contexts of the exceptions that callbacks and connection handlers have raised.
        self.errors: list[dict[str, Any]] = []
        super().__init__(self.virtual_selector)
        self.set_exception_handler(lambda _, context: self.errors.append(context))

    def time(self) -> float:
        return self.virtual_selector.now_s

    def listener(self, address: Address, protocol_factory: ProtocolFactory) -> Server:
        """Return a virtual listener, which replaces the lab's `ImpairedListener`."""
        return Server(self.servers, address, protocol_factory)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        server = self.listener((host, port), protocol_factory)
        server.open()
        return server

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None,
                                **_: Any) -> Any:  # fmt: skip
        await asyncio.sleep(0)
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f"connection refused: no listener at {host}:{port}")
        if server.unresponsive:
            await asyncio.Event().wait()
        near, far = (
            InMemoryTransport(self, protocol_factory()),
            InMemoryTransport(self, server.protocol_factory()),
        )
        near.peer, far.peer = far, near
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


class VirtualPlay:
    """A play of an experiment with one `DefectiveNode`; `seen` contains its records at the end."""

    def __init__(self, spec: Experiment, seed: int, defect: str, loop: VirtualLoop) -> None:
        self.spec, self.seed, self.loop, self.seen = spec, seed, loop, records.RunRecords()
        self.places = AddressPlan(block=0, backends=spec.backends.count)
        self.workers = [Worker(Plan(spec, seed, 0, role, 0, 1, ""), loop.time) for role in ROLES]
        self.clock = self.workers[0].clock
        config = node_configuration(spec, self.places, 0, seed, spec.rules.max_attempts)
        self.node = DefectiveNode(defect, config, self.crash)
        self.process_record = records.ProcessRecord(0, 0, -LEAD_S * 1000)
        self.tasks: set[asyncio.Task[Any]] = set()

    def end_node(self) -> None:
        """Close the listeners and reset the connections of the node, as at the end of its process."""
        for server in self.node.servers:
            server.close()
        for writer in self.node.writers:
            writer.transport.abort()

    def crash(self) -> None:
        """End the node and record that its process has crashed."""
        self.end_node()
        self.process_record.ended_at, self.process_record.exit_code, self.process_record.failure = (
            self.clock.now(),
            CRASH_EXIT_CODE,
            "ended by itself",
        )

    def maintain(self, moment: Moment) -> None:
        """Set the maintenance bans of a fault when it begins, and lift them when it ends."""
        for name in moment.names:
            self.start_task(self.change_ban(name, moment.step is Step.BEGIN))

    async def change_ban(self, backend: str, is_ban: bool) -> None:
        """Set or lift a ban by a call to the node's console, and record its times for the judge."""
        called = self.clock.now()
        bans = [b for b in self.seen.maintenance if f"s{b.backend}" == backend and not b.lifted_at]
        if not is_ban and bans:
            bans[0].lifted_at = called
        path = f"/backends/{backend}/{'maint' if is_ban else 'ready'}"
        status, _ = await call_console(self.places.console(0, 0), "POST", path)
        if is_ban and status == 200:
            self.seen.maintenance.append(
                records.MaintenanceRecord(0, int(backend[1:]), self.clock.now(), 0.0)
            )

    def start_task(self, work: Any) -> None:
        """Run a coroutine as a background task and keep a reference to the task."""
        self.tasks.add(self.loop.create_task(work))

    def start(self) -> None:
        """Start the workers and schedule the maintenance faults; time 0 of the play is `LEAD_S` from now."""
        zero = self.loop.time() + LEAD_S
        for worker in self.workers:
            worker.start(zero)
        for moment in timeline(self.spec, self.seed):
            if isinstance(moment.fault, Maintenance):
                self.loop.call_at(zero + moment.at_s, self.maintain, moment)

    async def run_to_end(self) -> records.RunRecords:
        """Play the experiment until late responses have arrived, and return the records of all parties."""
        for worker in self.workers:
            await worker.open()
        self.start_task(self.node.run(self.places.node(0), self.places.console(0, 0)))
        self.start()
        await self.workers[ROLES.index("clients")].finished()
        await asyncio.sleep(max(TAIL_S, self.spec.seconds + TAIL_S - self.clock.now() / 1000))
        assert not self.loop.errors, str(self.loop.errors[0])
        self.end_node()
        await asyncio.sleep(TAIL_S)
        for worker in self.workers:
            self.seen.add(worker.run_records)
        self.seen.processes.append(self.process_record)
        return self.seen


def play(spec: Experiment, seed: int, defect: str) -> records.RunRecords:
    """Play an experiment once with a single `DefectiveNode` and return the records."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        with (
            mock.patch("balancer.lab.backend_stubs.ImpairedListener", loop.listener),
            mock.patch("balancer.lab.discovery_stub.ImpairedListener", loop.listener),
        ):
            return runner.run(VirtualPlay(spec, seed, defect, loop).run_to_end())
