"""Tests of the balancing policy of one node: estimates, choice, health checks, limits, zones and shedding."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.policy import Balancer, join_up_to_m
from balancer.policy.ordered_names import OrderedNames
from tests.helpers import BASE, KEYED, SAFE, WITH_HEALTH_CHECKS, answers, entry, node, sends

NAMES = [f"b{i}" for i in range(8)]


def _arrive(b: Balancer, rid: str, now: float = 1000.0, kind: str = "read") -> list[api.Action]:
    return b.handle(now, api.RequestArrived(rid, kind, now + 1000.0))


def _attempt_ended(
    rid: str, backend: str, status: api.AttemptStatus = api.AttemptStatus.OK, **over: object
) -> api.AttemptEnded:
    closed = status is api.AttemptStatus.OK
    return api.AttemptEnded(rid, 0, backend, status, 50.0, closed, over.get("report"))  # type: ignore[arg-type]


def test_attempts_raise_the_estimate_and_only_an_idle_report_resets_it() -> None:
    b = node(replace(BASE, max_attempts=1), ["x"])
    kept = (
        api.AttemptStatus.OK,
        api.AttemptStatus.ERROR,
        api.AttemptStatus.TIMEOUT,
        api.AttemptStatus.CONNECT_FAILED,
    )
    for i, status in enumerate(kept):
        b.shedding.success_rate = 1.0
        _arrive(b, f"r{i}")
        before = b.index.records["x"].estimate
        b.handle(1001.0, _attempt_ended(f"r{i}", "x", status))
        assert b.index.records["x"].estimate >= before > 0
    b.shedding.success_rate = 1.0
    _arrive(b, "last", 9000.0)
    b.handle(9002.0, _attempt_ended("last", "x", report=api.LoadReport(3.0, 1.0)))
    assert b.index.records["x"].estimate > 0
    _arrive(b, "idle", 9002.0)
    b.handle(9003.0, _attempt_ended("idle", "x", report=api.LoadReport(0.0, 0.0)))
    assert b.index.records["x"].estimate == b.index.records["x"].in_flight


def test_an_empty_queue_means_idle_only_if_requests_in_flight_are_not_reported() -> None:
    b = node(BASE, ["x"])
    _arrive(b, "a")
    b.handle(1001.0, _attempt_ended("a", "x", report=api.LoadReport(4.0, 0.0)))
    assert b.index.records["x"].estimate == 1
    _arrive(b, "b")
    b.handle(1002.0, _attempt_ended("b", "x", report=api.LoadReport(None, 0.0)))
    assert b.index.records["x"].estimate == b.index.records["x"].in_flight


def test_pick_returns_a_random_endpoint_of_the_lowest_estimate_below_m() -> None:
    b = node(BASE, NAMES)
    pool = [b.index.records[n] for n in NAMES]
    for x in pool[2:]:
        x.estimate = 1
    got = Counter(join_up_to_m.pick(b.rng, pool, 2).entry.backend for _ in range(400))
    assert set(got) == {"b0", "b1"} and min(got.values()) > 100


def test_pick_is_random_once_all_estimates_have_reached_m() -> None:
    b = node(BASE, NAMES)
    pool = [b.index.records[n] for n in NAMES]
    for i, x in enumerate(pool):
        x.estimate = 2 + i
    got = Counter(join_up_to_m.pick(b.rng, pool, 2).entry.backend for _ in range(800))
    assert set(got) == set(NAMES) and min(got.values()) > 50


def test_a_request_goes_to_the_first_endpoint_that_reports_idle() -> None:
    b = node(WITH_HEALTH_CHECKS, NAMES)
    checked_names = [a.backend for a in _arrive(b, "r") if isinstance(a, api.CheckHealth)]
    assert len(checked_names) >= 2 and not sends(_arrive(node(WITH_HEALTH_CHECKS, NAMES), "r"))
    assert not sends(
        b.handle(
            1001.0,
            api.HealthCheckEnded(checked_names[0], api.AttemptStatus.OK, 1.0, api.LoadReport(2.0, 1.0)),
        )
    )
    out = sends(
        b.handle(
            1001.0,
            api.HealthCheckEnded(checked_names[1], api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)),
        )
    )
    assert [s.backend for s in out] == [checked_names[1]]


def test_an_endpoint_with_an_overdue_health_check_is_avoided() -> None:
    """Guards against requests that wait for a stalled endpoint."""
    b = node(WITH_HEALTH_CHECKS, NAMES)
    acts = _arrive(b, "r")
    checked_names = [a.backend for a in acts if isinstance(a, api.CheckHealth)]
    timer = next(a for a in acts if isinstance(a, api.SetTimer))
    b.handle(
        1001.0, api.HealthCheckEnded(checked_names[0], api.AttemptStatus.OK, 1.0, api.LoadReport(1.0, 0.0))
    )
    b.handle(timer.fires_at, api.TimerFired(timer.token))
    assert all(b.index.records[p].ejected_until > timer.fires_at for p in checked_names[1:])


def test_the_initial_time_left_of_first_attempts_is_found_by_majority() -> None:
    """Guards against rejecting all first attempts after a single retry with more time left than they have."""
    b = node(BASE, NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    b.handle(1000.0, api.RequestArrived("long", "read", 1950.0))
    for i in range(5):
        assert not answers(b.handle(1001.0, api.RequestArrived(f"b{i}", "read", 1701.0)))


def test_a_retry_whose_objective_has_passed_is_rejected_at_once() -> None:
    b = node(BASE, NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    assert isinstance(
        answers(b.handle(1001.0, api.RequestArrived("old", "read", 1501.0)))[0], api.RejectRequest
    )


def test_a_request_that_cannot_meet_its_objective_is_shed_early() -> None:
    b = node(replace(BASE, weight_by_work=True), NAMES)
    act = b.handle(1000.0, api.RequestArrived("huge", "read", 2000.0, work_hint=5000.0))
    assert isinstance(answers(act)[0], api.RejectRequest) and not sends(act)


def test_each_endpoint_is_in_few_subsets_without_health_checks() -> None:
    """If all nodes use all endpoints, a node's own counts say nothing and the choice is random."""
    names = [f"b{i:02d}" for i in range(60)]
    subset_counts: Counter[str] = Counter()
    for me in range(40):
        b = node(replace(BASE, node_index=me, node_count=40), names)
        subset_counts.update(b.index.order.window(0, b.subsetting.subset_size))
    assert set(subset_counts) == set(names) and max(subset_counts.values()) <= 2 * min(subset_counts.values())
    assert max(subset_counts.values()) < 40 / 3


def test_nodes_with_health_checks_connect_to_few_endpoints() -> None:
    """Guards against filling the connection tables of endpoints, whose size is not in the settings."""
    names = [f"b{i:02d}" for i in range(60)]
    b = node(replace(WITH_HEALTH_CHECKS, node_count=400), names)
    checked = set()
    for i in range(300):
        now = 1000.0 + 10.0 * i
        for p in [a.backend for a in _arrive(b, f"r{i}", now) if isinstance(a, api.CheckHealth)]:
            checked.add(p)
            for s in sends(
                b.handle(now, api.HealthCheckEnded(p, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)))
            ):
                b.handle(now, api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, 5.0, True))
    assert 3 <= len(checked) <= 12


def test_a_node_with_far_more_than_its_share_uses_more_endpoints() -> None:
    """Guards against a node with high load that overloads the few endpoints of an equal share."""
    names = [f"b{i:02d}" for i in range(60)]
    b = node(replace(BASE, node_count=300), names)
    b.limit.limit = 30.0
    got = [s.backend for i in range(24) for s in sends(_arrive(b, f"r{i}"))]
    assert len(got) == 24 and max(Counter(got).values()) <= 3
    low_load = node(replace(BASE, node_count=300), names)
    for i in range(24):
        for s in sends(_arrive(low_load, f"r{i}")):
            low_load.handle(1000.0, _attempt_ended(f"r{i}", s.backend))
    assert len([x for x in low_load.index.records.values() if x.estimate]) <= 3


def test_a_node_with_more_requests_than_endpoints_sends_as_much_as_its_limit_allows() -> None:
    """Guards against dividing the limit by the requests in flight when these outnumber the endpoints."""
    b = node(BASE, NAMES[:4])
    b.limit.limit = 20.0
    got = [s.backend for i in range(20) for s in sends(_arrive(b, f"r{i}"))]
    assert len(got) == 20 and max(Counter(got).values()) <= 6


def _limit_after(
    took: float, responses: int, b: Balancer, status: api.AttemptStatus = api.AttemptStatus.OK
) -> float:
    """Return the limit after `responses` rounds of responses of this duration.

    In each round the node has as many attempts in flight as the limit allows.
    """
    for i in range(responses):
        now = b.now + 1.0
        fill = range(math.ceil(b.limit.limit) - b.limit.in_flight)
        for s in [s for j in fill for s in sends(_arrive(b, f"{took}-{i}-{j}", now))]:
            b.handle(now, api.AttemptEnded(s.request, 0, s.backend, status, took, True))
    return b.limit.limit


def test_network_latency_does_not_lower_the_limit_but_overload_does() -> None:
    """Guards against distant endpoints that look overloaded because of the network round trip alone."""
    b = node(replace(BASE, classes=(SAFE,)), NAMES)
    grown = _limit_after(120.0, 60, b)  # All of the 120 ms count as network latency.
    assert grown > 1.5 * b.limit.min_limit
    assert _limit_after(380.0, 60, b) < grown / 1.5


def test_the_first_responses_of_overloaded_new_endpoints_do_not_raise_the_limit() -> None:
    """During a deployment, nearly every response to a node with little traffic is its endpoint's fastest.

    Without the round trip of the zone, each response would count as network latency alone.
    """
    b = node(replace(BASE, classes=(SAFE,), node_count=100), NAMES)
    _limit_after(20.0, 60, b)
    b.handle(b.now, api.ListUpdate(api.ListUpdateKind.DELTA, [entry(f"new{i}") for i in range(60)]))
    b.classes.by_name["read"].overload = 0.0
    b.limit.limit = 30.0
    order, names = b.index.order, sorted(b.index.order)
    order.remote, order.local = OrderedNames(b.index.records), OrderedNames(b.index.records)
    order.insert([(0, name) for name in names], True)
    _limit_after(380.0, 1, b)
    assert b.classes.by_name["read"].overload > 0.5


def test_a_new_node_raises_its_limit_from_its_first_responses_on() -> None:
    """Guards against busy nodes that reject requests after a start because their limit grows too slowly."""
    b = node(replace(BASE, classes=(SAFE,), node_count=100), NAMES)
    assert _limit_after(20.0, 5, b) > 2.0 * 1.01**5


def test_an_immediate_response_weighs_no_more_than_one_at_the_objective() -> None:
    """Guards against a few immediate responses that hide an overload of most endpoints from the limit."""
    b = node(replace(BASE, classes=(SAFE,)), NAMES)
    _limit_after(10.0, 5, b)
    overload_before = b.classes.by_name["read"].overload
    for took in (410.0, 410.0, 10.0) * 20:
        _limit_after(took, 1, b)
    assert b.classes.by_name["read"].overload > max(0.0, overload_before)


def test_resets_and_rejections_do_not_lower_the_limit_but_timeouts_do() -> None:
    """Guards against mistaking a network that resets one attempt in ten for overloaded endpoints."""
    for status in (
        api.AttemptStatus.RESET,
        api.AttemptStatus.ERROR,
        api.AttemptStatus.CONNECT_FAILED,
        api.AttemptStatus.REJECTED,
    ):
        b = node(replace(BASE, classes=(SAFE,)), NAMES)
        grown = _limit_after(120.0, 60, b)
        assert grown > b.limit.min_limit and _limit_after(1.0, 5, b, status) >= grown
    b = node(replace(BASE, classes=(SAFE,)), NAMES)
    grown = _limit_after(120.0, 60, b)
    assert _limit_after(400.0, 60, b, api.AttemptStatus.TIMEOUT) < grown


def test_a_timeout_due_to_a_short_client_deadline_does_not_count_against_the_endpoint() -> None:
    """Guards against ejecting all endpoints because clients wait for a tenth of the usual time only."""
    for given, counts_as_failure in ((60.0, False), (900.0, True)):
        b = node(replace(BASE, max_attempts=1), ["x"])
        b.classes.by_name["read"].expected_ms = 40.0
        (sent,) = sends(b.handle(1000.0, api.RequestArrived("r", "read", 1000.0 + given)))
        before, now = b.classes.by_name["read"].overload, 1000.0 + given
        b.handle(now, api.AttemptEnded("r", 0, sent.backend, api.AttemptStatus.TIMEOUT, given, False))
        x = b.index.records["x"]
        is_overloaded_more = b.classes.by_name["read"].overload > before
        assert (x.consecutive_failures > 0, x.ejected_until > now, x.slowness > 1.0, is_overloaded_more) == (
            counts_as_failure,
        ) * 4


def test_a_request_that_must_not_be_retried_fails_at_once_and_keeps_the_retry_budget() -> None:
    """Guards against queueing a failed request, and against charging a retry that never happens."""
    b = node(BASE, NAMES)
    (sent,) = sends(_arrive(b, "r", kind="once"))
    b.limit.limit, before = 0.0, b.router.retry_budget.balance
    acts = b.handle(1001.0, _attempt_ended("r", sent.backend, api.AttemptStatus.RESET))
    assert (
        [type(a) for a in answers(acts)] == [api.FailRequest]
        and b.router.retry_budget.balance == before
        and not b.router.queue
    )
    _arrive(b, "s", 1002.0, kind="once")
    assert [req.id for req in b.router.queue] == ["s"]  # A request without attempts may still be queued.


def _requests_by_zone(b: Balancer, count: int, now: float, bad: str = "") -> Counter[str]:
    """Send requests and count them by zone; those in the zone `bad` time out, all others succeed."""
    got: Counter[str] = Counter()
    for i in range(count):
        for s in sends(_arrive(b, f"{now}-{i}", now + 100.0 * i)):
            zone = b.index.records[s.backend].entry.zone
            got[zone] += 1
            status = api.AttemptStatus.TIMEOUT if zone == bad else api.AttemptStatus.OK
            b.handle(now + 100.0 * i, api.AttemptEnded(s.request, 0, s.backend, status, 50.0, zone != bad))
    return got


def test_the_own_zone_comes_first_even_if_the_subset_contains_all_endpoints() -> None:
    """Guards against random cross-zone traffic with few endpoints, and against overloading the own zone."""
    b = Balancer(replace(BASE, charges=api.Charges(cross_zone=0.015)), 1)
    listed = [entry(name, zone="ab"[i % 2]) for i, name in enumerate(NAMES)]
    b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, listed))
    b.zones.spill_fraction, b.limit.limit = 0.0, 16.0
    zones = [b.index.records[s.backend].entry.zone for i in range(16) for s in sends(_arrive(b, f"r{i}"))]
    assert zones[:8] == ["a"] * 8 and zones.count("b") >= 4 and len(zones) == 16


def test_spill_has_no_effect_if_all_endpoints_are_local() -> None:
    """Guards against an empty first choice, as only the first choice may use warming endpoints."""
    b = Balancer(BASE, 1)
    b.handle(10_000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, [entry("x", started_at=5_000.0)]))
    b.zones.spill_fraction = 1.0
    assert any(sends(_arrive(b, f"r{i}", 10_000.0 + i)) for i in range(50))


def test_the_own_zone_is_preferred_by_the_cross_zone_charge_and_left_when_it_fails() -> None:
    """Guards against avoidable cross-zone traffic, and against staying in an overloaded or failing zone."""

    def made(price: float) -> Balancer:
        cfg = replace(BASE, node_count=50, max_attempts=1, charges=api.Charges(cross_zone=price))
        b = Balancer(cfg, 3)
        listed = [entry(f"b{i:02d}", zone="abcd"[i % 4]) for i in range(40)]
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, listed))
        return b

    costly, cheap = made(0.12), made(0.001)
    _requests_by_zone(costly, 200, 1000.0)
    assert _requests_by_zone(costly, 100, 50_000.0)["a"] > 90
    assert _requests_by_zone(cheap, 200, 1000.0)["a"] < 120
    _requests_by_zone(costly, 200, 100_000.0, bad="a")
    late = _requests_by_zone(costly, 100, 200_000.0, bad="a")
    assert late["a"] < sum(late.values()) / 2


@pytest.mark.parametrize(("charge", "warming", "least", "most"), [
    (0.12, 30, 0, 0),  # All local endpoints are warming up.
    (1.0, 30, 100, 200),  # A cross-zone request costs all that it earns.
    (0.12, 3, 150, 190),  # The overflow fraction equals the fraction of warming endpoints.
], ids=["all", "costly", "some"])  # fmt: skip
def test_other_zones_take_the_overflow_of_warming_local_endpoints(
    charge: float, warming: int, least: int, most: int
) -> None:
    """Guards against rejections while other zones have capacity, and against flooding other zones.

    Of 30 local endpoints, `warming` are warming up and the others busy. Of 200 requests, `least` to `most`
    must be rejected.
    """
    cfg = replace(
        BASE, node_count=30, max_attempts=1, slow_start_ms=1e9, charges=api.Charges(cross_zone=charge)
    )
    b = Balancer(cfg, 3)
    listed = [entry(f"b{i:02d}", zone="abc"[i % 3]) for i in range(90)]
    b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, listed))
    for i, name in enumerate(b.index.order.local):
        b.index.records[name].entry.started_at = 1000.0 * (i < warming)
        b.index.records[name].busy_until = 1e9 * (i >= warming)
    b.selection.candidates.clear()
    b.zones.spill_fraction, got, rejected = 0.0, Counter[str](), 0
    for i in range(200):
        acts = _arrive(b, f"r{i}", 1000.0 + 100.0 * i)
        rejected += len(answers(acts))
        for s in sends(acts):
            got[b.index.records[s.backend].entry.zone] += 1
            b.handle(b.now, api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, 50.0, True))
            b.zones.spill_fraction = 0.0
    assert least <= rejected <= most
    assert got.total() + rejected == 200 and got["a"] < 60
    assert (got["b"] + got["c"] > 0) == (charge < 1.0)


def test_a_node_without_any_success_keeps_sending_some_requests() -> None:
    """Guards against a node that sheds all requests in an outage and never notices its end."""
    served = []
    for seed in range(10):
        b = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"], seed)
        for i in range(300):
            for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i)):
                late = api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.TIMEOUT, 99.0, False)
                b.handle(1100.0 + 1000.0 * i, late)
        served.append(sum(_requests_by_zone(b, 40, 400_000.0).values()))
    assert min(served) > 0 and sum(served) > 60


def test_late_responses_lower_the_success_rate() -> None:
    """Guards against a persistent overload in which all responses are late.

    It arises with hundreds of nodes that each have too few requests to reach their concurrency limit.
    """
    cfg = replace(BASE, node_count=50, classes=(replace(BASE.classes[0], late_weight_fraction=0.5),))
    b, sent = node(cfg, ["x", "y", "z"]), 0
    for i in range(100):
        for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i)):
            sent += 1
            b.handle(
                1500.0 + 1000.0 * i,
                api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, 500.0, True),
            )
    assert 0 < sent < 60


def _lossy(late_weight_fraction: float, every: int, seed: int = 5) -> tuple[Balancer, int, int]:
    """Run a node that loses the response to every `every`-th request's first attempt.

    Returns the node, the number of requests that were sent, and the number of retries.
    """
    charges = api.Charges(cross_zone=0.02)
    cls = replace(KEYED, late_weight_fraction=late_weight_fraction)
    cfg = replace(BASE, node_count=50, classes=(cls,), max_attempts=4, charges=charges)
    b, sent, retries = Balancer(cfg, seed), 0, 0
    listed = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(12)]
    b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, listed))
    for i in range(300):
        b.zones.spill_fraction, start, n = 0.5, 1000.0 + 2000.0 * i, 0
        acts = b.handle(start, api.RequestArrived(f"r{i}", "pay", start + 1000.0))
        sent, now = sent + bool(sends(acts)), start
        while out := sends(acts):
            retries += n > 0
            lost = n == 0 and i % every == 0
            took = (out[0].timeout_ms or start + 1000.0 - now) if lost else 40.0
            now += took
            status = api.AttemptStatus.TIMEOUT if lost else api.AttemptStatus.OK
            acts = b.handle(now, api.AttemptEnded(f"r{i}", n, out[0].backend, status, took, not lost))
            n += 1
    return b, sent, retries


def test_lost_responses_are_retried_while_that_has_worth() -> None:
    """Guards against waiting to the deadline for lost responses, and against too short timeouts otherwise."""
    b, sent, retries = _lossy(0.5, 3)
    # Only the first few losses are not retried, and none for lack of budget or of an endpoint in the zone.
    assert sent == 300 and retries >= 95
    assert 0 < sends(b.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms < 400
    calm, _, _ = _lossy(0.5, 1000)
    assert sends(calm.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms == 0.0
    worthless, _, _ = _lossy(0.0, 3)
    worthless.shedding.success_rate = 1.0
    assert sends(worthless.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms > 390


def test_an_overload_sheds_most_requests_but_none_of_high_value() -> None:
    """Guards against hundreds of nodes with little traffic that together keep endpoints overloaded."""
    classes = (replace(SAFE, name="low"), replace(SAFE, name="high", priority_weight=50.0))
    sent: Counter[str] = Counter()
    for seed in range(10):
        b = node(replace(BASE, node_count=500, classes=classes, max_attempts=1), NAMES, seed)
        for i in range(150):
            kind = "high" if i % 10 == 9 else "low"
            for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i, kind)):
                sent[kind] += i >= 50
                bad = i % 2 == 0
                status = api.AttemptStatus.TIMEOUT if bad else api.AttemptStatus.OK
                now = 1400.0 + 1000.0 * i
                b.handle(now, api.AttemptEnded(s.request, 0, s.backend, status, 100.0, not bad))
    assert sent["high"] == 100 and 0.15 * 900 < sent["low"] < 0.65 * 900


def test_one_bad_response_sheds_nothing() -> None:
    """Guards against shedding at low load because of a single failed response."""
    for seed in range(40):
        b = node(replace(BASE, node_count=50, max_attempts=1), NAMES, seed)
        for i in range(3):
            got = sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i))
            status = api.AttemptStatus.TIMEOUT if i == 0 else api.AttemptStatus.OK
            b.handle(1100.0 + 1000.0 * i, api.AttemptEnded(f"r{i}", 0, got[0].backend, status, 90.0, i > 0))


def test_slow_endpoints_get_less_once_all_are_at_the_cap() -> None:
    """Endpoints differ in speed without reporting it, so the random choice must follow response times."""
    b = node(replace(BASE, node_count=50), ["x", "y", "z"])
    got: Counter[str] = Counter()
    for i in range(300):
        for s in sends(_arrive(b, f"r{i}", 1000.0 + 100.0 * i)):
            got[s.backend] += i >= 100
            took = 150.0 if s.backend == "x" else 50.0
            b.handle(
                1000.0 + 100.0 * i,
                api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, took, True),
            )
    assert 0 < got["x"] < min(got["y"], got["z"]) / 2


def test_rejected_attempts_that_are_served_elsewhere_do_not_shed() -> None:
    """Guards against shedding when endpoints with short queues reject many first attempts."""
    b, sent, rng = node(replace(BASE, node_count=50), NAMES), 0, random.Random(1)
    for i in range(300):
        now = 1000.0 + 2000.0 * i
        acts, n = _arrive(b, f"r{i}", now), 0
        sent += bool(sends(acts))
        while (out := sends(acts)) and n < 3:
            full = n == 0 and rng.random() < 0.6
            status = api.AttemptStatus.REJECTED if full else api.AttemptStatus.OK
            acts = b.handle(now, api.AttemptEnded(f"r{i}", n, out[0].backend, status, 20.0, not full))
            n += 1
    assert sent == 300


def test_panic_ignores_ejections_but_not_busy_endpoints() -> None:
    """Guards against ejecting all endpoints for faults of the node itself, and against connection storms."""

    def after(status: api.AttemptStatus) -> int:
        b, sent = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"]), 0
        for i in range(12):
            got = sends(_arrive(b, f"r{i}", 1000.0 + i))
            sent += len(got)
            for s in got:
                b.handle(1000.0 + i, api.AttemptEnded(s.request, 0, s.backend, status, 1.0, False))
        return sent

    assert after(api.AttemptStatus.RESET) == 12
    assert after(api.AttemptStatus.CONNECT_FAILED) == 3


def test_the_limit_does_not_rise_while_it_is_not_reached() -> None:
    """Guards against nodes whose limit grows at low load, which would flood the endpoints in a burst."""
    b = node(replace(BASE, node_count=4), NAMES)
    first = max(b.limit.limit, b.limit.min_limit)
    for i in range(300):
        got = sends(_arrive(b, f"r{i}"))
        b.handle(1001.0, _attempt_ended(f"r{i}", got[0].backend))
    assert b.limit.limit <= first * 1.01


def test_decisions_do_not_depend_on_the_names_of_classes_zones_and_tenants() -> None:
    """Guards against decisions that depend on names instead of the numbers of settings and events."""

    def run(cls: str, zone: str, tenant: str) -> list[str]:
        settings = replace(
            BASE,
            classes=(replace(BASE.classes[0], name=cls),),
            zone=zone,
            tenants=(api.Tenant(tenant, 5.0, 1.0),),
        )
        b = Balancer(settings, 7)
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry(n, zone=zone) for n in NAMES]))
        acts = []
        for i in range(50):
            acts += b.handle(1000.0 + i, api.RequestArrived(f"r{i}", cls, 2000.0 + i, tenant=tenant))
        return [repr(a) for a in acts]

    assert run("read", "a", "t") == run("zzz", "north", "q")


def test_a_restarted_endpoint_is_not_avoided_for_failures_before_the_restart() -> None:
    """Guards against a restored zone without traffic, as ejections doubled with each lost connection."""
    b = node(replace(BASE, max_attempts=1), ["x"])
    for i in range(5):
        (sent,) = sends(_arrive(b, f"r{i}", now := 1000.0 + 20_000.0 * i))
        b.handle(now + 1.0, _attempt_ended(sent.request, "x", api.AttemptStatus.CONNECT_FAILED))
    x = b.index.records["x"]
    assert x.busy_until > b.now + 1000.0
    b.handle(b.now, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("x", started_at=b.now)]))
    assert max(x.busy_until, x.ejected_until) <= b.now and x.consecutive_failures == 0


def test_idle_reports_are_trusted_less_once_attempts_at_idle_endpoints_fail() -> None:
    """Guards against outdated idle reports that attract the requests of all nodes to the same endpoints."""

    def sent_of(status: api.AttemptStatus) -> int:
        b, sent = node(WITH_HEALTH_CHECKS, NAMES), 0
        for i in range(80):
            now = 1000.0 + 2000.0 * i
            for act in _arrive(b, f"r{i}", now):
                if isinstance(act, api.CheckHealth):
                    seen = api.HealthCheckEnded(
                        act.backend, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)
                    )
                    for s in sends(b.handle(now, seen)):
                        sent += 1
                        closed = status is api.AttemptStatus.OK
                        b.handle(now, api.AttemptEnded(s.request, 0, s.backend, status, 5.0, closed))
        return sent

    assert sent_of(api.AttemptStatus.OK) == 80
    assert sent_of(api.AttemptStatus.REJECTED) < 60


def test_nodes_with_few_requests_shed_a_fraction_of_them_when_attempts_fail() -> None:
    """Guards against hundreds of nodes that each keep sending one request to endpoints that never respond."""
    b, sent = node(BASE, NAMES), 0
    for i in range(200):
        now = 1000.0 + 3000.0 * i
        for s in sends(_arrive(b, f"r{i}", now)):
            sent += 1
            b.handle(
                now + 390.0, api.AttemptEnded(f"r{i}", 0, s.backend, api.AttemptStatus.TIMEOUT, 390.0, False)
            )
    assert 0 < sent < 100


def test_requests_queued_before_or_after_a_first_attempt_end_in_time() -> None:
    """Guards against losing a request that is queued again after a rejected attempt."""
    b = node(replace(BASE, max_attempts=3), ["x"])
    b.limit.limit = 1.0
    first = sends(_arrive(b, "a"))[0]
    acts = _arrive(b, "b")
    assert first and not sends(acts)
    b.limit.in_flight = 5  # Other requests keep the node at its concurrency limit.
    again = b.handle(1001.0, api.AttemptEnded("a", 0, "x", api.AttemptStatus.REJECTED, 1.0, False))
    timers = [a for a in [*acts, *again] if isinstance(a, api.SetTimer)]
    ended = [x.request for t in timers for x in answers(b.handle(t.fires_at, api.TimerFired(t.token)))]
    assert sorted(ended + [x.request for x in answers(again)]) == ["a", "b"]


def test_a_nodes_order_contains_each_endpoint_once() -> None:
    """Guards against duplicates in the subset when the own zone has fewer endpoints than the subset."""
    priced = replace(BASE, zone="a", charges=api.Charges(cross_zone=0.015))
    for local_count in range(1, 8):
        for me in range(3):
            b = Balancer(replace(priced, node_count=3, node_index=me), 1)
            listed = [entry(name, zone="a" if i < local_count else "b") for i, name in enumerate(NAMES)]
            b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, listed))
            assert (
                sorted(b.index.order) == NAMES
                and sorted(b.index.order.window(0, b.subsetting.local_count)) == NAMES[:local_count]
            )


def test_log_lines_that_the_on_call_page_documents_are_rate_limited() -> None:
    lines = []
    b = node(BASE, NAMES)
    for i in range(300):
        for s in sends(acts := _arrive(b, f"r{i}", 1000.0 + i)):
            acts += b.handle(
                1000.0 + i, api.AttemptEnded(f"r{i}", 0, s.backend, api.AttemptStatus.RESET, 1.0, False)
            )
        lines += [a.text for a in acts if isinstance(a, api.WriteLog)]
    now = 50_000.0
    failed = b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, []))
    lines += [a.text for a in failed if isinstance(a, api.WriteLog)]
    b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, []))
    for i in range(300):
        lines += [a.text for a in _arrive(b, f"h{i}", 70_000.0) if isinstance(a, api.WriteLog)]
    page = (Path(__file__).parents[1] / "docs" / "on-call.md").read_text(encoding="utf-8")
    starts = {line.split(":")[0] for line in lines}
    assert len(lines) <= 4 and starts <= {"panic", "list", "shedding"} and len(starts) >= 2
    assert all(f"`{word}:" in page for word in ("panic", "list", "shedding"))


def test_retry_after_is_random_within_its_limit() -> None:
    """Guards against rejected clients that all retry at the same time."""
    delays_ms: list[float] = []
    for max_ms in (0.0, 150.0, 1000.0):
        b = node(replace(BASE, max_retry_after_ms=max_ms), ["b0"])
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, []))
        got = [answers(_arrive(b, f"r{i}", 1000.0))[0] for i in range(20)]
        delays_ms = [a.retry_after_ms for a in got if isinstance(a, api.RejectRequest)]
        assert len(delays_ms) == 20 and all(0.0 <= t <= max_ms for t in delays_ms)
        assert max_ms == 0.0 or min(delays_ms) > 0.0
    assert len(set(delays_ms)) == 20


def test_the_lowest_limit_grows_with_the_endpoints_per_node() -> None:
    """Guards against idle endpoints if there are few nodes and service alone takes much of the objective."""
    many = [f"b{i}" for i in range(60)]
    b = node(replace(BASE, node_count=3), many)
    for i in range(2000):
        now = 1000.0 + i
        for s in sends(_arrive(b, f"r{i}", now)):
            b.handle(now, api.AttemptEnded(f"r{i}", 0, s.backend, api.AttemptStatus.OK, 200.0, True))
    assert b.limit.limit >= 20.0


def test_expired_requests_leave_the_queue() -> None:
    """Guards against a queue that grows for as long as an overload lasts."""
    b = node(BASE, NAMES)
    b.limit.in_flight = 99
    for i in range(50):
        acts = _arrive(b, f"r{i}", 1000.0 + 1000.0 * i)
        for t in [a for a in acts if isinstance(a, api.SetTimer)]:
            assert answers(b.handle(t.fires_at, api.TimerFired(t.token)))
    assert not b.router.queue and not b.requests.by_id


def test_the_gauge_counts_given_up_requests_by_reason() -> None:
    b = node(replace(BASE, max_attempts=1), ["x"])
    b.limit.limit = 1.0
    _arrive(b, "first")
    b.handle(1001.0, _attempt_ended("first", "x", api.AttemptStatus.ERROR))
    b.handle(1001.0, api.RequestArrived("late", "read", 1002.0))
    b.handle(1001.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, []))
    b.shedding.success_rate = 1.0
    _arrive(b, "nowhere", 1002.0)
    assert b.gauge().endswith("given_up_failed=1 given_up_late=1 given_up_none=1")
    assert "given_up" not in b.gauge()


def test_endpoints_count_as_unavailable_only_after_being_avoided_for_500_ms() -> None:
    b = node(replace(BASE, max_attempts=1), ["x", "y"])
    x = b.index.records["x"]
    b.handle(2000.0, api.TimerFired(0))
    b.ejection.eject(x, b.now)
    x.ejected_until = 2400.0
    assert (b.count_unavailable(2100.0), b.count_unavailable(2399.0)) == (0, 0)
    b.handle(2300.0, api.TimerFired(0))
    b.ejection.eject(x, b.now)  # The endpoint is ejected again before the first ejection ends.
    x.ejected_until = 3000.0
    assert (b.count_unavailable(2499.0), b.count_unavailable(2500.0), b.count_unavailable(3000.0)) == (
        0,
        1,
        0,
    )
    b.handle(3100.0, api.MaintenanceChanged("y", True))
    assert b.count_unavailable(3100.0) == 1
