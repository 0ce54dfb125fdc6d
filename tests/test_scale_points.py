"""Slopes of the scale rig: planted forms are found again."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest

from balancer.lab.scale.points import Point, fit, fit_slopes, fitted_value

SIZES = (200, 800, 3_000, 12_000, 70_000)
PLANTED: dict[str, Callable[[int], float]] = {
    "constant": lambda n: 7.0,
    "log": lambda n: 2.0 + 3.0 * math.log(n),
    "root": lambda n: 2.0 + 0.3 * math.sqrt(n),
    "linear": lambda n: 2.0 + 0.01 * n,
}


def points(law: Callable[[int], float], figure: str = "answer", exact: bool = True) -> list[Point]:
    return [Point("module", figure, "ms", n, law(n), exact) for n in SIZES]


@pytest.mark.parametrize("form", PLANTED)
def test_a_planted_form_is_found(form: str) -> None:
    found = fit(points(PLANTED[form]), 350_000)
    assert found.fit == form
    assert found.at_target == pytest.approx(PLANTED[form](350_000), rel=1e-6)
    assert found.residual < 1e-6
    assert found.beyond == 5.0
    assert found.sizes == SIZES


@pytest.mark.parametrize("form", PLANTED)
@pytest.mark.parametrize("seed", range(5))
def test_a_planted_form_is_found_under_noise(form: str, seed: int) -> None:
    rng = random.Random(seed)
    noisy = points(lambda n: PLANTED[form](n) * rng.uniform(0.99, 1.01))
    found = fit(noisy, 350_000)
    assert found.at_target == pytest.approx(PLANTED[form](350_000), rel=0.15)
    assert found.residual < 0.02


def test_the_simpler_form_is_taken_where_it_does_as_well() -> None:
    assert fit(points(lambda n: 5.0 + (n in (800, 12_000)) * 0.05), 70_000).fit == "constant"


def test_a_figure_that_is_nothing_everywhere_is_a_constant() -> None:
    found = fit(points(lambda n: 0.0), 70_000)
    assert (found.fit, found.at_target, found.residual) == ("constant", 0.0, 0.0)


def test_what_falls_is_not_carried_below_nothing() -> None:
    values = {50: 63.2, 100: 64.5, 200: 51.2, 400: 39.3}
    found = fit([Point("discovery", "delivery", "us", n, v, False) for n, v in values.items()], 5_700)
    assert 0 <= found.at_target <= 39.3
    fallen = fit([Point("a", "b", "ms", n, 100.0 - n, False) for n in (10, 40, 70)], 5_700)
    assert fallen.fit != "linear" and fallen.at_target >= 0
    negative = fit([Point("a", "b", "ms", n, 50.0 - n, False) for n in (10, 40, 70)], 5_700)
    assert (negative.fit, round(negative.at_target, 6)) == ("linear", -5_650.0)


def test_the_order_of_points_does_not_matter() -> None:
    assert fit(points(PLANTED["root"])[::-1], 9) == fit(points(PLANTED["root"]), 9)


def test_a_slope_is_exact_only_if_all_its_points_are() -> None:
    some = points(PLANTED["linear"])
    timed = Point("module", "answer", "ms", 100, 3.0, False)
    assert fit(some, 9).exact and not fit([*some, timed], 9).exact


def test_points_of_two_figures_or_too_few_sizes_make_no_slope() -> None:
    some = points(PLANTED["linear"])
    with pytest.raises(ValueError, match="one figure"):
        fit([*some, *points(PLANTED["log"], "change")], 9)
    with pytest.raises(ValueError, match="3 sizes"):
        fit(some[:2] * 2, 9)


def test_slopes_go_by_figure_and_leave_out_what_has_too_few_sizes() -> None:
    some = points(PLANTED["linear"]) + points(PLANTED["log"], "change") + points(PLANTED["root"], "few")[:2]
    assert [s.figure for s in fit_slopes(some, 70_000)] == ["answer", "change"]


def test_at_gives_the_value_of_a_fit() -> None:
    assert fitted_value("root", 1.0, 2.0, 9) == 7.0
    assert fitted_value("constant", 1.0, 0.0, 9) == 1.0
