"""Test long lists received by discovery calls: decoding in slices, resets, address changes and limits."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from typing import cast

import pytest

from balancer.net import discovery_call, endpoint_updater, json_stream, list_layout
from balancer.net.discovery import DiscoveryClient
from balancer.net.discovery_call import MIN_OBJECT_LIMIT_BYTES, max_object_bytes
from balancer.net.liveness import LivenessTimeout
from balancer.net.node import Node
from tests import test_discovery, test_discovery_moves, virtual_discovery
from tests.long_lists import (
    REMOVED,
    FakeCpuClock,
    LongListSimulation,
    batches,
    complete_list,
    delta,
    encode,
    small_limits,
)

# Tests request these imported fixtures by name.
__all__ = ["all_longest_draws", "longest_draws", "small_limits"]
pytestmark = pytest.mark.usefixtures("small_limits")

# These tests of short lists must hold for long lists as well, with the limits of `small_limits`.
test_silence = test_discovery.test_events_missed_by_a_silent_watch_are_received_by_the_deadline
test_slow = test_discovery.test_a_slow_list_is_received_with_few_calls
test_malformed = test_discovery.test_malformed_lists_cause_few_calls_and_log_lines
test_move = test_discovery_moves.test_a_new_address_gets_one_watch_at_any_stage_of_the_old_call
test_stopped = test_discovery_moves.test_a_stopped_watch_makes_no_further_call
test_restarted = test_discovery_moves.test_a_restarted_watch_is_opened_immediately
all_longest_draws, longest_draws = virtual_discovery.all_longest_draws, virtual_discovery.longest_draws


@pytest.mark.parametrize("batches_before", [None, 0, 5])
def test_a_list_received_before_a_reset_is_applied(tmp_path: Path, batches_before: int | None) -> None:
    """Guards against a reset that drops a list while it is decoded or applied.

    With None the next list has already begun.
    """
    sim = LongListSimulation(tmp_path, "headers_only", "no_response")

    def send(node: Node, _: DiscoveryClient) -> None:
        if batches_before is None:
            sim.connections[0].send_chunk(
                encode(complete_list(8, 30)) + encode(complete_list(9, 2))[:60], first=False
            )
            sim.connections[0].abort()
        else:
            sim.connections[0].send_chunk(encode(complete_list(8, 30)), first=False)
            if batches_before == 0:
                sim.connections[0].abort()

    sim.module.on_update = lambda batch_number: (
        sim.connections[0].abort() if batch_number == batches_before else None
    )
    sim.run_steps(send, seconds=9.0)
    assert sim.applied == [8] and len(sim.module.in_force) == 30
    assert [t for _, t, _ in sim.requests[1:]] == ["/discovery/hosts?watch=1&from=8"] * (
        len(sim.requests) - 1
    )
    assert len(sim.requests) > 1


def test_a_malformed_long_list_leaves_the_current_list_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    sim = LongListSimulation(tmp_path, "headers_only", "no_response")
    bad = encode(complete_list(9, 30, b3=REMOVED)).replace(b'"b29"', b'"b28"')
    node = sim.run_steps(
        sim.send(complete_list(8, 30)),
        lambda *_: sim.connections[0].send_chunk(bad + encode(delta(10, b5=REMOVED)), first=False),
        seconds=5.0,
    )
    assert sim.applied == [8] and len(sim.module.in_force) == 30
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST01: members[28].id must be unique, but 'b28' is listed twice"]
    assert sim.requests[1][1] == "/discovery/hosts?watch=1&from=0"
    assert not cast(DiscoveryClient, node.discovery).receiver.queue


def test_a_call_does_not_time_out_while_its_list_is_decoded(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def slow(node: Node, _: DiscoveryClient) -> None:
        node.scheduler.skips_pauses = False
        # Each slice takes 0.2 s and is followed by a pause of 0.2 s.
        node.scheduler.clock = FakeCpuClock(0.2)
        sim.send(complete_list(8, 60))(node, _)
        sim.connections[0].send_empty_lines(sim.now, 40)

    sim.run_steps(slow, seconds=60.0)
    assert sim.applied == [8] and len(sim.dialled_at) == 1


@pytest.mark.parametrize("batch_number", [None, 5])
def test_a_list_received_before_an_address_change_is_applied(
    tmp_path: Path, batch_number: int | None
) -> None:
    """Guards against an address change that drops a received list while it is decoded or applied."""
    sim = LongListSimulation(tmp_path, "headers_only", "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        sim.module.on_update = lambda n: (
            discovery.change_address(("127.0.0.2", 1)) if n == batch_number else None
        )
        sim.send(complete_list(8, 30))(node, discovery)
        if batch_number is None:
            discovery.change_address(("127.0.0.2", 1))

    sim.run_steps(send, sim.send(delta(9, b0=REMOVED), call=1))
    assert sim.requests[1][1] == "/discovery/hosts?watch=1&from=8"
    assert sim.applied == [8, 9]
    assert len(sim.module.in_force) == 29


def test_a_list_not_yet_decoded_when_the_watch_stops_is_dropped(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def send(node: Node, discovery: DiscoveryClient) -> None:
        sim.send(complete_list(8, 30))(node, discovery)
        discovery.watch(False)

    sim.run_steps(send)
    assert sim.applied == [] and sim.module.updates == []


def test_a_long_list_received_by_two_calls_is_applied_once(tmp_path: Path) -> None:
    """Two calls receive the same list: the first to complete it stays open, and the other is closed."""
    sim = LongListSimulation(tmp_path, "endless_object", "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.slow_call is not None
        rest = encode(complete_list(8, 30))[len(b'{"revision": 9, "complete"') :]
        sim.connections[0].send_chunk(rest, first=False)
        sim.connections[1].send_chunk(encode(complete_list(8, 30)), first=False)

    sim.run(5, lambda discovery: cast(None, sim.loop.call_at(4.0, send, discovery.node, discovery)))
    assert sim.applied == [9] and len(sim.module.in_force) == 30  # The list of the slow call has revision 9.
    assert [line.was_open_at(4.5) for line in sim.connections] == [True, False]


def test_the_size_limit_of_an_object_follows_from_the_memory_limit(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A list of 70,000 members has 10,434,719 bytes and must fit the default memory limit."""
    assert max_object_bytes(192.0) >= 1.5 * 10_434_719 and max_object_bytes(16.0) == MIN_OBJECT_LIMIT_BYTES
    caplog.set_level(logging.INFO)
    sim = LongListSimulation(tmp_path, "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.watch_call is not None
        discovery.watch_call.splitter.max_bytes = 1000
        sim.send(complete_list(8, 30))(node, discovery)

    sim.run_steps(send, seconds=5.0)
    assert "list: JSON objects are limited to 16.0 MiB, as limits.memory_mb is 192 MB" in caplog.messages
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST02: JSON object exceeds the limit of 1000 bytes"]
    assert sim.applied == [] and sim.requests[1][1].endswith("from=0")


def test_a_list_of_70000_members_is_applied_for_any_chunk_size(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for where, name, value in (
        (json_stream, "LONG_OBJECT_BYTES", 65_536),
        (list_layout, "MIN_RUN_BYTES", 16_384),
        (list_layout, "RUNS_PER_SLICE", 8),
        (endpoint_updater, "MAX_SHORT_UPDATE_ENTRIES", 256),
        (endpoint_updater, "BATCH_ENTRIES", 128),
        (endpoint_updater, "ENTRIES_COMPARED_PER_SLICE", 1024),
    ):
        monkeypatch.setattr(where, name, value)
    sim = LongListSimulation(tmp_path)
    table = [{"id": f"s-{i:08x}", "host_port": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8080", "locality": "a",
              "flavor": "m2", "cell": i % 40, "phase": "in_service", "size": 1.0, "up_since_ms": 1.7e12}
             for i in range(70_000)]  # fmt: skip
    data = json.dumps({"revision": 41, "complete": True, "members": table}).encode()
    assert len(data) > 8 * 1024 * 1024

    def send(node: Node, _: DiscoveryClient) -> None:
        at, size = 0, 1
        while at < len(data):
            sim.connections[0].send_chunk(data[at : at + size], first=False)
            at, size = at + size, size * 7 % 99_991 + 1

    node = sim.run_steps(send)
    assert sim.applied == [41] and node.pool.in_service_count == len(sim.module.in_force) == 70_000
    assert max(map(len, batches(sim))) == 128


def test_a_long_chunk_is_parsed_completely_in_slices(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection ends before parsing does, and the chunk may be followed by bytes that are not HTTP."""
    monkeypatch.setattr(discovery_call, "MAX_SLICE_BYTES", 50)
    for trailing_bytes in (b"0\r\n\r\n", b"no HTTP\r\n"):
        sim, calls = LongListSimulation(tmp_path, "headers_only", "no_response"), list[int]()

        def send(
            node: Node,
            watch: DiscoveryClient,
            sim: LongListSimulation = sim,
            trailing_bytes: bytes = trailing_bytes,
        ) -> None:
            text = encode(complete_list(8, 30)) + encode(delta(9, b0=REMOVED))
            sim.connections[0].send_raw(b"%x\r\n%b\r\n" % (len(text), text) + trailing_bytes)
            sim.connections[0].abort()

        def bytes_received(self: LivenessTimeout, now: float, calls: list[int] = calls) -> None:
            calls.append(1)

        monkeypatch.setattr(LivenessTimeout, "bytes_received", bytes_received)
        sim.run_steps(send, seconds=9.0)
        assert len(calls) > 30 and sim.applied == [8, 9]
        assert len(sim.module.in_force) == 29 and sim.requests[1][1].endswith("from=9")
