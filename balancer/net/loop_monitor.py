"""Measures how late the event loop runs its timers: pauses of the process, and long turns of the loop."""

from __future__ import annotations

import asyncio
import logging

from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

BEAT_INTERVAL_S = 0.1
LOGGED_LAG_S = 0.1


class LoopMonitor:
    """Periodic timer that measures its own lateness."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a stopped monitor."""
        self._loop = loop
        self._lines = RateLimitedLog(log, loop.time)
        self._max_lag_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start measuring."""
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_max_lag_s(self) -> float:
        """Return the longest lag in seconds since the last call."""
        lag_s = max(self._max_lag_s, self.overdue_s())
        self._max_lag_s = 0.0
        return lag_s

    def overdue_s(self) -> float:
        """Return for how many seconds the next measurement has been due."""
        if self._timer is None:
            return 0.0
        return max(0.0, self._loop.time() - self._timer.when())

    def _schedule(self) -> None:
        self._timer = self._loop.call_at(self._loop.time() + BEAT_INTERVAL_S, self._beat)

    def _beat(self) -> None:
        lag_s = self.overdue_s()
        self._max_lag_s = max(self._max_lag_s, lag_s)
        if lag_s >= LOGGED_LAG_S:
            self._lines.log(
                "lag",
                f"event loop: no turn for {lag_s * 1000:.0f} ms, the process was held up or a turn was long",
            )
        self._schedule()
