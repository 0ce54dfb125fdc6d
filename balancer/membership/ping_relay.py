"""SWIM's indirect probes on the helper's side: pings on behalf of peers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from balancer.membership.local_node import LocalNode
from balancer.membership.messages import Message, MessageKind
from balancer.membership.sender import MessageSender

NACK_SHARE = 0.8  # of the ping timeout, after which the requester is sent a nack


@dataclass(slots=True, frozen=True)
class PingRequest:
    """The peer on whose behalf a member was pinged, and the sequence number under which it asked."""

    requester: int
    sequence: int
    subject: int


class PingRelay:
    """Forwards acks to the requesters of indirect probes, and nacks in time (Lifeguard)."""

    def __init__(self, node: LocalNode, sender: MessageSender) -> None:
        """Create a relay without requests."""
        self._node = node
        self._sender = sender
        self._requests: dict[int, PingRequest] = {}  # by this node's own sequence number

    def ping(self, message: Message) -> None:
        """Ping the subject of a request."""
        sequence = self._sender.ping(message.subject)
        self._requests[sequence] = PingRequest(message.sender, message.sequence, message.subject)
        wait_ms = self._node.config.ping_timeout_ms * NACK_SHARE
        self._node.timers.call_later(wait_ms, partial(self._send_nack, sequence))

    def forward_ack(self, message: Message) -> None:
        """Pass an ack on if it answers a ping on behalf of a peer."""
        request = self._requests.pop(message.sequence, None)
        if request is not None:
            self._sender.send(request.requester, MessageKind.ACK, request.sequence, message.subject)

    def clear(self) -> None:
        """Drop all requests."""
        self._requests.clear()

    def forget(self, members: set[int]) -> None:
        """Drop the requests of members that are gone, and those to ping them."""
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
