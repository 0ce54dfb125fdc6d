"""Seeded random streams: an independent one for each part, so that a new part changes no other."""

from __future__ import annotations

import zlib

import numpy as np


def random_stream(seed: int, *parts: str | int) -> np.random.Generator:
    """Return the generator of the part that `parts` names; the same for a seed in every process."""
    key = tuple(zlib.crc32(str(part).encode()) for part in parts)
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))
