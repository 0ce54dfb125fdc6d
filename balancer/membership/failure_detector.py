"""SWIM's failure detector (Das, Gupta, Motivala 2002): direct probes, then indirect ones by helpers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from balancer.membership.local_health import LocalHealth
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import PRESENT_STATES, Message, MessageKind, Update
from balancer.membership.peer_views import PeerViews
from balancer.membership.sender import MessageSender
from balancer.membership.suspicion import SuspicionTable

HELPER_HEARD_PERIODS = 2  # probe intervals within which a helper must have been heard
MASS_SUSPICIONS = 4  # from so many on, one helper is enough: lost datagrams do not explain them


@dataclass(slots=True)
class Probe:
    """A probe under way."""

    target: int
    max_helpers: int
    expected_nacks: int = 0
    received_nacks: int = 0

    @property
    def health_penalty(self) -> int:
        """How much the failure says about this node: helpers that sent no nack did not reach it either."""
        return self.expected_nacks - self.received_nacks if self.expected_nacks else 1


class FailureDetector:
    """Probes the present members in a round-robin over a shuffled order."""

    def __init__(
        self,
        node: LocalNode,
        sender: MessageSender,
        health: LocalHealth,
        peer_views: PeerViews,
        suspicions: SuspicionTable,
        on_failed: Callable[[int], None],
    ) -> None:
        """Create a detector without probes; `on_failed` is called with each member whose probe fails."""
        self._node = node
        self._sender = sender
        self._health = health
        self._peer_views = peer_views
        self._suspicions = suspicions
        self._on_failed = on_failed
        self._probes: dict[int, Probe] = {}  # by sequence number
        self._order: list[int] = []  # the rest of the round, the next member last

    def probe_next(self) -> None:
        """Probe the next member of the round, if there is one."""
        member = self._next_target()
        if member is not None:
            self.probe(member, self._node.config.indirect_probes)

    def probe(self, member: int, max_helpers: int, first: Update | None = None) -> None:
        """Probe a member, in the end by way of so many helpers; `first` goes ahead of piggybacked updates."""
        config = self._node.config
        sequence = self._sender.ping(member, first)
        self._probes[sequence] = Probe(member, max_helpers)
        if config.ping_retry_enabled:
            self._call_later(config.ping_timeout_ms / 2, self._retry, sequence)
        else:
            self._call_later(config.ping_timeout_ms, self._probe_indirectly, sequence)

    def on_ack(self, message: Message) -> bool:
        """End the probe that an ack answers; return whether there is one."""
        probe = self._probes.get(message.sequence)
        if probe is None or probe.target != message.subject:
            return False
        del self._probes[message.sequence]
        self._health.adjust(-1)
        return True

    def on_nack(self, message: Message) -> None:
        """Count the nack of a helper."""
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.received_nacks += 1

    def clear(self) -> None:
        """Drop all probes under way."""
        self._probes.clear()

    def forget(self, members: set[int]) -> None:
        """Drop probes of members that are gone."""
        self._probes = {
            sequence: probe for sequence, probe in self._probes.items() if probe.target not in members
        }
        self._order = [member for member in self._order if member not in members]

    def _call_later(self, timeout_ms: float, callback: Callable[[int], None], sequence: int) -> None:
        self._node.timers.call_later(self._health.scale(timeout_ms), partial(callback, sequence))

    def _next_target(self) -> int | None:
        node = self._node
        for _ in range(2):
            while self._order:
                member = self._order.pop()
                is_own_suspect = self._suspicions.is_accused_by(member, node.node_id)
                if is_own_suspect and node.config.local_health_enabled:
                    continue  # it has been probed already
                if node.view.records[member].state in PRESENT_STATES:
                    return member
            self._order = node.present_peers()
            node.random.shuffle(self._order)
        return None

    def _retry(self, sequence: int) -> None:
        """Ping once more: mostly a single datagram was lost, and indirect probes cost a dozen."""
        probe = self._probes.get(sequence)
        if probe is not None:
            self._sender.send(probe.target, MessageKind.PING, sequence, probe.target)
            self._call_later(self._node.config.ping_timeout_ms / 2, self._probe_indirectly, sequence)

    def _probe_indirectly(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        helpers = self._helpers(probe.target)
        is_mass_failure = len(self._suspicions.active) >= MASS_SUSPICIONS
        max_helpers = 1 if is_mass_failure else probe.max_helpers
        for helper in self._node.random.sample(helpers, min(max_helpers, len(helpers))):
            probe.expected_nacks += 1
            self._sender.send(helper, MessageKind.PING_REQ, sequence, probe.target)
        self._call_later(self._node.config.indirect_timeout_ms, self._fail, sequence)

    def _helpers(self, target: int) -> list[int]:
        """Return the peers that can probe a target: those heard recently, if there are any."""
        node = self._node
        peers = node.present_peers(excluded=target)
        if not node.config.local_health_enabled:
            return peers
        since_ms = node.now_ms - HELPER_HEARD_PERIODS * node.config.probe_interval_ms
        return [peer for peer in peers if self._peer_views.last_heard_ms(peer) >= since_ms] or peers

    def _fail(self, sequence: int) -> None:
        probe = self._probes.pop(sequence, None)
        if probe is None:
            return
        self._health.adjust(probe.health_penalty)
        if self._node.view.records[probe.target].state in PRESENT_STATES:
            self._on_failed(probe.target)
