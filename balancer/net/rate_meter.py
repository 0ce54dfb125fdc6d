"""Request rates of a node, and the most that it has carried."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.5  # weight of the last second
PEAK_DECAY = 0.5 ** (1 / 600)  # a second: by half in 10 min


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """Requests of this process up to a moment."""

    counted_at: float  # s
    arrived: int
    completed: int


@dataclass(slots=True, frozen=True)
class RequestRates:
    """Requests a second since the last measurement."""

    arrived_per_s: float
    completed_per_s: float


class RateMeter:
    """Rates between two counts, and the peak of the smoothed rate of completed requests."""

    def __init__(self, peak: float) -> None:
        """Create a meter; `peak` is a saved one, 0: unknown."""
        self.peak = peak
        self._smoothed = 0.0
        self._last: RequestCounts | None = None

    def measure(self, counts: RequestCounts) -> RequestRates | None:
        """Return the rates since the last call; None if there was none, or no time has passed."""
        last = self._last
        self._last = counts
        if last is None or counts.counted_at <= last.counted_at:
            return None
        elapsed = counts.counted_at - last.counted_at
        arrived = (counts.arrived - last.arrived) / elapsed
        completed = (counts.completed - last.completed) / elapsed
        return RequestRates(arrived, completed)

    def record_warm(self, completed_per_s: float) -> None:
        """Record the rate of a second in which all was warm; call it once a second."""
        self._smoothed += SMOOTHING * (completed_per_s - self._smoothed)
        self.peak = max(PEAK_DECAY * self.peak, self._smoothed)
