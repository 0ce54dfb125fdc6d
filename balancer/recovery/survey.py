"""Evidence about the state of the tier: status reports of peers, and membership's view."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from balancer.recovery.context import RecoveryContext
from balancer.recovery.messages import NodeStatus, node_bits
from balancer.recovery.phases import Classification, Phase, classify_recovery, established_peers

PRESENCE_TIMEOUT_MS = 10_000.0  # a peer counts as present for 10 s after a report
MAX_FRESH_REPORT_AGE_MS = 3000.0  # the demand and warmth in reports older than 3 s do not count


@dataclass(slots=True, frozen=True)
class PeerReport:
    """Last status report of a peer."""

    status: NodeStatus
    received_at: float


class PeerSurvey:
    """Status reports of the peers, and the members that membership sees."""

    def __init__(self, context: RecoveryContext) -> None:
        """Create a survey that knows only this node."""
        self.reports: dict[int, PeerReport] = {}  # maps node numbers to the last reports of the peers
        # True once a peer that did not restart with this node has reported.
        self.has_established_peers = False
        self._context = context
        self._members: frozenset[int] = frozenset({context.node})
        self._quorum_seen = False  # true if membership sees a quorum
        self._reported_nodes = 0  # each bit stands for a node that a peer has reported as present

    def record(self, node: int, status: NodeStatus) -> None:
        """Record a status report of a peer."""
        self.reports[node] = PeerReport(status, self._context.now)
        self._reported_nodes |= status.present_nodes
        if self._context.phase <= Phase.ASK and not self.has_established_peers:
            established = established_peers(self.statuses(), self._context.node_count)
            self.has_established_peers = bool(established)

    def set_members(self, nodes: Iterable[int], quorum: bool) -> None:
        """Record membership's view of the present nodes."""
        valid = frozenset(node for node in nodes if 0 <= node < self._context.node_count)
        self._members = valid | {self._context.node}
        self._quorum_seen = quorum

    def forget(self, nodes: set[int]) -> None:
        """Remove nodes that have left the tier or were replaced."""
        self._members -= nodes
        self._reported_nodes &= ~node_bits(nodes)
        for node in nodes:
            self.reports.pop(node, None)

    def statuses(self) -> list[NodeStatus]:
        """Return the last status of each peer, in order of node numbers."""
        return [report.status for _, report in sorted(self.reports.items())]

    def fresh_statuses(self) -> list[NodeStatus]:
        """Return the statuses of the peers that have reported within `MAX_FRESH_REPORT_AGE_MS`."""
        since = self._context.now - MAX_FRESH_REPORT_AGE_MS
        return [report.status for report in self.reports.values() if report.received_at >= since]

    def fresh_status(self, node: int) -> NodeStatus | None:
        """Return a peer's status if it was received within `MAX_FRESH_REPORT_AGE_MS`, otherwise None."""
        report = self.reports.get(node)
        if report is None or report.received_at < self._context.now - MAX_FRESH_REPORT_AGE_MS:
            return None
        return report.status

    def present(self) -> set[int]:
        """Return this node, the members, and the peers that have reported recently."""
        since = self._context.now - PRESENCE_TIMEOUT_MS
        reporting = (node for node, report in self.reports.items() if report.received_at >= since)
        return {*self._members, *reporting}

    def present_peers(self) -> list[int]:
        """Return all present nodes except this one, in order of node numbers."""
        return sorted(self.present() - {self._context.node})

    def has_majority(self) -> bool:
        """Return whether more than half of the tier is present."""
        return 2 * len(self.present()) > self._context.node_count

    def polling_node_count(self) -> int:
        """Return the number of nodes that share poll slots: the present ones, or all without a majority."""
        return len(self.present()) if self.has_majority() else self._context.node_count

    def recovering_count(self) -> int:
        """Return the number of present peers that are recovering."""
        since = self._context.now - PRESENCE_TIMEOUT_MS
        return sum(
            report.received_at >= since and report.status.phase < Phase.FULL
            for report in self.reports.values()
        )

    def heard_bits(self) -> int:
        """Return the bit mask of this node and of all peers that have reported."""
        return node_bits({*self.reports, self._context.node})

    def present_bits(self) -> int:
        """Return the bit mask of the present nodes."""
        return node_bits(self.present())

    def missing(self) -> list[int]:
        """Return the nodes that membership or peers see as present but that have not reported."""
        seen = (self._reported_nodes | node_bits(self._members)) & ~self.heard_bits()
        limit = min(self._context.node_count, seen.bit_length())
        return [node for node in range(limit) if seen >> node & 1]

    def classify(self) -> Classification:
        """Classify this recovery by the reports received so far."""
        present = len(self.reports) + 1
        if self._quorum_seen:
            present = max(present, len(self._members))
        config = self._context.config
        return classify_recovery(
            self.statuses(), self._context.node_count, present, config.established_after_ms
        )
