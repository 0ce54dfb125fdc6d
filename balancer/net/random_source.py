"""The interface of a source of random draws."""

from __future__ import annotations

from typing import Protocol


class RandomSource(Protocol):
    """A source of uniform draws: a `random.Random`, or the module `random`."""

    def uniform(self, a: float, b: float) -> float:
        """Draw a number between `a` and `b`."""
