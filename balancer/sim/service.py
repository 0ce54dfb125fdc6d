"""A tier that serves under a virtual clock: the very `Balancer` of `run`, the lab's models of backends and
clients, a power cut of all of them. It shows what the module's admission is worth without a socket.

Played as simple as can be: a constant way between parties, a new connection to a backend costs one trip more
and the work of a handshake, fronts know at once which nodes serve, clients keep their connections. The word
of the return (`Recovering`) comes as from a core that knows at once who is back; what it costs to find that
out is played in the room's own simulation.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from balancer import interface as api
from balancer import wire
from balancer.experiments.experiment import Experiment
from balancer.experiments.platform_settings import platform_settings
from balancer.experiments.random_streams import stream
from balancer.models.backend import Backend, Job, Verdict
from balancer.models.client import End, Wish
from balancer.models.load import draw
from balancer.policy import Balancer
from balancer.sim.scheduler import EventScheduler

DEMAND = 0.8  # of a node's share that follows what it was asked for; the rest is the same for all
MARGIN = 10.0  # ms before its client's limit at which a node answers at the latest
STATUS = {
    Verdict.SERVED: api.AttemptStatus.OK,
    Verdict.REPEATED: api.AttemptStatus.OK,
    Verdict.ERROR: api.AttemptStatus.ERROR,
    Verdict.TURNED_AWAY: api.AttemptStatus.REJECTED,
    Verdict.EXPIRED: api.AttemptStatus.REJECTED,
    Verdict.RESET: api.AttemptStatus.RESET,
}


@dataclass(slots=True, frozen=True)
class Cut:
    """The power goes at `at` (s) and comes back `after` (s) it; nodes serve again spread over `over` (s)."""

    at: float
    after: float = 1.0
    over: float = 2.0
    ready: float = 0.5  # s that a node takes to be ready
    listed: float = 1.0  # s that a node serves until discovery has told it the list
    never: int = 0  # nodes that do not return


@dataclass
class Figures:
    """What a play showed; worth and work are in the units of the experiment."""

    worth: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))  # by tenth of a second
    wanted: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    bearable: dict[int, float] = field(default_factory=dict)  # work that the backends bear, by tenth
    work: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))  # that is wanted
    toppled: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    back: list[float] = field(default_factory=list)  # ms at which each node serves again

    def goodput(self, begin: float, end: float) -> float:
        """Worth served over what the backends that are back could bear of what was wanted (s to s)."""
        tenths = range(int(begin * 10), int(end * 10))
        bears = {t: min(1.0, self.bearable.get(t, 0.0) / max(self.work[t], 1e-9)) for t in tenths}
        could = sum(self.wanted[t] * bears[t] for t in tenths)
        return sum(self.worth[t] for t in tenths) / could if could else 1.0

    def until(self, share: float, begin: float) -> float:
        """Seconds after `begin` until half a second's worth is at `share` of what was wanted."""
        t, last = int(begin * 10), max(self.wanted, default=0)
        while t + 5 <= last:
            half = range(t, t + 5)
            if sum(self.worth[i] for i in half) >= share * sum(self.wanted[i] for i in half):
                return t / 10 - begin
            t += 1
        return float("inf")


@dataclass(slots=True, eq=False)
class Try:
    """An attempt on its way."""

    request: str
    number: int
    host: Host
    sent: float
    over: bool = False


@dataclass(slots=True, eq=False)
class Open:
    """A request that a node holds."""

    wish: Wish
    row: int
    sent: float
    deadline: float
    work: float
    key: str
    again: Callable[[], None]  # the client's next try
    zone: str
    uses: int  # requests for which its connection is kept after this one
    tries: list[Try] = field(default_factory=list)
    answered: bool = False


@dataclass(eq=False)
class Host:
    """A backend of the model with what the world knows of it."""

    core: Backend
    name: str
    alive: bool = True
    owners: dict[Job, tuple[Node, Try]] = field(default_factory=dict)
    due: float = float("inf")


@dataclass(eq=False)
class Node:
    """One process of a node."""

    number: int
    balancer: Balancer
    life: int
    open: dict[str, Open] = field(default_factory=dict)
    demand: float = 0.0  # requests in the last second, as told to all
    came: int = 0
    idle: Counter[str] = field(default_factory=Counter)  # connections to each backend


class World(EventScheduler):
    """All nodes, backends and clients of an experiment, in ms since its begin."""

    def __init__(self, spec: Experiment, seed: int, cut: Cut, room: bool) -> None:
        super().__init__(0.0)
        self.spec, self.seed, self.cut, self.room = spec, seed, cut, room
        self.random = random.Random(f"service {seed}")
        self.figures = Figures()
        speeds = stream(seed, "speeds").uniform(*spec.backends.speed, spec.backends.count).tolist()
        self.hosts = {
            name: Host(Backend(spec.backends, spec.rules, speeds[i], {}, stream(seed, "backend", i)), name)
            for i, name in enumerate(spec.backend_names)
        }
        self.nodes: list[Node | None] = [None] * spec.fleet.nodes
        self.lives = self.served = 0
        self.rate = 0.0  # requests a second that the tier served before the cut
        self.turn: Counter[str] = Counter()
        self.kept: dict[str, list[tuple[Node, int]]] = {zone: [] for zone in spec.fleet.zones}
        self.idents = 0

    # --- time

    def play(self) -> Figures:
        """Play the whole experiment."""
        for number in range(self.spec.fleet.nodes):
            self._start(number, False)
        for zone in self.spec.fleet.zones:
            arrivals = draw(self.spec, self.seed, zone)
            for row in range(len(arrivals.at)):
                cls = self.spec.load.classes[int(arrivals.kind[row])]
                whim = tuple(arrivals.whim[row].tolist())
                wish = Wish(cls, self.spec.clients, float(arrivals.at[row]), whim)
                work, tenth = float(arrivals.work[row]), int(arrivals.at[row] // 100)
                self.figures.wanted[tenth] += cls.value
                self.figures.work[tenth] += work
                ident = f"{int(arrivals.ident[row]):016x}"
                self.at(wish.intended, partial(self._try, wish, row, zone, work, ident))
        self.at(self.cut.at * 1000, self._lose)
        for tenth in range(int(self.spec.seconds * 10)):
            self.at(tenth * 100.0, partial(self._measure, tenth))
        self.run(self.spec.seconds * 1000)
        return self.figures

    def _measure(self, tenth: int) -> None:
        hosts = [h for h in self.hosts.values() if h.alive]
        self.figures.bearable[tenth] = 100 * sum(h.core.capacity(self.now) for h in hosts)

    # --- power

    def _lose(self) -> None:
        self.rate = self.served / self.cut.at
        for node in self.nodes:
            if node is not None:
                self._kill(node)
        back = (self.cut.at + self.cut.after) * 1000
        if self.room:
            self.at(back, self._count)
        for host in self.hosts.values():
            host.alive = False
            host.owners.clear()
            self.at(back + self.random.uniform(0, 500), partial(self._restart, host))
        numbers = self.random.sample(range(len(self.nodes)), len(self.nodes) - self.cut.never)
        for number in numbers:
            when = back + 1000 * (self.cut.ready + self.random.uniform(0, self.cut.over))
            self.figures.back.append(when)
            self.at(when, partial(self._start, number, True))

    def _kill(self, node: Node) -> None:
        self.nodes[node.number] = None
        for ident in list(node.open):
            self._answer(node, ident, End.CUT, 0.0)

    def _restart(self, host: Host) -> None:
        host.core.restart(self.now)
        host.alive, host.due = True, float("inf")

    def _start(self, number: int, again: bool) -> None:
        self.lives += 1
        cfg = wire.parse_settings(platform_settings(self.spec, number, self.spec.rules.max_attempts))
        node = Node(number, Balancer(cfg, self.random.getrandbits(64)), self.lives)
        self.nodes[number] = node
        saved = [self._entry(i, 0.0) for i in range(len(self.hosts))]
        self._event(node, api.ListUpdate(api.ListUpdateKind.CACHED, saved))
        if again:
            if self.room:
                self._tell_all(node)
            self.at(self.now + 1000 * self.cut.listed, partial(self._list, node))

    def _entry(self, number: int, started: float) -> api.Endpoint:
        name = self.spec.backend_names[number]
        return api.Endpoint(
            name,
            self.spec.zone_of(name),
            self.spec.cell_of(number),
            1.0,
            api.EndpointPhase.IN_SERVICE,
            started,
        )

    def _list(self, node: Node) -> None:
        """Discovery tells it the list."""
        if self.nodes[node.number] is not node:
            return
        entries = [self._entry(i, h.core.started) for i, h in enumerate(self.hosts.values()) if h.alive]
        self._event(node, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, entries, 2))
        if self.room:
            self._event(node, self._word(node, api.RecoveryPhase.WARMING, 0.0))
            warm = max(e.started_at for e in entries) + self.spec.rules.ramp_time_ms
            self.at(warm, partial(self._full, node))

    def _full(self, node: Node) -> None:
        if self.nodes[node.number] is node:
            self._event(node, self._word(node, api.RecoveryPhase.FULL, 0.0))

    def _word(self, node: Node, phase: api.RecoveryPhase, cold_since: float) -> api.RecoveryProgressed:
        """A node's part of the work is its part of the demand, half of it by count as demand moves."""
        there = [one for one in self.nodes if one is not None]
        most = 1.0 if 2 * len(there) > len(self.nodes) else len(there) / len(self.nodes)
        share = most / len(there)
        if (asked := sum(one.demand for one in there)) > 0:
            share = most * (DEMAND * node.demand / asked + (1 - DEMAND) / len(there))
        return api.RecoveryProgressed(phase, share, cold_since, self.rate)

    def _tell_all(self, first: Node | None = None) -> None:
        """One more is back, or demand has moved: the shares are others."""
        for node in filter(None, self.nodes):
            if node is first:
                self._event(node, self._word(node, api.RecoveryPhase.LISTED, self.now))
            elif (admission := node.balancer.admission) is not None:
                before = admission.word
                self._event(node, self._word(node, before.phase, before.cold_since))

    def _count(self) -> None:
        """Each node tells what it was asked for in the last second."""
        for node in filter(None, self.nodes):
            node.demand, node.came = float(node.came), 0
        self._tell_all()
        self.at(self.now + 1000, self._count)

    # --- clients

    def _try(self, wish: Wish, row: int, zone: str, work: float, first: str) -> None:
        step = wish.begin(self.now)
        self.idents += 1
        key = f"k{first}" if wish.cls.effect == "dedup" else ""
        again = partial(self._try, wish, row, zone, work, first)
        node, uses = self._connection(zone)
        request = Open(wish, row, self.now, step.deadline, work, key, again, zone, uses - 1)
        if node is None:
            self._over(request, End.UNREACHABLE, 0.0)
            return
        ident = f"{self.idents:016x}"
        node.open[ident] = request
        node.came += 1
        self._event(
            node, api.RequestArrived(ident, wish.cls.name, step.deadline, step.number > 0, key or None)
        )
        self.at(step.deadline - MARGIN, partial(self._deadline, node, ident))

    def _connection(self, zone: str) -> tuple[Node | None, int]:
        """One of the zone's idle connections, else a new one, dealt in turn; and how often it is used yet."""
        kept = self.kept[zone]
        while kept:
            index = self.random.randrange(len(kept))
            kept[index], kept[-1] = kept[-1], kept[index]
            node, uses = kept.pop()
            if self.nodes[node.number] is node:
                return node, uses
        alive = [n for n in self.nodes if n is not None]
        near = [n for n in alive if self.spec.zone_of(f"n{n.number}") == zone] or alive
        if not near:
            return None, 1
        self.turn[zone] += 1
        uses = 1 + int(self.random.expovariate(1 / self.spec.clients.requests_per_connection))
        return near[self.turn[zone] % len(near)], uses

    def _over(self, request: Open, end: End, away: float) -> None:
        wish = request.wish
        self.figures.ends[end.value] += 1
        if end is End.SERVED:
            took, cls = self.now - wish.intended, wish.cls
            part = 1.0 if took <= cls.objective_ms else cls.late_value
            self.figures.worth[int(wish.intended // 100)] += cls.value * part
            self.served += 1
        when = wish.ended(self.now, request.sent, end, away)
        if when is not None:
            self.at(when, request.again)

    def _answer(self, node: Node, ident: str, end: End, away: float) -> None:
        request = node.open.get(ident)
        if request is None or request.answered:
            return
        request.answered = True
        if end is not End.CUT and request.uses > 0:
            self.kept[request.zone].append((node, request.uses))
        self._forget(node, ident)
        self._over(request, end, away)

    def _forget(self, node: Node, ident: str) -> None:
        if all(item.over for item in node.open[ident].tries):
            del node.open[ident]

    def _deadline(self, node: Node, ident: str) -> None:
        """As `run` does: what is out times out, and a request that the module did not answer has failed."""
        request = node.open.get(ident)
        if request is None or request.answered or self.nodes[node.number] is not node:
            return
        for item in request.tries:
            self._outcome(node, item, api.AttemptStatus.TIMEOUT)
        if not request.answered:
            self._answer(node, ident, End.FAILED, 0.0)
            self._event(node, api.ClientDisconnected(ident))

    # --- a node's module

    def _event(self, node: Node, event: api.Event) -> None:
        if self.nodes[node.number] is not node:
            return
        for action in node.balancer.handle(self.now, event):
            match action:
                case api.StartAttempt():
                    self._send(node, action)
                case api.SetTimer():
                    self.at(action.when, partial(self._event, node, api.TimerFired(action.token)))
                case api.RejectRequest():
                    self._answer(node, action.request, End.REFUSED, action.retry_after)
                case api.FailRequest():
                    self._answer(node, action.request, End.FAILED, 0.0)
                case api.CancelAttempt():
                    request = node.open.get(action.request)
                    if request is not None and action.attempt < len(request.tries):
                        self.at(
                            self.now,
                            partial(
                                self._outcome,
                                node,
                                request.tries[action.attempt],
                                api.AttemptStatus.CANCELLED,
                            ),
                        )

    def _way(self, node: Node, host: Host) -> float:
        same = self.spec.zone_of(f"n{node.number}") == self.spec.zone_of(host.name)
        return self.spec.network.same_zone_ms if same else self.spec.network.cross_zone_ms

    def _send(self, node: Node, action: api.StartAttempt) -> None:
        host, request = self.hosts[action.backend], node.open[action.request]
        item = Try(action.request, len(request.tries), host, self.now)
        request.tries.append(item)
        wait, work = self._way(node, host), request.work
        if node.idle[host.name]:
            node.idle[host.name] -= 1
        else:
            wait, work = 3 * wait, work + self.spec.backends.handshake_ms
        if action.timeout:
            self.at(self.now + action.timeout, partial(self._outcome, node, item, api.AttemptStatus.TIMEOUT))
        cls = request.wish.cls
        job = Job(
            action.request,
            node.number,
            work,
            self.now + wait,
            request.deadline,
            request.key,
            cls.memory_span_ms,
        )
        self.at(self.now + wait, partial(self._reach, node, item, job))

    def _reach(self, node: Node, item: Try, job: Job) -> None:
        host, back = item.host, self._way(node, item.host)
        if item.over:  # its connection was closed before it came up
            return
        if not host.alive:
            self.at(self.now + back, partial(self._outcome, node, item, api.AttemptStatus.CONNECT_FAILED))
            return
        was = host.core.toppled
        verdict = host.core.offer(self.now, job)
        if host.core.toppled is not None and was is None:
            self.figures.toppled += 1
            self._topple(host)
        if verdict is not None:
            self.at(self.now + back, partial(self._outcome, node, item, STATUS[verdict]))
        else:
            host.owners[job] = (node, item)
            self._arm(host)

    def _topple(self, host: Host) -> None:
        """It stays down."""
        host.alive = False
        for node, item in list(host.owners.values()):
            self.at(self.now, partial(self._outcome, node, item, api.AttemptStatus.RESET))
        host.owners.clear()

    def _arm(self, host: Host) -> None:
        due = host.core.next_end
        if due is not None and due < host.due:
            host.due = due
            self.at(due, partial(self._advance, host))

    def _advance(self, host: Host) -> None:
        host.due = float("inf")
        if not host.alive:
            return
        for job in host.core.advance(self.now):
            if (owner := host.owners.pop(job, None)) is not None:
                node, item = owner
                node.idle[host.name] += 1
                done = partial(self._outcome, node, item, STATUS[job.verdict])
                self.at(self.now + self._way(node, host), done)
        self._arm(host)

    def _outcome(self, node: Node, item: Try, status: api.AttemptStatus) -> None:
        if item.over or self.nodes[node.number] is not node:
            return
        item.over = True
        request = node.open[item.request]
        if status is api.AttemptStatus.OK:
            self._answer(node, item.request, End.SERVED, 0.0)
        if request.answered and item.request in node.open:
            self._forget(node, item.request)
        self._event(
            node,
            api.AttemptEnded(
                item.request, item.number, item.host.name, status, self.now - item.sent, request.answered
            ),
        )
