"""The endpoint list of a recovering node: the saved one, restricted by peers, until discovery sends one."""

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
    """What discovery has sent in this process."""

    start_times: tuple[float, ...]  # of the backends, node clock, none ahead of it


class SavedList:
    """The saved list, and what replaces or restricts it."""

    def __init__(self, context: RecoveryContext) -> None:
        """Create the record of a node that has no list."""
        self.revision = 0  # of the list that is served from
        self.saved_ids: tuple[str, ...] = ()
        self.restricted_ids: frozenset[str] = frozenset()
        self.fresh: FreshList | None = None
        self.newest_filter: ListFilter | None = None  # of a peer
        self.context = context
        self._ahead_since = math.inf  # when discovery first sent a start time ahead of this clock

    def set_saved(self, ids: tuple[str, ...]) -> None:
        """Set the backends of the saved list."""
        self.saved_ids = ids
        self.restrict()

    def receive(self, event: ListReceived) -> None:
        """Replace the saved list by discovery's."""
        is_first = self.fresh is None
        self.fresh = FreshList(self._clamped(event.start_times))
        self.context.has_fresh_list = True
        self.revision = event.revision
        if is_first:
            self.restrict()

    def receive_filter(self, list_filter: ListFilter) -> None:
        """Restrict the saved list by a peer's filter, if it is the newest one."""
        if self.newest_filter is None or list_filter.revision > self.newest_filter.revision:
            self.newest_filter = list_filter
            self.restrict()

    def restrict(self) -> None:
        """Avoid what peers know to be gone, or a list that is not trusted, until discovery sends one."""
        ids = self._excluded()
        if ids != self.restricted_ids:
            self.restricted_ids = ids
            self.context.actions.append(RestrictSavedList(ids))

    def known_revision(self) -> int:
        """Return the revision to tell peers; 0: unknown."""
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
        """Replace start times ahead of this clock by the time when the first one was seen."""
        now = self.context.now
        if self._ahead_since == math.inf and any(start > now for start in starts):
            self._ahead_since = now
        return tuple(start if start <= now else self._ahead_since for start in starts)
