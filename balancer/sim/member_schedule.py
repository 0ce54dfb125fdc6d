"""Seeded fault schedules for a tier's membership protocol: changed peer lists, crashes, stalls and leaves.

A schedule fails if a core raises an exception, or if the views of the nodes do not agree some time after the
last fault. To run a single seed:

    python -c "from balancer.sim.member_schedule import play; print(play(17))"
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balancer.sim.members import MembershipSimulation, Network

NODE_COUNTS = (3, 6, 12, 40)
LOSS_RATES = (0.0, 0.1, 0.3)
START_MS = 3_000.0
FAULT_COUNT = 25
# A change of the peer list is drawn four times as often as each other fault.
LIST_CHANGE_WEIGHT = 4
MAX_FAULT_INTERVAL_MS = 600.0
MAX_STALL_MS = 2_000.0
MAX_REPLACED_PEERS = 3
RESTART_DELAY_MS = 1_500.0
FINAL_LOSS_RATE = 0.05
AGREEMENT_TIMEOUT_MS = 60_000.0
MAX_FAILURES = 5


@dataclass(slots=True, frozen=True)
class Failure:
    """The failure of a schedule: its seed, the virtual time in ms, and a description."""

    seed: int
    at: float
    text: str


class _ScheduleRun:
    """A simulated tier with the faults that its seed determines."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(f"members {seed}")
        self.count = self.random.choice(NODE_COUNTS)
        self.simulation = MembershipSimulation(
            self.count, seed, network=Network(loss_rate=self.random.choice(LOSS_RATES))
        )

    def run(self) -> None:
        """Run the schedule of faults, then restart the missing nodes with the full peer list."""
        simulation = self.simulation
        for node in range(self.count):
            simulation.start(node)
        simulation.run(simulation.now + START_MS)
        faults: list[Callable[[int], None]] = [self._stall, self._kill, self._leave]
        faults += [self._change_list] * LIST_CHANGE_WEIGHT
        for _ in range(FAULT_COUNT):
            node = self.random.randrange(self.count)
            if simulation.hosts[node].core is not None:
                self.random.choice(faults)(node)
            simulation.run(simulation.now + self.random.uniform(0.0, MAX_FAULT_INTERVAL_MS))
        self._restore_tier()

    def reaches_agreement(self) -> bool:
        """Run until all views agree on a complete tier; return whether they do so in time."""
        return self.simulation.run_until_converged(AGREEMENT_TIMEOUT_MS) < AGREEMENT_TIMEOUT_MS

    def _change_list(self, node: int) -> None:
        draws = self.random
        shortest = node + 1
        listed_count = draws.choice(
            (self.count, max(shortest, self.count - 1), max(shortest, self.count // 2))
        )
        replaced = draws.sample(range(listed_count), min(listed_count, draws.randint(0, MAX_REPLACED_PEERS)))
        self.simulation.change_peers(node, listed_count, frozenset(replaced))

    def _stall(self, node: int) -> None:
        self.simulation.stall(node, self.random.uniform(0.0, MAX_STALL_MS))

    def _kill(self, node: int) -> None:
        self.simulation.kill(node)
        self._restart_later(node)

    def _leave(self, node: int) -> None:
        self.simulation.leave(node)
        self._restart_later(node)

    def _restart_later(self, node: int) -> None:
        self.simulation.at(self.simulation.now + RESTART_DELAY_MS, lambda: self._start(node))

    def _start(self, node: int) -> None:
        if self.simulation.hosts[node].core is None:
            self.simulation.start(node)

    def _restore_tier(self) -> None:
        simulation = self.simulation
        simulation.run(simulation.now + MAX_STALL_MS + RESTART_DELAY_MS)
        simulation.network.loss_rate = min(simulation.network.loss_rate, FINAL_LOSS_RATE)
        for node, host in enumerate(simulation.hosts):
            self._start(node)
            if host.listed_count != self.count:
                simulation.change_peers(node, self.count)


def play(seed: int) -> Failure | None:
    """Run the schedule of a seed; return its failure, None if it succeeds."""
    run = _ScheduleRun(seed)
    try:
        run.run()
        agrees = run.reaches_agreement()
    except Exception as error:
        return Failure(seed, run.simulation.now, f"{type(error).__name__}: {error}")
    return None if agrees else Failure(seed, run.simulation.now, "the views of the nodes still differ")


def explore(seeds: Iterable[int], stop: int = MAX_FAILURES) -> list[Failure]:
    """Run the schedules of seeds until `stop` of them have failed; return the failures."""
    failures: list[Failure] = []
    for seed in seeds:
        failure = play(seed)
        if failure is not None:
            failures.append(failure)
            if len(failures) >= stop:
                break
    return failures
