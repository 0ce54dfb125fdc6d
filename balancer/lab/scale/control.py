"""The plays of the rooms that nodes share: membership, recovery, and the durable state of one node.

Of their figures `_datagrams` and `_bytes` are what one node receives, on the mean and with headers,
`_worst_second` its bytes in the worst second, `_processor` its core's processor time, and `_world` that of
the whole simulation; where whole tiers are played beside one another, in their own processes. Figures of
membership and recovery in s are virtual time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from functools import partial

from balancer.lab.scale import returns, stores, tiers
from balancer.lab.scale.points import NotPlayed, Part, Play, Point
from balancer.lab.scale.size import BACKENDS, NODES

Sizes = tuple[int, ...]
Run = Callable[[Sequence[int], int], Iterator[Point | NotPlayed]]
WORLD = (
    "The cores are those that run uses; the network loses 1% and takes 4 to 40 ms, without queues. There are "
    "no sockets, no event loop and no requests: processor time is the cores' own, without system calls. "
)
DISK = "The store is that of run over a disk in memory: no time of a real disk, and a list of short names. "

# Name, run, sizes, sizes of the quick play, target, limits.
PLAYS: tuple[tuple[str, Run, Sizes, Sizes, int, str], ...] = (
    ("membership quiet", tiers.quiet, (25, 50, 100, 200, 400), (4, 8, 16, 32, 64), NODES,
     WORLD + "The tier agrees from the start, so a node has heard few of its peers so far. The restarts of a "
     "day come at the rate of 5,700 nodes, whatever the size."),
    ("membership one core", tiers.one_node, (356, 712, 1_425, 2_850, 5_700), (356, 1_425, 2_850), NODES,
     "One core at the size itself; its peers are hollow: they answer at once, lose nothing, agree with it."),
    ("membership cold start", tiers.cold_start, (50, 100, 200, 400, 800), (8, 16, 32, 64, 128), NODES,
     WORLD + "All start in one moment."),
    ("membership faults", tiers.faults, (25, 50, 100, 200, 400, 800), (4, 8, 16, 32, 64), NODES,
     WORLD + "A rack is one node in twenty, a larger part than 40 of 5,700; a region is a third, and apart "
     "until each side agrees."),
    ("recovery return", returns.tiers, (10, 20, 40, 80, 160, 320), (4, 8, 16, 32), NODES,
     WORLD + "Six backends, one ban, discovery that answers in 4 ms; every disk is sound."),
    ("recovery turns", returns.turns, (356, 712, 1_425, 2_850, 5_700), (356, 1_425, 2_850), NODES,
     "24 nodes stand for all: the turn of each is as long as those of its share of the tier. What nodes tell "
     "each other is that of 24."),
    ("recovery restart", returns.restarts, (356, 712, 1_425, 2_850, 5_700), (356, 1_425, 5_700), NODES,
     "One core at the size itself; eight hollow peers answer a roll call, nothing is lost, and discovery has "
     "no other caller."),
    ("recovery answers", returns.words, (356, 712, 1_425, 2_850, 5_700), (356, 1_425, 5_700), NODES,
     "One datagram, written and read at the size itself."),
    ("durable store", stores.stores, (1_000, 4_000, 16_000, 35_000, 70_000), (1_000, 4_000, 16_000), BACKENDS,
     DISK + "Something is learned of one backend in four. A start is played where list and snapshot fit."),
    ("durable limits", stores.limits, (100_000,), (100_000,), BACKENDS, DISK),
)  # fmt: skip


# What can be played in parts beside one another: what plays a size of it, by a name where there are several,
# and about the seconds of a core that it takes at 100 nodes.
BESIDE: dict[Run, dict[str, tuple[Run, float]]] = {
    tiers.quiet: {"": (tiers.quiet, 0.4)},
    tiers.cold_start: {"": (tiers.cold_start, 0.5)},
    tiers.faults: {
        f", {name}": (partial(tiers.faults, some=(name,)), 2.0 if name == "a region" else 0.2)
        for name in tiers.FAULTS
    },
    returns.tiers: {"": (returns.tiers, 16.0)},
}
GROWTH = 2.2  # the power of the size by which that grows


def plays(quick: bool) -> list[Play]:
    """Those of membership, recovery and durable state; within 15 minutes of one core, 25 s where `quick`."""
    out = []
    for name, run, whole, small, target, limits in PLAYS:
        sizes = small if quick else whole
        out.append(Play(name, partial(run, sizes), target, limits, _parts(name, run, sizes)))
    return out


def _parts(name: str, run: Run, sizes: Sizes) -> tuple[Part, ...]:
    return tuple(
        Part(f"{name}{what} at {size}", partial(one, (size,)), seconds * (size / 100) ** GROWTH)
        for size in sizes for what, (one, seconds) in BESIDE.get(run, {}).items()
    )  # fmt: skip
