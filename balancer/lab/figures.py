"""Figures of a run: goodput, latency without coordinated omission, costs, recovery, the harness itself."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, PowerLoss, Stall
from balancer.experiments.selectors import select_parties
from balancer.experiments.tables import Expectation
from balancer.lab import records
from balancer.lab.judge import RULES, Judgement
from balancer.lab.power_recovery import count_forgotten_bans, power_recovery_figures
from balancer.lab.timeline import last_step_at
from balancer.models.client import Outcome

MAX_HARNESS_LATENESS_MS = 5.0  # at p99; a run beyond that is void
MAX_CPU_WAIT_S = 1.0  # of a runnable node within CPU_WAIT_WINDOW_S; a run beyond that is void
CPU_WAIT_WINDOW_S = 2.0
START_UP_S = 3.0  # from a process's start until its waits count: many start at once
MAX_LATENCY_US = 60_000_000  # of the histogram
MIN_BROADCAST_LOSS = 0.5  # from which on a node is not a healthy one
RECOVERED = 0.95  # of the goodput before the first fault
DETECTION_LIMIT_MS = 10_000.0  # within which a death has to be known
WINDOW_S = 0.5  # of the series
JUDGED = ("goodput", "refused", "latency_p50_ms", "latency_p99_ms", "node_cpu_us_per_try")  # of a comparison
SUCCESSOR_WINDOW_S = 5.0
SUCCESSOR_STEP_S = 0.1
PREDECESSOR_WINDOW_MS = 3000  # before its end
MIN_SEEDS = 8  # for a significant difference after the correction for several figures

Series = dict[str, list[float]]


@dataclass(slots=True)
class OperationResult:
    """One operation over all its attempts."""

    intended: float
    kind: int
    zone: str
    value: float  # asked for
    served_value: float  # of it
    latency: float | None  # ms from when it was meant to be sent; None: not served
    last_end: str
    attempts: int


def operations(spec: Experiment, seen: records.RunRecords) -> list[OperationResult]:
    """Return the operations, in order of time."""
    by_wish: dict[str, list[records.ClientAttemptRecord]] = defaultdict(list)
    for one in seen.client_attempts:
        by_wish[one.operation].append(one)
    out = []
    for attempts in by_wish.values():
        attempts.sort(key=lambda t: t.number)
        first, last = attempts[0], attempts[-1]
        cls = spec.load.classes[first.kind]
        served = next((t for t in attempts if t.end == Outcome.SERVED.value), None)
        latency = served.answered - served.intended if served else None
        served_value = 0.0
        if latency is not None:
            served_value = cls.value * (1.0 if latency <= cls.objective_ms else cls.late_value)
        out.append(
            OperationResult(
                first.intended,
                first.kind,
                first.zone,
                cls.value,
                served_value,
                latency,
                last.end,
                len(attempts),
            )
        )
    return sorted(out, key=lambda w: w.intended)


def percentiles(values: Iterable[float], points: tuple[float, ...]) -> list[float]:
    """Return percentiles in ms by an HDR histogram of three digits; zeros for empty input."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in values:
        histogram.record_value(max(1, min(MAX_LATENCY_US, round(value * 1000))))
    if not histogram.get_total_count():
        return [0.0] * len(points)
    return [histogram.get_value_at_percentile(p) / 1000 for p in points]


def series(spec: Experiment, seen: records.RunRecords, done: list[OperationResult]) -> Series:
    """Figures of each half second, by the time a request was meant to be sent."""
    count = int(np.ceil(spec.seconds / WINDOW_S))
    slot = [min(count - 1, int(w.intended / 1000 / WINDOW_S)) for w in done]
    value, served_value, offered, refused = (np.zeros(count) for _ in range(4))
    latencies: list[list[float]] = [[] for _ in range(count)]
    for index, operation in zip(slot, done, strict=True):
        value[index] += operation.value
        served_value[index] += operation.served_value
        offered[index] += 1
        refused[index] += operation.last_end == Outcome.REJECTED.value
        if operation.latency is not None:
            latencies[index].append(operation.latency)
    points = [percentiles(group, (50.0, 99.0)) for group in latencies]
    return {
        "t_s": [i * WINDOW_S for i in range(count)],
        "offered_per_s": (offered / WINDOW_S).tolist(),
        "goodput": (served_value / np.maximum(value, 1e-9)).tolist(),
        "refused_per_s": (refused / WINDOW_S).tolist(),
        "p50_ms": [p[0] for p in points],
        "p99_ms": [p[1] for p in points],
    }


def backend_loads(spec: Experiment, seen: records.RunRecords) -> NDArray[np.float64]:
    """Return the attempts a second at each backend in each window; shape (backends, windows)."""
    count = int(np.ceil(spec.seconds / WINDOW_S))
    out = np.zeros((spec.backends.count, count))
    for attempt in seen.backend_attempts:
        index = int(attempt.first / 1000 / WINDOW_S)
        if 0 <= index < count:
            out[attempt.backend, index] += 1 / WINDOW_S
    return out


def _recovery(spec: Experiment, line: Series) -> float | None:
    """Seconds from the last fault's end until goodput is back for a second; None: no fault, -1: never."""
    if not spec.faults:
        return None
    begin = min(f.at for f in spec.faults)
    before = [
        g for t, g in zip(line["t_s"], line["goodput"], strict=True) if spec.warmup <= t < begin - WINDOW_S
    ]
    end, wanted = last_step_at(spec), RECOVERED * (float(np.mean(before)) if before else 1.0)
    good = 0
    for t, goodput in zip(line["t_s"], line["goodput"], strict=True):
        if t + WINDOW_S <= end:
            continue
        good = good + 1 if goodput >= wanted else 0
        if good * WINDOW_S >= 1.0:
            return max(0.0, t + WINDOW_S - end - 1.0)
    return -1.0


def figures(spec: Experiment, seed: int, seen: records.RunRecords, judged: Judgement) -> dict[str, float]:
    """Return all figures of a run by name; shares are of 1, times in ms unless the name says otherwise."""
    done = operations(spec, seen)
    line = series(spec, seen, done)
    out = (
        _operation_figures(spec, done, line)
        | _attempt_figures(spec, seen)
        | _violation_figures(seen, judged)
        | _harness_figures(seen)
        | _costs(seen)
        | successor_figures(seen)
    )
    out |= {f"broken_{rule}": float(judged.broken[rule]) for rule in RULES}
    if spec.fleet.membership:
        out |= membership_figures(spec, seen)
        if (agreed_s := agreement_time_s(spec, seen)) is not None:
            out["member_agreed_s"] = agreed_s
    if any(isinstance(f, PowerLoss) for f in spec.faults):
        out |= power_recovery_figures(spec, seed, seen, [(w.intended, w.value, w.served_value) for w in done])
    if seen.maintenance:
        out["forgotten_bans"] = float(count_forgotten_bans(spec, seen))
    recovery = _recovery(spec, line)
    if recovery is not None:
        out["recovery_s"] = recovery
    return {name: round(value, 6) for name, value in out.items()}


def _operation_figures(spec: Experiment, done: list[OperationResult], line: Series) -> dict[str, float]:
    counted = [w for w in done if w.intended >= spec.warmup * 1000]
    value = sum(w.value for w in counted) or 1.0
    total = len(counted) or 1
    latency = [w.latency for w in counted if w.latency is not None]
    p50, p90, p99, p999 = percentiles(latency, (50.0, 90.0, 99.0, 99.9))
    ends = Counter(w.last_end for w in counted)
    first = int(np.ceil(spec.warmup / WINDOW_S))
    seconds = [np.mean(line["goodput"][i : i + 2]) for i in range(first, len(line["goodput"]) - 1)]
    return {
        "goodput": sum(w.served_value for w in counted) / value,
        "worst_second": float(min(seconds, default=0.0)),
        "worst_class": min(_class_goodputs(spec, counted), default=0.0),
        "served": len(latency) / total,
        "refused": ends[Outcome.REJECTED.value] / total,
        "failed": (total - len(latency) - ends[Outcome.REJECTED.value] - ends[Outcome.ABANDONED.value])
        / total,
        "latency_p50_ms": p50,
        "latency_p90_ms": p90,
        "latency_p99_ms": p99,
        "latency_p999_ms": p999,
        "offered_per_s": total / (spec.seconds - spec.warmup),
        "tries_per_wish": sum(w.attempts for w in counted) / total,
    }


def _class_goodputs(spec: Experiment, counted: list[OperationResult]) -> list[float]:
    out = []
    for kind in range(len(spec.load.classes)):
        of_class = [w for w in counted if w.kind == kind]
        if of_class:
            out.append(sum(w.served_value for w in of_class) / (sum(w.value for w in of_class) or 1.0))
    return out


def _attempt_figures(spec: Experiment, seen: records.RunRecords) -> dict[str, float]:
    cross = sum(spec.zone_of(f"n{a.node}") != spec.zone_of(f"s{a.backend}") for a in seen.backend_attempts)
    return {
        "attempts_per_try": len(seen.backend_attempts) / (len(seen.client_attempts) or 1),
        "cross_zone": cross / (len(seen.backend_attempts) or 1),
    }


def _violation_figures(seen: records.RunRecords, judged: Judgement) -> dict[str, float]:
    return {
        "broken_rules": float(sum(judged.broken.values())),
        "excused": float(judged.excused),
        "overdue": float(judged.overdue),
        "toppled": float(len(seen.collapses)),
    }


def _harness_figures(seen: records.RunRecords) -> dict[str, float]:
    lateness = percentiles(seen.lateness, (50.0, 99.0))
    return {
        "rig_late_p50_ms": lateness[0],
        "rig_late_p99_ms": lateness[1],
        "rig_loop_lag_p99_ms": percentiles(seen.loop_lag, (99.0,))[0],
    }


def successor_figures(seen: records.RunRecords) -> dict[str, float]:
    """Return figures of processes that succeeded another one of their node: killed, ended or upgraded.

    `heir_refused`: share of the attempts at the node that it rejected in the `SUCCESSOR_WINDOW_S` from when
    it was ready, the mean over the successors. `heir_recovery_s`: from then until, for a second, its attempts
    are served as often as RECOVERED of what its predecessor served in the 3 s before; the slowest successor.
    """
    refused, recovery = [], []
    by_node: dict[int, list[records.ClientAttemptRecord]] = defaultdict(list)
    for one in sorted(seen.client_attempts, key=lambda t: t.sent):
        by_node[one.node].append(one)
    for successor in seen.processes:
        older = [x for x in seen.processes if x.node == successor.node and x.process == successor.process - 1]
        end = max((x.killed or x.term or x.ended for x in older), default=0.0)
        if not end or not successor.ready:
            continue
        attempts = by_node[successor.node]
        begin = end - PREDECESSOR_WINDOW_MS
        before = [_is_served(t) for t in attempts if begin <= t.sent < min(end, successor.ready)]
        until = successor.ready + SUCCESSOR_WINDOW_S * 1000
        after = [t for t in attempts if successor.ready <= t.sent < until]
        if not before or not after:
            continue
        refused.append(sum(t.end == Outcome.REJECTED.value for t in after) / len(after))
        recovery.append(_recovered_after_s(after, successor.ready, RECOVERED * sum(before) / len(before)))
    if not refused:
        return {}
    return {"heir_refused": float(np.mean(refused)), "heir_recovery_s": float(max(recovery))}


def _is_served(attempt: records.ClientAttemptRecord) -> bool:
    return attempt.end == Outcome.SERVED.value


def _recovered_after_s(attempts: list[records.ClientAttemptRecord], ready: float, wanted: float) -> float:
    """Return the seconds from `ready` (ms) until a second in which the served share is as wanted."""
    for step in range(int((SUCCESSOR_WINDOW_S - 1) / SUCCESSOR_STEP_S)):
        begin = ready + step * SUCCESSOR_STEP_S * 1000
        served = [_is_served(t) for t in attempts if begin <= t.sent < begin + 1000]
        if served and sum(served) / len(served) >= wanted:
            return step * SUCCESSOR_STEP_S
    return SUCCESSOR_WINDOW_S


def _costs(seen: records.RunRecords) -> dict[str, float]:
    """Return what the nodes' processes used, by the accounts of the system."""
    cpu: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for sample in seen.samples:
        cpu[sample.node].append((sample.at, sample.cpu_s))
    spent = 0.0
    for points in cpu.values():
        values = [c for _, c in sorted(points)]
        spent += sum(max(0.0, b - a) for a, b in pairwise(values))
    return {
        "node_cpu_us_per_try": 1e6 * spent / (len(seen.client_attempts) or 1),
        "node_rss_mb_max": max((s.rss_mb for s in seen.samples), default=0.0),
        "node_descriptors_max": float(max((s.descriptors for s in seen.samples), default=0)),
        "node_waited_s_max": max_cpu_wait_s(seen),
        "node_ready_ms_max": max((x.ready - x.started for x in seen.processes if x.ready), default=0.0),
    }


def max_cpu_wait_s(seen: records.RunRecords) -> float:
    """Return the most seconds within a window that a runnable process of a node had no core."""
    by_process: dict[tuple[int, int], list[records.ProcessSample]] = defaultdict(list)
    for sample in sorted(seen.samples, key=lambda s: s.at):
        by_process[sample.node, sample.process].append(sample)
    longest = 0.0
    for process_record in seen.processes:
        samples = [
            s
            for s in by_process[process_record.node, process_record.process]
            if s.at >= process_record.started + START_UP_S * 1000
        ]
        for first in samples:
            last = [s for s in samples if first.at <= s.at <= first.at + CPU_WAIT_WINDOW_S * 1000][-1]
            longest = max(longest, last.waited_s - first.waited_s)
    return longest


def flaky_nodes(spec: Experiment) -> set[int]:
    """Return the nodes that stall, or that lose half or more of their broadcasts."""
    out: set[int] = set()
    for fault in spec.faults:
        names: list[str] = []
        if isinstance(fault, Stall):
            names = select_parties(spec, fault.targets)
        elif isinstance(fault, LinkFault) and (fault.cut or fault.loss >= MIN_BROADCAST_LOSS):
            names = (
                select_parties(spec, fault.source)
                if select_parties(spec, fault.destination) == spec.node_names
                else []
            )
        out |= {int(name[1:]) for name in names if name.startswith("n")}
    return out


def member_counts(spec: Experiment, seen: records.RunRecords) -> dict[int, list[tuple[float, int]]]:
    """Return how many members each node's log has as present over time: node to (s, count)."""
    out: dict[int, list[tuple[float, int]]] = defaultdict(list)
    members: dict[int, set[int]] = defaultdict(set)
    for view in sorted(seen.member_views, key=lambda v: v.at):
        mine = members[view.node]
        if view.member == view.node and view.state == "present":
            mine.clear()  # a new process
        if view.state in ("present", "suspected"):
            mine.add(view.member)
        else:
            mine.discard(view.member)
        out[view.node].append((view.at / 1000, len(mine)))
    for process_record in seen.processes:
        if process_record.ended and process_record.ended < spec.seconds * 1000:
            out[process_record.node].append((process_record.ended / 1000, 0))
    return {node: sorted(points) for node, points in sorted(out.items())}


def membership_figures(spec: Experiment, seen: records.RunRecords) -> dict[str, float]:
    """Return how soon all survivors knew of each killed node, and how many live nodes were declared dead."""
    dead = [v for v in seen.member_views if v.state == "dead"]
    kills = [(x.node, x.killed) for x in seen.processes if x.killed and not x.term]
    slowest, missed = [], 0
    for node, at in kills:
        others = {
            x.node
            for x in seen.processes
            if x.node != node and x.ready and x.ready <= at and not 0 < x.ended < at + DETECTION_LIMIT_MS
        }
        known: dict[int, float] = {}
        for view in dead:
            if view.member == node and at <= view.at <= at + DETECTION_LIMIT_MS:
                known.setdefault(view.node, view.at - at)
        missed += len(others - known.keys())
        if others and others <= known.keys():
            slowest.append(max(known[n] for n in others) / 1000)
    false = [
        v for v in dead
        if not any(x.node == v.member and (0 < x.ended <= v.at or x.started > v.at) for x in seen.processes)
    ]  # fmt: skip
    weak = flaky_nodes(spec)
    sound = [v for v in false if v.member not in weak and v.node not in weak]
    out = {"member_false_deaths": float(len(false)), "member_false_deaths_healthy": float(len(sound)),
           "member_missed": float(missed)}  # fmt: skip
    if slowest:
        out |= {"member_detect_s_median": float(np.median(slowest)), "member_detect_s_max": max(slowest)}
    return out


def agreement_time_s(spec: Experiment, seen: records.RunRecords) -> float | None:
    """Seconds from the last fault's end until each node's log holds just those for present that live.

    None where some view is wrong when the last clients have come.
    """
    until = spec.seconds * 1000
    alive = {x.node for x in seen.processes if x.started < until and (not x.ended or x.ended > until)}
    last: dict[tuple[int, int], tuple[float, bool]] = {}
    for view in sorted(seen.member_views, key=lambda v: v.at):
        present = view.state in ("present", "suspected")
        before = last.get((view.node, view.member))
        if view.at < until and (before is None or before[1] != present):
            last[view.node, view.member] = (view.at, present)
    pairs = {pair: state for pair, state in last.items() if pair[0] in alive}
    if any(present != (member in alive) for (_, member), (_, present) in pairs.items()):
        return None
    return max(0.0, max((at for at, _ in pairs.values()), default=0.0) / 1000 - last_step_at(spec))


def expectation_holds(expect: Expectation, values: dict[str, float]) -> bool:
    """Whether an expectation holds; a figure that the run does not have does not."""
    value = values.get(expect.figure)
    if value is None:
        return False
    return (expect.min is None or value >= expect.min) and (expect.max is None or value <= expect.max)
