"""Views last reported by peers, and whether they agree with this node's view."""

from __future__ import annotations

import math
from typing import NamedTuple

from balancer.membership.events import DisagreementChanged
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import PRESENT_STATES

# Number of probe intervals for which a peer's view report counts as recent.
RECENT_PERIODS = 15


class ViewReport(NamedTuple):
    """State hash of a peer's view, from the last datagram of the peer."""

    received_ms: float
    state_hash: int


class PeerViews:
    """Stores the view report of each peer, and detects disagreement that lasts."""

    def __init__(self, node: LocalNode) -> None:
        """Start without reports, in agreement."""
        self.reports: dict[int, ViewReport] = {}
        self._node = node
        self._disagreeing_since_ms: float | None = None
        self._is_alerted = False

    def record(self, member: int, state_hash: int) -> None:
        """Store the state hash that a peer's datagram reported."""
        self.reports[member] = ViewReport(self._node.now_ms, state_hash)

    def forget(self, member: int) -> None:
        """Drop the view report of a removed peer."""
        self.reports.pop(member, None)

    def last_heard_ms(self, member: int) -> float:
        """Return the time of a peer's last datagram, or minus infinity if there was none."""
        report = self.reports.get(member)
        return -math.inf if report is None else report.received_ms

    def agreement_ratio(self) -> float:
        """Return the fraction of the present peers heard from recently whose view equals this node's.

        Reports from before the last change of this node's view do not count.
        """
        agreements = self._recent_agreements()
        return sum(agreements) / len(agreements) if agreements else 1.0

    def check_disagreement(self) -> None:
        """Emit DisagreementChanged when disagreement exceeds the alert time, and when it ends."""
        node = self._node
        agreements = self._recent_agreements()
        ratio = sum(agreements) / len(agreements) if agreements else 1.0
        if ratio < 1.0:
            if self._disagreeing_since_ms is None:
                self._disagreeing_since_ms = node.now_ms
            lasted_ms = node.now_ms - self._disagreeing_since_ms
            if not self._is_alerted and lasted_ms >= node.config.disagreement_alert_ms:
                self._is_alerted = True
                node.emit(DisagreementChanged(True, ratio))
        elif agreements:
            self._disagreeing_since_ms = None
            if self._is_alerted:
                self._is_alerted = False
                node.emit(DisagreementChanged(False, ratio))

    def _recent_agreements(self) -> list[bool]:
        node = self._node
        since_ms = max(node.now_ms - RECENT_PERIODS * node.config.probe_interval_ms, node.view_changed_ms)
        records = node.view.records
        return [
            report.state_hash == node.view.state_hash
            for member, report in self.reports.items()
            if report.received_ms >= since_ms and records[member].state in PRESENT_STATES
        ]
