"""Figures of a whole tier's return: calls of discovery, datagrams, and the time until all are full.

python -c "from balancer.sim.recovery_figures import mass_return; print(mass_return(200, 1))"
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from balancer.recovery.core import Recovery
from balancer.sim.members import World
from balancer.sim.recovery_disks import Condition
from balancer.sim.recovery_environment import Discovery, waits
from balancer.sim.recovery_schedule import BACKENDS, Schedule, Step, play
from balancer.sim.recovery_world import MakeCore

CUT_MS = 12_000.0  # the tier has come up and is quiet by then
DARK_MS = 500.0  # until the first node is back
USUAL_S = 5  # seconds before the cut that stand for the usual


@dataclass(slots=True, frozen=True)
class Return:
    """What a return cost; `breaches` has what must not be."""

    count: int
    seed: int
    usual: float  # datagrams a node a second before the cut
    worst: float  # and in the worst second after it
    calls: int  # of discovery in the worst second
    full_ms: float  # from power to the last FULL
    breaches: tuple[str, ...]


def mass_return(count: int, seed: int, spread: float = 2_000.0, down: float = 0.0, loss: float = 0.0,
                serve_ms: float = 4.0, slot: float = 25.0, make: MakeCore = Recovery) -> Return:  # fmt: skip
    """All `count` nodes lose power and return over `spread` ms, discovery `down` ms after the cut."""
    schedule = _schedule(count, seed, spread, down)
    played = play(replace(schedule, loss=loss, serve_ms=serve_ms, slot=slot), make)
    second = int((played.begun + CUT_MS) / 1000)
    usual = [played.datagrams[s] / count for s in range(second - USUAL_S, second)]
    worst = max(n / count for s, n in played.datagrams.items() if s >= second)
    calls = max((n for s, n in played.calls.items() if s >= second), default=0)
    fulls = [at for at, text in played.log if "phase full" in text]
    breaches = tuple(f"{b.invariant}: {b.text}" for b in played.breaches)
    full = fulls[-1] - played.begun - CUT_MS if fulls else float("inf")
    return Return(count, seed, sum(usual) / len(usual), worst, calls, full, breaches)


def _schedule(count: int, seed: int, spread: float, down: float) -> Schedule:
    dice = random.Random(f"return {seed}")
    sound = Condition.SOUND.value
    steps = [Step(dice.uniform(0, 1_500), "boot", node, sound) for node in range(count)]
    steps += [Step(CUT_MS - 2_000, "out", dice.randrange(count), name) for name in BACKENDS[:2]]
    steps.append(Step(CUT_MS, "cut"))
    steps += [Step(CUT_MS + dice.uniform(10, DARK_MS), "backend", arg=name) for name in BACKENDS]
    steps += [Step(CUT_MS + DARK_MS + dice.uniform(0, spread), "boot", node, sound) for node in range(count)]
    off = ((CUT_MS, CUT_MS + down),) if down else ()
    return Schedule(seed, count, tuple(sorted(steps, key=lambda step: step.at)), down=off)


def calls_without(count: int, seed: int, spread: float = 2_000.0, down: float = 0.0,
                  serve_ms: float = 4.0) -> int:  # fmt: skip
    """Calls of discovery in the worst second where each node calls as it starts, and again on failure.

    As `net/discovery.py` does: 0.1 s to the next call, doubled up to 2 s, half to one and a half of it.
    """
    schedule, dice = _schedule(count, seed, spread, down), random.Random(f"calls {seed}")
    world = World(0, seed)
    discovery = Discovery(world.at, lambda: world.now, serve_ms)
    begun = world.now
    discovery.down = tuple((begun + a, begun + b) for a, b in schedule.down)

    def caller() -> Callable[[], None]:
        steps = waits()

        def call() -> None:
            wait = next(steps) * dice.uniform(0.5, 1.5)
            discovery.call(lambda: None, lambda: world.at(world.now + wait, call))

        return call

    for step in schedule.steps:
        if step.what == "boot" and step.at > CUT_MS:
            world.at(begun + step.at, partial(caller()))
    world.run(begun + CUT_MS + spread + down + 30_000)
    return max(discovery.per_second.values())
