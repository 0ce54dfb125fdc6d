"""Test requests that offer a protocol upgrade, which the node ignores: only their framing headers count."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.sockets import Backend, Message, http_response, read_message, running_node
from tests.test_node import respond_with

OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAAB\r\n"
HEAD = f"POST /once HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n{OFFER}"
SHORT_BODY = b'{"order":1}'
LONG_BODY = b"x" * 100_000


def with_length(body: bytes) -> bytes:
    return f"{HEAD}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunked(body: bytes) -> bytes:
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
    return f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


async def read_forwarded(reader: asyncio.StreamReader) -> Message:
    """Read one request, whose body may be chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    if "transfer-encoding" not in headers:
        return Message(start, headers, await reader.readexactly(int(headers["content-length"])))
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return Message(start, headers, body)


class ChunkReadingBackend(Backend):
    """Fake backend that also reads chunked requests, one on each connection."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.requests.put_nowait(await read_forwarded(reader))
            writer.write(http_response(b"done"))


@pytest.mark.parametrize("body", [b"", SHORT_BODY, LONG_BODY], ids=["empty", "short", "long"])
@pytest.mark.parametrize("frame", [with_length, chunked])
@pytest.mark.parametrize("piece_count", [1, 3, 40])
async def test_request_with_an_offer_is_forwarded_with_its_body(
    tmp_path: Path, body: bytes, frame: Callable[[bytes], bytes], piece_count: int
) -> None:
    """Guards against orders that run without their body, as the parser ended them behind their heads."""
    text = frame(body)
    backend = ChunkReadingBackend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        size = -(-len(text) // piece_count)
        for begin in range(0, len(text), size):
            client.writer.write(text[begin : begin + size])
            await asyncio.sleep(0.005)
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"done")
        forwarded = backend.requests.get_nowait()
        assert forwarded.body == body and "upgrade" not in forwarded.headers
        assert await client.read_until_closed() == b"" and backend.requests.empty()


async def test_body_that_does_not_come_behind_an_offer_is_not_forwarded(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(with_length(SHORT_BODY)[:-1])
        await asyncio.sleep(0.3)
        assert backend.requests.empty()
        assert (await client.read_response()).status == 408
        assert backend.requests.empty()


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"CONNECT /up HTTP/1.1\r\n\r\n", 405),
        (b"CONNECT backend:80 HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 400),
        (f"{HEAD}Transfer-Encoding: chunked\r\n\r\nnonsense\r\n".encode(), 400),
        (f"{HEAD}Transfer-Encoding: gzip\r\n\r\n".encode() + SHORT_BODY, 400),
    ],
)
async def test_invalid_request_behind_an_offer_gets_an_error(
    tmp_path: Path, text: bytes, status: int
) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(text)
        assert (await client.read_response()).status == status
        assert backend.requests.empty()


async def test_response_that_advertises_a_protocol_is_passed_on(tmp_path: Path) -> None:
    body = b"y" * 3000
    advertised = http_response(body, "200 OK", "Upgrade: h2c", "Connection: Upgrade")
    async with running_node(tmp_path, Backend("b0", respond_with(advertised))) as rig:
        response = await (await rig.connect()).request("/read")
        assert (response.status, response.body) == (200, body)


@pytest.mark.parametrize("body", [b"", SHORT_BODY])
async def test_console_call_with_an_offer_is_executed_and_confirmed(tmp_path: Path, body: bytes) -> None:
    """Guards against a ban that is set although its caller is told no."""
    backend = Backend("b0")
    async with running_node(tmp_path, backend, Backend("b1"), console="127.0.0.1:0") as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.console_port)
        call = f"POST /backends/b0/maint HTTP/1.1\r\nHost: a\r\n{OFFER}Content-Length: {len(body)}\r\n\r\n"
        writer.write(call.encode() + body)
        assert (await read_message(reader)).status == 200
        writer.close()
        client = await rig.connect()
        for _ in range(4):
            assert (await client.request("/read")).body.startswith(b"b1")
