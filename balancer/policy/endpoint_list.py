"""Applies updates of the endpoint list and of maintenance bans to the node's order of endpoints."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from balancer import interface as api
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.maintenance import Maintenance
from balancer.policy.records import EndpointRecord
from balancer.policy.selection import Selection
from balancer.policy.subsetting import Subsetting
from balancer.policy.zone_routing import ZoneRouting


@dataclass(slots=True, eq=False)
class EndpointList:
    """Updates index, order, subset size and cached candidates when the list changes.

    `_is_receiving_first_list` is set while the first list arrives, which may take several events.
    """

    rng: random.Random
    index: EndpointIndex
    eligibility: Eligibility
    maintenance: Maintenance
    subsetting: Subsetting
    zones: ZoneRouting
    limit: ConcurrencyLimit
    selection: Selection
    _node_count: int = field(default=1, init=False)
    _is_receiving_first_list: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings, zones_changed: bool) -> None:
        """Apply new settings after all other components.

        `zones_changed` tells whether the settings change which endpoints are local.
        """
        self._node_count = settings.node_count
        if zones_changed:
            self.index.order.partition(self.zones.is_local)
        self.selection.candidates.clear()
        self._resize()

    def apply(self, update: api.ListUpdate) -> None:
        """Apply a list update of any kind but `FAILED`."""
        entries = update.entries
        if update.kind is not api.ListUpdateKind.DELTA:
            records = self.index.records
            missing = sorted(records.keys() - {entry.backend for entry in entries})
            entries = [
                replace(records[name].entry, phase=api.EndpointPhase.REMOVED) for name in missing
            ] + entries
        for entry in entries:
            self.index.apply_entry(entry)
        self.refresh({entry.backend: None for entry in entries}, update.more_follows)

    def refresh(self, names: Iterable[str], more_follows: bool = False) -> None:
        """Update the order after endpoints may have started or stopped to be in service."""
        index = self.index
        is_first = not index.order
        self._is_receiving_first_list = self._is_receiving_first_list or is_first
        changed = [endpoint for name in names if (endpoint := index.records.get(name)) is not None]
        added = self._remove_and_move(changed)
        if is_first:
            self._insert_initial(sorted(endpoint.entry.backend for endpoint in added))
        else:
            self._insert(added)
        self.selection.discard_changed(changed)
        self._resize()
        if self._is_receiving_first_list:
            self.zones.reset_spill(self.subsetting.local_count, len(index.order))
        self._is_receiving_first_list = self._is_receiving_first_list and more_follows

    def forget(self, endpoint: EndpointRecord) -> None:
        """Drop a removed endpoint with nothing in flight; otherwise changing lists would leak memory."""
        if self.index.forget(endpoint):
            self.maintenance.forget(endpoint.entry.backend)

    def _remove_and_move(self, changed: list[EndpointRecord]) -> list[EndpointRecord]:
        """Remove endpoints that left service, move those that changed zone, and return those to add."""
        added = list[EndpointRecord]()
        moved = list[str]()
        for endpoint in changed:
            name = endpoint.entry.backend
            if endpoint.order_block is None:
                if self.eligibility.is_in_service(endpoint):
                    added.append(endpoint)
            elif not self.eligibility.is_in_service(endpoint):
                self.index.remove(name)
            elif endpoint.is_local != self.zones.is_local(endpoint):
                moved.append(name)
            if endpoint.entry.phase is api.EndpointPhase.REMOVED:
                self.forget(endpoint)
        self.index.order.switch_sides(moved)
        return added

    def _insert(self, added: list[EndpointRecord]) -> None:
        for is_local in (True, False):
            names = [e.entry.backend for e in added if self.zones.is_local(e) is is_local]
            side_size = len(self.index.order.side(is_local))
            insertions = self.subsetting.insertions(names, side_size, self.maintenance.positions)
            self.index.insert(insertions, is_local)

    def _insert_initial(self, names: list[str]) -> None:
        records = self.index.records
        local_names = {name for name in names if self.zones.is_local(records[name])}
        order = self.subsetting.initial_order(names, local_names, self.rng)
        for is_local in (True, False):
            side = [(0, name) for name in order if (name in local_names) is is_local]
            self.index.insert(side, is_local)

    def _resize(self) -> None:
        self.subsetting.resize()
        self.limit.resize(len(self.index.order), self._node_count)
