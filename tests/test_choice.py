"""Compares the frequencies of chosen endpoints with exact probabilities of the unoptimised selection rule."""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.policy import Balancer, join_up_to_m
from balancer.policy.records import Attempt, EndpointRecord, Request
from balancer.policy.slow_start import WARMING_BUDGET_FRACTION
from tests.helpers import BASE, KEYED, SAFE, entry, sends

CFG = replace(
    BASE,
    classes=(replace(SAFE, latency_objective_ms=900.0), replace(KEYED, latency_objective_ms=900.0)),
    slow_start_ms=60_000.0,
)
NOW, SIZE, DRAWS = 100_000.0, 14, 4_000


def _node(**over: object) -> Balancer:
    b = Balancer(replace(CFG, **over), 11)  # type: ignore[arg-type]
    listed = [entry(f"b{i:02d}", zone="ab"[i % 2], weight=1.0 + i % 3) for i in range(SIZE)]
    b.handle(NOW, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, listed))
    for cls in b.classes.by_name.values():
        cls.expected_ms = 100.0  # An estimate of 100 ms and an objective of 900 ms give a cap m of 6.
    return b


def _request(b: Balancer, kind: str, number: int) -> Request:
    cls = b.classes.by_name[kind]
    return Request(f"r{number}", cls, None, NOW + 800.0, NOW + 800.0, False, 3)


def _reference(b: Balancer, req: Request, m: int, max_in_flight: float) -> defaultdict[str, float]:
    """Return the exact probability of each endpoint under the unoptimised rule.

    The rule admits each eligible warming endpoint with its own probability and then applies Join-Up-To(m).
    """
    all_of = list(b.index.records.values())
    eligible = [
        x for x in all_of if max(x.busy_until, x.ejected_until) <= NOW and x.in_flight <= max_in_flight
    ]
    for a in req.attempts:
        eligible = [x for x in eligible if x.entry.zone == a.endpoint.entry.zone]
    admission: dict[str, float] = {}
    for x in eligible:
        age = NOW - x.entry.started_at
        if age < CFG.slow_start_ms:
            warmth = CFG.cold_capacity_fraction + (1 - CFG.cold_capacity_fraction) * age / CFG.slow_start_ms
            admission[x.entry.backend] = (
                WARMING_BUDGET_FRACTION * CFG.overload_multiple * warmth / len(all_of)
            )
    probabilities = defaultdict[str, float](float)
    for outcomes in itertools.product((True, False), repeat=len(admission)):
        probability, admitted = 1.0, dict(zip(admission, outcomes, strict=True))
        for name, is_admitted in admitted.items():
            probability *= admission[name] if is_admitted else 1 - admission[name]
        pool = [x for x in eligible if admitted.get(x.entry.backend, True)]
        lowest = min(x.estimate for x in pool)
        weights = [
            float(x.estimate == lowest) if lowest < m else x.entry.weight / x.slowness**2 for x in pool
        ]
        for x, weight in zip(pool, weights, strict=True):
            probabilities[x.entry.backend] += probability * weight / sum(weights)
    return probabilities


def _count_choices(b: Balancer, kind: str, first: EndpointRecord | None) -> Counter[str]:
    """Count which endpoints many requests go to, each from the same state of the node."""
    counts: Counter[str] = Counter()
    initial = [(x, x.estimate, x.in_flight) for x in b.index.records.values()]
    for number in range(DRAWS):
        req, b.outbox.actions, b.slow_start.warming_budget.tokens = _request(b, kind, number), [], 1.0
        if first is not None:
            req.attempts.append(Attempt(first, NOW - 10.0, True, api.AttemptStatus.RESET))
        b.router.dispatch(req, b.now)
        (act,) = sends(b.outbox.actions)
        counts[act.backend] += 1
        b.limit.in_flight = 0
        for x, estimate, in_flight in initial:
            x.estimate, x.in_flight = estimate, in_flight
    return counts


def _equal_estimates(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate = 2 if i % 3 else 1


def _one_lowest(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for x in all_of[1:]:
        x.estimate = 2


def _at_cap(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate, x.slowness = 6 + i, (0.5, 1.0, 1.4, 3.0)[i % 4]


def _some_unavailable(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _at_cap(b, all_of)
    all_of[0].ejected_until = all_of[4].busy_until = all_of[8].ejected_until = NOW + 50.0
    all_of[1].in_flight = all_of[5].in_flight = 9
    b.limit.limit = 4.0 * SIZE


def _lowest_unavailable(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _equal_estimates(b, all_of)
    for x in all_of[:9:3]:
        x.ejected_until = NOW + 50.0


def _some_warming(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate = i % 3
    for i, x in enumerate(all_of[:4]):
        x.entry.started_at, x.estimate = NOW - 14_000.0 * i - 1000.0, i % 2


def _warming_at_cap(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _at_cap(b, all_of)
    for x in all_of[3:6]:
        x.entry.started_at = NOW - 30_000.0


@pytest.mark.parametrize("kind", ["read", "repeat"])
@pytest.mark.parametrize(
    "state",
    [
        _equal_estimates,
        _one_lowest,
        _at_cap,
        _some_unavailable,
        _lowest_unavailable,
        _some_warming,
        _warming_at_cap,
    ],
)
def test_each_endpoint_is_chosen_with_the_probability_of_the_unoptimised_rule(
    state: Callable[[Balancer, list[EndpointRecord]], None], kind: str
) -> None:
    """The chi-square statistic of seeded draws stays near that of the exact probabilities.

    The subset contains all endpoints of the list.
    """
    b = _node()
    all_of = [b.index.records[name] for name in b.index.order]
    state(b, all_of)
    first = all_of[2] if kind == "repeat" else None
    name = "pay" if first else "read"
    req = _request(b, name, 0)
    req.attempts += [Attempt(first, NOW - 10.0, True, api.AttemptStatus.RESET)] if first else []
    probabilities = _reference(b, req, join_up_to_m.cap(req.statistics), b.limit.limit / SIZE)
    counts = _count_choices(b, name, first)
    assert set(counts) <= {x for x, probability in probabilities.items() if probability > 0}
    assert sum(probabilities.values()) == pytest.approx(1.0)
    chi_square = sum(
        (counts[x] - DRAWS * probability) ** 2 / (DRAWS * probability)
        for x, probability in probabilities.items()
        if probability
    )
    degrees_of_freedom = sum(probability > 0 for probability in probabilities.values()) - 1
    assert chi_square <= degrees_of_freedom + 3.5 * math.sqrt(2 * degrees_of_freedom) + 1e-9


def test_idle_reports_and_faster_responses_count_at_once() -> None:
    """Guards against stale bounds of cached candidates, which would hide an idle or faster endpoint."""
    b = _node()
    all_of = [b.index.records[name] for name in b.index.order]
    for x in all_of:
        x.estimate = 6
    _count_choices(b, "read", None)
    (min_estimate,) = [candidates.min_estimate for candidates in b.selection.candidates.values()]
    assert min_estimate == 6
    b.selection.apply_report(all_of[3], api.LoadReport(0.0, 0.0), is_fresh=False)
    assert set(_count_choices(b, "read", None)) == {all_of[3].entry.backend}
    all_of[3].estimate = 6
    _count_choices(b, "read", None)
    for _ in range(60):
        req = _request(b, "read", 0)
        b.classes.by_name["read"].expected_ms = 100.0
        attempt = Attempt(all_of[3], NOW, True)
        b.outcomes.learn(req.statistics, attempt, api.AttemptStatus.OK, 20.0, NOW)
    b.classes.by_name["read"].expected_ms = 100.0
    assert join_up_to_m.cap(req.statistics) == 6
    weights = {x.entry.backend: x.entry.weight / x.slowness**2 for x in all_of}
    expected = weights[all_of[3].entry.backend] / sum(weights.values())
    frequency = _count_choices(b, "read", None)[all_of[3].entry.backend] / DRAWS
    assert expected > 0.3 and frequency == pytest.approx(expected, abs=0.03)


def test_an_endpoint_that_has_become_warm_is_chosen_like_the_others() -> None:
    b = _node()
    name = b.index.order.window(4, 5)[0]
    b.index.records[name].entry.started_at = NOW - CFG.slow_start_ms + 5.0
    b.handle(b.now, api.ListUpdate(api.ListUpdateKind.DELTA, [replace(b.index.records[name].entry)]))
    # A warming endpoint is admitted with a probability of 1.5 / 14.
    assert 0 < _count_choices(b, "read", None)[name] < DRAWS / SIZE
    b.now = NOW + 10.0
    for x in b.index.records.values():
        x.estimate = 6 if x.entry.backend == name else 7
    weights = {x.entry.backend: x.weight for x in b.index.records.values()}
    expected = weights[name] / sum(weights.values())
    assert _count_choices(b, "read", None)[name] == pytest.approx(DRAWS * expected, rel=0.2)


def test_the_reserve_and_then_ejected_endpoints_replace_an_unavailable_subset() -> None:
    b = _node(node_count=25)
    assert b.subsetting.subset_size == 3
    window = b.index.window(0, 6)
    for x in window[:3]:
        x.ejected_until = NOW + 50.0
    assert set(_count_choices(b, "read", None)) == {x.entry.backend for x in window[3:]}
    for x in window[3:]:
        x.ejected_until = NOW + 50.0
    assert set(_count_choices(b, "read", None)) == {x.entry.backend for x in window}
    for x in window[1:]:
        x.busy_until = NOW + 50.0
    assert set(_count_choices(b, "read", None)) == {window[0].entry.backend}
