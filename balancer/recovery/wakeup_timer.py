"""Timer on the running event loop that fires at the earliest requested time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

MIN_DELAY_MS = 1.0


class WakeupTimer:
    """Timer that calls back at the earliest time it was armed for, and must then be armed again."""

    def __init__(self, clock: Callable[[], float], callback: Callable[[], None]) -> None:
        """Create an unarmed timer; `clock` returns the time in ms."""
        self._clock = clock
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._wakeup_at = math.inf

    def arm(self, wakeup_at: float) -> None:
        """Arm the timer for `wakeup_at` (ms), unless it is armed for an earlier time."""
        if wakeup_at >= self._wakeup_at:
            return
        self.cancel()
        self._wakeup_at = wakeup_at
        delay = max(MIN_DELAY_MS, wakeup_at - self._clock()) / 1000
        self._handle = self._loop.call_later(delay, self._wake)

    def cancel(self) -> None:
        """Cancel the pending callback."""
        if self._handle is not None:
            self._handle.cancel()

    def _wake(self) -> None:
        self._wakeup_at = math.inf
        self._handle = None
        self._callback()
