"""Simulation of a tier that serves requests through a power loss, in virtual time and without sockets.

The events `RecoveryProgressed` assume that nodes learn immediately which nodes are back. How long this takes
is covered by the simulation of recovery (`recovery_world`).
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

# 80 % of the work is divided among nodes by their demand, the rest equally.
DEMAND_WEIGHT = 0.8


@dataclass(slots=True, frozen=True)
class PowerCut:
    """A power loss at `at`, and how nodes return after it; all times are in seconds.

    Power returns `outage_s` later. Nodes start within `start_spread_s`, are ready after `ready_s`, and serve
    for `listed_s` until they have discovery's list. `missing_nodes` nodes do not return.
    """

    at: float
    outage_s: float = 1.0
    start_spread_s: float = 2.0
    ready_s: float = 0.5
    listed_s: float = 1.0
    missing_nodes: int = 0


class PowerLossSimulation(RequestSimulation):
    """A tier during a power loss of all its nodes and backends; times are ms since the start."""

    def __init__(self, spec: Experiment, seed: int, cut: PowerCut, with_recovery: bool) -> None:
        """Prepare the simulation; `with_recovery` decides whether nodes receive their recovery progress."""
        super().__init__(spec, seed)
        self.cut, self.with_recovery = cut, with_recovery
        self.incarnations = 0
        self.served_per_s_before_cut = 0.0

    # --- time

    def play(self) -> Figures:
        """Run the experiment to its end, and return its results."""
        for number in range(self.spec.fleet.nodes):
            self._start(number, False)
        for zone in self.spec.fleet.zones:
            arrivals = draw_arrivals(self.spec, self.seed, zone)
            for row in range(len(arrivals.at)):
                cls = self.spec.load.classes[int(arrivals.kind[row])]
                client_draws = tuple(arrivals.client_draws[row].tolist())
                operation = Operation(cls, self.spec.clients, float(arrivals.at[row]), client_draws)
                work, tenth = float(arrivals.work[row]), int(arrivals.at[row] // 100)
                self.figures.value_requested[tenth] += cls.value
                self.figures.work_requested[tenth] += work
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
        self.served_per_s_before_cut = self.served / self.cut.at
        for node in self.nodes:
            if node is not None:
                self._kill(node)
        back = (self.cut.at + self.cut.outage_s) * 1000
        if self.with_recovery:
            self.at(back, self._publish_demand)
        for host in self.hosts.values():
            host.alive = False
            host.owners.clear()
            self.at(back + self.random.uniform(0, 500), partial(self._restart, host))
        numbers = self.random.sample(range(len(self.nodes)), len(self.nodes) - self.cut.missing_nodes)
        for number in numbers:
            when = back + 1000 * (self.cut.ready_s + self.random.uniform(0, self.cut.start_spread_s))
            self.figures.node_back_ms.append(when)
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
            self.at(self.now + 1000 * self.cut.listed_s, partial(self._send_list, node))

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

    def _send_list(self, node: NodeProcess) -> None:
        """Send a node discovery's snapshot of the running backends."""
        if self.nodes[node.number] is not node:
            return
        entries = [self._entry(i, h.core.started_at) for i, h in enumerate(self.hosts.values()) if h.alive]
        self.handle_event(node, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, entries, 2))
        if self.with_recovery:
            self.handle_event(node, self._progress(node, api.RecoveryPhase.WARMING, 0.0))
            warm = max(e.started_at for e in entries) + self.spec.rules.ramp_time_ms
            self.at(warm, partial(self._enter_full, node))

    def _enter_full(self, node: NodeProcess) -> None:
        if self.nodes[node.number] is node:
            self.handle_event(node, self._progress(node, api.RecoveryPhase.FULL, 0.0))

    def _progress(
        self, node: NodeProcess, phase: api.RecoveryPhase, cold_since: float
    ) -> api.RecoveryProgressed:
        """Return a node's recovery progress; its share of the work depends mainly on its share of demand."""
        running = [one for one in self.nodes if one is not None]
        total_share = 1.0 if 2 * len(running) > len(self.nodes) else len(running) / len(self.nodes)
        share = total_share / len(running)
        if (total_demand := sum(one.demand for one in running)) > 0:
            share = total_share * (
                DEMAND_WEIGHT * node.demand / total_demand + (1 - DEMAND_WEIGHT) / len(running)
            )
        return api.RecoveryProgressed(phase, share, cold_since, self.served_per_s_before_cut)

    def _publish_shares(self, first: NodeProcess | None = None) -> None:
        """Send all running nodes their new shares after `first` has started or demand has changed."""
        for node in filter(None, self.nodes):
            if node is first:
                self.handle_event(node, self._progress(node, api.RecoveryPhase.LISTED, self.now))
            elif (admission := node.balancer.slow_start.recovery) is not None:
                before = admission.progress
                self.handle_event(node, self._progress(node, before.phase, before.cold_since))

    def _publish_demand(self) -> None:
        """Publish each running node's demand in the last second, and repeat this every second."""
        for node in filter(None, self.nodes):
            node.demand, node.arrived = float(node.arrived), 0
        self._publish_shares()
        self.at(self.now + 1000, self._publish_demand)
