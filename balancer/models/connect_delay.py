"""Intervals in which connections to a backend do not come up. Times are seconds."""

from __future__ import annotations

import numpy as np

CONNECT_DELAY_S = 0.9  # shorter than the second after which the kernel sends a second SYN
MIN_REST_S = 1.1  # between two intervals, so that the second SYN passes


def connect_delays(
    random: np.random.Generator, share: float, begin: float, end: float
) -> list[tuple[float, float]]:
    """Draw intervals that are a `share` (0.45 at most) of the time between `begin` and `end`."""
    mean_rest = CONNECT_DELAY_S * (1 - share) / share
    out: list[tuple[float, float]] = []
    at = begin + random.uniform(0.0, mean_rest)
    while at + CONNECT_DELAY_S <= end:
        out.append((at, at + CONNECT_DELAY_S))
        at += CONNECT_DELAY_S + MIN_REST_S + random.exponential(max(0.0, mean_rest - MIN_REST_S))
    return out
