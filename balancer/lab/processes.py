"""Node processes of a run: resource limits as on the platform, signals, console calls, logs and restarts.

Child processes never outlive the lab: the kernel sends them SIGKILL when it ends (PR_SET_PDEATHSIG).
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
THROTTLE_BURST_S = 0.05  # A throttled process may save up 50 ms of unused CPU time.
MIN_RELOAD_AGE_MS = 1000.0  # The platform sends no SIGHUP to a process younger than 1 s.
MAX_COUNTED_DEADLINE_S = 3.0
TERMINATION_MARGIN_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline and a margin of 0.7 s.
SIGNAL_SPACING_S = 0.05  # A follow-up signal is sent 50 ms after SIGTERM.
SIGTERM_DURING_START_S = 0.1  # A restart `while-starting` sends SIGTERM 0.1 s after the start.
HTTP_SUCCESS_CLASS = 2  # Successful HTTP statuses start with the digit 2.


def process_limits(cpus: list[int], sockets: int | None) -> Callable[[], None]:
    """Return a function that sets a child's limits, to be called in the child before its program starts."""
    libc = ctypes.CDLL(None)
    parent = os.getpid()

    def apply() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # The lab died before prctl could take effect.
            os._exit(1)
        os.sched_setaffinity(0, cpus)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = hard if sockets is None else min(hard, sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        if sockets is not None:
            # With this capability, a child of a lab that runs as root could write to a read-only directory.
            libc.prctl(PR_CAPBSET_DROP, CAP_DAC_OVERRIDE, 0, 0, 0)

    return apply


def termination_grace_s(spec: Experiment) -> float:
    """Return the seconds from SIGTERM to SIGKILL that the platform grants a node."""
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
    """Return a node's configuration after `moves` moves of discovery; it lists `peers` nodes, or all."""
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
    """Call a console; return the status and body, or status 0 if no valid response came in time."""
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
    """The resources that a process has used so far or holds now."""

    cpu_s: float
    rss_mb: float
    descriptors: int
    cpu_wait_s: float  # A wait for a core is included only once it is over.
    runnable: bool
    scheduling_counters: tuple[int, int]  # The counters are CPU time (ns) and times scheduled.


@dataclass
class CpuWait:
    """A wait for a core in progress, which the operating system counts only once it is over."""

    scheduling_counters: tuple[int, int] | None = None  # The wait's first sample had these counters.
    since_s: float = 0.0

    def so_far(self, at: float, found: Usage) -> float:
        """Return how long (s) a process was runnable without running, by a sample taken at `at` (s)."""
        if not found.runnable:
            self.scheduling_counters = None
        elif found.scheduling_counters != self.scheduling_counters:
            self.scheduling_counters, self.since_s = found.scheduling_counters, at
        return at - self.since_s if self.scheduling_counters is not None else 0.0


@dataclass
class Running:
    """A process of a node with its record."""

    process: asyncio.subprocess.Process
    record: records.ProcessRecord
    stalled: bool = False
    cpu_wait: CpuWait = field(default_factory=CpuWait)

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.record.ended_at == 0 and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


FOLLOW_UP_SIGNALS = {
    "twice": signal.SIGTERM,
    "reload-behind": signal.SIGHUP,
}  # Values of `Terminate.signals` map to a second signal.


@dataclass
class NodeHost:
    """One node of a run with all its processes."""

    fleet: Fleet
    number: int
    folder: Path
    attempts: int
    starts: int = 0
    clock_offset_s: float = 0.0  # The node's processes see the wall clock ahead by this offset.
    discovery_moves: int = 0
    listed_peers: int | None = None  # A node's configuration lists this many nodes; None means all.
    running: list[Running] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The node's name: n0, n1, ..."""
        return f"n{self.number}"

    @property
    def tmp(self) -> Path:
        """The node's `$TMPDIR`."""
        return self.folder / "tmp"

    @property
    def state(self) -> Path:
        """The node's durable directory."""
        return self.folder / "state"

    @property
    def config(self) -> Path:
        """The path of the node's configuration file."""
        return self.folder / "config.json"

    def alive(self) -> list[Running]:
        """Return the node's processes that have not ended."""
        return [r for r in self.running if r.alive]

    def write_config(self) -> None:
        """Write the configuration file as the platform would write it now."""
        seed = (self.fleet.seed << 16 | self.number << 8 | self.starts) % 2**64
        fleet = self.fleet
        table = node_configuration(
            fleet.spec,
            fleet.addresses,
            self.number,
            seed,
            self.attempts,
            self.discovery_moves,
            self.listed_peers,
        )
        self.config.write_text(json.dumps(table), "utf-8")

    async def start(self, keep_tmp: bool = False) -> Running:
        """Start a process of the node, and record in the background when it is ready."""
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
            fleet.program.with_variant(f"clock-{self.clock_offset_s:g}")
            if self.clock_offset_s
            else fleet.program.run,
            cwd=fleet.program.root,
            env=env,
            start_new_session=True,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=process_limits([fleet.cpus[self.number % len(fleet.cpus)]], fleet.spec.fleet.sockets),
        )
        process_record = records.ProcessRecord(
            self.number, process, fleet.now(), clock_offset_s=self.clock_offset_s
        )
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
        """Write the fleet file of a new process and return its environment."""
        fleet = self.fleet
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "PYTHON"))}
        env |= {
            "PROXY_NAME": self.name, "PROXY_CONFIG": str(self.config), "TMPDIR": str(self.tmp),
            "PROXY_LISTEN": format_address(fleet.addresses.node(self.number)), "PYTHONUNBUFFERED": "1",
            "PROXY_DISCOVERY": format_address(fleet.addresses.discovery(self.number, self.discovery_moves)),
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
        """Send SIGKILL to all processes of the node."""
        for running in self.alive():
            running.record.killed_at = self.fleet.now()
            running.signal(signal.SIGKILL)

    async def terminate(self, processes: list[Running], follow_up: signal.Signals | None = None) -> None:
        """Send SIGTERM and a follow-up signal, then SIGKILL after the grace period; wait for the end."""
        for running in processes:
            running.record.terminated_at = self.fleet.now()
            running.signal(signal.SIGTERM)
        remaining_s = termination_grace_s(self.fleet.spec)
        if follow_up is not None:
            await self._ended(processes, SIGNAL_SPACING_S)
            remaining_s -= SIGNAL_SPACING_S
            for running in processes:
                running.signal(follow_up)
        await self._ended(processes, remaining_s)
        for running in processes:
            if running.alive:
                running.record.killed_at = self.fleet.now()
                running.signal(signal.SIGKILL)
        await self._ended(processes, 5.0)

    async def _ended(self, processes: list[Running], wait: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*(r.process.wait() for r in processes)), wait)

    async def restart_as_planned(self, fault: Terminate) -> None:
        """Restart the node as a planned restart does, with the signals of the fault."""
        if fault.signals == "reload-first":
            for running in filter(self._accepts_reload, self.alive()):
                running.signal(signal.SIGHUP)
        await self.terminate(self.alive(), FOLLOW_UP_SIGNALS.get(fault.signals))
        if fault.restart_after is None:
            return
        await asyncio.sleep(fault.restart_after)
        await self.start(fault.keep_tmp)
        if fault.signals == "while-starting":
            await asyncio.sleep(SIGTERM_DURING_START_S)
            await self.terminate(self.alive())
            await self.start(fault.keep_tmp)

    async def upgrade(self) -> None:
        """Start a second process beside the first, and end the first once the second is ready."""
        old = self.alive()
        new = await self.start(keep_tmp=True)
        until = time.monotonic() + UPGRADE_READY_TIMEOUT_S
        while not new.record.ready_at and new.alive and time.monotonic() < until:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        if not new.record.ready_at:
            new.record.failure = new.record.failure or f"not ready within {UPGRADE_READY_TIMEOUT_S:g} s"
        await self.terminate(old)

    def stall(self, on: bool) -> None:
        """Stop all processes of the node with SIGSTOP, or continue them with SIGCONT."""
        for running in self.alive():
            running.stalled = on
            running.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def reload(self, fault: Reload) -> None:
        """Write a new configuration file, valid or broken, and send SIGHUP."""
        takers = [running for running in self.alive() if self._accepts_reload(running)]
        if fault.broken and len(takers) < len(self.alive()):
            return  # A process that is just starting would read the broken file and exit.
        if fault.broken:
            self.config.write_text(self.config.read_text("utf-8")[:-40], "utf-8")
        else:
            self.attempts = fault.max_attempts
            self.discovery_moves += fault.moves_discovery
            self.listed_peers = fault.peers
            self.write_config()
        for running in takers:
            running.signal(signal.SIGHUP)

    def _accepts_reload(self, running: Running) -> bool:
        """Return whether the platform would send SIGHUP to this process: not right after its start."""
        ready = running.record.ready_at != 0
        return ready and self.fleet.now() - running.record.started_at >= MIN_RELOAD_AGE_MS

    def disk(self, mode: str, on: bool) -> None:
        """Make writes or new files fail in `$TMPDIR` and the durable directory, or allow them again."""
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
        """Set or lift a maintenance ban at this node's console; return whether the node accepted it."""
        alive = self.alive()
        if not alive:
            return False
        address = self.fleet.addresses.console(self.number, alive[-1].record.process)
        path = f"/backends/s{backend}/{'maint' if out else 'ready'}"
        return (await call_console(address, "POST", path))[0] // 100 == HTTP_SUCCESS_CLASS


@dataclass
class Fleet:
    """All nodes of a run, with their records and the background tasks for them."""

    spec: Experiment
    seed: int
    program: Program
    addresses: AddressPlan
    out: Path
    cpus: list[int]
    log: LabLog
    zero: float = field(default_factory=time.monotonic)  # The zero is a monotonic time.
    ending: bool = False
    process_records: list[records.ProcessRecord] = field(default_factory=list)
    samples: list[records.ProcessSample] = field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the nodes without starting them."""
        self.nodes = [
            NodeHost(self, number, self.out / "nodes" / f"n{number}", self.spec.rules.max_attempts)
            for number in range(self.spec.fleet.nodes)
        ]

    def now(self) -> float:
        """Return the milliseconds since the run's zero, negative before it."""
        return (time.monotonic() - self.zero) * 1000

    def set_zero(self, zero: float) -> None:
        """Set the run's zero, and shift the times that were recorded before to it."""
        shift = (zero - self.zero) * 1000
        for process_record in self.process_records:
            process_record.started_at, process_record.ready_at, process_record.ended_at = (
                t - shift if t else t
                for t in (process_record.started_at, process_record.ready_at, process_record.ended_at)
            )
        self.zero = zero

    def task(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine in the background; an exception in it becomes an error of the run."""
        out = asyncio.get_running_loop().create_task(work)
        self.tasks.add(out)

        def done(task: asyncio.Task[Any]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and (err := task.exception()) is not None:
                self.errors.append(f"a background task of the lab failed: {type(err).__name__}: {err}")

        out.add_done_callback(done)
        return out

    def sample(self) -> None:
        """Sample the usage of every process; kill one over its memory limit, as the platform does."""
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
        """End all processes as a planned restart does: SIGTERM, then SIGKILL after the grace period."""
        self.ending = True
        for node in self.nodes:
            node.stall(False)
        await asyncio.gather(*(node.terminate(node.alive()) for node in self.nodes))

    async def settle(self) -> None:
        """Wait up to 5 s for the background tasks of processes that have ended."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=5.0)

    def kill(self) -> None:
        """End all processes with SIGKILL."""
        self.ending = True
        for node in self.nodes:
            node.kill()


def process_usage(pid: int) -> Usage | None:
    """Return the resource usage of a process, or None once it has ended."""
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
    """Limit a process to `cores` of CPU time by stopping it while it has used more than its share."""
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
