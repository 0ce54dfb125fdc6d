"""Seeded schedules of power cuts and other faults of a simulated tier, which `recovery_play` runs."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from balancer.sim.recovery_disks import DiskCondition
from balancer.sim.recovery_environment import Outage
from balancer.sim.recovery_process import Partition

BACKENDS = tuple(f"b{i}" for i in range(6))
BANNED_BACKENDS = BACKENDS[:3]
NODE_COUNTS = (3, 3, 4, 5, 6, 8, 12, 16)
# The intervals within one of which nodes restart at random times.
RESTART_SPREADS_MS = (500.0, 5_000.0, 20_000.0)
SHORT_ESTABLISHED_AFTER_MS = 12_000.0

TIER_POWER_CUT_PROBABILITY = 0.75
BAN_PROBABILITY = 0.6
SECOND_CUT_PROBABILITY = 0.25
MISSING_NODE_PROBABILITY = 0.2
ISOLATED_NODE_PROBABILITY = 0.15
LATE_RESTART_PROBABILITY = 0.07
DISK_DAMAGE_AT_SECOND_CUT_PROBABILITY = 0.3
SHUTDOWN_DURING_RESTART_PROBABILITY = 0.2
SUCCESSOR_DURING_RESTART_PROBABILITY = 0.2
PARTITION_PROBABILITY = 0.35
MAX_BURSTS = 3
MAX_BURST_REQUESTS = 8
BURST_MS = 1_000.0
MAX_WRITE_MS_CHOICES = (30.0, 150.0, 300.0)
# Two partitions divide the tier into three or four parts.
SECOND_PARTITION_PROBABILITY = 0.5
DISCOVERY_OUTAGE_PROBABILITY = 0.25


class StepKind(Enum):
    """Kinds of steps in a schedule; CUT cuts the power of all nodes."""

    BOOT = "boot"
    CUT = "cut"
    KILL = "kill"
    SHUT_DOWN = "shut down"
    START_SUCCESSOR = "succeed"
    BAN = "ban"
    LIFT = "lift"
    RESTART_BACKEND = "restart backend"
    TAKE_IMAGE = "take image"


@dataclass(slots=True, frozen=True)
class Step:
    """A fault or request `at` ms after the start; `arg` is a backend's name or a disk condition's value."""

    at: float
    kind: StepKind
    node: int = -1
    arg: str = ""


@dataclass(slots=True, frozen=True)
class Schedule:
    """Steps and faults of a tier's run; times are ms after its start.

    `outages` are those of discovery, which serves a request in `serve_ms` and has one poll slot per node.
    Each start of a node draws the offset of its wall clock, up to `max_wall_offset_ms`. A write takes a time
    in the range `write_ms`. `established_after_ms` is that of `RecoveryConfig`.
    """

    seed: int
    count: int
    steps: tuple[Step, ...]
    partitions: tuple[Partition, ...] = ()
    outages: tuple[Outage, ...] = ()
    serve_ms: float = 4.0
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0
    max_wall_offset_ms: float = 0.0
    established_after_ms: float = 60_000.0
    poll_slot_ms: float = 25.0
    sync_failure_rate: float = 0.0
    write_ms: tuple[float, float] = (1.0, 30.0)

    @property
    def last_fault(self) -> float:
        """Time of the last step, or of the end of the last partition or outage if later."""
        ends = [
            *(step.at for step in self.steps),
            *(partition.until for partition in self.partitions),
            *(outage.until for outage in self.outages),
        ]
        return max(ends, default=0.0)


def draw(seed: int, counts: Iterable[int] = NODE_COUNTS) -> Schedule:
    """Draw a schedule: usually a power cut of the whole tier, otherwise faults of single nodes."""
    generator = random.Random(f"schedule {seed}")
    count = generator.choice(tuple(counts))
    sound = DiskCondition.SOUND.value
    base = Schedule(
        seed,
        count,
        tuple(Step(generator.uniform(0, 1_500), StepKind.BOOT, node, sound) for node in range(count)),
        loss_rate=generator.choice((0.0, 0.0, 0.0, 0.05, 0.1, 0.3)),
        duplicate_rate=generator.choice((0.0, 0.1)),
        late_rate=generator.choice((0.0, 0.0, 0.02)),
        max_wall_offset_ms=generator.choice((0.0, 600_000.0)),
        sync_failure_rate=generator.choice((0.0, 0.0, 0.1)),
    )
    if generator.random() < TIER_POWER_CUT_PROBABILITY:
        drawn = _PowerCutSchedule(generator, base).draw()
    else:
        drawn = _draw_single_faults(generator, base)
    return dataclasses.replace(drawn, steps=tuple(sorted(drawn.steps, key=lambda step: step.at)))


def draw_crossings(seed: int, counts: Iterable[int] = NODE_COUNTS) -> Schedule:
    """Draw a schedule in which nodes receive concurrent requests for a backend while their disks are slow."""
    schedule = draw(seed, counts)
    generator = random.Random(f"crossings {seed}")
    steps = list(schedule.steps)
    for _ in range(generator.randint(1, MAX_BURSTS)):
        begin = generator.uniform(2_500, max(8_000, schedule.last_fault))
        backend = generator.choice(BANNED_BACKENDS)
        for _ in range(generator.randint(3, MAX_BURST_REQUESTS)):
            kind = StepKind.BAN if generator.random() < BAN_PROBABILITY else StepKind.LIFT
            at = begin + generator.uniform(0, BURST_MS)
            steps.append(Step(at, kind, generator.randrange(schedule.count), backend))
    return dataclasses.replace(
        schedule,
        steps=tuple(sorted(steps, key=lambda step: step.at)),
        write_ms=(1.0, generator.choice(MAX_WRITE_MS_CHOICES)),
        sync_failure_rate=generator.choice((0.0, 0.1)),
    )


def _draw_requests(
    generator: random.Random, count: int, begin: float, until: float, max_requests: int
) -> Iterator[Step]:
    """Yield random operators' requests between two times."""
    for _ in range(generator.randint(0, max_requests)):
        kind = StepKind.BAN if generator.random() < BAN_PROBABILITY else StepKind.LIFT
        at = generator.uniform(begin, until)
        yield Step(at, kind, generator.randrange(count), generator.choice(BANNED_BACKENDS))


class _PowerCutSchedule:
    """Draws a schedule in which all nodes lose power, once or twice, and most of them restart."""

    def __init__(self, generator: random.Random, base: Schedule) -> None:
        self.generator = generator
        self.base = base
        self.count = base.count
        self.steps: list[Step] = []
        self.cuts: list[float] = []
        self.restart_spread_ms = 0.0
        # The node, if any, that loses its disk and is partitioned from all others.
        self.isolated_node: int | None = None

    def draw(self) -> Schedule:
        """Draw all steps, partitions and outages, and return the schedule."""
        generator = self.generator
        self._draw_until_cut()
        self._draw_restarts()
        self._draw_concurrent_changes()
        partitions = self._draw_partitions()
        last = self.cuts[-1]
        outages: tuple[Outage, ...] = ()
        if generator.random() < DISCOVERY_OUTAGE_PROBABILITY:
            outages = (Outage(self.cuts[0], last + 8_000.0),)
        if self.isolated_node is not None:
            self.steps += self._draw_repeated_ban(self.isolated_node)
            partitions += (Partition(last, last + 9_000.0, frozenset({self.isolated_node})),)
        self.steps += self.base.steps
        return dataclasses.replace(
            self.base,
            steps=tuple(self.steps),
            partitions=partitions,
            outages=outages,
            serve_ms=generator.choice((4.0, 4.0, 4.0, 60.0)),
        )

    def _draw_until_cut(self) -> None:
        generator = self.generator
        cut = generator.uniform(3_500, 9_000)
        image_at = generator.uniform(3_000, cut)
        self.steps += [Step(image_at, StepKind.TAKE_IMAGE, node) for node in range(self.count)]
        self.steps += _draw_requests(generator, self.count, 2_500, cut, 8)
        self.steps += _draw_requests(generator, self.count, cut - 60, cut, 2)
        self.cuts = [cut]
        if generator.random() < SECOND_CUT_PROBABILITY:
            self.cuts.append(cut + generator.uniform(600, 12_000))

    def _draw_restarts(self) -> None:
        generator = self.generator
        self.restart_spread_ms = generator.choice(RESTART_SPREADS_MS)
        absent = generator.randrange(self.count) if generator.random() < MISSING_NODE_PROBABILITY else None
        conditions = _draw_conditions(generator, self.count)
        if generator.random() < ISOLATED_NODE_PROBABILITY:
            self.isolated_node = generator.randrange(self.count)
            conditions[self.isolated_node] = DiskCondition.LOST
        for index, cut in enumerate(self.cuts):
            self.steps.append(Step(cut, StepKind.CUT))
            self.steps += [
                Step(cut + generator.uniform(10, 900), StepKind.RESTART_BACKEND, arg=name)
                for name in BACKENDS
            ]
            for node in range(self.count):
                delay = 20_000.0 if generator.random() < LATE_RESTART_PROBABILITY else 0.0
                back = cut + 500 + generator.uniform(0, self.restart_spread_ms) + delay
                if node == absent or any(cut < other <= back for other in self.cuts):
                    continue
                is_damaged = (
                    index == 0
                    or node == self.isolated_node
                    or generator.random() < DISK_DAMAGE_AT_SECOND_CUT_PROBABILITY
                )
                condition = conditions[node] if is_damaged else DiskCondition.SOUND
                self.steps.append(Step(back, StepKind.BOOT, node, condition.value))

    def _draw_concurrent_changes(self) -> None:
        """Draw operators' requests, shutdowns and takeovers while nodes restart."""
        generator = self.generator
        cut = self.cuts[0]
        last = self.cuts[-1]
        end = last + self.restart_spread_ms + 2_000
        self.steps += _draw_requests(generator, self.count, cut + 1_000, end + 4_000, 4)
        if generator.random() < SHUTDOWN_DURING_RESTART_PROBABILITY:
            node = generator.randrange(self.count)
            at = generator.uniform(last + 1_000, end + 3_000)
            self.steps.append(Step(at, StepKind.SHUT_DOWN, node))
            back = at + generator.uniform(900, 4_000)
            self.steps.append(Step(back, StepKind.BOOT, node, DiskCondition.SOUND.value))
        if generator.random() < SUCCESSOR_DURING_RESTART_PROBABILITY:
            at = generator.uniform(last + 1_000, end + 4_000)
            self.steps.append(Step(at, StepKind.START_SUCCESSOR, generator.randrange(self.count)))

    def _draw_partitions(self) -> tuple[Partition, ...]:
        generator = self.generator
        if generator.random() >= PARTITION_PROBABILITY:
            return ()
        partitions = [self._draw_partition(max(1, self.count // generator.choice((2, 2, 3))))]
        if generator.random() < SECOND_PARTITION_PROBABILITY:
            partitions.append(self._draw_partition(max(1, self.count // 2)))
        return tuple(partitions)

    def _draw_partition(self, size: int) -> Partition:
        side = frozenset(self.generator.sample(range(self.count), size))
        until = self.cuts[-1] + self.generator.uniform(2_000, 15_000)
        return Partition(self.cuts[0], until, side)

    def _draw_repeated_ban(self, node: int) -> Iterator[Step]:
        """Yield a ban, its lift, and the same ban again at the node after the loss of its disk."""
        generator = self.generator
        cut = self.cuts[0]
        name = generator.choice(BANNED_BACKENDS)
        banned_at = generator.uniform(2_500, cut - 600)
        yield Step(banned_at, StepKind.BAN, node, name)
        lifted_at = generator.uniform(banned_at + 200, cut)
        yield Step(lifted_at, StepKind.LIFT, generator.randrange(self.count), name)
        yield Step(self.cuts[-1] + generator.uniform(2_000, 9_000), StepKind.BAN, node, name)


def _draw_conditions(generator: random.Random, count: int) -> list[DiskCondition]:
    """Draw the condition of each node's disk after the power cut."""
    conditions = [DiskCondition.SOUND] * count
    node_order = generator.sample(range(count), count)
    match generator.choice(("sound", "third", "month", "swapped", "most", "older", "mixed")):
        case "third":
            for node in node_order[: max(1, count // 3)]:
                conditions[node] = DiskCondition.LOST
        case "month":
            conditions[node_order[0]] = DiskCondition.MONTH
        case "swapped":
            for node in node_order[:2]:
                conditions[node] = DiskCondition.SWAPPED
        case "most":
            for node in node_order[: count // 2 + 1]:
                conditions[node] = DiskCondition.DAMAGED
        case "older":
            for node in node_order[: max(1, count // 2)]:
                conditions[node] = DiskCondition.OLDER
        case "mixed":
            conditions = [generator.choice(tuple(DiskCondition)) for _ in range(count)]
    return conditions


SINGLE_FAULTS = (
    StepKind.KILL,
    StepKind.KILL,
    StepKind.SHUT_DOWN,
    StepKind.START_SUCCESSOR,
    StepKind.RESTART_BACKEND,
)


def _draw_single_faults(generator: random.Random, base: Schedule) -> Schedule:
    """Draw faults of single nodes in a tier that has run long enough to count as established."""
    count = base.count
    steps = list(_draw_requests(generator, count, 2_500, 30_000, 8))
    steps += [Step(generator.uniform(4_000, 14_000), StepKind.TAKE_IMAGE, node) for node in range(count)]
    at = 15_000.0
    for _ in range(generator.randint(1, 3)):
        at += generator.uniform(500, 6_000)
        node = generator.randrange(count)
        kind = generator.choice(SINGLE_FAULTS)
        if kind is StepKind.RESTART_BACKEND:
            steps.append(Step(at, kind, arg=generator.choice(BACKENDS)))
            continue
        steps.append(Step(at, kind, node))
        if kind is not StepKind.START_SUCCESSOR:
            condition = generator.choice((DiskCondition.SOUND, DiskCondition.SOUND, *DiskCondition))
            back = at + generator.uniform(900, 4_000)
            steps.append(Step(back, StepKind.BOOT, node, condition.value))
    return dataclasses.replace(
        base, steps=(*base.steps, *steps), established_after_ms=SHORT_ESTABLISHED_AFTER_MS
    )
