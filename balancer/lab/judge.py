"""The rules, judged from what stand-ins and clients saw. Nothing that a node says of itself counts.

The rules are those of the platform's pages (WIRE "Four things never to do", PROTOCOL "The rules on sockets"):
time limits grow by 50 ms on sockets. What a fault of the lab itself took (a killed node's requests, a network
that is cut) is excused and counted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import DiscoveryDelay, DiscoveryOutage, LinkFault, PowerLoss, Stall
from balancer.experiments.random_streams import stream
from balancer.experiments.selectors import fault_targets, select_parties
from balancer.experiments.tables import RequestClass
from balancer.lab import records
from balancer.lab.clients import OVERDUE, wording
from balancer.lab.timeline import last_step_at
from balancer.models.backend import Verdict
from balancer.models.client import End
from balancer.models.directory import Phase
from balancer.models.network import Weather

SLACK = 50.0  # ms that sockets add to each limit
TOLD_ANYWAY = 6000.0  # ms after which what discovery has to tell counts as told
AFTER_TERM = 700.0  # ms after SIGTERM in which a request may still be lost to SIGKILL
AT_THE_DOOR = 1 / 200  # share of requests whose connection may end with no answer and no attempt
SHARE_OF_TOLD = 2 / 3  # of a toppled backend's work, from nodes that knew it was cold
WORDY = 20  # breaks that are kept in words

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
NEVER_RAN = frozenset({Verdict.TURNED_AWAY.value, Verdict.EXPIRED.value})
MADE = frozenset({Verdict.SERVED.value, Verdict.REPEATED.value})


@dataclass(slots=True, frozen=True)
class Break:
    """One broken rule."""

    rule: str
    at: float  # ms
    node: int
    text: str


@dataclass
class Judgement:
    """All that the judge found."""

    broken: Counter[str] = field(default_factory=Counter)
    first: list[Break] = field(default_factory=list)
    excused: int = 0  # requests that a fault of the lab took
    overdue: int = 0  # answers past the rule's slack, within half a second
    door: int = 0  # connections that ended with no answer and no attempt

    def add(self, rule: str, at: float, node: int, text: str) -> None:
        """A rule is broken."""
        self.broken[rule] += 1
        if len(self.first) < WORDY:
            self.first.append(Break(rule, at, node, text))


class Judge:
    """Looks at one run's records."""

    def __init__(self, spec: Experiment, seen: records.Seen) -> None:
        self.spec, self.seen, self.out = spec, seen, Judgement()
        self.attempts: dict[str, list[records.AttemptRecord]] = defaultdict(list)
        for attempt in sorted(seen.attempts, key=lambda a: a.whole):
            self.attempts[attempt.ident].append(attempt)
        self.lives: dict[int, list[records.LifeRecord]] = defaultdict(list)
        for life in sorted(seen.lives, key=lambda x: x.started):
            self.lives[life.node].append(life)
        self.weather = Weather(spec, stream(0, "judge"))
        self.stalls = [
            (name, f.at * 1000, f.ends_at * 1000)
            for f in spec.faults if isinstance(f, Stall) for name in select_parties(spec, f.targets)
        ]  # fmt: skip
        self.links = [f for f in spec.faults if isinstance(f, LinkFault)]

    def judge(self) -> Judgement:
        """All rules."""
        tries = {t.ident: t for t in self.seen.tries}
        for one in self.seen.tries:
            self._answered(one)
            self._refused(one)
        doors = self.out.door
        if doors > AT_THE_DOOR * max(1, len(self.seen.tries)):
            self.out.add(
                "answer", 0.0, -1, f"{doors} connections ended with no answer: over 1 in 200 requests"
            )
        for ident, attempts in self.attempts.items():
            one = tries.get(ident)  # type: ignore[assignment]
            self._unchanged(one, attempts)
            if one is not None:
                self._repeats(one, attempts)
                self._one_out(attempts)
        self._drains()
        self._bans()
        self._topples()
        for life in self.seen.lives:
            if life.why:
                self.out.add(
                    "crash", life.ended, life.node, f"process {life.process}: {life.why} ({life.code})"
                )
        for text in self.seen.unknown:
            self.out.add("changed", 0.0, -1, text)
        return self.out

    # --- answers

    def _answered(self, one: records.TryRecord) -> None:
        if not one.sent or one.end in (End.LEFT.value, End.UNREACHABLE.value):
            return
        if one.status == 200:
            made = self.attempts.get(one.ident, ())
            if not any(a.body == one.body and a.verdict in MADE for a in made):
                self.out.add("made-up", one.answered, one.node, f"{one.ident}: {one.body[:60]!r}")
        if one.answered:
            late = one.answered - one.deadline
            self.out.overdue += late > self.spec.rules.answer_slack_ms + SLACK
            return
        if one.end == End.CUT.value and one.began:
            return  # failed: the client can tell that the answer is not whole
        until = one.ended if one.end == End.CUT.value else one.deadline + OVERDUE
        if self._excused(one, until):
            self.out.excused += 1
        elif one.end == End.CUT.value and not self.attempts.get(one.ident):
            self.out.door += 1
        else:
            self.out.add("answer", one.deadline, one.node, f"{one.ident} ({one.end}) never got its answer")

    def _excused(self, one: records.TryRecord, until: float) -> bool:
        """Whether the lab itself kept the answer from coming."""
        name, zone = f"n{one.node}", f"c-{one.zone}"
        for life in self.lives[one.node]:
            end = life.killed or (life.ended if life.why else 0.0)
            if not end or not one.sent - SLACK <= end <= until + SLACK:
                continue
            if not life.term or one.sent <= life.term + AFTER_TERM:
                return True
        if any(n == name and a <= until and one.sent <= b + SLACK for n, a, b in self.stalls):
            return True
        return any(
            f.at * 1000 <= until and one.sent <= f.ends_at * 1000
            and self.weather.touches(f, zone, name)
            for f in self.links
        )  # fmt: skip

    def _refused(self, one: records.TryRecord) -> None:
        cls = self.spec.load.classes[one.kind]
        if one.status not in (429, 503) or cls.effect == "retryable":
            return
        risky = [a for a in self.attempts.get(one.ident, ()) if a.verdict not in NEVER_RAN]
        if risky and (cls.effect == "fragile" or cls.group != "all"):
            self.out.add(
                "twice", one.answered, one.node, f"{one.ident} may have run and was refused as harmless"
            )

    # --- attempts

    def _unchanged(self, one: records.TryRecord | None, attempts: list[records.AttemptRecord]) -> None:
        for attempt in attempts:
            if one is None:
                self.out.add("changed", attempt.first, attempt.node, f"{attempt.ident}: no client sent it")
                continue
            cls = self.spec.load.classes[one.kind]
            same = (
                (attempt.method, attempt.asked) == wording(cls, one.wish)
                and attempt.path.startswith(f"/{cls.name}/{one.wish}?")
                and attempt.key == one.key
            )
            if not same:
                self.out.add(
                    "changed", attempt.first, attempt.node, f"{attempt.ident}: not as the client sent it"
                )

    def _repeats(self, one: records.TryRecord, attempts: list[records.AttemptRecord]) -> None:
        cls = self.spec.load.classes[one.kind]
        if cls.effect == "retryable" or one.crossed:
            return
        risky: list[records.AttemptRecord] = []
        for attempt in attempts:
            if risky and not self._may_follow(cls, risky, attempt):
                self.out.add(
                    "twice", attempt.whole, attempt.node,
                    f"{attempt.ident} ({cls.name}) went to s{attempt.backend} after s{risky[0].backend}, "
                    f"where it may have run",
                )  # fmt: skip
            if attempt.verdict not in NEVER_RAN:
                risky.append(attempt)

    def _may_follow(self, cls: RequestClass, risky: list[records.AttemptRecord],
                    attempt: records.AttemptRecord) -> bool:  # fmt: skip
        if cls.effect == "fragile" or attempt.whole - risky[0].whole > cls.memory_span_ms + SLACK:
            return False
        if cls.group == "zone":
            zones = {self.spec.zone_of(f"s{a.backend}") for a in [*risky, attempt]}
            return len(zones) == 1
        return cls.group == "all" or len({self.spec.cell_of(a.backend) for a in [*risky, attempt]}) == 1

    def _one_out(self, attempts: list[records.AttemptRecord]) -> None:
        for earlier, later in pairwise(attempts):
            ends = [t for t in (earlier.ended, earlier.closed) if t]
            if earlier.node == later.node and (not ends or min(ends) > later.whole + SLACK):
                self.out.add(
                    "one-out",
                    later.whole,
                    later.node,
                    f"{later.ident} went to s{later.backend} while out at s{earlier.backend}",
                )

    # --- backends

    def _drains(self) -> None:
        told: dict[tuple[int, int], list[records.ToldRecord]] = defaultdict(list)
        for record in sorted([*self.seen.told, *self._told_anyway()], key=lambda t: t.at):
            told[record.node, record.backend].append(record)
        limit = self.spec.rules.drain_grace_ms + SLACK
        for attempt in self.seen.attempts:
            history = told.get((attempt.node, attempt.backend))
            if not history:
                continue
            since = max(
                (x.started for x in self.lives[attempt.node] if x.started <= attempt.first), default=0.0
            )
            known = [
                t
                for t in history[: bisect_right(history, attempt.first, key=lambda t: t.at)]
                if t.at >= since
            ]
            barred = None
            for record in known:
                if record.phase == Phase.UP.value:
                    barred = None
                elif barred is None:
                    barred = record.at
            if barred is not None and attempt.first > barred + limit:
                self.out.add("drain", attempt.first, attempt.node,
                             f"{attempt.ident} went to s{attempt.backend}, "
                             f"{attempt.first - barred:.0f} ms after it was told")  # fmt: skip

    def _told_anyway(self) -> Iterable[records.ToldRecord]:
        """What discovery knows counts as told after a while, but for nodes that the lab kept from it."""
        known: dict[int, list[records.ToldRecord]] = defaultdict(list)
        for record in self.seen.told:
            if record.node == -1:
                known[record.backend].append(record)
        for history in known.values():
            for record, after in zip(history, [*history[1:], None], strict=True):
                at = record.at + TOLD_ANYWAY
                if record.phase == Phase.UP.value or (after is not None and after.at <= at):
                    continue
                for node in range(self.spec.fleet.nodes):
                    if not self._kept_from_list(node, record.at, at):
                        yield records.ToldRecord(node, at, record.backend, record.phase, record.up_since)

    def _kept_from_list(self, node: int, begin: float, end: float) -> bool:
        for fault in self.spec.faults:
            until = last_step_at(self.spec, fault) if isinstance(fault, PowerLoss) else fault.ends_at
            if fault.at * 1000 > end or until * 1000 < begin:
                continue
            if isinstance(fault, (DiscoveryOutage, DiscoveryDelay)):
                return True
            if isinstance(fault, PowerLoss) and "d" in fault_targets(self.spec, fault):
                return True
            if isinstance(fault, LinkFault) and self.weather.touches(fault, f"n{node}", "d"):
                return True
        return any(n == f"n{node}" and a <= end and begin <= b for n, a, b in self.stalls)

    def _bans(self) -> None:
        by_place: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
        for ban in self.seen.bans:
            over = [ban.ended] if ban.ended else []
            # A node that comes up anew with nothing else of it running has forgotten: `$TMPDIR` does not
            # last.
            lives = self.lives[ban.node]
            over += [
                x.started for x in lives
                if x.started > ban.begun
                and not any(y.started < x.started and not 0 < y.ended < x.started for y in lives)
            ]  # fmt: skip
            by_place[ban.node, ban.backend].append((ban.begun, min(over, default=float("inf"))))
        for attempt in self.seen.attempts:
            for begun, until in by_place.get((attempt.node, attempt.backend), ()):
                if begun + SLACK < attempt.first < until:
                    self.out.add("banned", attempt.first, attempt.node,
                                 f"{attempt.ident} went to s{attempt.backend}, which is out")  # fmt: skip

    def _topples(self) -> None:
        for topple in self.seen.topples:
            knew = {
                t.node for t in self.seen.told
                if t.backend == topple.backend and t.up_since and t.at <= topple.at
                and t.at >= topple.started - TOLD_ANYWAY
            }  # fmt: skip
            total = sum(topple.work_by_node.values())
            share = sum(w for node, w in topple.work_by_node.items() if node in knew) / total
            if share >= SHARE_OF_TOLD:
                self.out.add(
                    "topple",
                    topple.at,
                    -1,
                    f"s{topple.backend} toppled, {share:.0%} of its work from nodes that knew",
                )
