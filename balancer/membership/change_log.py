"""Log lines on membership, limited in number."""

from __future__ import annotations

import logging
import math

from balancer.membership.events import DisagreementChanged, MemberChanged, SuspicionRefuted, ViewChanged
from balancer.membership.messages import MemberState

log = logging.getLogger(__name__)

MAX_MEMBER_LINES = 100  # on changes to one state, within a window
WINDOW_S = 10.0
DESCRIPTIONS = {
    MemberState.ALIVE: "is present",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
    MemberState.LEFT: "has left",
}


class ChangeLog:
    """Logs what the protocol reports; times are in seconds of any monotonic clock."""

    def __init__(self) -> None:
        """Start with nothing logged."""
        self._member_lines_s: dict[MemberState, list[float]] = {}  # when recent lines were logged
        self._suppressed = 0
        self._refutation_logged_s = -math.inf
        self._had_quorum: bool | None = None

    def member_changed(self, change: MemberChanged, now_s: float) -> None:
        """Log the new state of a member, or count the line as suppressed where there were too many."""
        recent_s = [at_s for at_s in self._member_lines_s.get(change.after, ()) if at_s > now_s - WINDOW_S]
        self._member_lines_s[change.after] = recent_s
        if len(recent_s) >= MAX_MEMBER_LINES:
            self._suppressed += 1
            return
        recent_s.append(now_s)
        if self._suppressed:
            log.info("membership: %d more changes of members were not logged", self._suppressed)
            self._suppressed = 0
        description = DESCRIPTIONS.get(change.after, change.after.name)
        log.info("membership: node %d %s", change.member, description)

    def view_changed(self, change: ViewChanged, node_count: int) -> None:
        """Log that this node has lost or regained its quorum."""
        if self._had_quorum is not None and self._had_quorum != change.has_quorum:
            verb = "regained" if change.has_quorum else "lost"
            log.info(
                "membership: quorum %s, %d of %d present (%s)",
                verb,
                change.present_count,
                node_count,
                change.reason,
            )
        self._had_quorum = change.has_quorum

    def refuted(self, refutation: SuspicionRefuted, now_s: float) -> None:
        """Log a refutation, one in a window: a node suspected often has a bad link or stalls."""
        if now_s < self._refutation_logged_s + WINDOW_S:
            return
        self._refutation_logged_s = now_s
        is_death = refutation.claimed in (MemberState.DEAD, MemberState.LEFT)
        claim = "dead" if is_death else "suspected"
        log.info("membership: refuted: peers reported this node %s", claim)

    def disagreement_changed(self, change: DisagreementChanged, alert_ms: float) -> None:
        """Log that peers' views have differed from this node's for long, or agree again."""
        if change.is_active:
            log.warning(
                "membership: views have differed for over %.0f s, %.0f%% of the peers heard recently agree",
                alert_ms / 1000,
                100 * change.agreement_ratio,
            )
        else:
            log.info("membership: views agree again")

    def peers_changed(self, node_count: int, new_count: int) -> None:
        """Log a new peer list."""
        log.info("membership: peer list changed: %d nodes, %d of them new or replaced", node_count, new_count)
