"""The tables of a node's settings at growing sizes: classes (one for each route) and tenants."""

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
LISTED = 200  # backends: what the list costs is not counted here

LIMITS = (
    "parse_settings on values that json has read, and the module's turn; the file's reading and what net/ "
    "keeps of it are not in. A route is a class, as the settings have no other word; nothing reads the "
    "tenants yet."
)


def measure(role: str, count: int, text: str, seed: int) -> Iterator[Point]:
    """Measure the parsing of settings, their memory, and the turn of a reload."""
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
    """Return the ms of the module's turn where all classes have their record already."""
    balancer = Balancer(parse_settings(generated_inputs.raw_settings(LISTED)), seed)
    balancer.handle(
        generated_inputs.START_MS,
        api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(LISTED), 1),
    )
    balancer.handle(generated_inputs.START_MS, api.Reconfigured(settings))
    event = api.Reconfigured(settings)
    return (
        generated_inputs.spent_us(lambda: balancer.handle(generated_inputs.START_MS, event), 0.5, 50) / 1000
    )


def plays(quick: bool) -> list[Play]:
    """Return the plays of the tables."""

    def routes(seed: int) -> Iterator[Point]:
        for count in QUICK_ROUTES if quick else ROUTES:
            yield from measure(
                "routes", count, json.dumps(generated_inputs.raw_settings(LISTED, count)), seed
            )

    def tenants(seed: int) -> Iterator[Point]:
        for count in QUICK_TENANTS if quick else TENANTS:
            rows = [{"name": f"t{n:06d}", "quota-per-s": 3.0, "share": 0.1} for n in range(count)]
            text = json.dumps(generated_inputs.raw_settings(LISTED) | {"projects": rows})
            yield from measure("tenants", count, text, seed)

    return [Play("routes", routes, size.ROUTES, LIMITS), Play("tenants", tenants, size.TENANTS, LIMITS)]
