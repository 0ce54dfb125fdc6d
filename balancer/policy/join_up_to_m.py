"""Join-Up-To(m): chooses an endpoint by estimates of its load.

For each endpoint, a node keeps as its estimate an upper bound of the load: the attempts that the node itself
has sent since the endpoint last reported to be idle. A request goes to an endpoint with the lowest estimate,
with ties broken at random, while that estimate is below the cap m. Once all estimates have reached m, they
are too imprecise, and the endpoint is drawn at random by weight. The cap m is the number of requests that an
endpoint can queue such that the last one still meets its latency objective.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from balancer import interface as api
from balancer.policy.constants import MIN_DIVISOR_MS
from balancer.policy.records import Candidates, ClassStatistics, EndpointRecord

JOB_SIZE_VARIABILITY = 1.5  # Variability is the second moment of job sizes over their squared mean.
MAX_REJECTION_SAMPLES = 8
MAX_IDLE_LOAD = 0.5

IsEligible = Callable[[EndpointRecord], bool]


def cap(statistics: ClassStatistics) -> int:
    """Return m for a class: how many requests can queue such that the last one meets its objective."""
    objective_ms = statistics.config.latency_objective_ms
    return max(1, int(objective_ms / (JOB_SIZE_VARIABILITY * max(statistics.expected_ms, MIN_DIVISOR_MS))))


def pick(rng: random.Random, pool: list[EndpointRecord], m: int) -> EndpointRecord:
    """Return an endpoint with the lowest estimate, or one drawn by weight if no estimate is below m."""
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
    """Return the `pick` among `warming` and all eligible warm candidates, or None if there are none.

    Without warming endpoints, rejection sampling makes the cost independent of the number of candidates. A
    random warm endpoint is accepted if it is eligible and no other can have a lower estimate, or, once all
    estimates have reached m, with a probability proportional to its weight. Every sample has the same
    distribution as `pick`, which is called once all samples were rejected.
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
    """Update the estimate of an endpoint from a load report; return whether the report contains a load.

    A report of an idle endpoint lowers the estimate to this node's attempts in flight, some of which may have
    been sent after the report. Any other load is used only if the report is fresh, as in a health check.
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
