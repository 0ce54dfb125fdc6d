"""The bytes written to a connection that its peer has not received yet."""

from __future__ import annotations

import asyncio

from balancer.net import socket_state

FIN_BYTES = 1  # An unacknowledged FIN counts as one byte.


class SendQueue:
    """Bytes that wait in the transport of a connection or that the peer's kernel has not acknowledged.

    The kernel may hold megabytes, and takes more only once a third of its buffer is free, so only the
    acknowledgements show whether a slow peer reads.
    """

    __slots__ = ("_last_length", "_transport")

    def __init__(self) -> None:
        """Create the queue of a connection that is not established yet; it is empty."""
        self._transport: asyncio.Transport | None = None
        self._last_length = 0  # Number of bytes at the last call of `has_moved`.

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport of the connection."""
        self._transport = transport

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet; aborting the connection discards them.

        A transport whose peer has ended its side is closing, but goes on to send.
        """
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of bytes that the kernel has taken and the peer's kernel has not acknowledged."""
        return 0 if self._transport is None else socket_state.unacknowledged_bytes(self._transport)

    @property
    def is_delivered(self) -> bool:
        """Whether the peer's kernel has acknowledged every byte; an unacknowledged FIN does not count."""
        return not self.unsent_bytes and self.unacknowledged_bytes <= FIN_BYTES

    def has_moved(self) -> bool:
        """Return whether bytes were added or acknowledged since the last call."""
        length = self.unsent_bytes + self.unacknowledged_bytes
        has_moved = length != self._last_length
        self._last_length = length
        return has_moved
