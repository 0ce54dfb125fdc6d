"""Join-Up-To(m): the choice of an endpoint by estimates of its load.

Each node keeps, for each endpoint, an upper bound of its load: the attempts that the node itself has sent
since the endpoint last reported idle. A request joins an endpoint of the lowest estimate, ties at random,
while that is below the cap m. Once all estimates have reached m they are too loose, and an endpoint is
drawn at random. The cap is how many requests can stand in line such that the last still meets its latency
objective.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from balancer import interface as api
from balancer.policy.constants import MIN_DIVISOR_MS
from balancer.policy.records import Candidates, ClassStatistics, EndpointRecord

JOB_SIZE_VARIABILITY = 1.5  # second moment of job sizes over their squared mean, E[G^2] / E[G]^2
MAX_REJECTION_SAMPLES = 8
MAX_IDLE_LOAD = 0.5  # a reported load below this means idle

IsEligible = Callable[[EndpointRecord], bool]


def cap(statistics: ClassStatistics) -> int:
    """Return m for a class: the requests that can stand in line, the last of which meets its objective."""
    objective_ms = statistics.config.latency_objective_ms
    return max(1, int(objective_ms / (JOB_SIZE_VARIABILITY * max(statistics.expected_ms, MIN_DIVISOR_MS))))


def pick(rng: random.Random, pool: list[EndpointRecord], m: int) -> EndpointRecord:
    """Return an endpoint of the lowest estimate below m, or one at random by weight if there is none."""
    lowest = min(endpoint.estimate for endpoint in pool)
    if lowest < m:
        return rng.choice([endpoint for endpoint in pool if endpoint.estimate == lowest])
    return rng.choices(pool, [endpoint.weight for endpoint in pool])[0]


def choose(
    rng: random.Random,
    candidates: Candidates,
    warming: list[EndpointRecord],
    m: int,
    is_eligible: IsEligible,
) -> EndpointRecord | None:
    """Return the `pick` among all eligible warm candidates and `warming`, or None if there are none.

    Without warming endpoints, rejection sampling makes the cost independent of the number of candidates: a
    warm one drawn at random is taken if it is eligible and none can have a lower estimate, or, once all have
    reached m, with a probability in proportion to its weight. Each sample gives every endpoint the chance
    that `pick` gives it, and `pick` itself decides once all samples were rejected.
    """
    warm = candidates.warm
    for _ in range(MAX_REJECTION_SAMPLES if warm and not warming else 0):
        endpoint = warm[int(rng.random() * len(warm))]
        is_accepted = (
            endpoint.estimate == candidates.min_estimate
            if candidates.min_estimate < m
            else rng.random() * candidates.max_weight < endpoint.weight
        )
        if is_accepted and is_eligible(endpoint):
            return endpoint
    candidates.min_estimate = min([endpoint.estimate for endpoint in warm], default=0)
    candidates.max_weight = max([endpoint.weight for endpoint in warm], default=0.0)
    pool = warming + [endpoint for endpoint in warm if is_eligible(endpoint)]
    return pick(rng, pool, m) if pool else None


def apply_report(endpoint: EndpointRecord, report: api.LoadReport | None, is_fresh: bool) -> bool:
    """Update an estimate by a load report and return whether the report has a load.

    An idle report lowers the estimate to the own attempts in flight, which a late report does not know. Any
    other load counts only when it is fresh, as a health check that is one round trip old.
    """
    if report is None:
        return False
    load = report.queue if report.in_flight is None else report.in_flight
    if load is None:
        return False
    if load < MAX_IDLE_LOAD:
        endpoint.estimate = endpoint.in_flight
    elif is_fresh:
        endpoint.estimate = max(endpoint.in_flight, round(load))
    return True
