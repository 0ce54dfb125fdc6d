"""Steering of new connections to one of the listening sockets that share an address.

Connections in the queue of a listening socket are reset when it is closed; steered away, none is left there.
"""

from __future__ import annotations

import ctypes
import logging
import socket
import struct

log = logging.getLogger(__name__)

# Not in the socket module; <asm-generic/socket.h>, the same on all machines that Python is common on.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET_CONSTANT = 0x06  # <linux/bpf_common.h>: BPF_RET | BPF_K


def steer_connections(sock: socket.socket, index: int) -> bool:
    """Send new connections to one socket of the group, numbered in the order they began to listen.

    Returns whether the kernel does so.
    """
    program = (ctypes.c_ubyte * 8).from_buffer_copy(struct.pack("HBBI", BPF_RET_CONSTANT, 0, 0, index))
    filter_option = struct.pack("HP", 1, ctypes.addressof(program))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, filter_option)
    except OSError as err:
        log.info("new connections cannot be steered: %s", err)
        return False
    return True


def stop_steering(sock: socket.socket) -> None:
    """Undo what a process before has set for the group."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError:
        log.debug("nothing was steered")
