"""Settings of a node's recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """Times and rate limits of recovery; the defaults keep the bounds in `docs/fleet-recovery.md`.

    Attributes:
        ramp_time_ms: Time from a backend's start until it is warm, as set for the platform.
        survey_interval_ms: Delay between the first two surveys; each further delay is twice as long.
        max_survey_ms: Longest time for which a node surveys its peers.
        isolation_timeout_ms: Time after which a node without a majority of the tier ends its survey.
        established_after_ms: Uptime above which a peer did not restart together with this node.
        poll_slot_ms: Distance between the polls of discovery by successive nodes.
        datagrams_per_s: Rate limit for the recovery datagrams that one node sends.
        burst_datagrams: Number of datagrams that a node may send at once.
    """

    ramp_time_ms: float = 8000.0
    survey_interval_ms: float = 250.0
    max_survey_ms: float = 2000.0
    isolation_timeout_ms: float = 1000.0
    established_after_ms: float = 60_000.0
    poll_slot_ms: float = 25.0
    datagrams_per_s: float = 3.0
    burst_datagrams: float = 3.0

    @property
    def max_listed_ms(self) -> float:
        """Maximum wait for discovery's list; the node then warms up by its own start time alone."""
        return 1.5 * self.ramp_time_ms

    @property
    def max_warming_ms(self) -> float:
        """Maximum time from the first served request to `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time_ms
