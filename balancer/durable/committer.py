"""Group commit: a writer thread writes queued records, and all records of a batch share one sync.

The event loop never waits for the disk. After a failure the directory is reopened after a delay.
"""

from __future__ import annotations

import asyncio
import logging
import math
import os
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from balancer.durable.filesystem import Directory
from balancer.durable.health import Health, NotPersistedError, WriterSupersededError
from balancer.durable.reader import DirectoryContents
from balancer.durable.state import DurableState, replay
from balancer.durable.writer import FencedError, LogWriter
from balancer.errors import BalancerError

log = logging.getLogger(__name__)

MAX_QUEUED_RECORDS = 1024
# Process exit must not wait for a disk that hangs.
CLOSE_TIMEOUT_S = 0.1
REOPEN_DELAY_S = 5.0
# Lifted bans are kept for longer than any slow start takes.
LIFTED_BAN_RETENTION_MS = 3_600_000.0
DIRECTORY_ID_BYTES = 8
MS_PER_S = 1000
SUPERSEDED = "another process of this node has taken over the state directory"


@dataclass(slots=True)
class QueuedRecord:
    """An encoded record that waits to be written.

    `done` completes once the record is synced. Without `done` the record may be lost in a power cut.
    """

    data: bytes
    done: asyncio.Future[None] | None


@dataclass(slots=True)
class CommitStatistics:
    """Counts of written records, syncs and dropped records, and the duration of the slowest sync."""

    records: int = 0
    syncs: int = 0
    dropped: int = 0
    slowest_sync_s: float = 0.0


class GroupCommitter:
    """Runs the writer thread; `state` may only be changed by that thread once it has started."""

    def __init__(self, directory: Directory, node: str, health: Health, clock: Callable[[], float]) -> None:
        """Create a committer whose thread is not running; `clock` returns monotonic time in s."""
        self.state = DurableState()
        self.writer: LogWriter | None = None
        self.is_fenced = False
        self.statistics = CommitStatistics()
        self._directory = directory
        self._node = node
        self._health = health
        self._clock = clock
        self._last_open_s = -math.inf
        self._is_takeover_requested = False
        self._queue: queue.SimpleQueue[QueuedRecord | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def is_running(self) -> bool:
        """Return whether the writer thread has been started."""
        return self._thread is not None

    @property
    def is_idle(self) -> bool:
        """Return whether the queue holds no record."""
        return self._queue.empty()

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached `MAX_QUEUED_RECORDS`."""
        return self._queue.qsize() >= MAX_QUEUED_RECORDS

    def take_over(self) -> None:
        """Take the directory over from its current writer, and start the writer thread if necessary."""
        self.is_fenced = False
        self._is_takeover_requested = True
        if self._thread is None and self._health.disabled_by is None:
            self._thread = threading.Thread(target=self._run, name="state", daemon=True)
            self._thread.start()

    def enqueue(self, record: QueuedRecord) -> None:
        """Queue a record for the writer thread."""
        self._queue.put(record)

    def close(self) -> None:
        """Write the queued records and stop the thread, waiting at most `CLOSE_TIMEOUT_S`."""
        if self._thread is not None:
            self._queue.put(None)
            self._thread.join(CLOSE_TIMEOUT_S)
            self._thread = None

    # --- The methods below run on the writer thread.

    def _run(self) -> None:
        while True:
            batch: list[QueuedRecord] = []
            item = self._queue.get()
            while item is not None:
                batch.append(item)
                if self._queue.empty():
                    break
                item = self._queue.get()
            if batch:
                error = self._commit(batch)
                for record in batch:
                    if record.done is not None:
                        self._loop.call_soon_threadsafe(_complete, record.done, error)
            if item is None:
                if self.writer is not None:
                    self.writer.close()
                return

    def _commit(self, batch: list[QueuedRecord]) -> BalancerError | None:
        """Write a batch of records; return the error if it could not be persisted, or None."""
        if self._health.disabled_by is not None:
            return self._health.disabled_by
        if self.is_fenced:
            return WriterSupersededError(SUPERSEDED)
        try:
            writer = self._open_writer()
            if writer is None:
                return NotPersistedError("the disk has failed recently, writes are not retried yet")
            self._append(writer, batch)
            if writer.needs_rotation:
                self.state.prune_lifted_bans(time.time() * MS_PER_S - LIFTED_BAN_RETENTION_MS)
                writer.rotate(self.state.encode_snapshot())
        except FencedError:
            self.is_fenced = True
            log.info("state: %s", SUPERSEDED)
            return WriterSupersededError(SUPERSEDED)
        except OSError as err:
            return self._health.report_failure(err)
        except BalancerError as err:
            self._health.disable(err)
            return err
        return None

    def _append(self, writer: LogWriter, batch: list[QueuedRecord]) -> None:
        sync = any(record.done is not None for record in batch)
        start_s = self._clock()
        writer.append([record.data for record in batch], sync)
        if sync:
            self.statistics.syncs += 1
            self.statistics.slowest_sync_s = max(self.statistics.slowest_sync_s, self._clock() - start_s)
        self.statistics.records += len(batch)
        for record in batch:
            self.state.apply(record.data)

    def _open_writer(self) -> LogWriter | None:
        """Return the writer, reopening it after a failure or for a takeover; None during the reopen delay."""
        writer = self.writer
        if writer is not None and not writer.has_failed:
            # Another process may have become the writer since the last write of this one. A takeover request
            # then has to reopen the directory.
            if not (self._is_takeover_requested and writer.is_superseded()):
                self._is_takeover_requested = False
                return writer
            writer.has_failed = True
        now_s = self._clock()
        if now_s - self._last_open_s < REOPEN_DELAY_S:
            return None
        self._last_open_s = now_s
        if writer is not None:
            if not self._is_takeover_requested and writer.is_superseded():
                # Reopening after a disk failure must not take the directory back from a successor.
                raise FencedError
            writer.close()
        new_directory_id = os.urandom(DIRECTORY_ID_BYTES).hex()
        self.writer = LogWriter(self._directory, self._node, new_directory_id, self._recover)
        self._is_takeover_requested = False
        self._last_open_s = -math.inf
        self._health.report_success()
        return self.writer

    def _recover(self, contents: DirectoryContents) -> bytes:
        self.state = replay(contents.snapshot, contents.records)
        return self.state.encode_snapshot()


def _complete(done: asyncio.Future[None], error: BalancerError | None) -> None:
    if done.cancelled():
        return
    if error is not None:
        done.set_exception(error)
    else:
        done.set_result(None)
