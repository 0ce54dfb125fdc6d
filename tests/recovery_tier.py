"""Simulate a tier of recovery cores under a virtual clock."""

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

ActionT = TypeVar("ActionT", bound=Action)

BAN = BanEntry("a", 3, 1, 7, True, -9000.0)
DATAGRAM_DELAY_MS = 1.0
MAX_STEPS = 1_000_000


@dataclass(frozen=True, order=True)
class Datagram:
    """Datagram in flight."""

    arrives_at: float
    number: int
    target: int
    source: int
    data: bytes


class Tier:
    """Recovery cores under a virtual clock. Datagrams take 1 ms or are lost; disks sync immediately."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        """Create a tier of `count` nodes that have not started."""
        self.count = count
        self.loss = loss
        self.random = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[int, Recovery] = {}
        self.disks: dict[int, tuple[BanEntry, ...]] = {}
        self.actions: dict[int, list[tuple[float, Action]]] = {node: [] for node in range(count)}
        self.partition_by_node: dict[int, int] = {}  # Nodes in different partitions exchange no datagrams.
        self._in_flight: list[Datagram] = []
        self._sent_count = 0

    def start(
        self,
        node: int,
        own_incarnation: int = 1,
        table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
        **disk: Any,
    ) -> Recovery:
        """Start a process of a node; `disk` holds fields of its `DiskRead` event."""
        seed = node + 100 * own_incarnation
        core = Recovery(RecoveryConfig(), node, self.count, own_incarnation, seed, self.now, table)
        self.nodes[node] = core
        self.actions[node] = []
        disk_fields: dict[str, Any] = {
            "sound": True,
            "fresh_disk": False,
            "entries": self.disks.get(node, ()),
        }
        self.handle_event(node, DiskRead(**{**disk_fields, **disk}))
        return core

    def handle_event(self, node: int, event: Event) -> None:
        """Pass an event to a core and perform the resulting actions."""
        for action in self.nodes[node].handle(self.now, event):
            self.actions[node].append((self.now, action))
            if isinstance(action, SendDatagram):
                self._send(node, action)
            elif isinstance(action, PersistEntries):
                self.disks[node] = (*self.disks.get(node, ()), *action.entries)
                if action.token is not None:
                    self.handle_event(node, WriteCompleted(action.token, True))

    def update_membership(self) -> None:
        """Send every node that has read its disk the nodes of its partition as members."""
        for node, core in self.nodes.items():
            present = {
                other: peer.register.counter.incarnation
                for other, peer in self.nodes.items()
                if self._is_connected(node, other)
            }
            if core.phase > Phase.VERIFY:
                self.handle_event(node, MembershipChanged(present, 2 * len(present) > self.count))

    def run(self, ms: float) -> None:
        """Advance the clock by `ms` and deliver datagrams and ticks that become due."""
        until = self.now + ms
        steps = 0
        while (next_at := self._next_at()) <= until:
            steps += 1
            assert steps < MAX_STEPS, "a node requests wakeups without end"
            self.now = max(self.now, next_at)
            while self._in_flight and self._in_flight[0].arrives_at <= self.now:
                datagram = heapq.heappop(self._in_flight)
                if datagram.target in self.nodes:
                    self.handle_event(datagram.target, DatagramReceived(datagram.source, datagram.data))
            for node, core in sorted(self.nodes.items()):
                if core.next_wakeup <= self.now:
                    self.handle_event(node, Tick())
        self.now = until

    def actions_of(self, node: int, kind: type[ActionT]) -> list[ActionT]:
        """Return all actions of a kind that a node has requested."""
        return [action for _, action in self.actions[node] if isinstance(action, kind)]

    def phases(self) -> set[Phase]:
        """Return the phases that the nodes are in."""
        return {core.phase for core in self.nodes.values()}

    def paths(self) -> set[RecoveryPath]:
        """Return the recovery paths of the nodes."""
        return {core.path for core in self.nodes.values()}

    def _is_connected(self, node: int, other: int) -> bool:
        return self.partition_by_node.get(node, 0) == self.partition_by_node.get(other, 0)

    def _next_at(self) -> float:
        arrivals = [datagram.arrives_at for datagram in self._in_flight[:1]]
        return min([*arrivals, *(core.next_wakeup for core in self.nodes.values()), math.inf])

    def _send(self, source: int, action: SendDatagram) -> None:
        for target in range(self.count) if action.node is None else [action.node]:
            if target == source or not self._is_connected(target, source):
                continue
            if self.random.random() >= self.loss:
                self._sent_count += 1
                arrives_at = self.now + DATAGRAM_DELAY_MS
                heapq.heappush(
                    self._in_flight, Datagram(arrives_at, self._sent_count, target, source, action.data)
                )


def restarted_tier(count: int, seed: int = 1, loss: float = 0.0, spread: float = 200.0, **disk: Any) -> Tier:
    """Return a tier whose nodes have restarted together and completed their surveys."""
    tier = Tier(count, seed, loss)
    for node in range(count):
        tier.start(node, **disk)
        tier.run(spread / count)
    tier.update_membership()
    tier.run(2_100)
    return tier


def settled_tier(count: int, **disk: Any) -> Tier:
    """Return a tier whose nodes have all been FULL for a long time."""
    tier = restarted_tier(count, **disk)
    for node in range(count):
        tier.handle_event(node, ListReceived(5, (-20_000.0,), ("a", "b")))
    tier.run(70_000)
    assert tier.phases() == {Phase.FULL}
    return tier


def merged_register(*entry_lists: list[BanEntry]) -> BanRegister:
    """Return the register of another node into which lists of entries were merged."""
    register = BanRegister(9, 1)
    for entry_list in entry_lists:
        register.merge(entry_list)
    return register
