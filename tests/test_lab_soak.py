"""Tests of the soak: its draws, its checks of a tier, and some of its seeds with real processes."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from balancer.experiments.checks import check_experiment
from balancer.experiments.faults import Kill, Terminate, Upgrade, fault_kind
from balancer.lab.programs import ROOT, Program
from balancer.lab.records import BackendAttemptRecord
from balancer.lab.run import MaintenanceCall
from balancer.lab.soak.draws import draw
from balancer.lab.soak.runner import SeedResult, SoakResult, play_seed
from balancer.lab.soak.tier_checks import Finding, NodeStats, check_agreement, check_bans, check_logs
from balancer.lab.timeline import last_step_at

NODE = Program("tests", ROOT, f"exec {sys.executable} -B -m balancer")
MAX_RUNS = 3  # A run that is void because the machine was busy is repeated up to twice.
CI_SEEDS = (1001, 1013, 1031, 1141)  # 1141 holds all nodes up beside a crowd.


def test_every_seed_draws_a_valid_reproducible_experiment() -> None:
    kinds: Counter[str] = Counter()
    signals: set[str] = set()
    for seed in range(300):
        drawn = draw(seed)
        assert drawn == draw(seed)
        check_experiment(drawn.spec)
        assert drawn.spec.seconds > last_step_at(drawn.spec)
        kinds.update({fault_kind(fault) for fault in drawn.spec.faults})
        signals |= {fault.signals for fault in drawn.spec.faults if isinstance(fault, Terminate)}
        kinds.update({"tier"} if drawn.spec.fleet.recovery else {"crowd"} if drawn.crowd else ())
    assert signals == {"once", "twice", "reload-first", "reload-behind", "while-starting"}
    expected = {
        "terminate",
        "kill",
        "reload",
        "upgrade",
        "stall",
        "drain",
        "maint",
        "disk",
        "link",
        "tier",
        "crowd",
    }
    assert expected <= kinds.keys() and min(kinds[kind] for kind in expected) >= 10


def test_a_node_has_at_most_one_fault_of_its_process() -> None:
    for seed in range(300):
        faults = draw(seed).spec.faults
        ended = [
            f.targets for f in faults if isinstance(f, (Terminate, Kill, Upgrade)) and "nodes" in f.targets
        ]
        assert len(ended) == len(set(ended))


def stats(node: int, view: str = "v", register: str = "r", present: int = 2, **more: Any) -> NodeStats:
    """Return the tier state that a node's console reports."""
    membership = {"view": view, "present_nodes": present, "counts": {"defects": 0}} | more
    recovery = {"register": register, "failed": False, "counts": {"defects": 0}}
    return NodeStats(node, {"membership": membership, "recovery": recovery})


@pytest.mark.parametrize(
    ("reported", "checks"),
    [
        ([stats(0), stats(1)], []),
        ([stats(0)], ["agree"]),
        ([stats(0), stats(1, view="w")], ["agree"]),
        ([stats(0, present=1), stats(1, present=1)], ["agree"]),
        ([stats(0), stats(1, register="s")], ["agree"]),
        ([stats(0), stats(1, counts={"defects": 1})], ["defect"]),
        ([stats(0), NodeStats(1, {"membership": {"present": False}})], ["agree"]),
    ],
)
def test_disagreement_in_a_tier_is_a_finding(reported: list[NodeStats], checks: list[str]) -> None:
    assert [finding.check for finding in check_agreement(2, reported)] == checks


def attempt(at: float, backend: int) -> BackendAttemptRecord:
    """Return an attempt that reached a backend."""
    return BackendAttemptRecord("id", 1, backend, "GET", "/", "", at, at, "served", at, at, True)


@pytest.mark.parametrize(
    ("lift", "at", "count"),
    [
        (None, 20_000.0, 1),
        # An attempt within 10 s after the last fault is allowed.
        (None, 15_000.0, 0),
        # A lift that overlaps with the ban may have ended it.
        (MaintenanceCall(2, 4, False, 900.0, 1_100.0, True), 20_000.0, 0),
        # A lift that was over before the ban cannot have ended it.
        (MaintenanceCall(2, 4, False, 100.0, 200.0, True), 20_000.0, 1),
    ],
)
def test_attempt_on_a_banned_backend_is_a_finding_unless_lifted(
    lift: MaintenanceCall | None, at: float, count: int
) -> None:
    ban = MaintenanceCall(0, 4, True, 1_000.0, 1_050.0, True)
    calls = [ban, *([lift] if lift is not None else [])]
    assert len(list(check_bans(6_000.0, calls, [attempt(at, 4), attempt(at, 5)]))) == count


def test_refused_ban_may_be_violated() -> None:
    refused = MaintenanceCall(0, 4, True, 1_000.0, 1_050.0, False)
    assert not list(check_bans(6_000.0, [refused], [attempt(20_000.0, 4)]))


def test_traceback_in_a_log_is_a_finding(tmp_path: Path) -> None:
    (tmp_path / "n0-0.log").write_text("all is well\n")
    (tmp_path / "n1-0.log").write_text("x\nERROR it failed\nTraceback (most recent call last):\n  File\n")
    (finding,) = check_logs(tmp_path)
    assert finding.check == "traceback" and finding.text.startswith("n1-0.log: ERROR it failed")


def test_soak_with_many_void_seeds_is_inconclusive() -> None:
    def result(seed: int, void: bool, *findings: Finding) -> SeedResult:
        return SeedResult(seed, void, list(findings), [], False, 0)

    broken = Finding("answer", "late")
    soak = SoakResult("p", [result(1, False, broken), result(2, True, broken), result(3, False)])
    assert [each.seed for each in soak.broken] == [1] and soak.void == [2] and not soak.is_conclusive
    assert soak.broken[0].command == "bin/balancer lab soak --seeds 1 --out DIR"


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_seeds_with_real_processes_have_no_findings(tmp_path: Path, seed: int) -> None:
    for number in range(MAX_RUNS):
        result = play_seed(seed, NODE, tmp_path / str(number))
        if not result.void:
            break
    assert not result.void, "all runs are void: the machine was too busy"
    assert not result.findings, result
