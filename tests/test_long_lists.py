"""Long lists received by calls of discovery: decoding in slices, resets, moves and limits."""

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
    Clock,
    LongListWorld,
    batches,
    complete_list,
    delta,
    encode,
    small_limits,
)

__all__ = ["all_longest_draws", "longest_draws", "small_limits"]  # fixtures
pytestmark = pytest.mark.usefixtures("small_limits")

# What holds for short lists holds for long ones, with the bounds below.
test_silence = test_discovery.test_events_that_a_silent_watch_missed_are_received_in_time
test_slow = test_discovery.test_a_list_that_takes_long_to_arrive_is_received_after_few_calls
test_malformed = test_discovery.test_malformed_lists_cause_no_storm_of_calls_and_no_flood_of_log_lines
test_move = test_discovery_moves.test_a_new_address_gets_one_watch_whatever_was_under_way
test_stopped = test_discovery_moves.test_a_stopped_watch_makes_no_other_call
test_restarted = test_discovery_moves.test_a_restarted_watch_is_opened_at_once
all_longest_draws, longest_draws = virtual_discovery.all_longest_draws, virtual_discovery.longest_draws


@pytest.mark.parametrize("batches_before", [None, 0, 5])
def test_a_list_received_before_a_reset_is_applied(tmp_path: Path, batches_before: int | None) -> None:
    """While it is decoded (None: with the next one begun), or taken."""
    world = LongListWorld(tmp_path, "headers_only", "no_response")

    def send(node: Node, _: DiscoveryClient) -> None:
        if batches_before is None:
            world.connections[0].send_chunk(
                encode(complete_list(8, 30)) + encode(complete_list(9, 2))[:60], first=False
            )
            world.connections[0].abort()
        else:
            world.connections[0].send_chunk(encode(complete_list(8, 30)), first=False)
            if batches_before == 0:
                world.connections[0].abort()

    world.module.on_update = lambda batch_number: (
        world.connections[0].abort() if batch_number == batches_before else None
    )
    world.run_steps(send, seconds=9.0)
    assert world.applied == [8] and len(world.module.in_force) == 30
    assert [t for _, t, _ in world.requests[1:]] == ["/discovery/hosts?watch=1&from=8"] * (
        len(world.requests) - 1
    )
    assert len(world.requests) > 1


def test_a_malformed_long_list_leaves_the_last_one_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    world = LongListWorld(tmp_path, "headers_only", "no_response")
    bad = encode(complete_list(9, 30, b3=REMOVED)).replace(b'"b29"', b'"b28"')
    node = world.run_steps(
        world.send(complete_list(8, 30)),
        lambda *_: world.connections[0].send_chunk(bad + encode(delta(10, b5=REMOVED)), first=False),
        seconds=5.0,
    )
    assert world.applied == [8] and len(world.module.in_force) == 30
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST01: members[28].id must be unique, but 'b28' is listed twice"]
    assert world.requests[1][1] == "/discovery/hosts?watch=1&from=0"
    assert not cast(DiscoveryClient, node.discovery).receiver.queue


def test_a_call_does_not_time_out_while_its_list_is_decoded(tmp_path: Path) -> None:
    world = LongListWorld(tmp_path)

    def slow(node: Node, _: DiscoveryClient) -> None:
        node.scheduler.skips_pauses = False
        node.scheduler.clock = Clock(0.2)  # each slice takes so long, and a pause as well
        world.send(complete_list(8, 60))(node, _)
        world.connections[0].send_empty_lines(world.now, 40)

    world.run_steps(slow, seconds=60.0)
    assert world.applied == [8] and len(world.dialled_at) == 1


@pytest.mark.parametrize("batch_number", [None, 5])
def test_a_list_received_before_a_move_is_applied(tmp_path: Path, batch_number: int | None) -> None:
    """Decoded or taken then: it came whole and counts as told, so the next call goes on from it."""
    world = LongListWorld(tmp_path, "headers_only", "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        world.module.on_update = lambda n: (
            discovery.change_address(("127.0.0.2", 1)) if n == batch_number else None
        )
        world.send(complete_list(8, 30))(node, discovery)
        if batch_number is None:
            discovery.change_address(("127.0.0.2", 1))

    world.run_steps(send, world.send(delta(9, b0=REMOVED), call=1))
    assert world.requests[1][1] == "/discovery/hosts?watch=1&from=8"
    assert world.applied == [8, 9]
    assert len(world.module.in_force) == 29


def test_a_list_that_is_not_decoded_when_the_watch_is_stopped_is_dropped(tmp_path: Path) -> None:
    world = LongListWorld(tmp_path)

    def send(node: Node, discovery: DiscoveryClient) -> None:
        world.send(complete_list(8, 30))(node, discovery)
        discovery.watch(False)

    world.run_steps(send)
    assert world.applied == [] and world.module.updates == []


def test_a_long_list_received_by_two_calls_is_applied_once(tmp_path: Path) -> None:
    """The slow one and the next: whichever is whole first goes on, and the other one is closed."""
    world = LongListWorld(tmp_path, "endless_object", "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.slow_call is not None
        rest = encode(complete_list(8, 30))[len(b'{"revision": 9, "complete"') :]
        world.connections[0].send_chunk(rest, first=False)
        world.connections[1].send_chunk(encode(complete_list(8, 30)), first=False)

    world.run(5, lambda discovery: cast(None, world.loop.call_at(4.0, send, discovery.node, discovery)))
    assert world.applied == [9] and len(world.module.in_force) == 30  # the slow one has that revision
    assert [line.was_open_at(4.5) for line in world.connections] == [True, False]


def test_the_limit_of_an_object_follows_from_the_memory(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A list of 70,000 has 10,434,719 bytes."""
    assert max_object_bytes(192.0) >= 1.5 * 10_434_719 and max_object_bytes(16.0) == MIN_OBJECT_LIMIT_BYTES
    caplog.set_level(logging.INFO)
    world = LongListWorld(tmp_path, "headers_only", "no_response")

    def send(node: Node, discovery: DiscoveryClient) -> None:
        assert discovery.watch_call is not None
        discovery.watch_call.splitter.max_bytes = 1000
        world.send(complete_list(8, 30))(node, discovery)

    world.run_steps(send, seconds=5.0)
    assert "list: JSON objects are limited to 16.0 MiB, as limits.memory_mb is 192 MB" in caplog.messages
    lines = [line for line in caplog.messages if "bad list" in line]
    assert lines == ["discovery: bad list: LST02: JSON object exceeds the limit of 1000 bytes"]
    assert world.applied == [] and world.requests[1][1].endswith("from=0")


def test_a_list_of_seventy_thousand_in_chunks_of_any_size_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for where, name, value in (
        (json_stream, "LONG_OBJECT_BYTES", 65_536),
        (list_layout, "MIN_RUN_BYTES", 16_384),
        (list_layout, "RUNS_PER_SLICE", 8),
        (endpoint_updater, "MAX_SHORT_UPDATE", 256),
        (endpoint_updater, "BATCH_SIZE", 128),
        (endpoint_updater, "COMPARED_PER_SLICE", 1024),
    ):
        monkeypatch.setattr(where, name, value)
    world = LongListWorld(tmp_path)
    table = [{"id": f"s-{i:08x}", "host_port": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8080", "locality": "a",
              "flavor": "m2", "cell": i % 40, "phase": "in_service", "size": 1.0, "up_since_ms": 1.7e12}
             for i in range(70_000)]  # fmt: skip
    data = json.dumps({"revision": 41, "complete": True, "members": table}).encode()
    assert len(data) > 8 * 1024 * 1024

    def send(node: Node, _: DiscoveryClient) -> None:
        at, size = 0, 1
        while at < len(data):
            world.connections[0].send_chunk(data[at : at + size], first=False)
            at, size = at + size, size * 7 % 99_991 + 1

    node = world.run_steps(send)
    assert world.applied == [41] and node.pool.in_service_count == len(world.module.in_force) == 70_000
    assert max(map(len, batches(world))) == 128


def test_a_long_chunk_is_parsed_in_slices_to_its_end(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also where the connection has ended by then, and where no HTTP stands behind it."""
    monkeypatch.setattr(discovery_call, "MAX_SLICE_BYTES", 50)
    for behind in (b"0\r\n\r\n", b"no HTTP\r\n"):
        world, calls = LongListWorld(tmp_path, "headers_only", "no_response"), list[int]()

        def send(
            node: Node, watch: DiscoveryClient, world: LongListWorld = world, behind: bytes = behind
        ) -> None:
            text = encode(complete_list(8, 30)) + encode(delta(9, b0=REMOVED))
            world.connections[0].send_raw(b"%x\r\n%b\r\n" % (len(text), text) + behind)
            world.connections[0].abort()

        def bytes_received(self: LivenessTimeout, now: float, calls: list[int] = calls) -> None:
            calls.append(1)

        monkeypatch.setattr(LivenessTimeout, "bytes_received", bytes_received)
        world.run_steps(send, seconds=9.0)
        assert len(calls) > 30 and world.applied == [8, 9]
        assert len(world.module.in_force) == 29 and world.requests[1][1].endswith("from=9")
