"""A process of the harness: some of the backends, some of the clients, or discovery and the datagram relay.

The lab writes three lines to its input: the plan, the run's zero, and the order to end. If its input is
closed before that, the process ends too. It writes its messages as lines of JSON.
"""

from __future__ import annotations

import asyncio
import gc
import math
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Literal

import msgspec
import uvloop

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import (
    ConnectionResets,
    DiscoveryDelay,
    DiscoveryOutage,
    Drain,
    GrayFailure,
    Kill,
    LinkFault,
    PowerLoss,
    Reload,
    SilentWatches,
    SlowConnects,
    Slowdown,
    Stall,
)
from balancer.experiments.random_streams import random_stream
from balancer.lab import records
from balancer.lab.addresses import AddressPlan
from balancer.lab.backend_stubs import BackendGroup, BackendStub
from balancer.lab.clients import ClientGroup
from balancer.lab.datagram_relay import DatagramRelay
from balancer.lab.discovery_stub import DiscoveryStub
from balancer.lab.impaired_sockets import ImpairedConnection, RunClock
from balancer.lab.timeline import Moment, Step, timeline
from balancer.models.directory import Phase
from balancer.models.network import NetworkConditions

LIVE_INTERVAL_S = 0.25
LOOP_LAG_INTERVAL_S = 0.02
CAPACITY_INTERVAL_S = 0.1
GC_THRESHOLDS = (100_000, 50, 100)  # Frequent collections of the many records would stall the harness.
MAX_LINE_BYTES = 2**24


Role = Literal["backends", "clients", "discovery"]
STREAM_NAMES: dict[Role, str] = {"backends": "backends", "clients": "clients", "discovery": "hub"}
"""Former names of the roles, with which a seed draws the same network as in earlier versions."""


class Plan(msgspec.Struct):
    """The assignment of one harness process: which part of which role it takes in a run."""

    experiment: Experiment
    seed: int
    block: int
    role: Role
    part: int
    of: int
    records: str


class Worker:
    """The simulated parties of this process, and the faults on them."""

    def __init__(self, plan: Plan, read: Callable[[], float] = time.monotonic) -> None:
        """Create the parties of a plan; `read` returns the time of the event loop in s."""
        self.plan, self.spec, self.run_records = plan, plan.experiment, records.RunRecords()
        self.clock = RunClock(read)
        addresses = AddressPlan(plan.block, self.spec.backends.count)
        self.network = NetworkConditions(
            self.spec, random_stream(plan.seed, "weather", STREAM_NAMES[plan.role], plan.part)
        )
        world = (addresses, self.network, self.clock, self.run_records)
        self.group: BackendGroup | None = None
        self.client_groups: list[ClientGroup] = []
        self.discovery: DiscoveryStub | None = None
        self.relay: DatagramRelay | None = None
        if plan.role == "backends":
            everyone = range(self.spec.backends.count)
            cells = sorted({self.spec.cell_of(n) for n in everyone})[plan.part :: plan.of]
            numbers = [n for n in everyone if self.spec.cell_of(n) in cells]
            self.group = BackendGroup(self.spec, plan.seed, *world, numbers)
        elif plan.role == "clients":
            for zone in self.spec.fleet.zones:
                self.client_groups.append(ClientGroup(self.spec, plan.seed, zone, plan.part, plan.of, *world))
        else:
            self.discovery = DiscoveryStub(self.spec, *world)
            if self.spec.network.peer_datagrams:
                self.relay = DatagramRelay(self.spec, addresses, self.network)

    async def open(self) -> None:
        """Start the listeners and the health checks of the nodes; raises OSError."""
        for part in (self.group, self.discovery):
            if part is not None:
                part.open()
        if self.relay is not None:
            await self.relay.open()
        for group in self.client_groups:
            group.front_end.start()

    def start(self, zero: float) -> None:
        """Schedule the faults and the start of the clients from the run's zero on."""
        self.clock.zero = zero
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, self.plan.seed):
            loop.call_later(max(0.0, moment.at_s - self.clock.now() / 1000), self._apply, moment)
        wait = -self.clock.now() / 1000
        for group in self.client_groups:
            loop.call_later(max(0.0, wait), group.start)
        loop.call_later(LOOP_LAG_INTERVAL_S, self._record_loop_lag, loop.time() + LOOP_LAG_INTERVAL_S)
        if self.group is not None and any(isinstance(f, PowerLoss) for f in self.spec.faults):
            loop.call_later(max(0.0, wait), self._record_capacity, self.group, 0)

    def _record_capacity(self, group: BackendGroup, slot: int) -> None:
        self.run_records.capacities.append(records.CapacityRecord(slot, group.capacity()))
        wait = (slot + 1) * CAPACITY_INTERVAL_S - self.clock.now() / 1000
        asyncio.get_running_loop().call_later(max(0.0, wait), self._record_capacity, group, slot + 1)

    def _record_loop_lag(self, scheduled_at: float) -> None:
        loop = asyncio.get_running_loop()
        self.run_records.loop_lag.append((loop.time() - scheduled_at) * 1000)
        loop.call_later(LOOP_LAG_INTERVAL_S, self._record_loop_lag, loop.time() + LOOP_LAG_INTERVAL_S)

    def _apply(self, moment: Moment) -> None:
        fault, on = moment.fault, moment.step is Step.BEGIN
        if isinstance(fault, LinkFault):
            if on and fault.reset:
                self._reset_links(fault)
            self.network.change(fault, on)
        elif self.discovery is not None:
            self._apply_to_discovery(self.discovery, moment)
        elif self.group is not None:
            for name in moment.names:
                if (stub := self.group.stubs.get(name)) is not None:
                    _apply_to_backend(stub, moment)

    def _reset_links(self, fault: LinkFault) -> None:
        connections: list[ImpairedConnection] = [
            w for h in (self.group.stubs.values() if self.group else ()) for w in h.connections
        ]
        connections += [connection for group in self.client_groups for connection in group.connections]
        for connection in connections:
            if self.network.affects_link(fault, connection.me, connection.peer):
                connection.reset()

    def _apply_to_discovery(self, discovery: DiscoveryStub, moment: Moment) -> None:
        fault, spec = moment.fault, self.spec.discovery
        if isinstance(fault, DiscoveryOutage):
            discovery.fail(moment.step is Step.BEGIN)
        elif isinstance(fault, DiscoveryDelay):
            discovery.late_ms = fault.delay_ms if moment.step is Step.BEGIN else 0.0
        elif isinstance(fault, SilentWatches):
            discovery.silence(moment.names)
        elif isinstance(fault, Reload):
            if fault.moves_discovery:
                discovery.move(moment.names)
        elif isinstance(fault, PowerLoss):
            self._apply_power_loss(discovery, moment)
        elif isinstance(fault, (Kill, Drain)):
            for name in moment.names:
                if name[0] != "s":
                    continue
                if moment.step is Step.RESTART:
                    discovery.plan(spec.addition_delay_s, name, Phase.IN_SERVICE, time.time() * 1000)
                elif isinstance(fault, Drain) and moment.step is Step.BEGIN:
                    discovery.plan(spec.addition_delay_s, name, Phase.DRAINING)
                else:
                    discovery.plan(spec.removal_delay_s, name, Phase.REMOVED)

    def _apply_power_loss(self, discovery: DiscoveryStub, moment: Moment) -> None:
        """Apply a power loss to the list: backends that return before discovery misses them stay listed."""
        spec, on = self.spec.discovery, moment.step is Step.BEGIN
        if "d" in moment.names:
            discovery.fail(on)
        return_times = {m.names[0]: m.at_s for m in timeline(self.spec, self.plan.seed)
                if m.fault is moment.fault and m.step is Step.RESTART}  # fmt: skip
        for name in moment.names:
            if name[0] != "s":
                continue
            if not on:
                discovery.plan(spec.addition_delay_s, name, Phase.IN_SERVICE, time.time() * 1000)
            elif (
                return_times.get(name, math.inf) + spec.addition_delay_s >= moment.at_s + spec.removal_delay_s
            ):
                discovery.plan(spec.removal_delay_s, name, Phase.REMOVED)

    def live(self) -> dict[str, Any]:
        """Return the live figures of this process for the display."""
        out: dict[str, Any] = {"live": True, "role": self.plan.role}
        if self.group is not None:
            out["backends"] = self.group.live()
        if self.client_groups:
            out["clients"] = {group.zone: group.live() for group in self.client_groups}
        if self.discovery is not None:
            out["calls"] = dict(self.discovery.counts)
        if self.relay is not None:
            out["datagrams"] = dict(self.relay.counts)
        return out

    async def finished(self) -> None:
        """Wait until all operations of the clients have ended, or forever if there are no clients."""
        await asyncio.gather(*(group.done.wait() for group in self.client_groups))
        if not self.client_groups:
            await asyncio.Event().wait()


def _apply_to_backend(stub: BackendStub, moment: Moment) -> None:
    """Apply a step of a fault to one backend."""
    fault, on, now = moment.fault, moment.step is Step.BEGIN, stub.group.clock.now()
    active_faults = stub.model.active_faults
    match fault:
        case Kill() | Drain() | PowerLoss() if moment.step is Step.RESTART:
            stub.restart()
        case Kill() | PowerLoss():
            stub.close()
        case Drain() if moment.step is Step.END:
            stub.close()
        case Stall() if on:
            stub.model.stall(now)
        case Stall():
            stub.conclude(stub.model.resume(now))
            stub.arm()
        case GrayFailure():
            active_faults.gray, active_faults.gray_ms = (fault.share if on else 0.0), fault.answer_ms
        case Slowdown():
            active_faults.slow = fault.factor if on else 1.0
        case ConnectionResets():
            active_faults.resets = fault.share if on else 0.0
        case SlowConnects() if on:
            stub.schedule_connect_delays(fault)


def _write_message(**table: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(table) + b"\n")
    sys.stdout.buffer.flush()


async def _input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def work() -> int:
    """Take part in a run until the order to end; return 1 if the process fails or its input closes first."""
    lines = await _input()
    worker = Worker(msgspec.json.decode(await lines.readline(), type=Plan))
    try:
        await worker.open()
    except OSError as err:
        _write_message(error=f"{worker.plan.role}: {err}")
        return 1
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    _write_message(ready=True, pid=os.getpid())
    zero = msgspec.json.decode(await lines.readline() or b"null", type=float | None)
    if zero is None:
        return 1
    worker.start(zero)
    live_report = asyncio.get_running_loop().create_task(_report_live(worker))
    done = asyncio.get_running_loop().create_task(_report_done(worker))
    last = await lines.readline()
    live_report.cancel()
    done.cancel()
    if not last:
        return 1
    if worker.relay is not None:
        worker.run_records.datagram_counts.extend(worker.relay.sent(worker.clock.zero))
    try:
        records.write(worker.run_records, Path(worker.plan.records))
    except OSError as err:
        _write_message(error=f"results cannot be written: {err}", results=True)
        return 1
    _write_message(written=True)
    return 0


async def _report_live(worker: Worker) -> None:
    while True:
        await asyncio.sleep(LIVE_INTERVAL_S)
        _write_message(**worker.live())


async def _report_done(worker: Worker) -> None:
    await worker.finished()
    _write_message(done=True)


def main() -> int:
    """Run the worker on uvloop and return its exit code."""
    return uvloop.run(work())


if __name__ == "__main__":
    sys.exit(main())
