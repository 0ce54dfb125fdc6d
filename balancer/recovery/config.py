"""Settings of a node's recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """Times and rate limits of recovery; the defaults keep the bounds in `docs/fleet-recovery.md`."""

    ramp_time_ms: float = 8000.0  # a backend's time from start to warm, as set for the platform
    # Delay between the first two surveys; each further delay is twice as long.
    survey_interval_ms: float = 250.0
    max_survey_ms: float = 2000.0  # longest time for which a node surveys its peers
    isolation_timeout_ms: float = 1000.0  # a node without a majority ends its survey then
    # A peer with a longer uptime did not restart together with this node.
    established_after_ms: float = 60_000.0
    poll_slot_ms: float = 25.0  # distance between the polls of discovery by successive nodes
    datagrams_per_s: float = 3.0  # rate limit for the recovery datagrams of one node
    burst_datagrams: float = 3.0

    @property
    def max_listed_ms(self) -> float:
        """Maximum wait for discovery's list; the node then warms up by its own start time alone."""
        return 1.5 * self.ramp_time_ms

    @property
    def max_warming_ms(self) -> float:
        """Maximum time from the first served request to `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time_ms
