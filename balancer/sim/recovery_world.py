"""Simulation of a whole tier that loses power, in one process and in virtual time.

The tier consists of production membership and recovery cores, simulated disks, discovery and operators. The
simulation delivers datagrams, reads disks, performs the actions of the cores, and notifies an observer. Each
process's monotonic clock has its own origin, and each node's wall clock may be minutes off.
"""

from __future__ import annotations

import random
from functools import partial

from balancer.membership import events as membership
from balancer.recovery import events
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.messages import FIRST_MESSAGE_KIND
from balancer.recovery.phases import Phase
from balancer.sim.members import GENERATION_UNIT_MS, MembershipSimulation, Network
from balancer.sim.recovery_actions import ActionRunner
from balancer.sim.recovery_disks import Disk, DiskCondition, DiskContents
from balancer.sim.recovery_environment import Backend, Discovery
from balancer.sim.recovery_process import MakeCore, OperatorRequest, Partition, Process, TierObserver

# Byte 5 of each datagram is the kind of its message.
KIND_OFFSET = 5
DAY_MS = 24 * 3600 * 1000.0
OBSERVATION_MS = 100.0
# Each node receives its demand at every tenth observation, which is once a second.
OBSERVATIONS_PER_DEMAND = 10
DISK_READ_MS = (1, 200)
MAX_MONOTONIC_OFFSET_MS = 9e5
MAX_DEMAND_PER_S = 1000.0
# A node's demand is a uniform draw raised to this power, so that a few nodes have most of the demand.
DEMAND_SKEW_EXPONENT = 4
DEMAND_VARIATION = (0.7, 1.4)
LIST_CHANGE_DELAY_MS = (5, 200)


class Tier(MembershipSimulation):
    """Simulated nodes with disks, controlled by a schedule through `boot`, `kill`, `cut`, `request` etc."""

    def __init__(
        self,
        count: int,
        seed: int,
        network: Network,
        config: RecoveryConfig,
        make_core: MakeCore,
        backends: tuple[str, ...],
        partitions: tuple[Partition, ...] = (),
        write_ms: tuple[float, float] = (1.0, 30.0),
    ) -> None:
        """Create a tier of `count` nodes without processes; `write_ms` is the range of a write's duration."""
        super().__init__(count, seed, network=network)
        self.recovery_config = config
        self.make_core = make_core
        self.partitions = partitions
        self.network.is_cut = self._is_cut
        self.tier_random = random.Random(f"tier {seed}")
        self.disks = [Disk() for _ in range(count)]
        self.processes: list[Process | None] = [None] * count
        self.backends = {name: Backend(self.now - DAY_MS) for name in backends}
        self.discovery = Discovery(self.at, lambda: self.now)
        self.max_wall_offset_ms = 0.0
        self.wall_offsets = [0.0] * count
        self.observer: TierObserver | None = None
        self.log: list[tuple[float, str]] = []
        self.runner = ActionRunner(self, write_ms)
        self._demands = [
            MAX_DEMAND_PER_S * self.tier_random.random() ** DEMAND_SKEW_EXPONENT for _ in range(count)
        ]
        self._last_token = 0
        # The last process of each of these nodes ended in a power cut of the whole tier.
        self._lost_power_with_tier: set[int] = set()
        self.at(self.now, self._observe)

    # --- for the schedule

    def boot(self, node: int, condition: DiskCondition) -> None:
        """Start a process on a node, unless one runs; it reads its disk a little later."""
        if self.processes[node] is not None:
            return
        found = self._turn_on(node, condition)
        incarnation = self.disks[node].incarnation
        core = self._new_core(node, incarnation)
        self.processes[node] = Process(
            core,
            self.now,
            lost_power_with_tier=node in self._lost_power_with_tier,
            saved_ids=frozenset(found.saved_ids),
        )
        self.start(node, incarnation)
        read_at = self.now + self.tier_random.uniform(*DISK_READ_MS)
        self.at(read_at, partial(self._disk_read, node, self.hosts[node].process_number, found))

    def start_successor(self, node: int) -> None:
        """Start a successor that takes over from a node's serving process, whatever state that is in."""
        old = self.processes[node]
        if old is None or old.phase < Phase.LISTED or self.hosts[node].core is None:
            return
        core = old.core
        inherited = events.StateInherited(
            core.phase, core.path, core.cold_since, tuple(core.register.entries())
        )
        self.log_event(f"n{node} has a successor")
        self.kill(node)
        found = self._turn_on(node, DiskCondition.SOUND)
        incarnation = self.disks[node].incarnation
        self.processes[node] = Process(
            self._new_core(node, incarnation),
            old.began_at,
            phase=old.phase,
            banned=set(old.banned),
            saved_ids=frozenset(self.disks[node].saved_ids),
            capacity=old.capacity,
            listed_starts=old.listed_starts,
            inherits_phase=True,
            lost_power_with_tier=old.lost_power_with_tier,
            survey_began_at=old.survey_began_at,
        )
        self.start(node, incarnation)
        self.handle_event(node, events.SavedListLoaded(self.disks[node].saved_ids))
        self.handle_event(node, inherited)
        self.handle_event(node, found.event(self.hosts[node].clock_offset - self.wall_offsets[node]))
        if self.observer is not None:
            self.observer.disk_read(node, inherited.entries)

    def kill(self, node: int) -> None:
        """Kill a node's process without notice; the page cache of its disk survives."""
        super().kill(node)
        self.processes[node] = None
        self._lost_power_with_tier.discard(node)

    def cut(self, nodes: list[int]) -> None:
        """Cut the power of nodes simultaneously; a part of their unsynced records is lost."""
        for node in nodes:
            if self.hosts[node].core is not None:
                self.kill(node)
            self.disks[node].cut_power(self.tier_random)
        self._lost_power_with_tier = set(range(self.count)) if len(nodes) == self.count else set()
        self.log_event(f"power is cut: {len(nodes)} of {self.count} nodes")

    def shut_down(self, node: int) -> None:
        """Send SIGTERM to a node's process, which announces its departure and ends 800 ms later."""
        if self.hosts[node].core is None:
            return
        self.log_event(f"n{node} receives SIGTERM")
        self.handle_event(node, events.ShutdownStarted())
        super().leave(node)

    def restart_backend(self, name: str) -> None:
        """Restart a backend cold, and publish a new revision of discovery's list to all watches."""
        self.backends[name].restart(self.now)
        self.discovery.revision += 1
        self.log_event(f"{name} restarts")
        for node, process in enumerate(self.processes):
            # Each node that has received discovery's list watches it for changes.
            if process is not None and process.listed_starts:
                when = self.discovery.available_at() + self.tier_random.uniform(*LIST_CHANGE_DELAY_MS)
                self.at(when, partial(self.runner.list_answered, node, self.hosts[node].process_number))

    def request(self, node: int, backend: str, banned: bool) -> None:
        """Send an operator's request to a node; one that has not read its disk ignores it."""
        process = self.processes[node]
        if process is None or process.phase < Phase.ASK:
            return
        self._last_token += 1
        entries = process.core.register.entries_of(backend)
        seen = frozenset((e.node, e.incarnation, e.sequence) for e in entries if e.active)
        request = OperatorRequest(self._last_token, node, backend, banned, seen)
        process.pending[request.token] = request
        self.log_event(f"n{node} receives a request: {request.description}")
        if self.observer is not None:
            self.observer.requested(request)
        now = self.now + self.hosts[node].clock_offset
        self.handle_event(node, events.BanRequested(backend, banned, now, request.token))

    # --- for the observer and the action runner

    def log_event(self, text: str) -> None:
        """Add a line with the current time to the log of the run."""
        self.log.append((self.now, text))

    def connected_since(self, one: int, other: int) -> float | None:
        """Return since when two nodes' processes have been connected; None if they are not."""
        first = self.processes[one]
        second = self.processes[other]
        if first is None or second is None:
            return None
        since = max(first.began_at, second.began_at)
        for partition in self.partitions:
            if partition.separates(one, other) and partition.begin <= self.now:
                if self.now < partition.until:
                    return None
                since = max(since, partition.until)
        return since

    def handle_event(self, node: int, event: events.Event) -> None:
        """Pass an event to a node's recovery core, and perform the actions that it returns."""
        process = self.processes[node]
        if process is None or self.hosts[node].core is None:
            return
        match event:
            case events.BanRequested() | events.WriteCompleted():
                self.runner.handled_token = event.token
            case _:
                self.runner.handled_token = 0
        for action in process.core.handle(self.now + self.hosts[node].clock_offset, event):
            self.runner.run(node, process, action)
        self._schedule_tick(node, process.core.next_wakeup)

    def send_datagram(self, node: int, target: int | None, data: bytes) -> None:
        """Send a datagram to one node, or to all other nodes if `target` is None."""
        self._transmit(node, target, data)

    # --- processes, datagrams and demand

    def _new_core(self, node: int, incarnation: int) -> Recovery:
        now = self.now + self.hosts[node].clock_offset
        seed = self.seeds.getrandbits(64)
        return self.make_core(self.recovery_config, node, self.count, incarnation, seed, now)

    def _is_cut(self, source: int, target: int) -> bool:
        return any(p.begin <= self.now < p.until and p.separates(source, target) for p in self.partitions)

    def _turn_on(self, node: int, condition: DiskCondition) -> DiskContents:
        """Draw new clocks for a node, read its disk, and write the new process's incarnation to it."""
        disk = self.disks[node]
        self.wall_offsets[node] = self.tier_random.uniform(-self.max_wall_offset_ms, self.max_wall_offset_ms)
        self.hosts[node].clock_offset = self.tier_random.uniform(
            -MAX_MONOTONIC_OFFSET_MS, MAX_MONOTONIC_OFFSET_MS
        )
        wall_time = self.now + self.wall_offsets[node]
        found = disk.read(condition, wall_time, self.tier_random)
        incarnation = max(int(wall_time / GENERATION_UNIT_MS), found.incarnation + 1)
        disk.incarnation = incarnation
        disk.written_at = wall_time
        entry_count = len(found.entries)
        self.log_event(
            f"n{node} starts, disk {condition.value}, {entry_count} entries, incarnation {incarnation}"
        )
        return found

    def _disk_read(self, node: int, number: int, found: DiskContents) -> None:
        if self.hosts[node].process_number != number or self.processes[node] is None:
            return
        self.handle_event(node, events.SavedListLoaded(found.saved_ids))
        event = found.event(self.hosts[node].clock_offset - self.wall_offsets[node])
        self.handle_event(node, event)
        if self.observer is not None:
            self.observer.disk_read(node, event.entries)

    def _handle(self, node: int, event: membership.Event) -> None:
        if isinstance(event, membership.DatagramReceived) and event.data[KIND_OFFSET] >= FIRST_MESSAGE_KIND:
            self.handle_event(node, events.DatagramReceived(event.source, event.data))
            return
        super()._handle(node, event)
        if isinstance(event, membership.Tick):
            self.handle_event(node, events.Tick())

    def _perform(self, node: int, action: membership.Action) -> None:
        super()._perform(node, action)
        core = self.hosts[node].core
        if isinstance(action, membership.ViewChanged) and core is not None:
            incarnations = {member: core.view.records[member].generation for member in core.present_members()}
            self.handle_event(node, events.MembershipChanged(incarnations, core.has_quorum()))

    def _observe(self) -> None:
        if self.observer is not None:
            self.observer.time_passed()
        if not int(self.now / OBSERVATION_MS) % OBSERVATIONS_PER_DEMAND:
            self._report_demand()
        self.at(self.now + OBSERVATION_MS, self._observe)

    def _report_demand(self) -> None:
        """Report each recovering node's demand to it; a few nodes have most of the demand."""
        for node, process in enumerate(self.processes):
            if process is not None and Phase.LISTED <= process.phase < Phase.FULL:
                demand = self._demands[node] * self.tier_random.uniform(*DEMAND_VARIATION)
                self.handle_event(node, events.DemandMeasured(demand))
