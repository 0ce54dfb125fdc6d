"""Seeded schedules of power cuts and their like, how they are played, and how a failed one is made small.

One by hand, with the log of what happened:

    python -c "from balancer.sim.recovery_schedule import draw, play; print(play(draw(17)))"
"""

from __future__ import annotations

import dataclasses
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.sim.members import Net
from balancer.sim.recovery_disks import Condition
from balancer.sim.recovery_observer import Breach, Observer
from balancer.sim.recovery_world import MakeCore, Partition, Tier

BACKENDS = tuple(f"b{i}" for i in range(6))
COUNTS = (3, 3, 4, 5, 6, 8, 12, 16)  # nodes
SPREADS = (500.0, 5_000.0, 20_000.0)  # ms over which nodes return
SETTLE_MS, QUIET_MS = 500.0, 1_000.0


@dataclass(slots=True, frozen=True)
class Step:
    """What happens, `at` ms after the start: `what` is a name in `STEPS`."""

    at: float
    what: str
    node: int = -1
    arg: str = ""


@dataclass(slots=True, frozen=True)
class Schedule:
    """All that happens to a tier; times in ms after its start."""

    seed: int
    count: int
    steps: tuple[Step, ...]
    partitions: tuple[tuple[float, float, frozenset[int]], ...] = ()
    down: tuple[tuple[float, float], ...] = ()  # discovery
    serve_ms: float = 4.0
    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0
    wall_ms: float = 0.0  # by which wall clocks are off at most, another figure at each start
    window: float = 60_000.0
    slot: float = 25.0  # of discovery's turns
    sync_fails: float = 0.0

    @property
    def last_fault(self) -> float:
        """When nothing more goes wrong."""
        ends = [s.at for s in self.steps] + [p[1] for p in self.partitions] + [d[1] for d in self.down]
        return max(ends, default=0.0)


@dataclass
class Played:
    """What came of a schedule."""

    schedule: Schedule
    breaches: list[Breach]
    log: list[tuple[float, str]]
    begun: float
    full_ms: float  # from the last fault until all were full and agreed; infinity if they were not
    datagrams: Counter[int]  # of all nodes and rooms, by second
    calls: Counter[int]  # of discovery, by second
    yes: int
    budget_worst: float  # part of its budget that a cold backend was sent at the most

    def __str__(self) -> str:
        lines = [f"seed {self.schedule.seed}: {self.schedule.count} nodes, loss {self.schedule.loss}"]
        lines += [f"{at - self.begun:9.0f}  {text}" for at, text in self.log]
        return "\n".join(lines)


STEPS: dict[str, Callable[[Tier, Step], None]] = {
    "boot": lambda tier, step: tier.boot(step.node, Condition(step.arg)),
    "cut": lambda tier, step: tier.cut(list(range(tier.count))),
    "kill": lambda tier, step: tier.kill(step.node),
    "quit": lambda tier, step: tier.quit(step.node),
    "succeed": lambda tier, step: tier.succeed(step.node),
    "out": lambda tier, step: tier.call(step.node, step.arg, True),
    "in": lambda tier, step: tier.call(step.node, step.arg, False),
    "backend": lambda tier, step: tier.restart_backend(step.arg),
    "image": lambda tier, step: tier.disks[step.node].photograph(),
}


# --- drawn by a seed


def draw(seed: int, counts: Iterable[int] = COUNTS) -> Schedule:
    """A schedule: three in four lose power as a whole, in the others single nodes have their own troubles."""
    dice = random.Random(f"schedule {seed}")
    count = dice.choice(tuple(counts))
    plain = Schedule(
        seed,
        count,
        tuple(Step(dice.uniform(0, 1_500), "boot", node, Condition.SOUND.value) for node in range(count)),
        loss=dice.choice((0.0, 0.0, 0.0, 0.05, 0.1, 0.3)),
        duplicate=dice.choice((0.0, 0.1)),
        late=dice.choice((0.0, 0.0, 0.02)),
        wall_ms=dice.choice((0.0, 600_000.0)),
        sync_fails=dice.choice((0.0, 0.0, 0.1)),
    )
    full = _power(dice, plain) if dice.random() < 0.75 else _single(dice, plain)
    return dataclasses.replace(full, steps=tuple(sorted(full.steps, key=lambda step: step.at)))


def _calls(dice: random.Random, count: int, begin: float, until: float, most: int) -> Iterator[Step]:
    for _ in range(dice.randint(0, most)):
        what = "out" if dice.random() < 0.6 else "in"
        yield Step(dice.uniform(begin, until), what, dice.randrange(count), dice.choice(BACKENDS[:3]))


def _power(dice: random.Random, plain: Schedule) -> Schedule:
    """All lose power, once or twice, and most of them return."""
    count = plain.count
    cut = dice.uniform(3_500, 9_000)
    image = dice.uniform(3_000, cut)
    steps = [Step(image, "image", node) for node in range(count)]
    steps += _calls(dice, count, 2_500, cut, 8)
    steps += _calls(dice, count, cut - 60, cut, 2)
    cuts = [cut]
    if dice.random() < 0.25:
        cuts.append(cut + dice.uniform(600, 12_000))
    spread = dice.choice(SPREADS)
    never = dice.randrange(count) if dice.random() < 0.2 else -1
    states = _disks(dice, count)
    again = dice.randrange(count) if dice.random() < 0.15 else -1
    if again >= 0:
        states[again] = Condition.LOST
    for index, at in enumerate(cuts):
        steps.append(Step(at, "cut"))
        steps += [Step(at + dice.uniform(10, 900), "backend", arg=name) for name in BACKENDS]
        for node in range(count):
            late = 20_000.0 if dice.random() < 0.07 else 0.0
            back = at + 500 + dice.uniform(0, spread) + late
            if node == never or any(at < other <= back for other in cuts):
                continue
            hurt = index == 0 or node == again or dice.random() < 0.3
            state = states[node] if hurt else Condition.SOUND
            steps.append(Step(back, "boot", node, state.value))
    end = cuts[-1] + spread + 2_000
    steps += _calls(dice, count, cut + 1_000, end + 4_000, 4)
    if dice.random() < 0.2:
        node, at = dice.randrange(count), dice.uniform(cuts[-1] + 1_000, end + 3_000)
        steps.append(Step(at, "quit", node))
        steps.append(Step(at + dice.uniform(900, 4_000), "boot", node, Condition.SOUND.value))
    if dice.random() < 0.2:
        steps.append(Step(dice.uniform(cuts[-1] + 1_000, end + 4_000), "succeed", dice.randrange(count)))
    parted: tuple[tuple[float, float, frozenset[int]], ...] = ()
    if dice.random() < 0.35:
        side = frozenset(dice.sample(range(count), max(1, count // dice.choice((2, 2, 3)))))
        parted = ((cut, cuts[-1] + dice.uniform(2_000, 15_000), side),)
        if dice.random() < 0.5:  # three or four zones
            other = frozenset(dice.sample(range(count), max(1, count // 2)))
            parted += ((cut, cuts[-1] + dice.uniform(2_000, 15_000), other),)
    down = ((cut, cuts[-1] + 8_000.0),) if dice.random() < 0.25 else ()
    if again >= 0:
        steps += _again(dice, again, count, cut, cuts[-1])
        parted += ((cuts[-1], cuts[-1] + 9_000.0, frozenset({again})),)
    steps += plain.steps
    serve = dice.choice((4.0, 4.0, 4.0, 60.0))
    return dataclasses.replace(plain, steps=tuple(steps), partitions=parted, down=down, serve_ms=serve)


def _again(dice: random.Random, node: int, count: int, cut: float, last: float) -> Iterator[Step]:
    """A ban that is lifted, and called once more at the same node after it has lost its disk, while alone."""
    name = dice.choice(BACKENDS[:3])
    called = dice.uniform(2_500, cut - 600)
    yield Step(called, "out", node, name)
    yield Step(dice.uniform(called + 200, cut), "in", dice.randrange(count), name)
    yield Step(last + dice.uniform(2_000, 9_000), "out", node, name)


def _disks(dice: random.Random, count: int) -> list[Condition]:
    """What the cut leaves of each node's disk."""
    states = [Condition.SOUND] * count
    hurt = dice.sample(range(count), count)
    match dice.choice(("sound", "third", "month", "swapped", "most", "older", "mixed")):
        case "third":
            for node in hurt[: max(1, count // 3)]:
                states[node] = Condition.LOST
        case "month":
            states[hurt[0]] = Condition.MONTH
        case "swapped":
            states[hurt[0]] = states[hurt[1]] = Condition.SWAPPED
        case "most":
            for node in hurt[: count // 2 + 1]:
                states[node] = Condition.DAMAGED
        case "older":
            for node in hurt[: max(1, count // 2)]:
                states[node] = Condition.OLDER
        case "mixed":
            states = [dice.choice(tuple(Condition)) for _ in range(count)]
    return states


def _single(dice: random.Random, plain: Schedule) -> Schedule:
    """Troubles of single nodes in a tier that has run for longer than the window."""
    count = plain.count
    steps = list(_calls(dice, count, 2_500, 30_000, 8))
    steps += [Step(dice.uniform(4_000, 14_000), "image", node) for node in range(count)]
    at = 15_000.0
    for _ in range(dice.randint(1, 3)):
        at += dice.uniform(500, 6_000)
        node, what = dice.randrange(count), dice.choice(("kill", "kill", "quit", "succeed", "backend"))
        if what == "backend":
            steps.append(Step(at, what, arg=dice.choice(BACKENDS)))
            continue
        steps.append(Step(at, what, node))
        if what != "succeed":
            state = dice.choice((Condition.SOUND, Condition.SOUND, *Condition))
            steps.append(Step(at + dice.uniform(900, 4_000), "boot", node, state.value))
    return dataclasses.replace(plain, steps=(*plain.steps, *steps), window=12_000.0)


# --- played


def bounds(schedule: Schedule, config: RecoveryConfig) -> tuple[float, float]:
    """Stated times in ms: until a ban is known to all in touch; from the last fault until all are full."""
    slow = 1.0 / (1.0 - schedule.loss) ** 2
    learn = 15_000.0 * slow if schedule.loss or schedule.late else 12_000.0
    turns = max(1_000.0, schedule.count * config.poll_slot) * 4 + 3 * schedule.count * schedule.serve_ms
    return learn, config.max_survey + turns + config.max_warming + 2 * learn + 3_000.0


def play(schedule: Schedule, make: MakeCore = Recovery) -> Played:
    """Let a schedule happen; stops soon after the last fault where all is well."""
    config = RecoveryConfig(established_after=schedule.window, poll_slot=schedule.slot)
    net = Net(loss=schedule.loss, duplicate=schedule.duplicate, late=schedule.late)
    begun = 1e6
    parted = tuple(Partition(begun + a, begun + b, side) for a, b, side in schedule.partitions)
    tier = Tier(schedule.count, schedule.seed, net, config, make, BACKENDS, parted)
    tier.discovery.serve_ms, tier.sync_fails = schedule.serve_ms, schedule.sync_fails
    tier.discovery.down = tuple((begun + a, begun + b) for a, b in schedule.down)
    tier.wall_ms = schedule.wall_ms
    learn, most = bounds(schedule, config)
    observer = Observer(tier, learn)
    for step in schedule.steps:
        tier.at(begun + step.at, lambda step=step: STEPS[step.what](tier, step))  # type: ignore[misc]
    last = begun + schedule.last_fault
    tier.run(last)
    while tier.now < last + most and not observer.breaches:
        if tier.now > last + QUIET_MS and observer.ends():
            break  # nothing is left that could change
        tier.run(tier.now + SETTLE_MS)
    full = tier.now - last if observer.ends() else float("inf")
    if not observer.breaches:
        observer.judge_end()
    budget = max(backend.worst for backend in tier.backends.values())
    datagrams, calls = tier.per_second, tier.discovery.per_second
    return Played(schedule, observer.breaches, tier.log, begun, full, datagrams, calls, observer.yes, budget)


@dataclass
class Explored:
    """What many schedules came to."""

    schedules: int = 0
    yes: int = 0
    failures: list[Played] = field(default_factory=list)
    worst_budget: float = 0.0
    full_ms: list[float] = field(default_factory=list)

    def first(self) -> Breach | None:
        """The first thing that must not be."""
        return self.failures[0].breaches[0] if self.failures else None


def explore(seeds: Iterable[int], counts: Iterable[int] = COUNTS, make: MakeCore = Recovery,
            stop: int = 5) -> Explored:  # fmt: skip
    """Play a schedule of each seed until `stop` have failed."""
    out, sizes = Explored(), tuple(counts)
    for seed in seeds:
        played = play(draw(seed, sizes), make)
        out.schedules += 1
        out.yes += played.yes
        out.worst_budget = max(out.worst_budget, played.budget_worst)
        out.full_ms.append(played.full_ms)
        if played.breaches:
            out.failures.append(played)
            if len(out.failures) >= stop:
                break
    return out


def shrink(failed: Played, make: MakeCore = Recovery) -> Played:
    """The same breach with less: troubles and steps are taken away, many at once and then few."""
    best, invariant = failed, failed.breaches[0].invariant
    plain = Schedule(best.schedule.seed, best.schedule.count, ())
    for name in ("partitions", "down", "loss", "late", "duplicate", "sync_fails", "serve_ms", "wall_ms"):
        if getattr(best.schedule, name) != getattr(plain, name):
            smaller = dataclasses.replace(best.schedule, **{name: getattr(plain, name)})
            best = _if_broken(smaller, make, invariant) or best
    size = len(best.schedule.steps) // 2
    while size:
        begin = 0
        while begin < len(steps := best.schedule.steps):
            smaller = dataclasses.replace(best.schedule, steps=steps[:begin] + steps[begin + size :])
            if (played := _if_broken(smaller, make, invariant)) is None:
                begin += size
            else:
                best = played
        size //= 2
    return best


def _if_broken(schedule: Schedule, make: MakeCore, invariant: str) -> Played | None:
    played = play(schedule, make)
    return played if any(breach.invariant == invariant for breach in played.breaches) else None
