"""Divide the capacity of cold backends among the nodes of a tier, weighted by demand."""

from __future__ import annotations

import math
from collections.abc import Sequence

# A node without requests gets part of the capacity too, as it may have some a second later.
EQUAL_FRACTION = 0.2
MAX_PEER_DEMAND_RATIO = 4.0  # the largest peer counts as at most 4 times all other nodes together


def demand_weighted_share(own_demand: float, peer_demands: Sequence[float]) -> float:
    """Return this node's share of the capacity, from 0 to 1.

    An unknown demand counts as the mean of the known ones. The largest peer counts as at most four fifths of
    the total, so that no single peer can claim more by the demand that it reports. As that peer does not
    apply this limit to itself, the shares of all nodes add up to at most 1.16; partitions and outdated views
    of the tier can double this sum.

    Args:
        own_demand: Requests per second at this node; infinite if unknown.
        peer_demands: Requests per second at each peer that is present; infinite if unknown.
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
        peers[-1] = min(largest_peer, MAX_PEER_DEMAND_RATIO * (own + sum(peers[:-1])))
    total = own + sum(peers)
    if total > 0:
        fraction = own / total
    elif largest_peer > 0:  # the largest peer has all the demand, so the other nodes share the rest equally
        fraction = 1.0 / (1.0 + MAX_PEER_DEMAND_RATIO) / len(peers)
    else:
        fraction = equal_share
    return (1.0 - EQUAL_FRACTION) * fraction + EQUAL_FRACTION * equal_share
