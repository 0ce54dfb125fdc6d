"""The maintenance bans of a node, in a small file that all its processes share."""

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
LOCK_TIMEOUT_S = 0.6  # A caller of the console waits 1 s, of which the lock may take 0.6 s.
LOCK_RETRY_INTERVAL_S = 0.005


class MaintenanceError(BalancerError):
    """The file of maintenance bans could not be changed, so the ban is unchanged."""

    code = "BAN01"
    remedy = "make sure that $TMPDIR is writable and has free space, then repeat the call"


class MaintenanceFileError(BalancerError):
    """The file of maintenance bans cannot be read or written; the known bans stay in force."""

    code = "BAN02"
    remedy = "make sure that $TMPDIR is writable; the next maint or ready call rewrites the file"


@dataclass(slots=True, frozen=True)
class MaintenanceRecord:
    """The banned backends, and when the bans of others were lifted (Unix time in ms)."""

    banned: frozenset[str] = frozenset()
    lifted_at_ms: Mapping[str, float] = field(default_factory=dict)

    def encode(self) -> str:
        """Return the text of the file."""
        return json.dumps({"out": sorted(self.banned), "back": dict(self.lifted_at_ms)})


@dataclass(slots=True, frozen=True)
class FileStamp:
    """File attributes of which at least one changes when the file is replaced."""

    inode: int
    modified_ns: int
    size: int


OnChange = Callable[[str, bool, float], None]
"""Called with each change: backend, whether it is banned, and when the ban was lifted (ms), 0 for a ban."""


def parse_record(text: str) -> MaintenanceRecord:
    """Parse the text of the file. Raises ValueError if it is malformed."""
    table: Any = json.loads(text)
    if not isinstance(table, dict) or not isinstance(table.get("out"), list):
        raise ValueError("expected an object with an array `out`")
    lifted_at_ms = table.get("back")
    if not isinstance(lifted_at_ms, dict) or not all(isinstance(name, str) for name in table["out"]):
        raise ValueError("expected strings in the array `out` and an object `back`")
    for time in lifted_at_ms.values():
        is_number = isinstance(time, (int, float)) and not isinstance(time, bool)
        if not is_number or not 0 <= time <= sys.float_info.max:
            raise ValueError("expected numbers that are not negative in the object `back`")
    times = {name: float(time) for name, time in lifted_at_ms.items()}
    return MaintenanceRecord(frozenset(table["out"]), times)


class MaintenanceFile:
    """The shared file of maintenance bans, and the record that this process last read from it."""

    def __init__(self, shared_path: Path, on_change: OnChange) -> None:
        """Create the access to the file, which is not read before `start`."""
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
        """Start to read the file periodically.

        If no other process of the node is running (`has_peer`), first merge into the file the bans and lifts
        that were saved elsewhere, with their times (Unix time in ms). A saved ban counts unless the file has
        a later lift.
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
        banned = current.banned | added
        lifted_at_ms = {**saved_lifts, **current.lifted_at_ms}
        return MaintenanceRecord(
            banned, {name: time for name, time in lifted_at_ms.items() if name not in banned}
        )

    def stop(self) -> None:
        """Stop reading the file of maintenance bans."""
        if self._timer is not None:
            self._timer.cancel()

    def is_known(self, backend: str) -> bool:
        """Return whether the file has a ban of the backend, or a lift."""
        return backend in self.record.banned or backend in self.record.lifted_at_ms

    async def set_ban(
        self,
        backend: str,
        is_banned: bool,
        now: float,
        retention_ms: float,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """Set or lift the ban of a backend, in the file first.

        Args:
            backend: Id of the backend.
            is_banned: Whether the ban is set, else it is lifted.
            now: Unix time in ms.
            retention_ms: How long the times of lifts are kept.
            is_current: Called once the file is locked; if it returns False, nothing is changed.

        Raises:
            MaintenanceError: The file cannot be written, and nothing is changed.
        """
        try:
            async with self._locked():
                # Another process may have written the file since it was last read.
                self.refresh()
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
        """Apply a change made elsewhere in the fleet, in this process alone if the file cannot be written."""
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
        """Hold the lock of the file. Raises OSError, or MaintenanceError after LOCK_TIMEOUT_S."""
        fd = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            deadline = self._loop.time() + LOCK_TIMEOUT_S
            while True:
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if self._loop.time() > deadline:
                        raise MaintenanceError(
                            f"another process has held the lock file for over {LOCK_TIMEOUT_S:g} s"
                        ) from None
                    await asyncio.sleep(LOCK_RETRY_INTERVAL_S)
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
        """Read the file of maintenance bans if it has been replaced."""
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
        """Log a warning once, until the file is read or written successfully again."""
        if not self._is_fault_logged:
            log.warning("bans: %s", MaintenanceFileError(f"{self.path.name} {text:.200}").summary)
        self._is_fault_logged = True

    def _apply(self, record: MaintenanceRecord) -> None:
        """Put a record of maintenance bans in force and report its changes."""
        previous = self.record
        self.record = record
        for name in sorted(record.banned - previous.banned):
            self._report(name, True, 0.0)
        for name, time in sorted(record.lifted_at_ms.items()):
            if name not in record.banned and previous.lifted_at_ms.get(name) != time:
                self._report(name, False, time)
        # A ban that is missing without the time of a lift means that someone has recreated the file.
        for name in sorted(previous.banned - record.banned - record.lifted_at_ms.keys()):
            self._report(name, False, 0.0)

    def _report(self, name: str, is_banned: bool, since: float) -> None:
        """Report a change; an exception in the callback does not prevent reports about other backends."""
        with self._defects.contain("reporting a changed ban"):
            self._on_change(name, is_banned, since)
