"""Constants that several concerns share."""

EWMA_WEIGHT = 0.1
"""Weight of one sample in an exponentially weighted moving average."""

MIN_DIVISOR_MS = 1e-9
"""Lower bound of a time that is divided by."""
