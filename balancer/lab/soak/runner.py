"""Plays the soak's seeds one after another and reports what broke."""

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
from balancer.lab.run import Run, play
from balancer.lab.soak.crowd import IdleCrowd
from balancer.lab.soak.draws import Soak, draw
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
MAX_VOID_SHARE = 0.1  # of the seeds, beyond which a soak tells nothing


class SeedResult(msgspec.Struct, frozen=True):
    """What a seed came to."""

    seed: int
    void: bool  # the harness was late, or a node had no core
    findings: list[Finding]
    faults: list[str]  # kinds, in order of time
    is_tier: bool
    crowd: int
    excused: int = 0  # requests that a fault of the lab took

    @property
    def command(self) -> str:
        """The command that plays it again."""
        return f"bin/balancer lab soak --seeds {self.seed} --out DIR"


class SoakResult(msgspec.Struct, frozen=True):
    """What all seeds came to."""

    program: str
    seeds: list[SeedResult]

    @property
    def void(self) -> list[int]:
        """The seeds whose play tells nothing."""
        return [each.seed for each in self.seeds if each.void]

    @property
    def broken(self) -> list[SeedResult]:
        """The seeds with findings."""
        return [each for each in self.seeds if each.findings and not each.void]

    @property
    def is_conclusive(self) -> bool:
        """Whether few enough plays were void."""
        return len(self.void) <= MAX_VOID_SHARE * len(self.seeds)


@dataclass
class SoakCompanion:
    """The crowd beside a run, and a look at the tier at its end."""

    soak: Soak
    stats: list[NodeStats] = field(default_factory=list)
    run: Run | None = None

    async def clients_came(self, run: Run) -> None:
        """Send the crowd."""
        self.run = run
        if self.soak.crowd:
            await IdleCrowd(self.soak.crowd).come(run)

    async def clients_ended(self, run: Run) -> None:
        """Ask all consoles."""
        if self.soak.spec.fleet.recovery:
            self.stats = await read_stats(run)


def play_seed(seed: int, program: Program, out: Path) -> SeedResult:
    """Play one seed; its folder stays where something was found.

    Raises:
        BalancerError: The play came to no end.
    """
    soak = draw(seed)
    folder = out / f"seed-{seed}"
    companion = SoakCompanion(soak)
    seen = uvloop.run(play(soak.spec, seed, program, folder, companion=companion))
    (folder / "experiment.json").write_bytes(msgspec.json.encode(soak.spec))
    # A crowd that fills the descriptors may see new connections shut unread (the page of the standing test).
    judge = Judge(soak.spec, seen, ANY_SHARE if soak.crowd else MAX_UNANSWERED_SHARE)
    judgement = judge.judge()
    summary = summarize(soak.spec, seed, program.label, seen, judgement)
    (folder / "summary.json").write_text(summary.encode(indent=1) + "\n", "utf-8")
    # Only rules are judged, whose limits have this slack: a smaller lateness cannot break them.
    figures = summary.figures
    is_void = figures["rig_late_p99_ms"] > SOCKET_SLACK_MS or figures["node_waited_s_max"] > MAX_CPU_WAIT_S
    findings = [
        Finding(each.rule, f"{each.at:.0f} ms, n{each.node}: {each.text}") for each in judgement.first
    ]
    findings += check_logs(folder / "logs")
    if soak.spec.fleet.recovery and companion.run is not None:
        last_fault_ms = last_step_at(soak.spec) * 1000
        findings += check_agreement(soak.spec.fleet.nodes, companion.stats)
        findings += check_bans(last_fault_ms, companion.run.calls, seen.backend_attempts)
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
    seeds: Iterable[int], program: Program, out: Path, told: Callable[[SeedResult], None]
) -> SoakResult:
    """Play seeds one after another; `told` hears of each. Write `soak.json`.

    A play that came to no end counts as void.
    """
    results = []
    for seed in seeds:
        try:
            result = play_seed(seed, program, out)
        except BalancerError as err:
            result = SeedResult(seed, True, [Finding("not played", str(err))], [], False, 0)
        results.append(result)
        told(result)
    soak = SoakResult(program.label, results)
    (out / "soak.json").write_text(json.dumps(msgspec.to_builtins(soak), indent=1) + "\n", "utf-8")
    return soak
