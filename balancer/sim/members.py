"""A tier's memberships in one process: virtual time, a network that loses and delays, nodes that die and
stall.

Nothing here decides anything: it moves the datagrams of the very cores that `run` uses. All randomness comes
from the seed, one stream a part; two worlds of one seed do the same.
"""

from __future__ import annotations

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
    SendDatagram,
    Tick,
)
from balancer.membership.messages import MemberState
from balancer.sim.agenda import Agenda

ROUNDING = 1e-6  # ms later than due a tick comes: between two clocks it must not be early by a rounding
GENERATION_UNIT_MS = 256.0  # ms of the start's time that one generation number stands for


@dataclass
class Net:
    """The way between nodes; shares of datagrams, times in ms."""

    least: float = 4.0
    most: float = 40.0
    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0  # of those that come up to ten seconds late
    corrupt: float = 0.0
    cut: Callable[[int, int], bool] = lambda source, target: False  # one way


@dataclass
class Host:
    """One node: its core while it lives, and whether it stands still."""

    core: Membership | None = None
    number: int = 0  # of its generation, for what is still under way to an earlier one
    stalled_until: float = 0.0
    inbox: list[tuple[int, bytes]] = field(default_factory=list)
    tick_at: float = float("inf")
    shift: float = 0.0  # of its monotonic clock against the world's: no core may compare two nodes' clocks


@dataclass(slots=True, frozen=True)
class Seen:
    """What one node came to think of another."""

    at: float
    node: int
    change: MemberChanged


class World(Agenda):
    """`count` nodes; `at` plans what happens, `run` lets it."""

    def __init__(self, count: int, seed: int, config: Config | None = None, net: Net | None = None) -> None:
        self.count, self.config, self.net = count, config or Config(), net or Net()
        super().__init__(1e6)
        self.random, self.seeds = random.Random(f"net {seed}"), random.Random(f"nodes {seed}")
        self.hosts = [Host() for _ in range(count)]
        self.seen: list[Seen] = []
        self.sent: Counter[int] = Counter()  # datagrams by node; one to all counts once
        self.delivered = 0
        self.per_second: Counter[int] = Counter()

    def start(self, node: int, generation: int | None = None) -> None:
        """A node comes up with a new generation, by the time unless another is given."""
        host = self.hosts[node]
        host.number += 1
        host.stalled_until, host.inbox, host.tick_at = 0.0, [], float("inf")
        generation = int(self.now / GENERATION_UNIT_MS) if generation is None else generation
        seed = self.seeds.getrandbits(64)
        host.core = Membership(self.config, node, self.count, generation, seed, self.now + host.shift)
        self._handle(node, Tick())

    def kill(self, node: int) -> None:
        """It is gone without a word."""
        self.hosts[node].core = None

    def leave(self, node: int, then: float = 800.0) -> None:
        """It says that it leaves, and ends a little later."""
        self._handle(node, Leave())
        self.at(self.now + then, partial(self.kill, node))

    def stall(self, node: int, wait: float) -> None:
        """It stands still; what comes meanwhile waits in its socket."""
        self.hosts[node].stalled_until = self.now + wait
        self.at(self.now + wait, partial(self._wake, node, self.hosts[node].number))

    def alive(self) -> list[int]:
        """The nodes that live."""
        return [i for i, h in enumerate(self.hosts) if h.core is not None]

    def agreed(self) -> bool:
        """Whether every node that lives holds just those that live for present, and the same lives."""
        cores = [h.core for h in self.hosts if h.core is not None]
        views = {(c.view.state_hash, c.view.present_count) for c in cores}
        return len(views) == 1 and cores[0].present_members() == self.alive()

    def settle(self, most: float, step: float = 50.0) -> float:
        """Run until all agree; the ms it took, infinity if it took longer than `most`."""
        begun = self.now
        while self.now < begun + most:
            self.run(self.now + step)
            if self.agreed():
                return self.now - begun
        return float("inf")

    def deaths(self, since: float = 0.0) -> list[Seen]:
        """Each time that a node came to hold another for dead."""
        return [s for s in self.seen if s.at >= since and s.change.after is MemberState.DEAD]

    # --- what moves

    def _wake(self, node: int, number: int) -> None:
        host = self.hosts[node]
        if host.core is None or host.number != number or host.stalled_until > self.now:
            return
        inbox, host.inbox = host.inbox, []
        for source, data in inbox:  # the socket is read before timers run, as an event loop does
            self._handle(node, DatagramReceived(source, data))
        self._handle(node, Tick())

    def _tick(self, node: int, number: int) -> None:
        host = self.hosts[node]
        if host.core is None or host.number != number or host.stalled_until > self.now:
            return
        if host.tick_at <= self.now:
            host.tick_at = float("inf")
            self._handle(node, Tick())

    def _handle(self, node: int, event: Event) -> None:
        host = self.hosts[node]
        if host.core is None:
            return
        for action in host.core.handle(self.now + host.shift, event):
            self._act(node, action)
        self._plan(node, host.core.next_wakeup_ms)

    def _act(self, node: int, action: Action) -> None:
        if isinstance(action, MemberChanged):
            self.seen.append(Seen(self.now, node, action))
        if isinstance(action, SendDatagram):
            self._tell(node, action.node, action.data)

    def _plan(self, node: int, due: float) -> None:
        """A tick at `due` by the node's own clock, if none comes sooner."""
        host = self.hosts[node]
        due -= host.shift - ROUNDING
        if due < host.tick_at:
            host.tick_at = due
            self.at(max(due, self.now), partial(self._tick, node, host.number))

    def _tell(self, node: int, to: int | None, data: bytes) -> None:
        """To one, or to all where `to` is None."""
        self.sent[node] += 1
        self.per_second[int(self.now / 1000)] += 1
        for target in range(self.count) if to is None else (to,):
            if target != node:
                self._send(node, target, data)

    def _send(self, source: int, target: int, data: bytes) -> None:
        net, dice = self.net, self.random
        if net.cut(source, target) or (net.loss and dice.random() < net.loss):
            return
        if net.corrupt and dice.random() < net.corrupt:
            spot = dice.randrange(len(data))
            data = data[:spot] + bytes([data[spot] ^ 1 << dice.randrange(8)]) + data[spot + 1 :]
        for _ in range(2 if net.duplicate and dice.random() < net.duplicate else 1):
            wait = dice.uniform(net.least, net.most)
            if net.late and dice.random() < net.late:
                wait = dice.uniform(0, 10_000)
            self.at(self.now + wait, partial(self._arrive, source, target, data))

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        host = self.hosts[target]
        if host.core is None:
            return
        self.delivered += 1
        if host.stalled_until > self.now:
            host.inbox.append((source, data))
        else:
            self._handle(target, DatagramReceived(source, data))
