"""Test client disconnects: no attempt starts afterwards and no state is left, at any stage of the request."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from balancer.interface import ListUpdateKind
from balancer.net.client_connection import SHORT_READ_BYTES
from balancer.net.config import load
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.stream import MAX_BUFFERED_BODY_BYTES, MAX_REPLAY_BYTES
from tests.sockets import (
    CLASSES,
    HOUR_MS,
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Message,
    echo_after,
    http_response,
    node_config,
)

NOT_STARTED_RESPONSE = http_response(b"", "503 Service Unavailable", "Not-Started: 1")


async def never_respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Receive a request and send no response."""


class NodeHarness:
    """Node in the test process whose connections to backends are established when the test allows it."""

    def __init__(self, node: Node, listener: Listener, backends: tuple[Backend, ...]) -> None:
        self.node, self.listener, self.backends = node, listener, backends
        self.clients: list[Client] = []
        # Pending connects to backends; each one proceeds when its event is set.
        self.pending_connects: asyncio.Queue[asyncio.Event] = asyncio.Queue()
        self.immediate_connects = 0  # Number of further connects that do not wait for the test.
        self.refuses_connects = False  # If set, pending connects fail as refused.
        self.loop = asyncio.get_running_loop()
        self.real_sock_connect = self.loop.sock_connect

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Replace `sock_connect` of the event loop: delay connects to backends."""
        if address[1] not in {backend.port for backend in self.backends}:
            pass  # Connections of the test's clients are not delayed.
        elif self.immediate_connects:
            self.immediate_connects -= 1
        else:
            gate = asyncio.Event()
            self.pending_connects.put_nowait(gate)
            await gate.wait()
            if self.refuses_connects:
                raise ConnectionRefusedError
        await self.real_sock_connect(sock, address)

    async def connect_client(self) -> Client:
        """Open a new client connection to the node."""
        out = Client(*await asyncio.open_connection(*self.listener.address))
        self.clients.append(out)
        return out

    async def next_pending_connect(self) -> asyncio.Event:
        """Wait for the next pending connect and return the event that releases it."""
        return await asyncio.wait_for(self.pending_connects.get(), WAIT_TIMEOUT_S)

    async def run_until(self, condition: Callable[[], bool]) -> None:
        """Run the event loop until the condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)

    async def disconnect(self, client: Client, reset: bool) -> None:
        """Close a client connection and wait until the node has noticed."""
        count = len(self.listener.connections)
        close_client(client, reset)
        await self.run_until(lambda: len(self.listener.connections) < count)

    def has_no_open_request(self) -> bool:
        """Return whether neither the node nor its balancer has an open request or attempt."""
        balancer = self.node.balancer
        return not (self.node.requests.open or balancer.requests.by_id or balancer.limit.in_flight)


def close_client(client: Client, reset: bool) -> None:
    """Close a client connection with a FIN, or with a RST if `reset`."""
    sock = client.writer.get_extra_info("socket")
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


@contextlib.asynccontextmanager
async def node_harness(
    tmp: Path, monkeypatch: pytest.MonkeyPatch, *backends: Backend, **over: Any
) -> AsyncIterator[NodeHarness]:
    """Run a node in this process that has these backends in its endpoint list."""
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
    out = NodeHarness(node, listener, backends)
    monkeypatch.setattr(out.loop, "sock_connect", out.sock_connect)
    try:
        yield out
    finally:
        listener.stop()
        for client in out.clients:
            client.writer.transport.abort()
        for backend in backends:
            backend.stop()
        await out.run_until(lambda: not (listener.connections or node.requests.open))
        node.pool.close()


def send_request(client: Client, path: str) -> str:
    """Send a small request of the class named by the path, and return its id."""
    if path == "/read":
        return client.send(path)
    return client.send(path, "Idempotency-Key: k1", method="POST", body=b"{}")


# --- the client disconnects while a backend connection is being established


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("path", ["/read", "/pay", "/once"])
async def test_disconnect_while_the_attempt_connects_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, cancel: bool, reset: bool
) -> None:
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as harness:
        first = await harness.connect_client()
        send_request(first, path)
        gate = await harness.next_pending_connect()
        await harness.disconnect(first, reset)
        gate.set()
        assert harness.has_no_open_request() and harness.node.pool.connection_count == 0
        assert harness.node.counts["attempt_moot"] + harness.node.counts["attempt_cancelled"] == 1
        harness.immediate_connects = 1
        second = await harness.connect_client()
        name = send_request(second, path)
        assert (await second.read_response()).status == 200
        assert (await backend.requests.get()).headers["request-id"] == name and backend.requests.empty()
        assert backend.connection_count == 1 and harness.has_no_open_request()


@pytest.mark.parametrize("cancel", [False, True])
async def test_disconnect_while_the_retry_connects_sends_nothing_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    async def full(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(NOT_STARTED_RESPONSE)

    backends = Backend("b0", full), Backend("b1", full)
    async with node_harness(tmp_path, monkeypatch, *backends, limits={"cancel": cancel}) as harness:
        harness.immediate_connects = 1
        client = await harness.connect_client()
        send_request(client, "/once")
        gate = await harness.next_pending_connect()
        assert harness.node.counts["attempt_full"] == 1
        await harness.disconnect(client, False)
        gate.set()
        assert harness.has_no_open_request()
        assert sum(backend.requests.qsize() for backend in backends) == 1


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("path", ["/read", "/once"])
async def test_disconnect_cancels_a_sent_attempt_if_the_settings_allow(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, cancel: bool
) -> None:
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as harness:
        harness.immediate_connects = 1
        client = await harness.connect_client()
        send_request(client, path)
        await backend.requests.get()
        await harness.disconnect(client, False)
        if cancel:
            assert harness.node.counts["attempt_cancelled"] == 1
        else:
            assert harness.node.pool.connection_count == 1 and harness.node.balancer.limit.in_flight == 1
            go.set()
            await harness.run_until(lambda: harness.node.counts["attempt_ok"] == 1)
        assert harness.has_no_open_request() and backend.requests.empty()


@pytest.mark.parametrize("cancel", [False, True])
async def test_disconnect_while_the_request_is_queued_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as harness:
        harness.immediate_connects = 2
        clients = [await harness.connect_client() for _ in range(3)]
        for client in clients[:2]:
            send_request(client, "/read")
            await backend.requests.get()
        send_request(clients[2], "/read")
        await harness.run_until(lambda: len(harness.node.balancer.router.queue) == 1)
        await harness.disconnect(clients[2], False)
        go.set()
        for client in clients[:2]:
            assert (await client.read_response()).status == 200
        assert harness.has_no_open_request() and not harness.node.balancer.router.queue
        assert backend.requests.empty() and harness.node.counts["left_unsent"] == 1


async def test_request_failed_by_an_exception_leaves_no_open_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests and attempts that stay counted as open after an exception in the balancer."""

    backend = Backend("b0", never_respond)
    async with node_harness(tmp_path, monkeypatch, backend) as harness:
        handle = harness.node.balancer.handle

        def faulty(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestBodyReceived):
                raise ZeroDivisionError
            return handle(now, event)

        monkeypatch.setattr(harness.node.balancer, "handle", faulty)
        harness.immediate_connects = 1
        client = await harness.connect_client()
        client.writer.write(
            b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n"
            % MAX_REPLAY_BYTES
        )
        client.writer.write(b"x" * (MAX_REPLAY_BYTES - 1))
        await harness.run_until(
            lambda: bool(harness.node.requests.open) and harness.node.pool.connection_count == 1
        )
        client.writer.write(b"x")
        assert (await client.read_response()).status == 502
        assert harness.has_no_open_request() and harness.node.pool.connection_count == 0


async def test_request_abandoned_while_connecting_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend) as harness:
        client = await harness.connect_client()
        name = send_request(client, "/once")
        gate = await harness.next_pending_connect()
        harness.node.requests.abandon(name)
        gate.set()
        assert (await client.read_response()).status == 502
        assert (
            harness.has_no_open_request()
            and harness.node.pool.connection_count == 0
            and backend.requests.empty()
        )


# --- the client disconnects while reading from it is paused


@dataclass
class RecordingBackend(Backend):
    """Backend that queues all bytes of a connection when it ends."""

    received: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        self.received.put_nowait(await reader.read())
        writer.close()


async def start_paused_upload(harness: NodeHarness, rest: bytes) -> tuple[Client, asyncio.Event]:
    """Start a long upload from which reading is paused, as the backend connection is still pending.

    `rest` is sent afterwards and stays unread in front of whatever the client does next.
    """
    client = await harness.connect_client()
    head = b"POST /pay HTTP/1.1\r\nRequest-Id: 1\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n"
    client.writer.write(head % (2 * MAX_BUFFERED_BODY_BYTES) + b"x" * (2 * MAX_BUFFERED_BODY_BYTES - 10))
    gate = await harness.next_pending_connect()
    await harness.run_until(
        lambda: any(connection.receive_timer.is_paused for connection in harness.listener.connections)
    )
    client.writer.write(rest)
    await harness.run_until(lambda: not client.writer.transport.get_write_buffer_size())
    return client, gate


REST_AND_NEXT_REQUEST = b"x" * 10 + b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: 2\r\n\r\n"


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("rest", [b"", b"x", REST_AND_NEXT_REQUEST])
async def test_disconnect_while_reading_is_paused_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rest: bytes, reset: bool
) -> None:
    backend = RecordingBackend("b0")
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": False}) as harness:
        client, gate = await start_paused_upload(harness, rest)
        close_client(client, reset)
        gate.set()
        assert await asyncio.wait_for(backend.received.get(), WAIT_TIMEOUT_S) == b""
        await harness.run_until(harness.has_no_open_request)
        assert harness.node.counts["left"] == harness.node.counts["attempt_moot"] == 1
        assert harness.node.pool.connection_count == 0


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("rest", [b"", b"x", REST_AND_NEXT_REQUEST])
async def test_disconnect_while_reading_is_paused_prevents_a_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rest: bytes, reset: bool
) -> None:
    backends = RecordingBackend("b0"), RecordingBackend("b1")
    async with node_harness(tmp_path, monkeypatch, *backends, limits={"cancel": False}) as harness:
        client, gate = await start_paused_upload(harness, rest)
        close_client(client, reset)
        harness.refuses_connects = True
        gate.set()
        await harness.run_until(harness.has_no_open_request)
        assert harness.node.counts["attempt_connect_failed"] == harness.node.counts["attempt_moot"] == 1
        assert harness.pending_connects.empty() and harness.node.pool.connection_count == 0


NEARLY_FULL_BYTES = 56_000  # The transport of a client pauses at 64 KiB.


async def test_disconnect_of_a_client_that_reads_no_responses_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node pauses reading from a client that pipelines and reads nothing, so its close stays unread."""
    backend = RecordingBackend("b0")
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": False}) as harness:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(harness.listener.address)
        await harness.run_until(lambda: bool(harness.listener.connections))
        (connection,) = harness.listener.connections
        assert connection.transport is not None
        here = connection.transport.get_extra_info("socket")
        here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        # The responses fill the buffer of the transport, but for a part that the last read overflows.
        up = b"GET /up HTTP/1.1\r\n\r\n"
        while connection.transport.get_write_buffer_size() < NEARLY_FULL_BYTES:
            assert sock.send(up * 50) == 50 * len(up)
            await asyncio.sleep(0.005)
            await harness.run_until(lambda: not connection.has_unread_data)
        assert not connection.responses.is_reading_paused
        text = up * 190 + b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\n\r\n"
        # The node receives all these requests in one read.
        assert len(text) < SHORT_READ_BYTES and sock.send(text) == len(text)
        gate = await harness.next_pending_connect()
        assert connection.responses.is_reading_paused and not connection.has_disconnected
        sock.shutdown(socket.SHUT_WR)
        gate.set()
        assert await asyncio.wait_for(backend.received.get(), WAIT_TIMEOUT_S) == b""
        await harness.run_until(harness.has_no_open_request)
        assert harness.node.counts["left"] == harness.node.counts["attempt_moot"] == 1
        sock.close()


@dataclass
class StalledBackend(RecordingBackend):
    """Backend that reads nothing until `go` is set."""

    go: asyncio.Event = field(default_factory=asyncio.Event)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.go.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await super()._serve(reader, writer)


@pytest.mark.parametrize("cancel", [False, True])
async def test_upload_truncated_by_a_disconnect_does_not_look_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    """A complete body that is partly queued for a slow backend loses the queued part with its client."""
    backend = StalledBackend("b0")
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as harness:
        assert backend.server is not None
        backend.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client = await harness.connect_client()
        head = b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        client.writer.write(
            head + b"%x\r\n%b\r\n" % (2 * MAX_BUFFERED_BODY_BYTES, b"x" * 2 * MAX_BUFFERED_BODY_BYTES)
        )
        gate = await harness.next_pending_connect()
        (connection,) = {
            item.attempt.connection
            for request in harness.node.requests.open.values()
            for item in request.attempts
            if item.attempt is not None
        }
        assert connection is not None and connection.socket is not None
        connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        gate.set()
        await harness.run_until(lambda: connection.is_write_blocked)
        client.writer.write(b"5\r\nhello\r\n0\r\n\r\n")
        (request,) = harness.node.requests.open.values()
        await harness.run_until(lambda: request.upload is not None and request.upload.is_complete)
        assert connection.is_write_blocked
        await harness.disconnect(client, False)
        backend.go.set()
        got = await asyncio.wait_for(backend.received.get(), WAIT_TIMEOUT_S)
        assert got and not got.endswith(b"0\r\n\r\n") and b"hello" not in got
        assert harness.has_no_open_request()


async def test_connected_client_is_served_while_reading_is_paused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend) as harness:
        client, gate = await start_paused_upload(harness, b"x" * 10)
        gate.set()
        assert (await client.read_response()).status == 200
        assert len((await backend.requests.get()).body) == 2 * MAX_BUFFERED_BODY_BYTES


# --- attempts that wait for their connection


async def test_backend_is_told_the_time_left_to_the_client_after_a_wait_for_its_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_s = 0.5
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend) as harness:
        client = await harness.connect_client()
        client.send("/read", "Request-Timeout: 3000m")
        gate = await harness.next_pending_connect()
        await asyncio.sleep(wait_s)
        gate.set()
        assert (await client.read_response()).status == 200
        told = (await backend.requests.get()).headers["request-timeout"]
        assert int(told.removesuffix("u")) / 1000 <= 3000 - wait_s * 1000


async def test_request_whose_time_passed_during_the_wait_for_its_connection_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is blocked, and the timer that ends the wait is due before the deadline's."""
    backend = Backend("b0")
    classes = [request_class | {"give-up": 200, "objective": 100} for request_class in CLASSES]
    settings = {"request-classes": classes}
    async with node_harness(tmp_path, monkeypatch, backend, **settings) as harness:
        harness.immediate_connects = 1
        clients = [await harness.connect_client() for _ in range(2)]
        assert (await clients[0].request("/read")).status == 200
        send_request(clients[1], "/once")
        await harness.run_until(lambda: bool(harness.node.requests.open))
        assert backend.requests.qsize() == 1
        time.sleep(0.3)
        assert (await clients[1].read_response()).status in (502, 503)
        assert backend.requests.qsize() == 1 and harness.has_no_open_request()


# --- the same request id in two requests


async def test_id_of_an_open_attempt_is_rejected_with_409(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two open requests with one id, whose attempts the balancer could not tell apart.

    Clients choose a new id for every request and repeat one only if no node has read it, so a repeated id of
    an open request is rejected.
    """
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": False}) as harness:
        harness.immediate_connects = 1
        first, again = await harness.connect_client(), await harness.connect_client()
        text = b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: same\r\nContent-Length: 0\r\n\r\n"
        first.writer.write(text)
        await backend.requests.get()
        await harness.disconnect(first, False)
        again.writer.write(text)
        assert (await again.read_response()).status == 409
        go.set()
        await harness.run_until(harness.has_no_open_request)
        assert backend.requests.empty()


@pytest.mark.parametrize("cancel", [False, True])
async def test_id_that_was_never_sent_to_a_backend_may_be_reused_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancel: bool
) -> None:
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend, limits={"cancel": cancel}) as harness:
        first, again = await harness.connect_client(), await harness.connect_client()
        text = b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: same\r\nContent-Length: 0\r\n\r\n"
        first.writer.write(text)
        await harness.next_pending_connect()
        await harness.disconnect(first, True)
        harness.immediate_connects = 1
        again.writer.write(text)
        assert (await again.read_response()).status == 200
        assert backend.requests.qsize() == 1 and harness.has_no_open_request()
