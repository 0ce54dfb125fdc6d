"""Intervals in which new connections to a backend are not accepted; times are in seconds."""

from __future__ import annotations

import numpy as np

# Connect delays are shorter than the second after which the kernel retransmits a SYN.
CONNECT_DELAY_S = 0.9
# Two intervals are so far apart that a SYN lost in one is not retransmitted into the next.
MIN_REST_S = 1.1


def connect_delays(
    random: np.random.Generator, share: float, begin: float, end: float
) -> list[tuple[float, float]]:
    """Draw intervals that cover a `share` (0.45 at most) of the time from `begin` to `end`."""
    mean_rest = CONNECT_DELAY_S * (1 - share) / share
    out: list[tuple[float, float]] = []
    at = begin + random.uniform(0.0, mean_rest)
    while at + CONNECT_DELAY_S <= end:
        out.append((at, at + CONNECT_DELAY_S))
        at += CONNECT_DELAY_S + MIN_REST_S + random.exponential(max(0.0, mean_rest - MIN_REST_S))
    return out
