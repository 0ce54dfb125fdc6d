"""Lock files, called slots, that tell the processes of one node apart while a new version takes over.

Each process locks one slot file and may write a line into it for the other processes. The kernel releases the
lock when the process ends for any reason.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
from collections.abc import Callable
from pathlib import Path

from balancer.defects import DefectLog
from balancer.errors import BalancerError

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 0.1
MAX_LINE_BYTES = 128
SLOT_COUNT = 4  # An upgrade runs two processes; upgrades in quick succession run more.
NO_SLOT = -1


class SlotError(BalancerError):
    """All slots are taken: the maximum number of processes of this node is running."""

    code = "NOD02"
    remedy = "wait until one of them has ended, or send SIGTERM to the oldest"


class ProcessSlots:
    """The slot of this process, and the lines in the slots of its peers."""

    def __init__(self, path: Path, on_peer_change: Callable[[bool], None]) -> None:
        """Create an object without a slot; `on_peer_change` is called at the first and the last peer."""
        self.paths = [path.with_suffix(f".slot{number}") for number in range(SLOT_COUNT)]
        self.on_refresh: Callable[[], None] = lambda: None
        self.peer_lines: dict[int, str] = {}  # The lines last read from the peers' slots, by slot number.
        self.own_slot = NO_SLOT
        self.has_peer = False
        self.peer_started_first = False
        self._on_peer_change = on_peer_change
        self._lock_fd = NO_SLOT
        self._timer: asyncio.TimerHandle | None = None
        self._defects = DefectLog(log, "slots")

    @property
    def has_slot(self) -> bool:
        """Whether this process holds a slot."""
        return self.own_slot != NO_SLOT

    def acquire(self) -> bool:
        """Acquire a slot and return whether another process of this node is running. Raises SlotError."""
        try:
            self._lock_free_slot()
        except OSError as err:
            # Without a slot this process and the other ones cannot detect each other.
            log.warning("no slot among the node's processes: other processes cannot be detected: %s", err)
            return False
        self.has_peer = self._peers_exist()
        self.peer_started_first = self.has_peer
        self._schedule()
        return self.has_peer

    def _lock_free_slot(self) -> None:
        for number, path in enumerate(self.paths):
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(fd)
                continue
            self.own_slot = number
            self._lock_fd = fd
            os.ftruncate(fd, 0)  # The file may still hold the line of a process that has ended.
            return
        raise SlotError(f"{SLOT_COUNT} processes of this node are running already, which is the maximum")

    def write_line(self, line: str) -> bool:
        """Write the line of this process, which must have a fixed length; return whether it was written."""
        try:
            data = line.encode()
            return os.pwrite(self._lock_fd, data, 0) == len(data)
        except OSError as err:
            log.debug("slot %d: line not written: %s", self.own_slot, err)
            return False

    def _peers_exist(self) -> bool:
        self.read_peers()  # On failure, for example without a free descriptor, the previous lines stay valid.
        return bool(self.peer_lines)

    def refresh_periodically(self) -> None:
        """Look for peers immediately, and then every `REFRESH_INTERVAL_S`."""
        self._schedule()
        with self._defects.contain("search for other processes"):
            self.refresh()
        with self._defects.contain("refresh of the descriptor share"):
            self.on_refresh()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REFRESH_INTERVAL_S, self.refresh_periodically)

    def refresh(self) -> None:
        """Look for peers, and report if the first has appeared or the last has ended."""
        has_peer = self.has_slot and self._peers_exist()
        if has_peer != self.has_peer:
            self.has_peer = has_peer
            self.peer_started_first = self.peer_started_first and has_peer
            self._on_peer_change(has_peer)

    def read_peers(self) -> dict[int, str] | None:
        """Return the peers' lines by slot, or None if they cannot be read; `refresh` reports changes."""
        try:
            lines = {
                number: read_slot(path) for number, path in enumerate(self.paths) if number != self.own_slot
            }
        except OSError:
            return None
        self.peer_lines = {number: line for number, line in lines.items() if line is not None}
        return self.peer_lines

    def stop(self) -> None:
        """Stop looking for peers; the slot stays locked until the process and its connections end."""
        if self._timer is not None:
            self._timer.cancel()

    def release(self) -> None:
        """Unlock the slot."""
        if self._lock_fd != NO_SLOT:
            os.close(self._lock_fd)
            self._lock_fd = NO_SLOT
            self.own_slot = NO_SLOT


def read_slot(path: Path) -> str | None:
    """Return the line of the process that holds a slot, or None if the slot is free. Raises OSError.

    The check takes a shared lock for a moment, which only a process that is acquiring a slot can run into.
    """
    try:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return os.pread(fd, MAX_LINE_BYTES, 0).decode("latin-1")
    finally:
        os.close(fd)
    return None
