"""The listed endpoints and what follows from the list; an update costs what it names, not the list.

Nothing here decides: callers determine which endpoints may get new work and which are local.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Sequence

from balancer import interface as api
from balancer.policy.minimum import MinimumTracker
from balancer.policy.ordered_names import EndpointOrder, Insertion
from balancer.policy.records import EndpointRecord

MAX_FORGOTTEN_NAMES = 1024  # removed endpoints that are still known by name, for operators who name one


class ZoneSummary:
    """The endpoints of one zone that may get new work."""

    def __init__(self, zone: str, records: dict[str, EndpointRecord]) -> None:
        """Summarise an empty zone; `records` are those of the index."""

        def min_response_ms(name: str) -> float:
            endpoint = records.get(name)
            if endpoint is None or endpoint.order_block is None or endpoint.entry.zone != zone:
                return math.inf
            return endpoint.min_response_ms

        self.size = 0
        self.response_times = MinimumTracker(min_response_ms)


class EndpointIndex:
    """All listed endpoints, the node's order of those that may get new work, and summaries of both."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self.records: dict[str, EndpointRecord] = {}  # removed ones stay while attempts are in flight
        self.order = EndpointOrder(self.records)
        self.listed_count = 0  # of the records, those that were not removed
        self.zones: dict[str, ZoneSummary] = {}  # of those in the order
        self.cells: Counter[int] = Counter()  # of those in the order
        self.maybe_avoided: dict[str, None] = {}  # ejected or busy, perhaps no more
        self.maybe_observed: dict[str, None] = {}  # those of which something is known, perhaps no more
        self.forgotten_names: dict[str, None] = {}  # the latest that were forgotten

    def apply_entry(self, entry: api.Endpoint) -> None:
        """Take an entry of the list. An endpoint that returns or has restarted is treated as a new one."""
        endpoint = self.records.get(entry.backend)
        if endpoint is None:
            if _is_listed(entry):
                self.records[entry.backend] = EndpointRecord(entry)
                self.listed_count += 1
            return
        former = endpoint.entry
        self.listed_count += _is_listed(entry) - _is_listed(former)
        if entry.started_at > former.started_at or (_is_listed(entry) and not _is_listed(former)):
            endpoint.reset()
        if endpoint.order_block is None or (former.zone, former.cell) == (entry.zone, entry.cell):
            endpoint.entry = entry
        else:
            self._uncount(endpoint)
            endpoint.entry = entry
            self._count(endpoint)

    def insert(self, insertions: Sequence[Insertion], is_local: bool) -> None:
        """Let these endpoints have new work; see `EndpointOrder.insert`."""
        self.order.insert(insertions, is_local)
        for _, name in insertions:
            self._count(self.records[name])

    def remove(self, name: str) -> None:
        """Let an endpoint have no new work."""
        self._uncount(self.records[name])
        self.order.remove(name)

    def forget(self, endpoint: EndpointRecord) -> bool:
        """Drop the record of a removed endpoint that nothing waits for, and return whether it was dropped."""
        name = endpoint.entry.backend
        if (
            _is_listed(endpoint.entry)
            or endpoint.in_flight
            or endpoint.health_check_waiters is not None
            or self.records.get(name) is not endpoint
        ):
            return False
        del self.records[name]
        self.maybe_avoided.pop(name, None)
        self.maybe_observed.pop(name, None)
        self.forgotten_names.pop(name, None)
        self.forgotten_names[name] = None
        if len(self.forgotten_names) > MAX_FORGOTTEN_NAMES:
            del self.forgotten_names[next(iter(self.forgotten_names))]
        return True

    def window(self, first: int, last: int, remote_first: bool = False) -> list[EndpointRecord]:
        """Return the endpoints at these positions of the order; see `EndpointOrder.window`."""
        records = self.records
        return [records[name] for name in self.order.window(first, last, remote_first)]

    def min_response_ms(self, zone: str) -> float:
        """Return the lowest recent duration of a response of the endpoints in a zone."""
        return self.zones[zone].response_times.minimum() if zone in self.zones else math.inf

    def mark_changed(self, endpoint: EndpointRecord) -> None:
        """Take note that something was learned of an endpoint, or that it was ejected or is busy."""
        name = endpoint.entry.backend
        if self.records.get(name) is endpoint:
            self.maybe_observed[name] = None
            if max(endpoint.ejected_until, endpoint.busy_until) > 0.0:
                self.maybe_avoided[name] = None
            if endpoint.order_block is not None:
                self.zones[endpoint.entry.zone].response_times.update(name)

    def iter_avoided(self, now: float) -> Iterator[EndpointRecord]:
        """Yield the endpoints that may have new work but are ejected or busy at the clock time `now`."""
        for name in list(self.maybe_avoided):
            endpoint = self.records[name]
            if max(endpoint.busy_until, endpoint.ejected_until) <= now:
                del self.maybe_avoided[name]
            elif endpoint.order_block is not None:
                yield endpoint

    def _count(self, endpoint: EndpointRecord) -> None:
        name = endpoint.entry.zone
        if (zone := self.zones.get(name)) is None:
            zone = self.zones[name] = ZoneSummary(name, self.records)
        zone.size += 1
        if endpoint.min_response_ms < math.inf:
            zone.response_times.update(endpoint.entry.backend)
        self.cells[endpoint.entry.cell] += 1

    def _uncount(self, endpoint: EndpointRecord) -> None:
        zone = self.zones[endpoint.entry.zone]
        zone.size -= 1
        if not zone.size:
            del self.zones[endpoint.entry.zone]
        self.cells[endpoint.entry.cell] -= 1
        if not self.cells[endpoint.entry.cell]:
            del self.cells[endpoint.entry.cell]


def _is_listed(entry: api.Endpoint) -> bool:
    return entry.phase is not api.EndpointPhase.REMOVED
