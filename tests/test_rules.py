"""Tests of the four rules of the protocol: corner cases, random event orders, and detection of faults."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer import policy
from balancer.policy import Balancer, polling
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_list import EndpointList
from balancer.policy.routing import Router
from balancer.policy.slow_start import SlowStart
from tests.helpers import (
    BASE,
    KEYED,
    SAFE,
    WITH_HEALTH_CHECKS,
    OverloadBudgetChecker,
    RuleChecker,
    answers,
    entry,
    node,
    sends,
)

FAILURES = [s for s in api.AttemptStatus if s is not api.AttemptStatus.OK]


def drive(cfg: api.Settings, seed: int, steps: int = 120) -> RuleChecker:
    """Run a node through a valid but adverse random sequence of events, and check every action."""
    rng = random.Random(seed)
    names = [f"b{i}" for i in range(rng.randint(1, 9))]
    phases = [
        api.EndpointPhase.IN_SERVICE,
        api.EndpointPhase.IN_SERVICE,
        api.EndpointPhase.IN_SERVICE,
        api.EndpointPhase.DRAINING,
        api.EndpointPhase.REMOVED,
    ]
    b, check, now = Balancer(cfg, seed), RuleChecker(cfg), 5000.0
    timers: list[tuple[float, int]] = []
    in_flight: list[tuple[str, int, str, float]] = []
    pending_checks: list[str] = []

    def listed(name: str) -> api.Endpoint:
        return entry(name, zone=rng.choice("ab"), cell=rng.randint(0, 2), phase=rng.choice(phases),
                     started_at=rng.choice([0.0, now - rng.uniform(0, 8000)]))  # fmt: skip

    def handle_event(ev: api.Event) -> None:
        check.event(now, ev)
        acts = b.handle(now, ev)
        for act in acts:
            if isinstance(act, api.SetTimer):
                timers.append((act.fires_at, act.token))
            elif isinstance(act, api.CheckHealth):
                pending_checks.append(act.backend)
            elif isinstance(act, api.StartAttempt):
                count = len(check.requests[act.request].attempts)
                until = check.requests[act.request].deadline
                if act.timeout_ms > 0:
                    until = min(until, now + act.timeout_ms)
                in_flight.append((act.request, count, act.backend, until))
        check.actions(now, acts)

    def resolve(index: int, status: api.AttemptStatus) -> None:
        rid, number, backend, _ = in_flight.pop(index)
        closed = check.requests[rid].is_ended or status is api.AttemptStatus.OK
        load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(float(rng.randint(0, 30)), 0.0)])
        handle_event(api.AttemptEnded(rid, number, backend, status, rng.uniform(0, 500), closed, load))

    handle_event(api.ListUpdate(api.ListUpdateKind.CACHED, [listed(n) for n in names]))
    for step in range(steps):
        roll = rng.random()
        if roll < 0.35:
            kind = rng.choice(cfg.classes)
            hint = rng.choice([None, rng.uniform(1, 900)])
            left = kind.deadline_ms * rng.uniform(0.1, 1.0)
            handle_event(
                api.RequestArrived(f"r{step}", kind.name, now + left, rng.random() < 0.3, work_hint=hint)
            )
        elif roll < 0.6 and in_flight:
            resolve(rng.randrange(len(in_flight)), rng.choice([*FAILURES, api.AttemptStatus.OK]))
        elif roll < 0.75 and pending_checks:
            load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(7.0, 2.0)])
            handle_event(
                api.HealthCheckEnded(
                    pending_checks.pop(rng.randrange(len(pending_checks))),
                    rng.choice(list(api.AttemptStatus)),
                    1.0,
                    load,
                )
            )
        elif roll < 0.85:
            kinds = [api.ListUpdateKind.DELTA, api.ListUpdateKind.SNAPSHOT, api.ListUpdateKind.FAILED]
            pool = [*names, f"n{step}"]
            some = rng.sample(pool, rng.randint(0, len(pool)))
            mode = rng.choice(kinds)
            handle_event(
                api.ListUpdate(mode, [] if mode is api.ListUpdateKind.FAILED else [listed(n) for n in some])
            )
        elif roll < 0.9 and check.requests:
            handle_event(api.ClientDisconnected(rng.choice(sorted(check.requests))))
        then = now + rng.choice([0.0, 1.0, 20.0, 300.0])
        while True:  # Timers fire in order, and attempts end by their timeout or deadline at the latest.
            due = min(timers, default=(then + 1, -1))
            next_end = min(((u, i) for i, (_, _, _, u) in enumerate(in_flight)), default=(then + 1, -1))
            if min(due[0], next_end[0]) > then:
                break
            if due[0] <= next_end[0]:
                timers.remove(due)
                now = max(now, due[0])
                handle_event(api.TimerFired(due[1]))
            else:
                now = max(now, next_end[0])
                resolve(next_end[1], api.AttemptStatus.TIMEOUT)
        now = then
        assert not check.overdue(now), f"rule 1: no final response for {check.overdue(now)}"
    return check


VARIANTS = [
    BASE,
    WITH_HEALTH_CHECKS,
    replace(BASE, hedging_allowed=False, max_attempts=4),
    replace(WITH_HEALTH_CHECKS, hedging_allowed=False, must_subscribe=True),
    replace(
        WITH_HEALTH_CHECKS,
        classes=(replace(KEYED, deduplication_scope=api.DeduplicationScope.CELL), BASE.classes[2]),
    ),
    replace(
        BASE,
        classes=(
            replace(KEYED, deduplication_scope=api.DeduplicationScope.ALL),
            replace(SAFE, late_weight_fraction=0.5),
        ),
    ),
    replace(BASE, node_count=300, has_endpoint_weights=True, load_report_mode=api.LoadReportMode.NONE),
]


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**9), st.sampled_from(VARIANTS))
def test_rules_hold_under_adverse_event_orders(seed: int, cfg: api.Settings) -> None:
    assert drive(cfg, seed).requests is not None


def _breaks(cfg: api.Settings, match: str) -> None:
    with pytest.raises(AssertionError, match=match):
        for seed in range(300):
            drive(cfg, seed)


def test_the_rule_checker_detects_a_missing_retry_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Eligibility, "required_domains", lambda self, request, now: set())
    _breaks(BASE, "rule 2")


def test_the_rule_checker_detects_attempts_at_draining_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    original = EndpointList.apply

    def apply_as_in_service(self: EndpointList, ev: api.ListUpdate) -> None:
        original(
            self,
            api.ListUpdate(ev.kind, [replace(e, phase=api.EndpointPhase.IN_SERVICE) for e in ev.entries]),
        )

    monkeypatch.setattr(EndpointList, "apply", apply_as_in_service)
    _breaks(replace(BASE, drain_grace_ms=0.0), "rule 3")


def test_the_rule_checker_detects_a_missing_final_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Router, "retry", lambda self, request, now: None)
    _breaks(BASE, "rule 1")


def test_a_non_idempotent_request_is_retried_only_if_it_was_not_executed() -> None:
    b = node(BASE, ["x", "y", "z"])
    first = sends(b.handle(1000.0, api.RequestArrived("r", "once", 2000.0)))[0]
    again = sends(
        b.handle(1001.0, api.AttemptEnded("r", 0, first.backend, api.AttemptStatus.REJECTED, 1.0, False))
    )
    assert again
    end = b.handle(1002.0, api.AttemptEnded("r", 1, again[0].backend, api.AttemptStatus.RESET, 1.0, False))
    assert not sends(end) and isinstance(answers(end)[0], api.FailRequest)


def test_a_retry_with_an_idempotency_key_stays_in_the_zone_if_the_request_may_have_been_executed() -> None:
    for seed in range(30):
        b = Balancer(BASE, seed)
        entries = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(8)]
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, entries))
        zones = {e.backend: e.zone for e in entries}
        first = sends(b.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))[0]
        again = sends(
            b.handle(1001.0, api.AttemptEnded("r", 0, first.backend, api.AttemptStatus.RESET, 1.0, False))
        )
        assert again and zones[again[0].backend] == zones[first.backend]


def test_draining_or_removed_endpoints_get_no_requests() -> None:
    b = node(BASE, ["x", "y", "z"])
    b.handle(1001.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("x", phase=api.EndpointPhase.DRAINING)]))
    b.handle(
        1002.0,
        api.ListUpdate(
            api.ListUpdateKind.SNAPSHOT, [entry("y"), entry("x", phase=api.EndpointPhase.DRAINING)]
        ),
    )
    for i in range(40):
        acts = b.handle(1003.0 + i, api.RequestArrived(f"r{i}", "read", 2003.0 + i))
        assert {s.backend for s in sends(acts)} <= {"y"}


def test_requests_are_rejected_while_the_list_is_empty() -> None:
    for cfg in (BASE, WITH_HEALTH_CHECKS):
        b = Balancer(cfg, 1)
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, []))
        assert isinstance(
            answers(b.handle(1001.0, api.RequestArrived("r", "read", 2001.0)))[0], api.RejectRequest
        )


def exceeds_overload_budget(nodes: int, rate: int, cold_fraction: float) -> bool:
    """Return whether all nodes together exceed a warming endpoint's budget in an overload window."""
    cfg = replace(
        BASE,
        node_count=nodes,
        cold_capacity_fraction=cold_fraction,
        slow_start_ms=20_000.0,
        overload_window_ms=1000.0,
    )
    backends, sent = 40, 0
    for me in range(nodes):
        b = Balancer(replace(cfg, node_index=me), me)
        endpoints = [entry(f"b{i:02d}", started_at=9_999.0 if i == 7 else 0.0) for i in range(backends)]
        b.handle(10_000.0, api.ListUpdate(api.ListUpdateKind.CACHED, endpoints))
        for i in range(rate):
            now = 10_000.0 + 1000.0 * i / rate
            for s in sends(b.handle(now, api.RequestArrived(f"r{i}", "read", now + 1000.0))):
                sent += s.backend == "b07"
                b.handle(now, api.AttemptEnded(f"r{i}", 0, s.backend, api.AttemptStatus.OK, 30.0, True))
    # At `warm_rate` requests per second, a warm endpoint gets no more than its capacity.
    warm_rate = nodes * rate / backends
    return sent > cfg.overload_multiple * cold_fraction * warm_rate


@pytest.mark.parametrize(("nodes", "rate"), [(300, 4), (12, 100), (3, 400)])
@pytest.mark.parametrize("cold_fraction", [0.14, 0.35])
def test_all_nodes_together_stay_under_a_warming_endpoints_budget(
    nodes: int, rate: int, cold_fraction: float
) -> None:
    """Each node must scale its share of the budget, so that the sum does not grow with the node count."""
    assert not exceeds_overload_budget(nodes, rate, cold_fraction)


def test_the_warming_budget_check_detects_a_missing_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "warmth", lambda self, entry, now: 1.0)
    assert exceeds_overload_budget(12, 100, 0.14)


def worst_budget_use_in_deployment(cfg: api.Settings, nodes: int, at_once: int) -> float:
    """Simulate a deployment of all endpoints and return the largest fraction of a budget that was used.

    It includes a load burst, retries, and list updates that reach nodes at different times.
    """
    rng, size, capacity_per_s, now = random.Random(nodes), 20, 20.0, 50_000.0
    endpoints = {i: entry(f"b{i:02d}", zone="ab"[i % 2]) for i in range(size)}
    balancers = [
        Balancer(replace(cfg, node_index=me, node_count=nodes, zone="ab"[me % 2]), me) for me in range(nodes)
    ]
    for b in balancers:
        b.handle(now, api.ListUpdate(api.ListUpdateKind.CACHED, [replace(e) for e in endpoints.values()]))
    budget, request_count = OverloadBudgetChecker(cfg, capacity_per_s), 0
    pending_updates: list[tuple[float, Balancer, list[api.Endpoint]]] = []
    in_flight: list[tuple[float, Balancer, api.AttemptEnded]] = []
    end, next_batch, replaced_count = now + 30_000.0, now + 2000.0, 0
    while now < end:
        now += 1000.0 / (0.6 * size * capacity_per_s * (1.6 if 8000.0 < end - now < 10_000.0 else 1.0))
        if now >= next_batch and replaced_count < size:
            for i in range(replaced_count, min(size, replaced_count + at_once)):
                old, endpoints[i] = endpoints[i], entry(f"n{i:02d}", zone="ab"[i % 2], started_at=now)
                removed = replace(old, phase=api.EndpointPhase.REMOVED)
                pending_updates += [
                    (now + rng.uniform(0, 1500), b, [removed, endpoints[i]]) for b in balancers
                ]
            replaced_count, next_batch = replaced_count + at_once, now + 2500.0
        for item in [x for x in pending_updates if x[0] <= now]:
            pending_updates.remove(item)
            item[1].handle(now, api.ListUpdate(api.ListUpdateKind.DELTA, [replace(e) for e in item[2]]))
        request_count += 1
        who = rng.choice(balancers)
        acts = [
            (who, a) for a in who.handle(now, api.RequestArrived(f"r{request_count}", "read", now + 1000.0))
        ]
        for ended in [x for x in in_flight if x[0] <= now]:
            in_flight.remove(ended)
            acts += [(ended[1], a) for a in ended[1].handle(now, ended[2])]
        for b, s in [(b, a) for b, a in acts if isinstance(a, api.StartAttempt)]:
            there = b.index.records[s.backend].entry
            budget.send(now, there)
            number = len(b.requests.by_id[s.request].attempts) - 1
            full = rng.random() < 0.15
            status = api.AttemptStatus.REJECTED if full else api.AttemptStatus.OK
            took = 1.0 if full else rng.expovariate(1 / 40.0)
            in_flight.append(
                (now + took, b, api.AttemptEnded(s.request, number, s.backend, status, took, not full))
            )
    return budget.worst()


DEPLOYMENTS = [(60, 3), (200, 20), (8, 6)]


@pytest.mark.parametrize(("nodes", "at_once"), DEPLOYMENTS)
def test_a_deployment_of_all_endpoints_stays_within_each_overload_budget(nodes: int, at_once: int) -> None:
    cfg = replace(
        BASE,
        cold_capacity_fraction=0.12,
        slow_start_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert 0.0 < worst_budget_use_in_deployment(cfg, nodes, at_once) <= 1.0


def test_the_deployment_check_detects_a_missing_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "warmth", lambda self, entry, now: 1.0)
    cfg = replace(
        BASE,
        cold_capacity_fraction=0.12,
        slow_start_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert worst_budget_use_in_deployment(cfg, 60, 3) > 1.0


def test_requests_are_served_while_all_endpoints_warm_up() -> None:
    b = node(BASE, [f"b{i}" for i in range(10)], started_at=999.0)
    served = 0
    for i in range(400):
        got = sends(b.handle(1000.0 + i, api.RequestArrived(f"r{i}", "read", 2000.0 + i)))
        served += len(got)
        for s in got:
            b.handle(1000.0 + i, api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, 5.0, True))
    assert served > 0


def _next_call_after_ms(acts: list[api.Action], now: float) -> float:
    """Return the time in ms until the timer among the actions fires."""
    (timer,) = (a for a in acts if isinstance(a, api.SetTimer))
    return timer.fires_at - now


@pytest.mark.parametrize("took", [0.0, 2000.0, 3050.0])
@pytest.mark.parametrize("list_max_age_ms", [1_000.0, 10_000.0, 60_000.0])
def test_failed_discovery_calls_back_off_with_jitter(took: float, list_max_age_ms: float) -> None:
    """The backoff doubles up to the rest of the call interval, however long the failed call took."""
    waits: list[list[float]] = []
    for seed in range(40):
        b, row, now = (
            Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=list_max_age_ms), seed),
            [],
            1000.0,
        )
        wait = _next_call_after_ms(
            b.handle(now, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")])), now
        )
        assert 0.0 <= wait <= min(list_max_age_ms / 2, polling.MAX_CALL_INTERVAL_MS)
        for token in range(1, 12):
            now += wait
            assert [type(a) for a in b.handle(now, api.TimerFired(token))] == [api.WatchEndpoints]
            called_at, now = now, now + took
            wait = _next_call_after_ms(b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, [])), now)
            row.append(wait)
            assert now + wait - called_at <= polling.MAX_CALL_INTERVAL_MS + 0.001
        waits.append(row)
    for nth in range(11):
        waits_ms = [row[nth] for row in waits]
        max_wait_ms = min(
            list_max_age_ms / 32 * 2 ** min(nth + 1, 5) * 1.5, polling.MAX_CALL_INTERVAL_MS - took
        )
        assert (
            max_wait_ms / 3 - 0.001 <= min(waits_ms) < 0.5 * max_wait_ms
            and 0.85 * max_wait_ms < max(waits_ms) <= max_wait_ms + 0.001
        )
        assert len({round(wait, 3) for wait in waits_ms}) > 30


def test_a_failed_call_that_polling_did_not_schedule_is_followed_as_soon() -> None:
    """A watch is reopened without an event, and such a call may have taken the maximum duration."""
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=60_000.0), seed)
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")]))
        b.handle(2000.0, api.TimerFired(1))
        b.handle(3000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, [entry("x")]))
        for _ in range(3):
            wait = _next_call_after_ms(
                b.handle(600_000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [])), 600_000.0
            )
            assert polling.WAIT_AFTER_LONG_CALL_MS / 3 <= wait <= polling.WAIT_AFTER_LONG_CALL_MS


@pytest.mark.parametrize("list_max_age_ms", [10_000.0, 60_000.0])
def test_the_wait_after_calls_that_discovery_ends_shrinks_with_its_silence(
    list_max_age_ms: float,
) -> None:
    """Several calls must fit into the time until a change must be known, and two calls after it."""
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=list_max_age_ms), seed)
        b.handle(0.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")]))
        now, waits = 1000.0, list[tuple[float, float]]()
        for _ in range(20):
            b.handle(now, api.TakeoverStarted())
            failure = api.DiscoveryFailure(silent_ms=now - 1000.0, ended_by_discovery=True)
            wait = _next_call_after_ms(
                b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure)), now
            )
            waits.append((now - 1000.0, wait))
            now += wait
        before_deadline = [(silent, wait) for silent, wait in waits if silent < polling.CHANGE_KNOWN_AFTER_MS]
        assert all(
            wait <= max(polling.MIN_WAIT_MS, (polling.CHANGE_KNOWN_AFTER_MS - silent) / 4)
            for silent, wait in before_deadline
        )
        assert (
            max(wait for _, wait in before_deadline) <= polling.MAX_WAIT_WHEN_OVERLOADED_MS
            and 5 <= len(before_deadline) <= 15
        )
        after_deadline = [wait for silent, wait in waits if silent >= polling.CHANGE_KNOWN_AFTER_MS]
        assert (
            max(after_deadline) <= polling.MAX_CALL_INTERVAL_WHEN_REJECTED_MS
            and min(after_deadline) >= polling.WAIT_AFTER_LONG_CALL_MS / 3
        )


def test_the_wait_after_a_call_that_discovery_queued_does_not_shrink() -> None:
    """The wait stays within the maximum for an overloaded discovery, even when little time is left."""
    waits_ms = list[float]()
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=60_000.0), seed)
        b.handle(1000.0, api.TakeoverStarted())
        failure = api.DiscoveryFailure(silent_ms=5_900.0, ended_by_discovery=True, ended_after_wait=True)
        acts = b.handle(2000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure))
        waits_ms.append(_next_call_after_ms(acts, 2000.0))
    assert (
        min(waits_ms) >= polling.MAX_WAIT_WHEN_OVERLOADED_MS / 3
        and max(waits_ms) <= polling.MAX_WAIT_WHEN_OVERLOADED_MS
    )
    assert len({round(wait) for wait in waits_ms}) > 30


def test_new_settings_reset_the_backoff() -> None:
    """The settings may name another discovery, which must be called soon."""
    cfg = replace(BASE, must_subscribe=True, list_max_age_ms=10_000.0)
    for seed in range(20):
        b = Balancer(cfg, seed)
        for _ in range(5):
            b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.FAILED, []))
        b.handle(1000.0, api.TakeoverStarted())
        b.handle(1000.0, api.Reconfigured(cfg))
        assert (
            _next_call_after_ms(b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [])), 1000.0)
            < 940.0
        )


def test_without_an_endpoint_in_service_discovery_is_called_at_once() -> None:
    """The node cannot serve until discovery names an endpoint in service."""
    leaving = entry("x", phase=api.EndpointPhase.DRAINING)
    for entries in ([], [leaving]):
        b = Balancer(replace(BASE, must_subscribe=True), 1)
        assert (
            _next_call_after_ms(b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, entries)), 1000.0)
            == 0.0
        )
    b = Balancer(replace(BASE, must_subscribe=True), 1)
    saved = b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [leaving, entry("y")]))
    assert _next_call_after_ms(saved, 1000.0) > 0.0


def test_only_one_call_is_scheduled_after_several_failures() -> None:
    """Guards against two concurrent series of calls when another call than the scheduled one fails."""
    b = Balancer(replace(BASE, must_subscribe=True), 1)
    tokens = []
    for kind in (api.ListUpdateKind.CACHED, api.ListUpdateKind.FAILED, api.ListUpdateKind.FAILED):
        acts = b.handle(
            1000.0, api.ListUpdate(kind, [entry("x")] if kind is api.ListUpdateKind.CACHED else [])
        )
        tokens += [a.token for a in acts if isinstance(a, api.SetTimer)]
    called = [[type(a) for a in b.handle(6000.0, api.TimerFired(token))] for token in (*tokens, tokens[-1])]
    assert called == [[], [], [api.WatchEndpoints], []]
    acts = b.handle(6000.0, api.ListUpdate(api.ListUpdateKind.FAILED, []))
    (last_token,) = (a.token for a in acts if isinstance(a, api.SetTimer))
    assert [type(a) for a in b.handle(6001.0, api.TakeoverStarted())] == [api.WatchEndpoints]
    assert b.handle(9000.0, api.TimerFired(last_token)) == []


def test_invalid_events_raise_a_call_error_that_names_the_fault() -> None:
    b = node(BASE, ["x"])
    with pytest.raises(api.CallError, match="unknown class: the settings have no request class 'nope'"):
        b.handle(1000.0, api.RequestArrived("r", "nope", 2000.0))
    with pytest.raises(api.CallError, match="not an event"):
        b.handle(1000.0, "hello")  # type: ignore[arg-type]


MODULES = sorted(Path(policy.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("path", MODULES, ids=[path.name for path in MODULES])
def test_each_policy_module_is_short_and_documented(path: Path) -> None:
    lines = path.read_text("utf-8").split("\n")
    assert len(lines) <= 500 and max(map(len, lines)) <= 110
    assert lines[0].startswith('"""') and lines[0].endswith((".", '."""'))


def test_the_docstring_of_the_policy_package_names_the_interface() -> None:
    text = policy.__doc__ or ""
    assert "balancer.interface" in text
    assert len(MODULES) > 1
