"""Upper bound of the work that the nodes of a simulated tier send to cold backends."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from balancer.policy.slow_start import WARMING_BUDGET_FRACTION
from balancer.recovery.phases import Phase
from balancer.sim.recovery_environment import FALL_MULTIPLE, RAMP_MS, warmth
from balancer.sim.recovery_process import Process
from balancer.sim.recovery_world import OBSERVATION_MS, Tier

# After an outage, the nodes that assume a backend to be warm may together send it twice its capacity.
DEMAND_AFTER_OUTAGE_IN_CAPACITIES = 2.0


@dataclass(slots=True, frozen=True)
class OverloadedBackend:
    """A cold backend that received more work than its budget."""

    name: str
    age_ms: float


def overloaded_backends(tier: Tier) -> Iterator[OverloadedBackend]:
    """Add each node's maximum work during `OBSERVATION_MS`; yield the backends that this overloads."""
    cold = {name: backend for name, backend in tier.backends.items() if backend.is_cold(tier.now)}
    serving = [(node, p) for node, p in enumerate(tier.processes) if p is not None and p.serves]
    for node, process in serving if cold else ():
        for name, backend in cold.items():
            work = _max_work(tier, node, process, name, len(serving))
            if work is not None and backend.offer(tier.now, work):
                yield OverloadedBackend(name, tier.now - backend.start)


def _max_work(tier: Tier, node: int, process: Process, name: str, serving_count: int) -> float | None:
    """Return a node's maximum work for a cold backend; None if it is banned or its start is unknown."""
    believed_age = _believed_age(tier, node, process, name)
    if believed_age is None or name in process.banned:
        return None
    capacity = None if process.phase is Phase.FULL else process.capacity
    share = capacity.share if capacity is not None else 1.0 / serving_count
    is_cold = believed_age < RAMP_MS
    part = (
        WARMING_BUDGET_FRACTION * FALL_MULTIPLE * warmth(believed_age)
        if is_cold
        else DEMAND_AFTER_OUTAGE_IN_CAPACITIES
    )
    return share * part * OBSERVATION_MS


def _believed_age(tier: Tier, node: int, process: Process, name: str) -> float | None:
    """Return a backend's age as a node knows it; None if the node does not know of its last start."""
    start = tier.backends[name].start
    if process.listed_starts:
        return tier.now - start if process.listed_starts.get(name) == start else None
    if not process.lost_power_with_tier or start > process.began_at:
        return None
    if process.phase is Phase.FULL or process.capacity is None:
        return math.inf
    return tier.now + tier.hosts[node].clock_offset - process.capacity.cold_since
