"""The store of one process of a node: a thread writes, the event loop never waits for a disk.

Whoever needs a record to last awaits `keep`; all that wait at one time share one sync (group commit). What
may be lost goes by `note`. A disk that fails costs the records, not the node: `keep` says no, one line and a
counter tell it, and the directory is tried again later.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import queue
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from balancer.durable.files import Files, RealFiles
from balancer.durable.records import Kept, Record, encode, total
from balancer.durable.store import Fenced, Loaded, Store, load
from balancer.errors import BalancerError

log = logging.getLogger(__name__)

MOST_WAITING = 1024  # records
CLOSE = 0.1  # s that the end of the process waits for the disk
TRY_AGAIN = 5.0  # s from a failure until the directory is tried again
SUPERSEDED = "another process of this node writes now"
KEEP_RETURNS = 3_600_000.0  # ms for which the time of a backend's return is kept: longer than any ramp


class DurableError(BalancerError):
    """A record is not on disk; the text says why."""

    code = "STA04"
    remedy = "mend or free the disk of durable.directory and call again; the node tries it every 5 s"


class SupersededError(DurableError):
    """A later process of this node writes the directory now."""

    code = "STA05"
    remedy = "call the console of the process that was started last"


class DirectoryError(DurableError):
    """The directory cannot be made or opened."""

    code = "STA06"
    remedy = "let durable.directory name one that the node may write in, and start it again"


@dataclass(slots=True)
class Waiting:
    """A record on its way to the disk."""

    record: bytes
    done: asyncio.Future[None] | None


class Durable:
    """Reads what is there at once, and writes from `take_over` on."""

    def __init__(self, files: Files, where: str, node: str) -> None:
        self.files, self.where, self.node = files, where, node
        self.kept = Kept()  # of the writing thread, once it runs
        self.store: Store | None = None
        self.off: BalancerError | None = None  # why nothing is written, and will not be
        self.fenced = False
        self.lost = False  # something that had been promised is not there any more
        self.fresh = True  # nothing was ever kept
        self.failures = self.dropped = self.written = self.synced = 0
        self.slowest = 0.0  # s, of all syncs
        self._tried = -TRY_AGAIN
        self._asked = False  # to take over from whoever writes
        self._said = False
        self._queue: queue.SimpleQueue[Waiting | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self._user = contextlib.ExitStack()  # the sign that a process of the node lives
        self._loop = asyncio.get_running_loop()

    @classmethod
    def at(cls, directory: Path, node: str) -> Durable:
        """Over a directory of the system."""
        out = cls(files := RealFiles(directory), str(directory), node)
        try:
            files.make()
            out._user.enter_context(files.used())
        except OSError as err:
            out._refused(DirectoryError(f"cannot be used: {err.strerror}"))
        return out

    def _refused(self, why: BalancerError) -> None:
        self.off = why
        log.warning("state: %s: %s; the node goes on without", self.where, why.line)

    def read(self) -> Kept:
        """What an earlier process has kept; nothing, with one line, where it cannot be had."""
        if self.off:
            return self.kept
        try:
            loaded = load(self.files, self.node, whole=False)
            self.kept = total(loaded.snapshot, loaded.records)
            self.lost, self.fresh = loaded.lost, not loaded.number and not loaded.lost
        except BalancerError as err:
            self._refused(err)
        except OSError as err:
            self._failed(err)
        else:
            if loaded.notes:
                more = f" and {len(loaded.notes) - 1} more" if len(loaded.notes) > 1 else ""
                what = "some of it is lost" if loaded.lost else "nothing that was promised is lost"
                log.warning("state: %s: %s%s; %s", self.where, loaded.notes[0], more, what)
            log.info("state: %s: %d records, %d out, list of revision %d", self.where, loaded.number,
                     len(self.kept.out), self.kept.revision)  # fmt: skip
        return self.kept

    def look(self) -> Kept:
        """What is on the disk now, by whatever process; nothing where it cannot be had."""
        try:
            loaded = load(self.files, self.node, whole=False)
            return total(loaded.snapshot, loaded.records)
        except (BalancerError, OSError) as err:
            log.info("state: %s: cannot be read again: %s", self.where, err)
            return Kept()

    def take_over(self) -> None:
        """Write from here on, in place of whoever did: a process before, or a successor that has ended."""
        self.fenced, self._asked = False, True
        if self._thread is None and not self.off:
            self._thread = threading.Thread(target=self._run, name="state", daemon=True)
            self._thread.start()

    async def keep(self, record: Record) -> None:
        """Returns once the record would outlast a power cut; raises BalancerError where it may not."""
        await self.put(record)

    def put(self, record: Record) -> asyncio.Future[None]:
        """The same for those who do not wait here; it stands before whatever is handed over later."""
        done: asyncio.Future[None] = self._loop.create_future()
        if self.off is not None:
            done.set_exception(self.off)
        elif self._thread is None:
            done.set_exception(DurableError("not yet open"))
        elif self._queue.qsize() >= MOST_WAITING:
            done.set_exception(DurableError("too many wait for the disk"))
        else:
            self._queue.put(Waiting(encode(record), done))
        return done

    def note(self, record: Record) -> None:
        """A record that may be lost with the power."""
        if self.off or self._thread is None or self.fenced:
            return
        if self._queue.qsize() >= MOST_WAITING:
            self.dropped += 1
            return
        self._queue.put(Waiting(encode(record), None))

    @property
    def idle(self) -> bool:
        """Whether nothing waits for the disk."""
        return self._queue.empty()

    def close(self) -> None:
        """Write what waits, and end; a disk that hangs is not waited for."""
        if self._thread is not None:
            self._queue.put(None)
            self._thread.join(CLOSE)
            self._thread = None
        self._user.close()

    def stats(self) -> dict[str, object]:
        """What operators are shown."""
        store = self.store
        return {
            "directory": self.where, "writes": store is not None and not store.broken,
            "off": "" if self.off is None else self.off.line,
            "fenced": self.fenced, "fence": store.fence if store is not None else 0,
            "records": self.written, "syncs": self.synced, "slowest_sync_ms": round(self.slowest * 1000, 1),
            "failures": self.failures, "dropped": self.dropped,
        }  # fmt: skip

    # --- in the thread

    def _run(self) -> None:
        while True:
            batch: list[Waiting] = []
            item = self._queue.get()
            while item is not None:
                batch.append(item)
                if self._queue.empty():
                    break
                item = self._queue.get()
            if batch:
                why = self._write(batch)
                for one in batch:
                    if one.done is not None:
                        self._loop.call_soon_threadsafe(_settle, one.done, why)
            if item is None:
                if self.store is not None:
                    self.store.close()
                return

    def _write(self, batch: list[Waiting]) -> BalancerError | None:
        """Write a batch; why it is not on disk, None where it is."""
        if self.off is not None:
            return self.off
        if self.fenced:
            return SupersededError(SUPERSEDED)
        try:
            store = self._opened()
            if store is None:
                return DurableError("the disk has failed a moment ago")
            sync = any(item.done is not None for item in batch)
            begun = time.monotonic()
            store.append([item.record for item in batch], sync)
            if sync:
                self.synced += 1
                self.slowest = max(self.slowest, time.monotonic() - begun)
            self.written += len(batch)
            for item in batch:
                self.kept.apply(item.record)
            if store.full:
                self.kept.forget(time.time() * 1000 - KEEP_RETURNS)
                store.rotate(self.kept.encode())
        except Fenced:
            self.fenced = True
            log.info("state: %s", SUPERSEDED)
            return SupersededError(SUPERSEDED)
        except OSError as err:
            return self._failed(err)
        except BalancerError as err:
            self._refused(err)
            return err
        return None

    def _opened(self) -> Store | None:
        """The store, opened anew a while after a failure or once another process has given it up."""
        if self.store is not None and not self.store.broken:
            # Who takes over may have had nothing to write while the other process had the directory.
            if not (self._asked and self.store.superseded()):
                self._asked = False
                return self.store
            self.store.broken = True
        if time.monotonic() - self._tried < TRY_AGAIN:
            return None
        self._tried = time.monotonic()
        if self.store is not None:
            if not self._asked and self.store.superseded():
                raise Fenced  # a disk that failed is no reason to take it back from a successor
            self.store.close()
        self.store = Store(self.files, self.node, os.urandom(8).hex(), self._snapshot)
        self._asked = False
        self._tried = -TRY_AGAIN
        if self._said:
            self._said = False
            log.info("state: %s: written again", self.where)
        return self.store

    def _snapshot(self, loaded: Loaded) -> bytes:
        self.kept = total(loaded.snapshot, loaded.records)
        return self.kept.encode()

    def _failed(self, err: OSError) -> DurableError:
        why = DurableError(err.strerror or str(err))
        self.failures += 1
        if not self._said:
            self._said = True
            log.warning("state: %s: %s; the node serves on, calls that need it get a no", self.where,
                        why.line)  # fmt: skip
        return why


def _settle(done: asyncio.Future[None], why: BalancerError | None) -> None:
    if done.cancelled():
        return
    if why is not None:
        done.set_exception(why)
    else:
        done.set_result(None)
