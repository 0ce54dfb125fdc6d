"""Model of a backend: cores, slots, a queue, overload while cold, and deduplication per cell.

All times are milliseconds on the caller's clock. Work is processor time on a warm standard core without
contention. The model follows the platform's documentation (WIRE: the four rules, `ramp-time`, `fall`; DEPLOY:
what a backend is).
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from balancer.experiments.tables import Backends, Rules

UNIFORM_BATCH_SIZE = 64


class Verdict(Enum):
    """How an attempt ended at the backend; only SERVED and RESET attempts have executed the request.

    REPEATED: a duplicate idempotency key, answered like SERVED. EXPIRED: the deadline passed in the queue.
    RESET: the connection broke after the request was executed.
    """

    SERVED = "served"
    REPEATED = "repeated"
    ERROR = "error"
    REJECTED = "turned_away"
    EXPIRED = "expired"
    RESET = "reset"


EXECUTED = frozenset({Verdict.SERVED, Verdict.RESET})


@dataclass(slots=True, eq=False)
class Job:
    """An attempt that a backend has received; an empty `key` means that the request has no idempotency key.

    `work` includes the handshake of a new connection. The node stops waiting for the response at
    `gives_up_at`; the cell remembers the key for `key_memory_ms`.
    """

    ident: str
    node: int
    work: float
    arrived: float
    gives_up_at: float
    key: str = ""
    key_memory_ms: float = 0.0
    started: bool = False
    verdict: Verdict = Verdict.SERVED


@dataclass(slots=True)
class OverloadCollapse:
    """A cold backend's collapse under overload: its time, the budget, and the work that each node sent."""

    at: float
    started_at: float
    budget: float
    work_by_node: dict[int, float]


SeenKeys = dict[str, float]
"""Idempotency keys that a cell's backends have received, with the time of each key's first attempt."""


@dataclass
class ActiveFaults:
    """Active faults of a backend: `gray` and `resets` are request shares, `slow` multiplies service times.

    A gray failure answers with an error after `gray_ms`.
    """

    slow: float = 1.0
    gray: float = 0.0
    gray_ms: float = 1.0
    resets: float = 0.0


@dataclass
class Backend:
    """A simulated backend; `offer` adds an attempt, and `advance` returns the attempts that have ended.

    The default of `started_at` is far enough in the past for a warm backend.
    """

    spec: Backends
    rules: Rules
    speed: float
    seen_keys: SeenKeys
    random: np.random.Generator
    started_at: float = -1e12
    active_faults: ActiveFaults = field(default_factory=ActiveFaults)
    collapse: OverloadCollapse | None = None
    stalled_at: float | None = None

    def __post_init__(self) -> None:
        """Derive the number of slots and the queue capacity, and start without requests."""
        self.slots = max(1, round(self.spec.cores * self.spec.slots_per_core))
        self.queue_capacity = self.spec.cores * self.spec.queue_per_core
        # `running` is a heap, ordered by the end time of each request.
        self.running: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        # `recent_work` holds arrival time, sending node and work of each attempt received while cold.
        self.recent_work: deque[tuple[float, int, float]] = deque()
        self.done_work = self.cold_work = 0.0
        self.count = 0
        self._uniforms: list[float] = []

    def restart(self, now: float) -> None:
        """Restart the backend cold; all requests in progress are lost."""
        self.started_at, self.done_work, self.cold_work = now, 0.0, 0.0
        self.running.clear()
        # Queued requests were never executed, so their retries must not count as duplicates.
        for job in self.waiting:
            self.seen_keys.pop(job.key, None)
        self.waiting.clear()
        self.recent_work.clear()
        self.collapse = self.stalled_at = None
        self.active_faults = ActiveFaults()

    def warmth(self, now: float) -> float:
        """Return the available share of full capacity, which rises to 1 with time or with completed work."""
        by_time = (now - self.started_at) / (self.spec.warm_up_s * 1000)
        if by_time >= 1:
            return 1.0
        by_work = self.done_work / (self.spec.warm_up_s * 1000 * self.spec.cores)
        return self.spec.cold_capacity_share + (1 - self.spec.cold_capacity_share) * min(
            1.0, max(by_time, by_work)
        )

    def capacity(self, now: float) -> float:
        """Return the work that the backend can complete per millisecond."""
        return self.spec.cores * self.speed * self.warmth(now)

    @property
    def request_counts(self) -> tuple[int, int]:
        """The numbers of requests in service and in the queue, in this order."""
        return len(self.running), len(self.waiting)

    @property
    def next_end(self) -> float | None:
        """The time at which the next request ends; None while stalled or without a request in service."""
        return self.running[0][0] if self.running and self.stalled_at is None else None

    def _next_uniform(self) -> float:
        if not self._uniforms:
            self._uniforms = self.random.random(UNIFORM_BATCH_SIZE).tolist()
        return self._uniforms.pop()

    def offer(self, now: float, job: Job) -> Verdict | None:
        """Receive an attempt; return its verdict if it ends immediately, None if it runs or waits."""
        self._count_cold_work(now, job)
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
        """Return the jobs that ended by `now`, in order of time; a late call does not delay later jobs."""
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
        # With more slots than cores the slots share the cores; otherwise each slot has a core of its own.
        per_slot = min(1.0, self.spec.cores / self.slots) * self.speed * self.warmth(now)
        self.count += 1
        heapq.heappush(
            self.running, (now + job.work * slowdown * self.active_faults.slow / per_slot, self.count, job)
        )

    def stall(self, now: float) -> None:
        """Stop serving until `resume`; requests in service keep their progress."""
        self.stalled_at = now

    def resume(self, now: float) -> list[Job]:
        """Resume service after a stall, and return the jobs that expired in the queue during it.

        Requests in service continue with the progress that they had. Of two overlapping stalls the earlier
        end counts; a restart also ends a stall, and resuming afterwards has no effect.
        """
        if self.stalled_at is None:
            return []
        stall_ms, self.stalled_at = now - self.stalled_at, None
        self.running = [(end + stall_ms, number, job) for end, number, job in self.running]
        heapq.heapify(self.running)
        out: list[Job] = []
        self._refill(now, out)
        return out

    def _count_cold_work(self, now: float, job: Job) -> None:
        """Count work received while cold; the backend collapses when a window's work exceeds its budget."""
        if self.collapse is not None or now - self.started_at >= self.spec.warm_up_s * 1000:
            self.recent_work.clear()
            self.cold_work = 0.0
            return
        self.recent_work.append((now, job.node, job.work))
        self.cold_work += job.work
        while self.recent_work[0][0] < now - self.rules.fall_ms:
            self.cold_work -= self.recent_work.popleft()[2]
        # Ten more requests of the same size are tolerated, as random arrivals cluster.
        budget = self.rules.fall_multiple * self.capacity(now) * self.rules.fall_ms + 10 * job.work
        if self.cold_work > budget:
            shares: dict[int, float] = {}
            for _, node, work in self.recent_work:
                shares[node] = shares.get(node, 0.0) + work
            self.collapse = OverloadCollapse(now, self.started_at, budget, shares)
