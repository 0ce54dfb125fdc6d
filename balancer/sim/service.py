"""Simulate a tier that serves requests through a power loss, in virtual time and without sockets.

Recovery progress (`RecoveryProgressed`) comes as from a node that knows at once who is back; what finding
that out takes is the subject of the simulation of recovery.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from balancer import interface as api
from balancer.experiments.experiment import Experiment
from balancer.experiments.platform_settings import platform_settings
from balancer.models.client import Operation, Outcome
from balancer.models.load import draw_arrivals
from balancer.policy import Balancer
from balancer.settings import parse_settings
from balancer.sim.request_path import BackendHost, Figures, NodeProcess, RequestSimulation

DEMAND_WEIGHT = 0.8  # of a node's share of the work that is by its demand; the rest is equal


@dataclass(slots=True, frozen=True)
class PowerCut:
    """A power loss at `at`; power is back `after` it, and nodes start spread over `over`. Times are s."""

    at: float
    after: float = 1.0
    over: float = 2.0
    ready: float = 0.5  # s that a node takes to be ready
    listed: float = 1.0  # s that a node serves until it has the list of discovery
    never: int = 0  # nodes that do not return


class PowerLossSimulation(RequestSimulation):
    """A tier through a power loss of all its nodes and backends; times are ms since the begin."""

    def __init__(self, spec: Experiment, seed: int, cut: PowerCut, with_recovery: bool) -> None:
        """Prepare nodes, backends and arrivals; `with_recovery`: the nodes have recovery."""
        super().__init__(spec, seed)
        self.cut, self.with_recovery = cut, with_recovery
        self.incarnations = 0
        self.rate = 0.0  # requests a second that the tier served before the cut

    # --- time

    def play(self) -> Figures:
        """Run the whole experiment and return its results."""
        for number in range(self.spec.fleet.nodes):
            self._start(number, False)
        for zone in self.spec.fleet.zones:
            arrivals = draw_arrivals(self.spec, self.seed, zone)
            for row in range(len(arrivals.at)):
                cls = self.spec.load.classes[int(arrivals.kind[row])]
                client_draws = tuple(arrivals.client_draws[row].tolist())
                operation = Operation(cls, self.spec.clients, float(arrivals.at[row]), client_draws)
                work, tenth = float(arrivals.work[row]), int(arrivals.at[row] // 100)
                self.figures.value_asked[tenth] += cls.value
                self.figures.work[tenth] += work
                ident = f"{int(arrivals.ident[row]):016x}"
                self.at(operation.intended_at, partial(self.send_attempt, operation, row, zone, work, ident))
        self.at(self.cut.at * 1000, self._lose_power)
        for tenth in range(int(self.spec.seconds * 10)):
            self.at(tenth * 100.0, partial(self._measure, tenth))
        self.run(self.spec.seconds * 1000)
        return self.figures

    def _measure(self, tenth: int) -> None:
        hosts = [h for h in self.hosts.values() if h.alive]
        self.figures.capacity_by_tenth[tenth] = 100 * sum(h.core.capacity(self.now) for h in hosts)

    # --- power

    def _lose_power(self) -> None:
        self.rate = self.served / self.cut.at
        for node in self.nodes:
            if node is not None:
                self._kill(node)
        back = (self.cut.at + self.cut.after) * 1000
        if self.with_recovery:
            self.at(back, self._publish_demand)
        for host in self.hosts.values():
            host.alive = False
            host.owners.clear()
            self.at(back + self.random.uniform(0, 500), partial(self._restart, host))
        numbers = self.random.sample(range(len(self.nodes)), len(self.nodes) - self.cut.never)
        for number in numbers:
            when = back + 1000 * (self.cut.ready + self.random.uniform(0, self.cut.over))
            self.figures.back.append(when)
            self.at(when, partial(self._start, number, True))

    def _kill(self, node: NodeProcess) -> None:
        self.nodes[node.number] = None
        for ident in list(node.open):
            self.answer(node, ident, Outcome.DISCONNECTED, 0.0)

    def _restart(self, host: BackendHost) -> None:
        host.core.restart(self.now)
        host.alive, host.timer_at = True, float("inf")

    def _start(self, number: int, again: bool) -> None:
        self.incarnations += 1
        cfg = parse_settings(platform_settings(self.spec, number, self.spec.rules.max_attempts))
        node = NodeProcess(number, Balancer(cfg, self.random.getrandbits(64)), self.incarnations)
        self.nodes[number] = node
        saved = [self._entry(i, 0.0) for i in range(len(self.hosts))]
        self.handle_event(node, api.ListUpdate(api.ListUpdateKind.CACHED, saved))
        if again:
            if self.with_recovery:
                self._publish_shares(node)
            self.at(self.now + 1000 * self.cut.listed, partial(self._list, node))

    def _entry(self, number: int, started: float) -> api.Endpoint:
        name = self.spec.backend_names[number]
        return api.Endpoint(
            name,
            self.spec.zone_of(name),
            self.spec.cell_of(number),
            1.0,
            api.EndpointPhase.IN_SERVICE,
            started,
        )

    def _list(self, node: NodeProcess) -> None:
        """Send a node the snapshot of discovery."""
        if self.nodes[node.number] is not node:
            return
        entries = [self._entry(i, h.core.started_at) for i, h in enumerate(self.hosts.values()) if h.alive]
        self.handle_event(node, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, entries, 2))
        if self.with_recovery:
            self.handle_event(node, self._progress(node, api.RecoveryPhase.WARMING, 0.0))
            warm = max(e.started_at for e in entries) + self.spec.rules.ramp_time_ms
            self.at(warm, partial(self._full, node))

    def _full(self, node: NodeProcess) -> None:
        if self.nodes[node.number] is node:
            self.handle_event(node, self._progress(node, api.RecoveryPhase.FULL, 0.0))

    def _progress(
        self, node: NodeProcess, phase: api.RecoveryPhase, cold_since: float
    ) -> api.RecoveryProgressed:
        """Return a node's recovery progress: its share of the work is largely its share of the demand."""
        there = [one for one in self.nodes if one is not None]
        most = 1.0 if 2 * len(there) > len(self.nodes) else len(there) / len(self.nodes)
        share = most / len(there)
        if (asked := sum(one.demand for one in there)) > 0:
            share = most * (DEMAND_WEIGHT * node.demand / asked + (1 - DEMAND_WEIGHT) / len(there))
        return api.RecoveryProgressed(phase, share, cold_since, self.rate)

    def _publish_shares(self, first: NodeProcess | None = None) -> None:
        """Send all nodes their new shares, as one more is back or demand has changed."""
        for node in filter(None, self.nodes):
            if node is first:
                self.handle_event(node, self._progress(node, api.RecoveryPhase.LISTED, self.now))
            elif (admission := node.balancer.slow_start.recovery) is not None:
                before = admission.progress
                self.handle_event(node, self._progress(node, before.phase, before.cold_since))

    def _publish_demand(self) -> None:
        """Let each node publish its demand of the last second."""
        for node in filter(None, self.nodes):
            node.demand, node.arrived = float(node.arrived), 0
        self._publish_shares()
        self.at(self.now + 1000, self._publish_demand)
