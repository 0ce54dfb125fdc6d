"""A client connection: its stages from the first request to the lingering close."""

from __future__ import annotations

import asyncio
import enum
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from balancer.net import socket_state
from balancer.net.receive_timer import ReceiveTimer
from balancer.net.request_head import RequestHead, read_head, render_request
from balancer.net.request_parser import BadRequestError, RequestParser
from balancer.net.response_writer import WRITE_STALL_TIMEOUT_S, ResponseWriter
from balancer.net.stream import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Upload

if TYPE_CHECKING:
    from balancer.net.listener import Listener

LINGER_TIMEOUT_S = 1.0  # for a client to read its last response and end its side


class Stage(enum.Enum):
    """How far a client connection has come."""

    OPEN = enum.auto()  # requests are read
    LAST = enum.auto()  # the response under way, or the next, is the last: what follows is left unread
    DRAINING = enum.auto()  # the same, but its request's body is still received, and dropped
    LINGERING = enum.auto()  # this side has ended; what is received until the client ends too is dropped
    CLOSED = enum.auto()


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection; it carries one request at a time.

    It has more than 20 methods, as twelve of them are callbacks of asyncio and of the request parser.
    """

    def __init__(self, listener: Listener) -> None:
        """Make the protocol of a connection that `listener` accepts."""
        self.listener = listener
        self.node = listener.node
        self.transport: asyncio.Transport | None = None
        self.stage = Stage.OPEN
        self.request_id: str | None = None  # of the open request
        self.body = bytearray()  # of a request that is buffered
        self.parser = RequestParser(self)
        self.responses = ResponseWriter(self)
        self.receive_timer = ReceiveTimer(listener.loop, self.parser, self.on_receive_timeout)
        self._upload: Upload | None = None
        self._head: RequestHead | None = None  # None for the node's health check
        self._keeps_alive = True
        self._linger_timer: asyncio.TimerHandle | None = None

    # --- stages

    @property
    def is_closing(self) -> bool:
        """Whether the connection is over for this side: nothing is taken from it or written to it."""
        return self.stage in (Stage.LINGERING, Stage.CLOSED)

    @property
    def takes_requests(self) -> bool:
        """Whether requests are read."""
        return self.stage is Stage.OPEN

    @property
    def is_draining_body(self) -> bool:
        """Whether the response is sent before its request's body has been received."""
        return self.stage is Stage.DRAINING

    @property
    def is_last_response(self) -> bool:
        """Whether no other request may follow on this connection."""
        return (
            self.stage is not Stage.OPEN
            or self.parser.is_receiving
            or self.node.is_stopping
            or not self._keeps_alive
        )

    def take_no_more_requests(self) -> None:
        """Close the connection after the response under way, or the next."""
        if self.stage is Stage.OPEN:
            self.stage = Stage.LAST

    def drain_request_body(self) -> None:
        """Drop the rest of the request's body, as its response has begun."""
        if self.parser.is_receiving:
            self.stage = Stage.DRAINING

    # --- asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; one over the limit gets a response and is closed."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.receive_timer.start()
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the open request, as its client has left."""
        self.stage = Stage.CLOSED
        self.listener.remove(self)
        self._abandon_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer: no read is longer than what may wait for a slow backend."""
        return self.node.memory.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(self.node.memory.copy_read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse a request; one that cannot be parsed gets an error response and a close."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return  # the response under way says `Connection: close`
        parser = self.parser
        try:
            parser.feed(data)
        except httptools.HttpParserUpgrade:
            self._end_after_upgrade()
        except BadRequestError as err:
            self._reject_request(err.status, str(err))
        if parser.exceeds_header_limit(len(data)):
            self._reject_request(431, "headers too long")
        if parser.is_receiving and not self.receive_timer.is_running and not self.is_closing:
            self.receive_timer.start()

    def pause_writing(self) -> None:
        """Slow down, as the client reads slowly."""
        self.responses.pause_writing()

    def resume_writing(self) -> None:
        """Go on, as the client has read."""
        self.responses.resume_writing()

    # --- receiving a request

    def request_started(self) -> bool:
        """Begin a request; one that comes before the last is answered is left unread."""
        if self.request_id is not None or self.stage is not Stage.OPEN:
            # What is received behind a response that closes the connection would be lost.
            self.take_no_more_requests()
            return False
        self.body = bytearray()
        self._upload = None
        self._head = None
        self.receive_timer.reset()
        self.listener.idle.pop(self, None)
        return True

    def head_received(self) -> None:
        """Check the head before any of the body is read. Raises BadRequestError."""
        self.receive_timer.start_body()
        self._head = read_head(self.parser, self.node.classes, self.node.settings)
        if (self.parser.content_length or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if self.parser.expects_continue and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_received(self, data: bytes) -> None:
        """Buffer a piece of a small body, stream one of a long body. Raises BadRequestError."""
        if self.stage is not Stage.OPEN:
            return
        size = self.parser.body_size
        if size > (MAX_BUFFERED_BODY_BYTES if self._head is None else MAX_BODY_BYTES):
            raise BadRequestError(413, "body too large")
        if self._upload is not None:
            self._upload.feed(data)
            return
        self.body += data
        if size > MAX_BUFFERED_BODY_BYTES:
            self._upload = Upload(self.parser.content_length, self.node.memory, self._set_reading)
            self._upload.feed(self.body)
            self.body = bytearray()
            self._handle_request()

    def request_received(self) -> None:
        """Handle a buffered request, or begin the time of a streamed one."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return
        self.receive_timer.cancel()
        if self.stage is Stage.DRAINING:
            self.stage = Stage.LAST
            if not self.responses.is_streaming:
                self.linger()
            return
        self._keeps_alive = self.parser.keeps_alive
        if self._upload is None:
            self._handle_request()
            return
        self._upload.complete()
        if self.request_id is not None and self._head is not None:
            self.node.requests.body_received(self.request_id, self.node.now() + self._head.timeout_ms)

    def _set_reading(self, is_reading: bool) -> None:
        """Resume or pause reading from the client."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_reading:
            self.receive_timer.resume()
            self.transport.resume_reading()
        else:
            self.receive_timer.pause()
            self.transport.pause_reading()

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has closed or reset the connection while it is not read from."""
        if not (self.receive_timer.is_paused or self.responses.is_reading_paused) or self.transport is None:
            return False
        return socket_state.has_peer_ended(self.transport)

    @property
    def has_unread_data(self) -> bool:
        """Whether something was received that the loop has not read yet."""
        assert self.transport is not None
        return socket_state.has_unread_data(self.transport)

    def _end_after_upgrade(self) -> None:
        """Read no more: the parser stops at an upgrade, which is not offered here."""
        self.take_no_more_requests()
        if self.request_id is None:  # else its response is yet to be sent
            self.linger()

    def on_receive_timeout(self) -> None:
        """Close an idle connection, or reject a request that is received too slowly."""
        if not self.parser.is_receiving:
            if self.request_id is None:
                self.node.counts["client_idle"] += 1
                self.linger()
        elif self.stage is Stage.DRAINING:
            self.responses.break_off()
        else:
            self._reject_request(408, "request took too long")

    # --- handling a request

    def _handle_request(self) -> None:
        node = self.node
        upload = self._upload
        if self._head is None:
            self.responses.write(200 if node.is_up else 503, b"up\n" if node.is_up else b"not up\n")
            return
        event = self._head.event
        if event.request in node.requests.open:
            self._reject_request(409, "Request-Id is in use")
            return
        if is_over_limit := self.listener.is_over_limit:
            self.take_no_more_requests()
        if node.is_full or is_over_limit:
            node.count_over_limit(event.class_name)
            self.responses.write(503, b"too many requests\n")
            if upload is not None:
                upload.discard()
            return
        event.deadline = node.now() + self._head.timeout_ms
        event.body_pending = upload is not None
        self.request_id = event.request
        parser = self.parser
        body = bytes(self.body)
        framing = self._backend_framing(body)
        render = partial(render_request, parser.method, parser.target, parser.headers, framing, body)
        node.requests.accept(event, self.responses, render, upload)

    def _backend_framing(self, body: bytes) -> bytes:
        """Return the framing header of the request to the backend, empty for a request without a body."""
        if self._upload is None:
            return b"Content-Length: %d" % len(body) if body or self.parser.method != b"GET" else b""
        if self._upload.size is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self._upload.size

    def _reject_request(self, status: int, reason: str) -> None:
        """Send an error response for what was received, and close."""
        if self.is_closing:
            return
        if self.stage is Stage.DRAINING:
            self.responses.break_off()
            return
        if self.request_id is not None:
            if not self.parser.is_receiving or self._upload is None:
                self.take_no_more_requests()  # the request before it gets its own response first
                return
            self._disconnect_request()
            if self.responses.is_streaming:
                self.responses.break_off()
                return
        if self._upload is not None:
            self._upload.discard()
            self._upload = None
        self.take_no_more_requests()
        self.node.counts[f"client_error_{status}"] += 1
        self.responses.write(status, reason.encode() + b"\n")

    def _disconnect_request(self) -> None:
        if self.request_id is not None:
            name = self.request_id
            self.request_id = None
            self.node.requests.client_disconnected(name)

    def _abandon_request(self) -> None:
        """Release what the open request and the timers hold."""
        self.receive_timer.cancel()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        self.responses.end_stream()
        self._disconnect_request()
        if self._upload is not None:
            self._upload.discard()

    def response_sent(self, is_kept_alive: bool) -> None:
        """Wait for the next request, or close; `is_kept_alive`: the response's head has promised to wait."""
        if self.parser.is_receiving and self._upload is not None:
            # A close now would reset the connection and discard the response: the client still sends.
            self.stage = Stage.DRAINING
        elif (
            self.stage is not Stage.OPEN
            or self.listener.is_stopped
            or (self.is_last_response and not is_kept_alive)
        ):
            self.linger()
        else:
            self.listener.idle[self] = None

    # --- closing

    def linger(self) -> None:
        """End this side once the response is sent, then drop what is received until the client ends too.

        A close with unread bytes would be a reset, which discards the response on its way.
        """
        if self.is_closing or self.transport is None:
            return
        self.stage = Stage.LINGERING
        self._abandon_request()
        self.listener.keep_lingering(self)
        if not self.transport.is_closing():
            self.transport.write_eof()
        loop = self.listener.loop
        deadline = loop.time() + WRITE_STALL_TIMEOUT_S
        self._linger_timer = loop.call_later(LINGER_TIMEOUT_S, self._end_linger, deadline)

    def _end_linger(self, deadline: float) -> None:
        assert self.transport is not None
        loop = self.listener.loop
        if self.transport.get_write_buffer_size() and loop.time() < deadline:
            self._linger_timer = loop.call_later(LINGER_TIMEOUT_S, self._end_linger, deadline)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, whatever is still being sent."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close by a reset."""
        if self.transport is not None:
            socket_state.reset(self.transport)
