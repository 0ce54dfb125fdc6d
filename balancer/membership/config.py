"""Timeouts, rates and feature switches of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Config:
    """Parameters of SWIM, of Lifeguard's extensions and of the broadcasts that this implementation adds.

    The defaults meet the bounds in `docs/membership.md`. A rate of 0 disables its feature.
    """

    probe_interval_ms: float = 700.0
    # Time from the first ping to the indirect probes. The ping is repeated after half of it.
    ping_timeout_ms: float = 250.0
    # Time from the indirect probes until the member counts as unreachable.
    indirect_timeout_ms: float = 300.0
    indirect_probes: int = 3
    min_suspicion_ms: float = 600.0
    max_suspicion_ms: float = 3000.0
    # Number of independent confirmations that shorten a suspicion to its minimum timeout.
    suspicion_confirmations: int = 3
    # Average number of nodes that probe a member as soon as another node suspects it.
    expected_verifiers: float = 4.0
    # Limit on urgent broadcasts. Those received from peers count as well as those of this node.
    broadcasts_per_s: float = 4.0
    # Rate of bulk broadcasts of the whole tier, not of each node.
    bulk_updates_per_s: float = 8.0
    disagreement_alert_ms: float = 10_000.0
    # Number of probe intervals between two pings of a random absent member.
    reconnect_periods: int = 4
    # Number of probe intervals between two digests sent to a random peer.
    anti_entropy_periods: int = 40
    # Enables LHA-Probe of Lifeguard: probe timeouts grow while the local node seems slow.
    local_health_enabled: bool = True
    # Enables the Buddy System of Lifeguard: a message to a suspect starts with the suspicion to refute.
    buddy_system_enabled: bool = True
    # Enables LHA-Suspicion of Lifeguard: confirmations shorten the suspicion timeout.
    dynamic_suspicion_enabled: bool = True
    ping_retry_enabled: bool = True
    # Time for which a false death lengthens the suspicion timeouts of its member; 0 disables flap damping.
    flap_damping_ms: float = 120_000.0

    @classmethod
    def plain_swim(cls) -> Config:
        """Return the configuration of SWIM as published in 2002, without any extension, for comparison."""
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
        """Return the default configuration with all protocol timeouts scaled to another probe interval."""
        base = cls()
        scale = probe_interval_ms / base.probe_interval_ms
        return cls(
            probe_interval_ms=probe_interval_ms,
            ping_timeout_ms=base.ping_timeout_ms * scale,
            indirect_timeout_ms=base.indirect_timeout_ms * scale,
            min_suspicion_ms=base.min_suspicion_ms * scale,
            max_suspicion_ms=base.max_suspicion_ms * scale,
        )
