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
from pathlib import Path
from typing import Any, NamedTuple

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Reload
from balancer.experiments.platform_settings import platform_settings
from balancer.lab import records
from balancer.lab.logs import LabLog
from balancer.lab.places import Places, text
from balancer.lab.programs import Program

PR_SET_PDEATHSIG, PR_CAPBSET_DROP, CAP_DAC_OVERRIDE = 1, 24, 1
READY_LOOK = 0.03  # s between two looks whether a process is ready
UPGRADE_READY = 6.0  # s that a successor has
CALL_WAIT = 1.0  # s that an operator waits for a console
SLICE = 0.01  # s between two looks at the processor time of a process that has less than a core
BURST = 0.05  # s of a core that it may have saved up


def limits(cpus: list[int], sockets: int | None) -> Callable[[], None]:
    """What a child does to itself before it becomes another program."""
    libc = ctypes.CDLL(None)
    parent = os.getpid()

    def apply() -> None:
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # it died in between
            os._exit(1)
        os.sched_setaffinity(0, cpus)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        most = hard if sockets is None else min(hard, sockets)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        if sockets is not None:
            # A folder that is read-only must be so for a lab that runs as root, too.
            libc.prctl(PR_CAPBSET_DROP, CAP_DAC_OVERRIDE, 0, 0, 0)

    return apply


def grace(spec: Experiment) -> float:
    """Seconds from SIGTERM to SIGKILL, as the platform states it."""
    return min(max(c.deadline_ms for c in spec.load.classes) / 1000, 3.0) + 0.7


def configuration(
    spec: Experiment, places: Places, node: int, seed: int, attempts: int, moves: int = 0
) -> dict[str, Any]:
    """A node's file; discovery has moved so many times."""
    members = [
        {"id": name, "host_port": text(places.backend(node, number)), "locality": spec.zone_of(name),
         "flavor": "std", "cell": spec.cell_of(number), "phase": "in_service", "size": 1.0, "up_since_ms": 0}
        for number, name in enumerate(spec.backend_names)
    ]  # fmt: skip
    out = {
        "name": f"n{node}",
        "listen": text(places.node(node)),
        "discovery": text(places.discovery(node, moves)),
        "console": text(places.console(node, 0)),
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
        out["peer_listen"] = text(places.peer(node))
        out["peers"] = [text(places.relay(node, far)) for far in range(spec.fleet.nodes)]
        out["peers_all"] = text(places.relay(node, node))
    return out


async def call(
    address: tuple[str, int], method: str, path: str, wait: float = CALL_WAIT
) -> tuple[int, bytes]:
    """One call to a console: status and body; status 0 where none came in time."""
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
    """What a process has used and holds."""

    cpu_s: float
    rss_mb: float
    descriptors: int
    waited_s: float  # for a core, in waits that are over
    runnable: bool
    turns: tuple[int, int]  # ns that it ran, and how often it was put on a core


@dataclass
class Waiting:
    """A wait for a core that goes on: the system counts it once it is over, and that may be never."""

    turns: tuple[int, int] | None = None  # as at the look that saw the wait first
    since: float = 0.0  # s

    def so_far(self, at: float, found: Usage) -> float:
        """Seconds, by looks at `at` (s): it could run at each of them, and did not run in between."""
        if not found.runnable:
            self.turns = None
        elif found.turns != self.turns:
            self.turns, self.since = found.turns, at
        return at - self.since if self.turns is not None else 0.0


@dataclass
class Running:
    """One process of a node."""

    process: asyncio.subprocess.Process
    life: records.LifeRecord
    stalled: bool = False
    waiting: Waiting = field(default_factory=Waiting)

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.life.ended == 0 and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


@dataclass
class NodeHost:
    """One node over all its processes and lives."""

    fleet: Fleet
    number: int
    folder: Path
    attempts: int
    starts: int = 0
    clock: float = 0.0  # s by which its wall clock is off
    moves: int = 0  # of its discovery
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
        """Its processes that run."""
        return [r for r in self.running if r.alive]

    def write_config(self) -> None:
        """The file as the platform would write it now."""
        seed = (self.fleet.seed << 16 | self.number << 8 | self.starts) % 2**64
        fleet = self.fleet
        table = configuration(fleet.spec, fleet.places, self.number, seed, self.attempts, self.moves)
        self.config.write_text(json.dumps(table), "utf-8")

    async def start(self, keep_tmp: bool = False) -> Running:
        """Start a process, and see it become ready in the background."""
        fleet, process = self.fleet, self.starts
        self.starts += 1
        if not keep_tmp:
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.tmp.mkdir(parents=True, exist_ok=True)
        self.write_config()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "PYTHON"))}
        env |= {
            "PROXY_NAME": self.name, "PROXY_CONFIG": str(self.config), "TMPDIR": str(self.tmp),
            "PROXY_LISTEN": text(fleet.places.node(self.number)), "PYTHONUNBUFFERED": "1",
            "PROXY_DISCOVERY": text(fleet.places.discovery(self.number, self.moves)),
            "PROXY_CONSOLE": text(fleet.places.console(self.number, process)),
        }  # fmt: skip
        tables = ["[membership]\n"] if fleet.spec.fleet.membership else []
        if fleet.spec.fleet.durable:
            tables.append(f"[durable]\ndirectory = {json.dumps(str(self.state))}\n")
        if fleet.spec.fleet.recovery:
            tables.append("[recovery]\n")
        if tables:
            (self.folder / "fleet.toml").write_text("".join(tables), "utf-8")
            env["PROXY_FLEET"] = str(self.folder / "fleet.toml")
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            fleet.program.varied(f"clock-{self.clock:g}") if self.clock else fleet.program.run,
            cwd=fleet.program.root,
            env=env,
            start_new_session=True,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=limits([fleet.cpus[self.number % len(fleet.cpus)]], fleet.spec.fleet.sockets),
        )
        life = records.LifeRecord(self.number, process, fleet.now(), clock=self.clock)
        fleet.lives.append(life)
        out = Running(child, life)
        self.running.append(out)
        fleet.task(self._log(child, process))
        fleet.task(self._watch(out))
        fleet.task(self._ready(out, process))
        if fleet.spec.fleet.cores < 1:
            fleet.task(throttle(out, fleet.spec.fleet.cores))
        fleet.log.say(self.name, "started", pid=child.pid, process=process)
        return out

    async def _log(self, child: asyncio.subprocess.Process, process: int) -> None:
        assert child.stdout is not None
        with (self.fleet.out / "logs" / f"{self.name}-{process}.log").open("wb", buffering=0) as file:
            while data := await child.stdout.read(65536):
                file.write(data)

    async def _watch(self, running: Running) -> None:
        code = await running.process.wait()
        life = running.life
        life.ended, life.code = self.fleet.now(), code
        if not life.term and not life.killed and not self.fleet.ending:
            life.why = life.why or "ended by itself"
        self.fleet.log.say(self.name, "ended", process=life.process, code=code, why=life.why)

    async def _ready(self, running: Running, process: int) -> None:
        address = self.fleet.places.console(self.number, process)
        while running.alive:
            if (await call(address, "GET", "/healthcheck"))[0] == 200:
                running.life.ready = self.fleet.now()
                self.fleet.log.say(self.name, "ready", process=process)
                return
            await asyncio.sleep(READY_LOOK)

    def kill(self) -> None:
        """SIGKILL to all its processes."""
        for running in self.alive():
            running.life.killed = self.fleet.now()
            running.signal(signal.SIGKILL)

    async def terminate(self, some: list[Running]) -> None:
        """SIGTERM, SIGKILL after the grace; returns when they have ended."""
        for running in some:
            running.life.term = self.fleet.now()
            running.signal(signal.SIGTERM)
        await self._ended(some, grace(self.fleet.spec))
        for running in some:
            if running.alive:
                running.life.killed = self.fleet.now()
                running.signal(signal.SIGKILL)
        await self._ended(some, 5.0)

    async def _ended(self, some: list[Running], wait: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*(r.process.wait() for r in some)), wait)

    async def roll(self, restart_after: float | None, keep_tmp: bool) -> None:
        """A planned restart."""
        await self.terminate(self.alive())
        if restart_after is not None:
            await asyncio.sleep(restart_after)
            await self.start(keep_tmp)

    async def upgrade(self) -> None:
        """A second process beside the first; the first ends once the second is ready."""
        old = self.alive()
        new = await self.start(keep_tmp=True)
        until = time.monotonic() + UPGRADE_READY
        while not new.life.ready and new.alive and time.monotonic() < until:
            await asyncio.sleep(READY_LOOK)
        if not new.life.ready:
            new.life.why = new.life.why or f"not ready within {UPGRADE_READY:g} s"
        await self.terminate(old)

    def stall(self, on: bool) -> None:
        """SIGSTOP, or SIGCONT."""
        for running in self.alive():
            running.stalled = on
            running.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def reload(self, fault: Reload) -> None:
        """A new file and SIGHUP."""
        if fault.broken:
            self.config.write_text(self.config.read_text("utf-8")[:-40], "utf-8")
        else:
            self.attempts = fault.max_attempts
            self.moves += fault.moves_discovery
            self.write_config()
        for running in self.alive():
            running.signal(signal.SIGHUP)

    def disk(self, mode: str, on: bool) -> None:
        """`$TMPDIR` and the durable directory take no more bytes, or no new files; or are sound again."""
        if mode == "readonly":
            for folder in (self.tmp, self.state):
                if folder.exists():
                    folder.chmod(0o500 if on else 0o700)
            return
        for running in self.alive():
            hard = resource.RLIM_INFINITY
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(running.process.pid, resource.RLIMIT_FSIZE, (0 if on else hard, hard))

    async def operate(self, backend: int, out: bool) -> bool:
        """Take a backend out at this node's console, or put it back."""
        alive = self.alive()
        if not alive:
            return False
        address = self.fleet.places.console(self.number, alive[-1].life.process)
        path = f"/backends/s{backend}/{'maint' if out else 'ready'}"
        return (await call(address, "POST", path))[0] // 100 == 2


@dataclass
class Fleet:
    """All nodes of a run."""

    spec: Experiment
    seed: int
    program: Program
    places: Places
    out: Path
    cpus: list[int]
    log: LabLog
    zero: float = field(default_factory=time.monotonic)  # monotonic s of the run's zero, once it is known
    ending: bool = False
    lives: list[records.LifeRecord] = field(default_factory=list)
    samples: list[records.Sample] = field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = [
            NodeHost(self, number, self.out / "nodes" / f"n{number}", self.spec.rules.max_attempts)
            for number in range(self.spec.fleet.nodes)
        ]

    def now(self) -> float:
        """ms since the run's zero, below it before."""
        return (time.monotonic() - self.zero) * 1000

    def set_zero(self, zero: float) -> None:
        """The run's zero is known now: what was noted before goes by it."""
        shift = (zero - self.zero) * 1000
        for life in self.lives:
            life.started, life.ready, life.ended = (
                t - shift if t else t for t in (life.started, life.ready, life.ended)
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
        """Look at every process; one over its memory is killed, as on the platform."""
        for node in self.nodes:
            for running in node.alive():
                found = usage(running.process.pid)
                if found is None:
                    continue
                at = self.now()
                waited = found.waited_s + running.waiting.so_far(at / 1000, found)
                self.samples.append(records.Sample(at, node.number, found.cpu_s, found.rss_mb,
                                                   found.descriptors, running.life.process,
                                                   waited))  # fmt: skip
                if found.rss_mb > self.spec.fleet.memory_mb:
                    running.life.why = f"over its memory: {found.rss_mb:.0f} MB"
                    running.signal(signal.SIGKILL)

    async def end_all(self) -> None:
        """All processes end as at a planned restart."""
        self.ending = True
        for node in self.nodes:
            node.stall(False)
        await asyncio.gather(*(node.terminate(node.alive()) for node in self.nodes))

    async def settle(self) -> None:
        """What watched processes that have ended ends, too."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=5.0)

    def kill(self) -> None:
        """All processes end now."""
        self.ending = True
        for node in self.nodes:
            node.kill()


def usage(pid: int) -> Usage | None:
    """What a process has used and holds; None once it has ended."""
    try:
        parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        spent = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        ran, waited, turns = map(int, Path(f"/proc/{pid}/schedstat").read_text().split())
        rss = pages * os.sysconf("SC_PAGE_SIZE") / 2**20
        held = len(os.listdir(f"/proc/{pid}/fd"))
        return Usage(spent, rss, held, waited / 1e9, parts[0] == "R", (ran, turns))
    except (OSError, IndexError, ValueError):
        return None


async def throttle(running: Running, cores: float) -> None:
    """Hold a process to its part of a core: it stands still once it is ahead of what it may have used."""
    path = Path(f"/proc/{running.process.pid}/schedstat")
    last, saved, spent, held = time.monotonic(), BURST, 0, False
    while running.alive:
        try:
            used = int(path.read_text().split()[0])
        except (OSError, IndexError):
            return
        now = time.monotonic()
        saved = min(BURST, saved + cores * (now - last) - (used - spent) / 1e9)
        last, spent = now, used
        if not running.stalled and (saved < 0) != held:
            held = not held
            running.signal(signal.SIGSTOP if held else signal.SIGCONT)
        await asyncio.sleep(SLICE)
