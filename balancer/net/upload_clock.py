"""The time of a request whose body may lie in the kernel, unread because its backend takes no more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

CHECK_INTERVAL_S = 0.1
# A client's machine holds at most this much that was written and not received; the default maximum of Linux.
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class UploadProgress:
    """How much of a request body has come."""

    length: int | None  # Stated length of the body in bytes, if there is one.
    read_bytes: int
    unread_bytes: int  # Received by this machine, and not read.
    is_reading_paused: bool

    @property
    def may_be_written(self) -> bool:
        """Whether the client may have written the last byte, as its machine can hold what is missing."""
        if self.length is None:
            return True
        return self.length - self.read_bytes - self.unread_bytes <= MAX_SEND_BUFFER_BYTES

    @property
    def is_read(self) -> bool:
        """Whether all that has come was read, and what comes next will be."""
        return not self.unread_bytes and not self.is_reading_paused

    def has_grown_unread(self, earlier: UploadProgress) -> bool:
        """Return whether bytes have come since `earlier` and none were read.

        They were not waiting for room on this machine, so the client has just written them.
        """
        return self.read_bytes == earlier.read_bytes and self.unread_bytes > earlier.unread_bytes


class UploadClock:
    """Tells when the time of an upload is over although its last byte has not been read.

    The time of a request counts from the write of its last byte. While reading is paused, that byte may have
    been written for long, so the time counts from the pause on, or from the latest bytes that came in it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        progress: Callable[[], UploadProgress],
        on_overdue: Callable[[], None],
    ) -> None:
        """Create a stopped clock.

        Args:
            loop: Event loop of the timer.
            progress: Returns how much of the body has come.
            on_overdue: Called once the time of the request is over.
        """
        self.unread_since: float | None = None  # Loop time in s since which the last byte may lie unread.
        self._loop = loop
        self._progress = progress
        self._on_overdue = on_overdue
        self._timeout_s = 0.0
        self._checked: UploadProgress | None = None  # Progress at the latest check of the current pause.
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, timeout_s: float, is_reading_paused: bool) -> None:
        """Begin an upload whose request may take `timeout_s` behind its last byte."""
        self.stop()
        self._timeout_s = timeout_s
        if is_reading_paused:
            self.reading_paused()

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
        self._checked = None

    def stop(self) -> None:
        """Stop, because the body is complete or not wanted any more."""
        self.caught_up()
        self._timeout_s = 0.0

    def _check(self) -> None:
        now = self._loop.time()
        progress = self._progress()
        if progress.is_read and progress == self._checked:
            self.caught_up()  # The client's machine has had time to send what it held.
            return
        if self._checked is not None and progress.has_grown_unread(self._checked):
            self.unread_since = None
        self._checked = progress
        if self.unread_since is None and progress.may_be_written:
            self.unread_since = now
        if self.unread_since is not None and now - self.unread_since >= self._timeout_s:
            self.stop()
            self._on_overdue()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
