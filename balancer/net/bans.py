"""What the operators took out of service: one small file that all processes of a node share."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import hashlib
import json
import logging
import math
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from balancer.errors import BalancerError

log = logging.getLogger(__name__)

# The program's former name: processes of versions before and after the rename have to meet at one place.
STEM = "dillport"
LOOK = 0.1  # s between two looks whether the other process has changed the file
LOCK_WAIT, LOCK_TRY = 0.6, 0.005  # s to wait for the lock, of the 1 s that a caller waits; between tries


class BansError(BalancerError):
    """The file of bans could not be changed, so nothing is."""

    code = "BAN01"
    remedy = "see that $TMPDIR can be written and has room, then call again"


class BansFileError(BalancerError):
    """The file of bans is not what it should be; what was known of it stays in force."""

    code = "BAN02"
    remedy = "see that $TMPDIR can be written; the next maint or ready writes the file anew"


@dataclass(slots=True, frozen=True)
class Record:
    """Ids that get nothing, and when the others were put back (ms, Unix time)."""

    out: frozenset[str] = frozenset()
    back: Mapping[str, float] = field(default_factory=dict)


def stem(env: Mapping[str, str], name: str) -> Path:
    """Where the processes of one node meet: no two nodes share both a directory and an address."""
    folder = env.get("TMPDIR") or tempfile.gettempdir()
    return Path(folder) / f"{STEM}-{hashlib.sha256(name.encode()).hexdigest()[:12]}"


def write_whole(path: Path, text: str) -> None:
    """Whole or not at all: another process may read at any moment, this one may be killed. Raises OSError."""
    draft = path.with_suffix(f".{os.getpid()}")
    try:
        draft.write_text(text, "utf-8")
        os.replace(draft, path)
    except OSError:
        draft.unlink(missing_ok=True)
        raise


def parse(text: str) -> Record:
    """The file's form; raises ValueError."""
    raw: Any = json.loads(text)
    if not isinstance(raw, dict) or not isinstance(raw.get("out"), list):
        raise ValueError("not a table of bans")
    back = raw.get("back")
    if not isinstance(back, dict) or not all(isinstance(name, str) for name in raw["out"]):
        raise ValueError("not a table of bans")
    for when in back.values():
        number = isinstance(when, (int, float)) and not isinstance(when, bool)
        if not number or not 0 <= when <= sys.float_info.max:
            raise ValueError("not a time")
    return Record(frozenset(raw["out"]), {name: float(when) for name, when in back.items()})


class Bans:
    """The file, and what this process last saw in it."""

    def __init__(self, where: Path, tell: Callable[[str, bool, float], None]) -> None:
        self.path, self.lock = where.with_suffix(".bans"), where.with_suffix(".lock")
        self.tell = tell  # told of each change: id, whether it is out, since when
        self.record = Record()
        self.seen: tuple[int, int, int] | None = None
        self.faulty = False  # a fault was logged and goes on
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self, beside: bool, out: Mapping[str, float] | None = None,
              back: Mapping[str, float] | None = None) -> None:  # fmt: skip
        """Take what stands in the file and keep looking; `beside` a running process it ought to be there.

        `out` and `back` are what was kept elsewhere, and when (ms, Unix time): a ban of theirs holds unless
        the file has a later return.
        """
        out, back = out or {}, back or {}
        if not beside and (out or back or not self.path.exists()):
            if self.path.exists():
                self._refresh()
            held = self.record
            more = {name for name, at in out.items() if held.back.get(name, -math.inf) <= at}
            returns = {k: t for k, t in {**back, **held.back}.items() if k not in held.out | more}
            fresh = Record(held.out | more, returns)
            try:
                self._write(fresh)
            except OSError as err:
                self._fault(f"cannot be written: {err}")
            self._take(fresh)
        self._look()

    def stop(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()

    def known(self, backend: str) -> bool:
        """Whether the operators have named this backend before."""
        return backend in self.record.out or backend in self.record.back

    async def change(self, backend: str, out: bool, now: float, keep: float) -> None:
        """Take a backend out or put it back, in the file first; times of return are kept for `keep` ms."""
        try:
            async with self._locked():
                self._refresh()  # the other process may have written since the last look
                if out == (backend in self.record.out):
                    return
                fresh = self._changed(backend, out, now, keep)
                self._write(fresh)
                self._take(fresh)
        except OSError as err:
            raise BansError(str(err)) from None

    async def follow(self, backend: str, out: bool, since: float, keep: float) -> None:
        """The same on the word of the tier: where the file cannot be written it holds in this process."""
        try:
            await self.change(backend, out, since, keep)
        except BansError as err:
            self._fault(f"cannot be written: {err}")
            self._take(self._changed(backend, out, since, keep))

    def _changed(self, backend: str, out: bool, now: float, keep: float) -> Record:
        held = self.record
        back = {k: t for k, t in held.back.items() if now - t < keep and k != backend}
        if out:
            return Record(held.out | {backend}, back)
        return Record(held.out - {backend}, back | {backend: now})

    @contextlib.asynccontextmanager
    async def _locked(self) -> AsyncIterator[None]:
        fd = os.open(self.lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            until = self.loop.time() + LOCK_WAIT
            while True:
                try:
                    fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if self.loop.time() > until:
                        raise BansError("another process holds the lock") from None
                    await asyncio.sleep(LOCK_TRY)
            yield
        finally:
            os.close(fd)

    def _write(self, record: Record) -> None:
        write_whole(self.path, json.dumps({"out": sorted(record.out), "back": dict(record.back)}))
        self.seen, self.faulty = self._stamp(), False

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = self.path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def _look(self) -> None:
        self._refresh()
        self.timer = self.loop.call_later(LOOK, self._look)

    def _refresh(self) -> None:
        stamp = self._stamp()
        if stamp is not None and stamp == self.seen:
            return
        try:
            fresh = parse(self.path.read_text("utf-8"))
        except (OSError, ValueError, RecursionError) as err:
            self._fault(f"cannot be read: {err}")
            self.seen = stamp
            return
        self.seen, self.faulty = stamp, False
        self._take(fresh)

    def _fault(self, what: str) -> None:
        """One warning; what was known stays in force, and the next call writes the file anew."""
        if not self.faulty:
            log.warning("bans: %s", BansFileError(f"{self.path.name} {what:.200}").line)
        self.faulty = True

    def _take(self, fresh: Record) -> None:
        held, self.record = self.record, fresh
        for name in sorted(fresh.out - held.out):
            self.tell(name, True, 0.0)
        for name, when in sorted(fresh.back.items()):
            if name not in fresh.out and held.back.get(name) != when:
                self.tell(name, False, when)
        # A ban that is gone without a time of return: the file was made anew by hand.
        for name in sorted(held.out - fresh.out - fresh.back.keys()):
            self.tell(name, False, 0.0)
