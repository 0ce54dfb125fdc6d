"""A tier of membership protocols in one process, under virtual time.

Simulated are the network, which loses, delays, repeats and corrupts datagrams, and nodes that die and stall.
The protocol is the very one that real nodes run. All randomness comes from the seed, one stream for the
network and one for the nodes; two simulations of one seed are equal.
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

CLOCK_ROUNDING_MS = 1e-6  # added to a tick, so that rounding between two clocks does not make it early
GENERATION_UNIT_MS = 256.0
LATE_MS = 10_000.0  # the longest delay of a late datagram
START_MS = 1e6


@dataclass
class Network:
    """The network between nodes; rates are shares of datagrams."""

    min_delay_ms: float = 4.0
    max_delay_ms: float = 40.0
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0
    corrupt_rate: float = 0.0
    is_cut: Callable[[int, int], bool] = lambda source, target: False  # in one direction


@dataclass
class Host:
    """A machine and its process, if one runs."""

    core: Membership | None = None
    process_number: int = 0  # of its processes so far: what was scheduled for an earlier one is ignored
    stalled_until: float = 0.0
    inbox: list[tuple[int, bytes]] = field(default_factory=list)  # sources and datagrams, while it stalls
    next_tick: float = math.inf
    clock_offset: float = 0.0  # of its monotonic clock against virtual time
    listed: int = 0  # nodes in its peer list, the first ones of the tier


@dataclass(slots=True, frozen=True)
class Observation:
    """A change in one node's view, at a virtual time."""

    at: float
    node: int
    change: MemberChanged


class MembershipSimulation(EventScheduler):
    """A tier of `count` nodes and its network; all times are virtual, in ms."""

    def __init__(
        self, count: int, seed: int, config: Config | None = None, network: Network | None = None
    ) -> None:
        """Create hosts of which none runs a process."""
        super().__init__(START_MS)
        self.count = count
        self.config = config or Config()
        self.network = network or Network()
        self.random = random.Random(f"net {seed}")
        self.seeds = random.Random(f"nodes {seed}")
        self.hosts = [Host(listed=count) for _ in range(count)]
        self.observations: list[Observation] = []
        self.sent_by_node: Counter[int] = Counter()  # datagrams; a broadcast counts once
        self.sent_by_second: Counter[int] = Counter()
        self.delivered = 0

    def start(self, node: int, generation: int | None = None) -> None:
        """Start a process, whose generation follows from the time unless it is given."""
        host = self.hosts[node]
        host.process_number += 1
        host.stalled_until = 0.0
        host.inbox = []
        host.next_tick = math.inf
        if generation is None:
            generation = int(self.now / GENERATION_UNIT_MS)
        seed = self.seeds.getrandbits(64)
        host.listed = self.count
        host.core = Membership(self.config, node, self.count, generation, seed, self.now + host.clock_offset)
        self._handle(node, Tick())

    def kill(self, node: int) -> None:
        """End a process without a datagram."""
        self.hosts[node].core = None

    def leave(self, node: int, shutdown: float = 800.0) -> None:
        """Shut a process down gracefully; it ends `shutdown` ms later."""
        self._handle(node, Leave())
        self.at(self.now + shutdown, partial(self.kill, node))

    def change_peers(self, node: int, listed: int, replaced: frozenset[int] = frozenset()) -> None:
        """Give a node another peer list: the first `listed` nodes, of which some count as new ones."""
        self.hosts[node].listed = listed
        self._handle(node, PeersChanged(listed, replaced - {node}))

    def stall(self, node: int, duration: float) -> None:
        """Stall a process; what arrives meanwhile waits in its socket, and its timers do not run."""
        host = self.hosts[node]
        host.stalled_until = max(host.stalled_until, self.now + duration)
        self.at(self.now + duration, partial(self._resume, node, host.process_number))

    def running_nodes(self) -> list[int]:
        """Return the nodes whose processes run."""
        return [node for node, host in enumerate(self.hosts) if host.core is not None]

    def has_converged(self) -> bool:
        """Return whether all running nodes have the same view: just the running ones are present."""
        cores = [host.core for host in self.hosts if host.core is not None]
        views = {(core.view.state_hash, core.view.present_count) for core in cores}
        return len(views) == 1 and cores[0].present_members() == self.running_nodes()

    def run_until_converged(self, timeout: float, step: float = 50.0) -> float:
        """Return the ms that convergence took; infinity if it took longer than `timeout`."""
        begin = self.now
        while self.now < begin + timeout:
            self.run(self.now + step)
            if self.has_converged():
                return self.now - begin
        return math.inf

    def deaths_declared(self, since: float = 0.0) -> list[Observation]:
        """Return each change by which a node came to believe another dead."""
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
        host.next_tick = math.inf  # a tick that was due during the stall has passed without effect
        for source, data in inbox:  # an event loop reads sockets before it runs timers
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
        """Schedule a tick at a time of the node's own clock, unless one is due sooner."""
        host = self.hosts[node]
        due -= host.clock_offset - CLOCK_ROUNDING_MS
        if due < host.next_tick:
            host.next_tick = due
            self.at(max(due, self.now), partial(self._tick, node, host.process_number))

    def _transmit(self, node: int, target: int | None, data: bytes) -> None:
        """Send a datagram to one node, or to all others where `target` is None."""
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
                delay = self.random.uniform(0, LATE_MS)
            self.at(self.now + delay, partial(self._arrive, source, target, data))

    def _draw(self, rate: float) -> bool:
        """Return True with a probability; a rate of 0 draws no random number."""
        return rate > 0 and self.random.random() < rate

    def _corrupted(self, data: bytes) -> bytes:
        """Return a datagram with one bit flipped."""
        index = self.random.randrange(len(data))
        bit = 1 << self.random.randrange(8)
        return data[:index] + bytes([data[index] ^ bit]) + data[index + 1 :]

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        host = self.hosts[target]
        if host.core is None or source >= host.listed:
            return
        self.delivered += 1
        if host.stalled_until > self.now:
            host.inbox.append((source, data))
        else:
            self._handle(target, DatagramReceived(source, data))
