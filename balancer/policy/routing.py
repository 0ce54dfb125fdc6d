"""Routes requests to endpoints: the order in which the components of the policy decide."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy import join_up_to_m
from balancer.policy.attempts import Attempts
from balancer.policy.charges import checks_health_before_sending
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.health_checks import HealthChecks
from balancer.policy.load_shedding import REQUIRED_TIME_FRACTION, LoadShedding, can_finish_in_time
from balancer.policy.maintenance import Maintenance
from balancer.policy.outbox import Outbox
from balancer.policy.records import EndpointRecord, Request
from balancer.policy.request_table import RequestTable
from balancer.policy.retries import RetryBudget
from balancer.policy.selection import Selection
from balancer.policy.slow_start import SlowStart
from balancer.policy.subsetting import Subsetting
from balancer.policy.zone_routing import ZoneRouting


@dataclass(slots=True, eq=False)
class Router:
    """Sheds, queues, dispatches and retries requests.

    `queue` has the requests that wait for the concurrency limit; the last one leaves it first.
    """

    rng: random.Random
    outbox: Outbox
    index: EndpointIndex
    subsetting: Subsetting
    zones: ZoneRouting
    maintenance: Maintenance
    eligibility: Eligibility
    slow_start: SlowStart
    selection: Selection
    limit: ConcurrencyLimit
    shedding: LoadShedding
    requests: RequestTable
    attempts: Attempts
    health_checks: HealthChecks
    retry_budget: RetryBudget = field(default_factory=RetryBudget, init=False)
    queue: list[Request] = field(default_factory=list, init=False)
    _node_count: int = field(default=1, init=False)
    _checks_health_first: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._node_count = settings.node_count
        self._checks_health_first = checks_health_before_sending(settings)

    def route(self, request: Request, now: float) -> None:
        """Send a request, queue it or shed it."""
        if self._checks_health_first:
            self.health_checks.start(request, now)
        elif not (request.attempts or request.is_high_value) and not self.shedding.draw_admission():
            self.requests.give_up(request, api.GiveUpReason.LOW_SUCCESS_RATE, now)
        elif self.limit.in_flight < self.limit.limit or request.is_high_value or request.is_arriving:
            self.dispatch(request, now)
        else:  # The queue is last in, first out, so that the requests it releases have time left.
            self.queue.append(request)
            latest_start = request.useful_until - REQUIRED_TIME_FRACTION * request.statistics.expected_ms
            self.outbox.set_timer(latest_start, self._on_queue_timeout, request)

    def retry(self, request: Request, now: float) -> None:
        """Retry a request whose attempt failed, if the rules, the time left and the retry budget allow it."""
        # A lost response does not indicate load, so its retry is not charged to the budget.
        cost = 0.0 if request.attempts[-1].has_reduced_timeout else 1.0
        if (
            self.retry_budget.allows(cost)
            and len(request.attempts) < request.max_attempts
            and can_finish_in_time(request, now)
            and self.eligibility.permits_retry(request, now)
        ):
            self.retry_budget.spend(cost)
            self.route(request, now)
        else:
            self.requests.give_up(request, api.GiveUpReason.NO_RETRY, now)

    def release(self, now: float) -> None:
        """Dispatch queued requests while the concurrency limit allows it."""
        limit = self.limit
        while self.queue and limit.in_flight < limit.limit:
            request = self.queue.pop()
            if request.is_closed:
                continue
            if can_finish_in_time(request, now):
                self.dispatch(request, now)
            else:
                self.requests.give_up(request, api.GiveUpReason.QUEUE_TIMEOUT, now)

    def _on_queue_timeout(self, now: float, request: Request) -> None:
        if request in self.queue:
            self.queue.remove(request)
            self.requests.give_up(request, api.GiveUpReason.QUEUE_TIMEOUT, now)

    def dispatch(self, request: Request, now: float) -> None:
        """Send a request to an endpoint of the subset that Join-Up-To(m) chooses, without health checks."""
        if (
            self.maintenance.awaiting_first_request
            and not request.attempts
            and (returned := self._returned_endpoint(now)) is not None
        ):
            self.attempts.start(request, returned, now)
            return
        endpoint = self._select_endpoint(request, now)
        if endpoint is not None:
            self.attempts.start(request, endpoint, now)
        else:
            self.requests.give_up(request, api.GiveUpReason.NO_ENDPOINT, now)

    def _select_endpoint(self, request: Request, now: float) -> EndpointRecord | None:
        """Return an endpoint of the subset, else of its reserve, else of another zone, or None."""
        count = len(self.index.order)
        local_count = self.subsetting.local_count
        # A node with far more than its share of the load uses a wider subset, so as not to overload the few
        # endpoints in its own. It is no wider than the order, as the limit is divided among its endpoints.
        width = max(1, min(max(self.subsetting.subset_size, self.limit.in_flight), count))
        max_in_flight = math.inf if request.is_high_value else self.limit.limit / width
        # A part of the requests prefers other zones if these are better by more than the cross-zone charge.
        remote_first = self.rng.random() < self.zones.spill_fraction
        # A retry may be bound to the zone of the first attempt by its deduplication scope.
        if request.attempts:
            remote_first = not self.zones.is_local(request.attempts[0].endpoint)
        remote_first = remote_first and local_count < count
        # A subset larger than the number of local or remote endpoints would mix both kinds.
        side_count = count - local_count if remote_first else local_count
        candidates = self.selection.candidates_for(min(width, side_count), remote_first, now)
        # All nodes together may send an idle endpoint m requests, so each node uses an equal part of the cap.
        m = max(1, join_up_to_m.cap(request.statistics) // self._node_count)
        endpoint = self.selection.choose(request, candidates, m, max_in_flight, now)
        if endpoint is None:
            window = self.index.window(0, 2 * width, remote_first)
            reserve = window[len(candidates.endpoints) :]
            pool = self.selection.sample(
                request, width, reserve, now, max_in_flight
            ) or self.selection.sample_in_panic(request, width, window, now, max_in_flight)
            if pool:
                endpoint = join_up_to_m.pick(self.rng, pool, m)
        if endpoint is None or self.slow_start.warmth(endpoint.entry, now) < 1.0:
            self.slow_start.warming_budget.spend()
        if endpoint is None and not remote_first:
            overflow = self.zones.overflow_fraction(candidates, local_count < count)
            if self.rng.random() < overflow:
                remote = self.selection.candidates_for(min(width, count - local_count), True, now)
                endpoint = self.selection.choose(request, remote, m, max_in_flight, now)
        return endpoint

    def _returned_endpoint(self, now: float) -> EndpointRecord | None:
        """Return an endpoint that has got no request since its ban was lifted, or None.

        A warming or remote endpoint could otherwise wait long for the first request, which operators look for
        to confirm the lift.
        """
        awaiting = self.maintenance.awaiting_first_request
        for name in sorted(awaiting):
            endpoint = self.index.records.get(name)
            if (
                endpoint is not None
                and self.eligibility.is_in_service(endpoint)
                and max(endpoint.busy_until, endpoint.ejected_until) <= now
            ):
                awaiting.discard(name)
                return endpoint
        return None
