"""Output of `balancer lab scale`: progress, and a table of the slopes."""

from __future__ import annotations

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from balancer.lab.scale.points import Point
from balancer.lab.scale.runner import Result, all_plays, run


def play_all(quick: bool, seed: int, console: Console) -> Result:
    """Run all measurements one after the other and show their progress."""
    plays = all_plays(quick)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task("scale", total=None)

        def observe(play: str, point: Point | None) -> None:
            status = (
                f"{point.figure} at {point.size:,}: {point.value:.4g} {point.unit}" if point else "starting"
            )
            progress.update(bar, description=f"{play}: {status}")

        return run(plays, seed, quick, observe)


def print_slopes(result: Result) -> None:
    """Print a table with a row per slope, then the measurements that were not run."""
    output = Console()
    table = Table(title=f"scale, seed {result.seed}, {result.program}, {result.seconds:g} s",
                  title_justify="left")  # fmt: skip
    for name in ("role", "figure", "measured", "fit", "residual", "target", "at target", "target / largest"):
        table.add_column(name, justify="left" if name in ("role", "figure", "fit") else "right")
    for slope in result.slopes:
        measured = f"{slope.values[0]:.3g} to {slope.values[-1]:.3g} {slope.unit}"
        at_target = f"{slope.at_target:.3g} {slope.unit}"
        table.add_row(slope.role, slope.figure, measured, slope.fit, f"{slope.residual:.1%}",
                      f"{slope.target:,}", at_target, f"{slope.beyond:.3g}")  # fmt: skip
    output.print(table)
    for item in result.not_played:
        output.print(f"not run: {item.what}: {item.why}", markup=False)
