"""When the node calls discovery for the endpoint list; see `net/watchdog.py` for what counts as known."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.outbox import OperatorLog, Outbox

MAX_CALL_INTERVAL_MS = 3_950.0  # from one call to the next
WAIT_AFTER_LONG_CALL_MS = 900.0  # of it, what is left for the wait after a call that took as long as one may
CHANGE_KNOWN_AFTER_MS = 6_000.0  # after which a change that discovery has counts as known
MAX_WAIT_WHEN_OVERLOADED_MS = 1_200.0  # where discovery itself ends calls until then: it may be crowded
MIN_CALLS_IN_TIME_LEFT = 4.0  # a wait is at most such a part of what is left until then
MIN_WAIT_MS = 800.0
MAX_CALL_INTERVAL_WHEN_REJECTED_MS = 2_800.0  # where discovery itself rejects calls
MAX_DOUBLINGS = 5
BACKOFF_BASE_DIVISOR = 32  # of the greatest age of the list
BACKOFF_FACTOR = 1.5
MIN_JITTER = 1 / 3
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class DiscoveryPolling:
    """Schedules calls of discovery, with backoff and jitter after failed ones."""

    rng: random.Random
    outbox: Outbox
    log: OperatorLog
    _max_age_ms: float = field(default=0.0, init=False)
    _failed_calls: int = field(default=0, init=False)
    _called_at: float = field(default=-math.inf, init=False)
    # Number of the call that is scheduled; an earlier timer is void.
    _schedule: int = field(default=0, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings, by which discovery may be at another address."""
        self._max_age_ms = settings.list_max_age_ms
        self._failed_calls = 0

    def call_now(self, now: float) -> None:
        """Call discovery, in place of any scheduled call."""
        self._schedule += 1
        self._called_at = now
        self.outbox.actions.append(api.WatchEndpoints())

    def on_success(self) -> None:
        """Take note that a call has succeeded, or that a list is there."""
        self._failed_calls = 0

    def on_failure(self, now: float, failure: api.DiscoveryFailure) -> None:
        """Schedule the next call after a failed one; the last list stays in force."""
        self._failed_calls = min(self._failed_calls + 1, MAX_DOUBLINGS)
        # A change may count as known before a longer wait is over. The failed call may be another one than
        # the last that was made here: a watch is reopened without notice.
        time_left_ms = max(WAIT_AFTER_LONG_CALL_MS, self._called_at + MAX_CALL_INTERVAL_MS - now)
        backoff_ms = BACKOFF_FACTOR * self._max_age_ms / BACKOFF_BASE_DIVISOR * 2**self._failed_calls
        max_wait_ms = self._bounded_wait_ms(min(backoff_ms, time_left_ms), failure, now)
        wait_ms = max_wait_ms * self.rng.uniform(MIN_JITTER, 1.0)
        self._call_in(wait_ms, now)
        self.log.write(
            now,
            f"list: call failed {self._failed_calls} times, asking again in {wait_ms / MS_PER_S:.1f} s",
        )

    def on_cached_list(self, has_endpoint_in_service: bool, now: float) -> None:
        """Schedule the first call; without an endpoint in service the node cannot serve before it."""
        max_wait_ms = min(self._max_age_ms / 2, MAX_CALL_INTERVAL_MS) if has_endpoint_in_service else 0.0
        self._call_in(self.rng.uniform(0.0, max_wait_ms), now)

    def _bounded_wait_ms(self, max_wait_ms: float, failure: api.DiscoveryFailure, now: float) -> float:
        """Bound the wait so that several calls can fail before a change counts as known."""
        if not failure.ended_by_discovery:
            return max_wait_ms
        time_left_ms = CHANGE_KNOWN_AFTER_MS - failure.silent_ms
        if time_left_ms <= 0:
            next_call = self._called_at + MAX_CALL_INTERVAL_WHEN_REJECTED_MS
            return min(max_wait_ms, max(WAIT_AFTER_LONG_CALL_MS, next_call - now))
        if failure.ended_after_wait:
            return min(max_wait_ms, MAX_WAIT_WHEN_OVERLOADED_MS)
        wait_ms = max(MIN_WAIT_MS, time_left_ms / MIN_CALLS_IN_TIME_LEFT)
        return min(max_wait_ms, MAX_WAIT_WHEN_OVERLOADED_MS, wait_ms)

    def _call_in(self, wait_ms: float, now: float) -> None:
        self._schedule += 1
        self.outbox.set_timer(now + wait_ms, self._call_scheduled, self._schedule)

    def _call_scheduled(self, now: float, number: int) -> None:
        if number == self._schedule:
            self.call_now(now)
