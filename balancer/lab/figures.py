"""From records to figures: goodput, latency without coordinated omission, costs, recovery, the rig itself."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, PowerLoss, Stall
from balancer.experiments.selectors import select_parties
from balancer.experiments.tables import Expect
from balancer.lab import records
from balancer.lab.judge import RULES, Judgement
from balancer.lab.returning import forgotten, returning
from balancer.lab.timeline import last_step_at
from balancer.models.client import End

LATE_RIG = 5.0  # ms: the p99 of the rig's own lateness from which a run is void
STARVED = 1.0  # s within STRETCH that a node that runs could not run, from which on a run is void
STRETCH, SETTLED = 2.0, 3.0  # s; from a process's start until it is looked at: many start at once
HIGHEST = 60_000_000  # us that a latency can have in the histogram
RECOVERED = 0.95  # of the goodput before the first fault
KNOWN_BY = 10_000.0  # ms within which a death has to be known
WINDOW = 0.5  # s of the series
JUDGED = ("goodput", "refused", "latency_p50_ms", "latency_p99_ms", "node_cpu_us_per_try")  # of a comparison
HEIR, HEIR_STEP = 5.0, 0.1  # s for which an heir is watched; between two looks
FEWEST = 8  # seeds from which on so many figures can be told apart

Series = dict[str, list[float]]


@dataclass(slots=True)
class Wished:
    """One operation over all its tries."""

    intended: float
    kind: int
    zone: str
    worth: float  # asked for
    got: float  # of it
    latency: float | None  # ms from when it was meant to be sent; None: not served
    last_end: str
    tries: int


def wishes(spec: Experiment, seen: records.Seen) -> list[Wished]:
    """The operations, in order of time."""
    by_wish: dict[str, list[records.TryRecord]] = defaultdict(list)
    for one in seen.tries:
        by_wish[one.wish].append(one)
    out = []
    for tries in by_wish.values():
        tries.sort(key=lambda t: t.number)
        first, last = tries[0], tries[-1]
        cls = spec.load.classes[first.kind]
        served = next((t for t in tries if t.end == End.SERVED.value), None)
        latency = served.answered - served.intended if served else None
        got = 0.0
        if latency is not None:
            got = cls.value * (1.0 if latency <= cls.objective_ms else cls.late_value)
        out.append(
            Wished(first.intended, first.kind, first.zone, cls.value, got, latency, last.end, len(tries))
        )
    return sorted(out, key=lambda w: w.intended)


def percentiles(values: Iterable[float], points: tuple[float, ...]) -> list[float]:
    """Percentiles in ms by an HDR histogram of three figures; empty input gives zeros."""
    histogram = HdrHistogram(1, HIGHEST, 3)
    for value in values:
        histogram.record_value(max(1, min(HIGHEST, round(value * 1000))))
    if not histogram.get_total_count():
        return [0.0] * len(points)
    return [histogram.get_value_at_percentile(p) / 1000 for p in points]


def series(spec: Experiment, seen: records.Seen, done: list[Wished]) -> Series:
    """Figures of each half second, by the time a request was meant to be sent."""
    count = int(np.ceil(spec.seconds / WINDOW))
    slot = [min(count - 1, int(w.intended / 1000 / WINDOW)) for w in done]
    worth, got, offered, refused = (np.zeros(count) for _ in range(4))
    latencies: list[list[float]] = [[] for _ in range(count)]
    for index, wish in zip(slot, done, strict=True):
        worth[index] += wish.worth
        got[index] += wish.got
        offered[index] += 1
        refused[index] += wish.last_end == End.REFUSED.value
        if wish.latency is not None:
            latencies[index].append(wish.latency)
    points = [percentiles(some, (50.0, 99.0)) for some in latencies]
    return {
        "t_s": [i * WINDOW for i in range(count)],
        "offered_per_s": (offered / WINDOW).tolist(),
        "goodput": (got / np.maximum(worth, 1e-9)).tolist(),
        "refused_per_s": (refused / WINDOW).tolist(),
        "p50_ms": [p[0] for p in points],
        "p99_ms": [p[1] for p in points],
    }


def backend_loads(spec: Experiment, seen: records.Seen) -> NDArray[np.float64]:
    """Attempts a second that each backend got in each window; shape (backends, windows)."""
    count = int(np.ceil(spec.seconds / WINDOW))
    out = np.zeros((spec.backends.count, count))
    for attempt in seen.attempts:
        index = int(attempt.first / 1000 / WINDOW)
        if 0 <= index < count:
            out[attempt.backend, index] += 1 / WINDOW
    return out


def _recovery(spec: Experiment, line: Series) -> float | None:
    """Seconds from the last fault's end until goodput is back for a second; None: no fault, -1: never."""
    if not spec.faults:
        return None
    begin = min(f.at for f in spec.faults)
    before = [
        g for t, g in zip(line["t_s"], line["goodput"], strict=True) if spec.warmup <= t < begin - WINDOW
    ]
    end, wanted = last_step_at(spec), RECOVERED * (float(np.mean(before)) if before else 1.0)
    good = 0
    for t, goodput in zip(line["t_s"], line["goodput"], strict=True):
        if t + WINDOW <= end:
            continue
        good = good + 1 if goodput >= wanted else 0
        if good * WINDOW >= 1.0:
            return max(0.0, t + WINDOW - end - 1.0)
    return -1.0


def figures(spec: Experiment, seed: int, seen: records.Seen, judged: Judgement) -> dict[str, float]:
    """All figures of a run by name; shares are of 1, times in ms unless the name says otherwise."""
    done = wishes(spec, seen)
    counted = [w for w in done if w.intended >= spec.warmup * 1000]
    worth = sum(w.worth for w in counted) or 1.0
    total = len(counted) or 1
    latency = [w.latency for w in counted if w.latency is not None]
    p50, p90, p99, p999 = percentiles(latency, (50.0, 90.0, 99.0, 99.9))
    ends = Counter(w.last_end for w in counted)
    line = series(spec, seen, done)
    first = int(np.ceil(spec.warmup / WINDOW))
    seconds = [np.mean(line["goodput"][i : i + 2]) for i in range(first, len(line["goodput"]) - 1)]
    by_class = [
        sum(w.got for w in counted if w.kind == k) / (sum(w.worth for w in counted if w.kind == k) or 1.0)
        for k in range(len(spec.load.classes)) if any(w.kind == k for w in counted)
    ]  # fmt: skip
    cross = sum(spec.zone_of(f"n{a.node}") != spec.zone_of(f"s{a.backend}") for a in seen.attempts)
    lateness = percentiles(seen.lateness, (50.0, 99.0))
    out = (
        {
            "goodput": sum(w.got for w in counted) / worth,
            "worst_second": float(min(seconds, default=0.0)),
            "worst_class": min(by_class, default=0.0),
            "served": len(latency) / total,
            "refused": ends[End.REFUSED.value] / total,
            "failed": (total - len(latency) - ends[End.REFUSED.value] - ends[End.LEFT.value]) / total,
            "latency_p50_ms": p50,
            "latency_p90_ms": p90,
            "latency_p99_ms": p99,
            "latency_p999_ms": p999,
            "offered_per_s": total / (spec.seconds - spec.warmup),
            "tries_per_wish": sum(w.tries for w in counted) / total,
            "attempts_per_try": len(seen.attempts) / (len(seen.tries) or 1),
            "cross_zone": cross / (len(seen.attempts) or 1),
            "broken_rules": float(sum(judged.broken.values())),
            "excused": float(judged.excused),
            "overdue": float(judged.overdue),
            "toppled": float(len(seen.topples)),
            "rig_late_p50_ms": lateness[0],
            "rig_late_p99_ms": lateness[1],
            "rig_loop_lag_p99_ms": percentiles(seen.loop_lag, (99.0,))[0],
        }
        | _costs(seen)
        | heirs(seen)
    )
    out |= {f"broken_{rule}": float(judged.broken[rule]) for rule in RULES}
    if spec.fleet.membership:
        out |= membership(spec, seen)
        if (agreed_s := agreed(spec, seen)) is not None:
            out["member_agreed_s"] = agreed_s
    if any(isinstance(f, PowerLoss) for f in spec.faults):
        out |= returning(spec, seed, seen, [(w.intended, w.worth, w.got) for w in done])
    if seen.bans:
        out["forgotten_bans"] = float(forgotten(spec, seen))
    recovery = _recovery(spec, line)
    if recovery is not None:
        out["recovery_s"] = recovery
    return {name: round(value, 6) for name, value in out.items()}


def heirs(seen: records.Seen) -> dict[str, float]:
    """How processes fared that took the place of another one of their node: killed, ended or upgraded.

    `heir_refused`: share of the tries at the node refused in the `HEIR` s from when it was ready, the mean
    over the heirs. `heir_recovery_s`: from then until, for a second, its tries are served as often as
    RECOVERED of what its predecessor served in the 3 s before; the slowest heir.
    """
    refused, recovery = [], []
    by_node: dict[int, list[records.TryRecord]] = defaultdict(list)
    for one in sorted(seen.tries, key=lambda t: t.sent):
        by_node[one.node].append(one)
    for life in seen.lives:
        older = [x for x in seen.lives if x.node == life.node and x.process == life.process - 1]
        end = max((x.killed or x.term or x.ended for x in older), default=0.0)
        if not end or not life.ready:
            continue
        tries = by_node[life.node]
        before = [t.end == End.SERVED.value for t in tries if end - 3000 <= t.sent < min(end, life.ready)]
        after = [t for t in tries if life.ready <= t.sent < life.ready + HEIR * 1000]
        if not before or not after:
            continue
        refused.append(sum(t.end == End.REFUSED.value for t in after) / len(after))
        wanted, back = RECOVERED * sum(before) / len(before), HEIR
        for step in range(int((HEIR - 1) / HEIR_STEP)):
            begin = life.ready + step * HEIR_STEP * 1000
            some = [t.end == End.SERVED.value for t in after if begin <= t.sent < begin + 1000]
            if some and sum(some) / len(some) >= wanted:
                back = step * HEIR_STEP
                break
        recovery.append(back)
    if not refused:
        return {}
    return {"heir_refused": float(np.mean(refused)), "heir_recovery_s": float(max(recovery))}


def _costs(seen: records.Seen) -> dict[str, float]:
    """What the nodes' processes used, from the system's own accounts."""
    cpu: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for sample in seen.samples:
        cpu[sample.node].append((sample.at, sample.cpu_s))
    spent = 0.0
    for points in cpu.values():
        values = [c for _, c in sorted(points)]
        spent += sum(max(0.0, b - a) for a, b in pairwise(values))
    return {
        "node_cpu_us_per_try": 1e6 * spent / (len(seen.tries) or 1),
        "node_rss_mb_max": max((s.rss_mb for s in seen.samples), default=0.0),
        "node_descriptors_max": float(max((s.descriptors for s in seen.samples), default=0)),
        "node_waited_s_max": waited(seen),
        "node_ready_ms_max": max((x.ready - x.started for x in seen.lives if x.ready), default=0.0),
    }


def waited(seen: records.Seen) -> float:
    """The most seconds within `STRETCH` that a process of a node could have run and had no core."""
    by_process: dict[tuple[int, int], list[records.Sample]] = defaultdict(list)
    for sample in sorted(seen.samples, key=lambda s: s.at):
        by_process[sample.node, sample.process].append(sample)
    most = 0.0
    for life in seen.lives:
        held = [s for s in by_process[life.node, life.process] if s.at >= life.started + SETTLED * 1000]
        for first in held:
            last = [s for s in held if first.at <= s.at <= first.at + STRETCH * 1000][-1]
            most = max(most, last.waited_s - first.waited_s)
    return most


def flaky(spec: Experiment) -> set[int]:
    """Nodes that stall, or that lose half or more of what they say to all: no healthy ones."""
    out: set[int] = set()
    for fault in spec.faults:
        names: list[str] = []
        if isinstance(fault, Stall):
            names = select_parties(spec, fault.targets)
        elif isinstance(fault, LinkFault) and (fault.cut or fault.loss >= 0.5):
            names = (
                select_parties(spec, fault.source)
                if select_parties(spec, fault.destination) == spec.node_names
                else []
            )
        out |= {int(name[1:]) for name in names if name.startswith("n")}
    return out


def presence(spec: Experiment, seen: records.Seen) -> dict[int, list[tuple[float, int]]]:
    """How many members each node's log holds for present over time: node to (s, count)."""
    out: dict[int, list[tuple[float, int]]] = defaultdict(list)
    held: dict[int, set[int]] = defaultdict(set)
    for view in sorted(seen.views, key=lambda v: v.at):
        mine = held[view.node]
        if view.member == view.node and view.state == "present":
            mine.clear()  # a new process
        if view.state in ("present", "suspected"):
            mine.add(view.member)
        else:
            mine.discard(view.member)
        out[view.node].append((view.at / 1000, len(mine)))
    for life in seen.lives:
        if life.ended and life.ended < spec.seconds * 1000:
            out[life.node].append((life.ended / 1000, 0))
    return {node: sorted(points) for node, points in sorted(out.items())}


def membership(spec: Experiment, seen: records.Seen) -> dict[str, float]:
    """How soon all that lived on knew of each node that was killed, and who was held for dead but lived."""
    dead = [v for v in seen.views if v.state == "dead"]
    kills = [(x.node, x.killed) for x in seen.lives if x.killed and not x.term]
    slowest, missed = [], 0
    for node, at in kills:
        others = {
            x.node
            for x in seen.lives
            if x.node != node and x.ready and x.ready <= at and not 0 < x.ended < at + KNOWN_BY
        }
        known: dict[int, float] = {}
        for view in dead:
            if view.member == node and at <= view.at <= at + KNOWN_BY:
                known.setdefault(view.node, view.at - at)
        missed += len(others - known.keys())
        if others and others <= known.keys():
            slowest.append(max(known[n] for n in others) / 1000)
    false = [
        v for v in dead
        if not any(x.node == v.member and (0 < x.ended <= v.at or x.started > v.at) for x in seen.lives)
    ]  # fmt: skip
    weak = flaky(spec)
    sound = [v for v in false if v.member not in weak and v.node not in weak]
    out = {"member_false_deaths": float(len(false)), "member_false_deaths_healthy": float(len(sound)),
           "member_missed": float(missed)}  # fmt: skip
    if slowest:
        out |= {"member_detect_s_median": float(np.median(slowest)), "member_detect_s_max": max(slowest)}
    return out


def agreed(spec: Experiment, seen: records.Seen) -> float | None:
    """Seconds from the last fault's end until each node's log holds just those for present that live.

    None where some view is wrong when the last clients have come.
    """
    until = spec.seconds * 1000
    alive = {x.node for x in seen.lives if x.started < until and (not x.ended or x.ended > until)}
    last: dict[tuple[int, int], tuple[float, bool]] = {}
    for view in sorted(seen.views, key=lambda v: v.at):
        present = view.state in ("present", "suspected")
        before = last.get((view.node, view.member))
        if view.at < until and (before is None or before[1] != present):
            last[view.node, view.member] = (view.at, present)
    pairs = {pair: state for pair, state in last.items() if pair[0] in alive}
    if any(present != (member in alive) for (_, member), (_, present) in pairs.items()):
        return None
    return max(0.0, max((at for at, _ in pairs.values()), default=0.0) / 1000 - last_step_at(spec))


def held(expect: Expect, values: dict[str, float]) -> bool:
    """Whether an expectation holds; a figure that the run does not have does not."""
    value = values.get(expect.figure)
    if value is None:
        return False
    return (expect.min is None or value >= expect.min) and (expect.max is None or value <= expect.max)


def summary(
    spec: Experiment, seed: int, program: str, seen: records.Seen, judged: Judgement
) -> dict[str, Any]:
    """What `summary.json` holds."""
    values = figures(spec, seed, seen, judged)
    return {
        "version": 1,
        "experiment": spec.name,
        "seed": seed,
        "program": program,
        "seconds": spec.seconds,
        "void": values["rig_late_p99_ms"] > LATE_RIG or values["node_waited_s_max"] > STARVED,
        "figures": values,
        "expectations": [
            {
                "figure": e.figure,
                "min": e.min,
                "max": e.max,
                "measured": values.get(e.figure),
                "held": held(e, values),
            }
            for e in spec.expect
        ],
        "breaks": [
            {"rule": b.rule, "at_ms": round(b.at, 1), "node": b.node, "text": b.text} for b in judged.first
        ],
    }
