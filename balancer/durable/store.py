"""Asynchronous interface to the durable state of a node's process.

A failing disk does not stop the node: `append` raises, the failure is counted and logged once per outage, and
the directory is reopened later.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable
from pathlib import Path

from balancer.durable.committer import GroupCommitter, QueuedRecord
from balancer.durable.filesystem import Directory, SystemDirectory
from balancer.durable.health import DirectoryUnusableError, Health, NotPersistedError
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.records import Record, encode_record
from balancer.durable.state import DurableState, replay
from balancer.errors import BalancerError

log = logging.getLogger(__name__)

MS_PER_S = 1000


class DurableStore:
    """Durable state of a process: `recover` reads it, `take_over` makes the process its writer."""

    def __init__(
        self, directory: Directory, location: str, node: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Create a store without accessing the disk; `location` names the directory in log lines."""
        self.directory = directory
        self.node = node
        self.health = Health(location)
        self.committer = GroupCommitter(directory, node, self.health, clock)
        # Whether acknowledged records are missing from the directory.
        self.has_lost_records = False
        # Whether the directory has never contained a record.
        self.is_new = True
        # Holds the lock that marks the directory as used by a live process.
        self._shared_lock = contextlib.ExitStack()

    @classmethod
    def open(cls, path: Path, node: str, clock: Callable[[], float] = time.monotonic) -> DurableStore:
        """Return the store of the directory at `path`, which is created if it is missing.

        If the directory cannot be created or locked, the returned store is disabled.
        """
        directory = SystemDirectory(path)
        store = cls(directory, str(path), node, clock)
        try:
            directory.make()
            store._shared_lock.enter_context(directory.shared_use())
        except OSError as err:
            store.health.disable(
                DirectoryUnusableError(f"the directory cannot be created or locked: {err.strerror}")
            )
        return store

    @property
    def state(self) -> DurableState:
        """Return the current state, which the writer thread modifies."""
        return self.committer.state

    @property
    def disabled_by(self) -> BalancerError | None:
        """Return the error that has disabled writing for the lifetime of the process, or None."""
        return self.health.disabled_by

    @property
    def is_idle(self) -> bool:
        """Return whether no record is waiting to be written."""
        return self.committer.is_idle

    def recover(self) -> DurableState:
        """Return the state that an earlier process left; log an unreadable one and return empty state."""
        if self.disabled_by is not None:
            return self.state
        try:
            contents = read_directory(self.directory, self.node, all_generations=False)
            self.committer.state = replay(contents.snapshot, contents.records)
        except BalancerError as err:
            self.health.disable(err)
        except OSError as err:
            self.health.report_failure(err)
        else:
            self.has_lost_records = contents.has_lost_records
            self.is_new = not contents.last_number and not contents.has_lost_records
            self._log_recovery(contents)
        return self.state

    def _log_recovery(self, contents: DirectoryContents) -> None:
        location = self.health.location
        problems = contents.problems
        if problems:
            more = f" and {len(problems) - 1} more" if len(problems) > 1 else ""
            loss = (
                "acknowledged records are lost"
                if contents.has_lost_records
                else "no acknowledged record is lost"
            )
            log.warning("state: %s: %s%s; %s", location, problems[0], more, loss)
        log.info(
            "state: %s: replayed %d records: %d backends in maintenance, endpoint list revision %d",
            location,
            contents.last_number,
            len(self.state.banned),
            self.state.list_revision,
        )

    def reread(self) -> DurableState:
        """Return the state now on disk, whichever process wrote it, or an empty state if it is unreadable."""
        try:
            contents = read_directory(self.directory, self.node, all_generations=False)
            return replay(contents.snapshot, contents.records)
        except (BalancerError, OSError) as err:
            log.info(
                "state: %s: the directory cannot be read again, assuming empty state: %s",
                self.health.location,
                err,
            )
            return DurableState()

    def take_over(self) -> None:
        """Become the writer, replacing a predecessor or a successor that has ended."""
        self.committer.take_over()

    async def append(self, record: Record) -> None:
        """Append a record and return once it survives a power cut.

        Raises:
            BalancerError: The record may not be on disk.
        """
        await self.submit(record)

    def submit(self, record: Record) -> asyncio.Future[None]:
        """Queue a record; the returned future completes once it survives a power cut. Order is kept."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.disabled_by is not None:
            done.set_exception(self.disabled_by)
        elif not self.committer.is_running:
            done.set_exception(NotPersistedError("the state directory is not open yet"))
        elif self.committer.is_full:
            done.set_exception(NotPersistedError("the queue of records to be written is full"))
        else:
            self.committer.enqueue(QueuedRecord(encode_record(record), done))
        return done

    def append_unsynced(self, record: Record) -> None:
        """Append a record that may be lost in a power cut; drop it if the queue is full."""
        committer = self.committer
        if self.disabled_by is not None or not committer.is_running or committer.is_fenced:
            return
        if committer.is_full:
            committer.statistics.dropped += 1
            return
        committer.enqueue(QueuedRecord(encode_record(record), None))

    def close(self) -> None:
        """Write the queued records and stop, without waiting for a disk that hangs."""
        self.committer.close()
        self._shared_lock.close()

    def stats(self) -> dict[str, object]:
        """Return the `durable` object of `/stats`."""
        writer = self.committer.writer
        statistics = self.committer.statistics
        return {
            "directory": self.health.location,
            "writes": writer is not None and not writer.has_failed,
            "off": "" if self.disabled_by is None else self.disabled_by.summary,
            "fenced": self.committer.is_fenced,
            "fence": writer.fence if writer is not None else 0,
            "records": statistics.records,
            "syncs": statistics.syncs,
            "slowest_sync_ms": round(statistics.slowest_sync_s * MS_PER_S, 1),
            "failures": self.health.failures,
            "dropped": statistics.dropped,
        }
