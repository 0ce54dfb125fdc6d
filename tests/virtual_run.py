"""A play of the lab in one process under a virtual clock: the same at every speed of the machine.

The lab's own clients, backends, discovery and faults, and a stand-in node, on an event loop whose clock moves
only when all wait; connections are in memory. No time passes while anything runs, so nobody is ever late.
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
CRASHED = 3  # the code with which a stand-in's process ends by itself


class Stopped(selectors.SelectSelector):
    """Waits by moving the clock."""

    now = 0.0  # s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all wait, and nothing is planned")
        self.now += timeout
        return []


class NoSocket:
    """What a party may ask of the socket under its connection."""

    def setsockopt(self, *_: Any) -> None:
        """No options here: to abort is to reset."""


class Pipe(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol) -> None:
        super().__init__({"socket": NoSocket()})
        self.loop, self.protocol = loop, protocol
        self.peer: Pipe
        self.closing = self.over = False

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        if not self.closing:
            self.loop.call_soon(self.peer.came, bytes(data))

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.peer.ended)
            self.loop.call_soon(self.lost, None)

    def abort(self) -> None:
        if not self.over:
            self.closing = True
            self.loop.call_soon(self.lost, None)
            self.loop.call_soon(self.peer.lost, ConnectionResetError())

    def came(self, data: bytes) -> None:
        """Bytes of the peer; where this end has closed, the peer's breaks."""
        if self.closing:
            self.peer.lost(ConnectionResetError())
        else:
            self.protocol.data_received(data)

    def ended(self) -> None:
        """The peer has closed."""
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def lost(self, why: Exception | None) -> None:
        """This end is gone."""
        if not self.over:
            self.closing = self.over = True
            self.protocol.connection_lost(why)


Make = Callable[[], asyncio.Protocol]


class Server:
    """What listens at an address; `dark`: connections to it never come up."""

    def __init__(self, places: dict[Address, Server], address: Address, make: Make) -> None:
        self.places, self.address, self.make, self.unresponsive = places, address, make, False

    def open(self) -> None:
        """Listen."""
        self.places[self.address] = self

    def close(self) -> None:
        """Refuse connections from now on."""
        self.places.pop(self.address, None)

    def set_unresponsive(self, unresponsive: bool) -> None:
        """As the lab's own."""
        self.unresponsive = unresponsive


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its clock moves when all wait; its connections are in memory."""

    def __init__(self) -> None:
        self.stopped = Stopped()
        self.places: dict[Address, Server] = {}
        self.errors: list[dict[str, Any]] = []  # of callbacks, and of handlers of a server's connections
        super().__init__(self.stopped)
        self.set_exception_handler(lambda _, what: self.errors.append(what))

    def time(self) -> float:
        return self.stopped.now

    def listener(self, address: Address, make: Make) -> Server:
        """Stands for the lab's `Listener`."""
        return Server(self.places, address, make)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        server = self.listener((host, port), protocol_factory)
        server.open()
        return server

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None,
                                **_: Any) -> Any:  # fmt: skip
        await asyncio.sleep(0)
        server = self.places.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        if server.unresponsive:
            await asyncio.Event().wait()
        near, far = Pipe(self, protocol_factory()), Pipe(self, server.make())
        near.peer, far.peer = far, near
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


class VirtualPlay:
    """One play of an experiment with one stand-in node; `seen` holds the records afterwards."""

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
        """All that the node's process held is gone."""
        for server in self.node.servers:
            server.close()
        for writer in self.node.writers:
            writer.transport.abort()

    def crash(self) -> None:
        """The node's process ends by itself."""
        self.end_node()
        self.process_record.ended_at, self.process_record.exit_code, self.process_record.failure = (
            self.clock.now(),
            CRASHED,
            "ended by itself",
        )

    def maintain(self, moment: Moment) -> None:
        """The operators take backends out, or put them back."""
        for name in moment.names:
            self.task(self.operate(name, moment.step is Step.BEGIN))

    async def operate(self, backend: str, out: bool) -> None:
        """An operator's call at the console, and what the judge is to know of it."""
        called = self.clock.now()
        bans = [b for b in self.seen.maintenance if f"s{b.backend}" == backend and not b.lifted_at]
        if not out and bans:
            bans[0].lifted_at = called
        path = f"/backends/{backend}/{'maint' if out else 'ready'}"
        status, _ = await call_console(self.places.console(0, 0), "POST", path)
        if out and status == 200:
            self.seen.maintenance.append(
                records.MaintenanceRecord(0, int(backend[1:]), self.clock.now(), 0.0)
            )

    def task(self, work: Any) -> None:
        """Run it in the background."""
        self.tasks.add(self.loop.create_task(work))

    def start(self) -> None:
        """Clients come `LEAD` from now; the faults go by the same zero."""
        zero = self.loop.time() + LEAD_S
        for worker in self.workers:
            worker.start(zero)
        for moment in timeline(self.spec, self.seed):
            if isinstance(moment.fault, Maintenance):
                self.loop.call_at(zero + moment.at, self.maintain, moment)

    async def whole(self) -> records.RunRecords:
        """Everything, to the last late answer."""
        for worker in self.workers:
            await worker.open()
        self.task(self.node.run(self.places.node(0), self.places.console(0, 0)))
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
    """Play an experiment once, its one node a stand-in with a defect."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        with (
            mock.patch("balancer.lab.backend_stubs.ImpairedListener", loop.listener),
            mock.patch("balancer.lab.discovery_stub.ImpairedListener", loop.listener),
        ):
            return runner.run(VirtualPlay(spec, seed, defect, loop).whole())
