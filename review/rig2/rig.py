"""Stand-ins for clients, backends, discovery and the platform, as our pages describe them.

Everything runs in one process on loopback addresses; the nodes are separate processes, started with the
`run` command of the deploy file. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble() -> bool:
    """Whether the case plays its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody uses now."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def settings(**changes: object) -> dict:
    """Return the settings of a small deployment like `campus-preorder`; `changes` replace whole keys."""
    table = {
        "blend": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
        "charges": {
            "connection": 0.03,
            "cross-zone": 0.015,
            "discovery": 0.0,
            "handshake": 0.03,
            "late-fail": 0.05,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.01,
            "probe": 0.014,
            "waste": 0.15,
        },
        "client-habits": {"marks-retry": True},
        "discovery": "subscribe",
        "failure-domains": ["burnaby"],
        "family": "proxy",
        "family-info": {"warm-keys": False},
        "granularity": 5.0,
        "group-size": 1,
        "kinds": ["std-2c"],
        "limits": {
            "cancel": True,
            "conn-idle": 60000.0,
            "connect-timeout": 120.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 8000,
            "max-open": 20000,
            "max-retry-after": 600.0,
            "most-tries": 6,
            "peers": True,
            "probing": True,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 100,
        },
        "load-info": {"how": "on_probe", "names": ["active", "waiting"]},
        "me": 0,
        "over-share-worth": 0.1,
        "projects": [],
        "request-classes": [
            {
                "effect": "fragile",
                "give-up": 1000.0,
                "group": "all",
                "late-worth": 0.5,
                "memory-span": 5000.0,
                "name": "place-order",
                "objective": 250.0,
                "streamed": False,
                "value": 8.0,
            },
            {
                "effect": "dedup",
                "give-up": 1200.0,
                "group": "cell",
                "late-worth": 0.25,
                "memory-span": 2500.0,
                "name": "change-order",
                "objective": 400.0,
                "streamed": False,
                "value": 5.0,
            },
            {
                "effect": "retryable",
                "give-up": 1500.0,
                "group": "all",
                "late-worth": 0.5,
                "memory-span": 0.0,
                "name": "show-order",
                "objective": 500.0,
                "streamed": False,
                "value": 1.0,
            },
        ],
        "rules": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold-share": 0.35,
            "drain-grace": 1000.0,
            "fall": 3000.0,
            "fall-multiple": 3.0,
            "ramp-time": 8000.0,
        },
        "stages": ["order-web"],
        "tier": 0,
        "weight-source": "off",
        "worth-by": "work",
        "zone": "burnaby",
    }
    return table | changes


class Record:
    """`record.txt` beside the case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Message:
    """A request or a response as read from a connection."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader, answers: bool = False) -> Message | None:
    """Read one HTTP/1.1 message; None at the end of the connection before its first byte."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the connection ended within a head")
        line = line.strip()
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if answers else b""
    return Message(first.decode("latin-1").strip(), headers, body)


class Backend:
    """A sound backend: answers 200 to each request that a client sent, after some work."""

    def __init__(self, record: Record, name: str, known_ids: set[str], work_s: float = 0.01) -> None:
        self.record = record
        self.name = name
        self.known_ids = known_ids
        self.work_s = work_s
        self.ran: list[tuple[float, str]] = []  # Time (monotonic) of the last byte, and request id.
        self.server = None
        self.port = 0
        self.connections: set = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase: str = "in_service", up_since_ms: int = 0) -> dict:
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "burnaby",
            "flavor": "std-2c",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it; return whether the connection stays open."""
        name = message.headers.get("request-id", "")
        if not name:
            await self.answer(writer, 404, b"no id")
            return True
        if name not in self.known_ids:
            self.record(f"backend {self.name}: id {name} is none that a client sent")
            await self.answer(writer, 400, b"no client sent this")
            return True
        self.ran.append((time.monotonic(), name))
        self.record(f"backend {self.name}: runs {name}")
        if self.work_s:
            await asyncio.sleep(self.work_s)
        await self.answer(writer, 200, self.body_for(name))
        return True

    def body_for(self, name: str) -> bytes:
        return f"{name} by {self.name}".encode()

    async def answer(self, writer: asyncio.StreamWriter, status: int, body: bytes, extra: str = "") -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            reset(writer)


class Discovery:
    """Discovery over HTTP: lists, watches, an empty line every 2 s; `go_down` ends watches and refuses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.members: dict[str, dict] = {}
        self.revision = 40
        self.changed_at: dict[str, int] = {}
        self.is_down = False
        self.wait_s = 0.0  # How long a call waits in the queue of discovery.
        self.server = None
        self.port = 0
        self.watches: set = set()
        self.calls: list[float] = []

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, *members: dict) -> None:
        """Take changes of the list, and tell them on the open watches."""
        self.revision += 1
        for member in members:
            if member["phase"] == "terminated":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
            self.changed_at[member["id"]] = self.revision
        self.record(
            f"discovery: revision {self.revision}: " + ", ".join(f"{m['id']} {m['phase']}" for m in members)
        )
        for writer in list(self.watches):
            self._tell(writer, {"revision": self.revision, "complete": False, "members": list(members)})

    def whole_list(self) -> dict:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def _tell(self, writer: asyncio.StreamWriter, table: dict) -> None:
        self._chunk(writer, json.dumps(table).encode() + b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_watches(self) -> None:
        """End the open watches with a reset."""
        for writer in list(self.watches):
            reset(writer)
        self.watches.clear()

    def go_down(self) -> None:
        self.is_down = True
        self.record("discovery: goes down")
        self.end_watches()

    def come_back(self) -> None:
        self.is_down = False
        self.record("discovery: is back")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            message = await read_message(reader)
            if message is None:
                return
            target = message.first.split()[1]
            self.calls.append(time.monotonic())
            self.record(f"discovery: call {target}{' while down' if self.is_down else ''}")
            if self.is_down:
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                await writer.drain()
                return
            if self.wait_s:
                await asyncio.sleep(self.wait_s)
            if "watch=1" not in target:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(writer, self.whole_list())
            await writer.drain()
            self.record(f"discovery: revision {self.revision} is written to a new watch")
            self.watches.add(writer)
            while writer in self.watches and not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        if not await reader.read(1):
                            break
                if writer in self.watches:
                    self._chunk(writer, b"\n")
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.end_watches()


class Node:
    """One process of a node, started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict, console: str = "") -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.config = config
        self.console = console
        self.config_path = folder / f"{name}.json"
        self.tmp = folder / f"{name}.tmp"
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.port = int(config["listen"].rpartition(":")[2])
        self.started_at = 0.0

    def write_config(self) -> None:
        draft = self.config_path.with_suffix(".new")
        draft.write_text(json.dumps(self.config), "utf-8")
        os.replace(draft, self.config_path)

    async def start(self) -> None:
        self.write_config()
        self.tmp.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text("utf-8"))["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        env |= {"PROXY_CONFIG": str(self.config_path), "TMPDIR": str(self.tmp), "PROXY_NAME": self.name}
        if self.console:
            env["PROXY_CONSOLE"] = self.console
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.started_at = time.monotonic()
        self.record(f"platform: starts {self.name} as process {self.process.pid}")

    async def wait_ready(self) -> None:
        """Wait until `GET /up` answers 200."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, ConnectionError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                    message = await read_message(reader)
                finally:
                    writer.close()
                if message is not None and message.status == 200:
                    self.record(f"platform: {self.name} is ready")
                    return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} did not become ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"platform: sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        return self._memory_mb("VmRSS:")

    def peak_memory_mb(self) -> float:
        """Return the most memory that was resident so far."""
        return self._memory_mb("VmHWM:")

    def _memory_mb(self, name: str) -> float:
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(name):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class CannotRunError(Exception):
    """The case could not be played."""


class Client:
    """A client with one kept connection; it sends one request at a time."""

    def __init__(self, record: Record, port: int, known_ids: set[str], name: str = "c") -> None:
        self.record = record
        self.port = port
        self.known_ids = known_ids
        self.name = name
        self.count = 0
        self.reader = self.writer = None

    async def connect(self) -> None:
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def new_id(self) -> str:
        self.count += 1
        name = f"{abs(hash((self.name, self.count, os.getpid()))) % 2**64:016x}"
        self.known_ids.add(name)
        return name

    async def send(
        self, path: str, timeout_ms: int, body: bytes = b"", method: str = "POST", key: str = ""
    ) -> tuple[str, Message | None]:
        """Send a request; return its id and the answer, None if there was none in time.

        A request whose connection closes before anything was read is sent once more on a new connection.
        """
        name = self.new_id()
        head = (
            f"{method} /{path} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {name}\r\n"
            f"Request-Timeout: {timeout_ms}m\r\n"
        )
        if key:
            head += f"Idempotency-Key: {key}\r\n"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        self.record(f"client {self.name}: sends {name} {method} /{path}")
        until = asyncio.get_running_loop().time() + timeout_ms / 1000 + 0.5
        for attempt in range(2):
            reused = self.writer is not None and not self.writer.is_closing()
            try:
                async with asyncio.timeout_at(until):
                    await self.connect()
                    self.writer.write(data)
                    await self.writer.drain()
                    message = await read_message(self.reader, answers=True)
                    if message is None:
                        raise ConnectionError("closed without an answer")
            except (ConnectionError, OSError, asyncio.IncompleteReadError) as err:
                self.close()
                if reused and attempt == 0:
                    continue
                self.record(f"client {self.name}: {name} got no answer: {err!r}")
                return name, None
            except TimeoutError:
                self.close()
                self.record(f"client {self.name}: {name} got no answer in time")
                return name, None
            if message.headers.get("connection", "").lower() == "close":
                self.close()
            self.record(f"client {self.name}: {name} got {message.status} {message.body[:60]!r}")
            return name, message
        return name, None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


class Case:
    """A case: its record, its temporary folder, and all that it has started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.known_ids: set[str] = set()
        self.backends: list[Backend] = []
        self.nodes: list[Node] = []
        self.discoveries: list[Discovery] = []

    def node(
        self,
        name: str,
        table: dict,
        discovery_port: int,
        known: list[dict],
        revision: int = 40,
        seed: str = "8c1f30d27a5be964",
        limits: dict | None = None,
        console: str = "",
    ) -> Node:
        """Return a node that is not started yet."""
        (port,) = free_ports(1)
        all_limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {})
        config = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": seed,
            "limits": all_limits,
            "known": {"revision": revision, "complete": True, "members": known},
            "settings": table,
        }
        node = Node(self.record, self.tmp, name, config, console)
        self.nodes.append(node)
        return node

    async def close(self) -> None:
        for node in self.nodes:
            await node.end()
        for item in (*self.backends, *self.discoveries):
            item.close()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                if node.log_path.exists():
                    print(f"--- log of {node.name}\n" + node.log_path.read_text()[-6000:])
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.file.close()


def main(play: Callable[[Case], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> None:
    """Play a case, end all that it started, and exit with 1 if the rule was broken, 0 if it held, else 2."""

    async def run() -> int:
        case = Case(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(case)
        except CannotRunError as err:
            case.record.say(f"the case could not run: {err}")
            return NOT_RUN
        except asyncio.CancelledError:
            case.record.say("the case was ended before its end")
            return NOT_RUN
        except Exception as err:
            case.record.say(f"the case could not run: {err!r}")
            return NOT_RUN
        else:
            case.record.say("BROKEN: the rule was broken" if broken else "HELD: the rule held")
            return BROKEN if broken else HELD
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
