"""The `lab soak` command: its seeds and what it prints."""

from __future__ import annotations

import re

import typer

from balancer.lab.soak.runner import SeedResult, SoakResult

SEEDS = re.compile(r"(\d+)(?:-(\d+))?")
MAX_SHOWN_CHARACTERS = 400


def seeds_of(text: str) -> range:
    """Return the seeds that an option names.

    Raises:
        typer.BadParameter: It names none.
    """
    found = SEEDS.fullmatch(text)
    if found is None or int(found[2] or found[1]) < int(found[1]):
        raise typer.BadParameter(f"{text!r} is neither a seed nor FIRST-LAST", param_hint="--seeds")
    return range(int(found[1]), int(found[2] or found[1]) + 1)


def show_seed(result: SeedResult) -> None:
    """Print what a seed came to, as it ends."""
    kind = "tier" if result.is_tier else f"crowd of {result.crowd}" if result.crowd else "nodes"
    outcome = "void" if result.void else f"{len(result.findings)} findings" if result.findings else "held"
    typer.echo(f"seed {result.seed}: {outcome} ({kind}: {', '.join(result.faults)})")
    for finding in result.findings:
        typer.echo(f"  {finding.check}: {finding.text[:MAX_SHOWN_CHARACTERS]}")


def show_soak(result: SoakResult) -> None:
    """Print what all seeds came to."""
    held = len(result.seeds) - len(result.void) - len(result.broken)
    typer.echo(
        f"{len(result.seeds)} seeds: {held} held, {len(result.broken)} broken, {len(result.void)} void"
    )
    for each in result.broken:
        typer.echo(f"again: {each.command}")
