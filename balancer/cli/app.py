"""The `balancer` command: parsing, exit codes, output."""

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
from balancer.cli.output import Exit, stop
from balancer.errors import BalancerError
from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.loading import decode_experiment, load_experiment
from balancer.lab import records
from balancer.lab.figures import JUDGED, MIN_SEEDS
from balancer.lab.judge import RULES, Judge
from balancer.lab.programs import ROOT, WORKING_TREE, Program, ProgramError, obtain
from balancer.lab.run import Live, ResultsError, Run, play
from balancer.lab.summary import Summary, summarize

EXPERIMENTS = ROOT / "lab" / "experiments"
MAX_SHOWN_VIOLATIONS = 5

app = typer.Typer(help="A fleet of load-balancing nodes: try it, measure it, break it.", no_args_is_help=True,
                  add_completion=False, pretty_exceptions_enable=False)  # fmt: skip
lab = typer.Typer(
    help="Experiments: real nodes, stubs round them, faults between them.", no_args_is_help=True
)
app.add_typer(lab, name="lab")
fleet.app.command()(recovery.recovery)
app.add_typer(fleet.app, name="fleet")
app.add_typer(state.app, name="state")
console = Console(stderr=True)


Values = dict[str, float]  # figures of a run by name
Out = Annotated[Path, typer.Option("--out", help="Folder for the results; made if it is missing.")]
Sets = Annotated[
    list[str] | None, typer.Option("--set", help="KEY=VALUE overrides a field, dotted. Repeatable.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print the result as JSON on standard output.")]


class InterruptError(BalancerError):
    """A command was ended by SIGINT or SIGTERM before it was done."""

    code = "CLI01"
    remedy = "start it again; what stands in --out is not whole"


class RunFolderError(BalancerError):
    """The folder of a run does not hold what a run leaves."""

    code = "LAB07"
    remedy = "name the --out folder of a lab run that has ended, or play it again with this version"


class LateError(BalancerError):
    """The harness of a comparison was late itself, so it cannot tell."""

    code = "LAB08"
    remedy = "compare again on a machine at rest, or with a lower rate and fewer nodes"


class FigureError(BalancerError):
    """A comparison is to judge a figure that not all of its runs have."""

    code = "LAB09"
    remedy = "take a figure that is in the summary.json of every run under --out"


@contextlib.contextmanager
def stopping() -> Iterator[None]:
    """End the command with two lines where a run cannot be played to its end."""
    try:
        yield
    except BalancerError as err:
        raise stop(err) from None
    except OSError as err:
        raise stop(ResultsError(str(err))) from None
    except (asyncio.CancelledError, KeyboardInterrupt):
        raise stop(InterruptError("interrupted")) from None


def experiment_of(name: str, sets: list[str] | None) -> Experiment:
    """Read an experiment by its path, or by its name in the repository, with fields overridden."""
    path = Path(name)
    try:
        return load_experiment(path if path.suffix == ".toml" else EXPERIMENTS / f"{name}.toml", sets or ())
    except ExperimentError as err:
        raise stop(err) from None


def program(what: str) -> Program:
    """Return the program of a run, built if need be."""
    try:
        with console.status(f"building {what}" if what != WORKING_TREE else "building the node"):
            return obtain(what)
    except ProgramError as err:
        raise stop(err) from None
    except OSError as err:
        raise stop(ProgramError(str(err))) from None


def run_once(spec: Experiment, seed: int, what: Program, out: Path, human: bool = False,
             live: Live | None = None) -> tuple[records.RunRecords, Summary]:  # fmt: skip
    """Play, judge and write `summary.json` and `experiment.json`; raises what `play` does, and OSError."""
    seen = uvloop.run(play(spec, seed, what, out, human, live))
    (out / "experiment.json").write_bytes(msgspec.json.encode(spec))
    return seen, judged(spec, seed, what.label, seen, out)


def judged(spec: Experiment, seed: int, label: str, seen: records.RunRecords, out: Path) -> Summary:
    """Judge the records and write `summary.json`; raises OSError."""
    summary = summarize(spec, seed, label, seen, Judge(spec, seen).judge())
    (out / "summary.json").write_text(summary.encode(indent=1) + "\n", "utf-8")
    return summary


def verdict(summary: Summary) -> Exit:
    """Return the exit code of a run."""
    if summary.void:
        return Exit.NOT_RUN
    good = all(each.held for each in summary.expectations) and not summary.figures["broken_rules"]
    return Exit.HELD if good else Exit.SHORT


def finish(summary: Summary, as_json: bool, *lines: str) -> typer.Exit:
    """Print a run's outcome, with further lines for people."""
    if as_json:
        print(summary.encode())
    else:
        show(summary)
        for line in lines:
            print(line)
    return typer.Exit(verdict(summary))


def show(summary: Summary) -> None:
    """Show the outcome of a run to people."""
    screen = Console()
    values = summary.figures
    rows = Table(title=f"{summary.experiment}, seed {summary.seed}, {summary.program}", title_justify="left")
    for name in ("figure", "measured", "bound", ""):
        rows.add_column(name, justify="right" if name == "measured" else "left")
    for each in summary.expectations:
        bounds = ((each.min, ">="), (each.max, "<="))
        parts = [f"{sign} {bound:g}" for bound, sign in bounds if bound is not None]
        shown = "-" if each.measured is None else f"{each.measured:.4g}"
        rows.add_row(each.figure, shown, " ".join(parts), "held" if each.held else "[red]short[/red]")
    named = {each.figure for each in summary.expectations}
    for name in ("goodput", "latency_p50_ms", "latency_p99_ms", "refused", "failed", "broken_rules",
                 "rig_late_p99_ms"):  # fmt: skip
        if name not in named:
            rows.add_row(name, f"{values[name]:.4g}", "", "")
    screen.print(rows)
    for rule, text in RULES.items():
        if count := values[f"broken_{rule}"]:
            screen.print(f"[red]broken {count:.0f} times[/red]: {text}")
    for item in summary.breaks[:MAX_SHOWN_VIOLATIONS]:
        screen.print(f"  {item.rule} at {item.at_ms / 1000:.2f} s, n{item.node}: {item.text}")
    if summary.void:
        screen.print(
            f"[red]void[/red]: the harness's own lateness is {values['rig_late_p99_ms']:.1f} ms at p99"
        )


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(min=4.0, max=600.0, help="How long clients come.")] = 20.0,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    out: Annotated[Path | None, typer.Option(help="Keep records and report there.")] = None,
    as_json: AsJson = False,
) -> None:
    """Three nodes, nine backends, clients; a backend and a node are killed. Exit code 0: no rule broke."""
    from balancer.cli.demo import Screen, experiment

    spec = experiment(seconds)
    what = program(WORKING_TREE)
    with tempfile.TemporaryDirectory(prefix="balancer-demo-") as temporary:
        folder = out or Path(temporary)
        with stopping():
            with rich.live.Live(console=console, transient=True, refresh_per_second=4) as picture:
                picture.update("starting three nodes")
                seen, summary = run_once(spec, seed, what, folder, False, Screen(picture))
            if out is not None:
                write_report(spec, seen, summary, out)
    ends = summary.figures
    served = f"{ends['served']:.2%} of {ends['offered_per_s']:.0f} requests a second were served"
    raise finish(summary, as_json, f"{served}; {'RULES BROKE' if ends['broken_rules'] else 'no rule broke'}")


@lab.command("run")
def lab_run(
    experiment: Annotated[str, typer.Argument(help="A TOML file, or the name of one in lab/experiments.")],
    out: Out,
    seed: Annotated[int, typer.Option(min=0, help="Draws arrivals, sizes, speeds and faults.")] = 1,
    sets: Sets = None,
    revision: Annotated[
        str, typer.Option(help="Plays REVISION[+VARIANT] of this repository.")
    ] = WORKING_TREE,
    as_json: AsJson = False,
    verbose: Annotated[bool, typer.Option("--verbose", "-v", help="Show the lab's log as it goes.")] = False,
) -> None:
    """Play an experiment. Exit code 0: expectations held; 1: one fell short; 2: not run, or rig too late."""
    spec = experiment_of(experiment, sets)
    what = program(revision)
    title = f"{spec.name}: {spec.seconds:g} s with {spec.fleet.nodes} nodes"
    with stopping(), console.status(title) as status:

        def live(run: Run) -> None:
            at = max(0.0, run.fleet.now() / 1000)
            status.update(f"{spec.name}: {at:.0f} of {spec.seconds:g} s")

        seen, summary = run_once(spec, seed, what, out, verbose, None if verbose else live)
        write_report(spec, seen, summary, out)
    raise finish(summary, as_json, str(out / "report.html"))


def write_report(spec: Experiment, seen: records.RunRecords, summary: Summary, out: Path) -> None:
    """Write `report.html` beside the records."""
    from balancer.lab.report import run_page  # draws with matplotlib, which is slow to import

    (out / "report.html").write_text(run_page(spec, seen, summary), "utf-8")


@lab.command("report")
def lab_report(
    folder: Annotated[Path, typer.Argument(help="The folder of a run.")], as_json: AsJson = False
) -> None:
    """Judge a run's records anew and write its summary and report once more."""
    try:
        spec = decode_experiment((folder / "experiment.json").read_bytes())
        seen = records.read(folder / "records.msgpack")
        old = json.loads((folder / "summary.json").read_text("utf-8"))
        summary = judged(spec, old["seed"], old["program"], seen, folder)
        write_report(spec, seen, summary, folder)
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as err:
        raise stop(RunFolderError(f"{folder} holds no whole run: {err}")) from None
    raise finish(summary, as_json)


@lab.command("list")
def lab_list(as_json: AsJson = False) -> None:
    """List the experiments of the repository."""
    rows = []
    for path in sorted(EXPERIMENTS.glob("*.toml")):
        try:
            spec = load_experiment(path)
        except ExperimentError as err:
            raise stop(ExperimentError(f"{path.name}: {err}")) from None
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
    b: Annotated[str, typer.Argument(help="The other one. Variants: alone, random, delay-MS, burn-US.")],
    out: Out,
    experiment: Annotated[str, typer.Option("--experiment", "-e", help="File or name.")] = "calm",
    seeds: Annotated[int, typer.Option(min=2, max=100, help="Each is played by both.")] = MIN_SEEDS,
    first_seed: Annotated[int, typer.Option(min=0)] = 1,
    sets: Sets = None,
    sets_b: Annotated[
        list[str] | None, typer.Option("--set-b", help="KEY=VALUE for B alone, as --set. Repeatable.")
    ] = None,
    more: Annotated[list[str] | None, typer.Option("--figure", help="Judge this, too. Repeatable.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play two programs on the same seeds. Exit code 0: no difference; 1: some figure differs; 2: not run."""
    from balancer.lab.compare import compare, compare_page
    from balancer.lab.compare import table as rows_of

    specs = (experiment_of(experiment, sets), experiment_of(experiment, [*(sets or ()), *(sets_b or ())]))
    spec = specs[0]
    programs = (program(a), program(b))
    judged = tuple(dict.fromkeys([*JUDGED, *(more or ())]))
    with stopping():
        values = _paired_figures(specs, programs, range(first_seed, first_seed + seeds), out)
        for name in judged:
            if not all(name in figures for side in values for figures in side):
                raise FigureError(f"--figure {name}: not all runs have that figure; see {out}")
        found = compare(*values, judged)
        names = (programs[0].label, " ".join([programs[1].label, *(sets_b or ())]))
        result = {"experiment": spec.name, "a": names[0], "b": names[1], "seeds": seeds,
                  "differences": rows_of(found)}  # fmt: skip
        (out / "compare.json").write_text(json.dumps(result, indent=1) + "\n", "utf-8")
        (out / "compare.html").write_text(compare_page(spec.name, names, *values, found), "utf-8")
    if as_json:
        print(json.dumps(result))
    else:
        _show_differences(result, len(judged), out)
    raise typer.Exit(Exit.SHORT if any(d.differs for d in found) else Exit.HELD)


def _paired_figures(
    specs: tuple[Experiment, Experiment], programs: tuple[Program, Program], seeds: range, out: Path
) -> tuple[list[Values], list[Values]]:
    """Play both programs on each seed and return the figures of each; raises LateError."""
    values: tuple[list[Values], list[Values]] = ([], [])
    with Progress(console=console, transient=True) as progress:
        bar = progress.add_task(specs[0].name, total=2 * len(seeds))
        for seed in seeds:
            # Who plays first changes from seed to seed: a machine that drifts favours neither.
            for side in ((0, 1), (1, 0))[seed % 2]:
                folder = out / f"{'ab'[side]}-{seed}"
                _, done = run_once(specs[side], seed, programs[side], folder)
                if done.void:
                    raise LateError(
                        f"seed {seed}, {programs[side].label}: the harness was late; see {folder}"
                    )
                values[side].append(done.figures)
                progress.advance(bar)
    return values


@lab.command("scale")
def lab_scale(
    out: Out,
    quick: Annotated[bool, typer.Option("--quick", help="Small sizes, within 2 minutes.")] = False,
    seed: Annotated[int, typer.Option(min=0, help="Draws what is drawn; counted figures go by it.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Measure the cost of each role at growing sizes, and its slope up to two years. Within 15 minutes."""
    from balancer.cli.scale import play_all, show_slopes
    from balancer.lab.scale.runner import encode, write

    with stopping():
        result = play_all(quick, seed, console)
        write(result, out)
    if as_json:
        print(encode(result).decode(), end="")
    else:
        show_slopes(result)
        print(out / "scale.html")


@lab.command("soak")
def lab_soak(
    seeds: Annotated[str, typer.Option(help="One seed, or the first and the last: 1-50.")],
    out: Out,
    as_json: AsJson = False,
) -> None:
    """Play experiments drawn from seeds. Exit code 0: nothing found; 1: a finding; 2: too many void."""
    from balancer.cli.soak import seeds_of, show_seed, show_soak
    from balancer.lab.soak.runner import play_seeds

    chosen = seeds_of(seeds)
    what = program(WORKING_TREE)
    with stopping():
        out.mkdir(parents=True, exist_ok=True)
        result = play_seeds(chosen, what, out, show_seed)
    if as_json:
        print(json.dumps(msgspec.to_builtins(result)))
    else:
        show_soak(result)
    if result.broken:
        raise typer.Exit(Exit.SHORT)
    raise typer.Exit(Exit.HELD if result.is_conclusive else Exit.NOT_RUN)


def _show_differences(result: dict[str, Any], judged: int, out: Path) -> None:
    rows = Table(title=f"{result['experiment']}: A {result['a']}, B {result['b']}, {result['seeds']} seeds",
                 title_justify="left")  # fmt: skip
    for name in ("figure", "A", "B", "B less A", "95%", "p", "differs"):
        rows.add_column(name, justify="left" if name in ("figure", "differs") else "right", no_wrap=True)
    for d in result["differences"]:
        rows.add_row(
            d["figure"], f"{d['median_a']:.4g}", f"{d['median_b']:.4g}", f"{d['median']:+.3g}",
            f"{d['low']:+.3g} to {d['high']:+.3g}", f"{d['p']:.3f}",
            "[red]yes[/red]" if d["differs"] else "no",
        )  # fmt: skip
    Console().print(rows)
    if result["seeds"] < MIN_SEEDS:
        print(f"fewer than {MIN_SEEDS} seeds: {judged} figures cannot differ at this level")
    print(out / "compare.html")


def main() -> None:
    """Entry point."""
    app()
