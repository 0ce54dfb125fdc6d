"""Generated lists and settings in the platform's form, and a measure of processor time."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from balancer import interface as api
from balancer.lab.scale import size

START_MS = 1_800_000_000_000.0  # ms: a virtual wall clock's begin
DAY_MS = 86_400_000.0  # ms
BATCHES = 5
ZONE = "z0"  # the node's own


def zone(number: int) -> str:
    """Return the zone of a backend."""
    return f"z{number % size.ZONES}"


def entry(
    number: int,
    phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE,
    started_at: float = START_MS - DAY_MS,
) -> api.Endpoint:
    """Return the entry of a backend; it is warm unless `started_at` says otherwise."""
    return api.Endpoint(f"b{number:06d}", zone(number), number % 700, 1.0, phase, started_at, "std")


def entries(count: int, started_at: float = START_MS - DAY_MS) -> list[api.Endpoint]:
    """Return a complete list."""
    return [entry(number, started_at=started_at) for number in range(count)]


_PHASE_NAMES = {
    api.EndpointPhase.IN_SERVICE: "in_service",
    api.EndpointPhase.DRAINING: "terminating",
    api.EndpointPhase.REMOVED: "terminated",
}


def line(
    some: Sequence[api.Endpoint], revision: int, complete: bool, address: str | Mapping[str, str] = ""
) -> bytes:
    """Return a list, or a line of a watch, in the platform's form; `address` is that of all, or of each.

    Without it each has one of its own, of the length that addresses have.
    """

    def where(name: str) -> str:
        return address.get(name, "") if isinstance(address, Mapping) else address or _address(name)

    rows = [
        {"id": e.backend, "host_port": where(e.backend), "locality": e.zone, "flavor": e.kind,
         "cell": e.cell, "phase": _PHASE_NAMES[e.phase], "size": e.weight, "up_since_ms": e.started_at}
        for e in some
    ]  # fmt: skip
    table = {"revision": revision, "complete": complete, "members": rows}
    return json.dumps(table).encode() + b"\n"


def _address(name: str) -> str:
    number = int(name[1:])
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def raw_settings(backends: int, classes: int = 3) -> dict[str, Any]:
    """Return a node's settings in the platform's form; one class in three is not idempotent."""
    effects: list[dict[str, Any]] = [
        {"effect": "retryable"},
        {"effect": "dedup", "group": "zone", "memory-span": 3000.0},
        {"effect": "fragile"},
    ]
    return {
        "me": 7, "group-size": max(1, round(backends / size.GROUP)), "zone": ZONE,
        "failure-domains": [f"z{n}" for n in range(size.ZONES)], "kinds": ["std"], "granularity": 1.0,
        "discovery": "automatic", "client-habits": {"marks-retry": True}, "weight-source": "off",
        "charges": {"cross-zone": 0.1},
        "request-classes": [
            {"name": f"c{n}", "give-up": 1000.0, "objective": 250.0, **effects[n % 3]} for n in range(classes)
        ],
        "limits": {"cancel": True, "conn-idle": 60_000.0, "connect-timeout": 120.0, "most-tries": 3,
                   "max-open": 20_000, "max-retry-after": 600.0, "retry-after": True, "probing": False,
                   "peers": False, "second-copies": False, "streams-per-conn": 1},
        "rules": {"answer-slack": 5.0, "ask-within": 10_000.0, "cold-share": 0.2, "drain-grace": 1000.0,
                  "fall": 1000.0, "fall-multiple": 2.0, "ramp-time": 60_000.0},
    }  # fmt: skip


def spent_us(call: Callable[[], object], most_s: float, most_calls: int = 20_000) -> float:
    """Return the processor time of a call in us: the median of batches that fit into `most_s`."""
    begin = time.process_time_ns()
    call()
    first = max(1_000, time.process_time_ns() - begin)  # ns
    calls = max(1, min(most_calls, int(most_s * 1e9 / BATCHES / first)))
    took = []
    for _ in range(BATCHES):
        begin = time.process_time_ns()
        for _ in range(calls):
            call()
        took.append((time.process_time_ns() - begin) / calls / 1000)
        if sum(took) * calls > 2 * most_s * 1e6:  # the first call was a quick one
            break
    return statistics.median(took)


def clock(step: float, begin: float = START_MS) -> Iterator[float]:
    """Yield the times of a virtual clock in ms, `step` apart."""
    while True:
        yield begin
        begin += step
