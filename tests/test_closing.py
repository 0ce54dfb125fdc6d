"""Connections that this side closes, at the moments in which that is delicate."""

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


class Turns(uvloop.Loop):
    """A loop that calls `hook` so many turns after it began to take a descriptor over."""

    hook: Callable[[], None]
    turns = 0

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        """Calls made before the loop's own are carried out before them."""
        self._after(self.turns)
        return await super().create_connection(*args, **more)

    def _after(self, turns: int) -> None:
        self.call_soon(self._after, turns - 1) if turns else self.call_soon(self.hook)


def run(loop: asyncio.AbstractEventLoop, what: Coroutine[Any, Any, None]) -> None:
    """To its end, or fail."""
    try:
        loop.run_until_complete(asyncio.wait_for(what, WAIT_TIMEOUT_S))
    finally:
        loop.close()


@pytest.mark.parametrize("turns", [0, 1, 2])
def test_descriptor_of_a_connection_that_is_called_off_while_it_comes_up_is_closed_once(turns: int) -> None:
    """The second close would hit whoever has the number by then: a client that waits for its answer."""

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
        called = asyncio.Event()
        others: list[socket.socket] = []

        def call_off() -> None:
            attempt.cancel()
            others.extend(socket.socketpair())  # the lowest numbers that are free
            called.set()

        loop.hook, loop.turns = call_off, turns
        attempt = pool.start_attempt("b0", b"GET / HTTP/1.1\r\n\r\n", ended.append)
        assert attempt.connection is not None
        task = attempt.connection.connect_task
        assert task is not None
        known = attempt.connection
        await called.wait()
        accepted = listener.accept()[0]
        accepted.settimeout(WAIT_TIMEOUT_S)
        assert accepted.recv(100) in (b"", b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait([task])
        while (
            known.socket is not None and known.socket.fileno() >= 0
        ):  # the loop lets go of it some turns later
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

    loop = Turns()
    run(loop, drive())


def test_connection_that_does_not_come_up_leaves_its_descriptor_alone_after() -> None:
    """Ruled out: the time-out cancels a connection attempt, and the number is free only once."""

    async def drive() -> None:
        full = socket.socket()  # bound and not listening: refused
        full.bind(("127.0.0.1", 0))
        pool = ConnectionPool(BASE, 10, RequestStatistics(), StreamMemory(192))
        pool.endpoints["b0"] = EndpointConnections(full.getsockname(), is_in_maintenance=False)
        ended: asyncio.Queue[AttemptResult] = asyncio.Queue()
        pool.start_attempt("b0", b"GET / HTTP/1.1\r\n\r\n", ended.put_nowait)
        assert (await ended.get()).status is AttemptStatus.CONNECT_FAILED
        others = socket.socketpair()
        gc.collect()
        await asyncio.sleep(0)
        for other in others:
            os.fstat(other.fileno())
            other.close()
        full.close()

    run(uvloop.new_event_loop(), drive())


def test_a_descriptor_that_the_loop_cannot_take_over_ends_its_attempt() -> None:
    """It never ran; nothing is left counted."""

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

    class Unable(uvloop.Loop):
        async def create_connection(self, *args: Any, **more: Any) -> Any:
            raise OSError

    run(Unable(), drive())


# --- the client side, in one process with its clients, on the loop that is used


@contextlib.asynccontextmanager
async def listener_of(tmp: Path, *backends: Backend, limit: int = 100) -> AsyncIterator[Listener]:
    """A node's client side, listening."""
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
    """A client that does what it is told only."""

    def __init__(self, window: int = 0) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.setblocking(False)

    async def reach(self, listener: Listener) -> ClientConnection:
        """Connect; the node's side of it."""
        known = listener.connections | listener.lingering.keys()
        await asyncio.get_running_loop().sock_connect(self.sock, listener.address)
        while not (new := (listener.connections | listener.lingering.keys()) - known):
            await asyncio.sleep(0)
        return new.pop()

    async def read(self, size: int) -> bytes:
        """So many bytes, or fewer where the node ends; a reset is an error."""
        loop, out = asyncio.get_running_loop(), b""
        while len(out) < size and (data := await loop.sock_recv(self.sock, size - len(out))):
            out += data
        return out

    def reset(self) -> None:
        """Leave, rudely."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


UP = b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n"
READ = b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: %d\r\n\r\n"
ANSWERED = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nup\n"
Test = Callable[[Path], Awaitable[None]]


def on_uvloop(test: Test) -> Callable[[Path], None]:
    """A test on the loop that the program uses."""

    def run_it(tmp_path: Path) -> None:
        async def drive() -> None:
            await test(tmp_path)

        run(uvloop.new_event_loop(), drive())

    run_it.__doc__, run_it.__name__ = test.__doc__, "test"
    return run_it


async def _nodelay(tmp: Path) -> None:
    backend = Backend("b0")
    async with listener_of(tmp, backend) as listener:
        peer = Peer()
        accepted = await peer.reach(listener)
        peer.sock.send(READ % 1)
        await backend.requests.get()
        while not listener.node.pool.endpoints["b0"].idle:
            await asyncio.sleep(0)
        for connection in (accepted, listener.node.pool.endpoints["b0"].idle[0]):
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


test_small_writes_are_not_held_back_on_accepted_and_dialled_connections = on_uvloop(_nodelay)


async def _crossed(tmp: Path) -> None:
    """A request that has come unread when an idle connection is ended meets a clean end, and goes nowhere."""
    backend = Backend("b0")
    async with listener_of(tmp, backend) as listener:
        for end in (ClientConnection.linger, ClientConnection.on_receive_timeout):
            peer = Peer()
            connection = await peer.reach(listener)
            peer.sock.send(UP)
            assert await peer.read(len(ANSWERED)) == ANSWERED
            peer.sock.send(READ % 1)  # in the kernel, as the loop has had no turn
            end(connection)
            assert await peer.read(1) == b""
            peer.sock.send(READ % 2)  # nor is one taken that comes later
            assert connection in listener.lingering
            peer.sock.close()
            while listener.lingering:
                await asyncio.sleep(0)
        assert backend.requests.empty()
        assert not listener.node.requests.open


test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_taken = on_uvloop(_crossed)


async def _whole_answer(tmp: Path) -> None:
    """The last answer reaches a client with a small window that sends more behind its request."""
    body = bytes(60_000)

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(body))

    async with listener_of(tmp, Backend("b0", respond)) as listener:
        peer = Peer(window=4096)
        connection = await peer.reach(listener)
        peer.sock.send(READ.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") % 1)
        while not connection.is_closing:  # the answer is on its way
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        peer.sock.send(b"x" * 1000)
        got = await peer.read(100_000)
        assert got.startswith(b"HTTP/1.1 200 OK")
        assert got.endswith(b"\r\n\r\n" + body)
        peer.sock.close()


test_the_last_answer_is_whole_for_a_client_that_sends_on = on_uvloop(_whole_answer)


async def _bounded(tmp: Path) -> None:
    """Clients that rest after the node's end: no new one is crowded out, and there are only so many."""
    limit = 3
    async with listener_of(tmp, limit=limit) as listener:
        peers, seen = [], []
        for _ in range(limit + overflow_limit(limit) + 5):
            peers.append(Peer())
            seen.append(await peers[-1].reach(listener))
            peers[-1].sock.send(UP)
            assert await peers[-1].read(len(ANSWERED)) == ANSWERED  # not over the cap
            assert len(listener.connections) <= limit
            assert len(listener.connections) + len(listener.lingering) <= limit + overflow_limit(limit)
        first = seen[0].transport
        assert first is not None
        assert first.is_closing()
        assert [c.is_closing for c in seen] == [True] * (overflow_limit(limit) + 5) + [False] * limit
        for peer in peers:
            peer.sock.close()


test_lingering_connections_are_bounded_and_in_nobodys_way = on_uvloop(_bounded)


async def _resting(tmp: Path) -> None:
    """One that never ends its side is let go after a while."""
    async with listener_of(tmp) as listener:
        peer = Peer()
        connection = await peer.reach(listener)
        connection.linger()
        assert await peer.read(1) == b""
        while listener.lingering:
            await asyncio.sleep(0.01)
        peer.sock.close()


def test_a_client_that_rests_on_is_let_go(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The lingering is bounded in time."""
    monkeypatch.setattr(client_file, "LINGER_TIMEOUT_S", 0.05)
    on_uvloop(_resting)(tmp_path)


async def _reset_first(tmp: Path) -> None:
    """Ruled out: a client that resets in the moment of the close costs no log line."""
    async with listener_of(tmp) as listener:
        peer = Peer()
        connection = await peer.reach(listener)
        peer.reset()
        connection.linger()
        while listener.connections or listener.lingering:
            await asyncio.sleep(0)


def test_a_reset_that_crosses_a_close_is_quiet(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Neither from this side's hand nor the loop's."""
    with caplog.at_level(logging.INFO):
        on_uvloop(_reset_first)(tmp_path)
    assert not caplog.records


async def _flood(tmp: Path) -> None:
    """Requests without end from a client that reads no answer: it is left waiting."""
    async with listener_of(tmp) as listener:
        peer = Peer(window=4096)
        connection = await peer.reach(listener)
        transport = connection.transport
        assert transport is not None
        whole = 0
        while transport.is_reading():
            assert peer.sock.send(UP * 100) == 100 * len(UP)
            whole += 100
            while connection.has_unread_data and transport.is_reading():
                await asyncio.sleep(0)
            assert transport.get_write_buffer_size() < 200_000
        assert await peer.read(whole * len(ANSWERED)) == ANSWERED * whole  # and then it goes on
        assert transport.is_reading()
        peer.sock.close()


test_a_client_that_sends_on_and_reads_nothing_fills_no_memory = on_uvloop(_flood)


async def _behind(tmp: Path) -> None:
    """What follows an open request is dropped: one answer for it, none for the rest, and no log line."""
    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(http_response(b"done"))

    backend = Backend("b0", respond)
    async with listener_of(tmp, backend) as listener:
        for rest in (b"nonsense\r\n\r\n", READ % 2 + b"\0\0\0", READ % 2 * 30_000, b"x" * 2_000_000):
            go.clear()
            peer = Peer()
            connection = await peer.reach(listener)
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


def test_what_follows_an_open_request_is_dropped(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Bad requests behind a good one, and floods."""
    with caplog.at_level(logging.INFO):
        on_uvloop(_behind)(tmp_path)
    assert caplog.messages == ["list: revision 41: in service b0"]  # at its start, and nothing since


async def _early(tmp: Path) -> None:
    """A flood behind a request that was answered at once as bad gets no second answer."""
    async with listener_of(tmp) as listener:
        for leave in (Peer.reset, lambda peer: peer.sock.close()):
            peer = Peer()
            connection = await peer.reach(listener)
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


test_one_answer_for_a_flood_behind_a_bad_request = on_uvloop(_early)


async def _queued(tmp: Path) -> None:
    """Connections that wait to be accepted when the listener closes are served their request."""
    backend = Backend("b0")
    async with listener_of(tmp, backend) as listener:
        peers = [Peer() for _ in range(5)]
        for number, peer in enumerate(peers):
            with contextlib.suppress(BlockingIOError):
                peer.sock.connect(listener.address)  # the kernel takes it up; the loop has had no turn
            peer.sock.send(READ % number)
        listener.node.is_stopping = True
        listener.stop()
        await listener.wait_until_drained(WAIT_TIMEOUT_S)
        for peer in peers:
            got = await peer.read(1000)
            assert got.startswith(b"HTTP/1.1 200 OK\r\nConnection: close")
            peer.sock.close()


test_connections_in_the_listeners_queue_are_served_at_the_end = on_uvloop(_queued)


async def _spared(tmp: Path) -> None:
    """A connection spared at the stop, as something has come there, that is no whole request."""
    async with listener_of(tmp) as listener:
        peer, other = Peer(), Peer()
        for each in (peer, other):
            await each.reach(listener)
            each.sock.send(UP)
            assert await each.read(len(ANSWERED)) == ANSWERED
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


test_a_connection_spared_at_the_stop_is_ended_all_the_same = on_uvloop(_spared)


async def _closed(tmp: Path) -> None:
    """Once the client side is closed nothing is taken, whatever comes and wherever it stands."""
    backend = Backend("b0")
    async with listener_of(tmp, backend) as listener:
        peers = [Peer() for _ in range(3)]
        for peer in peers:
            await peer.reach(listener)
        peers[1].sock.send(READ[:20])  # in the middle of a head
        while not listener.connections & {c for c in listener.connections if c.parser.is_receiving}:
            await asyncio.sleep(0)
        peers[2].sock.send(READ % 3)  # unread
        listener.node.is_stopping = True
        ending = asyncio.ensure_future(listener.close(WAIT_TIMEOUT_S))
        await asyncio.sleep(0)
        peers[0].sock.send(READ % 1)
        peers[1].sock.send(READ[20:] % 2)
        for peer in peers:
            assert await peer.read(1) == b""
        assert not ending.done()  # the clients have not ended
        for peer in peers:
            peer.sock.close()
        await ending
        assert backend.requests.empty()
        assert not listener.node.requests.open


test_once_closed_nothing_is_taken = on_uvloop(_closed)


async def _unframed(tmp: Path) -> None:
    """Ruled out: an answer that ends with its connection does not look whole where it broke off."""
    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(70_000))
        await writer.drain()
        await go.wait()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with listener_of(tmp, Backend("b0", respond)) as listener:
        peer = Peer()
        await peer.reach(listener)
        peer.sock.send(b"GET /read HTTP/1.0\r\nRequest-Id: 1\r\n\r\n")
        assert (await peer.read(60_000)).startswith(b"HTTP/1.1 200 OK")
        go.set()
        with pytest.raises(ConnectionResetError):
            await peer.read(100_000)
        peer.sock.close()


test_an_answer_with_no_framing_that_breaks_off_ends_in_a_reset = on_uvloop(_unframed)
