"""Environment of a simulated tier: discovery that answers in turn, cold backends that can be overloaded.

Sources: the platform's rules for cold backends (`rules.cold-share`, `ramp-time`, `fall`, `fall-multiple`):
one that is sent more than the multiple of what it can do at that moment, over any window of that length,
topples.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

COLD_SHARE = 0.35  # a cold backend's part of its capacity
RAMP_MS = 8_000.0  # until it has all of it
FALL_MS = 3_000.0
FALL_MULTIPLE = 3.0
REQUEST_TIMEOUT_MS = 1_000.0  # of a request to discovery
REFUSAL_MS = 2.0  # until a connection is refused
FIRST_RETRY_MS = 100.0  # of a request without slots, doubled with each failure
MAX_RETRY_MS = 2_000.0
ROUNDING_MARGIN = 1e-9

Plan = Callable[[float, Callable[[], None]], None]


def warmth(age_ms: float) -> float:
    """Return the part of its capacity that a backend of this age has."""
    return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * max(0.0, age_ms) / RAMP_MS)


@dataclass(slots=True, frozen=True)
class SentWork:
    """Work that a backend was sent, in ms of its whole capacity."""

    at: float
    work: float


@dataclass
class Backend:
    """One backend: when it started, and the work of nodes that knew of that."""

    start: float
    sent: deque[SentWork] = field(default_factory=deque)
    pressure: float = 0.0
    max_used: float = 0.0  # of the budget of a window
    is_overloaded: bool = False

    def restart(self, now: float) -> None:
        """Start anew, cold; what it was sent before is over."""
        self.start = now
        self.pressure = 0.0
        self.is_overloaded = False
        self.sent.clear()

    def is_cold(self, now: float) -> bool:
        """Return whether it can topple."""
        return now - self.start < RAMP_MS

    def offer(self, now: float, work: float) -> bool:
        """Take work; return whether it topples by that, once."""
        if not self.is_cold(now):
            self.sent.clear()
            self.pressure = 0.0
            return False
        self.sent.append(SentWork(now, work))
        self.pressure += work
        while self.sent[0].at < now - FALL_MS:
            self.pressure -= self.sent.popleft().work
        used = self.pressure / (FALL_MULTIPLE * warmth(now - self.start) * FALL_MS)
        self.max_used = max(self.max_used, used)
        if used <= 1.0 + ROUNDING_MARGIN or self.is_overloaded:
            return False
        self.is_overloaded = True
        return True


@dataclass(slots=True, frozen=True)
class Outage:
    """Time in which nothing listens."""

    begin: float
    until: float

    def covers(self, moment: float) -> bool:
        """Return whether a moment is in it."""
        return self.begin <= moment < self.until


@dataclass
class Discovery:
    """Answers requests one by one, also those whose callers have given up meanwhile."""

    plan: Plan
    clock: Callable[[], float]
    serve_ms: float = 4.0
    outages: tuple[Outage, ...] = ()
    free_at: float = 0.0
    revision: int = 1
    requests_per_second: Counter[int] = field(default_factory=Counter)

    def call(self, answered: Callable[[], None], failed: Callable[[], None]) -> None:
        """Take a request; one of the two is called later."""
        now = self.clock()
        self.requests_per_second[int(now / 1000)] += 1
        if self._is_down(now):
            self.plan(now + REFUSAL_MS, failed)
            return
        self.free_at = max(self.free_at, now) + self.serve_ms
        if self.free_at - now > REQUEST_TIMEOUT_MS or self._is_down(self.free_at):
            self.plan(now + REQUEST_TIMEOUT_MS, failed)
        else:
            self.plan(self.free_at, answered)

    def up_again(self) -> float:
        """Return when it answers at the earliest, if asked now."""
        now = self.clock()
        return max([now, *(outage.until for outage in self.outages if outage.covers(now))])

    def _is_down(self, moment: float) -> bool:
        return any(outage.covers(moment) for outage in self.outages)


def retry_delays() -> Iterator[float]:
    """Yield the waits (ms) before each retry of a node that polls without slots, before jitter."""
    delay = FIRST_RETRY_MS
    while True:
        yield delay
        delay = min(MAX_RETRY_MS, 2 * delay)
