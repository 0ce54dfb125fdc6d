"""How the nodes of a tier share what cold backends bear: by what comes to each of them."""

from __future__ import annotations

import math
from collections.abc import Sequence

EVEN = 0.2  # of the whole is shared alike: who was sent nothing in the last second has something in the next
LARGEST = 4.0  # times all the rest, this node included, that one other counts at the most


def demand_weighted_share(own: float, others: Sequence[float]) -> float:
    """This node's part, by requests a second: its own and those of the others present; infinite: unknown.

    Who is unknown counts as the mean of the known ones. The largest of the others counts as four fifths of
    all at most, so that no single one can take more than that by what it says. It does not know of that: all
    shares together come to 1.16 at the most, which partitions and views that lag double.
    """
    alike = 1.0 / (len(others) + 1)
    known = [d for d in (own, *others) if d < math.inf]
    if not known:
        return alike
    mean = sum(known) / len(known)
    mine = own if own < math.inf else mean
    theirs = sorted(d if d < math.inf else mean for d in others)
    if theirs:
        theirs[-1] = min(theirs[-1], LARGEST * (mine + sum(theirs[:-1])))
    total = mine + sum(theirs)
    return (1.0 - EVEN) * mine / total + EVEN * alike if total > 0 else alike
