"""Bodies that are too long to be held whole: what is kept of one, and how much all of them may hold."""

from __future__ import annotations

from collections.abc import Callable

SMALL = 64 * 1024  # bytes up to which a body is held whole
LARGEST = 32 * 1024 * 1024  # bytes of the longest body that is taken, of a request or an answer
PREFIX = 2 * SMALL  # bytes of a long request body that are kept for a further attempt
LEAST, MOST = 8 * 1024, 64 * 1024  # bytes that wait for one slow peer
COPIES = 3  # of its window that one stream may hold: what waits, what was just read, and its framed copy
BASE_MB = 22  # memory of a process without any bodies, with room for the lists and small requests
PROCESSES = 2  # that share the memory limit during an upgrade

_room = memoryview(bytearray(MOST))  # every read goes through here and is taken out at once


class Budget:
    """The memory for long bodies, in even parts for all that are under way.

    `window` is how many bytes may wait for one peer, and the largest read.
    """

    def __init__(self, memory_mb: float) -> None:
        # Half of what is left: allocators do not give all back.
        self.total = max(0.0, memory_mb / PROCESSES - BASE_MB) / 2 * 1024 * 1024
        self.streams = 0

    @property
    def streams(self) -> int:
        """Long bodies and answers under way."""
        return self._streams

    @streams.setter
    def streams(self, count: int) -> None:
        # Worked out here, as every read asks for it.
        self._streams = count
        self.window = int(min(MOST, max(LEAST, self.total / (COPIES * max(1, count)))))
        self._view = _room[: self.window]

    def room(self) -> memoryview:
        """Where the next read goes."""
        return self._view

    def read(self, count: int) -> bytes:
        """What that read brought, copied out before any other one."""
        return bytes(_room[:count])


class Upload:
    """A request's body on its way from one client to one backend at a time."""

    def __init__(self, size: int | None, budget: Budget, flow: Callable[[bool], None]) -> None:
        self.size, self.budget, self.flow = size, budget, flow  # `flow` lets the client send, or stops it
        self.prefix = bytearray()  # what an attempt took, for the next one
        self.queue = bytearray()  # what none has taken yet
        self.spent = self.complete = self.paused = self.dropped = False
        self.ready: Callable[[], None] | None = None  # the attempt, told when there is more
        budget.streams += 1

    def feed(self, data: bytes | bytearray) -> None:
        """More has come in."""
        if self.dropped:
            return
        self.queue += data
        if self.ready is not None:
            self.ready()
        if len(self.queue) >= self.budget.window and not self.paused:
            self.paused = True
            self.flow(False)

    def end(self) -> None:
        """All has come in."""
        if not self.complete and not self.dropped:
            self.complete = True
            if self.ready is not None:
                self.ready()

    def attach(self, ready: Callable[[], None]) -> None:
        """Begin an attempt, from the first byte on; not once it is spent."""
        self.queue[:0] = self.prefix
        self.prefix.clear()
        self.ready = ready

    def detach(self) -> None:
        """The attempt is over."""
        self.ready = None

    def take(self) -> bytes:
        """What the attempt may write next."""
        data = bytes(self.queue)
        self.queue.clear()
        if not self.spent:
            self.prefix += data
            if len(self.prefix) > PREFIX:
                self.prefix, self.spent = bytearray(), True
        if self.paused:
            self.paused = False
            self.flow(True)
        return data

    def drop(self) -> None:
        """Nobody wants the rest: it is read and thrown away."""
        if not self.dropped:
            self.dropped, self.ready = True, None
            self.prefix, self.queue = bytearray(), bytearray()
            self.budget.streams -= 1
            if self.paused:
                self.paused = False
                self.flow(True)
