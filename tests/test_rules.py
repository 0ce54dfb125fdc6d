"""The four rules: corner cases, hostile event orders, and mutants that the checker must catch."""

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
from tests.helpers import BASE, KEYED, LOOKING, SAFE, ColdBudget, RuleChecker, answers, entry, node, sends

ENDS = [s for s in api.AttemptStatus if s is not api.AttemptStatus.OK]


def drive(cfg: api.Settings, seed: int, steps: int = 120) -> RuleChecker:
    """Feed one node a legal but hostile run of events; the checker judges every action."""
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
    live: list[tuple[str, int, str, float]] = []
    probes: list[str] = []

    def listed(name: str) -> api.Endpoint:
        return entry(name, zone=rng.choice("ab"), cell=rng.randint(0, 2), phase=rng.choice(phases),
                     started_at=rng.choice([0.0, now - rng.uniform(0, 8000)]))  # fmt: skip

    def tell(ev: api.Event) -> None:
        check.event(now, ev)
        acts = b.handle(now, ev)
        for act in acts:
            if isinstance(act, api.SetTimer):
                timers.append((act.fires_at, act.token))
            elif isinstance(act, api.CheckHealth):
                probes.append(act.backend)
            elif isinstance(act, api.StartAttempt):
                count = len(check.seen[act.request].attempts)
                until = check.seen[act.request].deadline
                if act.timeout_ms > 0:
                    until = min(until, now + act.timeout_ms)
                live.append((act.request, count, act.backend, until))
        check.actions(now, acts)

    def resolve(index: int, status: api.AttemptStatus) -> None:
        rid, number, backend, _ = live.pop(index)
        closed = check.seen[rid].ended or status is api.AttemptStatus.OK
        load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(float(rng.randint(0, 30)), 0.0)])
        tell(api.AttemptEnded(rid, number, backend, status, rng.uniform(0, 500), closed, load))

    tell(api.ListUpdate(api.ListUpdateKind.CACHED, [listed(n) for n in names]))
    for step in range(steps):
        roll = rng.random()
        if roll < 0.35:
            kind = rng.choice(cfg.classes)
            hint = rng.choice([None, rng.uniform(1, 900)])
            left = kind.deadline_ms * rng.uniform(0.1, 1.0)
            tell(api.RequestArrived(f"r{step}", kind.name, now + left, rng.random() < 0.3, work_hint=hint))
        elif roll < 0.6 and live:
            resolve(rng.randrange(len(live)), rng.choice([*ENDS, api.AttemptStatus.OK]))
        elif roll < 0.75 and probes:
            load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(7.0, 2.0)])
            tell(
                api.HealthCheckEnded(
                    probes.pop(rng.randrange(len(probes))), rng.choice(list(api.AttemptStatus)), 1.0, load
                )
            )
        elif roll < 0.85:
            kinds = [api.ListUpdateKind.DELTA, api.ListUpdateKind.SNAPSHOT, api.ListUpdateKind.FAILED]
            pool = [*names, f"n{step}"]
            some = rng.sample(pool, rng.randint(0, len(pool)))
            mode = rng.choice(kinds)
            tell(api.ListUpdate(mode, [] if mode is api.ListUpdateKind.FAILED else [listed(n) for n in some]))
        elif roll < 0.9 and check.seen:
            tell(api.ClientDisconnected(rng.choice(sorted(check.seen))))
        then = now + rng.choice([0.0, 1.0, 20.0, 300.0])
        while True:  # what falls due on the way comes in order, attempts out at their end at the latest
            due = min(timers, default=(then + 1, -1))
            late = min(((u, i) for i, (_, _, _, u) in enumerate(live)), default=(then + 1, -1))
            if min(due[0], late[0]) > then:
                break
            if due[0] <= late[0]:
                timers.remove(due)
                now = max(now, due[0])
                tell(api.TimerFired(due[1]))
            else:
                now = max(now, late[0])
                resolve(late[1], api.AttemptStatus.TIMEOUT)
        now = then
        assert not check.overdue(now), f"rule 1: no answer for {check.overdue(now)}"
    return check


VARIANTS = [
    BASE,
    LOOKING,
    replace(BASE, hedging_allowed=False, max_attempts=4),
    replace(LOOKING, hedging_allowed=False, must_subscribe=True),
    replace(
        LOOKING, classes=(replace(KEYED, deduplication_scope=api.DeduplicationScope.CELL), BASE.classes[2])
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
def test_rules_hold_on_hostile_event_orders(seed: int, cfg: api.Settings) -> None:
    assert drive(cfg, seed).seen is not None


def _breaks(cfg: api.Settings, match: str) -> None:
    with pytest.raises(AssertionError, match=match):
        for seed in range(300):
            drive(cfg, seed)


def test_the_checker_catches_a_missing_retry_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Eligibility, "required_domains", lambda self, request, now: set())
    _breaks(BASE, "rule 2")


def test_the_checker_catches_a_missing_drain_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    keep = EndpointList.apply

    def deaf(self: EndpointList, ev: api.ListUpdate) -> None:
        keep(
            self,
            api.ListUpdate(ev.kind, [replace(e, phase=api.EndpointPhase.IN_SERVICE) for e in ev.entries]),
        )

    monkeypatch.setattr(EndpointList, "apply", deaf)
    _breaks(replace(BASE, drain_grace_ms=0.0), "rule 3")


def test_the_checker_catches_a_missing_final_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Router, "retry", lambda self, request, now: None)
    _breaks(BASE, "rule 1")


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() -> None:
    b = node(BASE, ["x", "y", "z"])
    first = sends(b.handle(1000.0, api.RequestArrived("r", "once", 2000.0)))[0]
    again = sends(
        b.handle(1001.0, api.AttemptEnded("r", 0, first.backend, api.AttemptStatus.REJECTED, 1.0, False))
    )
    assert again
    end = b.handle(1002.0, api.AttemptEnded("r", 1, again[0].backend, api.AttemptStatus.RESET, 1.0, False))
    assert not sends(end) and isinstance(answers(end)[0], api.FailRequest)


def test_a_request_with_a_key_stays_in_its_zone_once_it_may_have_run() -> None:
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


def test_an_empty_list_rejects_and_loses_nothing() -> None:
    for cfg in (BASE, LOOKING):
        b = Balancer(cfg, 1)
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, []))
        assert isinstance(
            answers(b.handle(1001.0, api.RequestArrived("r", "read", 2001.0)))[0], api.RejectRequest
        )


def over_cold_budget(nodes: int, rate: int, share: float) -> bool:
    """Do all nodes together send one cold backend more than its budget in a fall window?"""
    cfg = replace(
        BASE,
        node_count=nodes,
        cold_capacity_fraction=share,
        slow_start_ms=20_000.0,
        overload_window_ms=1000.0,
    )
    backends, sent = 40, 0
    for me in range(nodes):
        b = Balancer(replace(cfg, node_index=me), me)
        fleet = [entry(f"b{i:02d}", started_at=9_999.0 if i == 7 else 0.0) for i in range(backends)]
        b.handle(10_000.0, api.ListUpdate(api.ListUpdateKind.CACHED, fleet))
        for i in range(rate):
            now = 10_000.0 + 1000.0 * i / rate
            for s in sends(b.handle(now, api.RequestArrived(f"r{i}", "read", now + 1000.0))):
                sent += s.backend == "b07"
                b.handle(now, api.AttemptEnded(f"r{i}", 0, s.backend, api.AttemptStatus.OK, 30.0, True))
    warm_takes = nodes * rate / backends  # requests a second a warm one takes here: at most its capacity
    return sent > cfg.overload_multiple * share * warm_takes


@pytest.mark.parametrize(("nodes", "rate"), [(300, 4), (12, 100), (3, 400)])
@pytest.mark.parametrize("share", [0.14, 0.35])
def test_all_nodes_together_stay_under_a_warming_endpoints_budget(
    nodes: int, rate: int, share: float
) -> None:
    """Rule 4 in fractions, whatever the number of nodes."""
    assert not over_cold_budget(nodes, rate, share)


def test_the_warming_budget_check_catches_a_missing_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "warmth", lambda self, entry, now: 1.0)
    assert over_cold_budget(12, 100, 0.14)


def deploy_day(cfg: api.Settings, nodes: int, at_once: int) -> float:
    """All nodes through a deploy of the fleet, with a burst, retries, late news; the worst budget used."""
    rng, size, per_s, now = random.Random(nodes), 20, 20.0, 50_000.0
    fleet = {i: entry(f"b{i:02d}", zone="ab"[i % 2]) for i in range(size)}
    bank = [
        Balancer(replace(cfg, node_index=me, node_count=nodes, zone="ab"[me % 2]), me) for me in range(nodes)
    ]
    for b in bank:
        b.handle(now, api.ListUpdate(api.ListUpdateKind.CACHED, [replace(e) for e in fleet.values()]))
    budget, serial = ColdBudget(cfg, per_s), 0
    news: list[tuple[float, Balancer, list[api.Endpoint]]] = []
    live: list[tuple[float, Balancer, api.AttemptEnded]] = []
    end, next_batch, turn = now + 30_000.0, now + 2000.0, 0
    while now < end:
        now += 1000.0 / (0.6 * size * per_s * (1.6 if 8000.0 < end - now < 10_000.0 else 1.0))
        if now >= next_batch and turn < size:
            for i in range(turn, min(size, turn + at_once)):
                old, fleet[i] = fleet[i], entry(f"n{i:02d}", zone="ab"[i % 2], started_at=now)
                gone = replace(old, phase=api.EndpointPhase.REMOVED)
                news += [(now + rng.uniform(0, 1500), b, [gone, fleet[i]]) for b in bank]
            turn, next_batch = turn + at_once, now + 2500.0
        for item in [x for x in news if x[0] <= now]:
            news.remove(item)
            item[1].handle(now, api.ListUpdate(api.ListUpdateKind.DELTA, [replace(e) for e in item[2]]))
        serial += 1
        who = rng.choice(bank)
        acts = [(who, a) for a in who.handle(now, api.RequestArrived(f"r{serial}", "read", now + 1000.0))]
        for ended in [x for x in live if x[0] <= now]:
            live.remove(ended)
            acts += [(ended[1], a) for a in ended[1].handle(now, ended[2])]
        for b, s in [(b, a) for b, a in acts if isinstance(a, api.StartAttempt)]:
            there = b.index.records[s.backend].entry
            budget.send(now, there)
            number = len(b.requests.by_id[s.request].attempts) - 1
            full = rng.random() < 0.15
            status = api.AttemptStatus.REJECTED if full else api.AttemptStatus.OK
            took = 1.0 if full else rng.expovariate(1 / 40.0)
            live.append(
                (now + took, b, api.AttemptEnded(s.request, number, s.backend, status, took, not full))
            )
    return budget.worst()


DEPLOYS = [(60, 3), (200, 20), (8, 6)]


@pytest.mark.parametrize(("nodes", "at_once"), DEPLOYS)
def test_a_deploy_of_the_whole_fleet_stays_within_every_warming_budget(nodes: int, at_once: int) -> None:
    cfg = replace(
        BASE,
        cold_capacity_fraction=0.12,
        slow_start_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert 0.0 < deploy_day(cfg, nodes, at_once) <= 1.0


def test_the_deploy_check_catches_a_missing_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "warmth", lambda self, entry, now: 1.0)
    cfg = replace(
        BASE,
        cold_capacity_fraction=0.12,
        slow_start_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert deploy_day(cfg, 60, 3) > 1.0


def test_a_fleet_that_warms_up_as_a_whole_still_serves() -> None:
    b = node(BASE, [f"b{i}" for i in range(10)], started_at=999.0)
    served = 0
    for i in range(400):
        got = sends(b.handle(1000.0 + i, api.RequestArrived(f"r{i}", "read", 2000.0 + i)))
        served += len(got)
        for s in got:
            b.handle(1000.0 + i, api.AttemptEnded(s.request, 0, s.backend, api.AttemptStatus.OK, 5.0, True))
    assert served > 0


def _asks_after(acts: list[api.Action], now: float) -> float:
    """How long until the timer that they set."""
    (timer,) = (a for a in acts if isinstance(a, api.SetTimer))
    return timer.fires_at - now


@pytest.mark.parametrize("took", [0.0, 2000.0, 3050.0])
@pytest.mark.parametrize("list_max_age_ms", [1_000.0, 10_000.0, 60_000.0])
def test_failed_list_calls_back_off_with_jitter(took: float, list_max_age_ms: float) -> None:
    """Doubled up to what is left until the next call is due, however long this one took."""
    waits: list[list[float]] = []
    for seed in range(40):
        b, row, now = (
            Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=list_max_age_ms), seed),
            [],
            1000.0,
        )
        wait = _asks_after(b.handle(now, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")])), now)
        assert 0.0 <= wait <= min(list_max_age_ms / 2, polling.MAX_CALL_INTERVAL_MS)
        for token in range(1, 12):
            now += wait
            assert [type(a) for a in b.handle(now, api.TimerFired(token))] == [api.WatchEndpoints]
            asked, now = now, now + took
            wait = _asks_after(b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, [])), now)
            row.append(wait)
            assert now + wait - asked <= polling.MAX_CALL_INTERVAL_MS + 0.001
        waits.append(row)
    for nth in range(11):
        drawn = [row[nth] for row in waits]
        most = min(list_max_age_ms / 32 * 2 ** min(nth + 1, 5) * 1.5, polling.MAX_CALL_INTERVAL_MS - took)
        assert most / 3 - 0.001 <= min(drawn) < 0.5 * most and 0.85 * most < max(drawn) <= most + 0.001
        assert len({round(wait, 3) for wait in drawn}) > 30


def test_a_failed_call_that_polling_did_not_make_is_followed_as_soon() -> None:
    """A watch is opened anew without a word; that call may have taken as long as one may."""
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=60_000.0), seed)
        b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")]))
        b.handle(2000.0, api.TimerFired(1))
        b.handle(3000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, [entry("x")]))
        for _ in range(3):
            wait = _asks_after(b.handle(600_000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [])), 600_000.0)
            assert polling.WAIT_AFTER_LONG_CALL_MS / 3 <= wait <= polling.WAIT_AFTER_LONG_CALL_MS


@pytest.mark.parametrize("list_max_age_ms", [10_000.0, 60_000.0])
def test_calls_that_discovery_ends_are_followed_sooner_the_longer_it_is_silent(
    list_max_age_ms: float,
) -> None:
    """Several have to fit into the time in which a change counts as told; later, two of them."""
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=list_max_age_ms), seed)
        b.handle(0.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry("x")]))
        now, waits = 1000.0, list[tuple[float, float]]()
        for _ in range(20):
            b.handle(now, api.TakeoverStarted())
            failure = api.DiscoveryFailure(silent_ms=now - 1000.0, ended_by_discovery=True)
            wait = _asks_after(
                b.handle(now, api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure)), now
            )
            waits.append((now - 1000.0, wait))
            now += wait
        soon = [(silent, wait) for silent, wait in waits if silent < polling.CHANGE_KNOWN_AFTER_MS]
        assert all(
            wait <= max(polling.MIN_WAIT_MS, (polling.CHANGE_KNOWN_AFTER_MS - silent) / 4)
            for silent, wait in soon
        )
        assert max(wait for _, wait in soon) <= polling.MAX_WAIT_WHEN_OVERLOADED_MS and 5 <= len(soon) <= 15
        late = [wait for silent, wait in waits if silent >= polling.CHANGE_KNOWN_AFTER_MS]
        assert (
            max(late) <= polling.MAX_CALL_INTERVAL_WHEN_REJECTED_MS
            and min(late) >= polling.WAIT_AFTER_LONG_CALL_MS / 3
        )


def test_a_call_that_waited_in_a_queue_is_not_followed_at_once() -> None:
    """The wait does not shrink as time runs out, and is as long as it may be for other calls at most."""
    drawn = list[float]()
    for seed in range(40):
        b = Balancer(replace(BASE, must_subscribe=True, list_max_age_ms=60_000.0), seed)
        b.handle(1000.0, api.TakeoverStarted())
        failure = api.DiscoveryFailure(silent_ms=5_900.0, ended_by_discovery=True, ended_after_wait=True)
        acts = b.handle(2000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure))
        drawn.append(_asks_after(acts, 2000.0))
    assert (
        min(drawn) >= polling.MAX_WAIT_WHEN_OVERLOADED_MS / 3
        and max(drawn) <= polling.MAX_WAIT_WHEN_OVERLOADED_MS
    )
    assert len({round(wait) for wait in drawn}) > 30


def test_new_settings_begin_the_back_off_anew() -> None:
    """They may bring another discovery, and what that has to tell is due sooner."""
    cfg = replace(BASE, must_subscribe=True, list_max_age_ms=10_000.0)
    for seed in range(20):
        b = Balancer(cfg, seed)
        for _ in range(5):
            b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.FAILED, []))
        b.handle(1000.0, api.TakeoverStarted())
        b.handle(1000.0, api.Reconfigured(cfg))
        assert _asks_after(b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.FAILED, [])), 1000.0) < 940.0


def test_without_an_endpoint_in_service_discovery_is_called_at_once() -> None:
    """The node cannot be ready before discovery has told one."""
    leaving = entry("x", phase=api.EndpointPhase.DRAINING)
    for entries in ([], [leaving]):
        b = Balancer(replace(BASE, must_subscribe=True), 1)
        assert (
            _asks_after(b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, entries)), 1000.0) == 0.0
        )
    b = Balancer(replace(BASE, must_subscribe=True), 1)
    saved = b.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [leaving, entry("y")]))
    assert _asks_after(saved, 1000.0) > 0.0


def test_one_call_is_scheduled_however_many_have_failed() -> None:
    """Guards against two rows of calls: another one than the last asked for may fail, too."""
    b = Balancer(replace(BASE, must_subscribe=True), 1)
    tokens = []
    for kind in (api.ListUpdateKind.CACHED, api.ListUpdateKind.FAILED, api.ListUpdateKind.FAILED):
        acts = b.handle(
            1000.0, api.ListUpdate(kind, [entry("x")] if kind is api.ListUpdateKind.CACHED else [])
        )
        tokens += [a.token for a in acts if isinstance(a, api.SetTimer)]
    asked = [[type(a) for a in b.handle(6000.0, api.TimerFired(token))] for token in (*tokens, tokens[-1])]
    assert asked == [[], [], [api.WatchEndpoints], []]
    acts = b.handle(6000.0, api.ListUpdate(api.ListUpdateKind.FAILED, []))
    (late,) = (a.token for a in acts if isinstance(a, api.SetTimer))
    assert [type(a) for a in b.handle(6001.0, api.TakeoverStarted())] == [api.WatchEndpoints]
    assert b.handle(9000.0, api.TimerFired(late)) == []


def test_wrong_calls_are_named() -> None:
    b = node(BASE, ["x"])
    with pytest.raises(api.CallError, match="unknown class: the settings have no request class 'nope'"):
        b.handle(1000.0, api.RequestArrived("r", "nope", 2000.0))
    with pytest.raises(api.CallError, match="not an event"):
        b.handle(1000.0, "hello")  # type: ignore[arg-type]


MODULES = sorted(Path(policy.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("path", MODULES, ids=[path.name for path in MODULES])
def test_each_module_of_the_decisions_is_short_and_documented(path: Path) -> None:
    lines = path.read_text("utf-8").split("\n")
    assert len(lines) <= 500 and max(map(len, lines)) <= 110
    assert lines[0].startswith('"""') and lines[0].endswith((".", '."""'))


def test_the_package_of_the_decisions_names_its_types_and_its_concerns() -> None:
    text = policy.__doc__ or ""
    assert "balancer.interface" in text
    assert len(MODULES) > 1
