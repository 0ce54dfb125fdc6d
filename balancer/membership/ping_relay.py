"""Helper side of SWIM's indirect probes: pings members on behalf of peers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from balancer.membership.local_node import LocalNode
from balancer.membership.messages import Message, MessageKind
from balancer.membership.sender import MessageSender

# Fraction of the ping timeout after which the requester is sent a nack if no ack has arrived.
NACK_DELAY_FRACTION = 0.8


@dataclass(slots=True, frozen=True)
class PingRequest:
    """A peer's request to ping a member on its behalf, with the sequence number for the answer."""

    requester: int
    sequence: int
    subject: int


class PingRelay:
    """Forwards acks to the requesters of indirect probes, and sends a nack if none arrives (Lifeguard)."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Create a relay with no pending request."""
        self._node = node
        self._sender = sender
        # Keys are the sequence numbers of this node's own pings, not those of the requesters.
        self._requests: dict[int, PingRequest] = {}

    def ping(self, message: Message) -> None:
        """Ping the subject of a ping request and remember the requester."""
        sequence = self._sender.ping(message.subject)
        self._requests[sequence] = PingRequest(message.sender, message.sequence, message.subject)
        wait_ms = self._node.config.ping_timeout_ms * NACK_DELAY_FRACTION
        self._node.timers.call_later(wait_ms, partial(self._send_nack, sequence))

    def forward_ack(self, message: Message) -> None:
        """Forward an ack to the requester if it answers a ping on a peer's behalf."""
        request = self._requests.pop(message.sequence, None)
        if request is not None:
            self._sender.send(request.requester, MessageKind.ACK, request.sequence, message.subject)

    def clear(self) -> None:
        """Drop all pending ping requests."""
        self._requests.clear()

    def forget(self, members: set[int]) -> None:
        """Drop ping requests that were sent by, or are about, members removed from the tier."""
        self._requests = {
            sequence: request
            for sequence, request in self._requests.items()
            if request.requester not in members and request.subject not in members
        }

    def _send_nack(self, sequence: int) -> None:
        request = self._requests.get(sequence)
        if request is not None:
            self._sender.send(request.requester, MessageKind.NACK, request.sequence, request.subject)
            wait_ms = self._node.config.probe_interval_ms
            self._node.timers.call_later(wait_ms, partial(self._drop, sequence))

    def _drop(self, sequence: int) -> None:
        self._requests.pop(sequence, None)
