"""Test shutdown signals during start, takeover, open requests and slow clients."""

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
    echo_after,
    http_response,
    running_node,
    spawn_node,
    wait_until_async,
)
from tests.test_console import CONSOLE

# A process that waits for nothing exits within EXIT_TIME_S.
EXIT_TIME_S = 0.5


async def _wait_until_stopped(rig: Rig) -> None:
    """Wait until the node has stopped listening, and so has closed its idle connections."""

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
async def test_any_shutdown_signals_answer_requests_and_exit_with_0(
    tmp_path: Path, signals: list[signal.Signals]
) -> None:
    """Guards against lost responses or another exit code on repeated signals or one during a reload."""
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
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


async def test_sigterm_during_a_takeover_ends_the_new_process_at_once(tmp_path: Path) -> None:
    """The new process waits for a list that does not arrive, which would take longer than until SIGKILL."""
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
async def test_sigterm_before_the_first_endpoint_list_exits_with_0(tmp_path: Path, seen: str) -> None:
    """Guards against a failed exit or a traceback when SIGTERM arrives while the listeners start."""
    async with running_node(tmp_path, console=CONSOLE) as first:  # The node starts without known backends.
        first.terminate()
        assert await first.wait_for_exit() == 0
        rig = Rig(await spawn_node(first.config), 0, first.discovery, [], first.config)
        await rig.wait_for_log(seen)
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        assert not any("Traceback" in line for line in rig.log)


async def test_request_received_across_sigterm_is_answered(tmp_path: Path) -> None:
    """The requests are cut within the head, the body or a long body; one of them is never completed."""
    backend = Backend("b0")
    async with running_node(tmp_path, backend, **LONG_DEADLINES) as rig:
        head = b"POST /pay HTTP/1.1\r\nIdempotency-Key: k\r\nRequest-Id: %d\r\nContent-Length: %d\r\n\r\n"
        texts = [head % (1, 5) + b"hello", head % (2, 5) + b"hello", head % (3, 100_000) + bytes(100_000)]
        cuts = [20, -2, -2]
        clients = [await rig.connect() for _ in texts]
        incomplete = await rig.connect()
        incomplete.writer.write(head[:20])
        for client, text, cut in zip(clients, texts, cuts, strict=True):
            client.writer.write(text[:cut])
            await client.writer.drain()
        rig.terminate()
        await _wait_until_stopped(rig)
        for client, text, cut in zip(clients, texts, cuts, strict=True):
            client.writer.write(text[cut:])
        for client in clients:
            got = await client.read_response()
            assert (got.status, got.headers["connection"]) == (200, "close")
            assert await client.read_until_closed() == b""
            client.writer.close()
        got = await incomplete.read_response()
        assert (got.status, got.headers["connection"]) == (408, "close")
        incomplete.writer.close()
        assert await rig.wait_for_exit() == 0
        assert backend.requests.qsize() == 3


async def test_last_response_reaches_a_slow_client_before_the_exit(tmp_path: Path) -> None:
    """The response exceeds the TCP window and the kernel's buffers, so the rest is still in the process."""
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
        while (await rig.stats())["pending"]:  # The node is still reading the response from the backend.
            got += await loop.sock_recv(sock, 10_000)
        rig.terminate()
        await _wait_until_stopped(rig)
        with pytest.raises(TimeoutError):  # The process stays until the response is written.
            await asyncio.wait_for(rig.process.wait(), EXIT_TIME_S)
        while data := await loop.sock_recv(sock, 10_000):
            got += data
        assert got.endswith(b"\r\n\r\n" + bytes(size))
        sock.close()
        assert await rig.wait_for_exit() == 0


# SIGKILL comes 1.0 s after SIGTERM at the earliest: after the longest deadline and 0.7 s.
SHORT_DEADLINES = {
    "request-classes": [{"name": "read", "effect": "retryable", "give-up": 300, "objective": 200}]
}
SECONDS_UNTIL_KILL = 1.0


async def test_response_that_the_backend_is_still_sending_goes_on_until_sigkill(tmp_path: Path) -> None:
    """Guards against cutting off a long response before SIGKILL does, which may come later or never."""
    piece, count = bytes(20_000), 10

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(piece) * count))
        for _ in range(count):
            writer.write(piece)
            await asyncio.sleep(2 * SECONDS_UNTIL_KILL / count)

    async with running_node(tmp_path, Backend("b0", respond), **SHORT_DEADLINES) as rig:
        client, idle = await rig.connect(), await rig.connect()
        await idle.request("/up")
        client.send("/read")
        await client.reader.readuntil(b"\r\n\r\n")
        rig.terminate()
        assert await idle.read_until_closed() == b""
        is_whole = await client.read_until_closed() == piece * count
        assert is_whole
        client.writer.close()
        assert await rig.wait_for_exit() == 0


async def test_response_that_the_client_is_still_reading_goes_on_until_sigkill(tmp_path: Path) -> None:
    """Guards against an exit that discards the rest of a response while its client reads."""
    size = 8_000_000  # More than the kernel's buffers hold.
    loop = asyncio.get_running_loop()

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(http_response(bytes(size)))

    async with running_node(tmp_path, Backend("b0", respond), **SHORT_DEADLINES) as rig:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", rig.port))
            await loop.sock_sendall(sock, b"GET /read HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\n\r\n")
            got = bytearray(await loop.sock_recv(sock, 1000))
            rig.terminate()
            await asyncio.sleep(1.5 * SECONDS_UNTIL_KILL)
            while data := await loop.sock_recv(sock, 10_000):
                got += data
            is_whole = got.endswith(b"\r\n\r\n" + bytes(size))
            assert is_whole
        assert await rig.wait_for_exit() == 0


async def test_client_that_never_closes_does_not_block_the_exit(tmp_path: Path) -> None:
    """Guards against a process that waits for a client which never closes its side until SIGKILL."""
    async with running_node(tmp_path, Backend("b0"), **LONG_DEADLINES) as rig:
        open_client = Client(*await asyncio.open_connection("127.0.0.1", rig.port, limit=1))
        open_client.send("/read")
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        open_client.writer.transport.abort()
