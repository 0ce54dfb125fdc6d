"""The file layer under the store: the few calls that a crash can fall between. `RealFiles` is the system's.

A file is made, appended to and synced; names are made, renamed and removed, and last once the directory was
synced. Nothing is ever written in the middle of a file, and no file is cut: a store on this layer needs no
more, and what a power cut can leave behind stays enumerable (`balancer/sim/disk.py`).
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """A file that is being written, at its end."""

    def write(self, data: bytes) -> None:
        """Append; raises OSError, and then some of it may be there."""

    def sync(self) -> None:
        """What was written outlasts a power cut from here on; after an OSError nothing is known of it."""

    def close(self) -> None:
        """Write no more."""


class Files(Protocol):
    """One directory. All raise OSError."""

    def names(self) -> list[str]:
        """What is there, in order."""

    def read(self, name: str) -> bytes:
        """A whole file."""

    def create(self, name: str) -> File:
        """A new, empty file; FileExistsError where it is there."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any other that has it."""

    def remove(self, name: str) -> None:
        """Take a file away."""

    def sync_names(self) -> None:
        """Names as they are outlast a power cut from here on."""

    def locked(self) -> contextlib.AbstractContextManager[None]:
        """Alone among the processes that open this directory; raises BlockingIOError where another one is."""


class RealFile:
    """A file of the system."""

    def __init__(self, path: Path) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        """Append all of it."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def sync(self) -> None:
        """fdatasync: the data, and the size by which it is found."""
        os.fdatasync(self.fd)

    def close(self) -> None:
        """Once is enough."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


class RealFiles:
    """A directory of the system."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def make(self) -> None:
        """Make it, with its parents, where it is missing."""
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """What is there, in order."""
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        """A whole file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> File:
        """A new, empty file."""
        return RealFile(self.path / name)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Take a file away."""
        (self.path / name).unlink()

    def sync_names(self) -> None:
        """fsync of the directory."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """An flock on `lock`, which goes with the process."""
        with self._flock("lock", fcntl.LOCK_EX):
            yield

    @contextlib.contextmanager
    def _flock(self, name: str, kind: int) -> Iterator[None]:
        fd = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, kind | fcntl.LOCK_NB)
            yield
        finally:
            os.close(fd)

    def used(self) -> contextlib.AbstractContextManager[None]:
        """For as long as a process of the node lives; two of them may."""
        return self._flock("users", fcntl.LOCK_SH)

    def unused(self) -> contextlib.AbstractContextManager[None]:
        """For those that may not meet a process of the node; raises BlockingIOError where one lives."""
        return self._flock("users", fcntl.LOCK_EX)
