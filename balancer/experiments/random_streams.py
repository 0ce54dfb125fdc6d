"""Seeded random number streams, one per purpose, so that a new one changes no draws of the others."""

from __future__ import annotations

import zlib

import numpy as np


def random_stream(seed: int, *parts: str | int) -> np.random.Generator:
    """Return the random number generator for `parts`, which is the same in every process for a seed."""
    key = tuple(zlib.crc32(str(part).encode()) for part in parts)
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))
