"""Plays schedules against a tier, and makes a failed one small.

One by hand, with the log of what happened:

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

BEGIN_MS = 1e6  # of the world's clock
SETTLE_MS = 500.0  # from one look at the end to the next
QUIET_MS = 1_000.0  # after the last fault, before the end
MAX_FAILURES = 5  # of an exploration
SHRUNK_FIELDS = (
    "partitions",
    "outages",
    "loss",
    "late",
    "duplicate",
    "sync_failure_rate",
    "serve_ms",
    "max_wall_offset",
)


@dataclass
class PlayResult:
    """What came of a schedule."""

    schedule: Schedule
    violations: list[InvariantViolation]
    log: list[tuple[float, str]]
    begun: float
    full_ms: float  # from the last fault until all were full and agreed; infinity if they were not
    datagrams: Counter[int]  # of all nodes and protocols, by second
    calls: Counter[int]  # of discovery, by second
    acknowledged_count: int  # requests of operators that succeeded
    max_budget_use: float  # part of its budget that a cold backend was sent at the most

    def __str__(self) -> str:
        """Return the log."""
        lines = [f"seed {self.schedule.seed}: {self.schedule.count} nodes, loss {self.schedule.loss}"]
        lines += [f"{at - self.begun:9.0f}  {text}" for at, text in self.log]
        return "\n".join(lines)


ACTIONS: dict[StepKind, Callable[[Tier, Step], None]] = {
    StepKind.BOOT: lambda tier, step: tier.boot(step.node, DiskCondition(step.arg)),
    StepKind.CUT: lambda tier, step: tier.cut(list(range(tier.count))),
    StepKind.KILL: lambda tier, step: tier.kill(step.node),
    StepKind.SHUT_DOWN: lambda tier, step: tier.shut_down(step.node),
    StepKind.SUCCEED: lambda tier, step: tier.succeed(step.node),
    StepKind.BAN: lambda tier, step: tier.request(step.node, step.arg, True),
    StepKind.LIFT: lambda tier, step: tier.request(step.node, step.arg, False),
    StepKind.RESTART_BACKEND: lambda tier, step: tier.restart_backend(step.arg),
    StepKind.TAKE_IMAGE: lambda tier, step: tier.disks[step.node].take_image(),
}


@dataclass(slots=True, frozen=True)
class Bounds:
    """Stated times, ms."""

    learn: float  # until a ban is known to all in touch
    full: float  # from the last fault until all are full


def bounds(schedule: Schedule, config: RecoveryConfig) -> Bounds:
    """Return the bounds that hold for a schedule."""
    slow = 1.0 / (1.0 - schedule.loss) ** 2
    learn = 15_000.0 * slow if schedule.loss or schedule.late else 12_000.0
    rounds = max(1_000.0, schedule.count * config.poll_slot_ms) * 4 + 3 * schedule.count * schedule.serve_ms
    return Bounds(learn, config.max_survey_ms + rounds + config.max_warming_ms + 2 * learn + 3_000.0)


def play(schedule: Schedule, make_core: MakeCore = Recovery) -> PlayResult:
    """Let a schedule happen; stop soon after the last fault where all is well."""
    config = RecoveryConfig(established_after_ms=schedule.window, poll_slot_ms=schedule.slot)
    limits = bounds(schedule, config)
    tier = _tier(schedule, config, make_core)
    observer = Observer(tier, limits.learn)
    for step in schedule.steps:
        tier.at(BEGIN_MS + step.at, partial(ACTIONS[step.kind], tier, step))
    last = BEGIN_MS + schedule.last_fault
    tier.run(last)
    while tier.now < last + limits.full and not observer.violations:
        if tier.now > last + QUIET_MS and observer.is_settled():
            break  # nothing is left that could change
        tier.run(tier.now + SETTLE_MS)
    full_ms = tier.now - last if observer.is_settled() else float("inf")
    if not observer.violations:
        observer.judge_end()
    return PlayResult(
        schedule,
        observer.violations,
        tier.log,
        BEGIN_MS,
        full_ms,
        datagrams=tier.sent_by_second,
        calls=tier.discovery.requests_per_second,
        acknowledged_count=observer.answered_count,
        max_budget_use=max(backend.max_used for backend in tier.backends.values()),
    )


def _tier(schedule: Schedule, config: RecoveryConfig, make_core: MakeCore) -> Tier:
    network = Network(loss_rate=schedule.loss, duplicate_rate=schedule.duplicate, late_rate=schedule.late)
    partitions = tuple(Partition(BEGIN_MS + p.begin, BEGIN_MS + p.until, p.side) for p in schedule.partitions)
    tier = Tier(
        schedule.count, schedule.seed, network, config, make_core, BACKENDS, partitions, schedule.write_ms
    )
    tier.discovery.serve_ms = schedule.serve_ms
    tier.discovery.outages = tuple(Outage(BEGIN_MS + o.begin, BEGIN_MS + o.until) for o in schedule.outages)
    tier.runner.sync_failure_rate = schedule.sync_failure_rate
    tier.max_wall_offset = schedule.max_wall_offset
    return tier


@dataclass
class ExplorationResult:
    """What many schedules came to."""

    schedules: int = 0
    acknowledged_count: int = 0  # requests of operators that succeeded
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
    """Play a schedule of each seed until `stop` have failed."""
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
    """Return the same violation with fewer faults: they are taken away, many at once and then few."""
    best = failed
    invariant = failed.violations[0].invariant
    plain = Schedule(best.schedule.seed, best.schedule.count, ())
    for name in SHRUNK_FIELDS:
        if getattr(best.schedule, name) != getattr(plain, name):
            smaller = dataclasses.replace(best.schedule, **{name: getattr(plain, name)})
            best = _played_if_broken(smaller, make_core, invariant) or best
    size = len(best.schedule.steps) // 2
    while size:
        begin = 0
        while begin < len(steps := best.schedule.steps):
            smaller = dataclasses.replace(best.schedule, steps=steps[:begin] + steps[begin + size :])
            if (played := _played_if_broken(smaller, make_core, invariant)) is None:
                begin += size
            else:
                best = played
        size //= 2
    return best


def _played_if_broken(schedule: Schedule, make_core: MakeCore, invariant: str) -> PlayResult | None:
    played = play(schedule, make_core)
    return played if any(violation.invariant == invariant for violation in played.violations) else None
