"""Simulated recovery of tiers: invariants, detection of injected faults, and shrinking of failures."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from balancer.recovery.ban_register import BanEntry
from balancer.sim.recovery_disks import Disk, DiskCondition
from balancer.sim.recovery_environment import Backend, Discovery, warmth
from balancer.sim.recovery_faults import FAULTS
from balancer.sim.recovery_figures import measure_mass_restart, peak_calls_without_slots
from balancer.sim.recovery_play import explore, play, shrink
from balancer.sim.recovery_schedule import draw, draw_crossings

SMALL_TIER_SIZES = (3, 4, 5)


def test_recovery_of_small_tiers_keeps_the_invariants() -> None:
    exploration = explore(range(60), SMALL_TIER_SIZES, stop=1)
    assert not exploration.failures, str(shrink(exploration.failures[0]))
    assert exploration.acknowledged_count > 100


@pytest.mark.parametrize("seed", [1000])
def test_crossing_seeds_that_broke_an_invariant_once(seed: int) -> None:
    """Limits the time until all nodes know a ban after a partition has healed."""
    played = play(draw_crossings(seed, (3, 4, 5, 7, 9)))
    assert not played.violations, str(shrink(played))


def test_requests_during_slow_writes_keep_the_invariants() -> None:
    """Guards against entry versions that decrease when the disks of several nodes are slow and fail."""
    exploration = explore(range(40), SMALL_TIER_SIZES, stop=1, draw_schedule=draw_crossings)
    assert not exploration.failures, str(shrink(exploration.failures[0]))
    assert exploration.acknowledged_count > 300


@pytest.mark.parametrize(
    "name",
    [
        "a lift wins over a concurrent ban",
        "a lift covers a ban that came while it was written",
        "lifted bans are dropped at a restart",
        "a phase is entered again",
        "a request is answered before the sync",
        "a peer's filter restricts everything",
        "bans received while serving are not applied",
        "digests are not answered",
    ],
)
def test_injected_faults_are_found(name: str) -> None:
    fault = FAULTS[name]
    violation = explore(range(40), fault.counts, fault.make_core, 1, fault.draw_schedule).first_violation()
    assert violation is not None and violation.invariant in fault.found_by


def test_failure_shrinks_to_a_shorter_schedule() -> None:
    make_core = FAULTS["lifted bans are dropped at a restart"].make_core
    failed = explore(range(40), (3,), make_core, stop=1).failures[0]
    shrunk = shrink(failed, make_core)
    assert len(shrunk.schedule.steps) < len(failed.schedule.steps) / 2
    assert shrunk.violations[0].invariant == failed.violations[0].invariant
    assert f"seed {failed.schedule.seed}" in str(shrunk) and "VIOLATION" in str(shrunk)


def test_same_seed_results_in_the_same_log() -> None:
    assert play(draw(5, SMALL_TIER_SIZES)).log == play(draw(5, SMALL_TIER_SIZES)).log


def test_poll_slots_limit_the_requests_to_discovery() -> None:
    polled_in_slots = measure_mass_restart(16, 1, spread_ms=300.0, poll_slot_ms=250.0)
    assert (
        not polled_in_slots.violations
        and polled_in_slots.peak_calls_per_s
        < 16
        < peak_calls_without_slots(16, 1, spread_ms=300.0, discovery_down_ms=8_000.0)
    )
    polled_without_slots = measure_mass_restart(
        16, 1, 300.0, poll_slot_ms=250.0, make_core=FAULTS["discovery is polled without slots"].make_core
    )
    assert polled_without_slots.violations[0].startswith("turns")


def test_discovery_answers_requests_in_turn() -> None:
    outcomes: list[str] = []
    times: list[float] = []

    def plan(at: float, call: Callable[[], None]) -> None:
        times.append(at)
        call()

    discovery = Discovery(plan, lambda: 0.0, serve_ms=400.0)
    for _ in range(4):
        discovery.call(lambda: outcomes.append("answered"), lambda: outcomes.append("failed"))
    assert outcomes == ["answered", "answered", "failed", "failed"]
    assert times == [400.0, 800.0, 1000.0, 1000.0]


def test_cold_backend_is_overloaded_only_above_its_budget() -> None:
    for load_fraction, is_overloaded in ((0.98, False), (1.5, True)):
        backend = Backend(start=0.0)
        overloads = [
            backend.offer(now, load_fraction * 3.0 * warmth(now) * 100.0) for now in range(0, 8_000, 100)
        ]
        assert any(overloads) is is_overloaded


@pytest.mark.parametrize(
    ("condition", "found_entries", "sound"),
    [
        (DiskCondition.SOUND, 3, True),
        (DiskCondition.LOST, 0, True),
        (DiskCondition.DAMAGED, 0, False),
        (DiskCondition.SWAPPED, 0, False),
        (DiskCondition.MONTH, 1, True),
    ],
)
def test_start_reads_what_the_condition_of_the_disk_leaves(
    condition: DiskCondition, found_entries: int, sound: bool
) -> None:
    entries = [BanEntry(f"b{i}", 0, 1, i, True, 0.0) for i in range(3)]
    disk = Disk(records=[(entries[0],)], is_used=True)
    disk.take_image()
    disk.records += [(entries[1],), (entries[2],)]
    found = disk.read(condition, 1_000.0, random.Random(1))
    assert (len(found.entries), found.sound) == (found_entries, sound)
    assert disk.epoch == (condition is not DiskCondition.SOUND)


@pytest.mark.parametrize("seed", [703848, 800662, 900294])
def test_seeds_of_former_breaches_keep_the_invariants(seed: int) -> None:
    """Guards against a ban lost to a slow clock, an overloaded cold backend, a decreasing entry version."""
    played = play(draw(seed, (3, 4, 5, 7, 9)))
    assert not played.violations, str(shrink(played))
