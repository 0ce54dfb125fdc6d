"""The nodes as processes: limits as the platform states them, signals, consoles, logs, restarts.

Children die with the lab, however it ends: the kernel sends them SIGKILL then (PR_SET_PDEATHSIG).
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import shutil
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Reload, Terminate
from balancer.experiments.platform_settings import platform_settings
from balancer.lab import records
from balancer.lab.addresses import AddressPlan, format_address
from balancer.lab.logs import LabLog
from balancer.lab.programs import Program

PR_SET_PDEATHSIG = 1
PR_CAPBSET_DROP = 24
CAP_DAC_OVERRIDE = 1
READY_POLL_INTERVAL_S = 0.03
UPGRADE_READY_TIMEOUT_S = 6.0
CONSOLE_TIMEOUT_S = 1.0
THROTTLE_INTERVAL_S = 0.01
THROTTLE_BURST_S = 0.05  # of a core that a process may save up
RELOAD_AFTER_MS = 1000.0  # from the start of a process to the first SIGHUP
MAX_COUNTED_DEADLINE_S = 3.0
TERMINATION_MARGIN_S = 0.7  # from the longest deadline after SIGTERM to SIGKILL
SIGNAL_SPACING_S = 0.05  # between two signals of a series
START_SHARE_S = 0.1  # of its start, after which a process gets SIGTERM before it is ready
HTTP_SUCCESS = 2  # the hundreds of a status


def process_limits(cpus: list[int], sockets: int | None) -> Callable[[], None]:
    """Return the function that a child runs before it executes its program: it sets the limits."""
    libc = ctypes.CDLL(None)
    parent = os.getpid()

    def apply() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # it died in between
            os._exit(1)
        os.sched_setaffinity(0, cpus)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = hard if sockets is None else min(hard, sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        if sockets is not None:
            # A folder that is read-only must be so for a lab that runs as root, too.
            libc.prctl(PR_CAPBSET_DROP, CAP_DAC_OVERRIDE, 0, 0, 0)

    return apply


def termination_grace_s(spec: Experiment) -> float:
    """Return the seconds from SIGTERM to SIGKILL, as the platform states it."""
    longest_s = max(c.deadline_ms for c in spec.load.classes) / 1000
    return min(longest_s, MAX_COUNTED_DEADLINE_S) + TERMINATION_MARGIN_S


def node_configuration(
    spec: Experiment,
    addresses: AddressPlan,
    node: int,
    seed: int,
    attempts: int,
    moves: int = 0,
    peers: int | None = None,
) -> dict[str, Any]:
    """Return the content of a node's file; discovery has moved `moves` times, `peers` nodes are listed."""
    members = [
        {"id": name, "host_port": format_address(addresses.backend(node, number)),
         "locality": spec.zone_of(name), "flavor": "std", "cell": spec.cell_of(number),
         "phase": "in_service", "size": 1.0, "up_since_ms": 0}
        for number, name in enumerate(spec.backend_names)
    ]  # fmt: skip
    out = {
        "name": f"n{node}",
        "listen": format_address(addresses.node(node)),
        "discovery": format_address(addresses.discovery(node, moves)),
        "console": format_address(addresses.console(node, 0)),
        "seed": f"{seed:016x}",
        "limits": {
            "cores": spec.fleet.cores,
            "memory_mb": spec.fleet.memory_mb,
            "sockets": spec.fleet.sockets,
        },
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": platform_settings(spec, node, attempts),
    }
    if spec.network.peer_datagrams:
        out["peer_listen"] = format_address(addresses.peer(node))
        out["peers"] = [
            format_address(addresses.relay(node, remote)) for remote in range(peers or spec.fleet.nodes)
        ]
        out["peers_all"] = format_address(addresses.relay(node, node))
    return out


async def call_console(
    address: tuple[str, int], method: str, path: str, wait: float = CONSOLE_TIMEOUT_S
) -> tuple[int, bytes]:
    """Call a console; return status and body, status 0 where no answer came in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
            raw = await reader.read()
        return int(raw.split(b" ", 2)[1]), raw.partition(b"\r\n\r\n")[2]
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


class Usage(NamedTuple):
    """The resources that a process has used and holds."""

    cpu_s: float
    rss_mb: float
    descriptors: int
    cpu_wait_s: float  # for a core, in waits that are over
    runnable: bool
    scheduling_counters: tuple[int, int]  # ns that it ran, and how often it was put on a core


@dataclass
class CpuWait:
    """A wait for a core in progress: the system counts a wait only once it is over."""

    scheduling_counters: tuple[int, int] | None = None  # as at the look that saw the wait first
    since_s: float = 0.0  # s

    def so_far(self, at: float, found: Usage) -> float:
        """Return the seconds of the wait by samples at `at` (s) of a runnable process that did not run."""
        if not found.runnable:
            self.scheduling_counters = None
        elif found.scheduling_counters != self.scheduling_counters:
            self.scheduling_counters, self.since_s = found.scheduling_counters, at
        return at - self.since_s if self.scheduling_counters is not None else 0.0


@dataclass
class Running:
    """One process of a node."""

    process: asyncio.subprocess.Process
    record: records.ProcessRecord
    stalled: bool = False
    cpu_wait: CpuWait = field(default_factory=CpuWait)

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.record.ended_at == 0 and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


FOLLOW_UPS = {"twice": signal.SIGTERM, "reload-behind": signal.SIGHUP}  # by `Terminate.signals`


@dataclass
class NodeHost:
    """One node over all its processes."""

    fleet: Fleet
    number: int
    folder: Path
    attempts: int
    starts: int = 0
    clock: float = 0.0  # s by which its wall clock is off
    moves: int = 0  # of its discovery
    peers: int | None = None  # of the tier that its file lists; None: all
    running: list[Running] = field(default_factory=list)

    @property
    def name(self) -> str:
        """n0, n1, ..."""
        return f"n{self.number}"

    @property
    def tmp(self) -> Path:
        """Its `$TMPDIR`."""
        return self.folder / "tmp"

    @property
    def state(self) -> Path:
        """Its durable directory."""
        return self.folder / "state"

    @property
    def config(self) -> Path:
        """Its file."""
        return self.folder / "config.json"

    def alive(self) -> list[Running]:
        """Return its processes that run."""
        return [r for r in self.running if r.alive]

    def write_config(self) -> None:
        """Write the file as the platform would write it now."""
        seed = (self.fleet.seed << 16 | self.number << 8 | self.starts) % 2**64
        fleet = self.fleet
        table = node_configuration(
            fleet.spec, fleet.addresses, self.number, seed, self.attempts, self.moves, self.peers
        )
        self.config.write_text(json.dumps(table), "utf-8")

    async def start(self, keep_tmp: bool = False) -> Running:
        """Start a process, and see it become ready in the background."""
        fleet, process = self.fleet, self.starts
        self.starts += 1
        if not keep_tmp:
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.tmp.mkdir(parents=True, exist_ok=True)
        self.write_config()
        env = self._environment(process)
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            fleet.program.with_variant(f"clock-{self.clock:g}") if self.clock else fleet.program.run,
            cwd=fleet.program.root,
            env=env,
            start_new_session=True,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=process_limits([fleet.cpus[self.number % len(fleet.cpus)]], fleet.spec.fleet.sockets),
        )
        process_record = records.ProcessRecord(self.number, process, fleet.now(), clock_offset_s=self.clock)
        fleet.process_records.append(process_record)
        out = Running(child, process_record)
        self.running.append(out)
        fleet.task(self._log(child, process))
        fleet.task(self._watch(out))
        fleet.task(self._ready(out, process))
        if fleet.spec.fleet.cores < 1:
            fleet.task(throttle(out, fleet.spec.fleet.cores))
        fleet.log.write_event(self.name, "started", pid=child.pid, process=process)
        return out

    def _environment(self, process: int) -> dict[str, str]:
        """Return the environment of a new process, whose fleet file is written here."""
        fleet = self.fleet
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "PYTHON"))}
        env |= {
            "PROXY_NAME": self.name, "PROXY_CONFIG": str(self.config), "TMPDIR": str(self.tmp),
            "PROXY_LISTEN": format_address(fleet.addresses.node(self.number)), "PYTHONUNBUFFERED": "1",
            "PROXY_DISCOVERY": format_address(fleet.addresses.discovery(self.number, self.moves)),
            "PROXY_CONSOLE": format_address(fleet.addresses.console(self.number, process)),
        }  # fmt: skip
        tables = ["[membership]\n"] if fleet.spec.fleet.membership else []
        if fleet.spec.fleet.durable:
            tables.append(f"[durable]\ndirectory = {json.dumps(str(self.state))}\n")
        if fleet.spec.fleet.recovery:
            tables.append("[recovery]\n")
        if tables:
            (self.folder / "fleet.toml").write_text("".join(tables), "utf-8")
            env["PROXY_FLEET"] = str(self.folder / "fleet.toml")
        return env

    async def _log(self, child: asyncio.subprocess.Process, process: int) -> None:
        assert child.stdout is not None
        with (self.fleet.out / "logs" / f"{self.name}-{process}.log").open("wb", buffering=0) as file:
            while data := await child.stdout.read(65536):
                file.write(data)

    async def _watch(self, running: Running) -> None:
        code = await running.process.wait()
        process_record = running.record
        process_record.ended_at, process_record.exit_code = self.fleet.now(), code
        if not process_record.terminated_at and not process_record.killed_at and not self.fleet.ending:
            process_record.failure = process_record.failure or "ended by itself"
        self.fleet.log.write_event(
            self.name, "ended", process=process_record.process, code=code, failure=process_record.failure
        )

    async def _ready(self, running: Running, process: int) -> None:
        address = self.fleet.addresses.console(self.number, process)
        while running.alive:
            if (await call_console(address, "GET", "/healthcheck"))[0] == HTTPStatus.OK:
                running.record.ready_at = self.fleet.now()
                self.fleet.log.write_event(self.name, "ready", process=process)
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def kill(self) -> None:
        """Send SIGKILL to all its processes."""
        for running in self.alive():
            running.record.killed_at = self.fleet.now()
            running.signal(signal.SIGKILL)

    async def terminate(self, some: list[Running], follow_up: signal.Signals | None = None) -> None:
        """Send SIGTERM, and a signal right behind it; SIGKILL after the grace period. Return at their end."""
        for running in some:
            running.record.terminated_at = self.fleet.now()
            running.signal(signal.SIGTERM)
        remaining_s = termination_grace_s(self.fleet.spec)
        if follow_up is not None:
            await self._ended(some, SIGNAL_SPACING_S)
            remaining_s -= SIGNAL_SPACING_S
            for running in some:
                running.signal(follow_up)
        await self._ended(some, remaining_s)
        for running in some:
            if running.alive:
                running.record.killed_at = self.fleet.now()
                running.signal(signal.SIGKILL)
        await self._ended(some, 5.0)

    async def _ended(self, some: list[Running], wait: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*(r.process.wait() for r in some)), wait)

    async def restart_as_planned(self, fault: Terminate) -> None:
        """Restart as planned."""
        if fault.signals == "reload-first":
            for running in filter(self._takes_reload, self.alive()):
                running.signal(signal.SIGHUP)
        await self.terminate(self.alive(), FOLLOW_UPS.get(fault.signals))
        if fault.restart_after is None:
            return
        await asyncio.sleep(fault.restart_after)
        await self.start(fault.keep_tmp)
        if fault.signals == "while-starting":
            await asyncio.sleep(START_SHARE_S)
            await self.terminate(self.alive())
            await self.start(fault.keep_tmp)

    async def upgrade(self) -> None:
        """Start a second process beside the first; end the first once the second is ready."""
        old = self.alive()
        new = await self.start(keep_tmp=True)
        until = time.monotonic() + UPGRADE_READY_TIMEOUT_S
        while not new.record.ready_at and new.alive and time.monotonic() < until:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        if not new.record.ready_at:
            new.record.failure = new.record.failure or f"not ready within {UPGRADE_READY_TIMEOUT_S:g} s"
        await self.terminate(old)

    def stall(self, on: bool) -> None:
        """Send SIGSTOP, or SIGCONT."""
        for running in self.alive():
            running.stalled = on
            running.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def reload(self, fault: Reload) -> None:
        """Write a new file and send SIGHUP."""
        takers = [running for running in self.alive() if self._takes_reload(running)]
        if fault.broken and len(takers) < len(self.alive()):
            return  # a process that starts now would read half a file, and not start
        if fault.broken:
            self.config.write_text(self.config.read_text("utf-8")[:-40], "utf-8")
        else:
            self.attempts = fault.max_attempts
            self.moves += fault.moves_discovery
            self.peers = fault.peers
            self.write_config()
        for running in takers:
            running.signal(signal.SIGHUP)

    def _takes_reload(self, running: Running) -> bool:
        """Return whether the platform would send SIGHUP: not to a process that has just started."""
        ready = running.record.ready_at != 0
        return ready and self.fleet.now() - running.record.started_at >= RELOAD_AFTER_MS

    def disk(self, mode: str, on: bool) -> None:
        """Let `$TMPDIR` and the durable directory accept no bytes or no new files; or end that."""
        if mode == "readonly":
            for folder in (self.tmp, self.state):
                if folder.exists():
                    folder.chmod(0o500 if on else 0o700)
            return
        for running in self.alive():
            hard = resource.RLIM_INFINITY
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(running.process.pid, resource.RLIMIT_FSIZE, (0 if on else hard, hard))

    async def set_maintenance(self, backend: int, out: bool) -> bool:
        """Take a backend out at this node's console, or put it back."""
        alive = self.alive()
        if not alive:
            return False
        address = self.fleet.addresses.console(self.number, alive[-1].record.process)
        path = f"/backends/s{backend}/{'maint' if out else 'ready'}"
        return (await call_console(address, "POST", path))[0] // 100 == HTTP_SUCCESS


@dataclass
class Fleet:
    """All nodes of a run."""

    spec: Experiment
    seed: int
    program: Program
    addresses: AddressPlan
    out: Path
    cpus: list[int]
    log: LabLog
    zero: float = field(default_factory=time.monotonic)  # monotonic s of the run's zero, once it is known
    ending: bool = False
    process_records: list[records.ProcessRecord] = field(default_factory=list)
    samples: list[records.ProcessSample] = field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Prepare the nodes; none is started."""
        self.nodes = [
            NodeHost(self, number, self.out / "nodes" / f"n{number}", self.spec.rules.max_attempts)
            for number in range(self.spec.fleet.nodes)
        ]

    def now(self) -> float:
        """Return the milliseconds since the run's zero, negative before it."""
        return (time.monotonic() - self.zero) * 1000

    def set_zero(self, zero: float) -> None:
        """Set the run's zero, and shift the times recorded before by it."""
        shift = (zero - self.zero) * 1000
        for process_record in self.process_records:
            process_record.started_at, process_record.ready_at, process_record.ended_at = (
                t - shift if t else t
                for t in (process_record.started_at, process_record.ready_at, process_record.ended_at)
            )
        self.zero = zero

    def task(self, work: Any) -> asyncio.Task[Any]:
        """Run it in the background; what goes wrong there is an error of the run."""
        out = asyncio.get_running_loop().create_task(work)
        self.tasks.add(out)

        def done(task: asyncio.Task[Any]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and (err := task.exception()) is not None:
                self.errors.append(f"a part of the lab failed: {type(err).__name__}: {err}")

        out.add_done_callback(done)
        return out

    def sample(self) -> None:
        """Sample every process; kill one over its memory limit, as the platform does."""
        for node in self.nodes:
            for running in node.alive():
                found = process_usage(running.process.pid)
                if found is None:
                    continue
                at = self.now()
                waited = found.cpu_wait_s + running.cpu_wait.so_far(at / 1000, found)
                self.samples.append(records.ProcessSample(at, node.number, found.cpu_s, found.rss_mb,
                                                   found.descriptors, running.record.process,
                                                   waited))  # fmt: skip
                if found.rss_mb > self.spec.fleet.memory_mb:
                    running.record.failure = f"over its memory: {found.rss_mb:.0f} MB"
                    running.signal(signal.SIGKILL)

    async def end_all(self) -> None:
        """End all processes as at a planned restart."""
        self.ending = True
        for node in self.nodes:
            node.stall(False)
        await asyncio.gather(*(node.terminate(node.alive()) for node in self.nodes))

    async def settle(self) -> None:
        """Wait for the background tasks of processes that have ended."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=5.0)

    def kill(self) -> None:
        """End all processes now."""
        self.ending = True
        for node in self.nodes:
            node.kill()


def process_usage(pid: int) -> Usage | None:
    """Return the resources of a process; None once it has ended."""
    try:
        parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        spent = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        ran_ns, waited, turns = map(int, Path(f"/proc/{pid}/schedstat").read_text().split())
        rss = pages * os.sysconf("SC_PAGE_SIZE") / 2**20
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        return Usage(spent, rss, descriptors, waited / 1e9, parts[0] == "R", (ran_ns, turns))
    except (OSError, IndexError, ValueError):
        return None


async def throttle(running: Running, cores: float) -> None:
    """Hold a process to its part of a core: it stands still once it is ahead of what it may have used."""
    path = Path(f"/proc/{running.process.pid}/schedstat")
    last = time.monotonic()
    saved = THROTTLE_BURST_S
    spent = 0
    stopped = False
    while running.alive:
        try:
            used = int(path.read_text().split()[0])
        except (OSError, IndexError):
            return
        now = time.monotonic()
        saved = min(THROTTLE_BURST_S, saved + cores * (now - last) - (used - spent) / 1e9)
        last, spent = now, used
        if not running.stalled and (saved < 0) != stopped:
            stopped = not stopped
            running.signal(signal.SIGSTOP if stopped else signal.SIGCONT)
        await asyncio.sleep(THROTTLE_INTERVAL_S)
