"""Timeout for receiving a request: a fixed time for the head, a minimum rate for the body."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.request_parser import RequestParser
from balancer.net.unread_recheck import RECHECK_DELAY_S, UnreadRecheck

HEADER_TIMEOUT_S = 2.5  # Time to receive a complete head, counted from the accept for the first request.
MIN_BODY_BYTES_PER_S = 32_000  # Half the rate of the slowest client that has to be served.


class ReceiveTimer:
    """Receive timeout of one client connection; it does not count time in which reading is paused."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parser: RequestParser,
        has_unread_data: Callable[[], bool],
        on_timeout: Callable[[], None],
    ) -> None:
        """Create a stopped timer.

        `on_timeout` is called when it expires, at once or, if `has_unread_data`, after they have been read.
        """
        self._loop = loop
        self._parser = parser
        self._recheck = UnreadRecheck(loop.time, has_unread_data)
        self._on_timeout = on_timeout
        self._timer: asyncio.TimerHandle | None = None
        # Loop time in seconds at which the body began, shifted forward by the length of each pause.
        self._body_started_at = 0.0
        self._paused_at = 0.0  # Loop time in seconds at which reading was paused; 0 while it is not.

    @property
    def is_running(self) -> bool:
        """Whether the timer has been started and has neither expired nor been cancelled."""
        return self._timer is not None

    @property
    def is_paused(self) -> bool:
        """Whether reading the body is paused."""
        return self._paused_at > 0.0

    def start(self) -> None:
        """Start the timeout for a head."""
        self._recheck.reset()
        self._timer = self._loop.call_later(HEADER_TIMEOUT_S, self._expire)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reset(self) -> None:
        """Clear the body time and the pause of the previous request."""
        self._body_started_at = 0.0
        self._paused_at = 0.0

    def start_body(self) -> None:
        """Start timing the body."""
        self._body_started_at = self._loop.time()

    def pause(self) -> None:
        """Stop counting time while reading is paused."""
        self._paused_at = self._loop.time()

    def resume(self) -> None:
        """Continue counting time after a pause."""
        self._body_started_at = self._body_started_at + self._loop.time() - self._paused_at
        self._paused_at = 0.0

    def _expire(self) -> None:
        self._timer = None
        if self._recheck.is_due():
            self._timer = self._loop.call_later(RECHECK_DELAY_S, self._expire)
            return
        if self._parser.is_receiving:
            remaining = self._deadline() - self._loop.time()
            if remaining > 0:
                self._recheck.reset()
                self._timer = self._loop.call_later(remaining, self._expire)
                return
        self._on_timeout()

    def _deadline(self) -> float:
        """Return the loop time by which the rest of the request must be received."""
        if not self._parser.in_body:
            return 0.0
        if self.is_paused:
            return self._loop.time() + HEADER_TIMEOUT_S
        return self._body_started_at + HEADER_TIMEOUT_S + self._parser.body_size / MIN_BODY_BYTES_PER_S
