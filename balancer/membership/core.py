"""Membership protocol of one node, free of I/O and clocks: takes events with their time, returns actions.

The protocol is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2018).
In addition, as the network can deliver one datagram to all nodes, urgent updates are broadcast. Broadcasts
of other nodes count against a node's own budget, so that the cost per node does not grow with the tier.
"""

from __future__ import annotations

from functools import partial

from balancer.membership.anti_entropy import AntiEntropy
from balancer.membership.bulk_dissemination import BulkDissemination
from balancer.membership.config import Config
from balancer.membership.dissemination import transmit_limit
from balancer.membership.events import (
    Action,
    DatagramReceived,
    Event,
    Leave,
    MemberChanged,
    PeersChanged,
    ViewChanged,
)
from balancer.membership.failure_detector import FailureDetector
from balancer.membership.liveness_query import LivenessQuery
from balancer.membership.local_health import LocalHealth
from balancer.membership.local_node import LocalNode
from balancer.membership.merger import UpdateMerger
from balancer.membership.messages import (
    LEFT_INCARNATION,
    NO_MEMBER,
    PRESENT_STATES,
    MemberState,
    Message,
    MessageError,
    MessageKind,
    Update,
    decode,
)
from balancer.membership.peer_views import PeerViews
from balancer.membership.ping_relay import PingRelay
from balancer.membership.sender import MessageSender
from balancer.membership.suspicion import SuspicionTable
from balancer.membership.view import View, unknown_record

# A leaving node announces it twice because a single datagram may be lost.
LEAVE_BROADCASTS = 2
# A node that sees no present member besides itself tries to join the tier instead of probing.
MIN_PRESENT_TO_PROBE = 2


class Membership:
    """A node's view of its tier, and the protocol that keeps it up to date."""

    def __init__(
        self, config: Config, node_id: int, node_count: int, generation: int, seed: int, now_ms: float
    ) -> None:
        """Start the protocol of node `node_id` in a tier of `node_count` nodes.

        `generation` identifies the process and must exceed the generations of all earlier processes of this
        node. The actions that starting causes are returned by the first call of `handle`.
        """
        self.node = LocalNode(config, node_id, node_count, generation, seed, now_ms)
        self.sender = MessageSender(self.node)
        self.health = LocalHealth(config.local_health_enabled)
        self.peer_views = PeerViews(self.node)
        self.suspicions = SuspicionTable(self.node, self.sender, self.health, self._declare_dead)
        self._detector = FailureDetector(
            self.node, self.sender, self.health, self.peer_views, self.suspicions, self._suspect
        )
        self._relay = PingRelay(self.node, self.sender)
        self._anti_entropy = AntiEntropy(self.node, self.sender)
        self._bulk = BulkDissemination(self.node, self.sender)
        self._liveness = LivenessQuery(self.node, self.sender, self._bulk)
        self._merger = UpdateMerger(
            self.node, self.sender, self.health, self.suspicions, self._detector, self._bulk, self._liveness
        )
        self._periods = 0
        self._last_event_ms = now_ms
        self._reported_state_hash = self.node.view.state_hash
        self._merger.apply(Update(node_id, generation, 0, MemberState.ALIVE))
        # A random first delay keeps nodes that start together from probing at the same moments.
        first_probe_ms = self.node.random.uniform(0, config.probe_interval_ms)
        self.node.timers.call_later(first_probe_ms, self._run_period, is_essential=True)
        self._anti_entropy.join()

    @property
    def next_wakeup_ms(self) -> float:
        """Latest time for the next `Tick` event; infinity if no timer is pending."""
        return self.node.timers.next_due_ms

    @property
    def view(self) -> View:
        """Membership table of this node: the newest record of each member."""
        return self.node.view

    def adopt_view(self, view: View) -> None:
        """Replace the view without reporting a change."""
        self.node.view = view
        self._reported_state_hash = view.state_hash

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process an event at the monotonic time `now_ms` and return the resulting actions."""
        node = self.node
        node.timers.advance(now_ms)
        self._detect_stall()
        match event:
            case DatagramReceived():
                self._receive(event)
            case Leave():
                self._leave()
            case PeersChanged():
                self._change_peers(event)
        node.timers.run_due()
        self._last_event_ms = node.now_ms
        actions = node.take_actions()
        view = node.view
        if view.state_hash != self._reported_state_hash:
            self._reported_state_hash = view.state_hash
            reason = _change_reason(actions)
            actions.append(ViewChanged(view.state_hash, view.present_count, self.has_quorum(), reason))
        return actions

    def present_members(self) -> list[int]:
        """Return the numbers of the present members in ascending order, this node included."""
        return self.node.view.present_members()

    def has_quorum(self) -> bool:
        """Return whether more than half of the tier is present."""
        return 2 * self.node.view.present_count > self.node.node_count

    def agreement_ratio(self) -> float:
        """Return the fraction of the present peers heard from recently whose view equals this node's."""
        return self.peer_views.agreement_ratio()

    def _suspect(self, member: int) -> None:
        self._merger.suspect(member)

    def _declare_dead(self, member: int) -> None:
        self._merger.declare_dead(member)

    def _detect_stall(self) -> None:
        """Extend suspicions and drop probes if this process was stalled.

        Refutations and acks that arrived during the stall are still unread.
        """
        node = self.node
        expected_ms = max(self._last_event_ms, min(node.timers.next_due_ms, node.now_ms))
        late_ms = node.now_ms - expected_ms
        if not node.config.local_health_enabled or late_ms < node.config.ping_timeout_ms / 2:
            return
        node.counts["stalls"] += 1
        self.health.adjust(1)
        self._detector.clear()
        self._relay.clear()
        self.suspicions.postpone(node.now_ms - self._last_event_ms)

    def _run_period(self) -> None:
        """Run the periodic work of one probe interval and schedule the next interval."""
        node = self.node
        config = node.config
        period_ms = self.health.scale(config.probe_interval_ms)
        node.timers.call_later(period_ms, self._run_period, is_essential=True)
        self._periods += 1
        if node.view.present_count < MIN_PRESENT_TO_PROBE:
            self._anti_entropy.join()
        else:
            self._detector.probe_next()
        death = self._anti_entropy.take_unconfirmed_death()
        if death is not None:
            self._detector.probe(death.member, config.indirect_probes, first=death)
        if self._periods % config.reconnect_periods == 0:
            self._ping_absent()
        if self._periods % config.anti_entropy_periods == 0:
            self._anti_entropy.sync_with_random_peer()
        self.peer_views.check_disagreement()

    def _ping_absent(self) -> None:
        """Ping a random member that is not present, to discover that a partition has healed."""
        absent = list(self.node.view.in_state(MemberState.UNKNOWN, MemberState.DEAD))
        if absent:
            self.sender.ping(self.node.random.choice(absent).member)

    def _leave(self) -> None:
        node = self.node
        if node.is_leaving:
            return
        node.is_leaving = True
        left = Update(node.node_id, node.generation, LEFT_INCARNATION, MemberState.LEFT)
        self._merger.apply(left)
        self.sender.budget.reserve(LEAVE_BROADCASTS)
        for number in range(LEAVE_BROADCASTS):
            wait_ms = number * node.config.ping_timeout_ms
            node.timers.call_later(wait_ms, partial(self.sender.broadcast_urgent, left))

    def _change_peers(self, event: PeersChanged) -> None:
        """Drop members that are no longer on the peer list and add new members as unknown.

        The changes are not disseminated, because every node reads the list from its own file.
        """
        node = self.node
        removed = {
            member for member in range(node.node_count) if member >= event.count or member in event.replaced
        } - {node.node_id}
        for member in removed:
            self._remove(member)
        self._detector.forget(removed)
        self._relay.forget(removed)
        self._anti_entropy.forget(removed)
        node.view.resize(event.count)
        node.node_count = event.count
        node.view_changed_ms = node.now_ms
        self.sender.queue = self.sender.queue.resized(transmit_limit(event.count), removed)
        self._anti_entropy.join()

    def _remove(self, member: int) -> None:
        old = self.node.view.put(unknown_record(member))
        if old.state in PRESENT_STATES:
            self.node.emit(MemberChanged(member, old.state, MemberState.LEFT, old.generation))
        self.suspicions.forget(member)
        self.peer_views.forget(member)
        self._liveness.forget(member)

    def _receive(self, event: DatagramReceived) -> None:
        node = self.node
        try:
            message = decode(event.data)
        except MessageError:
            node.counts["unreadable"] += 1
            return
        is_peer = 0 <= event.source < node.node_count and event.source != node.node_id
        if message.sender != event.source or not is_peer:
            node.counts["wrong_sender"] += 1
            return
        node.counts["received"] += 1
        if message.incarnation != LEFT_INCARNATION:
            self._merger.merge(
                Update(message.sender, message.generation, message.incarnation, MemberState.ALIVE)
            )
        self.peer_views.record(message.sender, message.view)
        if message.kind == MessageKind.LIVENESS_QUERY:
            self._answer_liveness_query(message)
            return
        self._merge_updates(message)
        self._dispatch(message)

    def _merge_updates(self, message: Message) -> None:
        is_transfer = message.kind == MessageKind.GOSSIP and message.subject == self.node.node_id
        for update in message.updates:
            if not (is_transfer and self._anti_entropy.defer_death(update)):
                self._merger.merge(update)

    def _dispatch(self, message: Message) -> None:
        """Act on a message according to its kind; unknown kinds, sent by later versions, are ignored."""
        node = self.node
        match message.kind:
            case MessageKind.PING if message.subject == node.node_id:
                self.sender.send(message.sender, MessageKind.ACK, message.sequence, node.node_id)
                self._anti_entropy.on_view_reported(message)
            case MessageKind.ACK:
                if not self._detector.on_ack(message):
                    self._relay.forward_ack(message)
                self._anti_entropy.on_view_reported(message)
            case MessageKind.PING_REQ if (
                message.subject < node.node_count and message.subject != node.node_id
            ):
                self._relay.ping(message)
            case MessageKind.NACK:
                self._detector.on_nack(message)
            case MessageKind.DIGEST:
                self._anti_entropy.on_digest(message)
            case MessageKind.GOSSIP if message.subject == NO_MEMBER:
                self.sender.budget.spend(node.now_ms, message.updates)
            case MessageKind.BULK_UPDATE:
                self._bulk.suppress(message)

    def _answer_liveness_query(self, message: Message) -> None:
        """Refute this node's death to the querying peer alone, and note which other members were queried."""
        node = self.node
        for update in message.updates:
            if update.member == node.node_id and not node.is_leaving:
                self._merger.refute(update, announce=False)
                self.sender.send(message.sender, MessageKind.ACK, 0, node.node_id)
            elif update.member != node.node_id and update.member < node.node_count:
                self._liveness.note_queried(update.member)


def _change_reason(actions: list[Action]) -> str:
    """Summarize in a few words why the view has changed, from the actions of the event."""
    changes = [action for action in actions if isinstance(action, MemberChanged)]
    if not changes:
        return "a member restarted"
    first = f"node {changes[0].member} {changes[0].after.name.lower()}"
    return first if len(changes) == 1 else f"{first} and {len(changes) - 1} more"
