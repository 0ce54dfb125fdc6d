"""Each rule is broken by a stand-in node that breaks that rule alone, in a play of its own, and is caught.

The plays go by a virtual clock (`virtual.py`): the verdict hangs on no machine's speed. One goes by the real
one, with the stand-in as a process.
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

# A drain, a ban and a cold backend: room to break every rule.
SPEC = """
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

SEEDS = (1, 2)  # with the first the last warm backend is sent more than it bears, and most wait in vain
VOID = 3  # plays by the real clock, at most, that answered nobody
MADE_UP = "all is well"


@pytest.fixture
def spec(tmp_path: Path) -> Experiment:
    """The play."""
    (tmp_path / "spec.toml").write_text(SPEC)
    return load_experiment(tmp_path / "spec.toml")


def broken(spec: Experiment, seed: int, defect: str) -> dict[str, int]:
    """The rules that a defect broke, by the judge."""
    seen = virtual_run.play(spec, seed, defect)
    judged = Judge(spec, seen).judge()
    assert figures(spec, seed, seen, judged)["served"] > 0.1
    assert max(seen.lateness) < 0.001  # ms
    return dict(judged.broken)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_node_that_keeps_the_rules_is_not_blamed(spec: Experiment, seed: int) -> None:
    assert broken(spec, seed, "none") == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_refusal_of_what_has_run_is_caught(spec: Experiment, seed: int) -> None:
    assert broken(spec, seed, "refuse").keys() == {"twice"}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rule", RULES)
def test_the_broken_rule_is_caught_and_no_other(spec: Experiment, rule: str, seed: int) -> None:
    assert broken(spec, seed, rule).keys() == {rule}


def test_a_play_by_the_virtual_clock_is_the_same_each_time(spec: Experiment) -> None:
    one, other = (virtual_run.play(spec, 1, "twice") for _ in range(2))
    assert one.client_attempts == other.client_attempts
    assert one.backend_attempts == other.backend_attempts
    assert one.lateness == other.lateness


def test_answers_that_a_process_made_up_are_all_caught(spec: Experiment, tmp_path: Path) -> None:
    stand_in = [sys.executable, "-B", str(Path(__file__).with_name("broken_node.py")), "made-up"]
    program = Program("made-up", ROOT, f"exec {shlex.join(stand_in)}")
    spec = structs.replace(spec, seconds=1.0, faults=())
    for number in range(VOID):
        seen = asyncio.run(run_experiment(spec, 1, program, tmp_path / str(number)))
        if made_up := sum(one.status == 200 and one.response_body == MADE_UP for one in seen.client_attempts):
            break
    assert 0 < made_up == Judge(spec, seen).judge().broken["made-up"]
