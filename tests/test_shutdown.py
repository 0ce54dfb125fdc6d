"""Signals that end the program, at the moments in which that is delicate."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from tests.sockets import (
    LONG_DEADLINES,
    Backend,
    Client,
    Message,
    Rig,
    echo,
    http_response,
    running_node,
    spawn_node,
    wait_until_async,
)
from tests.test_console import CONSOLE

STAYS = 0.5  # s in which a process that waits for nothing would have ended


async def _stopped(rig: Rig) -> None:
    """Wait until the node listens no more: idle connections have been ended then."""

    async def refused() -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        except ConnectionError:
            return True
        writer.close()
        return False

    await wait_until_async(refused)


@pytest.mark.parametrize(
    "signals",
    [
        [signal.SIGTERM],
        [signal.SIGINT],
        [signal.SIGTERM, signal.SIGTERM],
        [signal.SIGTERM, signal.SIGINT],
        [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP],
    ],
)
async def test_one_end_for_any_signals(tmp_path: Path, signals: list[signal.Signals]) -> None:
    """Ruled out: what was taken is answered, and the code is 0, for two signals too and in a reload."""
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    backend = Backend("b0", slow)
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        busy, idle = await rig.connect(), await rig.connect()
        await idle.request("/up")
        name = busy.send("/read")
        await backend.requests.get()
        for number in signals:
            rig.process.send_signal(number)
        assert await idle.read_until_closed() == b""
        rig.process.send_signal(signals[-1])
        go.set()
        got = await busy.read_response()
        assert got.body.decode() == f"b0 {name}"
        assert got.headers["connection"] == "close"
        assert await busy.read_until_closed() == b""
        busy.writer.close()
        idle.writer.close()
        assert await rig.wait_for_exit() == 0


async def test_sigterm_while_a_process_takes_over_ends_it_at_once(tmp_path: Path) -> None:
    """It waits for a list that does not come, for longer than SIGKILL may take to come."""
    async with running_node(tmp_path, Backend("b0"), console=CONSOLE) as old:
        new = Rig(await spawn_node(old.config), 0, old.discovery, [], old.config)
        try:
            await new.wait_for_log("taking over")
            new.terminate()
            assert await new.wait_for_exit() == 0
        finally:
            if new.process.returncode is None:
                new.process.kill()
                await new.process.wait()
        assert not any("serves on" in line for line in new.log)
        assert any("ends" in line for line in new.log)
        assert (await (await old.connect()).request("/read")).status == 200


@pytest.mark.parametrize("seen", ["console on", "serves on"])
async def test_sigterm_before_the_first_list(tmp_path: Path, seen: str) -> None:
    """Ruled out: nor while the listeners begin."""
    async with running_node(tmp_path, console=CONSOLE) as first:  # no backends are known
        first.terminate()
        assert await first.wait_for_exit() == 0
        rig = Rig(await spawn_node(first.config), 0, first.discovery, [], first.config)
        await rig.wait_for_log(seen)
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        assert not any("Traceback" in line for line in rig.log)


async def test_a_request_in_pieces_across_the_end_is_answered(tmp_path: Path) -> None:
    """In the middle of a head, of a body, of a long body; and one that never becomes whole."""
    backend = Backend("b0")
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        head = b"POST /pay HTTP/1.1\r\nIdempotency-Key: k\r\nRequest-Id: %d\r\nContent-Length: %d\r\n\r\n"
        texts = [head % (1, 5) + b"hello", head % (2, 5) + b"hello", head % (3, 100_000) + bytes(100_000)]
        cuts = [20, -2, -2]
        clients = [await rig.connect() for _ in texts]
        never = await rig.connect()
        never.writer.write(head[:20])
        for client, text, cut in zip(clients, texts, cuts, strict=True):
            client.writer.write(text[:cut])
            await client.writer.drain()
        rig.terminate()
        await _stopped(rig)
        for client, text, cut in zip(clients, texts, cuts, strict=True):
            client.writer.write(text[cut:])
        for client in clients:
            got = await client.read_response()
            assert (got.status, got.headers["connection"]) == (200, "close")
            assert await client.read_until_closed() == b""
            client.writer.close()
        got = await never.read_response()
        assert (got.status, got.headers["connection"]) == (408, "close")
        never.writer.close()
        assert await rig.wait_for_exit() == 0
        assert backend.requests.qsize() == 3


async def test_the_last_answer_is_out_before_the_end_for_one_that_reads_slowly(tmp_path: Path) -> None:
    """Over its window and what the system holds for it: the rest is in this process."""
    size = 600_000

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(bytes(size)))

    async with running_node(tmp_path, Backend("b0", respond), console=CONSOLE, **LONG_DEADLINES) as rig:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop, got = asyncio.get_running_loop(), bytearray()
        await loop.sock_connect(sock, ("127.0.0.1", rig.port))
        await loop.sock_sendall(sock, b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\n\r\n")
        got += await loop.sock_recv(sock, 1000)
        while (await rig.stats())["pending"]:  # the backend has not been read whole
            got += await loop.sock_recv(sock, 10_000)
        rig.terminate()
        await _stopped(rig)
        with pytest.raises(TimeoutError):  # it stays for the rest
            await asyncio.wait_for(rig.process.wait(), STAYS)
        while data := await loop.sock_recv(sock, 10_000):
            got += data
        assert got.endswith(b"\r\n\r\n" + bytes(size))
        sock.close()
        assert await rig.wait_for_exit() == 0


async def test_a_client_that_rests_does_not_hold_the_end_up_for_ever(tmp_path: Path) -> None:
    """It ends its side never: the process goes before it would be killed; others are not waited for."""
    async with running_node(tmp_path, Backend("b0"), **LONG_DEADLINES) as rig:
        resting = Client(*await asyncio.open_connection("127.0.0.1", rig.port, limit=1))
        resting.send("/read")
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        resting.writer.transport.abort()
