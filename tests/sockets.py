"""Harness that runs a node in a separate process with fake backends, discovery and clients on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn, TypeVar

from tenacity import (
    AsyncRetrying,
    RetryCallState,
    Retrying,
    retry_if_not_result,
    stop_after_delay,
    wait_fixed,
)

from balancer.net.backend_connection import REUSE_DELAY_S

ROOT = Path(__file__).parents[1]
# A test fails if an expected event does not happen within WAIT_TIMEOUT_S.
WAIT_TIMEOUT_S = 30.0
# Timeouts of an hour cannot expire during a test and hide a missing event.
HOUR_MS = 3_600_000
REQUEST_NUMBERS = itertools.count(1)
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "effect": "retryable", "give-up": 4000, "objective": 3000},
    {"name": "pay", "effect": "dedup", "group": "zone", "memory-span": 3000, "give-up": 4000,
     "objective": 3000},
    {"name": "once", "effect": "fragile", "give-up": 4000, "objective": 3000},
]  # fmt: skip
LONG_DEADLINES = {"request-classes": [c | {"give-up": HOUR_MS, "objective": HOUR_MS} for c in CLASSES]}
LIMITS: dict[str, Any] = {
    "cancel": True, "conn-idle": HOUR_MS, "connect-timeout": 1000, "most-tries": 4, "streams-per-conn": 1,
}  # fmt: skip

Found = TypeVar("Found")


def _raise_timeout(state: RetryCallState) -> NoReturn:
    assert state.outcome is not None
    raise AssertionError(f"after {WAIT_TIMEOUT_S:g} s still {state.outcome.result()!r}")


def _retry_options(every: float) -> dict[str, Any]:
    return {"stop": stop_after_delay(WAIT_TIMEOUT_S), "wait": wait_fixed(every),
            "retry": retry_if_not_result(bool), "retry_error_callback": _raise_timeout}  # fmt: skip


def wait_until(look: Callable[[], Found], every: float = 0.02) -> Found:
    """Call `look` every `every` seconds until its result is true, and return that."""
    return Retrying(**_retry_options(every))(look)


async def wait_until_async(look: Callable[[], Awaitable[Found]], every: float = 0.02) -> Found:
    """Await `look` every `every` seconds until its result is true, and return that."""
    return await AsyncRetrying(**_retry_options(every))(look)


async def wait_until_reusable() -> None:
    """Wait until the connections that have just become idle may be reused."""
    await asyncio.sleep(2 * REUSE_DELAY_S)


@dataclass
class Message:
    """A request or response as received over a socket."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP message, whose body is delimited by Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", 0))))


def http_response(body: bytes, status: str = "200 OK", *headers: str) -> bytes:
    """Return the bytes of an HTTP response with a Content-Length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Respond = Callable[["Backend", Message, asyncio.StreamWriter], Awaitable[None]]


async def echo(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Respond with a body that contains the names of the backend and the request."""
    writer.write(http_response(f"{backend.name} {message.headers['request-id']}".encode()))


def echo_after(event: asyncio.Event) -> Respond:
    """Return a function that responds as `echo` does, once an event is set."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await event.wait()
        await echo(backend, message, writer)

    return respond


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection unless it has closed: once its last bytes are sent, it cannot be aborted."""
    transport = writer.transport
    if not transport.is_closing() or transport.get_write_buffer_size():
        transport.abort()


@dataclass
class Backend:
    """Fake backend; `respond` answers each request, `requests` queues the requests in order of arrival."""

    name: str
    respond: Respond = echo
    requests: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)
    closed_connections: asyncio.Queue[int] = field(default_factory=asyncio.Queue)
    connection_count: int = 0
    port: int = 0
    readers: list[asyncio.StreamReader] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            abort_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number = self.connection_count
        self.readers.append(reader)
        self.writers.append(writer)
        try:
            while True:
                message = await read_message(reader)
                self.requests.put_nowait(message)
                await self.respond(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        self.closed_connections.put_nowait(number)

    def list_entry(self, **over: Any) -> dict[str, Any]:
        """Return the endpoint list entry of this backend, with the fields in `over` replaced."""
        table = {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": "a", "flavor": "m",
                 "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}  # fmt: skip
        return table | over


@dataclass
class FakeDiscovery:
    """Fake discovery that sends given chunks to the latest watch; `watch_targets` queues request targets."""

    watch_targets: asyncio.Queue[str] = field(default_factory=asyncio.Queue)
    writer: asyncio.StreamWriter | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            abort_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            message = await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.writer = writer
            self.watch_targets.put_nowait(message.start_line.split(" ")[1])
            await reader.read()

    def send_chunk(self, text: bytes) -> None:
        """Send one HTTP chunk to the watch."""
        assert self.writer is not None
        self.writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def send_update(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """Send an endpoint list update as one line."""
        line = {"revision": revision, "complete": complete, "members": members}
        self.send_chunk(json.dumps(line).encode() + b"\n")


class Client:
    """A client connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, target: str, *headers: str, method: str = "GET", body: bytes = b"") -> str:
        """Write a request and return its id."""
        name = f"{next(REQUEST_NUMBERS):016x}"
        lines = [f"{method} {target} HTTP/1.1", "Host: api.internal", f"Request-Id: {name}", *headers]
        if method == "POST":
            lines += [f"Content-Length: {len(body)}"]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return name

    async def read_response(self) -> Message:
        """Read the next response."""
        return await asyncio.wait_for(read_message(self.reader), WAIT_TIMEOUT_S)

    async def request(self, target: str, *headers: str, method: str = "GET", body: bytes = b"") -> Message:
        """Send a request and return its response."""
        self.send(target, *headers, method=method, body=body)
        return await self.read_response()

    async def request_pay(self) -> Message:
        """Send a request with an idempotency key and return its response."""
        return await self.request("/pay", "Idempotency-Key: k1", method="POST", body=b"{}")

    async def read_until_closed(self) -> bytes:
        """Return the bytes received until the node closes the connection."""
        return await asyncio.wait_for(self.reader.read(), WAIT_TIMEOUT_S)


@dataclass
class Rig:
    """A running node process and its surroundings."""

    process: asyncio.subprocess.Process
    port: int
    discovery: FakeDiscovery
    log: list[str]
    config: Path
    console_port: int = 0
    clients: list[Client] = field(default_factory=list)

    async def connect(self) -> Client:
        """Open a new client connection to the node."""
        out = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(out)
        return out

    async def call_console(self, target: str, method: str = "GET") -> Message:
        """Send one request to the console and return its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.console_port)
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
        got = await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)
        assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b""
        writer.close()
        return got

    async def stats(self) -> dict[str, Any]:
        """Return the statistics of the node."""
        got = await self.call_console("/stats")
        assert got.status == 200
        out: dict[str, Any] = json.loads(got.body)
        return out

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains `text`."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(text in line for line in self.log):
                line = await self._line()
                assert line, f"no {text!r} in {self.log}"

    async def _line(self) -> str:
        assert self.process.stderr is not None
        line = (await self.process.stderr.readline()).decode()
        if line:
            self.log.append(line)
        return line

    async def read_log(self) -> None:
        """Read the log until the process ends."""
        while await self._line():
            pass

    def terminate(self) -> None:
        """Send SIGTERM to the node."""
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str) -> None:
        """Replace the configuration file and send SIGHUP to the node."""
        self.config.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    async def wait_for_exit(self) -> int:
        """Wait until the node process ends and return its exit code."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self.read_log()
            return await self.process.wait()


def node_config(members: list[dict[str, Any]], discovery: int, **over: Any) -> dict[str, Any]:
    """Return a node configuration; `limits` and other keywords replace the settings of the same name."""
    top = {name: over.pop(name) for name in ("console", "listen") if name in over}
    settings = {
        "request-classes": CLASSES, "limits": LIMITS | over.pop("limits", {}), "zone": "a",
        "load-info": {"how": "inline", "names": ["waiting", "active"]}, "discovery": "automatic",
        "rules": {"drain-grace": 2000, "answer-slack": 20},
    }  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": over.pop("sockets", 1024)},
        "known": {"revision": 41, "complete": True, "members": members},
        "settings": settings | over,
    } | top  # fmt: skip


async def spawn_node(path: Path, **more: str) -> asyncio.subprocess.Process:
    """Start a node with a configuration file and the environment variables in `more`."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    env |= {"PROXY_CONFIG": str(path), "TMPDIR": str(path.parent)} | more
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "balancer", cwd=ROOT, env=env,
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


@contextlib.asynccontextmanager
async def started_node(path: Path, discovery: FakeDiscovery, **more: str) -> AsyncIterator[Rig]:
    """Run a node with a configuration file, and yield it once it serves."""
    process = await spawn_node(path, **more)
    rig = Rig(process, 0, discovery, [], path)
    try:
        await rig.wait_for_log("serves on")
        found = re.search(r"serves on \S+:(\d+)", rig.log[-1])
        assert found
        rig.port = int(found[1])
        if found := re.search(r"console on \S+:(\d+)", "".join(rig.log)):
            rig.console_port = int(found[1])
        yield rig
        assert not any("Traceback" in line for line in rig.log)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        for client in rig.clients:
            abort_connection(client.writer)


@contextlib.asynccontextmanager
async def running_node(tmp: Path, *backends: Backend, **over: Any) -> AsyncIterator[Rig]:
    """Run a node that has these backends in its initial list, and a fake discovery."""
    discovery = FakeDiscovery()
    await discovery.start()
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    path.write_text(json.dumps(node_config([b.list_entry() for b in backends], discovery.port, **over)))
    try:
        async with started_node(path, discovery) as rig:
            yield rig
    finally:
        discovery.stop()
        for backend in backends:
            backend.stop()
