"""Test the backoff between discovery calls with a fake clock and fixed draws."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer.net.discovery_backoff import (
    CONTENTION_WINDOW_S,
    INITIAL_DELAY_S,
    MAX_ADDRESS_CHANGE_WAIT_CONTENDED_S,
    MAX_ADDRESS_CHANGE_WAIT_S,
    MAX_DELAY_AFTER_ANSWER_S,
    MAX_DELAY_S,
    DiscoveryBackoff,
)
from balancer.net.discovery_call import DiscoveryCall
from balancer.net.liveness import (
    CONTENDED_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    QUEUED_AFTER_S,
    REJECTED_RETRY_PERIOD_S,
    RETRY_PERIOD_S,
)


class LongestDraws:
    """A random source that always draws the upper bound."""

    def uniform(self, a: float, b: float) -> float:
        return b


class Clock:
    """A fake clock that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def backoff(clock: Clock) -> DiscoveryBackoff:
    return DiscoveryBackoff(clock, LongestDraws())


def call(clock: Clock, **state: Any) -> DiscoveryCall:
    """Return a stand-in for a call that was dialled now, with some of its state replaced."""
    defaults = {
        "dialled_at": clock.now,
        "first_message_at": None,
        "message_count": 0,
        "was_queued": False,
        "was_ended_by_discovery": False,
        "is_established": lambda now: False,
    }
    return cast(DiscoveryCall, SimpleNamespace(**(defaults | state)))


def delays(backoff: DiscoveryBackoff, failed: DiscoveryCall, count: int) -> list[float]:
    return [backoff.next_delay(failed, is_contended=False) for _ in range(count)]


def test_delays_double_up_to_the_maximum(clock: Clock, backoff: DiscoveryBackoff) -> None:
    expected = [INITIAL_DELAY_S * 2**i for i in range(5)]
    assert delays(backoff, call(clock), 5) == pytest.approx(expected)
    assert delays(backoff, call(clock), 1) == [MAX_DELAY_S]


def test_a_reset_restores_the_initial_delay(clock: Clock, backoff: DiscoveryBackoff) -> None:
    delays(backoff, call(clock), 3)
    backoff.reset()
    assert delays(backoff, call(clock), 1) == [INITIAL_DELAY_S]


@pytest.mark.parametrize(
    ("was_ended_by_discovery", "period"), [(False, RETRY_PERIOD_S), (True, REJECTED_RETRY_PERIOD_S)]
)
def test_a_delay_ends_one_retry_period_after_the_failed_call_was_dialled(
    clock: Clock, backoff: DiscoveryBackoff, was_ended_by_discovery: bool, period: float
) -> None:
    delays(backoff, call(clock), 6)
    failed = call(clock, was_ended_by_discovery=was_ended_by_discovery)
    clock.now += 1.5
    assert delays(backoff, failed, 1) == pytest.approx(
        [min(MAX_DELAY_S, max(MIN_RETRY_DELAY_S, period - 1.5))]
    )


def test_a_call_that_lasts_a_whole_retry_period_leaves_the_minimum_delay(
    clock: Clock, backoff: DiscoveryBackoff
) -> None:
    delays(backoff, call(clock), 6)
    failed = call(clock)
    clock.now += RETRY_PERIOD_S
    assert delays(backoff, failed, 1) == [MIN_RETRY_DELAY_S]


def test_an_established_call_resets_the_delay(clock: Clock, backoff: DiscoveryBackoff) -> None:
    delays(backoff, call(clock), 6)
    backoff.call_failed(call(clock, first_message_at=clock.now, is_established=lambda now: True))
    assert delays(backoff, call(clock), 1) == [INITIAL_DELAY_S]


def test_the_first_answered_call_after_unanswered_ones_shortens_the_delay(
    clock: Clock, backoff: DiscoveryBackoff
) -> None:
    delays(backoff, call(clock), 6)
    backoff.call_failed(call(clock))
    backoff.call_failed(call(clock, first_message_at=clock.now))
    assert delays(backoff, call(clock), 1) == [MAX_DELAY_AFTER_ANSWER_S]


def test_a_second_answered_call_does_not_shorten_the_delay(clock: Clock, backoff: DiscoveryBackoff) -> None:
    backoff.call_failed(call(clock, first_message_at=clock.now))
    delays(backoff, call(clock), 6)
    backoff.call_failed(call(clock, first_message_at=clock.now))
    assert delays(backoff, call(clock), 1) == [MAX_DELAY_S]


def test_a_contended_retry_uses_the_contended_delay(clock: Clock, backoff: DiscoveryBackoff) -> None:
    assert backoff.next_delay(call(clock), is_contended=True) == CONTENDED_RETRY_DELAY_S
    assert backoff.contended_delay() == CONTENDED_RETRY_DELAY_S


def test_discovery_counts_as_contended_for_a_while_after_a_queued_call(
    clock: Clock, backoff: DiscoveryBackoff
) -> None:
    assert backoff.max_address_change_wait_s == MAX_ADDRESS_CHANGE_WAIT_S
    backoff.call_ended(call(clock, was_queued=True))
    assert backoff.is_contended
    assert backoff.max_address_change_wait_s == MAX_ADDRESS_CHANGE_WAIT_CONTENDED_S
    clock.now += CONTENTION_WINDOW_S
    assert not backoff.is_contended


@pytest.mark.parametrize(
    ("waited_s", "message_count", "is_contended"),
    [(QUEUED_AFTER_S, 1, True), (QUEUED_AFTER_S - 0.01, 1, False), (QUEUED_AFTER_S, 2, False)],
    ids=["late", "soon", "later message"],
)
def test_only_a_late_first_message_indicates_contention(
    clock: Clock, backoff: DiscoveryBackoff, waited_s: float, message_count: int, is_contended: bool
) -> None:
    answered = call(clock, message_count=message_count)
    clock.now += waited_s
    backoff.message_received(answered)
    assert backoff.is_contended is is_contended
