"""Request rates of a node, and the most that it has carried."""

from __future__ import annotations

import pytest

from balancer.net.rate_meter import RateMeter, RequestCounts, RequestRates


def test_the_first_count_gives_no_rates() -> None:
    assert RateMeter(0.0).measure(RequestCounts(1.0, 10, 5)) is None


def test_rates_are_those_since_the_last_count() -> None:
    meter = RateMeter(0.0)
    meter.measure(RequestCounts(1.0, 10, 5))
    assert meter.measure(RequestCounts(3.0, 30, 9)) == RequestRates(10.0, 2.0)


def test_no_time_between_two_counts_gives_no_rates() -> None:
    meter = RateMeter(0.0)
    meter.measure(RequestCounts(1.0, 10, 5))
    assert meter.measure(RequestCounts(1.0, 11, 6)) is None


def test_the_peak_follows_the_smoothed_rate_up_and_fades_by_half_in_ten_minutes() -> None:
    meter = RateMeter(0.0)
    for _ in range(20):
        meter.record_warm(100.0)
    assert meter.peak == pytest.approx(100.0, rel=0.01)
    for _ in range(600):
        meter.record_warm(0.0)
    assert meter.peak == pytest.approx(50.0, rel=0.05)
