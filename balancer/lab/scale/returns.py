"""A tier's return from a loss of power at growing sizes, and what of it one node says and waits for.

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

from balancer.lab.scale.points import NotPlayed, Point
from balancer.lab.scale.size import HEADERS
from balancer.lab.scale.tiers import LOSS, Figures, Meter
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
DARK_MS, SPREAD_MS = 1_000.0, 2_000.0  # from the cut until power is back; over which nodes start then
MOST_MS = 400_000.0  # virtual time for which FULL and the list are waited for at most
STEP_MS = 50.0  # between two looks: what a time may be too long by
RATE = 193.0  # requests a second that a node carried
ANSWER_MS = 20.0  # from a roll call to its answers
STAND_IN = 24  # nodes of the tier whose nodes each take the turns of many
PLANS = 8  # of turns, whose processor time is measured


class Returning(Tier):
    """A tier whose nodes all have sound disks of a moment ago, and start as power comes back."""

    def __init__(self, count: int, seed: int, config: RecoveryConfig) -> None:
        super().__init__(count, seed, Network(loss_rate=LOSS), config, Recovery, BACKENDS)
        self.meter = Meter()
        life = int(self.now / GENERATION_UNIT_MS)
        ban = BanEntry(BACKENDS[0], 0, life, 1, True, self.now)
        for disk in self.disks:
            disk.is_used = True
            disk.incarnation = life
            disk.written_at = self.now
            disk.records = [(ban,)]
            disk.revision = self.discovery.revision
            disk.saved_ids = BACKENDS
            disk.warm_rate = RATE
        self.run(self.now + DARK_MS)
        self.power_at = self.now
        for name in BACKENDS:
            self.restart_backend(name)
        for node in range(count):
            self.at(self.now + self.dice.uniform(0, SPREAD_MS), partial(self.boot, node, Condition.SOUND))
        self.full: dict[int, float] = {}  # ms from power to a node's FULL
        self.told: dict[int, float] = {}  # and until discovery told it the list

    def finish(self) -> None:
        """Run until all are FULL and have been told the list, or the longest time is over."""
        ends = self.now + MOST_MS
        while self.now < ends and min(len(self.full), len(self.told)) < self.count:
            self.run(self.now + STEP_MS)
            since = self.now - self.power_at
            for node, process in enumerate(self.processes):
                if process is not None and process.phase is Phase.FULL:
                    self.full.setdefault(node, since)
                if process is not None and process.listed_starts:
                    self.told.setdefault(node, since)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        if self.hosts[target].core is not None:
            self.meter.heard(self.now, data)
        super()._arrive(source, target, data)


def tiers(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """All nodes of a tier lose power and return over two seconds, at the usual loss of datagrams."""
    for count in sizes:
        of, begun = Figures(ROLE, count), time.thread_time()
        tier = Returning(count, seed, RecoveryConfig())
        tier.finish()
        meter, full, told = tier.meter, _last(tier.full, count), _last(tier.told, count)
        yield from of.took("return_full", full)
        yield from of.took("return_told", told)
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
        of, each = Figures(ROLE, count), count / STAND_IN
        tier = Returning(STAND_IN, seed, RecoveryConfig(poll_slot=RecoveryConfig().poll_slot * each))
        tier.finish()
        early = sum(tier.full[node] < at for node, at in tier.told.items() if node in tier.full)
        told = _last(tier.told, STAND_IN)
        yield from of.took("turns_told", told)
        yield of.counted("turns_early", "entries", early * each)
        one = PollSchedule(0, RecoveryConfig().poll_slot)
        one.poll_started(0.0, count)
        one.poll_failed(0.0, count)
        yield from of.took("turns_again", one.next_poll_at)
        begun = time.thread_time()
        for node in range(PLANS):
            PollSchedule(node, RecoveryConfig().poll_slot).schedule_first(0.0, range(count))
        took = (time.thread_time() - begun) * 1000 / PLANS
        yield of.machine("turns_plan", "ms", took)


class Restarted(EventScheduler):
    """One node that comes back alone into a tier of hollow peers that went on, FULL, each seeing all."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(0.0)
        self.count, self.dice = count, random.Random(f"restart {seed}")
        self.core = Recovery(RecoveryConfig(), 0, count, 2, seed, self.now)
        self.full = self.told = math.inf
        self._give(events.DiskRead(True, False, 1, DARK_MS, (), 1, RATE))
        self._give(events.MembershipChanged(dict.fromkeys(range(count), 1), True))

    def finish(self) -> None:
        """Run until it is FULL and has been told the list, or the longest time is over."""
        while self.now < MOST_MS and max(self.full, self.told) == math.inf:
            self.at(min(self.core.next_wakeup, MOST_MS), partial(self._give, events.Tick()))
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
                    self.told = self.now + Discovery.serve_ms
                case actions.PhaseEntered(phase=Phase.FULL):
                    self.full = self.now

    def _answer(self, peer: int) -> None:
        flags = StatusFlag.SOUND | StatusFlag.LISTED | StatusFlag.WARM
        seen = node_bits(range(self.count))
        state = NodeStatus(1, DAY_MS, Phase.FULL, 0, flags, 1, RATE, RATE, 0, seen)
        message = Message(MessageKind.STATUS, peer, self.core.register.hash, state)
        self._give(events.DatagramReceived(peer, encode(message, self.now)))


def restarts(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """One node crashes and comes back, as thousands do a day: until it is FULL, and until it has the list."""
    for count in sizes:
        of, one = Figures(ROLE, count), Restarted(count, seed)
        one.finish()
        yield from of.took("restart_full", one.full)
        yield from of.took("restart_told", one.told)


def words(sizes: Sequence[int], seed: int) -> Iterator[Point]:
    """What a node can say of all that it sees, in one datagram."""
    del seed  # nothing is drawn
    for count in sizes:
        of = Figures(ROLE, count)
        state = NodeStatus(1, 0.0, Phase.FULL, 0, StatusFlag.SOUND, 1, RATE, RATE, 0, node_bits(range(count)))
        begun = time.thread_time()
        data = encode(Message(MessageKind.STATUS, 0, 0, state), 0.0)
        body = decode(data, 0.0).body
        took = (time.thread_time() - begun) * 1e6
        assert isinstance(body, NodeStatus)
        yield of.counted("answer_bytes", "bytes", len(data) + HEADERS)
        yield of.counted("answer_left_out", "entries", count - body.present_count)
        yield of.machine("answer_processor", "us", took)


def _last(times: dict[int, float], count: int) -> float:
    """When the last of them had come so far, ms; infinity where one did not."""
    return max(times.values()) if len(times) == count else math.inf
