"""The actions that an event causes, the callbacks of timers, and the log for operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer import interface as api

MIN_LOG_INTERVAL_MS = 10_000.0
MIN_ARRIVALS_FOR_SHEDDING_LOG = 50
MIN_SHED_FRACTION_FOR_LOG = 1 / 4

TimerCallback = Callable[[float, Any], None]
"""A function that is called with the clock time and the argument passed to `Outbox.set_timer`."""


class Outbox:
    """Collects the actions that the handling of an event causes, and stores the callbacks of timers."""

    __slots__ = ("_last_token", "_timers", "actions")

    def __init__(self) -> None:
        """Create an outbox without actions and timers."""
        self.actions: list[api.Action] = []
        self._timers: dict[int, tuple[TimerCallback, Any]] = {}
        self._last_token = 0

    def begin(self) -> list[api.Action]:
        """Start the handling of an event and return the list that collects its actions."""
        self.actions = []
        return self.actions

    def set_timer(self, fires_at: float, callback: TimerCallback, argument: Any) -> None:
        """Start a timer that calls `callback` with `argument` at the clock time `fires_at`."""
        self._last_token += 1
        self._timers[self._last_token] = (callback, argument)
        self.actions.append(api.SetTimer(fires_at, self._last_token))

    def fire(self, now: float, token: int) -> None:
        """Run the callback of a timer; an unknown token is ignored."""
        if (timer := self._timers.pop(token, None)) is not None:
            callback, argument = timer
            callback(now, argument)


class OperatorLog:
    """Writes rate-limited log lines, and counts requests that arrived or were rejected since then."""

    __slots__ = ("_last_line_at", "_outbox", "arrivals", "rejections")

    def __init__(self, outbox: Outbox) -> None:
        """Create a log that writes its lines as actions of `outbox`."""
        self._outbox = outbox
        self._last_line_at = -MIN_LOG_INTERVAL_MS
        self.arrivals = 0
        self.rejections = 0

    def write(self, now: float, text: str) -> None:
        """Write a line, unless the last one was written less than `MIN_LOG_INTERVAL_MS` before."""
        if now - self._last_line_at >= MIN_LOG_INTERVAL_MS:
            self._last_line_at = now
            self.arrivals = 0
            self.rejections = 0
            self._outbox.actions.append(api.WriteLog(text))

    def count_rejection(self, now: float) -> None:
        """Count a request that was rejected or failed, and log when many requests are."""
        self.rejections += 1
        if (
            self.arrivals >= MIN_ARRIVALS_FOR_SHEDDING_LOG
            and self.rejections > self.arrivals * MIN_SHED_FRACTION_FOR_LOG
        ):
            self.write(
                now,
                f"shedding: {self.rejections} of {self.arrivals} requests refused or failed",
            )
