"""The modules of the decisions, each built and tested alone with a clock and a seeded generator."""

from __future__ import annotations

import ast
import math
import random
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

from balancer import interface as api
from balancer import policy
from balancer.policy import idempotency, join_up_to_m
from balancer.policy.attempt_timeouts import AttemptTimeouts
from balancer.policy.class_table import ClassTable
from balancer.policy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.maintenance import Maintenance
from balancer.policy.outbox import MIN_LOG_INTERVAL_MS, OperatorLog, Outbox
from balancer.policy.outlier_ejection import MAX_CONSECUTIVE_FAILURES, OutlierEjection
from balancer.policy.polling import MAX_CALL_INTERVAL_MS, DiscoveryPolling
from balancer.policy.records import Attempt, Candidates, ClassStatistics, EndpointRecord, Request
from balancer.policy.retries import MAX_SAVED_RETRIES, RETRIES_PER_REQUEST, RetryBudget
from balancer.policy.subsetting import Subsetting
from balancer.policy.zone_routing import ZoneRouting
from tests.helpers import BASE, KEYED, SAFE, entry

MODULES = sorted(Path(policy.__file__).parent.glob("*.py"))
NOW = 10_000.0


def request_of(config: api.RequestClass) -> Request:
    return Request("r", ClassStatistics(config, 100.0), None, NOW + 900.0, NOW + 300.0, False, 3)


def records(count: int) -> list[EndpointRecord]:
    return [EndpointRecord(entry(f"b{number}")) for number in range(count)]


def test_dependencies_run_one_way() -> None:
    graph: dict[str, set[str]] = {}
    for path in MODULES:
        imports = [n for n in ast.walk(ast.parse(path.read_text("utf-8"))) if isinstance(n, ast.ImportFrom)]
        graph[path.stem] = {
            name.split(".")[2]
            for node in imports
            for name in [node.module or "", *(f"{node.module}.{alias.name}" for alias in node.names)]
            if name.startswith("balancer.policy.") and (path.parent / f"{name.split('.')[2]}.py").exists()
        }
    assert graph["balancer"] and graph["__init__"] == {"balancer"}
    assert list(TopologicalSorter(graph).static_order())[-1] == "__init__"


@pytest.mark.parametrize("path", MODULES, ids=[path.name for path in MODULES])
def test_no_module_reads_private_fields_of_another(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Attribute) and node.attr.startswith("_"):
            assert isinstance(node.value, ast.Name) and node.value.id == "self", ast.unparse(node)


def test_the_retry_budget_is_a_part_of_the_requests() -> None:
    budget = RetryBudget()
    while budget.allows(1.0):
        budget.spend(1.0)
    for _ in range(100):
        budget.earn()
    assert budget.balance == MAX_SAVED_RETRIES
    budget.balance = 0.0
    for _ in range(7):
        budget.earn()
    assert budget.balance == pytest.approx(7 * RETRIES_PER_REQUEST) and budget.allows(1.0)


def test_a_timer_runs_its_callback_once() -> None:
    outbox = Outbox()
    actions, fired = outbox.begin(), list[tuple[float, str]]()
    outbox.set_timer(NOW + 5.0, lambda now, argument: fired.append((now, argument)), "x")
    (timer,) = actions
    assert isinstance(timer, api.SetTimer) and timer.fires_at == NOW + 5.0
    for token in (timer.token, timer.token, 99):
        outbox.fire(NOW + 6.0, token)
    assert fired == [(NOW + 6.0, "x")]


def test_the_log_has_one_line_in_an_interval() -> None:
    outbox = Outbox()
    log = OperatorLog(outbox)
    for now in (NOW, NOW + MIN_LOG_INTERVAL_MS - 1.0, NOW + MIN_LOG_INTERVAL_MS):
        log.write(now, f"at {now}")
    assert outbox.actions == [api.WriteLog(f"at {NOW}"), api.WriteLog(f"at {NOW + MIN_LOG_INTERVAL_MS}")]


def test_the_cap_is_what_can_stand_in_line_within_the_objective() -> None:
    for expected_ms, m in ((400.0, 1), (100.0, 2), (20.0, 13), (0.0, 400 / 1.5 / 1e-9)):
        assert join_up_to_m.cap(ClassStatistics(SAFE, expected_ms)) == int(m)


def test_rejection_sampling_falls_back_to_a_pick_among_all() -> None:
    """One endpoint of a hundred is eligible: samples miss it, the pick finds it."""
    endpoints = records(100)
    candidates = Candidates(endpoints, endpoints, [], math.inf)
    for seed in range(20):
        chosen = join_up_to_m.choose(
            random.Random(seed), candidates, [], 3, lambda endpoint: endpoint is endpoints[7]
        )
        assert chosen is endpoints[7]
    assert join_up_to_m.choose(random.Random(1), candidates, [], 3, lambda endpoint: False) is None


@pytest.mark.parametrize(
    ("config", "status", "places"),
    [
        (SAFE, api.AttemptStatus.RESET, set()),
        (KEYED, api.AttemptStatus.RESET, {"a"}),
        (KEYED, api.AttemptStatus.REJECTED, set()),
        (KEYED, None, None),
        (BASE.classes[2], api.AttemptStatus.RESET, None),
        (BASE.classes[2], api.AttemptStatus.CONNECT_FAILED, set()),
    ],
)
def test_places_that_a_retry_has_to_be_in(
    config: api.RequestClass, status: api.AttemptStatus | None, places: set[str] | None
) -> None:
    request = request_of(config)
    request.attempts.append(Attempt(records(1)[0], NOW, True, status))
    assert idempotency.required_domains(request, NOW + 10.0, 1.0) == places


def test_an_idempotency_key_bounds_a_retry_in_time() -> None:
    request = request_of(KEYED)
    request.attempts.append(Attempt(records(1)[0], NOW, True, api.AttemptStatus.RESET))
    latest = idempotency.latest_start(request, 1.0)
    assert latest == NOW + KEYED.deduplication_window_ms - 2.0
    assert idempotency.required_domains(request, latest, 1.0) == {"a"}
    assert idempotency.required_domains(request, latest + 0.1, 1.0) is None


def test_ejections_double_up_to_a_bound() -> None:
    ejection = OutlierEjection(random.Random(1), EndpointIndex())
    ejection.configure(BASE)
    (endpoint,) = records(1)
    for failures in range(1, 9):
        ejection.eject(endpoint, NOW)
        mean_ms = 400.0 * 2 ** (min(failures, MAX_CONSECUTIVE_FAILURES) - 1)
        assert 0.5 * mean_ms <= endpoint.ejected_until - NOW <= 1.5 * mean_ms


def test_the_limit_falls_with_late_responses_and_rises_only_while_it_binds() -> None:
    classes = ClassTable()
    classes.configure(BASE)
    index = EndpointIndex()
    index.apply_entry(entry("b0"))
    index.insert([(0, "b0")], True)
    limit = ConcurrencyLimit(index)
    limit.configure(classes.by_name)
    limit.resize(1, 1)
    limit.limit = 50.0
    endpoint, read = index.records["b0"], classes.by_name["read"]
    limit.observe(read, endpoint, api.AttemptStatus.OK, 5.0)
    assert limit.limit == 50.0
    limit.in_flight = 50
    limit.observe(read, endpoint, api.AttemptStatus.OK, 5.0)
    assert limit.limit > 50.0
    for _ in range(500):
        limit.observe(read, endpoint, api.AttemptStatus.TIMEOUT, 400.0)
        read.overload = 1.0
        limit.refresh_overload("read")
    assert limit.limit == MIN_LIMIT


def test_spill_follows_the_failure_rates_and_its_price() -> None:
    zones = ZoneRouting()
    zones.configure(api.Settings(classes=(SAFE,), zone="a", charges=api.Charges(cross_zone=0.1)))
    local, remote = EndpointRecord(entry("b0", zone="a")), EndpointRecord(entry("b1", zone="b"))
    assert zones.is_local(local) and not zones.is_local(remote)
    zones.reset_spill(1, 2)
    assert zones.spill_fraction == 0.5
    for _ in range(100):
        zones.observe(local, True)
        zones.observe(remote, True)
    assert zones.spill_fraction == 0.0
    for _ in range(100):
        zones.observe(local, False)
    assert zones.spill_fraction == 1.0


def test_a_lifted_ban_is_remembered_for_a_ramp() -> None:
    maintenance = Maintenance()
    maintenance.configure(slow_start_ms=1_000.0)
    maintenance.ban("x", 3)
    assert maintenance.banned == {"x"} and maintenance.positions == {"x": 3}
    maintenance.forget("x")
    assert maintenance.positions == {"x": 3}  # a ban outlives the record
    maintenance.lift("x", NOW, NOW)
    assert not maintenance.banned and maintenance.returned_at == {"x": NOW}
    maintenance.lift("y", NOW + 2_000.0, NOW + 2_000.0)
    assert maintenance.returned_at == {"y": NOW + 2_000.0}


def test_calls_of_discovery_back_off_and_a_later_one_replaces_an_earlier() -> None:
    outbox = Outbox()
    polling = DiscoveryPolling(random.Random(1), outbox, OperatorLog(outbox))
    polling.configure(BASE)
    for _ in range(3):
        polling.on_failure(NOW, api.DiscoveryFailure())
    timers = [action for action in outbox.actions if isinstance(action, api.SetTimer)]
    assert all(0.0 < timer.fires_at - NOW <= MAX_CALL_INTERVAL_MS for timer in timers)
    outbox.begin()
    for timer in timers:
        outbox.fire(timer.fires_at, timer.token)
    assert outbox.actions == [api.WatchEndpoints()]


def test_attempts_are_cut_short_only_where_responses_get_lost() -> None:
    config = api.RequestClass("late", api.Idempotency.IDEMPOTENT, 400.0, 1000.0, late_weight_fraction=0.5)
    timeouts = AttemptTimeouts()
    timeouts.configure(BASE)
    request = request_of(config)
    request.useful_until = request.deadline
    calm = Attempt(records(1)[0], NOW, True)
    assert timeouts.set_timeout(request, calm, NOW) == 0.0 and not calm.has_reduced_timeout
    for _ in range(10):
        timeouts.observe(True)
    lossy = Attempt(records(1)[0], NOW, True)
    assert timeouts.set_timeout(request, lossy, NOW) == 200.0 and lossy.has_reduced_timeout


def test_first_layouts_of_all_nodes_feed_endpoints_about_equally() -> None:
    fed = dict.fromkeys((f"b{number}" for number in range(40)), 0)
    for node_index in range(40):
        subsetting = Subsetting(EndpointIndex())
        subsetting.configure(api.Settings(classes=(SAFE,), node_index=node_index, node_count=40))
        layout = subsetting.initial_order(sorted(fed), set(fed), random.Random(node_index))
        assert sorted(layout) == sorted(fed)
        for name in layout[:5]:
            fed[name] += 1
    assert sum(fed.values()) == 200 and min(fed.values()) >= 3 and max(fed.values()) <= 7
