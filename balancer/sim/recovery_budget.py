"""Traffic of a simulated tier to cold backends: an upper bound of what its nodes send."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from balancer.policy.slow_start import WARMING_BUDGET_FRACTION
from balancer.recovery.phases import Phase
from balancer.sim.recovery_environment import FALL_MULTIPLE, RAMP_MS, warmth
from balancer.sim.recovery_process import Process
from balancer.sim.recovery_world import OBSERVATION_MS, Tier

STORM_DEMAND = 2.0  # after an outage, in capacities: what nodes send that think a backend warm


@dataclass(slots=True, frozen=True)
class OverloadedBackend:
    """A backend that was sent more than its budget."""

    name: str
    age_ms: float


def overloaded_backends(tier: Tier) -> Iterator[OverloadedBackend]:
    """Send what nodes may for `OBSERVATION_MS`; yield the backends that topple."""
    cold = {name: backend for name, backend in tier.backends.items() if backend.is_cold(tier.now)}
    serving = [(node, p) for node, p in enumerate(tier.processes) if p is not None and p.serves]
    for node, process in serving if cold else ():
        for name, backend in cold.items():
            work = _work(tier, node, process, name, len(serving))
            if work is not None and backend.offer(tier.now, work):
                yield OverloadedBackend(name, tier.now - backend.start)


def _work(tier: Tier, node: int, process: Process, name: str, serving_count: int) -> float | None:
    """Return what a node may send to a cold backend; None if nothing, or if it does not know of its start."""
    believed_age = _believed_age(tier, node, process, name)
    if believed_age is None or name in process.banned:
        return None
    capacity = None if process.phase is Phase.FULL else process.capacity
    share = capacity.share if capacity is not None else 1.0 / serving_count
    is_cold = believed_age < RAMP_MS
    part = WARMING_BUDGET_FRACTION * FALL_MULTIPLE * warmth(believed_age) if is_cold else STORM_DEMAND
    return share * part * OBSERVATION_MS


def _believed_age(tier: Tier, node: int, process: Process, name: str) -> float | None:
    """Return how old a backend is for a node that knows of its start; None for one that does not."""
    start = tier.backends[name].start
    if process.listed_starts:
        return tier.now - start if process.listed_starts.get(name) == start else None
    if not process.power_cut or start > process.began:
        return None
    if process.phase is Phase.FULL or process.capacity is None:
        return math.inf
    return tier.now + tier.hosts[node].clock_offset - process.capacity.cold_since
