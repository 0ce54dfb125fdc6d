"""Tests of parallel parts: points do not depend on the number of workers, and no worker outlives its run."""

from __future__ import annotations

import multiprocessing
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import pytest

from balancer.lab.scale import parallel_parts, runner, shared_state
from balancer.lab.scale.points import NotPlayed, Part, Play, Point

SMALL = {"membership quiet": (4, 6, 8), "membership cold start": (4, 6, 8), "membership faults": (6, 8, 12),
         "recovery return": (4, 5, 6)}  # fmt: skip


def one_point(seed: int, size: int = 1) -> Iterator[Point]:
    yield Point("planted", "answer", "s", size, float(size * seed), True)


def never_ends(seed: int) -> Iterator[Point]:
    time.sleep(3600.0)
    yield from one_point(seed)


def broken(seed: int) -> Iterator[Point]:
    yield from one_point(seed)
    raise ArithmeticError("planted")


def exits(seed: int) -> Iterator[Point]:
    yield from one_point(seed)
    os._exit(1)


def skipped(what: str) -> NotPlayed:
    return NotPlayed(what, "over")


@pytest.fixture
def small_plays(monkeypatch: pytest.MonkeyPatch) -> list[Play]:
    """Return the plays of whole tiers at sizes that are measured quickly."""
    scenarios = [
        replace(scenario, quick_sizes=SMALL[scenario.name])
        for scenario in shared_state.SCENARIOS
        if scenario.name in SMALL
    ]
    monkeypatch.setattr(shared_state, "SCENARIOS", scenarios)
    return shared_state.plays(True)


def test_points_of_a_seed_do_not_depend_on_the_number_of_workers(small_plays: list[Play]) -> None:
    observed: list[str] = []
    planted = Play("planted", one_point, 10, "nothing is real")

    def observe(play: str, point: Point | None) -> None:
        observed.append(play)

    def exact(points: list[Point]) -> list[Point]:
        return [point for point in points if point.exact]

    results = [runner.run([*small_plays, planted], 3, True, observe, workers) for workers in (1, 3)]
    assert exact(results[0].points) == exact(results[1].points)
    assert [p.figure for p in results[0].points] == [p.figure for p in results[1].points]
    alone = [item for play in (*small_plays, planted) for item in play.run(3) if isinstance(item, Point)]
    assert exact(results[0].points) == exact(alone) and len(results[0].points) == len(alone)
    assert [s.figure for s in results[0].slopes] == [s.figure for s in results[1].slopes] != []
    assert [p.name for p in results[0].plays] == [*SMALL, "planted"] and not results[0].not_played
    # Plays that are split into parts run last.
    assert observed[:2] == ["planted", "planted"] and set(observed[2:]) >= SMALL.keys()


def test_only_plays_of_whole_tiers_have_parts_with_unique_names() -> None:
    for quick in (False, True):
        plays = [play for play in shared_state.plays(quick) if play.parts]
        assert [play.name for play in plays] == list(SMALL)
        names = [part.name for play in plays for part in play.parts]
        assert len(set(names)) == len(names)
        assert all(part.estimated_s > 0 for play in plays for part in play.parts)


def test_parts_beyond_the_deadline_are_killed_and_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = [0.0]
    monkeypatch.setattr(parallel_parts, "time", SimpleNamespace(monotonic=lambda: clock[0]))
    parts = [Part("b", never_ends, 1.0), Part("c", never_ends, 1.0), Part("a", one_point, 2.0)]
    found = parallel_parts.run_parts(parts, 7, 1, 600.0, skipped)
    first = next(found)
    assert (first.part.name, first.items) == ("a", list(one_point(7)))
    clock[0] = 600.0
    rest = list(found)
    assert [done.part.name for done in rest] == ["b", "c"]
    assert [done.items for done in rest] == [[skipped("b")], [skipped("c")]]
    assert not multiprocessing.active_children()


def test_abandoned_run_leaves_no_process_behind() -> None:
    found = parallel_parts.run_parts(
        [Part("a", one_point, 2.0), Part("b", never_ends, 1.0)], 7, 2, time.monotonic() + 600.0, skipped
    )
    assert next(found).part.name == "a"
    found.close()
    assert not multiprocessing.active_children()


def test_exception_in_a_part_is_raised() -> None:
    with pytest.raises(ArithmeticError, match="planted"):
        list(parallel_parts.run_parts([Part("a", broken, 1.0)], 7, 1, time.monotonic() + 600.0, skipped))
    assert not multiprocessing.active_children()


def test_part_whose_process_exits_is_reported() -> None:
    (done,) = parallel_parts.run_parts([Part("a", exits, 1.0)], 7, 1, time.monotonic() + 600.0, skipped)
    (item,) = done.items
    assert isinstance(item, NotPlayed) and item.what == "a" and "was terminated" in item.why


def test_plays_after_the_time_limit_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner, "QUICK_TIME_LIMIT_S", -1.0)
    run: Callable[[int], Iterator[Point]] = partial(one_point, size=2)
    play = Play("planted", run, 10, "nothing is real", (Part("planted at 2", run, 1.0),))
    result = runner.run([play], 1, True, lambda *_: None)
    assert [item.what for item in result.not_played] == ["planted"] and not result.plays
