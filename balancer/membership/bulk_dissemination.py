"""Bulk broadcasts, for when many updates are new at once: after a cold start or a healed partition.

Each node with new updates broadcasts a full datagram of them after an exponentially distributed delay. The
mean delay grows with the tier size, so that the tier as a whole sends a fixed number of broadcasts per
second. Nodes that receive an update this way suppress their own broadcast of it, as in SRM (Floyd et al.
1997).
"""

from __future__ import annotations

from collections.abc import Callable

from balancer.membership.local_node import LocalNode
from balancer.membership.messages import Message, MessageKind
from balancer.membership.sender import MessageSender

# Number of further transmissions of an update received in bulk, because some members miss the broadcast.
TRANSMITS_AFTER_BULK = 4


class RandomizedTimer:
    """Random timer whose rate across all nodes of the tier adds up to `bulk_updates_per_s`."""

    def __init__(self, node: LocalNode, callback: Callable[[], None]) -> None:
        """Create a stopped timer that calls `callback` when it fires."""
        self._node = node
        self._callback = callback
        self._is_pending = False

    def start(self) -> None:
        """Start the timer unless it is pending, the node is leaving, or bulk updates are disabled."""
        node = self._node
        rate_per_s = node.config.bulk_updates_per_s
        if self._is_pending or node.is_leaving or not rate_per_s:
            return
        self._is_pending = True
        wait_ms = node.random.expovariate(rate_per_s / node.node_count) * 1000
        node.timers.call_later(wait_ms, self._fire, is_essential=True)

    def _fire(self) -> None:
        self._is_pending = False
        if not self._node.is_leaving:
            self._callback()


class BulkDissemination:
    """Broadcasts new updates in bulk, and suppresses those that another node has already broadcast."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Create the bulk dissemination of the updates queued in `sender`."""
        self._node = node
        self._sender = sender
        self._timer = RandomizedTimer(node, self._broadcast_new)

    def schedule(self) -> None:
        """Schedule a bulk broadcast, which is skipped if no queued update is new any more when it is due."""
        self._timer.start()

    def broadcast(self) -> None:
        """Broadcast one datagram with the queued updates that have been sent least often."""
        if self._sender.broadcast_queued(MessageKind.BULK_UPDATE):
            self._node.counts["pages"] += 1

    def suppress(self, message: Message) -> None:
        """Reduce the remaining transmissions of updates that a peer has just broadcast in bulk."""
        queue = self._sender.queue
        transmits = max(queue.limit - TRANSMITS_AFTER_BULK, queue.limit // 2)
        for update in message.updates:
            member = update.member
            is_queued_longer = queue.transmits.get(member, transmits) < transmits
            if is_queued_longer and self._node.view.records[member] == update:
                queue.put(member, transmits)

    def _broadcast_new(self) -> None:
        if self._sender.queue.new_count():
            self.broadcast()
            if self._sender.queue.new_count():
                self._timer.start()
