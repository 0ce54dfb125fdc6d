"""When the way to a backend lets no connection come up for a moment. Times are seconds."""

from __future__ import annotations

import numpy as np

SPELL = 0.9  # what is dialled meanwhile comes up by the kernel's second try, a second after its first
REST = 1.1  # between two spells at least, so that the second try finds the way open


def spells(random: np.random.Generator, share: float, begin: float, end: float) -> list[tuple[float, float]]:
    """Spells that together are a `share` (0.45 at most) of the time between `begin` and `end`, drawn."""
    rest = SPELL * (1 - share) / share
    out: list[tuple[float, float]] = []
    at = begin + random.uniform(0.0, rest)
    while at + SPELL <= end:
        out.append((at, at + SPELL))
        at += SPELL + REST + random.exponential(max(0.0, rest - REST))
    return out
