"""Test closing of connections by the node while other events happen at the same time."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop

from balancer.interface import AttemptStatus, ListUpdateKind
from balancer.net import client_connection as client_file
from balancer.net.attempt import AttemptResult
from balancer.net.client_connection import ClientConnection
from balancer.net.config import load
from balancer.net.connection_limits import overflow_limit
from balancer.net.connection_pool import ConnectionPool, EndpointConnections
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory
from tests.helpers import BASE
from tests.sockets import LONG_DEADLINES, WAIT_TIMEOUT_S, Backend, Message, http_response, node_config


class HookedLoop(uvloop.Loop):
    """Event loop that calls `hook` a number of iterations after it began to take over a descriptor."""

    hook: Callable[[], None]
    delay_iterations = 0

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        """Schedule the hook before the loop schedules its own callbacks."""
        self._call_hook_after(self.delay_iterations)
        return await super().create_connection(*args, **more)

    def _call_hook_after(self, count: int) -> None:
        self.call_soon(self._call_hook_after, count - 1) if count else self.call_soon(self.hook)


def run(loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine with a timeout, then close the loop."""
    try:
        loop.run_until_complete(asyncio.wait_for(coroutine, WAIT_TIMEOUT_S))
    finally:
        loop.close()


@pytest.mark.parametrize("delay_iterations", [0, 1, 2])
def test_descriptor_of_an_attempt_cancelled_while_connecting_is_closed_once(delay_iterations: int) -> None:
    """A second close would hit the next user of the number, such as a client that waits for its response."""

    async def drive() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        pool = ConnectionPool(
            replace(BASE, connect_timeout_ms=1000 * WAIT_TIMEOUT_S),
            10,
            RequestStatistics(),
            StreamMemory(192),
        )
        pool.endpoints["b0"] = EndpointConnections(listener.getsockname(), is_in_maintenance=False)
        ended: list[AttemptResult] = []
        cancelled = asyncio.Event()
        others: list[socket.socket] = []

        def cancel_attempt() -> None:
            attempt.cancel()
            others.extend(socket.socketpair())  # New sockets get the lowest free descriptor numbers.
            cancelled.set()

        loop.hook, loop.delay_iterations = cancel_attempt, delay_iterations
        attempt = pool.start_attempt("b0", b"GET / HTTP/1.1\r\n\r\n", ended.append)
        assert attempt.connection is not None
        task = attempt.connection.connect_task
        assert task is not None
        known = attempt.connection
        await cancelled.wait()
        accepted = listener.accept()[0]
        accepted.settimeout(WAIT_TIMEOUT_S)
        assert accepted.recv(100) in (b"", b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait([task])
        # The event loop releases the descriptor some iterations later.
        while known.socket is not None and known.socket.fileno() >= 0:
            await asyncio.sleep(0)
        del known, task
        gc.collect()
        for other in others:
            os.fstat(other.fileno())
        others[0].send(b"still here")
        assert others[1].recv(100) == b"still here"
        assert not ended
        assert not pool.connection_count
        for sock in (*others, accepted, listener):
            sock.close()

    loop = HookedLoop()
    run(loop, drive())


def test_descriptor_of_a_failed_connection_is_not_closed_again() -> None:
    """Guards against a second close of a descriptor whose number is in use again after a failed connect."""

    async def drive() -> None:
        unlistening = socket.socket()  # A bound socket that does not listen refuses connections.
        unlistening.bind(("127.0.0.1", 0))
        pool = ConnectionPool(BASE, 10, RequestStatistics(), StreamMemory(192))
        pool.endpoints["b0"] = EndpointConnections(unlistening.getsockname(), is_in_maintenance=False)
        ended: asyncio.Queue[AttemptResult] = asyncio.Queue()
        pool.start_attempt("b0", b"GET / HTTP/1.1\r\n\r\n", ended.put_nowait)
        assert (await ended.get()).status is AttemptStatus.CONNECT_FAILED
        others = socket.socketpair()
        gc.collect()
        await asyncio.sleep(0)
        for other in others:
            os.fstat(other.fileno())
            other.close()
        unlistening.close()

    run(uvloop.new_event_loop(), drive())


def test_attempt_ends_if_the_event_loop_cannot_take_over_its_descriptor() -> None:
    """The attempt ends as not executed, and the pool counts no connection."""

    async def drive() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        pool = ConnectionPool(
            replace(BASE, connect_timeout_ms=1000 * WAIT_TIMEOUT_S),
            10,
            RequestStatistics(),
            StreamMemory(192),
        )
        pool.endpoints["b0"] = EndpointConnections(listener.getsockname(), is_in_maintenance=False)
        ended: asyncio.Queue[AttemptResult] = asyncio.Queue()
        pool.start_attempt("b0", b"GET / HTTP/1.1\r\n\r\n", ended.put_nowait)
        assert (await ended.get()).status is AttemptStatus.CONNECT_FAILED
        assert not pool.connection_count
        listener.close()

    class FailingLoop(uvloop.Loop):
        async def create_connection(self, *args: Any, **more: Any) -> Any:
            raise OSError

    run(FailingLoop(), drive())


# --- client connections, with node and clients in one process on uvloop


@contextlib.asynccontextmanager
async def running_listener(tmp: Path, *backends: Backend, limit: int = 100) -> AsyncIterator[Listener]:
    """Run a listener with a node and these backends."""
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    path.write_text(json.dumps(node_config([b.list_entry() for b in backends], 1, **LONG_DEADLINES)))
    config = load({"PROXY_CONFIG": str(path)})
    node = Node(config)
    node.update_endpoints(config.initial_list, ListUpdateKind.CACHED)
    node.is_listening = node.has_endpoints = True
    listener = Listener(node, limit)
    await listener.listen(("127.0.0.1", 0), shared=False)
    try:
        yield listener
    finally:
        listener.stop()
        await listener.close(0.0)
        node.pool.close()
        for backend in backends:
            backend.stop()


class Peer:
    """Client on a raw socket, controlled by the test."""

    def __init__(self, window: int = 0) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.setblocking(False)

    async def connect(self, listener: Listener) -> ClientConnection:
        """Connect to the listener and return the node's side of the connection."""
        known = listener.connections | listener.lingering.keys()
        await asyncio.get_running_loop().sock_connect(self.sock, listener.address)
        while not (new := (listener.connections | listener.lingering.keys()) - known):
            await asyncio.sleep(0)
        return new.pop()

    async def read(self, size: int) -> bytes:
        """Read `size` bytes, or fewer up to the node's end of file; a reset raises ConnectionResetError."""
        loop, out = asyncio.get_running_loop(), b""
        while len(out) < size and (data := await loop.sock_recv(self.sock, size - len(out))):
            out += data
        return out

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


UP = b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n"
READ = b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: %d\r\n\r\n"
UP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nup\n"
Test = Callable[[Path], Awaitable[None]]


def on_uvloop(test: Test) -> Callable[[Path], None]:
    """Turn a coroutine into a test that runs on uvloop, as the program does."""

    def run_test(tmp_path: Path) -> None:
        async def drive() -> None:
            await test(tmp_path)

        run(uvloop.new_event_loop(), drive())

    run_test.__doc__, run_test.__name__ = test.__doc__, "test"
    return run_test


async def _check_nodelay(tmp: Path) -> None:
    backend = Backend("b0")
    async with running_listener(tmp, backend) as listener:
        peer = Peer()
        accepted = await peer.connect(listener)
        peer.sock.send(READ % 1)
        await backend.requests.get()
        while not listener.node.pool.endpoints["b0"].idle:
            await asyncio.sleep(0)
        for connection in (accepted, listener.node.pool.endpoints["b0"].idle[0]):
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


test_accepted_and_outgoing_connections_have_tcp_nodelay = on_uvloop(_check_nodelay)


async def _request_crosses_the_close(tmp: Path) -> None:
    """A request unread when the node closes an idle connection meets a clean close and is not executed."""
    backend = Backend("b0")
    async with running_listener(tmp, backend) as listener:
        for end in (ClientConnection.linger, ClientConnection.on_receive_timeout):
            peer = Peer()
            connection = await peer.connect(listener)
            peer.sock.send(UP)
            assert await peer.read(len(UP_RESPONSE)) == UP_RESPONSE
            # The request stays in the kernel until the event loop runs again.
            peer.sock.send(READ % 1)
            end(connection)
            assert await peer.read(1) == b""
            peer.sock.send(READ % 2)  # A request that arrives after the close is not executed either.
            assert connection in listener.lingering
            peer.sock.close()
            while listener.lingering:
                await asyncio.sleep(0)
        assert backend.requests.empty()
        assert not listener.node.requests.open


test_request_crossing_the_close_of_an_idle_connection_is_not_executed = on_uvloop(_request_crosses_the_close)


async def _client_keeps_sending(tmp: Path) -> None:
    """The last response reaches a client with a small window that sends more bytes after its request."""
    body = bytes(60_000)

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(body))

    async with running_listener(tmp, Backend("b0", respond)) as listener:
        peer = Peer(window=4096)
        connection = await peer.connect(listener)
        peer.sock.send(READ.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") % 1)
        while (
            not connection.is_closing
        ):  # A connection that is closing has its complete response in its buffer.
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        peer.sock.send(b"x" * 1000)
        got = await peer.read(100_000)
        assert got.startswith(b"HTTP/1.1 200 OK")
        assert got.endswith(b"\r\n\r\n" + body)
        peer.sock.close()


test_last_response_is_complete_for_a_client_that_keeps_sending = on_uvloop(_client_keeps_sending)


async def _lingering_is_limited(tmp: Path) -> None:
    """If clients do not close after the node has, new ones are still served and lingering is limited."""
    limit = 3
    async with running_listener(tmp, limit=limit) as listener:
        peers, seen = [], []
        for _ in range(limit + overflow_limit(limit) + 5):
            peers.append(Peer())
            seen.append(await peers[-1].connect(listener))
            peers[-1].sock.send(UP)
            # The usual response shows that the connection is not over the limit.
            assert await peers[-1].read(len(UP_RESPONSE)) == UP_RESPONSE
            assert len(listener.connections) <= limit
            assert len(listener.connections) + len(listener.lingering) <= limit + overflow_limit(limit)
        first = seen[0].transport
        assert first is not None
        assert first.is_closing()
        assert [c.is_closing for c in seen] == [True] * (overflow_limit(limit) + 5) + [False] * limit
        for peer in peers:
            peer.sock.close()


test_lingering_connections_are_limited_and_do_not_block_new_ones = on_uvloop(_lingering_is_limited)


async def _client_never_closes(tmp: Path) -> None:
    """A client that never closes its side is disconnected after the linger timeout."""
    async with running_listener(tmp) as listener:
        peer = Peer()
        connection = await peer.connect(listener)
        connection.linger()
        assert await peer.read(1) == b""
        while listener.lingering:
            await asyncio.sleep(0.01)
        peer.sock.close()


def test_client_that_never_closes_is_disconnected_after_the_linger_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lingering connections that stay forever."""
    monkeypatch.setattr(client_file, "LINGER_TIMEOUT_S", 0.05)
    on_uvloop(_client_never_closes)(tmp_path)


async def _client_resets_at_the_close(tmp: Path) -> None:
    """A client that resets at the moment of the close causes no log line."""
    async with running_listener(tmp) as listener:
        peer = Peer()
        connection = await peer.connect(listener)
        peer.reset()
        connection.linger()
        while listener.connections or listener.lingering:
            await asyncio.sleep(0)


def test_reset_crossing_a_close_is_not_logged(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against log lines of the node or the event loop for a routine reset."""
    with caplog.at_level(logging.INFO):
        on_uvloop(_client_resets_at_the_close)(tmp_path)
    assert not caplog.records


async def _client_reads_no_responses(tmp: Path) -> None:
    """Reading from a client that sends requests and reads no responses is paused."""
    async with running_listener(tmp) as listener:
        peer = Peer(window=4096)
        connection = await peer.connect(listener)
        transport = connection.transport
        assert transport is not None
        request_count = 0
        while transport.is_reading():
            assert peer.sock.send(UP * 100) == 100 * len(UP)
            request_count += 100
            while connection.has_unread_data and transport.is_reading():
                await asyncio.sleep(0)
            assert transport.get_write_buffer_size() < 200_000
        assert await peer.read(request_count * len(UP_RESPONSE)) == UP_RESPONSE * request_count
        assert transport.is_reading()  # Reading has resumed after the client read its responses.
        peer.sock.close()


test_client_that_sends_requests_and_reads_nothing_is_paused = on_uvloop(_client_reads_no_responses)


async def _bytes_follow_an_open_request(tmp: Path) -> None:
    """Bytes after an open request are dropped: it gets one response, the rest none, and nothing is logged."""
    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(http_response(b"done"))

    backend = Backend("b0", respond)
    async with running_listener(tmp, backend) as listener:
        for rest in (b"nonsense\r\n\r\n", READ % 2 + b"\0\0\0", READ % 2 * 30_000, b"x" * 2_000_000):
            go.clear()
            peer = Peer()
            connection = await peer.connect(listener)
            peer.sock.send(READ % 1)
            await backend.requests.get()
            await asyncio.get_running_loop().sock_sendall(peer.sock, rest)
            while connection.stage is client_file.Stage.OPEN:
                await asyncio.sleep(0)
            go.set()
            got = await peer.read(1_000_000)
            assert got.count(b"HTTP/1.1 200 OK\r\nConnection: close\r\n") == 1 == got.count(b"HTTP/1.1")
            assert got.endswith(b"done")
            assert backend.requests.empty()
            assert len(connection.parser.headers) == 2
            assert not connection.body
            peer.sock.close()
            while listener.lingering:
                await asyncio.sleep(0)


def test_bytes_after_an_open_request_are_dropped(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against responses, memory use or log lines for malformed or endless bytes after a request."""
    with caplog.at_level(logging.INFO):
        on_uvloop(_bytes_follow_an_open_request)(tmp_path)
    # The only line is written at the start of the node.
    assert caplog.messages == ["list: revision 41: in service b0"]


async def _bytes_follow_a_rejected_request(tmp: Path) -> None:
    """Bytes after a request that was answered with an error get no second response."""
    async with running_listener(tmp) as listener:
        for leave in (Peer.reset, lambda peer: peer.sock.close()):
            peer = Peer()
            connection = await peer.connect(listener)
            peer.sock.send(b"GET /nobody HTTP/1.1\r\n\r\n" + READ % 1 * 1000)
            got = await peer.read(100_000)
            assert got.count(b"HTTP/1.1") == 1
            assert got.startswith(b"HTTP/1.1 404")
            with contextlib.suppress(BlockingIOError):
                peer.sock.send(b"x" * 1_000_000)
            leave(peer)
            while listener.connections or listener.lingering:
                await asyncio.sleep(0)
            assert connection.stage is client_file.Stage.CLOSED
            assert not listener.node.requests.open


test_flood_after_a_rejected_request_gets_one_response = on_uvloop(_bytes_follow_a_rejected_request)


async def _connections_wait_in_the_accept_queue(tmp: Path) -> None:
    """Connections still in the accept queue when the listener closes get their responses."""
    backend = Backend("b0")
    async with running_listener(tmp, backend) as listener:
        peers = [Peer() for _ in range(5)]
        for number, peer in enumerate(peers):
            with contextlib.suppress(BlockingIOError):
                # The kernel queues the connection; the event loop cannot accept it yet.
                peer.sock.connect(listener.address)
            peer.sock.send(READ % number)
        listener.node.is_stopping = True
        listener.stop()
        await listener.wait_until_drained(WAIT_TIMEOUT_S)
        for peer in peers:
            got = await peer.read(1000)
            assert got.startswith(b"HTTP/1.1 200 OK\r\nConnection: close")
            peer.sock.close()


test_connections_in_the_accept_queue_are_served_at_shutdown = on_uvloop(_connections_wait_in_the_accept_queue)


async def _connections_are_busy_at_shutdown(tmp: Path) -> None:
    """Stopping spares a connection with unread data; one with an incomplete request is closed later."""
    async with running_listener(tmp) as listener:
        peer, other = Peer(), Peer()
        for each in (peer, other):
            await each.connect(listener)
            each.sock.send(UP)
            assert await each.read(len(UP_RESPONSE)) == UP_RESPONSE
        peer.sock.send(UP[:10])
        other.sock.send(UP[:10])
        listener.node.is_stopping = True
        listener.stop()
        other.sock.send(UP[10:])
        assert b"\r\nConnection: close\r\n" in await other.read(1000)
        await listener.wait_until_drained(0.0)
        await listener.close(0.0)
        assert await peer.read(1) == b""
        for each in (peer, other):
            each.sock.close()


test_connection_with_an_incomplete_request_is_closed_at_shutdown = on_uvloop(
    _connections_are_busy_at_shutdown
)


async def _requests_arrive_after_the_close(tmp: Path) -> None:
    """After the listener has closed, no request is executed, wherever it was when that happened."""
    backend = Backend("b0")
    async with running_listener(tmp, backend) as listener:
        peers = [Peer() for _ in range(3)]
        for peer in peers:
            await peer.connect(listener)
        peers[1].sock.send(READ[:20])  # The second client has sent part of a head.
        while not listener.connections & {c for c in listener.connections if c.parser.is_receiving}:
            await asyncio.sleep(0)
        peers[2].sock.send(READ % 3)  # The third client's request is in the kernel, unread.
        listener.node.is_stopping = True
        ending = asyncio.ensure_future(listener.close(WAIT_TIMEOUT_S))
        await asyncio.sleep(0)
        peers[0].sock.send(READ % 1)
        peers[1].sock.send(READ[20:] % 2)
        for peer in peers:
            assert await peer.read(1) == b""
        assert not ending.done()  # The listener waits because the clients have not closed yet.
        for peer in peers:
            peer.sock.close()
        await ending
        assert backend.requests.empty()
        assert not listener.node.requests.open


test_no_request_is_executed_after_the_listener_has_closed = on_uvloop(_requests_arrive_after_the_close)


async def _response_without_framing_is_truncated(tmp: Path) -> None:
    """A truncated response without framing ends in a reset: a clean close would make it look complete."""
    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(70_000))
        await writer.drain()
        await go.wait()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with running_listener(tmp, Backend("b0", respond)) as listener:
        peer = Peer()
        await peer.connect(listener)
        peer.sock.send(b"GET /read HTTP/1.0\r\nRequest-Id: 1\r\n\r\n")
        assert (await peer.read(60_000)).startswith(b"HTTP/1.1 200 OK")
        go.set()
        with pytest.raises(ConnectionResetError):
            await peer.read(100_000)
        peer.sock.close()


test_truncated_response_without_framing_ends_in_a_reset = on_uvloop(_response_without_framing_is_truncated)
