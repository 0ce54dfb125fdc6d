"""Rate-limited logging of membership changes."""

from __future__ import annotations

import logging
import math

from balancer.membership.events import DisagreementChanged, MemberChanged, SuspicionRefuted, ViewChanged
from balancer.membership.messages import MemberState

log = logging.getLogger(__name__)

# Limit on log lines per window for members that change to the same state.
MAX_LINES_PER_STATE = 100
LOG_WINDOW_S = 10.0
STATE_DESCRIPTIONS = {
    MemberState.ALIVE: "is present",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
    MemberState.LEFT: "has left",
}


class ChangeLog:
    """Logs membership events; all times are seconds of the same monotonic clock."""

    def __init__(self) -> None:
        """Start with empty rate-limit windows."""
        self._line_times_s: dict[MemberState, list[float]] = {}
        self._suppressed_count = 0
        self._refutation_logged_s = -math.inf
        self._had_quorum: bool | None = None

    def member_changed(self, change: MemberChanged, now_s: float) -> None:
        """Log the new state of a member, or count the line as suppressed if the rate limit is reached."""
        recent_s = [at_s for at_s in self._line_times_s.get(change.after, ()) if at_s > now_s - LOG_WINDOW_S]
        self._line_times_s[change.after] = recent_s
        if len(recent_s) >= MAX_LINES_PER_STATE:
            self._suppressed_count += 1
            return
        recent_s.append(now_s)
        if self._suppressed_count:
            log.info(
                "membership: %d changes of member states were not logged, the rate limit was reached",
                self._suppressed_count,
            )
            self._suppressed_count = 0
        description = STATE_DESCRIPTIONS.get(change.after, change.after.name)
        log.info("membership: node %d %s", change.member, description)

    def view_changed(self, change: ViewChanged, node_count: int) -> None:
        """Log the loss or recovery of the quorum, that is, of more than half of the tier being present."""
        if self._had_quorum is not None and self._had_quorum != change.has_quorum:
            verb = "regained" if change.has_quorum else "lost"
            log.info(
                "membership: quorum %s, %d of %d nodes present (%s)",
                verb,
                change.present_count,
                node_count,
                change.reason,
            )
        self._had_quorum = change.has_quorum

    def refuted(self, refutation: SuspicionRefuted, now_s: float) -> None:
        """Log at most one refutation per window.

        A node that has to refute often has a bad link or stalls.
        """
        if now_s < self._refutation_logged_s + LOG_WINDOW_S:
            return
        self._refutation_logged_s = now_s
        is_death = refutation.claimed in (MemberState.DEAD, MemberState.LEFT)
        claim = "dead" if is_death else "suspected"
        log.info("membership: refuted the claim of peers that this node is %s", claim)

    def disagreement_changed(self, change: DisagreementChanged, alert_ms: float) -> None:
        """Log that peers' views have differed from this node's view for too long, or agree again."""
        if change.is_active:
            log.warning(
                "membership: views have differed for over %.0f s, "
                "only %.0f%% of the peers heard from recently agree",
                alert_ms / 1000,
                100 * change.agreement_ratio,
            )
        else:
            log.info("membership: all peers heard from recently share the view of this node again")

    def peers_changed(self, node_count: int, new_count: int) -> None:
        """Log the size of a new peer list and the number of new or replaced nodes."""
        log.info("membership: peer list changed: %d nodes, %d of them new or replaced", node_count, new_count)
