"""Staggered schedule for the polls of the discovery service by the nodes of a tier."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

MIN_POLL_INTERVAL_MS = 1000.0
POLL_TIMEOUT_ROUNDS = 5.0  # a poll without a result counts as failed after 5 rounds of the tier


class PollSchedule:
    """Times at which a node may poll discovery; the whole tier sends 1000 / `slot_ms` polls per second.

    Hashes of the node numbers determine the order of the slots, so that neighboring nodes on one machine do
    not poll in succession. Nodes that see different members may share a slot; nodes that restart later also
    poll later.
    """

    def __init__(self, node: int, slot_ms: float) -> None:
        """Create the schedule of a node, without a scheduled poll."""
        self.node = node
        self.slot_ms = slot_ms
        self.next_poll_at = math.inf
        self.polled_at = math.inf
        self.poll_count = 0

    def schedule_first(self, now: float, nodes: Iterable[int]) -> None:
        """Schedule the first poll in this node's slot among `nodes`."""
        order = sorted({*nodes, self.node}, key=_slot_order)
        self.next_poll_at = now + order.index(self.node) * self.slot_ms

    def poll_now(self, now: float) -> None:
        """Schedule a poll immediately, for a node that does not poll together with others."""
        self.next_poll_at = now

    def poll_started(self, now: float, node_count: int) -> None:
        """Record a poll, and schedule the next one in case this one gets no result."""
        self.poll_count += 1
        self.polled_at = now
        self.next_poll_at = now + POLL_TIMEOUT_ROUNDS * self._round_ms(node_count)

    def poll_failed(self, now: float, node_count: int) -> None:
        """Schedule the same slot in the next round of `node_count` nodes, however late the poll failed."""
        if self.next_poll_at < math.inf:
            self.next_poll_at = max(now, min(self.polled_at, now) + self._round_ms(node_count))

    def stop(self) -> None:
        """Stop polling, because discovery has sent the list or the node shuts down."""
        self.next_poll_at = math.inf

    def _round_ms(self, node_count: int) -> float:
        return max(MIN_POLL_INTERVAL_MS, node_count * self.slot_ms)


def _slot_order(node: int) -> bytes:
    return hashlib.blake2b(node.to_bytes(4, "big"), digest_size=8).digest()
