"""Evidence about the tier: status reports of peers, and the membership's view."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from balancer.recovery.context import RecoveryContext
from balancer.recovery.messages import NodeStatus, node_bits
from balancer.recovery.phases import Classification, Phase, classify_recovery, established_peers

PRESENCE_MS = 10_000.0  # for which a report counts as presence
FRESHNESS_MS = 3000.0  # for which a report's demand and warmth count


@dataclass(slots=True, frozen=True)
class PeerReport:
    """What a peer last reported of itself."""

    status: NodeStatus
    received_at: float


class PeerSurvey:
    """Reports of the peers, and the members."""

    def __init__(self, context: RecoveryContext) -> None:
        """Create a survey that knows of this node alone."""
        self.reports: dict[int, PeerReport] = {}  # by node
        self.has_established_peers = False  # some that did not restart with this node have reported
        self._context = context
        self._members: frozenset[int] = frozenset({context.node})
        self._quorum_seen = False  # by the membership
        self._reported_nodes = 0  # bits of all whom peers report as present

    def record(self, node: int, status: NodeStatus) -> None:
        """Record a peer's report."""
        self.reports[node] = PeerReport(status, self._context.now)
        self._reported_nodes |= status.present_nodes
        if self._context.phase <= Phase.ASK and not self.has_established_peers:
            established = established_peers(self.statuses(), self._context.node_count)
            self.has_established_peers = bool(established)

    def set_members(self, nodes: Iterable[int], quorum: bool) -> None:
        """Record the membership's view."""
        valid = frozenset(node for node in nodes if 0 <= node < self._context.node_count)
        self._members = valid | {self._context.node}
        self._quorum_seen = quorum

    def forget(self, nodes: set[int]) -> None:
        """Drop nodes that are gone, or replaced."""
        self._members -= nodes
        self._reported_nodes &= ~node_bits(nodes)
        for node in nodes:
            self.reports.pop(node, None)

    def statuses(self) -> list[NodeStatus]:
        """Return the last status of each peer, by node."""
        return [report.status for _, report in sorted(self.reports.items())]

    def fresh_statuses(self) -> list[NodeStatus]:
        """Return those that came a short time ago."""
        since = self._context.now - FRESHNESS_MS
        return [report.status for report in self.reports.values() if report.received_at >= since]

    def fresh_status(self, node: int) -> NodeStatus | None:
        """Return a peer's, if it came a short time ago."""
        report = self.reports.get(node)
        if report is None or report.received_at < self._context.now - FRESHNESS_MS:
            return None
        return report.status

    def present(self) -> set[int]:
        """Return this node, the members, and the peers that were heard lately."""
        since = self._context.now - PRESENCE_MS
        reporting = (node for node, report in self.reports.items() if report.received_at >= since)
        return {*self._members, *reporting}

    def present_peers(self) -> list[int]:
        """Return those present but this node, in order."""
        return sorted(self.present() - {self._context.node})

    def has_majority(self) -> bool:
        """Return whether more than half of the tier is present."""
        return 2 * len(self.present()) > self._context.node_count

    def polling_nodes(self) -> int:
        """Return how many nodes share the slots of discovery: those present, or all without a majority."""
        return len(self.present()) if self.has_majority() else self._context.node_count

    def recovering_count(self) -> int:
        """Return how many peers are recovering."""
        since = self._context.now - PRESENCE_MS
        return sum(
            report.received_at >= since and report.status.phase < Phase.FULL
            for report in self.reports.values()
        )

    def heard_bits(self) -> int:
        """Return the bits of this node and of all peers that were heard."""
        return node_bits({*self.reports, self._context.node})

    def present_bits(self) -> int:
        """Return the bits of those present."""
        return node_bits(self.present())

    def missing(self) -> list[int]:
        """Return who is present by the membership or by reports, and has not reported itself."""
        seen = (self._reported_nodes | node_bits(self._members)) & ~self.heard_bits()
        limit = min(self._context.node_count, seen.bit_length())
        return [node for node in range(limit) if seen >> node & 1]

    def classify(self) -> Classification:
        """Classify this recovery by the reports so far."""
        present = len(self.reports) + 1
        if self._quorum_seen:
            present = max(present, len(self._members))
        config = self._context.config
        return classify_recovery(
            self.statuses(), self._context.node_count, present, config.established_after_ms
        )
