"""Tests of the slopes of scale measurements: the fit finds the form that generated the points."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest

from balancer.lab.scale.points import Point, fit, fit_slopes, fitted_value

SIZES = (200, 800, 3_000, 12_000, 70_000)
LAWS: dict[str, Callable[[int], float]] = {
    "constant": lambda n: 7.0,
    "log": lambda n: 2.0 + 3.0 * math.log(n),
    "root": lambda n: 2.0 + 0.3 * math.sqrt(n),
    "linear": lambda n: 2.0 + 0.01 * n,
}


def points(law: Callable[[int], float], figure: str = "answer", exact: bool = True) -> list[Point]:
    return [Point("module", figure, "ms", n, law(n), exact) for n in SIZES]


@pytest.mark.parametrize("form", LAWS)
def test_fit_finds_the_form_of_exact_points(form: str) -> None:
    found = fit(points(LAWS[form]), 350_000)
    assert found.fit == form
    assert found.at_target == pytest.approx(LAWS[form](350_000), rel=1e-6)
    assert found.residual < 1e-6
    assert found.beyond == 5.0
    assert found.sizes == SIZES


@pytest.mark.parametrize("form", LAWS)
@pytest.mark.parametrize("seed", range(5))
def test_fit_extrapolates_noisy_points(form: str, seed: int) -> None:
    rng = random.Random(seed)
    noisy = points(lambda n: LAWS[form](n) * rng.uniform(0.99, 1.01))
    found = fit(noisy, 350_000)
    assert found.at_target == pytest.approx(LAWS[form](350_000), rel=0.15)
    assert found.residual < 0.02


def test_simpler_form_is_preferred_if_it_fits_as_well() -> None:
    assert fit(points(lambda n: 5.0 + (n in (800, 12_000)) * 0.05), 70_000).fit == "constant"


def test_figure_that_is_always_zero_is_constant() -> None:
    found = fit(points(lambda n: 0.0), 70_000)
    assert (found.fit, found.at_target, found.residual) == ("constant", 0.0, 0.0)


def test_falling_figure_is_not_extrapolated_below_zero() -> None:
    values = {50: 63.2, 100: 64.5, 200: 51.2, 400: 39.3}
    found = fit([Point("discovery", "delivery", "us", n, v, False) for n, v in values.items()], 5_700)
    assert 0 <= found.at_target <= 39.3
    fallen = fit([Point("a", "b", "ms", n, 100.0 - n, False) for n in (10, 40, 70)], 5_700)
    assert fallen.fit != "linear" and fallen.at_target >= 0
    negative = fit([Point("a", "b", "ms", n, 50.0 - n, False) for n in (10, 40, 70)], 5_700)
    assert (negative.fit, round(negative.at_target, 6)) == ("linear", -5_650.0)


def test_fit_does_not_depend_on_the_order_of_points() -> None:
    assert fit(points(LAWS["root"])[::-1], 9) == fit(points(LAWS["root"]), 9)


def test_slope_is_exact_only_if_all_its_points_are() -> None:
    measured = points(LAWS["linear"])
    timed = Point("module", "answer", "ms", 100, 3.0, False)
    assert fit(measured, 9).exact and not fit([*measured, timed], 9).exact


def test_fit_rejects_points_of_two_figures_or_too_few_sizes() -> None:
    measured = points(LAWS["linear"])
    with pytest.raises(ValueError, match="one figure"):
        fit([*measured, *points(LAWS["log"], "change")], 9)
    with pytest.raises(ValueError, match="3 sizes"):
        fit(measured[:2] * 2, 9)


def test_slopes_are_fitted_for_each_figure_with_enough_sizes() -> None:
    measured = points(LAWS["linear"]) + points(LAWS["log"], "change") + points(LAWS["root"], "few")[:2]
    assert [s.figure for s in fit_slopes(measured, 70_000)] == ["answer", "change"]


def test_fitted_value_evaluates_the_form() -> None:
    assert fitted_value("root", 1.0, 2.0, 9) == 7.0
    assert fitted_value("constant", 1.0, 0.0, 9) == 1.0
