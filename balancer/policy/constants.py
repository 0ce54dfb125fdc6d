"""Constants that several components of the policy share."""

EWMA_WEIGHT = 0.1
"""Weight of a new sample in an exponentially weighted moving average."""

MIN_DIVISOR_MS = 1e-9
"""Lower bound of a duration that is used as a divisor."""
