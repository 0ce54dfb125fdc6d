"""Construction of the datagrams that this node sends, with piggybacked updates."""

from __future__ import annotations

from balancer.membership.dissemination import BroadcastBudget, TransmitLimitedQueue, transmit_limit
from balancer.membership.events import SendDatagram
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import (
    LEFT_INCARNATION,
    NO_MEMBER,
    PAYLOAD_BYTES,
    MemberState,
    Message,
    MessageKind,
    Update,
    encode,
)

SEQUENCE_MASK = 0xFFFFFFFF


class MessageSender:
    """Sends messages to one member or to all; owns the gossip queue and the broadcast budget."""

    def __init__(self, node: LocalNode) -> None:
        """Create a sender with an empty gossip queue and a full broadcast budget."""
        self.queue = TransmitLimitedQueue(transmit_limit(node.node_count))
        self.budget = BroadcastBudget(node.config.broadcasts_per_s, node.now_ms)
        self._node = node

    def send(
        self,
        member: int,
        kind: MessageKind,
        sequence: int,
        subject: int,
        *,
        extra: bytes = b"",
        first: Update | None = None,
    ) -> None:
        """Send a message with piggybacked updates, starting with `first`.

        If `first` is None and the receiver is believed suspect or dead, the record of the receiver is sent
        first, so that it can refute it (Lifeguard's Buddy System).
        """
        record = self._node.view.records[member]
        if (
            first is None
            and self._node.config.buddy_system_enabled
            and record.state in (MemberState.SUSPECT, MemberState.DEAD)
        ):
            first = record
        updates = self._next_updates(first, PAYLOAD_BYTES - len(extra))
        self._send(member, kind, sequence, subject, extra, updates)

    def ping(self, member: int, first: Update | None = None) -> int:
        """Ping a member and return the ping's sequence number."""
        sequence = self._node.next_sequence()
        self.send(member, MessageKind.PING, sequence, member, first=first)
        return sequence

    def send_updates(self, member: int, updates: tuple[Update, ...]) -> None:
        """Send exactly these updates to one member, without piggybacked ones."""
        self._send(member, MessageKind.GOSSIP, 0, member, b"", updates)

    def broadcast(self, kind: MessageKind, updates: tuple[Update, ...]) -> None:
        """Broadcast exactly these updates, without regard to the broadcast budget."""
        self._node.emit(SendDatagram(None, self._encode(kind, 0, NO_MEMBER, b"", updates)))

    def broadcast_queued(self, kind: MessageKind) -> bool:
        """Broadcast the least often sent updates of the gossip queue; return whether there were any."""
        updates = self._next_updates(None, PAYLOAD_BYTES)
        if updates:
            self.broadcast(kind, updates)
        return bool(updates)

    def broadcast_urgent(self, update: Update) -> None:
        """Broadcast an update that cannot wait for gossip, if the broadcast budget allows it."""
        if self.budget.spend(self._node.now_ms, (update,)):
            self.broadcast(MessageKind.GOSSIP, self._next_updates(update, PAYLOAD_BYTES))
            self._node.counts["broadcasts"] += 1
        else:
            self._node.counts["broadcasts_saved"] += 1

    def _next_updates(self, first: Update | None, max_bytes: int) -> tuple[Update, ...]:
        if first is None:
            return tuple(self.queue.take(self._node.view, max_bytes, None))
        return (first, *self.queue.take(self._node.view, max_bytes - first.size, first.member))

    def _send(
        self,
        member: int,
        kind: MessageKind,
        sequence: int,
        subject: int,
        extra: bytes,
        updates: tuple[Update, ...],
    ) -> None:
        self._node.emit(SendDatagram(member, self._encode(kind, sequence, subject, extra, updates)))
        self._node.counts["sent"] += 1

    def _encode(
        self, kind: MessageKind, sequence: int, subject: int, extra: bytes, updates: tuple[Update, ...]
    ) -> bytes:
        node = self._node
        return encode(
            Message(
                kind=kind,
                sender=node.node_id,
                generation=node.generation,
                incarnation=LEFT_INCARNATION if node.is_leaving else node.incarnation,
                sequence=sequence & SEQUENCE_MASK,
                view=node.view.state_hash,
                subject=subject,
                extra=extra,
                updates=updates,
            )
        )
