"""Delivery of responses: what a client has not received yet, and the limit on one that reads nothing."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from balancer.net import socket_state

WRITE_STALL_TIMEOUT_S = 20.0  # A client that reads none of its response for 20 s is disconnected.
DELIVERY_CHECK_INTERVAL_S = 1.0
FIN_BYTES = 1  # An unacknowledged FIN counts as one byte.


class CutReason(enum.Enum):
    """Why the node cut off a response that its client had not received; the values are log texts."""

    NOT_READ = f"the client read nothing for {WRITE_STALL_TIMEOUT_S:g} s"
    PROCESS_ENDS = "the process ends, and only a reset shows the client that the response is truncated"


class ResponseDelivery:
    """The bytes of responses that the client of one connection has not received yet."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_stall: Callable[[], None]) -> None:
        """Create the state of a connection; `on_stall` is called if a watched client reads nothing."""
        self._loop = loop
        self._on_stall = on_stall
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._checked_bytes = 0  # Number of bytes, unsent or unacknowledged, at the last check.
        self._progress_at = 0.0  # Loop time in seconds of the last check at which that number had changed.

    def start(self, transport: asyncio.Transport) -> None:
        """Attach the transport of the connection."""
        self._transport = transport

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet; closing the connection discards them."""
        transport = self._transport
        return 0 if transport is None or transport.is_closing() else transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of bytes that the kernel has taken and the client's kernel has not acknowledged."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return 0
        return socket_state.unacknowledged_bytes(transport)

    @property
    def is_complete(self) -> bool:
        """Whether the client's kernel has acknowledged every byte; an unacknowledged FIN does not count."""
        return not self.unsent_bytes and self.unacknowledged_bytes <= FIN_BYTES

    # --- the limit on a client that reads nothing

    def watch(self) -> None:
        """Disconnect the client if it reads nothing for `WRITE_STALL_TIMEOUT_S`, until delivery is complete.

        The kernel's buffer may hold more than a slow client reads in that time, so the event that the
        transport can send again does not tell whether it reads.
        """
        if self._timer is None:
            self._record_progress()
            self._schedule_check()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def _outstanding_bytes(self) -> int:
        return self.unsent_bytes + self.unacknowledged_bytes

    def _record_progress(self) -> None:
        self._checked_bytes = self._outstanding_bytes
        self._progress_at = self._loop.time()

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(DELIVERY_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if self.is_complete:
            return
        if self._outstanding_bytes != self._checked_bytes:
            self._record_progress()
        elif self._loop.time() - self._progress_at >= WRITE_STALL_TIMEOUT_S:
            self._on_stall()
            return
        self._schedule_check()
