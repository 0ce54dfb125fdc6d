"""Settings of a node's recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """Times in ms. The defaults hold the bounds in `docs/fleet-recovery.md`."""

    ramp_time_ms: float = 8000.0  # after which a backend is warm, from the platform's settings
    survey_interval_ms: float = 250.0  # from the first survey to the second, then doubled each time
    max_survey_ms: float = 2000.0  # for which a node asks its peers at most
    isolation_timeout_ms: float = 1000.0  # for which it waits for a majority
    established_after_ms: float = 60_000.0  # uptime from which a peer did not restart with this node
    poll_slot_ms: float = 25.0  # of the discovery service, for each node
    datagrams_per_s: float = 3.0  # of the recovery protocol
    burst_datagrams: float = 3.0  # datagrams

    @property
    def max_listed_ms(self) -> float:
        """Time for which a node waits for discovery before it relies on its own start alone."""
        return 1.5 * self.ramp_time_ms

    @property
    def max_warming_ms(self) -> float:
        """Time from the first served request until `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time_ms
