"""Deterministic subsetting: each node sends requests to a subset of the listed endpoints.

The first `subset_size` endpoints of the node's order form the subset, and as many that follow its reserve. A
small subset keeps the number of connections low and the load estimates precise. The subsets of all nodes
spread evenly over the endpoints, and a change of the list changes only a few of them.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field

from balancer import interface as api
from balancer.policy.charges import (
    HEALTH_CHECK_SAMPLE_SIZE,
    MAX_HEALTH_CHECK_ROUNDS,
    checks_health_before_sending,
)
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.ordered_names import Insertion

NODES_PER_ENDPOINT = 5
MIN_SUBSET_SIZE = 3
# Multiples of the golden ratio spread evenly on a ring, for any number of nodes.
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2
HASH_BYTES = 6
HASH_RANGE = 2**48


@dataclass(slots=True, eq=False)
class Subsetting:
    """The node's position among all nodes, and the sizes that follow from the list.

    `local_count` is the number of endpoints in the node's own zone, or of all if that has none.
    `peak_endpoint_count` is the largest number of endpoints in service so far, by which the share of a warm
    endpoint is computed. `endpoints_per_zone` is the mean number of endpoints in a zone.
    """

    index: EndpointIndex
    subset_size: int = field(default=0, init=False)
    local_count: int = field(default=0, init=False)
    peak_endpoint_count: int = field(default=0, init=False)
    endpoints_per_zone: float = field(default=0.0, init=False)
    _node_index: int = field(default=0, init=False)
    _node_count: int = field(default=1, init=False)
    _checks_health_first: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._node_index = settings.node_index
        self._node_count = settings.node_count
        self._checks_health_first = checks_health_before_sending(settings)

    def resize(self) -> None:
        """Recompute the sizes after the list or the settings changed."""
        count = len(self.index.order)
        self.peak_endpoint_count = max(self.peak_endpoint_count, count)
        self.subset_size = self._subset_size_of(count)
        self.local_count = len(self.index.order.local) or count
        self.endpoints_per_zone = count / max(1, len(self.index.zones))

    def ring_position(self, name: str) -> float:
        """Return the node's position on a ring, 0 to 1, rotated by a hash of the endpoint's name."""
        digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
        angle = int.from_bytes(digest) / HASH_RANGE
        return (self._node_index * GOLDEN_RATIO_FRACTION + angle) % 1.0

    def insertions(self, names: list[str], side_size: int, positions: dict[str, int]) -> list[Insertion]:
        """Return the insertions of new endpoints among the `side_size` local or remote ones of the order.

        An endpoint with an entry in `positions`, which is removed, returns to that position, so that the same
        nodes as before send to it. A new endpoint becomes part of as many subsets as any other.
        """
        size = side_size + len(names)
        ring = {name: self.ring_position(name) for name in names}
        wanted = [(positions.pop(name, int(at * size)), at, name) for name, at in ring.items()]
        taken = dict[int, str]()
        free = 0
        for position, _, name in sorted(wanted):
            # A name whose position is taken gets the next free position.
            free = max(free, min(position, size - 1))
            taken[free] = name
            free += 1
        gaps = (position for position in range(size) if position not in taken)
        for position in range(size, free):  # Positions beyond the end wrap around to the first gaps.
            taken[next(gaps)] = taken.pop(position)
        return [(position - number, name) for number, (position, name) in enumerate(sorted(taken.items()))]

    def initial_order(self, names: list[str], local_names: set[str], rng: random.Random) -> list[str]:
        """Return the order of a first list: an evenly spaced subset of local endpoints, then all others."""
        local = [name for name in names if name in local_names] or names
        count = len(local)
        subset_size = min(self._subset_size_of(len(names)), count)
        first = int(self._node_index * GOLDEN_RATIO_FRACTION % 1.0 * count)
        # Integer division of the multiples gives distinct indexes, so that no endpoint is selected twice.
        subset = [local[(first + number * count // subset_size) % count] for number in range(subset_size)]
        rest = sorted(set(names) - set(subset))
        return subset + rng.sample(rest, len(rest))

    def _subset_size_of(self, count: int) -> int:
        if self._checks_health_first:  # A larger subset would only fill the connection tables of endpoints.
            return min(count, HEALTH_CHECK_SAMPLE_SIZE * MAX_HEALTH_CHECK_ROUNDS)
        return min(count, max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_ENDPOINT * count / self._node_count)))
