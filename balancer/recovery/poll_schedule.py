"""Discovery is asked in turns: every node waits for its place among those that are there."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

LEAST_ROUND = 1000.0  # ms between two calls of one node
UNANSWERED = 5.0  # rounds after which a call that was never reported on counts as failed


class PollSchedule:
    """When node `me` may call discovery: with `slot` ms for each, 1000 / slot calls a second of all together.

    The places follow from the nodes' numbers, mixed, so that neighbours on one machine are not called on in
    a row. Nodes that see different members may share a place; those that return later begin later anyway.
    """

    def __init__(self, me: int, slot: float) -> None:
        self.me, self.slot = me, slot
        self.due = self.began = math.inf  # the next call, and the last one
        self.asked = 0  # calls so far

    def plan(self, now: float, nodes: Iterable[int]) -> None:
        """The first turn, among `nodes`."""
        order = sorted({*nodes, self.me}, key=_mixed)
        self.due = now + order.index(self.me) * self.slot

    def at_once(self, now: float) -> None:
        """Nobody else asks at this time."""
        self.due = now

    def taken(self, now: float, nodes: int) -> None:
        """The turn has come; the next one follows if nothing comes of it."""
        self.asked, self.began = self.asked + 1, now
        self.due = now + UNANSWERED * self._round(nodes)

    def failed(self, now: float, nodes: int) -> None:
        """Once more at this node's place in the next round of `nodes`, however long the call took to fail."""
        if self.due < math.inf:
            self.due = max(now, min(self.began, now) + self._round(nodes))

    def done(self) -> None:
        """Discovery has told the list."""
        self.due = math.inf

    def _round(self, nodes: int) -> float:
        return max(LEAST_ROUND, nodes * self.slot)


def _mixed(node: int) -> bytes:
    return hashlib.blake2b(node.to_bytes(4, "big"), digest_size=8).digest()
