"""Simulation of the request path in virtual time: clients, nodes and backends without sockets.

Nodes run the production `Balancer`; backends and clients are those of `balancer.models`. The network model
is simple: delays between parties are constant, a new connection to a backend costs a round trip and the work
of a handshake, front-end proxies know immediately which nodes serve, and client connections are persistent.
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

# Nodes answer a request at least 10 ms before the client's deadline.
RESPONSE_MARGIN_MS = 10.0
STATUS_BY_VERDICT = {
    Verdict.SERVED: api.AttemptStatus.OK,
    Verdict.REPEATED: api.AttemptStatus.OK,
    Verdict.ERROR: api.AttemptStatus.ERROR,
    Verdict.REJECTED: api.AttemptStatus.REJECTED,
    Verdict.EXPIRED: api.AttemptStatus.REJECTED,
    Verdict.RESET: api.AttemptStatus.RESET,
}


@dataclass
class Figures:
    """Results of a simulation; the keys of values, capacity and work are tenths of a second.

    Value is in the experiment's unit. Capacity and requested work are in ms of work, `node_back_ms` holds the
    times at which nodes serve again.
    """

    value_served: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    value_requested: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    capacity_by_tenth: dict[int, float] = field(default_factory=dict)
    work_requested: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    collapsed: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    node_back_ms: list[float] = field(default_factory=list)

    def goodput(self, begin: float, end: float) -> float:
        """Return the served share of the value that the capacity allowed, from second `begin` to `end`."""
        tenths = range(int(begin * 10), int(end * 10))
        capacity_share = {
            t: min(1.0, self.capacity_by_tenth.get(t, 0.0) / max(self.work_requested[t], 1e-9))
            for t in tenths
        }
        possible_value = sum(self.value_requested[t] * capacity_share[t] for t in tenths)
        return sum(self.value_served[t] for t in tenths) / possible_value if possible_value else 1.0

    def until(self, share: float, begin: float) -> float:
        """Return the seconds from `begin` until a half second's served value is `share` of the demand."""
        t, last = int(begin * 10), max(self.value_requested, default=0)
        while t + 5 <= last:
            half = range(t, t + 5)
            if sum(self.value_served[i] for i in half) >= share * sum(self.value_requested[i] for i in half):
                return t / 10 - begin
            t += 1
        return float("inf")


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that a node has sent to a backend."""

    request: str
    number: int
    host: BackendHost
    sent: float
    ended: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request in progress at a node.

    `send_retry` sends the client's next attempt. The client connection is kept for `remaining_uses` further
    requests.
    """

    operation: Operation
    row: int
    sent: float
    deadline: float
    work: float
    key: str
    send_retry: Callable[[], None]
    zone: str
    remaining_uses: int
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


@dataclass(eq=False)
class BackendHost:
    """A backend with its attempts in progress and its scheduled event."""

    core: Backend
    name: str
    alive: bool = True
    owners: dict[Job, tuple[NodeProcess, Attempt]] = field(default_factory=dict)
    timer_at: float = float("inf")


@dataclass(eq=False)
class NodeProcess:
    """A process of a node, with the number of its idle connections to each backend.

    `demand` is the published number of requests in the last second, `arrived` that of the current second.
    """

    number: int
    balancer: Balancer
    incarnation: int
    open: dict[str, OpenRequest] = field(default_factory=dict)
    demand: float = 0.0
    arrived: int = 0
    idle: Counter[str] = field(default_factory=Counter)


class RequestSimulation(EventScheduler):
    """Simulation of an experiment's nodes, backends and clients; times are ms since the start."""

    def __init__(self, spec: Experiment, seed: int) -> None:
        """Draw the backends' speeds; no node is started yet."""
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
        """Send an operation's next attempt from a client in a zone."""
        step = operation.begin_attempt(self.now)
        self.request_count += 1
        key = f"k{first}" if operation.cls.effect == "dedup" else ""
        send_retry = partial(self.send_attempt, operation, row, zone, work, first)
        node, uses = self._connection(zone)
        request = OpenRequest(operation, row, self.now, step.deadline, work, key, send_retry, zone, uses - 1)
        if node is None:
            self._finish_attempt(request, Outcome.UNREACHABLE, 0.0)
            return
        request_id = f"{self.request_count:016x}"
        node.open[request_id] = request
        node.arrived += 1
        self.handle_event(
            node,
            api.RequestArrived(request_id, operation.cls.name, step.deadline, step.number > 0, key or None),
        )
        self.at(step.deadline - RESPONSE_MARGIN_MS, partial(self._deadline, node, request_id))

    def _connection(self, zone: str) -> tuple[NodeProcess | None, int]:
        """Return the node and remaining uses of a client connection of the zone: an idle or a new one."""
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
        self.figures.outcomes[end.value] += 1
        if end is Outcome.SERVED:
            took, cls = self.now - operation.intended_at, operation.cls
            part = 1.0 if took <= cls.objective_ms else cls.late_value
            self.figures.value_served[int(operation.intended_at // 100)] += cls.value * part
            self.served += 1
        when = operation.next_attempt_at(self.now, request.sent, end, retry_after_ms)
        if when is not None:
            self.at(when, request.send_retry)

    def answer(self, node: NodeProcess, request_id: str, end: Outcome, retry_after_ms: float) -> None:
        """Answer a request unless it has been answered, and keep its connection if it can be reused."""
        request = node.open.get(request_id)
        if request is None or request.answered:
            return
        request.answered = True
        if end is not Outcome.DISCONNECTED and request.remaining_uses > 0:
            self.idle_connections[request.zone].append((node, request.remaining_uses))
        self._forget(node, request_id)
        self._finish_attempt(request, end, retry_after_ms)

    def _forget(self, node: NodeProcess, request_id: str) -> None:
        if all(attempt.ended for attempt in node.open[request_id].attempts):
            del node.open[request_id]

    def _deadline(self, node: NodeProcess, request_id: str) -> None:
        """Time out the attempts in flight and fail an unanswered request, as a production node does."""
        request = node.open.get(request_id)
        if request is None or request.answered or self.nodes[node.number] is not node:
            return
        for attempt in request.attempts:
            self._outcome(node, attempt, api.AttemptStatus.TIMEOUT)
        if not request.answered:
            self.answer(node, request_id, Outcome.FAILED, 0.0)
            self.handle_event(node, api.ClientDisconnected(request_id))

    # --- nodes

    def handle_event(self, node: NodeProcess, event: api.Event) -> None:
        """Pass an event to a node's balancer, and carry out the actions that it returns."""
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
        attempt = Attempt(action.request, len(request.attempts), host, self.now)
        request.attempts.append(attempt)
        wait, work = self._delay_ms(node, host), request.work
        if node.idle[host.name]:
            node.idle[host.name] -= 1
        else:
            wait, work = 3 * wait, work + self.spec.backends.handshake_ms
        if action.timeout_ms:
            self.at(
                self.now + action.timeout_ms, partial(self._outcome, node, attempt, api.AttemptStatus.TIMEOUT)
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
        self.at(self.now + wait, partial(self._arrive, node, attempt, job))

    def _arrive(self, node: NodeProcess, attempt: Attempt, job: Job) -> None:
        host, back = attempt.host, self._delay_ms(node, attempt.host)
        # An attempt that ended while its connection was being opened never reaches the backend.
        if attempt.ended:
            return
        if not host.alive:
            self.at(self.now + back, partial(self._outcome, node, attempt, api.AttemptStatus.CONNECT_FAILED))
            return
        collapse_before = host.core.collapse
        verdict = host.core.offer(self.now, job)
        if host.core.collapse is not None and collapse_before is None:
            self.figures.collapsed += 1
            self._collapse(host)
        if verdict is not None:
            self.at(self.now + back, partial(self._outcome, node, attempt, STATUS_BY_VERDICT[verdict]))
        else:
            host.owners[job] = (node, attempt)
            self._arm(host)

    def _collapse(self, host: BackendHost) -> None:
        """Stop a collapsed backend permanently, and reset its attempts in progress."""
        host.alive = False
        for node, attempt in list(host.owners.values()):
            self.at(self.now, partial(self._outcome, node, attempt, api.AttemptStatus.RESET))
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
                node, attempt = owner
                node.idle[host.name] += 1
                done = partial(self._outcome, node, attempt, STATUS_BY_VERDICT[job.verdict])
                self.at(self.now + self._delay_ms(node, host), done)
        self._arm(host)

    def _outcome(self, node: NodeProcess, attempt: Attempt, status: api.AttemptStatus) -> None:
        if attempt.ended or self.nodes[node.number] is not node:
            return
        attempt.ended = True
        request = node.open[attempt.request]
        if status is api.AttemptStatus.OK:
            self.answer(node, attempt.request, Outcome.SERVED, 0.0)
        if request.answered and attempt.request in node.open:
            self._forget(node, attempt.request)
        self.handle_event(
            node,
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.host.name,
                status,
                self.now - attempt.sent,
                request.answered,
            ),
        )
