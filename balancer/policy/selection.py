"""Selects endpoints for requests: from the candidates of a subset, from a random sample, or in a panic."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy import join_up_to_m
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.outbox import OperatorLog
from balancer.policy.records import Candidates, EndpointRecord, Request
from balancer.policy.slow_start import SlowStart

MAX_SAMPLED_PER_WANTED = 3  # The sample is larger than needed, because some endpoints are not eligible.


@dataclass(slots=True, eq=False)
class Selection:
    """Selects eligible endpoints for requests.

    `candidates` caches those of the first choice; its key tells whether remote endpoints come first.
    """

    rng: random.Random
    index: EndpointIndex
    eligibility: Eligibility
    slow_start: SlowStart
    log: OperatorLog
    candidates: dict[bool, Candidates] = field(default_factory=dict, init=False)

    def candidates_for(self, size: int, remote_first: bool, now: float) -> Candidates:
        """Return the first `size` endpoints of the order, with the local or the remote ones first."""
        cached = self.candidates.get(remote_first)
        if cached is None or len(cached.endpoints) != size or cached.valid_until <= now:
            endpoints = self.index.window(0, size, remote_first)
            warm = list[EndpointRecord]()
            warming = list[EndpointRecord]()
            for endpoint in endpoints:
                is_warming = self.slow_start.warmth(endpoint.entry, now) < 1.0
                (warming if is_warming else warm).append(endpoint)
            valid_until = min([self.slow_start.warm_at(e.entry) for e in warming], default=math.inf)
            cached = Candidates(endpoints, warm, warming, valid_until)
            self.candidates[remote_first] = cached
        return cached

    def discard_changed(self, changed: list[EndpointRecord]) -> None:
        """Drop cached candidates that no longer match the order or that include a changed endpoint."""
        for remote_first, cached in list(self.candidates.items()):
            endpoints = self.index.window(0, len(cached.endpoints), remote_first)
            if endpoints != cached.endpoints or not set(endpoints).isdisjoint(changed):
                del self.candidates[remote_first]

    def choose(
        self, request: Request, candidates: Candidates, m: int, max_in_flight: float, now: float
    ) -> EndpointRecord | None:
        """Return the eligible candidate that Join-Up-To(m) chooses, or None if no candidate is eligible."""
        is_eligible = self.eligibility.filter_for(request, now, max_in_flight)
        warming = list[EndpointRecord]()
        if candidates.warming:
            slow_start = self.slow_start
            size = len(candidates.endpoints)
            warming = [
                e
                for e in candidates.warming
                if is_eligible(e)
                and slow_start.admits(request, e, slow_start.warmth(e.entry, now), 0, size, size)
            ]
        request.may_try_warming = False
        return join_up_to_m.choose(self.rng, candidates, warming, m, is_eligible)

    def sample(
        self,
        request: Request,
        count: int,
        pool: list[EndpointRecord],
        now: float,
        max_in_flight: float = math.inf,
        ignore_ejection: bool = False,
    ) -> list[EndpointRecord]:
        """Return a random sample of up to `count` eligible endpoints of a pool."""
        is_eligible = self.eligibility.filter_for(request, now, max_in_flight, ignore_ejection)
        size = len(pool)
        sampled: list[EndpointRecord] = []
        sample = self.rng.sample(pool, min(size, MAX_SAMPLED_PER_WANTED * count))
        for position, endpoint in enumerate(sample):
            if not is_eligible(endpoint):
                continue
            warmth = self.slow_start.warmth(endpoint.entry, now)
            if warmth < 1.0 and not self.slow_start.admits(request, endpoint, warmth, position, count, size):
                continue
            sampled.append(endpoint)
            if len(sampled) >= count:
                break
        request.may_try_warming = False
        return sampled

    def sample_in_panic(
        self,
        request: Request,
        count: int,
        pool: list[EndpointRecord],
        now: float,
        max_in_flight: float = math.inf,
    ) -> list[EndpointRecord]:
        """Sample a pool without regard to ejections, which may be wrong, as no endpoint is eligible."""
        self.log.write(now, f"panic: {len(pool)} backends in view, none eligible, ignoring ejections")
        return self.sample(request, count, pool, now, max_in_flight, ignore_ejection=True)

    def apply_report(self, endpoint: EndpointRecord, report: api.LoadReport | None, is_fresh: bool) -> None:
        """Apply a load report to the estimate of an endpoint and to the bounds of cached candidates."""
        if join_up_to_m.apply_report(endpoint, report, is_fresh):
            for cached in self.candidates.values():
                cached.min_estimate = min(cached.min_estimate, endpoint.estimate)

    def refresh_max_weight(self, endpoint: EndpointRecord) -> None:
        """Update the bounds of cached candidates after the weight of an endpoint changed."""
        weight = endpoint.weight
        for cached in self.candidates.values():
            cached.max_weight = max(cached.max_weight, weight)
