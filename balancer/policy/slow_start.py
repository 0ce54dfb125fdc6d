"""Slow start: an endpoint that warms up gets a part of the requests that grows with its capacity.

All nodes together keep within the budget of a warming endpoint, however many they are: each request goes to
it with a chance that is a fraction of the capacity of a warm one, out of the largest number of endpoints
there were.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.constants import MIN_DIVISOR_MS
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.load_shedding import LoadShedding
from balancer.policy.maintenance import Maintenance
from balancer.policy.records import EndpointRecord, Request
from balancer.policy.recovery_admission import RecoveryAdmission
from balancer.policy.subsetting import Subsetting
from balancer.policy.zone_routing import ZoneRouting

WARMING_BUDGET_FRACTION = 0.5  # of a warming endpoint's overload budget that all nodes together may use
WARMING_BURST_WINDOW_DIVISOR = 8  # the overload window is so many times what tries may be saved up for
MIN_FIRST_SENDERS = 2.0  # nodes that send at once to an endpoint that was put back: one may be idle or gone


class WarmingBudget:
    """A token bucket of requests that may try warming endpoints.

    It is filled at the mean rate of arrivals over the time of a ramp, or at what the concurrency limit lets
    out if that is more, as after a lull. What warm endpoints take, the limit bounds. Where all are warming up
    a request that finds none costs nothing, its client returns, and a burst would send them as many times
    more.
    """

    __slots__ = ("_arrivals", "_interval_ms", "_last_arrival", "tokens")

    def __init__(self) -> None:
        """Start with one try."""
        self.tokens = 1.0
        self._arrivals = 0.0  # faded over a ramp
        self._interval_ms = 0.0  # in which they came
        self._last_arrival = math.inf

    def earn(
        self, now: float, ramp_ms: float, limit: float, expected_ms: float, settings: api.Settings
    ) -> None:
        """Count an arrival; `expected_ms` is the mean duration of a response."""
        elapsed_ms = max(0.0, now - self._last_arrival)
        self._last_arrival = now
        decay = math.exp(-elapsed_ms / ramp_ms)
        self._arrivals = self._arrivals * decay + 1.0
        self._interval_ms = self._interval_ms * decay + elapsed_ms
        tick_ms = max(settings.clock_granularity_ms, MIN_DIVISOR_MS)
        rate_per_ms = max(limit / max(expected_ms, tick_ms), self._arrivals / max(self._interval_ms, tick_ms))
        max_tokens = max(1.0, rate_per_ms * settings.overload_window_ms / WARMING_BURST_WINDOW_DIVISOR)
        self.tokens = min(max_tokens, self.tokens + rate_per_ms * elapsed_ms)

    def spend(self) -> None:
        """Count a request that tried warming endpoints."""
        self.tokens = max(0.0, self.tokens - 1.0)


@dataclass(slots=True, eq=False)
class SlowStart:
    """Measures how warm endpoints are, and admits requests to warming ones."""

    rng: random.Random
    index: EndpointIndex
    subsetting: Subsetting
    zones: ZoneRouting
    maintenance: Maintenance
    shedding: LoadShedding
    warming_budget: WarmingBudget = field(default_factory=WarmingBudget, init=False)
    # While the tier recovers from a loss of power.
    recovery: RecoveryAdmission | None = field(default=None, init=False)
    ramp_ms: float = field(default=MIN_DIVISOR_MS, init=False)
    # Endpoints listed as started earlier count as started then.
    _cold_since: float = field(default=0.0, init=False)
    _cold_fraction: float = field(default=0.0, init=False)
    _budget: float = field(default=0.0, init=False)
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._settings = settings
        self.ramp_ms = max(settings.slow_start_ms, MIN_DIVISOR_MS)
        self._cold_fraction = settings.cold_capacity_fraction
        self._budget = WARMING_BUDGET_FRACTION * settings.overload_multiple

    def warm_at(self, entry: api.Endpoint) -> float:
        """Return the clock time from which an endpoint is warm; 0: it was so when the clock began."""
        returned_at = self.maintenance.returned_at.get(entry.backend, 0.0)
        started_at = max(entry.started_at, returned_at, self._cold_since)
        return started_at + self.ramp_ms if started_at > 0 else 0.0

    def warmth(self, entry: api.Endpoint, now: float) -> float:
        """Return the fraction of its capacity, 0 to 1, that an endpoint surely has by now."""
        time_left_ms = self.warm_at(entry) - now
        if time_left_ms <= 0:
            return 1.0
        grown = max(0.0, 1.0 - time_left_ms / self.ramp_ms)
        return self._cold_fraction + (1.0 - self._cold_fraction) * grown

    def admits(
        self, request: Request, endpoint: EndpointRecord, warmth: float, position: int, wanted: int, pool: int
    ) -> bool:
        """Draw whether a warming endpoint may be given this request.

        It was drawn at `position` of a sample, of which `wanted` are needed, from a pool of this size; what
        is drawn beyond that is drawn for endpoints that were not eligible.
        """
        drawn: float = min(wanted, pool)
        subsetting = self.subsetting
        chance = self._budget * warmth * len(self.index.order) / subsetting.peak_endpoint_count
        if self.zones.is_local(endpoint):
            # All nodes of a zone feed the first of its endpoints to return: no more than in a full zone.
            chance *= min(1.0, max(subsetting.local_count, pool) / subsetting.endpoints_per_zone)
        if self.recovery is not None:
            if not self.recovery.allows(request.is_high_value):
                return False
            chance, drawn = self.recovery.relaxed_chance(chance, drawn, warmth, self.shedding.success_rate)
        elif (
            position >= wanted or self.warming_budget.tokens < 1.0
        ):  # beyond `wanted` it got the chance of several
            return False
        return request.may_try_warming and self.rng.random() * drawn <= chance

    def count_arrival(self, now: float, limit: ConcurrencyLimit, expected_ms: float) -> None:
        """Earn tries by an arrival, and fill the bucket of a recovery."""
        self.warming_budget.earn(now, self.ramp_ms, limit.limit, expected_ms, self._settings)
        if self.recovery is not None and self.recovery.is_due(now):
            self._fill(self.recovery, now)

    def count_recovery_attempt(self, endpoint: EndpointRecord, now: float) -> None:
        """Count an attempt that is sent while the tier recovers."""
        if self.recovery is not None and self.warmth(endpoint.entry, now) < 1.0:
            self.recovery.spend()

    def update_recovery(self, progress: api.RecoveryProgressed, now: float) -> None:
        """Take the progress of the tier's recovery."""
        self._cold_since = progress.cold_since
        if progress.phase is api.RecoveryPhase.FULL:
            self.recovery = None
        elif self.recovery is None:
            self.recovery = RecoveryAdmission(progress, now)
        else:
            self._fill(self.recovery, now)
            self.recovery.progress = progress

    def is_first_sender(self, name: str, expected_ms: float) -> bool:
        """Return whether this node is one of those that send at once to an endpoint that was put back.

        All nodes learn of it at about the same time. The endpoint surely carries one request after the other;
        as much of that as its budget allows is spread over the nodes.
        """
        settings = self._settings
        surely_carried = (
            settings.overload_multiple
            * settings.cold_capacity_fraction
            * settings.overload_window_ms
            / max(expected_ms, MIN_DIVISOR_MS)
        )
        senders = max(MIN_FIRST_SENDERS, WARMING_BUDGET_FRACTION * surely_carried)
        return self.subsetting.ring_position(name) * settings.node_count < senders

    def _fill(self, recovery: RecoveryAdmission, now: float) -> None:
        records = self.index.records
        warmth = [self.warmth(records[name].entry, now) for name in self.index.order]
        recovery.fill(now, warmth, self.subsetting.peak_endpoint_count, self._settings)
