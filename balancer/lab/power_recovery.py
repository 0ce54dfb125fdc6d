"""Figures of a tier's recovery from the last power loss of a run.

Power returns `restart-after` the loss. The recovery ends when the last node that came back is ready and each
backend has had its `warm-up-s`, whatever the nodes do with the backends. Capacity is computed per 100 ms: it
is the share of the offered value for which the backends with power can do the work, given how warm they are.
Collapsed backends count, because they could have done the work; with no ready node the capacity is zero.
`return_goodput` is the share of that capacity that was served, counted from one second after the median node
is ready. It can exceed 1: a node that serves the valuable classes first gets more value from the same work.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, PowerLoss
from balancer.experiments.random_streams import random_stream
from balancer.lab import records
from balancer.lab.power_loss import disk_state_of, return_times
from balancer.models.network import NetworkConditions

SLOT_MS = 100.0
RECOVERED_SHARE = 0.95  # Goodput has recovered at 95% of its value before the first fault.
SUSTAINED_SLOTS = 10  # Goodput has to stay recovered over 10 slots of 100 ms.
REQUEST_SLACK_MS = 50.0  # A request in flight may reach a banned backend 50 ms after the ban.
BAN_PROPAGATION_MS = 1000.0  # All live nodes have to know of a ban within 1 s.
REJOIN_SLACK_MS = 2000.0  # Nodes count as cut off until 2 s after their link is back.
FULL_PHASE = "full"

Floats = NDArray[np.float64]


@dataclass
class RecoveryTimes:
    """The times (ms) of the recovery from the last power loss of a run."""

    spec: Experiment
    seed: int
    run_records: records.RunRecords
    fault: PowerLoss = field(init=False)
    first: list[records.ProcessRecord] = field(init=False)  # Each node's first process after the loss counts.

    def __post_init__(self) -> None:
        """Find the last loss, and the first process of each node after it."""
        self.fault = max((f for f in self.spec.faults if isinstance(f, PowerLoss)), key=lambda f: f.at)
        recovery: dict[int, records.ProcessRecord] = {}
        for process_record in sorted(self.run_records.processes, key=lambda x: x.started_at):
            if process_record.started_at >= self.cut:
                recovery.setdefault(process_record.node, process_record)
        self.first = list(recovery.values())

    @property
    def cut(self) -> float:
        """The time of the last power loss."""
        return self.fault.at * 1000

    @property
    def power(self) -> float:
        """The time at which power returned."""
        return self.cut + self.fault.restart_after * 1000

    @property
    def end(self) -> float:
        """The time at which the recovery ends."""
        planned = return_times(self.spec, self.seed, self.fault)
        warm = [at + self.spec.backends.warm_up_s for name, at in planned.items() if name[0] == "s"]
        ready = [process_record.ready_at for process_record in self.first if process_record.ready_at]
        return min(self.spec.seconds * 1000, max([*(at * 1000 for at in warm), *ready, self.power]))

    @property
    def median(self) -> float:
        """The time at which the median node was ready; infinite if half of the nodes never were."""
        planned = return_times(self.spec, self.seed, self.fault)
        ready = sorted(process_record.ready_at or float("inf") for process_record in self.first)
        ready += [float("inf")] * (sum(name[0] == "n" for name in planned) - len(ready))
        return ready[(len(ready) - 1) // 2] if ready else float("inf")


def sum_by_slot(spec: Experiment, at: list[float], weights: list[float]) -> Floats:
    """Return the sum of the weights in each slot of the run, by their times (ms)."""
    count = int(np.ceil(spec.seconds * 1000 / SLOT_MS))
    index = np.clip((np.array(at, float) / SLOT_MS).astype(int), 0, count - 1)
    out = np.zeros(count)
    np.add.at(out, index, weights)
    return out


def capacity_shares(recovery: RecoveryTimes, offered: Floats) -> Floats:
    """Return for each slot the share of its `offered` operations for which there was capacity."""
    work: dict[int, float] = defaultdict(float)
    for one in recovery.run_records.capacities:
        work[one.slot] += one.work
    share = np.ones(len(offered))
    for slot in range(int(recovery.cut / SLOT_MS), len(offered)):
        at = slot * SLOT_MS
        serving = any(
            x.ready_at and x.ready_at <= at and not 0 < x.ended_at <= at
            for x in recovery.run_records.processes
        )
        offered_value = offered[slot] * recovery.spec.load.work_ms
        share[slot] = (
            min(1.0, work[slot] * SLOT_MS / offered_value) if serving and offered_value else float(serving)
        )
    return share


def power_recovery_figures(spec: Experiment, seed: int, run_records: records.RunRecords,
              operations: list[tuple[float, float, float]]) -> dict[str, float]:  # fmt: skip
    """Return the recovery figures; `operations` are tuples (intended ms, value, served value)."""
    recovery = RecoveryTimes(spec, seed, run_records)
    times = [at for at, _, _ in operations]
    offered_value = sum_by_slot(spec, times, [value for _, value, _ in operations])
    served_value = sum_by_slot(spec, times, [served_value for _, _, served_value in operations])
    share = capacity_shares(recovery, sum_by_slot(spec, times, [1.0] * len(times)))
    end = int(np.ceil(recovery.end / SLOT_MS))
    out = {
        "return_share": _share_between(served_value, offered_value, int(recovery.power / SLOT_MS), end),
        "return_bearable": _share_between(
            share * offered_value, offered_value, int(recovery.power / SLOT_MS), end
        ),
        "return_to_95_s": _recovered_s(recovery, served_value, offered_value),
        "return_toppled": float(sum(t.collapsed_at >= _first_cut(spec) for t in run_records.collapses)),
        "return_calls_worst": float(
            _most_in_a_second([c.at for c in run_records.discovery_calls if c.at >= recovery.power])
        ),
    } | _datagram_figures(recovery)
    if np.isfinite(recovery.median):
        begin = int(np.ceil((recovery.median + 1000) / SLOT_MS))
        out["return_goodput"] = _share_between(served_value, share * offered_value, begin, end)
        out["return_ready_s"] = (recovery.median - recovery.power) / 1000
    if spec.fleet.recovery:
        out["return_full_s"] = _all_full_s(recovery)
    return out


def _first_cut(spec: Experiment) -> float:
    return min(f.at for f in spec.faults if isinstance(f, PowerLoss)) * 1000


def _share_between(some: Floats, of: Floats, begin: int, end: int) -> float:
    total = float(of[begin:end].sum())
    return float(some[begin:end].sum()) / total if total else 1.0


def _recovered_s(recovery: RecoveryTimes, served_value: Floats, offered_value: Floats) -> float:
    """Return the seconds from the return of power to a second with recovered goodput; -1 if none."""
    begin, first = (
        int(recovery.spec.warmup * 1000 / SLOT_MS),
        int(min(f.at for f in recovery.spec.faults) * 1000 / SLOT_MS),
    )
    wanted = RECOVERED_SHARE * _share_between(served_value, offered_value, begin, first - 5)
    start = int(recovery.power / SLOT_MS)
    for slot in range(start, len(served_value) - SUSTAINED_SLOTS + 1):
        if _share_between(served_value, offered_value, slot, slot + SUSTAINED_SLOTS) >= wanted:
            return (slot - start) * SLOT_MS / 1000
    return -1.0


def _most_in_a_second(at: list[float]) -> int:
    """Return the largest number of times (ms) that fall within one second."""
    at = sorted(at)
    return max((bisect_right(at, t + 1000) - i for i, t in enumerate(at)), default=0)


def _datagram_figures(recovery: RecoveryTimes) -> dict[str, float]:
    """Return datagrams per second and live node: usually, and in the worst second after power returns."""
    if not recovery.spec.network.peer_datagrams:
        return {}
    sent: dict[int, list[int]] = defaultdict(list)
    for one in recovery.run_records.datagram_counts:
        sent[one.second].append(one.count)
    cut, power = int(_first_cut(recovery.spec) / 1000), int(recovery.power / 1000)
    usual = [sum(sent[s]) / recovery.spec.fleet.nodes for s in range(int(np.ceil(recovery.spec.warmup)), cut)]
    worst = [sum(n) / len(n) for s, n in sent.items() if s > power]
    return {
        "return_datagrams_usual": float(np.mean(usual)) if usual else 0.0,
        "return_datagrams_worst": max(worst, default=0.0),
        "return_datagrams_one": float(max((max(n) for s, n in sent.items() if s > power), default=0)),
    }


def _all_full_s(recovery: RecoveryTimes) -> float:
    """Return the seconds from the return of power until all nodes are in phase `full`; -1 if one never is."""
    last: dict[int, float] = {}
    for one in recovery.run_records.recovery_phases:
        if one.phase == FULL_PHASE and one.at >= recovery.cut:
            last.setdefault(one.node, one.at)
    if not recovery.first or any(process_record.node not in last for process_record in recovery.first):
        return -1.0
    return (max(last.values()) - recovery.power) / 1000


def count_forgotten_bans(spec: Experiment, run_records: records.RunRecords) -> int:
    """Count attempts at a backend whose ban a sound disk or a live peer knew, after the first killed node.

    The node that acknowledged a ban has to obey it REQUEST_SLACK_MS later, and the others BAN_PROPAGATION_MS
    later; if power was lost in between, from when a node with a sound disk is ready. A ban is not known
    across a cut link. A call at any node that lifts the ban ends it.
    """
    bans = run_records.maintenance
    knowledge = _BanKnowledge(spec, run_records)
    first, count = min((x.killed_at for x in run_records.processes if x.killed_at), default=float("inf")), 0
    for attempt in run_records.backend_attempts:
        if attempt.first_byte_at >= first:
            at = attempt.first_byte_at
            count += any(
                b.backend == attempt.backend and b.banned_at < at
                and not any(o.backend == b.backend and b.banned_at < o.lifted_at <= at for o in bans)
                and knowledge.of(b, attempt.node, at)
                for b in bans
            )  # fmt: skip
    return count


class _BanKnowledge:
    """Tells which node could know of a ban at which time."""

    def __init__(self, spec: Experiment, run_records: records.RunRecords) -> None:
        self.spec = spec
        self.network = NetworkConditions(spec, random_stream(0, "bans"))
        self.cuts = sorted((f for f in spec.faults if isinstance(f, PowerLoss)), key=lambda f: f.at)
        self.links = [f for f in spec.faults if isinstance(f, LinkFault) and f.cut]
        self.process_records: dict[int, list[records.ProcessRecord]] = defaultdict(list)
        for process_record in sorted(run_records.processes, key=lambda x: x.started_at):
            self.process_records[process_record.node].append(process_record)

    def of(self, ban: records.MaintenanceRecord, node: int, at: float) -> bool:
        """Return whether `node` could know of a ban at `at` (ms), from its own call or the banning node."""
        banning_node = f"n{ban.node}"
        for fault in self.cuts:
            if (
                ban.banned_at < fault.at * 1000 <= at
                and disk_state_of(self.spec, fault, banning_node) != "sound"
            ):
                return False
        process_record = next(
            (x for x in reversed(self.process_records[ban.node]) if x.started_at <= at), None
        )
        if process_record is None or not process_record.ready_at or 0 < process_record.ended_at <= at:
            return False
        since = ban.banned_at if process_record.started_at <= ban.banned_at else process_record.ready_at
        if node == ban.node:
            return at > since + REQUEST_SLACK_MS
        wait = BAN_PROPAGATION_MS if process_record.started_at <= ban.banned_at else REQUEST_SLACK_MS
        return at > since + wait and not self._is_cut_off(f"n{node}", banning_node, at)

    def _is_cut_off(self, one: str, other: str, at: float) -> bool:
        return any(
            f.at * 1000 <= at <= f.ends_at * 1000 + REJOIN_SLACK_MS
            and self.network.affects_link(f, one, other)
            for f in self.links
        )
