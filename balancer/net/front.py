"""The client side: `/up`, requests, answers, closing."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import fcntl
import logging
import re
import select
import socket
import struct
import sys
import termios
from functools import partial
from typing import cast
from urllib.parse import parse_qs

import httptools

from balancer import interface as api
from balancer.interface import Idempotency
from balancer.net.connection_limits import overflow_limit
from balancer.net.endpoints import Address
from balancer.net.node import Node
from balancer.net.stream import LARGEST, SMALL, Upload
from balancer.net.upstream import Connection

log = logging.getLogger(__name__)

MAX_HEAD = 16 * 1024
LINGER = 1.0  # s for a client to read its last answer and end its side, from when that answer is out
BACKLOG = 1024  # connections that wait to be accepted
SLOW = 2.5  # s for a head to come in once it has begun, for the first one since the connection came
RATE = 32_000  # bytes a second of a body that comes in after that, half of the slowest that is to be served
STUCK = 20.0  # s for a client to read some of what waits for it
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what a poll shows of a FIN or a RST
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip
TIMEOUT = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


class BadRequest(ValueError):
    """What a client sent cannot be served."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


def parse_timeout(value: bytes) -> float:
    """A `Request-Timeout` in milliseconds."""
    found = TIMEOUT.fullmatch(value.strip())
    if found is None or not (number := float(found[1])):
        raise BadRequest(400, "bad Request-Timeout")
    return number if found[2] == b"m" else number / 1000


def render(
    method: bytes, target: bytes, headers: dict[bytes, bytes], framing: bytes, body: bytes, wait: float
) -> bytes:
    """A request as it goes on to a backend that the node will wait `wait` milliseconds for."""
    lines = [
        b"%b %b HTTP/1.1" % (method, target),
        b"Host: " + headers.get(b"host", b"backend"),
        b"Request-Id: " + headers[b"request-id"],
        b"Request-Timeout: %du" % max(1, int(wait * 1000)),
    ]
    if b"idempotency-key" in headers:
        lines.append(b"Idempotency-Key: " + headers[b"idempotency-key"])
    if b"content-type" in headers:
        lines.append(b"Content-Type: " + headers[b"content-type"])
    if framing:
        lines.append(framing)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Stage(enum.Enum):
    """How far a client connection has come."""

    OPEN = enum.auto()  # requests are read
    LAST = enum.auto()  # the answer under way, or the next, is the last: what follows is left unread
    DRAINING = enum.auto()  # the same, but its request's body still comes: that is read and thrown away
    LINGERING = enum.auto()  # this side has ended; whatever comes until the client ends too is thrown away
    CLOSED = enum.auto()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection; it carries one request at a time."""

    def __init__(self, front: Front) -> None:
        self.front, self.node = front, front.node
        self.transport: asyncio.Transport | None = None
        self.request: str | None = None  # the open one
        self.stage = Stage.OPEN
        self.mid = False  # a request has come in part
        self.keep_alive = True
        self.source: Connection | None = None  # of a long answer under way
        self.chunked = self.framed = False  # that answer; whether the client can tell where it is to end
        self.kept = False  # its head lets the client send another request here: a close now would cross that
        self.slow: asyncio.TimerHandle | None = None  # for what the client sends
        self.stuck: asyncio.TimerHandle | None = None  # for what it reads
        self.deaf = False  # nothing is read of it until it has read more
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.upload: Upload | None = None
        self.arrival: api.RequestArrived | None = None
        self.wait = self.since = self.paused_at = 0.0
        self.head = self.size = 0
        self.in_body = False

    @property
    def closing(self) -> bool:
        """Whether this connection is over for this side: nothing is taken from it or written to it."""
        return self.stage in (Stage.LINGERING, Stage.CLOSED)

    def _last_one(self) -> None:
        """Take no request after this one."""
        if self.stage is Stage.OPEN:
            self.stage = Stage.LAST

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection in, over the cap too: it gets a plain answer and is closed."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        # A peer that sends nothing, or no proper request, is owed an error or a close within 3 s.
        self.slow = self.front.loop.call_later(SLOW, self._too_slow)
        self.front.took(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has left; a request that it waited for is owed no more."""
        self.stage = Stage.CLOSED
        self.front.lost(self)
        self._let_go()

    def _let_go(self) -> None:
        """Nothing more is owed here."""
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None
        self._end_stream()
        if self.request is not None:
            name, self.request = self.request, None
            self.node.gone(name)
        if self.upload is not None:
            self.upload.drop()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Guards memory: no read is longer than what may wait for a slow backend."""
        return self.node.budget.room()

    def buffer_updated(self, nbytes: int) -> None:
        """Something was read."""
        self.data_received(self.node.budget.read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Read a request; what cannot be read gets a plain answer and a close."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return  # the answer under way says `Connection: close`: what follows is for another connection
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end_here()
        except httptools.HttpParserError as err:
            cause = err.__context__
            if isinstance(cause, BadRequest):
                self._turn_away(cause.code, str(cause))
            elif isinstance(err, httptools.HttpParserCallbackError):
                log.exception("request failed")
                self._turn_away(500, "internal error")
            else:
                self._turn_away(400, "malformed request")
        if self.mid and not self.in_body:
            # Guards memory against a header without end: the parser keeps it all and calls only at its end.
            self.head += len(data)
            if self.head > MAX_HEAD:
                self._turn_away(431, "headers too long")
        if self.mid and self.slow is None and not self.closing:
            self.slow = self.front.loop.call_later(SLOW, self._too_slow)

    def _end_here(self) -> None:
        """Read no more: the parser stops at an upgrade, which is not to be had here.

        Guards against a second answer where the request was answered at once.
        """
        self._last_one()
        if self.request is None:
            self.linger()

    def _too_slow(self) -> None:
        self.slow = None
        if not self.mid:
            if self.request is None:
                self.node.counts["client_idle"] += 1
                self.linger()
            return
        left = self._due() - self.front.loop.time()
        if left > 0:
            self.slow = self.front.loop.call_later(left, self._too_slow)
        elif self.stage is Stage.DRAINING:
            self._break_off()
        else:
            self._turn_away(408, "request took too long")

    def _due(self) -> float:
        """When the rest of the request has to be in: a body goes by how much of it has come."""
        if not self.in_body:
            return 0.0
        if self.paused_at:  # by this side
            return self.front.loop.time() + SLOW
        return self.since + SLOW + self.size / RATE

    # --- httptools; a BadRequest that is raised here ends `feed_data`

    def on_message_begin(self) -> None:
        """A request begins; one that comes before the last is answered is left unread."""
        if self.request is not None or self.stage is not Stage.OPEN:
            # Guards against taking what comes in one packet behind an answer that closes: it would be lost.
            self._last_one()
            return
        self._reset()
        self.mid = True
        self.front.idle.pop(self, None)

    def on_url(self, url: bytes) -> None:
        """The request's target, in pieces."""
        if self.stage is Stage.OPEN:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; trailers say nothing that is needed."""
        if self.stage is Stage.OPEN and not self.in_body:
            self.size += len(name) + len(value)
            self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """The head is whole; from here on the size is the body's."""
        if self.stage is not Stage.OPEN:
            return
        if self.size + len(self.target) > MAX_HEAD:
            raise BadRequest(431, "headers too long")
        self.in_body, self.size, self.since = True, 0, self.front.loop.time()
        self._check()
        if (self.length or 0) > LARGEST:
            raise BadRequest(413, "body too large")
        expects = self.headers.get(b"expect", b"").strip().lower() == b"100-continue"
        if expects and self.parser.get_http_version() == "1.1" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def length(self) -> int | None:
        """The length of the body where the client says it; the parser has checked its form."""
        value = self.headers.get(b"content-length")
        return None if value is None else int(value)

    def on_body(self, body: bytes) -> None:
        """A piece of the body: held while it is small, else passed on."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return
        self.size += len(body)
        if self.stage is Stage.DRAINING:
            return
        if self.size > (SMALL if self.arrival is None else LARGEST):
            raise BadRequest(413, "body too large")
        if self.upload is not None:
            self.upload.feed(body)
            return
        self.body += body
        if self.size > SMALL:
            self.upload = Upload(self.length, self.node.budget, self._flow)
            self.upload.feed(self.body)
            self.body = bytearray()
            self._take()

    def _flow(self, on: bool) -> None:
        """Let the client send, or leave it waiting; that time is not held against it."""
        if self.transport is None or self.transport.is_closing():
            return
        now = self.front.loop.time()
        if on:
            self.since, self.paused_at = self.since + now - self.paused_at, 0.0
            self.transport.resume_reading()
        else:
            self.paused_at = now
            self.transport.pause_reading()

    @property
    def left(self) -> bool:
        """Whether the client has closed or reset this connection while it is not read from.

        A read would tell, but what was sent before the end stands before it.
        """
        if not (self.paused_at or self.deaf) or self.transport is None:
            return False
        look = select.poll()
        try:
            look.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
            return any(seen & ENDED for _, seen in look.poll(0))
        except (OSError, ValueError):  # it is being closed here
            return False

    def on_message_complete(self) -> None:
        """The request is whole: a small one is taken, the time of a long one starts."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return
        self.mid = False
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None
        if self.stage is Stage.DRAINING:
            self.stage = Stage.LAST
            if self.source is None:  # else once the answer is whole
                self.linger()
            return
        self.keep_alive = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        if self.upload is None:
            self._take()
            return
        self.upload.end()
        if self.request is not None:
            self.node.arrived(self.request, self.node.now() + self.wait)

    # --- requests

    def _check(self) -> None:
        """What the head says; raises BadRequest before any of the body is read."""
        headers, node = self.headers, self.node
        method = self.parser.get_method()
        try:
            url = httptools.parse_url(self.target)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest(400, "bad target") from None
        path, query = url.path or b"/", url.query or b""
        if url.schema:  # the whole address, as for a proxy: backends are sent the rest of it
            self.target = path + (b"?" + query if query else b"")
        if path == b"/up":
            return
        first = path.removeprefix(b"/").partition(b"/")[0].decode("latin-1")
        cls = node.classes.get(first)
        if cls is None:
            raise BadRequest(404, "unknown class")
        if method != (b"GET" if cls.effect is Idempotency.IDEMPOTENT else b"POST"):
            raise BadRequest(405, "the method does not go with the class")
        if cls.effect is Idempotency.WITH_KEY and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "no Idempotency-Key")
        name = headers.get(b"request-id", b"").decode("latin-1")
        if not name:
            raise BadRequest(400, "no Request-Id")
        self.wait = cls.deadline
        if b"request-timeout" in headers:
            self.wait = min(self.wait, parse_timeout(headers[b"request-timeout"]))
        key = parse_qs(query.decode("latin-1")).get("obj")
        self.arrival = api.RequestArrived(
            request=name,
            class_name=first,
            deadline=0.0,  # counts from the last byte
            is_retry=headers.get(b"client-retry") == b"1",
            key=key[0] if key else None,
            tenant=headers[b"tenant"].decode("latin-1") if b"tenant" in headers else None,
            work_hint=self._hint(),
            writes=cls.effect is not Idempotency.IDEMPOTENT,
            under=node.settings,
        )

    def _take(self) -> None:
        event, node, upload = self.arrival, self.node, self.upload
        if event is None:
            self._write(200 if node.up else 503, b"up\n" if node.up else b"not up\n")
            return
        if event.request in node.open:
            self._turn_away(409, "Request-Id is in use")
            return
        if crowded := self.front.crowded:
            self._last_one()
        if node.full() or crowded:
            node.over_cap(event.class_name)
            # Guards the descriptors and the open requests: nothing ran, so turning it away is harmless.
            self._write(503, b"too many requests\n")
            if upload is not None:
                upload.drop()
            return
        event.deadline, event.arriving = node.now() + self.wait, upload is not None
        self.request = event.request
        method, body = self.parser.get_method(), bytes(self.body)
        if upload is not None:
            framing = b"Transfer-Encoding: chunked"
            if upload.size is not None:
                framing = b"Content-Length: %d" % upload.size
        else:
            framing = b"Content-Length: %d" % len(body) if body or method != b"GET" else b""
        node.arrival(event, self, partial(render, method, self.target, self.headers, framing, body), upload)

    def _hint(self) -> float | None:
        value = self.headers.get(b"work-hint", b"")
        return int(value) / 1000 if value.isdigit() and len(value) < 13 else None

    # --- answers

    def served(self, body: bytes, content_type: bytes) -> None:
        """Pass on a backend's answer."""
        self.request = None
        self._write(200, body, b"Content-Type: %b\r\n" % content_type if content_type else b"")

    def refused(self, retry_after: float) -> None:
        """Turn the request away."""
        self.request = None
        extra = b"Retry-After: %.3f\r\n" % (retry_after / 1000) if retry_after > 0 else b""
        self._write(503, b"refused\n", extra)

    def failed(self) -> None:
        """Say that the request failed, or break off the long answer that has begun."""
        self.request = None
        if self.source is not None:
            self._break_off()
        else:
            self._write(502, b"failed\n")

    def _turn_away(self, code: int, why: str) -> None:
        if self.closing:
            return
        if self.stage is Stage.DRAINING:
            self._break_off()
            return
        if self.request is not None:
            if not self.mid or self.upload is None:
                self._last_one()  # the request before it gets its own answer first
                return
            name, self.request = self.request, None
            self.node.gone(name)  # its own body is at fault
            if self.source is not None:
                self._break_off()
                return
        if self.upload is not None:
            self.upload.drop()
            self.upload = None
        self.mid = True
        self._last_one()
        self.node.counts[f"client_error_{code}"] += 1
        self._write(code, why.encode() + b"\n")

    @property
    def _last(self) -> bool:
        """Whether no other request may follow on this connection."""
        return self.stage is not Stage.OPEN or self.mid or self.node.stopping or not self.keep_alive

    def _write(self, code: int, body: bytes, extra: bytes = b"") -> None:
        if self.closing or self.transport is None:
            return
        if self._last:
            extra += b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n"
        self.transport.write(head % (code, REASONS[code].encode(), extra, len(body)) + body)
        self._written()

    def _written(self) -> None:
        """The answer is whole."""
        if self.mid and self.upload is not None:
            # Guards against a reset that takes the answer with it: the client still sends.
            self.stage = Stage.DRAINING
        elif self.stage is not Stage.OPEN or self.front.stopped or (self._last and not self.kept):
            self.linger()
        else:
            self.kept = False
            self.front.idle[self] = None

    # --- a long answer

    def begin(self, source: Connection, size: int | None, content_type: bytes) -> None:
        """Pass on a long answer as it comes, no faster than the client reads."""
        if self.closing or self.transport is None:
            return
        self.source = source
        self.node.budget.streams += 1
        self.transport.set_write_buffer_limits(high=self.node.budget.window)
        self.chunked = size is None and self.parser.get_http_version() == "1.1"
        self.framed = self.chunked or size is not None
        if not self.framed:
            self._last_one()  # its end is the connection's
        if self.mid:
            self.stage = Stage.DRAINING
        head = b"HTTP/1.1 200 OK\r\n"
        if content_type:
            head += b"Content-Type: %b\r\n" % content_type
        if size is not None:
            head += b"Content-Length: %d\r\n" % size
        elif self.chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        if self._last:
            head += b"Connection: close\r\n"
        self.kept = not self._last
        self.transport.write(head + b"\r\n")

    def feed(self, data: bytes) -> None:
        """A piece of the long answer."""
        if not self.closing and self.transport is not None:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """The long answer is whole."""
        self.request = None
        if self.closing or self.transport is None:
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._end_stream()
        if self.stage is not Stage.DRAINING:
            self._written()

    def pause_writing(self) -> None:
        """The client reads slowly: no more is asked of the backend, or read of requests for short answers."""
        if self.closing or self.transport is None:
            return
        if self.source is not None:
            self.source.pause()
        elif self.stage is Stage.OPEN and not self.paused_at:
            # Guards memory against a client that sends and sends, and reads nothing.
            self.deaf = True
            self.transport.pause_reading()
        self.stuck = self.front.loop.call_later(STUCK, self._abort)

    def resume_writing(self) -> None:
        """There is room again."""
        self._unstick()
        if self.source is not None:
            self.source.resume()

    def _unstick(self) -> None:
        if self.stuck is not None:
            self.stuck.cancel()
            self.stuck = None
        if self.deaf and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        self.deaf = False

    def _end_stream(self) -> None:
        self._unstick()
        if self.source is not None:
            self.source = None
            self.node.budget.streams -= 1

    def _break_off(self) -> None:
        """End a long answer that will not be whole, in a way that no client takes for its end.

        Guards against a reset where the framing tells: what is on its way to the client would go with it, and
        a connection that ends with nothing of an answer is one that lost its request.
        """
        self.node.counts["client_answer_broken_off"] += 1
        if self.framed or self.source is None:
            self.linger()
        else:
            self._abort()

    def _abort(self) -> None:
        """Reset the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    # --- closing

    @property
    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        waiting = bytearray(4)
        try:
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, waiting)
        except (OSError, ValueError):  # the connection is gone
            return False
        return int.from_bytes(waiting, sys.byteorder) > 0

    def linger(self) -> None:
        """End this side once the answer is out, then throw away what comes until the client has ended too.

        Guards against a reset, which takes the answer with it: it is what closing does over unread bytes.
        """
        if self.closing or self.transport is None:
            return
        self.stage = Stage.LINGERING
        self._let_go()
        self.front.lingers(self)
        if not self.transport.is_closing():
            self.transport.write_eof()
        loop = self.front.loop
        self.slow = loop.call_later(LINGER, self._lingered, loop.time() + STUCK)

    def _lingered(self, last: float) -> None:
        assert self.transport is not None
        loop = self.front.loop
        if self.transport.get_write_buffer_size() and loop.time() < last:
            self.slow = loop.call_later(LINGER, self._lingered, last)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, whatever is still on its way."""
        if self.transport is not None:
            self.transport.abort()


class Front:
    """The listener and its connections."""

    def __init__(self, node: Node, limit: int) -> None:
        self.node, self.limit = node, limit
        self.loop = asyncio.get_running_loop()
        self.socket: socket.socket | None = None
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}  # longest idle first
        self.lingering: dict[ClientConnection, None] = {}  # no longer among the connections; longest first
        self.stopped = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._left, self._gone = asyncio.Event(), asyncio.Event()
        self.server: asyncio.Server | None = None

    @property
    def crowded(self) -> bool:
        """Whether there are more client connections than the cap; those that linger are not among them."""
        return len(self.connections) > self.limit

    @property
    def address(self) -> Address:
        """Where it listens; the port is the system's choice where the configuration says 0."""
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    async def listen(self, address: Address, shared: bool) -> None:
        """Accept connections on this address only; `shared` with another process of this node."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        self.server = await self.loop.create_server(
            lambda: ClientConnection(self), sock=self.socket, backlog=BACKLOG
        )

    def took(self, connection: ClientConnection) -> None:
        """A connection came in; over the cap the longest idle one goes, and then whoever lingers."""
        self.connections.add(connection)
        self.node.counts["connected"] += 1
        self.idle[connection] = None
        if self.crowded and (oldest := self._oldest(connection)) is not None:
            self.node.counts["client_displaced"] += 1
            oldest.linger()
        if len(self.connections) + len(self.lingering) > self.limit + overflow_limit(self.limit):
            first = next(iter(self.lingering), connection)
            self.lingering.pop(first, None)
            first.close()

    def displace(self) -> None:
        """Under a lower cap the longest idle ones go; those with a request under way may stay, and count."""
        while self.crowded and (oldest := self._oldest()) is not None:
            self.node.counts["client_displaced"] += 1
            oldest.linger()

    def _oldest(self, newest: ClientConnection | None = None) -> ClientConnection | None:
        """The longest idle one that nothing has come from."""
        for connection in self.idle:
            if connection is not newest and not connection.unread:
                return connection
        return None

    def lingers(self, connection: ClientConnection) -> None:
        """This side has ended it: it no longer stands in the way of others."""
        self.lost(connection)
        self.lingering[connection] = None

    def lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)
        if not self.connections:
            self._left.set()
        if not self.connections and not self.lingering:
            self._gone.set()

    def stop(self) -> None:
        """Accept no more and end what is idle; a request that has come meanwhile is still answered."""
        self.stopped = True
        if self.server is not None:
            self._empty()
            self.server.close()
        for connection in list(self.idle):
            if not connection.unread:
                connection.linger()

    def _empty(self) -> None:
        """Take what waits in the listener's queue: it would be reset."""
        assert self.socket is not None
        with contextlib.suppress(OSError):  # none is left
            while True:
                sock, _ = self.socket.accept()
                sock.setblocking(False)
                self.tasks.add(task := self.loop.create_task(self._accept(sock)))
                task.add_done_callback(self.tasks.discard)

    async def _accept(self, sock: socket.socket) -> None:
        await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)

    async def drained(self, wait: float) -> None:
        """Once stopped: wait until every connection has had its last answer, `wait` seconds at most."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=wait)
        if self.connections:
            self._left.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._left.wait(), wait)

    async def close(self, wait: float) -> None:
        """End every connection; returns when all is written and all clients have ended, or after `wait`."""
        for connection in list(self.connections):
            connection.linger()
        if self.lingering:
            self._gone.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._gone.wait(), wait)
