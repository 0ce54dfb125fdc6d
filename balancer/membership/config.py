"""Timing and feature switches of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Config:
    """Parameters of SWIM, of Lifeguard's extensions and of the broadcasts beyond them.

    The defaults hold the bounds in `docs/membership.md`. A rate of 0 switches its feature off.
    """

    probe_interval_ms: float = 700.0
    ping_timeout_ms: float = 250.0  # until a probe turns indirect; the ping is repeated after half of it
    indirect_timeout_ms: float = 300.0  # from the indirect pings to the probe's failure
    indirect_probes: int = 3
    min_suspicion_ms: float = 600.0
    max_suspicion_ms: float = 3000.0
    suspicion_confirmations: int = 3  # that shorten a suspicion to its minimum
    expected_verifiers: float = 4.0  # nodes, on average, that probe a member as soon as another suspects it
    broadcasts_per_s: float = 4.0  # own ones and received ones together
    bulk_updates_per_s: float = 8.0  # of the whole tier
    disagreement_alert_ms: float = 10_000.0
    reconnect_periods: int = 4  # probe intervals between two pings of an absent member
    anti_entropy_periods: int = 40  # probe intervals between two digests to a random peer
    local_health_enabled: bool = True  # Lifeguard's LHA-Probe
    buddy_system_enabled: bool = True  # Lifeguard's Buddy System: a suspect is notified first
    dynamic_suspicion_enabled: bool = True  # Lifeguard's LHA-Suspicion
    ping_retry_enabled: bool = True
    flap_damping_ms: float = 120_000.0  # for which a falsely declared death lengthens suspicions; 0: never

    @classmethod
    def plain_swim(cls) -> Config:
        """Return SWIM as published in 2002, without any extension, for comparison."""
        return cls(
            expected_verifiers=0.0,
            broadcasts_per_s=0.0,
            bulk_updates_per_s=0.0,
            local_health_enabled=False,
            buddy_system_enabled=False,
            dynamic_suspicion_enabled=False,
            ping_retry_enabled=False,
            flap_damping_ms=0.0,
        )

    @classmethod
    def with_probe_interval(cls, probe_interval_ms: float) -> Config:
        """Return the defaults with all protocol timeouts scaled to another probe interval."""
        base = cls()
        scale = probe_interval_ms / base.probe_interval_ms
        return cls(
            probe_interval_ms=probe_interval_ms,
            ping_timeout_ms=base.ping_timeout_ms * scale,
            indirect_timeout_ms=base.indirect_timeout_ms * scale,
            min_suspicion_ms=base.min_suspicion_ms * scale,
            max_suspicion_ms=base.max_suspicion_ms * scale,
        )
