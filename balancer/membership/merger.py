"""Merging of updates into the view, and the reactions to each change.

Updates on a member are ordered by (generation, incarnation, state), and the greatest one wins. They may
therefore arrive late, twice or in any order. Only a member itself raises its incarnation, and no update of
the same generation overrides LEFT.
"""

from __future__ import annotations

from balancer.membership.bulk_dissemination import BulkDissemination
from balancer.membership.events import MemberChanged, SuspicionRefuted
from balancer.membership.failure_detector import FailureDetector
from balancer.membership.liveness_query import LivenessQuery
from balancer.membership.local_health import LocalHealth
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import LEFT_INCARNATION, MAX_GENERATION, MemberState, Update
from balancer.membership.sender import MessageSender
from balancer.membership.suspicion import SuspicionTable

# A probe that verifies another node's suspicion needs one helper only, as several nodes verify it.
VERIFICATION_HELPERS = 1


class UpdateMerger:
    """Applies updates from peers and from the local failure detector to the view."""

    def __init__(
        self,
        node: LocalNode,
        sender: MessageSender,
        health: LocalHealth,
        suspicions: SuspicionTable,
        detector: FailureDetector,
        bulk: BulkDissemination,
        liveness: LivenessQuery,
    ) -> None:
        """Create a merger that updates the view of `node` and notifies the other components."""
        self._node = node
        self._sender = sender
        self._health = health
        self._suspicions = suspicions
        self._detector = detector
        self._bulk = bulk
        self._liveness = liveness

    def merge(self, update: Update) -> None:
        """Apply an update that is newer than the member's record, or refute a false claim about this node."""
        node = self._node
        if not 0 <= update.member < node.node_count:
            node.counts["no_such_member"] += 1
            return
        if update.member == node.node_id:
            self.refute(update)
            return
        record = node.view.records[update.member]
        if update.key > record.key:
            self.apply(update)
        elif update.key == record.key and update.state is MemberState.SUSPECT:
            self._suspicions.confirm(update)

    def apply(self, update: Update) -> None:
        """Replace the record of a member and queue it for dissemination."""
        node = self._node
        hash_before = node.view.state_hash
        old = node.view.put(update)
        if node.view.state_hash != hash_before:
            node.view_changed_ms = node.now_ms
        self._sender.queue.put(update.member)
        self._update_suspicion(update)
        self._update_flaps(old, update)
        self._bulk.schedule()
        if old.state is not update.state or old.generation != update.generation:
            node.emit(MemberChanged(update.member, old.state, update.state, update.generation))

    def suspect(self, member: int) -> None:
        """Mark a member as suspect because a probe of it has failed."""
        record = self._node.view.records[member]
        accuser = self._node.node_id
        self.merge(Update(member, record.generation, record.incarnation, MemberState.SUSPECT, accuser))

    def declare_dead(self, member: int) -> None:
        """Declare a member dead that has not refuted its suspicion in time, and broadcast that."""
        record = self._node.view.records[member]
        self._node.counts["declared_dead"] += 1
        death = Update(member, record.generation, record.incarnation, MemberState.DEAD)
        self.merge(death)
        self._sender.broadcast_urgent(death)

    def refute(self, claim: Update, *, announce: bool = True) -> None:
        """Refute a claim about this node by raising its own incarnation; ignore an outdated claim.

        The refutation is broadcast at once if `announce` is set, and only gossiped otherwise.
        """
        node = self._node
        if claim.key <= node.view.records[node.node_id].key or node.is_leaving:
            return
        if not self._raise_incarnation_above(claim):
            node.counts["outbid"] += 1
            return
        node.counts["refutations"] += 1
        # Only a suspicion suggests that this node is slow. A partition causes false deaths as well.
        if claim.state is MemberState.SUSPECT:
            self._health.adjust(1)
        node.emit(SuspicionRefuted(claim.state))
        alive = Update(node.node_id, node.generation, node.incarnation, MemberState.ALIVE)
        self.apply(alive)
        if announce:
            self._sender.broadcast_urgent(alive)

    def _raise_incarnation_above(self, claim: Update) -> bool:
        """Raise the incarnation, or if need be the generation, above a claim; return whether it succeeded."""
        node = self._node
        if claim.generation == node.generation and claim.incarnation < LEFT_INCARNATION - 1:
            node.incarnation = claim.incarnation + 1
            return True
        greatest = max(node.generation, claim.generation)
        # A greater generation is needed if this one is too low or its incarnations are exhausted.
        if greatest < MAX_GENERATION:
            node.generation = greatest + 1
            node.incarnation = 0
            return True
        return False

    def _update_suspicion(self, update: Update) -> None:
        if update.state is not MemberState.SUSPECT:
            self._suspicions.cancel(update.member)
        elif self._suspicions.begin(update):
            self._detector.probe(update.member, VERIFICATION_HELPERS)

    def _update_flaps(self, old: Update, update: Update) -> None:
        if old.generation != update.generation:
            self._suspicions.flaps.forget(update.member)
        elif update.state is MemberState.ALIVE:
            was_dead = old.state is MemberState.DEAD
            self._suspicions.flaps.record_refutation(update.member, was_dead, self._node.now_ms)
            # One false death suggests that other deaths are false as well, for example after a partition.
            if was_dead:
                self._liveness.start()
