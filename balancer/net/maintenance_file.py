"""The backends in maintenance: one small file that all processes of a node share."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import logging
import math
import os
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from balancer.defects import DefectLog
from balancer.errors import BalancerError
from balancer.net.shared_files import write_atomically

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 0.1
LOCK_TIMEOUT_S = 0.6  # of the 1 s that a caller waits
LOCK_RETRY_S = 0.005


class MaintenanceError(BalancerError):
    """The file of bans could not be changed, so nothing is."""

    code = "BAN01"
    remedy = "see that $TMPDIR can be written and has room, then call again"


class MaintenanceFileError(BalancerError):
    """The file of bans is not what it should be; what was known of it stays in force."""

    code = "BAN02"
    remedy = "see that $TMPDIR can be written; the next maint or ready writes the file anew"


@dataclass(slots=True, frozen=True)
class MaintenanceRecord:
    """The backends that are out, and when others were put back (ms, Unix time)."""

    banned: frozenset[str] = frozenset()
    lifted_at_ms: Mapping[str, float] = field(default_factory=dict)

    def encode(self) -> str:
        """Return the text of the file."""
        return json.dumps({"out": sorted(self.banned), "back": dict(self.lifted_at_ms)})


@dataclass(slots=True, frozen=True)
class FileStamp:
    """What changes whenever the file is replaced."""

    inode: int
    modified_ns: int
    size: int


OnChange = Callable[[str, bool, float], None]
"""Told of each change: backend, whether it is out, since when (ms; 0 for a backend that is out)."""


def parse_record(text: str) -> MaintenanceRecord:
    """Return the record in the text of the file. Raises ValueError."""
    table: Any = json.loads(text)
    if not isinstance(table, dict) or not isinstance(table.get("out"), list):
        raise ValueError("not a table of bans")
    lifted_at_ms = table.get("back")
    if not isinstance(lifted_at_ms, dict) or not all(isinstance(name, str) for name in table["out"]):
        raise ValueError("not a table of bans")
    for time in lifted_at_ms.values():
        is_number = isinstance(time, (int, float)) and not isinstance(time, bool)
        if not is_number or not 0 <= time <= sys.float_info.max:
            raise ValueError("not a time")
    times = {name: float(time) for name, time in lifted_at_ms.items()}
    return MaintenanceRecord(frozenset(table["out"]), times)


class MaintenanceFile:
    """The file, and what this process last read in it."""

    def __init__(self, shared_path: Path, on_change: OnChange) -> None:
        """Make the file's reader, which reads nothing before `start`."""
        self.path = shared_path.with_suffix(".bans")
        self.record = MaintenanceRecord()
        self.lock_path = shared_path.with_suffix(".lock")
        self._on_change = on_change
        self._stamp_read: FileStamp | None = None
        self._is_fault_logged = False
        self._defects = DefectLog(log, "bans")
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self,
        has_peer: bool,
        saved_bans: Mapping[str, float] | None = None,
        saved_lifts: Mapping[str, float] | None = None,
    ) -> None:
        """Read the file from now on, which another running process of the node (`has_peer`) keeps up to date.

        `saved_bans` and `saved_lifts` were saved elsewhere, with their times (ms, Unix time): a backend that
        was saved as out is, unless the file has a later return.
        """
        saved_bans = saved_bans or {}
        saved_lifts = saved_lifts or {}
        if not has_peer and (saved_bans or saved_lifts or not self.path.exists()):
            if self.path.exists():
                self.refresh()
            record = self._merged(saved_bans, saved_lifts)
            try:
                self._write(record)
            except OSError as err:
                self._log_fault(f"cannot be written: {err}")
            self._apply(record)
        self._refresh_periodically()

    def _merged(self, saved_bans: Mapping[str, float], saved_lifts: Mapping[str, float]) -> MaintenanceRecord:
        current = self.record
        added = {
            name for name, time in saved_bans.items() if current.lifted_at_ms.get(name, -math.inf) <= time
        }
        out = current.banned | added
        lifted_at_ms = {**saved_lifts, **current.lifted_at_ms}
        return MaintenanceRecord(out, {name: time for name, time in lifted_at_ms.items() if name not in out})

    def stop(self) -> None:
        """Read the file no more."""
        if self._timer is not None:
            self._timer.cancel()

    def is_known(self, backend: str) -> bool:
        """Return whether a backend is out, or was."""
        return backend in self.record.banned or backend in self.record.lifted_at_ms

    async def set_ban(
        self,
        backend: str,
        is_banned: bool,
        now: float,
        retention_ms: float,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """Take a backend out or put it back, in the file first.

        Args:
            backend: its id.
            is_banned: whether it is taken out.
            now: Unix time in ms.
            retention_ms: how long times of return are kept.
            is_current: is asked once the file is locked; where it returns False nothing is changed.

        Raises:
            MaintenanceError: the file cannot be written; nothing is changed.
        """
        try:
            async with self._locked():
                self.refresh()  # the other process may have written meanwhile
                if is_banned == (backend in self.record.banned) or not is_current():
                    return
                record = self._changed(backend, is_banned, now, retention_ms)
                self._write(record)
                self._apply(record)
        except OSError as err:
            raise MaintenanceError(str(err)) from None

    async def apply_fleet_change(
        self, backend: str, is_banned: bool, since: float, retention_ms: float
    ) -> None:
        """Apply a change that the fleet tells; if the file cannot be written it holds in this process."""
        try:
            await self.set_ban(backend, is_banned, since, retention_ms)
        except MaintenanceError as err:
            self._log_fault(f"cannot be written: {err}")
            self._apply(self._changed(backend, is_banned, since, retention_ms))

    def _changed(self, backend: str, is_banned: bool, now: float, retention_ms: float) -> MaintenanceRecord:
        current = self.record
        lifted_at_ms = {
            name: time
            for name, time in current.lifted_at_ms.items()
            if now - time < retention_ms and name != backend
        }
        if is_banned:
            return MaintenanceRecord(current.banned | {backend}, lifted_at_ms)
        return MaintenanceRecord(current.banned - {backend}, lifted_at_ms | {backend: now})

    @contextlib.asynccontextmanager
    async def _locked(self) -> AsyncIterator[None]:
        """Hold the lock of the file. Raises OSError, MaintenanceError."""
        fd = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            deadline = self._loop.time() + LOCK_TIMEOUT_S
            while True:
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if self._loop.time() > deadline:
                        raise MaintenanceError("another process holds the lock") from None
                    await asyncio.sleep(LOCK_RETRY_S)
            yield
        finally:
            os.close(fd)

    def _write(self, record: MaintenanceRecord) -> None:
        write_atomically(self.path, record.encode())
        self._stamp_read = self._stamp()
        self._is_fault_logged = False

    def _stamp(self) -> FileStamp | None:
        try:
            found = self.path.stat()
        except OSError:
            return None
        return FileStamp(found.st_ino, found.st_mtime_ns, found.st_size)

    def _refresh_periodically(self) -> None:
        self._timer = self._loop.call_later(REFRESH_INTERVAL_S, self._refresh_periodically)
        with self._defects.contain("reading the file"):
            self.refresh()

    def refresh(self) -> None:
        """Read the file if it was replaced."""
        stamp = self._stamp()
        if stamp is not None and stamp == self._stamp_read:
            return
        try:
            record = parse_record(self.path.read_text("utf-8"))
        except (OSError, ValueError, RecursionError) as err:
            self._log_fault(f"cannot be read: {err}")
            self._stamp_read = stamp
            return
        self._stamp_read = stamp
        self._is_fault_logged = False
        self._apply(record)

    def _log_fault(self, text: str) -> None:
        """Log one warning; what was known stays in force, and the next change writes the file anew."""
        if not self._is_fault_logged:
            log.warning("bans: %s", MaintenanceFileError(f"{self.path.name} {text:.200}").summary)
        self._is_fault_logged = True

    def _apply(self, record: MaintenanceRecord) -> None:
        """Put a record in force and tell of its changes."""
        former = self.record
        self.record = record
        for name in sorted(record.banned - former.banned):
            self._tell(name, True, 0.0)
        for name, time in sorted(record.lifted_at_ms.items()):
            if name not in record.banned and former.lifted_at_ms.get(name) != time:
                self._tell(name, False, time)
        # A backend that is out no more without a time of return: the file was made anew by hand.
        for name in sorted(former.banned - record.banned - record.lifted_at_ms.keys()):
            self._tell(name, False, 0.0)

    def _tell(self, name: str, is_banned: bool, since: float) -> None:
        """Tell of a change; where that fails those of other backends are told all the same."""
        with self._defects.contain("a change of a ban"):
            self._on_change(name, is_banned, since)
