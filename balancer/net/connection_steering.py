"""Steer new connections to one of several listening sockets that share an address.

Closing a listening socket resets the connections in its accept queue. Steering them to the other socket first
leaves the queue empty.
"""

from __future__ import annotations

import ctypes
import logging
import socket
import struct

log = logging.getLogger(__name__)

# The socket module lacks these constants of <asm-generic/socket.h>; common architectures share the values.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET_CONSTANT = 0x06  # The value of BPF_RET | BPF_K in <linux/bpf_common.h>.


def steer_connections(sock: socket.socket, index: int) -> bool:
    """Steer new connections to the socket with this index in the order in which the sockets began to listen.

    Return whether the kernel accepted the filter.
    """
    program = (ctypes.c_ubyte * 8).from_buffer_copy(struct.pack("HBBI", BPF_RET_CONSTANT, 0, 0, index))
    filter_option = struct.pack("HP", 1, ctypes.addressof(program))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_option)
    except OSError as err:
        log.info("new connections cannot be steered: both processes continue to accept them: %s", err)
        return False
    return True


def stop_steering(sock: socket.socket) -> None:
    """Remove a steering filter that an earlier process has attached to the group."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError:
        log.debug("nothing was steered: there is no filter to detach")
