"""HTML reports of runs and comparisons: figures in tables, inline plots with a common time axis."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Iterable, Sequence
from itertools import pairwise

import matplotlib

matplotlib.use("Agg")
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import LogLocator, NullFormatter, ScalarFormatter
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, PowerLoss, fault_kind
from balancer.lab import records
from balancer.lab.figures import SERIES_WINDOW_S, Series, backend_loads, member_counts, operations, series
from balancer.lab.summary import Summary
from balancer.lab.timeline import last_step_at

INK, GOOD, BAD, QUIET = "#1f2a37", "#1b7f5c", "#b3261e", "#8a94a3"
SHADE = "#f2c14e"
MAX_NAMED_LANES = 16
MAX_NAMED_FAULTS = 12
STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#1f2a37;max-width:1080px;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:.6em 0 1.6em}td,th{padding:.2em .9em .2em 0;text-align:left;
border-bottom:1px solid #e3e7ec}td.n{text-align:right;font-variant-numeric:tabular-nums}
.held{color:#1b7f5c}.short{color:#b3261e;font-weight:600}img{max-width:100%}h1{font-size:1.5em}
.columns{columns:3;column-gap:2em}.columns table{width:100%}small{color:#5b6573}
"""


def inline_image(figure: Figure) -> str:
    """Return an `img` element with the figure embedded as PNG."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    return f'<img alt="plots" src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def fault_spans(spec: Experiment) -> list[tuple[float, float, str]]:
    """Return the begin (s), end (s) and name of each fault."""
    out = []
    for fault in spec.faults:
        what = getattr(fault, "what", "")
        if isinstance(fault, PowerLoss):
            what = ", ".join(fault.targets)
        if isinstance(fault, LinkFault):
            what = f"{fault.source} {'to and from' if fault.both else 'to'} {fault.destination}"
        out.append(
            (fault.at, max(last_step_at(spec, fault), fault.at + 0.05), f"{fault_kind(fault)} {what}".strip())
        )
    return out


def _shade(axes: Iterable[Axes], spec: Experiment) -> None:
    for ax in axes:
        for begin, end, _ in fault_spans(spec):
            ax.axvspan(begin, end, color=SHADE, alpha=0.22, lw=0)


def _plot_processes(ax: Axes, spec: Experiment, processes: list[records.ProcessRecord]) -> None:
    for process in processes:
        end = process.ended_at / 1000 if process.ended_at else spec.seconds
        end, begin = min(end, spec.seconds), max(0.0, process.started_at / 1000)
        ready = process.ready_at / 1000 if process.ready_at else end
        overlaps = any(
            x.node == process.node and x.process < process.process
            and (not x.ended_at or x.ended_at > process.started_at)
            for x in processes
        )  # fmt: skip
        lane = process.node + (0.25 if process.process and overlaps else 0.0)
        ax.plot([begin, max(begin, ready)], [lane, lane], color=QUIET, lw=2, solid_capstyle="butt")
        if max(0.0, ready) < end:
            ax.plot([max(0.0, ready), end], [lane, lane], color=GOOD, lw=3, solid_capstyle="butt")
        if process.terminated_at and 0 <= process.terminated_at / 1000 < end:
            ax.plot(
                [process.terminated_at / 1000, end],
                [lane, lane],
                color="#d98e04",
                lw=3,
                solid_capstyle="butt",
            )
        if process.ended_at and end < spec.seconds:
            ax.plot([end], [lane], marker="x", color=BAD, ms=5)
    ax.set_ylim(-0.7, spec.fleet.nodes - 0.3)
    ax.invert_yaxis()
    if spec.fleet.nodes <= MAX_NAMED_LANES:
        ax.set_yticks(range(spec.fleet.nodes), spec.node_names)


def _plot_members(ax: Axes, spec: Experiment, run_records: records.RunRecords) -> None:
    """Plot how many members each node's log shows as present, next to the number of live nodes."""
    for points in member_counts(spec, run_records).values():
        ax.step([t for t, _ in points] + [spec.seconds], [n for _, n in points] + [points[-1][1]],
                where="post", color=QUIET, lw=0.8, alpha=0.7)  # fmt: skip
    changes = {at / 1000 for process in run_records.processes for at in (process.ready_at, process.ended_at)
               if 0 < at < spec.seconds * 1000}  # fmt: skip
    edges = sorted({0.0, spec.seconds} | changes)
    alive = [
        len(
            {
                x.node
                for x in run_records.processes
                if x.ready_at and x.ready_at <= t * 1000 and not 0 < x.ended_at <= t * 1000
            }
        )
        for t in edges
    ]
    ax.step(edges, alive, where="post", color=INK, lw=1.6, label="live")
    ax.set(ylabel="members shown as present", xlabel="seconds", ylim=(0, spec.fleet.nodes * 1.08))
    ax.legend(loc="lower right", fontsize=8, frameon=False)


def _plot_phases(ax: Axes, spec: Experiment, run_records: records.RunRecords) -> None:
    """Plot the recovery phases of each node from its log, with one colored bar per phase."""
    shades = {"verify": "#4b5563", "ask": "#b3261e", "listed": "#d98e04", "warming": "#e7c65a", "full": GOOD}
    for process_record in run_records.processes:
        end = min(process_record.ended_at / 1000 if process_record.ended_at else spec.seconds, spec.seconds)
        inside = [
            p
            for p in run_records.recovery_phases
            if process_record.started_at <= p.at and not 0 < process_record.ended_at < p.at
        ]
        mine = sorted((p.at / 1000, p.phase) for p in inside if p.node == process_record.node)
        for (begin, phase), (until, _) in pairwise([*mine, (end, "")]):
            begin, until = max(0.0, begin), min(end, until)
            if begin < until:
                ax.plot([begin, until], [process_record.node] * 2, color=shades.get(phase, INK), lw=4,
                        solid_capstyle="butt")  # fmt: skip
    for phase, shade in shades.items():
        ax.plot([], [], color=shade, lw=4, label=phase)
    ax.set(ylabel="phase", ylim=(-0.7, spec.fleet.nodes - 0.3), xlim=(0, spec.seconds))
    ax.invert_yaxis()
    ax.legend(loc="lower right", fontsize=8, frameon=False, ncols=5)


def plots(spec: Experiment, run_records: records.RunRecords) -> Figure:
    """Plot goodput, load, latency, rejections, load by backend and nodes, with faults as bands."""
    time_series = series(spec, run_records, operations(spec, run_records))
    t = np.array(time_series["t_s"]) + SERIES_WINDOW_S / 2
    heights = [2.2, 2.2, 1.2, 2.2, max(1.2, min(3.5, 0.22 * spec.fleet.nodes))]
    if spec.fleet.membership:
        heights.append(2.2)
    if spec.fleet.recovery:
        heights.append(heights[4])
    figure = Figure(figsize=(10.5, 1.35 * sum(heights)), layout="constrained")
    axes: Sequence[Axes] = figure.subplots(len(heights), 1, sharex=True, height_ratios=heights).tolist()
    goodput, latency, refused, backends, nodes = axes[:5]
    _shade((goodput, latency, refused, nodes), spec)
    _plot_goodput(goodput, spec, time_series, t)
    _plot_latency(latency, time_series, t)
    refused.fill_between(t, time_series["refused_per_s"], color=BAD, alpha=0.5, step="mid")
    refused.set_ylabel("refused / s")
    refused.set_ylim(bottom=0)
    _plot_backend_loads(figure, backends, spec, run_records)
    _plot_processes(nodes, spec, run_records.processes)
    nodes.set(ylabel="nodes", xlabel="seconds", xlim=(0, spec.seconds))
    if spec.fleet.membership:
        _plot_members(axes[5], spec, run_records)
    if spec.fleet.recovery:
        _plot_phases(axes[-1], spec, run_records)
    _shade(axes[5:], spec)
    for ax in (goodput, latency, refused, nodes, *axes[5:]):
        ax.grid(axis="y", color="#e3e7ec", lw=0.6)
        for side in ("top", "right"):
            ax.spines[side].set_visible(False)
    return figure


def _plot_goodput(ax: Axes, spec: Experiment, time_series: Series, t: NDArray[np.float64]) -> None:
    ax.plot(t, time_series["goodput"], color=GOOD, lw=1.8)
    ax.set(ylabel="goodput (share of offered value)", ylim=(0, 1.04))
    load = ax.twinx()
    load.plot(t, time_series["offered_per_s"], color=QUIET, lw=1, ls="--")
    load.set_ylim(0, max(time_series["offered_per_s"], default=1) * 1.3 + 1)
    load.set_ylabel("first attempts / s (dashed)", color=QUIET)
    top = ax.get_ylim()[1]
    for index, (begin, _, name) in enumerate(fault_spans(spec)[:MAX_NAMED_FAULTS]):
        ax.annotate(name, (begin, top), xytext=(2, 4 + 10 * (index % 4)), textcoords="offset points",
                    fontsize=7.5, color="#7a5b00", annotation_clip=False)  # fmt: skip


def _plot_latency(ax: Axes, time_series: Series, t: NDArray[np.float64]) -> None:
    ax.plot(t, time_series["p50_ms"], color=INK, lw=1.4, label="p50")
    ax.plot(t, time_series["p99_ms"], color=BAD, lw=1.4, label="p99")
    ax.set_yscale("log")
    ax.yaxis.set_major_formatter(ScalarFormatter())
    ax.yaxis.set_minor_formatter(NullFormatter())
    ax.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0)))
    ax.set_ylabel("latency of served, ms")
    ax.legend(loc="upper right", fontsize=8, frameon=False)


def _plot_backend_loads(figure: Figure, ax: Axes, spec: Experiment, run_records: records.RunRecords) -> None:
    loads = backend_loads(spec, run_records)
    image = ax.imshow(
        loads, aspect="auto", origin="lower", cmap="viridis", interpolation="nearest",
        extent=(0, loads.shape[1] * SERIES_WINDOW_S, -0.5, spec.backends.count - 0.5),
    )  # fmt: skip
    figure.colorbar(image, ax=ax, pad=0.01, label="attempts / s", fraction=0.05)
    if spec.backends.count <= MAX_NAMED_LANES:
        ax.set_yticks(range(spec.backends.count), spec.backend_names, fontsize=7)
    ax.set_ylabel("backends")


def table_html(rows: Iterable[Sequence[object]], head: Sequence[str]) -> str:
    """Return an HTML table with right-aligned numbers."""
    lines = ["<table><tr>" + "".join(f"<th>{html.escape(h)}</th>" for h in head) + "</tr>"]
    for row in rows:
        cells = []
        for value in row:
            shown = f"{value:.6g}" if isinstance(value, float) else "" if value is None else str(value)
            kind = ' class="n"' if isinstance(value, (int, float)) and not isinstance(value, bool) else ""
            if shown in ("held", "short"):
                kind = f' class="{shown}"'
            cells.append(f"<td{kind}>{html.escape(shown)}</td>")
        lines.append("<tr>" + "".join(cells) + "</tr>")
    return "".join(lines) + "</table>"


def html_page(title: str, *parts: str) -> str:
    """Return a self-contained HTML page."""
    name = html.escape(title)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{name}</title><style>{STYLE}</style>'
        f"<h1>{name}</h1>" + "\n".join(parts) + "</html>\n"
    )


def run_page(spec: Experiment, run_records: records.RunRecords, summary: Summary) -> str:
    """Return the HTML report of one run."""
    expected = [
        (each.figure, each.min, each.max, each.measured, "held" if each.held else "short")
        for each in summary.expectations
    ]
    parts = [
        f"<p>{html.escape(spec.about)}</p><p><small>seed {summary.seed}, program "
        f"{html.escape(summary.program)}, {spec.fleet.nodes} nodes, {spec.backends.count} backends, "
        f"{spec.rate:.0f} first attempts per second for {spec.seconds:g} s; a request's time counts "
        f"from its intended send time</small></p>"
    ]
    if summary.void:
        parts.append(
            '<p class="short">Void: the harness itself was late, so the figures are meaningless.</p>'
        )
    if expected:
        parts.append(table_html(expected, ("expected", "at least", "at most", "measured", "")))
    parts.append(inline_image(plots(spec, run_records)))
    if summary.breaks:
        rows = [(each.rule, each.at_ms, f"n{each.node}", each.text) for each in summary.breaks]
        parts += ["<h2>Broken rules</h2>", table_html(rows, ("rule", "at, ms", "node", "what"))]
    parts += [
        "<h2>All figures</h2><div class='columns'>",
        table_html(summary.figures.items(), ("figure", "")),
        "</div>",
    ]
    return html_page(f"{spec.name}: lab report", *parts)
