"""Draws a complete experiment from a seed: deployment, traffic and faults, as in the experiment files."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import (
    AnyFault,
    ConnectionResets,
    DiscoveryDelay,
    DiscoveryOutage,
    DiskFault,
    Drain,
    GrayFailure,
    Kill,
    LinkFault,
    Maintenance,
    Reload,
    SilentWatches,
    SlowConnects,
    Slowdown,
    Stall,
    Surge,
    Terminate,
    Upgrade,
)
from balancer.experiments.tables import Backends, Clients, Discovery, Fleet, Load, Network, RequestClass
from balancer.lab.processes import TERMINATION_MARGIN_S

TIER_SHARE = 0.4  # In 40% of the seeds the nodes have a fleet file and form a tier.
CROWD_SHARE = 0.25  # A quarter of the seeds without a tier have a crowd of idle clients.
HANG_SHARE = 0.5  # In half of the planned restarts some backends hang during the node's grace period.
FIRST_FAULT_S = 1.5
LAST_FAULT_S = 7.0  # Drawn faults start no later than 7 s into the run.
SETTLE_S = 4.0  # Without a tier, the run ends 4 s after the last fault.
# With a tier, the run ends 10.5 s after the last fault, by when the nodes have to agree.
TIER_SETTLE_S = 10.5
RATE_PER_NODE = (15.0, 30.0)  # Each node gets between 15 and 30 requests per second.
SOCKETS = 256
MAX_HOLD_UPS = 4
HOLD_UP_S = (0.1, 0.8)  # A node stands still for 0.1 to 0.8 s, with pauses of 0.1 to 0.6 s between.
HOLD_UP_PAUSE_S = (0.1, 0.6)
SURGE_FACTOR = 4.0
CROWD_SIZE = (100, 240)  # The crowd holds 100 to 240 idle connections to each node.
Signals = Literal["once", "twice", "reload-first", "reload-behind", "while-starting"]
SIGNALS: tuple[Signals, ...] = ("once", "twice", "reload-first", "reload-behind", "while-starting")
DISK_MODES: tuple[Literal["full", "readonly"], ...] = ("full", "readonly")


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """The experiment of one seed, and the number of idle connections to each node."""

    seed: int
    spec: Experiment
    crowd: int = 0


def draw(seed: int) -> SoakPlan:
    """Draw the experiment of a seed, which is always the same."""
    return _ExperimentDraw(seed).plan()


class _ExperimentDraw:
    """Draws one experiment; the same seed always gives the same experiment."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(f"soak {seed}")
        self.has_tier = self._chance(TIER_SHARE)
        self.nodes = self.rng.choice((3, 4, 5))
        self.backends = self.rng.choice((6, 9, 12))
        self.classes = self._classes()
        self.grace_s = max(each.deadline_ms for each in self.classes) / 1000 + TERMINATION_MARGIN_S
        # Nodes stay in this list until a fault that ends or replaces their process is drawn for them.
        self.untouched_nodes = list(range(self.nodes))
        self.rng.shuffle(self.untouched_nodes)

    def plan(self) -> SoakPlan:
        """Draw the experiment and the crowd."""
        rng = self.rng
        faults = sorted(self._faults(), key=lambda fault: fault.at)
        end_s = max(self._end_of(fault) for fault in faults)
        spec = Experiment(
            name=f"soak-{self.seed}",
            seconds=round(end_s + (TIER_SETTLE_S if self.has_tier else SETTLE_S), 2),
            warmup=0.5,
            fleet=Fleet(
                nodes=self.nodes,
                sockets=SOCKETS,
                membership=self.has_tier,
                durable=self.has_tier,
                recovery=self.has_tier,
            ),
            backends=Backends(count=self.backends),
            discovery=Discovery(
                mode=rng.choice(("poll", "push")),
                call_service_ms=rng.choice((4.0, 60.0)),
                multi_line=self._chance(0.3),
                watch_ends_on_change=self._chance(0.3),
            ),
            network=Network(peer_datagrams=self.has_tier),
            load=Load(rate=self.nodes * rng.uniform(*RATE_PER_NODE), classes=self.classes),
            clients=Clients(
                retries=rng.choice((0, 2, 3)),
                impatient_share=rng.choice((0.0, 0.05, 0.3)),
                requests_per_connection=rng.choice((20, 200)),
            ),
            faults=tuple(faults),
        )
        has_crowd = not self.has_tier and self._chance(CROWD_SHARE)
        return SoakPlan(self.seed, spec, rng.randint(*CROWD_SIZE) if has_crowd else 0)

    def _classes(self) -> tuple[RequestClass, ...]:
        rng = self.rng
        longest_ms = rng.choice((500.0, 800.0, 1200.0))
        return (
            RequestClass(name="browse", effect="retryable", share=0.5, deadline_ms=0.7 * longest_ms),
            RequestClass(
                name="change-order",
                effect="dedup",
                share=0.25,
                deadline_ms=longest_ms,
                group=rng.choice(("all", "zone", "cell")),
                memory_span_ms=rng.choice((800.0, 2500.0)),
            ),
            RequestClass(name="place-order", effect="fragile", share=0.25, deadline_ms=0.9 * longest_ms),
        )

    def _faults(self) -> list[AnyFault]:
        rng = self.rng
        families = self._families_with_tier() if self.has_tier else self._families_without_tier()
        faults = self._planned_restart()
        for family in rng.sample(families, rng.randint(2, 4)):
            faults += family()
        return faults

    def _families_without_tier(self) -> list[Callable[[], list[AnyFault]]]:
        return [
            self._planned_restart,
            self._reload,
            self._upgrade,
            self._kill,
            self._drain,
            self._discovery,
            self._network,
            self._faulty_backends,
            self._ban,
            self._hold_ups,
            self._hold_ups,
        ]

    def _families_with_tier(self) -> list[Callable[[], list[AnyFault]]]:
        return [
            self._planned_restart,
            self._reload,
            self._kill,
            self._concurrent_bans,
            self._concurrent_bans,
            self._peer_partition,
            self._disk,
            self._peer_list_change,
            self._drain,
            self._hold_ups,
        ]

    def _end_of(self, fault: AnyFault) -> float:
        """Return the latest time in s at which a fault and the restarts after it are over."""
        match fault:
            case Terminate():
                starts = 2 if fault.signals == "while-starting" else 1
                return fault.at + starts * (self.grace_s + (fault.restart_after or 0.0))
            case Kill():
                return fault.at + (fault.restart_after or 0.0)
            case Drain():
                return fault.ends_at + fault.restart_after
            case Upgrade():
                return fault.at + self.grace_s + 1.0
        return fault.ends_at

    # --- Draws of single values

    def _chance(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _start_time(self) -> float:
        return round(self.rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), 2)

    def _node(self) -> str:
        return f"nodes:{self.rng.randrange(self.nodes)}"

    def _untouched_node(self) -> str | None:
        """Select a node whose process has no fault yet, as the platform restarts a node once at a time."""
        return f"nodes:{self.untouched_nodes.pop()}" if self.untouched_nodes else None

    def _backend(self) -> str:
        return f"backends:{self.rng.randrange(self.backends)}"

    def _some_backends(self) -> str:
        return self.rng.choice(("backends:20%", "backends:34%", "backends:zone=a"))

    def _duration(self, max_s: float = 3.0) -> float:
        return round(self.rng.uniform(0.3, max_s), 2)

    # --- Draws of fault families

    def _planned_restart(self) -> list[AnyFault]:
        rng = self.rng
        node = self._untouched_node()
        if node is None:
            return []
        at = self._start_time()
        signals = rng.choice(SIGNALS)
        restart_after = round(rng.uniform(0.1, 0.8), 2)
        faults: list[AnyFault] = [
            Terminate(at=at, targets=node, restart_after=restart_after, signals=signals)
        ]
        if self._chance(HANG_SHARE):
            faults.append(Stall(at=at, duration_s=round(self.grace_s, 2), targets=self._some_backends()))
        return faults

    def _reload(self) -> list[AnyFault]:
        rng = self.rng
        at = self._start_time()
        count = rng.choice((1, 3))
        gap_s = rng.choice((0.05, 0.4))
        moves = self._chance(0.5)
        return [
            Reload(
                at=round(at + number * gap_s, 2),
                targets="nodes",
                max_attempts=rng.choice((1, 3)),
                broken=self._chance(0.2),
                moves_discovery=moves,
                peers=None,
            )
            for number in range(count)
        ]

    def _upgrade(self) -> list[AnyFault]:
        node = self._untouched_node()
        return [] if node is None else [Upgrade(at=self._start_time(), targets=node)]

    def _kill(self) -> list[AnyFault]:
        node = self._untouched_node() if self._chance(0.5) else None
        targets = node or self._some_backends()
        return [Kill(at=self._start_time(), targets=targets, restart_after=self._duration())]

    def _drain(self) -> list[AnyFault]:
        at = self._start_time()
        return [Drain(at=at, targets=self._some_backends(), duration_s=round(self._duration() + 1.0, 2))]

    def _discovery(self) -> list[AnyFault]:
        at = self._start_time()
        rng = self.rng
        return [
            rng.choice(
                (
                    DiscoveryOutage(at=at, duration_s=self._duration(6.0)),
                    DiscoveryDelay(at=at, duration_s=self._duration(), delay_ms=rng.uniform(200, 3000)),
                    SilentWatches(at=at),
                )
            ),
            Drain(at=round(at + rng.uniform(0.0, 1.0), 2), targets=self._backend(), duration_s=2.0),
        ]

    def _network(self) -> list[AnyFault]:
        at = self._start_time()
        rng = self.rng
        return [
            rng.choice(
                (
                    SlowConnects(at=at, duration_s=self._duration(), targets="backends", share=0.3),
                    ConnectionResets(at=at, duration_s=self._duration(), targets="backends", share=0.2),
                    LinkFault(
                        at=at,
                        duration_s=self._duration(),
                        source="nodes",
                        destination=self._some_backends(),
                        cut=self._chance(0.5),
                        delay_ms=rng.uniform(0, 40),
                        loss=0.02,
                    ),
                )
            )
        ]

    def _faulty_backends(self) -> list[AnyFault]:
        at = self._start_time()
        targets = self._some_backends()
        return [
            self.rng.choice(
                (
                    GrayFailure(at=at, duration_s=self._duration(), targets=targets),
                    Slowdown(at=at, duration_s=self._duration(), targets=targets),
                    Stall(at=at, duration_s=self._duration(), targets=targets),
                    Surge(at=at, duration_s=self._duration()),
                )
            )
        ]

    def _hold_ups(self) -> list[AnyFault]:
        """Draw a series of pauses of nodes, some with a drain, a signal or more load in the middle."""
        rng = self.rng
        targets = rng.choice((self._node(), "nodes"))
        faults: list[AnyFault] = []
        at = self._start_time()
        for _ in range(rng.randint(1, MAX_HOLD_UPS)):
            duration_s = round(rng.uniform(*HOLD_UP_S), 2)
            middle = round(at + duration_s / 2, 2)
            faults.append(Stall(at=at, duration_s=duration_s, targets=targets))
            if self._chance(0.3):
                faults.append(Drain(at=middle, targets=self._backend(), duration_s=2.0))
            if self._chance(0.3) and (node := self._untouched_node()) is not None:
                faults.append(Terminate(at=middle, targets=node, signals=rng.choice(SIGNALS)))
            if self._chance(0.3):
                faults.append(Surge(at=at, duration_s=duration_s, factor=SURGE_FACTOR))
            at = round(at + duration_s + rng.uniform(*HOLD_UP_PAUSE_S), 2)
        return faults

    def _ban(self) -> list[AnyFault]:
        return [Maintenance(at=self._start_time(), duration_s=self._duration(), targets=self._backend())]

    def _concurrent_bans(self) -> list[AnyFault]:
        """Draw bans and lifts of one backend at several consoles, with little time between them."""
        rng = self.rng
        at = self._start_time()
        backend = self._backend()
        return [
            Maintenance(
                at=round(at + rng.uniform(0.0, 1.5), 2),
                # A ban with duration 0 lasts to the end of the run.
                duration_s=rng.choice((0.0, 0.1, 0.6, 2.0)),
                targets=backend,
                nodes=self._node(),
            )
            for _ in range(rng.randint(2, 4))
        ]

    def _peer_partition(self) -> list[AnyFault]:
        return [
            LinkFault(
                at=self._start_time(),
                duration_s=self._duration(4.0),
                source=self._node(),
                destination="nodes",
                cut=True,
                both=self._chance(0.7),
            )
        ]

    def _disk(self) -> list[AnyFault]:
        mode = self.rng.choice(DISK_MODES)
        return [
            DiskFault(at=self._start_time(), duration_s=self._duration(2.0), targets=self._node(), mode=mode)
        ]

    def _peer_list_change(self) -> list[AnyFault]:
        """Draw a reload that removes the last node from the other nodes' peers, and one that restores it."""
        at = self._start_time()
        shorter = self.nodes - 1
        return [
            Reload(at=at, targets=f"nodes:0-{shorter - 1}", peers=shorter),
            Reload(at=round(at + self._duration(), 2), targets="nodes"),
        ]
