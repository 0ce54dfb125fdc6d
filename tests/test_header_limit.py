"""Test the limit on endless heads, chunk framing and trailers, which must not fill the memory."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from balancer.net.header_limit import HeaderLimit
from balancer.net.request_parser import RequestParser
from tests.sockets import Backend, Rig, read_message, running_node
from tests.test_node import respond_with
from tests.test_size import record_body

MIB = 1024 * 1024
PIECE = 64 * 1024
SENT_BYTES = 12 * MIB
ALLOWED_GROWTH_MB = 4.0
HEAD = b"POST /once HTTP/1.1\r\nHost: a\r\nRequest-Id: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_CHUNK = b"8\r\none soup\r\n"

# What comes before the endless part, and the piece that is repeated.
ENDLESS = {
    "header value": (HEAD + b"X: ", b"a"),
    "header name": (HEAD + b"X", b"a"),
    "short headers": (HEAD, b"abc:\r\n"),
    "trailer value": (HEAD + CHUNKED + SHORT_CHUNK + b"0\r\nX: ", b"a"),
    "trailer name": (HEAD + CHUNKED + SHORT_CHUNK + b"0\r\nX", b"a"),
    "short trailers": (HEAD + CHUNKED + SHORT_CHUNK + b"0\r\n", b"a: b\r\n"),
    "trailer behind no body": (HEAD + CHUNKED + b"0\r\nX: ", b"a"),
    "trailer behind a long body": (HEAD + CHUNKED + b"20000\r\n" + b"x" * 0x20000 + b"\r\n0\r\nX: ", b"a"),
    "chunk extension": (HEAD + CHUNKED + b"8;x=", b"a"),
    "trailer behind an offer": (
        HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n" + CHUNKED + SHORT_CHUNK + b"0\r\nX: ",
        b"a",
    ),
}


def peak_memory_mb(rig: Rig) -> float:
    for line in Path(f"/proc/{rig.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmHWM")


async def send_endless(port: int, start: bytes, piece: bytes) -> int:
    """Send a message that does not end, and return the status of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(start)
    block = piece * (PIECE // len(piece))
    with contextlib.suppress(ConnectionError):
        for _ in range(SENT_BYTES // len(block)):
            writer.write(block)
            await writer.drain()
    status = (await read_message(reader)).status
    writer.close()
    return status


@pytest.mark.parametrize("kind", ENDLESS)
async def test_message_without_an_end_is_rejected_before_it_fills_the_memory(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a node that is killed for its memory: the parser buffers a field until its end."""
    start, piece = ENDLESS[kind]
    async with running_node(tmp_path, Backend("b0", record_body([]))) as rig:
        before = peak_memory_mb(rig)
        sends = (send_endless(rig.port, start % n if b"%d" in start else start, piece) for n in range(8))
        assert set(await asyncio.gather(*sends)) == {431}
        assert peak_memory_mb(rig) - before < ALLOWED_GROWTH_MB


@pytest.mark.parametrize("kind", ENDLESS)
async def test_console_rejects_a_call_without_an_end(tmp_path: Path, kind: str) -> None:
    start, piece = ENDLESS[kind]
    async with running_node(tmp_path, Backend("b0"), console="127.0.0.1:0") as rig:
        before = peak_memory_mb(rig)
        status = await send_endless(rig.console_port, start % 1, piece)
        assert status == (413 if kind == "trailer behind a long body" else 431)
        assert peak_memory_mb(rig) - before < ALLOWED_GROWTH_MB


@pytest.mark.parametrize("chunk_size", [1, 100, 20_000])
async def test_framing_of_many_chunks_does_not_count_as_headers(tmp_path: Path, chunk_size: int) -> None:
    async with running_node(tmp_path, Backend("b0")) as rig:
        client = await rig.connect()
        chunk = b"%x\r\n%b\r\n" % (chunk_size, b"x" * chunk_size)
        client.writer.write(HEAD % 1 + CHUNKED + chunk * (60_000 // chunk_size) + b"0\r\nX: y\r\n\r\n")
        assert (await client.read_response()).status == 200


@pytest.mark.parametrize("trailer", [b"", b"X: " + b"a" * 200_000], ids=["none", "endless"])
async def test_trailers_of_a_response_are_limited_and_its_chunks_are_not(
    tmp_path: Path, trailer: bytes
) -> None:
    end = trailer or b"\r\n"
    text = b"HTTP/1.1 200 OK\r\n" + CHUNKED + SHORT_CHUNK * 4000 + b"0\r\n" + end
    async with running_node(tmp_path, Backend("b0", respond_with(text))) as rig:
        client = await rig.connect()
        status = (await client.request("/once", method="POST", body=b"{}")).status
        assert status == (502 if trailer else 200)


def test_limit_counts_the_reads_since_the_last_progress() -> None:
    limit = HeaderLimit(10)
    limit.add(10)
    assert not limit.is_exceeded
    limit.add(1)
    assert limit.is_exceeded
    limit.progress()
    limit.add(100)
    assert not limit.is_exceeded
    limit.add(11)
    assert limit.is_exceeded
    limit.reset()
    assert not limit.is_exceeded


def test_parser_stores_only_headers_in_use() -> None:
    """Guards against heads of thousands of short fields, which took 100 times their size in memory."""

    class Handler:
        def request_started(self) -> bool:
            return True

        def head_received(self) -> None: ...

        def body_received(self, data: bytes) -> None: ...

        def request_received(self) -> None: ...

    parser = RequestParser(Handler())
    parser.feed(HEAD % 1 + b"".join(b"%x:\r\n" % number for number in range(2000)))
    assert set(parser.headers) == {b"host", b"request-id"}
