"""Test requests whose id comes again: one that may have run must not run a second time."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.sockets import Backend, Message, http_response, running_node, started_node
from tests.test_console import CONSOLE
from tests.test_upgrade import reserved_port

WORK_S = 0.2


async def respond_after_work(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    writer.write(http_response(b"done"))


def once(name: str) -> bytes:
    head = f"POST /once HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\nContent-Length: 2\r\n\r\n"
    return head.encode() + b"{}"


@pytest.mark.parametrize("leaves_after_s", [0.05, 2 * WORK_S], ids=["before the answer", "after it"])
async def test_unsafe_request_that_comes_again_runs_once(tmp_path: Path, leaves_after_s: float) -> None:
    """Guards against an order that runs twice, because its client left and came again with the same id."""
    backends = [Backend("b0", respond_after_work), Backend("b1", respond_after_work)]
    async with running_node(tmp_path, *backends) as rig:
        first = await rig.connect()
        first.writer.write(once("a1"))
        await asyncio.sleep(leaves_after_s)
        first.writer.transport.abort()
        await asyncio.sleep(2 * WORK_S)
        again = await rig.connect()
        again.writer.write(once("a1"))
        assert (await again.read_response()).status == 409
        assert sum(backend.requests.qsize() for backend in backends) == 1
        other = await rig.connect()
        other.writer.write(once("a2"))
        assert (await other.read_response()).status == 200


async def test_unsafe_request_that_was_refused_may_come_again(tmp_path: Path) -> None:
    backend = Backend("b0", respond_after_work)
    async with running_node(tmp_path) as rig:  # Without backends every request is rejected at once.
        first = await rig.connect()
        first.writer.write(once("a1"))
        assert (await first.read_response()).status == 503
        await backend.start()
        again = await rig.connect()
        again.writer.write(once("a1"))
        assert (await again.read_response()).status == 503


async def test_idempotent_request_may_come_again(tmp_path: Path) -> None:
    async with running_node(tmp_path, Backend("b0")) as rig:
        for _ in range(2):
            client = await rig.connect()
            client.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: a1\r\n\r\n")
            assert (await client.read_response()).status == 200


async def test_unsafe_request_that_comes_again_at_the_new_process_of_an_upgrade_runs_once(
    tmp_path: Path,
) -> None:
    """An order that the old process has sent must not run again where its client comes to the new one."""
    backend = Backend("b0", respond_after_work)
    with reserved_port() as port:
        async with running_node(tmp_path, backend, console=CONSOLE, listen=f"127.0.0.1:{port}") as old:
            first = await old.connect()
            first.writer.write(once("a1"))
            await asyncio.sleep(WORK_S / 2)
            first.writer.transport.abort()
            async with started_node(old.config, old.discovery) as new:
                await asyncio.sleep(1.5)  # New connections are steered to the new process.
                again = await new.connect()
                again.writer.write(once("a1"))
                assert (await again.read_response()).status == 409
                assert backend.requests.qsize() == 1
