"""The durable state of one node at growing lists: what a start reads, what a change and a snapshot write.

The store is the one that `run` has, over the disk of `sim/disk.py`: bytes are counted, processor time is the
store's own, and no time of a real disk is in it.
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
WALL_CLOCK_MS = 1_767_225_600_000.0  # a moment, Unix time
MEASURED_CHANGES = 200  # of one entry, whose processor time is measured
MEASURED_APPLIES = 5  # changes taken into what is kept: each costs as much as the list is long
MEASURED_READS = 3  # of a directory, of which the quickest counts: other work on the machine only adds
LEARNED_EVERY = 4  # one listed backend in so many has something learned of it


class Node:
    """A node's store and its state, as `durable/committer.py` uses them."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Open the store on a disk."""
        self.disk, self.state = disk, DurableState()
        self.store = LogWriter(SimulatedDirectory(disk), NODE, DIRECTORY_ID, self._snapshot)

    def _snapshot(self, loaded: DirectoryContents) -> bytes:
        self.state = replay(loaded.snapshot, loaded.records)
        return self.state.encode_snapshot()

    def append(self, record: Record) -> int:
        """Write and sync a record; return the bytes that the log grew by."""
        data, before = encode_record(record), self.store.log_bytes
        self.store.append([data], True)
        self.state.apply(data)
        return self.store.log_bytes - before


def stores(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure a store at growing lists: its records, its start with a full log, one change, a snapshot.

    Where a record of that list is too long for the store, what needs it is not played.
    """
    for count in sizes:
        of, rows = PointFactory(ROLE, count), listed(count, seed)
        whole, sample = EndpointListReceived(1, True, WALL_CLOCK_MS, rows), sampled(rows)
        snapshot = _state_of(rows)
        yield of.counted("list_record", "bytes", len(encode_record(whole)))
        yield of.counted("learned_record", "bytes", len(encode_record(sample)))
        yield of.counted("snapshot", "bytes", len(snapshot.encode_snapshot()))
        yield of.machine("snapshot_processor", "ms", _ms(snapshot.encode_snapshot))
        yield from _changes(of, rows)
        if (why := _rejection(encode_record(whole)) or _rejection(snapshot.encode_snapshot())) is None:
            yield from _start(of, whole, sample)
        else:
            yield NotPlayed(f"{ROLE}, a start at {count}", why)


def limits(sizes: Sequence[int], seed: int) -> Iterator[Point]:
    """Yield the number of entries up to which a record fits into the store (`STA03` above)."""
    for count in sizes:
        of, rows = PointFactory(ROLE, count), listed(count, seed)
        makes: dict[str, Callable[[list[EndpointRow]], bytes]] = {
            "list": lambda some: encode_record(EndpointListReceived(1, True, WALL_CLOCK_MS, some)),
            "learned_of_a_quarter": lambda some: encode_record(sampled(some)),
            "learned_of_all": lambda some: encode_record(sampled(some, 1)),
            "snapshot": lambda some: _state_of(some).encode_snapshot(),
        }
        for what, make in makes.items():
            if (most := _longest_fitting(rows, make)) < count:
                yield of.counted(f"most_{what}", "entries", most)


def listed(count: int, seed: int) -> list[EndpointRow]:
    """Return a list of `count` backends in service, with names of usual length."""
    dice = random.Random(f"list {seed}")
    rows = []
    for number in range(count):
        host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        zone, kind = f"zone-{number % ZONES}", f"kind-{dice.randrange(KINDS)}"
        started = WALL_CLOCK_MS - dice.randrange(86_400_000)
        name, cell = f"backend-{number:05d}", dice.randrange(CELLS)
        rows.append(EndpointRow(name, host, 8080, zone, kind, cell, 1.0, "up", started))
    return rows


def sampled(rows: Sequence[EndpointRow], every: int = LEARNED_EVERY) -> LearnedSample:
    """Return the learned state of every `every`-th backend of a list."""
    backends = {row.backend: (row.started_at_ms, 1.25, 17.5, 0, 0.0) for row in rows[::every]}
    learned = LearnedState(64.0, 1.0, 0.0, {"a": (5.0, 1.0, 0.0)}, backends)
    return LearnedSample(Timestamp(WALL_CLOCK_MS, DIRECTORY_ID, 1e6), learned, 193.0)


def _state_of(rows: Sequence[EndpointRow]) -> DurableState:
    return DurableState(endpoints={row.backend: row for row in rows}, learned_sample=sampled(rows))


def _changes(of: PointFactory, rows: Sequence[EndpointRow]) -> Iterator[Point]:
    """Measure a change of one entry: its write to the log, its effect on the state."""
    node = Node(SimulatedDisk())
    change = EndpointListReceived(2, False, WALL_CLOCK_MS, [rows[0]])
    grown = node.append(change)
    data, state = encode_record(change), _state_of(rows)
    append = _ms(lambda: node.store.append([data], True), MEASURED_CHANGES)
    node.store.close()
    take = _ms(lambda: state.apply(data), MEASURED_APPLIES)
    yield of.counted("change_bytes", "bytes", grown)
    yield of.machine("change_write", "us", append * 1000)
    yield of.machine("change_take", "us", take * 1000)


def _start(of: PointFactory, whole: EndpointListReceived, sample: LearnedSample) -> Iterator[Point]:
    """Measure the start of a process after one whose log is full."""
    disk = SimulatedDisk()
    node = Node(disk)
    node.append(whole)
    samples = 0
    while not node.store.needs_rotation:
        node.append(sample)
        samples += 1
    yield of.counted("log_full", "s", samples)
    rotated = _ms(lambda: node.store.rotate(node.state.encode_snapshot()))
    yield of.machine("rotate", "ms", rotated)
    node.append(whole)
    while not node.store.needs_rotation:
        node.append(sample)
    node.store.close()
    yield of.counted("files", "bytes", sum(map(len, disk.image().values())))
    files = CountingDirectory(disk)
    read = min(_ms(lambda: _read(files)) for _ in range(MEASURED_READS))
    yield of.counted("start_read", "bytes", files.size / MEASURED_READS)
    yield of.machine("start_processor", "ms", read)
    yield of.machine("start_memory", "bytes", _peak(lambda: _read(files)))
    again = _ms(lambda: Node(disk).store.close())
    yield of.machine("take_over", "ms", again)


class CountingDirectory(SimulatedDirectory):
    """The file layer, with the bytes that were read."""

    size = 0

    def read(self, name: str) -> bytes:
        """Read a file and count its bytes."""
        data = super().read(name)
        self.size += len(data)
        return data


def _read(files: SimulatedDirectory) -> DurableState:
    """Read the directory as a start does before it takes it over."""
    loaded = read_directory(files, NODE, all_generations=False)
    return replay(loaded.snapshot, loaded.records)


def _rejection(data: bytes) -> str | None:
    """Return why a record does not fit into the store; None where it does."""
    try:
        frames.make_frame(1, 1, 0, data)
    except frames.RecordTooLongError as err:
        return err.summary
    return None


def _longest_fitting(rows: list[EndpointRow], make: Callable[[list[EndpointRow]], bytes]) -> int:
    """Return the length of the longest prefix of a list whose record fits."""
    counts = range(1, len(rows) + 1)
    return bisect.bisect_left(counts, True, key=lambda count: _rejection(make(rows[:count])) is not None)


def _ms(call: Callable[[], object], times: int = 1) -> float:
    """Return the mean processor time of a call in ms."""
    begun = time.thread_time()
    for _ in range(times):
        call()
    return (time.thread_time() - begun) * 1000 / times


def _peak(call: Callable[[], object]) -> float:
    """Return the peak bytes of the objects that a call creates."""
    tracemalloc.start()
    try:
        call()
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()
