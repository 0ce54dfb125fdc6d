"""Backoff between calls of discovery: exponential with jitter, reset by calls that work."""

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
ANSWERED_DELAY_S = 0.6  # at most, after the first call that got a message when those before it did not
MIN_JITTER = 1 / 3  # of the delay
CONTENTION_LASTS_S = 3.0  # from the last call that had to wait in discovery's queue
MAX_UNANSWERED_S = 1.0  # of a former call before one at a new address is made
MAX_UNANSWERED_CONTENDED_S = 1.5  # likewise, while discovery is contended


class DiscoveryBackoff:
    """The delays before the next call."""

    def __init__(self, clock: Callable[[], float], random_source: RandomSource) -> None:
        """Begin with the shortest delay.

        Args:
            clock: returns seconds.
            random_source: draws the jitter.
        """
        self._clock = clock
        self._random_source = random_source
        self._delay = INITIAL_DELAY_S
        self._was_answered = True  # the last call that ended had received a message
        self._queued_at = -math.inf  # when a call was answered or rejected that had waited in a queue

    @property
    def is_contended(self) -> bool:
        """Return whether other callers made one of this node's calls wait lately."""
        return self._clock() - self._queued_at < CONTENTION_LASTS_S

    @property
    def max_unanswered_s(self) -> float:
        """Seconds for which a call at a new address waits for an unanswered former one."""
        return MAX_UNANSWERED_CONTENDED_S if self.is_contended else MAX_UNANSWERED_S

    def reset(self) -> None:
        """Begin anew with the shortest delay."""
        self._delay = INITIAL_DELAY_S

    def message_received(self, call: DiscoveryCall) -> None:
        """Note a call's message: a first one that came late has waited in a queue."""
        if call.message_count == 1 and self._clock() - call.dialled_at >= QUEUED_AFTER_S:
            self._queued_at = self._clock()

    def call_ended(self, call: DiscoveryCall) -> None:
        """Note the end of a call: one that was rejected late has waited in a queue."""
        if call.was_queued:
            self._queued_at = self._clock()

    def call_failed(self, call: DiscoveryCall) -> None:
        """Reset or shorten the delay where the call had worked before it failed.

        A message alone does not reset it: a list that is malformed behind its first object would be called
        ten times a second. But the first call that is answered after others were not shortens it: a watch
        that ends instead of sending an event counts as having sent it soon after.
        """
        was_answered = self._was_answered
        self._was_answered = call.first_message_at is not None
        if call.is_established(self._clock()):
            self._delay = INITIAL_DELAY_S
        elif self._was_answered and not was_answered:
            self._delay = min(self._delay, ANSWERED_DELAY_S)

    def contended_delay(self) -> float:
        """Return the delay in seconds behind a call that had to wait in a queue."""
        return CONTENDED_RETRY_DELAY_S * self._jitter()

    def next_delay(self, call: DiscoveryCall, is_contended: bool) -> float:
        """Return the delay in seconds before the retry of a failed call, and double the next one."""
        period = REJECTED_RETRY_PERIOD_S if call.was_ended_by_discovery else RETRY_PERIOD_S
        time_left = max(MIN_RETRY_DELAY_S, call.dialled_at + period - self._clock())
        longest = CONTENDED_RETRY_DELAY_S if is_contended else min(self._delay, time_left)
        delay = longest * self._jitter()
        self._delay = min(2 * self._delay, MAX_DELAY_S)
        return delay

    def _jitter(self) -> float:
        return self._random_source.uniform(MIN_JITTER, 1.0)
