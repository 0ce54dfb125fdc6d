"""Scale measurements of the decision module at growing list sizes: time, memory, and backend replacements."""

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
REQUEST_INTERVAL_MS = 1000 * size.NODES / size.PEAK_PER_S
ANSWER_MS = 4.0
# Every tenth request fails once and is retried, which the retry budget of one retry in seven requests allows.
REQUESTS_PER_FAILURE = 10
MEASURED_LISTS = 3
BACKENDS_IN_SERVICE = 200
MEDIAN_WINDOW = 100

LIMITS = (
    "The node's own Balancer runs on a virtual clock with one request after the other, 193 per second, and "
    "simulated responses after 4 ms. There are three request classes and nine zones with a preference for "
    "the node's own, but no console and no sockets: what net/ adds to a request is left out."
)


class RequestDriver:
    """Sends one request after the other through a Balancer and records each step's processor time in ns."""

    def __init__(self, balancer: Balancer, begin: float) -> None:
        """Start at `begin`, a time of the virtual clock in ms."""
        self.balancer, self.now = balancer, begin
        self.numbers = itertools.count()
        self.choice: list[int] = []
        self.answer: list[int] = []
        self.failure: list[int] = []

    def run_request(self, is_reset: bool) -> None:
        """Run one request that is served by its first attempt, or fails by a reset and is retried."""
        self.now += REQUEST_INTERVAL_MS
        name = f"{next(self.numbers):016x}"
        arrival = api.RequestArrived(name, "c0", self.now + 1000.0)
        begin = time.process_time_ns()
        actions = self.balancer.handle(self.now, arrival)
        self.choice.append(time.process_time_ns() - begin)
        if is_reset:
            self.now += ANSWER_MS / 4
            broken = api.AttemptEnded(
                name, 0, _started_backend(actions), api.AttemptStatus.RESET, ANSWER_MS / 4, False
            )
            begin = time.process_time_ns()
            actions = self.balancer.handle(self.now, broken)
            self.failure.append(time.process_time_ns() - begin)
        self.now += ANSWER_MS / 4
        served = api.AttemptEnded(
            name, int(is_reset), _started_backend(actions), api.AttemptStatus.OK, ANSWER_MS, True
        )
        begin = time.process_time_ns()
        self.balancer.handle(self.now, served)
        self.answer.append(time.process_time_ns() - begin)

    def run(self, max_s: float, max_count: int) -> None:
        """Run at most `max_count` requests, and stop after `max_s` seconds of processor time."""
        until = time.process_time() + max_s
        for number in range(max_count):
            self.run_request(number % REQUESTS_PER_FAILURE == REQUESTS_PER_FAILURE - 1)
            if number > REQUESTS_PER_FAILURE and time.process_time() > until:
                return

    def medians(self) -> Iterator[tuple[str, float]]:
        """Yield the median time of each step in us, without the first tenth of the requests."""
        for name in ("choice", "answer", "failure"):
            durations_ns: list[int] = getattr(self, name)
            yield name, statistics.median(durations_ns[len(durations_ns) // 10 :]) / 1000


def _started_backend(actions: list[api.Action]) -> str:
    """Return the backend that an attempt was sent to.

    Raises:
        ValueError: No attempt was started.
    """
    for action in actions:
        if isinstance(action, api.StartAttempt):
            return action.backend
    raise ValueError(f"expected StartAttempt for a request while no other is in progress, got {actions!r}")


def new_balancer(backends: int, seed: int) -> Balancer:
    """Return a Balancer that has no endpoint list yet."""
    return Balancer(parse_settings(generated_inputs.raw_settings(backends)), seed)


def measure(backends: int, seed: int, max_s: float) -> Iterator[Point]:
    """Yield all figures at one list size, using about `max_s` seconds of processor time."""

    def point(figure: str, unit: str, value: float) -> Point:
        return Point("module", figure, unit, backends, value, False)

    durations_ns = []
    for _ in range(MEASURED_LISTS):
        balancer = new_balancer(backends, seed)
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
        durations_ns.append(time.process_time_ns() - begin)
    yield point("whole_list", "us", statistics.median(durations_ns) / 1000)
    requests = RequestDriver(balancer, generated_inputs.START_MS)
    requests.run(max_s / 3, 4_000)
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
    """Yield the cost of a change to one list entry: a drain, a replacement, or a restart."""
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


def measure_memory(backends: int, seed: int) -> Point:
    """Measure the memory of the module, including its endpoint list with all entries and names."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        balancer = new_balancer(backends, seed)
        balancer.handle(
            generated_inputs.START_MS,
            api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(backends), 2),
        )
        held_bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    del balancer
    return Point("module", "memory", "bytes", backends, float(held_bytes), False)


def replacements(
    seed: int, max_count: int, marks: tuple[int, ...], max_s: float
) -> Iterator[Point | NotPlayed]:
    """Yield the cost, then the memory, of a sequence of backend replacements."""
    for figure, unit in (("change", "us"), ("memory", "bytes")):
        balancer = new_balancer(BACKENDS_IN_SERVICE, seed)
        balancer.handle(
            generated_inputs.START_MS,
            api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(BACKENDS_IN_SERVICE), 1),
        )
        until, durations_ns, held_bytes = time.process_time() + max_s / 2, [], 0
        if unit == "bytes":
            tracemalloc.start()
        for number in range(max_count):
            # Replacements occur at the planned daily rate, and each backend drains before it is removed.
            now = generated_inputs.START_MS + number * generated_inputs.DAY_MS / size.RESTARTS_PER_DAY
            old, new = (
                generated_inputs.entry(number),
                generated_inputs.entry(number + BACKENDS_IN_SERVICE, started_at=now),
            )
            old.phase = api.EndpointPhase.REMOVED
            begin = time.process_time_ns()
            balancer.handle(now, api.ListUpdate(api.ListUpdateKind.DELTA, [old, new], number + 2))
            # Times are not recorded while memory is measured: their list would count as the module's memory.
            if unit == "us":
                durations_ns.append(time.process_time_ns() - begin)
            if number + 1 in marks:
                if unit == "bytes":
                    held_bytes = tracemalloc.get_traced_memory()[0]
                    yield Point("replaced", figure, unit, number + 1, float(held_bytes), False)
                else:
                    value = statistics.median(durations_ns[-MEDIAN_WINDOW:]) / 1000
                    yield Point("replaced", figure, unit, number + 1, value, False)
            if time.process_time() > until:
                yield NotPlayed(f"replaced.{figure} beyond {number + 1} of {max_count}",
                                f"the measurement exceeded {max_s / 2:g} s of processor time")  # fmt: skip
                break
        if unit == "bytes":
            tracemalloc.stop()
        del balancer


def plays(quick: bool) -> list[Play]:
    """Return the plays of the decision module."""
    sizes, max_s = (QUICK_SIZES, 2.0) if quick else (SIZES, 12.0)

    def run(seed: int) -> Iterator[Point]:
        for backends in sizes:
            yield measure_memory(backends, seed)
            yield from measure(backends, seed, max_s)

    max_count = 2_000 if quick else size.BACKEND_RESTARTS
    marks = tuple(max_count * part // 100 for part in (2, 5, 10, 20, 50, 100))

    def replaced(seed: int) -> Iterator[Point | NotPlayed]:
        yield from replacements(seed, max_count, marks, 6.0 if quick else 60.0)

    return [
        Play("module", run, size.BACKENDS, LIMITS),
        Play("replaced", replaced, size.BACKEND_RESTARTS,
             "The node's own Balancer has 200 backends in service and no requests; each change removes one "
             "backend and adds a new one."),
    ]  # fmt: skip
