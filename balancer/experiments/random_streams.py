"""Seeded randomness: one independent stream for each part, so that a new part shifts no other."""

from __future__ import annotations

import zlib

import numpy as np


def stream(seed: int, *parts: str | int) -> np.random.Generator:
    """The generator of the part that `parts` names; the same for the same seed in every process."""
    key = tuple(zlib.crc32(str(part).encode()) for part in parts)
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))
