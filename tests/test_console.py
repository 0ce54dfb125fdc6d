"""Test the operator console over loopback sockets: its calls, its statistics, and faulty callers."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from balancer.net.console import MAX_CONNECTIONS, Console
from tests.sockets import LONG_DEADLINES, WAIT_TIMEOUT_S, Backend, read_message, running_node
from tests.test_node import never_respond, respond_with

CONSOLE = "127.0.0.1:0"
REQUEST_HEAD = "HTTP/1.1\r\nHost: node\r\n"


async def test_statistics_count_the_responses_of_clients_and_backends(tmp_path: Path) -> None:
    broken = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
    backend = Backend("b0", respond_with(broken))
    async with running_node(tmp_path, backend, console=CONSOLE) as rig:
        client = await rig.connect()
        response = await client.request("/once", method="POST", body=b"{}")
        assert response.status == 502
        for _ in range(3):
            assert (await client.request("/read")).status == 200
        assert (await client.request("/nonsense")).status == 404
        assert await rig.stats() == {
            "completed": {"read": 3, "pay": 0, "once": 0},
            "rejected": {"read": 0, "pay": 0, "once": 0},
            "failed": {"read": 0, "pay": 0, "once": 1},
            "upstream_requests": 4, "pending": 0, "members": 1, "members_unavailable": 0,
            "config_reloads": 0, "config_reload_errors": 0,
        }  # fmt: skip


async def test_statistics_count_rejected_and_pending_requests(tmp_path: Path) -> None:
    backend = Backend("b0", never_respond)
    limits = {"max-open": 1}
    async with running_node(tmp_path, backend, console=CONSOLE, **LONG_DEADLINES, limits=limits) as rig:
        first, second = await rig.connect(), await rig.connect()
        first.send("/read")
        await backend.requests.get()
        assert (await second.request("/read")).status == 503
        response = await rig.stats()
        assert (response["pending"], response["rejected"]["read"], response["upstream_requests"]) == (1, 1, 1)
        first.writer.transport.abort()
        await backend.closed_connections.get()
        assert (await rig.stats())["pending"] == 0


async def test_healthcheck_succeeds_once_backends_are_known_and_fails_while_the_node_stops(
    tmp_path: Path,
) -> None:
    backend = Backend("b0", never_respond)
    async with running_node(tmp_path, console=CONSOLE) as rig:
        assert (await rig.call_console("/healthcheck")).status == 503
    async with running_node(tmp_path, backend, console=CONSOLE, **LONG_DEADLINES) as rig:
        assert (await rig.call_console("/healthcheck")).status == 200
        (await rig.connect()).send("/read")
        await backend.requests.get()
        rig.terminate()
        while (response := await rig.call_console("/healthcheck")).status == 200:
            pass
        assert response.status == 503 and response.body == b"stopping\n"


INVALID_CALLS = (
    ("POST /stats " + REQUEST_HEAD + "Content-Length: 0\r\n\r\n", 405),
    ("GET /nothing " + REQUEST_HEAD + "\r\n", 404),
    ("GET /healthcheck/fail " + REQUEST_HEAD + "\r\n", 404),
    ("nonsense\r\n\r\n", 400),
    ("GET /stats " + REQUEST_HEAD + "X: " + "x" * 9000, 431),
    ("POST /stats " + REQUEST_HEAD + "Content-Length: 70000\r\n\r\n" + "x" * 70000, 413),
    ("GET /stats HT", 408),
    ("", 408),
)


async def test_invalid_calls_get_an_error_with_code_and_remedy(tmp_path: Path) -> None:
    async with running_node(tmp_path, Backend("b0"), console=CONSOLE) as rig:
        callers = [await asyncio.open_connection("127.0.0.1", rig.console_port) for _ in INVALID_CALLS]
        for (_, writer), (text, _) in zip(callers, INVALID_CALLS, strict=True):
            writer.write(text.encode())
        for (reader, writer), (text, code) in zip(callers, INVALID_CALLS, strict=True):
            response = await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)
            assert response.status == code, text
            error, remedy = response.body.decode().splitlines()
            assert error.startswith("CON01: ") and remedy.startswith("what to do: "), text
            assert (await rig.call_console("/stats")).status == 200, text
            writer.close()


async def test_stalled_callers_do_not_block_other_calls(tmp_path: Path) -> None:
    """Guards against callers that hold connections open: beyond the limit the oldest connection is closed."""

    async with running_node(tmp_path, Backend("b0"), console=CONSOLE) as rig:
        stalled = [await asyncio.open_connection("127.0.0.1", rig.console_port) for _ in range(33)]
        for _, writer in stalled:
            writer.write(b"GET /st")
        assert (await rig.call_console("/stats")).status == 200
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await asyncio.wait_for(read_message(stalled[0][0]), WAIT_TIMEOUT_S)
        assert (await asyncio.wait_for(read_message(stalled[-1][0]), WAIT_TIMEOUT_S)).status == 408
        for _, writer in stalled:
            writer.close()


async def test_a_node_without_the_console_setting_has_no_console(tmp_path: Path) -> None:
    async with running_node(tmp_path, Backend("b0")) as rig:
        assert (await (await rig.connect()).request("/stats")).status == 404
        assert json.loads(rig.config.read_text()).get("console") is None
        assert not any("console on" in line for line in rig.log)


class BlockingTarget:
    """A console target whose maintenance calls are executed until the test ends them."""

    def __init__(self) -> None:
        self.call_count = 0
        self.may_end = asyncio.Event()

    def unready_reason(self) -> str:
        """Return that the node is ready."""
        return ""

    def stats(self) -> dict[str, object]:
        """Return no statistics."""
        return {}

    async def set_maintenance(self, backend: str, is_banned: bool) -> bool:
        """Wait until the test ends the call."""
        self.call_count += 1
        await self.may_end.wait()
        return True


async def test_call_in_execution_is_answered_whoever_connects_meanwhile() -> None:
    """Guards against dropping a call that has an effect, and its answer, for callers that send nothing."""
    target = BlockingTarget()
    console = Console(target)
    await console.listen(("127.0.0.1", 0))
    calls = [await asyncio.open_connection(*console.address) for _ in range(MAX_CONNECTIONS - 1)]
    for number, (_, writer) in enumerate(calls, start=1):
        writer.write(b"POST /backends/b0/maint " + REQUEST_HEAD.encode() + b"\r\n")
        while target.call_count < number:
            await asyncio.sleep(0)
    idle = [await asyncio.open_connection(*console.address) for _ in range(2 * MAX_CONNECTIONS)]
    assert await asyncio.wait_for(idle[-2][0].read(), WAIT_TIMEOUT_S) == b""
    assert len(console.connections) == MAX_CONNECTIONS
    target.may_end.set()
    for reader, _ in calls:
        assert (await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)).status == 200
    for _, writer in calls + idle:
        writer.close()
    console.close()
