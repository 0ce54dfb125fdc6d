"""Delivery of responses: what a client has not received yet, and the limit on one that reads nothing."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from balancer.net.send_queue import SendQueue

WRITE_STALL_TIMEOUT_S = 20.0  # A client that reads none of its response for 20 s is disconnected.
DELIVERY_CHECK_INTERVAL_S = 1.0


class CutReason(enum.Enum):
    """Why the node cut off a response that its client had not received; the values are log texts."""

    NOT_READ = f"the client read nothing for {WRITE_STALL_TIMEOUT_S:g} s"
    PROCESS_ENDS = "the process ends, and only a reset shows the client that the response is truncated"


class ResponseDelivery:
    """The responses of one connection that its client has not received yet."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_sent: Callable[[], None], on_stall: Callable[[], None]
    ) -> None:
        """Create the state of a connection.

        While it is watched, `on_sent` is called once the kernel has everything, and `on_stall` if the client
        reads nothing.
        """
        self.queue = SendQueue()
        self._loop = loop
        self._on_sent = on_sent
        self._on_stall = on_stall
        self._timer: asyncio.TimerHandle | None = None
        self._progress_at = 0.0  # Loop time in seconds of the last check at which the queue had moved.

    def watch(self) -> None:
        """Until all is delivered, disconnect a client that reads nothing for `WRITE_STALL_TIMEOUT_S`."""
        if self._timer is None:
            self.queue.has_moved()  # Later calls compare with the length that the queue has now.
            self._record_progress()
            self._schedule_check()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _record_progress(self) -> None:
        self._progress_at = self._loop.time()

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(DELIVERY_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self.queue.unsent_bytes:
            self._on_sent()
        if self.queue.is_delivered:
            return
        if self.queue.has_moved():
            self._record_progress()
        elif self._loop.time() - self._progress_at >= WRITE_STALL_TIMEOUT_S:
            self._on_stall()
            return
        self._schedule_check()
