"""Checks of the rules, based on records of stubs and clients only: reports of the nodes are not trusted.

The rules come from the platform's pages (WIRE "Four things never to do", PROTOCOL "The rules on sockets"):
each time limit is 50 ms longer on sockets. Requests lost to a fault of the lab itself, such as a killed node
or a cut link, are excused and counted.
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

SOCKET_SLACK_MS = 50.0  # Sockets extend every time limit of a rule by 50 ms.
ASSUMED_DELIVERY_MS = 6000.0  # Events of discovery count as delivered to all nodes after 6 s.
MAX_START_AFTER_LEAVING_MS = 100.0  # No attempt begins more than 100 ms after its client has left.
SIGKILL_LOSS_WINDOW_MS = 700.0  # A request sent up to 700 ms after SIGTERM may be lost to SIGKILL.
MAX_UNANSWERED_SHARE = 1 / 200  # One request in 200 may lose its connection before any attempt.
MIN_INFORMED_SHARE = 2 / 3  # A collapse is a violation if informed nodes sent 2/3 of the work.
MAX_REPORTED_VIOLATIONS = 20

RULES = {
    "answer": "each accepted request gets one final response in time",
    "twice": "a request that may have run is resent or rejected as not started only if its class allows it",
    "one-out": "a request has at most one attempt in flight",
    "left": "no attempt begins more than 0.1 s after the client has closed its connection",
    "drain": "no attempt goes to a draining or removed backend after the grace period",
    "banned": "no attempt goes to a backend under a maintenance ban",
    "topple": "no cold backend is overloaded until it collapses",
    "made-up": "a served response was produced by a backend for this request",
    "changed": "a backend receives only requests that a client sent, unchanged",
    "crash": "no node process exits by itself or starts too late",
}
NOT_EXECUTED = frozenset({Verdict.REJECTED.value, Verdict.EXPIRED.value})
SERVED_VERDICTS = frozenset({Verdict.SERVED.value, Verdict.REPEATED.value})


@dataclass(slots=True, frozen=True)
class RuleViolation:
    """One violation of a rule by a node."""

    rule: str
    at: float  # The violation happened at this time (ms) of the run.
    node: int
    text: str


@dataclass
class Judgement:
    """The violations of all rules in a run, and the counts of tolerated cases."""

    broken: Counter[str] = field(default_factory=Counter)
    first_violations: list[RuleViolation] = field(default_factory=list)
    excused: int = 0  # Requests lost to a fault of the lab itself are excused.
    overdue: int = 0  # Responses past the rule's slack but within half a second are overdue.
    unanswered: int = 0  # Connections that ended with no response and no attempt are unanswered.

    def add(self, rule: str, at: float, node: int, text: str) -> None:
        """Count a violation of a rule, and keep its details if it is among the first."""
        self.broken[rule] += 1
        if len(self.first_violations) < MAX_REPORTED_VIOLATIONS:
            self.first_violations.append(RuleViolation(rule, at, node, text))


class Judge:
    """Checks the records of one run against all rules."""

    def __init__(
        self,
        spec: Experiment,
        run_records: records.RunRecords,
        max_unanswered_share: float = MAX_UNANSWERED_SHARE,
    ) -> None:
        """Index the records by request and by node.

        Up to `max_unanswered_share` of the requests may lose their connection with no response and no
        attempt; more do so where other clients use up the descriptors.
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
        """Check all rules and return the violations."""
        client_attempts = {t.ident: t for t in self.run_records.client_attempts}
        for request in self.run_records.client_attempts:
            self._check_response(request)
            self._check_rejection(request)
        unanswered = self.out.unanswered
        if unanswered > self.max_unanswered_share * max(1, len(self.run_records.client_attempts)):
            self.out.add(
                "answer",
                0.0,
                -1,
                f"{unanswered} connections ended with no response, expected at most 1 in 200 requests",
            )
        for ident, attempts in self.attempts.items():
            request = client_attempts.get(ident)  # type: ignore[assignment]
            self._check_unchanged(request, attempts)
            if request is not None:
                self._check_repeats(request, attempts)
                self._check_one_in_flight(attempts)
                self._check_client_present(request, attempts)
        self._check_drains()
        self._check_bans()
        self._check_collapses()
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

    # --- rules about responses

    def _check_response(self, request: records.ClientAttemptRecord) -> None:
        if not request.sent_at or request.outcome in (Outcome.ABANDONED.value, Outcome.UNREACHABLE.value):
            return
        if request.status == HTTPStatus.OK:
            made = self.attempts.get(request.ident, ())
            if not any(
                a.response_body == request.response_body and a.verdict in SERVED_VERDICTS for a in made
            ):
                self.out.add(
                    "made-up",
                    request.answered_at,
                    request.node,
                    f"{request.ident}: {request.response_body[:60]!r}",
                )
        if request.answered_at:
            late = request.answered_at - request.deadline
            self.out.overdue += late > self.spec.rules.answer_slack_ms + SOCKET_SLACK_MS
            return
        if request.outcome == Outcome.DISCONNECTED.value and request.response_started:
            return  # The client can tell that a response cut off in the middle is incomplete.
        until = (
            request.ended_at
            if request.outcome == Outcome.DISCONNECTED.value
            else request.deadline + LOST_AFTER_DEADLINE_MS
        )
        if self._is_excused(request, until):
            self.out.excused += 1
        elif request.outcome == Outcome.DISCONNECTED.value and not self.attempts.get(request.ident):
            self.out.unanswered += 1
        else:
            self.out.add(
                "answer",
                request.deadline,
                request.node,
                f"{request.ident} ({request.outcome}) never got a response",
            )

    def _is_excused(self, request: records.ClientAttemptRecord, until: float) -> bool:
        """Return whether a fault of the lab itself prevented the response."""
        name, zone = f"n{request.node}", f"c-{request.zone}"
        for process_record in self.process_records[request.node]:
            end = process_record.killed_at or (process_record.ended_at if process_record.failure else 0.0)
            if not end or not request.sent_at - SOCKET_SLACK_MS <= end <= until + SOCKET_SLACK_MS:
                continue
            if (
                not process_record.terminated_at
                or request.sent_at <= process_record.terminated_at + SIGKILL_LOSS_WINDOW_MS
            ):
                return True
        if any(
            n == name and a <= until and request.sent_at <= b + SOCKET_SLACK_MS for n, a, b in self.stalls
        ):
            return True
        return any(
            f.at * 1000 <= until and request.sent_at <= f.ends_at * 1000
            and self.network.affects_link(f, zone, name)
            for f in self.links
        )  # fmt: skip

    def _check_rejection(self, request: records.ClientAttemptRecord) -> None:
        cls = self.spec.load.classes[request.class_index]
        if request.status not in (429, 503) or cls.effect == "retryable":
            return
        may_have_run = [a for a in self.attempts.get(request.ident, ()) if a.verdict not in NOT_EXECUTED]
        if may_have_run and (cls.effect == "fragile" or cls.group != "all"):
            self.out.add(
                "twice",
                request.answered_at,
                request.node,
                f"{request.ident} may have run, but was rejected as not started",
            )

    # --- rules about attempts

    def _check_unchanged(
        self, request: records.ClientAttemptRecord | None, attempts: list[records.BackendAttemptRecord]
    ) -> None:
        for attempt in attempts:
            if request is None:
                self.out.add(
                    "changed",
                    attempt.first_byte_at,
                    attempt.node,
                    f"{attempt.ident}: expected a request of a client, but no client sent it",
                )
                continue
            cls = self.spec.load.classes[request.class_index]
            same = (
                (attempt.method, attempt.request_body) == method_and_body(cls, request.operation)
                and attempt.path.startswith(f"/{cls.name}/{request.operation}?")
                and attempt.key == request.key
            )
            if not same:
                self.out.add(
                    "changed",
                    attempt.first_byte_at,
                    attempt.node,
                    f"{attempt.ident}: differs from what the client sent",
                )

    def _check_repeats(
        self, request: records.ClientAttemptRecord, attempts: list[records.BackendAttemptRecord]
    ) -> None:
        cls = self.spec.load.classes[request.class_index]
        if cls.effect == "retryable" or request.resent_at:
            return
        may_have_run: list[records.BackendAttemptRecord] = []
        for attempt in attempts:
            if may_have_run and not self._may_follow(cls, may_have_run, attempt):
                self.out.add(
                    "twice", attempt.complete_at, attempt.node,
                    f"{attempt.ident} ({cls.name}) went to s{attempt.backend} "
                    f"after s{may_have_run[0].backend}, where it may have run",
                )  # fmt: skip
            if attempt.verdict not in NOT_EXECUTED:
                may_have_run.append(attempt)

    def _may_follow(self, cls: RequestClass, may_have_run: list[records.BackendAttemptRecord],
                    attempt: records.BackendAttemptRecord) -> bool:  # fmt: skip
        if (
            cls.effect == "fragile"
            or attempt.complete_at - may_have_run[0].complete_at > cls.memory_span_ms + SOCKET_SLACK_MS
        ):
            return False
        if cls.group == "zone":
            zones = {self.spec.zone_of(f"s{a.backend}") for a in [*may_have_run, attempt]}
            return len(zones) == 1
        return (
            cls.group == "all" or len({self.spec.cell_of(a.backend) for a in [*may_have_run, attempt]}) == 1
        )

    def _check_one_in_flight(self, attempts: list[records.BackendAttemptRecord]) -> None:
        for earlier, later in pairwise(attempts):
            ends = [t for t in (earlier.ended_at, earlier.closed_at) if t]
            if earlier.node == later.node and (not ends or min(ends) > later.complete_at + SOCKET_SLACK_MS):
                self.out.add(
                    "one-out",
                    later.complete_at,
                    later.node,
                    f"{later.ident} went to s{later.backend} while in flight at s{earlier.backend}",
                )

    def _check_client_present(
        self, request: records.ClientAttemptRecord, attempts: list[records.BackendAttemptRecord]
    ) -> None:
        left_at = _left_at(request)
        if left_at is None:
            return
        for attempt in attempts:
            late = attempt.first_byte_at - left_at
            if late > MAX_START_AFTER_LEAVING_MS + SOCKET_SLACK_MS:
                self.out.add(
                    "left",
                    attempt.first_byte_at,
                    attempt.node,
                    f"{attempt.ident} went to s{attempt.backend} {late:.0f} ms after its client had left",
                )

    # --- rules about the choice of backends

    def _check_drains(self) -> None:
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
                             f"{attempt.first_byte_at - barred:.0f} ms after its drain notice")  # fmt: skip

    def _assumed_deliveries(self) -> Iterable[records.ListDeliveryRecord]:
        """Yield the deliveries assumed after ASSUMED_DELIVERY_MS, except to nodes cut off from discovery."""
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

    def _check_bans(self) -> None:
        by_place: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
        for ban in self.run_records.maintenance:
            ends = [ban.lifted_at] if ban.lifted_at else []
            # A node that starts with no other process of it running has lost its bans, because `$TMPDIR` is
            # emptied.
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
                                 f"{attempt.ident} went to s{attempt.backend}, which is banned")  # fmt: skip

    def _check_collapses(self) -> None:
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
                    f"s{collapse.backend} collapsed, {share:.0%} of its work came from nodes "
                    f"that knew it was cold",
                )


def _left_at(request: records.ClientAttemptRecord) -> float | None:
    """Return the time (ms) at which a client has reset the connection of a request, or None if it did not."""
    if not request.sent_at or request.answered_at:
        return None
    if request.outcome == Outcome.ABANDONED.value:
        return request.ended_at
    if request.outcome == Outcome.TIMED_OUT.value:
        return request.ended_at + LOST_AFTER_DEADLINE_MS
    return None
