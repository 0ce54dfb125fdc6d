"""Settings of a node's recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """Times and rate limits of recovery; the defaults keep the bounds in `docs/fleet-recovery.md`."""

    ramp_time_ms: float = 8000.0  # a backend is warm this long after its start; from the platform's settings
    # Delay between the first two surveys; each further delay is twice as long.
    survey_interval_ms: float = 250.0
    max_survey_ms: float = 2000.0  # a node stops surveying its peers after this time
    isolation_timeout_ms: float = 1000.0  # without a majority a node waits this long for peers to answer
    # A peer with a longer uptime did not restart together with this node.
    established_after_ms: float = 60_000.0
    poll_slot_ms: float = 25.0  # polls of discovery by successive nodes are this far apart
    datagrams_per_s: float = 3.0  # each node sends no more recovery datagrams than this, after a burst
    burst_datagrams: float = 3.0

    @property
    def max_listed_ms(self) -> float:
        """Maximum wait for discovery's list; the node then warms up by its own start time alone."""
        return 1.5 * self.ramp_time_ms

    @property
    def max_warming_ms(self) -> float:
        """Maximum time from the first served request to `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time_ms
