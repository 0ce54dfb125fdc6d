"""SWIM's failure detector (Das, Gupta, Motivala 2002): direct probes, then indirect probes through helpers.

A helper is a peer that pings the target of an indirect probe on behalf of the probing node.
"""

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

# Number of probe intervals within which a datagram must have come from a peer that serves as a helper.
HELPER_MAX_SILENCE_PERIODS = 2
# Number of concurrent suspicions from which a probe uses a single helper. So many suspicions are unlikely to
# be caused by lost datagrams, against which further helpers would help.
MASS_FAILURE_SUSPICIONS = 4


@dataclass(slots=True)
class Probe:
    """A probe in progress, with the nacks expected and received from its helpers."""

    target: int
    max_helpers: int
    expected_nacks: int = 0
    received_nacks: int = 0

    @property
    def health_penalty(self) -> int:
        """Amount by which a failure of this probe raises the local health score.

        A missing nack from a helper suggests that this node, not the target, is slow or unreachable.
        """
        return self.expected_nacks - self.received_nacks if self.expected_nacks else 1


class FailureDetector:
    """Probes the present members round-robin, in an order that is shuffled for each round."""

    def __init__(
        self,
        node: LocalNode,
        sender: MessageSender,
        health: LocalHealth,
        peer_views: PeerViews,
        suspicions: SuspicionTable,
        on_failed: Callable[[int], None],
    ) -> None:
        """Create a detector without probes; `on_failed` is called with each member that fails a probe."""
        self._node = node
        self._sender = sender
        self._health = health
        self._peer_views = peer_views
        self._suspicions = suspicions
        self._on_failed = on_failed
        self._probe_by_sequence: dict[int, Probe] = {}
        # Remaining targets of the current round. The next one is the last element.
        self._targets: list[int] = []

    def probe_next(self) -> None:
        """Probe the next member of the current round, or of a new round if it is complete."""
        member = self._next_target()
        if member is not None:
            self.probe(member, self._node.config.indirect_probes)

    def probe(self, member: int, max_helpers: int, first: Update | None = None) -> None:
        """Ping a member, and use up to `max_helpers` helpers if it does not answer.

        `first` is sent with the ping, before other piggybacked updates.
        """
        config = self._node.config
        sequence = self._sender.ping(member, first)
        self._probe_by_sequence[sequence] = Probe(member, max_helpers)
        if config.ping_retry_enabled:
            self._call_later(config.ping_timeout_ms / 2, self._retry, sequence)
        else:
            self._call_later(config.ping_timeout_ms, self._probe_indirectly, sequence)

    def on_ack(self, message: Message) -> bool:
        """End the probe that an ack answers; return whether the ack matched a probe."""
        probe = self._probe_by_sequence.get(message.sequence)
        if probe is None or probe.target != message.subject:
            return False
        del self._probe_by_sequence[message.sequence]
        self._health.adjust(-1)
        return True

    def on_nack(self, message: Message) -> None:
        """Count a helper's nack, which reports that the helper got no answer from the target either."""
        probe = self._probe_by_sequence.get(message.sequence)
        if probe is not None:
            probe.received_nacks += 1

    def clear(self) -> None:
        """Cancel all probes in progress."""
        self._probe_by_sequence.clear()

    def forget(self, members: set[int]) -> None:
        """Cancel probes of members that were removed from the tier."""
        self._probe_by_sequence = {
            sequence: probe
            for sequence, probe in self._probe_by_sequence.items()
            if probe.target not in members
        }
        self._targets = [member for member in self._targets if member not in members]

    def _call_later(self, timeout_ms: float, callback: Callable[[int], None], sequence: int) -> None:
        self._node.timers.call_later(self._health.scale(timeout_ms), partial(callback, sequence))

    def _next_target(self) -> int | None:
        node = self._node
        for _ in range(2):
            while self._targets:
                member = self._targets.pop()
                is_own_suspect = self._suspicions.is_accused_by(member, node.node_id)
                # A member that this node suspects has already failed a probe by this node.
                if is_own_suspect and node.config.local_health_enabled:
                    continue
                if node.view.records[member].state in PRESENT_STATES:
                    return member
            self._targets = node.present_peers()
            node.random.shuffle(self._targets)
        return None

    def _retry(self, sequence: int) -> None:
        """Ping the target a second time before probing it indirectly.

        The usual cause is one lost datagram, and an indirect probe costs a dozen datagrams.
        """
        probe = self._probe_by_sequence.get(sequence)
        if probe is not None:
            self._sender.send(probe.target, MessageKind.PING, sequence, probe.target)
            self._call_later(self._node.config.ping_timeout_ms / 2, self._probe_indirectly, sequence)

    def _probe_indirectly(self, sequence: int) -> None:
        probe = self._probe_by_sequence.get(sequence)
        if probe is None:
            return
        helpers = self._helpers(probe.target)
        is_mass_failure = len(self._suspicions.active) >= MASS_FAILURE_SUSPICIONS
        max_helpers = 1 if is_mass_failure else probe.max_helpers
        for helper in self._node.random.sample(helpers, min(max_helpers, len(helpers))):
            probe.expected_nacks += 1
            self._sender.send(helper, MessageKind.PING_REQ, sequence, probe.target)
        self._call_later(self._node.config.indirect_timeout_ms, self._fail, sequence)

    def _helpers(self, target: int) -> list[int]:
        """Return the peers heard from recently as helpers for a target, or all present peers if none."""
        node = self._node
        peers = node.present_peers(excluded=target)
        if not node.config.local_health_enabled:
            return peers
        since_ms = node.now_ms - HELPER_MAX_SILENCE_PERIODS * node.config.probe_interval_ms
        return [peer for peer in peers if self._peer_views.last_heard_ms(peer) >= since_ms] or peers

    def _fail(self, sequence: int) -> None:
        probe = self._probe_by_sequence.pop(sequence, None)
        if probe is None:
            return
        self._health.adjust(probe.health_penalty)
        if self._node.view.records[probe.target].state in PRESENT_STATES:
            self._on_failed(probe.target)
