"""What stands around a tier in the simulation: discovery that answers in turn, backends that can topple.

Sources: the platform's rules for cold backends (`rules.cold-share`, `ramp-time`, `fall`, `fall-multiple`):
one that is sent more than the multiple of what it can do at that moment, over any window of that length,
topples.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

COLD_SHARE, RAMP_MS = 0.35, 8_000.0  # a cold backend's part of its capacity, and until it has all of it
FALL_MS, FALL_MULTIPLE = 3_000.0, 3.0
GIVES_UP_MS = 1_000.0  # a caller's patience
WAIT_FIRST_MS, WAIT_MOST_MS = 100.0, 2_000.0  # a call without turns is repeated so, doubled with each failure

Plan = Callable[[float, Callable[[], None]], None]


def warmth(age_ms: float) -> float:
    """The part of its capacity that a backend of this age has."""
    return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * max(0.0, age_ms) / RAMP_MS)


@dataclass
class Backend:
    """One backend: when it started, and the work of nodes that were told so (in ms of its whole capacity)."""

    start: float
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    pressure: float = 0.0
    worst: float = 0.0  # of the budget of a window that was ever used
    toppled: bool = False

    def restart(self, now: float) -> None:
        """Cold again; what it was sent before is over."""
        self.start, self.pressure, self.toppled = now, 0.0, False
        self.sent.clear()

    def cold(self, now: float) -> bool:
        """Whether it can topple."""
        return now - self.start < RAMP_MS

    def offer(self, now: float, work: float) -> bool:
        """Work reaches it; whether it topples by that, once."""
        if not self.cold(now):
            self.sent.clear()
            self.pressure = 0.0
            return False
        self.sent.append((now, work))
        self.pressure += work
        while self.sent[0][0] < now - FALL_MS:
            self.pressure -= self.sent.popleft()[1]
        used = self.pressure / (FALL_MULTIPLE * warmth(now - self.start) * FALL_MS)
        self.worst = max(self.worst, used)
        if used <= 1.0 + 1e-9 or self.toppled:
            return False
        self.toppled = True
        return True


@dataclass
class Discovery:
    """Answers calls one by one, `serve_ms` each. Who waits for a second gives up; it is worked off anyway."""

    plan: Plan
    clock: Callable[[], float]
    serve_ms: float = 4.0
    down: tuple[tuple[float, float], ...] = ()  # from, until: nothing listens
    free_at: float = 0.0
    revision: int = 1
    per_second: Counter[int] = field(default_factory=Counter)

    def call(self, answered: Callable[[], None], failed: Callable[[], None]) -> None:
        """A node asks; one of the two is called later."""
        now = self.clock()
        self.per_second[int(now / 1000)] += 1
        if self._is_down(now):
            self.plan(now + 2.0, failed)  # refused
            return
        self.free_at = max(self.free_at, now) + self.serve_ms
        if self.free_at - now > GIVES_UP_MS or self._is_down(self.free_at):
            self.plan(now + GIVES_UP_MS, failed)
        else:
            self.plan(self.free_at, answered)

    def up_again(self) -> float:
        """When it answers at the earliest, if asked now."""
        now = self.clock()
        return max([now, *(until for begin, until in self.down if begin <= now < until)])

    def _is_down(self, at: float) -> bool:
        return any(begin <= at < until for begin, until in self.down)


def waits() -> Iterator[float]:
    """Waits in ms before each new call of a node that does not take turns, before jitter."""
    wait = WAIT_FIRST_MS
    while True:
        yield wait
        wait = min(WAIT_MOST_MS, 2 * wait)
