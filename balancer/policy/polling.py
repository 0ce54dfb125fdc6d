"""Schedules the calls to discovery for the endpoint list, with backoff and jitter after failures.

The time after which nodes must know a change of the list is derived in `net/liveness.py`.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.outbox import OperatorLog, Outbox

MAX_CALL_INTERVAL_MS = 3_950.0
# A call of the maximum duration leaves 900 ms of the call interval for the wait after it.
WAIT_AFTER_LONG_CALL_MS = 900.0
CHANGE_KNOWN_AFTER_MS = 6_000.0  # A node must know a change of the list within 6 s after discovery has it.
# If discovery itself ends calls, it may only be overloaded, so the next call follows within 1.2 s.
MAX_WAIT_WHEN_OVERLOADED_MS = 1_200.0
MIN_CALLS_IN_TIME_LEFT = 4.0  # Four calls fit into the time left until a change must be known.
MIN_WAIT_MS = 800.0
MAX_CALL_INTERVAL_WHEN_REJECTED_MS = 2_800.0
MAX_DOUBLINGS = 5
BACKOFF_BASE_DIVISOR = 32  # The first backoff is at most 3/32 of the maximum age of the list.
BACKOFF_FACTOR = 1.5
MIN_JITTER = 1 / 3
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class DiscoveryPolling:
    """Schedules calls to discovery.

    `_scheduled_call` is the number of the scheduled call: the timer of an earlier one has no effect.
    """

    rng: random.Random
    outbox: Outbox
    log: OperatorLog
    _max_age_ms: float = field(default=0.0, init=False)
    _failed_calls: int = field(default=0, init=False)
    _last_call_at: float = field(default=-math.inf, init=False)
    _scheduled_call: int = field(default=0, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings and reset the backoff, as discovery may have another address."""
        self._max_age_ms = settings.list_max_age_ms
        self._failed_calls = 0

    def call_now(self, now: float) -> None:
        """Call discovery now, in place of a scheduled call."""
        self._scheduled_call += 1
        self._last_call_at = now
        self.outbox.actions.append(api.WatchEndpoints())

    def on_success(self) -> None:
        """Reset the backoff after a call succeeded or a list arrived."""
        self._failed_calls = 0

    def on_failure(self, now: float, failure: api.DiscoveryFailure) -> None:
        """Schedule the next call after a failed one; the last list stays in use."""
        self._failed_calls = min(self._failed_calls + 1, MAX_DOUBLINGS)
        # After a longer wait, the node would learn of a change too late. The failed call may be a later one
        # than the last call made here, because the caller reopens a watch without an event.
        time_left_ms = max(WAIT_AFTER_LONG_CALL_MS, self._last_call_at + MAX_CALL_INTERVAL_MS - now)
        backoff_ms = BACKOFF_FACTOR * self._max_age_ms / BACKOFF_BASE_DIVISOR * 2**self._failed_calls
        max_wait_ms = self._bounded_wait_ms(min(backoff_ms, time_left_ms), failure, now)
        wait_ms = max_wait_ms * self.rng.uniform(MIN_JITTER, 1.0)
        self._schedule_call(wait_ms, now)
        self.log.write(
            now,
            f"list: call failed {self._failed_calls} times, asking again in {wait_ms / MS_PER_S:.1f} s",
        )

    def on_cached_list(self, has_endpoint_in_service: bool, now: float) -> None:
        """Schedule the first call after a cached list, at once if the list has no endpoint in service."""
        max_wait_ms = min(self._max_age_ms / 2, MAX_CALL_INTERVAL_MS) if has_endpoint_in_service else 0.0
        self._schedule_call(self.rng.uniform(0.0, max_wait_ms), now)

    def _bounded_wait_ms(self, max_wait_ms: float, failure: api.DiscoveryFailure, now: float) -> float:
        """Limit the wait so that several calls fit into the time until a change must be known."""
        if not failure.ended_by_discovery:
            return max_wait_ms
        time_left_ms = CHANGE_KNOWN_AFTER_MS - failure.silent_ms
        if time_left_ms <= 0:
            next_call = self._last_call_at + MAX_CALL_INTERVAL_WHEN_REJECTED_MS
            return min(max_wait_ms, max(WAIT_AFTER_LONG_CALL_MS, next_call - now))
        if failure.ended_after_wait:
            return min(max_wait_ms, MAX_WAIT_WHEN_OVERLOADED_MS)
        wait_ms = max(MIN_WAIT_MS, time_left_ms / MIN_CALLS_IN_TIME_LEFT)
        return min(max_wait_ms, MAX_WAIT_WHEN_OVERLOADED_MS, wait_ms)

    def _schedule_call(self, wait_ms: float, now: float) -> None:
        self._scheduled_call += 1
        self.outbox.set_timer(now + wait_ms, self._on_timer, self._scheduled_call)

    def _on_timer(self, now: float, call_number: int) -> None:
        if call_number == self._scheduled_call:
            self.call_now(now)
