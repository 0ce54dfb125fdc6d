"""Each rule is broken by a stand-in node that breaks that rule alone, in a run of its own, and is caught."""

from __future__ import annotations

import asyncio
import shlex
import sys
from pathlib import Path

import pytest

from dillport.lab.figures import figures
from dillport.lab.judge import RULES, Judge
from dillport.lab.programs import ROOT, Program
from dillport.lab.run import play
from dillport.lab.spec import load

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
cold-from = 0.1
cold-s = 20.0
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

AT_ONCE = 2  # runs


@pytest.fixture(scope="module")
def broken(tmp_path_factory: pytest.TempPathFactory) -> dict[str, dict[str, int]]:
    """The rules that each defect broke, by the judge; few runs at once, each in its block of addresses.

    They go by the real clock: all at once they are late on a slow machine, and the judge blames that.
    """
    folder = tmp_path_factory.mktemp("judge")
    (folder / "spec.toml").write_text(SPEC)
    spec = load(folder / "spec.toml")

    async def one(defect: str) -> dict[str, int]:
        command = shlex.join([sys.executable, "-B", str(Path(__file__).with_name("broken_node.py")), defect])
        seen = await play(spec, 1, Program(defect, ROOT, f"exec {command}"), folder / defect)
        judged = Judge(spec, seen).judge()
        assert figures(spec, 1, seen, judged)["served"] > 0.1, defect
        return dict(judged.broken)

    async def every() -> dict[str, dict[str, int]]:
        defects, places = ["none", "refuse", *RULES], asyncio.Semaphore(AT_ONCE)

        async def in_turn(defect: str) -> dict[str, int]:
            async with places:
                return await one(defect)

        return dict(zip(defects, await asyncio.gather(*map(in_turn, defects)), strict=True))

    return asyncio.run(every())


def test_a_node_that_keeps_the_rules_is_not_blamed(broken: dict[str, dict[str, int]]) -> None:
    assert broken["none"] == {}


def test_a_refusal_of_what_has_run_is_caught(broken: dict[str, dict[str, int]]) -> None:
    assert broken["refuse"].keys() == {"twice"}


@pytest.mark.parametrize("rule", RULES)
def test_the_broken_rule_is_caught_and_no_other(broken: dict[str, dict[str, int]], rule: str) -> None:
    assert broken[rule].keys() == {rule}
