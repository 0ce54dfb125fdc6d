"""Delivery of responses: what a client has not received yet."""

from __future__ import annotations

import asyncio
import enum

from balancer.net import socket_state

WRITE_STALL_TIMEOUT_S = 20.0  # A client that reads none of its response for 20 s is disconnected.
FIN_BYTES = 1  # An unacknowledged FIN counts as one byte.


class CutReason(enum.Enum):
    """Why the node cut off a response that its client had not received; the values are log texts."""

    NOT_READ = f"the client read nothing for {WRITE_STALL_TIMEOUT_S:g} s"
    LINGER_TIMEOUT = (
        f"the client had not read it {WRITE_STALL_TIMEOUT_S:g} s after the node ended the connection"
    )


class ResponseDelivery:
    """The bytes of responses that the client of one connection has not received yet."""

    def __init__(self) -> None:
        """Create the state of a connection that has no transport yet."""
        self._transport: asyncio.Transport | None = None

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
