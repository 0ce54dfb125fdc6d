"""Run an experiment: start the harness processes and nodes, apply the faults, collect the records."""

from __future__ import annotations

import asyncio
import contextlib
import math
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
from typing import Any, Protocol

import msgspec

from balancer.errors import BalancerError
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import (
    AnyFault,
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
from balancer.lab.addresses import AddressBlock, AddressPlan
from balancer.lab.logs import LabLog
from balancer.lab.outage import Outage
from balancer.lab.processes import Fleet, NodeHost, process_limits
from balancer.lab.programs import ROOT, Program
from balancer.lab.timeline import Moment, Step, timeline
from balancer.lab.worker import Plan, Role

MAX_RATE_PER_WORKER = 1700.0  # One client process sends up to 1700 first attempts per second on time.
MAX_WORKERS = 3
MAX_BACKEND_WORKERS = 2
LEAD_S = 0.4  # The first request can arrive 0.4 s after the end of the preparations.
SAMPLE_INTERVAL_S = 0.5
READY_POLL_INTERVAL_S = 0.05
MAX_BAN_CALL_MS = 1000.0  # A ban counts from its response, or from 1 s after its call if that is earlier.
SPARE_DESCRIPTORS = 100
MEMBER_STATE_LINE = re.compile(r"^(\S+ \S+) INFO membership: node (\d+) (?:is|has) (\w+)$", re.M)
PHASE_LINE = re.compile(r"^(\S+ \S+) INFO recovery: phase (\w+), path (\w+): (.*)$", re.M)
TAIL_S = 1.5  # The run waits 1.5 s after the last client's deadline for late responses.
WORKER_READY_TIMEOUT_S = 20.0
CLIENTS_SLACK_S = 30  # The last requests may end 30 s after their deadlines.
WRITE_TIMEOUT_S = 60.0
MAX_LINE_BYTES = 2**24


class LabError(BalancerError):
    """Raised when an experiment has begun and cannot be finished."""

    code = "LAB02"
    remedy = "read lab.jsonl and logs/ in the folder of the run, then run it again on an idle machine"


class LimitError(BalancerError):
    """Raised when an experiment needs more open files in one process than the system allows."""

    code = "LAB05"
    remedy = "run fewer nodes or backends, or raise the hard limit (ulimit -Hn)"


class ResultsError(BalancerError):
    """Raised when the results of a run cannot be written."""

    code = "LAB06"
    remedy = "choose a writable folder for --out, on a disk with free space"


Live = Callable[["Run"], None]


class Companion(Protocol):
    """Work that runs in addition to the clients of a run."""

    async def clients_started(self, run: Run) -> None:
        """Work from the run's zero on, until a cancellation before `clients_finished`."""

    async def clients_finished(self, run: Run) -> None:
        """Inspect the nodes, which still run, after the last request has ended."""


@dataclass(slots=True)
class MaintenanceCall:
    """An operator's maintenance call at a node's console, and whether the node accepted it."""

    node: int
    backend: int
    is_out: bool
    called_at: float  # The call was made at this time (ms) of the run.
    answered_at: float = math.inf  # The response came at this time (ms) of the run; infinite before.
    succeeded: bool = False

    def may_lift(self, ban: MaintenanceCall) -> bool:
        """Return whether this lift may follow a ban: it was not answered before the ban was called."""
        return not self.is_out and self.backend == ban.backend and self.answered_at >= ban.called_at


@dataclass
class HarnessProcess:
    """A child process of the harness and the state that it has reported."""

    role: str
    process: asyncio.subprocess.Process
    path: Path
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    done: asyncio.Event = field(default_factory=asyncio.Event)
    written: asyncio.Event = field(default_factory=asyncio.Event)
    live: dict[str, Any] = field(default_factory=dict)
    error: BalancerError | None = None

    def write_line(self, line: bytes) -> None:
        """Write one line to the process's standard input."""
        assert self.process.stdin is not None
        self.process.stdin.write(line + b"\n")


class Run:
    """One run of an experiment, started by `run_experiment`; `run_records` holds the records at its end."""

    def __init__(self, spec: Experiment, seed: int, program: Program, out: Path, log: LabLog,
                 addresses: AddressPlan, live: Live | None, companion: Companion | None) -> None:  # fmt: skip
        """Divide the cores between nodes and harness, without starting either."""
        self.spec, self.seed, self.program, self.out, self.log = spec, seed, program, out, log
        self.addresses, self.live, self.companion = addresses, live, companion
        cpus = sorted(os.sched_getaffinity(0))
        half = (len(cpus) + 1) // 2
        self.harness_cpus = cpus[half:] or cpus
        self.fleet = Fleet(spec, seed, program, addresses, out, cpus[:half], log)
        self.harness: list[HarnessProcess] = []
        self.bans: list[records.MaintenanceRecord] = []
        self.calls: list[MaintenanceCall] = []
        self.outages = [Outage(self.fleet, fault) for fault in spec.faults if isinstance(fault, PowerLoss)]
        self.run_records = records.RunRecords()
        self.recent: list[float] = []  # Latencies (ms) are kept until the next update of the display.
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def _start_harness(self, role: Role, part: int, of: int) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "balancer.lab.worker", cwd=ROOT, start_new_session=True,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=MAX_LINE_BYTES,
            preexec_fn=process_limits(self.harness_cpus, None),
        )  # fmt: skip
        harness_process = HarnessProcess(role, process, self.out / f"{role}-{part}.part.msgpack")
        self.harness.append(harness_process)
        plan = Plan(self.spec, self.seed, self.addresses.block, role, part, of, str(harness_process.path))
        harness_process.write_line(msgspec.json.encode(plan))
        self.log.write_event(f"{role}-{part}", "started", pid=process.pid)
        self.fleet.task(self._listen(harness_process))

    async def _listen(self, harness_process: HarnessProcess) -> None:
        assert harness_process.process.stdout is not None
        while line := await harness_process.process.stdout.readline():
            message = msgspec.json.decode(line)
            if message.get("live"):
                harness_process.live = message
                for zone in message.get("clients", {}).values():
                    self.recent.extend(zone["recent"])
            elif "error" in message:
                harness_process.error = (ResultsError if message.get("results") else LabError)(
                    message["error"]
                )
            for name in ("ready", "done", "written"):
                if message.get(name):
                    getattr(harness_process, name).set()
        code = await harness_process.process.wait()
        if not harness_process.written.is_set() and not self.failed.done():
            failure = harness_process.error or LabError(
                f"harness process {harness_process.role} exited early with code {code}"
            )
            self.failed.set_exception(failure)

    async def _wait_or_fail(self, work: Any, wait: float, what: str) -> None:
        """Wait for some work; raises LabError on a timeout or when the harness fails."""
        task = asyncio.ensure_future(work)
        try:
            done, _ = await asyncio.wait(
                {task, self.failed}, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if self.failed in done:
                self.failed.result()
            if not done:
                raise LabError(f"{what} took longer than {wait:g} s")
        finally:
            task.cancel()

    async def execute(self) -> None:
        """Execute the whole run, from the start of the harness to the written records."""
        for role, of in worker_counts(self.spec).items():
            for part in range(of):
                await self._start_harness(role, part, of)
        await self._wait_or_fail(
            _all_set([r.ready for r in self.harness]), WORKER_READY_TIMEOUT_S, "the start of the harness"
        )
        await asyncio.gather(*(node.start() for node in self.fleet.nodes))
        await self._nodes_ready()
        zero = time.monotonic() + LEAD_S
        self.fleet.set_zero(zero)
        self.log.zero = zero
        for harness_process in self.harness:
            harness_process.write_line(msgspec.json.encode(zero))
        self.log.write_event("lab", "clients come", seed=self.seed, program=self.program.label)
        loop = asyncio.get_running_loop()
        for moment in timeline(self.spec, self.seed):
            loop.call_later(zero + moment.at_s - time.monotonic(), self._apply, moment)
        for outage in self.outages:
            loop.call_later(zero + outage.fault.at / 2 - time.monotonic(), outage.copy)
        watch = self.fleet.task(self._watch())
        companion_task = (
            self.fleet.task(self.companion.clients_started(self)) if self.companion is not None else None
        )
        clients = [r for r in self.harness if r.role == "clients"]
        longest = max(c.deadline_ms for c in self.spec.load.classes) / 1000
        await self._wait_or_fail(
            _all_set([r.done for r in clients]), self.spec.seconds + longest + LEAD_S + CLIENTS_SLACK_S,
            "the clients' last requests",
        )  # fmt: skip
        remaining_s = max(TAIL_S, zero + self.spec.seconds + TAIL_S - time.monotonic())
        await self._wait_or_fail(
            asyncio.sleep(remaining_s), remaining_s + TAIL_S, "the wait for late answers"
        )
        watch.cancel()
        if self.companion is not None and companion_task is not None:
            companion_task.cancel()
            await self.companion.clients_finished(self)
        await self.fleet.end_all()
        for harness_process in self.harness:
            harness_process.write_line(b"end")
        await self._wait_or_fail(_all_set([r.written for r in self.harness]), WRITE_TIMEOUT_S, "the records")
        await self.fleet.settle()
        self._collect()

    async def _nodes_ready(self) -> None:
        until = time.monotonic() + self.spec.fleet.ready_within
        while time.monotonic() < until:
            if self.failed.done():
                self.failed.result()
            waiting = [n for n in self.fleet.nodes if not any(r.record.ready_at for r in n.running)]
            if not any(n.alive() for n in waiting):
                break
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        if not any(n.alive() for n in self.fleet.nodes):
            raise LabError(f"no node started, expected at least one: see {self.out / 'logs'}")

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.fleet.sample()
            if self.live is not None:
                self.live(self)

    def _apply(self, moment: Moment) -> None:
        fault, begin = moment.fault, moment.step is Step.BEGIN
        self.log.write_event(
            "lab", f"fault {moment.step.value}", kind=fault_kind(fault), what=list(moment.names)
        )
        if isinstance(fault, Maintenance):
            consoles = select_parties(self.spec, fault.nodes) if begin else self.spec.node_names
            for name in moment.names:
                for console in consoles:
                    self.fleet.task(self._set_maintenance(int(console[1:]), int(name[1:]), begin))
        if isinstance(fault, PowerLoss):
            self._apply_power_loss(fault, moment)
            return
        for name in moment.names:
            if name[0] == "n":
                self._apply_to_node(self.fleet.nodes[int(name[1:])], fault, begin)

    def _apply_to_node(self, node: NodeHost, fault: AnyFault, begin: bool) -> None:
        match fault:
            case Kill() if begin:
                node.kill()
            case Kill():
                self.fleet.task(node.start(fault.keep_tmp))
            case Terminate():
                self.fleet.task(node.restart_as_planned(fault))
            case Stall():
                node.stall(begin)
            case Upgrade():
                self.fleet.task(node.upgrade())
            case Reload():
                node.reload(fault)
            case DiskFault():
                node.disk(fault.mode, begin)

    def _apply_power_loss(self, fault: PowerLoss, moment: Moment) -> None:
        own_outage = next(outage for outage in self.outages if outage.fault is fault)
        if moment.step is Step.BEGIN:
            for earlier in self.outages:
                earlier.superseded = earlier.superseded or earlier.fault.at < fault.at
            own_outage.cut_power(moment.names)
            return
        for name in moment.names:
            if name[0] == "n":
                self.fleet.task(own_outage.restart(self.fleet.nodes[int(name[1:])]))

    async def _set_maintenance(self, node: int, backend: int, out: bool) -> None:
        call = MaintenanceCall(node, backend, out, self.fleet.now())
        self.calls.append(call)
        if not out:
            self._end_bans(call)
        good = await self.fleet.nodes[node].set_maintenance(backend, out)
        call.answered_at, call.succeeded = self.fleet.now(), good
        if out and good:
            begun = min(call.answered_at, call.called_at + MAX_BAN_CALL_MS)
            lifts = [
                each.called_at for each in self.calls if self._counts_at(each, node) and each.may_lift(call)
            ]
            ended = max(begun, min(lifts)) if lifts else 0.0
            self.bans.append(records.MaintenanceRecord(node, backend, begun, ended))
        self.log.write_event(f"n{node}", "maint" if out else "ready", backend=f"s{backend}", yes=good)

    def _counts_at(self, call: MaintenanceCall, node: int) -> bool:
        """Return whether a call may affect a node: its own, or any call if nodes share a ban register."""
        return self.spec.fleet.recovery or call.node == node

    def _end_bans(self, lift: MaintenanceCall) -> None:
        for ban in self.bans:
            if not ban.lifted_at and ban.backend == lift.backend and self._counts_at(lift, ban.node):
                ban.lifted_at = lift.called_at

    def _collect(self) -> None:
        if self.fleet.errors:
            raise LabError(self.fleet.errors[0])
        for harness_process in self.harness:
            self.run_records.add(records.read(harness_process.path))
            harness_process.path.unlink()
        self.run_records.processes.extend(self.fleet.process_records)
        self.run_records.samples.extend(self.fleet.samples)
        self.run_records.maintenance.extend(self.bans)
        # The run's zero in Unix time dates the log lines, as all processes share the machine's clock; for a
        # node whose clock was stepped, its offset is added.
        wall = time.time() - (time.monotonic() - self.fleet.zero)
        clocks = {(x.node, x.process): x.clock_offset_s for x in self.fleet.process_records}
        if self.spec.fleet.membership:
            self.run_records.member_views.extend(member_views(self.out / "logs", wall, clocks))
        if self.spec.fleet.recovery:
            self.run_records.recovery_phases.extend(recovery_phases(self.out / "logs", wall, clocks))
        records.write(self.run_records, self.out / "records.msgpack")
        shutil.rmtree(self.out / "nodes", ignore_errors=True)

    async def abandon(self) -> None:
        """Kill all child processes and wait for their end."""
        self.fleet.kill()
        for harness_process in self.harness:
            if harness_process.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    harness_process.process.kill()
        for harness_process in self.harness:
            await harness_process.process.wait()
        await self.fleet.settle()
        if self.failed.done():
            self.failed.exception()


Clocks = dict[tuple[int, int], float]  # Wall clock offsets (s) are kept by node and process number.


def _matching_log_lines(
    logs: Path, wall_zero: float, clocks: Clocks, pattern: re.Pattern[str]
) -> Iterator[tuple[int, float, re.Match[str]]]:
    """Yield the matching lines of the nodes' logs, each as its node, its time (ms) and the match.

    Group 1 of `pattern` is the time stamp; `wall_zero` is the run's zero in Unix time (s).
    """
    for path in sorted(logs.glob("n*-*.log")):
        node, process = map(int, path.stem[1:].split("-"))
        zero = wall_zero + clocks.get((node, process), 0.0)
        for found in pattern.finditer(path.read_text("utf-8", "replace")):
            stamp = datetime.strptime(found[1], "%Y-%m-%d %H:%M:%S,%f").timestamp()
            yield node, (stamp - zero) * 1000, found


def member_views(logs: Path, wall_zero: float, clocks: Clocks) -> Iterator[records.MemberViewRecord]:
    """Yield the state changes of members from the nodes' logs."""
    for node, at, found in _matching_log_lines(logs, wall_zero, clocks, MEMBER_STATE_LINE):
        yield records.MemberViewRecord(node, at, int(found[2]), found[3])


def recovery_phases(logs: Path, wall_zero: float, clocks: Clocks) -> Iterator[records.PhaseRecord]:
    """Yield the recovery phases from the nodes' logs."""
    for node, at, found in _matching_log_lines(logs, wall_zero, clocks, PHASE_LINE):
        yield records.PhaseRecord(node, at, found[2], found[3], found[4])


def worker_counts(spec: Experiment) -> dict[Role, int]:
    """Return the number of harness processes for each role."""
    count = min(MAX_WORKERS, 1 + int(spec.rate // MAX_RATE_PER_WORKER))
    return {"backends": min(MAX_BACKEND_WORKERS, count), "clients": count, "discovery": 1}


async def _all_set(events: list[asyncio.Event]) -> None:
    for event in events:
        await event.wait()


def _check_descriptors(spec: Experiment) -> None:
    """Raise LimitError if a backend process cannot open all its listeners and the nodes' connections."""
    listeners = spec.fleet.nodes * -(-spec.backends.count // worker_counts(spec)["backends"])
    connections = spec.fleet.nodes * spec.fleet.sockets
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if listeners + min(connections, 2 * listeners) + SPARE_DESCRIPTORS > limit:
        raise LimitError(
            f"{spec.fleet.nodes} nodes and {spec.backends.count} backends need more descriptors in one "
            f"process than the limit of {limit}"
        )


async def run_experiment(
    spec: Experiment,
    seed: int,
    program: Program,
    out: Path,
    human: bool = False,
    live: Live | None = None,
    companion: Companion | None = None,
) -> records.RunRecords:
    """Run an experiment once, leaving no child process behind.

    Raises LabError, LimitError, AddressError, ResultsError, and CancelledError on SIGINT or SIGTERM.
    """
    _check_descriptors(spec)
    try:
        (out / "logs").mkdir(parents=True, exist_ok=True)
        block = AddressBlock(spec.fleet.nodes, spec.backends.count)
        log = LabLog(out / "lab.jsonl", f"{spec.name}-{seed}", human)
    except OSError as err:
        raise ResultsError(str(err)) from None
    run = Run(spec, seed, program, out, log, block.addresses, live, companion)
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        await run.execute()
    except OSError as err:
        raise ResultsError(f"{out}: {err.strerror or err}") from None
    finally:
        await run.abandon()
        block.close()
        with contextlib.suppress(OSError):
            log.close()
    return run.run_records
