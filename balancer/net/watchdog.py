"""When a call to discovery counts as dead. Times are seconds on the caller's clock.

A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before:
refused, not connected, not answered, cut off, spoilt. At worst discovery is back, or the change made, right
after a call was dialled that comes to nothing:

    3.00  ANSWER: from dialling, the connection included, to the first whole object or empty line
    0.05  LOOK: a second look, for what the node itself had not read yet
    0.90  REST: the wait after that. A call that failed sooner leaves more: PERIOD in all, from dialling to
          dialling. Within it waits double and are drawn, so that nodes that failed together do not come back
          together
    2.00  left for discovery's own queue: it takes calls in turn, and one that waits there for 1 to 2 s fails.
          200 calls of 4 ms are 0.8 s of work, spread over a wait

What a watch that has fallen silent misses counts as told 6 s after its last byte. At worst:

    3.25  SILENT: an empty line comes every 2 s and may be late by 0.75 s; half a second more is drawn
    0.05  LOOK
    1.55  HURRY: the first call after that, as ANSWER, and a second look
    0.15  a drawn wait before the second call, which is as patient as any
    1.00  left for discovery's own queue

After SIGHUP the first call at the new address is hurried as well, and may wait until one that is under way
has been unanswered for 1 s: the second one is out after 2.75 s of 4. A hurried call is kept beside the next
one, for ANSWER in all: it may have come far in discovery's queue.

Discovery may be there and turn calls away, as it has too many: at once, or after a wait in its queue.
Several calls have to fit into the 6 s then. The wait between two is 1.2 s at most (CROWDED) while they
last; later, as nobody can tell a crowd from an outage, 2.8 s lie between two calls at most (TURNED_AWAY):
two of them, and 1 s in the queue, are 6.6 s, which the grace of a drain covers.

An object that comes in pieces and does not end is no answer and no sign of life: the next call is due as if
nothing came. But the slow one may be a list that really takes so long: it goes on beside the next calls
while bytes come, for UNDER_WAY at most, and whichever first brings something whole is kept.
"""

from __future__ import annotations

from balancer.policy import polling

PERIOD, REST = polling.MAX_CALL_INTERVAL_MS / 1000, polling.WAIT_AFTER_LONG_CALL_MS / 1000
TURNED_AWAY, CROWDED = (
    polling.MAX_CALL_INTERVAL_WHEN_REJECTED_MS / 1000,
    polling.MAX_WAIT_WHEN_CROWDED_MS / 1000,
)
QUEUED = 0.5  # from which on a call that is turned away has waited for others
SILENT = (2.75, 3.25)  # without anything whole, drawn for each call
LOOK = 0.05  # until the second look
HURRY = 1.5
ANSWER = 3.0  # for any other call
UNDER_WAY = 64.0  # for what comes slowly to end


class Watchdog:
    """The clock of one call: told of each piece of its body and of each whole object or empty line."""

    def __init__(self, now: float, answer: float, silent: float) -> None:
        """`now` is when it is dialled, `answer` how long the first whole thing may take from then on."""
        self.dialled, self.silent = now, silent
        self.whole_by = now + answer  # when something whole is due
        self.last = now - silent  # byte of the body

    def extend(self, answer: float) -> None:
        """The first whole object may take so long from dialling, after all."""
        self.whole_by = self.dialled + answer

    def fed(self, now: float) -> None:
        """A piece of the body came."""
        self.last = now

    def told(self, now: float) -> None:
        """Something whole came."""
        self.whole_by = now + self.silent

    def due(self, patient: bool) -> float:
        """When the call counts as dead unless something comes; `patient`: not before its bytes end."""
        if not patient:
            return self.whole_by
        return max(self.whole_by, min(self.last + self.silent, self.whole_by + UNDER_WAY))

    def trickles(self, now: float) -> bool:
        """Whether bytes still come, and only take too long to mean something."""
        return now < self.due(patient=True)
