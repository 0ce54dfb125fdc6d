"""The network's faults: what holds between two parties now, by the faults in force. Told the time in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault
from balancer.experiments.selectors import select_parties

RETRANSMIT = 200.0  # ms that a lost segment costs a TCP connection, as the kernel's least time-out


@dataclass(slots=True, frozen=True)
class Conditions:
    """One direction between two parties."""

    delay: float  # ms
    jitter: float  # ms, uniform and added
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    cut: bool = False
    ms_per_byte: float = 0.0

    @property
    def plain(self) -> bool:
        """Whether bytes may as well pass at once: event loops count whole milliseconds."""
        return self.delay + self.jitter < 0.5 and not (self.loss or self.cut or self.ms_per_byte)


@dataclass
class Weather:
    """All directions. `random` is a stream of its own, so that a fault shifts nobody else's numbers."""

    spec: Experiment
    random: np.random.Generator
    active: list[LinkFault] = field(default_factory=list)
    watchers: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._known: dict[tuple[str, str], Conditions] = {}
        self._dice: list[float] = []
        self._sets: dict[str, frozenset[str]] = {}

    def die(self) -> float:
        """Uniform from 0 to 1."""
        if not self._dice:
            self._dice = self.random.random(256).tolist()
        return self._dice.pop()

    def change(self, fault: LinkFault, on: bool) -> None:
        """A fault begins or ends."""
        (self.active.append if on else self.active.remove)(fault)
        self._known.clear()
        for watcher in list(self.watchers):
            watcher()

    def _chosen(self, selector: str) -> frozenset[str]:
        if selector not in self._sets:
            self._sets[selector] = frozenset(select_parties(self.spec, selector))
        return self._sets[selector]

    def hits(self, fault: LinkFault, source: str, target: str) -> bool:
        """Whether a fault lies on the way from `source` to `target`."""
        here, there = self._chosen(fault.source), self._chosen(fault.destination)
        return (source in here and target in there) or (fault.both and source in there and target in here)

    def touches(self, fault: LinkFault, one: str, other: str) -> bool:
        """Whether a fault lies on either way between two parties."""
        return self.hits(fault, one, other) or self.hits(fault, other, one)

    def severed(self, one: str, other: str) -> bool:
        """Whether either way between two parties is cut: no connection comes up then."""
        return self.between(one, other).cut or self.between(other, one).cut

    def between(self, source: str, target: str) -> Conditions:
        """What holds from `source` to `target` now."""
        found = self._known.get((source, target))
        if found is None:
            found = self._known[source, target] = self._work_out(source, target)
        return found

    def _base(self, source: str, target: str) -> float:
        net = self.spec.network
        zones = self.spec.zone_of(source), self.spec.zone_of(target)
        if source[0] == "c" or target[0] == "c":
            return net.client_ms
        if source[0] == target[0] == "n":
            return net.peer_ms
        return net.same_zone_ms if zones[0] == zones[1] or "" in zones else net.cross_zone_ms

    def _work_out(self, source: str, target: str) -> Conditions:
        delay = self._base(source, target)
        jitter = delay * self.spec.network.jitter
        passes, duplicate, reorder, cut, per_byte = 1.0, 0.0, 0.0, False, 0.0
        for fault in self.active:
            if self.hits(fault, source, target):
                delay, jitter = delay + fault.delay_ms, jitter + fault.jitter_ms
                passes *= 1 - fault.loss
                duplicate, reorder = max(duplicate, fault.duplicate), max(reorder, fault.reorder)
                cut = cut or fault.cut
                if fault.kbit_per_s:
                    per_byte = max(per_byte, 8 / fault.kbit_per_s)
        return Conditions(delay, jitter, 1 - passes, duplicate, reorder, cut, per_byte)

    def lag(self, held: Conditions, size: int) -> float:
        """Milliseconds that a piece of a TCP stream takes."""
        out = held.delay + held.jitter * self.die() + size * held.ms_per_byte
        while held.loss and self.die() < min(held.loss, 0.99):
            out += RETRANSMIT
        return out

    def datagram(self, held: Conditions, size: int) -> list[float]:
        """When the copies of a datagram arrive, ms from now; none if it is lost."""
        if held.cut or (held.loss and self.die() < held.loss):
            return []
        out = []
        for _ in range(2 if held.duplicate and self.die() < held.duplicate else 1):
            late = held.delay + held.jitter * self.die() + size * held.ms_per_byte
            if held.reorder and self.die() < held.reorder:
                late += 2 * (held.delay + held.jitter) + 5  # behind what is sent in the next 5 ms at least
            out.append(late)
        return out
