"""Scale measurements of membership: whole tiers in virtual time, and one protocol core at the full size.

Simulations of a whole tier are limited to some hundreds of nodes. The cost of one node for each member is
measured on a single core among stub peers, at the full number of members. Received bytes include IP and UDP
headers.
"""

from __future__ import annotations

import math
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from balancer.lab.scale.points import NotPlayed, Point
from balancer.lab.scale.size import DAY_S, IP_UDP_HEADER_BYTES, RACK_MACHINES, REGIONS, RESTARTS_PER_DAY
from balancer.membership.core import Membership
from balancer.membership.events import DatagramReceived, Event, SendDatagram, Tick
from balancer.membership.messages import (
    DIGEST_STRUCT,
    HEADER_STRUCT,
    NO_MEMBER,
    PAYLOAD_BYTES,
    UPDATE_STRUCT,
    MemberState,
    Message,
    MessageKind,
    Update,
    decode,
    encode,
)
from balancer.membership.view import View
from balancer.sim.members import GENERATION_UNIT_MS, MembershipSimulation, Network

ROLE = "membership"
LOSS_RATE = 0.01
WARMUP_MS = 6_000.0  # The first updates of all nodes are disseminated within 6 s.
QUIET_MS = 28_000.0  # A measurement of 28 s covers a full round of a node's repairs, 40 periods of 700 ms.
CONVERGENCE_TIMEOUT_MS = 180_000.0
STEP_MS = 50.0  # Convergence is checked every 50 ms, so measured times may be up to 50 ms too long.
RESTART_DELAY_MS = 1_000.0
MEASURED_DEATHS = 3
NODES_PER_RACK_NODE = 20  # A simulated rack failure ends one node in 20.
NODES_PER_RESTART = 10  # One node in 10 is killed and restarted at the same time.
MEASURED_DATAGRAMS = 400


@dataclass
class Meter:
    """The traffic received by all nodes together, including IP and UDP headers."""

    datagrams: int = 0
    total_bytes: int = 0
    updates: int = 0
    bytes_by_second: Counter[int] = field(default_factory=Counter)

    def record(self, now: float, data: bytes) -> None:
        """Count a datagram received by a running node."""
        size = len(data) + IP_UDP_HEADER_BYTES
        self.datagrams += 1
        self.total_bytes += size
        self.bytes_by_second[int(now / 1000)] += size


class MeteredTier(MembershipSimulation):
    """A simulated tier that counts received traffic and the processor time of its protocol cores."""

    def __init__(self, count: int, seed: int, network: Network) -> None:
        """Create the tier without starting any node."""
        super().__init__(count, seed, network=network)
        self.meter, self.core_ns = Meter(), 0

    def start_converged(self) -> None:
        """Start all nodes with the same view, so that none sends the digests of a join."""
        generation = int(self.now / GENERATION_UNIT_MS) - 1
        view = _converged_view(self.count, generation)
        for node, host in enumerate(self.hosts):
            host.process_number += 1
            host.core = Membership(
                self.config, node, self.count, generation, self.seeds.getrandbits(64), self.now
            )
            host.core.handle(self.now, Tick())
            host.core.adopt_view(view.copy())
            self._schedule_tick(node, host.core.next_wakeup_ms)

    @property
    def core_us(self) -> float:
        """The mean processor time of a node's core, in us."""
        return self.core_ns / 1000 / self.count

    def reset_counters(self) -> None:
        """Reset the counters at the start of a measurement."""
        self.meter, self.core_ns = Meter(), 0
        self.sent_by_node.clear()

    def _handle(self, node: int, event: Event) -> None:
        if (core := self.hosts[node].core) is None:
            return
        started_at = time.thread_time_ns()
        actions = core.handle(self.now + self.hosts[node].clock_offset, event)
        self.core_ns += time.thread_time_ns() - started_at
        for action in actions:
            self._perform(node, action)
        self._schedule_tick(node, core.next_wakeup_ms)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        if self.hosts[target].core is not None:
            self.meter.record(self.now, data)
            self.meter.updates += (
                len(data) - HEADER_STRUCT.size - data[HEADER_STRUCT.size - 1]
            ) // UPDATE_STRUCT.size
        super()._arrive(source, target, data)


def _converged_view(count: int, generation: int) -> View:
    """Return a view in which all members are alive in one generation."""
    view = View.with_unknown_members(count)
    for member in range(count):
        view.put(Update(member, generation, 0, MemberState.ALIVE))
    return view


def converged_tier(count: int, seed: int) -> MeteredTier:
    """Return a converged tier with the usual datagram loss, after the dissemination of its first updates."""
    world = MeteredTier(count, seed, Network(loss_rate=LOSS_RATE))
    world.start_converged()
    world.run(world.now + WARMUP_MS)
    world.reset_counters()
    return world


class PointFactory:
    """Creates the points of one role at one size."""

    def __init__(self, role: str, size: int) -> None:
        """Set the role and the size of the points."""
        self.role, self.size = role, size

    def counted(self, figure: str, unit: str, value: float) -> Point:
        """Return the point of a counted figure or a virtual time, which depends only on the seed."""
        return Point(self.role, figure, unit, self.size, value, True)

    def virtual_time(self, figure: str, ms: float) -> Iterator[Point | NotPlayed]:
        """Yield the point of a virtual time in s, or NotPlayed if the time is infinite."""
        if math.isfinite(ms):
            yield self.counted(figure, "s", ms / 1000)
        else:
            yield NotPlayed(
                f"{self.role}.{figure} at {self.size}",
                "it was not reached within the time limit of the simulation",
            )

    def measured(self, figure: str, unit: str, value: float) -> Point:
        """Return the point of a processor time or memory, which depends on the machine."""
        return Point(self.role, figure, unit, self.size, value, False)


# --- Measurements of whole tiers


def quiet(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure traffic and processor time of a node per second, idle and at the daily rate of restarts."""
    for count in sizes:
        world, points = converged_tier(count, seed), PointFactory(ROLE, count)
        yield from _measure_rates(world, points, "quiet")
        world.reset_counters()
        interval_ms = DAY_S * 1000 / RESTARTS_PER_DAY
        for number in range(int(QUIET_MS / interval_ms)):
            world.at(world.now + number * interval_ms, partial(_restart, world, number % count))
        yield from _measure_rates(world, points, "day")


def _measure_rates(world: MeteredTier, points: PointFactory, when: str) -> Iterator[Point | NotPlayed]:
    started_at, seconds = world.now, int(QUIET_MS / 1000)
    world.run(started_at + QUIET_MS)
    meter, share = world.meter, 1 / world.count / seconds
    yield points.counted(f"{when}_datagrams", "datagrams/s", meter.datagrams * share)
    yield points.counted(f"{when}_bytes", "bytes/s", meter.total_bytes * share)
    yield points.counted(f"{when}_worst_second", "bytes/s", _worst_second(world))
    yield points.counted(f"{when}_sent", "datagrams/s", sum(world.sent_by_node.values()) * share)
    yield points.measured(f"{when}_processor", "us", world.core_us / seconds)


def _restart(world: MeteredTier, node: int) -> None:
    """Restart a node gracefully: it leaves the tier, ends, and starts again later."""
    world.leave(node)
    world.at(world.now + RESTART_DELAY_MS, partial(world.start, node))


def cold_start(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the simultaneous start of all nodes without any state."""
    for count in sizes:
        world, points = MeteredTier(count, seed, Network(loss_rate=LOSS_RATE)), PointFactory(ROLE, count)
        started_at = time.thread_time()
        for node in range(count):
            world.start(node)
        took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
        world_s = time.thread_time() - started_at
        meter = world.meter
        yield from points.virtual_time("cold_start_time", took)
        yield points.counted("cold_start_bytes", "bytes", meter.total_bytes / count)
        yield points.counted("cold_start_worst_second", "bytes/s", _worst_second(world))
        yield points.counted("cold_start_datagrams", "entries", meter.datagrams / count)
        yield points.counted("cold_start_rumours", "entries", meter.updates / count)
        yield points.measured("cold_start_processor", "us", world.core_us)
        yield points.measured("cold_start_world", "s", world_s)


def _worst_second(world: MeteredTier) -> float:
    """Return the mean number of bytes that a node received in the second with the most traffic."""
    return max(world.meter.bytes_by_second.values(), default=0) / world.count


def _deaths(world: MeteredTier, points: PointFactory) -> Iterator[Point | NotPlayed]:
    took = []
    for node in range(MEASURED_DEATHS):
        world.kill(node)
        took.append(world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS))
    yield from points.virtual_time("death_time", statistics.median(took))
    yield points.counted("death_worst_second", "bytes/s", _worst_second(world))


def _rack(world: MeteredTier, points: PointFactory) -> Iterator[Point | NotPlayed]:
    for node in range(max(1, min(RACK_MACHINES, world.count // NODES_PER_RACK_NODE))):
        world.kill(node)
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from points.virtual_time("rack_time", took)
    yield points.counted("rack_worst_second", "bytes/s", _worst_second(world))


def _restarts(world: MeteredTier, points: PointFactory) -> Iterator[Point | NotPlayed]:
    restarted = range(max(1, world.count // NODES_PER_RESTART))
    for node in restarted:
        world.kill(node)
    world.run(world.now + RESTART_DELAY_MS)
    for node in restarted:
        world.start(node)
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from points.virtual_time("tenth_time", took)
    yield points.counted("tenth_worst_second", "bytes/s", _worst_second(world))


def _region(world: MeteredTier, points: PointFactory) -> Iterator[Point | NotPlayed]:
    region_size = world.count // REGIONS
    sides = (range(region_size), range(region_size, world.count))
    world.network.is_cut = lambda source, target: (source < region_size) != (target < region_size)
    started_at = world.now
    while not _sides_agree(world, sides) and world.now < started_at + CONVERGENCE_TIMEOUT_MS:
        world.run(world.now + STEP_MS)
    partition_ms = world.now - started_at if _sides_agree(world, sides) else math.inf
    yield from points.virtual_time("cut_time", partition_ms)
    yield points.counted("cut_worst_second", "bytes/s", _worst_second(world))
    yield points.measured("cut_processor", "us", world.core_us)
    world.network.is_cut = lambda source, target: False
    world.reset_counters()
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from points.virtual_time("heal_time", took)
    yield points.counted("heal_bytes", "bytes", world.meter.total_bytes / world.count)
    yield points.counted("heal_worst_second", "bytes/s", _worst_second(world))
    yield points.measured("heal_processor", "us", world.core_us)


def _sides_agree(world: MeteredTier, sides: Sequence[Sequence[int]]) -> bool:
    """Return whether the nodes of each side of the partition agree that only their side is present."""
    for side in sides:
        cores = [core for node in side if (core := world.hosts[node].core) is not None]
        if len({(core.view.state_hash, core.view.present_count) for core in cores}) > 1:
            return False
        if cores and cores[0].present_members() != list(side):
            return False
    return True


FAULTS: dict[str, Callable[[MeteredTier, PointFactory], Iterator[Point | NotPlayed]]] = {
    "a death": _deaths, "a rack": _rack, "restarts": _restarts, "a region": _region,
}  # fmt: skip


def faults(
    sizes: Sequence[int], seed: int, selected: Iterable[str] = tuple(FAULTS)
) -> Iterator[Point | NotPlayed]:
    """Measure faults of a converged tier: a node failure, a rack failure, restarts, and a partition."""
    for count in sizes:
        for fault in selected:
            yield from FAULTS[fault](converged_tier(count, seed), PointFactory(ROLE, count))


# --- Measurements of one protocol core at the full number of members


class SingleCore:
    """One membership core in a tier of `count` members, whose stub peers answer every probe."""

    def __init__(self, count: int, seed: int) -> None:
        """Start the core at time 0."""
        self.count, self.now, self.sequence = count, 0.0, 0
        self.core = Membership(MembershipSimulation(0, 0).config, 0, count, 1, seed, self.now)
        self.sent: list[Message] = []
        self.core_ns = 0

    def learn_all_members(self) -> None:
        """Let the core learn of all members by updates, and receive a datagram from each of them."""
        updates_per_page = PAYLOAD_BYTES // UPDATE_STRUCT.size
        for first in range(0, self.count, updates_per_page):
            named = range(max(1, first), min(first + updates_per_page, self.count))
            page = tuple(Update(member, 1, 0, MemberState.ALIVE) for member in named)
            self.receive(1, MessageKind.BULK_UPDATE, page)
        for peer in range(1, self.count):
            self.receive(peer, MessageKind.BULK_UPDATE)

    def adopt_converged_view(self) -> None:
        """Give the core a complete view without pending updates."""
        self.core.adopt_view(_converged_view(self.count, 1))
        for peer in range(1, self.count):
            self.receive(peer, MessageKind.ACK)

    def receive(
        self, peer: int, kind: MessageKind, updates: tuple[Update, ...] = (), extra: bytes = b""
    ) -> None:
        """Deliver a message of a peer that has the same view."""
        message = Message(kind, peer, 1, 0, 0, self.core.view.state_hash, NO_MEMBER, extra, updates)
        self.handle(DatagramReceived(peer, encode(message)))

    def handle(self, event: Event) -> None:
        """Handle an event and answer the core's probes at once."""
        started_at = time.thread_time_ns()
        actions = self.core.handle(self.now, event)
        self.core_ns += time.thread_time_ns() - started_at
        sent = [(a.node, decode(a.data)) for a in actions if isinstance(a, SendDatagram)]
        self.sent += [message for _, message in sent]
        for peer, message in sent:
            if peer is not None and message.kind == MessageKind.PING:
                ack = Message(MessageKind.ACK, peer, 1, 0, message.sequence, self.core.view.state_hash, peer)
                self.handle(DatagramReceived(peer, encode(ack)))

    def run(self, until: float) -> None:
        """Advance the clock to `until`, with a tick at each wake-up of the core."""
        while self.core.next_wakeup_ms <= until:
            self.now = max(self.now, self.core.next_wakeup_ms)
            self.handle(Tick())
        self.now = until


def one_node(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the memory and processor time of one core at the full number of members."""
    for count in sizes:
        points = PointFactory(ROLE, count)
        memory = _memory_bytes(partial(_core_that_learned, count, seed))
        yield points.measured("core_memory", "bytes", memory)
        single = SingleCore(count, seed)
        single.adopt_converged_view()
        single.run(single.now + QUIET_MS)
        single.core_ns = 0
        single.run(single.now + QUIET_MS)
        period = single.core_ns / 1000 / (QUIET_MS / single.core.node.config.probe_interval_ms)
        yield points.measured("core_period", "us", period)
        yield points.measured("core_datagram", "us", _datagram_us(single))
        yield from _repair(single, points)


def _repair(single: SingleCore, points: PointFactory) -> Iterator[Point | NotPlayed]:
    """Measure the repair of a peer whose digest differs in all buckets."""
    first, started_at = len(single.sent), single.now
    wrong = (~salted & 0xFFFF for salted in single.core.view.digest(0))
    single.receive(1, MessageKind.DIGEST, extra=DIGEST_STRUCT.pack(True, *wrong))
    ends = started_at
    while single.now < ends + 2 * single.core.node.config.probe_interval_ms:
        before = len(single.sent)
        single.run(single.now + STEP_MS)
        if any(m.kind == MessageKind.GOSSIP and m.subject == 1 for m in single.sent[before:]):
            ends = single.now
    sent = [m for m in single.sent[first:] if m.kind == MessageKind.GOSSIP and m.subject == 1]
    yield from points.virtual_time("repair_time", ends - started_at)
    yield points.counted("repair_datagrams", "entries", len(sent))
    yield points.counted("repair_rumours", "entries", sum(len(m.updates) for m in sent))


def _core_that_learned(count: int, seed: int) -> SingleCore:
    single = SingleCore(count, seed)
    single.learn_all_members()
    return single


def _datagram_us(single: SingleCore) -> float:
    """Return the processor time in us for a datagram with six updates that the core already has."""
    known = single.core.view.records
    single.core_ns = 0
    for at in range(MEASURED_DATAGRAMS):
        peer = 1 + at % (single.count - 1)
        single.receive(
            peer, MessageKind.GOSSIP, tuple(known[1 + (at + i) % (single.count - 1)] for i in range(6))
        )
    return single.core_ns / 1000 / MEASURED_DATAGRAMS


def _memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory in bytes of the objects that `make` creates."""
    tracemalloc.start()
    try:
        made = make()
        size = tracemalloc.get_traced_memory()[0]
        del made
        return float(size)
    finally:
        tracemalloc.stop()
