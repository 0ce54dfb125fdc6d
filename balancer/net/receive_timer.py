"""The deadline of a request that is being received: its head by a fixed time, its body by a minimum rate."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.request_parser import RequestParser

HEADER_TIMEOUT_S = 2.5  # for a head, and for the first request of a connection
MIN_BODY_RATE = 32_000  # bytes/s after that, half of the slowest that is to be served


class ReceiveTimer:
    """Timer of one client connection; time in which this side pauses reading is not counted."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, parser: RequestParser, on_timeout: Callable[[], None]
    ) -> None:
        """Make a timer that is not running; `on_timeout` is called when it expires."""
        self._loop = loop
        self._parser = parser
        self._on_timeout = on_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._body_started_at = 0.0  # loop time, later by each pause
        self._paused_at = 0.0  # loop time; 0 while it is not paused

    @property
    def is_running(self) -> bool:
        """Whether it has been started and has not expired."""
        return self._timer is not None

    @property
    def is_paused(self) -> bool:
        """Whether this side does not read the body."""
        return self._paused_at > 0.0

    def start(self) -> None:
        """Start the timeout of a head."""
        self._timer = self._loop.call_later(HEADER_TIMEOUT_S, self._expire)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reset(self) -> None:
        """Forget the former request's body and pause."""
        self._body_started_at = 0.0
        self._paused_at = 0.0

    def start_body(self) -> None:
        """Count the body's time from now on."""
        self._body_started_at = self._loop.time()

    def pause(self) -> None:
        """Stop counting, as this side does not read."""
        self._paused_at = self._loop.time()

    def resume(self) -> None:
        """Count on."""
        self._body_started_at = self._body_started_at + self._loop.time() - self._paused_at
        self._paused_at = 0.0

    def _expire(self) -> None:
        self._timer = None
        if self._parser.is_receiving:
            remaining = self._deadline() - self._loop.time()
            if remaining > 0:
                self._timer = self._loop.call_later(remaining, self._expire)
                return
        self._on_timeout()

    def _deadline(self) -> float:
        """Return the loop time by which the rest of the request has to be received."""
        if not self._parser.in_body:
            return 0.0
        if self.is_paused:
            return self._loop.time() + HEADER_TIMEOUT_S
        return self._body_started_at + HEADER_TIMEOUT_S + self._parser.body_size / MIN_BODY_RATE
