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
from balancer.lab.scale.size import DAY_S, HEADERS, RACK_MACHINES, REGIONS, RESTARTS_A_DAY
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
LOSS = 0.01
WARM_MS = 6_000.0  # until what each first says of itself is told
QUIET_MS = 28_000.0  # a whole round of a node's repairs: 40 periods of 700 ms
MOST_MS = 180_000.0  # virtual time for which an agreement is waited for at most
STEP_MS = 50.0  # between two looks whether all agree: what a time may be too long by
AFTER_MS = 1_000.0  # from a death to its restart
DEATHS = 3  # of one node each; the median counts
RACK_PART = 20  # one node in so many dies with its rack
EACH = 10  # one node in so many is restarted at once
DATAGRAMS = 400  # to one core, whose processor time is measured


@dataclass
class Meter:
    """What all nodes together received: counted at the receiver, with the headers."""

    datagrams: int = 0
    size: int = 0  # bytes
    updates: int = 0
    by_second: Counter[int] = field(default_factory=Counter)  # bytes

    def heard(self, now: float, data: bytes) -> None:
        """A datagram reached a node that lives."""
        size = len(data) + HEADERS
        self.datagrams += 1
        self.size += size
        self.by_second[int(now / 1000)] += size


class Metered(World):
    """A tier that counts what its nodes receive and the processor time of their cores."""

    def __init__(self, count: int, seed: int, network: Network) -> None:
        super().__init__(count, seed, network=network)
        self.meter, self.core_ns = Meter(), 0

    def start_agreed(self) -> None:
        """All are up and agree, as after a long quiet; the digests to join with are not sent."""
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
        """Processor time of a node's core, on the mean, us."""
        return self.core_ns / 1000 / self.count

    def measure(self) -> None:
        """Count from here on."""
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
            self.meter.heard(self.now, data)
            self.meter.updates += (
                len(data) - HEADER_STRUCT.size - data[HEADER_STRUCT.size - 1]
            ) // UPDATE_STRUCT.size
        super()._arrive(source, target, data)


def _agreed(count: int, generation: int) -> View:
    """Of a node that knows all to be present in lives of one number."""
    view = View.of_unknown(count)
    for member in range(count):
        view.put(Update(member, generation, 0, MemberState.ALIVE))
    return view


def tier(count: int, seed: int) -> Metered:
    """A tier that agrees, at the usual loss, whose first updates are told."""
    world = Metered(count, seed, Network(loss_rate=LOSS))
    world.start_agreed()
    world.run(world.now + WARM_MS)
    world.measure()
    return world


class Figures:
    """Points of one role at one size, by name."""

    def __init__(self, role: str, size: int) -> None:
        self.role, self.size = role, size

    def counted(self, figure: str, unit: str, value: float) -> Point:
        """Counted, or virtual time: the same for a seed."""
        return Point(self.role, figure, unit, self.size, value, True)

    def took(self, figure: str, ms: float) -> Iterator[Point | NotPlayed]:
        """A time on the virtual clock; infinite where it had not come to its end."""
        if math.isfinite(ms):
            yield self.counted(figure, "s", ms / 1000)
        else:
            yield NotPlayed(f"{self.role}.{figure} at {self.size}", "it had not come to its end in the play")

    def machine(self, figure: str, unit: str, value: float) -> Point:
        """Processor time or memory of this machine."""
        return Point(self.role, figure, unit, self.size, value, False)


# --- whole tiers


def quiet(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """What a node receives, sends and computes a second: with nothing but loss, and at a day's restarts."""
    for count in sizes:
        world, of = tier(count, seed), Figures(ROLE, count)
        yield from _seconds(world, of, "quiet")
        world.measure()
        gap = DAY_S * 1000 / RESTARTS_A_DAY
        for number in range(int(QUIET_MS / gap)):
            world.at(world.now + number * gap, partial(_restart, world, number % count))
        yield from _seconds(world, of, "day")


def _seconds(world: Metered, of: Figures, when: str) -> Iterator[Point | NotPlayed]:
    begun, seconds = world.now, int(QUIET_MS / 1000)
    world.run(begun + QUIET_MS)
    meter, share = world.meter, 1 / world.count / seconds
    yield of.counted(f"{when}_datagrams", "datagrams/s", meter.datagrams * share)
    yield of.counted(f"{when}_bytes", "bytes/s", meter.size * share)
    yield of.counted(f"{when}_worst_second", "bytes/s", _worst(world))
    yield of.counted(f"{when}_sent", "datagrams/s", sum(world.sent_by_node.values()) * share)
    yield of.machine(f"{when}_processor", "us", world.core_us / seconds)


def _restart(world: Metered, node: int) -> None:
    """In good order: it says that it leaves, ends, and is back a little later."""
    world.leave(node)
    world.at(world.now + AFTER_MS, partial(world.start, node))


def cold_start(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """All come up within one moment and know nobody."""
    for count in sizes:
        world, of = Metered(count, seed, Network(loss_rate=LOSS)), Figures(ROLE, count)
        begun = time.thread_time()
        for node in range(count):
            world.start(node)
        took = world.run_until_converged(MOST_MS, STEP_MS)
        whole = time.thread_time() - begun
        meter = world.meter
        yield from of.took("cold_start_time", took)
        yield of.counted("cold_start_bytes", "bytes", meter.size / count)
        yield of.counted("cold_start_worst_second", "bytes/s", _worst(world))
        yield of.counted("cold_start_datagrams", "entries", meter.datagrams / count)
        yield of.counted("cold_start_rumours", "entries", meter.updates / count)
        yield of.machine("cold_start_processor", "us", world.core_us)
        yield of.machine("cold_start_world", "s", whole)


def _worst(world: Metered) -> float:
    """Bytes that a node received in the worst second."""
    return max(world.meter.by_second.values(), default=0) / world.count


def _deaths(world: Metered, of: Figures) -> Iterator[Point | NotPlayed]:
    took = []
    for node in range(DEATHS):
        world.kill(node)
        took.append(world.run_until_converged(MOST_MS, STEP_MS))
    yield from of.took("death_time", statistics.median(took))
    yield of.counted("death_worst_second", "bytes/s", _worst(world))


def _rack(world: Metered, of: Figures) -> Iterator[Point | NotPlayed]:
    for node in range(max(1, min(RACK_MACHINES, world.count // RACK_PART))):
        world.kill(node)
    took = world.run_until_converged(MOST_MS, STEP_MS)
    yield from of.took("rack_time", took)
    yield of.counted("rack_worst_second", "bytes/s", _worst(world))


def _restarts(world: Metered, of: Figures) -> Iterator[Point | NotPlayed]:
    gone = range(max(1, world.count // EACH))
    for node in gone:
        world.kill(node)
    world.run(world.now + AFTER_MS)
    for node in gone:
        world.start(node)
    took = world.run_until_converged(MOST_MS, STEP_MS)
    yield from of.took("tenth_time", took)
    yield of.counted("tenth_worst_second", "bytes/s", _worst(world))


def _region(world: Metered, of: Figures) -> Iterator[Point | NotPlayed]:
    far = world.count // REGIONS
    sides = (range(far), range(far, world.count))
    world.network.is_cut = lambda source, target: (source < far) != (target < far)
    begun = world.now
    while not _sides_agree(world, sides) and world.now < begun + MOST_MS:
        world.run(world.now + STEP_MS)
    apart = world.now - begun if _sides_agree(world, sides) else math.inf
    yield from of.took("cut_time", apart)
    yield of.counted("cut_worst_second", "bytes/s", _worst(world))
    yield of.machine("cut_processor", "us", world.core_us)
    world.network.is_cut = lambda source, target: False
    world.measure()
    took = world.run_until_converged(MOST_MS, STEP_MS)
    yield from of.took("heal_time", took)
    yield of.counted("heal_bytes", "bytes", world.meter.size / world.count)
    yield of.counted("heal_worst_second", "bytes/s", _worst(world))
    yield of.machine("heal_processor", "us", world.core_us)


def _sides_agree(world: Metered, sides: Sequence[Sequence[int]]) -> bool:
    """Whether on each side all hold just their own side for present."""
    for side in sides:
        cores = [core for node in side if (core := world.hosts[node].core) is not None]
        if len({(core.view.state_hash, core.view.present_count) for core in cores}) > 1:
            return False
        if cores and cores[0].present_members() != list(side):
            return False
    return True


FAULTS: dict[str, Callable[[Metered, Figures], Iterator[Point | NotPlayed]]] = {
    "a death": _deaths, "a rack": _rack, "restarts": _restarts, "a region": _region,
}  # fmt: skip


def faults(
    sizes: Sequence[int], seed: int, some: Iterable[str] = tuple(FAULTS)
) -> Iterator[Point | NotPlayed]:
    """One death, a rack's, a tenth restarted, a region cut off and healed; each from a tier that agrees."""
    for count in sizes:
        for fault in some:
            yield from FAULTS[fault](tier(count, seed), Figures(ROLE, count))


# --- one core at the full size


class Lone:
    """One core among `count` hollow peers that answer every probe."""

    def __init__(self, count: int, seed: int) -> None:
        self.count, self.now, self.sequence = count, 0.0, 0
        self.core = Membership(World(0, 0).config, 0, count, 1, seed, self.now)
        self.heard: list[Message] = []  # what it sent
        self.core_ns = 0

    def meet(self) -> None:
        """It hears of all, from each of them, and agrees with them."""
        each = PAYLOAD_BYTES // UPDATE_STRUCT.size
        for first in range(0, self.count, each):
            named = range(max(1, first), min(first + each, self.count))
            page = tuple(Update(member, 1, 0, MemberState.ALIVE) for member in named)
            self.hear(1, MessageKind.BULK_UPDATE, page)
        for peer in range(1, self.count):
            self.hear(peer, MessageKind.BULK_UPDATE)

    def agree(self) -> None:
        """It has known all for long, and has nothing to tell that is new."""
        self.core.adopt_view(_agreed(self.count, 1))
        for peer in range(1, self.count):
            self.hear(peer, MessageKind.ACK)

    def hear(
        self, peer: int, kind: MessageKind, updates: tuple[Update, ...] = (), extra: bytes = b""
    ) -> None:
        """A datagram to all from a peer whose view is the same."""
        message = Message(kind, peer, 1, 0, 0, self.core.view.state_hash, NO_MEMBER, extra, updates)
        self.give(DatagramReceived(peer, encode(message)))

    def give(self, event: Event) -> None:
        """An event for the core; a probe is answered at once."""
        begun = time.thread_time_ns()
        actions = self.core.handle(self.now, event)
        self.core_ns += time.thread_time_ns() - begun
        told = [(a.node, decode(a.data)) for a in actions if isinstance(a, SendDatagram)]
        self.heard += [message for _, message in told]
        for peer, message in told:
            if peer is not None and message.kind == MessageKind.PING:
                ack = Message(MessageKind.ACK, peer, 1, 0, message.sequence, self.core.view.state_hash, peer)
                self.give(DatagramReceived(peer, encode(ack)))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.core.next_wakeup_ms <= until:
            self.now = max(self.now, self.core.next_wakeup_ms)
            self.give(Tick())
        self.now = until


def one_node(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """What one core holds and does for each member that it knows, at the size itself."""
    for count in sizes:
        of = Figures(ROLE, count)
        memory = _memory(partial(_met, count, seed))
        yield of.machine("core_memory", "bytes", memory)
        lone = Lone(count, seed)
        lone.agree()
        lone.run(lone.now + QUIET_MS)
        lone.core_ns = 0
        lone.run(lone.now + QUIET_MS)
        period = lone.core_ns / 1000 / (QUIET_MS / lone.core.node.config.probe_interval_ms)
        yield of.machine("core_period", "us", period)
        yield of.machine("core_datagram", "us", _reading(lone))
        yield from _repair(lone, of)


def _repair(lone: Lone, of: Figures) -> Iterator[Point | NotPlayed]:
    """A peer's digest differs in all its buckets; what it is sent is paced."""
    first, begun = len(lone.heard), lone.now
    wrong = (~salted & 0xFFFF for salted in lone.core.view.digest(0))
    lone.hear(1, MessageKind.DIGEST, extra=DIGEST_STRUCT.pack(True, *wrong))
    ends = begun
    while lone.now < ends + 2 * lone.core.node.config.probe_interval_ms:
        before = len(lone.heard)
        lone.run(lone.now + STEP_MS)
        if any(m.kind == MessageKind.GOSSIP and m.subject == 1 for m in lone.heard[before:]):
            ends = lone.now
    sent = [m for m in lone.heard[first:] if m.kind == MessageKind.GOSSIP and m.subject == 1]
    yield from of.took("repair_time", ends - begun)
    yield of.counted("repair_datagrams", "entries", len(sent))
    yield of.counted("repair_rumours", "entries", sum(len(m.updates) for m in sent))


def _met(count: int, seed: int) -> Lone:
    lone = Lone(count, seed)
    lone.meet()
    return lone


def _reading(lone: Lone) -> float:
    """Processor time in us of a datagram with six updates that are no news."""
    known = lone.core.view.records
    lone.core_ns = 0
    for at in range(DATAGRAMS):
        peer = 1 + at % (lone.count - 1)
        lone.hear(peer, MessageKind.GOSSIP, tuple(known[1 + (at + i) % (lone.count - 1)] for i in range(6)))
    return lone.core_ns / 1000 / DATAGRAMS


def _memory(make: Callable[[], object]) -> float:
    """Bytes of the objects that are alive once it is made."""
    tracemalloc.start()
    try:
        made = make()
        size = tracemalloc.get_traced_memory()[0]
        del made
        return float(size)
    finally:
        tracemalloc.stop()
