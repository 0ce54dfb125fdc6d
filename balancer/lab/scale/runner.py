"""Runs the scale measurements of all roles and writes the results to `scale.json` and `scale.html`."""

from __future__ import annotations

import html
import os
import platform
import subprocess
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import EngFormatter, LogLocator, NullFormatter

from balancer.lab.programs import ROOT
from balancer.lab.report import BAD, GOOD, INK, html_page, inline_image, table_html
from balancer.lab.scale import (
    decision_module,
    dense_hosting,
    discovery,
    endpoint_list,
    rack_failure,
    settings_tables,
    shared_state,
)
from balancer.lab.scale.parallel_parts import PartResult, default_workers, run_parts
from balancer.lab.scale.points import FORMS, NotPlayed, Play, Point, Slope, fit_slopes

VERSION = 1
# The command may take 15 minutes, or 2 if quick, of which the report needs the rest. Plays that would start
# after the limit are skipped.
TIME_LIMIT_S, QUICK_TIME_LIMIT_S = 840.0, 90.0
COLUMNS = 3


class StartedPlay(msgspec.Struct, frozen=True):
    """A play that was started, as the result file lists it."""

    name: str
    target: int
    limits: str
    seconds: float  # The run times of the parts of a parallel play are added up.


class Result(msgspec.Struct, frozen=True):
    """The content of `scale.json`."""

    version: int
    seed: int
    quick: bool
    program: str
    python: str
    machine: str
    load: float  # The one-minute load average before the run shows how busy the machine was with other work.
    seconds: float
    plays: list[StartedPlay]
    points: list[Point]
    slopes: list[Slope]
    not_played: list[NotPlayed]


def program_version() -> str:
    """Return the commit, marked as dirty if files differ from it, or "unknown" without git."""
    done = subprocess.run(["git", "-C", str(ROOT), "describe", "--always", "--dirty", "--abbrev=12"],
                          capture_output=True, check=False)  # fmt: skip
    return done.stdout.decode().strip() if not done.returncode else "unknown"


def all_plays(quick: bool) -> list[Play]:
    """Return all plays in the order of the report."""
    play_modules = (
        decision_module,
        endpoint_list,
        settings_tables,
        discovery,
        shared_state,
        dense_hosting,
        rack_failure,
    )
    return [play for module in play_modules for play in module.plays(quick)]


@dataclass(slots=True, frozen=True)
class RunBounds:
    """The seed, time limit and observer of one run; the deadline is a time of the monotonic clock."""

    seed: int
    limit_s: float
    deadline: float
    # The observer is called with None when a play starts, and with each point that is measured.
    observe: Callable[[str, Point | None], None]

    @property
    def is_over(self) -> bool:
        """Whether the time limit has passed, so that nothing more is started."""
        return time.monotonic() > self.deadline

    def not_played_in_time(self, what: str) -> NotPlayed:
        """Return the entry for a measurement that did not fit into the time limit."""
        return NotPlayed(what, f"the time limit of {self.limit_s:g} s for the whole command had passed")


@dataclass(slots=True, frozen=True)
class PlayResult:
    """The results of one play."""

    items: list[Point | NotPlayed]
    # The run times of the parts of a parallel play are added up; None means that the play was not started.
    seconds: float | None


def run(
    plays: Sequence[Play], seed: int, quick: bool, observe: Callable[[str, Point | None], None],
    workers: int | None = None,
) -> Result:  # fmt: skip
    """Run plays without parts one at a time, then those with parts in `workers` processes.

    The default number of workers is that of `default_workers`. `observe` is called as each play starts, and
    for each point.
    """
    version, load, begin = program_version(), os.getloadavg()[0], time.monotonic()
    limit_s = QUICK_TIME_LIMIT_S if quick else TIME_LIMIT_S
    bounds = RunBounds(seed, limit_s, begin + limit_s, observe)
    results = {play.name: _play_alone(play, bounds) for play in plays if not play.parts}
    results |= _play_parts([play for play in plays if play.parts], bounds, workers or default_workers())
    points: list[Point] = []
    fitted: list[Slope] = []
    left_out: list[NotPlayed] = []
    done: list[StartedPlay] = []
    for play in plays:
        items, seconds = results[play.name].items, results[play.name].seconds
        own_points = [item for item in items if isinstance(item, Point)]
        points += own_points
        fitted += fit_slopes(own_points, play.target)
        left_out += [item for item in items if isinstance(item, NotPlayed)]
        if seconds is not None:
            done.append(StartedPlay(play.name, play.target, play.limits, round(seconds, 1)))
    return Result(
        version=VERSION,
        seed=seed,
        quick=quick,
        program=version,
        python=platform.python_version(),
        machine=f"{os.cpu_count()} cores, {platform.machine()}",
        load=round(load, 2),
        seconds=round(time.monotonic() - begin, 1),
        plays=done,
        points=[_rounded(p) for p in points],
        slopes=fitted,
        not_played=left_out,
    )


def _play_alone(play: Play, bounds: RunBounds) -> PlayResult:
    """Run one play in this process and check the time limit after each item."""
    if bounds.is_over:
        return PlayResult([bounds.not_played_in_time(play.name)], None)
    begin, items = time.monotonic(), list[Point | NotPlayed]()
    bounds.observe(play.name, None)
    for item in play.run(bounds.seed):
        items.append(item)
        if isinstance(item, Point):
            bounds.observe(play.name, item)
        if bounds.is_over:
            items.append(bounds.not_played_in_time(f"{play.name}, the rest"))
            break
    return PlayResult(items, time.monotonic() - begin)


def _play_parts(plays: Sequence[Play], bounds: RunBounds, workers: int) -> dict[str, PlayResult]:
    """Run the parts of plays in parallel processes and keep their points in the order of the parts."""
    if bounds.is_over:
        return {play.name: PlayResult([bounds.not_played_in_time(play.name)], None) for play in plays}
    for play in plays:
        bounds.observe(play.name, None)
    play_names = {part.name: play.name for play in plays for part in play.parts}
    parts, done = [part for play in plays for part in play.parts], dict[str, PartResult]()
    for ended in run_parts(parts, bounds.seed, workers, bounds.deadline, bounds.not_played_in_time):
        done[ended.part.name] = ended
        for item in ended.items:
            if isinstance(item, Point):
                bounds.observe(play_names[ended.part.name], item)
    return {
        play.name: PlayResult(
            [item for part in play.parts for item in done[part.name].items],
            sum(done[part.name].seconds for part in play.parts),
        )
        for play in plays
    }


def _rounded(point: Point) -> Point:
    """Round a measured value to six digits and leave a counted one as it is."""
    value = point.value if point.exact else float(f"{point.value:.6g}")
    return Point(point.role, point.figure, point.unit, point.size, value, point.exact)


def encode(result: Result) -> bytes:
    """Encode the result as JSON with one line for each value, so that two runs can be compared as text."""
    text = msgspec.json.encode(result)
    return msgspec.json.format(text, indent=1) + b"\n"


def read(path: Path) -> Result:
    """Read a result file.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: The file is not a valid result.
    """
    return msgspec.json.decode(path.read_bytes(), type=Result)


def write(result: Result, out: Path) -> None:
    """Write `scale.json` and `scale.html`.

    Raises:
        OSError: The folder or a file cannot be written.
    """
    out.mkdir(parents=True, exist_ok=True)
    (out / "scale.json").write_bytes(encode(result))
    (out / "scale.html").write_text(report(result), "utf-8")


def report(result: Result) -> str:
    """Return an HTML page with a plot and a row for each slope, and the measurements that were left out."""
    rows = [
        (s.role, s.figure, s.unit, s.sizes[0], s.sizes[-1], s.fit, f"{s.residual:.1%}", s.target, s.at_target,
         f"{s.beyond:.3g}", "counted" if s.exact else "measured")
        for s in result.slopes
    ]  # fmt: skip
    head = (
        "role",
        "figure",
        "unit",
        "from",
        "to",
        "fit",
        "residual",
        "target",
        "at target",
        "extrapolation",
        "",
    )
    kind = "quick" if result.quick else "whole"
    return html_page(
        "scale: lab report",
        f"<p>{kind} run, seed {result.seed}, program {html.escape(result.program)}, Python {result.python}, "
        f"{html.escape(result.machine)}, load {result.load:g} before it, {result.seconds:g} s</p>",
        table_html(rows, head),
        *(inline_image(plots(group)) for group in by_role(result.slopes).values()),
        "<h2>Not run</h2>",
        table_html([(n.what, n.why) for n in result.not_played], ("what", "why")),
        "<h2>Limits of the measurements</h2>",
        table_html([(p.name, p.seconds, p.limits) for p in result.plays], ("play", "s", "")),
    )


def by_role(fitted: Iterable[Slope]) -> dict[str, list[Slope]]:
    """Group slopes by role."""
    out: dict[str, list[Slope]] = {}
    for slope in fitted:
        out.setdefault(slope.role, []).append(slope)
    return out


def plots(group: Sequence[Slope]) -> Figure:
    """Plot the points of each slope, and its fit up to the target size."""
    rows = -(-len(group) // COLUMNS)
    figure = Figure(figsize=(10.5, 2.6 * rows))
    figure.subplots_adjust(hspace=0.45, wspace=0.25)
    axes: list[Axes] = figure.subplots(rows, COLUMNS, squeeze=False).ravel().tolist()
    for ax, slope in zip(axes, group, strict=False):
        last = max(slope.target, slope.sizes[-1])
        line = np.geomspace(slope.sizes[0], last, 60)
        ax.plot(line, slope.a + slope.b * FORMS[slope.fit](line), color=GOOD, lw=1.4)
        ax.plot(slope.sizes, slope.values, "o", color=INK, ms=4)
        ax.axvline(slope.target, color=BAD, lw=0.8, ls=":")
        ax.set_xscale("log")
        if min(slope.values) > 0:
            ax.set_yscale("log")
        ax.set_title(f"{slope.role} {slope.figure}, {slope.unit}: {slope.fit}", fontsize=8)
        ax.tick_params(labelsize=7)
        for axis in (ax.xaxis, ax.yaxis):
            # Matplotlib's default labels, powers of ten as formulas, would take most of the drawing time.
            axis.set_major_formatter(EngFormatter(sep=""))
            axis.set_minor_formatter(NullFormatter())
        if ax.get_yscale() == "log":
            ax.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0), numticks=5))
    for ax in axes[len(group) :]:
        ax.set_axis_off()
    return figure
