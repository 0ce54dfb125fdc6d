"""How a response of unknown length has grown, and whether it is taken for a long one.

A short response, of up to `long_bytes`, counts as failed if its last byte comes after its request's time. A
long one is timed by its first byte and must not be cut off. Without a length nobody knows which of the two a
response is before it ends or exceeds `long_bytes`, so this goes by what has come and how it has come.
"""

from __future__ import annotations

from collections import deque

# What a response brings in this time before its latest byte is expected of it once more.
RECENT_MS = 500.0
MARK_INTERVAL_MS = 10.0  # Arrivals less than 10 ms apart count as one.
MIN_RATE_INTERVAL_MS = 100.0  # A rate is measured over at least this time.
MAX_HOLD_MS = 1500.0  # The client of a long response waits less than 2 s for what has been received.
# A response that was taken for a long one, behind its request's time, has this long to become one.
MAX_UNPROVEN_MS = 3000.0


class ResponseGrowth:
    """Arrival of a response of unknown length, from its first body byte on."""

    __slots__ = (
        "_first_at",
        "_first_size",
        "_is_taken_for_long",
        "_long_bytes",
        "_marks",
        "_overdue_since",
        "size",
    )

    def __init__(self, long_bytes: int, now: float, size: int) -> None:
        """Begin with `size` body bytes that came at `now` (ms); over `long_bytes` a response is long."""
        self.size = size  # Number of body bytes received.
        self._long_bytes = long_bytes
        self._first_at = now
        self._first_size = size  # Size of the part that came first, at whatever rate.
        self._marks = deque([(now, 0)])  # Recent arrivals: their time (ms), and the size before them.
        self._is_taken_for_long = False
        self._overdue_since: float | None = None  # Time (ms) of the first question whether it may go on.

    def record(self, now: float, size: int) -> None:
        """Record that the body has grown to `size` bytes at `now` (ms)."""
        if size == self.size:
            return
        if now - self._marks[-1][0] >= MARK_INTERVAL_MS:
            self._marks.append((now, self.size))
        self.size = size
        while self._marks[-1][0] - self._marks[0][0] > RECENT_MS:
            self._marks.popleft()

    def age_ms(self, now: float) -> float:
        """Return how long before `now` (ms) the first byte of the body came."""
        return now - self._first_at

    def take_for_long(self) -> bool:
        """Return whether the response is taken for a long one, which is not taken back.

        A response without an end will bring more. It is taken for a long one if it would be one with as much
        again as came last.
        """
        recent_bytes = self.size - self._marks[0][1]
        if self.size + recent_bytes > self._long_bytes:
            self._is_taken_for_long = True
        return self._is_taken_for_long

    def may_be_passed_on(self, now: float, time_left_ms: float) -> bool:
        """Return whether to pass on what has come by `now` (ms) although the end is not known.

        While it is held, the request can still be answered with an error in time. `time_left_ms` is the time
        in which a short response has to be whole.
        """
        held_ms = self.age_ms(now)
        if self.take_for_long() or held_ms >= MAX_HOLD_MS:
            return True
        rate = (self.size - self._first_size) / held_ms if held_ms > 0 else 0.0
        return self.size + rate * time_left_ms > self._long_bytes

    def may_become_long(self, now: float, time_left_ms: float) -> bool:
        """Return whether it is too early to tell, `time_left_ms` before a short response has to be whole.

        At its latest rate the response would be long, or be taken for a long one, by then.
        """
        since, size_before = self._marks[0]
        rate = (self.size - size_before) / max(MIN_RATE_INTERVAL_MS, now - since)
        return self.take_for_long() or self.size + rate * (time_left_ms + RECENT_MS) > self._long_bytes

    def may_outlast_deadline(self, now: float) -> bool:
        """Return whether the response may go on at `now` (ms), too late for a short one."""
        if self._overdue_since is None:
            self._overdue_since = now
        if self.size > self._long_bytes:
            return True
        return self.take_for_long() and now - self._overdue_since < MAX_UNPROVEN_MS
