"""Slots of the processes of one node, which run side by side while a new version takes over.

Each process holds a lock on a slot file, which ends with the process, whatever ends it, and may leave a line
in it for the others.
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
MAX_TEXT_BYTES = 128  # of a slot's line that are read
SLOT_COUNT = 4  # two processes, or more if upgrades follow one another closely
NO_SLOT = -1


class SlotError(BalancerError):
    """As many processes of this node run as may."""

    code = "NOD02"
    remedy = "wait until one of them has ended, or send SIGTERM to the oldest"


class ProcessSlots:
    """This process's slot, and what the other processes' slots show."""

    def __init__(self, path: Path, on_peer_change: Callable[[bool], None]) -> None:
        """Make it without a slot; `on_peer_change` is called when a peer appears, and when none is left."""
        self.paths = [path.with_suffix(f".slot{number}") for number in range(SLOT_COUNT)]
        self.on_refresh: Callable[[], None] = lambda: None
        self.peer_texts: dict[int, str] = {}  # the lines read last, by slot
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
        """Take a slot; returns whether another process of this node runs. Raises SlotError."""
        try:
            self._lock_free_slot()
        except OSError as err:  # no process can be seen from here, nor see this one
            log.warning("no slot among the node's processes: %s", err)
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
            os.ftruncate(fd, 0)  # the line of a process that has ended
            return
        raise SlotError(f"{SLOT_COUNT} processes of this node run already")

    def write_text(self, text: str) -> bool:
        """Write this process's line, which is always as long; returns whether it was written."""
        try:
            line = text.encode()
            return os.pwrite(self._lock_fd, line, 0) == len(line)
        except OSError as err:
            log.debug("slot %d: %s", self.own_slot, err)
            return False

    def _peers_exist(self) -> bool:
        self.read_peers()  # if no descriptor is free to look with, what was seen last holds
        return bool(self.peer_texts)

    def refresh_periodically(self) -> None:
        """Look for peers now and every `REFRESH_INTERVAL_S`."""
        self._schedule()
        with self._defects.contain("the look for other processes"):
            self.refresh()
        with self._defects.contain("the refresh"):
            self.on_refresh()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REFRESH_INTERVAL_S, self.refresh_periodically)

    def refresh(self) -> None:
        """Look for peers, and tell of a change."""
        has_peer = self.has_slot and self._peers_exist()
        if has_peer != self.has_peer:
            self.has_peer = has_peer
            self.peer_started_first = self.peer_started_first and has_peer
            self._on_peer_change(has_peer)

    def read_peers(self) -> dict[int, str] | None:
        """Return the peers' lines by slot, or None if they cannot be seen; `refresh` tells of a change."""
        try:
            texts = {
                number: read_slot(path) for number, path in enumerate(self.paths) if number != self.own_slot
            }
        except OSError:
            return None
        self.peer_texts = {number: text for number, text in texts.items() if text is not None}
        return self.peer_texts

    def stop(self) -> None:
        """Look no more. The slot stays taken until the process ends, as its connections do."""
        if self._timer is not None:
            self._timer.cancel()

    def release(self) -> None:
        """Give up the slot."""
        if self._lock_fd != NO_SLOT:
            os.close(self._lock_fd)
            self._lock_fd = NO_SLOT
            self.own_slot = NO_SLOT


def read_slot(path: Path) -> str | None:
    """Return the line of the process that holds a slot, None if none does. Raises OSError.

    The shared lock that this takes for a moment is in the way of a process that starts only.
    """
    try:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return os.pread(fd, MAX_TEXT_BYTES, 0).decode("latin-1")
    finally:
        os.close(fd)
    return None
