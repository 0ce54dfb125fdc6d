"""Plays all roles, one after the other or in parts: points, slopes, what was not played; `scale.json` and
`scale.html`.
"""

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
from balancer.lab.report import BAD, GOOD, INK, page, png, table_html
from balancer.lab.scale import control, discovery, listing, module, processes, rack, tables
from balancer.lab.scale.beside import Done, played, workers_most
from balancer.lab.scale.points import FORMS, NotPlayed, Play, Point, Slope, slopes

VERSION = 1
# s for all plays, of 15 and 2 minutes: the report takes the rest. What does not fit any more is not played.
MOST_S, MOST_QUICK_S = 840.0, 90.0
COLUMNS = 3


class Played(msgspec.Struct, frozen=True):
    """One play as it went."""

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
    """The commit that is played, with a mark where files differ from it; "unknown" without git."""
    done = subprocess.run(["git", "-C", str(ROOT), "describe", "--always", "--dirty", "--abbrev=12"],
                          capture_output=True, check=False)  # fmt: skip
    return done.stdout.decode().strip() if not done.returncode else "unknown"


def all_plays(quick: bool) -> list[Play]:
    """All plays in the order of their weight for the page."""
    rooms = (module, listing, tables, discovery, control, processes, rack)
    return [play for room in rooms for play in room.plays(quick)]


@dataclass(slots=True, frozen=True)
class Course:
    """What holds for all plays of one run."""

    seed: int
    most: float  # s for all of them
    until: float  # when that is over, by the monotonic clock
    tell: Callable[[str, Point | None], None]  # hears of each play as it begins, and of each point

    @property
    def over(self) -> bool:
        """Nothing is begun any more."""
        return time.monotonic() > self.until

    def left(self, what: str) -> NotPlayed:
        """What there was no time for."""
        return NotPlayed(what, f"the {self.most:g} s of the whole command were over")


@dataclass(slots=True, frozen=True)
class Went:
    """What came of one play."""

    items: list[Point | NotPlayed]
    seconds: float | None  # that it took, all its parts together; None: it was not begun


def run(
    plays: Sequence[Play], seed: int, quick: bool, tell: Callable[[str, Point | None], None],
    workers: int | None = None,
) -> Result:  # fmt: skip
    """Play them, one at a time; then those that have parts, so many parts at a time, see `workers_most`.

    `tell` hears of each play as it begins, and of each point.
    """
    version, load, begin = program(), os.getloadavg()[0], time.monotonic()
    most = MOST_QUICK_S if quick else MOST_S
    course = Course(seed, most, begin + most, tell)
    went = {play.name: _alone(play, course) for play in plays if not play.parts}
    went |= _beside([play for play in plays if play.parts], course, workers or workers_most())
    points: list[Point] = []
    found: list[Slope] = []
    left: list[NotPlayed] = []
    done: list[Played] = []
    for play in plays:
        items, seconds = went[play.name].items, went[play.name].seconds
        mine = [item for item in items if isinstance(item, Point)]
        points += mine
        found += slopes(mine, play.target)
        left += [item for item in items if isinstance(item, NotPlayed)]
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
        not_played=left,
    )


def _alone(play: Play, course: Course) -> Went:
    """Play one in this process; the time is looked at after each item."""
    if course.over:
        return Went([course.left(play.name)], None)
    begin, items = time.monotonic(), list[Point | NotPlayed]()
    course.tell(play.name, None)
    for item in play.run(course.seed):
        items.append(item)
        if isinstance(item, Point):
            course.tell(play.name, item)
        if course.over:
            items.append(course.left(f"{play.name}, the rest"))
            break
    return Went(items, time.monotonic() - begin)


def _beside(plays: Sequence[Play], course: Course, workers: int) -> dict[str, Went]:
    """Play the parts of these in processes beside one another; their points keep the order of the parts."""
    if course.over:
        return {play.name: Went([course.left(play.name)], None) for play in plays}
    for play in plays:
        course.tell(play.name, None)
    of = {part.name: play.name for play in plays for part in play.parts}
    parts, done = [part for play in plays for part in play.parts], dict[str, Done]()
    for ended in played(parts, course.seed, workers, course.until, course.left):
        done[ended.part.name] = ended
        for item in ended.items:
            if isinstance(item, Point):
                course.tell(of[ended.part.name], item)
    return {
        play.name: Went(
            [item for part in play.parts for item in done[part.name].items],
            sum(done[part.name].seconds for part in play.parts),
        )
        for play in plays
    }


def _rounded(point: Point) -> Point:
    """Counted figures as they are, others to six digits."""
    value = point.value if point.exact else float(f"{point.value:.6g}")
    return Point(point.role, point.figure, point.unit, point.size, value, point.exact)


def encode(result: Result) -> bytes:
    """`scale.json`: a line a point and a slope, so that two runs can be compared as text."""
    text = msgspec.json.encode(result)
    return msgspec.json.format(text, indent=1) + b"\n"


def read(path: Path) -> Result:
    """A result that was written; raises OSError, msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Result)


def write(result: Result, out: Path) -> None:
    """Both files; raises OSError."""
    out.mkdir(parents=True, exist_ok=True)
    (out / "scale.json").write_bytes(encode(result))
    (out / "scale.html").write_text(report(result), "utf-8")


def report(result: Result) -> str:
    """One HTML file: a plot and a row a slope, and what was left out."""
    rows = [
        (s.role, s.figure, s.unit, s.sizes[0], s.sizes[-1], s.fit, f"{s.residual:.1%}", s.target, s.at_target,
         f"{s.beyond:.3g}", "counted" if s.exact else "measured")
        for s in result.slopes
    ]  # fmt: skip
    head = ("role", "figure", "unit", "from", "to", "fit", "residual", "target", "there", "beyond", "")
    kind = "quick" if result.quick else "whole"
    return page(
        "scale: lab report",
        f"<p>{kind} run, seed {result.seed}, program {html.escape(result.program)}, Python {result.python}, "
        f"{html.escape(result.machine)}, load {result.load:g} before it, {result.seconds:g} s</p>",
        table_html(rows, head),
        *(png(plots(some)) for some in by_role(result.slopes).values()),
        "<h2>Not played</h2>",
        table_html([(n.what, n.why) for n in result.not_played], ("what", "why")),
        "<h2>What is hollow</h2>",
        table_html([(p.name, p.seconds, p.limits) for p in result.plays], ("play", "s", "")),
    )


def by_role(found: Iterable[Slope]) -> dict[str, list[Slope]]:
    """The slopes of each role: a picture each."""
    out: dict[str, list[Slope]] = {}
    for slope in found:
        out.setdefault(slope.role, []).append(slope)
    return out


def plots(some: Sequence[Slope]) -> Figure:
    """Each slope: its points, its fit up to the size of two years."""
    rows = -(-len(some) // COLUMNS)
    figure = Figure(figsize=(10.5, 2.6 * rows))
    figure.subplots_adjust(hspace=0.45, wspace=0.25)
    axes: list[Axes] = figure.subplots(rows, COLUMNS, squeeze=False).ravel().tolist()
    for ax, slope in zip(axes, some, strict=False):
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
    for ax in axes[len(some) :]:
        ax.set_axis_off()
    return figure
