"""Test updates of the endpoint list that are applied in slices, and updates that arrive in the meantime."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balancer.interface import EndpointPhase, ListUpdateKind
from balancer.net.discovery import DiscoveryClient
from balancer.net.endpoints import EndpointUpdate
from balancer.net.node import Node
from balancer.net.takeover import prepare_takeover
from balancer.policy import Balancer
from tests.long_lists import (
    BATCH_ENTRIES,
    DRAINING,
    IN_SERVICE,
    MAX_SHORT_ENTRIES,
    REMOVED,
    FakeCpuClock,
    LongListSimulation,
    batches,
    complete_list,
    delta,
    encode,
    member,
    small_limits,
)

# Tests request this imported fixture by name.
__all__ = ["small_limits"]
pytestmark = pytest.mark.usefixtures("small_limits")


def test_a_long_list_is_reported_once_all_slices_are_applied(tmp_path: Path) -> None:
    sim, seen = LongListSimulation(tmp_path), list[tuple[bool, bool, int]]()

    def send(node: Node, discovery: DiscoveryClient) -> None:
        sim.module.on_update = lambda _: seen.append(
            (node.has_endpoints, node.endpoints_received.is_set(), len(sim.applied))
        )
        sim.send(complete_list(8, 30))(node, discovery)

    node = sim.run_steps(send)
    assert {ready for ready, _, _ in seen} == {fresh for _, fresh, _ in seen} == {False}
    assert node.has_endpoints and node.endpoints_received.is_set() and sim.applied == [8]
    assert len(batches(sim)) == 15 and max(map(len, batches(sim))) == BATCH_ENTRIES
    assert {kind for kind, _ in sim.module.updates} == {ListUpdateKind.DELTA}
    assert sim.module.in_force == dict.fromkeys((f"b{i}" for i in range(30)), IN_SERVICE)
    assert node.pool.members.keys() == sim.module.in_force.keys() and node.pool.in_service_count == 30


def test_drained_and_removed_backends_are_sent_first_and_unchanged_ones_not_at_all(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    sim.run_steps(
        sim.send(complete_list(8, 30)),
        lambda *_: sim.module.updates.clear(),
        sim.send(complete_list(9, 40, b3=REMOVED, b4=DRAINING, b5=REMOVED, b31=DRAINING)),
    )
    sent = [item for batch in batches(sim) for item in batch.items()]
    assert sent[:3] == [("b3", REMOVED), ("b5", REMOVED), ("b4", DRAINING)]
    assert sent[3:-1] == [(f"b{i}", IN_SERVICE) for i in range(30, 40) if i != 31]
    assert sent[-1] == ("b31", DRAINING)  # The drain of a new backend is not urgent.


def test_a_long_list_without_changes_sends_one_empty_batch(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    sim.run_steps(
        sim.send(complete_list(8, 30)),
        lambda *_: sim.module.updates.clear(),
        sim.send(complete_list(9, 30)),
    )
    assert sim.module.updates == [(ListUpdateKind.DELTA, {})] and sim.applied == [8, 9]


def test_a_member_with_a_changed_address_or_zone_is_sent(tmp_path: Path) -> None:
    moved = EndpointUpdate(
        9, True, (member("b0", port=10), member("b1", zone="b"), *complete_list(9, 30).members[2:])
    )
    sim = LongListSimulation(tmp_path)
    node = sim.run_steps(
        sim.send(complete_list(8, 30)), lambda *_: sim.module.updates.clear(), sim.send(moved)
    )
    assert batches(sim) == [{"b0": IN_SERVICE, "b1": IN_SERVICE}]
    assert node.pool.members["b0"].address == ("127.0.0.1", 10) and sim.module.entries["b1"].zone == "b"


def test_only_the_first_batch_of_a_cached_list_is_marked_as_cached(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    cached = EndpointUpdate(7, True, (member("b0", DRAINING), *complete_list(7, 30).members[1:]))
    fresh = list[bool]()

    async def run_node() -> None:
        node = Node(sim.config)
        node.balancer = cast(Balancer, sim.module)
        node.update_endpoints(cached, ListUpdateKind.CACHED)
        await node.endpoint_updater.wait_idle()
        fresh.extend((node.endpoints_received.is_set(), node.has_endpoints))

    sim.loop.run_until_complete(run_node())
    sim.loop.close()
    assert [kind for kind, _ in sim.module.updates] == [ListUpdateKind.CACHED] + [ListUpdateKind.DELTA] * 15
    # The decision module calls discovery on a cached list only if a backend in it is in service.
    assert IN_SERVICE in batches(sim)[0].values()
    assert fresh == [False, True] and len(sim.module.in_force) == 30


def test_a_delta_during_a_list_drains_and_removes_backends_at_once(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    newer = encode(delta(9, b0=REMOVED, b29=REMOVED, b28=DRAINING, b40=IN_SERVICE))
    sim.module.on_update = lambda batch: (
        sim.connections[0].send_chunk(newer, first=False) if batch == 5 else None
    )
    sim.run_steps(sim.send(complete_list(8, 30)))
    sent = batches(sim)  # The delta is long enough to be decoded in slices as well.
    assert 5 <= sent.index({"b0": REMOVED}) <= 8 and any("b27" in batch for batch in sent[9:])
    assert not any(batch.get("b29") is IN_SERVICE or batch.get("b28") is IN_SERVICE for batch in batches(sim))
    assert sim.applied == [8, 9]
    in_service = [*(f"b{i}" for i in range(1, 28)), "b40"]
    assert sim.module.in_force == dict.fromkeys(in_service, IN_SERVICE) | {"b28": DRAINING}


def test_a_backend_removed_and_restored_by_pending_deltas_is_in_service(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    later = [
        delta(9, b0=REMOVED, b29=REMOVED),
        delta(10, b0=IN_SERVICE, b29=IN_SERVICE),
        delta(10, b1=REMOVED),
        delta(9, b2=REMOVED),
    ]
    sim.run_steps(sim.send(complete_list(8, 30), *later))
    assert sim.applied == [8, 9, 10] and sim.module.in_force == dict.fromkeys(
        (f"b{i}" for i in range(30)), IN_SERVICE
    )


def test_a_newer_complete_list_supersedes_the_one_being_applied(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    newer = encode(complete_list(9, 12, b1=REMOVED))
    sim.module.on_update = lambda batch: (
        sim.connections[0].send_chunk(newer, first=False) if batch == 4 else None
    )
    node = sim.run_steps(sim.send(complete_list(8, 30)))
    assert sim.applied == [9] and sim.module.in_force.keys() == {"b0", *(f"b{i}" for i in range(2, 12))}
    assert node.pool.members.keys() == sim.module.in_force.keys()
    names = [name for batch in batches(sim) for name in batch]
    # The rest of the older list must not be sent after a newer list has arrived.
    assert len(names) < 30 and names.count("b0") == 1


@pytest.mark.parametrize("slices", range(20))
def test_a_backend_removed_by_a_list_and_a_delta_is_removed_once(tmp_path: Path, slices: int) -> None:
    """Guards against an error when a list omits a backend that a delta removes while the list is applied."""
    sim = LongListSimulation(tmp_path)

    def send(node: Node, _: DiscoveryClient) -> None:
        node.update_endpoints(complete_list(9, 4), ListUpdateKind.SNAPSHOT)
        later = delta(10, b29=REMOVED, b28=REMOVED)
        work = node.loop.call_soon

        def wait(left: int) -> None:
            work(wait, left - 1) if left else node.update_endpoints(later, ListUpdateKind.DELTA)

        wait(slices)

    node = sim.run_steps(sim.send(complete_list(8, 30)), send)
    assert sim.module.in_force.keys() == node.pool.members.keys() == {"b0", "b1", "b2", "b3"}
    assert sim.applied == [8, 9, 10]


@pytest.mark.parametrize(("rest_at", "listens_at"), [(2.1, 2.1), (None, 3.1)])
def test_a_successor_listens_once_a_long_list_is_in_force(
    tmp_path: Path, rest_at: float | None, listens_at: float
) -> None:
    """If the list stays incomplete, the successor listens with the cached list after the timeout."""
    sim, data = LongListSimulation(tmp_path), encode(complete_list(8, 30))
    seen = list[tuple[float, int]]()

    async def take_over(node: Node) -> None:
        await prepare_takeover(node, cast(Any, SimpleNamespace(has_guaranteed_share=True)), False)
        seen.append((round(sim.now, 2), len(sim.module.in_force)))

    def begin(node: Node, _: DiscoveryClient) -> None:
        sim.task = node.loop.create_task(take_over(node))
        sim.connections[0].send_chunk(data[:700], first=False)
        if rest_at is not None:
            node.loop.call_at(rest_at, lambda: sim.connections[0].send_chunk(data[700:], first=False))

    sim.run_steps(begin, seconds=4.0)
    assert seen == [(listens_at, 30 if rest_at else 0)]


def test_an_empty_line_after_a_long_list_is_processed_after_it(tmp_path: Path) -> None:
    sim, seen = LongListSimulation(tmp_path), list[bool]()

    def send(node: Node, _: DiscoveryClient) -> None:
        sim.module.on_update = lambda _: seen.append(node.endpoints_received.is_set())
        sim.connections[0].send_chunk(encode(complete_list(8, 30)) + b"\n\n", first=False)

    node = sim.run_steps(send)
    assert seen and not any(seen) and node.endpoints_received.is_set() and sim.applied == [8]


def test_an_empty_line_confirms_the_current_list(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)
    node = sim.run_steps(lambda *_: sim.connections[0].send_chunk(b"\n", first=False))
    assert node.endpoints_received.is_set() and sim.applied == [-1]


def test_a_pause_is_as_long_as_the_slice_before_it(tmp_path: Path) -> None:
    sim, at = LongListSimulation(tmp_path), list[float]()
    sim.module.on_update = lambda _: at.append(sim.now)

    def send(node: Node, discovery: DiscoveryClient) -> None:
        node.scheduler.skips_pauses = False
        node.scheduler.clock = FakeCpuClock(0.003)
        assert discovery.watch_call is not None
        discovery.receiver.apply(discovery.watch_call, complete_list(8, 30))

    sim.run_steps(send)
    assert len(at) == 15
    assert [round(b - a, 6) for a, b in pairwise(at)] == [0.003] * 14


def test_a_complete_list_of_discovery_supersedes_cached_and_repeated_updates(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def put(node: Node, _: DiscoveryClient) -> None:
        node.update_endpoints(complete_list(8, 30, b3=REMOVED), ListUpdateKind.SNAPSHOT)
        node.update_endpoints(complete_list(7, 30, b1=DRAINING, b2=DRAINING), ListUpdateKind.CACHED)
        node.update_endpoints(
            EndpointUpdate(7, False, (member("b3"),), is_repeated=True), ListUpdateKind.DELTA
        )

    sim.run_steps(put, seconds=2.0)
    assert sim.module.in_force == dict.fromkeys((f"b{i}" for i in range(30) if i != 3), IN_SERVICE)


def test_a_delta_of_discovery_is_applied_after_a_later_cached_list(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def put(node: Node, _: DiscoveryClient) -> None:
        node.update_endpoints(complete_list(7, 30), ListUpdateKind.CACHED)
        node.update_endpoints(delta(8, b1=IN_SERVICE, b4=REMOVED), ListUpdateKind.DELTA)
        node.update_endpoints(complete_list(7, 30, b1=DRAINING, b2=DRAINING), ListUpdateKind.CACHED)

    sim.run_steps(put, seconds=2.0)
    assert sim.applied == [8]
    assert "b4" not in sim.module.in_force
    assert [sim.module.in_force[name] for name in ("b1", "b2", "b3")] == [IN_SERVICE, DRAINING, IN_SERVICE]


def test_updates_put_by_the_callback_of_an_applied_one_are_applied_in_order(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def send(node: Node, _: DiscoveryClient) -> None:
        def list_received(update: EndpointUpdate, kind: ListUpdateKind) -> None:
            sim.applied.append(update.revision)
            if update.revision == 8:
                node.update_endpoints(delta(9, b0=REMOVED), ListUpdateKind.DELTA)
                node.update_endpoints(complete_list(10, 20), ListUpdateKind.SNAPSHOT)
                node.update_endpoints(delta(11, b1=REMOVED), ListUpdateKind.DELTA)

        cast(Any, node.fleet).list_received = list_received
        sim.send(complete_list(8, 30))(node, _)

    sim.run_steps(send)
    assert sim.applied == [8, 9, 10, 11]
    assert sim.module.in_force == dict.fromkeys((f"b{i}" for i in range(20) if i != 1), IN_SERVICE)


def test_an_exception_while_a_list_is_applied_does_not_block_the_next_list(tmp_path: Path) -> None:
    sim = LongListSimulation(tmp_path)

    def fail_once(node: Node, _: DiscoveryClient) -> None:
        def fails(*_: object) -> None:
            cast(Any, node.fleet).list_received = lambda update, kind: sim.applied.append(update.revision)
            raise RuntimeError

        cast(Any, node.fleet).list_received = fails
        sim.loop.set_exception_handler(lambda loop, context: None)
        sim.send(complete_list(8, 30))(node, _)

    sim.run_steps(fail_once, sim.send(complete_list(9, 31)))
    assert sim.applied == [9] and len(sim.module.in_force) == 31


NAMES = [f"b{i}" for i in range(14)]
LISTS = st.dictionaries(
    st.sampled_from(NAMES),
    st.sampled_from([IN_SERVICE, IN_SERVICE, DRAINING]),
    min_size=MAX_SHORT_ENTRIES + 1,
)
CHANGES = st.dictionaries(
    st.sampled_from(NAMES), st.sampled_from([IN_SERVICE, DRAINING, REMOVED]), max_size=9
)
UPDATES = st.tuples(st.just(True), LISTS) | st.tuples(st.just(False), CHANGES)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.tuples(UPDATES, st.integers(0, 6), st.integers(1, 3)), max_size=8))
def test_updates_at_any_slice_have_the_same_result_as_if_applied_at_once(
    tmp_path: Path, updates: list[tuple[tuple[bool, dict[str, EndpointPhase]], int, int]]
) -> None:
    """Guards against a backend that is put into service after the last update has removed it."""
    sim, expected = LongListSimulation(tmp_path), dict[str, EndpointPhase]()

    async def run_node() -> None:
        node = sim.node(sim.config)
        last = dict[str, EndpointPhase]()

        def check_batch(_: int) -> None:
            batch = sim.module.updates[-1][1]
            assert not any(phase is IN_SERVICE and last.get(name) is REMOVED for name, phase in batch.items())

        sim.module.on_update = check_batch
        for number, ((complete, phases), slices, port) in enumerate(updates, 1):
            members = tuple(member(name, phase, port=port) for name, phase in phases.items())
            last = phases if not complete else dict.fromkeys(NAMES, REMOVED) | phases
            kind = ListUpdateKind.SNAPSHOT if complete else ListUpdateKind.DELTA
            node.update_endpoints(EndpointUpdate(number, complete, members), kind)
            if complete:
                expected.clear()
            expected.update(phases)
            for _ in range(slices):
                await asyncio.sleep(0)
        while node.endpoint_updater.pending:
            await asyncio.sleep(0)
        in_force = {name: phase for name, phase in expected.items() if phase is not REMOVED}
        assert sim.module.in_force == in_force
        assert {name: m.phase is IN_SERVICE for name, m in node.pool.members.items()} == {
            name: phase is IN_SERVICE for name, phase in in_force.items()
        }
        assert node.pool.in_service_count == sum(phase is IN_SERVICE for phase in in_force.values())
        assert not updates or sim.applied[-1] == len(updates)
        cast(DiscoveryClient, node.discovery).watch(False)

    try:
        sim.loop.run_until_complete(run_node())
    finally:
        sim.loop.close()
