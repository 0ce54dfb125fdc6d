"""Broadcast queries to members believed dead, once one of them turned out to be alive.

After a partition each side believes that the other is dead. The queried members that are alive refute their
death to the sender, whose next bulk update informs all. Gossip about the deaths instead would reach their
neighbours, too, before they can refute it.
"""

from __future__ import annotations

import math

from balancer.membership.bulk_dissemination import BulkDissemination, RandomizedTimer
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import PAYLOAD_BYTES, UPDATE_STRUCT, MemberState, MessageKind
from balancer.membership.sender import MessageSender

MEMBERS_PER_QUERY = PAYLOAD_BYTES // UPDATE_STRUCT.size
REQUERY_PERIODS = 10  # probe intervals between two queries of the same member


class LivenessQuery:
    """Asks members believed dead to refute it, except those that any node has asked recently."""

    def __init__(self, node: LocalNode, sender: MessageSender, bulk: BulkDissemination) -> None:
        """Create the queries of a node, of which none is due."""
        self._node = node
        self._sender = sender
        self._bulk = bulk
        self._timer = RandomizedTimer(node, self._query)
        self._queried_ms: dict[int, float] = {}  # by member, time of the last query
        self._ends_ms = -math.inf

    def start(self) -> None:
        """Query for a while: a member believed dead is alive."""
        self._ends_ms = self._node.now_ms + self._requery_ms
        self._timer.start()

    def note_queried(self, member: int) -> None:
        """Skip a member for a while, as a peer has asked it."""
        self._queried_ms[member] = self._node.now_ms

    def forget(self, member: int) -> None:
        """Drop what is known of queries of a member."""
        self._queried_ms.pop(member, None)

    @property
    def _requery_ms(self) -> float:
        return REQUERY_PERIODS * self._node.config.probe_interval_ms

    def _query(self) -> None:
        node = self._node
        since_ms = node.now_ms - self._requery_ms
        self._queried_ms = {member: at_ms for member, at_ms in self._queried_ms.items() if at_ms > since_ms}
        dead = [
            record for record in node.view.in_state(MemberState.DEAD) if record.member not in self._queried_ms
        ]
        if not dead or node.now_ms > self._ends_ms:
            return
        queried = tuple(node.random.sample(dead, min(len(dead), MEMBERS_PER_QUERY)))
        for record in queried:
            self.note_queried(record.member)
        self._sender.broadcast(MessageKind.LIVENESS_QUERY, queried)
        node.counts["roll_calls"] += 1
        node.timers.call_later(node.config.ping_timeout_ms, self._bulk.broadcast)
        if len(queried) < len(dead):
            self._timer.start()
