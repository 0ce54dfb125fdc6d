"""Statistics of each request class, across changes of the settings."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from balancer import interface as api
from balancer.policy.constants import EWMA_WEIGHT
from balancer.policy.records import ClassStatistics

INITIAL_OBJECTIVE_FRACTION = 1 / 4  # of the latency objective: what a response is first expected to take
TIME_LEFT_TOLERANCE_TICKS = 2


@dataclass(slots=True, eq=False)
class ClassTable:
    """The classes of the settings in force, with what was learned of each."""

    by_name: dict[str, ClassStatistics] = field(default_factory=dict)
    mean_expected_ms: float = field(default=0.0, init=False)  # of the expected durations of all classes
    _expected_sum_ms: float = field(default=0.0, init=False)
    _clock_granularity_ms: float = field(default=0.0, init=False)
    _settings: api.Settings = field(init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings. A class that stays keeps its statistics."""
        former = self.by_name
        self._settings = settings
        self._clock_granularity_ms = settings.clock_granularity_ms
        self.by_name = {c.name: _statistics(c, former.get(c.name)) for c in settings.classes}
        for statistics in self.by_name.values():
            statistics.expected_ms = bounded_expected_ms(statistics.config, statistics.expected_ms)
        self.refresh_mean()

    def refresh_mean(self) -> None:
        """Compute the mean anew after expected durations were set one by one."""
        self._expected_sum_ms = sum(s.expected_ms for s in self.by_name.values())
        self.mean_expected_ms = self._expected_sum_ms / len(self.by_name)

    def for_arrival(self, event: api.RequestArrived) -> tuple[ClassStatistics, int]:
        """Return the class of a request and its allowed attempts, by the settings under which it arrived.

        Raises CallError where these settings have no such class.
        """
        settings = event.settings or self._settings
        statistics = self.by_name.get(event.class_name)
        if settings is not self._settings:
            config = next((c for c in settings.classes if c.name == event.class_name), None)
            if config is not None and (statistics is None or statistics.config != config):
                statistics = _statistics(config, statistics)
        if statistics is None:
            raise api.CallError(f"unknown class: {event.class_name!r}")
        return statistics, settings.max_attempts

    def observe_duration(self, statistics: ClassStatistics, duration_ms: float) -> None:
        """Update the expected duration of a class and its deviation."""
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
        """Return until when a response is worth something, for a request that is complete now."""
        config = statistics.config
        time_left = deadline - now
        # Where late responses have some worth they are useful up to the deadline of the class.
        objective_ms = (
            config.deadline_ms
            if config.late_weight_fraction > 0
            else config.latency_objective_ms
            + config.objective_ms_per_work_unit * (work_hint or 0.0)
            - self._age_ms(statistics, time_left)
        )
        return min(deadline, now + objective_ms)

    def _age_ms(self, statistics: ClassStatistics, time_left_ms: float) -> float:
        """Return how long ago the client made its first attempt, judged by the time that it has left.

        First attempts of a class all get the same time; a majority vote (Boyer and Moore) finds it, so that a
        single retry with more time does not make all first attempts look old.
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
    """Return an expected duration under which requests of the class are sent.

    Without the bound a class whose objective got shorter would be shed and never learn that it can be met.
    """
    return min(
        expected_ms, config.deadline_ms if config.late_weight_fraction > 0 else config.latency_objective_ms
    )


def _statistics(config: api.RequestClass, former: ClassStatistics | None) -> ClassStatistics:
    if former is None:
        return ClassStatistics(config, config.latency_objective_ms * INITIAL_OBJECTIVE_FRACTION)
    return replace(former, config=config)
