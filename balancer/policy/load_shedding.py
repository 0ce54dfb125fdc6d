"""Which requests are shed early: those that cannot be in time, and a part of all while attempts fail."""

from __future__ import annotations

import random

from balancer import interface as api
from balancer.policy.charges import checks_health_before_sending
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import ClassStatistics, Request
from balancer.policy.retries import RETRIES_PER_REQUEST

REQUIRED_TIME_FRACTION = 0.9  # of the expected duration that must be left before a response loses its worth
ADMISSION_FACTOR = 1.4  # shedding begins once the cubed success rate is below one in this
HIGH_VALUE_FACTOR = 3.0  # worth for its time, over the mean, from which a request passes the limits
INITIAL_DENSITY_FACTOR = 4
MIN_ADMITTED_FRACTION = RETRIES_PER_REQUEST  # so that the end of an outage is noticed


class LoadShedding:
    """Learns the success rate of attempts and the mean value of requests, and sheds by them.

    `success_rate` counts responses within the objective; where endpoints are checked before, it is that of
    attempts at idle endpoints.
    """

    __slots__ = ("_checks_first", "_mean_density", "_rng", "success_rate")

    def __init__(self, rng: random.Random, settings: api.Settings) -> None:
        """Start with full trust; the mean value of requests is taken from the classes."""
        self._rng = rng
        self._checks_first = False
        self.success_rate = 1.0
        self._mean_density = (
            sum(c.priority_weight / c.latency_objective_ms for c in settings.classes)
            * INITIAL_DENSITY_FACTOR
            / len(settings.classes)
        )

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._checks_first = checks_health_before_sending(settings)

    def is_high_value(self, statistics: ClassStatistics) -> bool:
        """Count a request of a class and return whether it is worth far more for its time than the mean."""
        density = statistics.config.priority_weight / statistics.expected_ms
        self._mean_density += EWMA_WEIGHT / 2 * (density - self._mean_density)
        return density > HIGH_VALUE_FACTOR * self._mean_density

    def draw_admission(self) -> bool:
        """Draw whether a first attempt is admitted: quiet nodes shed in fractions, by their success rate."""
        return self._rng.random() <= max(MIN_ADMITTED_FRACTION, ADMISSION_FACTOR * self.success_rate**3)

    def observe(self, is_good: bool, is_no_sign_of_load: bool) -> None:
        """Learn from the end of an attempt.

        A lost response is no sign of load, and an endpoint without capacity no sign of the next one: both
        count only where endpoints are checked before.
        """
        if is_good or self._checks_first or not is_no_sign_of_load:
            self.success_rate += EWMA_WEIGHT * (1 + self._checks_first) * (is_good - self.success_rate)


def can_finish_in_time(request: Request, now: float, wait_ms: float = 0.0) -> bool:
    """Return whether a request can be served while that has worth, after waiting for `wait_ms`."""
    if request.is_arriving:
        return True
    expected_ms = request.work_hint or request.statistics.expected_ms
    return now + REQUIRED_TIME_FRACTION * (expected_ms + wait_ms) < request.useful_until
