"""Division of the capacity of cold backends among the nodes of a tier, weighted by demand."""

from __future__ import annotations

import math
from collections.abc import Sequence

EQUAL_PART = 0.2  # divided equally: a node without requests in the last second has some in the next
MAX_PEER_DEMAND = 4.0  # times all the rest, this node included


def demand_weighted_share(own_demand: float, peer_demands: Sequence[float]) -> float:
    """Return this node's share, from 0 to 1.

    An unknown demand counts as the mean of the known ones. The largest peer counts as four fifths of all at
    most, so that no single one can take more by what it reports. As it does not know of that, all shares
    together come to 1.16 at most, which partitions and views that lag double.

    Args:
        own_demand: Requests a second at this node; infinite if unknown.
        peer_demands: The same of each peer that is present.
    """
    equal_share = 1.0 / (len(peer_demands) + 1)
    known = [demand for demand in (own_demand, *peer_demands) if demand < math.inf]
    if not known:
        return equal_share
    mean = sum(known) / len(known)
    own = own_demand if own_demand < math.inf else mean
    peers = sorted(demand if demand < math.inf else mean for demand in peer_demands)
    largest_peer = peers[-1] if peers else 0.0
    if peers:
        peers[-1] = min(largest_peer, MAX_PEER_DEMAND * (own + sum(peers[:-1])))
    total = own + sum(peers)
    if total > 0:
        part = own / total
    elif largest_peer > 0:  # it has all the demand: what it leaves is for all others alike
        part = 1.0 / (1.0 + MAX_PEER_DEMAND) / len(peers)
    else:
        part = equal_share
    return (1.0 - EQUAL_PART) * part + EQUAL_PART * equal_share
