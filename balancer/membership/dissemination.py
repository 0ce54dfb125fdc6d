"""Gossip queue and broadcast budget: which updates the next datagram carries, and when to broadcast.

Updates are piggybacked on every datagram as in SWIM (Das, Gupta, Motivala 2002). Each update is sent as often
as is needed to reach all members with high probability.
"""

from __future__ import annotations

import math

from balancer.membership.messages import UPDATE_STRUCT, MemberState, Update
from balancer.membership.view import View

RETRANSMIT_MULTIPLIER = 4
# Number of transmissions from which an update no longer counts as new.
NEW_UPDATE_MAX_TRANSMITS = 2


def transmit_limit(node_count: int) -> int:
    """Return how often an update is sent: a multiple of the logarithm of the tier size, as in SWIM."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(node_count + 1))


class TransmitLimitedQueue:
    """Queue of members whose records are to be gossiped: least often sent first, then first in, first out."""

    def __init__(self, limit: int) -> None:
        """Create an empty queue that drops a member once its record has been sent `limit` times."""
        self.limit = limit
        self.transmits: dict[int, int] = {}
        self._by_transmits: list[dict[int, None]] = [{} for _ in range(limit)]

    def __len__(self) -> int:
        """Return the number of queued members."""
        return len(self.transmits)

    def put(self, member: int, transmits: int = 0) -> None:
        """Queue or requeue a member's record, counted as sent `transmits` times so far."""
        before = self.transmits.pop(member, None)
        if before is not None:
            del self._by_transmits[before][member]
        if transmits < self.limit:
            self.transmits[member] = transmits
            self._by_transmits[transmits][member] = None

    def new_count(self) -> int:
        """Return the number of queued members whose update counts as new."""
        return sum(map(len, self._by_transmits[:NEW_UPDATE_MAX_TRANSMITS]))

    def take(self, view: View, max_bytes: int, excluded: int | None) -> list[Update]:
        """Return the next records that fit into `max_bytes`, and count each as sent once more."""
        taken = self._select(view, max_bytes, excluded)
        for update in taken:
            self.put(update.member, self.transmits[update.member] + 1)
        return taken

    def resized(self, limit: int, removed: set[int]) -> TransmitLimitedQueue:
        """Return a copy of the queue with another transmit limit and without the removed members."""
        queue = TransmitLimitedQueue(limit)
        for member, transmits in self.transmits.items():
            if member not in removed:
                queue.put(member, transmits)
        return queue

    def _select(self, view: View, max_bytes: int, excluded: int | None) -> list[Update]:
        selected: list[Update] = []
        for members in self._by_transmits:
            for member in members:
                record = view.records[member]
                if record.size <= max_bytes and member != excluded:
                    selected.append(record)
                    max_bytes -= record.size
                if max_bytes < UPDATE_STRUCT.size:
                    return selected
        return selected


class BroadcastBudget:
    """Token buckets that limit urgent broadcasts across the tier: those of other nodes also take tokens.

    Refutations have a bucket of their own, because they must not be held up when many members are suspected.
    """

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        """Start with both buckets full; a bucket holds the tokens of one second."""
        self._rate_per_s = rate_per_s
        self._updated_ms = now_ms
        # The keys tell whether a bucket is for refutations (True) or for other broadcasts (False).
        self._tokens = {False: rate_per_s, True: rate_per_s}

    def spend(self, now_ms: float, updates: tuple[Update, ...]) -> bool:
        """Take a token for a broadcast; return whether one was available.

        The first update is the reason for the broadcast and decides which bucket pays.
        """
        is_refutation = bool(updates) and updates[0].state is MemberState.ALIVE
        earned = (now_ms - self._updated_ms) / 1000 * self._rate_per_s
        for bucket, tokens in self._tokens.items():
            refilled = min(self._rate_per_s, tokens + earned)
            # Refilling never reduces a bucket that `reserve` has raised above its normal capacity.
            self._tokens[bucket] = max(tokens, refilled)
        self._updated_ms = now_ms
        if self._tokens[is_refutation] < 1.0:
            return False
        self._tokens[is_refutation] -= 1.0
        return True

    def reserve(self, tokens: float) -> None:
        """Make at least this many tokens available to non-refutations, even if the rate is 0."""
        self._tokens[False] = max(self._tokens[False], tokens)
