"""Runs fault schedules against a simulated tier, and shrinks those that violate an invariant.

To run a single schedule and print its log:

    python -c "from balancer.sim.recovery_play import play; from balancer.sim.recovery_schedule import draw
    print(play(draw(17)))"
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.sim.members import Network
from balancer.sim.recovery_disks import DiskCondition
from balancer.sim.recovery_environment import Outage
from balancer.sim.recovery_observer import InvariantViolation, Observer
from balancer.sim.recovery_process import MakeCore, Partition
from balancer.sim.recovery_schedule import BACKENDS, NODE_COUNTS, Schedule, Step, StepKind, draw
from balancer.sim.recovery_world import Tier

SCHEDULE_START_MS = 1e6
SETTLED_CHECK_INTERVAL_MS = 500.0
MIN_RUN_AFTER_FAULTS_MS = 1_000.0
MAX_FAILURES = 5
SHRUNK_FIELDS = (
    "partitions",
    "outages",
    "loss_rate",
    "late_rate",
    "duplicate_rate",
    "sync_failure_rate",
    "serve_ms",
    "max_wall_offset_ms",
)


@dataclass
class PlayResult:
    """Results of a schedule's run.

    `full_ms` is the time from the last fault until all nodes were FULL with equal registers, or infinity.
    `datagrams` counts those of both protocols, and `calls` requests to discovery, in each second.
    `acknowledged_count` is the number of successful operators' requests, and `max_budget_use` the largest
    share of its budget that a cold backend received.
    """

    schedule: Schedule
    violations: list[InvariantViolation]
    log: list[tuple[float, str]]
    began_at: float
    full_ms: float
    datagrams: Counter[int]
    calls: Counter[int]
    acknowledged_count: int
    max_budget_use: float

    def __str__(self) -> str:
        """Return the schedule's seed and the log of its run."""
        lines = [f"seed {self.schedule.seed}: {self.schedule.count} nodes, loss {self.schedule.loss_rate}"]
        lines += [f"{at - self.began_at:9.0f}  {text}" for at, text in self.log]
        return "\n".join(lines)


ACTIONS: dict[StepKind, Callable[[Tier, Step], None]] = {
    StepKind.BOOT: lambda tier, step: tier.boot(step.node, DiskCondition(step.arg)),
    StepKind.CUT: lambda tier, step: tier.cut(list(range(tier.count))),
    StepKind.KILL: lambda tier, step: tier.kill(step.node),
    StepKind.SHUT_DOWN: lambda tier, step: tier.shut_down(step.node),
    StepKind.START_SUCCESSOR: lambda tier, step: tier.start_successor(step.node),
    StepKind.BAN: lambda tier, step: tier.request(step.node, step.arg, True),
    StepKind.LIFT: lambda tier, step: tier.request(step.node, step.arg, False),
    StepKind.RESTART_BACKEND: lambda tier, step: tier.restart_backend(step.arg),
    StepKind.TAKE_IMAGE: lambda tier, step: tier.disks[step.node].take_image(),
}


@dataclass(slots=True, frozen=True)
class Bounds:
    """Upper bounds on times of a schedule.

    `ban_propagation_ms` limits the time until all connected nodes know a ban, `full_ms` the time from the
    last fault until all nodes are FULL.
    """

    ban_propagation_ms: float
    full_ms: float


def bounds(schedule: Schedule, config: RecoveryConfig) -> Bounds:
    """Return the bounds for a schedule, which depend on its loss, late datagrams and tier size."""
    loss_factor = 1.0 / (1.0 - schedule.loss_rate) ** 2
    ban_propagation_ms = 15_000.0 * loss_factor if schedule.loss_rate or schedule.late_rate else 12_000.0
    rounds = max(1_000.0, schedule.count * config.poll_slot_ms) * 4 + 3 * schedule.count * schedule.serve_ms
    return Bounds(
        ban_propagation_ms,
        config.max_survey_ms + rounds + config.max_warming_ms + 2 * ban_propagation_ms + 3_000.0,
    )


def play(schedule: Schedule, make_core: MakeCore = Recovery) -> PlayResult:
    """Run a schedule; stop at a violation, or once the tier has settled after the last fault."""
    config = RecoveryConfig(
        established_after_ms=schedule.established_after_ms, poll_slot_ms=schedule.poll_slot_ms
    )
    limits = bounds(schedule, config)
    tier = _tier(schedule, config, make_core)
    observer = Observer(tier, limits.ban_propagation_ms)
    for step in schedule.steps:
        tier.at(SCHEDULE_START_MS + step.at, partial(ACTIONS[step.kind], tier, step))
    last = SCHEDULE_START_MS + schedule.last_fault
    tier.run(last)
    while tier.now < last + limits.full_ms and not observer.violations:
        if tier.now > last + MIN_RUN_AFTER_FAULTS_MS and observer.is_settled():
            break
        tier.run(tier.now + SETTLED_CHECK_INTERVAL_MS)
    full_ms = tier.now - last if observer.is_settled() else float("inf")
    if not observer.violations:
        observer.check_end()
    return PlayResult(
        schedule,
        observer.violations,
        tier.log,
        SCHEDULE_START_MS,
        full_ms,
        datagrams=tier.sent_by_second,
        calls=tier.discovery.requests_per_second,
        acknowledged_count=observer.answered_count,
        max_budget_use=max(backend.max_budget_use for backend in tier.backends.values()),
    )


def _tier(schedule: Schedule, config: RecoveryConfig, make_core: MakeCore) -> Tier:
    network = Network(
        loss_rate=schedule.loss_rate, duplicate_rate=schedule.duplicate_rate, late_rate=schedule.late_rate
    )
    partitions = tuple(
        Partition(SCHEDULE_START_MS + p.begin, SCHEDULE_START_MS + p.until, p.side)
        for p in schedule.partitions
    )
    tier = Tier(
        schedule.count, schedule.seed, network, config, make_core, BACKENDS, partitions, schedule.write_ms
    )
    tier.discovery.serve_ms = schedule.serve_ms
    tier.discovery.outages = tuple(
        Outage(SCHEDULE_START_MS + o.begin, SCHEDULE_START_MS + o.until) for o in schedule.outages
    )
    tier.runner.sync_failure_rate = schedule.sync_failure_rate
    tier.max_wall_offset_ms = schedule.max_wall_offset_ms
    return tier


@dataclass
class ExplorationResult:
    """Results of many schedules; `acknowledged_count` is the number of successful operators' requests."""

    schedules: int = 0
    acknowledged_count: int = 0
    failures: list[PlayResult] = field(default_factory=list)
    max_budget_use: float = 0.0
    full_ms: list[float] = field(default_factory=list)

    def first_violation(self) -> InvariantViolation | None:
        """Return the first violation of the exploration; None if there is none."""
        return self.failures[0].violations[0] if self.failures else None


def explore(
    seeds: Iterable[int],
    counts: Iterable[int] = NODE_COUNTS,
    make_core: MakeCore = Recovery,
    stop: int = MAX_FAILURES,
    draw_schedule: Callable[[int, Iterable[int]], Schedule] = draw,
) -> ExplorationResult:
    """Run the schedule of each seed until `stop` of them have failed."""
    explored = ExplorationResult()
    sizes = tuple(counts)
    for seed in seeds:
        played = play(draw_schedule(seed, sizes), make_core)
        explored.schedules += 1
        explored.acknowledged_count += played.acknowledged_count
        explored.max_budget_use = max(explored.max_budget_use, played.max_budget_use)
        explored.full_ms.append(played.full_ms)
        if played.violations:
            explored.failures.append(played)
            if len(explored.failures) >= stop:
                break
    return explored


def shrink(failed: PlayResult, make_core: MakeCore = Recovery) -> PlayResult:
    """Return a run with the same violation and fewer faults, removed in ever smaller groups."""
    best = failed
    invariant = failed.violations[0].invariant
    fault_free = Schedule(best.schedule.seed, best.schedule.count, ())
    for name in SHRUNK_FIELDS:
        if getattr(best.schedule, name) != getattr(fault_free, name):
            smaller = dataclasses.replace(best.schedule, **{name: getattr(fault_free, name)})
            best = _run_if_violated(smaller, make_core, invariant) or best
    size = len(best.schedule.steps) // 2
    while size:
        begin = 0
        while begin < len(steps := best.schedule.steps):
            smaller = dataclasses.replace(best.schedule, steps=steps[:begin] + steps[begin + size :])
            if (played := _run_if_violated(smaller, make_core, invariant)) is None:
                begin += size
            else:
                best = played
        size //= 2
    return best


def _run_if_violated(schedule: Schedule, make_core: MakeCore, invariant: str) -> PlayResult | None:
    played = play(schedule, make_core)
    return played if any(violation.invariant == invariant for violation in played.violations) else None
