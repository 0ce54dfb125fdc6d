"""Environment of a simulated tier: discovery that serves one request at a time, and cold backends.

The platform's rules for cold backends are `rules.cold-share`, `ramp-time`, `fall` and `fall-multiple`: a cold
backend is overloaded if the work of any window of `fall` exceeds `fall-multiple` times its current capacity.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

# The share of its capacity with which a cold backend starts; it grows linearly to 1 within `RAMP_MS`.
COLD_CAPACITY_SHARE = 0.35
RAMP_MS = 8_000.0
FALL_WINDOW_MS = 3_000.0
FALL_MULTIPLE = 3.0
DISCOVERY_TIMEOUT_MS = 1_000.0
CONNECTION_REFUSAL_MS = 2.0
FIRST_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 2_000.0
ROUNDING_MARGIN = 1e-9

ScheduleEvent = Callable[[float, Callable[[], None]], None]


def warmth(age_ms: float) -> float:
    """Return the share of its full capacity that a backend has at an age."""
    return min(1.0, COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * max(0.0, age_ms) / RAMP_MS)


@dataclass(slots=True, frozen=True)
class SentWork:
    """Work that a backend received at a time, in ms of its full capacity."""

    at: float
    work: float


@dataclass
class Backend:
    """A backend: its start, and the work received from nodes that know of its start.

    `window_work` is the work in the current window; `max_budget_use` is the largest used share of a window's
    budget.
    """

    start: float
    sent: deque[SentWork] = field(default_factory=deque)
    window_work: float = 0.0
    max_budget_use: float = 0.0
    is_overloaded: bool = False

    def restart(self, now: float) -> None:
        """Restart the backend cold, without the work that it received before."""
        self.start = now
        self.window_work = 0.0
        self.is_overloaded = False
        self.sent.clear()

    def is_cold(self, now: float) -> bool:
        """Return whether the backend is cold, so that too much work can overload it."""
        return now - self.start < RAMP_MS

    def offer(self, now: float, work: float) -> bool:
        """Add work; return True once, when it overloads the cold backend."""
        if not self.is_cold(now):
            self.sent.clear()
            self.window_work = 0.0
            return False
        self.sent.append(SentWork(now, work))
        self.window_work += work
        while self.sent[0].at < now - FALL_WINDOW_MS:
            self.window_work -= self.sent.popleft().work
        used = self.window_work / (FALL_MULTIPLE * warmth(now - self.start) * FALL_WINDOW_MS)
        self.max_budget_use = max(self.max_budget_use, used)
        if used <= 1.0 + ROUNDING_MARGIN or self.is_overloaded:
            return False
        self.is_overloaded = True
        return True


@dataclass(slots=True, frozen=True)
class Outage:
    """Interval in which discovery refuses connections."""

    begin: float
    until: float

    def covers(self, moment: float) -> bool:
        """Return whether a time is within the outage."""
        return self.begin <= moment < self.until


@dataclass
class Discovery:
    """Model of discovery, which serves requests one at a time, even after their callers have timed out."""

    schedule: ScheduleEvent
    clock: Callable[[], float]
    serve_ms: float = 4.0
    outages: tuple[Outage, ...] = ()
    free_at: float = 0.0
    revision: int = 1
    requests_per_second: Counter[int] = field(default_factory=Counter)

    def call(self, on_response: Callable[[], None], on_failure: Callable[[], None]) -> None:
        """Receive a request; one of the callbacks is called when it succeeds or fails."""
        now = self.clock()
        self.requests_per_second[int(now / 1000)] += 1
        if self._is_down(now):
            self.schedule(now + CONNECTION_REFUSAL_MS, on_failure)
            return
        self.free_at = max(self.free_at, now) + self.serve_ms
        if self.free_at - now > DISCOVERY_TIMEOUT_MS or self._is_down(self.free_at):
            self.schedule(now + DISCOVERY_TIMEOUT_MS, on_failure)
        else:
            self.schedule(self.free_at, on_response)

    def available_at(self) -> float:
        """Return the earliest time at which discovery accepts a request: now, or the end of the outage."""
        now = self.clock()
        return max([now, *(outage.until for outage in self.outages if outage.covers(now))])

    def _is_down(self, moment: float) -> bool:
        return any(outage.covers(moment) for outage in self.outages)


def retry_delays() -> Iterator[float]:
    """Yield the delays (ms), before jitter, between the retries of a node that polls without slots."""
    delay = FIRST_RETRY_DELAY_MS
    while True:
        yield delay
        delay = min(MAX_RETRY_DELAY_MS, 2 * delay)
