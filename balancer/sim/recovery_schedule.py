"""Seeded schedules of power cuts and other faults of a simulated tier; `recovery_play` plays them."""

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
BANNED_BACKENDS = BACKENDS[:3]  # that operators ban
NODE_COUNTS = (3, 3, 4, 5, 6, 8, 12, 16)
RETURN_SPREADS_MS = (500.0, 5_000.0, 20_000.0)  # over which nodes return
SHORT_WINDOW_MS = 12_000.0

# Probabilities of the faults that a schedule may have.
TIER_POWER_CUT = 0.75
BAN_AMONG_REQUESTS = 0.6
SECOND_CUT = 0.25
NODE_NEVER_RETURNS = 0.2
NODE_LOSES_DISK_ALONE = 0.15
NODE_IS_LATE = 0.07
DISK_HURT_AT_SECOND_CUT = 0.3
SHUTDOWN_DURING_RETURN = 0.2
SUCCESSOR_DURING_RETURN = 0.2
PARTITIONED = 0.35
MAX_BURSTS = 3
MAX_BURST_REQUESTS = 8  # of one backend
BURST_MS = 1_000.0
LONGEST_WRITES_MS = (30.0, 150.0, 300.0)
PARTITIONED_TWICE = 0.5  # three or four zones
DISCOVERY_DOWN = 0.25


class StepKind(Enum):
    """Kinds of steps."""

    BOOT = "boot"
    CUT = "cut"  # the power of all
    KILL = "kill"
    SHUT_DOWN = "shut down"
    SUCCEED = "succeed"
    BAN = "ban"
    LIFT = "lift"
    RESTART_BACKEND = "restart backend"
    TAKE_IMAGE = "take image"


@dataclass(slots=True, frozen=True)
class Step:
    """Something that happens, `at` ms after the start."""

    at: float
    kind: StepKind
    node: int = -1
    arg: str = ""  # a backend, or a disk's condition


@dataclass(slots=True, frozen=True)
class Schedule:
    """All that happens to a tier; times in ms after its start."""

    seed: int
    count: int
    steps: tuple[Step, ...]
    partitions: tuple[Partition, ...] = ()
    outages: tuple[Outage, ...] = ()  # of discovery
    serve_ms: float = 4.0
    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0
    max_wall_offset: float = 0.0  # by which wall clocks are off at most, drawn at each start
    window: float = 60_000.0  # `RecoveryConfig.established_after_ms`
    slot: float = 25.0  # of discovery, for each node
    sync_failure_rate: float = 0.0
    write_ms: tuple[float, float] = (1.0, 30.0)  # least and longest time of a write

    @property
    def last_fault(self) -> float:
        """Time from which on nothing more goes wrong."""
        ends = [
            *(step.at for step in self.steps),
            *(partition.until for partition in self.partitions),
            *(outage.until for outage in self.outages),
        ]
        return max(ends, default=0.0)


def draw(seed: int, counts: Iterable[int] = NODE_COUNTS) -> Schedule:
    """Draw a schedule: most lose power as a whole, in the others single nodes have faults."""
    generator = random.Random(f"schedule {seed}")
    count = generator.choice(tuple(counts))
    sound = DiskCondition.SOUND.value
    plain = Schedule(
        seed,
        count,
        tuple(Step(generator.uniform(0, 1_500), StepKind.BOOT, node, sound) for node in range(count)),
        loss=generator.choice((0.0, 0.0, 0.0, 0.05, 0.1, 0.3)),
        duplicate=generator.choice((0.0, 0.1)),
        late=generator.choice((0.0, 0.0, 0.02)),
        max_wall_offset=generator.choice((0.0, 600_000.0)),
        sync_failure_rate=generator.choice((0.0, 0.0, 0.1)),
    )
    if generator.random() < TIER_POWER_CUT:
        drawn = _PowerCut(generator, plain).draw()
    else:
        drawn = _draw_single_faults(generator, plain)
    return dataclasses.replace(drawn, steps=tuple(sorted(drawn.steps, key=lambda step: step.at)))


def draw_crossings(seed: int, counts: Iterable[int] = NODE_COUNTS) -> Schedule:
    """Draw a schedule with slow disks, in which requests at several nodes cross one another's writes."""
    schedule = draw(seed, counts)
    generator = random.Random(f"crossings {seed}")
    steps = list(schedule.steps)
    for _ in range(generator.randint(1, MAX_BURSTS)):
        begin = generator.uniform(2_500, max(8_000, schedule.last_fault))
        backend = generator.choice(BANNED_BACKENDS)
        for _ in range(generator.randint(3, MAX_BURST_REQUESTS)):
            kind = StepKind.BAN if generator.random() < BAN_AMONG_REQUESTS else StepKind.LIFT
            at = begin + generator.uniform(0, BURST_MS)
            steps.append(Step(at, kind, generator.randrange(schedule.count), backend))
    return dataclasses.replace(
        schedule,
        steps=tuple(sorted(steps, key=lambda step: step.at)),
        write_ms=(1.0, generator.choice(LONGEST_WRITES_MS)),
        sync_failure_rate=generator.choice((0.0, 0.1)),
    )


def _draw_requests(
    generator: random.Random, count: int, begin: float, until: float, max_requests: int
) -> Iterator[Step]:
    """Yield requests of operators."""
    for _ in range(generator.randint(0, max_requests)):
        kind = StepKind.BAN if generator.random() < BAN_AMONG_REQUESTS else StepKind.LIFT
        at = generator.uniform(begin, until)
        yield Step(at, kind, generator.randrange(count), generator.choice(BANNED_BACKENDS))


class _PowerCut:
    """Draws a schedule in which all lose power, once or twice, and most of them return."""

    def __init__(self, generator: random.Random, plain: Schedule) -> None:
        self.generator = generator
        self.plain = plain
        self.count = plain.count
        self.steps: list[Step] = []
        self.cuts: list[float] = []
        self.spread = 0.0
        self.alone: int | None = None  # a node that loses its disk and is partitioned from all

    def draw(self) -> Schedule:
        """Return the schedule."""
        generator = self.generator
        self._draw_before()
        self._draw_returns()
        self._draw_processes()
        partitions = self._draw_partitions()
        last = self.cuts[-1]
        outages: tuple[Outage, ...] = ()
        if generator.random() < DISCOVERY_DOWN:
            outages = (Outage(self.cuts[0], last + 8_000.0),)
        if self.alone is not None:
            self.steps += self._draw_second_ban(self.alone)
            partitions += (Partition(last, last + 9_000.0, frozenset({self.alone})),)
        self.steps += self.plain.steps
        return dataclasses.replace(
            self.plain,
            steps=tuple(self.steps),
            partitions=partitions,
            outages=outages,
            serve_ms=generator.choice((4.0, 4.0, 4.0, 60.0)),
        )

    def _draw_before(self) -> None:
        generator = self.generator
        cut = generator.uniform(3_500, 9_000)
        image_at = generator.uniform(3_000, cut)
        self.steps += [Step(image_at, StepKind.TAKE_IMAGE, node) for node in range(self.count)]
        self.steps += _draw_requests(generator, self.count, 2_500, cut, 8)
        self.steps += _draw_requests(generator, self.count, cut - 60, cut, 2)
        self.cuts = [cut]
        if generator.random() < SECOND_CUT:
            self.cuts.append(cut + generator.uniform(600, 12_000))

    def _draw_returns(self) -> None:
        generator = self.generator
        self.spread = generator.choice(RETURN_SPREADS_MS)
        absent = generator.randrange(self.count) if generator.random() < NODE_NEVER_RETURNS else None
        conditions = _draw_conditions(generator, self.count)
        if generator.random() < NODE_LOSES_DISK_ALONE:
            self.alone = generator.randrange(self.count)
            conditions[self.alone] = DiskCondition.LOST
        for index, cut in enumerate(self.cuts):
            self.steps.append(Step(cut, StepKind.CUT))
            self.steps += [
                Step(cut + generator.uniform(10, 900), StepKind.RESTART_BACKEND, arg=name)
                for name in BACKENDS
            ]
            for node in range(self.count):
                delay = 20_000.0 if generator.random() < NODE_IS_LATE else 0.0
                back = cut + 500 + generator.uniform(0, self.spread) + delay
                if node == absent or any(cut < other <= back for other in self.cuts):
                    continue
                is_hurt = index == 0 or node == self.alone or generator.random() < DISK_HURT_AT_SECOND_CUT
                condition = conditions[node] if is_hurt else DiskCondition.SOUND
                self.steps.append(Step(back, StepKind.BOOT, node, condition.value))

    def _draw_processes(self) -> None:
        """Draw what operators and processes do while nodes return."""
        generator = self.generator
        cut = self.cuts[0]
        last = self.cuts[-1]
        end = last + self.spread + 2_000
        self.steps += _draw_requests(generator, self.count, cut + 1_000, end + 4_000, 4)
        if generator.random() < SHUTDOWN_DURING_RETURN:
            node = generator.randrange(self.count)
            at = generator.uniform(last + 1_000, end + 3_000)
            self.steps.append(Step(at, StepKind.SHUT_DOWN, node))
            back = at + generator.uniform(900, 4_000)
            self.steps.append(Step(back, StepKind.BOOT, node, DiskCondition.SOUND.value))
        if generator.random() < SUCCESSOR_DURING_RETURN:
            at = generator.uniform(last + 1_000, end + 4_000)
            self.steps.append(Step(at, StepKind.SUCCEED, generator.randrange(self.count)))

    def _draw_partitions(self) -> tuple[Partition, ...]:
        generator = self.generator
        if generator.random() >= PARTITIONED:
            return ()
        partitions = [self._draw_partition(max(1, self.count // generator.choice((2, 2, 3))))]
        if generator.random() < PARTITIONED_TWICE:
            partitions.append(self._draw_partition(max(1, self.count // 2)))
        return tuple(partitions)

    def _draw_partition(self, size: int) -> Partition:
        side = frozenset(self.generator.sample(range(self.count), size))
        until = self.cuts[-1] + self.generator.uniform(2_000, 15_000)
        return Partition(self.cuts[0], until, side)

    def _draw_second_ban(self, node: int) -> Iterator[Step]:
        """Yield a ban that is lifted, and requested again there after the node has lost its disk, alone."""
        generator = self.generator
        cut = self.cuts[0]
        name = generator.choice(BANNED_BACKENDS)
        banned_at = generator.uniform(2_500, cut - 600)
        yield Step(banned_at, StepKind.BAN, node, name)
        lifted_at = generator.uniform(banned_at + 200, cut)
        yield Step(lifted_at, StepKind.LIFT, generator.randrange(self.count), name)
        yield Step(self.cuts[-1] + generator.uniform(2_000, 9_000), StepKind.BAN, node, name)


def _draw_conditions(generator: random.Random, count: int) -> list[DiskCondition]:
    """Return what the cut leaves of each node's disk."""
    conditions = [DiskCondition.SOUND] * count
    hurt = generator.sample(range(count), count)
    match generator.choice(("sound", "third", "month", "swapped", "most", "older", "mixed")):
        case "third":
            for node in hurt[: max(1, count // 3)]:
                conditions[node] = DiskCondition.LOST
        case "month":
            conditions[hurt[0]] = DiskCondition.MONTH
        case "swapped":
            for node in hurt[:2]:
                conditions[node] = DiskCondition.SWAPPED
        case "most":
            for node in hurt[: count // 2 + 1]:
                conditions[node] = DiskCondition.DAMAGED
        case "older":
            for node in hurt[: max(1, count // 2)]:
                conditions[node] = DiskCondition.OLDER
        case "mixed":
            conditions = [generator.choice(tuple(DiskCondition)) for _ in range(count)]
    return conditions


SINGLE_FAULTS = (
    StepKind.KILL,
    StepKind.KILL,
    StepKind.SHUT_DOWN,
    StepKind.SUCCEED,
    StepKind.RESTART_BACKEND,
)


def _draw_single_faults(generator: random.Random, plain: Schedule) -> Schedule:
    """Draw faults of single nodes in a tier that has run for longer than the window."""
    count = plain.count
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
        if kind is not StepKind.SUCCEED:
            condition = generator.choice((DiskCondition.SOUND, DiskCondition.SOUND, *DiskCondition))
            back = at + generator.uniform(900, 4_000)
            steps.append(Step(back, StepKind.BOOT, node, condition.value))
    return dataclasses.replace(plain, steps=(*plain.steps, *steps), window=SHORT_WINDOW_MS)
