"""A timer on the running event loop that is set to the earliest wanted time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

MIN_DELAY_MS = 1.0


class WakeupTimer:
    """Calls back at the earliest time that it was armed for; it is to be armed anew then."""

    def __init__(self, clock: Callable[[], float], callback: Callable[[], None]) -> None:
        """Create a timer that is not armed; `clock` returns ms."""
        self._clock = clock
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._wakeup_at = math.inf

    def arm(self, wakeup_at: float) -> None:
        """Call back at `wakeup_at` (ms), unless an earlier time is set."""
        if wakeup_at >= self._wakeup_at:
            return
        self.cancel()
        self._wakeup_at = wakeup_at
        delay = max(MIN_DELAY_MS, wakeup_at - self._clock()) / 1000
        self._handle = self._loop.call_later(delay, self._wake)

    def cancel(self) -> None:
        """Do not call back."""
        if self._handle is not None:
            self._handle.cancel()

    def _wake(self) -> None:
        self._wakeup_at = math.inf
        self._handle = None
        self._callback()
