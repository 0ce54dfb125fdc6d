"""Figures of a run: goodput, latency without coordinated omission, costs, recovery, harness lateness."""

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

MAX_HARNESS_LATENESS_P99_MS = 5.0  # A run is void if the harness sends over 5 ms late at p99.
MAX_CPU_WAIT_S = 1.0  # A run is void if a node waits over 1 s for a core within CPU_WAIT_WINDOW_S.
CPU_WAIT_WINDOW_S = 2.0
START_UP_S = 3.0  # Waits for a core in the first 3 s are ignored, as many processes start at once.
HISTOGRAM_MAX_US = 60_000_000
MIN_BROADCAST_LOSS = 0.5  # A node that loses half of its broadcasts does not count as healthy.
RECOVERED_GOODPUT_SHARE = 0.95  # Goodput has recovered at 95% of its value before the first fault.
DETECTION_LIMIT_MS = 10_000.0  # Every survivor has to detect a node's death within 10 s.
SERIES_WINDOW_S = 0.5
COMPARED_FIGURES = (
    "goodput",
    "refused",
    "latency_p50_ms",
    "latency_p99_ms",
    "node_cpu_us_per_try",
)
SUCCESSOR_WINDOW_S = 5.0
SUCCESSOR_STEP_S = 0.1
PREDECESSOR_WINDOW_MS = 3000  # The served share of a predecessor is taken over its last 3 s.
MIN_SEEDS = 8  # With fewer than 8 seeds, no difference stays significant after Holm's correction.

Series = dict[str, list[float]]


@dataclass(slots=True)
class OperationResult:
    """The result of one operation over all its attempts."""

    intended_at: float
    class_index: int
    zone: str
    value: float  # An operation earns this value if it is served in time.
    served_value: float  # The earned value is below `value` if served late, 0 if not served.
    latency_ms: float | None  # The latency counts from the intended send time; None if not served.
    last_outcome: str
    attempts: int


def operations(spec: Experiment, run_records: records.RunRecords) -> list[OperationResult]:
    """Return the operations of a run, ordered by intended send time."""
    by_operation: dict[str, list[records.ClientAttemptRecord]] = defaultdict(list)
    for one in run_records.client_attempts:
        by_operation[one.operation].append(one)
    out = []
    for attempts in by_operation.values():
        attempts.sort(key=lambda t: t.attempt_number)
        first, last = attempts[0], attempts[-1]
        cls = spec.load.classes[first.class_index]
        served = next((t for t in attempts if t.outcome == Outcome.SERVED.value), None)
        latency = served.answered_at - served.intended_at if served else None
        served_value = 0.0
        if latency is not None:
            served_value = cls.value * (1.0 if latency <= cls.objective_ms else cls.late_value)
        out.append(
            OperationResult(
                first.intended_at,
                first.class_index,
                first.zone,
                cls.value,
                served_value,
                latency,
                last.outcome,
                len(attempts),
            )
        )
    return sorted(out, key=lambda w: w.intended_at)


def percentiles(values: Iterable[float], points: tuple[float, ...]) -> list[float]:
    """Return percentiles in ms from an HDR histogram with three significant digits; zeros for empty input."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in values:
        histogram.record_value(max(1, min(HISTOGRAM_MAX_US, round(value * 1000))))
    if not histogram.get_total_count():
        return [0.0] * len(points)
    return [histogram.get_value_at_percentile(p) / 1000 for p in points]


def series(spec: Experiment, run_records: records.RunRecords, done: list[OperationResult]) -> Series:
    """Return the figures of each half second, by the intended send time of requests."""
    count = int(np.ceil(spec.seconds / SERIES_WINDOW_S))
    slot = [min(count - 1, int(w.intended_at / 1000 / SERIES_WINDOW_S)) for w in done]
    value, served_value, offered, refused = (np.zeros(count) for _ in range(4))
    latencies: list[list[float]] = [[] for _ in range(count)]
    for index, operation in zip(slot, done, strict=True):
        value[index] += operation.value
        served_value[index] += operation.served_value
        offered[index] += 1
        refused[index] += operation.last_outcome == Outcome.REJECTED.value
        if operation.latency_ms is not None:
            latencies[index].append(operation.latency_ms)
    points = [percentiles(group, (50.0, 99.0)) for group in latencies]
    return {
        "t_s": [i * SERIES_WINDOW_S for i in range(count)],
        "offered_per_s": (offered / SERIES_WINDOW_S).tolist(),
        "goodput": (served_value / np.maximum(value, 1e-9)).tolist(),
        "refused_per_s": (refused / SERIES_WINDOW_S).tolist(),
        "p50_ms": [p[0] for p in points],
        "p99_ms": [p[1] for p in points],
    }


def backend_loads(spec: Experiment, run_records: records.RunRecords) -> NDArray[np.float64]:
    """Return the attempts per second at each backend in each window, in shape (backends, windows)."""
    count = int(np.ceil(spec.seconds / SERIES_WINDOW_S))
    out = np.zeros((spec.backends.count, count))
    for attempt in run_records.backend_attempts:
        index = int(attempt.first_byte_at / 1000 / SERIES_WINDOW_S)
        if 0 <= index < count:
            out[attempt.backend, index] += 1 / SERIES_WINDOW_S
    return out


def _recovery_s(spec: Experiment, time_series: Series) -> float | None:
    """Return the seconds from the last fault's end until goodput has recovered for a whole second.

    None if the experiment has no fault, -1 if goodput never recovers.
    """
    if not spec.faults:
        return None
    begin = min(f.at for f in spec.faults)
    before = [
        g
        for t, g in zip(time_series["t_s"], time_series["goodput"], strict=True)
        if spec.warmup <= t < begin - SERIES_WINDOW_S
    ]
    end, wanted = last_step_at(spec), RECOVERED_GOODPUT_SHARE * (float(np.mean(before)) if before else 1.0)
    good = 0
    for t, goodput in zip(time_series["t_s"], time_series["goodput"], strict=True):
        if t + SERIES_WINDOW_S <= end:
            continue
        good = good + 1 if goodput >= wanted else 0
        if good * SERIES_WINDOW_S >= 1.0:
            return max(0.0, t + SERIES_WINDOW_S - end - 1.0)
    return -1.0


def figures(
    spec: Experiment, seed: int, run_records: records.RunRecords, judged: Judgement
) -> dict[str, float]:
    """Return all figures of a run by name: shares from 0 to 1, times in ms unless the name says otherwise."""
    done = operations(spec, run_records)
    time_series = series(spec, run_records, done)
    out = (
        _operation_figures(spec, done, time_series)
        | _attempt_figures(spec, run_records)
        | _violation_figures(run_records, judged)
        | _harness_figures(run_records)
        | _node_cost_figures(run_records)
        | successor_figures(run_records)
    )
    out |= {f"broken_{rule}": float(judged.broken[rule]) for rule in RULES}
    if spec.fleet.membership:
        out |= membership_figures(spec, run_records)
        if (agreed_s := agreement_time_s(spec, run_records)) is not None:
            out["member_agreed_s"] = agreed_s
    if any(isinstance(f, PowerLoss) for f in spec.faults):
        out |= power_recovery_figures(
            spec, seed, run_records, [(w.intended_at, w.value, w.served_value) for w in done]
        )
    if run_records.maintenance:
        out["forgotten_bans"] = float(count_forgotten_bans(spec, run_records))
    recovery = _recovery_s(spec, time_series)
    if recovery is not None:
        out["recovery_s"] = recovery
    return {name: round(value, 6) for name, value in out.items()}


def _operation_figures(
    spec: Experiment, done: list[OperationResult], time_series: Series
) -> dict[str, float]:
    counted = [w for w in done if w.intended_at >= spec.warmup * 1000]
    value = sum(w.value for w in counted) or 1.0
    total = len(counted) or 1
    latency = [w.latency_ms for w in counted if w.latency_ms is not None]
    p50, p90, p99, p999 = percentiles(latency, (50.0, 90.0, 99.0, 99.9))
    ends = Counter(w.last_outcome for w in counted)
    first = int(np.ceil(spec.warmup / SERIES_WINDOW_S))
    seconds = [
        np.mean(time_series["goodput"][i : i + 2]) for i in range(first, len(time_series["goodput"]) - 1)
    ]
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
        of_class = [w for w in counted if w.class_index == kind]
        if of_class:
            out.append(sum(w.served_value for w in of_class) / (sum(w.value for w in of_class) or 1.0))
    return out


def _attempt_figures(spec: Experiment, run_records: records.RunRecords) -> dict[str, float]:
    cross = sum(
        spec.zone_of(f"n{a.node}") != spec.zone_of(f"s{a.backend}") for a in run_records.backend_attempts
    )
    return {
        "attempts_per_try": len(run_records.backend_attempts) / (len(run_records.client_attempts) or 1),
        "cross_zone": cross / (len(run_records.backend_attempts) or 1),
    }


def _violation_figures(run_records: records.RunRecords, judged: Judgement) -> dict[str, float]:
    return {
        "broken_rules": float(sum(judged.broken.values())),
        "excused": float(judged.excused),
        "overdue": float(judged.overdue),
        "toppled": float(len(run_records.collapses)),
    }


def _harness_figures(run_records: records.RunRecords) -> dict[str, float]:
    lateness = percentiles(run_records.lateness, (50.0, 99.0))
    return {
        "rig_late_p50_ms": lateness[0],
        "rig_late_p99_ms": lateness[1],
        "rig_loop_lag_p99_ms": percentiles(run_records.loop_lag, (99.0,))[0],
    }


def successor_figures(run_records: records.RunRecords) -> dict[str, float]:
    """Return figures of processes that replaced a killed, ended or upgraded process of their node.

    `heir_refused` is the share of attempts that a successor rejected in the first `SUCCESSOR_WINDOW_S` after
    it was ready, averaged over the successors. `heir_recovery_s` is the time from then until its served share
    stays, for a second, at RECOVERED_GOODPUT_SHARE of what its predecessor served in its last 3 s; the value
    of the slowest successor counts.
    """
    refused, recovery = [], []
    by_node: dict[int, list[records.ClientAttemptRecord]] = defaultdict(list)
    for one in sorted(run_records.client_attempts, key=lambda t: t.sent_at):
        by_node[one.node].append(one)
    for successor in run_records.processes:
        older = [
            x
            for x in run_records.processes
            if x.node == successor.node and x.process == successor.process - 1
        ]
        end = max((x.killed_at or x.terminated_at or x.ended_at for x in older), default=0.0)
        if not end or not successor.ready_at:
            continue
        attempts = by_node[successor.node]
        begin = end - PREDECESSOR_WINDOW_MS
        before = [_is_served(t) for t in attempts if begin <= t.sent_at < min(end, successor.ready_at)]
        until = successor.ready_at + SUCCESSOR_WINDOW_S * 1000
        after = [t for t in attempts if successor.ready_at <= t.sent_at < until]
        if not before or not after:
            continue
        refused.append(sum(t.outcome == Outcome.REJECTED.value for t in after) / len(after))
        recovery.append(
            _recovered_after_s(after, successor.ready_at, RECOVERED_GOODPUT_SHARE * sum(before) / len(before))
        )
    if not refused:
        return {}
    return {"heir_refused": float(np.mean(refused)), "heir_recovery_s": float(max(recovery))}


def _is_served(attempt: records.ClientAttemptRecord) -> bool:
    return attempt.outcome == Outcome.SERVED.value


def _recovered_after_s(attempts: list[records.ClientAttemptRecord], ready: float, wanted: float) -> float:
    """Return the seconds from `ready` (ms) until a second whose served share is at least `wanted`."""
    for step in range(int((SUCCESSOR_WINDOW_S - 1) / SUCCESSOR_STEP_S)):
        begin = ready + step * SUCCESSOR_STEP_S * 1000
        served = [_is_served(t) for t in attempts if begin <= t.sent_at < begin + 1000]
        if served and sum(served) / len(served) >= wanted:
            return step * SUCCESSOR_STEP_S
    return SUCCESSOR_WINDOW_S


def _node_cost_figures(run_records: records.RunRecords) -> dict[str, float]:
    """Return the resource usage of the node processes, as the operating system accounts for it."""
    cpu: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for sample in run_records.samples:
        cpu[sample.node].append((sample.at, sample.cpu_s))
    spent = 0.0
    for points in cpu.values():
        values = [c for _, c in sorted(points)]
        spent += sum(max(0.0, b - a) for a, b in pairwise(values))
    return {
        "node_cpu_us_per_try": 1e6 * spent / (len(run_records.client_attempts) or 1),
        "node_rss_mb_max": max((s.rss_mb for s in run_records.samples), default=0.0),
        "node_descriptors_max": float(max((s.descriptors for s in run_records.samples), default=0)),
        "node_waited_s_max": max_cpu_wait_s(run_records),
        "node_ready_ms_max": max(
            (x.ready_at - x.started_at for x in run_records.processes if x.ready_at), default=0.0
        ),
    }


def max_cpu_wait_s(run_records: records.RunRecords) -> float:
    """Return the most seconds that a runnable node process waited for a core within any window."""
    by_process: dict[tuple[int, int], list[records.ProcessSample]] = defaultdict(list)
    for sample in sorted(run_records.samples, key=lambda s: s.at):
        by_process[sample.node, sample.process].append(sample)
    longest = 0.0
    for process_record in run_records.processes:
        samples = [
            s
            for s in by_process[process_record.node, process_record.process]
            if s.at >= process_record.started_at + START_UP_S * 1000
        ]
        for first in samples:
            last = [s for s in samples if first.at <= s.at <= first.at + CPU_WAIT_WINDOW_S * 1000][-1]
            longest = max(longest, last.cpu_wait_s - first.cpu_wait_s)
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


def member_counts(spec: Experiment, run_records: records.RunRecords) -> dict[int, list[tuple[float, int]]]:
    """Return how many members each node's log shows as present over time: node to (s, count)."""
    out: dict[int, list[tuple[float, int]]] = defaultdict(list)
    members: dict[int, set[int]] = defaultdict(set)
    for view in sorted(run_records.member_views, key=lambda v: v.at):
        mine = members[view.node]
        if view.member == view.node and view.state == "present":
            mine.clear()  # A node logs its own presence once per process: here a new one has started.
        if view.state in ("present", "suspected"):
            mine.add(view.member)
        else:
            mine.discard(view.member)
        out[view.node].append((view.at / 1000, len(mine)))
    for process_record in run_records.processes:
        if process_record.ended_at and process_record.ended_at < spec.seconds * 1000:
            out[process_record.node].append((process_record.ended_at / 1000, 0))
    return {node: sorted(points) for node, points in sorted(out.items())}


def membership_figures(spec: Experiment, run_records: records.RunRecords) -> dict[str, float]:
    """Return how soon all survivors knew of each killed node, and how many live nodes were declared dead."""
    dead = [v for v in run_records.member_views if v.state == "dead"]
    kills = [(x.node, x.killed_at) for x in run_records.processes if x.killed_at and not x.terminated_at]
    slowest, missed = [], 0
    for node, at in kills:
        others = {
            x.node
            for x in run_records.processes
            if x.node != node
            and x.ready_at
            and x.ready_at <= at
            and not 0 < x.ended_at < at + DETECTION_LIMIT_MS
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
        if not any(
            x.node == v.member and (0 < x.ended_at <= v.at or x.started_at > v.at)
            for x in run_records.processes
        )
    ]  # fmt: skip
    weak = flaky_nodes(spec)
    sound = [v for v in false if v.member not in weak and v.node not in weak]
    out = {"member_false_deaths": float(len(false)), "member_false_deaths_healthy": float(len(sound)),
           "member_missed": float(missed)}  # fmt: skip
    if slowest:
        out |= {"member_detect_s_median": float(np.median(slowest)), "member_detect_s_max": max(slowest)}
    return out


def agreement_time_s(spec: Experiment, run_records: records.RunRecords) -> float | None:
    """Return the seconds from the last fault until each live node's log shows just the live nodes as present.

    None if some node's view is still wrong when the run's last request arrives.
    """
    until = spec.seconds * 1000
    alive = {
        x.node
        for x in run_records.processes
        if x.started_at < until and (not x.ended_at or x.ended_at > until)
    }
    last: dict[tuple[int, int], tuple[float, bool]] = {}
    for view in sorted(run_records.member_views, key=lambda v: v.at):
        present = view.state in ("present", "suspected")
        before = last.get((view.node, view.member))
        if view.at < until and (before is None or before[1] != present):
            last[view.node, view.member] = (view.at, present)
    pairs = {pair: state for pair, state in last.items() if pair[0] in alive}
    if any(present != (member in alive) for (_, member), (_, present) in pairs.items()):
        return None
    return max(0.0, max((at for at, _ in pairs.values()), default=0.0) / 1000 - last_step_at(spec))


def expectation_holds(expect: Expectation, values: dict[str, float]) -> bool:
    """Return whether an expectation holds; one on a figure that the run lacks does not."""
    value = values.get(expect.figure)
    if value is None:
        return False
    return (expect.min is None or value >= expect.min) and (expect.max is None or value <= expect.max)
