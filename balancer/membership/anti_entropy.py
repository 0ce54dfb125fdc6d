"""Anti-entropy: peers compare digests of their views and send each other the records that differ.

If anti-entropy reports the death of a member that this node considers alive, the death is not applied at
once: after a partition each side believes that the other is dead, and would adopt the other side's verdicts
on its own members. The member is probed first with the report attached, and refutes it if it is alive.
"""

from __future__ import annotations

import math

from balancer.membership.local_node import LocalNode
from balancer.membership.messages import (
    DIGEST_BUCKETS,
    DIGEST_STRUCT,
    PAYLOAD_BYTES,
    MemberState,
    Message,
    MessageKind,
    Update,
)
from balancer.membership.sender import MessageSender

# Number of random peers to which a node that knows no present peer sends its digest.
JOIN_FANOUT = 3
MAX_CONCURRENT_TRANSFERS = 8
# Number of probe intervals for which peers' views must differ, without a change of the local view, before a
# digest is sent. Gossip may resolve the difference sooner.
DIGEST_STABLE_PERIODS = 1
# Number of probe intervals of differing views after which a digest is sent even if the local view changes.
DIGEST_MAX_WAIT_PERIODS = 3


class AntiEntropy:
    """Sends digests, answers digests from peers, and paces the transfer of differing records."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Start with no transfer in progress and no unconfirmed death."""
        self._node = node
        self._sender = sender
        # Maps each receiver to the members whose records it still has to be sent.
        self._transfers: dict[int, list[int]] = {}
        self._is_chunk_scheduled = False
        # Start of the current period in which every view reported by a peer differed from the local view.
        self._differing_since_ms = math.inf
        self._digest_sent_ms = node.now_ms
        self._unconfirmed_deaths: dict[int, Update] = {}

    def join(self) -> None:
        """Send this node's digest to random peers on the peer list, present or not."""
        node = self._node
        peers = [member for member in range(node.node_count) if member != node.node_id]
        for peer in node.random.sample(peers, min(JOIN_FANOUT, len(peers))):
            self.send_digest(peer, wants_reply=True)

    def sync_with_random_peer(self) -> None:
        """Send a digest to a random present peer even if no view difference has been reported."""
        peers = self._node.present_peers()
        if peers:
            self.send_digest(self._node.random.choice(peers), wants_reply=True)

    def send_digest(self, member: int, wants_reply: bool) -> None:
        """Send a member the digest of this node's view, salted with the message's sequence number."""
        sequence = self._node.next_sequence()
        hashes = self._node.view.digest(sequence)
        extra = DIGEST_STRUCT.pack(wants_reply, *hashes)
        self._sender.send(member, MessageKind.DIGEST, sequence, member, extra=extra)

    def on_view_reported(self, message: Message) -> None:
        """Send the peer a digest if all reported views have differed from the local view for too long."""
        node = self._node
        if message.view == node.view.state_hash:
            self._differing_since_ms = math.inf
            return
        self._differing_since_ms = min(self._differing_since_ms, node.now_ms)
        period_ms = node.config.probe_interval_ms
        since_ms = max(self._differing_since_ms, self._digest_sent_ms)
        stable_since_ms = max(since_ms, node.view_changed_ms)
        if node.now_ms >= min(
            stable_since_ms + DIGEST_STABLE_PERIODS * period_ms,
            since_ms + DIGEST_MAX_WAIT_PERIODS * period_ms,
        ):
            self._digest_sent_ms = node.now_ms
            self.send_digest(message.sender, wants_reply=True)

    def on_digest(self, message: Message) -> None:
        """Start sending the records in all differing buckets, and reply with a digest if requested."""
        if len(message.extra) < DIGEST_STRUCT.size:
            return
        wants_reply, *hashes = DIGEST_STRUCT.unpack_from(message.extra)
        own_hashes = self._node.view.digest(message.sequence)
        differing = {
            bucket for bucket, (own, other) in enumerate(zip(own_hashes, hashes, strict=True)) if own != other
        }
        if differing and wants_reply:
            self.send_digest(message.sender, wants_reply=False)
        self._start_transfer(message.sender, self._known_members(differing))

    def defer_death(self, update: Update) -> bool:
        """Defer a reported death until a probe if the member seems alive; return whether it was deferred."""
        if not self._is_doubtful_death(update):
            return False
        self._unconfirmed_deaths[update.member] = update
        return True

    def take_unconfirmed_death(self) -> Update | None:
        """Remove and return a random deferred death, or None if the member's record is newer by now."""
        if not self._unconfirmed_deaths:
            return None
        member = self._node.random.choice(sorted(self._unconfirmed_deaths))
        update = self._unconfirmed_deaths.pop(member)
        return update if update.key > self._node.view.records[member].key else None

    def forget(self, members: set[int]) -> None:
        """Cancel transfers to removed members, and drop their records and deaths from pending work."""
        for member in members:
            self._unconfirmed_deaths.pop(member, None)
            self._transfers.pop(member, None)
        for receiver, remaining in list(self._transfers.items()):
            remaining[:] = [member for member in remaining if member not in members]
            if not remaining:
                del self._transfers[receiver]

    def _is_doubtful_death(self, update: Update) -> bool:
        node = self._node
        if update.state is not MemberState.DEAD or update.member >= node.node_count:
            return False
        record = node.view.records[update.member]
        if record.state is not MemberState.ALIVE or update.member == node.node_id:
            return False
        return record.generation == update.generation and record.key < update.key

    def _known_members(self, buckets: set[int]) -> list[int]:
        return [
            record.member
            for record in self._node.view.records
            if record.member % DIGEST_BUCKETS in buckets and record.state is not MemberState.UNKNOWN
        ]

    def _start_transfer(self, receiver: int, members: list[int]) -> None:
        if receiver not in self._transfers and len(self._transfers) >= MAX_CONCURRENT_TRANSFERS:
            self._node.counts["repairs_dropped"] += 1
        elif members:
            # The random order keeps several nodes from sending the same receiver the same records first.
            self._node.random.shuffle(members)
            # An unfinished earlier transfer to this receiver is replaced, not continued.
            self._transfers[receiver] = members
        self._schedule_chunk(0.0)

    def _schedule_chunk(self, wait_ms: float) -> None:
        """Schedule the next datagram of the transfers unless one is scheduled or no transfer remains."""
        if self._transfers and not self._is_chunk_scheduled:
            self._is_chunk_scheduled = True
            self._node.timers.call_later(wait_ms, self._send_chunk, is_essential=True)

    def _send_chunk(self) -> None:
        """Send one datagram of records to the next receiver; the one after follows a probe interval later."""
        self._is_chunk_scheduled = False
        if not self._transfers:
            return
        receiver = next(iter(self._transfers))
        remaining = self._transfers.pop(receiver)
        chunk = self._take_chunk(remaining)
        if remaining:
            self._transfers[receiver] = remaining
        self._schedule_chunk(self._node.config.probe_interval_ms)
        self._sender.send_updates(receiver, chunk)

    def _take_chunk(self, members: list[int]) -> tuple[Update, ...]:
        """Remove members from the end of the list and return their records, as many as fit in a datagram."""
        records = self._node.view.records
        chunk: list[Update] = []
        free_bytes = PAYLOAD_BYTES
        while members and records[members[-1]].size <= free_bytes:
            record = records[members.pop()]
            chunk.append(record)
            free_bytes -= record.size
        return tuple(chunk)
