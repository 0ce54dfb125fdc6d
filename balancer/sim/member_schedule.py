"""Seeded schedules of a tier of membership protocols: peer lists change among deaths, stalls and leaves.

An exception of a core ends a play and is its failure, as is a tier that does not agree a while after the last
fault. One by hand:

    python -c "from balancer.sim.member_schedule import play; print(play(17))"
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balancer.sim.members import MembershipSimulation, Network

NODE_COUNTS = (3, 6, 12, 40)
LOSS_RATES = (0.0, 0.1, 0.3)
START_MS = 3_000.0  # until the first fault
FAULT_COUNT = 25
LIST_CHANGE_WEIGHT = 4  # of another list against each other fault
MAX_PAUSE_MS = 600.0  # between two faults
MAX_STALL_MS = 2_000.0
MAX_REPLACED = 3  # peers that one list replaces
AWAY_MS = 1_500.0  # from the end of a process to the next one
FINAL_LOSS_RATE = 0.05
AGREEMENT_TIMEOUT_MS = 60_000.0
MAX_FAILURES = 5  # of an exploration


@dataclass(slots=True, frozen=True)
class Failure:
    """What must not be."""

    seed: int
    at: float  # ms of virtual time
    text: str


class _Play:
    """One seed's tier and its faults."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(f"members {seed}")
        self.count = self.random.choice(NODE_COUNTS)
        self.world = MembershipSimulation(
            self.count, seed, network=Network(loss_rate=self.random.choice(LOSS_RATES))
        )

    def run(self) -> None:
        """Play the faults, end them, and wait until all agree."""
        world = self.world
        for node in range(self.count):
            world.start(node)
        world.run(world.now + START_MS)
        faults: list[Callable[[int], None]] = [self._stall, self._kill, self._leave]
        faults += [self._change_list] * LIST_CHANGE_WEIGHT
        for _ in range(FAULT_COUNT):
            node = self.random.randrange(self.count)
            if world.hosts[node].core is not None:
                self.random.choice(faults)(node)
            world.run(world.now + self.random.uniform(0.0, MAX_PAUSE_MS))
        self._end_faults()

    def has_agreed(self) -> bool:
        """Return whether all come to the same view of a tier that is whole again."""
        return self.world.run_until_converged(AGREEMENT_TIMEOUT_MS) < AGREEMENT_TIMEOUT_MS

    def _change_list(self, node: int) -> None:
        draws = self.random
        shortest = node + 1
        listed = draws.choice((self.count, max(shortest, self.count - 1), max(shortest, self.count // 2)))
        replaced = draws.sample(range(listed), min(listed, draws.randint(0, MAX_REPLACED)))
        self.world.change_peers(node, listed, frozenset(replaced))

    def _stall(self, node: int) -> None:
        self.world.stall(node, self.random.uniform(0.0, MAX_STALL_MS))

    def _kill(self, node: int) -> None:
        self.world.kill(node)
        self._start_later(node)

    def _leave(self, node: int) -> None:
        self.world.leave(node)
        self._start_later(node)

    def _start_later(self, node: int) -> None:
        self.world.at(self.world.now + AWAY_MS, lambda: self._start(node))

    def _start(self, node: int) -> None:
        if self.world.hosts[node].core is None:
            self.world.start(node)

    def _end_faults(self) -> None:
        world = self.world
        world.run(world.now + MAX_STALL_MS + AWAY_MS)
        world.network.loss_rate = min(world.network.loss_rate, FINAL_LOSS_RATE)
        for node, host in enumerate(world.hosts):
            self._start(node)
            if host.listed != self.count:
                world.change_peers(node, self.count)


def play(seed: int) -> Failure | None:
    """Play one seed; return what failed."""
    one = _Play(seed)
    try:
        one.run()
        has_agreed = one.has_agreed()
    except Exception as error:  # any of a core
        return Failure(seed, one.world.now, f"{type(error).__name__}: {error}")
    return None if has_agreed else Failure(seed, one.world.now, "the views do not agree")


def explore(seeds: Iterable[int], stop: int = MAX_FAILURES) -> list[Failure]:
    """Play seeds until `stop` have failed; return the failures."""
    failures: list[Failure] = []
    for seed in seeds:
        failure = play(seed)
        if failure is not None:
            failures.append(failure)
            if len(failures) >= stop:
                break
    return failures
