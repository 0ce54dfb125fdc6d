"""Which backends of a list are in service, in one datagram: a Bloom filter (Bloom 1970), salted by revision.

It may hold some that are not in service, never the other way round: so it can only restrict, and too little.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from balancer.recovery.messages import MAX_FILTER_BYTES, ListFilter

LEAST_BITS = 2.0  # for each id: with fewer, four in ten of the others pass, and it is not worth a datagram
MOST_PART = 0.5  # of a saved list that is restricted on peers' word


def build_filter(ids: Sequence[str], revision: int) -> ListFilter | None:
    """The filter of some ids; None where there are none, or too many for a datagram."""
    if not ids or len(ids) * LEAST_BITS > MAX_FILTER_BYTES * 8:
        return None
    size = min(MAX_FILTER_BYTES, max(8, math.ceil(len(ids) * 1.5)))
    hashes = max(1, min(8, round(size * 8 / len(ids) * math.log(2))))
    bits = bytearray(size)
    for name in ids:
        for at in _places(name, revision, hashes, size):
            bits[at // 8] |= 1 << at % 8
    return ListFilter(revision, hashes, bytes(bits))


def excluded_ids(filter_: ListFilter, ids: Sequence[str]) -> frozenset[str]:
    """Those of `ids` that are certainly not in service; none where that would be too many to believe."""
    bits = filter_.bits
    out = {name for name in ids
           if any(not bits[at // 8] >> at % 8 & 1
                  for at in _places(name, filter_.revision, filter_.hashes, len(bits)))}  # fmt: skip
    return frozenset(out) if len(out) <= MOST_PART * len(ids) else frozenset()


def _places(name: str, revision: int, hashes: int, size: int) -> list[int]:
    """Bits by double hashing (Kirsch, Mitzenmacher 2006)."""
    salt = (revision & 0xFFFFFFFF).to_bytes(4, "big")
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=16, salt=salt).digest()
    one, two = int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big") | 1
    return [(one + i * two) % (size * 8) for i in range(hashes)]
