"""When a call to discovery counts as dead. Times are seconds on the caller's clock.

What a watch that has fallen silent misses counts as told 6 s after its last byte: the news has to be asked
for anew and answered within that. The budget, at its worst:

    3.25  SILENT: an empty line comes every 2 s and may be late by 0.75 s; half a second more is drawn, so
          that watches that fell silent together do not come back together
    0.05  LOOK: a second look, for what the node itself had not read yet
    1.55  HURRY: the first call after that, from its dialling to its first byte of news, and a second look
    0.15  a jittered wait before the second call, which is as patient as any
    1.00  left for discovery's own queue: 200 calls of 4 ms are 0.8 s of work

An object that does not end counts as silence after UNDER_WAY: the second call is then out after 5.75 s.
"""

from __future__ import annotations

SILENT = (2.75, 3.25)  # without a byte, drawn for each call
LOOK = 0.05  # until the second look
HURRY = 1.5
ANSWER = 5.0  # for any other call, from its dialling to the first byte of news
UNDER_WAY, UNDER_WAY_MOST = 4.0, 64.0  # for an object to end, or for an empty line among blanks


class Watchdog:
    """The clock of one call: told of each piece of its body and of each whole object or empty line."""

    def __init__(self, now: float, answer: float, silent: float, under_way: float) -> None:
        """`now` is when it is dialled, `answer` how long the first byte may take from then on."""
        self.now, self.answer, self.silent, self.under_way = now, answer, silent, under_way
        self.last: float | None = None  # byte
        self.since = now  # what has come and is no news yet

    def fed(self, now: float) -> None:
        """A piece of the body came."""
        if self.last is None:
            self.since = now
        self.last = now

    def told(self, now: float) -> None:
        """Something whole came."""
        self.since = now

    @property
    def due(self) -> float:
        """When the call counts as dead unless something comes."""
        if self.last is None:
            return self.now + self.answer
        return min(self.last + self.silent, self.since + self.under_way)

    def trickles(self, now: float) -> bool:
        """Whether bytes still come and only take too long to mean something."""
        return self.last is not None and now < self.last + self.silent
