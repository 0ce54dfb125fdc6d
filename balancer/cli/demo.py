"""`balancer demo`: a live view of nodes under load while a backend and a node are killed."""

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

SPARKLINE_LEVELS = " ▁▂▃▄▅▆▇█"


def demo_experiment(seconds: float) -> Experiment:
    """Return the experiment of the demo, with fault times proportional to its length."""
    downtime_s = 0.2 * seconds
    return Experiment(
        name="demo",
        about="Three nodes, nine backends in three zones; a backend and a node are killed and restarted.",
        seconds=seconds,
        load=Load(utilisation=0.45),
        faults=(
            Kill(at=round(0.25 * seconds, 2), targets="backends:4", restart_after=downtime_s),
            Kill(at=round(0.5 * seconds, 2), targets="nodes:1", restart_after=downtime_s),
        ),
        expect=(Expectation(figure="broken_rules", max=0.0),),
    )


@dataclass
class DemoScreen:
    """The live display of a run, which redraws itself when it is called with the run."""

    live: Live
    served_per_s: list[float] = field(default_factory=list)
    last_outcomes: dict[str, int] = field(default_factory=dict)
    last_served: dict[str, int] = field(default_factory=dict)
    drawn_at_ms: float = 0.0

    def __call__(self, run: Run) -> None:
        """Redraw the display from the live figures of the run."""
        now_ms = run.fleet.now()
        outcomes: dict[str, int] = {}
        in_rotation: set[int] = set()
        backends: dict[str, dict[str, Any]] = {}
        for harness_process in run.harness:
            backends |= harness_process.live.get("backends", {})
            for zone in harness_process.live.get("clients", {}).values():
                in_rotation.update(zone["up"])
                for name, count in zone["ends"].items():
                    outcomes[name] = outcomes.get(name, 0) + count
        recent, run.recent = run.recent, []
        span_s = max(0.1, (now_ms - self.drawn_at_ms) / 1000) if self.drawn_at_ms else 1.0
        rates = {name: (count - self.last_outcomes.get(name, 0)) / span_s for name, count in outcomes.items()}
        self.served_per_s.append(rates.get("served", 0.0))
        self.live.update(
            Group(
                _header(run, now_ms, self.served_per_s), _outcomes(outcomes, rates, recent),
                _nodes(run, in_rotation), _backends(run.spec, backends, self.last_served, span_s),
            )
        )  # fmt: skip
        self.last_outcomes, self.drawn_at_ms = outcomes, now_ms
        self.last_served = {name: row["served"] for name, row in backends.items()}


def _header(run: Run, now_ms: float, served_per_s: list[float]) -> Text:
    highest = max([*served_per_s, 1.0])
    sparkline = "".join(
        SPARKLINE_LEVELS[round(rate / highest * (len(SPARKLINE_LEVELS) - 1))] for rate in served_per_s[-60:]
    )
    out = Text(f"{max(0.0, now_ms / 1000):5.1f} of {run.spec.seconds:g} s   served per second ")
    out.append(sparkline, "green")
    past = [m for m in timeline(run.spec, run.seed) if m.at_s * 1000 <= now_ms]
    for moment in past[-2:]:
        event = "killed" if moment.step is Step.BEGIN else "restarted"
        out.append(f"\n  {moment.at_s:5.1f} s  {', '.join(moment.names)} {event}", "yellow")
    return out


def _outcomes(outcomes: dict[str, int], rates: dict[str, float], recent: list[float]) -> Table:
    p50, p99 = percentiles(recent, (50.0, 99.0))
    table = Table(box=None, padding=(0, 2))
    for name in ("attempts", "total", "per second"):
        table.add_column(name, justify="left" if name == "attempts" else "right")
    for name in sorted(outcomes, key=lambda n: -outcomes[n]):
        style = "green" if name == "served" else "red"
        table.add_row(Text(name, style), str(outcomes[name]), f"{rates[name]:.0f}")
    table.add_row("latency p50, p99 (ms)", f"{p50:.0f}", f"{p99:.0f}")
    return table


def _nodes(run: Run, in_rotation: set[int]) -> Table:
    table = Table(box=None, padding=(0, 2))
    for name in ("node", "process", "front end", "memory, MB"):
        table.add_column(name)
    last_samples = {sample.node: sample for sample in run.fleet.samples[-3 * len(run.fleet.nodes) :]}
    for node in run.fleet.nodes:
        alive = bool(node.alive())
        state = Text("running", "green") if alive else Text("dead", "red")
        front_end = Text("up", "green") if node.number in in_rotation else Text("down", "red")
        sample = last_samples.get(node.number)
        table.add_row(node.name, state, front_end, f"{sample.rss_mb:.0f}" if alive and sample else "")
    return table


def _backends(
    spec: Experiment, rows: dict[str, dict[str, Any]], last_served: dict[str, int], span_s: float
) -> Table:
    table = Table(box=None, padding=(0, 2))
    for name in ("backend", "zone", "state", "per second", "in progress"):
        table.add_column(name)
    for name in sorted(rows, key=lambda n: int(n[1:])):
        row = rows[name]
        cold = row["warmth"] < 1
        state = Text("warm", "green") if not cold else Text(f"cold, {row['warmth']:.0%}", "yellow")
        if not row["alive"]:
            state = Text("dead", "red")
        rate = (row["served"] - last_served.get(name, 0)) / span_s
        table.add_row(
            name, spec.zone_of(name), state, f"{rate:4.0f} " + "▪" * round(rate / 10), str(row["held"])
        )
    return table
