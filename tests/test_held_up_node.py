"""Test a node whose process stands still while clients, backends, discovery and signals go on."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from balancer.net.receive_timer import HEADER_TIMEOUT_S
from tests.sockets import (
    CLASSES,
    Backend,
    Client,
    Message,
    Rig,
    echo_after,
    http_response,
    running_node,
    wait_until_async,
)
from tests.test_leaving import NOT_STARTED_RESPONSE, close_client, never_respond, send_request

# The platform's page: an attempt that begins over 0.1 s after the client left breaks a rule.
LEFT_GRACE_S = 0.1
HOLD_S = 0.4
# The platform's page: the time told to a backend exceeds what is left to the client by 0.15 s at most.
TOLD_SLACK_MS = 150.0
PATHS = ("/read", "/pay", "/once")


@contextlib.asynccontextmanager
async def held_up(rig: Rig, seconds: float = HOLD_S) -> AsyncIterator[None]:
    """Stop the process of a node for the body, and for at least so many seconds."""
    rig.process.send_signal(signal.SIGSTOP)
    until = time.monotonic() + seconds
    try:
        yield
        await asyncio.sleep(max(0.0, until - time.monotonic()))
    finally:
        rig.process.send_signal(signal.SIGCONT)


async def flush(client: Client) -> None:
    """Wait until the bytes that a client has written are in the kernel."""
    await client.writer.drain()
    await asyncio.sleep(0)


async def received_ids(backend: Backend, client: Client) -> list[str]:
    """Return the ids that a backend has received, without the one of a last request sent here."""
    response = await client.request("/read")
    assert response.status == 200
    last = response.body.decode().split(" ")[1]
    return [
        name
        for _ in range(backend.requests.qsize())
        if (name := (await backend.requests.get()).headers["request-id"]) != last
    ]


async def wait_for_requests(*backends: Backend, count: int = 1) -> None:
    """Wait until backends have received so many requests."""

    async def received() -> bool:
        return sum(backend.requests.qsize() for backend in backends) >= count

    await wait_until_async(received)


def short_classes(**limits: float) -> dict[str, Any]:
    """Return settings in which all classes have these limits in ms."""
    return {"request-classes": [request_class | limits for request_class in CLASSES]}


# --- clients that leave


@pytest.mark.parametrize("reset", [False, True])
async def test_requests_whose_clients_left_during_a_hold_up_are_not_sent_on(
    tmp_path: Path, reset: bool
) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        kept = [await rig.connect() for _ in PATHS]
        for client in kept:
            assert (await client.request("/read")).status == 200
        while not backend.requests.empty():
            backend.requests.get_nowait()
        async with held_up(rig):
            for client, path in zip([*kept, *[await rig.connect() for _ in PATHS]], PATHS * 2, strict=True):
                send_request(client, path)
                await flush(client)
                close_client(client, reset)
        assert await received_ids(backend, await rig.connect()) == []


async def test_retry_for_a_client_that_left_during_a_hold_up_is_not_sent(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def full(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(NOT_STARTED_RESPONSE)

    backends = Backend("b0", full), Backend("b1", full)
    async with running_node(tmp_path, *backends) as rig:
        client = await rig.connect()
        send_request(client, "/once")
        await wait_for_requests(*backends)
        async with held_up(rig):
            go.set()
            await asyncio.sleep(LEFT_GRACE_S)
            close_client(client, False)
        await rig.wait_for_log("client left")
        await asyncio.sleep(LEFT_GRACE_S)
        assert sum(backend.requests.qsize() for backend in backends) == 1


async def test_queued_request_whose_client_left_during_a_hold_up_is_not_sent(tmp_path: Path) -> None:
    go = asyncio.Event()

    backend = Backend("b0", echo_after(go))
    async with running_node(tmp_path, backend) as rig:
        clients = [await rig.connect() for _ in range(3)]
        for client in clients[:2]:
            send_request(client, "/read")
        await wait_for_requests(backend, count=2)
        name = send_request(clients[2], "/read")
        await flush(clients[2])
        await asyncio.sleep(LEFT_GRACE_S)
        async with held_up(rig):
            go.set()
            await asyncio.sleep(LEFT_GRACE_S)
            close_client(clients[2], False)
        assert name not in await received_ids(backend, await rig.connect())


# --- time that passes before a request is read


async def test_requests_whose_time_passed_during_a_hold_up_are_refused_and_not_sent(tmp_path: Path) -> None:
    backend = Backend("b0")
    limits = {"give-up": HOLD_S * 750, "objective": HOLD_S * 500}
    async with running_node(tmp_path, backend, **short_classes(**limits)) as rig:
        clients = [await rig.connect() for _ in range(30)]
        async with held_up(rig):
            for client in clients:
                send_request(client, "/once")
                await flush(client)
        assert [(await client.read_response()).status for client in clients] == [503] * len(clients)
        assert await received_ids(backend, await rig.connect()) == []


async def test_backend_is_told_the_time_left_to_the_client_after_a_hold_up(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        async with held_up(rig):
            sent_at = time.monotonic()
            client.send("/read", "Request-Timeout: 2000m")
            await flush(client)
        told_ms = _timeout_ms(await backend.requests.get())
        assert told_ms <= 2000.0 - (time.monotonic() - sent_at) * 1000 + TOLD_SLACK_MS
        assert (await client.read_response()).status == 200


def _timeout_ms(message: Message) -> float:
    """Return the `Request-Timeout` that a backend has received, in ms."""
    return int(message.headers["request-timeout"].removesuffix("u")) / 1000


# --- timers, changes and signals that wait beside unread bytes


async def test_backend_drained_during_a_hold_up_gets_no_request_after_the_grace(tmp_path: Path) -> None:
    backends = Backend("b0"), Backend("b1")
    rules = {"drain-grace": 100, "answer-slack": 20}
    async with running_node(tmp_path, *backends, rules=rules) as rig:
        await rig.discovery.watch_targets.get()
        entries = [backend.list_entry() for backend in backends]
        rig.discovery.send_update(42, *entries, complete=True)
        clients = [await rig.connect() for _ in range(12)]
        for client in clients:
            assert (await client.request("/read")).status == 200
        while not backends[0].requests.empty():
            backends[0].requests.get_nowait()
        async with held_up(rig):
            for client in clients:
                send_request(client, "/read")
                await flush(client)
            rig.discovery.send_update(43, backends[0].list_entry(phase="terminating"))
        assert [(await client.read_response()).status for client in clients] == [200] * len(clients)
        assert backends[0].requests.empty()


async def test_first_request_that_crosses_the_header_timeout_in_a_hold_up_is_answered(
    tmp_path: Path,
) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        await asyncio.sleep(HEADER_TIMEOUT_S - HOLD_S / 2)
        async with held_up(rig):
            send_request(client, "/read")
            await flush(client)
        assert (await client.read_response()).status == 200


async def test_rest_of_a_request_that_crosses_the_header_timeout_in_a_hold_up_is_read(tmp_path: Path) -> None:
    backend = Backend("b0")
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        client.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\n")
        await asyncio.sleep(HEADER_TIMEOUT_S - HOLD_S / 2)
        async with held_up(rig):
            client.writer.write(b"\r\n")
            await flush(client)
        assert (await client.read_response()).status == 200


@pytest.mark.parametrize("limits", [{"objective": 300}, {"objective": 200, "give-up": 300}])
async def test_response_that_crosses_the_attempt_timeout_in_a_hold_up_is_passed_on(
    tmp_path: Path, limits: dict[str, float]
) -> None:
    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(HOLD_S / 2)
        writer.write(http_response(b"made in time"))

    backend = Backend("b0", slow)
    async with running_node(tmp_path, backend, **short_classes(**limits)) as rig:
        client = await rig.connect()
        send_request(client, "/once")
        await wait_for_requests(backend)
        async with held_up(rig):
            pass
        assert (await client.read_response()).body == b"made in time"


async def test_request_is_answered_before_the_kill_that_follows_a_sigterm_during_a_hold_up(
    tmp_path: Path,
) -> None:
    backend = Backend("b0", never_respond)
    async with running_node(tmp_path, backend) as rig:
        client = await rig.connect()
        send_request(client, "/once")
        await wait_for_requests(backend)
        async with held_up(rig):
            rig.terminate()
            # The platform's page: SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s here.
            killed_at = time.monotonic() + 3.0 + 0.7
        assert (await client.read_response()).status == 502
        assert time.monotonic() < killed_at
        await rig.wait_for_exit()
        assert time.monotonic() < killed_at
