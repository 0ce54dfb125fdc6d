"""Scale measurements of the recovery from a power loss: whole tiers, and the work of one node.

Whole tiers run in `sim/recovery_world.py`: the protocol cores of membership and recovery with simulated
discovery and disks. Above some hundreds of nodes a small tier, each of whose nodes has the poll slots of
many, stands in for the calls to discovery, and a node's status is encoded at the full number of nodes.
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
from balancer.sim.recovery_disks import DiskCondition
from balancer.sim.recovery_environment import Discovery
from balancer.sim.recovery_schedule import BACKENDS
from balancer.sim.recovery_world import DAY_MS, Tier
from balancer.sim.scheduler import EventScheduler

ROLE = "recovery"
OUTAGE_MS, START_SPREAD_MS = 1_000.0, 2_000.0  # Power is off for 1 s; then nodes start at random within 2 s.
RECOVERY_TIMEOUT_MS = 400_000.0
STEP_MS = 50.0  # Recovery is checked every 50 ms, so measured times may be up to 50 ms too long.
REQUESTS_PER_S = 193.0
SURVEY_REPLY_MS = 20.0
REPRESENTATIVE_NODES = 24  # A small tier of 24 nodes represents a large one, whose poll slots they share.
MEASURED_PLANS = 8


class RecoveringTier(Tier):
    """A tier whose nodes restart after a power loss, all with sound and recent state on disk."""

    def __init__(self, count: int, seed: int, config: RecoveryConfig) -> None:
        """Simulate the power loss of all nodes, and schedule their starts."""
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
            self.at(
                self.now + self.tier_random.uniform(0, START_SPREAD_MS),
                partial(self.boot, node, DiskCondition.SOUND),
            )
        # Times by node are in ms since the return of power, until phase FULL and until the first list.
        self.full_at: dict[int, float] = {}
        self.listed_at: dict[int, float] = {}

    def run_until_recovered(self) -> None:
        """Run until all nodes are FULL and have the list, or until the time limit."""
        ends = self.now + RECOVERY_TIMEOUT_MS
        while self.now < ends and min(len(self.full_at), len(self.listed_at)) < self.count:
            self.run(self.now + STEP_MS)
            since = self.now - self.power_at
            for node, process in enumerate(self.processes):
                if process is not None and process.phase is Phase.FULL:
                    self.full_at.setdefault(node, since)
                if process is not None and process.listed_starts:
                    self.listed_at.setdefault(node, since)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        if self.hosts[target].core is not None:
            self.meter.record(self.now, data)
        super()._arrive(source, target, data)


def whole_tiers(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure tiers in which all nodes lose power and restart within two seconds, with datagram loss."""
    for count in sizes:
        points, started_at = PointFactory(ROLE, count), time.thread_time()
        tier = RecoveringTier(count, seed, RecoveryConfig())
        tier.run_until_recovered()
        meter, full_at, listed_at = tier.meter, _latest(tier.full_at, count), _latest(tier.listed_at, count)
        yield from points.virtual_time("return_full", full_at)
        yield from points.virtual_time("return_told", listed_at)
        calls = max(tier.discovery.requests_per_second.values())
        yield points.counted("return_calls", "entries", calls)
        yield points.counted("return_datagrams", "entries", meter.datagrams / count)
        yield points.counted("return_bytes", "bytes", meter.total_bytes / count)
        worst = max(meter.bytes_by_second.values()) / count
        yield points.counted("return_worst_second", "bytes/s", worst)
        yield points.measured("return_world", "s", time.thread_time() - started_at)


def poll_slots(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the schedule of discovery calls with a few nodes, each with the poll slots of many."""
    for count in sizes:
        points, nodes_represented = PointFactory(ROLE, count), count / REPRESENTATIVE_NODES
        tier = RecoveringTier(
            REPRESENTATIVE_NODES,
            seed,
            RecoveryConfig(poll_slot_ms=RecoveryConfig().poll_slot_ms * nodes_represented),
        )
        tier.run_until_recovered()
        early = sum(tier.full_at[node] < at for node, at in tier.listed_at.items() if node in tier.full_at)
        listed_at = _latest(tier.listed_at, REPRESENTATIVE_NODES)
        yield from points.virtual_time("turns_told", listed_at)
        yield points.counted("turns_early", "entries", early * nodes_represented)
        schedule = PollSchedule(0, RecoveryConfig().poll_slot_ms)
        schedule.poll_started(0.0, count)
        schedule.poll_failed(0.0, count)
        yield from points.virtual_time("turns_again", schedule.next_poll_at)
        started_at = time.thread_time()
        for node in range(MEASURED_PLANS):
            PollSchedule(node, RecoveryConfig().poll_slot_ms).schedule_first(0.0, range(count))
        took = (time.thread_time() - started_at) * 1000 / MEASURED_PLANS
        yield points.measured("turns_plan", "ms", took)


class RestartedNode(EventScheduler):
    """One node that restarts in a running tier, whose stub peers are FULL and see all members."""

    def __init__(self, count: int, seed: int) -> None:
        """Restart the node at time 0 with its state from disk."""
        super().__init__(0.0)
        self.count, self.rng = count, random.Random(f"restart {seed}")
        self.core = Recovery(RecoveryConfig(), 0, count, 2, seed, self.now)
        self.full_at = self.listed_at = math.inf
        self._handle(events.DiskRead(True, False, 1, OUTAGE_MS, (), 1, REQUESTS_PER_S))
        self._handle(events.MembershipChanged(dict.fromkeys(range(count), 1), True))

    def run_until_recovered(self) -> None:
        """Run until the node is FULL and has the list, or until the time limit."""
        while self.now < RECOVERY_TIMEOUT_MS and max(self.full_at, self.listed_at) == math.inf:
            self.at(min(self.core.next_wakeup, RECOVERY_TIMEOUT_MS), partial(self._handle, events.Tick()))
            self.run(self.next_event)

    def _handle(self, event: events.Event) -> None:
        for action in self.core.handle(self.now, event):
            match action:
                case actions.SendDatagram() if decode(action.data, self.now).kind is MessageKind.SURVEY:
                    for peer in self.rng.sample(
                        range(1, self.count), min(EXPECTED_SURVEY_REPLIES, self.count - 1)
                    ):
                        self.at(self.now + SURVEY_REPLY_MS, partial(self._reply_to_survey, peer))
                case actions.RequestList():
                    listed = events.ListReceived(1, (self.now - DAY_MS,), BACKENDS[:1])
                    self.at(self.now + Discovery.serve_ms, partial(self._handle, listed))
                    self.listed_at = self.now + Discovery.serve_ms
                case actions.PhaseEntered(phase=Phase.FULL):
                    self.full_at = self.now

    def _reply_to_survey(self, peer: int) -> None:
        flags = StatusFlag.SOUND | StatusFlag.LISTED | StatusFlag.WARM
        seen = node_bits(range(self.count))
        state = NodeStatus(1, DAY_MS, Phase.FULL, 0, flags, 1, REQUESTS_PER_S, REQUESTS_PER_S, 0, seen)
        message = Message(MessageKind.STATUS, peer, self.core.register.hash, state)
        self._handle(events.DatagramReceived(peer, encode(message, self.now)))


def restarts(sizes: Sequence[int], seed: int) -> Iterator[Point | NotPlayed]:
    """Measure the restart of one node after a crash, until it is FULL and until it has the list."""
    for count in sizes:
        points, node = PointFactory(ROLE, count), RestartedNode(count, seed)
        node.run_until_recovered()
        yield from points.virtual_time("restart_full", node.full_at)
        yield from points.virtual_time("restart_told", node.listed_at)


def status_datagrams(sizes: Sequence[int], seed: int) -> Iterator[Point]:
    """Measure the datagram in which a node reports its status and its view."""
    del seed  # The seed is not needed, because the encoded status does not depend on random draws.
    for count in sizes:
        points = PointFactory(ROLE, count)
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
        started_at = time.thread_time()
        data = encode(Message(MessageKind.STATUS, 0, 0, state), 0.0)
        body = decode(data, 0.0).body
        took = (time.thread_time() - started_at) * 1e6
        assert isinstance(body, NodeStatus)
        yield points.counted("answer_bytes", "bytes", len(data) + IP_UDP_HEADER_BYTES)
        yield points.counted("answer_left_out", "entries", count - body.present_count)
        yield points.measured("answer_processor", "us", took)


def _latest(times: dict[int, float], count: int) -> float:
    """Return the latest of `count` times in ms, or infinity if one is missing."""
    return max(times.values()) if len(times) == count else math.inf
