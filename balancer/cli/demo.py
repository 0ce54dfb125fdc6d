"""`balancer demo`: three nodes, nine backends, clients; a backend and a node are killed, live."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rich.console import Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Kill
from balancer.experiments.tables import Expectation, Load
from balancer.lab.figures import percentiles
from balancer.lab.run import Run
from balancer.lab.timeline import Step, timeline

BARS = " ▁▂▃▄▅▆▇█"


def experiment(seconds: float) -> Experiment:
    """Return the experiment of the demo; its faults come at the same shares of any length."""
    back = 0.2 * seconds
    return Experiment(
        name="demo",
        about="Three nodes, nine backends in three zones; a backend and a node are killed and come back.",
        seconds=seconds,
        load=Load(utilisation=0.45),
        faults=(
            Kill(at=round(0.25 * seconds, 2), targets="backends:4", restart_after=back),
            Kill(at=round(0.5 * seconds, 2), targets="nodes:1", restart_after=back),
        ),
        expect=(Expectation(figure="broken_rules", max=0.0),),
    )


@dataclass
class Screen:
    """The picture of a run as it goes; call it with the run."""

    live: Live
    history: list[float] = field(default_factory=list)  # answers a second
    before: dict[str, int] = field(default_factory=dict)
    served_before: dict[str, int] = field(default_factory=dict)
    at: float = 0.0

    def __call__(self, run: Run) -> None:
        """Draw."""
        now = run.fleet.now()
        ends: dict[str, int] = {}
        up: set[int] = set()
        backends: dict[str, dict[str, Any]] = {}
        for harness_process in run.harness:
            backends |= harness_process.live.get("backends", {})
            for zone in harness_process.live.get("clients", {}).values():
                up.update(zone["up"])
                for name, count in zone["ends"].items():
                    ends[name] = ends.get(name, 0) + count
        recent, run.recent = run.recent, []
        span = max(0.1, (now - self.at) / 1000) if self.at else 1.0
        rates = {name: (count - self.before.get(name, 0)) / span for name, count in ends.items()}
        self.history.append(rates.get("served", 0.0))
        self.live.update(
            Group(
                _head(run, now, self.history), _answers(ends, rates, recent), _nodes(run, up),
                _backends(run.spec, backends, self.served_before, span),
            )
        )  # fmt: skip
        self.before, self.at = ends, now
        self.served_before = {name: row["served"] for name, row in backends.items()}


def _head(run: Run, now: float, history: list[float]) -> Text:
    top = max([*history, 1.0])
    line = "".join(BARS[round(value / top * (len(BARS) - 1))] for value in history[-60:])
    out = Text(f"{max(0.0, now / 1000):5.1f} of {run.spec.seconds:g} s   answers a second ")
    out.append(line, "green")
    happened = [m for m in timeline(run.spec, run.seed) if m.at * 1000 <= now]
    for moment in happened[-2:]:
        what = "is killed" if moment.step is Step.BEGIN else "comes back"
        out.append(f"\n  {moment.at:5.1f} s  {', '.join(moment.names)} {what}", "yellow")
    return out


def _answers(ends: dict[str, int], rates: dict[str, float], recent: list[float]) -> Table:
    p50, p99 = percentiles(recent, (50.0, 99.0))
    table = Table(box=None, padding=(0, 2))
    for name in ("tries", "in all", "a second"):
        table.add_column(name, justify="left" if name == "tries" else "right")
    for name in sorted(ends, key=lambda n: -ends[n]):
        style = "green" if name == "served" else "red"
        table.add_row(Text(name, style), str(ends[name]), f"{rates[name]:.0f}")
    table.add_row("latency p50, p99 (ms)", f"{p50:.0f}", f"{p99:.0f}")
    return table


def _nodes(run: Run, up: set[int]) -> Table:
    table = Table(box=None, padding=(0, 2))
    for name in ("node", "process", "front", "memory, MB"):
        table.add_column(name)
    last = {sample.node: sample for sample in run.fleet.samples[-3 * len(run.fleet.nodes) :]}
    for node in run.fleet.nodes:
        alive = bool(node.alive())
        state = Text("runs", "green") if alive else Text("dead", "red")
        front = Text("in", "green") if node.number in up else Text("out", "red")
        sample = last.get(node.number)
        table.add_row(node.name, state, front, f"{sample.rss_mb:.0f}" if alive and sample else "")
    return table


def _backends(
    spec: Experiment, rows: dict[str, dict[str, Any]], before: dict[str, int], span: float
) -> Table:
    table = Table(box=None, padding=(0, 2))
    for name in ("backend", "zone", "state", "a second", "held"):
        table.add_column(name)
    for name in sorted(rows, key=lambda n: int(n[1:])):
        row = rows[name]
        cold = row["warmth"] < 1
        state = Text("warm", "green") if not cold else Text(f"cold, {row['warmth']:.0%}", "yellow")
        if not row["alive"]:
            state = Text("dead", "red")
        rate = (row["served"] - before.get(name, 0)) / span
        table.add_row(
            name, spec.zone_of(name), state, f"{rate:4.0f} " + "▪" * round(rate / 10), str(row["held"])
        )
    return table
