"""Scale measurements of a node's settings with growing tables of request classes and tenants."""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Iterator

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.lab.scale.points import Play, Point
from balancer.policy import Balancer
from balancer.settings import parse_settings

ROUTES = (200, 900, 2_700, 7_000, 14_000)
QUICK_ROUTES = (100, 400, 1_600)
TENANTS = (5_000, 20_000, 60_000, 150_000, 350_000)
QUICK_TENANTS = (1_000, 4_000, 16_000)
LIST_ENTRIES = 200  # The endpoint list is kept short, because its cost is not part of this measurement.

LIMITS = (
    "The figures cover parse_settings on decoded JSON and the decision module's reload; reading the file and "
    "what net/ keeps of it are left out. A route is a request class, as the settings have no "
    "other table for it; no code uses the tenants yet."
)


def measure(role: str, count: int, text: str, seed: int) -> Iterator[Point]:
    """Measure the time to parse settings, the time of a reload, and their memory."""
    raw = json.loads(text)
    begin = time.process_time_ns()
    settings = parse_settings(raw)
    yield Point(role, "make", "ms", count, (time.process_time_ns() - begin) / 1e6, False)
    del raw
    yield Point(role, "reload", "ms", count, _reload_ms(settings, seed), False)
    del settings
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        balancer = Balancer(parse_settings(json.loads(text)), seed)
        yield Point(role, "memory", "bytes", count, float(tracemalloc.get_traced_memory()[0] - before), False)
        del balancer
    finally:
        tracemalloc.stop()


def _reload_ms(settings: api.Settings, seed: int) -> float:
    """Return the time in ms of a reload in a module that already has a record of each request class."""
    balancer = Balancer(parse_settings(generated_inputs.raw_settings(LIST_ENTRIES)), seed)
    balancer.handle(
        generated_inputs.START_MS,
        api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(LIST_ENTRIES), 1),
    )
    balancer.handle(generated_inputs.START_MS, api.Reconfigured(settings))
    event = api.Reconfigured(settings)
    return (
        generated_inputs.median_cpu_us(lambda: balancer.handle(generated_inputs.START_MS, event), 0.5, 50)
        / 1000
    )


def plays(quick: bool) -> list[Play]:
    """Return the plays of the route and tenant tables."""

    def routes(seed: int) -> Iterator[Point]:
        for count in QUICK_ROUTES if quick else ROUTES:
            yield from measure(
                "routes", count, json.dumps(generated_inputs.raw_settings(LIST_ENTRIES, count)), seed
            )

    def tenants(seed: int) -> Iterator[Point]:
        for count in QUICK_TENANTS if quick else TENANTS:
            rows = [{"name": f"t{n:06d}", "quota-per-s": 3.0, "share": 0.1} for n in range(count)]
            text = json.dumps(generated_inputs.raw_settings(LIST_ENTRIES) | {"projects": rows})
            yield from measure("tenants", count, text, seed)

    return [Play("routes", routes, size.ROUTES, LIMITS), Play("tenants", tenants, size.TENANTS, LIMITS)]
