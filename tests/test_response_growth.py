"""Unit tests of what a response of unknown length is taken for, by how it has grown."""

from __future__ import annotations

import pytest

from balancer.policy.response_growth import MAX_HOLD_MS, MAX_UNPROVEN_MS, RECENT_MS, ResponseGrowth

LONG_BYTES = 65_536


def grown(*arrivals: tuple[float, int]) -> ResponseGrowth:
    """Return the growth of a response whose bytes came at these times (ms), in these numbers."""
    (first_at, size), *others = arrivals
    growth = ResponseGrowth(LONG_BYTES, first_at, size)
    for at, count in others:
        size += count
        growth.record(at, size)
    return growth


def at_rate(bytes_per_s: float, until_ms: float) -> ResponseGrowth:
    """Return the growth of a response at a steady rate."""
    return grown(*[(at, int(bytes_per_s / 20)) for at in range(0, int(until_ms), 50)])


@pytest.mark.parametrize(
    ("growth", "is_long"),
    [
        (grown((0.0, 32_768)), False),
        (grown((0.0, 32_769)), True),
        (grown((0.0, 16_000), (3.0, 16_000), (6.0, 8_000)), True),
        (grown((0.0, 20_000), (RECENT_MS + 1, 20_000)), False),
        (grown((0.0, 20_000), (RECENT_MS + 1, 20_000), (2 * RECENT_MS + 2, 20_000)), True),
        (at_rate(20_480, 1250), False),
        (at_rate(64_000, 650), True),
    ],
)
def test_response_is_taken_for_long_if_as_much_again_would_make_it_long(
    growth: ResponseGrowth, is_long: bool
) -> None:
    assert growth.take_for_long() == is_long
    assert growth.may_outlast_deadline(2000.0) == is_long


def test_response_taken_for_long_has_limited_time_to_become_long() -> None:
    growth = grown((0.0, 40_000))
    assert growth.may_outlast_deadline(1000.0)
    growth.record(1500.0, 40_100)  # A trickle neither confirms nor refutes it.
    assert growth.may_outlast_deadline(1000.0 + MAX_UNPROVEN_MS - 1)
    assert not growth.may_outlast_deadline(1000.0 + MAX_UNPROVEN_MS)
    growth.record(5000.0, LONG_BYTES + 1)
    assert growth.may_outlast_deadline(60_000.0)


def test_response_at_its_deadline_may_become_long_by_its_latest_rate() -> None:
    left_ms = 250.0
    assert at_rate(64_000, 400).may_become_long(400.0, left_ms)
    assert not at_rate(20_480, 1000).may_become_long(1000.0, left_ms)
    assert not grown((0.0, 5_000)).may_become_long(400.0, left_ms)
    assert grown((0.0, 20_000)).may_become_long(100.0, left_ms)
    assert not grown((0.0, 20_000)).may_become_long(400.0, left_ms)
    assert grown((0.0, 40_000)).may_become_long(60_000.0, left_ms)


def test_response_is_held_unless_it_will_be_whole_or_long_in_time() -> None:
    assert not grown((0.0, 2_000), (100.0, 2_000)).may_be_passed_on(100.0, 1000.0)
    assert grown((0.0, 2_000), (100.0, 8_000)).may_be_passed_on(100.0, 1000.0)
    assert not grown((0.0, 2_000), (100.0, 8_000)).may_be_passed_on(100.0, 500.0)
    assert grown((0.0, 2_000)).may_be_passed_on(MAX_HOLD_MS, 1000.0)
