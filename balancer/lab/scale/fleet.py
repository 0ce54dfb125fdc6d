"""What the plays share: a list in the platform's form, settings, and a measure of processor time."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from balancer import interface as api
from balancer.lab.scale import size

NOW = 1_800_000_000_000.0  # ms: a virtual wall clock's begin
DAY = 86_400_000.0  # ms
BATCHES = 5
ZONE = "z0"  # the node's own


def zone(number: int) -> str:
    """The zone of a backend."""
    return f"z{number % size.ZONES}"


def entry(
    number: int, phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE, started_at: float = NOW - DAY
) -> api.Endpoint:
    """A backend as the list gives it; warm unless it says when it started."""
    return api.Endpoint(f"b{number:06d}", zone(number), number % 700, 1.0, phase, started_at, "std")


def entries(count: int, started_at: float = NOW - DAY) -> list[api.Endpoint]:
    """A whole list."""
    return [entry(number, started_at=started_at) for number in range(count)]


_WORDS = {
    api.EndpointPhase.IN_SERVICE: "in_service",
    api.EndpointPhase.DRAINING: "terminating",
    api.EndpointPhase.REMOVED: "terminated",
}


def line(
    some: Sequence[api.Endpoint], revision: int, complete: bool, address: str | Mapping[str, str] = ""
) -> bytes:
    """A list, or a line of a watch, in the platform's form; `address`: where all of them listen, or each.

    Without it each has one of its own, of the length that addresses have.
    """

    def where(name: str) -> str:
        return address.get(name, "") if isinstance(address, Mapping) else address or _address(name)

    rows = [
        {"id": e.backend, "host_port": where(e.backend), "locality": e.zone, "flavor": e.kind,
         "cell": e.cell, "phase": _WORDS[e.phase], "size": e.weight, "up_since_ms": e.started_at}
        for e in some
    ]  # fmt: skip
    table = {"revision": revision, "complete": complete, "members": rows}
    return json.dumps(table).encode() + b"\n"


def _address(name: str) -> str:
    number = int(name[1:])
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def raw_settings(backends: int, classes: int = 3) -> dict[str, Any]:
    """A node's settings as the platform words them; one class in three may not be sent twice."""
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
    """Processor time of a call in us: the median of batches, whose size is what fits into `most_s` in all."""
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


def clock(step: float, begin: float = NOW) -> Iterator[float]:
    """A virtual clock: ms, `step` further on at each look."""
    while True:
        yield begin
        begin += step
