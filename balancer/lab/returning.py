"""Figures of a tier's recovery from the last power loss of a run.

Power is back `restart-after` the loss. The recovery is over once the last node that came back is ready and
each backend has had its `warm-up-s`, whatever nodes do with them. Capacity in 100 ms: as much of the value
asked for as there is work that the backends with power can do, by how warm they are (a collapsed one counts:
it could have done it); none while no node is ready. `return_goodput` is what was served of that from a second
after the median node is ready. It can exceed 1: a node that serves the valuable classes first gets more value
out of the same work.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, PowerLoss
from balancer.experiments.random_streams import stream
from balancer.lab import records
from balancer.lab.power import return_times, state_of
from balancer.models.network import Weather

SLOT = 100.0  # ms
RECOVERED = 0.95  # of the goodput before the first fault
SETTLED = 10  # slots over which goodput has to hold
SLACK = 50.0  # ms that a node that knows of a ban has for a request on its way
HEARD = 1000.0  # ms within which a ban called at one node is known to the others that live
REJOINED = 2000.0  # ms after a link has healed in which what was cut off need not know yet
FULL = "full"

Floats = NDArray[np.float64]


@dataclass
class Return:
    """When who was back, ms."""

    spec: Experiment
    seed: int
    seen: records.Seen
    fault: PowerLoss = field(init=False)
    first: list[records.LifeRecord] = field(init=False)  # of each node that came back: its first process

    def __post_init__(self) -> None:
        self.fault = max((f for f in self.spec.faults if isinstance(f, PowerLoss)), key=lambda f: f.at)
        back: dict[int, records.LifeRecord] = {}
        for life in sorted(self.seen.lives, key=lambda x: x.started):
            if life.started >= self.cut:
                back.setdefault(life.node, life)
        self.first = list(back.values())

    @property
    def cut(self) -> float:
        """When power went."""
        return self.fault.at * 1000

    @property
    def power(self) -> float:
        """When it came back."""
        return self.cut + self.fault.restart_after * 1000

    @property
    def end(self) -> float:
        """When the return is over."""
        planned = return_times(self.spec, self.seed, self.fault)
        warm = [at + self.spec.backends.warm_up_s for name, at in planned.items() if name[0] == "s"]
        ready = [life.ready for life in self.first if life.ready]
        return min(self.spec.seconds * 1000, max([*(at * 1000 for at in warm), *ready, self.power]))

    @property
    def median(self) -> float:
        """When the median of the nodes that were to come back was ready; infinity: half never were."""
        planned = return_times(self.spec, self.seed, self.fault)
        ready = sorted(life.ready or float("inf") for life in self.first)
        ready += [float("inf")] * (sum(name[0] == "n" for name in planned) - len(ready))
        return ready[(len(ready) - 1) // 2] if ready else float("inf")


def slots(spec: Experiment, at: list[float], weights: list[float]) -> Floats:
    """Sums of weights by the slot of their times; shape (slots of the run,)."""
    count = int(np.ceil(spec.seconds * 1000 / SLOT))
    index = np.clip((np.array(at, float) / SLOT).astype(int), 0, count - 1)
    out = np.zeros(count)
    np.add.at(out, index, weights)
    return out


def bearable(back: Return, offered: Floats) -> Floats:
    """The share of each slot's wishes for which there was capacity; `offered` counts them."""
    work: dict[int, float] = defaultdict(float)
    for one in back.seen.bears:
        work[one.slot] += one.work
    share = np.ones(len(offered))
    for slot in range(int(back.cut / SLOT), len(offered)):
        at = slot * SLOT
        serving = any(x.ready and x.ready <= at and not 0 < x.ended <= at for x in back.seen.lives)
        asked = offered[slot] * back.spec.load.work_ms
        share[slot] = min(1.0, work[slot] * SLOT / asked) if serving and asked else float(serving)
    return share


def returning(spec: Experiment, seed: int, seen: records.Seen,
              wishes: list[tuple[float, float, float]]) -> dict[str, float]:  # fmt: skip
    """The figures of the return; `wishes` are (intended ms, worth, worth got)."""
    back = Return(spec, seed, seen)
    times = [at for at, _, _ in wishes]
    asked = slots(spec, times, [worth for _, worth, _ in wishes])
    got = slots(spec, times, [got for _, _, got in wishes])
    share = bearable(back, slots(spec, times, [1.0] * len(times)))
    end = int(np.ceil(back.end / SLOT))
    out = {
        "return_share": _part(got, asked, int(back.power / SLOT), end),
        "return_bearable": _part(share * asked, asked, int(back.power / SLOT), end),
        "return_to_95_s": _recovered(back, got, asked),
        "return_toppled": float(sum(t.at >= _first_cut(spec) for t in seen.topples)),
        "return_calls_worst": float(_worst([c.at for c in seen.calls if c.at >= back.power])),
    } | _datagrams(back)
    if np.isfinite(back.median):
        begin = int(np.ceil((back.median + 1000) / SLOT))
        out["return_goodput"] = _part(got, share * asked, begin, end)
        out["return_ready_s"] = (back.median - back.power) / 1000
    if spec.fleet.recovery:
        out["return_full_s"] = _full(back)
    return out


def _first_cut(spec: Experiment) -> float:
    return min(f.at for f in spec.faults if isinstance(f, PowerLoss)) * 1000


def _part(some: Floats, of: Floats, begin: int, end: int) -> float:
    total = float(of[begin:end].sum())
    return float(some[begin:end].sum()) / total if total else 1.0


def _recovered(back: Return, got: Floats, asked: Floats) -> float:
    """Seconds from power to the first second that has the goodput of before; -1: none."""
    begin, first = int(back.spec.warmup * 1000 / SLOT), int(min(f.at for f in back.spec.faults) * 1000 / SLOT)
    wanted = RECOVERED * _part(got, asked, begin, first - 5)
    start = int(back.power / SLOT)
    for slot in range(start, len(got) - SETTLED + 1):
        if _part(got, asked, slot, slot + SETTLED) >= wanted:
            return (slot - start) * SLOT / 1000
    return -1.0


def _worst(at: list[float]) -> int:
    """The most within any second."""
    at = sorted(at)
    return max((bisect_right(at, t + 1000) - i for i, t in enumerate(at)), default=0)


def _datagrams(back: Return) -> dict[str, float]:
    """Datagrams a second and living node: in usual times, and in the worst second since power is back."""
    if not back.spec.network.peer_datagrams:
        return {}
    sent: dict[int, list[int]] = defaultdict(list)
    for one in back.seen.datagrams:
        sent[one.second].append(one.count)
    cut, power = int(_first_cut(back.spec) / 1000), int(back.power / 1000)
    usual = [sum(sent[s]) / back.spec.fleet.nodes for s in range(int(np.ceil(back.spec.warmup)), cut)]
    worst = [sum(n) / len(n) for s, n in sent.items() if s > power]
    return {
        "return_datagrams_usual": float(np.mean(usual)) if usual else 0.0,
        "return_datagrams_worst": max(worst, default=0.0),
        "return_datagrams_one": float(max((max(n) for s, n in sent.items() if s > power), default=0)),
    }


def _full(back: Return) -> float:
    """Seconds from power until the last node that came back says that its recovery is over; -1: one never."""
    last: dict[int, float] = {}
    for one in back.seen.phases:
        if one.phase == FULL and one.at >= back.cut:
            last.setdefault(one.node, one.at)
    if not back.first or any(life.node not in last for life in back.first):
        return -1.0
    return (max(last.values()) - back.power) / 1000


def forgotten(spec: Experiment, seen: records.Seen) -> int:
    """Attempts since nodes first died at a backend under a ban that a surviving disk or a live peer knew.

    Known from where it was said yes to: at that node, `SLACK` later; to the others within `HEARD`, or, where
    power went in between, from when a node is ready whose disk was kept (sound ones only are looked at). Not
    between nodes that a cut link keeps apart. A call back at any node ends it.
    """
    bans = seen.bans
    knowledge = _Knowledge(spec, seen)
    first, count = min((x.killed for x in seen.lives if x.killed), default=float("inf")), 0
    for attempt in seen.attempts:
        if attempt.first >= first:
            at = attempt.first
            count += any(
                b.backend == attempt.backend and b.begun < at
                and not any(o.backend == b.backend and b.begun < o.ended <= at for o in bans)
                and knowledge.of(b, attempt.node, at)
                for b in bans
            )  # fmt: skip
    return count


class _Knowledge:
    """Who could know of a ban when."""

    def __init__(self, spec: Experiment, seen: records.Seen) -> None:
        self.spec = spec
        self.weather = Weather(spec, stream(0, "bans"))
        self.cuts = sorted((f for f in spec.faults if isinstance(f, PowerLoss)), key=lambda f: f.at)
        self.links = [f for f in spec.faults if isinstance(f, LinkFault) and f.cut]
        self.lives: dict[int, list[records.LifeRecord]] = defaultdict(list)
        for life in sorted(seen.lives, key=lambda x: x.started):
            self.lives[life.node].append(life)

    def of(self, ban: records.BanRecord, node: int, at: float) -> bool:
        """Whether `node` could know of it at `at`: by itself or from the node that had said yes to it."""
        knower = f"n{ban.node}"
        for fault in self.cuts:
            if ban.begun < fault.at * 1000 <= at and state_of(self.spec, fault, knower) != "sound":
                return False
        life = next((x for x in reversed(self.lives[ban.node]) if x.started <= at), None)
        if life is None or not life.ready or 0 < life.ended <= at:
            return False
        since = ban.begun if life.started <= ban.begun else life.ready
        if node == ban.node:
            return at > since + SLACK
        wait = HEARD if life.started <= ban.begun else SLACK
        return at > since + wait and not self._apart(f"n{node}", knower, at)

    def _apart(self, one: str, other: str, at: float) -> bool:
        return any(
            f.at * 1000 <= at <= f.ends_at * 1000 + REJOINED and self.weather.touches(f, one, other)
            for f in self.links
        )
