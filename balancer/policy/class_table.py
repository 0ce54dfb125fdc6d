"""Statistics of the request classes, kept across changes of the settings."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import ClassStatistics

INITIAL_OBJECTIVE_FRACTION = 1 / 4  # Until measured, a response is expected in a quarter of its objective.
TIME_LEFT_TOLERANCE_TICKS = 2


@dataclass(slots=True, eq=False)
class ClassTable:
    """The request classes of the present settings, with their observed statistics."""

    by_name: dict[str, ClassStatistics] = field(default_factory=dict)
    mean_expected_ms: float = field(default=0.0, init=False)
    _expected_sum_ms: float = field(default=0.0, init=False)
    _clock_granularity_ms: float = field(default=0.0, init=False)
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings; classes that remain keep their statistics."""
        previous = self.by_name
        self._settings = settings
        self._clock_granularity_ms = settings.clock_granularity_ms
        self.by_name = {c.name: _statistics(c, previous.get(c.name)) for c in settings.classes}
        for statistics in self.by_name.values():
            statistics.expected_ms = bounded_expected_ms(statistics.config, statistics.expected_ms)
        self.refresh_mean()

    def refresh_mean(self) -> None:
        """Recompute the mean after expected durations were set directly."""
        self._expected_sum_ms = sum(s.expected_ms for s in self.by_name.values())
        self.mean_expected_ms = self._expected_sum_ms / len(self.by_name)

    def for_arrival(self, event: api.RequestArrived) -> tuple[ClassStatistics, int]:
        """Return the class statistics and the maximum of attempts of an arriving request.

        Both follow the settings under which the request arrived. Raises CallError if they lack the class.
        """
        settings = event.settings or self._settings
        statistics = self.by_name.get(event.class_name)
        if settings is not self._settings:
            config = next((c for c in settings.classes if c.name == event.class_name), None)
            if config is not None and (statistics is None or statistics.config != config):
                statistics = _statistics(config, statistics)
        if statistics is None:
            raise api.CallError(f"unknown class: the settings have no request class {event.class_name!r}")
        return statistics, settings.max_attempts

    def observe_duration(self, statistics: ClassStatistics, duration_ms: float) -> None:
        """Update the expected duration of a class and its mean deviation with a response."""
        statistics.deviation_ms += EWMA_WEIGHT * (
            abs(duration_ms - statistics.expected_ms) - statistics.deviation_ms
        )
        step = EWMA_WEIGHT * (duration_ms - statistics.expected_ms)
        statistics.expected_ms += step
        if self.by_name.get(statistics.config.name) is statistics:
            self._expected_sum_ms += step
            self.mean_expected_ms = self._expected_sum_ms / len(self.by_name)

    def useful_until(
        self, statistics: ClassStatistics, deadline: float, work_hint: float | None, now: float
    ) -> float:
        """Return the latest time at which a response is useful, for a request that is complete now."""
        config = statistics.config
        time_left = deadline - now
        # A class that gives some worth to late responses has them useful up to its deadline.
        objective_ms = (
            config.deadline_ms
            if config.late_weight_fraction > 0
            else config.latency_objective_ms
            + config.objective_ms_per_work_unit * (work_hint or 0.0)
            - self._age_ms(statistics, time_left)
        )
        return min(deadline, now + objective_ms)

    def _age_ms(self, statistics: ClassStatistics, time_left_ms: float) -> float:
        """Estimate from a request's remaining time how long ago its client sent the first attempt.

        First attempts of a class all start with the same time left. A Boyer-Moore majority vote finds that
        time, so that a single retry with more time left does not make all first attempts look old.
        """
        difference_ms = abs(time_left_ms - statistics.first_attempt_ms)
        is_first = difference_ms <= TIME_LEFT_TOLERANCE_TICKS * self._clock_granularity_ms
        statistics.first_attempt_votes += 1 if is_first else -1
        if statistics.first_attempt_votes < 0:
            statistics.first_attempt_ms = time_left_ms
            statistics.first_attempt_votes = 1
            is_first = True
        return 0.0 if is_first else max(0.0, statistics.config.deadline_ms - time_left_ms)


def bounded_expected_ms(config: api.RequestClass, expected_ms: float) -> float:
    """Limit an expected duration to the time in which a response of the class is useful.

    Without the limit, all requests of a class whose objective was tightened would be shed, and the node would
    never observe that the objective can be met.
    """
    return min(
        expected_ms, config.deadline_ms if config.late_weight_fraction > 0 else config.latency_objective_ms
    )


def _statistics(config: api.RequestClass, previous: ClassStatistics | None) -> ClassStatistics:
    if previous is None:
        return ClassStatistics(config, config.latency_objective_ms * INITIAL_OBJECTIVE_FRACTION)
    return replace(previous, config=config)
