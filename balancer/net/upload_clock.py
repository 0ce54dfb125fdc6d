"""The time of a request whose body may lie in the kernel, unread because its backend takes no more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

CHECK_INTERVAL_S = 0.1
# A client's machine holds at most this much that was written and not received; the default maximum of Linux.
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024


class UploadClock:
    """Tells when the time of an upload is over although its last byte has not been read.

    The time of a request counts from the write of its last byte. While reading is paused, that byte may have
    been written for long, so the time counts from the pause on, as long as bytes remain unread.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        missing_bytes: Callable[[], int | None],
        on_overdue: Callable[[], None],
    ) -> None:
        """Create a stopped clock.

        Args:
            loop: Event loop of the timer.
            missing_bytes: Returns how many bytes of the body this machine has not received; None if unknown.
            on_overdue: Called once the time of the request is over.
        """
        self.unread_since: float | None = None  # Loop time in s since which the last byte may lie unread.
        self._loop = loop
        self._missing_bytes = missing_bytes
        self._on_overdue = on_overdue
        self._timeout_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, timeout_s: float) -> None:
        """Begin an upload whose request may take `timeout_s` behind its last byte."""
        self.stop()
        self._timeout_s = timeout_s

    @property
    def is_running(self) -> bool:
        """Whether the body is, or has been, ahead of what is read."""
        return self._timer is not None

    def reading_paused(self) -> None:
        """Start to count, or go on, as reading from the client is paused."""
        if self._timer is None and self._timeout_s:
            self._check()

    def caught_up(self) -> None:
        """Count anew from the next pause, as all that has come was read and the last byte is not there."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.unread_since = None

    def stop(self) -> None:
        """Stop, because the body is complete or not wanted any more."""
        self.caught_up()
        self._timeout_s = 0.0

    def _check(self) -> None:
        now = self._loop.time()
        if self.unread_since is None and self._may_be_written():
            self.unread_since = now
        if self.unread_since is not None and now - self.unread_since >= self._timeout_s:
            self.stop()
            self._on_overdue()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _may_be_written(self) -> bool:
        missing = self._missing_bytes()
        return missing is None or missing <= MAX_SEND_BUFFER_BYTES
