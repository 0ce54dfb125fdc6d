"""Open-loop arrivals, drawn in advance: their times, classes, work, and each client's behaviour."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Surge
from balancer.experiments.random_streams import random_stream
from balancer.experiments.tables import Load

BURST_SHARE_OF_TIME = 0.25

Floats = NDArray[np.float64]


@dataclass(slots=True, frozen=True)
class Arrivals:
    """First attempts of one zone's operations in order of time, as arrays of equal length.

    `at` is in ms since the first possible arrival, `kind` an index into the request classes, and `work` ms on
    a standard core. The columns of `client_draws` are uniform numbers from 0 to 1 that decide whether the
    client is impatient, how early it disconnects, whether it follows Retry-After, and its backoff.
    """

    zone: str
    at: Floats
    kind: NDArray[np.int64]
    work: Floats
    client_draws: Floats
    ident: NDArray[np.uint64]


def zone_factor(spec: Experiment, zone: str) -> float:
    """Return a zone's request rate as a multiple of the mean over all zones."""
    zones, index = len(spec.fleet.zones), spec.fleet.zones.index(zone)
    return 1 + spec.load.zone_skew * (1 - 2 * index / (zones - 1)) if zones > 1 else 1.0


def relative_rate(load: Load, faults: tuple[object, ...], zone: str, at_ms: Floats,
                  random: np.random.Generator, seconds: float) -> Floats:  # fmt: skip
    """Return the request rate at each of the times `at_ms`, as a multiple of the zone's mean rate."""
    out = np.ones_like(at_ms)
    if load.shape == "wave":
        out += load.amplitude * np.sin(2 * math.pi * at_ms / 1000 / max(4.0, seconds / 3))
    elif load.shape == "bursty":
        # Each half second is a burst with a probability of 1/4; the factors keep the mean rate unchanged.
        high = random.random(int(seconds * 2) + 2) < BURST_SHARE_OF_TIME
        factor = np.where(high, 1 + load.amplitude * 2, 1 - load.amplitude * 2 / 3)
        out *= factor[np.minimum((at_ms / 500).astype(int), len(factor) - 1)]
    for fault in faults:
        if isinstance(fault, Surge) and fault.zone in ("", zone):
            inside = (at_ms >= fault.at * 1000) & (at_ms < fault.ends_at * 1000)
            out = np.where(inside, out * fault.factor, out)
    return out


def draw_arrivals(spec: Experiment, seed: int, zone: str) -> Arrivals:
    """Draw a zone's arrivals: a Poisson process of variable rate, drawn by thinning, with log-normal work."""
    times, sizes = random_stream(seed, "arrivals", zone), random_stream(seed, "sizes", zone)
    mean_per_ms = spec.rate * zone_factor(spec, zone) / len(spec.fleet.zones) / 1000
    length = spec.seconds * 1000
    peak = 1 + 2 * spec.load.amplitude
    for fault in spec.faults:
        if isinstance(fault, Surge):
            peak *= max(1.0, fault.factor)
    count = times.poisson(mean_per_ms * peak * length)
    at = np.sort(times.uniform(0, length, count))
    accepted = times.random(count) * peak < relative_rate(
        spec.load, spec.faults, zone, at, random_stream(seed, "bursts", zone), spec.seconds
    )
    at = at[accepted]
    shares = np.array([c.share for c in spec.load.classes])
    sigma2 = math.log(1 + spec.load.work_cv**2)
    work = sizes.lognormal(math.log(spec.load.work_ms) - sigma2 / 2, math.sqrt(sigma2), len(at))
    kind = random_stream(seed, "classes", zone).choice(len(shares), size=len(at), p=shares / shares.sum())
    return Arrivals(
        zone, at, kind.astype(np.int64), work, random_stream(seed, "whims", zone).random((len(at), 4)),
        random_stream(seed, "ids", zone).integers(1, 2**63, len(at), dtype=np.uint64),
    )  # fmt: skip
