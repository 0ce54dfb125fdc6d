"""Soak of responses and uploads with real processes; CI plays a few seeds.

`python -m tests.test_body_soak FIRST LAST` plays seeds by hand and fails if one of them breaks a rule.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import pytest

from balancer.net.stream import MAX_BUFFERED_BODY_BYTES
from tests.body_soak import Kind, SoakRun, draw_exchange, play_until_valid

SECONDS = 9.0
CI_SEEDS = (1, 2, 3)
MAX_RUNS = 3  # A run that is void because the machine was busy is repeated up to twice.


@pytest.mark.parametrize("seed", CI_SEEDS)
async def test_bodies_are_whole_and_in_time_beside_signals(tmp_path: Path, seed: int) -> None:
    run = await play_until_valid(seed, SECONDS, tmp_path, MAX_RUNS)
    assert not run.is_void and not run.findings, run.findings
    assert min(run.ends[f"{kind.value}: whole"] for kind in Kind) > 0, run.ends


def test_draws_cover_both_sides_of_each_rule() -> None:
    drawn = [draw_exchange(random.Random(seed)) for seed in range(400)]
    for exchange in drawn:
        is_long = exchange.play.size > MAX_BUFFERED_BODY_BYTES
        assert is_long == (exchange.kind is Kind.LONG)
    assert {exchange.kind for exchange in drawn} == set(Kind)
    assert {exchange.play.framing for exchange in drawn if exchange.kind is Kind.LONG}


def describe(run: SoakRun) -> str:
    """Return one line on a run, and one for each broken rule."""
    verdict = "VOID" if run.is_void else "FOUND" if run.findings else "passed"
    ends = ", ".join(f"{name} {count}" for name, count in sorted(run.ends.items()))
    logs = [f"{number}: {line.rstrip()}" for number, rig in enumerate(run.rigs) for line in rig.log]
    lines = [line for line in logs if run.findings and "request" in line]
    return "\n  ".join(
        [f"seed {run.seed}: {verdict}, rig lag {run.rig_lag_s:.3f} s; {ends}", *run.findings, *lines]
    )


async def play_by_hand(first: int, last: int) -> bool:
    """Play seeds one after the other; return whether all passed."""
    passed = True
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as folder:
            run = await play_until_valid(seed, SECONDS, Path(folder), MAX_RUNS)
        print(describe(run), flush=True)
        passed = passed and not run.is_void and not run.findings
    return passed


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(play_by_hand(int(sys.argv[1]), int(sys.argv[2]))) else 1)
