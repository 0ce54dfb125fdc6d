"""Quota of the cold backends' capacity that this node may use, according to demand."""

from __future__ import annotations

import math
import statistics

from balancer.recovery.actions import CapacityGranted
from balancer.recovery.context import RecoveryContext
from balancer.recovery.demand_share import demand_weighted_share
from balancer.recovery.survey import PeerSurvey
from balancer.recovery.trust import StateKind

QUOTA_REVIEW_INTERVAL_MS = 250.0
MIN_RELATIVE_CHANGE = 0.05  # changes of a share or rate by less than 5 % are not reported


class CapacityQuota:
    """Demand at this node, and the capacity share that results from it and from the peers' demand."""

    def __init__(self, context: RecoveryContext, survey: PeerSurvey) -> None:
        """Create the quota of a node whose demand is unknown."""
        self.demand = math.inf  # an infinite number of requests/s stands for an unknown demand
        # The requests/s that this node carried when warm, according to its disk; 0 if unknown.
        self.saved_rate = 0.0
        self.next_review_at = context.now
        self.context = context
        self.survey = survey
        self._granted: CapacityGranted | None = None

    @property
    def share(self) -> float:
        """Fraction that this node may use of a budget shared by all nodes.

        The limits of all sides of a partition add up to at most 1.5 budgets. If one node has most of the
        demand, the others count it as at most four fifths of the total. Together they may then use up to 0.16
        of the budget more than their part, which exceeds the demand that they have.
        """
        present = self.survey.present()
        node_count = self.context.node_count
        limit = 1.0 if 2 * len(present) > node_count else len(present) / node_count
        return limit * demand_weighted_share(self.demand, self._peer_demands())

    @property
    def tier_rate(self) -> float:
        """Requests/s of the whole tier when warm, by the median, which resists outliers; 0 if unknown."""
        rates = [
            report.status.warm_rate for report in self.survey.reports.values() if report.status.warm_rate > 0
        ]
        if own := self.own_rate():
            rates.append(own)
        return statistics.median(rates) * self.context.node_count if rates else 0.0

    def own_rate(self) -> float:
        """Return the requests per second of this node when warm; 0 if unknown."""
        return self.saved_rate if self.context.is_trusted(StateKind.WARM_RATE) else 0.0

    def review_soon(self) -> None:
        """Schedule a review of the share for the next event."""
        self.next_review_at = self.context.now

    def review(self) -> None:
        """Report the share if a review is due and the share has changed noticeably."""
        if self.context.now < self.next_review_at:
            return
        self.next_review_at = self.context.now + QUOTA_REVIEW_INTERVAL_MS
        current = CapacityGranted(self.share, self.context.cold_since, self.tier_rate)
        if self._granted is None or _differs_noticeably(self._granted, current):
            self._granted = current
            self.context.actions.append(current)

    def _peer_demands(self) -> list[float]:
        statuses = [self.survey.fresh_status(node) for node in self.survey.present_peers()]
        return [status.demand if status is not None else math.inf for status in statuses]


def _differs_noticeably(granted: CapacityGranted, current: CapacityGranted) -> bool:
    return (
        granted.cold_since != current.cold_since
        or _is_noticeable(granted.share, current.share)
        or _is_noticeable(granted.tier_rate, current.tier_rate)
    )


def _is_noticeable(before: float, after: float) -> bool:
    return abs(before - after) > MIN_RELATIVE_CHANGE * max(before, after)
