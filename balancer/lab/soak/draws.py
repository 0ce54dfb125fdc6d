"""Draws a whole experiment from a seed: deployment, traffic and faults, of the lab's own tables."""

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

TIER_SHARE = 0.4  # of the seeds that switch the fleet file on
CROWD_SHARE = 0.25  # of the others
HANG_SHARE = 0.5  # of the planned restarts in whose grace some backends stand still
FIRST_FAULT_S = 1.5
LAST_FAULT_S = 7.0  # when the last fault begins
TAIL_S = 4.0  # from the end of the last fault to the end of the run
QUIET_S = 10.5  # the same of a tier, which has to agree by then
NODE_RATE = (15.0, 30.0)  # requests a second for each node
SOCKETS = 256
CROWD = (100, 240)  # idle connections to each node
Signals = Literal["once", "twice", "reload-first", "reload-behind", "while-starting"]
SIGNALS: tuple[Signals, ...] = ("once", "twice", "reload-first", "reload-behind", "while-starting")
DISK_MODES: tuple[Literal["full", "readonly"], ...] = ("full", "readonly")


@dataclass(slots=True, frozen=True)
class Soak:
    """What is played for a seed."""

    seed: int
    spec: Experiment
    crowd: int = 0  # idle connections to each node


def draw(seed: int) -> Soak:
    """Return what is played for a seed."""
    return _Draw(seed).soak()


class _Draw:
    """One draw; the same seed gives the same experiment."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(f"soak {seed}")
        self.has_tier = self._chance(TIER_SHARE)
        self.nodes = self.random.choice((3, 4, 5))
        self.backends = self.random.choice((6, 9, 12))
        self.classes = self._classes()
        self.grace_s = max(each.deadline_ms for each in self.classes) / 1000 + TERMINATION_MARGIN_S
        self.untouched_nodes = list(range(self.nodes))  # whose processes no fault ends or replaces yet
        self.random.shuffle(self.untouched_nodes)

    def soak(self) -> Soak:
        """Return the whole of it."""
        draws = self.random
        faults = sorted(self._faults(), key=lambda fault: fault.at)
        end_s = max(self._end_of(fault) for fault in faults)
        spec = Experiment(
            name=f"soak-{self.seed}",
            seconds=round(end_s + (QUIET_S if self.has_tier else TAIL_S), 2),
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
                mode=draws.choice(("poll", "push")),
                call_service_ms=draws.choice((4.0, 60.0)),
                multi_line=self._chance(0.3),
                watch_ends_on_change=self._chance(0.3),
            ),
            network=Network(peer_datagrams=self.has_tier),
            load=Load(rate=self.nodes * draws.uniform(*NODE_RATE), classes=self.classes),
            clients=Clients(
                retries=draws.choice((0, 2, 3)),
                impatient_share=draws.choice((0.0, 0.0, 0.05)),
                requests_per_connection=draws.choice((20, 200)),
            ),
            faults=tuple(faults),
        )
        has_crowd = not self.has_tier and self._chance(CROWD_SHARE)
        return Soak(self.seed, spec, draws.randint(*CROWD) if has_crowd else 0)

    def _classes(self) -> tuple[RequestClass, ...]:
        draws = self.random
        longest_ms = draws.choice((500.0, 800.0, 1200.0))
        return (
            RequestClass(name="browse", effect="retryable", share=0.5, deadline_ms=0.7 * longest_ms),
            RequestClass(
                name="change-order",
                effect="dedup",
                share=0.25,
                deadline_ms=longest_ms,
                group=draws.choice(("all", "zone", "cell")),
                memory_span_ms=draws.choice((800.0, 2500.0)),
            ),
            RequestClass(name="place-order", effect="fragile", share=0.25, deadline_ms=0.9 * longest_ms),
        )

    def _faults(self) -> list[AnyFault]:
        draws = self.random
        families = self._tier_families() if self.has_tier else self._plain_families()
        faults = self._planned_restart()
        for family in draws.sample(families, draws.randint(2, 4)):
            faults += family()
        return faults

    def _plain_families(self) -> list[Callable[[], list[AnyFault]]]:
        return [
            self._planned_restart,
            self._reload,
            self._upgrade,
            self._kill,
            self._drain,
            self._discovery,
            self._network,
            self._bad_backends,
            self._ban,
        ]

    def _tier_families(self) -> list[Callable[[], list[AnyFault]]]:
        return [
            self._planned_restart,
            self._reload,
            self._kill,
            self._bans,
            self._bans,
            self._peers_cut,
            self._disk,
            self._peer_lists,
            self._drain,
        ]

    def _end_of(self, fault: AnyFault) -> float:
        """Return when a fault is over at the latest, the restarts after it included."""
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

    # --- parts

    def _chance(self, probability: float) -> bool:
        return self.random.random() < probability

    def _at(self) -> float:
        return round(self.random.uniform(FIRST_FAULT_S, LAST_FAULT_S), 2)

    def _node(self) -> str:
        return f"nodes:{self.random.randrange(self.nodes)}"

    def _untouched_node(self) -> str | None:
        """Return a node for a fault of its process: the platform has one restart of a node at a time."""
        return f"nodes:{self.untouched_nodes.pop()}" if self.untouched_nodes else None

    def _backend(self) -> str:
        return f"backends:{self.random.randrange(self.backends)}"

    def _some_backends(self) -> str:
        return self.random.choice(("backends:20%", "backends:34%", "backends:zone=a"))

    def _duration(self, most_s: float = 3.0) -> float:
        return round(self.random.uniform(0.3, most_s), 2)

    # --- families

    def _planned_restart(self) -> list[AnyFault]:
        draws = self.random
        node = self._untouched_node()
        if node is None:
            return []
        at = self._at()
        signals = draws.choice(SIGNALS)
        restart_after = round(draws.uniform(0.1, 0.8), 2)
        faults: list[AnyFault] = [
            Terminate(at=at, targets=node, restart_after=restart_after, signals=signals)
        ]
        if self._chance(HANG_SHARE):
            faults.append(Stall(at=at, duration_s=round(self.grace_s, 2), targets=self._some_backends()))
        return faults

    def _reload(self) -> list[AnyFault]:
        draws = self.random
        at = self._at()
        count = draws.choice((1, 3))
        gap_s = draws.choice((0.05, 0.4))
        moves = self._chance(0.5)
        return [
            Reload(
                at=round(at + number * gap_s, 2),
                targets="nodes",
                max_attempts=draws.choice((1, 3)),
                broken=self._chance(0.2),
                moves_discovery=moves,
                peers=None,
            )
            for number in range(count)
        ]

    def _upgrade(self) -> list[AnyFault]:
        node = self._untouched_node()
        return [] if node is None else [Upgrade(at=self._at(), targets=node)]

    def _kill(self) -> list[AnyFault]:
        node = self._untouched_node() if self._chance(0.5) else None
        targets = node or self._some_backends()
        return [Kill(at=self._at(), targets=targets, restart_after=self._duration())]

    def _drain(self) -> list[AnyFault]:
        at = self._at()
        return [Drain(at=at, targets=self._some_backends(), duration_s=round(self._duration() + 1.0, 2))]

    def _discovery(self) -> list[AnyFault]:
        at = self._at()
        draws = self.random
        return [
            draws.choice(
                (
                    DiscoveryOutage(at=at, duration_s=self._duration(6.0)),
                    DiscoveryDelay(at=at, duration_s=self._duration(), delay_ms=draws.uniform(200, 3000)),
                    SilentWatches(at=at),
                )
            ),
            Drain(at=round(at + draws.uniform(0.0, 1.0), 2), targets=self._backend(), duration_s=2.0),
        ]

    def _network(self) -> list[AnyFault]:
        at = self._at()
        draws = self.random
        return [
            draws.choice(
                (
                    SlowConnects(at=at, duration_s=self._duration(), targets="backends", share=0.3),
                    ConnectionResets(at=at, duration_s=self._duration(), targets="backends", share=0.2),
                    LinkFault(
                        at=at,
                        duration_s=self._duration(),
                        source="nodes",
                        destination=self._some_backends(),
                        cut=self._chance(0.5),
                        delay_ms=draws.uniform(0, 40),
                        loss=0.02,
                    ),
                )
            )
        ]

    def _bad_backends(self) -> list[AnyFault]:
        at = self._at()
        targets = self._some_backends()
        return [
            self.random.choice(
                (
                    GrayFailure(at=at, duration_s=self._duration(), targets=targets),
                    Slowdown(at=at, duration_s=self._duration(), targets=targets),
                    Stall(at=at, duration_s=self._duration(), targets=targets),
                    Surge(at=at, duration_s=self._duration()),
                )
            )
        ]

    def _ban(self) -> list[AnyFault]:
        return [Maintenance(at=self._at(), duration_s=self._duration(), targets=self._backend())]

    def _bans(self) -> list[AnyFault]:
        """Draw bans and lifts of one backend at several consoles, close to one another."""
        draws = self.random
        at = self._at()
        backend = self._backend()
        return [
            Maintenance(
                at=round(at + draws.uniform(0.0, 1.5), 2),
                duration_s=draws.choice((0.0, 0.1, 0.6, 2.0)),  # 0: to the end of the run
                targets=backend,
                nodes=self._node(),
            )
            for _ in range(draws.randint(2, 4))
        ]

    def _peers_cut(self) -> list[AnyFault]:
        return [
            LinkFault(
                at=self._at(),
                duration_s=self._duration(4.0),
                source=self._node(),
                destination="nodes",
                cut=True,
                both=self._chance(0.7),
            )
        ]

    def _disk(self) -> list[AnyFault]:
        mode = self.random.choice(DISK_MODES)
        return [DiskFault(at=self._at(), duration_s=self._duration(2.0), targets=self._node(), mode=mode)]

    def _peer_lists(self) -> list[AnyFault]:
        """Draw a list that loses its last node at all others, and has it again a while later."""
        at = self._at()
        shorter = self.nodes - 1
        return [
            Reload(at=at, targets=f"nodes:0-{shorter - 1}", peers=shorter),
            Reload(at=round(at + self._duration(), 2), targets="nodes"),
        ]
