"""Long work cut into short turns of the event loop, so that requests go on beside it."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import deque
from collections.abc import Callable, Iterator

NEVER = 2**30  # a threshold of the cycle collector that is not reached
Clock = Callable[[], float]
LEAST = 0.001  # s between two turns, at least: what came in meanwhile is read


class Turns:
    """Carries out generators in turns, one step a turn, each of them after the others have had one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock = time.thread_time) -> None:
        """`clock` tells the seconds of processor time that were used."""
        self.loop, self.clock = loop, clock
        self.hurry = True  # nobody else needs the processor yet: no pauses
        self._work: deque[Iterator[None]] = deque()
        self._due: asyncio.Handle | None = None
        self._busy = False
        self._thresholds = gc.get_threshold()

    def add(self, work: Iterator[None]) -> None:
        """Carry out the rest of `work` from the next turn on."""
        if not self._work:
            # A full look for cycles goes through all of a list, again and again as it grows.
            self._thresholds = gc.get_threshold()
            gc.set_threshold(*self._thresholds[:2], NEVER)
        self._work.append(work)
        if self._due is None and not self._busy:
            self._due = self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._due, self._busy, begun = None, True, self.clock()
        try:
            next(self._work[0])
            self._work.rotate(-1)
        except BaseException as err:
            self._work.popleft()
            if not isinstance(err, StopIteration):
                raise
        finally:
            self._busy = False
            # As long a pause as the turn took leaves at least half of a core to the requests.
            if not self._work:
                self._rest()
            elif self.hurry:
                self._due = self.loop.call_soon(self._turn)
            else:
                self._due = self.loop.call_later(max(LEAST, self.clock() - begun), self._turn)

    def _rest(self) -> None:
        gc.freeze()  # as at the start of service: what is in a list stays
        gc.set_threshold(*self._thresholds)
