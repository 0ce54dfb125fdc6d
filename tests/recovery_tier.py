"""A tier of recovery cores under a virtual clock."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from balancer.recovery.actions import (
    Action,
    PersistEntries,
    SendDatagram,
)
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.events import (
    DatagramReceived,
    DiskRead,
    Event,
    ListReceived,
    MembershipChanged,
    Tick,
    WriteCompleted,
)
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.trust import TRUST_TABLE, StateKind, TrustRule

AnyAction = TypeVar("AnyAction", bound=Action)

BAN = BanEntry("a", 3, 1, 7, True, -9000.0)
DATAGRAM_MS = 1.0
MAX_STEPS = 1_000_000


@dataclass(frozen=True, order=True)
class Datagram:
    """A datagram under way."""

    arrives_at: float
    number: int
    target: int
    source: int
    data: bytes


class Tier:
    """Cores under a virtual clock; datagrams take 1 ms, and some are lost. Disks sync at once."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        """Create a tier of `count` nodes that are off."""
        self.count = count
        self.loss = loss
        self.random = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[int, Recovery] = {}
        self.disks: dict[int, tuple[BanEntry, ...]] = {}
        self.acts: dict[int, list[tuple[float, Action]]] = {node: [] for node in range(count)}
        self.side: dict[int, int] = {}  # partitions: nodes of different sides do not hear each other
        self._mail: list[Datagram] = []
        self._sent = 0

    def start(
        self,
        node: int,
        own_incarnation: int = 1,
        table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
        **disk: Any,
    ) -> Recovery:
        """Start a process of a node; `disk` are fields of `DiskRead`."""
        seed = node + 100 * own_incarnation
        core = Recovery(RecoveryConfig(), node, self.count, own_incarnation, seed, self.now, table)
        self.nodes[node] = core
        self.acts[node] = []
        found: dict[str, Any] = {"sound": True, "fresh_disk": False, "entries": self.disks.get(node, ())}
        self.event(node, DiskRead(**{**found, **disk}))
        return core

    def event(self, node: int, event: Event) -> None:
        """Hand an event to a core and carry out its actions."""
        for action in self.nodes[node].handle(self.now, event):
            self.acts[node].append((self.now, action))
            if isinstance(action, SendDatagram):
                self._send(node, action)
            elif isinstance(action, PersistEntries):
                self.disks[node] = (*self.disks.get(node, ()), *action.entries)
                if action.token is not None:
                    self.event(node, WriteCompleted(action.token, True))

    def see(self) -> None:
        """Let the membership find out who is there."""
        for node, core in self.nodes.items():
            present = {
                other: peer.register.counter.incarnation
                for other, peer in self.nodes.items()
                if self._is_connected(node, other)
            }
            if core.phase > Phase.VERIFY:
                self.event(node, MembershipChanged(present, 2 * len(present) > self.count))

    def run(self, ms: float) -> None:
        """Let time pass."""
        until = self.now + ms
        steps = 0
        while (next_at := self._next_at()) <= until:
            steps += 1
            assert steps < MAX_STEPS, "a node is due for ever"
            self.now = max(self.now, next_at)
            while self._mail and self._mail[0].arrives_at <= self.now:
                datagram = heapq.heappop(self._mail)
                if datagram.target in self.nodes:
                    self.event(datagram.target, DatagramReceived(datagram.source, datagram.data))
            for node, core in sorted(self.nodes.items()):
                if core.next_wakeup <= self.now:
                    self.event(node, Tick())
        self.now = until

    def of(self, node: int, kind: type[AnyAction]) -> list[AnyAction]:
        """Return a node's actions of a kind."""
        return [action for _, action in self.acts[node] if isinstance(action, kind)]

    def phases(self) -> set[Phase]:
        """Return the phases of all."""
        return {core.phase for core in self.nodes.values()}

    def paths(self) -> set[RecoveryPath]:
        """Return the paths of all."""
        return {core.path for core in self.nodes.values()}

    def _is_connected(self, one: int, other: int) -> bool:
        return self.side.get(one, 0) == self.side.get(other, 0)

    def _next_at(self) -> float:
        arrivals = [datagram.arrives_at for datagram in self._mail[:1]]
        return min([*arrivals, *(core.next_wakeup for core in self.nodes.values()), math.inf])

    def _send(self, source: int, action: SendDatagram) -> None:
        for target in range(self.count) if action.node is None else [action.node]:
            if target == source or not self._is_connected(target, source):
                continue
            if self.random.random() >= self.loss:
                self._sent += 1
                arrives_at = self.now + DATAGRAM_MS
                heapq.heappush(self._mail, Datagram(arrives_at, self._sent, target, source, action.data))


def restarted_tier(count: int, seed: int = 1, loss: float = 0.0, spread: float = 200.0, **disk: Any) -> Tier:
    """Return a tier that restarts together, until its surveys are over."""
    tier = Tier(count, seed, loss)
    for node in range(count):
        tier.start(node, **disk)
        tier.run(spread / count)
    tier.see()
    tier.run(2_100)
    return tier


def settled_tier(count: int, **disk: Any) -> Tier:
    """Return a tier that has run for long."""
    tier = restarted_tier(count, **disk)
    for node in range(count):
        tier.event(node, ListReceived(5, (-20_000.0,), ("a", "b")))
    tier.run(70_000)
    assert tier.phases() == {Phase.FULL}
    return tier


def register_of(*parts: list[BanEntry]) -> BanRegister:
    """Return a register of another node with these entries."""
    register = BanRegister(9, 1)
    for part in parts:
        register.merge(part)
    return register
