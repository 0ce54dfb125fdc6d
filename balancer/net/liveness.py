"""Liveness timeouts of discovery calls, in seconds of the event loop's clock.

The node is taken to have received a change 6 s after discovery had it and was reachable, even if earlier
calls were refused, timed out, were cut off or returned malformed data. In the worst case discovery recovers,
or gets the change, right after a call was dialled that is going to fail. The 6 s are used as follows:

    3.00  FIRST_MESSAGE_TIMEOUT_S: from dialling, including the connect, to the first object or empty line
    0.05  RECHECK_DELAY_S: a second check, as received data may still be unread
    0.90  MIN_RETRY_DELAY_S: the delay before the retry. After a call that failed earlier it may be longer, up
          to RETRY_PERIOD_S between the two dials. The backoff doubles within this period and has jitter, so
          that nodes whose calls failed together do not retry together
    2.00  reserve for discovery's own queue: it serves calls in order and fails those that wait for 1 to 2 s.
          200 calls of 4 ms take 0.8 s and are spread by the backoff

Events missed by a watch that no longer receives data count as received 6 s after its last byte. The worst
case:

    3.25  SILENCE_TIMEOUT_RANGE_S: empty lines arrive every 2 s, at most 0.75 s late, and 0.5 s are jitter
    0.05  RECHECK_DELAY_S
    1.55  URGENT_MESSAGE_TIMEOUT_S for the first call after that, and a recheck
    0.15  jitter before the second call, which has the usual timeout
    1.00  reserve for discovery's own queue

After SIGHUP the first call at a new address is urgent, too. It may wait until a call in progress has been
unanswered for 1 s, so the second call is dialled after 2.75 s of the 4 s that count here. An urgent call
stays open in parallel with the next one for up to FIRST_MESSAGE_TIMEOUT_S in total, because it may be close
to the head of discovery's queue.

An overloaded discovery may reject calls, immediately or after a wait in its queue, and several calls have to
fit into the 6 s. While calls are known to wait in the queue, the delay between two calls is at most
CONTENDED_RETRY_DELAY_S. After that, overload cannot be told from an outage, and the period between two calls
is at most REJECTED_RETRY_PERIOD_S: two periods and 1 s in the queue take 6.6 s, which the drain grace period
covers.

An object that arrives in pieces and never ends is no proof of liveness, so the next call is made as if
nothing had been received. As it may also be a list that takes this long to arrive, the slow call stays open
in parallel while it receives bytes, for at most MAX_OBJECT_DURATION_S, and the call that first completes an
object is used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.policy import polling

RETRY_PERIOD_S = polling.MAX_CALL_INTERVAL_MS / 1000
MIN_RETRY_DELAY_S = polling.WAIT_AFTER_LONG_CALL_MS / 1000
REJECTED_RETRY_PERIOD_S = polling.MAX_CALL_INTERVAL_WHEN_REJECTED_MS / 1000
CONTENDED_RETRY_DELAY_S = polling.MAX_WAIT_WHEN_OVERLOADED_MS / 1000
# A call that is answered or rejected after 0.5 s or later has waited in discovery's queue.
QUEUED_AFTER_S = 0.5
# Each discovery call draws its silence timeout from 2.75 to 3.25 s.
SILENCE_TIMEOUT_RANGE_S = (2.75, 3.25)
RECHECK_DELAY_S = 0.05
URGENT_MESSAGE_TIMEOUT_S = 1.5
FIRST_MESSAGE_TIMEOUT_S = 3.0
MAX_OBJECT_DURATION_S = 64.0


class LivenessTimeout:
    """The timeout of one call, extended by each complete object or empty line, and by bytes of its body."""

    def __init__(self, dialled_at: float, message_timeout_s: float, silence_timeout_s: float) -> None:
        """Start the timeout of a call.

        Args:
            dialled_at: Loop time at which the call is dialled.
            message_timeout_s: Timeout from dialling to the first complete object or empty line.
            silence_timeout_s: Timeout between two objects or empty lines.
        """
        self.dialled_at = dialled_at
        self.silence_timeout_s = silence_timeout_s
        self._message_due_at = dialled_at + message_timeout_s
        self._last_byte_at = dialled_at - silence_timeout_s

    def extend(self, message_timeout_s: float) -> None:
        """Replace the timeout from dialling to the first message."""
        self._message_due_at = self.dialled_at + message_timeout_s

    def bytes_received(self, now: float) -> None:
        """Record a piece of the body."""
        self._last_byte_at = now

    def message_received(self, now: float) -> None:
        """Record a complete object or an empty line."""
        self._message_due_at = now + self.silence_timeout_s

    def expires_at(self, is_patient: bool) -> float:
        """Return when the call times out; `is_patient` extends this while it receives bytes of an object."""
        if not is_patient:
            return self._message_due_at
        bytes_due_at = min(
            self._last_byte_at + self.silence_timeout_s, self._message_due_at + MAX_OBJECT_DURATION_S
        )
        return max(self._message_due_at, bytes_due_at)

    def is_receiving_bytes(self, now: float) -> bool:
        """Return whether the call receives bytes that have not completed an object in time."""
        return now < self.expires_at(is_patient=True)


class LivenessTimer:
    """Checks a call when its timeout is due, as a lost network link does not close the connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        expires_at: Callable[[], float],
        is_backlogged: Callable[[], bool],
        expired: Callable[[], None],
    ) -> None:
        """Create a timer that is not started.

        Args:
            loop: Runs the timer.
            expires_at: Returns the loop time at which the call times out.
            is_backlogged: Returns whether data received by the call is still unprocessed.
            expired: Called when the call has timed out; it may restart the timer.
        """
        self._loop = loop
        self._expires_at = expires_at
        self._is_backlogged = is_backlogged
        self._expired = expired
        self._timer: asyncio.TimerHandle | None = None
        self._is_recheck = False

    def start(self) -> None:
        """Schedule a check for when the timeout is due."""
        self._timer = self._loop.call_at(self._expires_at(), self._check)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if self._loop.time() < self._expires_at():
            self._is_recheck = False
            self.start()
        elif not self._is_recheck or self._is_backlogged():
            # The node itself may have stalled, or it may still be decoding a list.
            self._is_recheck = True
            self._timer = self._loop.call_later(RECHECK_DELAY_S, self._check)
        else:
            self._is_recheck = False
            self._expired()
