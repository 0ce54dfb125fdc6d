"""Membership at growing sizes: whole tiers of the real cores in virtual time, and one core at the full size.

A whole tier fits to some hundreds of nodes. What one node holds and does for each member is measured on one
core alone among peers that are hollow, at the size itself. What comes to a node is counted with its headers.
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
from balancer.sim.members import GENERATION_UNIT_MS, Network, World

ROLE = "membership"
LOSS_RATE = 0.01
WARM_MS = 6_000.0  # until what each first says of itself is told
QUIET_MS = 28_000.0  # a whole round of a node's repairs: 40 periods of 700 ms
CONVERGENCE_TIMEOUT_MS = 180_000.0  # virtual time for which an agreement is waited for at most
STEP_MS = 50.0  # between two looks whether all agree: what a time may be too long by
RESTART_DELAY_MS = 1_000.0  # from a death to its restart
DEATHS = 3  # of one node each; the median counts
NODES_PER_RACK_NODE = 20  # one node in so many dies with its rack
NODES_PER_RESTART = 10  # one node in so many is restarted at once
MEASURED_DATAGRAMS = 400  # to one core, whose processor time is measured


@dataclass
class Meter:
    """The traffic that all nodes together received, with headers."""

    datagrams: int = 0
    size: int = 0  # bytes
    updates: int = 0
    by_second: Counter[int] = field(default_factory=Counter)  # bytes

    def record(self, now: float, data: bytes) -> None:
        """Count a datagram at a live node."""
        size = len(data) + IP_UDP_HEADER_BYTES
        self.datagrams += 1
        self.size += size
        self.by_second[int(now / 1000)] += size


class MeteredTier(World):
    """A tier that counts received traffic and the processor time of its cores."""

    def __init__(self, count: int, seed: int, network: Network) -> None:
        """Prepare the tier; no node is started."""
        super().__init__(count, seed, network=network)
        self.meter, self.core_ns = Meter(), 0

    def start_agreed(self) -> None:
        """Start all nodes with the same view, without the digests of a join."""
        generation = int(self.now / GENERATION_UNIT_MS) - 1
        view = _agreed(self.count, generation)
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

    def measure(self) -> None:
        """Reset the counters."""
        self.meter, self.core_ns = Meter(), 0
        self.sent_by_node.clear()

    def _handle(self, node: int, event: Event) -> None:
        if (core := self.hosts[node].core) is None:
            return
        begun = time.thread_time_ns()
        actions = core.handle(self.now + self.hosts[node].clock_offset, event)
        self.core_ns += time.thread_time_ns() - begun
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


def _agreed(count: int, generation: int) -> View:
    """Return the view of a node that knows all to be alive in one generation."""
    view = View.with_unknown_members(count)
    for member in range(count):
        view.put(Update(member, generation, 0, MemberState.ALIVE))
    return view


def tier(count: int, seed: int) -> MeteredTier:
    """Return a converged tier at the usual loss, whose first updates are disseminated."""
    world = MeteredTier(count, seed, Network(loss_rate=LOSS_RATE))
    world.start_agreed()
    world.run(world.now + WARM_MS)
    world.measure()
    return world


class PointFactory:
    """Makes the points of one role at one size."""

    def __init__(self, role: str, size: int) -> None:
        """Name the role and the size of the points."""
        self.role, self.size = role, size

    def counted(self, figure: str, unit: str, value: float) -> Point:
        """Return a counted figure, or one in virtual time: the same for a seed."""
        return Point(self.role, figure, unit, self.size, value, True)

    def took(self, figure: str, ms: float) -> Iterator[Point | NotPlayed]:
        """Yield a virtual time; NotPlayed where it is infinite."""
        if math.isfinite(ms):
            yield self.counted(figure, "s", ms / 1000)
        else:
            yield NotPlayed(f"{self.role}.{figure} at {self.size}", "it had not come to its end in the play")

    def machine(self, figure: str, unit: str, value: float) -> Point:
        """Return a processor time or memory of this machine."""
        return Point(self.role, figure, unit, self.size, value, False)


# --- whole tiers


def quiet(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the cost of a node a second, at rest and at the restarts of a day."""
    for count in sizes:
        world, of = tier(count, seed), PointFactory(ROLE, count)
        yield from _seconds(world, of, "quiet")
        world.measure()
        gap = DAY_S * 1000 / RESTARTS_PER_DAY
        for number in range(int(QUIET_MS / gap)):
            world.at(world.now + number * gap, partial(_restart, world, number % count))
        yield from _seconds(world, of, "day")


def _seconds(world: MeteredTier, of: PointFactory, when: str) -> Iterator[Point | NotPlayed]:
    begun, seconds = world.now, int(QUIET_MS / 1000)
    world.run(begun + QUIET_MS)
    meter, share = world.meter, 1 / world.count / seconds
    yield of.counted(f"{when}_datagrams", "datagrams/s", meter.datagrams * share)
    yield of.counted(f"{when}_bytes", "bytes/s", meter.size * share)
    yield of.counted(f"{when}_worst_second", "bytes/s", _worst_second(world))
    yield of.counted(f"{when}_sent", "datagrams/s", sum(world.sent_by_node.values()) * share)
    yield of.machine(f"{when}_processor", "us", world.core_us / seconds)


def _restart(world: MeteredTier, node: int) -> None:
    """Restart a node gracefully: it leaves, ends, and is back later."""
    world.leave(node)
    world.at(world.now + RESTART_DELAY_MS, partial(world.start, node))


def cold_start(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure a start of all nodes at once without any state."""
    for count in sizes:
        world, of = MeteredTier(count, seed, Network(loss_rate=LOSS_RATE)), PointFactory(ROLE, count)
        begun = time.thread_time()
        for node in range(count):
            world.start(node)
        took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
        world_s = time.thread_time() - begun
        meter = world.meter
        yield from of.took("cold_start_time", took)
        yield of.counted("cold_start_bytes", "bytes", meter.size / count)
        yield of.counted("cold_start_worst_second", "bytes/s", _worst_second(world))
        yield of.counted("cold_start_datagrams", "entries", meter.datagrams / count)
        yield of.counted("cold_start_rumours", "entries", meter.updates / count)
        yield of.machine("cold_start_processor", "us", world.core_us)
        yield of.machine("cold_start_world", "s", world_s)


def _worst_second(world: MeteredTier) -> float:
    """Return the bytes that a node received in the worst second."""
    return max(world.meter.by_second.values(), default=0) / world.count


def _deaths(world: MeteredTier, of: PointFactory) -> Iterator[Point | NotPlayed]:
    took = []
    for node in range(DEATHS):
        world.kill(node)
        took.append(world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS))
    yield from of.took("death_time", statistics.median(took))
    yield of.counted("death_worst_second", "bytes/s", _worst_second(world))


def _rack(world: MeteredTier, of: PointFactory) -> Iterator[Point | NotPlayed]:
    for node in range(max(1, min(RACK_MACHINES, world.count // NODES_PER_RACK_NODE))):
        world.kill(node)
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from of.took("rack_time", took)
    yield of.counted("rack_worst_second", "bytes/s", _worst_second(world))


def _restarts(world: MeteredTier, of: PointFactory) -> Iterator[Point | NotPlayed]:
    restarted = range(max(1, world.count // NODES_PER_RESTART))
    for node in restarted:
        world.kill(node)
    world.run(world.now + RESTART_DELAY_MS)
    for node in restarted:
        world.start(node)
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from of.took("tenth_time", took)
    yield of.counted("tenth_worst_second", "bytes/s", _worst_second(world))


def _region(world: MeteredTier, of: PointFactory) -> Iterator[Point | NotPlayed]:
    far = world.count // REGIONS
    sides = (range(far), range(far, world.count))
    world.network.is_cut = lambda source, target: (source < far) != (target < far)
    begun = world.now
    while not _sides_agree(world, sides) and world.now < begun + CONVERGENCE_TIMEOUT_MS:
        world.run(world.now + STEP_MS)
    apart = world.now - begun if _sides_agree(world, sides) else math.inf
    yield from of.took("cut_time", apart)
    yield of.counted("cut_worst_second", "bytes/s", _worst_second(world))
    yield of.machine("cut_processor", "us", world.core_us)
    world.network.is_cut = lambda source, target: False
    world.measure()
    took = world.run_until_converged(CONVERGENCE_TIMEOUT_MS, STEP_MS)
    yield from of.took("heal_time", took)
    yield of.counted("heal_bytes", "bytes", world.meter.size / world.count)
    yield of.counted("heal_worst_second", "bytes/s", _worst_second(world))
    yield of.machine("heal_processor", "us", world.core_us)


def _sides_agree(world: MeteredTier, sides: Sequence[Sequence[int]]) -> bool:
    """Return whether all nodes of each side see just their own side as present."""
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
    """Measure faults of a converged tier: a death, a rack, restarts, a partition of a region."""
    for count in sizes:
        for fault in selected:
            yield from FAULTS[fault](tier(count, seed), PointFactory(ROLE, count))


# --- one core at the full size


class SingleCore:
    """A core among `count` hollow peers that answer every probe."""

    def __init__(self, count: int, seed: int) -> None:
        """Start the core at time 0."""
        self.count, self.now, self.sequence = count, 0.0, 0
        self.core = Membership(World(0, 0).config, 0, count, 1, seed, self.now)
        self.record: list[Message] = []  # what it sent
        self.core_ns = 0

    def learn_all(self) -> None:
        """Let it learn of all nodes, from each of them."""
        each = PAYLOAD_BYTES // UPDATE_STRUCT.size
        for first in range(0, self.count, each):
            named = range(max(1, first), min(first + each, self.count))
            page = tuple(Update(member, 1, 0, MemberState.ALIVE) for member in named)
            self.hear(1, MessageKind.BULK_UPDATE, page)
        for peer in range(1, self.count):
            self.hear(peer, MessageKind.BULK_UPDATE)

    def agree(self) -> None:
        """Let it know all nodes for long, without pending updates."""
        self.core.adopt_view(_agreed(self.count, 1))
        for peer in range(1, self.count):
            self.hear(peer, MessageKind.ACK)

    def hear(
        self, peer: int, kind: MessageKind, updates: tuple[Update, ...] = (), extra: bytes = b""
    ) -> None:
        """Deliver a broadcast of a peer with the same view."""
        message = Message(kind, peer, 1, 0, 0, self.core.view.state_hash, NO_MEMBER, extra, updates)
        self.give(DatagramReceived(peer, encode(message)))

    def give(self, event: Event) -> None:
        """Handle an event; answer its probes at once."""
        begun = time.thread_time_ns()
        actions = self.core.handle(self.now, event)
        self.core_ns += time.thread_time_ns() - begun
        sent = [(a.node, decode(a.data)) for a in actions if isinstance(a, SendDatagram)]
        self.record += [message for _, message in sent]
        for peer, message in sent:
            if peer is not None and message.kind == MessageKind.PING:
                ack = Message(MessageKind.ACK, peer, 1, 0, message.sequence, self.core.view.state_hash, peer)
                self.give(DatagramReceived(peer, encode(ack)))

    def run(self, until: float) -> None:
        """Advance the clock."""
        while self.core.next_wakeup_ms <= until:
            self.now = max(self.now, self.core.next_wakeup_ms)
            self.give(Tick())
        self.now = until


def one_node(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the memory and work of one core at the size itself."""
    for count in sizes:
        of = PointFactory(ROLE, count)
        memory = _memory(partial(_core_that_learned, count, seed))
        yield of.machine("core_memory", "bytes", memory)
        single = SingleCore(count, seed)
        single.agree()
        single.run(single.now + QUIET_MS)
        single.core_ns = 0
        single.run(single.now + QUIET_MS)
        period = single.core_ns / 1000 / (QUIET_MS / single.core.node.config.probe_interval_ms)
        yield of.machine("core_period", "us", period)
        yield of.machine("core_datagram", "us", _datagram_us(single))
        yield from _repair(single, of)


def _repair(single: SingleCore, of: PointFactory) -> Iterator[Point | NotPlayed]:
    """Measure the repair of a peer whose digest differs in all buckets."""
    first, begun = len(single.record), single.now
    wrong = (~salted & 0xFFFF for salted in single.core.view.digest(0))
    single.hear(1, MessageKind.DIGEST, extra=DIGEST_STRUCT.pack(True, *wrong))
    ends = begun
    while single.now < ends + 2 * single.core.node.config.probe_interval_ms:
        before = len(single.record)
        single.run(single.now + STEP_MS)
        if any(m.kind == MessageKind.GOSSIP and m.subject == 1 for m in single.record[before:]):
            ends = single.now
    sent = [m for m in single.record[first:] if m.kind == MessageKind.GOSSIP and m.subject == 1]
    yield from of.took("repair_time", ends - begun)
    yield of.counted("repair_datagrams", "entries", len(sent))
    yield of.counted("repair_rumours", "entries", sum(len(m.updates) for m in sent))


def _core_that_learned(count: int, seed: int) -> SingleCore:
    single = SingleCore(count, seed)
    single.learn_all()
    return single


def _datagram_us(single: SingleCore) -> float:
    """Return the processor time in us of a datagram with six known updates."""
    known = single.core.view.records
    single.core_ns = 0
    for at in range(MEASURED_DATAGRAMS):
        peer = 1 + at % (single.count - 1)
        single.hear(
            peer, MessageKind.GOSSIP, tuple(known[1 + (at + i) % (single.count - 1)] for i in range(6))
        )
    return single.core_ns / 1000 / MEASURED_DATAGRAMS


def _memory(make: Callable[[], object]) -> float:
    """Return the bytes of the objects that `make` creates."""
    tracemalloc.start()
    try:
        made = make()
        size = tracemalloc.get_traced_memory()[0]
        del made
        return float(size)
    finally:
        tracemalloc.stop()
