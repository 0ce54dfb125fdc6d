"""Bloom filter (Bloom 1970) of a list's backends in service, salted with the revision; fits into a datagram.

The filter may match backends that are not in service, but it always matches those that are. It can therefore
only restrict a list too little.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from balancer.recovery.messages import MAX_FILTER_BYTES, ListFilter

# With fewer than 2 bits per id, 40 % of the other backends pass the filter, which is not worth a datagram.
MIN_BITS_PER_ID = 2.0
MIN_FILTER_BYTES = 8
BYTES_PER_ID = 1.5
MAX_BUILT_HASHES = 8
MAX_EXCLUDED_FRACTION = 0.5  # filters of peers cannot exclude more than half of a saved list


def build_filter(ids: Sequence[str], revision: int) -> ListFilter | None:
    """Return a filter of backend ids, or None if there are no ids or too many for a datagram."""
    if not ids or len(ids) * MIN_BITS_PER_ID > MAX_FILTER_BYTES * 8:
        return None
    size = min(MAX_FILTER_BYTES, max(MIN_FILTER_BYTES, math.ceil(len(ids) * BYTES_PER_ID)))
    hashes = max(1, min(MAX_BUILT_HASHES, round(size * 8 / len(ids) * math.log(2))))
    bits = bytearray(size)
    for backend in ids:
        for position in _bit_positions(backend, revision, hashes, size):
            bits[position // 8] |= 1 << position % 8
    return ListFilter(revision, hashes, bytes(bits))


def excluded_ids(list_filter: ListFilter, ids: Sequence[str]) -> frozenset[str]:
    """Return the ids that are certainly not in service, or no ids if these exceed `MAX_EXCLUDED_FRACTION`."""
    excluded = {backend for backend in ids if not _may_contain(list_filter, backend)}
    return frozenset(excluded) if len(excluded) <= MAX_EXCLUDED_FRACTION * len(ids) else frozenset()


def _may_contain(list_filter: ListFilter, backend: str) -> bool:
    bits = list_filter.bits
    positions = _bit_positions(backend, list_filter.revision, list_filter.hashes, len(bits))
    return all(bits[position // 8] >> position % 8 & 1 for position in positions)


def _bit_positions(backend: str, revision: int, hashes: int, size: int) -> list[int]:
    """Return the bit positions of an id by double hashing (Kirsch and Mitzenmacher 2006)."""
    salt = (revision & 0xFFFFFFFF).to_bytes(4, "big")
    digest = hashlib.blake2b(backend.encode("utf-8", "surrogatepass"), digest_size=16, salt=salt).digest()
    first = int.from_bytes(digest[:8], "big")
    step = int.from_bytes(digest[8:], "big") | 1
    return [(first + i * step) % (size * 8) for i in range(hashes)]
