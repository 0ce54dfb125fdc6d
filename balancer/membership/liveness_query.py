"""Broadcast queries to members believed dead, sent once one of them has turned out to be alive.

After a partition each side believes that the other is dead. Queried members that are alive refute their
death to the sender, whose next bulk broadcast informs the tier. Gossip about the deaths would instead spread
them to further nodes before the members can refute them.
"""

from __future__ import annotations

import math

from balancer.membership.bulk_dissemination import BulkDissemination, RandomizedTimer
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import PAYLOAD_BYTES, UPDATE_STRUCT, MemberState, MessageKind
from balancer.membership.sender import MessageSender

MEMBERS_PER_QUERY = PAYLOAD_BYTES // UPDATE_STRUCT.size
# Number of probe intervals between two queries of the same member, whichever node sends them.
REQUERY_PERIODS = 10


class LivenessQuery:
    """Queries members believed dead, except those that any node has queried recently."""

    def __init__(self, node: LocalNode, sender: MessageSender, bulk: BulkDissemination) -> None:
        """Create the liveness queries of a node without scheduling one."""
        self._node = node
        self._sender = sender
        self._bulk = bulk
        self._timer = RandomizedTimer(node, self._query)
        self._last_query_ms: dict[int, float] = {}
        self._ends_ms = -math.inf

    def start(self) -> None:
        """Send queries for the next `REQUERY_PERIODS`, because a member believed dead was alive."""
        self._ends_ms = self._node.now_ms + self._requery_ms
        self._timer.start()

    def note_queried(self, member: int) -> None:
        """Record that a member has just been queried, so that it is skipped for `REQUERY_PERIODS`."""
        self._last_query_ms[member] = self._node.now_ms

    def forget(self, member: int) -> None:
        """Discard the time at which a removed member was last queried."""
        self._last_query_ms.pop(member, None)

    @property
    def _requery_ms(self) -> float:
        return REQUERY_PERIODS * self._node.config.probe_interval_ms

    def _query(self) -> None:
        node = self._node
        since_ms = node.now_ms - self._requery_ms
        self._last_query_ms = {
            member: at_ms for member, at_ms in self._last_query_ms.items() if at_ms > since_ms
        }
        dead = [
            record
            for record in node.view.in_state(MemberState.DEAD)
            if record.member not in self._last_query_ms
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
