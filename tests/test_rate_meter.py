"""Test the request rates of a node and the peak rate that it has sustained."""

from __future__ import annotations

import pytest

from balancer.net.rate_meter import RateMeter, RequestCounts, RequestRates


def test_first_measurement_returns_no_rates() -> None:
    assert RateMeter(0.0).measure(RequestCounts(1.0, 10, 5)) is None


def test_rates_cover_the_time_since_the_previous_measurement() -> None:
    meter = RateMeter(0.0)
    meter.measure(RequestCounts(1.0, 10, 5))
    assert meter.measure(RequestCounts(3.0, 30, 9)) == RequestRates(10.0, 2.0)


def test_measurement_without_elapsed_time_returns_no_rates() -> None:
    meter = RateMeter(0.0)
    meter.measure(RequestCounts(1.0, 10, 5))
    assert meter.measure(RequestCounts(1.0, 11, 6)) is None


def test_peak_rises_with_the_smoothed_rate_and_halves_in_ten_minutes() -> None:
    meter = RateMeter(0.0)
    for _ in range(20):
        meter.record_warm(100.0)
    assert meter.peak == pytest.approx(100.0, rel=0.01)
    for _ in range(600):
        meter.record_warm(0.0)
    assert meter.peak == pytest.approx(50.0, rel=0.05)
