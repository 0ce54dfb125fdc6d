"""File system interface of the write-ahead log, and its implementation on the operating system.

The interface has only the few operations between which a crash can fall. Files are created, appended to and
synced; names are created, renamed and removed, and survive a power cut once the directory has been synced.
Nothing is written in the middle of a file and no file is truncated, so that the states that a power cut can
leave stay enumerable (see `balancer/sim/disk.py`).
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
WRITER_LOCK_NAME = "lock"
USERS_LOCK_NAME = "users"
CLOSED_DESCRIPTOR = -1


class AppendFile(Protocol):
    """A new file that is being appended to."""

    def write(self, data: bytes) -> None:
        """Append all of `data`.

        Raises:
            OSError: Any part of `data` may have been appended.
        """

    def sync(self) -> None:
        """Make everything written so far survive a power cut.

        Raises:
            OSError: It is unknown what survives.
        """

    def close(self) -> None:
        """Close the file; closing it again has no effect."""


class Directory(Protocol):
    """One directory. All operations raise OSError."""

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def create(self, name: str) -> AppendFile:
        """Create an empty file; raise FileExistsError if there is one of that name."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any other file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make all names as they are now survive a power cut."""

    def writer_lock(self) -> contextlib.AbstractContextManager[None]:
        """Hold the lock that serialises opening writers.

        Raises:
            BlockingIOError: Another process holds it.
        """


class SystemFile:
    """An append-only file of the operating system."""

    def __init__(self, path: Path) -> None:
        """Create the file; raise FileExistsError if there is one."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, FILE_MODE)

    def write(self, data: bytes) -> None:
        """Append all of `data`."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        """Flush the data and the file size with fdatasync."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file; closing it again has no effect."""
        if self._descriptor != CLOSED_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = CLOSED_DESCRIPTOR


class SystemDirectory:
    """A directory of the operating system."""

    def __init__(self, path: Path) -> None:
        """Refer to a directory, which need not exist yet."""
        self.path = path

    def make(self) -> None:
        """Create the directory and its parents if they are missing."""
        self.path.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> AppendFile:
        """Create an empty file."""
        return SystemFile(self.path / name)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any other file of the new name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self.path / name).unlink()

    def sync_names(self) -> None:
        """Flush the directory with fsync."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @contextlib.contextmanager
    def writer_lock(self) -> Iterator[None]:
        """Hold an flock that ends with the process."""
        with self._flock(WRITER_LOCK_NAME, fcntl.LOCK_EX):
            yield

    def shared_use(self) -> contextlib.AbstractContextManager[None]:
        """Mark the directory as used by a live process; several processes of a node may."""
        return self._flock(USERS_LOCK_NAME, fcntl.LOCK_SH)

    def exclusive_use(self) -> contextlib.AbstractContextManager[None]:
        """Keep processes of the node out.

        Raises:
            BlockingIOError: A process of the node uses the directory.
        """
        return self._flock(USERS_LOCK_NAME, fcntl.LOCK_EX)

    @contextlib.contextmanager
    def _flock(self, name: str, operation: int) -> Iterator[None]:
        descriptor = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, operation | fcntl.LOCK_NB)
            yield
        finally:
            os.close(descriptor)
