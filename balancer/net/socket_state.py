"""What the kernel knows of a connection beyond what its transport shows, and a close by reset."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios

PEER_ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # a FIN or a RST was received
NO_LINGER = struct.pack("ii", 1, 0)  # close by a reset


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds received bytes that the loop has not read."""
    sock = transport.get_extra_info("socket")
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):  # the connection is gone
        return False
    return int.from_bytes(count, sys.byteorder) > 0


def has_peer_ended(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset the connection.

    A read would tell as well, but only after what was sent before the end.
    """
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return any(events & PEER_ENDED_EVENTS for _, events in poll.poll(0))
    except (OSError, ValueError):  # it is being closed here
        return False


def reset(transport: asyncio.Transport) -> None:
    """Close a connection by a reset, unless it is closing."""
    if transport.is_closing():
        return
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
