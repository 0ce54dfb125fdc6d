"""Anti-entropy: peers compare digests of their views and send each other the records that differ.

A death reported by anti-entropy of a member that seems alive is not applied at once: after a partition each
side believes that the other is dead, and either would adopt the other's deaths of its own neighbours. The
member is probed with the report first, and refutes it if it is alive.
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

JOIN_PEERS = 3  # that a node without peers sends its digest
MAX_TRANSFERS = 8  # peers that are sent records at the same time
STABLE_PERIODS = 1  # probe intervals of disagreement, without a change of the view, before a digest is sent
MAX_WAIT_PERIODS = 3  # probe intervals of disagreement after which it is sent anyway


class AntiEntropy:
    """Sends digests, answers those of peers, and paces the transfer of records."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Create the anti-entropy of a node."""
        self._node = node
        self._sender = sender
        self._transfers: dict[int, list[int]] = {}  # by receiver, the members whose records it lacks
        self._is_sending = False  # a timer for the next datagram of the transfers is set
        self._differing_since_ms = math.inf  # since when every reported view has differed
        self._synced_ms = node.now_ms  # when a digest was last sent for a view that differed
        self._unconfirmed_deaths: dict[int, Update] = {}  # by member

    def join(self) -> None:
        """Send digests to random peers of the list, whether they are known to be present or not."""
        node = self._node
        peers = [member for member in range(node.node_count) if member != node.node_id]
        for peer in node.random.sample(peers, min(JOIN_PEERS, len(peers))):
            self.send_digest(peer, wants_reply=True)

    def sync_with_random_peer(self) -> None:
        """Send a digest to a random present peer, even without a sign of a difference."""
        peers = self._node.present_peers()
        if peers:
            self.send_digest(self._node.random.choice(peers), wants_reply=True)

    def send_digest(self, member: int, wants_reply: bool) -> None:
        """Send the digest of this node's view, salted with the sequence number."""
        sequence = self._node.next_sequence()
        hashes = self._node.view.digest(sequence)
        extra = DIGEST_STRUCT.pack(wants_reply, *hashes)
        self._sender.send(member, MessageKind.DIGEST, sequence, member, extra=extra)

    def on_view_reported(self, message: Message) -> None:
        """Send a digest if all reported views have differed for long; gossip may end that sooner."""
        node = self._node
        if message.view == node.view.state_hash:
            self._differing_since_ms = math.inf
            return
        self._differing_since_ms = min(self._differing_since_ms, node.now_ms)
        period_ms = node.config.probe_interval_ms
        since_ms = max(self._differing_since_ms, self._synced_ms)
        stable_since_ms = max(since_ms, node.view_changed_ms)
        if node.now_ms >= min(
            stable_since_ms + STABLE_PERIODS * period_ms, since_ms + MAX_WAIT_PERIODS * period_ms
        ):
            self._synced_ms = node.now_ms
            self.send_digest(message.sender, wants_reply=True)

    def on_digest(self, message: Message) -> None:
        """Start to send the records of all buckets that differ, and this node's digest if it is asked for."""
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
        """Keep a reported death of a member that seems alive for a probe; return whether it is one."""
        if not self._is_doubtful_death(update):
            return False
        self._unconfirmed_deaths[update.member] = update
        return True

    def take_unconfirmed_death(self) -> Update | None:
        """Return a random one of the deferred deaths, if it is still newer than what is known."""
        if not self._unconfirmed_deaths:
            return None
        member = self._node.random.choice(sorted(self._unconfirmed_deaths))
        update = self._unconfirmed_deaths.pop(member)
        return update if update.key > self._node.view.records[member].key else None

    def forget(self, members: set[int]) -> None:
        """Drop all that concerns members that are gone, as receivers and in the transfers of others."""
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
        if receiver not in self._transfers and len(self._transfers) >= MAX_TRANSFERS:
            self._node.counts["repairs_dropped"] += 1
        elif members:
            self._node.random.shuffle(members)  # nodes that send the same receiver begin at different members
            self._transfers[receiver] = members  # replaces the rest of an earlier transfer
        self._schedule_chunk(0.0)

    def _schedule_chunk(self, wait_ms: float) -> None:
        """Set the timer for the next datagram, unless it is set or nothing is to be sent."""
        if self._transfers and not self._is_sending:
            self._is_sending = True
            self._node.timers.call_later(wait_ms, self._send_chunk, is_essential=True)

    def _send_chunk(self) -> None:
        """Send one datagram to the receiver whose turn it is, the next one a probe interval later."""
        self._is_sending = False
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
        """Remove as many members from the end as have records that fit into a datagram."""
        records = self._node.view.records
        chunk: list[Update] = []
        free_bytes = PAYLOAD_BYTES
        while members and records[members[-1]].size <= free_bytes:
            record = records[members.pop()]
            chunk.append(record)
            free_bytes -= record.size
        return tuple(chunk)
