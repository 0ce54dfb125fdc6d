"""The path of a request in virtual time: clients, nodes and backends without sockets.

The nodes are `Balancer` objects as in production, backends and clients are those of `balancer.models`. The
network is simple: a constant delay between parties, a round trip and the work of a handshake for a new
connection to a backend, front-end proxies that know at once which nodes serve, persistent client connections.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from balancer import interface as api
from balancer.experiments.experiment import Experiment
from balancer.experiments.random_streams import random_stream
from balancer.models.backend import Backend, Job, Verdict
from balancer.models.client import Operation, Outcome
from balancer.policy import Balancer
from balancer.sim.scheduler import EventScheduler

ANSWER_MARGIN_MS = 10.0  # before its client's deadline, at which a node answers at the latest
STATUS = {
    Verdict.SERVED: api.AttemptStatus.OK,
    Verdict.REPEATED: api.AttemptStatus.OK,
    Verdict.ERROR: api.AttemptStatus.ERROR,
    Verdict.REJECTED: api.AttemptStatus.REJECTED,
    Verdict.EXPIRED: api.AttemptStatus.REJECTED,
    Verdict.RESET: api.AttemptStatus.RESET,
}


@dataclass
class Figures:
    """The results of a simulation; value and work are in the units of the experiment."""

    value_served: defaultdict[int, float] = field(
        default_factory=lambda: defaultdict(float)
    )  # by tenth of a second
    value_asked: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    capacity_by_tenth: dict[int, float] = field(default_factory=dict)  # ms of work
    work: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))  # that is wanted
    collapsed: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    back: list[float] = field(default_factory=list)  # ms at which each node serves again

    def goodput(self, begin: float, end: float) -> float:
        """Return the value served over what available capacity could serve, from second `begin` to `end`."""
        tenths = range(int(begin * 10), int(end * 10))
        bears = {t: min(1.0, self.capacity_by_tenth.get(t, 0.0) / max(self.work[t], 1e-9)) for t in tenths}
        could = sum(self.value_asked[t] * bears[t] for t in tenths)
        return sum(self.value_served[t] for t in tenths) / could if could else 1.0

    def until(self, share: float, begin: float) -> float:
        """Return the seconds after `begin` until half a second's value is a `share` of the demand."""
        t, last = int(begin * 10), max(self.value_asked, default=0)
        while t + 5 <= last:
            half = range(t, t + 5)
            if sum(self.value_served[i] for i in half) >= share * sum(self.value_asked[i] for i in half):
                return t / 10 - begin
            t += 1
        return float("inf")


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: str
    number: int
    host: BackendHost
    sent: float
    ended: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that a node has in progress."""

    operation: Operation
    row: int
    sent: float
    deadline: float
    work: float
    key: str
    send_retry: Callable[[], None]  # sends the client's next attempt
    zone: str
    uses: int  # requests for which its connection is kept after this one
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


@dataclass(eq=False)
class BackendHost:
    """A backend with its state in the simulation."""

    core: Backend
    name: str
    alive: bool = True
    owners: dict[Job, tuple[NodeProcess, Attempt]] = field(default_factory=dict)
    timer_at: float = float("inf")


@dataclass(eq=False)
class NodeProcess:
    """One process of a node."""

    number: int
    balancer: Balancer
    incarnation: int
    open: dict[str, OpenRequest] = field(default_factory=dict)
    demand: float = 0.0  # requests in the last second, as all nodes know it
    arrived: int = 0
    idle: Counter[str] = field(default_factory=Counter)  # connections to each backend


class RequestSimulation(EventScheduler):
    """The nodes, backends and clients of an experiment; times are ms since its begin."""

    def __init__(self, spec: Experiment, seed: int) -> None:
        """Draw the backends; no node is started."""
        super().__init__(0.0)
        self.spec, self.seed = spec, seed
        self.random = random.Random(f"service {seed}")
        self.figures = Figures()
        speeds = random_stream(seed, "speeds").uniform(*spec.backends.speed, spec.backends.count).tolist()
        self.hosts = {
            name: BackendHost(
                Backend(spec.backends, spec.rules, speeds[i], {}, random_stream(seed, "backend", i)), name
            )
            for i, name in enumerate(spec.backend_names)
        }
        self.nodes: list[NodeProcess | None] = [None] * spec.fleet.nodes
        self.served = 0
        self.round_robin: Counter[str] = Counter()
        self.idle_connections: dict[str, list[tuple[NodeProcess, int]]] = {
            zone: [] for zone in spec.fleet.zones
        }
        self.request_count = 0

    # --- clients

    def send_attempt(self, operation: Operation, row: int, zone: str, work: float, first: str) -> None:
        """Send an operation's next attempt from a zone."""
        step = operation.begin(self.now)
        self.request_count += 1
        key = f"k{first}" if operation.cls.effect == "dedup" else ""
        send_retry = partial(self.send_attempt, operation, row, zone, work, first)
        node, uses = self._connection(zone)
        request = OpenRequest(operation, row, self.now, step.deadline, work, key, send_retry, zone, uses - 1)
        if node is None:
            self._finish_attempt(request, Outcome.UNREACHABLE, 0.0)
            return
        ident = f"{self.request_count:016x}"
        node.open[ident] = request
        node.arrived += 1
        self.handle_event(
            node, api.RequestArrived(ident, operation.cls.name, step.deadline, step.number > 0, key or None)
        )
        self.at(step.deadline - ANSWER_MARGIN_MS, partial(self._deadline, node, ident))

    def _connection(self, zone: str) -> tuple[NodeProcess | None, int]:
        """Return the node of an idle connection of the zone, or of a new one, and its remaining uses."""
        idle_connections = self.idle_connections[zone]
        while idle_connections:
            index = self.random.randrange(len(idle_connections))
            idle_connections[index], idle_connections[-1] = idle_connections[-1], idle_connections[index]
            node, uses = idle_connections.pop()
            if self.nodes[node.number] is node:
                return node, uses
        alive = [n for n in self.nodes if n is not None]
        near = [n for n in alive if self.spec.zone_of(f"n{n.number}") == zone] or alive
        if not near:
            return None, 1
        self.round_robin[zone] += 1
        uses = 1 + int(self.random.expovariate(1 / self.spec.clients.requests_per_connection))
        return near[self.round_robin[zone] % len(near)], uses

    def _finish_attempt(self, request: OpenRequest, end: Outcome, retry_after_ms: float) -> None:
        operation = request.operation
        self.figures.ends[end.value] += 1
        if end is Outcome.SERVED:
            took, cls = self.now - operation.intended, operation.cls
            part = 1.0 if took <= cls.objective_ms else cls.late_value
            self.figures.value_served[int(operation.intended // 100)] += cls.value * part
            self.served += 1
        when = operation.ended(self.now, request.sent, end, retry_after_ms)
        if when is not None:
            self.at(when, request.send_retry)

    def answer(self, node: NodeProcess, ident: str, end: Outcome, retry_after_ms: float) -> None:
        """Answer a request once, and keep its connection."""
        request = node.open.get(ident)
        if request is None or request.answered:
            return
        request.answered = True
        if end is not Outcome.DISCONNECTED and request.uses > 0:
            self.idle_connections[request.zone].append((node, request.uses))
        self._forget(node, ident)
        self._finish_attempt(request, end, retry_after_ms)

    def _forget(self, node: NodeProcess, ident: str) -> None:
        if all(item.ended for item in node.open[ident].attempts):
            del node.open[ident]

    def _deadline(self, node: NodeProcess, ident: str) -> None:
        """Time out attempts in flight and fail an unanswered request, as the production node does."""
        request = node.open.get(ident)
        if request is None or request.answered or self.nodes[node.number] is not node:
            return
        for item in request.attempts:
            self._outcome(node, item, api.AttemptStatus.TIMEOUT)
        if not request.answered:
            self.answer(node, ident, Outcome.FAILED, 0.0)
            self.handle_event(node, api.ClientDisconnected(ident))

    # --- a node's module

    def handle_event(self, node: NodeProcess, event: api.Event) -> None:
        """Give a node's module an event and carry out its actions."""
        if self.nodes[node.number] is not node:
            return
        for action in node.balancer.handle(self.now, event):
            match action:
                case api.StartAttempt():
                    self._send(node, action)
                case api.SetTimer():
                    self.at(action.fires_at, partial(self.handle_event, node, api.TimerFired(action.token)))
                case api.RejectRequest():
                    self.answer(node, action.request, Outcome.REJECTED, action.retry_after_ms)
                case api.FailRequest():
                    self.answer(node, action.request, Outcome.FAILED, 0.0)
                case api.CancelAttempt():
                    request = node.open.get(action.request)
                    if request is not None and action.attempt < len(request.attempts):
                        self.at(
                            self.now,
                            partial(
                                self._outcome,
                                node,
                                request.attempts[action.attempt],
                                api.AttemptStatus.CANCELLED,
                            ),
                        )

    def _delay_ms(self, node: NodeProcess, host: BackendHost) -> float:
        same = self.spec.zone_of(f"n{node.number}") == self.spec.zone_of(host.name)
        return self.spec.network.same_zone_ms if same else self.spec.network.cross_zone_ms

    def _send(self, node: NodeProcess, action: api.StartAttempt) -> None:
        host, request = self.hosts[action.backend], node.open[action.request]
        item = Attempt(action.request, len(request.attempts), host, self.now)
        request.attempts.append(item)
        wait, work = self._delay_ms(node, host), request.work
        if node.idle[host.name]:
            node.idle[host.name] -= 1
        else:
            wait, work = 3 * wait, work + self.spec.backends.handshake_ms
        if action.timeout_ms:
            self.at(
                self.now + action.timeout_ms, partial(self._outcome, node, item, api.AttemptStatus.TIMEOUT)
            )
        cls = request.operation.cls
        job = Job(
            action.request,
            node.number,
            work,
            self.now + wait,
            request.deadline,
            request.key,
            cls.memory_span_ms,
        )
        self.at(self.now + wait, partial(self._arrive, node, item, job))

    def _arrive(self, node: NodeProcess, item: Attempt, job: Job) -> None:
        host, back = item.host, self._delay_ms(node, item.host)
        if item.ended:  # its connection was closed before it came up
            return
        if not host.alive:
            self.at(self.now + back, partial(self._outcome, node, item, api.AttemptStatus.CONNECT_FAILED))
            return
        was = host.core.collapsed
        verdict = host.core.offer(self.now, job)
        if host.core.collapsed is not None and was is None:
            self.figures.collapsed += 1
            self._collapse(host)
        if verdict is not None:
            self.at(self.now + back, partial(self._outcome, node, item, STATUS[verdict]))
        else:
            host.owners[job] = (node, item)
            self._arm(host)

    def _collapse(self, host: BackendHost) -> None:
        """Take a collapsed backend down for good."""
        host.alive = False
        for node, item in list(host.owners.values()):
            self.at(self.now, partial(self._outcome, node, item, api.AttemptStatus.RESET))
        host.owners.clear()

    def _arm(self, host: BackendHost) -> None:
        timer_at = host.core.next_end
        if timer_at is not None and timer_at < host.timer_at:
            host.timer_at = timer_at
            self.at(timer_at, partial(self._advance, host))

    def _advance(self, host: BackendHost) -> None:
        host.timer_at = float("inf")
        if not host.alive:
            return
        for job in host.core.advance(self.now):
            if (owner := host.owners.pop(job, None)) is not None:
                node, item = owner
                node.idle[host.name] += 1
                done = partial(self._outcome, node, item, STATUS[job.verdict])
                self.at(self.now + self._delay_ms(node, host), done)
        self._arm(host)

    def _outcome(self, node: NodeProcess, item: Attempt, status: api.AttemptStatus) -> None:
        if item.ended or self.nodes[node.number] is not node:
            return
        item.ended = True
        request = node.open[item.request]
        if status is api.AttemptStatus.OK:
            self.answer(node, item.request, Outcome.SERVED, 0.0)
        if request.answered and item.request in node.open:
            self._forget(node, item.request)
        self.handle_event(
            node,
            api.AttemptEnded(
                item.request, item.number, item.host.name, status, self.now - item.sent, request.answered
            ),
        )
