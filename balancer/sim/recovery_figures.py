"""Figures of a whole tier's recovery: requests to discovery, datagrams, and the time until all are FULL.

For example:

    python -c "from balancer.sim import recovery_figures
    print(recovery_figures.measure_mass_restart(200, 1))"
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from balancer.recovery.core import Recovery
from balancer.sim.members import MembershipSimulation
from balancer.sim.recovery_disks import DiskCondition
from balancer.sim.recovery_environment import Discovery, Outage, retry_delays
from balancer.sim.recovery_play import play
from balancer.sim.recovery_process import MakeCore
from balancer.sim.recovery_schedule import BACKENDS, Schedule, Step, StepKind

# Power is cut when all nodes have started and recovery traffic has ended.
CUT_MS = 12_000.0
BOOT_SPREAD_MS = 1_500.0
BAN_BEFORE_CUT_MS = 2_000.0
OUTAGE_MS = 500.0
BASELINE_S = 5
SETTLE_MS = 30_000.0


@dataclass(slots=True, frozen=True)
class MassRestartFigures:
    """Cost of a whole tier's restart after a power cut.

    Datagrams are per node and second, before the cut and in the busiest second after it. `peak_calls_per_s`
    counts requests to discovery; `full_ms` is the time from the cut until the last node is FULL.
    """

    count: int
    seed: int
    baseline_datagrams_per_s: float
    peak_datagrams_per_s: float
    peak_calls_per_s: int
    full_ms: float
    violations: tuple[str, ...]


def measure_mass_restart(
    count: int,
    seed: int,
    spread_ms: float = 2_000.0,
    discovery_down_ms: float = 0.0,
    loss_rate: float = 0.0,
    serve_ms: float = 4.0,
    poll_slot_ms: float = 25.0,
    make_core: MakeCore = Recovery,
) -> MassRestartFigures:
    """Cut the power of all nodes and measure the tier's recovery.

    The nodes restart within `spread_ms`; discovery is down for `discovery_down_ms` from the cut on.
    """
    schedule = replace(
        _schedule(count, seed, spread_ms, discovery_down_ms),
        loss_rate=loss_rate,
        serve_ms=serve_ms,
        poll_slot_ms=poll_slot_ms,
    )
    played = play(schedule, make_core)
    second = int((played.began_at + CUT_MS) / 1000)
    baseline = [played.datagrams[s] / count for s in range(second - BASELINE_S, second)]
    full_times = [at for at, text in played.log if "phase full" in text]
    return MassRestartFigures(
        count,
        seed,
        baseline_datagrams_per_s=sum(baseline) / len(baseline),
        peak_datagrams_per_s=max(n / count for s, n in played.datagrams.items() if s >= second),
        peak_calls_per_s=max((n for s, n in played.calls.items() if s >= second), default=0),
        full_ms=full_times[-1] - played.began_at - CUT_MS if full_times else float("inf"),
        violations=tuple(f"{b.invariant}: {b.text}" for b in played.violations),
    )


def _schedule(count: int, seed: int, spread_ms: float, discovery_down_ms: float) -> Schedule:
    generator = random.Random(f"return {seed}")
    sound = DiskCondition.SOUND.value
    power_at = CUT_MS + OUTAGE_MS
    steps = [Step(generator.uniform(0, BOOT_SPREAD_MS), StepKind.BOOT, node, sound) for node in range(count)]
    steps += [
        Step(CUT_MS - BAN_BEFORE_CUT_MS, StepKind.BAN, generator.randrange(count), name)
        for name in BACKENDS[:2]
    ]
    steps.append(Step(CUT_MS, StepKind.CUT))
    steps += [
        Step(CUT_MS + generator.uniform(10, OUTAGE_MS), StepKind.RESTART_BACKEND, arg=name)
        for name in BACKENDS
    ]
    steps += [
        Step(power_at + generator.uniform(0, spread_ms), StepKind.BOOT, node, sound) for node in range(count)
    ]
    outages = (Outage(CUT_MS, CUT_MS + discovery_down_ms),) if discovery_down_ms else ()
    return Schedule(seed, count, tuple(sorted(steps, key=lambda step: step.at)), outages=outages)


def peak_calls_without_slots(
    count: int, seed: int, spread_ms: float = 2_000.0, discovery_down_ms: float = 0.0, serve_ms: float = 4.0
) -> int:
    """Return the requests to discovery in the busiest second if nodes poll without slots.

    Each node polls when it starts, and again after each failure, as `net/discovery.py` does: after 0.1 s,
    doubled up to 2 s, times a random factor from 0.5 to 1.5.
    """
    schedule = _schedule(count, seed, spread_ms, discovery_down_ms)
    generator = random.Random(f"calls {seed}")
    world = MembershipSimulation(0, seed)
    discovery = Discovery(world.at, lambda: world.now, serve_ms)
    began_at = world.now
    discovery.outages = tuple(Outage(began_at + o.begin, began_at + o.until) for o in schedule.outages)

    def polling_node() -> Callable[[], None]:
        delays = retry_delays()

        def call() -> None:
            delay = next(delays) * generator.uniform(0.5, 1.5)
            discovery.call(lambda: None, lambda: world.at(world.now + delay, call))

        return call

    for step in schedule.steps:
        if step.kind is StepKind.BOOT and step.at > CUT_MS:
            world.at(began_at + step.at, partial(polling_node()))
    world.run(began_at + CUT_MS + spread_ms + discovery_down_ms + SETTLE_MS)
    return max(discovery.requests_per_second.values())
