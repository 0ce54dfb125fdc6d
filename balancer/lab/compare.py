"""Compare two programs on the same seeds: paired differences, a bootstrap interval, a significance test.

The interval covers the median difference (percentile bootstrap, 95%). Whether a figure differs is decided by
an exact sign-flip permutation test on the mean difference, with Holm's correction over all compared figures:
a program compared with itself is called different in at most one comparison of twenty, whatever the number
of figures.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from itertools import product
from typing import Any

import numpy as np
from matplotlib.figure import Figure
from numpy.typing import NDArray

from balancer.experiments.random_streams import random_stream
from balancer.lab.figures import COMPARED_FIGURES
from balancer.lab.report import BAD, GOOD, INK, QUIET, html_page, inline_image, table_html

FAMILY_WISE_ERROR_RATE = 0.05
RESAMPLES = 10_000
MAX_EXACT_SEEDS = 12  # The test enumerates all sign flips up to 12 seeds, and samples them above.

Floats = NDArray[np.float64]


@dataclass(slots=True, frozen=True)
class Difference:
    """Difference of one figure between two programs, B minus A, over all seeds."""

    figure: str
    median_a: float
    median_b: float
    median: float  # The median of the paired differences is not the difference of the medians.
    low: float
    high: float
    p: float  # The p value of the sign-flip test includes Holm's correction.
    differs: bool


def median_interval(values: Floats) -> tuple[float, float]:
    """Return the 95% bootstrap interval of the median."""
    picks = random_stream(0, "bootstrap").integers(0, len(values), (RESAMPLES, len(values)))
    medians = np.median(values[picks], axis=1)
    return float(np.quantile(medians, 0.025)), float(np.quantile(medians, 0.975))


def sign_flip_p_value(values: Floats) -> float:
    """Return the p value of the sign-flip permutation test on the mean."""
    if len(values) <= MAX_EXACT_SEEDS:
        signs = np.array(list(product((-1.0, 1.0), repeat=len(values))))
    else:
        signs = random_stream(0, "signs").choice((-1.0, 1.0), (RESAMPLES, len(values)))
    # The tolerance keeps rounding errors from excluding the observed signs from the counted flips.
    return float(np.mean(np.abs(signs @ values) >= abs(values.sum()) * (1 - 1e-12)))


def compare(a: list[dict[str, float]], b: list[dict[str, float]],
            names: Sequence[str] = COMPARED_FIGURES) -> list[Difference]:  # fmt: skip
    """Compare the figures of runs paired by seed; raises KeyError for a figure that a run lacks."""
    pairs = {name: (np.array([f[name] for f in a]), np.array([f[name] for f in b])) for name in names}
    raw = {name: sign_flip_p_value(y - x) if np.any(y != x) else 1.0 for name, (x, y) in pairs.items()}
    corrected, least = {}, 0.0
    for rank, name in enumerate(sorted(raw, key=lambda n: raw[n])):
        least = max(least, min(1.0, raw[name] * (len(raw) - rank)))
        corrected[name] = least
    out = []
    for name, (x, y) in pairs.items():
        low, high = median_interval(y - x)
        out.append(Difference(
            name, float(np.median(x)), float(np.median(y)), float(np.median(y - x)), low, high,
            corrected[name], corrected[name] <= FAMILY_WISE_ERROR_RATE,
        ))  # fmt: skip
    return out


def difference_rows(found: list[Difference]) -> list[dict[str, Any]]:
    """Return the differences as dictionaries for JSON."""
    return [asdict(d) for d in found]


def _picture(a: list[dict[str, float]], b: list[dict[str, float]], found: list[Difference]) -> Figure:
    figure = Figure(figsize=(10.5, 3.0), layout="constrained")
    for ax, item in zip(figure.subplots(1, len(found)).tolist(), found, strict=True):
        for x, y in zip(a, b, strict=True):
            ax.plot(
                [0, 1],
                [x[item.figure], y[item.figure]],
                color=QUIET,
                lw=1,
                marker="o",
                ms=4,
                mfc=INK,
                mec=INK,
            )
        ax.plot([0, 1], [item.median_a, item.median_b], color=BAD if item.differs else GOOD, lw=3, alpha=0.6)
        ax.set_xticks([0, 1], ["A", "B"])
        ax.set_xlim(-0.3, 1.3)
        ax.set_title(item.figure, fontsize=9)
        ax.tick_params(labelsize=8)
    return figure


def compare_page(
    experiment: str,
    names: tuple[str, str],
    a: list[dict[str, float]],
    b: list[dict[str, float]],
    found: list[Difference],
) -> str:
    """Return the HTML report of a comparison."""
    rows = [(d.figure, d.median_a, d.median_b, d.median, d.low, d.high, round(d.p, 4),
             "differs" if d.differs else "no difference found") for d in found]  # fmt: skip
    head = ("figure", "A, median", "B, median", "B - A", "95% from", "to", "p, corrected", "")
    about = f"<p>A is {names[0]}, B is {names[1]}; {len(a)} seeds, each run with both programs.</p>"
    return html_page(
        f"{experiment}: {names[0]} and {names[1]}",
        about,
        table_html(rows, head),
        inline_image(_picture(a, b, found)),
    )
