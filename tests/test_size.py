"""Test streaming of long request and response bodies: flow control, memory, truncation, deadlines."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.net.stream import (
    MAX_BODY_BYTES,
    MAX_REPLAY_BYTES,
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    StreamMemory,
    Upload,
)
from tests.helpers import BASE, answers, node, sends
from tests.sockets import (
    LONG_DEADLINES,
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Message,
    Rig,
    http_response,
    running_node,
)
from tests.test_console import CONSOLE
from tests.test_node import respond_with

MIB = 1024 * 1024
CHUNK_64_KIB = bytes(range(256)) * 256
OK = b"HTTP/1.1 200 OK\r\n"


# --- buffering of uploads and the memory budget


def test_upload_can_be_replayed_while_its_prefix_is_buffered() -> None:
    memory = StreamMemory(192.0)
    flow: list[bool] = []
    upload = Upload(None, memory, flow.append)
    upload.feed(b"a" * MAX_REPLAY_BYTES)
    assert flow == [False]  # Without an attempt that takes the bytes, the client is paused.
    upload.attach(lambda: None)
    assert len(upload.take()) == MAX_REPLAY_BYTES and flow == [False, True] and not upload.is_prefix_dropped
    upload.attach(lambda: None)
    upload.feed(b"b")
    assert upload.take() == b"a" * MAX_REPLAY_BYTES + b"b" and upload.is_prefix_dropped
    upload.discard()
    upload.feed(b"c")
    assert upload.take() == b"" and memory.stream_count == 0


def test_streams_share_one_memory_budget() -> None:
    memory = StreamMemory(80.0)
    assert memory.window_bytes == MAX_WINDOW_BYTES
    memory.stream_count = 200
    assert 200 * memory.window_bytes * 2 <= 80 * MIB / 2 and memory.window_bytes >= MIN_WINDOW_BYTES
    assert len(memory.read_buffer()) == memory.window_bytes
    assert StreamMemory(32.0).window_bytes == MIN_WINDOW_BYTES


# --- decisions of the balancer


def test_pending_upload_is_not_in_flight_and_its_deadline_starts_with_its_last_byte() -> None:
    balancer = node(BASE, ["b0", "b1"])
    balancer.limit.limit = 1.0
    acts = balancer.handle(1001.0, api.RequestArrived("long", "read", 2001.0, body_pending=True))
    assert len(sends(acts)) == 1 and balancer.limit.in_flight == 0
    assert len(sends(balancer.handle(1002.0, api.RequestArrived("short", "read", 2002.0)))) == 1
    balancer.handle(9000.0, api.RequestBodyReceived("long", 10_000.0))
    assert balancer.limit.in_flight == 2
    balancer.limit.limit = 9.0
    # The connection was lost before the last byte was sent, and there is time for a retry.
    ended = api.AttemptEnded("long", 0, sends(acts)[0].backend, api.AttemptStatus.CONNECT_FAILED, 1.0, False)
    retry = balancer.handle(9010.0, ended)
    assert len(sends(retry)) == 1 and balancer.limit.in_flight == 2


def test_request_that_cannot_be_replayed_is_not_retried() -> None:
    for status, kind in (
        (api.AttemptStatus.CONNECT_FAILED, api.RejectRequest),
        (api.AttemptStatus.RESET, api.FailRequest),
    ):
        balancer = node(BASE, ["b0", "b1"])
        acts = balancer.handle(1001.0, api.RequestArrived("r", "once", 2001.0, body_pending=True))
        ended = api.AttemptEnded("r", 0, sends(acts)[0].backend, status, 1.0, False, not_replayable=True)
        got = balancer.handle(1002.0, ended)
        assert [type(a) for a in answers(got)] == [kind] and not sends(got)


def test_streamed_response_is_not_in_flight_and_ends_once() -> None:
    balancer = node(replace(BASE, max_attempts=3), ["b0", "b1"])
    sent = sends(balancer.handle(1001.0, api.RequestArrived("r", "read", 2001.0)))[0]
    balancer.handle(1031.0, api.ResponseStarted("r", 0, sent.backend, 30.0))
    b = balancer.index.records[sent.backend]
    assert (balancer.limit.in_flight, b.in_flight) == (0, 0) and "r" in balancer.requests.by_id
    broken = api.AttemptEnded("r", 0, sent.backend, api.AttemptStatus.RESET, 5000.0, True)
    assert not balancer.handle(6000.0, broken)
    assert (balancer.limit.in_flight, b.in_flight, b.ejected_until > 6000.0) == (
        0,
        0,
        True,
    ) and not balancer.requests.by_id


# --- streaming over sockets


async def read_response_of_any_framing(reader: asyncio.StreamReader) -> Message:
    """Read a response delimited by chunks, Content-Length or the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    if "content-length" in headers:
        return Message(start, headers, await reader.readexactly(int(headers["content-length"])))
    if "transfer-encoding" not in headers:
        return Message(start, headers, await reader.read())
    body = bytearray()
    while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return Message(start, headers, bytes(body))


Respond = Callable[[Backend, Message, asyncio.StreamWriter], Awaitable[None]]


def respond_in_pieces(size: int, head: bytes, chunked: bool = False, end: bool = False) -> Respond:
    """Respond with a body of `size` bytes, written in pieces."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + head + b"\r\n")
        remaining = size
        while remaining:
            piece = CHUNK_64_KIB[: min(remaining, len(CHUNK_64_KIB))]
            remaining -= len(piece)
            writer.write(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\nTrailer: x\r\n\r\n")
        if end:
            writer.close()

    return respond


async def request_streamed(client: Client, target: str = "/read", *headers: str) -> Message:
    """Send a request and read its response, whatever its length and framing."""
    client.send(target, *headers)
    return await asyncio.wait_for(read_response_of_any_framing(client.reader), WAIT_TIMEOUT_S)


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 5_000_000])
@pytest.mark.parametrize("form", ["length", "chunked", "end"])
async def test_responses_of_any_size_and_framing_are_complete(tmp_path: Path, size: int, form: str) -> None:
    head = {"length": b"Content-Length: %d\r\n" % size, "chunked": b"transfer-encoding: Chunked\r\n"}
    backend = Backend("b0", respond_in_pieces(size, head.get(form, b""), form == "chunked", form == "end"))
    async with running_node(tmp_path, backend, console=CONSOLE) as rig:
        client = await rig.connect()
        for _ in range(2):
            got = await request_streamed(client)
            assert got.status == 200 and got.body == (CHUNK_64_KIB * (size // len(CHUNK_64_KIB) + 1))[:size]
        assert "connection" not in got.headers
        assert backend.connection_count == (2 if form == "end" else 1)
        figures = await rig.stats()
        assert figures["completed"]["read"] == 2 and figures["pending"] == 0


async def test_fake_backend_stops_after_a_connection_closed_with_unsent_bytes() -> None:
    """Guards the fake backend: on a busy machine it aborted a closed connection, whose loop was None."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"\r\n" + CHUNK_64_KIB * 400)
        writer.close()  # Most of the response is still buffered in the transport.

    backend = Backend("b0", respond)
    await backend.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", backend.port)
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert len(await asyncio.wait_for(reader.read(-1), WAIT_TIMEOUT_S)) > 400 * len(CHUNK_64_KIB)
    writer.close()
    await asyncio.wait_for(backend.closed_connections.get(), WAIT_TIMEOUT_S)
    backend.stop()


async def test_first_bytes_of_a_long_response_are_forwarded_at_once(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        head = b"Transfer-Encoding: chunked" if "chunked" in message.start_line else b"Content-Length: 100000"
        first = b"5\r\nfirst\r\n" if "chunked" in message.start_line else b"first"
        writer.write(OK + head + b"\r\n\r\n" + first)
        await go.wait()
        writer.write(b"4\r\nlast\r\n0\r\n\r\n" if "chunked" in message.start_line else b"x" * 99_995)

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE, **LONG_DEADLINES) as rig:
        for target in ("/read", "/read?chunked"):
            go.clear()
            client = await rig.connect()
            client.send(target)
            assert await asyncio.wait_for(client.reader.readuntil(b"first"), WAIT_TIMEOUT_S)
            assert (await rig.stats())["pending"] == 1
            go.set()
            end = b"last" if "chunked" in target else b"x" * 9000
            assert await asyncio.wait_for(client.reader.readuntil(end), WAIT_TIMEOUT_S)


async def test_truncated_long_response_is_visible_to_the_client(tmp_path: Path) -> None:
    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if "end" in message.start_line:
            writer.write(OK + b"\r\n" + CHUNK_64_KIB * 2)
        elif "chunked" in message.start_line:
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n10000\r\n" + CHUNK_64_KIB + b"\r\n10\r\nx")
        else:
            writer.write(OK + b"Content-Length: 200000\r\n\r\n" + CHUNK_64_KIB)
        await writer.drain()
        sock = writer.get_extra_info("socket")
        # A linger time of 0 makes the abort send a reset.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE) as rig:
        for target in ("/read", "/read?chunked", "/read?end"):
            client = await rig.connect()
            client.send(target)
            # The client sees a clean close before the end that the head announced.
            with pytest.raises(asyncio.IncompleteReadError):
                await asyncio.wait_for(read_response_of_any_framing(client.reader), WAIT_TIMEOUT_S)
        assert (await rig.stats())["failed"]["read"] == 3


async def test_slow_client_pauses_the_backend_and_memory_is_bounded(tmp_path: Path) -> None:
    written = [0]

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
        for _ in range(MAX_BODY_BYTES // len(CHUNK_64_KIB)):
            writer.write(CHUNK_64_KIB)
            written[0] += len(CHUNK_64_KIB)
            await writer.drain()

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE, **LONG_DEADLINES) as rig:
        clients = [await rig.connect() for _ in range(8)]
        for client in clients:
            client.send("/read")
        for client in clients:
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        before = -1
        while written[0] != before:  # The backend writes until all buffers are full.
            before = written[0]
            await asyncio.sleep(0.3)
        assert written[0] < 8 * MAX_BODY_BYTES
        assert _memory_mb(rig) < 40
        for client in clients:
            digest = hashlib.sha256()
            for _ in range(MAX_BODY_BYTES // len(CHUNK_64_KIB)):
                digest.update(
                    await asyncio.wait_for(client.reader.readexactly(len(CHUNK_64_KIB)), WAIT_TIMEOUT_S)
                )
            assert (
                digest.digest()
                == hashlib.sha256(CHUNK_64_KIB * (MAX_BODY_BYTES // len(CHUNK_64_KIB))).digest()
            )
        assert (await rig.stats())["completed"]["read"] == 8
        assert _memory_mb(rig) < 40


def _memory_mb(rig: Rig) -> float:
    pages = int(Path(f"/proc/{rig.process.pid}/statm").read_text().split()[1])
    return pages * 4096 / MIB


def record_body(bodies: list[bytes], response: bytes = http_response(b"done")) -> Respond:
    """Read a request body of any framing, append it to `bodies`, and respond."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        body = bytearray(message.body)
        if "transfer-encoding" in message.headers:
            reader = backend.readers[-1]
            while size := int(await reader.readuntil(b"\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        bodies.append(bytes(body))
        writer.write(response)

    return respond


def upload_head(size: int | None, name: str = "1", *more: str) -> bytes:
    """Return the head of a request with a body of `size` bytes, or a chunked one if that is None."""
    framing = "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    lines = ["POST /once HTTP/1.1", "Host: a", f"Request-Id: {name}", framing, *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [10, 65_536, 65_537, 3_000_000])
async def test_request_bodies_of_any_size_and_framing_are_complete(
    tmp_path: Path, size: int, chunked: bool
) -> None:
    got: list[bytes] = []
    body = (CHUNK_64_KIB * (size // len(CHUNK_64_KIB) + 1))[:size]
    backend = Backend("b0", record_body(got))
    async with running_node(tmp_path, backend, console=CONSOLE, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        for name in ("1", "2"):
            client.writer.write(upload_head(None if chunked else size, name))
            for at in range(0, size, 50_000):
                piece = body[at : at + 50_000]
                client.writer.write(b"%X;a=b\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
                await client.writer.drain()
            if chunked:
                client.writer.write(b"0\r\nRequest-Id: 77\r\n\r\n")
            answered = await client.read_response()
            assert (answered.status, answered.body) == (200, b"done") and got.pop() == body
            assert (await backend.requests.get()).headers["request-id"] == name
        assert backend.connection_count == 1
        assert (await rig.stats())["upstream_requests"] == 2


async def test_deadline_of_a_slow_upload_starts_with_its_last_byte(tmp_path: Path) -> None:
    """Guards against deadlines that count from the first byte of a request."""

    got: list[bytes] = []
    classes = [{"name": "once", "effect": "fragile", "give-up": 1000, "objective": 900}]
    async with running_node(tmp_path, Backend("b0", record_body(got)), **{"request-classes": classes}) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(4 * len(CHUNK_64_KIB)))
        for _ in range(4):
            client.writer.write(CHUNK_64_KIB)
            await asyncio.sleep(0.3)
        assert (await client.read_response()).status == 200 and got == [CHUNK_64_KIB * 4]


async def test_long_upload_is_retried_while_its_prefix_is_buffered(tmp_path: Path) -> None:
    got: list[bytes] = []
    dead, alive = Backend("b0"), Backend("b1", record_body(got))
    async with running_node(tmp_path, dead, alive, **LONG_DEADLINES) as rig:
        dead.stop()
        for name in range(8):  # About half of the requests go to the stopped backend first.
            client = await rig.connect()
            client.writer.write(upload_head(100_000, str(name)) + b"y" * 100_000)
            assert (await client.read_response()).status == 200
        assert got == [b"y" * 100_000] * 8


async def test_aborted_or_malformed_upload_ends_its_attempt(tmp_path: Path) -> None:
    backend = Backend("b0", record_body([]))
    async with running_node(tmp_path, backend, console=CONSOLE, **LONG_DEADLINES) as rig:
        aborting, malformed = await rig.connect(), await rig.connect()
        aborting.writer.write(upload_head(1_000_000) + CHUNK_64_KIB * 2)
        await asyncio.sleep(0)
        while (await rig.stats())["pending"] == 0:
            pass
        aborting.writer.transport.abort()
        await backend.closed_connections.get()
        malformed.writer.write(upload_head(None, "2") + b"20000\r\n" + CHUNK_64_KIB * 2 + b"\r\nnonsense\r\n")
        assert (await malformed.read_response()).status == 400
        assert await malformed.read_until_closed() == b""
        await backend.closed_connections.get()
        figures = await rig.stats()
        assert (figures["pending"], figures["upstream_requests"]) == (0, 0)


async def test_stalled_upload_gets_status_408(tmp_path: Path) -> None:
    backend = Backend("b0", respond_with(b""))
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(1_000_000) + CHUNK_64_KIB + b"more")
        assert (await client.read_response()).status == 408
        assert await client.read_until_closed() == b""
        await backend.closed_connections.get()


async def test_rejection_reaches_a_client_that_is_still_sending(tmp_path: Path) -> None:
    async with running_node(tmp_path, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(3_000_000))
        for _ in range(46):
            client.writer.write(CHUNK_64_KIB[:65_000])
            await client.writer.drain()
        client.writer.write(b"z" * (3_000_000 - 46 * 65_000))
        got = await client.read_response()
        assert got.status == 503 and got.headers["connection"] == "close"
        assert await client.read_until_closed() == b""


async def test_client_that_expects_100_continue_gets_it(tmp_path: Path) -> None:
    got: list[bytes] = []
    async with running_node(tmp_path, Backend("b0", record_body(got)), **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(3, "1", "Expect: 100-continue"))
        interim = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        assert interim.startswith(b"HTTP/1.1 100 ")
        client.writer.write(b"abc")
        assert (await client.read_response()).status == 200 and got == [b"abc"]


async def test_absolute_form_target_and_http_1_0_are_supported(tmp_path: Path) -> None:
    """An absolute-form target is forwarded without its host; an HTTP/1.0 client gets no chunked encoding."""

    backend = Backend("b0", respond_in_pieces(100_000, b"Transfer-Encoding: chunked\r\n", True))
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(b"GET http://api.internal/read/1?a=b HTTP/1.0\r\nRequest-Id: 1\r\n\r\n")
        got = await asyncio.wait_for(read_response_of_any_framing(client.reader), WAIT_TIMEOUT_S)
        assert len(got.body) == 100_000 and "transfer-encoding" not in got.headers
        assert (await backend.requests.get()).start_line == "GET /read/1?a=b HTTP/1.1"
