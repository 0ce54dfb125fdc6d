"""An index of the listed endpoints; the cost of an update depends on its entries, not on the list's length.

The index makes no decisions: its callers determine which endpoints may get new requests and which are local.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Sequence

from balancer import interface as api
from balancer.policy.minimum import MinimumTracker
from balancer.policy.ordered_names import EndpointOrder, Insertion
from balancer.policy.records import EndpointRecord

MAX_FORGOTTEN_NAMES = 1024  # Operators may still refer to a removed endpoint by its name.


class ZoneSummary:
    """A summary of the endpoints of one zone that may get new requests."""

    def __init__(self, zone: str, records: dict[str, EndpointRecord]) -> None:
        """Create the summary of an empty zone; `records` are those of the index."""

        def min_response_ms(name: str) -> float:
            endpoint = records.get(name)
            if endpoint is None or endpoint.order_block is None or endpoint.entry.zone != zone:
                return math.inf
            return endpoint.min_response_ms

        self.size = 0
        self.response_times = MinimumTracker(min_response_ms)


class EndpointIndex:
    """All listed endpoints, and the node's order of those that may get new requests.

    `records` keeps removed endpoints while attempts are in flight; `listed_count` leaves them out. `zones`
    and `cells` summarise the endpoints in `order`. `maybe_avoided` and `maybe_observed` have the names of
    endpoints that may be ejected or busy, or that may have statistics; entries can be out of date.
    `forgotten_names` are those of the endpoints that were dropped last.
    """

    def __init__(self) -> None:
        """Create an index without endpoints."""
        self.records: dict[str, EndpointRecord] = {}
        self.order = EndpointOrder(self.records)
        self.listed_count = 0
        self.zones: dict[str, ZoneSummary] = {}
        self.cells: Counter[int] = Counter()
        self.maybe_avoided: dict[str, None] = {}
        self.maybe_observed: dict[str, None] = {}
        self.forgotten_names: dict[str, None] = {}

    def apply_entry(self, entry: api.Endpoint) -> None:
        """Apply an entry of the list; the state of an endpoint that returned or restarted is reset."""
        endpoint = self.records.get(entry.backend)
        if endpoint is None:
            if _is_listed(entry):
                self.records[entry.backend] = EndpointRecord(entry)
                self.listed_count += 1
            return
        previous = endpoint.entry
        self.listed_count += _is_listed(entry) - _is_listed(previous)
        if entry.started_at > previous.started_at or (_is_listed(entry) and not _is_listed(previous)):
            endpoint.reset()
        if endpoint.order_block is None or (previous.zone, previous.cell) == (entry.zone, entry.cell):
            endpoint.entry = entry
        else:
            self._remove_from_summaries(endpoint)
            endpoint.entry = entry
            self._add_to_summaries(endpoint)

    def insert(self, insertions: Sequence[Insertion], is_local: bool) -> None:
        """Add endpoints to the order, so that they get new requests; see `EndpointOrder.insert`."""
        self.order.insert(insertions, is_local)
        for _, name in insertions:
            self._add_to_summaries(self.records[name])

    def remove(self, name: str) -> None:
        """Remove an endpoint from the order, so that it gets no new requests."""
        self._remove_from_summaries(self.records[name])
        self.order.remove(name)

    def forget(self, endpoint: EndpointRecord) -> bool:
        """Drop the record of a removed endpoint that is no longer in use; return whether it was dropped."""
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
        """Return the endpoints at a range of positions of the order; see `EndpointOrder.window`."""
        records = self.records
        return [records[name] for name in self.order.window(first, last, remote_first)]

    def min_response_ms(self, zone: str) -> float:
        """Return the lowest recent response time of the endpoints in a zone, or infinity if there is none."""
        return self.zones[zone].response_times.minimum() if zone in self.zones else math.inf

    def mark_changed(self, endpoint: EndpointRecord) -> None:
        """Record that the statistics of an endpoint changed, or that it was ejected or is busy."""
        name = endpoint.entry.backend
        if self.records.get(name) is endpoint:
            self.maybe_observed[name] = None
            if max(endpoint.ejected_until, endpoint.busy_until) > 0.0:
                self.maybe_avoided[name] = None
            if endpoint.order_block is not None:
                self.zones[endpoint.entry.zone].response_times.update(name)

    def iter_avoided(self, now: float) -> Iterator[EndpointRecord]:
        """Yield the endpoints in the order that are ejected or busy at the clock time `now`."""
        for name in list(self.maybe_avoided):
            endpoint = self.records[name]
            if max(endpoint.busy_until, endpoint.ejected_until) <= now:
                del self.maybe_avoided[name]
            elif endpoint.order_block is not None:
                yield endpoint

    def _add_to_summaries(self, endpoint: EndpointRecord) -> None:
        name = endpoint.entry.zone
        if (zone := self.zones.get(name)) is None:
            zone = self.zones[name] = ZoneSummary(name, self.records)
        zone.size += 1
        if endpoint.min_response_ms < math.inf:
            zone.response_times.update(endpoint.entry.backend)
        self.cells[endpoint.entry.cell] += 1

    def _remove_from_summaries(self, endpoint: EndpointRecord) -> None:
        zone = self.zones[endpoint.entry.zone]
        zone.size -= 1
        if not zone.size:
            del self.zones[endpoint.entry.zone]
        self.cells[endpoint.entry.cell] -= 1
        if not self.cells[endpoint.entry.cell]:
            del self.cells[endpoint.entry.cell]


def _is_listed(entry: api.Endpoint) -> bool:
    return entry.phase is not api.EndpointPhase.REMOVED
