"""Simulation of a tier's membership protocol in one process, in virtual time.

The network loses, delays, duplicates and corrupts datagrams, and nodes crash and stall. The nodes run the
production protocol. All random numbers come from the seed, with one stream for the network and one for the
nodes; two simulations with the same seed are identical.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import (
    Action,
    DatagramReceived,
    Event,
    Leave,
    MemberChanged,
    PeersChanged,
    SendDatagram,
    Tick,
)
from balancer.membership.messages import MemberState
from balancer.sim.scheduler import EventScheduler

# The margin by which ticks are delayed, as rounding between two clocks could make them early.
CLOCK_ROUNDING_MS = 1e-6
GENERATION_UNIT_MS = 256.0
MAX_LATE_DELAY_MS = 10_000.0
START_MS = 1e6


@dataclass
class Network:
    """Faults of the network between nodes; rates are shares of datagrams, `is_cut` is per direction."""

    min_delay_ms: float = 4.0
    max_delay_ms: float = 40.0
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0
    corrupt_rate: float = 0.0
    is_cut: Callable[[int, int], bool] = lambda source, target: False


@dataclass
class Host:
    """A node's machine; `core` is None while no process runs.

    Events scheduled for a process are ignored once `process_number` has changed. `inbox` holds the sources
    and datagrams received during a stall. `clock_offset` is the monotonic clock minus virtual time. The peer
    list contains the first `listed_count` nodes of the tier.
    """

    core: Membership | None = None
    process_number: int = 0
    stalled_until: float = 0.0
    inbox: list[tuple[int, bytes]] = field(default_factory=list)
    next_tick: float = math.inf
    clock_offset: float = 0.0
    listed_count: int = 0


@dataclass(slots=True, frozen=True)
class Observation:
    """A change of a member's state in one node's view, with its virtual time."""

    at: float
    node: int
    change: MemberChanged


class MembershipSimulation(EventScheduler):
    """Simulation of a tier of `count` nodes and its network; all times are virtual, in ms."""

    def __init__(
        self, count: int, seed: int, config: Config | None = None, network: Network | None = None
    ) -> None:
        """Create the hosts, on which no process runs yet."""
        super().__init__(START_MS)
        self.count = count
        self.config = config or Config()
        self.network = network or Network()
        self.random = random.Random(f"net {seed}")
        self.seeds = random.Random(f"nodes {seed}")
        self.hosts = [Host(listed_count=count) for _ in range(count)]
        self.observations: list[Observation] = []
        # The counters of sent datagrams, by node and by second, count a broadcast once.
        self.sent_by_node: Counter[int] = Counter()
        self.sent_by_second: Counter[int] = Counter()
        self.delivered = 0

    def start(self, node: int, generation: int | None = None) -> None:
        """Start a node's process; without a given generation, the current time determines it."""
        host = self.hosts[node]
        host.process_number += 1
        host.stalled_until = 0.0
        host.inbox = []
        host.next_tick = math.inf
        if generation is None:
            generation = int(self.now / GENERATION_UNIT_MS)
        seed = self.seeds.getrandbits(64)
        host.listed_count = self.count
        host.core = Membership(self.config, node, self.count, generation, seed, self.now + host.clock_offset)
        self._handle(node, Tick())

    def kill(self, node: int) -> None:
        """Kill a node's process, which sends no datagram before it ends."""
        self.hosts[node].core = None

    def leave(self, node: int, shutdown: float = 800.0) -> None:
        """Shut a node's process down gracefully; it ends `shutdown` ms later."""
        self._handle(node, Leave())
        self.at(self.now + shutdown, partial(self.kill, node))

    def change_peers(self, node: int, listed_count: int, replaced: frozenset[int] = frozenset()) -> None:
        """Change a node's peer list to the first `listed_count` nodes; `replaced` ones count as new peers."""
        self.hosts[node].listed_count = listed_count
        self._handle(node, PeersChanged(listed_count, replaced - {node}))

    def stall(self, node: int, duration: float) -> None:
        """Stall a node's process: datagrams wait in its socket, and its timers do not run."""
        host = self.hosts[node]
        host.stalled_until = max(host.stalled_until, self.now + duration)
        self.at(self.now + duration, partial(self._resume, node, host.process_number))

    def running_nodes(self) -> list[int]:
        """Return the nodes on which a process runs."""
        return [node for node, host in enumerate(self.hosts) if host.core is not None]

    def has_converged(self) -> bool:
        """Return whether all running nodes share a view in which exactly the running nodes are present."""
        cores = [host.core for host in self.hosts if host.core is not None]
        views = {(core.view.state_hash, core.view.present_count) for core in cores}
        return len(views) == 1 and cores[0].present_members() == self.running_nodes()

    def run_until_converged(self, timeout: float, step: float = 50.0) -> float:
        """Run until the views converge; return the time this took in ms, infinity after `timeout`."""
        begin = self.now
        while self.now < begin + timeout:
            self.run(self.now + step)
            if self.has_converged():
                return self.now - begin
        return math.inf

    def deaths_declared(self, since: float = 0.0) -> list[Observation]:
        """Return the observations, from `since` on, in which a node declared another one dead."""
        return [
            observation
            for observation in self.observations
            if observation.at >= since and observation.change.after is MemberState.DEAD
        ]

    def _resume(self, node: int, number: int) -> None:
        host = self.hosts[node]
        if not self._is_responsive(host, number):
            return
        inbox = host.inbox
        host.inbox = []
        # A tick that was due during the stall was ignored, so that no tick is scheduled now.
        host.next_tick = math.inf
        # Datagrams come before the tick, as an event loop reads sockets before it runs timers.
        for source, data in inbox:
            self._handle(node, DatagramReceived(source, data))
        self._handle(node, Tick())

    def _tick(self, node: int, number: int) -> None:
        host = self.hosts[node]
        if self._is_responsive(host, number) and host.next_tick <= self.now:
            host.next_tick = math.inf
            self._handle(node, Tick())

    def _is_responsive(self, host: Host, number: int) -> bool:
        return host.core is not None and host.process_number == number and host.stalled_until <= self.now

    def _handle(self, node: int, event: Event) -> None:
        host = self.hosts[node]
        if host.core is None:
            return
        for action in host.core.handle(self.now + host.clock_offset, event):
            self._perform(node, action)
        self._schedule_tick(node, host.core.next_wakeup_ms)

    def _perform(self, node: int, action: Action) -> None:
        match action:
            case MemberChanged():
                self.observations.append(Observation(self.now, node, action))
            case SendDatagram():
                self._transmit(node, action.node, action.data)

    def _schedule_tick(self, node: int, due: float) -> None:
        """Schedule a tick at a time on the node's monotonic clock, unless an earlier one is scheduled."""
        host = self.hosts[node]
        due -= host.clock_offset - CLOCK_ROUNDING_MS
        if due < host.next_tick:
            host.next_tick = due
            self.at(max(due, self.now), partial(self._tick, node, host.process_number))

    def _transmit(self, node: int, target: int | None, data: bytes) -> None:
        """Send a datagram to one node, or to all other nodes if `target` is None."""
        self.sent_by_node[node] += 1
        self.sent_by_second[int(self.now / 1000)] += 1
        for receiver in range(self.count) if target is None else (target,):
            if receiver != node:
                self._send(node, receiver, data)

    def _send(self, source: int, target: int, data: bytes) -> None:
        network = self.network
        if network.is_cut(source, target) or self._draw(network.loss_rate):
            return
        if self._draw(network.corrupt_rate):
            data = self._corrupted(data)
        copies = 2 if self._draw(network.duplicate_rate) else 1
        for _ in range(copies):
            delay = self.random.uniform(network.min_delay_ms, network.max_delay_ms)
            if self._draw(network.late_rate):
                delay = self.random.uniform(0, MAX_LATE_DELAY_MS)
            self.at(self.now + delay, partial(self._arrive, source, target, data))

    def _draw(self, rate: float) -> bool:
        """Return True with the probability `rate`; a rate of 0 draws no random number."""
        return rate > 0 and self.random.random() < rate

    def _corrupted(self, data: bytes) -> bytes:
        """Return a copy of a datagram with one random bit flipped."""
        index = self.random.randrange(len(data))
        bit = 1 << self.random.randrange(8)
        return data[:index] + bytes([data[index] ^ bit]) + data[index + 1 :]

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        host = self.hosts[target]
        if host.core is None or source >= host.listed_count:
            return
        self.delivered += 1
        if host.stalled_until > self.now:
            host.inbox.append((source, data))
        else:
            self._handle(target, DatagramReceived(source, data))
