"""Long bodies and answers: passed on as they come, no faster than peers take them, and broken visibly."""

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

MB = 1024 * 1024
PIECE = bytes(range(256)) * 256  # 64 KiB
OK = b"HTTP/1.1 200 OK\r\n"


# --- what is kept of a body, and how much


def test_a_long_body_can_go_out_again_while_its_first_bytes_are_held() -> None:
    memory = StreamMemory(192.0)
    flow: list[bool] = []
    upload = Upload(None, memory, flow.append)
    upload.feed(b"a" * MAX_REPLAY_BYTES)
    assert flow == [False]  # nobody takes it: the client waits
    upload.attach(lambda: None)
    assert len(upload.take()) == MAX_REPLAY_BYTES and flow == [False, True] and not upload.is_prefix_dropped
    upload.attach(lambda: None)
    upload.feed(b"b")
    assert upload.take() == b"a" * MAX_REPLAY_BYTES + b"b" and upload.is_prefix_dropped
    upload.discard()
    upload.feed(b"c")
    assert upload.take() == b"" and memory.stream_count == 0


def test_all_streams_share_one_budget() -> None:
    memory = StreamMemory(80.0)
    assert memory.window_bytes == MAX_WINDOW_BYTES
    memory.stream_count = 200
    assert 200 * memory.window_bytes * 2 <= 80 * MB / 2 and memory.window_bytes >= MIN_WINDOW_BYTES
    assert len(memory.read_buffer()) == memory.window_bytes
    assert StreamMemory(32.0).window_bytes == MIN_WINDOW_BYTES


# --- in the module


def test_a_body_that_comes_in_keeps_no_place_and_its_time_starts_with_its_last_byte() -> None:
    balancer = node(BASE, ["b0", "b1"])
    balancer.limit.limit = 1.0
    acts = balancer.handle(1001.0, api.RequestArrived("long", "read", 2001.0, body_pending=True))
    assert len(sends(acts)) == 1 and balancer.limit.in_flight == 0
    assert len(sends(balancer.handle(1002.0, api.RequestArrived("short", "read", 2002.0)))) == 1
    balancer.handle(9000.0, api.RequestBodyReceived("long", 10_000.0))
    assert balancer.limit.in_flight == 2
    balancer.limit.limit = 9.0
    # It broke before its last byte had left, and there is time: it goes out again.
    ended = api.AttemptEnded("long", 0, sends(acts)[0].backend, api.AttemptStatus.CONNECT_FAILED, 1.0, False)
    again = balancer.handle(9010.0, ended)
    assert len(sends(again)) == 1 and balancer.limit.in_flight == 2


def test_a_body_that_is_no_longer_held_is_given_up_at_once() -> None:
    for status, kind in (
        (api.AttemptStatus.CONNECT_FAILED, api.RejectRequest),
        (api.AttemptStatus.RESET, api.FailRequest),
    ):
        balancer = node(BASE, ["b0", "b1"])
        acts = balancer.handle(1001.0, api.RequestArrived("r", "once", 2001.0, body_pending=True))
        ended = api.AttemptEnded("r", 0, sends(acts)[0].backend, status, 1.0, False, not_replayable=True)
        got = balancer.handle(1002.0, ended)
        assert [type(a) for a in answers(got)] == [kind] and not sends(got)


def test_a_long_answer_frees_its_place_and_ends_once() -> None:
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


# --- over sockets


async def read_long(reader: asyncio.StreamReader) -> Message:
    """An answer whose body is chunked, of a stated length, or ends with its connection."""
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


def gives(size: int, head: bytes, chunked: bool = False, end: bool = False) -> Respond:
    """Answer with so many bytes, in pieces."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + head + b"\r\n")
        left = size
        while left:
            piece = PIECE[: min(left, len(PIECE))]
            left -= len(piece)
            writer.write(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\nTrailer: x\r\n\r\n")
        if end:
            writer.close()

    return respond


async def request_streamed(client: Client, target: str = "/read", *headers: str) -> Message:
    """A request with a long answer."""
    client.send(target, *headers)
    return await asyncio.wait_for(read_long(client.reader), WAIT_TIMEOUT_S)


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 5_000_000])
@pytest.mark.parametrize("form", ["length", "chunked", "end"])
async def test_answers_of_any_size_and_framing_come_whole(tmp_path: Path, size: int, form: str) -> None:
    head = {"length": b"Content-Length: %d\r\n" % size, "chunked": b"transfer-encoding: Chunked\r\n"}
    backend = Backend("b0", gives(size, head.get(form, b""), form == "chunked", form == "end"))
    async with running_node(tmp_path, backend, console=CONSOLE) as rig:
        client = await rig.connect()
        for _ in range(2):
            got = await request_streamed(client)
            assert got.status == 200 and got.body == (PIECE * (size // len(PIECE) + 1))[:size]
        assert "connection" not in got.headers
        assert backend.connection_count == (2 if form == "end" else 1)
        figures = await rig.stats()
        assert figures["completed"]["read"] == 2 and figures["pending"] == 0


async def test_a_backend_stops_after_a_connection_that_closed_with_bytes_to_send() -> None:
    """Guards the stand-in: on a busy machine it broke a connection that had long gone, whose loop is None."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"\r\n" + PIECE * 400)
        writer.close()  # with most of it still in the transport

    backend = Backend("b0", respond)
    await backend.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", backend.port)
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert len(await asyncio.wait_for(reader.read(-1), WAIT_TIMEOUT_S)) > 400 * len(PIECE)
    writer.close()
    await asyncio.wait_for(backend.closed_connections.get(), WAIT_TIMEOUT_S)
    backend.stop()


async def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_rest(tmp_path: Path) -> None:
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


async def test_a_long_answer_that_breaks_looks_broken(tmp_path: Path) -> None:
    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if "end" in message.start_line:
            writer.write(OK + b"\r\n" + PIECE * 2)
        elif "chunked" in message.start_line:
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n10000\r\n" + PIECE + b"\r\n10\r\nx")
        else:
            writer.write(OK + b"Content-Length: 200000\r\n\r\n" + PIECE)
        await writer.drain()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # a reset, no end
        writer.transport.abort()

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE) as rig:
        for target in ("/read", "/read?chunked", "/read?end"):
            client = await rig.connect()
            client.send(target)
            with pytest.raises(asyncio.IncompleteReadError):  # a clean end, short of what the head says
                await asyncio.wait_for(read_long(client.reader), WAIT_TIMEOUT_S)
        assert (await rig.stats())["failed"]["read"] == 3


async def test_a_slow_reader_holds_the_backend_back_and_memory_stays(tmp_path: Path) -> None:
    wrote = [0]

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
        for _ in range(MAX_BODY_BYTES // len(PIECE)):
            writer.write(PIECE)
            wrote[0] += len(PIECE)
            await writer.drain()

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE, **LONG_DEADLINES) as rig:
        clients = [await rig.connect() for _ in range(8)]
        for client in clients:
            client.send("/read")
        for client in clients:
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        before = -1
        while wrote[0] != before:  # until nobody takes any more
            before = wrote[0]
            await asyncio.sleep(0.3)
        assert wrote[0] < 8 * MAX_BODY_BYTES
        assert _memory_mb(rig) < 40
        for client in clients:
            digest = hashlib.sha256()
            for _ in range(MAX_BODY_BYTES // len(PIECE)):
                digest.update(await asyncio.wait_for(client.reader.readexactly(len(PIECE)), WAIT_TIMEOUT_S))
            assert digest.digest() == hashlib.sha256(PIECE * (MAX_BODY_BYTES // len(PIECE))).digest()
        assert (await rig.stats())["completed"]["read"] == 8
        assert _memory_mb(rig) < 40


def _memory_mb(rig: Rig) -> float:
    pages = int(Path(f"/proc/{rig.process.pid}/statm").read_text().split()[1])
    return pages * 4096 / MB


def body_reader(got: list[bytes], reply: bytes = http_response(b"done")) -> Respond:
    """Take a body by its length or chunked, then answer."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        body = bytearray(message.body)
        if "transfer-encoding" in message.headers:
            reader = backend.readers[-1]
            while size := int(await reader.readuntil(b"\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        got.append(bytes(body))
        writer.write(reply)

    return respond


def upload_head(size: int | None, name: str = "1", *more: str) -> bytes:
    """The head of a request with a body."""
    framing = "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    lines = ["POST /once HTTP/1.1", "Host: a", f"Request-Id: {name}", framing, *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [10, 65_536, 65_537, 3_000_000])
async def test_bodies_of_any_size_and_framing_arrive_whole(tmp_path: Path, size: int, chunked: bool) -> None:
    got: list[bytes] = []
    body = (PIECE * (size // len(PIECE) + 1))[:size]
    backend = Backend("b0", body_reader(got))
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


async def test_a_slow_body_has_all_the_time_it_needs_and_its_deadline_after_that(tmp_path: Path) -> None:
    """Guards against time limits that count from the first byte of a request."""

    got: list[bytes] = []
    classes = [{"name": "once", "effect": "fragile", "give-up": 1000, "objective": 900}]
    async with running_node(tmp_path, Backend("b0", body_reader(got)), **{"request-classes": classes}) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(4 * len(PIECE)))
        for _ in range(4):
            client.writer.write(PIECE)
            await asyncio.sleep(0.3)
        assert (await client.read_response()).status == 200 and got == [PIECE * 4]


async def test_a_long_body_goes_to_another_backend_while_its_prefix_is_held(tmp_path: Path) -> None:
    got: list[bytes] = []
    dead, alive = Backend("b0"), Backend("b1", body_reader(got))
    async with running_node(tmp_path, dead, alive, **LONG_DEADLINES) as rig:
        dead.stop()
        for name in range(8):  # about half of them draw the dead one first
            client = await rig.connect()
            client.writer.write(upload_head(100_000, str(name)) + b"y" * 100_000)
            assert (await client.read_response()).status == 200
        assert got == [b"y" * 100_000] * 8


async def test_a_body_that_breaks_off_or_makes_no_sense_ends_its_attempt(tmp_path: Path) -> None:
    backend = Backend("b0", body_reader([]))
    async with running_node(tmp_path, backend, console=CONSOLE, **LONG_DEADLINES) as rig:
        leaver, garbler = await rig.connect(), await rig.connect()
        leaver.writer.write(upload_head(1_000_000) + PIECE * 2)
        await asyncio.sleep(0)
        while (await rig.stats())["pending"] == 0:
            pass
        leaver.writer.transport.abort()
        await backend.closed_connections.get()
        garbler.writer.write(upload_head(None, "2") + b"20000\r\n" + PIECE * 2 + b"\r\nnonsense\r\n")
        assert (await garbler.read_response()).status == 400
        assert await garbler.read_until_closed() == b""
        await backend.closed_connections.get()
        figures = await rig.stats()
        assert (figures["pending"], figures["upstream_requests"]) == (0, 0)


async def test_a_body_that_stalls_gets_an_error_in_time(tmp_path: Path) -> None:
    backend = Backend("b0", respond_with(b""))
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(1_000_000) + PIECE + b"more")
        assert (await client.read_response()).status == 408
        assert await client.read_until_closed() == b""
        await backend.closed_connections.get()


async def test_a_refusal_reaches_a_client_that_still_sends(tmp_path: Path) -> None:
    async with running_node(tmp_path, **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(3_000_000))
        for _ in range(46):
            client.writer.write(PIECE[:65_000])
            await client.writer.drain()
        client.writer.write(b"z" * (3_000_000 - 46 * 65_000))
        got = await client.read_response()
        assert got.status == 503 and got.headers["connection"] == "close"
        assert await client.read_until_closed() == b""


async def test_a_client_that_waits_to_be_let_on_is(tmp_path: Path) -> None:
    got: list[bytes] = []
    async with running_node(tmp_path, Backend("b0", body_reader(got)), **LONG_DEADLINES) as rig:
        client = await rig.connect()
        client.writer.write(upload_head(3, "1", "Expect: 100-continue"))
        interim = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        assert interim.startswith(b"HTTP/1.1 100 ")
        client.writer.write(b"abc")
        assert (await client.read_response()).status == 200 and got == [b"abc"]


async def test_other_forms_of_a_request(tmp_path: Path) -> None:
    """A whole address as the target is sent on without its host; HTTP/1.0 gets no chunks and a close."""

    backend = Backend("b0", gives(100_000, b"Transfer-Encoding: chunked\r\n", True))
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(b"GET http://api.internal/read/1?a=b HTTP/1.0\r\nRequest-Id: 1\r\n\r\n")
        got = await asyncio.wait_for(read_long(client.reader), WAIT_TIMEOUT_S)
        assert len(got.body) == 100_000 and "transfer-encoding" not in got.headers
        assert (await backend.requests.get()).start_line == "GET /read/1?a=b HTTP/1.1"
