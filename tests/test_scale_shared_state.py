"""Tests of the scale measurements of membership, recovery and durable state at small sizes."""

from __future__ import annotations

import math
from collections.abc import Iterable

import pytest

from balancer.durable import frames
from balancer.durable.records import EndpointListReceived, encode_record
from balancer.durable.state import DurableState, replay
from balancer.lab.scale import durable_state, membership_tiers, power_recovery
from balancer.lab.scale.points import NotPlayed, Point
from balancer.lab.scale.shared_state import Run, plays
from balancer.lab.scale.size import BACKENDS, NODES
from balancer.recovery.config import RecoveryConfig
from balancer.sim.disk import SimulatedDisk
from balancer.sim.members import Network
from balancer.sim.recovery_schedule import BACKENDS as LISTED_BACKENDS

UNITS = {"ms", "us", "bytes", "bytes/s", "datagrams/s", "s", "entries"}
RUNS: list[tuple[Run, tuple[int, ...]]] = [
    (membership_tiers.quiet, (4, 8)), (membership_tiers.one_node, (30, 60)),
    (membership_tiers.cold_start, (4, 8)), (membership_tiers.faults, (6, 12)),
    (power_recovery.whole_tiers, (4, 8)), (power_recovery.poll_slots, (24, 48)),
    (power_recovery.status_datagrams, (8, 5_700)),
    (power_recovery.restarts, (8, 356)),
    (durable_state.measure_stores, (100, 400)), (durable_state.measure_limits, (100,)),
]  # fmt: skip


def points(items: Iterable[Point | NotPlayed]) -> list[Point]:
    """Return all items as points, and fail if a measurement was left out."""
    out = list(items)
    assert not [item for item in out if isinstance(item, NotPlayed)]
    return [item for item in out if isinstance(item, Point)]


@pytest.mark.parametrize(("run", "sizes"), RUNS, ids=lambda value: getattr(value, "__name__", None))
def test_exact_points_depend_only_on_the_seed(run: Run, sizes: tuple[int, ...]) -> None:
    first, second = points(run(sizes, 3)), points(run(sizes, 3))
    assert [p for p in first if p.exact] == [p for p in second if p.exact]
    assert [(p.figure, p.unit, p.size) for p in first] == [(p.figure, p.unit, p.size) for p in second]
    names = [(p.figure, p.size) for p in first]
    assert len(set(names)) == len(names)
    for point in first:
        assert point.unit in UNITS and point.size in sizes
        assert math.isfinite(point.value) and point.value >= 0


@pytest.mark.parametrize("quick", [False, True])
def test_every_play_has_limits_and_a_target_size(quick: bool) -> None:
    found = plays(quick)
    assert len({play.name for play in found}) == len(found)
    assert all(play.limits and play.target in (NODES, BACKENDS) for play in found)


def test_infinite_time_is_reported_as_not_played() -> None:
    factory = membership_tiers.PointFactory("membership", 10)
    assert list(factory.virtual_time("heal_time", 1_500.0)) == [
        Point("membership", "heal_time", "s", 10, 1.5, True)
    ]
    assert [type(item) for item in factory.virtual_time("heal_time", math.inf)] == [NotPlayed]


def test_tier_that_starts_converged_stays_converged() -> None:
    world = membership_tiers.MeteredTier(12, 1, Network())
    world.start_converged()
    assert world.has_converged()
    world.run(world.now + 20_000.0)
    assert world.has_converged() and not world.observations
    assert world.meter.datagrams == world.delivered > 0


def test_meter_counts_bytes_with_headers() -> None:
    meter = membership_tiers.Meter()
    meter.record(1_500.0, b"x" * 100)
    meter.record(1_900.0, b"x" * 50)
    assert (meter.datagrams, meter.total_bytes, meter.bytes_by_second) == (2, 206, {1: 206})


def test_node_receives_all_members_in_a_cold_start() -> None:
    for count in (4, 16):
        found = {p.figure: p.value for p in points(membership_tiers.cold_start((count,), 2))}
        assert found["cold_start_rumours"] + found["cold_start_datagrams"] >= count - 1


def test_repair_sends_all_members() -> None:
    found = {p.figure: p.value for p in points(membership_tiers.one_node((60,), 1))}
    assert found["repair_rumours"] == 60
    # A datagram holds 25 updates, so 60 members need three datagrams.
    assert found["repair_datagrams"] == 3
    # The first datagram is sent at once, the others after one and two probe intervals of 0.7 s.
    assert found["repair_time"] == pytest.approx(1.4, abs=0.1)


def test_poll_slots_delay_the_list_in_large_tiers() -> None:
    found = {(p.figure, p.size): p.value for p in points(power_recovery.poll_slots((24, 960), 1))}
    assert found["turns_told", 24] < found["turns_told", 960]
    # A repeated call waits for at least 1 s, and for 25 ms times the number of nodes.
    assert found["turns_again", 24] == 1.0
    assert found["turns_again", 960] == 24.0


def test_restarted_node_is_full_at_once() -> None:
    found = {p.figure: p.value for p in points(power_recovery.restarts((356,), 1))}
    # Two replies that agree are enough for a restarted node, so it is FULL within 0.1 s.
    assert 0 < found["restart_full"] < found["restart_told"] < 0.1


def test_recovering_tier_restores_bans_from_disk() -> None:
    tier = power_recovery.RecoveringTier(5, 1, RecoveryConfig())
    tier.run_until_recovered()
    assert len(tier.full_at) == len(tier.listed_at) == 5
    for process in tier.processes:
        assert process is not None and process.banned == {LISTED_BACKENDS[0]}


def test_restarted_store_reads_the_written_list() -> None:
    disk, rows = SimulatedDisk(), durable_state.make_list(50, 1)
    node = durable_state.Node(disk)
    size = node.append(EndpointListReceived(7, True, 0.0, rows))
    node.store.close()
    assert size == frames.HEADER.size + len(encode_record(EndpointListReceived(7, True, 0.0, rows)))
    again = durable_state.Node(SimulatedDisk(disk.image()))
    assert again.state.list_revision == 7 and list(again.state.endpoints.values()) == rows


def test_measured_limits_are_the_longest_lists_that_fit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frames, "MAX_PAYLOAD_BYTES", 4_000)
    found = {p.figure: int(p.value) for p in durable_state.measure_limits((200,), 1)}
    assert "most_learned_of_a_quarter" not in found  # The sample of a quarter of 200 backends fits.
    rows = durable_state.make_list(200, 1)

    def record(count: int) -> bytes:
        return encode_record(EndpointListReceived(1, True, durable_state.WALL_CLOCK_MS, rows[:count]))

    most = found["most_list"]
    assert len(record(most)) <= 4_000 < len(record(most + 1))
    assert 0 < found["most_snapshot"] < most


def test_start_is_skipped_for_a_list_that_does_not_fit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frames, "MAX_PAYLOAD_BYTES", 4_000)
    items = list(durable_state.measure_stores((100,), 1))
    figures = {item.figure for item in items if isinstance(item, Point)}
    assert "list_record" in figures and "start_read" not in figures
    assert [item.why.partition(":")[0] for item in items if isinstance(item, NotPlayed)] == ["STA03"]


def test_snapshot_of_learned_state_reads_back() -> None:
    rows = durable_state.make_list(20, 1)
    state = DurableState(
        endpoints={row.backend: row for row in rows}, learned_sample=durable_state.make_sample(rows)
    )
    assert replay(state.encode_snapshot(), []).learned_sample == durable_state.make_sample(rows)
