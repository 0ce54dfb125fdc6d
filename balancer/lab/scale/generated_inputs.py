"""Generated endpoint lists and settings in the platform's format, and a timer of processor time."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from balancer import interface as api
from balancer.lab.scale import size

START_MS = 1_800_000_000_000.0  # The virtual clock starts at Unix time 1,800,000,000 s.
DAY_MS = 86_400_000.0
TIMING_BATCHES = 5
OWN_ZONE = "z0"


def zone_name(number: int) -> str:
    """Return the zone of a backend."""
    return f"z{number % size.ZONES}"


def entry(
    number: int,
    phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE,
    started_at: float = START_MS - DAY_MS,
) -> api.Endpoint:
    """Return the list entry of a backend, which by default has been up for a day and is warm."""
    return api.Endpoint(f"b{number:06d}", zone_name(number), number % 700, 1.0, phase, started_at, "std")


def entries(count: int, started_at: float = START_MS - DAY_MS) -> list[api.Endpoint]:
    """Return a complete endpoint list."""
    return [entry(number, started_at=started_at) for number in range(count)]


_PHASE_NAMES = {
    api.EndpointPhase.IN_SERVICE: "in_service",
    api.EndpointPhase.DRAINING: "terminating",
    api.EndpointPhase.REMOVED: "terminated",
}


def encode_update(
    endpoints: Sequence[api.Endpoint], revision: int, complete: bool, address: str | Mapping[str, str] = ""
) -> bytes:
    """Encode a list, or one line of a watch, in the platform's format.

    `address` is the address of all backends, or a mapping from each backend to its own. By default each
    backend has a distinct address of realistic length.
    """

    def address_of(name: str) -> str:
        return address.get(name, "") if isinstance(address, Mapping) else address or _address(name)

    rows = [
        {"id": e.backend, "host_port": address_of(e.backend), "locality": e.zone, "flavor": e.kind,
         "cell": e.cell, "phase": _PHASE_NAMES[e.phase], "size": e.weight, "up_since_ms": e.started_at}
        for e in endpoints
    ]  # fmt: skip
    table = {"revision": revision, "complete": complete, "members": rows}
    return json.dumps(table).encode() + b"\n"


def _address(name: str) -> str:
    number = int(name[1:])
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def raw_settings(backends: int, classes: int = 3) -> dict[str, Any]:
    """Return a node's settings in the platform's format; one request class in three is not idempotent."""
    effects: list[dict[str, Any]] = [
        {"effect": "retryable"},
        {"effect": "dedup", "group": "zone", "memory-span": 3000.0},
        {"effect": "fragile"},
    ]
    return {
        "me": 7, "group-size": max(1, round(backends / size.BACKENDS_PER_NODE)), "zone": OWN_ZONE,
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


def median_cpu_us(call: Callable[[], object], max_s: float, max_calls: int = 20_000) -> float:
    """Return the processor time of a call in us, as the median of batches that fit into `max_s` seconds."""
    begin = time.process_time_ns()
    call()
    first = max(1_000, time.process_time_ns() - begin)
    calls = max(1, min(max_calls, int(max_s * 1e9 / TIMING_BATCHES / first)))
    took = []
    for _ in range(TIMING_BATCHES):
        begin = time.process_time_ns()
        for _ in range(calls):
            call()
        took.append((time.process_time_ns() - begin) / calls / 1000)
        # An unusually fast first call makes the batches too long, so they end at twice the time limit.
        if sum(took) * calls > 2 * max_s * 1e6:
            break
    return statistics.median(took)


def virtual_times(step: float, begin: float = START_MS) -> Iterator[float]:
    """Yield times of a virtual clock in ms at intervals of `step`."""
    while True:
        yield begin
        begin += step
