"""Which updates go into the next datagram, and how many broadcasts a node may send.

Updates are piggybacked on every datagram as in SWIM (Das, Gupta, Motivala 2002), each as often as it takes to
reach all members with high probability.
"""

from __future__ import annotations

import math

from balancer.membership.messages import UPDATE_STRUCT, MemberState, Update
from balancer.membership.view import View

RETRANSMIT_MULTIPLIER = 4
NEW_UPDATE_TRANSMITS = 2  # an update sent less often than this counts as new


def transmit_limit(node_count: int) -> int:
    """Return how often an update is sent in a tier of this size: SWIM's multiple of its logarithm."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(node_count + 1))


class TransmitLimitedQueue:
    """Members whose records are to be sent: least often sent first, then in order of queueing."""

    def __init__(self, limit: int) -> None:
        """Create a queue that drops an entry once it was sent `limit` times."""
        self.limit = limit
        self.transmits: dict[int, int] = {}  # by member
        self._by_transmits: list[dict[int, None]] = [{} for _ in range(limit)]

    def __len__(self) -> int:
        """Return the number of members queued."""
        return len(self.transmits)

    def put(self, member: int, transmits: int = 0) -> None:
        """Queue a member's record as if it had been sent `transmits` times so far."""
        before = self.transmits.pop(member, None)
        if before is not None:
            del self._by_transmits[before][member]
        if transmits < self.limit:
            self.transmits[member] = transmits
            self._by_transmits[transmits][member] = None

    def new_count(self) -> int:
        """Return the number of members whose records hardly anybody was sent."""
        return sum(map(len, self._by_transmits[:NEW_UPDATE_TRANSMITS]))

    def take(self, view: View, max_bytes: int, excluded: int | None) -> list[Update]:
        """Return records that fit into `max_bytes` and count them as sent once more."""
        taken = self._select(view, max_bytes, excluded)
        for update in taken:
            self.put(update.member, self.transmits[update.member] + 1)
        return taken

    def resized(self, limit: int, removed: set[int]) -> TransmitLimitedQueue:
        """Return a queue of another limit with the same members but the removed ones."""
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
    """Token buckets for broadcasts of the whole tier: what others broadcast is counted, too.

    Refutations have a bucket of their own, as they must not wait where suspicions are many.
    """

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        """Start with both buckets full; each holds the tokens of one second."""
        self._rate_per_s = rate_per_s
        self._updated_ms = now_ms
        self._tokens = {False: rate_per_s, True: rate_per_s}  # by whether they are for refutations

    def spend(self, now_ms: float, updates: tuple[Update, ...]) -> bool:
        """Take the token for a broadcast that begins with its cause; return whether there was one."""
        is_refutation = bool(updates) and updates[0].state is MemberState.ALIVE
        earned = (now_ms - self._updated_ms) / 1000 * self._rate_per_s
        for bucket, tokens in self._tokens.items():
            refilled = min(self._rate_per_s, tokens + earned)
            self._tokens[bucket] = max(tokens, refilled)  # what is reserved may exceed those of a second
        self._updated_ms = now_ms
        if self._tokens[is_refutation] < 1.0:
            return False
        self._tokens[is_refutation] -= 1.0
        return True

    def reserve(self, tokens: float) -> None:
        """Provide for so many broadcasts that are no refutations, whatever the rate."""
        self._tokens[False] = max(self._tokens[False], tokens)
