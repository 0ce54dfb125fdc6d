"""Model of the network between two parties under the active link faults; times are in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault
from balancer.experiments.selectors import select_parties

MAX_UNNOTICED_DELAY_MS = 0.5
# The loss rate of TCP segments is limited, so that each segment arrives eventually.
MAX_SEGMENT_LOSS = 0.99
# A lost TCP segment is sent again after the kernel's shortest retransmission timeout.
RETRANSMISSION_MS = 200.0


@dataclass(slots=True, frozen=True)
class LinkConditions:
    """Conditions in one direction between two parties; times are in ms.

    A uniform random time of up to `jitter` is added to each delay.
    """

    delay: float
    jitter: float
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    cut: bool = False
    ms_per_byte: float = 0.0

    @property
    def is_unimpaired(self) -> bool:
        """Whether bytes need no delay of their own: event loops round timers to whole milliseconds."""
        return self.delay + self.jitter < MAX_UNNOTICED_DELAY_MS and not (
            self.loss or self.cut or self.ms_per_byte
        )


@dataclass
class NetworkConditions:
    """Conditions of all links; `random` is a separate stream, so that faults change no other draws."""

    spec: Experiment
    random: np.random.Generator
    active: list[LinkFault] = field(default_factory=list)
    watchers: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the caches of conditions, selected parties and random numbers."""
        self._conditions: dict[tuple[str, str], LinkConditions] = {}
        self._uniforms: list[float] = []
        self._selected: dict[str, frozenset[str]] = {}

    def next_uniform(self) -> float:
        """Draw a uniform random number from 0 to 1."""
        if not self._uniforms:
            self._uniforms = self.random.random(256).tolist()
        return self._uniforms.pop()

    def change(self, fault: LinkFault, on: bool) -> None:
        """Activate a link fault, or end it, and notify the watchers."""
        (self.active.append if on else self.active.remove)(fault)
        self._conditions.clear()
        for watcher in list(self.watchers):
            watcher()

    def _selected_parties(self, selector: str) -> frozenset[str]:
        if selector not in self._selected:
            self._selected[selector] = frozenset(select_parties(self.spec, selector))
        return self._selected[selector]

    def affects_direction(self, fault: LinkFault, source: str, target: str) -> bool:
        """Return whether a fault affects traffic from `source` to `target`."""
        here, there = self._selected_parties(fault.source), self._selected_parties(fault.destination)
        return (source in here and target in there) or (fault.both and source in there and target in here)

    def affects_link(self, fault: LinkFault, one: str, other: str) -> bool:
        """Return whether a fault affects either direction between two parties."""
        return self.affects_direction(fault, one, other) or self.affects_direction(fault, other, one)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether either direction is cut, so that no connection can be opened between the parties."""
        return self.conditions(one, other).cut or self.conditions(other, one).cut

    def conditions(self, source: str, target: str) -> LinkConditions:
        """Return the current conditions from `source` to `target`."""
        found = self._conditions.get((source, target))
        if found is None:
            found = self._conditions[source, target] = self._combined_conditions(source, target)
        return found

    def _base(self, source: str, target: str) -> float:
        net = self.spec.network
        zones = self.spec.zone_of(source), self.spec.zone_of(target)
        if source[0] == "c" or target[0] == "c":
            return net.client_ms
        if source[0] == target[0] == "n":
            return net.peer_ms
        return net.same_zone_ms if zones[0] == zones[1] or "" in zones else net.cross_zone_ms

    def _combined_conditions(self, source: str, target: str) -> LinkConditions:
        delay = self._base(source, target)
        jitter = delay * self.spec.network.jitter
        passes, duplicate, reorder, cut, per_byte = 1.0, 0.0, 0.0, False, 0.0
        for fault in self.active:
            if self.affects_direction(fault, source, target):
                delay, jitter = delay + fault.delay_ms, jitter + fault.jitter_ms
                passes *= 1 - fault.loss
                duplicate, reorder = max(duplicate, fault.duplicate), max(reorder, fault.reorder)
                cut = cut or fault.cut
                if fault.kbit_per_s:
                    per_byte = max(per_byte, 8 / fault.kbit_per_s)
        return LinkConditions(delay, jitter, 1 - passes, duplicate, reorder, cut, per_byte)

    def tcp_delay_ms(self, link: LinkConditions, size: int) -> float:
        """Draw the delay, in ms, of a TCP segment of `size` bytes, retransmissions included."""
        out = link.delay + link.jitter * self.next_uniform() + size * link.ms_per_byte
        while link.loss and self.next_uniform() < min(link.loss, MAX_SEGMENT_LOSS):
            out += RETRANSMISSION_MS
        return out

    def datagram_delays_ms(self, link: LinkConditions, size: int) -> list[float]:
        """Draw the delay, in ms, of each copy of a datagram; the list is empty if the datagram is lost."""
        if link.cut or (link.loss and self.next_uniform() < link.loss):
            return []
        out = []
        for _ in range(2 if link.duplicate and self.next_uniform() < link.duplicate else 1):
            late = link.delay + link.jitter * self.next_uniform() + size * link.ms_per_byte
            if link.reorder and self.next_uniform() < link.reorder:
                # A reordered copy arrives after every datagram that is sent within the next 5 ms.
                late += 2 * (link.delay + link.jitter) + 5
            out.append(late)
        return out
