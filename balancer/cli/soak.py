"""Arguments and output of `balancer lab soak`."""

from __future__ import annotations

import re

import typer

from balancer.lab.soak.runner import SeedResult, SoakResult

SEED_RANGE = re.compile(r"(\d+)(?:-(\d+))?")
MAX_SHOWN_CHARACTERS = 400


def parse_seeds(text: str) -> range:
    """Parse a seed or a range of seeds, such as `7` or `1-50`.

    Raises:
        typer.BadParameter: The text is neither, or the range is empty.
    """
    match = SEED_RANGE.fullmatch(text)
    if match is None or int(match[2] or match[1]) < int(match[1]):
        raise typer.BadParameter(f"{text!r} is neither a seed nor FIRST-LAST", param_hint="--seeds")
    return range(int(match[1]), int(match[2] or match[1]) + 1)


def print_seed(result: SeedResult) -> None:
    """Print the outcome of a seed once its run has ended."""
    kind = "tier" if result.is_tier else f"crowd of {result.crowd}" if result.crowd else "nodes"
    outcome = "void" if result.void else f"{len(result.findings)} findings" if result.findings else "passed"
    typer.echo(f"seed {result.seed}: {outcome} ({kind}: {', '.join(result.faults)})")
    for finding in result.findings:
        typer.echo(f"  {finding.check}: {finding.text[:MAX_SHOWN_CHARACTERS]}")


def print_soak(result: SoakResult) -> None:
    """Print how many seeds passed, failed or were void, and the command that repeats each failure."""
    passed = len(result.seeds) - len(result.void) - len(result.broken)
    typer.echo(
        f"{len(result.seeds)} seeds: {passed} passed, {len(result.broken)} failed, {len(result.void)} void"
    )
    for seed in result.broken:
        typer.echo(f"to repeat: {seed.command}")
