"""Measured points and the fit of their growth: four forms by least squares, preferring the simplest."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

FORMS: dict[str, Callable[[NDArray[np.float64]], NDArray[np.float64]]] = {
    "constant": np.zeros_like,
    "log": np.log,
    "root": np.sqrt,
    "linear": np.array,
}
"""Forms f of the fit a + b * f(size), from the simplest to the most complex."""
# A simpler form is preferred if its residual is at most 1.1 times the smallest residual.
SIMPLER_FORM_FACTOR = 1.1
# Relative residuals below 1e-9 are rounding errors.
ROUNDING_RESIDUAL = 1e-9
# Values below 1% of the largest are weighted as if they were 1% of it, so that a zero has a finite weight.
MIN_WEIGHT_SHARE = 0.01
# Every form has two parameters and fits any two points exactly, so a slope needs at least three sizes.
MIN_SIZES = 3


@dataclass(slots=True, frozen=True)
class Point:
    """One figure of one role, measured at one size.

    A role is for example "module", "list", "membership" or "recovery", a figure "answer" or "change", and a
    unit "ms", "us", "bytes", "datagrams/s" or "entries". The size is the number of backends, members, request
    classes or tenants. Exact values are counted and depend only on the seed; times and memory also depend on
    the machine.
    """

    role: str
    figure: str
    unit: str
    size: int
    value: float
    exact: bool


@dataclass(slots=True, frozen=True)
class Slope:
    """The growth of one figure, fitted as value = a + b * f(size).

    `fit` is the key of f in FORMS, `residual` the root mean square of the relative errors, corrected for the
    degrees of freedom. `target` is the size planned in two years, `at_target` the value of the fit there, and
    `beyond` the ratio of the target to the largest measured size.
    """

    role: str
    figure: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    exact: bool
    fit: str
    a: float
    b: float
    residual: float
    target: int
    at_target: float
    beyond: float


@dataclass(slots=True, frozen=True)
class NotPlayed:
    """A measurement that was left out, or that did not end within its time limit."""

    what: str
    why: str


@dataclass(slots=True, frozen=True)
class Part:
    """A part of a play at one size that can run in a worker process.

    `run` takes a seed and must be picklable. Parts with the longest estimated run time start first.
    """

    name: str
    run: Callable[[int], Iterable[Point | NotPlayed]]
    estimated_s: float


@dataclass(slots=True, frozen=True)
class Play:
    """A measurement of some figures at all its sizes, which ends by itself within a bounded time.

    `run` takes a seed and yields points as they are measured. `target` is the size planned in two years.
    `limits` is a text for the report: what stubs replace, and what the simulation leaves out. A play that can
    run in parallel processes has the same measurements, in the same order, as `parts`.
    """

    name: str
    run: Callable[[int], Iterable[Point | NotPlayed]]
    target: int
    limits: str
    parts: tuple[Part, ...] = ()


def fit(points: Sequence[Point], target: int) -> Slope:
    """Fit the growth of one figure of one role.

    Errors count relative to the value: sizes span a factor of 16 or more, and absolute errors at the largest
    sizes would hide those at the small ones. If no measured value is negative, a form that is negative at
    the target is rejected.

    Raises:
        ValueError: The points are of several figures, or of fewer than MIN_SIZES sizes.
    """
    if len({(p.role, p.figure, p.unit) for p in points}) != 1:
        raise ValueError("all points of a slope must be of one figure, got points of several figures")
    if len({p.size for p in points}) < MIN_SIZES:
        raise ValueError(f"a slope needs points of at least {MIN_SIZES} sizes")
    ordered = sorted(points, key=lambda p: p.size)
    sizes = np.array([p.size for p in ordered], dtype=np.float64)
    values = np.array([p.value for p in ordered], dtype=np.float64)
    largest = float(np.max(np.abs(values)))
    scale = np.maximum(np.abs(values), max(MIN_WEIGHT_SHARE * largest, ROUNDING_RESIDUAL))
    tried = {form: _least_squares(form, sizes, values, scale) for form in FORMS}
    if float(np.min(values)) >= 0:
        tried = {form: found for form, found in tried.items() if fitted_value(form, *found[:2], target) >= 0}
    least_residual = min(residual for _, _, residual in tried.values())
    bound = max(SIMPLER_FORM_FACTOR * least_residual, ROUNDING_RESIDUAL)
    form = next(form for form, found in tried.items() if found[2] <= bound)
    a, b, residual = tried[form]
    first = ordered[0]
    return Slope(
        role=first.role,
        figure=first.figure,
        unit=first.unit,
        sizes=tuple(p.size for p in ordered),
        values=tuple(p.value for p in ordered),
        exact=all(p.exact for p in ordered),
        fit=form,
        a=a,
        b=b,
        residual=residual,
        target=target,
        at_target=fitted_value(form, a, b, target),
        beyond=target / ordered[-1].size,
    )


def fitted_value(form: str, a: float, b: float, size: float) -> float:
    """Return the value of a fitted form at a size."""
    return a + b * float(FORMS[form](np.array([float(size)]))[0])


def fit_slopes(points: Iterable[Point], target: int) -> list[Slope]:
    """Fit a slope for each figure with enough sizes, in the order of the figures' first points."""
    groups: dict[tuple[str, str, str], list[Point]] = defaultdict(list)
    for point in points:
        groups[point.role, point.figure, point.unit].append(point)
    return [fit(group, target) for group in groups.values() if len({p.size for p in group}) >= MIN_SIZES]


def _least_squares(
    form: str, sizes: NDArray[np.float64], values: NDArray[np.float64], scale: NDArray[np.float64]
) -> tuple[float, float, float]:
    """Return a, b and the relative residual, corrected for the degrees of freedom."""
    columns = [np.ones_like(sizes)] if form == "constant" else [np.ones_like(sizes), FORMS[form](sizes)]
    matrix = np.stack(columns, axis=1) / scale[:, None]
    found, *_ = np.linalg.lstsq(matrix, values / scale, rcond=None)
    errors = matrix @ found - values / scale
    residual = float(np.sqrt(np.sum(errors**2) / max(1, len(values) - len(columns))))
    return float(found[0]), float(found[1]) if len(found) > 1 else 0.0, residual
