"""The processes of one node while a new version takes over: who else runs, and whose connections are new."""

from __future__ import annotations

import asyncio
import ctypes
import fcntl
import logging
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path

from balancer.errors import BalancerError

log = logging.getLogger(__name__)

LOOK = 0.1  # s between two looks whether another process runs
WORD = 128  # bytes of a word that are read
SLOTS = 4  # processes of one node at a time: two, or more where upgrades follow one another closely
# Not in the socket module; <asm-generic/socket.h>, the same on all machines that Python is common on.
SO_ATTACH_REUSEPORT_CBPF, SO_DETACH_REUSEPORT_BPF = 51, 68
BPF_RET_CONSTANT = 0x06


class SlotError(BalancerError):
    """As many processes of this node run as may."""

    code = "NOD02"
    remedy = "wait until one of them has ended, or send SIGTERM to the oldest"


class Pair:
    """This process's slot, and whether another is taken. A lock ends with its process, whatever ends it."""

    def __init__(self, where: Path, tell: Callable[[bool], None]) -> None:
        self.slots = [where.with_suffix(f".slot{number}") for number in range(SLOTS)]
        self.tell = tell  # told when another process appears, and when no other is left
        self.looked: Callable[[], None] = lambda: None  # called after each look
        self.words: dict[int, str] = {}  # what the others have said last, by slot
        self.mine = self.lock = -1
        self.beside = False
        self.later = False  # the other process was there first
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> bool:
        """Take a slot; True where another process of this node runs. Raises SlotError."""
        try:
            self._take()
        except OSError as err:  # nobody can be seen from here, nor see this process
            log.warning("no slot among the node's processes: %s", err)
            return False
        self.later = self.beside = self._others()
        self._again()
        return self.beside

    def _take(self) -> None:
        for number, path in enumerate(self.slots):
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(fd)
                continue
            self.mine, self.lock = number, fd
            os.ftruncate(fd, 0)  # the word of a process that is gone
            return
        raise SlotError(f"{SLOTS} processes of this node run already")

    def say(self, word: str) -> bool:
        """Leave a line for the others in this process's slot, always as long; False where that cannot be."""
        try:
            line = word.encode()
            return os.pwrite(self.lock, line, 0) == len(line)
        except OSError as err:
            log.debug("slot %d: %s", self.mine, err)
            return False

    def _others(self) -> bool:
        """Read what the others say; whether there are any."""
        self.read()  # where no descriptor is left to look with, what was seen last holds
        return bool(self.words)

    def _look(self) -> None:
        self.refresh()
        self.looked()
        self._again()

    def refresh(self) -> None:
        """See who runs now."""
        beside = self.mine >= 0 and self._others()
        if beside != self.beside:
            self.beside = beside
            self.later = self.later and beside
            self.tell(beside)

    def read(self) -> dict[int, str] | None:
        """What the others say at this moment, by slot; None where that cannot be seen.

        Who comes or goes is told at the next look.
        """
        try:
            words = {n: _held(path) for n, path in enumerate(self.slots) if n != self.mine}
        except OSError:
            return None
        self.words = {number: word for number, word in words.items() if word is not None}
        return self.words

    def _again(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(LOOK, self._look)

    def stop(self) -> None:
        """Look no more. The slot stays taken until the process ends, as its connections do."""
        if self.timer is not None:
            self.timer.cancel()

    def release(self) -> None:
        """Give up the slot."""
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = self.mine = -1


def _held(path: Path) -> str | None:
    """What the process says that has this slot, None where none has; raises OSError where that is not seen.

    A shared lock for a moment is in nobody's way but a newcomer's.
    """
    try:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return os.pread(fd, WORD, 0).decode("latin-1")
    finally:
        os.close(fd)
    return None


def steer(sock: socket.socket, index: int) -> bool:
    """Send all new connections of the group to one listener, numbered in the order they began to listen.

    Guards against connections that stand in the queue of a listener when that closes: they would be reset.
    """
    code = (ctypes.c_ubyte * 8).from_buffer_copy(struct.pack("HBBI", BPF_RET_CONSTANT, 0, 0, index))
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(code))
        )
    except OSError as err:
        log.info("new connections cannot be steered: %s", err)
        return False
    return True


def unsteer(sock: socket.socket) -> None:
    """Undo what a predecessor set: the group is one listener again, and soon perhaps two."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError:
        log.debug("nothing was steered")
