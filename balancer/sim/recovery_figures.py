"""Figures of a whole tier's recovery: requests to discovery, datagrams, and the time until all are full.

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

CUT_MS = 12_000.0  # the tier has come up and is quiet by then
BOOT_SPREAD_MS = 1_500.0
BAN_LEAD_MS = 2_000.0  # before the cut
DARK_MS = 500.0  # until the first node is back
BASELINE_S = 5  # seconds before the cut that stand for the usual
SETTLE_MS = 30_000.0


@dataclass(slots=True, frozen=True)
class MassRestartFigures:
    """What a recovery cost; `violations` has what must not be."""

    count: int
    seed: int
    usual: float  # datagrams a node a second before the cut
    worst: float  # and in the worst second after it
    calls: int  # of discovery in the worst second
    full_ms: float  # from power to the last FULL
    violations: tuple[str, ...]


def measure_mass_restart(
    count: int,
    seed: int,
    spread: float = 2_000.0,
    down: float = 0.0,
    loss: float = 0.0,
    serve_ms: float = 4.0,
    slot: float = 25.0,
    make_core: MakeCore = Recovery,
) -> MassRestartFigures:
    """Cut the power of all nodes, which return over `spread` ms, discovery `down` ms after the cut."""
    schedule = replace(_schedule(count, seed, spread, down), loss=loss, serve_ms=serve_ms, slot=slot)
    played = play(schedule, make_core)
    second = int((played.begun + CUT_MS) / 1000)
    usual = [played.datagrams[s] / count for s in range(second - BASELINE_S, second)]
    fulls = [at for at, text in played.log if "phase full" in text]
    return MassRestartFigures(
        count,
        seed,
        usual=sum(usual) / len(usual),
        worst=max(n / count for s, n in played.datagrams.items() if s >= second),
        calls=max((n for s, n in played.calls.items() if s >= second), default=0),
        full_ms=fulls[-1] - played.begun - CUT_MS if fulls else float("inf"),
        violations=tuple(f"{b.invariant}: {b.text}" for b in played.violations),
    )


def _schedule(count: int, seed: int, spread: float, down: float) -> Schedule:
    generator = random.Random(f"return {seed}")
    sound = DiskCondition.SOUND.value
    power_at = CUT_MS + DARK_MS
    steps = [Step(generator.uniform(0, BOOT_SPREAD_MS), StepKind.BOOT, node, sound) for node in range(count)]
    steps += [
        Step(CUT_MS - BAN_LEAD_MS, StepKind.BAN, generator.randrange(count), name) for name in BACKENDS[:2]
    ]
    steps.append(Step(CUT_MS, StepKind.CUT))
    steps += [
        Step(CUT_MS + generator.uniform(10, DARK_MS), StepKind.RESTART_BACKEND, arg=name) for name in BACKENDS
    ]
    steps += [
        Step(power_at + generator.uniform(0, spread), StepKind.BOOT, node, sound) for node in range(count)
    ]
    outages = (Outage(CUT_MS, CUT_MS + down),) if down else ()
    return Schedule(seed, count, tuple(sorted(steps, key=lambda step: step.at)), outages=outages)


def peak_calls_without_slots(
    count: int, seed: int, spread: float = 2_000.0, down: float = 0.0, serve_ms: float = 4.0
) -> int:
    """Return the requests to discovery in the worst second where nodes poll without slots.

    Each polls as it starts, and again on failure, as `net/discovery.py` does: after 0.1 s, doubled up to 2 s,
    half to one and a half of it.
    """
    schedule = _schedule(count, seed, spread, down)
    generator = random.Random(f"calls {seed}")
    world = MembershipSimulation(0, seed)
    discovery = Discovery(world.at, lambda: world.now, serve_ms)
    begun = world.now
    discovery.outages = tuple(Outage(begun + o.begin, begun + o.until) for o in schedule.outages)

    def caller() -> Callable[[], None]:
        delays = retry_delays()

        def call() -> None:
            delay = next(delays) * generator.uniform(0.5, 1.5)
            discovery.call(lambda: None, lambda: world.at(world.now + delay, call))

        return call

    for step in schedule.steps:
        if step.kind is StepKind.BOOT and step.at > CUT_MS:
            world.at(begun + step.at, partial(caller()))
    world.run(begun + CUT_MS + spread + down + SETTLE_MS)
    return max(discovery.requests_per_second.values())
