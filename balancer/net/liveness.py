"""Liveness timeouts of calls of discovery: when a call counts as dead. Times are seconds on the loop's clock.

A change counts as received 6 s after discovery had it and could be reached, whatever became of earlier calls:
refused, not connected, not answered, cut off, broken. In the worst case discovery is back, or has the change,
right after a call was dialled that fails:

    3.00  FIRST_MESSAGE_TIMEOUT_S: from dialling, connect included, to the first complete object or empty line
    0.05  RECHECK_DELAY_S: a second check, for what the node itself had not read yet
    0.90  MIN_RETRY_DELAY_S: the wait after that. A call that failed sooner leaves more: RETRY_PERIOD_S in
          all, from dialling to dialling. Within it backoff doubles with jitter, so that nodes that failed
          together do not come back together
    2.00  left for discovery's own queue: it takes calls in turn, and one that waits there for 1 to 2 s fails.
          200 calls of 4 ms are 0.8 s of work, spread over a backoff

What a watch that has become silent misses counts as received 6 s after its last byte. In the worst case:

    3.25  SILENCE_TIMEOUT_S: an empty line comes every 2 s and may be late by 0.75 s; 0.5 s more is jitter
    0.05  RECHECK_DELAY_S
    1.55  URGENT_MESSAGE_TIMEOUT_S: the first call after that, and a second check
    0.15  jitter before the second call, which has the usual timeout
    1.00  left for discovery's own queue

After SIGHUP the first call at the new address is urgent as well, and may wait until one that is under way has
been unanswered for 1 s: the second one is dialled after 2.75 s of 4. An urgent call goes on beside the next
one, for FIRST_MESSAGE_TIMEOUT_S in all: it may be close to the head of discovery's queue.

An overloaded discovery may reject calls, at once or after a wait in its queue. Several calls have to fit into
the 6 s then. The delay between two is CONTENDED_RETRY_DELAY_S at most while they last; later, as nobody can
tell overload from an outage, REJECTED_RETRY_PERIOD_S lies between two calls at most: two of them, and 1 s in
the queue, are 6.6 s, which the grace period of a drain covers.

An object that comes in pieces and does not end is no answer and no sign of life: the next call is due as if
nothing came. But it may be a list that really takes so long: the slow call goes on beside the next ones while
bytes come, for MAX_OBJECT_DURATION_S at most, and whichever completes an object first is used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.policy import polling

RETRY_PERIOD_S = polling.MAX_CALL_INTERVAL_MS / 1000
MIN_RETRY_DELAY_S = polling.WAIT_AFTER_LONG_CALL_MS / 1000
REJECTED_RETRY_PERIOD_S = polling.MAX_CALL_INTERVAL_WHEN_REJECTED_MS / 1000
CONTENDED_RETRY_DELAY_S = polling.MAX_WAIT_WHEN_OVERLOADED_MS / 1000
QUEUED_AFTER_S = 0.5  # a call that was rejected, or answered, after so long has waited in discovery's queue
SILENCE_TIMEOUT_S = (2.75, 3.25)  # bounds, drawn for each call
RECHECK_DELAY_S = 0.05
URGENT_MESSAGE_TIMEOUT_S = 1.5
FIRST_MESSAGE_TIMEOUT_S = 3.0
MAX_OBJECT_DURATION_S = 64.0


class LivenessTimeout:
    """The timeout of one call, extended by each piece of its body and each complete object or empty line."""

    def __init__(self, dialled_at: float, message_timeout: float, silence_timeout: float) -> None:
        """Begin as the call is dialled.

        Args:
            dialled_at: loop time.
            message_timeout: seconds from dialling to the first complete object or empty line.
            silence_timeout: seconds between two of them.
        """
        self.dialled_at = dialled_at
        self.silence_timeout = silence_timeout
        self._message_due_at = dialled_at + message_timeout
        self._last_byte_at = dialled_at - silence_timeout

    def extend(self, message_timeout: float) -> None:
        """Set another timeout for the first message, from dialling."""
        self._message_due_at = self.dialled_at + message_timeout

    def bytes_received(self, now: float) -> None:
        """Note a piece of the body."""
        self._last_byte_at = now

    def message_received(self, now: float) -> None:
        """Note a complete object or an empty line."""
        self._message_due_at = now + self.silence_timeout

    def expires_at(self, is_patient: bool) -> float:
        """Return when the call counts as dead; with `is_patient` not while bytes of an object come."""
        if not is_patient:
            return self._message_due_at
        bytes_due_at = min(
            self._last_byte_at + self.silence_timeout, self._message_due_at + MAX_OBJECT_DURATION_S
        )
        return max(self._message_due_at, bytes_due_at)

    def is_receiving_bytes(self, now: float) -> bool:
        """Return whether bytes come and only take too long to complete an object."""
        return now < self.expires_at(is_patient=True)


class LivenessTimer:
    """Checks a call when its timeout is due: nothing closes the connection of a discovery that is cut off."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        expires_at: Callable[[], float],
        is_backlogged: Callable[[], bool],
        expired: Callable[[], None],
    ) -> None:
        """Begin without a timer.

        Args:
            loop: runs the timer.
            expires_at: returns the loop time at which the call counts as dead.
            is_backlogged: returns whether something the call received is not processed yet.
            expired: is called when the timeout is over; it may start the timer anew.
        """
        self._loop = loop
        self._expires_at = expires_at
        self._is_backlogged = is_backlogged
        self._expired = expired
        self._timer: asyncio.TimerHandle | None = None
        self._is_recheck = False

    def start(self) -> None:
        """Check the call when its timeout is due."""
        self._timer = self._loop.call_at(self._expires_at(), self._check)

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if self._loop.time() < self._expires_at():
            self._is_recheck = False
            self.start()
        elif not self._is_recheck or self._is_backlogged():
            self._is_recheck = True  # the node itself may have stalled, or it decodes a list
            self._timer = self._loop.call_later(RECHECK_DELAY_S, self._check)
        else:
            self._is_recheck = False
            self._expired()
