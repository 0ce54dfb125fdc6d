"""Actions of one turn, timers, and the log for operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer import interface as api

MIN_LOG_INTERVAL_MS = 10_000.0
MIN_ARRIVALS_FOR_SHEDDING_LOG = 50
MIN_SHED_FRACTION_FOR_LOG = 1 / 4

TimerCallback = Callable[[float, Any], None]
"""Called with the clock time and the argument that was given with the timer."""


class Outbox:
    """Collects the actions of a turn and keeps the callbacks of timers."""

    __slots__ = ("_last_token", "_timers", "actions")

    def __init__(self) -> None:
        """Start without actions and timers."""
        self.actions: list[api.Action] = []
        self._timers: dict[int, tuple[TimerCallback, Any]] = {}
        self._last_token = 0

    def begin(self) -> list[api.Action]:
        """Start a turn and return the list that its actions go to."""
        self.actions = []
        return self.actions

    def set_timer(self, when: float, callback: TimerCallback, argument: Any) -> None:
        """Call back at the clock time `when` (ms)."""
        self._last_token += 1
        self._timers[self._last_token] = (callback, argument)
        self.actions.append(api.SetTimer(when, self._last_token))

    def fire(self, now: float, token: int) -> None:
        """Run the callback of a timer; an unknown token is ignored."""
        if (timer := self._timers.pop(token, None)) is not None:
            callback, argument = timer
            callback(now, argument)


class OperatorLog:
    """Writes few lines, and counts arrivals and rejections since the last one."""

    __slots__ = ("_last_line", "_outbox", "arrivals", "rejections")

    def __init__(self, outbox: Outbox) -> None:
        """Write lines as actions of this outbox."""
        self._outbox = outbox
        self._last_line = -MIN_LOG_INTERVAL_MS
        self.arrivals = 0
        self.rejections = 0

    def write(self, now: float, text: str) -> None:
        """Write a line unless another one was written shortly before."""
        if now - self._last_line >= MIN_LOG_INTERVAL_MS:
            self._last_line = now
            self.arrivals = 0
            self.rejections = 0
            self._outbox.actions.append(api.WriteLog(text))

    def note_rejection(self, now: float) -> None:
        """Count a request that was rejected or failed, and write a line when these are many."""
        self.rejections += 1
        if (
            self.arrivals >= MIN_ARRIVALS_FOR_SHEDDING_LOG
            and self.rejections > self.arrivals * MIN_SHED_FRACTION_FOR_LOG
        ):
            self.write(now, f"shedding: {self.rejections} of {self.arrivals} requests refused or failed")
