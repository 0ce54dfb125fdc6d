"""Interface of a random number source."""

from __future__ import annotations

from typing import Protocol


class RandomSource(Protocol):
    """Source of uniformly distributed numbers: a `random.Random` or the module `random`."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between `a` and `b`."""
