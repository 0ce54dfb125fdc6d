"""Stand-ins for clients, backends, discovery and the platform, and the start of real node processes.

All addresses are loopback addresses. A stand-in does what PROTOCOL, DEPLOY and DAYS describe, and no more.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# A loopback address of this run alone: two runs, and outgoing connections, take no port from one another.
HOST = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 2.0
MAX_RUN_S = 110.0


class NotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start; written at the end."""

    def __init__(self, path: Path) -> None:
        """Create an empty record."""
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, who: str, text: str, at: float | None = None) -> float:
        """Add a line and return its time."""
        at = self.now() if at is None else at
        self.lines.append(f"{at:9.3f} {who:12} {text}")
        return at

    def write(self) -> None:
        """Write the record in order of time."""
        self.path.write_text("\n".join(sorted(self.lines)) + "\n")


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return free ports of the loopback address."""
    socks = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


@dataclass
class Message:
    """One HTTP message with its body."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader, first: Callable[[], None] | None = None) -> Message:
    """Read one message; `first` is called at its first byte. Raises IncompleteReadError or OSError."""
    head = await reader.readexactly(1)
    if first is not None:
        first()
    head += await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def response(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Received:
    """A request that a backend has got: times of its first and last byte."""

    backend: str
    request_id: str
    first: float
    last: float


class Backend:
    """A sound backend: it serves every request after `work_s`, with a body that names both."""

    def __init__(self, record: Record, name: str, cell: int = 0, work_s: float = 0.01) -> None:
        """Create a backend that is not listening yet."""
        self.record, self.name, self.cell, self.work_s = record, name, cell, work_s
        self.received: list[Received] = []
        self.phase, self.up_since_ms = "in_service", 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {
            "id": self.name, "host_port": f"{HOST}:{self.port}", "locality": "a", "flavor": "std-2c",
            "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
        }  # fmt: skip

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = [0.0]

        def begin() -> None:
            first[0] = self.record.now()

        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await read_message(reader, begin)
                request_id = message.headers.get("request-id", "")
                got = Received(self.name, request_id, first[0], self.record.now())
                self.received.append(got)
                self.record.add(self.name, f"runs {request_id} {message.start.split()[1]}", got.first)
                await asyncio.sleep(self.work_s)
                writer.write(response("200 OK", f"{request_id} {self.name}".encode()))
        writer.close()


class Discovery:
    """A sound discovery that pushes changes; `go_down` resets its connections and refuses new ones."""

    def __init__(self, record: Record, backends: list[Backend]) -> None:
        """Create the service with its list at revision 41."""
        self.record, self.backends, self.revision = record, backends, 41
        self.changes: dict[str, int] = {}
        self.port = 0
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def come_up(self) -> None:
        """Listen, on the same port as before."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.record.add("discovery", "is up")

    def go_down(self) -> None:
        """Refuse new connections and reset the open ones."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._watches.clear()
        self.record.add("discovery", "is down")

    def full_list(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [b.entry() for b in self.backends]
        return {"revision": self.revision, "complete": True, "members": rows}

    def change(self, backend: Backend, phase: str) -> float:
        """Change a backend's phase and tell all watches; return when."""
        backend.phase = phase
        self.revision += 1
        self.changes[backend.name] = self.revision
        table = {"revision": self.revision, "complete": False, "members": [backend.entry()]}
        for writer in self._watches:
            self._send(writer, json.dumps(table).encode() + b"\n")
        return self.record.add("discovery", f"tells {len(self._watches)} watches: {backend.name} {phase}")

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            message = await read_message(reader)
            target = message.start.split()[1]
            self.record.add("discovery", f"call {target}")
            if "watch=1" not in target:
                writer.write(response("200 OK", json.dumps(self.full_list()).encode(), "Connection: close"))
                return
            known = int(target.rsplit("from=", 1)[1])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send(writer, json.dumps(self._since(known)).encode() + b"\n")
            self._watches.add(writer)
            beats = asyncio.create_task(self._beat(writer))
            await reader.read()
            beats.cancel()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            self._watches.discard(writer)
            writer.close()

    def _since(self, known: int) -> dict[str, Any]:
        if not 41 <= known <= self.revision:
            return self.full_list()
        rows = [b.entry() for b in self.backends if self.changes.get(b.name, 0) > known]
        return {"revision": self.revision, "complete": False, "members": rows}

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._send(writer, b"\n")


CLASSES: list[dict[str, Any]] = [
    {"name": "place-order", "effect": "fragile", "group": "all", "give-up": 1000.0, "objective": 250.0,
     "late-worth": 0.5, "memory-span": 5000.0, "streamed": False, "value": 8.0},
    {"name": "change-order", "effect": "dedup", "group": "cell", "give-up": 1200.0, "objective": 400.0,
     "late-worth": 0.25, "memory-span": 2500.0, "streamed": False, "value": 5.0},
]  # fmt: skip


def settings(discovery: str = "automatic", nodes: int = 1, me: int = 0) -> dict[str, Any]:
    """Return settings as in WIRE's example, for one zone."""
    return {
        "charges": {"connection": 0.03, "cross-zone": 0.015, "discovery": 0.0, "handshake": 0.03,
                    "late-fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.014,
                    "waste": 0.15},
        "client-habits": {"marks-retry": True}, "discovery": discovery, "failure-domains": ["a"],
        "family": "proxy", "family-info": {"warm-keys": False}, "granularity": 5.0, "group-size": nodes,
        "kinds": ["std-2c"],
        "limits": {"cancel": True, "conn-idle": 60000.0, "connect-timeout": 120.0,
                   "cpu-us-per-request": 0.0, "cpu-us-per-s": 8000, "max-open": 20000,
                   "max-retry-after": 600.0, "most-tries": 6, "peers": True, "probing": True,
                   "retry-after": True, "second-copies": False, "streams-per-conn": 100},
        "load-info": {"how": "on_probe", "names": ["active", "waiting"]}, "me": me,
        "over-share-worth": 0.1, "projects": [], "request-classes": CLASSES,
        "rules": {"answer-slack": 20.0, "ask-within": 10000.0, "cold-share": 0.35, "drain-grace": 1000.0,
                  "fall": 3000.0, "fall-multiple": 3.0, "ramp-time": 8000.0},
        "stages": ["order-web"], "tier": 0, "weight-source": "off", "worth-by": "work", "zone": "a",
    }  # fmt: skip


class NodeProcess:
    """One process of a node, started with the deploy file's `run`."""

    def __init__(self, record: Record, name: str, process: asyncio.subprocess.Process, console: int) -> None:
        """Wrap a process that has just started."""
        self.record, self.name, self.process, self.console = record, name, process, console

    async def call(self, target: str, method: str = "GET") -> tuple[int, bytes]:
        """Make a call to the console, which an operator gives up after 1 s; the status is 0 then."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.console)
                writer.write(f"{method} {target} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
                message = await read_message(reader)
                return int(message.start.split()[1]), message.body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def operate(self, backend: str, call: str) -> tuple[int, float]:
        """Call `maint` or `ready` for a backend; return the status and when it was answered."""
        status, _ = await self.call(f"/backends/{backend}/{call}", "POST")
        return status, self.record.add("operator", f"{call} {backend} at {self.name}: {status}")

    async def wait_ready(self, timeout_s: float) -> float:
        """Wait for the yes to `/healthcheck` and return when it came. Raises NotRunError."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if (await self.call("/healthcheck"))[0] == 200:
                return self.record.add("platform", f"{self.name} is ready")
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} is not ready after {timeout_s:g} s")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.record.add("platform", f"{number.name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self, timeout_s: float) -> float:
        """Send SIGTERM, and SIGKILL after `timeout_s`; return when the process had ended."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        return self.record.add("platform", f"{self.name} has ended")


@dataclass
class Platform:
    """Starts and ends node processes; `folder` has their files."""

    record: Record
    folder: Path
    processes: list[NodeProcess] = field(default_factory=list)

    async def start(self, name: str, config: Path, tmp: Path, console: int, **env: str) -> NodeProcess:
        """Start one process with the deploy file's `run`."""
        tmp.mkdir(exist_ok=True)
        clean = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        clean |= {"PROXY_CONFIG": str(config), "TMPDIR": str(tmp), "PROXY_CONSOLE": f"{HOST}:{console}"}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=clean | env,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.record.add("platform", f"starts {name}")
        self.processes.append(NodeProcess(self.record, name, process, console))
        return self.processes[-1]

    async def end(self) -> None:
        """Kill the processes that still run, and add their logs to the record."""
        for node in self.processes:
            if node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
                await node.process.wait()
            log = (self.folder / f"{node.name}.log").read_text(errors="replace")
            self.record.lines += [f"~ log of {node.name}: {line}" for line in log.splitlines()]


@dataclass
class Answer:
    """A client's request and what came of it: a status, or 0 without an answer."""

    request_id: str
    sent: float
    status: int
    body: bytes


class Network:
    """The network between the nodes of a tier: nothing is lost or late, but to and from those cut off.

    A node sends to `peers[j]` what node j gets from the sender's address in its own `peers`; what it sends to
    `peers_all` all others get.
    """

    def __init__(self, nodes: int) -> None:
        """Bind a socket for each pair of nodes; `listen` has the ports of the nodes themselves."""
        self.cut_off: set[int] = set()
        self._socks: dict[tuple[int, int], socket.socket] = {}
        for sender in range(nodes):
            for receiver in range(nodes):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind((HOST, 0))
                self._socks[sender, receiver] = sock
                asyncio.get_running_loop().add_reader(sock, self._relay, sender, receiver)
        self.listen = free_ports(nodes, socket.SOCK_DGRAM)  # After the others, so that none of them has it.

    def addresses(self, node: int) -> dict[str, Any]:
        """Return the fields of a node's configuration that describe its peers."""
        nodes = range(len(self.listen))
        ports = [self._socks[node, other].getsockname()[1] for other in nodes]
        own = f"{HOST}:{self.listen[node]}"
        return {
            "peer_listen": own, "peers_all": f"{HOST}:{ports[node]}",
            "peers": [own if other == node else f"{HOST}:{ports[other]}" for other in nodes],
        }  # fmt: skip

    def _relay(self, sender: int, receiver: int) -> None:
        with contextlib.suppress(OSError):
            data = self._socks[sender, receiver].recv(512)
            others = [node for node in range(len(self.listen)) if node != sender]
            for target in others if receiver == sender else [receiver]:
                if (sender in self.cut_off) != (target in self.cut_off):
                    continue
                self._socks[target, sender].sendto(data, (HOST, self.listen[target]))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._socks.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class Client:
    """A client with connections that stay open; it sends one request at a time on each."""

    def __init__(self, record: Record, port: int) -> None:
        """Create a client of the node that listens on a port."""
        self.record, self.port = record, port
        self.answers: list[Answer] = []

    async def send_steadily(self, every_s: float | Callable[[], float], stop: asyncio.Event) -> None:
        """Send a `place-order` on one connection, which is opened anew when it has ended.

        `every_s` is the pause between an answer and the next request, or returns it.
        """
        pause = every_s if callable(every_s) else lambda: every_s
        reader, writer = None, None
        while not stop.is_set():
            if writer is None or reader is None or reader.at_eof() or writer.is_closing():
                if writer is not None:
                    writer.close()
                try:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                except OSError:
                    await asyncio.sleep(pause())
                    continue
            answer = await self.exchange(reader, writer)
            if not answer.status:
                writer.close()
                writer = None
            await asyncio.sleep(pause())
        if writer is not None:
            writer.close()

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Answer:
        """Send one request and wait for its answer."""
        request_id = uuid.uuid4().hex[:16]
        body = b'{"meal":1}'
        head = (
            f"POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {request_id}\r\n"
            f"Request-Timeout: 900m\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sent = self.record.add("client", f"sends {request_id}")
        answer = Answer(request_id, sent, 0, b"")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            writer.write(head.encode() + body)
            async with asyncio.timeout(1.5):
                message = await read_message(reader)
            answer = Answer(request_id, sent, int(message.start.split()[1]), message.body)
        self.record.add("client", f"gets {request_id}: {answer.status or 'no answer'}")
        self.answers.append(answer)
        return answer


Case = Callable[[Record, Path, bool], Awaitable[bool]]
"""Plays a case; gets the record, an empty folder, and whether there is trouble; returns if the rule held."""


def main(case: Case, folder: Path) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            held = asyncio.run(_play(case, record, Path(name), trouble))
            code = HELD if held else BROKEN
        except NotRunError as err:
            record.add("case", f"could not run: {err}")
        except (Exception, asyncio.CancelledError):
            record.add("case", f"could not run: {traceback.format_exc()}")
    verdict = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case could not run"}[code]
    record.add("verdict", f"{verdict} (trouble: {'yes' if trouble else 'no'})")
    record.write()
    print(verdict)
    sys.exit(code)


async def _play(case: Case, record: Record, folder: Path, trouble: bool) -> bool:
    playing = asyncio.current_task()
    assert playing is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # The processes that were started end with the case.
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await case(record, folder, trouble)
