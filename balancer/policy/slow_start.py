"""Slow start: a warming endpoint gets a fraction of the requests that grows with its capacity.

All nodes together stay within the overload budget of a warming endpoint, however many nodes there are. For
that, each request may go to it with a probability: its fraction of the capacity of a warm endpoint, out of
the largest number of endpoints so far.
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

WARMING_BUDGET_FRACTION = 0.5  # All nodes together use at most half of an endpoint's overload budget.
WARMING_BURST_WINDOW_DIVISOR = 8  # The bucket holds the tokens of at most an eighth of the overload window.
MIN_FIRST_SENDERS = 2.0  # Two nodes send at once after a lift, as one may be idle or down.


class WarmingBudget:
    """A token bucket for requests that may go to warming endpoints.

    It is filled at the mean arrival rate over the slow start time, or at the rate that the concurrency limit
    lets through if that is higher, as after a period of low load. For warm endpoints the concurrency limit is
    enough. If all endpoints are warming up, though, a request that is not admitted costs nothing and its
    client retries, so that without the bucket a burst of retries would multiply the load on them.
    """

    __slots__ = ("_arrivals", "_interval_ms", "_last_arrival", "tokens")

    def __init__(self) -> None:
        """Create a bucket with one token."""
        self.tokens = 1.0
        self._arrivals = 0.0
        self._interval_ms = 0.0
        self._last_arrival = math.inf

    def earn(
        self, now: float, ramp_ms: float, limit: float, expected_ms: float, settings: api.Settings
    ) -> None:
        """Add the tokens for the time since the last arrival; `expected_ms` is the mean response time."""
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
        """Take a token for a request that could go to warming endpoints."""
        self.tokens = max(0.0, self.tokens - 1.0)


@dataclass(slots=True, eq=False)
class SlowStart:
    """Determines how warm endpoints are and admits requests to warming ones.

    `recovery` is set while the tier recovers from a power loss. Endpoints listed as started before
    `_cold_since` are treated as started then.
    """

    rng: random.Random
    index: EndpointIndex
    subsetting: Subsetting
    zones: ZoneRouting
    maintenance: Maintenance
    shedding: LoadShedding
    warming_budget: WarmingBudget = field(default_factory=WarmingBudget, init=False)
    recovery: RecoveryAdmission | None = field(default=None, init=False)
    ramp_ms: float = field(default=MIN_DIVISOR_MS, init=False)
    _cold_since: float = field(default=0.0, init=False)
    _cold_fraction: float = field(default=0.0, init=False)
    _budget: float = field(default=0.0, init=False)
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self.ramp_ms = max(settings.slow_start_ms, MIN_DIVISOR_MS)
        self._cold_fraction = settings.cold_capacity_fraction
        self._budget = WARMING_BUDGET_FRACTION * settings.overload_multiple

    def warm_at(self, entry: api.Endpoint) -> float:
        """Return the clock time from which an endpoint is warm; 0 if it has been warm from the start."""
        returned_at = self.maintenance.returned_at.get(entry.backend, 0.0)
        started_at = max(entry.started_at, returned_at, self._cold_since)
        return started_at + self.ramp_ms if started_at > 0 else 0.0

    def warmth(self, entry: api.Endpoint, now: float) -> float:
        """Return the fraction of its capacity, 0 to 1, that an endpoint is guaranteed to have by now."""
        time_left_ms = self.warm_at(entry) - now
        if time_left_ms <= 0:
            return 1.0
        growth = max(0.0, 1.0 - time_left_ms / self.ramp_ms)
        return self._cold_fraction + (1.0 - self._cold_fraction) * growth

    def admits(
        self,
        request: Request,
        endpoint: EndpointRecord,
        warmth: float,
        position: int,
        wanted_count: int,
        pool_size: int,
    ) -> bool:
        """Draw whether a warming endpoint may get this request.

        The endpoint is at `position` of a random sample from a pool of `pool_size` endpoints. `wanted_count`
        of the sample are needed; the others replace endpoints that are not eligible.
        """
        sample_size: float = min(wanted_count, pool_size)
        subsetting = self.subsetting
        probability = self._budget * warmth * len(self.index.order) / subsetting.peak_endpoint_count
        if self.zones.is_local(endpoint):
            # The first endpoints of a zone to return get requests from all its nodes, but each endpoint gets
            # no more than in a full zone.
            probability *= min(1.0, max(subsetting.local_count, pool_size) / subsetting.endpoints_per_zone)
        if self.recovery is not None:
            if not self.recovery.allows(request.is_high_value):
                return False
            probability, sample_size = self.recovery.relaxed_probability(
                probability, sample_size, warmth, self.shedding.success_rate
            )
        elif position >= wanted_count or self.warming_budget.tokens < 1.0:
            # Positions beyond the wanted count would give a warming endpoint more than its share of requests.
            return False
        return request.may_try_warming and self.rng.random() * sample_size <= probability

    def count_arrival(self, now: float, limit: ConcurrencyLimit, expected_ms: float) -> None:
        """Add tokens for an arriving request and, during a recovery, fill its token bucket."""
        self.warming_budget.earn(now, self.ramp_ms, limit.limit, expected_ms, self._settings)
        if self.recovery is not None and self.recovery.is_due(now):
            self._fill(self.recovery, now)

    def count_recovery_attempt(self, endpoint: EndpointRecord, now: float) -> None:
        """Take a token of the recovery for an attempt at a warming endpoint."""
        if self.recovery is not None and self.warmth(endpoint.entry, now) < 1.0:
            self.recovery.spend()

    def update_recovery(self, progress: api.RecoveryProgressed, now: float) -> None:
        """Apply the progress of the tier's recovery."""
        self._cold_since = progress.cold_since
        if progress.phase is api.RecoveryPhase.FULL:
            self.recovery = None
        elif self.recovery is None:
            self.recovery = RecoveryAdmission(progress, now)
        else:
            self._fill(self.recovery, now)
            self.recovery.progress = progress

    def is_first_sender(self, name: str, expected_ms: float) -> bool:
        """Return whether this node may send a request at once to an endpoint whose ban was just lifted.

        All nodes learn of the lift at about the same time. The endpoint can certainly process requests one by
        one; the number that its overload budget allows is spread over as many nodes.
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
