"""Tests that the figures and ratios in docs/CAPACITY.md agree with the recorded runs and the planned size."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

from balancer.lab.scale import runner, size
from balancer.lab.scale.points import Slope
from balancer.policy import subsetting

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
UNITS = {
    "us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "bytes": 1.0, "KB": 1e3, "MB": 1e6, "GB": 1e9, "%": 0.01,
    "cores": 1.0, "": 1.0, "ms/s": 1e-3,
}  # fmt: skip
COLUMNS = ["role", "figure", "at the size", "from", "beyond", "budget", "ratio", "carried by"]
UNKNOWN = "not known"
MAX_RESIDUAL = 0.25  # Slopes with a residual above 25% do not fit and must not be extrapolated.


@dataclass(frozen=True)
class Row:
    """One row of a table of figures."""

    over: bool
    role: str
    figure: str
    value: str
    mark: str
    beyond: str
    budget: str
    ratio: str
    carried: str


def read_rows() -> list[Row]:
    out, over, within = [], False, False
    for line in PAGE.read_text("utf-8").split("\n"):
        if line.startswith("## "):
            over = line == "## Over budget"
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("|"):
            within = False
        elif cells == COLUMNS:
            within = True
        elif within and not line.startswith("| ---"):
            assert len(cells) == len(COLUMNS), line
            out.append(Row(over, *cells))
    return out


ROWS = read_rows()
RUNS = {path.stem: runner.read(path) for path in sorted((ROOT / "lab" / "scale").glob("*.json"))}


def slope_of(run: str, role: str, figure: str) -> Slope:
    return next(s for s in RUNS[run].slopes if (s.role, s.figure) == (role, figure))


def factor_value(text: str) -> tuple[float, float]:
    """Return one factor of a mark in base units, and its ratio of extrapolation."""
    if found := re.fullmatch(r"size:(\w+)", text):
        return size.DERIVED_FIGURES[found[1]], 1.0
    if found := re.fullmatch(r"(\w+):(\w+)\.(\w+)~", text):
        slope = slope_of(*found.groups())
        return slope.at_target * UNITS.get(slope.unit, 1.0), slope.beyond
    found = re.fullmatch(r"(\w+):(\w+)\.(\w+)@(\d+)", text)
    assert found, f"not a mark: {text!r}"
    run, role, figure, at = found.groups()
    point = next(p for p in RUNS[run].points if (p.role, p.figure, p.size) == (role, figure, int(at)))
    return point.value * UNITS.get(point.unit, 1.0), 1.0


def mark_value(mark: str) -> tuple[float, float]:
    """Return the product of a mark's factors, and their largest ratio of extrapolation."""
    found = [factor_value(part) for part in mark.strip("`").split(" * ")]
    return math.prod(value for value, _ in found), max(beyond for _, beyond in found)


def parse_figure(cell: str) -> tuple[float, float]:
    """Return a figure of the page in base units, and half the value of its last digit."""
    found = re.match(r"([\d,]+)(?:\.(\d+))? ?(us|ms/s|ms|min|s|bytes|KB|MB|GB|%|cores)?(?![\w/])", cell)
    assert found, f"not a figure with a known unit: {cell!r}"
    unit = UNITS[found[3] or ""]
    text = found[1].replace(",", "")
    if found[2]:
        return float(f"{text}.{found[2]}") * unit, 0.5 * 10 ** -len(found[2]) * unit
    zeros = len(text) - len(text.rstrip("0")) if text.strip("0") else 0
    return float(text) * unit, 0.5 * 10 ** min(zeros, max(0, len(text) - 2)) * unit


def agrees(cell: str, value: float) -> bool:
    """Return whether the page shows this value, rounded to the number of digits that it shows."""
    figure, half_digit = parse_figure(cell)
    return abs(figure - value) <= half_digit * (1 + 1e-9) + 1e-12


def marked_rows() -> list[Row]:
    return [row for row in ROWS if row.mark != "-"]


def row_id(row: Row) -> str:
    return f"{row.role}: {row.figure}"


def test_page_has_both_tables_and_every_role() -> None:
    assert sum(row.over for row in ROWS) >= 5 and sum(not row.over for row in ROWS) >= 11
    wanted = {"node, request path", "its list", "its tables", "membership", "recovery", "durable state",
              "console and scrape", "discovery", "control machine", "backend", "network"}  # fmt: skip
    assert {row.role for row in ROWS} >= wanted


@pytest.mark.parametrize("row", marked_rows(), ids=row_id)
def test_figures_agree_with_their_run_or_derived_size(row: Row) -> None:
    value, beyond = mark_value(row.mark)
    assert agrees(row.value, value), f"{row.value!r} on the page, {value:.4g} (base units) by {row.mark}"
    arithmetic = [part.startswith("size:") for part in row.mark.strip("`").split(" * ")]
    if all(arithmetic):
        assert row.beyond == "arithmetic"
    elif beyond <= 1.0:
        assert row.beyond == ("arithmetic on measured" if any(arithmetic) else "measured")
    else:
        assert agrees(row.beyond, beyond), f"{row.beyond!r} on the page, extrapolated by {beyond:.3g}"


def test_rows_without_a_run_have_no_figures() -> None:
    for row in ROWS:
        if row.mark == "-":
            assert row.value in (UNKNOWN, "not measured yet") and (row.beyond, row.ratio) == ("-", "-")


@pytest.mark.parametrize("row", [r for r in ROWS if r.ratio != "-"], ids=row_id)
def test_ratio_is_the_figure_divided_by_its_budget(row: Row) -> None:
    budget = next((b for b in size.BUDGETS.values() if agrees(row.budget, b)), None)
    assert budget, f"{row.budget!r} is not a budget of size.BUDGETS"
    ratio = mark_value(row.mark)[0] / budget
    assert agrees(row.ratio, ratio), f"{row.ratio!r} on the page, {ratio:.3g} by {row.mark}"
    assert (ratio > 1) == row.over


@pytest.mark.parametrize("row", [r for r in ROWS if r.ratio == "-"], ids=row_id)
def test_rows_with_a_figure_and_a_budget_have_a_ratio(row: Row) -> None:
    assert row.budget == "-" or row.mark == "-"
    assert not row.over


def test_rows_over_budget_are_sorted_by_ratio() -> None:
    ratios = [parse_figure(row.ratio)[0] for row in ROWS if row.over]
    assert ratios == sorted(ratios, reverse=True)


def test_each_row_names_its_mechanism() -> None:
    assert all(row.carried for row in ROWS)
    assert all(row.carried.startswith(("today: ", "missing: ", "another run: ")) for row in ROWS)


def test_figures_in_the_text_agree_with_their_run() -> None:
    """Figures in the text, in the form `12 ms (mark)`, are compared like those in the tables."""
    text = re.sub(r"\s+", " ", PAGE.read_text("utf-8"))
    found = re.findall(r"([\d,.]+ ?(?:us|ms|s|min|bytes|KB|MB|GB|%)?) \(`((?:\w+:)[^`]+)`\)", text)
    assert len(found) >= 5
    for cell, mark in found:
        value, _ = mark_value(mark)
        assert agrees(cell, value), f"{cell!r} on the page, {value:.4g} by {mark}"


def test_cited_runs_are_full_runs_with_small_files() -> None:
    cited = {run for row in marked_rows() for run in re.findall(r"(\w+):", row.mark)} - {"size"}
    assert cited and cited <= RUNS.keys()
    for name in cited:
        assert not RUNS[name].quick
        assert (ROOT / "lab" / "scale" / f"{name}.json").stat().st_size < 200_000


def test_page_names_measurements_that_its_runs_skipped() -> None:
    text = PAGE.read_text("utf-8")
    for name in RUNS:
        for item in RUNS[name].not_played:
            assert item.what in text, f"{item.what!r} of {name} was not played: {item.why}"


def test_planned_sizes_agree_with_the_constants_of_the_node() -> None:
    assert size.NODES_PER_ENDPOINT == subsetting.NODES_PER_ENDPOINT
    assert size.BUDGETS["datagram between nodes, bytes"] == size.MAX_DATAGRAM_BYTES


def test_only_slopes_that_fit_are_extrapolated() -> None:
    """Extrapolated slopes have a residual of at most 25%, and the page names cited slopes that have more."""
    text = PAGE.read_text("utf-8")
    for run, role, figure in re.findall(r"(\w+):(\w+)\.(\w+)~", text.replace("RUN:ROLE.FIGURE~", "")):
        assert slope_of(run, role, figure).residual <= MAX_RESIDUAL, f"{run}:{role}.{figure}"
    for run, result in RUNS.items():
        cited = re.findall(rf"{run}:(\w+)\.(\w+)@", text)
        for slope in result.slopes:
            if slope.residual > MAX_RESIDUAL and (slope.role, slope.figure) in cited:
                assert f"`{slope.role}.{slope.figure}` ({slope.residual:.0%})" in text


def test_agreement_depends_on_the_digits_shown() -> None:
    assert agrees("49 ms", 0.0494) and not agrees("49 ms", 0.0496)
    assert agrees("1,900 KB", 1.94e6) and not agrees("1,900 KB", 1.96e6)
    assert agrees("0.33", 0.3333) and agrees("12.3", 12.28) and not agrees("12.3", 12.21)
    assert agrees("5,700", 5_700.0) and agrees("3.2%", 0.032)
