"""The recovery of a tier from a power loss at growing sizes, and the part of one node in it.

Whole tiers are those of `sim/recovery_world.py`: the cores of membership and recovery, with discovery and
disks played. Above some hundreds of nodes discovery's turns are played by a small tier whose nodes each take
the turns of many, and what a node says of itself is encoded at the size itself.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterator, Sequence
from functools import partial

from balancer.lab.scale.membership_tiers import LOSS_RATE, Meter, PointFactory
from balancer.lab.scale.points import NotPlayed, Point
from balancer.lab.scale.size import IP_UDP_HEADER_BYTES
from balancer.recovery import actions, events
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.messages import Message, MessageKind, NodeStatus, StatusFlag, decode, encode, node_bits
from balancer.recovery.phases import Phase
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.receiver import EXPECTED_SURVEY_REPLIES
from balancer.sim.members import GENERATION_UNIT_MS, Network
from balancer.sim.recovery_disks import Condition
from balancer.sim.recovery_environment import Discovery
from balancer.sim.recovery_schedule import BACKENDS
from balancer.sim.recovery_world import DAY_MS, Tier
from balancer.sim.scheduler import EventScheduler

ROLE = "recovery"
OUTAGE_MS, SPREAD_MS = 1_000.0, 2_000.0  # from the cut until power is back; over which nodes start then
RECOVERY_TIMEOUT_MS = 400_000.0  # virtual time for which FULL and the list are waited for at most
STEP_MS = 50.0  # between two looks: what a time may be too long by
REQUESTS_PER_S = 193.0  # requests a second that a node carried
ANSWER_MS = 20.0  # from a roll call to its answers
REPRESENTATIVES = 24  # nodes of the tier whose nodes each take the turns of many
MEASURED_PLANS = 8  # of turns, whose processor time is measured


class RecoveringTier(Tier):
    """A tier whose nodes all have sound disks of a moment ago, and start as power comes back."""

    def __init__(self, count: int, seed: int, config: RecoveryConfig) -> None:
        """Lose the power of all nodes, and plan their starts."""
        super().__init__(count, seed, Network(loss_rate=LOSS_RATE), config, Recovery, BACKENDS)
        self.meter = Meter()
        generation = int(self.now / GENERATION_UNIT_MS)
        ban = BanEntry(BACKENDS[0], 0, generation, 1, True, self.now)
        for disk in self.disks:
            disk.is_used = True
            disk.incarnation = generation
            disk.written_at = self.now
            disk.records = [(ban,)]
            disk.revision = self.discovery.revision
            disk.saved_ids = BACKENDS
            disk.warm_rate = REQUESTS_PER_S
        self.run(self.now + OUTAGE_MS)
        self.power_at = self.now
        for name in BACKENDS:
            self.restart_backend(name)
        for node in range(count):
            self.at(self.now + self.dice.uniform(0, SPREAD_MS), partial(self.boot, node, Condition.SOUND))
        self.full: dict[int, float] = {}  # ms from power to a node's FULL
        self.listed_at: dict[int, float] = {}  # and until discovery told it the list

    def finish(self) -> None:
        """Run until all are FULL and have been told the list, or the longest time is over."""
        ends = self.now + RECOVERY_TIMEOUT_MS
        while self.now < ends and min(len(self.full), len(self.listed_at)) < self.count:
            self.run(self.now + STEP_MS)
            since = self.now - self.power_at
            for node, process in enumerate(self.processes):
                if process is not None and process.phase is Phase.FULL:
                    self.full.setdefault(node, since)
                if process is not None and process.listed_starts:
                    self.listed_at.setdefault(node, since)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        if self.hosts[target].core is not None:
            self.meter.record(self.now, data)
        super()._arrive(source, target, data)


def tiers(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """All nodes of a tier lose power and return over two seconds, at the usual loss of datagrams."""
    for count in sizes:
        of, begun = PointFactory(ROLE, count), time.thread_time()
        tier = RecoveringTier(count, seed, RecoveryConfig())
        tier.finish()
        meter, full, listed_at = tier.meter, _last(tier.full, count), _last(tier.listed_at, count)
        yield from of.took("return_full", full)
        yield from of.took("return_told", listed_at)
        calls = max(tier.discovery.requests_per_second.values())
        yield of.counted("return_calls", "entries", calls)
        yield of.counted("return_datagrams", "entries", meter.datagrams / count)
        yield of.counted("return_bytes", "bytes", meter.size / count)
        worst = max(meter.by_second.values()) / count
        yield of.counted("return_worst_second", "bytes/s", worst)
        yield of.machine("return_world", "s", time.thread_time() - begun)


def turns(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Discovery's turns where each of a few nodes takes those of many, so that a round is as long."""
    for count in sizes:
        of, each = PointFactory(ROLE, count), count / REPRESENTATIVES
        tier = RecoveringTier(
            REPRESENTATIVES, seed, RecoveryConfig(poll_slot_ms=RecoveryConfig().poll_slot_ms * each)
        )
        tier.finish()
        early = sum(tier.full[node] < at for node, at in tier.listed_at.items() if node in tier.full)
        listed_at = _last(tier.listed_at, REPRESENTATIVES)
        yield from of.took("turns_told", listed_at)
        yield of.counted("turns_early", "entries", early * each)
        one = PollSchedule(0, RecoveryConfig().poll_slot_ms)
        one.poll_started(0.0, count)
        one.poll_failed(0.0, count)
        yield from of.took("turns_again", one.next_poll_at)
        begun = time.thread_time()
        for node in range(MEASURED_PLANS):
            PollSchedule(node, RecoveryConfig().poll_slot_ms).schedule_first(0.0, range(count))
        took = (time.thread_time() - begun) * 1000 / MEASURED_PLANS
        yield of.machine("turns_plan", "ms", took)


class RestartedNode(EventScheduler):
    """One node that comes back alone into a tier of hollow peers that went on, FULL, each seeing all."""

    def __init__(self, count: int, seed: int) -> None:
        """Start the node again at time 0."""
        super().__init__(0.0)
        self.count, self.dice = count, random.Random(f"restart {seed}")
        self.core = Recovery(RecoveryConfig(), 0, count, 2, seed, self.now)
        self.full = self.listed_at = math.inf
        self._give(events.DiskRead(True, False, 1, OUTAGE_MS, (), 1, REQUESTS_PER_S))
        self._give(events.MembershipChanged(dict.fromkeys(range(count), 1), True))

    def finish(self) -> None:
        """Run until it is FULL and has been told the list, or the longest time is over."""
        while self.now < RECOVERY_TIMEOUT_MS and max(self.full, self.listed_at) == math.inf:
            self.at(min(self.core.next_wakeup, RECOVERY_TIMEOUT_MS), partial(self._give, events.Tick()))
            self.run(self.next_event)

    def _give(self, event: events.Event) -> None:
        for action in self.core.handle(self.now, event):
            match action:
                case actions.SendDatagram() if decode(action.data, self.now).kind is MessageKind.SURVEY:
                    for peer in self.dice.sample(
                        range(1, self.count), min(EXPECTED_SURVEY_REPLIES, self.count - 1)
                    ):
                        self.at(self.now + ANSWER_MS, partial(self._answer, peer))
                case actions.RequestList():
                    listed = events.ListReceived(1, (self.now - DAY_MS,), BACKENDS[:1])
                    self.at(self.now + Discovery.serve_ms, partial(self._give, listed))
                    self.listed_at = self.now + Discovery.serve_ms
                case actions.PhaseEntered(phase=Phase.FULL):
                    self.full = self.now

    def _answer(self, peer: int) -> None:
        flags = StatusFlag.SOUND | StatusFlag.LISTED | StatusFlag.WARM
        seen = node_bits(range(self.count))
        state = NodeStatus(1, DAY_MS, Phase.FULL, 0, flags, 1, REQUESTS_PER_S, REQUESTS_PER_S, 0, seen)
        message = Message(MessageKind.STATUS, peer, self.core.register.hash, state)
        self._give(events.DatagramReceived(peer, encode(message, self.now)))


def restarts(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """One node crashes and comes back, as thousands do a day: until it is FULL, and until it has the list."""
    for count in sizes:
        of, one = PointFactory(ROLE, count), RestartedNode(count, seed)
        one.finish()
        yield from of.took("restart_full", one.full)
        yield from of.took("restart_told", one.listed_at)


def answers(sizes: Sequence[int], seed: int) -> Iterator[Point]:
    """Measure the datagram in which a node reports its view."""
    del seed  # nothing is drawn
    for count in sizes:
        of = PointFactory(ROLE, count)
        state = NodeStatus(
            1,
            0.0,
            Phase.FULL,
            0,
            StatusFlag.SOUND,
            1,
            REQUESTS_PER_S,
            REQUESTS_PER_S,
            0,
            node_bits(range(count)),
        )
        begun = time.thread_time()
        data = encode(Message(MessageKind.STATUS, 0, 0, state), 0.0)
        body = decode(data, 0.0).body
        took = (time.thread_time() - begun) * 1e6
        assert isinstance(body, NodeStatus)
        yield of.counted("answer_bytes", "bytes", len(data) + IP_UDP_HEADER_BYTES)
        yield of.counted("answer_left_out", "entries", count - body.present_count)
        yield of.machine("answer_processor", "us", took)


def _last(times: dict[int, float], count: int) -> float:
    """Return the latest time in ms; infinity where one is missing."""
    return max(times.values()) if len(times) == count else math.inf
