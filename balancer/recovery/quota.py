"""This node's quota of the capacity of cold backends, by demand."""

from __future__ import annotations

import math
import statistics

from balancer.recovery.actions import CapacityGranted
from balancer.recovery.context import RecoveryContext
from balancer.recovery.demand_share import demand_weighted_share
from balancer.recovery.survey import PeerSurvey
from balancer.recovery.trust import StateKind

QUOTA_INTERVAL_MS = 250.0  # between two looks at what peers report
NOTICEABLE_CHANGE = 0.05  # of a share or a rate


class CapacityQuota:
    """Demand at this node, and the share that follows from it and from what peers report."""

    def __init__(self, context: RecoveryContext, survey: PeerSurvey) -> None:
        """Create the quota of a node without demand."""
        self.demand = math.inf  # requests in the last second at this node; infinite: unknown
        self.saved_rate = 0.0  # requests a second that this node carried when warm, as it was saved
        self.next_review_at = context.now
        self.context = context
        self.survey = survey
        self._granted: CapacityGranted | None = None

    @property
    def share(self) -> float:
        """Part of a budget that all nodes share; all sides of any partition take 1.5 at most.

        Where one node has most of the demand the others count it as half, and may take up to 0.4 more
        together than is theirs: more than comes to them.
        """
        present = self.survey.present()
        node_count = self.context.node_count
        limit = 1.0 if 2 * len(present) > node_count else len(present) / node_count
        return limit * demand_weighted_share(self.demand, self._peer_demands())

    @property
    def tier_rate(self) -> float:
        """Requests a second of the whole tier when warm, by the median, which no few can move. 0: unknown."""
        rates = [
            report.status.warm_rate for report in self.survey.reports.values() if report.status.warm_rate > 0
        ]
        if own := self.own_rate():
            rates.append(own)
        return statistics.median(rates) * self.context.node_count if rates else 0.0

    def own_rate(self) -> float:
        """Return requests a second of this node when warm; 0: unknown."""
        return self.saved_rate if self.context.is_trusted(StateKind.WARM_RATE) else 0.0

    def review_soon(self) -> None:
        """Grant anew at the next event."""
        self.next_review_at = self.context.now

    def review(self) -> None:
        """Grant the share anew, if it is time to and it has changed noticeably."""
        if self.context.now < self.next_review_at:
            return
        self.next_review_at = self.context.now + QUOTA_INTERVAL_MS
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
    return abs(before - after) > NOTICEABLE_CHANGE * max(before, after)
