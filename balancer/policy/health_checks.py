"""Health checks before sending: a request waits for load reports of a sample and goes to an idle endpoint."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy import join_up_to_m
from balancer.policy.attempts import Attempts
from balancer.policy.charges import HEALTH_CHECK_SAMPLE_SIZE, MAX_HEALTH_CHECK_ROUNDS
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.endpoint_list import EndpointList
from balancer.policy.load_shedding import LoadShedding, can_finish_in_time
from balancer.policy.outbox import Outbox
from balancer.policy.outlier_ejection import OutlierEjection
from balancer.policy.records import Request
from balancer.policy.request_table import RequestTable
from balancer.policy.selection import Selection
from balancer.policy.subsetting import Subsetting

# An endpoint that does not answer a health check within 3 round trips counts as stalled.
HEALTH_CHECK_TIMEOUT_ROUND_TRIPS = 3.0
INITIAL_ROUND_TRIP_TICKS = 2.0
MEAN_RESIDUAL_REQUESTS = 0.5  # On average, half of the request that an endpoint executes remains.


@dataclass(slots=True, eq=False)
class HealthChecks:
    """Checks the health of a few endpoints for each request and chooses one of them by the results."""

    rng: random.Random
    outbox: Outbox
    index: EndpointIndex
    subsetting: Subsetting
    eligibility: Eligibility
    selection: Selection
    ejection: OutlierEjection
    shedding: LoadShedding
    requests: RequestTable
    attempts: Attempts
    endpoints: EndpointList
    clock_granularity_ms: float
    _round_trip_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Assume a round trip of a few clock ticks until the first result."""
        self._round_trip_ms = INITIAL_ROUND_TRIP_TICKS * self.clock_granularity_ms

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.clock_granularity_ms = settings.clock_granularity_ms

    def start(self, request: Request, now: float) -> None:
        """Start the first round of health checks for a request."""
        request.check_rounds = 0
        request.checked = []
        self._start_round(request, now)

    def on_result(self, now: float, event: api.HealthCheckEnded) -> None:
        """Apply the result of a health check to the endpoint and to all requests that wait for it."""
        endpoint = self.index.records[event.backend]
        waiters = endpoint.health_check_waiters or []
        endpoint.health_check_waiters = None
        is_ok = event.status is api.AttemptStatus.OK
        if is_ok:
            self._round_trip_ms += EWMA_WEIGHT * (event.duration_ms - self._round_trip_ms)
            self.selection.apply_report(endpoint, event.report, is_fresh=True)
            endpoint.ejected_until = min(endpoint.ejected_until, now)
        else:
            self.ejection.eject(endpoint, now)
        for request in waiters:
            if event.backend not in request.pending_checks:
                continue
            request.pending_checks.discard(event.backend)
            if is_ok:
                request.checked.append(endpoint)
            # A backend may repeat an outdated report; an idle one is trusted as often as attempts succeed.
            if endpoint.estimate == 0 and self.rng.random() > self.shedding.success_rate:
                endpoint.estimate = join_up_to_m.cap(request.statistics)
            if not request.pending_checks or (request.checked and endpoint.estimate == 0):
                self._end_round(request, now)
        self.endpoints.forget(endpoint)

    def _start_round(self, request: Request, now: float) -> None:
        request.check_rounds += 1
        request.total_check_rounds += 1
        width = self.subsetting.subset_size
        window = self.index.window(0, 2 * width)
        draw = self.selection.sample
        sample = (
            draw(request, HEALTH_CHECK_SAMPLE_SIZE, window[:width], now)
            or draw(request, HEALTH_CHECK_SAMPLE_SIZE, window[width:], now)
            or self.selection.sample_in_panic(request, HEALTH_CHECK_SAMPLE_SIZE, window, now)
        )
        for endpoint in sample:
            request.pending_checks.add(endpoint.entry.backend)
            if endpoint.health_check_waiters is None:
                endpoint.health_check_waiters = []
                self.outbox.actions.append(api.CheckHealth(endpoint.entry.backend))
            endpoint.health_check_waiters.append(request)
        times_out_at = (
            now + HEALTH_CHECK_TIMEOUT_ROUND_TRIPS * self._round_trip_ms + self.clock_granularity_ms
        )
        self.outbox.set_timer(times_out_at, self._on_round_timeout, (request, request.total_check_rounds))
        if not request.pending_checks:
            self._end_round(request, now)

    def _on_round_timeout(self, now: float, argument: tuple[Request, int]) -> None:
        request, check_round = argument
        if request.total_check_rounds == check_round and request.pending_checks:
            for name in sorted(request.pending_checks):
                endpoint = self.index.records[name]
                self.ejection.avoid_stalled(endpoint, now, request.statistics.expected_ms)
            self._end_round(request, now)

    def _end_round(self, request: Request, now: float) -> None:
        """Send, check again or give up, once all checks of a round have ended or one endpoint is idle."""
        request.pending_checks = set()
        pool = [
            endpoint
            for endpoint in request.checked
            if self.eligibility.is_in_service(endpoint)
            and self.eligibility.permits_attempt(request, endpoint, now)
        ]
        lowest = min((endpoint.estimate for endpoint in pool), default=math.inf)
        m = join_up_to_m.cap(request.statistics)
        wait_ms = max(0.0, lowest - MEAN_RESIDUAL_REQUESTS) * request.statistics.expected_ms
        if lowest > 0 and request.check_rounds < MAX_HEALTH_CHECK_ROUNDS:
            self._start_round(request, now)
        elif lowest < m and can_finish_in_time(request, now, wait_ms):
            self.attempts.start(request, join_up_to_m.pick(self.rng, pool, m), now)
        else:
            self.requests.give_up(request, api.GiveUpReason.NO_ENDPOINT, now)
