"""The decision module at growing sizes of the list: its turns, its memory, the effect of replacements."""

from __future__ import annotations

import itertools
import statistics
import time
import tracemalloc
from collections.abc import Iterator

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.lab.scale.points import NotPlayed, Play, Point
from balancer.policy import Balancer
from balancer.settings import parse_settings

SIZES = (200, 700, 2_200, 7_000, 22_000, 70_000)
QUICK_SIZES = (200, 800, 3_200)
REQUEST_INTERVAL_MS = 1000 * size.NODES / size.PEAK_PER_S  # ms between two requests of a node at the peak
ANSWER_MS = 4.0  # ms of an answer
REQUESTS_PER_FAILURE = 10  # the retry budget pays for one resend in seven requests
MEASURED_LISTS = 3  # that are taken, the median counts
BACKENDS_IN_SERVICE = 200  # backends in service while they are replaced
MEDIAN_WINDOW = 100  # replacements whose median cost is one point

LIMITS = (
    "The very Balancer on a virtual clock, one request after the other, 193 a second; answers take 4 ms and "
    "come from nobody. Three classes, nine zones, its own near, no console, no sockets: what net/ adds to a "
    "request is not in."
)


class Requests:
    """One request after the other through one Balancer, with the processor time of each kind of turn."""

    def __init__(self, balancer: Balancer, begin: float) -> None:
        """Begin at a time of the virtual clock, in ms."""
        self.balancer, self.now = balancer, begin
        self.numbers = itertools.count()
        self.choice: list[int] = []  # ns
        self.answer: list[int] = []
        self.failure: list[int] = []

    def one(self, fails: bool) -> None:
        """Play one request that is served at once, or after a reset and a retry."""
        self.now += REQUEST_INTERVAL_MS
        name = f"{next(self.numbers):016x}"
        arrival = api.RequestArrived(name, "c0", self.now + 1000.0)
        begin = time.process_time_ns()
        acts = self.balancer.handle(self.now, arrival)
        self.choice.append(time.process_time_ns() - begin)
        if fails:
            self.now += ANSWER_MS / 4
            broken = api.AttemptEnded(name, 0, _sent(acts), api.AttemptStatus.RESET, ANSWER_MS / 4, False)
            begin = time.process_time_ns()
            acts = self.balancer.handle(self.now, broken)
            self.failure.append(time.process_time_ns() - begin)
        self.now += ANSWER_MS / 4
        served = api.AttemptEnded(name, int(fails), _sent(acts), api.AttemptStatus.OK, ANSWER_MS, True)
        begin = time.process_time_ns()
        self.balancer.handle(self.now, served)
        self.answer.append(time.process_time_ns() - begin)

    def play(self, max_s: float, most: int) -> None:
        """Play at most `most` requests, or as many as fit into `max_s` seconds."""
        until = time.process_time() + max_s
        for number in range(most):
            self.one(number % REQUESTS_PER_FAILURE == REQUESTS_PER_FAILURE - 1)
            if number > REQUESTS_PER_FAILURE and time.process_time() > until:
                return

    def medians(self) -> Iterator[tuple[str, float]]:
        """Yield the median times in us, without the first tenth."""
        for name in ("choice", "answer", "failure"):
            took: list[int] = getattr(self, name)
            yield name, statistics.median(took[len(took) // 10 :]) / 1000


def _sent(acts: list[api.Action]) -> str:
    """Return the backend of an attempt; raises ValueError where none was sent."""
    for act in acts:
        if isinstance(act, api.StartAttempt):
            return act.backend
    raise ValueError(f"a request at rest was not sent: {acts!r}")


def node(backends: int, seed: int) -> Balancer:
    """Return a Balancer without a list."""
    return Balancer(parse_settings(generated_inputs.raw_settings(backends)), seed)


def measure(backends: int, seed: int, max_s: float) -> Iterator[Point]:
    """Yield all figures of one size, within `max_s` seconds of processor time."""

    def point(figure: str, unit: str, value: float) -> Point:
        return Point("module", figure, unit, backends, value, False)

    took = []
    for _ in range(MEASURED_LISTS):
        balancer = node(backends, seed)
        listed = generated_inputs.entries(backends)
        balancer.handle(
            generated_inputs.START_MS - generated_inputs.DAY_MS / 2,
            api.ListUpdate(api.ListUpdateKind.CACHED, listed[:20], 1),
        )
        begin = time.process_time_ns()
        balancer.handle(
            generated_inputs.START_MS - generated_inputs.DAY_MS / 2,
            api.ListUpdate(api.ListUpdateKind.SNAPSHOT, listed, 2),
        )
        took.append(time.process_time_ns() - begin)
    yield point("whole_list", "us", statistics.median(took) / 1000)
    requests = Requests(balancer, generated_inputs.START_MS)
    requests.play(max_s / 3, 4_000)
    for figure, value in requests.medians():
        yield point(figure, "us", value)
    yield from (point(*figure) for figure in _changes(balancer, requests.now, backends, max_s / 3))
    now = requests.now + generated_inputs.DAY_MS
    yield point(
        "unavailable",
        "us",
        generated_inputs.median_cpu_us(lambda: balancer.count_unavailable(now), max_s / 10, 200),
    )
    yield point(
        "learned", "us", generated_inputs.median_cpu_us(lambda: balancer.learned_state(now), max_s / 10, 200)
    )


def _changes(balancer: Balancer, now: float, backends: int, max_s: float) -> Iterator[tuple[str, str, float]]:
    """Yield the cost of changes of one entry: a drain, a replacement, a restart."""
    clock, numbers = generated_inputs.virtual_times(500.0, now), itertools.count()
    fresh = itertools.count(backends)
    places = list(range(backends))

    def update(*changed: api.Endpoint) -> None:
        balancer.handle(next(clock), api.ListUpdate(api.ListUpdateKind.DELTA, list(changed), 3))

    def drained() -> None:
        turn = next(numbers)
        phase = api.EndpointPhase.IN_SERVICE if turn % 2 else api.EndpointPhase.DRAINING
        update(generated_inputs.entry(places[turn // 2 * 7 % backends], phase))

    def replaced() -> None:
        place, new = next(numbers) * 7 % backends, next(fresh)
        old, places[place] = places[place], new
        update(
            generated_inputs.entry(old, api.EndpointPhase.REMOVED),
            generated_inputs.entry(new, started_at=now),
        )

    def restarted() -> None:
        turn = next(numbers)
        update(generated_inputs.entry(places[turn * 7 % backends], started_at=now + turn))

    for name, call in (("drain", drained), ("replace", replaced), ("restart", restarted)):
        yield name, "us", generated_inputs.median_cpu_us(call, max_s / 3, 400)


def memory(backends: int, seed: int) -> Point:
    """Measure the memory of the module with its list, its entries and names."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        balancer = node(backends, seed)
        balancer.handle(
            generated_inputs.START_MS,
            api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(backends), 2),
        )
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    del balancer
    return Point("module", "memory", "bytes", backends, float(held), False)


def replacements(seed: int, most: int, marks: tuple[int, ...], max_s: float) -> Iterator[Point | NotPlayed]:
    """Yield the cost, then the memory, of replacements one after the other."""
    for figure, unit in (("change", "us"), ("memory", "bytes")):
        balancer = node(BACKENDS_IN_SERVICE, seed)
        balancer.handle(
            generated_inputs.START_MS,
            api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(BACKENDS_IN_SERVICE), 1),
        )
        until, took, held = time.process_time() + max_s / 2, [], 0
        if unit == "bytes":
            tracemalloc.start()
        for number in range(most):
            # As many a day as the size has; each drains before it goes.
            now = generated_inputs.START_MS + number * generated_inputs.DAY_MS / size.RESTARTS_PER_DAY
            old, new = (
                generated_inputs.entry(number),
                generated_inputs.entry(number + BACKENDS_IN_SERVICE, started_at=now),
            )
            old.phase = api.EndpointPhase.REMOVED
            begin = time.process_time_ns()
            balancer.handle(now, api.ListUpdate(api.ListUpdateKind.DELTA, [old, new], number + 2))
            if unit == "us":  # else the harness's own list would be counted with the module's memory
                took.append(time.process_time_ns() - begin)
            if number + 1 in marks:
                if unit == "bytes":
                    held = tracemalloc.get_traced_memory()[0]
                    yield Point("replaced", figure, unit, number + 1, float(held), False)
                else:
                    value = statistics.median(took[-MEDIAN_WINDOW:]) / 1000
                    yield Point("replaced", figure, unit, number + 1, value, False)
            if time.process_time() > until:
                yield NotPlayed(f"replaced.{figure} beyond {number + 1} of {most}",
                                f"it took more than {max_s / 2:g} s of processor time")  # fmt: skip
                break
        if unit == "bytes":
            tracemalloc.stop()
        del balancer


def plays(quick: bool) -> list[Play]:
    """Return the plays of the module."""
    sizes, max_s = (QUICK_SIZES, 2.0) if quick else (SIZES, 12.0)

    def run(seed: int) -> Iterator[Point]:
        for backends in sizes:
            yield memory(backends, seed)
            yield from measure(backends, seed, max_s)

    most = 2_000 if quick else size.BACKEND_RESTARTS
    marks = tuple(most * part // 100 for part in (2, 5, 10, 20, 50, 100))

    def replaced(seed: int) -> Iterator[Point | NotPlayed]:
        yield from replacements(seed, most, marks, 6.0 if quick else 60.0)

    return [
        Play("module", run, size.BACKENDS, LIMITS),
        Play("replaced", replaced, size.BACKEND_RESTARTS,
             "The very Balancer, without requests, 200 in service: a change names one gone and one new."),
    ]  # fmt: skip
