"""Backoff between calls to discovery: exponential with jitter, reset after a working call."""

from __future__ import annotations

import math
from collections.abc import Callable

from balancer.net.discovery_call import DiscoveryCall
from balancer.net.liveness import (
    CONTENDED_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    QUEUED_AFTER_S,
    REJECTED_RETRY_PERIOD_S,
    RETRY_PERIOD_S,
)
from balancer.net.random_source import RandomSource

INITIAL_DELAY_S = 0.15
MAX_DELAY_S = 3.0
# The delay is at most 0.6 s after the first answered call that follows unanswered ones.
MAX_DELAY_AFTER_ANSWER_S = 0.6
MIN_JITTER_FRACTION = 1 / 3
# Discovery counts as contended for 3 s after a call had to wait in its queue.
CONTENTION_WINDOW_S = 3.0
# A call at a new address waits for unanswered calls at earlier addresses until 1 s after their dialling.
MAX_ADDRESS_CHANGE_WAIT_S = 1.0
MAX_ADDRESS_CHANGE_WAIT_CONTENDED_S = 1.5


class DiscoveryBackoff:
    """Computes the delay before the next call."""

    def __init__(self, clock: Callable[[], float], random_source: RandomSource) -> None:
        """Create a backoff that starts with the initial delay.

        Args:
            clock: Returns the time in seconds.
            random_source: Draws the jitter.
        """
        self._clock = clock
        self._random_source = random_source
        self._delay_s = INITIAL_DELAY_S
        # Whether the last call that failed had received a message.
        self._was_answered = True
        # When a call that had waited in discovery's queue was last answered or rejected.
        self._queued_at = -math.inf

    @property
    def is_contended(self) -> bool:
        """Return whether one of this node's calls recently had to wait in discovery's queue."""
        return self._clock() - self._queued_at < CONTENTION_WINDOW_S

    @property
    def max_address_change_wait_s(self) -> float:
        """How long a call at a new address waits for an unanswered call at an earlier one."""
        return MAX_ADDRESS_CHANGE_WAIT_CONTENDED_S if self.is_contended else MAX_ADDRESS_CHANGE_WAIT_S

    def reset(self) -> None:
        """Reset the delay to its initial value."""
        self._delay_s = INITIAL_DELAY_S

    def message_received(self, call: DiscoveryCall) -> None:
        """Record a message; a late first message shows that its call waited in discovery's queue."""
        if call.message_count == 1 and self._clock() - call.dialled_at >= QUEUED_AFTER_S:
            self._queued_at = self._clock()

    def call_ended(self, call: DiscoveryCall) -> None:
        """Record the end of a call; a late rejection shows that it waited in discovery's queue."""
        if call.was_queued:
            self._queued_at = self._clock()

    def call_failed(self, call: DiscoveryCall) -> None:
        """Reset or shorten the delay if the call worked before it failed.

        A message alone does not reset it: a stream that is malformed after its first object would then be
        requested ten times a second. The first answered call after unanswered ones does shorten it, because
        the event of a watch that is closed instead of sending it counts as received soon after.
        """
        was_answered = self._was_answered
        self._was_answered = call.first_message_at is not None
        if call.is_established(self._clock()):
            self._delay_s = INITIAL_DELAY_S
        elif self._was_answered and not was_answered:
            self._delay_s = min(self._delay_s, MAX_DELAY_AFTER_ANSWER_S)

    def contended_delay(self) -> float:
        """Return the delay in seconds after a call that waited in discovery's queue."""
        return CONTENDED_RETRY_DELAY_S * self._jitter()

    def next_delay(self, call: DiscoveryCall, is_contended: bool) -> float:
        """Return the delay in seconds before a failed call is retried, and double the next one."""
        period_s = REJECTED_RETRY_PERIOD_S if call.was_ended_by_discovery else RETRY_PERIOD_S
        time_left_s = max(MIN_RETRY_DELAY_S, call.dialled_at + period_s - self._clock())
        max_delay_s = CONTENDED_RETRY_DELAY_S if is_contended else min(self._delay_s, time_left_s)
        delay_s = max_delay_s * self._jitter()
        self._delay_s = min(2 * self._delay_s, MAX_DELAY_S)
        return delay_s

    def _jitter(self) -> float:
        return self._random_source.uniform(MIN_JITTER_FRACTION, 1.0)
