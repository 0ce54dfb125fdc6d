"""Run the plays of all roles, and write their points and slopes to `scale.json` and `scale.html`."""

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
from balancer.lab.scale.parallel_parts import PartResult, default_workers, played
from balancer.lab.scale.points import FORMS, NotPlayed, Play, Point, Slope, slopes

VERSION = 1
# s for all plays, of 15 and 2 minutes: the report takes the rest. What does not fit any more is not played.
TIME_LIMIT_S, QUICK_TIME_LIMIT_S = 840.0, 90.0
COLUMNS = 3


class Played(msgspec.Struct, frozen=True):
    """A play that was run."""

    name: str
    target: int
    limits: str
    seconds: float  # of its parts together, where they were played beside one another


class Result(msgspec.Struct, frozen=True):
    """What `scale.json` holds."""

    version: int
    seed: int
    quick: bool
    program: str  # see `program`
    python: str
    machine: str
    load: float  # mean number of processes that wanted a core in the minute before: other work counts, too
    seconds: float
    plays: list[Played]
    points: list[Point]
    slopes: list[Slope]
    not_played: list[NotPlayed]


def program() -> str:
    """Return the commit, with a mark where files differ from it; "unknown" without git."""
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
    """The bounds and the observer of one run."""

    seed: int
    limit_s: float  # s for all of them
    until: float  # when that is over, by the monotonic clock
    observe: Callable[[str, Point | None], None]  # hears of each play as it begins, and of each point

    @property
    def is_over(self) -> bool:
        """Whether the time is over, so that nothing more begins."""
        return time.monotonic() > self.until

    def not_played_in_time(self, what: str) -> NotPlayed:
        """Return the mark of a play for which there was no time."""
        return NotPlayed(what, f"the {self.limit_s:g} s of the whole command were over")


@dataclass(slots=True, frozen=True)
class PlayResult:
    """The results of one play."""

    items: list[Point | NotPlayed]
    seconds: float | None  # that it took, all its parts together; None: it was not begun


def run(
    plays: Sequence[Play], seed: int, quick: bool, observe: Callable[[str, Point | None], None],
    workers: int | None = None,
) -> Result:  # fmt: skip
    """Run plays one at a time, then those that have parts in `workers` processes, see `workers_most`.

    `tell` hears of each play as it begins, and of each point.
    """
    version, load, begin = program(), os.getloadavg()[0], time.monotonic()
    limit_s = QUICK_TIME_LIMIT_S if quick else TIME_LIMIT_S
    course = RunBounds(seed, limit_s, begin + limit_s, observe)
    results = {play.name: _play_alone(play, course) for play in plays if not play.parts}
    results |= _play_parts([play for play in plays if play.parts], course, workers or default_workers())
    points: list[Point] = []
    found: list[Slope] = []
    not_played_in_time: list[NotPlayed] = []
    done: list[Played] = []
    for play in plays:
        items, seconds = results[play.name].items, results[play.name].seconds
        mine = [item for item in items if isinstance(item, Point)]
        points += mine
        found += slopes(mine, play.target)
        not_played_in_time += [item for item in items if isinstance(item, NotPlayed)]
        if seconds is not None:
            done.append(Played(play.name, play.target, play.limits, round(seconds, 1)))
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
        slopes=found,
        not_played=not_played_in_time,
    )


def _play_alone(play: Play, course: RunBounds) -> PlayResult:
    """Run one play in this process; check the time after each item."""
    if course.is_over:
        return PlayResult([course.not_played_in_time(play.name)], None)
    begin, items = time.monotonic(), list[Point | NotPlayed]()
    course.observe(play.name, None)
    for item in play.run(course.seed):
        items.append(item)
        if isinstance(item, Point):
            course.observe(play.name, item)
        if course.is_over:
            items.append(course.not_played_in_time(f"{play.name}, the rest"))
            break
    return PlayResult(items, time.monotonic() - begin)


def _play_parts(plays: Sequence[Play], course: RunBounds, workers: int) -> dict[str, PlayResult]:
    """Run the parts of plays in parallel processes; their points keep the order of the parts."""
    if course.is_over:
        return {play.name: PlayResult([course.not_played_in_time(play.name)], None) for play in plays}
    for play in plays:
        course.observe(play.name, None)
    of = {part.name: play.name for play in plays for part in play.parts}
    parts, done = [part for play in plays for part in play.parts], dict[str, PartResult]()
    for ended in played(parts, course.seed, workers, course.until, course.not_played_in_time):
        done[ended.part.name] = ended
        for item in ended.items:
            if isinstance(item, Point):
                course.observe(of[ended.part.name], item)
    return {
        play.name: PlayResult(
            [item for part in play.parts for item in done[part.name].items],
            sum(done[part.name].seconds for part in play.parts),
        )
        for play in plays
    }


def _rounded(point: Point) -> Point:
    """Return a point with six digits, or as it is where it was counted."""
    value = point.value if point.exact else float(f"{point.value:.6g}")
    return Point(point.role, point.figure, point.unit, point.size, value, point.exact)


def encode(result: Result) -> bytes:
    """Encode `scale.json` with a line for each value, so that two runs can be compared as text."""
    text = msgspec.json.encode(result)
    return msgspec.json.format(text, indent=1) + b"\n"


def read(path: Path) -> Result:
    """Read a result; raises OSError, msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Result)


def write(result: Result, out: Path) -> None:
    """Write both files; raises OSError."""
    out.mkdir(parents=True, exist_ok=True)
    (out / "scale.json").write_bytes(encode(result))
    (out / "scale.html").write_text(report(result), "utf-8")


def report(result: Result) -> str:
    """Return an HTML page: a plot and a row for each slope, and what was left out."""
    rows = [
        (s.role, s.figure, s.unit, s.sizes[0], s.sizes[-1], s.fit, f"{s.residual:.1%}", s.target, s.at_target,
         f"{s.beyond:.3g}", "counted" if s.exact else "measured")
        for s in result.slopes
    ]  # fmt: skip
    head = ("role", "figure", "unit", "from", "to", "fit", "residual", "target", "there", "beyond", "")
    kind = "quick" if result.quick else "whole"
    return html_page(
        "scale: lab report",
        f"<p>{kind} run, seed {result.seed}, program {html.escape(result.program)}, Python {result.python}, "
        f"{html.escape(result.machine)}, load {result.load:g} before it, {result.seconds:g} s</p>",
        table_html(rows, head),
        *(inline_image(plots(group)) for group in by_role(result.slopes).values()),
        "<h2>Not played</h2>",
        table_html([(n.what, n.why) for n in result.not_played], ("what", "why")),
        "<h2>What is hollow</h2>",
        table_html([(p.name, p.seconds, p.limits) for p in result.plays], ("play", "s", "")),
    )


def by_role(found: Iterable[Slope]) -> dict[str, list[Slope]]:
    """Group slopes by role."""
    out: dict[str, list[Slope]] = {}
    for slope in found:
        out.setdefault(slope.role, []).append(slope)
    return out


def plots(group: Sequence[Slope]) -> Figure:
    """Plot each slope: its points, and its fit up to the size of two years."""
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
            axis.set_major_formatter(EngFormatter(sep=""))  # powers of ten as formulas take longest of all
            axis.set_minor_formatter(NullFormatter())
        if ax.get_yscale() == "log":
            ax.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0), numticks=5))
    for ax in axes[len(group) :]:
        ax.set_axis_off()
    return figure
