"""The plays of the state that nodes share: membership, recovery, and the durable state of one node.

Of their figures `_datagrams` and `_bytes` are what one node receives, on the mean and with headers,
`_worst_second` its bytes in the worst second, `_processor` its core's processor time, and `_world` that of
the whole simulation; where whole tiers are played beside one another, in their own processes. Figures of
membership and recovery in s are virtual time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from balancer.lab.scale import durable_state, membership_tiers, power_recovery
from balancer.lab.scale.points import NotPlayed, Part, Play, Point
from balancer.lab.scale.size import BACKENDS, NODES

Sizes = tuple[int, ...]
Run = Callable[[Sequence[int], int], Iterator[Point | NotPlayed]]
TIER_LIMITS = (
    "The cores are those that run uses; the network loses 1% and takes 4 to 40 ms, without queues. There are "
    "no sockets, no event loop and no requests: processor time is the cores' own, without system calls. "
)
DISK_LIMITS = (
    "The store is that of run over a disk in memory: no time of a real disk, and a list of short names. "
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """A play before its sizes are chosen."""

    name: str
    run: Run
    sizes: Sizes
    quick_sizes: Sizes
    target: int
    limits: str  # what of it is hollow


SCENARIOS = (
    Scenario(
        "membership quiet",
        membership_tiers.quiet,
        (25, 50, 100, 200, 400),
        (4, 8, 16, 32, 64),
        NODES,
        TIER_LIMITS
        + "The tier agrees from the start, so a node has heard few of its peers so far. The restarts of a "
        "day come at the rate of 5,700 nodes, whatever the size.",
    ),
    Scenario(
        "membership one core",
        membership_tiers.one_node,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 2_850),
        NODES,
        "One core at the size itself; its peers are hollow: they answer at once, lose "
        "nothing, agree with it.",
    ),
    Scenario(
        "membership cold start",
        membership_tiers.cold_start,
        (50, 100, 200, 400, 800),
        (8, 16, 32, 64, 128),
        NODES,
        TIER_LIMITS + "All start in one moment.",
    ),
    Scenario(
        "membership faults",
        membership_tiers.faults,
        (25, 50, 100, 200, 400, 800),
        (4, 8, 16, 32, 64),
        NODES,
        TIER_LIMITS
        + "A rack is one node in twenty, a larger part than 40 of 5,700; a region is a third, and apart "
        "until each side agrees.",
    ),
    Scenario(
        "recovery return",
        power_recovery.tiers,
        (10, 20, 40, 80, 160, 320),
        (4, 8, 16, 32),
        NODES,
        TIER_LIMITS + "Six backends, one ban, discovery that answers in 4 ms; every disk is sound.",
    ),
    Scenario(
        "recovery turns",
        power_recovery.turns,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 2_850),
        NODES,
        "24 nodes stand for all: the turn of each is as long as those of its share of "
        "the tier. What nodes tell "
        "each other is that of 24.",
    ),
    Scenario(
        "recovery restart",
        power_recovery.restarts,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 5_700),
        NODES,
        "One core at the size itself; eight hollow peers answer a roll call, nothing is "
        "lost, and discovery has "
        "no other caller.",
    ),
    Scenario(
        "recovery answers",
        power_recovery.answers,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 5_700),
        NODES,
        "One datagram, written and read at the size itself.",
    ),
    Scenario(
        "durable store",
        durable_state.stores,
        (1_000, 4_000, 16_000, 35_000, 70_000),
        (1_000, 4_000, 16_000),
        BACKENDS,
        DISK_LIMITS
        + "Something is learned of one backend in four. A start is played where list and snapshot fit.",
    ),
    Scenario(
        "durable limits",
        durable_state.limits,
        (100_000,),
        (100_000,),
        BACKENDS,
        DISK_LIMITS,
    ),
)


# What can be played in parts beside one another: what plays a size of it, by a name where there are several,
# and about the seconds of a core that it takes at 100 nodes.
PARALLEL_RUNS: dict[Run, dict[str, tuple[Run, float]]] = {
    membership_tiers.quiet: {"": (membership_tiers.quiet, 0.4)},
    membership_tiers.cold_start: {"": (membership_tiers.cold_start, 0.5)},
    membership_tiers.faults: {
        f", {name}": (partial(membership_tiers.faults, selected=(name,)), 2.0 if name == "a region" else 0.2)
        for name in membership_tiers.FAULTS
    },
    power_recovery.tiers: {"": (power_recovery.tiers, 16.0)},
}
COST_EXPONENT = 2.2  # the power of the size by which that grows


def plays(quick: bool) -> list[Play]:
    """Return the plays of membership, recovery and durable state."""
    out = []
    for scenario in SCENARIOS:
        sizes = scenario.quick_sizes if quick else scenario.sizes
        run = partial(scenario.run, sizes)
        parts = _parts(scenario.name, scenario.run, sizes)
        out.append(Play(scenario.name, run, scenario.target, scenario.limits, parts))
    return out


def _parts(name: str, run: Run, sizes: Sizes) -> tuple[Part, ...]:
    return tuple(
        Part(f"{name}{what} at {size}", partial(one, (size,)), seconds * (size / 100) ** COST_EXPONENT)
        for size in sizes for what, (one, seconds) in PARALLEL_RUNS.get(run, {}).items()
    )  # fmt: skip
