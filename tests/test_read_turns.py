"""Test that one client which sends without a pause leaves the turns of the event loop to the others."""

from __future__ import annotations

import asyncio
import itertools
import socket
from pathlib import Path

import pytest

from balancer.net.client_connection import SHORT_READ_BYTES, ClientConnection
from balancer.net.stream import MAX_WINDOW_BYTES
from tests.sockets import Backend
from tests.test_closing import Peer, on_uvloop, running_listener

FLOOD_BYTES = 600_000
UPLOAD = b"POST /once HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n"
FLOODS = {
    "checks": b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * (FLOOD_BYTES // 29),
    "chunks": UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * (FLOOD_BYTES // 6),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_turn_of_the_event_loop_reads_little_of_small_requests(
    tmp_path: Path, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers that others get late, as a turn parsed megabytes of one connection."""
    turns = itertools.count()
    turn = [0]
    read_bytes: dict[int, int] = {}
    data_received = ClientConnection.data_received

    def count_read(self: ClientConnection, data: bytes) -> None:
        if not self.is_closing:  # What a closing connection reads is dropped.
            read_bytes[turn[0]] = read_bytes.get(turn[0], 0) + len(data)
        data_received(self, data)

    monkeypatch.setattr(ClientConnection, "data_received", count_read)

    async def flood(folder: Path) -> None:
        loop = asyncio.get_running_loop()

        def count_turns() -> None:
            turn[0] = next(turns)
            loop.call_soon(count_turns)

        async with running_listener(folder, Backend("b0")) as listener:
            peer = Peer()
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, FLOOD_BYTES)
            await peer.connect(listener)
            count_turns()
            sending = asyncio.ensure_future(loop.sock_sendall(peer.sock, FLOODS[kind]))
            while sum(read_bytes.values()) < FLOOD_BYTES // 4:
                await loop.sock_recv(peer.sock, 1 << 16) if kind == "checks" else await asyncio.sleep(0)
            sending.cancel()
            peer.sock.close()

    on_uvloop(flood)(tmp_path)
    assert max(read_bytes.values()) <= 2 * SHORT_READ_BYTES


def test_turn_of_the_event_loop_reads_long_parts_of_a_body(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads: list[int] = []
    buffer_updated = ClientConnection.buffer_updated

    def record(self: ClientConnection, nbytes: int) -> None:
        reads.append(nbytes)
        buffer_updated(self, nbytes)

    monkeypatch.setattr(ClientConnection, "buffer_updated", record)

    async def upload(folder: Path) -> None:
        async with running_listener(folder, Backend("b0")) as listener:
            peer = Peer()
            await peer.connect(listener)
            text = UPLOAD + b"Content-Length: 400000\r\n\r\n" + b"x" * 400_000
            await asyncio.get_running_loop().sock_sendall(peer.sock, text)
            await asyncio.get_running_loop().sock_recv(peer.sock, 100)
            peer.sock.close()

    on_uvloop(upload)(tmp_path)
    assert max(reads) == MAX_WINDOW_BYTES
