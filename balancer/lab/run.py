"""One run: the rig's processes, the nodes, the timeline, and what all of them saw."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import resource
import shutil
import signal
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from balancer.errors import BalancerError
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import (
    DiskFault,
    Kill,
    Maintenance,
    PowerLoss,
    Reload,
    Stall,
    Terminate,
    Upgrade,
    fault_kind,
)
from balancer.experiments.selectors import select_parties
from balancer.lab import records
from balancer.lab.logs import LabLog
from balancer.lab.outage import Outage
from balancer.lab.places import Block, Places
from balancer.lab.processes import Fleet, limits
from balancer.lab.programs import ROOT, Program
from balancer.lab.timeline import Moment, Step, timeline
from balancer.lab.worker import Plan, Role

PER_WORKER = 1700.0  # first tries a second that one process of clients offers without being late
MOST_WORKERS = 3
LEAD = 0.4  # s from the rig's last preparation to the first possible arrival
SAMPLE = 0.5  # s between two looks at the nodes' processes
VIEW_LINE = re.compile(r"^(\S+ \S+) INFO membership: node (\d+) (?:is|has) (\w+)$", re.M)
PHASE_LINE = re.compile(r"^(\S+ \S+) INFO recovery: phase (\w+), path (\w+): (.*)$", re.M)
TAIL = 1.5  # s that late answers have after the last client's time
WORKER_READY = 20.0  # s


class LabError(BalancerError):
    """An experiment was begun and could not be played to its end."""

    code = "LAB02"
    remedy = "read lab.jsonl and logs/ in the folder of the run, then play it again on a machine at rest"


class LimitError(BalancerError):
    """An experiment needs more open files in one process than the system allows."""

    code = "LAB05"
    remedy = "play fewer nodes or backends, or raise the hard limit (ulimit -Hn)"


class ResultsError(BalancerError):
    """The results of a run cannot be written."""

    code = "LAB06"
    remedy = "let --out name a folder that can be written, on a disk with room"


Live = Callable[["Run"], None]


@dataclass
class Rig:
    """One process of the rig."""

    role: str
    process: asyncio.subprocess.Process
    path: Path
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    done: asyncio.Event = field(default_factory=asyncio.Event)
    written: asyncio.Event = field(default_factory=asyncio.Event)
    live: dict[str, Any] = field(default_factory=dict)
    error: BalancerError | None = None

    def say(self, line: bytes) -> None:
        """One line of its input."""
        assert self.process.stdin is not None
        self.process.stdin.write(line + b"\n")


class Run:
    """One play of an experiment; `seen` holds the records afterwards. Use `play`."""

    def __init__(self, spec: Experiment, seed: int, program: Program, out: Path, log: LabLog,
                 places: Places, live: Live | None) -> None:  # fmt: skip
        self.spec, self.seed, self.program, self.out, self.log = spec, seed, program, out, log
        self.places, self.live = places, live
        cpus = sorted(os.sched_getaffinity(0))
        half = (len(cpus) + 1) // 2
        self.rig_cpus = cpus[half:] or cpus
        self.fleet = Fleet(spec, seed, program, places, out, cpus[:half], log)
        self.rigs: list[Rig] = []
        self.bans: list[records.BanRecord] = []
        self.outages = [Outage(self.fleet, fault) for fault in spec.faults if isinstance(fault, PowerLoss)]
        self.seen = records.Seen()
        self.recent: list[float] = []  # ms: times of the answers since the last look at the live figures
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def _rig(self, role: Role, part: int, of: int) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "balancer.lab.worker", cwd=ROOT, start_new_session=True,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=2**24,
            preexec_fn=limits(self.rig_cpus, None),
        )  # fmt: skip
        rig = Rig(role, process, self.out / f"{role}-{part}.part.msgpack")
        self.rigs.append(rig)
        plan = Plan(self.spec, self.seed, self.places.block, role, part, of, str(rig.path))
        rig.say(msgspec.json.encode(plan))
        self.log.say(f"{role}-{part}", "started", pid=process.pid)
        self.fleet.task(self._listen(rig))

    async def _listen(self, rig: Rig) -> None:
        assert rig.process.stdout is not None
        while line := await rig.process.stdout.readline():
            said = msgspec.json.decode(line)
            if said.get("live"):
                rig.live = said
                for zone in said.get("clients", {}).values():
                    self.recent.extend(zone["recent"])
            elif "error" in said:
                rig.error = (ResultsError if said.get("results") else LabError)(said["error"])
            for name in ("ready", "done", "written"):
                if said.get(name):
                    getattr(rig, name).set()
        code = await rig.process.wait()
        if not rig.written.is_set() and not self.failed.done():
            why = rig.error or LabError(f"the rig's {rig.role} ended with code {code}")
            self.failed.set_exception(why)

    async def _or_failed(self, work: Any, wait: float, what: str) -> None:
        """Wait for it, but not past a failure of the rig."""
        task = asyncio.ensure_future(work)
        try:
            done, _ = await asyncio.wait(
                {task, self.failed}, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if self.failed in done:
                self.failed.result()
            if not done:
                raise LabError(f"{what} took over {wait:g} s")
        finally:
            task.cancel()

    async def whole(self) -> None:
        """Everything, from the start of the rig to the records."""
        for role, of in workers(self.spec).items():
            for part in range(of):
                await self._rig(role, part, of)
        await self._or_failed(_each([r.ready for r in self.rigs]), WORKER_READY, "the rig")
        await asyncio.gather(*(node.start() for node in self.fleet.nodes))
        await self._nodes_ready()
        zero = time.monotonic() + LEAD
        self.fleet.set_zero(zero)
        self.log.zero = zero
        for rig in self.rigs:
            rig.say(msgspec.json.encode(zero))
        self.log.say("lab", "clients come", seed=self.seed, program=self.program.label)
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, self.seed):
            loop.call_later(zero + moment.at - time.monotonic(), self._apply, moment)
        for outage in self.outages:
            loop.call_later(zero + outage.fault.at / 2 - time.monotonic(), outage.copy)
        watch = self.fleet.task(self._watch())
        clients = [r for r in self.rigs if r.role == "clients"]
        longest = max(c.deadline_ms for c in self.spec.load.classes) / 1000
        await self._or_failed(
            _each([r.done for r in clients]), self.spec.seconds + longest + LEAD + 30,
            "the clients' last requests",
        )  # fmt: skip
        rest = max(TAIL, zero + self.spec.seconds + TAIL - time.monotonic())
        await self._or_failed(asyncio.sleep(rest), rest + TAIL, "the wait for late answers")
        watch.cancel()
        await self.fleet.end_all()
        for rig in self.rigs:
            rig.say(b"end")
        await self._or_failed(_each([r.written for r in self.rigs]), 60.0, "the records")
        await self.fleet.settle()
        self._collect()

    async def _nodes_ready(self) -> None:
        until = time.monotonic() + self.spec.fleet.ready_within
        while time.monotonic() < until:
            if self.failed.done():
                self.failed.result()
            waiting = [n for n in self.fleet.nodes if not any(r.life.ready for r in n.running)]
            if not any(n.alive() for n in waiting):
                break
            await asyncio.sleep(0.05)
        if not any(n.alive() for n in self.fleet.nodes):
            raise LabError(f"no node started: see {self.out / 'logs'}")

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE)
            self.fleet.sample()
            if self.live is not None:
                self.live(self)

    def _apply(self, moment: Moment) -> None:
        fault, begin = moment.fault, moment.step is Step.BEGIN
        self.log.say("lab", f"fault {moment.step.value}", kind=fault_kind(fault), what=list(moment.names))
        if isinstance(fault, Maintenance):
            consoles = select_parties(self.spec, fault.nodes) if begin else self.spec.node_names
            for name in moment.names:
                for console in consoles:
                    self.fleet.task(self._operate(int(console[1:]), int(name[1:]), begin))
        if isinstance(fault, PowerLoss):
            self._power(fault, moment)
            return
        for name in moment.names:
            if name[0] != "n":
                continue
            node = self.fleet.nodes[int(name[1:])]
            match fault:
                case Kill() if begin:
                    node.kill()
                case Kill():
                    self.fleet.task(node.start(fault.keep_tmp))
                case Terminate():
                    self.fleet.task(node.roll(fault.restart_after, fault.keep_tmp))
                case Stall():
                    node.stall(begin)
                case Upgrade():
                    self.fleet.task(node.upgrade())
                case Reload():
                    node.reload(fault)
                case DiskFault():
                    node.disk(fault.mode, begin)

    def _power(self, fault: PowerLoss, moment: Moment) -> None:
        mine = next(outage for outage in self.outages if outage.fault is fault)
        if moment.step is Step.BEGIN:
            for earlier in self.outages:
                earlier.over = earlier.over or earlier.fault.at < fault.at
            mine.cut(moment.names)
            return
        for name in moment.names:
            if name[0] == "n":
                self.fleet.task(mine.back(self.fleet.nodes[int(name[1:])]))

    async def _operate(self, node: int, backend: int, out: bool) -> None:
        called = self.fleet.now()
        held = [b for b in self.bans if (b.node, b.backend, b.ended) == (node, backend, 0.0)]
        if not out and held:
            held[0].ended = called
        good = await self.fleet.nodes[node].operate(backend, out)
        if out and good:
            self.bans.append(records.BanRecord(node, backend, min(self.fleet.now(), called + 1000), 0.0))
        self.log.say(f"n{node}", "maint" if out else "ready", backend=f"s{backend}", yes=good)

    def _collect(self) -> None:
        if self.fleet.errors:
            raise LabError(self.fleet.errors[0])
        for rig in self.rigs:
            self.seen.add(records.read(rig.path))
            rig.path.unlink()
        self.seen.lives.extend(self.fleet.lives)
        self.seen.samples.extend(self.fleet.samples)
        self.seen.bans.extend(self.bans)
        # One machine, one clock: the run's zero in Unix time. A node whose clock was stepped logs by its own.
        wall = time.time() - (time.monotonic() - self.fleet.zero)
        clocks = {(x.node, x.process): x.clock for x in self.fleet.lives}
        if self.spec.fleet.membership:
            self.seen.views.extend(views(self.out / "logs", wall, clocks))
        if self.spec.fleet.recovery:
            self.seen.phases.extend(phases(self.out / "logs", wall, clocks))
        records.write(self.seen, self.out / "records.msgpack")
        shutil.rmtree(self.out / "nodes", ignore_errors=True)

    async def abandon(self) -> None:
        """End every child now."""
        self.fleet.kill()
        for rig in self.rigs:
            if rig.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    rig.process.kill()
        for rig in self.rigs:
            await rig.process.wait()
        await self.fleet.settle()
        if self.failed.done():
            self.failed.exception()


Clocks = dict[tuple[int, int], float]  # by node and process: s by which its wall clock is off


def _lines(
    logs: Path, wall_zero: float, clocks: Clocks, pattern: re.Pattern[str]
) -> Iterator[tuple[int, float, re.Match[str]]]:
    """Each line of a kind in the nodes' logs: the node, when (ms), the match, whose first group is a time.

    `wall_zero` is the run's zero in Unix time, s.
    """
    for path in sorted(logs.glob("n*-*.log")):
        node, process = map(int, path.stem[1:].split("-"))
        zero = wall_zero + clocks.get((node, process), 0.0)
        for found in pattern.finditer(path.read_text("utf-8", "replace")):
            stamp = datetime.strptime(found[1], "%Y-%m-%d %H:%M:%S,%f").timestamp()
            yield node, (stamp - zero) * 1000, found


def views(logs: Path, wall_zero: float, clocks: Clocks) -> Iterator[records.ViewRecord]:
    """What the nodes' logs say of members."""
    for node, at, found in _lines(logs, wall_zero, clocks, VIEW_LINE):
        yield records.ViewRecord(node, at, int(found[2]), found[3])


def phases(logs: Path, wall_zero: float, clocks: Clocks) -> Iterator[records.PhaseRecord]:
    """What the nodes' logs say of their recovery."""
    for node, at, found in _lines(logs, wall_zero, clocks, PHASE_LINE):
        yield records.PhaseRecord(node, at, found[2], found[3], found[4])


def workers(spec: Experiment) -> dict[Role, int]:
    """How many processes of the rig play each role."""
    count = min(MOST_WORKERS, 1 + int(spec.rate // PER_WORKER))
    return {"backends": min(2, count), "clients": count, "hub": 1}


async def _each(events: list[asyncio.Event]) -> None:
    for event in events:
        await event.wait()


def _check_descriptors(spec: Experiment) -> None:
    """A process of backends listens for every pair, and holds the nodes' connections."""
    listeners = spec.fleet.nodes * -(-spec.backends.count // workers(spec)["backends"])
    held = spec.fleet.nodes * spec.fleet.sockets
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if listeners + min(held, 2 * listeners) + 100 > most:
        raise LimitError(
            f"{spec.fleet.nodes} nodes and {spec.backends.count} backends need more descriptors in one "
            f"process than the limit of {most}"
        )


async def play(
    spec: Experiment, seed: int, program: Program, out: Path, human: bool = False, live: Live | None = None
) -> records.Seen:
    """Play an experiment once; no child is left.

    Raises LabError, LimitError, PlaceError, ResultsError, and CancelledError on SIGINT or SIGTERM.
    """
    _check_descriptors(spec)
    try:
        (out / "logs").mkdir(parents=True, exist_ok=True)
        block = Block(spec.fleet.nodes, spec.backends.count)
        log = LabLog(out / "lab.jsonl", f"{spec.name}-{seed}", human)
    except OSError as err:
        raise ResultsError(str(err)) from None
    run = Run(spec, seed, program, out, log, block.places, live)
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        await run.whole()
    except OSError as err:
        raise ResultsError(f"{out}: {err.strerror or err}") from None
    finally:
        await run.abandon()
        block.close()
        with contextlib.suppress(OSError):
            log.close()
    return run.seen
