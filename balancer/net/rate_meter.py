"""Request rates of a node, and the peak rate that it has sustained."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.5  # Weight of the latest second in the smoothed rate.
PEAK_DECAY_PER_S = 0.5 ** (1 / 600)  # The peak halves every 600 s.


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """Cumulative request counts of this process at one point in time."""

    counted_at_s: float
    arrived: int
    completed: int


@dataclass(slots=True, frozen=True)
class RequestRates:
    """Requests per second since the previous measurement."""

    arrived_per_s: float
    completed_per_s: float


class RateMeter:
    """Measure rates between two counts, and track the peak of the smoothed completion rate."""

    def __init__(self, peak: float) -> None:
        """Create a meter; `peak` is the saved peak rate, or 0 if there is none."""
        self.peak = peak
        self._smoothed = 0.0
        self._last: RequestCounts | None = None

    def measure(self, counts: RequestCounts) -> RequestRates | None:
        """Return the rates since the previous call, or None if there was none or no time has passed."""
        last = self._last
        self._last = counts
        if last is None or counts.counted_at_s <= last.counted_at_s:
            return None
        elapsed = counts.counted_at_s - last.counted_at_s
        arrived = (counts.arrived - last.arrived) / elapsed
        completed = (counts.completed - last.completed) / elapsed
        return RequestRates(arrived, completed)

    def record_warm(self, completed_per_s: float) -> None:
        """Record the completion rate of a second in which the node was warm; call this once per second."""
        self._smoothed += SMOOTHING * (completed_per_s - self._smoothed)
        self.peak = max(PEAK_DECAY_PER_S * self.peak, self._smoothed)
