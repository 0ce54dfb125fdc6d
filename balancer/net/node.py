"""Drives the decision module: events in, actions out, open requests, attempts, timers, the one answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import os
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net.bans import Bans, stem
from balancer.net.config import Config
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.endpoint_updater import EndpointUpdater
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.figures import End, Figures
from balancer.net.request_log import RequestLog
from balancer.net.stream import Budget, Upload
from balancer.net.upstream import Answer, Attempt, Connection, Pool, Sink
from balancer.policy import Balancer

log = logging.getLogger(__name__)

PULSE = 1.0  # s between two looks at the event loop's lag
REPORT_EVERY = 5  # pulses between two lines of counts
AGAIN = 0.25  # s between two looks whether an answer that takes longer than its request's time comes
MARGIN = 10.0  # ms before a client's limit at which the last answer is due: it counted from its own send


class Client(Protocol):
    """Whoever waits for the answer of one request."""

    @property
    def left(self) -> bool:
        """Whether it has left unseen, as nothing is read from it now."""

    def served(self, body: bytes, content_type: bytes) -> None:
        """Pass on a backend's answer."""

    def refused(self, retry_after: float) -> None:
        """Turn the request away; `retry_after` is in milliseconds, 0 for no advice."""

    def failed(self) -> None:
        """Say that the request failed, or break off the long answer that has begun."""

    def begin(self, source: Connection, size: int | None, content_type: bytes) -> None:
        """Pass on a long answer as it comes from `source`, by `feed`."""

    def feed(self, data: bytes) -> None:
        """A piece of the long answer."""

    def finish(self) -> None:
        """The long answer is whole."""


class Rooms(Protocol):
    """What the fleet's rooms tell the node, and what it tells them."""

    def stats(self) -> dict[str, object]:
        """Their part of the figures."""

    def listed(self, news: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Discovery has told the list, or a change of it."""

    def unchanged(self) -> None:
        """Discovery has said, before any news, that the list in force is the one that it has."""

    def learned(self, what: Callable[[float], api.LearnedState], now: float) -> None:
        """What the module has learned may be had; asked for now and then."""

    async def banned(self, backend: str, out: bool, at: float, changes: bool) -> None:
        """Returns once a ban or a return will outlast a crash, where that is wanted. Raises BalancerError.

        `changes`: whether it is another word than the one in force.
        """

    def list_failed(self) -> None:
        """A call of discovery has ended, or came to nothing."""

    def waiting(self) -> str:
        """Why the node does not listen yet; empty where that is not for its rooms."""


class Watcher(Protocol):
    """What brings the list."""

    def watch(self, on: bool) -> None:
        """Start or stop to watch."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Open:
    """A request that is owed an answer, or has an attempt out."""

    __slots__ = (
        "answered", "attempts", "class_name", "client", "deadline", "limit", "render", "streaming", "upload",
        "wait",
    )  # fmt: skip

    def __init__(
        self, client: Client, class_name: str, deadline: float, render: Callable[[float], bytes],
        upload: Upload | None,
    ) -> None:  # fmt: skip
        self.client, self.class_name, self.deadline, self.render = client, class_name, deadline, render
        self.upload = upload  # a long body; `deadline` holds once it is in
        self.wait = 0.0  # ms that the client gives from then on
        self.streaming = False  # a long answer has begun
        self.attempts: list[Try] = []
        self.answered = False
        self.limit: asyncio.TimerHandle | None = None

    @property
    def arriving(self) -> bool:
        """Whether its body still comes in."""
        return self.upload is not None and not self.upload.complete


class Try:
    """One attempt with its clock."""

    __slots__ = ("attempt", "backend", "number", "over", "request", "sent", "status", "stop", "timer")

    def __init__(self, request: str, number: int, backend: str, sent: float) -> None:
        self.request, self.number, self.backend, self.sent = request, number, backend, sent
        self.attempt: Attempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stop = 0.0  # ms the module gives it; 0: until the client's time is up
        self.over = False
        self.status: api.AttemptStatus | None = None  # how it ended


class Node:
    """One load-balancer node around one `Balancer`. It carries out decisions and makes none."""

    def __init__(self, config: Config) -> None:
        self._take(config)
        self.balancer = Balancer(config.settings, config.seed)
        self.loop = asyncio.get_running_loop()
        # The clock is monotonic and set to Unix time once, at the start: it can read `up_since_ms` as it is.
        self._zero = time.time() * 1000 - time.monotonic() * 1000
        self.figures = Figures()
        self.meeting = stem(os.environ, "{}:{}".format(*config.listen))
        self.bans = Bans(self.meeting, self.maintain)
        self.budget = Budget(config.memory_mb)
        self.pool = Pool(config.settings, config.limits_per_process(1)[1], self.figures, self.budget)
        self.turns = CooperativeScheduler(self.loop)
        self.listing = EndpointUpdater(self.pool, self.event, self._listed, self.turns)
        self.open: dict[str, Open] = {}
        self.discovery: Watcher | None = None
        self.fleet: Rooms | None = None
        self.ready = self.listening = self.stopping = self.succeeded = False
        self.list_failures = False  # told to the module since discovery last said that nothing is new
        self.fresh = asyncio.Event()  # discovery has told of the list
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._drained: Callable[[], None] = lambda: None
        self.counts: Counter[str] = Counter()  # since the last line of counts
        self.requests = RequestLog(self.loop.time)
        self.revision = config.known.revision  # of the list
        self.heard_at = -math.inf  # s: discovery's last word
        self._lag = 0.0  # s: the latest pulse since then
        self._pulses = 0

    def _take(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.classes = {c.name: c for c in config.settings.classes}

    def reconfigure(self, config: Config) -> None:
        """Take a configuration that has replaced the one in force."""
        self._take(config)
        self.pool.configure(config.settings)
        self.event(api.Reconfigured(config.settings))
        self.figures.reloads += 1

    def pulse(self, due: float) -> None:
        """Watch the event loop's lag; now and then log what was done, while there was something to do."""
        now = self.loop.time()
        self._lag, self._pulses = max(self._lag, now - due), self._pulses + 1
        if self.fleet is not None:
            self.fleet.learned(self.balancer.learned, self.now())
        if self._pulses >= REPORT_EVERY and self.counts:
            self.counts += Counter({f"closed_{why.value}": n for why, n in self.pool.closes.items()})
            self.pool.closes.clear()
            text = " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
            log.info("counts: %s open=%d upstream=%d lag_ms=%.0f revision=%d heard_s=%.1f %s", text,
                     len(self.open), self.pool.count, self._lag * 1000, self.revision, now - self.heard_at,
                     self.balancer.gauge())  # fmt: skip
            self.counts.clear()
            self._lag, self._pulses = 0.0, 0
        self.loop.call_at(now + PULSE, self.pulse, now + PULSE)

    def now(self) -> float:
        """Milliseconds; never goes back."""
        return self._zero + time.monotonic() * 1000

    # --- events

    def event(self, event: api.Event) -> None:
        """Hand an event to the module and do what it says. Events made meanwhile wait for their turn."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._busy = False

    def _decide(self, event: api.Event) -> None:
        try:
            for action in self.balancer.handle(self.now(), event):
                self._act(action)
        except Exception:  # guards against one bad request ending the node with all the others
            log.exception("decision on %s failed", type(event).__name__)
            self._abandon(getattr(event, "request", ""))

    def _abandon(self, name: str) -> None:
        if (request := self.open.get(name)) is None:
            return
        self._answer(name, End.FAILED, lambda client: client.failed())
        self.event(api.ClientDisconnected(name))
        self._call_off(request, True)

    def arrival(
        self, event: api.RequestArrived, client: Client, render: Callable[[float], bytes],
        upload: Upload | None = None,
    ) -> None:  # fmt: skip
        """A client's request has come; `render` gives its bytes for a backend, told for how long.

        With an `upload` these are the bytes of its head, and its time starts with `arrived`.
        """
        self.counts["taken"] += 1
        request = self.open[event.request] = Open(
            client, event.class_name, event.deadline - MARGIN, render, upload
        )
        request.wait = request.deadline - self.now()
        if upload is None:
            self._limit(event.request, request)
        self.event(event)

    def arrived(self, name: str, deadline: float) -> None:
        """The last byte of a long body is in."""
        if (request := self.open.get(name)) is None or request.answered or request.streaming:
            return
        request.deadline, now = deadline - MARGIN, self.now()
        self._limit(name, request)
        for item in request.attempts:
            if not item.over:
                item.sent = now
                self._clock(item, request)
        self.event(api.RequestBodyReceived(name, deadline))

    def _limit(self, name: str, request: Open) -> None:
        wait = max(0.0, request.deadline - self.now()) / 1000
        request.limit = self.loop.call_later(wait, self._deadline, name)

    def _clock(self, item: Try, request: Open) -> float:
        """Start an attempt's clock; returns the milliseconds it has."""
        left = request.wait if request.arriving else request.deadline - self.now()
        wait = min(item.stop, left) if item.stop else left
        if wait > 0 and not request.arriving:
            item.timer = self.loop.call_later(wait / 1000, self._timeout, item)
        return wait

    def full(self) -> bool:
        """Whether the node holds as many requests as it may."""
        return len(self.open) >= self.settings.max_open

    def over_cap(self, class_name: str) -> None:
        """A request was turned away before it was taken, as there is no room for it."""
        self.counts["over_cap"] += 1
        self.figures.ended(End.REJECTED, class_name)

    # --- for the operators

    def health(self) -> str:
        """Why the process is not ready to serve; empty where it is."""
        if self.stopping:
            return "stopping"
        if self.listening:
            return "" if self.up else "no backends are known"
        return (self.fleet.waiting() if self.fleet is not None else "") or "starting"

    @property
    def up(self) -> bool:
        """Whether the node serves: on an upgrade it goes on doing so, whichever of the two is asked."""
        return self.ready and self.listening and (self.succeeded or not self.stopping)

    async def operate(self, backend: str, out: bool) -> bool:
        """Take a backend out or put it back; False where it was never listed. Raises BalancerError."""
        if not self.balancer.listed(backend) and not self.bans.known(backend):
            return False
        now = self.now()
        changes = out != (backend in self.bans.record.out)
        if self.fleet is not None:
            await self.fleet.banned(backend, out, now, changes)
        try:
            await self.bans.change(backend, out, now, self.settings.slow_start_ms)
        except BalancerError:
            if self.fleet is not None and changes:  # the answer is no: no later process may think otherwise
                with contextlib.suppress(BalancerError):
                    await self.fleet.banned(backend, not out, now, changes)
            raise
        return True

    def stats(self) -> dict[str, object]:
        """The figures, as they are now."""
        out = self.figures.table(list(self.classes)) | {
            "pending": sum(not request.answered for request in self.open.values()),
            "members": len(self.pool.members),
            "members_unavailable": self.balancer.unavailable(self.now()),
        }
        return out if self.fleet is None else out | {"fleet": self.fleet.stats()}

    def gone(self, name: str) -> None:
        """The client has left."""
        if (request := self.open.get(name)) is not None and not request.answered:
            self.counts["left" if request.attempts else "left_unsent"] += 1
            long = request.streaming or request.arriving
            self._close(name, request)
            self.event(api.ClientDisconnected(name))
            self._call_off(request, long)  # nothing bounds the time of what a long one would leave behind

    def _call_off(self, request: Open, begun: bool) -> None:
        """No answer is owed any more: what has not left whole does not; what has ends only where asked.

        Guards, beside a request that begins for nobody, against a body whose rest was thrown away with its
        client: its end would be told as if that had been all of it.
        """
        for item in request.attempts:
            runs = item.attempt is not None and item.attempt.left
            if not item.over and (begun or not runs):
                self._stop(item)
                self._outcome(
                    item, Answer(api.AttemptStatus.CANCELLED if runs else api.AttemptStatus.NOT_STARTED)
                )

    def held(self, name: str) -> Member | None:
        """What is in force of a backend."""
        return self.pool.members.get(name)

    def list(self, news: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """The list, or a change of it."""
        if kind is not api.ListUpdateKind.CACHED:
            self.revision, self.heard_at = news.revision, self.loop.time()
        self.listing.put(news, kind)

    def unchanged(self) -> None:
        """Discovery says that nothing has changed, which is news too."""
        self.heard_at = self.loop.time()
        self.listing.put(None, api.ListUpdateKind.DELTA)

    def _listed(self, news: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        """News are in force."""
        if news is None:
            if self.list_failures:  # the module is to know that discovery answers, though nothing is new
                self.list_failures = False
                self.event(api.ListUpdate(api.ListUpdateKind.DELTA, []))
            if not self.fresh.is_set() and self.fleet is not None:
                self.fleet.unchanged()
            self.fresh.set()
            return
        if kind is not api.ListUpdateKind.CACHED:
            self.fresh.set()
            if self.fleet is not None:
                self.fleet.listed(news, kind)
        self.ready = self.ready or self.pool.listed > 0

    def maintain(self, backend: str, out: bool, since: float) -> None:
        """The operators take a backend out, or have put it back at the time `since`."""
        log.info("maintenance: %s %s", backend, "is out" if out else "is back")
        self.pool.ban(backend, out)
        self.event(api.MaintenanceChanged(backend, out, since))

    def list_failed(self, reached: bool = False, queued: bool = False) -> None:
        """A call that the module asked for has failed; see `api.CallFailure`."""
        self.list_failures = True
        silent_ms = (self.loop.time() - self.heard_at) * 1000
        failure = api.DiscoveryFailure(silent_ms, reached, queued)
        self.event(api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure))

    async def finish(self, wait: float) -> None:
        """Wait until all that was taken is answered, `wait` seconds at most, then fail the rest.

        A long answer that is still under way then ends as broken: SIGKILL would do no better by it.
        """
        done = asyncio.Event()
        self._drained = done.set
        if self.open:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(done.wait(), wait)
        for name in list(self.open):
            self._abandon(name)

    # --- actions

    def _act(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(action)
            case api.SetTimer():
                wait = max(0.0, action.when - self.now()) / 1000
                self.loop.call_later(wait, self.event, api.TimerFired(action.token))
            case api.RejectRequest():
                self.counts["refused"] += 1
                self._unserved(action.request, "refused", action.reason)
                self._answer(action.request, End.REJECTED, lambda client: client.refused(action.retry_after))
            case api.FailRequest():
                self.counts["failed"] += 1
                self._unserved(action.request, "failed", action.reason)
                self._answer(action.request, End.FAILED, lambda client: client.failed())
            case api.CancelAttempt():
                self._cancel(action)
            case api.CloseIdleConnections():
                self.pool.close_idle(action.backend)
            case api.WatchEndpoints() if self.discovery is not None:
                self.discovery.watch(action.on)
            case api.FetchEndpoints() if self.discovery is not None:
                self.discovery.fetch()
            case api.WriteLog():
                log.info("%s", action.text)
            case _:
                log.error("not carried out: %r", action)

    def _unserved(self, name: str, answer: str, reason: str) -> None:
        request = self.open.get(name)
        self.requests.unserved(name, answer, reason, len(request.attempts) if request else 0)

    def _send(self, action: api.StartAttempt) -> None:
        request, now = self.open.get(action.request), self.now()
        number = len(request.attempts) if request else 0
        item = Try(action.request, number, action.backend, now)
        if request is None:
            self._outcome(item, Answer(api.AttemptStatus.NOT_STARTED))
            return
        if request.attempts and (before := request.attempts[-1].status) is not None:
            self.requests.sent_again(action.request, number, action.backend, before)
        request.attempts.append(item)
        item.stop = action.timeout
        wait = self._clock(item, request)
        spent = request.upload is not None and request.upload.spent
        if (
            spent
            or action.backend not in self.pool.members
            or wait <= 0
            or 0 < action.before <= now
            or not self._wanted(action.request, request)
        ):
            if not item.over:  # else called off with its request
                self._outcome(item, Answer(api.AttemptStatus.NOT_STARTED))
            return
        item.attempt = self.pool.start(
            action.backend, request.render(wait), partial(self._outcome, item),
            partial(self._begin, item), request.upload, partial(self._wanted, action.request, request),
        )  # fmt: skip
        if item.over:
            item.attempt = None
        elif action.before:
            self.loop.call_later((action.before - now) / 1000, self._too_late, item)

    def _too_late(self, item: Try) -> None:
        """From now on a backend might take a repeat for a new request: what has not left stays here."""
        if not item.over and (item.attempt is None or not item.attempt.left):
            self._stop(item)
            self._outcome(item, Answer(api.AttemptStatus.NOT_STARTED))

    def _wanted(self, name: str, request: Open) -> bool:
        """Whether an answer is still owed; looks at a client that would not be seen to leave."""
        if not request.answered and request.client.left:
            self.gone(name)
        return not request.answered

    def _begin(self, item: Try, source: Connection, size: int | None, content_type: bytes) -> Sink | None:
        """A long answer begins: from here on it has all the time that it goes on, as long as it does come."""
        request = self.open.get(item.request)
        if request is None or request.answered:
            return None
        if item.timer is not None:
            item.timer.cancel()
        if request.limit is None:  # its body still comes in, and nobody wants the rest of that
            request.deadline = self.now() + request.wait
            self._limit(item.request, request)
        request.streaming = True
        request.client.begin(source, size, content_type)
        took = self.now() - item.sent
        self.event(api.ResponseStarted(item.request, item.number, item.backend, took))
        return request.client

    def _timeout(self, item: Try) -> None:
        if item.over:
            return
        left = item.attempt is not None and item.attempt.left
        self._stop(item)
        # A connection that was still coming up when the time ran out carried nothing: it never ran.
        self._outcome(item, Answer(api.AttemptStatus.TIMEOUT if left else api.AttemptStatus.CONNECT_FAILED))

    def _stop(self, item: Try) -> None:
        if item.timer is not None:
            item.timer.cancel()
        if item.attempt is not None:
            item.attempt.drop()
            item.attempt = None

    def _cancel(self, action: api.CancelAttempt) -> None:
        request = self.open.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        item = request.attempts[action.attempt]
        if not item.over:
            self._stop(item)
            self._outcome(item, Answer(api.AttemptStatus.CANCELLED))

    def _outcome(self, item: Try, answer: Answer) -> None:
        """The one outcome of an attempt; a backend's whole answer goes to the client and ends the request."""
        item.over, item.attempt, item.status = True, None, answer.status
        if item.timer is not None:
            item.timer.cancel()
        self.counts[f"attempt_{answer.status.value}"] += 1
        if answer.status is not api.AttemptStatus.OK:
            took = self.now() - item.sent
            self.requests.attempt_failed(item.request, item.number, item.backend, answer.status, took)
        request = self.open.get(item.request)
        if request is not None and request.streaming:
            whole = answer.status is api.AttemptStatus.OK
            self._answer(
                item.request, End.COMPLETED if whole else End.FAILED,
                lambda client: client.finish() if whole else client.failed(),
            )  # fmt: skip
        elif answer.status is api.AttemptStatus.OK:
            self._answer(
                item.request, End.COMPLETED, lambda client: client.served(answer.body, answer.content_type)
            )
        closed = request is None or request.answered
        spent = request is not None and request.upload is not None and request.upload.spent
        if request is not None and closed:
            self._forget(item.request, request)
        took = self.now() - item.sent
        self.event(api.AttemptEnded(
            item.request, item.number, item.backend, answer.status, took, closed, answer.report, spent
        ))  # fmt: skip

    def _deadline(self, name: str) -> None:
        """The client's time is up: end what is out, and answer whatever the module did not.

        Guards against a small answer of unknown length that never ends: only what is long may take longer.
        """
        request = self.open.get(name)
        if request is None or request.answered:
            return
        if any(item.attempt is not None and item.attempt.long for item in request.attempts):
            request.limit = self.loop.call_later(AGAIN, self._deadline, name)
            return
        for item in request.attempts:
            self._timeout(item)
        if name in self.open and not request.answered:
            self.counts["overdue"] += 1
            self._answer(name, End.FAILED, lambda client: client.failed())
            self.event(api.ClientDisconnected(name))

    def _answer(self, name: str, end: End, tell: Callable[[Client], None]) -> None:
        request = self.open.get(name)
        if request is not None and not request.answered:
            client, arriving = request.client, request.arriving
            self.figures.ended(end, request.class_name)
            self._close(name, request)
            tell(client)
            self._call_off(request, arriving)

    def _close(self, name: str, request: Open) -> None:
        request.answered = True
        if request.limit is not None:
            request.limit.cancel()
        if request.upload is not None:
            request.upload.drop()
        self._forget(name, request)

    def _forget(self, name: str, request: Open) -> None:
        """Drop a request that is answered and has nothing out."""
        if name in self.open and all(item.over for item in request.attempts):
            del self.open[name]
            if not self.open:
                self._drained()
