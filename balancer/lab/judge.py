"""Checks of the rules, by the records of stubs and clients alone: nothing that a node reports counts.

The rules are those of the platform's pages (WIRE "Four things never to do", PROTOCOL "The rules on sockets"):
time limits grow by 50 ms on sockets. What a fault of the lab itself took (a killed node's requests, a network
that is cut) is excused and counted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import pairwise

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import DiscoveryDelay, DiscoveryOutage, LinkFault, PowerLoss, Stall
from balancer.experiments.random_streams import random_stream
from balancer.experiments.selectors import fault_targets, select_parties
from balancer.experiments.tables import RequestClass
from balancer.lab import records
from balancer.lab.clients import LOST_AFTER_DEADLINE_MS, method_and_body
from balancer.lab.timeline import last_step_at
from balancer.models.backend import Verdict
from balancer.models.client import Outcome
from balancer.models.directory import Phase
from balancer.models.network import NetworkConditions

SOCKET_SLACK_MS = 50.0  # that sockets add to each limit
ASSUMED_DELIVERY_MS = 6000.0  # after which an event of discovery counts as delivered
TERMINATION_SLACK_MS = 700.0  # after SIGTERM, in which a request may still be lost to SIGKILL
MAX_UNANSWERED_SHARE = 1 / 200  # of requests whose connection ends with no answer and no attempt
MIN_INFORMED_SHARE = 2 / 3  # of a collapsed backend's work, from nodes that knew it was cold
MAX_REPORTED_VIOLATIONS = 20

RULES = {
    "answer": "each request taken gets one final answer in time",
    "twice": "nothing is sent again, or refused as harmless, that the class forbids once it may have run",
    "one-out": "a request has one attempt out at a time",
    "drain": "nothing new goes to a backend that drains or is gone, past the grace",
    "banned": "nothing goes to a backend that the operators took out",
    "topple": "no cold backend is sent so much that it topples",
    "made-up": "a served answer is one that a backend made for this request",
    "changed": "a backend gets only what a client sent, unchanged",
    "crash": "no node ends by itself, or is late to start",
}
NEVER_RAN = frozenset({Verdict.REJECTED.value, Verdict.EXPIRED.value})
MADE = frozenset({Verdict.SERVED.value, Verdict.REPEATED.value})


@dataclass(slots=True, frozen=True)
class Break:
    """A violation of a rule."""

    rule: str
    at: float  # ms
    node: int
    text: str


@dataclass
class Judgement:
    """All violations of a run, and what was excused."""

    broken: Counter[str] = field(default_factory=Counter)
    first_violations: list[Break] = field(default_factory=list)
    excused: int = 0  # requests that a fault of the lab took
    overdue: int = 0  # answers past the rule's slack, within half a second
    unanswered: int = 0  # connections that ended with no answer and no attempt

    def add(self, rule: str, at: float, node: int, text: str) -> None:
        """Count a violation of a rule."""
        self.broken[rule] += 1
        if len(self.first_violations) < MAX_REPORTED_VIOLATIONS:
            self.first_violations.append(Break(rule, at, node, text))


class Judge:
    """Checks the records of one run."""

    def __init__(
        self,
        spec: Experiment,
        run_records: records.RunRecords,
        max_unanswered_share: float = MAX_UNANSWERED_SHARE,
    ) -> None:
        """Index the records by request and by node.

        `max_unanswered_share` of the requests may end with their connection, with no answer and no attempt:
        more of them where other clients fill the descriptors.
        """
        self.spec, self.run_records, self.out = spec, run_records, Judgement()
        self.max_unanswered_share = max_unanswered_share
        self.attempts: dict[str, list[records.BackendAttemptRecord]] = defaultdict(list)
        for attempt in sorted(run_records.backend_attempts, key=lambda a: a.complete_at):
            self.attempts[attempt.ident].append(attempt)
        self.process_records: dict[int, list[records.ProcessRecord]] = defaultdict(list)
        for process_record in sorted(run_records.processes, key=lambda x: x.started_at):
            self.process_records[process_record.node].append(process_record)
        self.network = NetworkConditions(spec, random_stream(0, "judge"))
        self.stalls = [
            (name, f.at * 1000, f.ends_at * 1000)
            for f in spec.faults if isinstance(f, Stall) for name in select_parties(spec, f.targets)
        ]  # fmt: skip
        self.links = [f for f in spec.faults if isinstance(f, LinkFault)]

    def judge(self) -> Judgement:
        """Check all rules."""
        client_attempts = {t.ident: t for t in self.run_records.client_attempts}
        for one in self.run_records.client_attempts:
            self._answered(one)
            self._refused(one)
        doors = self.out.unanswered
        if doors > self.max_unanswered_share * max(1, len(self.run_records.client_attempts)):
            self.out.add(
                "answer", 0.0, -1, f"{doors} connections ended with no answer: over 1 in 200 requests"
            )
        for ident, attempts in self.attempts.items():
            one = client_attempts.get(ident)  # type: ignore[assignment]
            self._unchanged(one, attempts)
            if one is not None:
                self._repeats(one, attempts)
                self._one_out(attempts)
        self._drains()
        self._bans()
        self._topples()
        for process_record in self.run_records.processes:
            if process_record.failure:
                self.out.add(
                    "crash",
                    process_record.ended_at,
                    process_record.node,
                    f"process {process_record.process}: {process_record.failure} "
                    f"({process_record.exit_code})",
                )
        for text in self.run_records.unknown:
            self.out.add("changed", 0.0, -1, text)
        return self.out

    # --- answers

    def _answered(self, one: records.ClientAttemptRecord) -> None:
        if not one.sent_at or one.outcome in (Outcome.ABANDONED.value, Outcome.UNREACHABLE.value):
            return
        if one.status == HTTPStatus.OK:
            made = self.attempts.get(one.ident, ())
            if not any(a.body == one.body and a.verdict in MADE for a in made):
                self.out.add("made-up", one.answered_at, one.node, f"{one.ident}: {one.body[:60]!r}")
        if one.answered_at:
            late = one.answered_at - one.deadline
            self.out.overdue += late > self.spec.rules.answer_slack_ms + SOCKET_SLACK_MS
            return
        if one.outcome == Outcome.DISCONNECTED.value and one.response_started:
            return  # failed: the client can tell that the answer is not whole
        until = (
            one.ended_at
            if one.outcome == Outcome.DISCONNECTED.value
            else one.deadline + LOST_AFTER_DEADLINE_MS
        )
        if self._excused(one, until):
            self.out.excused += 1
        elif one.outcome == Outcome.DISCONNECTED.value and not self.attempts.get(one.ident):
            self.out.unanswered += 1
        else:
            self.out.add(
                "answer", one.deadline, one.node, f"{one.ident} ({one.outcome}) never got its answer"
            )

    def _excused(self, one: records.ClientAttemptRecord, until: float) -> bool:
        """Return whether a fault of the lab itself prevented the answer."""
        name, zone = f"n{one.node}", f"c-{one.zone}"
        for process_record in self.process_records[one.node]:
            end = process_record.killed_at or (process_record.ended_at if process_record.failure else 0.0)
            if not end or not one.sent_at - SOCKET_SLACK_MS <= end <= until + SOCKET_SLACK_MS:
                continue
            if (
                not process_record.terminated_at
                or one.sent_at <= process_record.terminated_at + TERMINATION_SLACK_MS
            ):
                return True
        if any(n == name and a <= until and one.sent_at <= b + SOCKET_SLACK_MS for n, a, b in self.stalls):
            return True
        return any(
            f.at * 1000 <= until and one.sent_at <= f.ends_at * 1000
            and self.network.affects_link(f, zone, name)
            for f in self.links
        )  # fmt: skip

    def _refused(self, one: records.ClientAttemptRecord) -> None:
        cls = self.spec.load.classes[one.class_index]
        if one.status not in (429, 503) or cls.effect == "retryable":
            return
        risky = [a for a in self.attempts.get(one.ident, ()) if a.verdict not in NEVER_RAN]
        if risky and (cls.effect == "fragile" or cls.group != "all"):
            self.out.add(
                "twice", one.answered_at, one.node, f"{one.ident} may have run and was refused as harmless"
            )

    # --- attempts

    def _unchanged(
        self, one: records.ClientAttemptRecord | None, attempts: list[records.BackendAttemptRecord]
    ) -> None:
        for attempt in attempts:
            if one is None:
                self.out.add(
                    "changed", attempt.first_byte_at, attempt.node, f"{attempt.ident}: no client sent it"
                )
                continue
            cls = self.spec.load.classes[one.class_index]
            same = (
                (attempt.method, attempt.request_body) == method_and_body(cls, one.operation)
                and attempt.path.startswith(f"/{cls.name}/{one.operation}?")
                and attempt.key == one.key
            )
            if not same:
                self.out.add(
                    "changed",
                    attempt.first_byte_at,
                    attempt.node,
                    f"{attempt.ident}: not as the client sent it",
                )

    def _repeats(
        self, one: records.ClientAttemptRecord, attempts: list[records.BackendAttemptRecord]
    ) -> None:
        cls = self.spec.load.classes[one.class_index]
        if cls.effect == "retryable" or one.resent_at:
            return
        risky: list[records.BackendAttemptRecord] = []
        for attempt in attempts:
            if risky and not self._may_follow(cls, risky, attempt):
                self.out.add(
                    "twice", attempt.complete_at, attempt.node,
                    f"{attempt.ident} ({cls.name}) went to s{attempt.backend} after s{risky[0].backend}, "
                    f"where it may have run",
                )  # fmt: skip
            if attempt.verdict not in NEVER_RAN:
                risky.append(attempt)

    def _may_follow(self, cls: RequestClass, risky: list[records.BackendAttemptRecord],
                    attempt: records.BackendAttemptRecord) -> bool:  # fmt: skip
        if (
            cls.effect == "fragile"
            or attempt.complete_at - risky[0].complete_at > cls.memory_span_ms + SOCKET_SLACK_MS
        ):
            return False
        if cls.group == "zone":
            zones = {self.spec.zone_of(f"s{a.backend}") for a in [*risky, attempt]}
            return len(zones) == 1
        return cls.group == "all" or len({self.spec.cell_of(a.backend) for a in [*risky, attempt]}) == 1

    def _one_out(self, attempts: list[records.BackendAttemptRecord]) -> None:
        for earlier, later in pairwise(attempts):
            ends = [t for t in (earlier.ended_at, earlier.closed_at) if t]
            if earlier.node == later.node and (not ends or min(ends) > later.complete_at + SOCKET_SLACK_MS):
                self.out.add(
                    "one-out",
                    later.complete_at,
                    later.node,
                    f"{later.ident} went to s{later.backend} while out at s{earlier.backend}",
                )

    # --- backends

    def _drains(self) -> None:
        deliveries: dict[tuple[int, int], list[records.ListDeliveryRecord]] = defaultdict(list)
        for record in sorted(
            [*self.run_records.list_deliveries, *self._assumed_deliveries()], key=lambda t: t.at
        ):
            deliveries[record.node, record.backend].append(record)
        limit = self.spec.rules.drain_grace_ms + SOCKET_SLACK_MS
        for attempt in self.run_records.backend_attempts:
            history = deliveries.get((attempt.node, attempt.backend))
            if not history:
                continue
            since = max(
                (
                    x.started_at
                    for x in self.process_records[attempt.node]
                    if x.started_at <= attempt.first_byte_at
                ),
                default=0.0,
            )
            known = [
                t
                for t in history[: bisect_right(history, attempt.first_byte_at, key=lambda t: t.at)]
                if t.at >= since
            ]
            barred = None
            for record in known:
                if record.phase == Phase.IN_SERVICE.value:
                    barred = None
                elif barred is None:
                    barred = record.at
            if barred is not None and attempt.first_byte_at > barred + limit:
                self.out.add("drain", attempt.first_byte_at, attempt.node,
                             f"{attempt.ident} went to s{attempt.backend}, "
                             f"{attempt.first_byte_at - barred:.0f} ms after it was told")  # fmt: skip

    def _assumed_deliveries(self) -> Iterable[records.ListDeliveryRecord]:
        """Yield deliveries that count after a while, but for nodes that a fault keeps from discovery."""
        known: dict[int, list[records.ListDeliveryRecord]] = defaultdict(list)
        for record in self.run_records.list_deliveries:
            if record.node == -1:
                known[record.backend].append(record)
        for history in known.values():
            for record, after in zip(history, [*history[1:], None], strict=True):
                at = record.at + ASSUMED_DELIVERY_MS
                if record.phase == Phase.IN_SERVICE.value or (after is not None and after.at <= at):
                    continue
                for node in range(self.spec.fleet.nodes):
                    if not self._is_cut_from_discovery(node, record.at, at):
                        yield records.ListDeliveryRecord(
                            node, at, record.backend, record.phase, record.up_since
                        )

    def _is_cut_from_discovery(self, node: int, begin: float, end: float) -> bool:
        for fault in self.spec.faults:
            until = last_step_at(self.spec, fault) if isinstance(fault, PowerLoss) else fault.ends_at
            if fault.at * 1000 > end or until * 1000 < begin:
                continue
            if isinstance(fault, (DiscoveryOutage, DiscoveryDelay)):
                return True
            if isinstance(fault, PowerLoss) and "d" in fault_targets(self.spec, fault):
                return True
            if isinstance(fault, LinkFault) and self.network.affects_link(fault, f"n{node}", "d"):
                return True
        return any(n == f"n{node}" and a <= end and begin <= b for n, a, b in self.stalls)

    def _bans(self) -> None:
        by_place: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
        for ban in self.run_records.maintenance:
            ends = [ban.lifted_at] if ban.lifted_at else []
            # A node that comes up anew with nothing else of it running has forgotten: `$TMPDIR` does not
            # last.
            process_records = self.process_records[ban.node]
            ends += [
                x.started_at for x in process_records
                if x.started_at > ban.banned_at
                and not any(
                    y.started_at < x.started_at and not 0 < y.ended_at < x.started_at
                    for y in process_records
                )
            ]  # fmt: skip
            by_place[ban.node, ban.backend].append((ban.banned_at, min(ends, default=float("inf"))))
        for attempt in self.run_records.backend_attempts:
            for begun, until in by_place.get((attempt.node, attempt.backend), ()):
                if begun + SOCKET_SLACK_MS < attempt.first_byte_at < until:
                    self.out.add("banned", attempt.first_byte_at, attempt.node,
                                 f"{attempt.ident} went to s{attempt.backend}, which is out")  # fmt: skip

    def _topples(self) -> None:
        for collapse in self.run_records.collapses:
            knew = {
                t.node for t in self.run_records.list_deliveries
                if t.backend == collapse.backend and t.up_since and t.at <= collapse.collapsed_at
                and t.at >= collapse.started_at - ASSUMED_DELIVERY_MS
            }  # fmt: skip
            total = sum(collapse.work_by_node.values())
            share = sum(w for node, w in collapse.work_by_node.items() if node in knew) / total
            if share >= MIN_INFORMED_SHARE:
                self.out.add(
                    "topple",
                    collapse.collapsed_at,
                    -1,
                    f"s{collapse.backend} toppled, {share:.0%} of its work from nodes that knew",
                )
