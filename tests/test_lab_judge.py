"""The judge detects each violation of a stand-in node that breaks a single rule in a run.

The runs use a virtual clock (`virtual_run.py`), so their results do not depend on the machine's speed. One
run uses the real clock, with the stand-in as a process.
"""

from __future__ import annotations

import asyncio
import shlex
import sys
from pathlib import Path

import pytest
from msgspec import structs

from balancer.experiments.experiment import Experiment
from balancer.experiments.loading import load_experiment
from balancer.lab.figures import figures
from balancer.lab.judge import RULES, Judge
from balancer.lab.programs import ROOT, Program
from balancer.lab.run import run_experiment
from tests import virtual_run

# The faults give a stand-in the chance to break every rule: a drain, a ban and a cold backend.
EXPERIMENT = """
name = "judged"
seconds = 4.5
[fleet]
nodes = 1
zones = ["a"]
[backends]
count = 4
cores = 1
cold-capacity-share = 0.1
warm-up-s = 20.0
[discovery]
add-s = 0.1
notice-s = 0.1
[load]
rate = 100.0
work-ms = 8.0
[clients]
impatient-share = 0.2
[rules]
fall-ms = 500.0
ramp-time-ms = 20000.0
[[faults]]
kind = "kill"
at = 0.5
what = "backends:3"
restart-after = 0.4
[[faults]]
kind = "drain"
at = 0.8
for = 3.0
what = "backends:1"
[[faults]]
kind = "maint"
at = 1.0
for = 3.0
what = "backends:2"
"""

SEEDS = (1, 2)  # With seed 1 the last warm backend is overloaded, so that most requests time out.
MAX_REAL_RUNS = 3  # A real run is repeated, up to this often, if no request of it was served.
FABRICATED_BODY = "all is well"


@pytest.fixture
def spec(tmp_path: Path) -> Experiment:
    """Return the experiment that all tests of this module run."""
    (tmp_path / "spec.toml").write_text(EXPERIMENT)
    return load_experiment(tmp_path / "spec.toml")


def count_violations(spec: Experiment, seed: int, defect: str) -> dict[str, int]:
    """Return the number of violations by rule that the judge finds in a run with a defect."""
    run_records = virtual_run.play(spec, seed, defect)
    judgement = Judge(spec, run_records).judge()
    assert figures(spec, seed, run_records, judgement)["served"] > 0.1
    assert max(run_records.lateness) < 0.001  # Under a virtual clock, clients send less than 0.001 ms late.
    return dict(judgement.broken)


@pytest.mark.parametrize("seed", SEEDS)
def test_judge_finds_no_violation_of_a_correct_node(spec: Experiment, seed: int) -> None:
    assert count_violations(spec, seed, "none") == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_judge_finds_rejection_of_an_executed_request(spec: Experiment, seed: int) -> None:
    assert count_violations(spec, seed, "refuse").keys() == {"twice"}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rule", RULES)
def test_judge_finds_exactly_the_violated_rule(spec: Experiment, rule: str, seed: int) -> None:
    assert count_violations(spec, seed, rule).keys() == {rule}


def test_run_under_virtual_clock_is_deterministic(spec: Experiment) -> None:
    one, other = (virtual_run.play(spec, 1, "twice") for _ in range(2))
    assert one.client_attempts == other.client_attempts
    assert one.backend_attempts == other.backend_attempts
    assert one.lateness == other.lateness


def test_judge_finds_all_fabricated_responses_of_a_real_process(spec: Experiment, tmp_path: Path) -> None:
    stand_in = [sys.executable, "-B", str(Path(__file__).with_name("broken_node.py")), "made-up"]
    program = Program("made-up", ROOT, f"exec {shlex.join(stand_in)}")
    spec = structs.replace(spec, seconds=1.0, faults=())
    for number in range(MAX_REAL_RUNS):
        run_records = asyncio.run(run_experiment(spec, 1, program, tmp_path / str(number)))
        if fabricated := sum(
            one.status == 200 and one.response_body == FABRICATED_BODY for one in run_records.client_attempts
        ):
            break
    assert 0 < fabricated == Judge(spec, run_records).judge().broken["made-up"]
