"""Settings, a node driven by hand, and a rule checker written from the protocol's obligations alone."""

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
LOOKING = replace(
    BASE,
    load_report_mode=api.LoadReportMode.IN_HEALTH_CHECKS,
    health_checks_allowed=True,
    charges=api.Charges(probe=0.001),
)


def entry(name: str, **over: Any) -> api.Endpoint:
    """A listed backend, warm and up unless told otherwise."""
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
    """An entry as a node's list has it."""
    e = entry
    return Member(e.backend, e.zone, e.cell, e.weight, e.phase, e.started_at, e.kind, host_port)


def node(settings: api.Settings, names: str | list[str], seed: int = 1, **over: Any) -> Balancer:
    """A node with a full list of warm backends at the clock time 1,000."""
    out = Balancer(settings, seed)
    out.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry(n, **over) for n in names]))
    return out


def sends(actions: list[api.Action]) -> list[api.StartAttempt]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, api.StartAttempt)]


def answers(actions: list[api.Action]) -> list[api.RejectRequest | api.FailRequest]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, (api.RejectRequest, api.FailRequest))]


@dataclass
class _Seen:
    cls: api.RequestClass
    deadline: float
    ended: bool = False
    told_ended: bool = False
    answers: int = 0
    attempts: list[tuple[str, float, api.AttemptStatus | None]] = field(default_factory=list)


class RuleChecker:
    """Judges a node's actions by rules 1 to 3. It knows the module's types, nothing of its insides."""

    def __init__(self, settings: api.Settings) -> None:
        self.cfg = settings
        self.classes = {c.name: c for c in settings.classes}
        self.seen: dict[str, _Seen] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.barred_since: dict[str, float] = {}

    def event(self, now: float, ev: api.Event) -> None:
        """Take note of what the node was told."""
        if isinstance(ev, api.RequestArrived):
            self.seen[ev.request] = _Seen(self.classes[ev.class_name], ev.deadline)
        elif isinstance(ev, api.AttemptEnded) and ev.request in self.seen:
            r = self.seen[ev.request]
            backend, sent, _ = r.attempts[ev.attempt]
            r.attempts[ev.attempt] = (backend, sent, ev.status)
            r.ended = r.ended or ev.is_answered
        elif isinstance(ev, api.ClientDisconnected) and ev.request in self.seen:
            self.seen[ev.request].ended = True
        elif isinstance(ev, api.ListUpdate) and ev.kind is not api.ListUpdateKind.FAILED:
            named = {e.backend for e in ev.entries}
            if ev.kind is not api.ListUpdateKind.DELTA:
                for name in self.entries.keys() - named:
                    self.barred_since.setdefault(name, now)
            for e in ev.entries:
                self.entries[e.backend] = e
                if e.phase is api.EndpointPhase.IN_SERVICE:
                    self.barred_since.pop(e.backend, None)
                else:
                    self.barred_since.setdefault(e.backend, now)

    def actions(self, now: float, acts: list[api.Action]) -> None:
        """Raise AssertionError on the first broken rule."""
        for act in acts:
            if isinstance(act, api.StartAttempt):
                self._send(now, act)
            elif isinstance(act, (api.RejectRequest, api.FailRequest)):
                self._answer(now, act)

    def overdue(self, now: float) -> list[str]:
        """Requests that should have had their final answer by now."""
        return [
            name
            for name, r in self.seen.items()
            if not r.ended and now > r.deadline + self.cfg.answer_slack_ms
        ]

    def _send(self, now: float, act: api.StartAttempt) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: {act.request} sent after its end"
        since = self.barred_since.get(act.backend)
        assert since is None or now - since <= self.cfg.drain_grace_ms, f"rule 3: {act.backend} is leaving"
        assert len(r.attempts) < self.cfg.max_attempts, "more attempts than allowed"
        out = [a for a in r.attempts if a[2] is None]
        assert self.cfg.hedging_allowed or not out, "rule 2: two attempts out"
        risky = [a for a in r.attempts if a[2] not in api.NOT_EXECUTED]
        if risky and r.cls.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise AssertionError("rule 2: an unsafe request that may have run was sent again")
        if risky and r.cls.idempotency is api.Idempotency.WITH_KEY:
            assert now - min(a[1] for a in risky) <= r.cls.deduplication_window_ms, (
                "rule 2: past the memory span"
            )
            here = self.entries[act.backend]
            for name, _, _ in risky:
                there = self.entries[name]
                same = (
                    r.cls.deduplication_scope is api.DeduplicationScope.ALL
                    or (r.cls.deduplication_scope is api.DeduplicationScope.ZONE and there.zone == here.zone)
                    or (r.cls.deduplication_scope is api.DeduplicationScope.CELL and there.cell == here.cell)
                )
                assert same, "rule 2: outside the group that drops repeats"
        r.attempts.append((act.backend, now, None))

    def _answer(self, now: float, act: api.RejectRequest | api.FailRequest) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: a second answer for {act.request}"
        assert now <= r.deadline + self.cfg.answer_slack_ms, f"rule 1: answer for {act.request} is late"
        if isinstance(act, api.RejectRequest) and r.cls.idempotency is not api.Idempotency.IDEMPOTENT:
            risky = any(a[2] not in api.NOT_EXECUTED for a in r.attempts)
            keyed_all = (
                r.cls.idempotency is api.Idempotency.WITH_KEY
                and r.cls.deduplication_scope is api.DeduplicationScope.ALL
            )
            assert not risky or keyed_all, f"rule 2: {act.request} refused though it may have run"
        r.ended = True


class ColdBudget:
    """Rule 4 over all nodes: what one cold backend is sent within any fall window.

    Its capacity is taken to grow evenly from the cold share over the whole ramp, as slow as the rule allows.
    """

    def __init__(self, settings: api.Settings, full_per_s: float) -> None:
        self.cfg, self.full_per_s = settings, full_per_s
        self.sent: dict[str, list[float]] = {}

    def send(self, now: float, entry: api.Endpoint) -> None:
        """Note one attempt to a backend; every attempt counts, also one that is turned away."""
        if 0 < entry.started_at <= now < entry.started_at + self.cfg.slow_start_ms:
            self.sent.setdefault(f"{entry.backend}@{entry.started_at}", []).append(now)

    def worst(self) -> float:
        """The largest part of a budget that was used; over 1.0 a backend fell over."""
        worst = 0.0
        for name, times in self.sent.items():
            start = float(name.rsplit("@", 1)[1])
            first = 0
            for last, now in enumerate(times):
                while now - times[first] >= self.cfg.overload_window_ms:
                    first += 1
                grown = (1 - self.cfg.cold_capacity_fraction) * max(
                    0.0, now - self.cfg.overload_window_ms - start
                )
                warmth = self.cfg.cold_capacity_fraction + grown / self.cfg.slow_start_ms
                room = (
                    self.cfg.overload_multiple
                    * warmth
                    * self.full_per_s
                    * self.cfg.overload_window_ms
                    / 1000.0
                )
                worst = max(worst, (last - first + 1) / (room + 2.0 * room**0.5))  # some slack for chance
        return worst
