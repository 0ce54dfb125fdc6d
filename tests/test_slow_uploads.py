"""Test uploads to backends that read slowly or stop: the client gets its final answer in time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest

from balancer.net.backend_connection import BackendConnection
from tests.sockets import Backend, http_response, running_node
from tests.test_closing import Peer, on_uvloop, running_listener

TIMEOUT_S = 0.8
MAX_OVERRUN_S = 0.5
ALLOWED_DELAY_S = 0.15
SLOW_READ_BYTES_PER_S = 80_000
STUCK_AFTER_BYTES = 17_000
READ_INTERVAL_S = 0.05
BACKEND_BUFFER_BYTES = 16 * 1024


class SlowReadingBackend(Backend):
    """Fake backend that reads at a rate, up to a number of bytes, and then nothing more."""

    def __init__(self, name: str, rate: float, limit: int) -> None:
        super().__init__(name)
        self.rate, self.limit = rate, limit
        self.received = 0

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BACKEND_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        self.port = sock.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while self.received < self.limit:
                data = await reader.read(int(self.rate * READ_INTERVAL_S))
                if not data:
                    return
                self.received += len(data)
                await asyncio.sleep(READ_INTERVAL_S)
            await asyncio.sleep(60)


def framed(body_bytes: int, chunked: bool) -> bytes:
    head = f"POST /once HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout: {TIMEOUT_S * 1000:.0f}m\r\n"
    if not chunked:
        return f"{head}Content-Length: {body_bytes}\r\n\r\n".encode() + b"x" * body_bytes
    return (
        f"{head}Transfer-Encoding: chunked\r\n\r\n{body_bytes:x}\r\n".encode()
        + b"x" * body_bytes
        + b"\r\n0\r\n\r\n"
    )


@pytest.fixture
def small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the kernel take little of an upload, as over a network; on one machine it takes megabytes."""
    connection_made = BackendConnection.connection_made

    def limited(self: BackendConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BACKEND_BUFFER_BYTES)

    monkeypatch.setattr(BackendConnection, "connection_made", limited)


@pytest.mark.usefixtures("small_send_buffers")
@pytest.mark.parametrize("limit", [STUCK_AFTER_BYTES, 1 << 40], ids=["stuck", "slow"])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("body_bytes", [150_000, 740_000, 1_500_000])
def test_upload_that_its_backend_does_not_take_is_answered_in_time(
    tmp_path: Path, limit: int, chunked: bool, body_bytes: int
) -> None:
    """Guards against a final answer seconds late: the last byte lies unread while reading is paused."""

    async def upload(folder: Path) -> None:
        backend = SlowReadingBackend("b0", SLOW_READ_BYTES_PER_S, limit)
        async with running_listener(folder, backend) as listener:
            loop, peer = asyncio.get_running_loop(), Peer()
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, body_bytes)
            await peer.connect(listener)
            await loop.sock_sendall(peer.sock, framed(body_bytes, chunked))
            written_at = loop.time()
            answer = await asyncio.wait_for(loop.sock_recv(peer.sock, 1000), 20)
            assert loop.time() - written_at < TIMEOUT_S + MAX_OVERRUN_S + ALLOWED_DELAY_S
            assert answer.split(b" ")[1] in (b"502", b"503")
            assert not listener.node.requests.pending_count
            peer.sock.close()

    on_uvloop(upload)(tmp_path)


@pytest.mark.usefixtures("small_send_buffers")
def test_upload_with_time_left_is_passed_on_whole(tmp_path: Path) -> None:
    """A backend that takes the body within the time of the request gets all of it."""

    async def upload(folder: Path) -> None:
        backend = SlowReadingBackend("b0", 1_000_000, 1 << 40)
        async with running_listener(folder, backend) as listener:
            loop, peer = asyncio.get_running_loop(), Peer()
            await peer.connect(listener)
            await loop.sock_sendall(peer.sock, framed(250_000, False))
            await asyncio.wait_for(loop.sock_recv(peer.sock, 1000), 20)
            assert backend.received > 250_000

    on_uvloop(upload)(tmp_path)


async def test_slow_client_of_a_fast_backend_has_its_whole_time(tmp_path: Path) -> None:
    """The time counts from the last byte, however long the client writes."""
    backend = SlowReadingBackend("b0", 1e8, 1 << 40)
    async with running_node(tmp_path, backend) as rig:
        client, loop = await rig.connect(), asyncio.get_running_loop()
        text = framed(300_000, False)
        for begin in range(0, len(text), 30_000):
            client.writer.write(text[begin : begin + 30_000])
            await asyncio.sleep(2 * TIMEOUT_S / 10)
        written_at = loop.time()
        assert (await client.read_response()).status == 502
        assert 0.5 * TIMEOUT_S < loop.time() - written_at < TIMEOUT_S + MAX_OVERRUN_S


class UnreachableBackend(Backend):
    """Fake backend whose machine drops what would open a connection, as long as its queue is full."""

    async def start(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(3)]
        for filler in self.fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.listener.getsockname())
        await asyncio.sleep(0.05)

    def stop(self) -> None:
        for sock in (*self.fillers, self.listener):
            sock.close()


class BodyCountingBackend(Backend):
    """Fake backend that answers an upload with the number of bytes that its body has."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            writer.write(http_response(b"%d" % len(await reader.readexactly(length))))


class LateBackend(BodyCountingBackend):
    """Fake backend whose connections come up once the kernel tries again to open them, after 1 s."""

    async def start(self) -> None:
        self.gate = UnreachableBackend("gate")
        await self.gate.start()
        self.port = self.gate.port
        self.opening = asyncio.create_task(self._open())

    async def _open(self) -> None:
        await asyncio.sleep(0.5)
        for filler in self.gate.fillers:
            filler.close()
        self.server = await asyncio.start_server(self._serve, sock=self.gate.listener)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
async def test_upload_whose_backends_cannot_be_reached_is_answered_in_time(
    tmp_path: Path, chunked: bool
) -> None:
    """Guards against a final answer seconds late: connections that never come up, one behind the other."""
    backends = [UnreachableBackend(f"b{number}") for number in range(4)]
    async with running_node(tmp_path, *backends) as rig:
        client, loop = await rig.connect(), asyncio.get_running_loop()
        client.writer.write(framed(300_000, chunked))
        await client.writer.drain()
        written_at = loop.time()
        assert (await client.read_response()).status == 503
        assert loop.time() - written_at < TIMEOUT_S + MAX_OVERRUN_S + ALLOWED_DELAY_S


async def test_time_of_an_upload_does_not_pass_while_its_client_pauses(tmp_path: Path) -> None:
    """Guards against a clock that runs on although all that has come was read."""
    body_bytes = 250_000
    async with running_node(tmp_path, BodyCountingBackend("b0")) as rig:
        client = await rig.connect()
        text = framed(body_bytes, False)
        client.writer.write(text[:66_000])  # All of this is read before the first pause.
        await asyncio.sleep(1.5 * TIMEOUT_S)
        client.writer.write(text[66_000:])
        answer = await client.read_response()
        assert (answer.status, answer.body) == (200, b"%d" % body_bytes)


async def test_upload_that_is_still_written_waits_for_a_connection_that_comes_up_late(
    tmp_path: Path,
) -> None:
    """The time of a request whose last byte has not been written does not pass, whatever waits for it."""
    body_bytes, rate = 250_000, 100_000
    limits = {"connect-timeout": 3000}
    async with running_node(tmp_path, LateBackend("b0"), limits=limits) as rig:
        client = await rig.connect()
        text = framed(body_bytes, False)
        for begin in range(0, len(text), rate // 20):
            client.writer.write(text[begin : begin + rate // 20])
            await asyncio.sleep(0.05)
        answer = await client.read_response()
        assert (answer.status, answer.body) == (200, b"%d" % body_bytes)
