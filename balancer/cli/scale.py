"""`balancer lab scale`: progress while it plays, and its slopes for people."""

from __future__ import annotations

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from balancer.lab.scale.points import Point
from balancer.lab.scale.runner import Result, all_plays, run


def play_all(quick: bool, seed: int, console: Console) -> Result:
    """Run all plays, one after the other."""
    plays = all_plays(quick)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task("scale", total=None)

        def observe(play: str, point: Point | None) -> None:
            what = f"{point.figure} at {point.size:,}: {point.value:.4g} {point.unit}" if point else "begins"
            progress.update(bar, description=f"{play}: {what}")

        return run(plays, seed, quick, observe)


def show_slopes(result: Result) -> None:
    """Show a row for each slope, then what was not played."""
    screen = Console()
    table = Table(title=f"scale, seed {result.seed}, {result.program}, {result.seconds:g} s",
                  title_justify="left")  # fmt: skip
    for name in ("role", "figure", "measured", "fit", "residual", "at", "there", "beyond"):
        table.add_column(name, justify="left" if name in ("role", "figure", "fit") else "right")
    for s in result.slopes:
        ends = f"{s.values[0]:.3g} to {s.values[-1]:.3g} {s.unit}"
        there = f"{s.at_target:.3g} {s.unit}"
        table.add_row(s.role, s.figure, ends, s.fit, f"{s.residual:.1%}", f"{s.target:,}", there,
                      f"{s.beyond:.3g}")  # fmt: skip
    screen.print(table)
    for item in result.not_played:
        screen.print(f"not played: {item.what}: {item.why}", markup=False)
