"""One process of the rig: it plays some of the backends, some of the clients, or discovery and the network.

The lab starts it with a plan on its first line of input, gives it the run's zero on the second, and ends it
with the third; when its input ends before that, so does it. It answers with lines of JSON.
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
from balancer.experiments.random_streams import stream
from balancer.lab import records
from balancer.lab.backends import Farm, Host
from balancer.lab.clients import Crowd
from balancer.lab.hub import DirectoryService, Relay
from balancer.lab.places import Places
from balancer.lab.timeline import Moment, Step, timeline
from balancer.lab.wires import Clock, Wire
from balancer.models.directory import Phase
from balancer.models.network import Weather

LIVE = 0.25  # s between two lines of live figures
PULSE = 0.02  # s between two looks at the event loop's lag
SLOT = 0.1  # s between two looks at what the backends bear


Role = Literal["backends", "clients", "hub"]


class Plan(msgspec.Struct):
    """What one process of the rig plays."""

    experiment: Experiment
    seed: int
    block: int
    role: Role
    part: int
    of: int
    records: str


class Worker:
    """The parties of this process, and the faults on them; `read` gives the event loop's time, in s."""

    def __init__(self, plan: Plan, read: Callable[[], float] = time.monotonic) -> None:
        self.plan, self.spec, self.seen = plan, plan.experiment, records.Seen()
        self.clock = Clock(read)
        places = Places(plan.block, self.spec.backends.count)
        self.weather = Weather(self.spec, stream(plan.seed, "weather", plan.role, plan.part))
        world = (places, self.weather, self.clock, self.seen)
        self.farm: Farm | None = None
        self.crowds: list[Crowd] = []
        self.directory: DirectoryService | None = None
        self.relay: Relay | None = None
        if plan.role == "backends":
            everyone = range(self.spec.backends.count)
            cells = sorted({self.spec.cell_of(n) for n in everyone})[plan.part :: plan.of]
            numbers = [n for n in everyone if self.spec.cell_of(n) in cells]
            self.farm = Farm(self.spec, plan.seed, *world, numbers)
        elif plan.role == "clients":
            for zone in self.spec.fleet.zones:
                self.crowds.append(Crowd(self.spec, plan.seed, zone, plan.part, plan.of, *world))
        else:
            self.directory = DirectoryService(self.spec, *world)
            if self.spec.network.peer_datagrams:
                self.relay = Relay(self.spec, places, self.weather)

    async def open(self) -> None:
        """Listen, and begin to look at the nodes. Raises OSError."""
        for part in (self.farm, self.directory):
            if part is not None:
                part.open()
        if self.relay is not None:
            await self.relay.open()
        for crowd in self.crowds:
            crowd.front.start()

    def start(self, zero: float) -> None:
        """The run's zero is known: faults and clients go by it."""
        self.clock.zero = zero
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, self.plan.seed):
            loop.call_later(max(0.0, moment.at - self.clock.now() / 1000), self._apply, moment)
        wait = -self.clock.now() / 1000
        for crowd in self.crowds:
            loop.call_later(max(0.0, wait), crowd.start)
        loop.call_later(PULSE, self._pulse, loop.time() + PULSE)
        if self.farm is not None and any(isinstance(f, PowerLoss) for f in self.spec.faults):
            loop.call_later(max(0.0, wait), self._bears, self.farm, 0)

    def _bears(self, farm: Farm, slot: int) -> None:
        self.seen.bears.append(records.BearRecord(slot, farm.bears()))
        wait = (slot + 1) * SLOT - self.clock.now() / 1000
        asyncio.get_running_loop().call_later(max(0.0, wait), self._bears, farm, slot + 1)

    def _pulse(self, due: float) -> None:
        loop = asyncio.get_running_loop()
        self.seen.loop_lag.append((loop.time() - due) * 1000)
        loop.call_later(PULSE, self._pulse, loop.time() + PULSE)

    def _apply(self, moment: Moment) -> None:
        fault, on = moment.fault, moment.step is Step.BEGIN
        if isinstance(fault, LinkFault):
            if on and fault.reset:
                self._reset(fault)
            self.weather.change(fault, on)
        elif self.directory is not None:
            self._list(self.directory, moment)
        elif self.farm is not None:
            for name in moment.names:
                if (host := self.farm.hosts.get(name)) is not None:
                    _strike(host, moment)

    def _reset(self, fault: LinkFault) -> None:
        wires: list[Wire] = [
            w for h in (self.farm.hosts.values() if self.farm else ()) for w in h.connections
        ]
        wires += [wire for crowd in self.crowds for wire in crowd.wires]
        for wire in wires:
            if self.weather.touches(fault, wire.me, wire.peer):
                wire.reset()

    def _list(self, directory: DirectoryService, moment: Moment) -> None:
        fault, spec = moment.fault, self.spec.discovery
        if isinstance(fault, DiscoveryOutage):
            directory.fail(moment.step is Step.BEGIN)
        elif isinstance(fault, DiscoveryDelay):
            directory.late_ms = fault.delay_ms if moment.step is Step.BEGIN else 0.0
        elif isinstance(fault, SilentWatches):
            directory.silence(moment.names)
        elif isinstance(fault, Reload):
            if fault.moves_discovery:
                directory.move(moment.names)
        elif isinstance(fault, PowerLoss):
            self._outage(directory, moment)
        elif isinstance(fault, (Kill, Drain)):
            for name in moment.names:
                if name[0] != "s":
                    continue
                if moment.step is Step.BACK:
                    directory.plan(spec.addition_delay_s, name, Phase.UP, time.time() * 1000)
                elif isinstance(fault, Drain) and moment.step is Step.BEGIN:
                    directory.plan(spec.addition_delay_s, name, Phase.DRAINING)
                else:
                    directory.plan(spec.removal_delay_s, name, Phase.GONE)

    def _outage(self, directory: DirectoryService, moment: Moment) -> None:
        """Who comes back before it is missed is listed on, with its new start once that is known."""
        spec, on = self.spec.discovery, moment.step is Step.BEGIN
        if "d" in moment.names:
            directory.fail(on)
        back = {m.names[0]: m.at for m in timeline(self.spec, self.plan.seed)
                if m.fault is moment.fault and m.step is Step.BACK}  # fmt: skip
        for name in moment.names:
            if name[0] != "s":
                continue
            if not on:
                directory.plan(spec.addition_delay_s, name, Phase.UP, time.time() * 1000)
            elif back.get(name, math.inf) + spec.addition_delay_s >= moment.at + spec.removal_delay_s:
                directory.plan(spec.removal_delay_s, name, Phase.GONE)

    def live(self) -> dict[str, Any]:
        """Figures for the screen."""
        out: dict[str, Any] = {"live": True, "role": self.plan.role}
        if self.farm is not None:
            out["backends"] = self.farm.live()
        if self.crowds:
            out["clients"] = {crowd.zone: crowd.live() for crowd in self.crowds}
        if self.directory is not None:
            out["calls"] = dict(self.directory.counts)
        if self.relay is not None:
            out["datagrams"] = dict(self.relay.counts)
        return out

    async def finished(self) -> None:
        """All wishes have ended; where there are none, never."""
        await asyncio.gather(*(crowd.done.wait() for crowd in self.crowds))
        if not self.crowds:
            await asyncio.Event().wait()


def _strike(host: Host, moment: Moment) -> None:
    """What a fault does to one backend."""
    fault, on, now = moment.fault, moment.step is Step.BEGIN, host.farm.clock.now()
    trouble = host.core.trouble
    match fault:
        case Kill() | Drain() | PowerLoss() if moment.step is Step.BACK:
            host.restart()
        case Kill() | PowerLoss():
            host.close()
        case Drain() if moment.step is Step.END:
            host.close()
        case Stall() if on:
            host.core.stall(now)
        case Stall():
            host.conclude(host.core.wake(now))
            host.arm()
        case GrayFailure():
            trouble.gray, trouble.gray_ms = (fault.share if on else 0.0), fault.answer_ms
        case Slowdown():
            trouble.slow = fault.factor if on else 1.0
        case ConnectionResets():
            trouble.resets = fault.share if on else 0.0
        case SlowConnects() if on:
            host.late(fault)


def _say(**table: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(table) + b"\n")
    sys.stdout.buffer.flush()


async def _input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=2**24)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def work() -> int:
    """Play until told to end; 1 if the input ended before."""
    lines = await _input()
    worker = Worker(msgspec.json.decode(await lines.readline(), type=Plan))
    try:
        await worker.open()
    except OSError as err:
        _say(error=f"{worker.plan.role}: {err}")
        return 1
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 50, 100)  # records pile up: young collections would be the rig's own stalls
    _say(ready=True, pid=os.getpid())
    zero = msgspec.json.decode(await lines.readline() or b"null", type=float | None)
    if zero is None:
        return 1
    worker.start(zero)
    tell = asyncio.get_running_loop().create_task(_tell(worker))
    done = asyncio.get_running_loop().create_task(_done(worker))
    last = await lines.readline()
    tell.cancel()
    done.cancel()
    if not last:
        return 1
    if worker.relay is not None:
        worker.seen.datagrams.extend(worker.relay.sent(worker.clock.zero))
    try:
        records.write(worker.seen, Path(worker.plan.records))
    except OSError as err:
        _say(error=f"results cannot be written: {err}", results=True)
        return 1
    _say(written=True)
    return 0


async def _tell(worker: Worker) -> None:
    while True:
        await asyncio.sleep(LIVE)
        _say(**worker.live())


async def _done(worker: Worker) -> None:
    await worker.finished()
    _say(done=True)


def main() -> int:
    """Entry point."""
    return uvloop.run(work())


if __name__ == "__main__":
    sys.exit(main())
