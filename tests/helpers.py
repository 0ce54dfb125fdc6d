"""Test helpers: settings, endpoints, a node under test, and checkers of the protocol's rules."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from balancer import interface as api
from balancer.net.endpoints import Member
from balancer.policy import Balancer

SAFE = api.RequestClass(
    "read", api.Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0, priority_weight=1.0
)
KEYED = api.RequestClass(
    "pay",
    api.Idempotency.WITH_KEY,
    latency_objective_ms=400.0,
    deadline_ms=1000.0,
    deduplication_scope=api.DeduplicationScope.ZONE,
    deduplication_window_ms=600.0,
)
UNSAFE = api.RequestClass(
    "once", api.Idempotency.NOT_IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0
)
BASE = api.Settings(
    classes=(SAFE, KEYED, UNSAFE),
    zone="a",
    hedging_allowed=True,
    cold_capacity_fraction=0.2,
    slow_start_ms=10_000.0,
    overload_window_ms=1_000.0,
    overload_multiple=3.0,
    load_report_mode=api.LoadReportMode.IN_RESPONSES,
)
WITH_HEALTH_CHECKS = replace(
    BASE,
    load_report_mode=api.LoadReportMode.IN_HEALTH_CHECKS,
    health_checks_allowed=True,
    charges=api.Charges(probe=0.001),
)


def entry(name: str, **over: Any) -> api.Endpoint:
    """Return an endpoint for a list, warm and in service unless `over` has other values."""
    table: dict[str, Any] = {
        "backend": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": api.EndpointPhase.IN_SERVICE,
        "started_at": 0.0,
    }
    return api.Endpoint(**(table | over))


def member(entry: api.Endpoint, host_port: str) -> Member:
    """Convert an endpoint to a member of a node's endpoint list with this address."""
    e = entry
    return Member(e.backend, e.zone, e.cell, e.weight, e.phase, e.started_at, e.kind, host_port)


def node(settings: api.Settings, names: str | list[str], seed: int = 1, **over: Any) -> Balancer:
    """Return a node whose list at the clock time 1,000 ms has warm endpoints of these names."""
    out = Balancer(settings, seed)
    out.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry(n, **over) for n in names]))
    return out


def sends(actions: list[api.Action]) -> list[api.StartAttempt]:
    """Return the started attempts among the actions."""
    return [a for a in actions if isinstance(a, api.StartAttempt)]


def answers(actions: list[api.Action]) -> list[api.RejectRequest | api.FailRequest]:
    """Return the final responses among the actions: rejections and failures."""
    return [a for a in actions if isinstance(a, (api.RejectRequest, api.FailRequest))]


@dataclass
class _RequestState:
    cls: api.RequestClass
    deadline: float
    is_ended: bool = False
    is_end_reported: bool = False
    response_count: int = 0
    attempts: list[tuple[str, float, api.AttemptStatus | None]] = field(default_factory=list)


class RuleChecker:
    """Checks a node's actions against rules 1 to 3, by the public types of the policy alone.

    Rule 1: each request gets exactly one final response, in time. Rule 2: no retry makes a request take
    effect twice. Rule 3: an endpoint that leaves service gets no attempts after the drain grace period.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.requests: dict[str, _RequestState] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.out_of_service_since: dict[str, float] = {}

    def event(self, now: float, event: api.Event) -> None:
        """Record an event that the node handles."""
        if isinstance(event, api.RequestArrived):
            self.requests[event.request] = _RequestState(self.classes[event.class_name], event.deadline)
        elif isinstance(event, api.AttemptEnded) and event.request in self.requests:
            request = self.requests[event.request]
            backend, sent, _ = request.attempts[event.attempt]
            request.attempts[event.attempt] = (backend, sent, event.status)
            request.is_ended = request.is_ended or event.is_answered
        elif isinstance(event, api.ClientDisconnected) and event.request in self.requests:
            self.requests[event.request].is_ended = True
        elif isinstance(event, api.ListUpdate) and event.kind is not api.ListUpdateKind.FAILED:
            named = {e.backend for e in event.entries}
            if event.kind is not api.ListUpdateKind.DELTA:
                for name in self.entries.keys() - named:
                    self.out_of_service_since.setdefault(name, now)
            for e in event.entries:
                self.entries[e.backend] = e
                if e.phase is api.EndpointPhase.IN_SERVICE:
                    self.out_of_service_since.pop(e.backend, None)
                else:
                    self.out_of_service_since.setdefault(e.backend, now)

    def actions(self, now: float, actions: list[api.Action]) -> None:
        """Check the actions of the node; raises AssertionError on the first violation of a rule."""
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self._send(now, action)
            elif isinstance(action, (api.RejectRequest, api.FailRequest)):
                self._answer(now, action)

    def overdue(self, now: float) -> list[str]:
        """Return the requests that should have had their final response by now."""
        return [
            name
            for name, request in self.requests.items()
            if not request.is_ended and now > request.deadline + self.settings.answer_slack_ms
        ]

    def _send(self, now: float, action: api.StartAttempt) -> None:
        request = self.requests[action.request]
        assert not request.is_ended, f"rule 1: attempt of {action.request} after its final response"
        since = self.out_of_service_since.get(action.backend)
        assert since is None or now - since <= self.settings.drain_grace_ms, (
            f"rule 3: attempt at {action.backend}, which left service"
        )
        assert len(request.attempts) < self.settings.max_attempts, "more attempts than the settings allow"
        in_flight = [a for a in request.attempts if a[2] is None]
        assert self.settings.hedging_allowed or not in_flight, (
            "rule 2: two attempts in flight without hedging"
        )
        maybe_executed = [a for a in request.attempts if a[2] not in api.NOT_EXECUTED]
        if maybe_executed and request.cls.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise AssertionError("rule 2: retry of a non-idempotent request that may have been executed")
        if maybe_executed and request.cls.idempotency is api.Idempotency.WITH_KEY:
            assert now - min(a[1] for a in maybe_executed) <= request.cls.deduplication_window_ms, (
                "rule 2: retry after the deduplication window"
            )
            endpoint = self.entries[action.backend]
            for name, _, _ in maybe_executed:
                earlier_endpoint = self.entries[name]
                in_scope = (
                    request.cls.deduplication_scope is api.DeduplicationScope.ALL
                    or (
                        request.cls.deduplication_scope is api.DeduplicationScope.ZONE
                        and earlier_endpoint.zone == endpoint.zone
                    )
                    or (
                        request.cls.deduplication_scope is api.DeduplicationScope.CELL
                        and earlier_endpoint.cell == endpoint.cell
                    )
                )
                assert in_scope, "rule 2: retry outside the deduplication scope"
        request.attempts.append((action.backend, now, None))

    def _answer(self, now: float, action: api.RejectRequest | api.FailRequest) -> None:
        request = self.requests[action.request]
        assert not request.is_ended, f"rule 1: a second final response for {action.request}"
        assert now <= request.deadline + self.settings.answer_slack_ms, (
            f"rule 1: response for {action.request} is late"
        )
        if (
            isinstance(action, api.RejectRequest)
            and request.cls.idempotency is not api.Idempotency.IDEMPOTENT
        ):
            maybe_executed = any(a[2] not in api.NOT_EXECUTED for a in request.attempts)
            has_global_key = (
                request.cls.idempotency is api.Idempotency.WITH_KEY
                and request.cls.deduplication_scope is api.DeduplicationScope.ALL
            )
            assert not maybe_executed or has_global_key, (
                f"rule 2: rejection of {action.request}, which may have been executed"
            )
        request.is_ended = True


class OverloadBudgetChecker:
    """Checks rule 4: all nodes together stay within a warming endpoint's overload budget in any window.

    The capacity of the endpoint is assumed to grow linearly over the whole slow start time, from the cold
    capacity fraction, which is as slow as the rule allows.
    """

    def __init__(self, settings: api.Settings, full_per_s: float) -> None:
        self.settings, self.full_per_s = settings, full_per_s
        self.sent: dict[str, list[float]] = {}

    def send(self, now: float, entry: api.Endpoint) -> None:
        """Record an attempt at an endpoint; a rejected attempt counts as well."""
        if 0 < entry.started_at <= now < entry.started_at + self.settings.slow_start_ms:
            self.sent.setdefault(f"{entry.backend}@{entry.started_at}", []).append(now)

    def worst(self) -> float:
        """Return the largest fraction of a budget that was used; above 1.0 an endpoint was overloaded."""
        worst = 0.0
        for name, times in self.sent.items():
            start = float(name.rsplit("@", 1)[1])
            first = 0
            for last, now in enumerate(times):
                while now - times[first] >= self.settings.overload_window_ms:
                    first += 1
                grown = (1 - self.settings.cold_capacity_fraction) * max(
                    0.0, now - self.settings.overload_window_ms - start
                )
                warmth = self.settings.cold_capacity_fraction + grown / self.settings.slow_start_ms
                budget = (
                    self.settings.overload_multiple
                    * warmth
                    * self.full_per_s
                    * self.settings.overload_window_ms
                    / 1000.0
                )
                # Two standard deviations are added to the budget, as nodes draw at random.
                worst = max(worst, (last - first + 1) / (budget + 2.0 * budget**0.5))
        return worst
