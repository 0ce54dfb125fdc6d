"""File system interface of the write-ahead log, and its implementation for the operating system.

The interface is limited to a few operations. Files are created, appended to and synced. File names are
created, renamed and removed, and survive a power cut once the directory has been synced. Files are never
truncated or overwritten in place, so that all states that a power cut can leave behind can be enumerated in
tests (see `balancer/sim/disk.py`).
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
    """A new file that is open for appending."""

    def write(self, data: bytes) -> None:
        """Append all of `data`.

        Raises:
            OSError: The write failed; any part of `data` may have been appended.
        """

    def sync(self) -> None:
        """Make all data written so far survive a power cut.

        Raises:
            OSError: The sync failed; it is unknown which data survives.
        """

    def close(self) -> None:
        """Close the file; further calls have no effect."""


class Directory(Protocol):
    """A directory of files; every operation may raise OSError."""

    def list_names(self) -> list[str]:
        """Return the names of all files in the directory, sorted."""

    def read(self, name: str) -> bytes:
        """Return the contents of the named file."""

    def create(self, name: str) -> AppendFile:
        """Create an empty file; raise FileExistsError if the name exists."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any existing file with the new name."""

    def remove(self, name: str) -> None:
        """Remove the named file."""

    def sync_names(self) -> None:
        """Make the current names of all files survive a power cut."""

    def writer_lock(self) -> contextlib.AbstractContextManager[None]:
        """Hold the lock under which a writer takes the directory over.

        Raises:
            BlockingIOError: Another process holds the lock.
        """


class SystemFile:
    """An append-only file on the file system of the operating system."""

    def __init__(self, path: Path) -> None:
        """Create the file for appending; raise FileExistsError if it exists."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, FILE_MODE)

    def write(self, data: bytes) -> None:
        """Append all of `data`, repeating partial writes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        """Flush the data and the file size with fdatasync."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file; further calls have no effect."""
        if self._descriptor != CLOSED_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = CLOSED_DESCRIPTOR


class SystemDirectory:
    """A directory on the file system of the operating system."""

    def __init__(self, path: Path) -> None:
        """Refer to the directory at `path`, which need not exist yet."""
        self.path = path

    def make(self) -> None:
        """Create the directory and its parents if they are missing."""
        self.path.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)

    def list_names(self) -> list[str]:
        """Return the names of all files in the directory, sorted."""
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        """Return the contents of the named file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> AppendFile:
        """Create an empty file for appending."""
        return SystemFile(self.path / name)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any existing file with the new name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove the named file."""
        (self.path / name).unlink()

    def sync_names(self) -> None:
        """Flush the directory entries with fsync."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @contextlib.contextmanager
    def writer_lock(self) -> Iterator[None]:
        """Hold an exclusive flock, which the kernel releases if the process dies."""
        with self._flock(WRITER_LOCK_NAME, fcntl.LOCK_EX):
            yield

    def shared_use(self) -> contextlib.AbstractContextManager[None]:
        """Hold a shared lock that marks the directory as in use; several processes of a node may hold it."""
        return self._flock(USERS_LOCK_NAME, fcntl.LOCK_SH)

    def exclusive_use(self) -> contextlib.AbstractContextManager[None]:
        """Hold an exclusive lock that keeps all processes of the node out of the directory.

        Raises:
            BlockingIOError: A process of the node is using the directory.
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
