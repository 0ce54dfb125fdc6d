"""A tier's recovery in the simulation: small schedules hold, planted faults do not, failures are readable."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from balancer.recovery.ban_register import BanEntry
from balancer.sim.recovery_disks import Condition, Disk
from balancer.sim.recovery_environment import Backend, Discovery, warmth
from balancer.sim.recovery_faults import FAULTS
from balancer.sim.recovery_figures import calls_without, mass_return
from balancer.sim.recovery_play import explore, play, shrink
from balancer.sim.recovery_schedule import draw, draw_crossings

SMALL = (3, 4, 5)


def test_small_tiers_recover_within_the_invariants() -> None:
    found = explore(range(60), SMALL, stop=1)
    assert not found.failures, str(shrink(found.failures[0]))
    assert found.yes > 100


@pytest.mark.parametrize("seed", [1000])
def test_crossing_seeds_that_broke_an_invariant_once(seed: int) -> None:
    """Guards the time in which a ban is known to all after a partition has healed."""
    played = play(draw_crossings(seed, (3, 4, 5, 7, 9)))
    assert not played.breaches, str(shrink(played))


def test_requests_that_cross_slow_writes_keep_the_invariants() -> None:
    """Guards against entries that move back where the disks of several nodes are slow and fail."""
    found = explore(range(40), SMALL, stop=1, draw_schedule=draw_crossings)
    assert not found.failures, str(shrink(found.failures[0]))
    assert found.yes > 300


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
def test_planted_faults_are_found(name: str) -> None:
    fault = FAULTS[name]
    breach = explore(range(40), fault.counts, fault.make, 1, fault.draw_schedule).first()
    assert breach is not None and breach.invariant in fault.found_by


def test_a_failure_shrinks_to_what_it_needs() -> None:
    make = FAULTS["lifted bans are dropped at a restart"].make
    failed = explore(range(40), (3,), make, stop=1).failures[0]
    small = shrink(failed, make)
    assert len(small.schedule.steps) < len(failed.schedule.steps) / 2
    assert small.breaches[0].invariant == failed.breaches[0].invariant
    assert f"seed {failed.schedule.seed}" in str(small) and "BREACH" in str(small)


def test_a_seed_plays_the_same_twice() -> None:
    assert play(draw(5, SMALL)).log == play(draw(5, SMALL)).log


def test_slots_spare_discovery() -> None:
    polled_in_slots = mass_return(16, 1, spread=300.0, slot=250.0)
    assert not polled_in_slots.breaches and polled_in_slots.calls < 16 < calls_without(
        16, 1, spread=300.0, down=8_000.0
    )
    at_once = mass_return(16, 1, 300.0, slot=250.0, make=FAULTS["discovery is polled without slots"].make)
    assert at_once.breaches[0].startswith("turns")


def test_discovery_answers_one_by_one() -> None:
    ends: list[str] = []
    times: list[float] = []

    def plan(at: float, call: Callable[[], None]) -> None:
        times.append(at)
        call()

    discovery = Discovery(plan, lambda: 0.0, serve_ms=400.0)
    for _ in range(4):
        discovery.call(lambda: ends.append("answered"), lambda: ends.append("failed"))
    assert ends == ["answered", "answered", "failed", "failed"]
    assert times == [400.0, 800.0, 1000.0, 1000.0]


def test_a_backend_topples_over_its_budget_and_not_below() -> None:
    for part, falls in ((0.98, False), (1.5, True)):
        backend = Backend(start=0.0)
        toppled = [backend.offer(now, part * 3.0 * warmth(now) * 100.0) for now in range(0, 8_000, 100)]
        assert any(toppled) is falls


@pytest.mark.parametrize(
    ("condition", "found_entries", "sound"),
    [
        (Condition.SOUND, 3, True),
        (Condition.LOST, 0, True),
        (Condition.DAMAGED, 0, False),
        (Condition.SWAPPED, 0, False),
        (Condition.MONTH, 1, True),
    ],
)
def test_what_a_start_finds(condition: Condition, found_entries: int, sound: bool) -> None:
    rows = [BanEntry(f"b{i}", 0, 1, i, True, 0.0) for i in range(3)]
    disk = Disk(records=[(rows[0],)], is_used=True)
    disk.take_image()
    disk.records += [(rows[1],), (rows[2],)]
    found = disk.read(condition, 1_000.0, random.Random(1))
    assert (len(found.entries), found.sound) == (found_entries, sound)
    assert disk.epoch == (condition is not Condition.SOUND)


@pytest.mark.parametrize("seed", [703848, 800662, 900294])
def test_seeds_that_broke_an_invariant_once(seed: int) -> None:
    """Guards: a ban lost to a late clock, a cold backend over its budget, an entry that moves back."""
    played = play(draw(seed, (3, 4, 5, 7, 9)))
    assert not played.breaches, str(shrink(played))
