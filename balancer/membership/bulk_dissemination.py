"""Broadcasts of many updates where much is new at once: a cold start, a healed partition.

Every node with new updates broadcasts a datagram full of them after an exponentially distributed wait whose
mean grows with the tier, so that the tier as a whole sends a fixed number a second. An update received so is
suppressed by the others, as in SRM (Floyd et al. 1997).
"""

from __future__ import annotations

from collections.abc import Callable

from balancer.membership.local_node import LocalNode
from balancer.membership.messages import Message, MessageKind
from balancer.membership.sender import MessageSender

REMAINING_TRANSMITS = 4  # of an update received in bulk: some members have missed the broadcast


class RandomizedTimer:
    """A timer that the nodes of a tier run independently, together `bulk_updates_per_s` times a second."""

    def __init__(self, node: LocalNode, callback: Callable[[], None]) -> None:
        """Create a timer that is not running."""
        self._node = node
        self._callback = callback
        self._is_pending = False

    def start(self) -> None:
        """Start the timer unless it runs, the node leaves or bulk updates are off."""
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
    """Broadcasts new updates, and suppresses those that somebody else has broadcast."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Create the bulk dissemination of a node's queue of updates."""
        self._node = node
        self._sender = sender
        self._timer = RandomizedTimer(node, self._broadcast_new)

    def schedule(self) -> None:
        """Broadcast new updates some time, if they are still new then."""
        self._timer.start()

    def broadcast(self) -> None:
        """Broadcast the updates that were sent least often."""
        if self._sender.broadcast_queued(MessageKind.BULK_UPDATE):
            self._node.counts["pages"] += 1

    def suppress(self, message: Message) -> None:
        """Send the updates of a peer's bulk broadcast a few more times only."""
        queue = self._sender.queue
        transmits = max(queue.limit - REMAINING_TRANSMITS, queue.limit // 2)
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
