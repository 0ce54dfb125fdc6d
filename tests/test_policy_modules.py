"""Unit tests of the modules of the policy, each with a clock and a seeded random generator."""

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


def test_policy_modules_have_no_import_cycles() -> None:
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
def test_policy_modules_access_no_private_attributes_of_each_other(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Attribute) and node.attr.startswith("_"):
            assert isinstance(node.value, ast.Name) and node.value.id == "self", ast.unparse(node)


def test_the_retry_budget_is_a_fraction_of_the_requests() -> None:
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


def test_the_operator_log_writes_one_line_per_interval() -> None:
    outbox = Outbox()
    log = OperatorLog(outbox)
    for now in (NOW, NOW + MIN_LOG_INTERVAL_MS - 1.0, NOW + MIN_LOG_INTERVAL_MS):
        log.write(now, f"at {now}")
    assert outbox.actions == [api.WriteLog(f"at {NOW}"), api.WriteLog(f"at {NOW + MIN_LOG_INTERVAL_MS}")]


def test_the_cap_m_is_the_number_of_requests_that_can_queue_within_the_objective() -> None:
    for expected_ms, m in ((400.0, 1), (100.0, 2), (20.0, 13), (0.0, 400 / 1.5 / 1e-9)):
        assert join_up_to_m.cap(ClassStatistics(SAFE, expected_ms)) == int(m)


def test_rejection_sampling_falls_back_to_a_pick_among_all() -> None:
    """If one endpoint of a hundred is eligible, all samples may miss it; it must be chosen nevertheless."""
    endpoints = records(100)
    candidates = Candidates(endpoints, endpoints, [], math.inf)
    for seed in range(20):
        chosen = join_up_to_m.choose(
            random.Random(seed), candidates, [], 3, lambda endpoint: endpoint is endpoints[7]
        )
        assert chosen is endpoints[7]
    assert join_up_to_m.choose(random.Random(1), candidates, [], 3, lambda endpoint: False) is None


@pytest.mark.parametrize(
    ("config", "status", "domains"),
    [
        (SAFE, api.AttemptStatus.RESET, set()),
        (KEYED, api.AttemptStatus.RESET, {"a"}),
        (KEYED, api.AttemptStatus.REJECTED, set()),
        (KEYED, None, None),
        (BASE.classes[2], api.AttemptStatus.RESET, None),
        (BASE.classes[2], api.AttemptStatus.CONNECT_FAILED, set()),
    ],
)
def test_the_deduplication_domains_of_a_retry_follow_the_status_of_earlier_attempts(
    config: api.RequestClass, status: api.AttemptStatus | None, domains: set[str] | None
) -> None:
    request = request_of(config)
    request.attempts.append(Attempt(records(1)[0], NOW, True, status))
    assert idempotency.required_domains(request, NOW + 10.0, 1.0) == domains


def test_a_retry_with_an_idempotency_key_must_start_within_the_deduplication_window() -> None:
    request = request_of(KEYED)
    request.attempts.append(Attempt(records(1)[0], NOW, True, api.AttemptStatus.RESET))
    latest = idempotency.latest_start(request, 1.0)
    assert latest == NOW + KEYED.deduplication_window_ms - 2.0
    assert idempotency.required_domains(request, latest, 1.0) == {"a"}
    assert idempotency.required_domains(request, latest + 0.1, 1.0) is None


def test_the_ejection_time_doubles_up_to_a_maximum() -> None:
    ejection = OutlierEjection(random.Random(1), EndpointIndex())
    ejection.configure(BASE)
    (endpoint,) = records(1)
    for failures in range(1, 9):
        ejection.eject(endpoint, NOW)
        mean_ms = 400.0 * 2 ** (min(failures, MAX_CONSECUTIVE_FAILURES) - 1)
        assert 0.5 * mean_ms <= endpoint.ejected_until - NOW <= 1.5 * mean_ms


def test_the_concurrency_limit_falls_with_timeouts_and_rises_only_while_it_is_reached() -> None:
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


def test_the_spill_fraction_follows_failure_rates_and_the_cross_zone_charge() -> None:
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


def test_a_lifted_ban_is_remembered_for_the_slow_start_time() -> None:
    maintenance = Maintenance()
    maintenance.configure(slow_start_ms=1_000.0)
    maintenance.ban("x", 3)
    assert maintenance.banned == {"x"} and maintenance.positions == {"x": 3}
    maintenance.forget("x")
    assert maintenance.positions == {"x": 3}
    maintenance.lift("x", NOW, NOW)
    assert not maintenance.banned and maintenance.returned_at == {"x": NOW}
    maintenance.lift("y", NOW + 2_000.0, NOW + 2_000.0)
    assert maintenance.returned_at == {"y": NOW + 2_000.0}


def test_discovery_calls_back_off_and_a_later_schedule_replaces_an_earlier_one() -> None:
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


def test_timeouts_are_reduced_only_if_responses_get_lost() -> None:
    config = api.RequestClass("late", api.Idempotency.IDEMPOTENT, 400.0, 1000.0, late_weight_fraction=0.5)
    timeouts = AttemptTimeouts()
    timeouts.configure(BASE)
    request = request_of(config)
    request.useful_until = request.deadline
    without_losses = Attempt(records(1)[0], NOW, True)
    assert (
        timeouts.set_timeout(request, without_losses, NOW) == 0.0 and not without_losses.has_reduced_timeout
    )
    for _ in range(10):
        timeouts.observe(True)
    with_losses = Attempt(records(1)[0], NOW, True)
    assert timeouts.set_timeout(request, with_losses, NOW) == 200.0 and with_losses.has_reduced_timeout


def test_initial_orders_spread_the_subsets_of_all_nodes_evenly_over_endpoints() -> None:
    subset_counts = dict.fromkeys((f"b{number}" for number in range(40)), 0)
    for node_index in range(40):
        subsetting = Subsetting(EndpointIndex())
        subsetting.configure(api.Settings(classes=(SAFE,), node_index=node_index, node_count=40))
        order = subsetting.initial_order(sorted(subset_counts), set(subset_counts), random.Random(node_index))
        assert sorted(order) == sorted(subset_counts)
        for name in order[:5]:
            subset_counts[name] += 1
    assert (
        sum(subset_counts.values()) == 200
        and min(subset_counts.values()) >= 3
        and max(subset_counts.values()) <= 7
    )
