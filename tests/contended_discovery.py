"""Simulate several nodes and a discovery that serves calls in order, in virtual time."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from enum import Enum
from itertools import count
from pathlib import Path
from typing import cast

from balancer.interface import ListUpdateKind
from balancer.net.discovery import DiscoveryClient
from balancer.net.discovery_call import DiscoveryCall
from balancer.net.endpoints import Address, EndpointUpdate
from balancer.net.node import Node
from tests.virtual_discovery import (
    RECEIPT_DEADLINE_S,
    DiscoveryConnection,
    DiscoverySimulation,
)

# Discovery fails a call that waits in its queue for longer than MAX_WAIT_S.
MAX_WAIT_S = 1.0
# No request may go to a backend later than DRAIN_GRACE_S after the backend started to drain.
DRAIN_GRACE_S = 1.0
# The former address of discovery closes its connections OLD_ADDRESS_CLOSES_AFTER_S after a reload.
OLD_ADDRESS_CLOSES_AFTER_S = 1.5
NODE_COUNT = 6
# Times at which each node reloads, relative to the first reload of the node.
RELOADS_AT_S = (0.0, 0.35, 0.7, 1.6)
# Time between the first reloads of two successive nodes.
NEXT_NODE_RELOADS_AFTER_S = 0.4
# Times at which the endpoint list changes; the first change makes revision 1.
CHANGES_AT_S = (0.0, 0.6, 1.1, 6.2, 6.5, 6.8, 7.6, 12.2)
OUTAGE_S = 8.0
# Time without changes before and after the simulated events.
SETTLE_S = 30.0


class QueuedConnection(DiscoveryConnection):
    """A connection whose call waits in discovery's queue."""

    def __init__(self, sim: QueueSimulation, protocol: asyncio.Protocol, node: int, address: Address) -> None:
        super().__init__(sim, protocol, "answers_late")
        self.discovery = sim
        self.node = node
        self.address = address
        self.is_queued = False
        self.sent_revision = -1

    def write(self, data: object) -> None:
        self.opened_at = self.sim.now
        self.discovery.enqueue(self)

    def send_list(self, first: bool) -> None:
        """Send the list, unless this connection already has the current revision."""
        if self.is_open and (first or self.sent_revision != self.discovery.revision):
            self.sent_revision = self.discovery.revision
            self.discovery.sent.append(RevisionAt(self.sim.now, self.node, self.sent_revision))
            self.sim.loop.call_later(
                0.0005, self.send_chunk, self.sim.complete_list(revision=self.sent_revision), first
            )

    def send_empty_lines_on(self) -> None:
        """Send an empty line every 2 s."""
        if self.is_open:
            self.send_chunk(b"\n", False)
            self.sim.loop.call_later(2.0, self.send_empty_lines_on)

    def close_instead_of_sending(self) -> None:
        """Close the watch if the list has changed since it was sent."""
        if self.is_open and self.sent_revision != self.discovery.revision:
            self.send_raw(b"0\r\n\r\n")
            self.abort()


@dataclass(slots=True, frozen=True)
class RevisionAt:
    """A revision that was sent to a node, or applied by it, at this time in seconds."""

    at: float
    node: int
    revision: int


class Rejection(Enum):
    """When a call is rejected that waits too long in the queue, or would have to."""

    AT_ONCE = "as it arrives"
    WHILE_WAITING = "after a second, even while it is being served"
    IN_TURN = "in its turn, which takes as long as an answer"


class Outage(Enum):
    """How calls fail while discovery is down."""

    REFUSED = "connections are refused"
    REJECTED = "503 at once"
    REJECTED_LATE = "503 after a second"
    RESET = "the connection is reset"
    SILENT = "no answer"


class QueueSimulation(DiscoverySimulation):
    """Several nodes and one discovery, which serves calls in order and fails those that wait for over 1 s."""

    def __init__(
        self,
        path: Path,
        seed: int,
        call_cost_s: float,
        closes_on_change: bool,
        serves_abandoned: bool,
        rejection: Rejection,
    ) -> None:
        """Create a simulation with a healthy discovery.

        Args:
            path: Directory of the configuration file.
            seed: Seed of the random draws.
            call_cost_s: Time that discovery takes to serve one call.
            closes_on_change: Whether a watch is closed instead of sending an event.
            serves_abandoned: Whether calls are served although their connection is closed.
            rejection: When calls are rejected that wait too long.
        """
        super().__init__(path, True, "no_response", seed=seed)
        self.call_cost_s = call_cost_s
        self.closes_on_change = closes_on_change
        self.serves_abandoned = serves_abandoned
        self.rejection = rejection
        self.call_queue: list[QueuedConnection] = []
        self.is_busy = False
        self.revision = 0
        self.sent = list[RevisionAt]()
        self.applied = list[RevisionAt]()
        # The current address of discovery by node index.
        self.current_address: dict[int, Address] = {}
        self.outage: Outage | None = None
        # The highest number of calls of one node that were in the queue at the same time.
        self.max_queued_per_node = 0
        self.random = random.Random(seed)

    async def dial(self, protocol: asyncio.Protocol, address: Address) -> None:
        self.dialled_at.append(self.now)
        node = cast(DiscoveryClient, cast(DiscoveryCall, protocol).owner).node.settings.node_index
        if self.current_address.setdefault(node, address) != address:
            raise ConnectionRefusedError("discovery has left this address")
        if self.outage is Outage.REFUSED:
            raise ConnectionRefusedError("discovery is down")
        protocol.connection_made(QueuedConnection(self, protocol, node, address))

    def enqueue(self, connection: QueuedConnection) -> None:
        """Add a call to the queue, or reject it."""
        if self.outage is not None:
            self._reject(connection, self.outage)
            return
        if self.rejection is Rejection.AT_ONCE and self.call_cost_s * len(self.call_queue) > MAX_WAIT_S:
            self.loop.call_later(0.02, connection.rejects)
            return
        connection.is_queued = True
        self.call_queue.append(connection)
        unanswered = sum(other.node == connection.node and other.is_open for other in self.call_queue)
        self.max_queued_per_node = max(self.max_queued_per_node, unanswered)
        if self.rejection is Rejection.WHILE_WAITING:
            self.loop.call_later(MAX_WAIT_S, self._expire, connection)
        if not self.is_busy:
            self._next()

    def _reject(self, connection: QueuedConnection, outage: Outage) -> None:
        if outage is Outage.RESET:
            self.loop.call_later(0.02, connection.abort)
        elif outage is not Outage.SILENT:
            self.loop.call_later(0.02 if outage is Outage.REJECTED else 1.0, connection.rejects)

    def _expire(self, connection: QueuedConnection) -> None:
        if connection.is_queued:
            connection.is_queued = False
            self.call_queue.remove(connection)
            if connection.is_open:
                connection.rejects()

    def _next(self) -> None:
        if not self.serves_abandoned:
            self.call_queue = [connection for connection in self.call_queue if connection.is_open]
        self.is_busy = bool(self.call_queue)
        if self.is_busy:
            self.loop.call_later(self.call_cost_s, self._handled, self.call_queue[0])

    def _handled(self, connection: QueuedConnection) -> None:
        if connection.is_queued:
            connection.is_queued = False
            self.call_queue = [other for other in self.call_queue if other is not connection]
            if self.rejection is Rejection.IN_TURN and self.now - connection.opened_at > MAX_WAIT_S:
                connection.rejects()
            else:
                connection.send_list(True)
                self.loop.call_later(2.0, connection.send_empty_lines_on)
        self._next()

    def change(self, revision: int) -> None:
        """Change the list, so that each open watch receives an event or is closed."""
        self.revision = revision
        for connection in cast(list[QueuedConnection], self.connections):
            if connection.is_open and connection.sent_revision >= 0:
                delay = self.random.uniform(0.0, 0.12)
                if self.closes_on_change:
                    self.loop.call_later(delay, connection.close_instead_of_sending)
                else:
                    self.loop.call_later(delay, connection.send_list, False)

    def close_other_addresses(self, node: int, address: Address) -> None:
        """Close the connections of a node at all other addresses, if this is still its current one."""
        for connection in cast(list[QueuedConnection], self.connections):
            is_at_other_address = connection.node == node and connection.address != address
            if is_at_other_address and self.current_address[node] == address:
                connection.abort()

    def reload(self, node: Node, address: Address) -> None:
        """Reload a node with a new address of discovery, like SIGHUP."""
        number = node.settings.node_index
        self.current_address[number] = address
        self.loop.call_later(OLD_ADDRESS_CLOSES_AFTER_S, self.close_other_addresses, number, address)
        node.reconfigure(replace(self.config, settings=replace(self.config.settings, node_index=number)))
        cast(DiscoveryClient, node.discovery).change_address(address)

    def start_node(self, number: int, seed: int) -> Node:
        """Start a node of the tier that records the revisions it applies."""
        settings = replace(self.config.settings, node_index=number, node_count=NODE_COUNT)
        node = self.node(replace(self.config, seed=seed, settings=settings))
        apply = node.update_endpoints

        def record(update: EndpointUpdate, kind: ListUpdateKind) -> None:
            self.applied.append(RevisionAt(self.now, number, update.revision))
            apply(update, kind)

        node.update_endpoints = record  # type: ignore[method-assign]
        return node

    async def reload_and_change(self, seed: int) -> dict[int, float]:
        """Reload all nodes while the list changes, and return the time of each revision."""
        nodes = [self.start_node(number, seed * NODE_COUNT + number) for number in range(NODE_COUNT)]
        await asyncio.sleep(SETTLE_S)
        changes_start_at = self.now
        changed_at = {revision: changes_start_at + at for revision, at in enumerate(CHANGES_AT_S, 1)}
        for revision, at in changed_at.items():
            self.loop.call_at(at, self.change, revision)
        addresses = (("127.0.0.2", port) for port in count(1))
        for node in nodes:
            for at in RELOADS_AT_S:
                first = changes_start_at + 0.1 + NEXT_NODE_RELOADS_AFTER_S * node.settings.node_index
                self.loop.call_at(first + at, self.reload, node, next(addresses))
        await asyncio.sleep(SETTLE_S)
        for node in nodes:
            cast(DiscoveryClient, node.discovery).watch(False)
        return changed_at

    async def fail_and_change(self, seed: int, outage: Outage) -> dict[int, float]:
        """Change the list when discovery recovers and soon after, and return the time of each revision."""
        nodes = [self.start_node(number, seed * NODE_COUNT + number) for number in range(NODE_COUNT)]
        await asyncio.sleep(SETTLE_S)
        self.outage = outage
        for connection in self.connections:
            connection.abort()
        await asyncio.sleep(OUTAGE_S)
        self.outage, back = None, self.now
        changed_at = {revision: back + at for revision, at in enumerate((0.0, 0.5, 2.0), 1)}
        for revision, at in changed_at.items():
            self.loop.call_at(at, self.change, revision)
        await asyncio.sleep(SETTLE_S)
        for node in nodes:
            cast(DiscoveryClient, node.discovery).watch(False)
        return changed_at

    def run_to_end(self, events: Coroutine[None, None, dict[int, float]]) -> dict[int, float]:
        """Run a simulation to its end."""
        try:
            return self.loop.run_until_complete(events)
        finally:
            self.loop.close()

    def late_changes(self, changed_at: dict[int, float]) -> dict[tuple[int, int], float]:
        """Return for each late change the seconds until it was in force, by node and revision.

        A change counts as received 6 s after discovery had it, or earlier if it is sent to the node.
        """
        out = dict[tuple[int, int], float]()
        for node in range(NODE_COUNT):
            for revision, at in changed_at.items():
                applied_at = self.first_at(self.applied, node, revision)
                if (
                    applied_at
                    > min(at + RECEIPT_DEADLINE_S, self.first_at(self.sent, node, revision)) + DRAIN_GRACE_S
                ):
                    out[node, revision] = round(applied_at - at, 2)
        return out

    def first_at(self, revisions: list[RevisionAt], node: int, revision: int) -> float:
        """Return the time at which a node first had this revision or a newer one."""
        return min([t.at for t in revisions if t.node == node and t.revision >= revision], default=math.inf)
