"""Connection state that only the kernel knows, and closing with a TCP reset."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import select
import socket
import struct
import sys
import termios

# Poll reports these events after the peer has sent a FIN or RST.
PEER_ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# The fields `tcpi_rto` and `tcpi_last_data_recv`, the ms since the last bytes arrived, of Linux's `tcp_info`.
TCP_INFO_TIMES = struct.Struct("8xI40xI")
QUEUE_LENGTH_BYTES = 4  # Size of the integer that the ioctls on socket queues fill in.
LINGER_ZERO = struct.pack("ii", 1, 0)  # With SO_LINGER on and a timeout of 0, a close sends a reset.


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds received bytes that the event loop has not read."""
    return unread_bytes(transport) > 0


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many received bytes the kernel holds that the event loop has not read."""
    return _queued_bytes(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many sent bytes the peer's kernel has not acknowledged; an unacknowledged FIN counts as one.

    Bytes in the transport's own buffer are not included.
    """
    return _queued_bytes(transport, termios.TIOCOUTQ)


def _queued_bytes(transport: asyncio.Transport, request: int) -> int:
    """Return the length of a kernel queue; 0 if the socket is closed or the kernel does not tell."""
    count = bytearray(QUEUE_LENGTH_BYTES)
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, count)
    except (OSError, ValueError):
        return 0
    return int.from_bytes(count, sys.byteorder)


def read_available(transport: asyncio.Transport, max_bytes: int) -> bytes:
    """Return up to `max_bytes` received bytes that the event loop has not read; empty without any."""
    if not has_unread_data(transport):
        return b""
    try:
        return os.read(transport.get_extra_info("socket").fileno(), max_bytes)
    except OSError:  # The connection was reset, which the event loop will report.
        return b""


def has_peer_ended(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset the connection.

    Unlike a read, this detects the end before the bytes in front of it have been read.
    """
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return any(events & PEER_ENDED_EVENTS for _, events in poll.poll(0))
    except (OSError, ValueError):  # This side has closed the socket itself.
        return False


def ms_since_last_data(transport: asyncio.Transport) -> float | None:
    """Return how many ms ago the peer's last bytes arrived, or None if the kernel does not tell.

    A connection that this side has closed has an age of 0.
    """
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_TIMES.size)
        retransmission_timeout, elapsed_ms = TCP_INFO_TIMES.unpack(info)
    except OSError:
        return 0.0
    except struct.error:  # The kernel's structure is shorter.
        return None
    # Every connection has a retransmission timeout, so without one the structure was not filled in.
    return float(elapsed_ms) if retransmission_timeout else None


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, also one that is closing and still sends."""
    with contextlib.suppress(OSError):  # The socket has been closed.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()
