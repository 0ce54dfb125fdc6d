"""A whole tier that loses power: the cores of membership and recovery, disks, discovery, operators, in one
process under virtual time.

Nothing here decides anything: it moves datagrams, reads disks, carries out what the cores ask for, and tells
an observer what it sees. Each process has a monotonic clock with a start of its own and each node a wall
clock that may be minutes off.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from balancer.membership import core as membership
from balancer.recovery import actions, events
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.messages import FIRST_MESSAGE_KIND
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.sim.members import LIFE_UNIT, Net, World
from balancer.sim.recovery_disks import Condition, Disk, Found
from balancer.sim.recovery_environment import Backend, Discovery

KIND_AT = 5  # the byte of a datagram that names its kind
DAY_MS = 24 * 3600 * 1000.0
LOOK_MS = 100.0  # between two looks of the observer
DEMAND_LOOKS = 10  # a second

MakeCore = Callable[[RecoveryConfig, int, int, int, int, float], Recovery]


@dataclass(slots=True, frozen=True)
class Call:
    """An operator's call at a node: take a backend out, or back in."""

    token: int
    node: int
    backend: str
    out: bool
    at: float
    seen: frozenset[tuple[int, int, int]] = frozenset()  # node, life, seq of each ban that it knew of then


@dataclass
class Process:
    """One node's process: what its core has asked for so far."""

    core: Recovery
    began: float  # its predecessor's, where it is a successor
    phase: Phase = Phase.VERIFY
    phases: list[tuple[float, Phase, RecoveryPath]] = field(default_factory=list)
    banned: set[str] = field(default_factory=set)  # what its policy was told
    saved: frozenset[str] = frozenset()
    restricted: frozenset[str] = frozenset()
    admits: actions.CapacityGranted | None = None
    told: dict[str, float] = field(default_factory=dict)  # starts from discovery itself in this life
    pending: dict[int, Call] = field(default_factory=dict)  # calls without an answer so far
    writing: Counter[int | None] = field(default_factory=Counter)  # rows under way to the disk, by token
    inherits: bool = False  # a successor's first phase is its predecessor's
    power_cut: bool = False  # whether all of the tier were cut before this start
    ask_began: float = 0.0

    @property
    def serves(self) -> bool:
        """Whether it sends requests to backends."""
        return self.phase >= Phase.LISTED


class Watcher(Protocol):
    """Sees all, decides nothing."""

    def began(self, node: int, rows: tuple[BanEntry, ...]) -> None:
        """A process has read its disk."""

    def entered(self, node: int, entered: actions.PhaseEntered) -> None:
        """A phase has begun."""

    def called(self, call: Call) -> None:
        """An operator's call has reached a node."""

    def answered(self, call: Call) -> None:
        """It was said yes to."""

    def restricts(self, node: int, ids: frozenset[str]) -> None:
        """A node avoids some of its saved list on a peer's word."""

    def look(self) -> None:
        """Some time has passed."""


@dataclass(slots=True, frozen=True)
class Partition:
    """Two sides that do not hear each other for a while."""

    begin: float
    until: float
    side: frozenset[int]

    def parts(self, one: int, other: int) -> bool:
        """Whether these are on different sides."""
        return (one in self.side) != (other in self.side)


class Tier(World):
    """`count` nodes with disks; `start`, `kill`, `cut`, `call` and the like are the schedule's."""

    def __init__(self, count: int, seed: int, net: Net, config: RecoveryConfig, make: MakeCore,
                 backends: tuple[str, ...], partitions: tuple[Partition, ...] = (),
                 write_ms: tuple[float, float] = (1.0, 30.0)) -> None:  # fmt: skip
        super().__init__(count, seed, net=net)
        self.recovery_config, self.make, self.partitions, self.write_ms = config, make, partitions, write_ms
        self.net.cut = self._parted
        self.dice = random.Random(f"tier {seed}")
        self.disks = [Disk() for _ in range(count)]
        self.processes: list[Process | None] = [None] * count
        self.backends = {name: Backend(self.now - DAY_MS) for name in backends}
        self.discovery = Discovery(self.at, lambda: self.now)
        self.drawn = [1000.0 * self.dice.random() ** 4 for _ in range(count)]  # requests a second
        self.wall_ms = 0.0  # by which a node's wall clock is off at most after a start
        self.walls = [0.0] * count
        self.writes_until = [0.0] * count
        self.watcher: Watcher | None = None
        self.log: list[tuple[float, str]] = []
        self.recovery_sent: Counter[int] = Counter()  # recovery datagrams by second
        self.tokens = self.handled = 0  # the last call's, and that of the event that a core is handling
        self.sync_fails = 0.0
        self.blacked_out: set[int] = set()  # nodes whose last process ended as all lost power
        self.at(self.now, self._look)

    # --- the schedule's

    def boot(self, node: int, condition: Condition) -> None:
        """A node's process starts; its disk is read a little later."""
        if self.processes[node] is not None:
            return
        found, life = self._turn_on(node, condition)
        dark = node in self.blacked_out
        core = self._fresh(node, life)
        self.processes[node] = Process(core, self.now, power_cut=dark, saved=frozenset(found.saved))
        self.start(node, life)
        when = self.now + self.dice.uniform(1, 200)
        self.at(when, partial(self._was_read, node, self.hosts[node].number, found))

    def succeed(self, node: int) -> None:
        """A successor takes the node over from its process, in the middle of whatever it does."""
        old = self.processes[node]
        if old is None or old.phase < Phase.LISTED or self.hosts[node].core is None:
            return
        core, disk = old.core, self.disks[node]
        left = events.StateInherited(core.phase, core.path, core.cold_since, tuple(core.register.entries()))
        self.note(f"n{node} has a successor")
        self.kill(node)
        found, life = self._turn_on(node, Condition.SOUND)
        new = Process(self._fresh(node, life), old.began, power_cut=old.power_cut)
        new.saved = frozenset(disk.saved)
        new.phase, new.ask_began, new.inherits = old.phase, old.ask_began, True
        new.told, new.banned, new.admits = old.told, set(old.banned), old.admits
        self.processes[node] = new
        self.start(node, life)
        self.tell(node, events.SavedListLoaded(disk.saved))
        self.tell(node, left)
        self.tell(node, self._kept(node, found))
        if self.watcher is not None:
            self.watcher.began(node, left.entries)

    def kill(self, node: int) -> None:
        """Its process ends without a word; the page cache stays."""
        super().kill(node)
        self.processes[node] = None
        self.blacked_out.discard(node)

    def cut(self, nodes: list[int]) -> None:
        """These lose power at one moment; of what was not synced a part is gone."""
        for node in nodes:
            if self.hosts[node].core is not None:
                self.kill(node)
            self.disks[node].power_cut(self.dice)
        self.blacked_out = set(range(self.count)) if len(nodes) == self.count else set()
        self.note(f"power is cut: {len(nodes)} of {self.count} nodes")

    def quit(self, node: int) -> None:
        """SIGTERM: it says that it leaves, and ends 800 ms later."""
        if self.hosts[node].core is None:
            return
        self.note(f"n{node} has SIGTERM")
        self.tell(node, events.ShutdownStarted())
        super().leave(node)

    def restart_backend(self, name: str) -> None:
        """A backend starts anew, cold; discovery lists it so."""
        self.backends[name].restart(self.now)
        self.discovery.revision += 1
        self.note(f"{name} starts anew")
        for node, process in enumerate(self.processes):
            if process is not None and process.told:  # who has a list has a watch
                when = self.discovery.up_again() + self.dice.uniform(5, 200)
                self.at(when, partial(self._listed, node, self.hosts[node].number))

    def call(self, node: int, backend: str, out: bool) -> None:
        """An operator calls `maint` or `ready` at a node."""
        process = self.processes[node]
        if process is None or process.phase < Phase.ASK:
            return
        self.tokens += 1
        rows = process.core.register.entries()
        seen = frozenset(
            (row.node, row.incarnation, row.sequence) for row in rows if row.backend == backend and row.active
        )
        call = Call(self.tokens, node, backend, out, self.now, seen)
        process.pending[call.token] = call
        self.note(f"n{node} is called: {backend} {'out' if out else 'in'}")
        if self.watcher is not None:
            self.watcher.called(call)
        self.tell(node, events.BanRequested(backend, out, self.now + self.hosts[node].shift, call.token))

    def note(self, text: str) -> None:
        """A line for whoever reads a failed schedule."""
        self.log.append((self.now, text))

    def touch_since(self, one: int, other: int) -> float | None:
        """Since when two processes have been able to hear each other; None if they are not."""
        a, b = self.processes[one], self.processes[other]
        if a is None or b is None:
            return None
        since = max(a.began, b.began)
        for partition in self.partitions:
            if partition.parts(one, other) and partition.begin <= self.now:
                if self.now < partition.until:
                    return None
                since = max(since, partition.until)
        return since

    def tell(self, node: int, event: events.Event) -> None:
        """An event for a node's core of the room; what it asks for is done."""
        process = self.processes[node]
        if process is None or self.hosts[node].core is None:
            return
        self.handled = event.token if isinstance(event, events.BanRequested | events.WriteCompleted) else 0
        for action in process.core.handle(self.now + self.hosts[node].shift, event):
            self._do(node, process, action)
        self._plan(node, process.core.next_wakeup)

    # --- what moves

    @staticmethod
    def _moved(rows: tuple[BanEntry, ...], by: float) -> tuple[BanEntry, ...]:
        """Rows with their times on another clock."""
        return tuple(row._replace(changed_at=row.changed_at + by) for row in rows)

    def _fresh(self, node: int, life: int) -> Recovery:
        now = self.now + self.hosts[node].shift
        return self.make(self.recovery_config, node, self.count, life, self.seeds.getrandbits(64), now)

    def _parted(self, source: int, target: int) -> bool:
        return any(p.begin <= self.now < p.until and p.parts(source, target) for p in self.partitions)

    def _turn_on(self, node: int, condition: Condition) -> tuple[Found, int]:
        """What a new process finds on its disk, and the number of its life; its clocks are others."""
        disk, host = self.disks[node], self.hosts[node]
        self.walls[node] = self.dice.uniform(-self.wall_ms, self.wall_ms)
        host.shift = self.dice.uniform(-9e5, 9e5)
        wall = self.now + self.walls[node]
        found = disk.read(condition, wall, self.dice)
        life = max(int(wall / LIFE_UNIT), found.life + 1)
        disk.life, disk.written_wall = life, wall
        self.note(f"n{node} starts, disk {condition.value}, {len(found.rows)} rows, life {life}")
        return found, life

    def _kept(self, node: int, found: Found) -> events.DiskRead:
        rows = self._moved(found.rows, self.hosts[node].shift - self.walls[node])
        return events.DiskRead(
            found.sound, found.fresh, found.life, found.age_ms, rows, found.revision, found.rate
        )

    def _was_read(self, node: int, number: int, found: Found) -> None:
        if self.hosts[node].number != number or self.processes[node] is None:
            return
        self.tell(node, events.SavedListLoaded(found.saved))
        kept = self._kept(node, found)
        self.tell(node, kept)
        if self.watcher is not None:
            self.watcher.began(node, kept.entries)

    def _handle(self, node: int, event: membership.Event) -> None:
        if isinstance(event, membership.Received) and event.data[KIND_AT] >= FIRST_MESSAGE_KIND:
            self.tell(node, events.DatagramReceived(event.source, event.data))
            return
        super()._handle(node, event)
        if isinstance(event, membership.Tick):
            self.tell(node, events.Tick())

    def _act(self, node: int, action: membership.Action) -> None:
        super()._act(node, action)
        if isinstance(action, membership.ViewChanged):
            self._members(node)

    def _members(self, node: int) -> None:
        core = self.hosts[node].core
        if core is not None:
            lives = {member: core.view.known[member].life for member in core.members()}
            self.tell(node, events.MembershipChanged(lives, core.quorum()))

    def _do(self, node: int, process: Process, action: actions.Action) -> None:
        number = self.hosts[node].number
        match action:
            case actions.SendDatagram():
                self.recovery_sent[int(self.now / 1000)] += 1
                self._tell(node, action.node, action.data)
            case actions.PersistEntries():
                process.writing[action.token] += 1
                self._write(node, number, action)
            case actions.ApplyBan():
                self._applied(process, action)
            case actions.RequestList():
                self.discovery.call(partial(self._listed, node, number), partial(self._failed, node, number))
            case actions.RestrictSavedList():
                process.restricted = action.ids
                if self.watcher is not None:
                    self.watcher.restricts(node, action.ids)
            case actions.PhaseEntered():
                self._entered(node, process, action)
            case actions.CapacityGranted():
                process.admits = action

    def _entered(self, node: int, process: Process, action: actions.PhaseEntered) -> None:
        self.note(f"n{node} phase {action.phase.name.lower()}, path {action.path.value}: {action.reason}")
        if action.phase is Phase.ASK:
            process.ask_began = self.now
        if self.watcher is not None:
            self.watcher.entered(node, action)
        process.phases.append((self.now, action.phase, action.path))
        process.phase = action.phase

    def _applied(self, process: Process, action: actions.ApplyBan) -> None:
        (process.banned.add if action.banned else process.banned.discard)(action.backend)
        call = process.pending.get(self.handled)
        if call is not None and (call.backend, call.out) == (action.backend, action.banned):
            self._yes(process, call)

    def _yes(self, process: Process, call: Call) -> None:
        del process.pending[call.token]
        self.note(f"n{call.node} says yes: {call.backend} {'out' if call.out else 'in'}")
        if self.watcher is not None:
            self.watcher.answered(call)

    def _write(self, node: int, number: int, action: actions.PersistEntries) -> None:
        """Records are written in the order of their calls, by a thread that may be slow."""
        self.writes_until[node] = max(self.writes_until[node], self.now) + self.dice.uniform(*self.write_ms)
        self.at(self.writes_until[node], partial(self._written, node, number, action.entries, action.token))

    def _written(self, node: int, number: int, rows: tuple[BanEntry, ...], token: int | None) -> None:
        process, disk = self.processes[node], self.disks[node]
        if process is None or self.hosts[node].number != number:
            return
        process.writing[token] -= 1
        if token is not None and self.dice.random() < self.sync_fails:
            self.tell(node, events.WriteCompleted(token, False))
            process.pending.pop(token, None)
            return
        if rows:
            disk.unsure.append(self._moved(rows, self.walls[node] - self.hosts[node].shift))
        disk.written_wall = self.now + self.walls[node]
        if token is None:
            return
        disk.sync()
        self.tell(node, events.WriteCompleted(token, True))
        if token in process.pending and not process.writing[token]:  # nothing changed by it
            self._yes(process, process.pending[token])

    def _listed(self, node: int, number: int) -> None:
        process = self.processes[node]
        if process is None or self.hosts[node].number != number:
            return
        shift, disk = self.hosts[node].shift, self.disks[node]
        disk.revision, disk.saved = self.discovery.revision, tuple(self.backends)
        process.told = {name: backend.start for name, backend in self.backends.items()}
        process.restricted = frozenset()
        off = shift + self.walls[node]  # starts are told by the wall clock
        starts = tuple(start + off for start in process.told.values())
        self.tell(node, events.ListReceived(self.discovery.revision, starts, tuple(self.backends)))

    def _failed(self, node: int, number: int) -> None:
        if self.hosts[node].number == number:
            self.tell(node, events.ListRequestFailed())

    def _look(self) -> None:
        if self.watcher is not None:
            self.watcher.look()
        self._demand()
        self.at(self.now + LOOK_MS, self._look)

    def _demand(self) -> None:
        """Once a second nodes hear how much comes to them: to a few of them nearly all of it."""
        if int(self.now / LOOK_MS) % DEMAND_LOOKS:
            return
        for node, process in enumerate(self.processes):
            if process is not None and Phase.LISTED <= process.phase < Phase.FULL:
                self.tell(node, events.DemandMeasured(self.drawn[node] * self.dice.uniform(0.7, 1.4)))
