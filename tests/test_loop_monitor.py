"""Test the measurement of how late the event loop runs, and of how long events may have waited unread."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.net import socket_state
from balancer.net.loop_monitor import BEAT_INTERVAL_S, HELD_UP_LAG_S, TURNS_TO_CATCH_UP, LoopMonitor
from tests.sockets import CLASSES, Backend, http_response
from tests.test_leaving import node_harness, send_request

HOLD_S = 0.4


async def test_a_hold_up_counts_until_what_came_meanwhile_has_been_read() -> None:
    monitor = LoopMonitor(asyncio.get_running_loop())
    monitor.start()
    assert monitor.held_up_s() == 0.0
    time.sleep(BEAT_INTERVAL_S + HOLD_S)
    assert HOLD_S <= monitor.held_up_s() < HOLD_S + HELD_UP_LAG_S  # Before the late timer has run.
    await asyncio.sleep(0)
    for _ in range(TURNS_TO_CATCH_UP - 1):
        assert monitor.held_up_s() >= HOLD_S
        await asyncio.sleep(0)
    for _ in range(2):
        await asyncio.sleep(0)
    assert monitor.held_up_s() == 0.0
    assert HOLD_S <= monitor.take_max_lag_s() < HOLD_S + HELD_UP_LAG_S
    assert monitor.take_max_lag_s() < HELD_UP_LAG_S
    monitor.stop()


async def test_time_of_a_request_counts_from_a_hold_up_where_the_kernel_does_not_tell_its_arrival(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(socket_state, "ms_since_last_data", lambda transport: None)
    backend = Backend("b0")
    limits = {"give-up": HOLD_S * 750, "objective": HOLD_S * 500}
    classes = [request_class | limits for request_class in CLASSES]
    settings = {"request-classes": classes}
    async with node_harness(tmp_path, monkeypatch, backend, **settings) as harness:
        harness.immediate_connects = 1
        harness.node.loop_monitor.start()
        client = await harness.connect_client()
        assert (await client.request("/read")).status == 200
        send_request(client, "/once")
        time.sleep(BEAT_INTERVAL_S + HOLD_S)
        assert (await client.read_response()).status == 503
        assert backend.requests.qsize() == 1
        harness.node.loop_monitor.stop()


@pytest.mark.parametrize("kernel_tells", [True, False])
async def test_duration_of_an_attempt_excludes_the_time_that_its_response_lay_unread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kernel_tells: bool
) -> None:
    if not kernel_tells:
        monkeypatch.setattr(socket_state, "ms_since_last_data", lambda transport: None)
    server = socket.create_server(("127.0.0.1", 0))
    is_received = threading.Event()

    def answer() -> None:
        """Answer one request in a thread, which goes on while the event loop is blocked."""
        with server, server.accept()[0] as connection:
            assert connection.recv(65536)
            is_received.set()
            connection.sendall(http_response(b"made in time"))
            connection.recv(1)

    threading.Thread(target=answer, daemon=True).start()
    backend = Backend("b0")
    async with node_harness(tmp_path, monkeypatch, backend) as harness:
        node = harness.node
        node.pool.endpoint("b0").address = server.getsockname()
        handle, ended = node.balancer.handle, list[api.AttemptEnded]()

        def record(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                ended.append(event)
            return handle(now, event)

        monkeypatch.setattr(node.balancer, "handle", record)
        node.loop_monitor.start()
        client = await harness.connect_client()
        send_request(client, "/once")
        while not is_received.is_set():
            await asyncio.sleep(0)
        time.sleep(BEAT_INTERVAL_S + HOLD_S)
        assert (await client.read_response()).body == b"made in time"
        assert ended[0].status is api.AttemptStatus.OK and ended[0].duration_ms < 1000 * HOLD_S / 2
        node.loop_monitor.stop()
