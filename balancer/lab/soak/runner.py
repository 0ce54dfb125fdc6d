"""Runs the experiments of a soak one after another and reports their findings."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import uvloop

from balancer.errors import BalancerError
from balancer.lab.figures import MAX_CPU_WAIT_S
from balancer.lab.judge import MAX_UNANSWERED_SHARE, SOCKET_SLACK_MS, Judge
from balancer.lab.programs import Program
from balancer.lab.run import Run, run_experiment
from balancer.lab.soak.crowd import IdleCrowd
from balancer.lab.soak.draws import SoakPlan, draw
from balancer.lab.soak.tier_checks import (
    Finding,
    NodeStats,
    check_agreement,
    check_bans,
    check_logs,
    read_stats,
)
from balancer.lab.summary import summarize
from balancer.lab.timeline import last_step_at

ANY_SHARE = 1.0
MAX_VOID_SHARE = 0.1  # A soak is inconclusive if more than 10% of its seeds are void.


class SeedResult(msgspec.Struct, frozen=True):
    """The result of one seed.

    A run is void if the harness was late or a node waited too long for a core. `faults` lists the kinds of
    faults in the order of their start, and `excused` counts requests that an injected fault prevented.
    """

    seed: int
    void: bool
    findings: list[Finding]
    faults: list[str]
    is_tier: bool
    crowd: int
    excused: int = 0

    @property
    def command(self) -> str:
        """The command that repeats the run of this seed."""
        return f"bin/balancer lab soak --seeds {self.seed} --out DIR"


class SoakResult(msgspec.Struct, frozen=True):
    """The results of all seeds."""

    program: str
    seeds: list[SeedResult]

    @property
    def void(self) -> list[int]:
        """The seeds whose runs are void."""
        return [each.seed for each in self.seeds if each.void]

    @property
    def broken(self) -> list[SeedResult]:
        """The results that have findings and are not void."""
        return [each for each in self.seeds if each.findings and not each.void]

    @property
    def is_conclusive(self) -> bool:
        """Whether the share of void seeds is small enough for a conclusion."""
        return len(self.void) <= MAX_VOID_SHARE * len(self.seeds)


@dataclass
class SoakCompanion:
    """Runs the crowd alongside an experiment, and reads the state of the tier at its end."""

    soak: SoakPlan
    stats: list[NodeStats] = field(default_factory=list)
    run: Run | None = None

    async def clients_started(self, run: Run) -> None:
        """Keep the crowd's connections open while the clients run."""
        self.run = run
        if self.soak.crowd:
            await IdleCrowd(self.soak.crowd).hold_open(run)

    async def clients_finished(self, run: Run) -> None:
        """Read the state of the tier from all consoles."""
        if self.soak.spec.fleet.recovery:
            self.stats = await read_stats(run)


def play_seed(seed: int, program: Program, out: Path) -> SeedResult:
    """Run the experiment of one seed, and keep its folder only if the run is void or has findings.

    Raises:
        BalancerError: The experiment could not be completed.
    """
    soak = draw(seed)
    folder = out / f"seed-{seed}"
    companion = SoakCompanion(soak)
    recorded = uvloop.run(run_experiment(soak.spec, seed, program, folder, companion=companion))
    (folder / "experiment.json").write_bytes(msgspec.json.encode(soak.spec))
    # If a crowd uses up a node's descriptors, the node may close new connections without reading them, so
    # any share of unanswered requests is allowed.
    judge = Judge(soak.spec, recorded, ANY_SHARE if soak.crowd else MAX_UNANSWERED_SHARE)
    judgement = judge.judge()
    summary = summarize(soak.spec, seed, program.label, recorded, judgement)
    (folder / "summary.json").write_text(summary.encode(indent=1) + "\n", "utf-8")
    # All limits of the judged rules have this slack, so a smaller lateness cannot cause a violation.
    figures = summary.figures
    is_void = figures["rig_late_p99_ms"] > SOCKET_SLACK_MS or figures["node_waited_s_max"] > MAX_CPU_WAIT_S
    findings = [
        Finding(each.rule, f"{each.at:.0f} ms, n{each.node}: {each.text}")
        for each in judgement.first_violations
    ]
    findings += check_logs(folder / "logs")
    if soak.spec.fleet.recovery and companion.run is not None:
        last_fault_ms = last_step_at(soak.spec) * 1000
        findings += check_agreement(soak.spec.fleet.nodes, companion.stats)
        findings += check_bans(last_fault_ms, companion.run.calls, recorded.backend_attempts)
    result = SeedResult(
        seed,
        is_void,
        findings,
        [str(type(fault).__struct_config__.tag) for fault in soak.spec.faults],
        soak.spec.fleet.recovery,
        soak.crowd,
        judgement.excused,
    )
    (folder / "soak.json").write_bytes(msgspec.json.encode(result))
    if not findings and not is_void:
        shutil.rmtree(folder)
    return result


def play_seeds(
    seeds: Iterable[int], program: Program, out: Path, on_result: Callable[[SeedResult], None]
) -> SoakResult:
    """Run the experiments of seeds one after another, report each to `on_result`, and write `soak.json`.

    An experiment that could not be completed counts as void.
    """
    results = []
    for seed in seeds:
        try:
            result = play_seed(seed, program, out)
        except BalancerError as err:
            result = SeedResult(seed, True, [Finding("not played", str(err))], [], False, 0)
        results.append(result)
        on_result(result)
    soak = SoakResult(program.label, results)
    (out / "soak.json").write_text(json.dumps(msgspec.to_builtins(soak), indent=1) + "\n", "utf-8")
    return soak
