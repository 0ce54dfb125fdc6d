"""Test the measurement of how late the event loop runs, and of how long events may have waited unread."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from balancer.net import socket_state
from balancer.net.loop_monitor import BEAT_INTERVAL_S, HELD_UP_LAG_S, TURNS_TO_CATCH_UP, LoopMonitor
from tests.sockets import CLASSES, Backend
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
