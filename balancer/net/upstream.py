"""Connections to backends: the pool, one attempt on a connection, its outcome and load report."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import logging
import math
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import takewhile
from typing import Protocol, cast

import httptools

from balancer import interface as api
from balancer.interface import AttemptStatus
from balancer.net.endpoints import Address, Member
from balancer.net.figures import Figures
from balancer.net.limited import LimitedWarnings
from balancer.net.shards import Shards
from balancer.net.stream import LARGEST, SMALL, Budget, Upload

log = logging.getLogger(__name__)

MAX_HEAD = 16 * 1024
HOLD = 0.025  # s that an answer of unknown length is held once its body has begun: most are whole by then
SLOWEST = 16 * 1024  # bytes a second of an answer of unknown length that may still become a long one
STALL = 10.0  # s without a byte, either way, after which a backend that is owed or owes some is given up
REST = 0.006  # s without a byte before a connection is used again: a second answer may come some ms late
KEEP = 0.7  # part of the backend's idle limit after which this side closes
SWEEP = 0.1  # part of the idle limit between two looks for idle connections
FIELDS = {
    "inflight": "in_flight", "active": "in_flight", "queue": "queue", "waiting": "queue", "util": "cpu",
    "cpu": "cpu", "latency_ms": "mean_time", "avg_ms": "mean_time", "qps": "rate", "rps": "rate",
    "eps": "error_rate", "err_rps": "error_rate",
}  # fmt: skip


def parse_report(value: str) -> api.LoadReport:
    """A load report header; fields of other names are skipped. Raises ValueError."""
    form, _, rest = value.partition(" ")
    out = api.LoadReport()
    try:
        if form != "TEXT":
            raise ValueError(form)
        for part in rest.split(","):
            name, text = part.strip().split("=")
            number = float(text)
            if not 0 <= number < math.inf:
                raise ValueError(text)
            if name in FIELDS:
                setattr(out, FIELDS[name], number)
    except ValueError:
        raise ValueError(f"not a load report: {value!r:.120}") from None
    return out


@dataclass(slots=True)
class Answer:
    """How an attempt ended; `body` and `content_type` are those of a backend's 200."""

    status: AttemptStatus
    report: api.LoadReport | None = None
    body: bytes = b""
    content_type: bytes = b""


class Sink(Protocol):
    """Where a long answer goes."""

    def feed(self, data: bytes) -> None:
        """A piece of its body."""


Begin = Callable[["Connection", int | None, bytes], Sink | None]
"""Told of a long answer: where it comes from, its length where that is known, its type. None: not wanted."""


Wanted = Callable[[], bool]
"""Asked when a connection has come up: whether the request is still to go out on it."""


def always() -> bool:
    """For attempts that nobody calls off unseen."""
    return True


def unwanted(source: Connection, size: int | None, content_type: bytes) -> Sink | None:
    """For attempts whose answers are never long."""
    return None


class CloseReason(Enum):
    """Why this side closes a connection; the values are words of the line of counts."""

    ENDED = "ended"  # by the backend, or it never came up
    GIVEN_UP = "given_up"  # its attempt was called off or ran out of time
    IDLE = "idle"  # for so long that the backend may close it
    CROWDED = "crowded"  # another one needs its descriptor
    UNLISTED = "unlisted"  # its backend drains, is gone, banned or elsewhere
    UNUSABLE = "unusable"  # it cannot carry another request


class Attempt:
    """One request on its way to one backend; `done` is called once with its end, unless it is dropped.

    `data` is the request, or only its head where an upload follows.
    """

    __slots__ = ("begin", "connection", "data", "done", "upload", "wanted")

    def __init__(
        self, data: bytes, done: Callable[[Answer], None], begin: Begin, upload: Upload | None, wanted: Wanted
    ) -> None:
        self.data, self.done, self.begin, self.upload, self.wanted = data, done, begin, upload, wanted
        self.connection: Connection | None = None

    @property
    def left(self) -> bool:
        """Whether the request's last byte may have left this node."""
        return self.connection is not None and self.connection.wrote and not self.connection.blocked

    @property
    def long(self) -> bool:
        """Whether a long answer has begun and comes, as far as anybody can tell."""
        return self.connection is not None and self.connection.long

    def end(self, answer: Answer) -> None:
        """Report the end."""
        self._detach()
        self.done(answer)

    def drop(self) -> None:
        """Stop waiting. The connection is closed on return, so that no two copies are out at once."""
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close(CloseReason.GIVEN_UP)
            self._detach()

    def _detach(self) -> None:
        self.connection = None
        if self.upload is not None:
            self.upload.detach()


class Host:
    """One backend that was sent to: where it listens, whether it takes work, its idle connections.

    The one used last is last among these. Most of a long list never come to have a host.
    """

    __slots__ = ("address", "banned", "idle", "listed")

    def __init__(self, address: Address, banned: bool, listed: bool = True) -> None:
        self.address, self.banned = address, banned
        self.listed = listed  # as in service
        self.idle: list[Connection] = []

    @property
    def up(self) -> bool:
        """Whether it may have new work."""
        return self.listed and not self.banned


class Connection(asyncio.BufferedProtocol):
    """One connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: Pool, host: Host) -> None:
        self.pool, self.host, self.address = pool, host, host.address
        self.sock: socket.socket | None = None
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.attempt: Attempt | None = None
        self.closed = self.wrote = self.blocked = False
        self.handing = False  # the loop takes the descriptor over: closing it is for `open` alone, at the end
        self.idle_since = self.moved = 0.0
        self.held: asyncio.TimerHandle | None = None  # an answer of unknown length
        self.resting: asyncio.TimerHandle | None = None  # an attempt that waits for the end of its rest
        self.watch: asyncio.TimerHandle | None = None  # for stalls
        self.asked = False  # a request has begun to go out: what came before that is no answer
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.head = self.size = 0  # bytes that came since any of the body did, and those of the body
        self.length: int | None = None
        self.in_body = self.framed = self.paused = False
        self.sink: Sink | None = None  # where a long answer goes
        self.begun = 0.0  # since when it does
        self.load = self.content_type = b""
        self.not_started = self.complete = self.excess = False

    # --- opening, closing

    async def open(self) -> None:
        """Connect, then write the attempt that waits for it.

        The socket is made here, a turn of the loop after others were closed: by then theirs are given back.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        try:
            sock = self.sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as err:
            self.pool.warnings.warn("no socket", f"no socket for a backend: {err}")
            self._fail(AttemptStatus.NOT_STARTED)
            return
        sock.setblocking(False)
        try:
            async with asyncio.timeout(self.pool.connect_timeout):
                await loop.sock_connect(sock, self.address)
            self.handing = True
            await loop.create_connection(lambda: self, sock=sock)
        except (OSError, TimeoutError):
            self.handing = False
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        self.handing = False
        if self.closed:
            assert self.transport is not None
            self.transport.abort()
        else:
            self._ready()

    def rest(self, attempt: Attempt) -> None:
        """Write an attempt as soon as this connection has rested."""
        self.attempt, attempt.connection = attempt, self
        self.resting = self.pool.loop.call_at(self.idle_since + REST, self._ready)

    def _ready(self) -> None:
        """The connection is up, or has rested: write what waits for it, if that is still to go out."""
        attempt = self.attempt
        if attempt is None or self.closed:
            self.close(CloseReason.GIVEN_UP)
        elif not self.host.up or self.host.address != self.address or not attempt.wanted():
            # Guards against sending to a backend that left the list meanwhile, or for a client that has gone.
            self._fail(
                AttemptStatus.NOT_STARTED, CloseReason.GIVEN_UP if self.host.up else CloseReason.UNLISTED
            )
        elif self.resting is not None and not self.alive:
            self._fail(AttemptStatus.NOT_STARTED)
        else:
            self.write(attempt)

    @property
    def alive(self) -> bool:
        """Whether it is up and nothing waits to be read: that would be no answer to the next request."""
        if self.sock is None or self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # half a line, a second answer, an end

    def _fail(self, status: AttemptStatus, why: CloseReason = CloseReason.ENDED) -> None:
        attempt, self.attempt = self.attempt, None
        self.close(why)
        if attempt is not None:
            attempt.end(Answer(status))

    def _warn(self, kind: str, text: str = "") -> None:
        self.pool.warnings.warn(kind, "backend {}:{}: {:.300}".format(*self.address, text or kind))

    def close(self, why: CloseReason) -> None:
        """Close now: transports would do it a turn of the loop later, after the next attempt went out."""
        if self.closed:
            return
        self.closed = True
        self.pool.closes[why] += 1
        self._unwatch()
        self.pool.count -= 1
        if self in self.pool.idle:
            self.pool.take(self)
        if self.transport is None and not self.handing:
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()
            if self.sock is not None:  # else it was not yet to be opened
                self.sock.close()
            return
        assert self.sock is not None
        with contextlib.suppress(OSError):  # the other side was first
            self.sock.shutdown(socket.SHUT_RDWR)
        # Guards against closing a descriptor twice: by then it may be that of a client who waits.
        if self.transport is not None and not self.handing:
            self.transport.abort()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep no bytes back: what a write leaves in the buffer has not left, and that must be known."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Bytes of the request are still here."""
        self.blocked = True

    def resume_writing(self) -> None:
        """What was written has left: the request's last byte, or there is room for more of it."""
        self.blocked = False
        if self.wrote:
            self._left()
        else:
            self._pump()

    def _left(self) -> None:
        if self.attempt is not None and not self.blocked:
            self.pool.figures.sent += 1

    def _pump(self) -> None:
        """Pass on what there is of a long body, while the backend takes it."""
        if self.attempt is None or (upload := self.attempt.upload) is None or self.wrote:
            return
        assert self.transport is not None
        while not (self.blocked or self.wrote or self.transport.is_closing()):
            self.moved = self.pool.loop.time()
            chunked, data = upload.size is None, upload.take()
            if data:
                self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
            elif upload.complete:
                if chunked:
                    self.transport.write(b"0\r\n\r\n")
                self.wrote = True
                self._left()
            else:
                break

    def write(self, attempt: Attempt) -> None:
        """Send the attempt's request."""
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.resting = None
        self._reset()
        self.asked = True
        self.transport.write(attempt.data)
        if attempt.upload is not None:
            attempt.upload.attach(self._pump)
            self._guard()
            self._pump()
        else:
            self.wrote = True
        # Guards against calling a reset what never left: a write that fails at once closes the transport.
        if self.transport.is_closing():
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif attempt.upload is None:
            self._left()

    def _guard(self) -> None:
        """Look now and then whether the backend still moves, as a long body or answer has no time limit."""
        if self.watch is None:
            self.moved = self.pool.loop.time()
            self.watch = self.pool.loop.call_later(STALL, self._stalled)

    def _stalled(self) -> None:
        self.watch = None
        if self.attempt is None:
            return
        waits = self.blocked or (self.sink is not None and not self.paused)
        left = self.moved + STALL - self.pool.loop.time()
        if waits and left <= 0:
            self._warn("nothing moves")
            self._fail(
                AttemptStatus.RESET if self.wrote and not self.blocked else AttemptStatus.CONNECT_FAILED
            )
            return
        self.watch = self.pool.loop.call_later(max(left, STALL / 10), self._stalled)

    def _unwatch(self) -> None:
        for timer in (self.watch, self.held, self.resting):
            if timer is not None:
                timer.cancel()
        self.watch = self.held = self.resting = None

    def connection_lost(self, exc: Exception | None) -> None:
        """A break before the request's last byte has left proves that it never ran; after, it may have."""
        if self.resting is not None:  # it came before the request, and says nothing of the backend
            self._fail(AttemptStatus.NOT_STARTED)
            return
        self._fail(AttemptStatus.RESET if self.wrote and not self.blocked else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> bool:
        """The end of a body that is as long as its connection; anything else is a break."""
        if self.attempt is not None and self.in_body and not self.framed and not self.complete:
            self.complete, self.keep_alive, self.code = True, False, self.parser.get_status_code()
            self._finish(True)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Guards memory: no read is longer than what may wait for a slow client."""
        return self.pool.budget.room()

    def buffer_updated(self, nbytes: int) -> None:
        """Something was read."""
        self.data_received(self.pool.budget.read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Read the answer; bytes that belong to none spoil the connection."""
        self.moved = self.pool.loop.time()
        if self.attempt is None or self.resting is not None:
            self._fail(AttemptStatus.NOT_STARTED)
            return
        if not self.asked:
            self._warn("answer before its request")
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        fault = ""
        self.head += len(data)  # guards memory against headers without end, which the parser would keep
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            fault = f"broken answer: {err.__context__ or err}"  # the first: one of the callbacks below
        if self.attempt is None:  # its long answer is no longer wanted
            return
        if self.complete:
            self._finish(not fault and not self.excess)
        elif fault or self.head > MAX_HEAD:
            self._warn("broken answer" if fault else "headers too long", fault)
            self._fail(AttemptStatus.RESET)
        elif self.body and self.length is None and self.held is None:  # most are whole after one read
            self.held = self.pool.loop.call_later(HOLD, self._begin)

    # --- a long answer

    def _begin(self) -> None:
        """Pass the answer on from here: it is too long, or too long in coming, to be held whole."""
        if self.held is not None:  # else it would begin the next answer on this connection
            self.held.cancel()
            self.held = None
        if self.attempt is None or self.sink is not None or self.complete:
            return
        self.sink = self.attempt.begin(self, self.length, self.content_type)
        if self.sink is None:
            self._fail(AttemptStatus.RESET)
            return
        self._guard()
        self.begun = self.pool.loop.time()
        if self.body:
            data, self.body = bytes(self.body), bytearray()
            self.sink.feed(data)

    @property
    def long(self) -> bool:
        """Whether what is passed on is a long answer, or seems to become one at the rate that it has.

        While the client is slow nobody can tell.
        """
        if self.sink is None:
            return False
        due = SLOWEST * (self.pool.loop.time() - self.begun)  # bytes
        return self.length is not None or self.paused or self.size > SMALL or self.size >= due

    def pause(self) -> None:
        """The client is slow: leave the rest with the backend."""
        if self.transport is not None and not self.paused and not self.closed:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """There is room again."""
        if self.transport is not None and self.paused and not self.closed:
            self.paused, self.moved = False, self.pool.loop.time()
            self.transport.resume_reading()

    # --- httptools

    def on_message_begin(self) -> None:
        """A second answer is one too many."""
        self.excess = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the few headers that matter; trailers are not among them."""
        if self.complete or self.in_body:
            return
        key = name.lower()
        if key == b"server-load":
            self.load = value
        elif key == b"not-started":
            self.not_started = value.strip() == b"1"
        elif key == b"content-type":
            self.content_type = value
        elif key == b"content-length":
            self.framed = True
            self.length = int(value) if value.strip().isdigit() else None
        elif key == b"transfer-encoding":
            self.framed = True

    def on_headers_complete(self) -> None:
        """The head is whole; a length that no answer has is the mark of one that never ends."""
        self.in_body = True
        if self.length is not None and self.length > LARGEST:
            raise ValueError("longer than any answer")
        if not self.complete and self.served and self.length is not None and self.length > SMALL:
            self._begin()

    @property
    def served(self) -> bool:
        """Whether this is a 200 answer."""
        code: int = self.parser.get_status_code()
        return code == 200

    def on_body(self, body: bytes) -> None:
        """Pass on or collect the body; that of an answer other than 200 is not wanted."""
        self.head = 0
        if self.complete or not self.served:
            return
        self.size += len(body)
        if self.size > LARGEST:
            raise ValueError("longer than any answer")
        if self.sink is not None:
            self.sink.feed(body)
            return
        self.body += body
        if len(self.body) > SMALL:
            self._begin()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was an interim one."""
        if self.complete:
            return
        if self.parser.get_status_code() < 200:
            self.load = self.content_type = b""
            self.not_started = self.in_body = self.framed = False
            self.length = None
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.code = self.parser.get_status_code()

    def _finish(self, clean: bool) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self._unwatch()
        report = None
        if self.load:
            try:
                report = parse_report(self.load.decode("latin-1"))
            except ValueError as err:
                self._warn("bad report", str(err))
        if self.paused:
            self.resume()
        if self.code == 200:
            answer = Answer(AttemptStatus.OK, report, bytes(self.body), self.content_type)
        elif self.code in (503, 504) and self.not_started:
            answer = Answer(AttemptStatus.REJECTED, report)
        else:
            answer = Answer(AttemptStatus.ERROR, report)
        self.pool.release(self, clean and self.keep_alive and self.wrote and not self.blocked)
        attempt.end(answer)


class Pool:
    """All connections to backends."""

    def __init__(self, settings: api.Settings, limit: int, figures: Figures, budget: Budget) -> None:
        self.figures, self.budget = figures, budget
        self.configure(settings)
        self.limit, self.count = limit, 0
        self.members = Shards[Member]()  # all that is listed
        self.listed = 0  # of them, as in service
        self.hosts: dict[str, Host] = {}  # those of them that were sent to
        self.idle: dict[Connection, None] = {}  # of all hosts, longest idle first
        self.closes: Counter[CloseReason] = Counter()  # since the last line of counts
        self.banned: set[str] = set()  # by the operators, listed or not
        self.sweeper: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.warnings = LimitedWarnings(log, self.loop.time)

    def configure(self, settings: api.Settings) -> None:
        """Take settings, for what is opened and swept from now on."""
        self.connect_timeout = settings.connect_timeout / 1000
        self.idle_limit = settings.connection_idle_ms / 1000

    def update(self, members: tuple[Member, ...], complete: bool) -> None:
        """Take the news of the list: idle connections to what leaves or moves go."""
        if complete:
            for name in self.members.keys() - {m.backend for m in members}:
                self._remove(name)
        for member in members:
            name, phase = member.backend, member.phase
            if phase is api.EndpointPhase.REMOVED:
                self._remove(name)
                continue
            up, part = phase is api.EndpointPhase.IN_SERVICE, self.members.part(name)
            self.listed += up - (name in part and part[name].phase is api.EndpointPhase.IN_SERVICE)
            part[name] = member
            if (host := self.hosts.get(name)) is not None:
                host.listed, address = up, member.address
                if not host.up or host.address != address:
                    self.close_idle(name)
                host.address = address

    def trim(self) -> None:
        """Under a lower limit the longest idle connections go; the others stay while they are used."""
        while self.count > self.limit and self._evict():
            pass

    def ban(self, name: str, out: bool) -> None:
        """Take note of a ban or its end; what still waits for a connection there is moot."""
        (self.banned.add if out else self.banned.discard)(name)
        if name in self.hosts:
            self.hosts[name].banned = out
            if out:
                self.close_idle(name)

    def _remove(self, name: str) -> None:
        """Forget a backend; an attempt that is out there ends on its own."""
        if (member := self.members.pop(name, None)) is not None:
            self.listed -= member.phase is api.EndpointPhase.IN_SERVICE
        if name in self.hosts:
            self.hosts[name].listed = False
            self.close_idle(name)
            del self.hosts[name]

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a backend."""
        for connection in self.hosts[name].idle[:] if name in self.hosts else ():
            connection.close(CloseReason.UNLISTED)

    def start(
        self, name: str, data: bytes, done: Callable[[Answer], None], begin: Begin = unwanted,
        upload: Upload | None = None, wanted: Wanted = always,
    ) -> Attempt:  # fmt: skip
        """Begin an attempt, on an idle connection or a new one. `done` may be called at once.

        Where the idle ones have yet to rest, the attempt waits for the first to have done so.
        """
        host = self.host(name)
        attempt = Attempt(data, done, begin, upload, wanted)
        if (connection := self._rested(host)) is not None:
            connection.write(attempt)
            return attempt
        while host.idle:  # none has rested: a short wait costs less than a connection
            connection = host.idle[0]
            self.take(connection)
            if connection.alive:
                connection.rest(attempt)
                return attempt
            connection.close(CloseReason.ENDED)
        if self.count >= self.limit and not self._evict():
            attempt.end(Answer(AttemptStatus.NOT_STARTED))
            return attempt
        connection = Connection(self, host)
        self.count += 1
        connection.attempt, attempt.connection = attempt, connection
        connection.task = self.loop.create_task(connection.open())
        return attempt

    def host(self, name: str) -> Host:
        """Where connections to a backend begin, made for the first of them. KeyError: it is not listed."""
        if (host := self.hosts.get(name)) is None:
            member = self.members[name]
            listed = member.phase is api.EndpointPhase.IN_SERVICE
            host = self.hosts[name] = Host(member.address, name in self.banned, listed)
        return host

    def take(self, connection: Connection) -> None:
        """It is idle no more."""
        del self.idle[connection]
        connection.host.idle.remove(connection)

    def _rested(self, host: Host) -> Connection | None:
        """The connection used last of those that have rested.

        Guards against taking a second answer to the request before for the answer to this one.
        """
        now = self.loop.time()
        stale = now - KEEP * self.idle_limit
        while index := bisect.bisect_right(host.idle, now - REST, key=lambda one: one.idle_since):
            connection = host.idle[index - 1]
            self.take(connection)
            if connection.idle_since < stale:
                connection.close(CloseReason.IDLE)
            elif connection.alive:
                return connection
            else:
                connection.close(CloseReason.ENDED)
        return None

    def _evict(self) -> bool:
        """Close the connection that has been idle longest."""
        for connection in self.idle:
            connection.close(CloseReason.CROWDED)
            return True
        return False

    def release(self, connection: Connection, reusable: bool) -> None:
        """Take back a connection after its answer."""
        host = connection.host
        if not host.up or host.address != connection.address:
            connection.close(CloseReason.UNLISTED)
            return
        if not reusable or connection.closed:
            connection.close(CloseReason.UNUSABLE)
            return
        connection.wrote, connection.idle_since = False, self.loop.time()
        host.idle.append(connection)
        self.idle[connection] = None
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(max(SWEEP * self.idle_limit, 0.05), self._sweep)

    def _sweep(self) -> None:
        """Close what has been idle for long, well before the backend does so under a request."""
        self.sweeper, stale = None, self.loop.time() - KEEP * self.idle_limit
        for connection in [*takewhile(lambda one: one.idle_since < stale, self.idle)]:
            connection.close(CloseReason.IDLE)
        if self.idle:
            self.sweeper = self.loop.call_later(max(SWEEP * self.idle_limit, 0.05), self._sweep)

    def close(self) -> None:
        """Close all idle connections, at the end."""
        for connection in [*self.idle]:
            connection.close(CloseReason.IDLE)
        if self.sweeper is not None:
            self.sweeper.cancel()
