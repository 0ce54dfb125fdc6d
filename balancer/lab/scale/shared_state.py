"""Scale measurements of the state that nodes share: membership, recovery, and the durable state of one node.

Figures named `*_datagrams` and `*_bytes` are what one node receives, as a mean over nodes and with headers.
`*_worst_second` is the number of its bytes in the worst second, `*_processor` the processor time of its
protocol core, and `*_world` that of the whole simulation. Whole tiers are simulated in parallel processes,
each with its own processor time. Figures of membership and recovery in s are virtual time.
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
    "The protocol cores are those of a real node; the simulated network loses 1% of the datagrams and delays "
    "them by 4 to 40 ms, without queues. There are no sockets, no event loop and no requests: processor time "
    "is that of the protocol cores, without system calls. "
)
DISK_LIMITS = (
    "The store is that of a real node over a simulated disk in memory: the time of a real disk is left out, "
    "and the names in the list are short. "
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """A play whose sizes depend on whether the run is quick."""

    name: str
    run: Run
    sizes: Sizes
    quick_sizes: Sizes
    target: int
    limits: str


SCENARIOS = (
    Scenario(
        "membership quiet",
        membership_tiers.quiet,
        (25, 50, 100, 200, 400),
        (4, 8, 16, 32, 64),
        NODES,
        TIER_LIMITS
        + "The nodes start with the same view, so each has received datagrams from few of its peers. "
        "Restarts occur at the rate of 5,700 nodes at every size.",
    ),
    Scenario(
        "membership one core",
        membership_tiers.one_node,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 2_850),
        NODES,
        "One protocol core at the full number of members; its peers are stubs that answer at once, lose "
        "nothing and have the same view.",
    ),
    Scenario(
        "membership cold start",
        membership_tiers.cold_start,
        (50, 100, 200, 400, 800),
        (8, 16, 32, 64, 128),
        NODES,
        TIER_LIMITS + "All nodes start at the same time.",
    ),
    Scenario(
        "membership faults",
        membership_tiers.faults,
        (25, 50, 100, 200, 400, 800),
        (4, 8, 16, 32, 64),
        NODES,
        TIER_LIMITS
        + "A rack is one node in twenty, a larger share than 40 of 5,700; a region is a third of the nodes, "
        "and it is partitioned until the nodes of each side agree.",
    ),
    Scenario(
        "recovery return",
        power_recovery.whole_tiers,
        (10, 20, 40, 80, 160, 320),
        (4, 8, 16, 32),
        NODES,
        TIER_LIMITS
        + "There are six backends and one ban, discovery answers in 4 ms, and every disk is sound.",
    ),
    Scenario(
        "recovery turns",
        power_recovery.poll_slots,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 2_850),
        NODES,
        "24 nodes represent the tier: the poll slot of each is as long as those of "
        "the nodes it represents. The traffic "
        "between nodes is that of 24 nodes.",
    ),
    Scenario(
        "recovery restart",
        power_recovery.restarts,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 5_700),
        NODES,
        "One protocol core at the full number of nodes; eight stub peers answer a survey, no "
        "datagram is lost, and discovery has "
        "no other caller.",
    ),
    Scenario(
        "recovery answers",
        power_recovery.status_datagrams,
        (356, 712, 1_425, 2_850, 5_700),
        (356, 1_425, 5_700),
        NODES,
        "One datagram is encoded and decoded at the full number of nodes.",
    ),
    Scenario(
        "durable store",
        durable_state.measure_stores,
        (1_000, 4_000, 16_000, 35_000, 70_000),
        (1_000, 4_000, 16_000),
        BACKENDS,
        DISK_LIMITS
        + "One backend in four has learned state. A start is measured where the list and the snapshot fit.",
    ),
    Scenario(
        "durable limits",
        durable_state.measure_limits,
        (100_000,),
        (100_000,),
        BACKENDS,
        DISK_LIMITS,
    ),
)


# Only these measurements are split into parallel parts. Each part has a name suffix, a function that measures
# one size, and an estimate of the core seconds that it takes at 100 nodes.
PARALLEL_RUNS: dict[Run, dict[str, tuple[Run, float]]] = {
    membership_tiers.quiet: {"": (membership_tiers.quiet, 0.4)},
    membership_tiers.cold_start: {"": (membership_tiers.cold_start, 0.5)},
    membership_tiers.faults: {
        f", {name}": (partial(membership_tiers.faults, selected=(name,)), 2.0 if name == "a region" else 0.2)
        for name in membership_tiers.FAULTS
    },
    power_recovery.whole_tiers: {"": (power_recovery.whole_tiers, 16.0)},
}
COST_EXPONENT = 2.2  # The run time of a simulated tier grows with its size to the power of 2.2.


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
        Part(f"{name}{suffix} at {size}", partial(run_one, (size,)), cost_s * (size / 100) ** COST_EXPONENT)
        for size in sizes for suffix, (run_one, cost_s) in PARALLEL_RUNS.get(run, {}).items()
    )  # fmt: skip
