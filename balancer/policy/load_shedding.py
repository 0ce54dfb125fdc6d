"""Load shedding: rejects requests that cannot finish in time, and a fraction of all while attempts fail."""

from __future__ import annotations

import random

from balancer import interface as api
from balancer.policy.charges import checks_health_before_sending
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import ClassStatistics, Request
from balancer.policy.retries import RETRIES_PER_REQUEST

REQUIRED_TIME_FRACTION = 0.9  # A request with less than 90 % of its expected duration left is shed.
ADMISSION_FACTOR = 1.4  # Shedding starts once 1.4 times the cube of the success rate is below 1.
# Requests bypass the limits if their worth per expected duration is 3 times the mean.
HIGH_VALUE_FACTOR = 3.0
INITIAL_DENSITY_FACTOR = 4
# A few requests are always admitted to detect the end of an outage.
MIN_ADMITTED_FRACTION = RETRIES_PER_REQUEST


class LoadShedding:
    """Tracks the success rate of attempts and the mean value density of requests, and sheds by them.

    An attempt succeeds with a response within the objective. If requests wait for health checks,
    `success_rate` covers only attempts at endpoints that reported to be idle. Value density is the priority
    weight of a request over its expected duration.
    """

    __slots__ = ("_checks_health_first", "_mean_density", "_rng", "success_rate")

    def __init__(self, rng: random.Random, settings: api.Settings) -> None:
        """Start with a success rate of 1 and a mean value density derived from the classes."""
        self._rng = rng
        self._checks_health_first = False
        self.success_rate = 1.0
        self._mean_density = (
            sum(c.priority_weight / c.latency_objective_ms for c in settings.classes)
            * INITIAL_DENSITY_FACTOR
            / len(settings.classes)
        )

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._checks_health_first = checks_health_before_sending(settings)

    def is_high_value(self, statistics: ClassStatistics) -> bool:
        """Add a request to the mean value density; return whether its own density is far higher."""
        density = statistics.config.priority_weight / statistics.expected_ms
        self._mean_density += EWMA_WEIGHT / 2 * (density - self._mean_density)
        return density > HIGH_VALUE_FACTOR * self._mean_density

    def draw_admission(self) -> bool:
        """Draw whether a first attempt is admitted, with a probability that follows the success rate."""
        return self._rng.random() <= max(MIN_ADMITTED_FRACTION, ADMISSION_FACTOR * self.success_rate**3)

    def observe(self, is_success: bool, is_load_independent: bool) -> None:
        """Update the success rate after an attempt ended.

        A lost response does not indicate load, and a full endpoint says nothing about the load of the next
        one: without health checks before sending, neither of them counts as a failure.
        """
        if is_success or self._checks_health_first or not is_load_independent:
            self.success_rate += (
                EWMA_WEIGHT * (1 + self._checks_health_first) * (is_success - self.success_rate)
            )


def can_finish_in_time(request: Request, now: float, wait_ms: float = 0.0) -> bool:
    """Return whether the response to a request can be in time after another `wait_ms` of waiting."""
    if request.is_arriving:
        return True
    expected_ms = request.work_hint or request.statistics.expected_ms
    return now + REQUIRED_TIME_FRACTION * (expected_ms + wait_ms) < request.useful_until
