"""Holds back a response of unknown length until it is whole, long, or taken for a long one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.attempt import ResponseTimeLeft
from balancer.net.response_progress import ResponseProgress
from balancer.net.stream import MAX_BUFFERED_BODY_BYTES
from balancer.policy.response_growth import ResponseGrowth

STREAMING_DELAY_S = 0.025  # Most bodies of unknown length are complete 25 ms after their first byte.
STREAMING_CHECK_INTERVAL_S = 0.1


class ResponseHold:
    """Timer and growth of the response of unknown length on one backend connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pass_on: Callable[[], None]) -> None:
        """Create the state of a connection; `pass_on` is called once a response is not to be held longer."""
        self.timer: asyncio.TimerHandle | None = None  # Runs while a response is held.
        self._loop = loop
        self._pass_on = pass_on
        self._time_left: ResponseTimeLeft | None = None
        self._growth: ResponseGrowth | None = None  # None before the body has begun.
        self._last_at = 0.0  # Time in ms of the latest body byte.

    def begin(self, time_left: ResponseTimeLeft | None) -> None:
        """Begin a response, which may come at any time without `time_left`."""
        self.cancel()
        self._growth = None
        self._time_left = time_left

    def cancel(self) -> None:
        """Stop the timer, because the response is passed on or over."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def received(self, size: int, is_held: bool) -> None:
        """Record that the body has `size` bytes; `is_held` tells whether it has not been passed on."""
        self._last_at = self._now_ms()
        if self._growth is not None:
            self._growth.record(self._last_at, size)
            return
        self._growth = ResponseGrowth(MAX_BUFFERED_BODY_BYTES, self._last_at, size)
        if is_held:
            self._schedule_check(STREAMING_DELAY_S)

    @property
    def progress(self) -> ResponseProgress | None:
        """Progress of the response, or None if it has a length or no body byte has come."""
        if (growth := self._growth) is None:
            return None
        now = self._now_ms()
        return ResponseProgress(growth.size, growth.age_ms(now), now - self._last_at)

    def may_become_long(self, time_left_s: float) -> bool:
        """Return whether a held response may still turn out long within `time_left_s`."""
        return self._growth is not None and self._growth.may_become_long(self._now_ms(), time_left_s * 1000)

    def may_outlast_deadline(self, size: int) -> bool:
        """Return whether the response, of `size` bytes now, may go on behind its request's time."""
        if self._growth is None:
            return False
        now = self._now_ms()
        self._growth.record(now, size)
        return self._growth.may_outlast_deadline(now)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    def _schedule_check(self, delay_s: float) -> None:
        self.timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        time_left = self._time_left
        is_due = time_left is None or (
            self._growth is not None and self._growth.may_be_passed_on(self._now_ms(), time_left() * 1000)
        )
        if is_due:
            self._pass_on()
        else:
            self._schedule_check(STREAMING_CHECK_INTERVAL_S)
