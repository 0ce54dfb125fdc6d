"""Points of a play and their slope: four forms, least squares, the simplest that fits."""

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
"""The forms a + b * f(size), the simplest first."""
SIMPLER_FORM_FACTOR = 1.1  # a simpler form is taken where its residual is at most so many times the least one
ROUNDING_RESIDUAL = 1e-9  # a relative residual under this is rounding
MIN_WEIGHT_SHARE = (
    0.01  # of the largest value: what is less is weighed as if it were that, so a zero weighs too
)
MIN_SIZES = 3  # a form has two numbers; a slope through two points fits always and shows nothing


@dataclass(slots=True, frozen=True)
class Point:
    """One figure of one role, measured at one size."""

    role: str  # "module", "list", "settings", "membership", "recovery", "durable", "discovery"
    figure: str  # "answer", "choice", "change"
    unit: str  # "ms", "us", "bytes", "datagrams/s", "entries"
    size: int  # what it was measured at: backends, members, classes, tenants
    value: float
    exact: bool  # counted, and the same for a seed; else a time or a memory of the machine it was measured on


@dataclass(slots=True, frozen=True)
class Slope:
    """A figure over its sizes: value = a + b * f(size), f by `fit`."""

    role: str
    figure: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    exact: bool
    fit: str  # a key of FORMS
    a: float
    b: float
    residual: float  # root of the mean square of the relative errors, by what the form leaves free
    target: int  # the size of two years
    at_target: float  # what the fit gives there
    beyond: float  # target by the largest size that was measured


@dataclass(slots=True, frozen=True)
class NotPlayed:
    """A part that a play left out, or that did not end within its bound."""

    what: str
    why: str


@dataclass(slots=True, frozen=True)
class Part:
    """Some figures of a play at one size, which can be had in a process beside others."""

    name: str  # as it is called where it was not played
    run: Callable[[int], Iterable[Point | NotPlayed]]  # from a seed; can be pickled
    cost: float  # about the seconds that it takes: what takes long is begun first


@dataclass(slots=True, frozen=True)
class Play:
    """One play: measures some figures at all its sizes, is bounded, ends by itself."""

    name: str
    run: Callable[[int], Iterable[Point | NotPlayed]]  # from a seed; points come as they are measured
    target: int  # the size of two years of what it grows by
    limits: str  # what of it is hollow, what the stub or the world leaves out
    parts: tuple[Part, ...] = ()  # the same in the same order, where parts can be had beside one another


def fit(points: Sequence[Point], target: int) -> Slope:
    """Fit the slope of one figure of one role; raises ValueError for points of several, or of too few sizes.

    Errors count in proportion to the value: sizes lie over a factor of 16 and more, and the largest would
    hide what the small ones show. A form by which what was never negative would be so at the target is out.
    """
    if len({(p.role, p.figure, p.unit) for p in points}) != 1:
        raise ValueError("the points are not of one figure")
    if len({p.size for p in points}) < MIN_SIZES:
        raise ValueError(f"a slope needs {MIN_SIZES} sizes")
    ordered = sorted(points, key=lambda p: p.size)
    sizes = np.array([p.size for p in ordered], dtype=np.float64)
    values = np.array([p.value for p in ordered], dtype=np.float64)
    largest = float(np.max(np.abs(values)))
    scale = np.maximum(np.abs(values), max(MIN_WEIGHT_SHARE * largest, ROUNDING_RESIDUAL))
    tried = {form: _least_squares(form, sizes, values, scale) for form in FORMS}
    if float(np.min(values)) >= 0:
        tried = {form: found for form, found in tried.items() if at(form, *found[:2], target) >= 0}
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
        at_target=at(form, a, b, target),
        beyond=target / ordered[-1].size,
    )


def at(form: str, a: float, b: float, size: float) -> float:
    """Return the value of a fit at a size."""
    return a + b * float(FORMS[form](np.array([float(size)]))[0])


def slopes(points: Iterable[Point], target: int) -> list[Slope]:
    """Fit the slopes of all figures with enough sizes, in the order of their first points."""
    groups: dict[tuple[str, str, str], list[Point]] = defaultdict(list)
    for point in points:
        groups[point.role, point.figure, point.unit].append(point)
    return [fit(group, target) for group in groups.values() if len({p.size for p in group}) >= MIN_SIZES]


def _least_squares(
    form: str, sizes: NDArray[np.float64], values: NDArray[np.float64], scale: NDArray[np.float64]
) -> tuple[float, float, float]:
    """Return a, b, and the relative residual by the degrees of freedom."""
    columns = [np.ones_like(sizes)] if form == "constant" else [np.ones_like(sizes), FORMS[form](sizes)]
    matrix = np.stack(columns, axis=1) / scale[:, None]
    found, *_ = np.linalg.lstsq(matrix, values / scale, rcond=None)
    errors = matrix @ found - values / scale
    residual = float(np.sqrt(np.sum(errors**2) / max(1, len(values) - len(columns))))
    return float(found[0]), float(found[1]) if len(found) > 1 else 0.0, residual
