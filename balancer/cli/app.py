"""The `balancer` command: its options, exit codes and output."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import msgspec
import rich.live
import typer
import uvloop
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from balancer.cli import fleet, recovery, state
from balancer.cli.output import ExitCode, error_exit
from balancer.errors import BalancerError
from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.loading import decode_experiment, load_experiment
from balancer.lab import records
from balancer.lab.figures import COMPARED_FIGURES, MIN_SEEDS
from balancer.lab.judge import RULES, Judge
from balancer.lab.programs import ROOT, WORKING_TREE, Program, ProgramError, prepare_program
from balancer.lab.run import Live, ResultsError, Run, run_experiment
from balancer.lab.summary import Summary, summarize

EXPERIMENTS = ROOT / "lab" / "experiments"
MAX_SHOWN_VIOLATIONS = 5

app = typer.Typer(help="Run, measure and inspect a fleet of load-balancing nodes.", no_args_is_help=True,
                  add_completion=False, pretty_exceptions_enable=False)  # fmt: skip
lab = typer.Typer(
    help="Run experiments: real nodes, stubs of all other parties, and injected faults.", no_args_is_help=True
)
app.add_typer(lab, name="lab")
fleet.app.command()(recovery.recovery)
app.add_typer(fleet.app, name="fleet")
app.add_typer(state.app, name="state")
console = Console(stderr=True)


RunFigures = dict[str, float]
OutOption = Annotated[Path, typer.Option("--out", help="Directory for the results; created if missing.")]
SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="Override a field: KEY=VALUE with a dotted key. Repeatable.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON on standard output.")]


class InterruptError(BalancerError):
    """A command was interrupted by SIGINT or SIGTERM."""

    code = "CLI01"
    remedy = "run the command again; the results in --out are incomplete"


class RunFolderError(BalancerError):
    """A directory does not contain the complete results of a run."""

    code = "LAB07"
    remedy = "name the --out directory of a completed lab run, or run the experiment again with this version"


class VoidRunError(BalancerError):
    """A run of a comparison is void, because the harness or a node got too little processor time."""

    code = "LAB08"
    remedy = "compare again on an idle machine, or with a lower rate and fewer nodes"


class MissingFigureError(BalancerError):
    """A figure that is to be compared is missing from some of the runs."""

    code = "LAB09"
    remedy = "name a figure that the summary.json of every run under --out contains"


@contextlib.contextmanager
def reporting_errors() -> Iterator[None]:
    """Turn errors in the body into two lines on standard error and exit code 2."""
    try:
        yield
    except BalancerError as err:
        raise error_exit(err) from None
    except OSError as err:
        raise error_exit(ResultsError(str(err))) from None
    except (asyncio.CancelledError, KeyboardInterrupt):
        raise error_exit(InterruptError("interrupted")) from None


def read_experiment(name: str, sets: list[str] | None) -> Experiment:
    """Read an experiment, given its path or its name in the repository, and apply overrides."""
    path = Path(name)
    try:
        return load_experiment(path if path.suffix == ".toml" else EXPERIMENTS / f"{name}.toml", sets or ())
    except ExperimentError as err:
        raise error_exit(err) from None


def build_program(revision: str) -> Program:
    """Return the program of a revision, building it if necessary."""
    try:
        with console.status(f"building {revision}" if revision != WORKING_TREE else "building the node"):
            return prepare_program(revision)
    except ProgramError as err:
        raise error_exit(err) from None
    except OSError as err:
        raise error_exit(ProgramError(str(err))) from None


def play_and_judge(spec: Experiment, seed: int, program: Program, out: Path, verbose: bool = False,
             live: Live | None = None) -> tuple[records.RunRecords, Summary]:  # fmt: skip
    """Play an experiment, judge it and write `summary.json` and `experiment.json`.

    Raises the errors of `run_experiment`, and OSError.
    """
    run_records = uvloop.run(run_experiment(spec, seed, program, out, verbose, live))
    (out / "experiment.json").write_bytes(msgspec.json.encode(spec))
    return run_records, judge_records(spec, seed, program.label, run_records, out)


def judge_records(
    spec: Experiment, seed: int, label: str, run_records: records.RunRecords, out: Path
) -> Summary:
    """Judge the records of a run and write `summary.json`; raises OSError."""
    summary = summarize(spec, seed, label, run_records, Judge(spec, run_records).judge())
    (out / "summary.json").write_text(summary.encode(indent=1) + "\n", "utf-8")
    return summary


def exit_code_of(summary: Summary) -> ExitCode:
    """Return the exit code for the outcome of a run."""
    if summary.void:
        return ExitCode.ERROR
    passed = all(each.held for each in summary.expectations) and not summary.figures["broken_rules"]
    return ExitCode.OK if passed else ExitCode.CHECK_FAILED


def print_result(summary: Summary, as_json: bool, *lines: str) -> typer.Exit:
    """Print the summary of a run, followed by `lines` unless the output is JSON; return the exit code."""
    if as_json:
        print(summary.encode())
    else:
        print_summary(summary)
        for line in lines:
            print(line)
    return typer.Exit(exit_code_of(summary))


def print_summary(summary: Summary) -> None:
    """Print the summary of a run as a table."""
    output = Console()
    values = summary.figures
    table = Table(title=f"{summary.experiment}, seed {summary.seed}, {summary.program}", title_justify="left")
    for name in ("figure", "measured", "bound", ""):
        table.add_column(name, justify="right" if name == "measured" else "left")
    for each in summary.expectations:
        bounds = ((each.min, ">="), (each.max, "<="))
        parts = [f"{sign} {bound:g}" for bound, sign in bounds if bound is not None]
        shown = "-" if each.measured is None else f"{each.measured:.4g}"
        table.add_row(each.figure, shown, " ".join(parts), "met" if each.held else "[red]not met[/red]")
    expected = {each.figure for each in summary.expectations}
    for name in ("goodput", "latency_p50_ms", "latency_p99_ms", "refused", "failed", "broken_rules",
                 "rig_late_p99_ms"):  # fmt: skip
        if name not in expected:
            table.add_row(name, f"{values[name]:.4g}", "", "")
    output.print(table)
    for rule, text in RULES.items():
        if count := values[f"broken_{rule}"]:
            output.print(f"[red]violated {count:.0f} times[/red]: {text}")
    for item in summary.breaks[:MAX_SHOWN_VIOLATIONS]:
        output.print(f"  {item.rule} at {item.at_ms / 1000:.2f} s, n{item.node}: {item.text}")
    if summary.void:
        output.print(
            "[red]void[/red]: the machine was too slow; the harness sent requests "
            f"{values['rig_late_p99_ms']:.1f} ms late at p99"
        )


@app.command()
def demo(
    seconds: Annotated[
        float, typer.Option(min=4.0, max=600.0, help="Duration of the load in seconds.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    out: Annotated[
        Path | None, typer.Option(help="Directory in which the records and the report are kept.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Run three nodes and nine backends under load; kill one of each. Exit code 0: no rule was violated."""
    from balancer.cli.demo import DemoScreen, demo_experiment

    spec = demo_experiment(seconds)
    program = build_program(WORKING_TREE)
    with tempfile.TemporaryDirectory(prefix="balancer-demo-") as temporary:
        folder = out or Path(temporary)
        with reporting_errors():
            with rich.live.Live(console=console, transient=True, refresh_per_second=4) as live_display:
                live_display.update("starting three nodes")
                run_records, summary = play_and_judge(
                    spec, seed, program, folder, False, DemoScreen(live_display)
                )
            if out is not None:
                write_report(spec, run_records, summary, out)
    figures = summary.figures
    served = f"{figures['served']:.2%} of {figures['offered_per_s']:.0f} requests per second were served"
    raise print_result(
        summary,
        as_json,
        f"{served}; {'RULES WERE VIOLATED' if figures['broken_rules'] else 'no rule was violated'}",
    )


@lab.command("run")
def lab_run(
    experiment: Annotated[
        str, typer.Argument(help="Path of a TOML file, or name of an experiment in lab/experiments.")
    ],
    out: OutOption,
    seed: Annotated[int, typer.Option(min=0, help="Seed of arrivals, work, speeds and faults.")] = 1,
    sets: SetOption = None,
    revision: Annotated[
        str, typer.Option(help="REVISION[+VARIANT] of this repository to run.")
    ] = WORKING_TREE,
    as_json: JsonOption = False,
    verbose: Annotated[
        bool, typer.Option("--verbose", "-v", help="Print the log of the lab during the run.")
    ] = False,
) -> None:
    """Run an experiment. Exit code 0: expectations met; 1: some not met; 2: not run, or void."""
    spec = read_experiment(experiment, sets)
    program = build_program(revision)
    title = f"{spec.name}: {spec.seconds:g} s with {spec.fleet.nodes} nodes"
    with reporting_errors(), console.status(title) as status:

        def live(run: Run) -> None:
            elapsed_s = max(0.0, run.fleet.now() / 1000)
            status.update(f"{spec.name}: {elapsed_s:.0f} of {spec.seconds:g} s")

        run_records, summary = play_and_judge(spec, seed, program, out, verbose, None if verbose else live)
        write_report(spec, run_records, summary, out)
    raise print_result(summary, as_json, str(out / "report.html"))


def write_report(spec: Experiment, run_records: records.RunRecords, summary: Summary, out: Path) -> None:
    """Write `report.html` next to the records of a run."""
    # Imported here because the report needs matplotlib, which is slow to import.
    from balancer.lab.report import run_page

    (out / "report.html").write_text(run_page(spec, run_records, summary), "utf-8")


@lab.command("report")
def lab_report(
    folder: Annotated[Path, typer.Argument(help="Directory of a run.")], as_json: JsonOption = False
) -> None:
    """Judge the records of a run again and rewrite its summary and report."""
    try:
        spec = decode_experiment((folder / "experiment.json").read_bytes())
        run_records = records.read(folder / "records.msgpack")
        former_summary = json.loads((folder / "summary.json").read_text("utf-8"))
        summary = judge_records(spec, former_summary["seed"], former_summary["program"], run_records, folder)
        write_report(spec, run_records, summary, folder)
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as err:
        raise error_exit(RunFolderError(f"{folder} does not contain a complete run: {err}")) from None
    raise print_result(summary, as_json)


@lab.command("list")
def lab_list(as_json: JsonOption = False) -> None:
    """List the experiments of the repository."""
    rows = []
    for path in sorted(EXPERIMENTS.glob("*.toml")):
        try:
            spec = load_experiment(path)
        except ExperimentError as err:
            raise error_exit(ExperimentError(f"{path.name}: {err}")) from None
        rows.append(
            {
                "name": spec.name,
                "seconds": spec.seconds,
                "nodes": spec.fleet.nodes,
                "backends": spec.backends.count,
                "faults": len(spec.faults),
                "about": spec.about,
            }
        )
    if as_json:
        print(json.dumps(rows))
        return
    table = Table()
    for name in ("name", "seconds", "nodes", "backends", "faults", "about"):
        table.add_column(
            name, justify="right" if name in ("seconds", "nodes", "backends", "faults") else "left"
        )
    for row in rows:
        table.add_row(*(f"{v:g}" if isinstance(v, (int, float)) else str(v) for v in row.values()))
    Console().print(table)


@lab.command("compare")
def lab_compare(
    a: Annotated[str, typer.Argument(help="REVISION[+VARIANT]; `.` is the working tree.")],
    b: Annotated[
        str, typer.Argument(help="The program to compare with A. Variants: alone, random, delay-MS, burn-US.")
    ],
    out: OutOption,
    experiment: Annotated[
        str, typer.Option("--experiment", "-e", help="Path or name of an experiment.")
    ] = "calm",
    seeds: Annotated[
        int, typer.Option(min=2, max=100, help="Number of seeds, each run with both programs.")
    ] = MIN_SEEDS,
    first_seed: Annotated[int, typer.Option(min=0)] = 1,
    sets: SetOption = None,
    sets_b: Annotated[
        list[str] | None, typer.Option("--set-b", help="Like --set, but for B only. Repeatable.")
    ] = None,
    extra_figures: Annotated[
        list[str] | None, typer.Option("--figure", help="Also compare this figure. Repeatable.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Compare two programs on the same seeds. Exit code 0: no difference; 1: a figure differs; 2: not run."""
    from balancer.lab.compare import compare, compare_page
    from balancer.lab.compare import difference_rows as rows_of

    specs = (read_experiment(experiment, sets), read_experiment(experiment, [*(sets or ()), *(sets_b or ())]))
    spec = specs[0]
    programs = (build_program(a), build_program(b))
    figure_names = tuple(dict.fromkeys([*COMPARED_FIGURES, *(extra_figures or ())]))
    with reporting_errors():
        values = _paired_figures(specs, programs, range(first_seed, first_seed + seeds), out)
        for name in figure_names:
            if not all(name in figures for side in values for figures in side):
                raise MissingFigureError(f"--figure {name}: some runs have no such figure; see {out}")
        differences = compare(*values, figure_names)
        labels = (programs[0].label, " ".join([programs[1].label, *(sets_b or ())]))
        result = {"experiment": spec.name, "a": labels[0], "b": labels[1], "seeds": seeds,
                  "differences": rows_of(differences)}  # fmt: skip
        (out / "compare.json").write_text(json.dumps(result, indent=1) + "\n", "utf-8")
        (out / "compare.html").write_text(compare_page(spec.name, labels, *values, differences), "utf-8")
    if as_json:
        print(json.dumps(result))
    else:
        _print_differences(result, len(figure_names), out)
    raise typer.Exit(ExitCode.CHECK_FAILED if any(d.differs for d in differences) else ExitCode.OK)


def _paired_figures(
    specs: tuple[Experiment, Experiment], programs: tuple[Program, Program], seeds: range, out: Path
) -> tuple[list[RunFigures], list[RunFigures]]:
    """Run both programs on each seed and return the figures of all runs; raises VoidRunError."""
    values: tuple[list[RunFigures], list[RunFigures]] = ([], [])
    with Progress(console=console, transient=True) as progress:
        bar = progress.add_task(specs[0].name, total=2 * len(seeds))
        for seed in seeds:
            # The two programs take turns in running first, so that a drift of the machine favours neither.
            for side in ((0, 1), (1, 0))[seed % 2]:
                folder = out / f"{'ab'[side]}-{seed}"
                _, summary = play_and_judge(specs[side], seed, programs[side], folder)
                if summary.void:
                    raise VoidRunError(
                        f"seed {seed}, {programs[side].label}: the run is void because the machine "
                        f"was too slow; see {folder}"
                    )
                values[side].append(summary.figures)
                progress.advance(bar)
    return values


@lab.command("scale")
def lab_scale(
    out: OutOption,
    quick: Annotated[
        bool, typer.Option("--quick", help="Measure small sizes only, within 2 minutes.")
    ] = False,
    seed: Annotated[
        int, typer.Option(min=0, help="Seed of all random draws; counted figures depend on it.")
    ] = 1,
    as_json: JsonOption = False,
) -> None:
    """Measure the cost of each role at growing sizes and extrapolate two years ahead, within 15 minutes."""
    from balancer.cli.scale import play_all, print_slopes
    from balancer.lab.scale.runner import encode, write

    with reporting_errors():
        result = play_all(quick, seed, console)
        write(result, out)
    if as_json:
        print(encode(result).decode(), end="")
    else:
        print_slopes(result)
        print(out / "scale.html")


@lab.command("soak")
def lab_soak(
    seeds: Annotated[str, typer.Option(help="One seed, or a range such as 1-50.")],
    out: OutOption,
    as_json: JsonOption = False,
) -> None:
    """Run randomly drawn experiments. Exit code 0: no findings; 1: findings; 2: too many void runs."""
    from balancer.cli.soak import parse_seeds, print_seed, print_soak
    from balancer.lab.soak.runner import play_seeds

    seed_range = parse_seeds(seeds)
    program = build_program(WORKING_TREE)
    with reporting_errors():
        out.mkdir(parents=True, exist_ok=True)
        result = play_seeds(seed_range, program, out, print_seed)
    if as_json:
        print(json.dumps(msgspec.to_builtins(result)))
    else:
        print_soak(result)
    if result.broken:
        raise typer.Exit(ExitCode.CHECK_FAILED)
    raise typer.Exit(ExitCode.OK if result.is_conclusive else ExitCode.ERROR)


def _print_differences(result: dict[str, Any], figure_count: int, out: Path) -> None:
    table = Table(title=f"{result['experiment']}: A {result['a']}, B {result['b']}, {result['seeds']} seeds",
                 title_justify="left")  # fmt: skip
    for name in ("figure", "A", "B", "B minus A", "95%", "p", "differs"):
        table.add_column(name, justify="left" if name in ("figure", "differs") else "right", no_wrap=True)
    for d in result["differences"]:
        table.add_row(
            d["figure"], f"{d['median_a']:.4g}", f"{d['median_b']:.4g}", f"{d['median']:+.3g}",
            f"{d['low']:+.3g} to {d['high']:+.3g}", f"{d['p']:.3f}",
            "[red]yes[/red]" if d["differs"] else "no",
        )  # fmt: skip
    Console().print(table)
    if result["seeds"] < MIN_SEEDS:
        print(
            f"fewer than {MIN_SEEDS} seeds: a comparison of {figure_count} figures cannot reach significance"
        )
    print(out / "compare.html")


def main() -> None:
    """Run the `balancer` command."""
    app()
