"""A client that leaves: nothing begins for it any more, wherever its request stands, and the books close."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from balancer.interface import ListUpdateKind
from balancer.net.config import load
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.stream import MAX_BUFFERED_BODY_BYTES, MAX_REPLAY_BYTES
from tests.sockets import HOUR_MS, WAIT_TIMEOUT_S, Backend, Client, Message, echo, http_response, node_config

FULL = http_response(b"", "503 Service Unavailable", "Not-Started: 1")


async def never(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Take the request and say nothing."""


class Scene:
    """A node in this process, on sockets, whose connections to backends come up when the test says so."""

    def __init__(self, node: Node, listener: Listener, backends: tuple[Backend, ...]) -> None:
        self.node, self.listener, self.backends = node, listener, backends
        self.clients: list[Client] = []
        self.dials: asyncio.Queue[asyncio.Event] = asyncio.Queue()  # each waits until it is set
        self.freely = 0  # so many connections come up at once
        self.refusing = False  # those that waited do not come up
        self.loop = asyncio.get_running_loop()
        self.connect = self.loop.sock_connect

    async def dial(self, sock: socket.socket, address: Any) -> None:
        """Stands in for the loop's `sock_connect`."""
        if address[1] not in {backend.port for backend in self.backends}:
            pass  # a client's
        elif self.freely:
            self.freely -= 1
        else:
            gate = asyncio.Event()
            self.dials.put_nowait(gate)
            await gate.wait()
            if self.refusing:
                raise ConnectionRefusedError
        await self.connect(sock, address)

    async def client(self) -> Client:
        """A new connection to the node."""
        out = Client(*await asyncio.open_connection(*self.listener.address))
        self.clients.append(out)
        return out

    async def dialled(self) -> asyncio.Event:
        """The next connection that waits to come up."""
        return await asyncio.wait_for(self.dials.get(), WAIT_TIMEOUT_S)

    async def until(self, what: Callable[[], bool]) -> None:
        """Run the loop until this holds."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not what():
                await asyncio.sleep(0)

    async def leave(self, client: Client, reset: bool) -> None:
        """The client closes its connection, and the node has seen it."""
        count = len(self.listener.connections)
        depart(client, reset)
        await self.until(lambda: len(self.listener.connections) < count)

    def nothing_left(self) -> bool:
        """Whether neither the node nor its module has anything under way."""
        module = self.node.balancer
        return not (self.node.requests.open or module.requests.by_id or module.limit.in_flight)


def depart(client: Client, reset: bool) -> None:
    """End a client's connection by a FIN or a RST."""
    sock = client.writer.get_extra_info("socket")
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


@contextlib.asynccontextmanager
async def scene(
    tmp: Path, monkeypatch: pytest.MonkeyPatch, *backends: Backend, **over: Any
) -> AsyncIterator[Scene]:
    """A node that knows these backends."""
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    limits = {"connect-timeout": HOUR_MS} | over.pop("limits", {})
    members = [backend.list_entry() for backend in backends]
    path.write_text(json.dumps(node_config(members, 1, limits=limits, **over)))
    config = load({"PROXY_CONFIG": str(path)})
    node = Node(config)
    node.update_endpoints(config.initial_list, ListUpdateKind.CACHED)
    listener = Listener(node, 100)
    await listener.listen(("127.0.0.1", 0), shared=False)
    out = Scene(node, listener, backends)
    monkeypatch.setattr(out.loop, "sock_connect", out.dial)
    try:
        yield out
    finally:
        listener.stop()
        for client in out.clients:
            client.writer.transport.abort()
        for backend in backends:
            backend.stop()
        await out.until(lambda: not (listener.connections or node.requests.open))
        node.pool.close()


def send(client: Client, path: str) -> str:
    """A small request of this class."""
    if path == "/read":
        return client.send(path)
    return client.send(path, "Idempotency-Key: k1", method="POST", body=b"{}")


# --- while its connection comes up


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("path", ["/read", "/pay", "/once"])
async def test_a_client_that_leaves_while_its_attempt_dials_is_sent_on_to_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, cancel: bool, reset: bool
) -> None:
    backend = Backend("b0")
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as on:
        first = await on.client()
        send(first, path)
        gate = await on.dialled()
        await on.leave(first, reset)
        gate.set()
        assert on.nothing_left() and on.node.pool.connection_count == 0
        assert on.node.counts["attempt_moot"] + on.node.counts["attempt_cancelled"] == 1
        on.freely = 1
        second = await on.client()
        name = send(second, path)
        assert (await second.read_response()).status == 200
        assert (await backend.requests.get()).headers["request-id"] == name and backend.requests.empty()
        assert backend.connection_count == 1 and on.nothing_left()


@pytest.mark.parametrize("cancel", [False, True])
async def test_a_client_that_leaves_while_its_second_attempt_dials_is_sent_on_no_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    async def full(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(FULL)

    backends = Backend("b0", full), Backend("b1", full)
    async with scene(tmp_path, monkeypatch, *backends, limits={"cancel": cancel}) as on:
        on.freely = 1
        client = await on.client()
        send(client, "/once")
        gate = await on.dialled()
        assert on.node.counts["attempt_full"] == 1
        await on.leave(client, False)
        gate.set()
        assert on.nothing_left()
        assert sum(backend.requests.qsize() for backend in backends) == 1


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("path", ["/read", "/once"])
async def test_what_was_written_is_left_as_the_settings_allow(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, cancel: bool
) -> None:
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    backend = Backend("b0", slow)
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as on:
        on.freely = 1
        client = await on.client()
        send(client, path)
        await backend.requests.get()
        await on.leave(client, False)
        if cancel:
            assert on.node.counts["attempt_cancelled"] == 1
        else:
            assert on.node.pool.connection_count == 1 and on.node.balancer.limit.in_flight == 1
            go.set()
            await on.until(lambda: on.node.counts["attempt_ok"] == 1)
        assert on.nothing_left() and backend.requests.empty()


@pytest.mark.parametrize("cancel", [False, True])
async def test_a_client_that_leaves_while_its_request_is_held_is_sent_on_to_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    backend = Backend("b0", slow)
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as on:
        on.freely = 2
        clients = [await on.client() for _ in range(3)]
        for client in clients[:2]:
            send(client, "/read")
            await backend.requests.get()
        send(clients[2], "/read")
        await on.until(lambda: len(on.node.balancer.router.queue) == 1)
        await on.leave(clients[2], False)
        go.set()
        for client in clients[:2]:
            assert (await client.read_response()).status == 200
        assert on.nothing_left() and not on.node.balancer.router.queue
        assert backend.requests.empty() and on.node.counts["left_unsent"] == 1


async def test_a_request_that_a_fault_ends_leaves_nothing_in_the_books(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the count of open requests and of attempts out, whatever the module makes of an event."""

    backend = Backend("b0", never)
    async with scene(tmp_path, monkeypatch, backend) as on:
        handle = on.node.balancer.handle

        def faulty(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestBodyReceived):
                raise ZeroDivisionError
            return handle(now, event)

        monkeypatch.setattr(on.node.balancer, "handle", faulty)
        on.freely = 1
        client = await on.client()
        client.writer.write(
            b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n"
            % MAX_REPLAY_BYTES
        )
        client.writer.write(b"x" * (MAX_REPLAY_BYTES - 1))
        await on.until(lambda: bool(on.node.requests.open) and on.node.pool.connection_count == 1)
        client.writer.write(b"x")
        assert (await client.read_response()).status == 502
        assert on.nothing_left() and on.node.pool.connection_count == 0


async def test_a_request_that_a_fault_ends_while_it_dials_is_sent_on_to_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend = Backend("b0")
    async with scene(tmp_path, monkeypatch, backend) as on:
        client = await on.client()
        name = send(client, "/once")
        gate = await on.dialled()
        on.node.requests.abandon(name)
        gate.set()
        assert (await client.read_response()).status == 502
        assert on.nothing_left() and on.node.pool.connection_count == 0 and backend.requests.empty()


# --- while nothing is read from it


@dataclass
class Raw(Backend):
    """Keeps all that comes on a connection, in the order in which connections end."""

    raw: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        self.raw.put_nowait(await reader.read())
        writer.close()


async def paused(on: Scene, rest: bytes) -> tuple[Client, asyncio.Event]:
    """A client whose long body is not read any more, as its connection to the backend still comes up.

    `rest` stands unread, before whatever the client does next.
    """
    client = await on.client()
    head = b"POST /pay HTTP/1.1\r\nRequest-Id: 1\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n"
    client.writer.write(head % (2 * MAX_BUFFERED_BODY_BYTES) + b"x" * (2 * MAX_BUFFERED_BODY_BYTES - 10))
    gate = await on.dialled()
    await on.until(lambda: any(connection.receive_timer.is_paused for connection in on.listener.connections))
    client.writer.write(rest)
    await on.until(lambda: not client.writer.transport.get_write_buffer_size())
    return client, gate


NEXT = b"x" * 10 + b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: 2\r\n\r\n"


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("rest", [b"", b"x", NEXT])
async def test_a_client_that_leaves_while_it_is_not_read_from_is_sent_on_to_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rest: bytes, reset: bool
) -> None:
    backend = Raw("b0")
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": False}) as on:
        client, gate = await paused(on, rest)
        depart(client, reset)
        gate.set()
        assert await asyncio.wait_for(backend.raw.get(), WAIT_TIMEOUT_S) == b""
        await on.until(on.nothing_left)
        assert on.node.counts["left"] == on.node.counts["attempt_moot"] == 1
        assert on.node.pool.connection_count == 0


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("rest", [b"", b"x", NEXT])
async def test_no_further_attempt_begins_for_a_client_that_left_while_it_was_not_read_from(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rest: bytes, reset: bool
) -> None:
    backends = Raw("b0"), Raw("b1")
    async with scene(tmp_path, monkeypatch, *backends, limits={"cancel": False}) as on:
        client, gate = await paused(on, rest)
        depart(client, reset)
        on.refusing = True
        gate.set()
        await on.until(on.nothing_left)
        assert on.node.counts["attempt_connect_failed"] == on.node.counts["attempt_moot"] == 1
        assert on.dials.empty() and on.node.pool.connection_count == 0


async def test_a_client_that_reads_no_answers_and_leaves_is_sent_on_to_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing more is read of one that pipelines and reads nothing; its request stands before its end."""
    backend = Raw("b0")
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": False}) as on:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(on.listener.address)
        await on.until(lambda: bool(on.listener.connections))
        (connection,) = on.listener.connections
        assert connection.transport is not None
        here = connection.transport.get_extra_info("socket")
        here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        text = b"GET /up HTTP/1.1\r\n\r\n" * 2500 + b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\n\r\n"
        assert len(text) < MAX_BUFFERED_BODY_BYTES and sock.send(text) == len(text)  # one read
        gate = await on.dialled()
        assert connection.responses.is_reading_paused and not connection.has_disconnected
        sock.shutdown(socket.SHUT_WR)
        gate.set()
        assert await asyncio.wait_for(backend.raw.get(), WAIT_TIMEOUT_S) == b""
        await on.until(on.nothing_left)
        assert on.node.counts["left"] == on.node.counts["attempt_moot"] == 1
        sock.close()


@dataclass
class Stalled(Raw):
    """Reads nothing of its connection until it is let go."""

    go: asyncio.Event = field(default_factory=asyncio.Event)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.go.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await super()._serve(reader, writer)


@pytest.mark.parametrize("cancel", [False, True])
async def test_a_body_whose_client_left_before_all_of_it_was_passed_on_never_looks_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    """All of it is in, part of it waits here for a slow backend: that part is thrown away with the client."""
    backend = Stalled("b0")
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as on:
        assert backend.server is not None
        backend.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client = await on.client()
        head = b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        client.writer.write(
            head + b"%x\r\n%b\r\n" % (2 * MAX_BUFFERED_BODY_BYTES, b"x" * 2 * MAX_BUFFERED_BODY_BYTES)
        )
        gate = await on.dialled()
        (connection,) = {
            item.attempt.connection
            for request in on.node.requests.open.values()
            for item in request.attempts
            if item.attempt is not None
        }
        assert connection is not None and connection.socket is not None
        connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        gate.set()
        await on.until(lambda: connection.is_write_blocked)
        client.writer.write(b"5\r\nhello\r\n0\r\n\r\n")
        (request,) = on.node.requests.open.values()
        await on.until(lambda: request.upload is not None and request.upload.is_complete)
        assert connection.is_write_blocked
        await on.leave(client, False)
        backend.go.set()
        got = await asyncio.wait_for(backend.raw.get(), WAIT_TIMEOUT_S)
        assert got and not got.endswith(b"0\r\n\r\n") and b"hello" not in got
        assert on.nothing_left()


async def test_a_client_that_stays_is_served_though_it_is_not_read_from(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend = Backend("b0")
    async with scene(tmp_path, monkeypatch, backend) as on:
        client, gate = await paused(on, b"x" * 10)
        gate.set()
        assert (await client.read_response()).status == 200
        assert len((await backend.requests.get()).body) == 2 * MAX_BUFFERED_BODY_BYTES


# --- the same id again


async def test_an_id_is_in_use_while_its_attempt_is_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every request gets a new id; only one that no node has read is sent once more, and that is not open.

    Guards against a second send of an unsafe request that neither the module nor the backend's answer to the
    first would tell from the other.
    """
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    backend = Backend("b0", slow)
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": False}) as on:
        on.freely = 1
        first, again = await on.client(), await on.client()
        text = b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: same\r\nContent-Length: 0\r\n\r\n"
        first.writer.write(text)
        await backend.requests.get()
        await on.leave(first, False)
        again.writer.write(text)
        assert (await again.read_response()).status == 409
        go.set()
        await on.until(on.nothing_left)
        assert backend.requests.empty()


@pytest.mark.parametrize("cancel", [False, True])
async def test_an_id_that_was_never_sent_on_may_come_again_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    backend = Backend("b0")
    async with scene(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as on:
        first, again = await on.client(), await on.client()
        text = b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: same\r\nContent-Length: 0\r\n\r\n"
        first.writer.write(text)
        await on.dialled()
        await on.leave(first, True)
        on.freely = 1
        again.writer.write(text)
        assert (await again.read_response()).status == 200
        assert backend.requests.qsize() == 1 and on.nothing_left()
