"""Scale measurements of one node's durable state with growing lists: starts, changes and snapshots.

The store is that of a real node over the simulated disk of `sim/disk.py`: bytes are counted, processor time
is that of the store, and the time of a real disk is left out.
"""

from __future__ import annotations

import bisect
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

from balancer.durable import frames
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.records import EndpointListReceived, EndpointRow, LearnedSample, Record, encode_record
from balancer.durable.state import DurableState, replay
from balancer.durable.timestamp import Timestamp
from balancer.durable.writer import LogWriter
from balancer.interface import LearnedState
from balancer.lab.scale.membership_tiers import PointFactory
from balancer.lab.scale.points import NotPlayed, Point
from balancer.lab.scale.size import ZONES
from balancer.sim.disk import SimulatedDirectory, SimulatedDisk

ROLE = "durable"
NODE, DIRECTORY_ID = "n0", "0123456789abcdef"
KINDS, CELLS = 4, 16
WALL_CLOCK_MS = 1_767_225_600_000.0
MEASURED_CHANGES = 200
MEASURED_APPLIES = 5  # Applying a change takes time in proportion to the list, so only five are measured.
MEASURED_READS = 3  # The fastest of three reads counts, because other work on the machine only adds time.
LEARNED_EVERY = 4  # The generated sample has learned state for one backend in four.


class Node:
    """A node's store and its state, used in the same way as in `durable/committer.py`."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Open the store on a disk and replay its records."""
        self.disk, self.state = disk, DurableState()
        self.store = LogWriter(SimulatedDirectory(disk), NODE, DIRECTORY_ID, self._snapshot)

    def _snapshot(self, loaded: DirectoryContents) -> bytes:
        self.state = replay(loaded.snapshot, loaded.records)
        return self.state.encode_snapshot()

    def append(self, record: Record) -> int:
        """Write and sync a record, and return the number of bytes by which the log grew."""
        data, before = encode_record(record), self.store.log_bytes
        self.store.append([data], True)
        self.state.apply(data)
        return self.store.log_bytes - before


def measure_stores(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure a store with growing lists: its records, a start with a full log, one change, and a snapshot.

    If the record of a list is too long for the store, the measurement of the start is skipped.
    """
    for count in sizes:
        points, rows = PointFactory(ROLE, count), make_list(count, seed)
        whole, sample = EndpointListReceived(1, True, WALL_CLOCK_MS, rows), make_sample(rows)
        snapshot = _state_of(rows)
        yield points.counted("list_record", "bytes", len(encode_record(whole)))
        yield points.counted("learned_record", "bytes", len(encode_record(sample)))
        yield points.counted("snapshot", "bytes", len(snapshot.encode_snapshot()))
        yield points.measured("snapshot_processor", "ms", _mean_cpu_ms(snapshot.encode_snapshot))
        yield from _changes(points, rows)
        if (why := _rejection(encode_record(whole)) or _rejection(snapshot.encode_snapshot())) is None:
            yield from _start(points, whole, sample)
        else:
            yield NotPlayed(f"{ROLE}, a start at {count}", why)


def measure_limits(sizes: Sequence[int], seed: int) -> Iterator[Point]:
    """Yield the largest number of entries whose record fits into the store; longer ones fail with STA03."""
    for count in sizes:
        points, rows = PointFactory(ROLE, count), make_list(count, seed)
        makes: dict[str, Callable[[list[EndpointRow]], bytes]] = {
            "list": lambda some: encode_record(EndpointListReceived(1, True, WALL_CLOCK_MS, some)),
            "learned_of_a_quarter": lambda some: encode_record(make_sample(some)),
            "learned_of_all": lambda some: encode_record(make_sample(some, 1)),
            "snapshot": lambda some: _state_of(some).encode_snapshot(),
        }
        for what, make in makes.items():
            if (most := _longest_fitting(rows, make)) < count:
                yield points.counted(f"most_{what}", "entries", most)


def make_list(count: int, seed: int) -> list[EndpointRow]:
    """Return a list of `count` backends in service, with names of realistic length."""
    rng = random.Random(f"list {seed}")
    rows = []
    for number in range(count):
        host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        zone, kind = f"zone-{number % ZONES}", f"kind-{rng.randrange(KINDS)}"
        started = WALL_CLOCK_MS - rng.randrange(86_400_000)
        name, cell = f"backend-{number:05d}", rng.randrange(CELLS)
        rows.append(EndpointRow(name, host, 8080, zone, kind, cell, 1.0, "up", started))
    return rows


def make_sample(rows: Sequence[EndpointRow], every: int = LEARNED_EVERY) -> LearnedSample:
    """Return a sample with the learned state of every `every`-th backend of a list."""
    backends = {row.backend: (row.started_at_ms, 1.25, 17.5, 0, 0.0) for row in rows[::every]}
    learned = LearnedState(64.0, 1.0, 0.0, {"a": (5.0, 1.0, 0.0)}, backends)
    return LearnedSample(Timestamp(WALL_CLOCK_MS, DIRECTORY_ID, 1e6), learned, 193.0)


def _state_of(rows: Sequence[EndpointRow]) -> DurableState:
    return DurableState(endpoints={row.backend: row for row in rows}, learned_sample=make_sample(rows))


def _changes(points: PointFactory, rows: Sequence[EndpointRow]) -> Iterator[Point]:
    """Measure the change of one entry: the write to the log, and its application to the state."""
    node = Node(SimulatedDisk())
    change = EndpointListReceived(2, False, WALL_CLOCK_MS, [rows[0]])
    grown = node.append(change)
    data, state = encode_record(change), _state_of(rows)
    append = _mean_cpu_ms(lambda: node.store.append([data], True), MEASURED_CHANGES)
    node.store.close()
    take = _mean_cpu_ms(lambda: state.apply(data), MEASURED_APPLIES)
    yield points.counted("change_bytes", "bytes", grown)
    yield points.measured("change_write", "us", append * 1000)
    yield points.measured("change_take", "us", take * 1000)


def _start(points: PointFactory, whole: EndpointListReceived, sample: LearnedSample) -> Iterator[Point]:
    """Measure a process start from the files of a predecessor whose log is full."""
    disk = SimulatedDisk()
    node = Node(disk)
    node.append(whole)
    samples = 0
    while not node.store.needs_rotation:
        node.append(sample)
        samples += 1
    yield points.counted("log_full", "s", samples)
    rotate_ms = _mean_cpu_ms(lambda: node.store.rotate(node.state.encode_snapshot()))
    yield points.measured("rotate", "ms", rotate_ms)
    node.append(whole)
    while not node.store.needs_rotation:
        node.append(sample)
    node.store.close()
    yield points.counted("files", "bytes", sum(map(len, disk.image().values())))
    files = CountingDirectory(disk)
    read_ms = min(_mean_cpu_ms(lambda: _read_state(files)) for _ in range(MEASURED_READS))
    yield points.counted("start_read", "bytes", files.size / MEASURED_READS)
    yield points.measured("start_processor", "ms", read_ms)
    yield points.measured("start_memory", "bytes", _peak_bytes(lambda: _read_state(files)))
    takeover_ms = _mean_cpu_ms(lambda: Node(disk).store.close())
    yield points.measured("take_over", "ms", takeover_ms)


class CountingDirectory(SimulatedDirectory):
    """A simulated directory that counts the bytes read from it."""

    size = 0

    def read(self, name: str) -> bytes:
        """Read a file and count its bytes."""
        data = super().read(name)
        self.size += len(data)
        return data


def _read_state(files: SimulatedDirectory) -> DurableState:
    """Read the state from a directory, as a starting process does before the takeover."""
    loaded = read_directory(files, NODE, all_generations=False)
    return replay(loaded.snapshot, loaded.records)


def _rejection(data: bytes) -> str | None:
    """Return why a record does not fit into the store, or None if it fits."""
    try:
        frames.make_frame(1, 1, 0, data)
    except frames.RecordTooLongError as err:
        return err.summary
    return None


def _longest_fitting(rows: list[EndpointRow], make: Callable[[list[EndpointRow]], bytes]) -> int:
    """Return the length of the longest prefix of a list whose record fits into the store."""
    counts = range(1, len(rows) + 1)
    return bisect.bisect_left(counts, True, key=lambda count: _rejection(make(rows[:count])) is not None)


def _mean_cpu_ms(call: Callable[[], object], times: int = 1) -> float:
    """Return the mean processor time of a call in ms."""
    begun = time.thread_time()
    for _ in range(times):
        call()
    return (time.thread_time() - begun) * 1000 / times


def _peak_bytes(call: Callable[[], object]) -> float:
    """Return the peak memory in bytes of the objects that a call creates."""
    tracemalloc.start()
    try:
        call()
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()
