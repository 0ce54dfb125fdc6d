"""Measures how late the event loop runs its timers: pauses of the process, and long turns of the loop."""

from __future__ import annotations

import asyncio
import logging

from balancer.net import socket_state
from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

BEAT_INTERVAL_S = 0.1
LOGGED_LAG_S = 0.1
# The kernel counts the age of received bytes in ticks of up to 10 ms.
MIN_UNREAD_MS = 10.0
HELD_UP_LAG_S = 0.05  # A timer that is 50 ms late shows that the process was held up or a turn was long.
# Servers may be told 0.15 s more than is left to a client, so an age is 0.1 s too low at the most.
MAX_AGE_ERROR_S = 0.1
# A connection that waited to be accepted is read four turns after the process goes on.
TURNS_TO_CATCH_UP = 4


class LoopMonitor:
    """Periodic timer that measures its own lateness, and with it how long events may have waited unread."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a stopped monitor."""
        self._loop = loop
        self._lines = RateLimitedLog(log, loop.time)
        self._max_lag_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._kernel_dates_bytes = True  # False once the kernel has not told when bytes arrived.
        # Loop time at which the latest hold-up began, until what came meanwhile has been read.
        self._held_up_since: float | None = None
        self._turns_to_catch_up = 0

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

    def held_up_s(self) -> float:
        """Return for how many seconds an event that is read now may have waited for a held-up process.

        It is 0 unless a timer has shown such a delay. The event may have come later than at its beginning.
        """
        if self._held_up_since is not None:
            return self._loop.time() - self._held_up_since
        overdue_s = self.overdue_s()
        return overdue_s if overdue_s >= HELD_UP_LAG_S else 0.0

    def max_wait_s(self) -> float:
        """Return the longest time in seconds that an event that is handled now can have waited.

        The process may have stood still since just after the measurement before the late one.
        """
        held_up_s = self.held_up_s()
        return held_up_s + BEAT_INTERVAL_S if held_up_s else 0.0

    def unread_ms(self, transport: asyncio.Transport) -> float:
        """Return for how many ms the bytes that were last read from a connection had been received.

        Times of requests and responses count from their arrival, however late the event loop reads them.
        """
        unread_ms = socket_state.ms_since_last_data(transport) if self._kernel_dates_bytes else None
        if unread_ms is not None:
            return unread_ms if unread_ms >= MIN_UNREAD_MS else 0.0
        self._kernel_dates_bytes = False
        # The bytes have come some time between the beginning of the hold-up and now.
        held_up_s = self.held_up_s()
        return max(held_up_s / 2, held_up_s - MAX_AGE_ERROR_S) * 1000

    def _schedule(self) -> None:
        self._timer = self._loop.call_at(self._loop.time() + BEAT_INTERVAL_S, self._beat)

    def _beat(self) -> None:
        lag_s = self.overdue_s()
        self._max_lag_s = max(self._max_lag_s, lag_s)
        if lag_s >= HELD_UP_LAG_S:
            self._turns_to_catch_up = TURNS_TO_CATCH_UP
            if self._held_up_since is None:
                self._held_up_since = self._loop.time() - lag_s
                self._loop.call_soon(self._count_turn)
        if lag_s >= LOGGED_LAG_S:
            self._lines.log(
                "lag",
                f"event loop: no turn for {lag_s * 1000:.0f} ms, the process was held up or a turn was long",
            )
        self._schedule()

    def _count_turn(self) -> None:
        self._turns_to_catch_up -= 1
        if self._turns_to_catch_up > 0:
            self._loop.call_soon(self._count_turn)
        else:
            self._held_up_since = None
