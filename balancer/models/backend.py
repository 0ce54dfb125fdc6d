"""A backend: cores, slots, a queue, a cold start that can collapse under overload, duplicates per cell.

All times are milliseconds on the caller's clock. Work is time on a standard core that is warm and not
crowded. The model follows the platform's pages (WIRE: the four rules, `ramp-time`, `fall`; DEPLOY: what a
backend is).
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from balancer.experiments.tables import Backends, Rules

RANDOM_BATCH = 64  # numbers drawn at a time


class Verdict(Enum):
    """The ends of an attempt at the backend."""

    SERVED = "served"
    REPEATED = "repeated"  # a keyed repeat: answered as served, run no second time
    ERROR = "error"
    REJECTED = "turned_away"  # never started
    EXPIRED = "expired"  # never started: its time was over
    RESET = "reset"  # it has run, and the connection breaks


EXECUTED = frozenset({Verdict.SERVED, Verdict.RESET})


@dataclass(slots=True, eq=False)
class Job:
    """One attempt as the backend sees it."""

    ident: str
    node: int
    work: float  # ms, with what its new connection costs
    arrived: float
    gives_up_at: float  # when its caller stops waiting
    key: str = ""  # of a keyed request; empty otherwise
    key_memory_ms: float = 0.0  # ms that the cell remembers the key
    started: bool = False
    verdict: Verdict = Verdict.SERVED


@dataclass(slots=True)
class OverloadCollapse:
    """The collapse of a cold backend that was sent too much work: when, and from which nodes."""

    at: float
    started_at: float
    budget: float
    work_by_node: dict[int, float]


SeenKeys = dict[str, float]
"""The keys that the backends of a cell have seen, and when the first attempt of each came."""


@dataclass
class ActiveFaults:
    """The faults of a backend that are in force: shares of requests, and a factor on times."""

    slow: float = 1.0
    gray: float = 0.0
    gray_ms: float = 1.0
    resets: float = 0.0


@dataclass
class Backend:
    """One backend. `offer` and `advance` are its events; both return what ends now."""

    spec: Backends
    rules: Rules
    speed: float
    seen_keys: SeenKeys
    random: np.random.Generator
    started_at: float = -1e12  # ms; long ago: warm
    active_faults: ActiveFaults = field(default_factory=ActiveFaults)
    collapse: OverloadCollapse | None = None
    stalled_at: float | None = None

    def __post_init__(self) -> None:
        """Derive the slots and the queue length."""
        self.slots = max(1, round(self.spec.cores * self.spec.slots_per_core))
        self.queue_capacity = self.spec.cores * self.spec.queue_per_core
        self.running: list[tuple[float, int, Job]] = []  # a heap by the time of the end
        self.waiting: deque[Job] = deque()
        self.recent_work: deque[tuple[float, int, float]] = (
            deque()
        )  # work that came while cold: when, from whom
        self.done_work = self.pressure = 0.0
        self.count = 0
        self._uniforms: list[float] = []

    def restart(self, now: float) -> None:
        """Restart cold; all requests in progress are lost."""
        self.started_at, self.done_work, self.pressure = now, 0.0, 0.0
        self.running.clear()
        for job in self.waiting:  # the cell never ran these: their repeats must not be dropped
            self.seen_keys.pop(job.key, None)
        self.waiting.clear()
        self.recent_work.clear()
        self.collapse = self.stalled_at = None
        self.active_faults = ActiveFaults()

    def warmth(self, now: float) -> float:
        """Return the share of its capacity that it has now, which rises to 1 by time or by work done."""
        by_time = (now - self.started_at) / (self.spec.warm_up_s * 1000)
        if by_time >= 1:
            return 1.0
        by_work = self.done_work / (self.spec.warm_up_s * 1000 * self.spec.cores)
        return self.spec.cold_capacity_share + (1 - self.spec.cold_capacity_share) * min(
            1.0, max(by_time, by_work)
        )

    def capacity(self, now: float) -> float:
        """Return the work a millisecond that it can do now."""
        return self.spec.cores * self.speed * self.warmth(now)

    @property
    def request_counts(self) -> tuple[int, int]:
        """The numbers of requests in service and in the queue."""
        return len(self.running), len(self.waiting)

    @property
    def next_end(self) -> float | None:
        """The time at which the next request ends; None where none is in service."""
        return self.running[0][0] if self.running and self.stalled_at is None else None

    def _next_uniform(self) -> float:
        if not self._uniforms:
            self._uniforms = self.random.random(RANDOM_BATCH).tolist()
        return self._uniforms.pop()

    def offer(self, now: float, job: Job) -> Verdict | None:
        """Accept a complete attempt; return how it ends at once, or None while it is in progress."""
        self._press(now, job)
        if self.collapse is not None:
            return Verdict.REJECTED
        if self.active_faults.gray and self._next_uniform() < self.active_faults.gray:
            return Verdict.ERROR
        if job.key:
            first = self.seen_keys.get(job.key)
            if first is not None and now - first <= job.key_memory_ms:
                return Verdict.REPEATED
        if len(self.waiting) >= self.queue_capacity and len(self.running) >= self.slots:
            return Verdict.REJECTED
        if job.key:
            self.seen_keys[job.key] = now
        if len(self.running) < self.slots and self.stalled_at is None:
            self._begin(now, job)
        else:
            self.waiting.append(job)
        return None

    def advance(self, now: float) -> list[Job]:
        """Return the jobs that have ended by `now`, in order; a late call does not slow the backend down."""
        out: list[Job] = []
        while self.running and self.running[0][0] <= now and self.stalled_at is None:
            end, _, job = heapq.heappop(self.running)
            self.done_work += job.work
            out.append(job)
            self._refill(end, out)
        return out

    def _refill(self, now: float, out: list[Job]) -> None:
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            if self.spec.drops_expired and now >= job.gives_up_at:
                job.verdict = Verdict.EXPIRED
                if job.key:
                    self.seen_keys.pop(job.key, None)
                out.append(job)
            else:
                self._begin(now, job)

    def _begin(self, now: float, job: Job) -> None:
        job.started = True
        next_uniform = self._next_uniform()
        if next_uniform < self.spec.error_rate:
            job.verdict = Verdict.ERROR
        elif next_uniform < self.spec.error_rate + self.active_faults.resets:
            job.verdict = Verdict.RESET
        in_progress = (len(self.running) + len(self.waiting)) / self.spec.cores
        slowdown = 1 + self.spec.thrash * max(0.0, in_progress - self.spec.thrash_at)
        # Slots over the cores share them; under them each has a core of its own.
        per_slot = min(1.0, self.spec.cores / self.slots) * self.speed * self.warmth(now)
        self.count += 1
        heapq.heappush(
            self.running, (now + job.work * slowdown * self.active_faults.slow / per_slot, self.count, job)
        )

    def stall(self, now: float) -> None:
        """Stand still."""
        self.stalled_at = now

    def resume(self, now: float) -> list[Job]:
        """Continue after a stall; requests in service continue from where they stood.

        Of two stalls that overlap the earlier end counts, and none is left of one that a restart has ended.
        """
        if self.stalled_at is None:
            return []
        lost, self.stalled_at = now - self.stalled_at, None
        self.running = [(end + lost, number, job) for end, number, job in self.running]
        heapq.heapify(self.running)
        out: list[Job] = []
        self._refill(now, out)
        return out

    def _press(self, now: float, job: Job) -> None:
        """Count the work that reaches it while cold; it collapses over the budget of a window."""
        if self.collapse is not None or now - self.started_at >= self.spec.warm_up_s * 1000:
            self.recent_work.clear()
            self.pressure = 0.0
            return
        self.recent_work.append((now, job.node, job.work))
        self.pressure += job.work
        while self.recent_work[0][0] < now - self.rules.fall_ms:
            self.pressure -= self.recent_work.popleft()[2]
        # A little slack for chance: ten requests of this size.
        budget = self.rules.fall_multiple * self.capacity(now) * self.rules.fall_ms + 10 * job.work
        if self.pressure > budget:
            shares: dict[int, float] = {}
            for _, node, work in self.recent_work:
                shares[node] = shares.get(node, 0.0) + work
            self.collapse = OverloadCollapse(now, self.started_at, budget, shares)
