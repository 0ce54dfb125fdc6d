"""The choice of a backend without looking, against the chances that the plain rule gives each of them."""

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
        cls.expected_ms = 100.0  # m is 6
    return b


def _request(b: Balancer, kind: str, number: int) -> Request:
    cls = b.classes.by_name[kind]
    return Request(f"r{number}", cls, None, NOW + 800.0, NOW + 800.0, False, 3)


def _reference(b: Balancer, req: Request, m: int, crowd: float) -> defaultdict[str, float]:
    """Chances by the plain rule: the eligible ones, each cold one as its coin falls, then JUT(m)."""
    all_of = list(b.index.records.values())
    fit = [x for x in all_of if max(x.busy_until, x.ejected_until) <= NOW and x.in_flight <= crowd]
    for a in req.attempts:
        fit = [x for x in fit if x.entry.zone == a.endpoint.entry.zone]
    cold: dict[str, float] = {}
    for x in fit:
        age = NOW - x.entry.started_at
        if age < CFG.slow_start_ms:
            warmth = CFG.cold_capacity_fraction + (1 - CFG.cold_capacity_fraction) * age / CFG.slow_start_ms
            cold[x.entry.backend] = WARMING_BUDGET_FRACTION * CFG.overload_multiple * warmth / len(all_of)
    chances = defaultdict[str, float](float)
    for coins in itertools.product((True, False), repeat=len(cold)):
        chance, falls = 1.0, dict(zip(cold, coins, strict=True))
        for name, coin in falls.items():
            chance *= cold[name] if coin else 1 - cold[name]
        pool = [x for x in fit if falls.get(x.entry.backend, True)]
        low = min(x.estimate for x in pool)
        weights = [float(x.estimate == low) if low < m else x.entry.weight / x.slowness**2 for x in pool]
        for x, weight in zip(pool, weights, strict=True):
            chances[x.entry.backend] += chance * weight / sum(weights)
    return chances


def _drawn(b: Balancer, kind: str, first: EndpointRecord | None) -> Counter[str]:
    """Where requests go from the very same state."""
    got: Counter[str] = Counter()
    was = [(x, x.estimate, x.in_flight) for x in b.index.records.values()]
    for number in range(DRAWS):
        req, b.outbox.actions, b.slow_start.warming_budget.tokens = _request(b, kind, number), [], 1.0
        if first is not None:
            req.attempts.append(Attempt(first, NOW - 10.0, True, api.AttemptStatus.RESET))
        b.router.dispatch(req, b.now)
        (act,) = sends(b.outbox.actions)
        got[act.backend] += 1
        b.limit.in_flight = 0
        for x, estimate, out in was:
            x.estimate, x.in_flight = estimate, out
    return got


def _ties(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate = 2 if i % 3 else 1


def _one_low(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for x in all_of[1:]:
        x.estimate = 2


def _at_m(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate, x.slowness = 6 + i, (0.5, 1.0, 1.4, 3.0)[i % 4]


def _kept_away(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _at_m(b, all_of)
    all_of[0].ejected_until = all_of[4].busy_until = all_of[8].ejected_until = NOW + 50.0
    all_of[1].in_flight = all_of[5].in_flight = 9
    b.limit.limit = 4.0 * SIZE


def _low_ones_kept_away(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _ties(b, all_of)
    for x in all_of[:9:3]:
        x.ejected_until = NOW + 50.0


def _cold(b: Balancer, all_of: list[EndpointRecord]) -> None:
    for i, x in enumerate(all_of):
        x.estimate = i % 3
    for i, x in enumerate(all_of[:4]):
        x.entry.started_at, x.estimate = NOW - 14_000.0 * i - 1000.0, i % 2


def _cold_at_m(b: Balancer, all_of: list[EndpointRecord]) -> None:
    _at_m(b, all_of)
    for x in all_of[3:6]:
        x.entry.started_at = NOW - 30_000.0


@pytest.mark.parametrize("kind", ["read", "repeat"])
@pytest.mark.parametrize(
    "state", [_ties, _one_low, _at_m, _kept_away, _low_ones_kept_away, _cold, _cold_at_m]
)
def test_each_endpoint_is_chosen_with_the_probability_of_the_plain_rule(
    state: Callable[[Balancer, list[EndpointRecord]], None], kind: str
) -> None:
    """Chi-square of seeded draws against exact chances, in a subset that holds the whole list."""
    b = _node()
    all_of = [b.index.records[name] for name in b.index.order]
    state(b, all_of)
    first = all_of[2] if kind == "repeat" else None
    name = "pay" if first else "read"
    req = _request(b, name, 0)
    req.attempts += [Attempt(first, NOW - 10.0, True, api.AttemptStatus.RESET)] if first else []
    chances = _reference(b, req, join_up_to_m.cap(req.statistics), b.limit.limit / SIZE)
    got = _drawn(b, name, first)
    assert set(got) <= {x for x, chance in chances.items() if chance > 0}
    assert sum(chances.values()) == pytest.approx(1.0)
    square = sum((got[x] - DRAWS * chance) ** 2 / (DRAWS * chance) for x, chance in chances.items() if chance)
    free = sum(chance > 0 for chance in chances.values()) - 1
    assert square <= free + 3.5 * math.sqrt(2 * free) + 1e-9


def test_idle_reports_and_faster_responses_count_at_once() -> None:
    """Guards against bounds of the members that outlive what they were taken from."""
    b = _node()
    all_of = [b.index.records[name] for name in b.index.order]
    for x in all_of:
        x.estimate = 6
    _drawn(b, "read", None)
    (floor,) = [candidates.min_estimate for candidates in b.selection.candidates.values()]
    assert floor == 6
    b.selection.apply_report(all_of[3], api.LoadReport(0.0, 0.0), is_fresh=False)
    assert set(_drawn(b, "read", None)) == {all_of[3].entry.backend}
    all_of[3].estimate = 6
    _drawn(b, "read", None)
    for _ in range(60):
        req = _request(b, "read", 0)
        b.classes.by_name["read"].expected_ms = 100.0
        attempt = Attempt(all_of[3], NOW, True)
        b.outcomes.learn(req.statistics, attempt, api.AttemptStatus.OK, 20.0, NOW)
    b.classes.by_name["read"].expected_ms = 100.0
    assert join_up_to_m.cap(req.statistics) == 6
    weights = {x.entry.backend: x.entry.weight / x.slowness**2 for x in all_of}
    part = weights[all_of[3].entry.backend] / sum(weights.values())
    got = _drawn(b, "read", None)[all_of[3].entry.backend] / DRAWS
    assert part > 0.3 and got == pytest.approx(part, abs=0.03)


def test_an_endpoint_that_is_warm_now_is_chosen_like_the_others() -> None:
    b = _node()
    name = b.index.order.window(4, 5)[0]
    b.index.records[name].entry.started_at = NOW - CFG.slow_start_ms + 5.0
    b.handle(b.now, api.ListUpdate(api.ListUpdateKind.DELTA, [replace(b.index.records[name].entry)]))
    assert 0 < _drawn(b, "read", None)[name] < DRAWS / SIZE  # its coin falls for it 1.5 times in 14
    b.now = NOW + 10.0
    for x in b.index.records.values():
        x.estimate = 6 if x.entry.backend == name else 7
    weights = {x.entry.backend: x.weight for x in b.index.records.values()}
    part = weights[name] / sum(weights.values())
    assert _drawn(b, "read", None)[name] == pytest.approx(DRAWS * part, rel=0.2)


def test_reserve_and_then_ejected_endpoints_stand_in_for_the_subset() -> None:
    b = _node(node_count=25)
    assert b.subsetting.subset_size == 3
    view = b.index.window(0, 6)
    for x in view[:3]:
        x.ejected_until = NOW + 50.0
    assert set(_drawn(b, "read", None)) == {x.entry.backend for x in view[3:]}
    for x in view[3:]:
        x.ejected_until = NOW + 50.0
    assert set(_drawn(b, "read", None)) == {x.entry.backend for x in view}
    for x in view[1:]:
        x.busy_until = NOW + 50.0
    assert set(_drawn(b, "read", None)) == {view[0].entry.backend}
