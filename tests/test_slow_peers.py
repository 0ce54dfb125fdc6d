"""Test that long bodies reach peers that read slowly, whatever else wants their connections closed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from balancer.net import backend_connection, client_connection, response_delivery
from balancer.net.attempt import Attempt
from balancer.net.client_connection import ClientConnection
from balancer.net.connection_limits import overflow_limit
from balancer.net.listener import DELIVERY_POLL_INTERVAL_S, Listener
from balancer.net.stream import MAX_BUFFERED_BODY_BYTES
from tests.sockets import Backend, Message, Respond, http_response
from tests.test_closing import READ, UP, UP_RESPONSE, Peer, on_uvloop, running_listener

LIMIT = 4
BODY = bytes(range(256)) * 800  # More than the buffers of the kernel and the transport hold here.
SMALL_BUFFER_BYTES = 8192
STALL_TIMEOUT_S = 0.8
CHECK_INTERVAL_S = 0.02
# A peer that reads at this rate empties the buffer of a connection in more than STALL_TIMEOUT_S.
SLOW_READ_BYTES = 4096
SLOW_READ_INTERVAL_S = 0.08
HTTP_1_0 = b"GET /read HTTP/1.0\r\nRequest-Id: %d\r\n\r\n"
CLOSE = READ.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


async def send_body(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Respond with `BODY`."""
    writer.write(http_response(BODY))


async def send_body_without_length(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Respond with `BODY` and mark its end by closing the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + BODY)
    writer.close()


@dataclass
class SlowReader:
    """A client that has been sent a response and has read only a part of it."""

    peer: Peer
    connection: ClientConnection
    received: bytes = b""

    async def read_some(self, size: int) -> bool:
        """Read up to `size` bytes; return False at the end of the connection."""
        data = await asyncio.get_running_loop().sock_recv(self.peer.sock, size)
        self.received += data
        return bool(data)

    async def read_until_backend_is_done(self) -> None:
        """Read until the node has received the whole response from the backend."""
        while self.connection.request_id is not None:
            await self.read_some(1000)
        assert self.connection.transport is not None
        assert self.connection.transport.get_write_buffer_size() > 0

    async def read_rest(self) -> bytes:
        """Read the rest of the response and return its body."""
        while not self.received.endswith(BODY) and await self.read_some(4096):
            pass
        return self.received.partition(b"\r\n\r\n")[2]


async def slow_reader(
    listener: Listener, request: bytes, send_buffer_bytes: int = SMALL_BUFFER_BYTES
) -> SlowReader:
    """Connect a client with small buffers, and send its request."""
    peer = Peer(window=SMALL_BUFFER_BYTES)
    connection = await peer.connect(listener)
    assert connection.transport is not None
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    peer.sock.send(request)
    while connection.request_id is None:
        await asyncio.sleep(0)
    return SlowReader(peer, connection)


async def crowd(listener: Listener, count: int) -> list[Peer]:
    """Connect idle clients; the node may close any of them."""
    peers = [Peer() for _ in range(count)]
    for peer in peers:
        before = listener.node.counts["connected"]
        await asyncio.get_running_loop().sock_connect(peer.sock, listener.address)
        while listener.node.counts["connected"] == before:
            await asyncio.sleep(0)
        open_count = len(listener.connections) + len(listener.lingering)
        assert open_count <= LIMIT + overflow_limit(LIMIT)
    return peers


@pytest.mark.parametrize("half_closes", [False, True], ids=["", "half-closed"])
@pytest.mark.parametrize("reader_count", [1, LIMIT])
@pytest.mark.parametrize("request_text", [READ, CLOSE, HTTP_1_0], ids=["kept", "last", "no length"])
def test_crowd_of_idle_clients_does_not_cut_off_responses(
    tmp_path: Path, request_text: bytes, reader_count: int, half_closes: bool
) -> None:
    """Guards against closing a connection with unsent bytes of a response to make room for new ones."""

    async def check(tmp: Path) -> None:
        respond = send_body_without_length if request_text is HTTP_1_0 else send_body
        async with running_listener(tmp, Backend("b0", respond), limit=LIMIT) as listener:
            readers = [await slow_reader(listener, request_text % i) for i in range(reader_count)]
            for reader in readers:
                await reader.read_until_backend_is_done()
                if half_closes:
                    reader.peer.sock.shutdown(socket.SHUT_WR)
            peers = await crowd(listener, 3 * LIMIT)
            for reader in readers:
                assert await reader.read_rest() == BODY
            for peer in peers + [reader.peer for reader in readers]:
                peer.sock.close()

    on_uvloop(check)(tmp_path)


async def _kernel_still_sends(tmp: Path) -> None:
    """A connection whose response is still in the kernel is ended after those that have nothing to send."""
    async with running_listener(tmp, Backend("b0", send_body), limit=LIMIT) as listener:
        reader = await slow_reader(listener, READ % 1, send_buffer_bytes=2 * len(BODY))
        while reader.connection.request_id is not None or reader.connection.is_sending:
            await asyncio.sleep(0)
        peers = await crowd(listener, 3 * LIMIT)
        assert not reader.connection.is_closing
        assert await reader.read_rest() == BODY
        for peer in [reader.peer, *peers]:
            peer.sock.close()


test_connection_whose_response_is_in_the_kernel_is_ended_last = on_uvloop(_kernel_still_sends)


async def _newcomers_are_served_again(tmp: Path) -> None:
    """New clients are refused while all connections still send responses, and served once these are read."""
    async with running_listener(tmp, Backend("b0", send_body), limit=LIMIT) as listener:
        count = LIMIT + overflow_limit(LIMIT)
        readers = []
        for number in range(count):
            readers.append(await slow_reader(listener, READ % number))
            await readers[-1].read_until_backend_is_done()
        (refused,) = await crowd(listener, 1)
        with contextlib.suppress(ConnectionResetError):
            assert await refused.read(1) == b""
        assert listener.node.counts["client_turned_away"] == 1
        for reader in readers:
            assert await reader.read_rest() == BODY
        newcomer = Peer()
        await newcomer.connect(listener)
        newcomer.sock.send(UP)
        assert await newcomer.read(len(UP_RESPONSE)) == UP_RESPONSE
        for peer in [refused, newcomer] + [reader.peer for reader in readers]:
            peer.sock.close()


test_new_clients_are_served_once_responses_are_read = on_uvloop(_newcomers_are_served_again)


# --- clients that read slowly or nothing


@contextlib.asynccontextmanager
async def client_past_its_response(
    tmp: Path, request: bytes, respond: Respond = send_body
) -> AsyncIterator[tuple[Listener, SlowReader]]:
    """Run a node with a client whose backend has sent its whole response."""
    async with running_listener(tmp, Backend("b0", respond), limit=LIMIT) as listener:
        reader = await slow_reader(listener, request)
        await reader.read_until_backend_is_done()
        yield listener, reader
        reader.peer.sock.close()


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the times after which a peer that reads nothing is disconnected."""
    monkeypatch.setattr(response_delivery, "WRITE_STALL_TIMEOUT_S", STALL_TIMEOUT_S)
    monkeypatch.setattr(response_delivery, "DELIVERY_CHECK_INTERVAL_S", CHECK_INTERVAL_S)
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", CHECK_INTERVAL_S)
    monkeypatch.setattr(backend_connection, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)
    monkeypatch.setattr(backend_connection, "STALL_CHECK_INTERVAL_S", CHECK_INTERVAL_S)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("half_closes", [False, True], ids=["", "half-closed"])
@pytest.mark.parametrize("request_text", [READ, CLOSE], ids=["kept", "last"])
def test_client_that_reads_nothing_of_a_finished_response_is_disconnected(
    tmp_path: Path, request_text: bytes, half_closes: bool
) -> None:
    """Guards against connections that stay forever because their client does not read."""

    async def check(tmp: Path) -> None:
        async with client_past_its_response(tmp, request_text % 1) as (listener, reader):
            if half_closes:
                reader.peer.sock.shutdown(socket.SHUT_WR)
            while listener.connections or listener.lingering:
                await asyncio.sleep(0.01)
            assert listener.node.counts["client_answer_cut_off"] == 1
            assert listener.node.memory.stream_count == 0

    on_uvloop(check)(tmp_path)


async def _client_resets(tmp: Path) -> None:
    """A client that resets its connection below a finished response leaves nothing behind."""
    async with client_past_its_response(tmp, READ % 1) as (listener, reader):
        reader.peer.reset()
        while listener.connections or listener.lingering:
            await asyncio.sleep(0.01)
        assert listener.node.memory.stream_count == 0
        assert listener.node.counts["client_answer_cut_off"] == 0


test_client_that_resets_below_a_finished_response_releases_its_memory = on_uvloop(_client_resets)


async def _memory_is_held(tmp: Path) -> None:
    """A finished response counts in the budget of the streams as long as a part of it is buffered."""
    async with client_past_its_response(tmp, READ % 1) as (listener, reader):
        memory = listener.node.memory
        assert memory.stream_count == 1
        assert await reader.read_rest() == BODY
        while memory.stream_count:
            await asyncio.sleep(CHECK_INTERVAL_S)
        reader.received = b""
        reader.peer.sock.send(READ % 2)
        await asyncio.sleep(0)
        assert await reader.read_rest() == BODY
        assert memory.stream_count <= 1


@pytest.mark.usefixtures("short_timeouts")
def test_finished_response_counts_in_the_memory_budget_until_it_is_sent(tmp_path: Path) -> None:
    """Guards against buffers of slow clients that add up beyond the memory planned for streams."""
    on_uvloop(_memory_is_held)(tmp_path)


async def _process_ends(tmp: Path) -> None:
    """The process stays until a finished response is sent, even past its time, and no longer."""
    async with client_past_its_response(tmp, READ % 1) as (listener, reader):
        listener.stop()
        await listener.close(0.0)
        waiting = asyncio.ensure_future(listener.wait_until_delivered())
        await asyncio.sleep(2 * DELIVERY_POLL_INTERVAL_S)
        assert not waiting.done()
        assert await reader.read_rest() == BODY
        await waiting


test_process_stays_until_a_finished_response_is_sent = on_uvloop(_process_ends)


async def _process_ends_below_a_response_without_length(tmp: Path) -> None:
    """A client sees at the end of the process that its response without length is not whole."""
    async with client_past_its_response(tmp, HTTP_1_0 % 1, send_body_without_length) as (listener, reader):
        listener.stop()
        await listener.close(0.0)
        await listener.wait_until_delivered()
        with pytest.raises(ConnectionResetError):
            await reader.read_rest()


test_unsent_response_without_length_is_reset_at_the_end_of_the_process = on_uvloop(
    _process_ends_below_a_response_without_length
)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("request_text", [READ, CLOSE], ids=["kept", "last"])
def test_client_that_half_closes_below_a_finished_response_gets_all_of_it(
    tmp_path: Path, request_text: bytes
) -> None:
    """Guards against taking the end of the requests for the end of the client."""

    async def check(tmp: Path) -> None:
        async with client_past_its_response(tmp, request_text % 1) as (_, reader):
            reader.peer.sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(5 * CHECK_INTERVAL_S)
            assert await reader.read_rest() == BODY

    on_uvloop(check)(tmp_path)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("request_text", [READ, CLOSE], ids=["kept", "last"])
def test_client_that_reads_slowly_gets_its_whole_response(tmp_path: Path, request_text: bytes) -> None:
    """Guards against a time limit on the rest of a response that is being read."""

    async def check(tmp: Path) -> None:
        async with running_listener(tmp, Backend("b0", send_body), limit=LIMIT) as listener:
            reader = await slow_reader(listener, request_text % 1)
            while len(reader.received) < len(BODY):  # Takes several times as long as the time limit.
                await reader.read_some(SLOW_READ_BYTES)
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            assert await reader.read_rest() == BODY
            reader.peer.sock.close()

    on_uvloop(check)(tmp_path)


async def _requests_follow_a_finished_stream(tmp: Path) -> None:
    """No requests are read from a client that has not read its streamed response, although that is over."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        # The second read of the node fills the buffer over its limit and completes the response.
        writer.write(http_response(bytes(2 * MAX_BUFFERED_BODY_BYTES - 1000)))

    async with running_listener(tmp, Backend("b0", respond), limit=LIMIT) as listener:
        reader = await slow_reader(listener, READ % 1)
        transport = reader.connection.transport
        assert transport is not None
        while reader.connection.request_id is not None:
            await asyncio.sleep(0)
        unsent_bytes = transport.get_write_buffer_size()
        for _ in range(20):
            with contextlib.suppress(BlockingIOError):
                reader.peer.sock.send(UP * 1000)
            await asyncio.sleep(0.005)
        assert transport.get_write_buffer_size() <= unsent_bytes
        reader.peer.sock.close()


test_requests_behind_an_unread_streamed_response_are_not_read = on_uvloop(_requests_follow_a_finished_stream)


async def _client_sends_while_it_reads(tmp: Path) -> None:
    """The last response is complete for a client that reads it slowly and sends more meanwhile."""
    async with running_listener(tmp, Backend("b0", send_body), limit=LIMIT) as listener:
        reader = await slow_reader(listener, CLOSE % 1, send_buffer_bytes=2 * len(BODY))
        while not reader.connection.is_closing:
            await asyncio.sleep(0)
        while len(reader.received) < len(BODY):
            with contextlib.suppress(OSError):
                reader.peer.sock.send(b"x" * 100)
            assert await reader.read_some(4096)
            await asyncio.sleep(0.005)
        assert await reader.read_rest() == BODY
        reader.peer.sock.close()


@pytest.mark.usefixtures("short_timeouts")
def test_last_response_is_complete_for_a_slow_client_that_keeps_sending(tmp_path: Path) -> None:
    """Guards against a close while the client still receives: its next bytes would reset the connection."""
    on_uvloop(_client_sends_while_it_reads)(tmp_path)


# --- backends that read slowly


class SlowBackend(Backend):
    """A backend with a small receive buffer that reads a long request body slowly, then responds."""

    async def start(self) -> None:
        """Start listening."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.serving = asyncio.ensure_future(self._serve_one())

    def stop(self) -> None:
        """Stop listening."""
        self.serving.cancel()
        self.sock.close()

    async def _serve_one(self) -> None:
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.sock)
        with sock:
            received = b""
            while not received.endswith(BODY) and (data := await loop.sock_recv(sock, SLOW_READ_BYTES)):
                received += data
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            if received.endswith(BODY):
                await loop.sock_sendall(sock, http_response(b"done"))


async def _backend_reads_an_upload_slowly(tmp: Path) -> None:
    """An attempt whose backend reads a long body slowly, but without a pause, does not fail."""
    async with running_listener(tmp, SlowBackend("b0")) as listener:
        loop, peer = asyncio.get_running_loop(), Peer()
        connection = await peer.connect(listener)
        await loop.sock_sendall(peer.sock, UPLOAD_HEAD)
        sending = asyncio.ensure_future(loop.sock_sendall(peer.sock, BODY))
        while (attempt := started_attempt(listener)) is None or attempt.connection is None:
            await asyncio.sleep(0)
        while (sock := attempt.connection.socket) is None:
            await asyncio.sleep(0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        response = await peer.read(1)
        assert connection.request_id is None
        response += await peer.read(len(b"HTTP/1.1 200 OK") - 1)
        assert response == b"HTTP/1.1 200 OK"
        await sending
        peer.sock.close()


UPLOAD_HEAD = b"POST /once HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n" % len(BODY)


def started_attempt(listener: Listener) -> Attempt | None:
    """Return the attempt of the only open request, or None before it has begun."""
    for request in listener.node.requests.open.values():
        for attempt in request.attempts:
            return attempt.attempt
    return None


@pytest.mark.usefixtures("short_timeouts")
def test_backend_that_reads_an_upload_slowly_gets_all_of_it(tmp_path: Path) -> None:
    """Guards against an attempt that fails as stalled because the kernel takes no more bytes for a while."""
    on_uvloop(_backend_reads_an_upload_slowly)(tmp_path)
