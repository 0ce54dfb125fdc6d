"""Which endpoints a node feeds: a subset of its own order of the list.

The first `width` endpoints of the order are the subset, the next as many its reserve. A small subset
keeps connections few and estimates tight. Subsets of all nodes start evenly spread, and changes move few.
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

NODES_PER_ENDPOINT = 5  # that feed it
MIN_SUBSET_SIZE = 3
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2  # its multiples lie evenly on a ring, for any set of nodes
HASH_BYTES = 6
HASH_RANGE = 2**48


@dataclass(slots=True, eq=False)
class Subsetting:
    """The node's position among all nodes, and the sizes that follow from the list."""

    index: EndpointIndex
    subset_size: int = field(default=0, init=False)  # endpoints in the subset
    # Endpoints of the own zone; all of them where it has none.
    local_count: int = field(default=0, init=False)
    # Most endpoints that ever had work: what the share of a warm one is measured by.
    peak_endpoint_count: int = field(default=0, init=False)
    # If they were spread evenly.
    endpoints_per_zone: float = field(default=0.0, init=False)
    _node_index: int = field(default=0, init=False)
    _node_count: int = field(default=1, init=False)
    _checks_first: bool = field(default=False, init=False)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self._node_index = settings.node_index
        self._node_count = settings.node_count
        self._checks_first = checks_health_before_sending(settings)

    def resize(self) -> None:
        """Compute the sizes anew after the list or the settings have changed."""
        count = len(self.index.order)
        self.peak_endpoint_count = max(self.peak_endpoint_count, count)
        self.subset_size = self._width_of(count)
        self.local_count = len(self.index.order.local) or count
        self.endpoints_per_zone = count / max(1, len(self.index.zones))

    def ring_position(self, name: str) -> float:
        """Return the node's position on a ring, 0 to 1, that each endpoint turns by another angle."""
        digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
        angle = int.from_bytes(digest) / HASH_RANGE
        return (self._node_index * GOLDEN_RATIO_FRACTION + angle) % 1.0

    def insertions(self, names: list[str], side_size: int, positions: dict[str, int]) -> list[Insertion]:
        """Return where new endpoints go in one side of the order, which has `side_size` of them.

        An endpoint that returns to its former place in `positions`, which this takes it from, is fed again by
        the nodes that fed it before. A new one falls into as many subsets as any other.
        """
        size = side_size + len(names)
        ring = {name: self.ring_position(name) for name in names}
        wanted = [(positions.pop(name, int(at * size)), at, name) for name, at in ring.items()]
        taken = dict[int, str]()
        free = 0
        for position, _, name in sorted(wanted):
            # Where one has gone before, the next takes the next position.
            free = max(free, min(position, size - 1))
            taken[free] = name
            free += 1
        gaps = (position for position in range(size) if position not in taken)
        for position in range(size, free):  # on a ring, the first positions follow the last
            taken[next(gaps)] = taken.pop(position)
        return [(position - number, name) for number, (position, name) in enumerate(sorted(taken.items()))]

    def initial_order(self, names: list[str], local_names: set[str], rng: random.Random) -> list[str]:
        """Return the order of a first list: an evenly laid subset of the local endpoints, then the rest."""
        local = [name for name in names if name in local_names] or names
        count = len(local)
        width = min(self._width_of(len(names)), count)
        first = int(self._node_index * GOLDEN_RATIO_FRACTION % 1.0 * count)
        # Whole steps, so that none is taken twice.
        subset = [local[(first + number * count // width) % count] for number in range(width)]
        rest = sorted(set(names) - set(subset))
        return subset + rng.sample(rest, len(rest))

    def _width_of(self, count: int) -> int:
        if self._checks_first:  # others would only fill the endpoints' connection tables
            return min(count, HEALTH_CHECK_SAMPLE_SIZE * MAX_HEALTH_CHECK_ROUNDS)
        return min(count, max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_ENDPOINT * count / self._node_count)))
