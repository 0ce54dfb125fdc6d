"""Endpoint list of a recovering node: the saved list, restricted by peers, until discovery sends a list."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from balancer.recovery.actions import RestrictSavedList
from balancer.recovery.context import RecoveryContext
from balancer.recovery.events import ListReceived
from balancer.recovery.list_filter import excluded_ids
from balancer.recovery.messages import ListFilter
from balancer.recovery.phases import Phase
from balancer.recovery.trust import StateKind


@dataclass(slots=True, frozen=True)
class FreshList:
    """Endpoint list that discovery has sent to this process."""

    start_times: tuple[float, ...]  # start times in the future have been replaced


class SavedList:
    """Saved endpoint list, with the list that replaces it and the filter that restricts it."""

    def __init__(self, context: RecoveryContext) -> None:
        """Create the state of a node without a list."""
        self.revision = 0  # the node serves from the list with this revision
        self.saved_ids: tuple[str, ...] = ()
        self.restricted_ids: frozenset[str] = frozenset()
        self.fresh: FreshList | None = None
        self.newest_filter: ListFilter | None = None  # the newest of all filters that peers have sent
        self.context = context
        self._ahead_since = (
            math.inf
        )  # the time is infinite until discovery has sent a start time in the future

    def set_saved(self, ids: tuple[str, ...]) -> None:
        """Set the backends of the saved list."""
        self.saved_ids = ids
        self.restrict()

    def receive(self, event: ListReceived) -> None:
        """Replace the saved list with the list from discovery."""
        is_first = self.fresh is None
        self.fresh = FreshList(self._clamped(event.start_times))
        self.context.has_fresh_list = True
        self.revision = event.revision
        if is_first:
            self.restrict()

    def receive_filter(self, list_filter: ListFilter) -> None:
        """Restrict the saved list by a peer's filter if the filter is newer than earlier ones."""
        if self.newest_filter is None or list_filter.revision > self.newest_filter.revision:
            self.newest_filter = list_filter
            self.restrict()

    def restrict(self) -> None:
        """Avoid backends that peers know are removed, or an untrusted list, until discovery sends a list."""
        ids = self._excluded()
        if ids != self.restricted_ids:
            self.restricted_ids = ids
            self.context.actions.append(RestrictSavedList(ids))

    def known_revision(self) -> int:
        """Return the list revision to report to peers; 0 if unknown."""
        is_known = self.fresh is not None or self.context.is_trusted(StateKind.REVISION)
        return self.revision if is_known else 0

    def _excluded(self) -> frozenset[str]:
        if self.fresh is not None or self.context.phase < Phase.LISTED:
            return frozenset()
        if not self.context.is_trusted(StateKind.LIST):
            return frozenset(self.saved_ids)
        if self.newest_filter is None or self.newest_filter.revision <= self.known_revision():
            return frozenset()
        self.context.counts["restrictions"] += 1
        return excluded_ids(self.newest_filter, self.saved_ids)

    def _clamped(self, starts: Sequence[float]) -> tuple[float, ...]:
        """Replace start times in the future by the time at which the first such time was received."""
        now = self.context.now
        if self._ahead_since == math.inf and any(start > now for start in starts):
            self._ahead_since = now
        return tuple(start if start <= now else self._ahead_since for start in starts)
