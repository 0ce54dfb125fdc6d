"""Staggered schedule by which the nodes of a tier poll the discovery service."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

MIN_ROUND_MS = 1000.0  # between two polls of one node
UNANSWERED_ROUNDS = 5.0  # after which a poll without a result counts as failed


class PollSchedule:
    """Times at which a node may poll discovery: 1000 / `slot_ms` polls a second of the whole tier.

    The slots follow from hashes of the node numbers, so that neighbours on one machine do not poll in a row.
    Nodes that see different members may share a slot; those that restart later begin later anyway.
    """

    def __init__(self, node: int, slot_ms: float) -> None:
        """Create the schedule of a node; nothing is due before the first call of a method."""
        self.node = node
        self.slot_ms = slot_ms
        self.next_poll_at = math.inf
        self.polled_at = math.inf
        self.poll_count = 0

    def schedule_first(self, now: float, nodes: Iterable[int]) -> None:
        """Take the first slot among `nodes`."""
        order = sorted({*nodes, self.node}, key=_slot_order)
        self.next_poll_at = now + order.index(self.node) * self.slot_ms

    def poll_now(self, now: float) -> None:
        """Schedule a poll at once, as no other node polls at this time."""
        self.next_poll_at = now

    def poll_started(self, now: float, node_count: int) -> None:
        """Schedule the next poll for the case that this one brings no result."""
        self.poll_count += 1
        self.polled_at = now
        self.next_poll_at = now + UNANSWERED_ROUNDS * self._round_ms(node_count)

    def poll_failed(self, now: float, node_count: int) -> None:
        """Keep this node's slot in the next round of `node_count`, however long the poll took to fail."""
        if self.next_poll_at < math.inf:
            self.next_poll_at = max(now, min(self.polled_at, now) + self._round_ms(node_count))

    def stop(self) -> None:
        """End polling: discovery has sent the list, or the node shuts down."""
        self.next_poll_at = math.inf

    def _round_ms(self, node_count: int) -> float:
        return max(MIN_ROUND_MS, node_count * self.slot_ms)


def _slot_order(node: int) -> bytes:
    return hashlib.blake2b(node.to_bytes(4, "big"), digest_size=8).digest()
