"""Client connection: its stages from the first request to the lingering close."""

from __future__ import annotations

import asyncio
import enum
from functools import partial
from typing import TYPE_CHECKING, cast

from balancer.net import socket_state
from balancer.net.receive_timer import ReceiveTimer
from balancer.net.request_head import RequestHead, read_head, render_request
from balancer.net.request_parser import BadRequestError, RequestParser
from balancer.net.response_delivery import CutReason, ResponseDelivery
from balancer.net.response_writer import ResponseWriter
from balancer.net.stream import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Upload
from balancer.net.upload_clock import UploadClock, UploadProgress

if TYPE_CHECKING:
    from balancer.net.listener import Listener

# A turn of the event loop reads this much of small requests or chunks from a connection, others come then.
SHORT_READ_BYTES = 4 * 1024
MIN_BODY_FRACTION = 0.9  # Share of the body in a read behind which the next one may be long.
LINGER_TIMEOUT_S = 1.0  # A client has 1 s to read its last response and close its side.


class Stage(enum.Enum):
    """Stage in the life of a client connection."""

    OPEN = enum.auto()  # Requests are read from the client and handled.
    LAST_RESPONSE = enum.auto()  # The current or next response is the last; later requests are left unread.
    DRAINING = enum.auto()  # The last response is being sent while the rest of its request's body is dropped.
    LINGERING = enum.auto()  # This side is half-closed; received bytes are dropped until the client closes.
    CLOSED = enum.auto()


class ClientConnection(asyncio.BufferedProtocol):
    """Client connection that carries one request at a time.

    It has more than 20 methods because twelve of them are callbacks of asyncio and of the request parser.
    """

    def __init__(self, listener: Listener) -> None:
        """Create the protocol of a connection accepted by `listener`."""
        self.listener = listener
        self.node = listener.node
        self.transport: asyncio.Transport | None = None
        self.stage = Stage.OPEN
        self.request_id: str | None = None  # Id of the request in progress; None between requests.
        self.body = bytearray()  # Body of the current request while it is small enough to be buffered.
        self.parser = RequestParser(self)
        self.responses = ResponseWriter(self)
        self.delivery = ResponseDelivery(
            listener.loop, self.responses.release_memory, partial(self.cut_off, CutReason.NOT_READ)
        )
        self.receive_timer = ReceiveTimer(
            listener.loop, self.parser, lambda: self.has_unread_data, self.on_receive_timeout
        )
        self._reads_body = False  # The last read was a part of a body, which costs little to parse.
        self._buffered_bytes = 0  # What the current request's body takes of the memory for short bodies.
        self._upload: Upload | None = None
        self._upload_clock = UploadClock(listener.loop, self._upload_progress, self._fail_overdue_upload)
        self._head: RequestHead | None = None  # None for a health check of the node itself.
        self._keeps_alive = True
        self._linger_timer: asyncio.TimerHandle | None = None

    # --- connection stages

    @property
    def is_closing(self) -> bool:
        """Whether this side has closed the connection and neither reads requests nor writes responses."""
        return self.stage in (Stage.LINGERING, Stage.CLOSED)

    @property
    def accepts_requests(self) -> bool:
        """Whether further requests are read from the client."""
        return self.stage is Stage.OPEN

    @property
    def is_draining_body(self) -> bool:
        """Whether a response is being sent before its request's body has been received completely."""
        return self.stage is Stage.DRAINING

    @property
    def is_sending(self) -> bool:
        """Whether a response has begun and not all of it has been handed to the kernel."""
        is_sending = self.responses.is_streaming or self.delivery.queue.unsent_bytes > 0
        return is_sending and self.stage is not Stage.CLOSED

    @property
    def is_last_response(self) -> bool:
        """Whether the connection closes after the current or next response."""
        return (
            self.stage is not Stage.OPEN
            or self.parser.is_receiving
            or self.node.is_stopping
            or not self._keeps_alive
        )

    def close_after_response(self) -> None:
        """Close the connection after the current or next response."""
        if self.stage is Stage.OPEN:
            self.stage = Stage.LAST_RESPONSE

    def drain_request_body(self) -> None:
        """Discard the rest of the request's body because its response has begun."""
        if self.parser.is_receiving:
            self.stage = Stage.DRAINING

    # --- asyncio protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; one over the limit gets a response and is closed."""
        # uvloop's transports do not subclass `asyncio.Transport`, so this needs a cast.
        self.transport = cast(asyncio.Transport, transport)
        self.delivery.queue.attach(self.transport)
        self.receive_timer.start()
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the open request because its client has disconnected."""
        self.stage = Stage.CLOSED
        self.delivery.stop()
        self.listener.remove(self)
        self._abandon_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer; its size caps how much one read can queue for a slow backend.

        Many small requests or chunks take long to parse, and other clients wait for that.
        """
        buffer = self.node.memory.read_buffer()
        return buffer if self._reads_body else buffer[:SHORT_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that asyncio has read into the shared buffer."""
        body_bytes = self.parser.total_body_bytes
        self.data_received(self.node.memory.copy_read(nbytes))
        self._reads_body = self.parser.total_body_bytes - body_bytes >= MIN_BODY_FRACTION * nbytes
        if nbytes >= SHORT_READ_BYTES and not self._reads_body and not self.is_closing:
            self._let_others_read()

    def _let_others_read(self) -> None:
        """Read on in the next turn of the event loop, which would go on with this connection otherwise."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.listener.loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        is_paused = self.receive_timer.is_paused or self.responses.is_reading_paused
        if self.transport is not None and not self.transport.is_closing() and not is_paused:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer a malformed one with an error and close the connection."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return  # The response in progress has announced `Connection: close`, so later bytes are ignored.
        parser = self.parser
        try:
            parser.feed(data)
        except BadRequestError as err:
            self._reject_request(err.status, str(err))
        if self._upload_clock.is_running and not self.receive_timer.is_paused and not self.has_unread_data:
            self._upload_clock.caught_up()
        if parser.is_receiving and not self.receive_timer.is_running and not self.is_closing:
            self.receive_timer.start()

    def pause_writing(self) -> None:
        """Stop reading from the backend or the client while the client reads slowly."""
        self.responses.pause_writing()

    def resume_writing(self) -> None:
        """Continue reading once the client has read what was written."""
        self.responses.resume_writing()

    # --- receiving a request: callbacks of the parser

    def request_started(self) -> bool:
        """Begin a request; return False for a pipelined one, which is left unread."""
        if self.request_id is not None or self.stage is not Stage.OPEN:
            # A pipelined request would be lost if the response before it closed the connection.
            self.close_after_response()
            return False
        self._release_body()
        self._upload = None
        self._head = None
        self.receive_timer.reset()
        self.listener.idle.pop(self, None)
        return True

    def head_received(self) -> None:
        """Validate the request head before the body is read. Raises BadRequestError."""
        self.receive_timer.start_body()
        self._head = read_head(self.parser, self.node.classes, self.node.settings)
        if (self.parser.content_length or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if self.parser.expects_continue and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_received(self, data: bytes) -> None:
        """Buffer the body while it is small, stream it once it is long. Raises BadRequestError."""
        if self.stage is not Stage.OPEN:
            return
        size = self.parser.body_size
        if size > (MAX_BUFFERED_BODY_BYTES if self._head is None else MAX_BODY_BYTES):
            raise BadRequestError(413, "body too large")
        if self._upload is not None:
            self._upload.feed(data)
            return
        self._buffer_body(data)
        if size > MAX_BUFFERED_BODY_BYTES:
            self._upload = Upload(self.parser.content_length, self.node.memory, self._set_reading)
            self._upload.feed(self.body)
            self._release_body()
            self._handle_request()

    def _buffer_body(self, data: bytes) -> None:
        """Add data to the buffered body. Raises BadRequestError if the memory for short bodies is in use."""
        if not self.node.memory.buffer(len(data)):
            if self._head is not None:
                self.node.count_over_limit(self._head.event.class_name)
            raise BadRequestError(503, "too many requests")
        self._buffered_bytes += len(data)
        self.body += data

    def request_received(self) -> None:
        """Handle a complete buffered request, or start the deadline of a streamed one."""
        if self.stage not in (Stage.OPEN, Stage.DRAINING):
            return
        self.receive_timer.cancel()
        if self.stage is Stage.DRAINING:
            self.stage = Stage.LAST_RESPONSE
            if not self.responses.is_streaming:
                self.linger()
            return
        self._keeps_alive = self.parser.keeps_alive
        if self._upload is None:
            self._handle_request()
            return
        self._upload.complete()
        if self.request_id is not None and self._head is not None:
            arrived_at = self._upload_arrived_at()
            self._upload_clock.stop()
            self.node.requests.body_received(self.request_id, arrived_at + self._head.timeout_ms)

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
            self._upload_clock.reading_paused()

    def _upload_arrived_at(self) -> float:
        """Return when the last byte of an upload, which was just read, may have been written (ms)."""
        assert self.transport is not None
        now = self.node.now()
        arrived_at = now - self.node.loop_monitor.unread_ms(self.transport)
        if (unread_since := self._upload_clock.unread_since) is not None:
            arrived_at = min(arrived_at, now - (self.listener.loop.time() - unread_since) * 1000)
        return arrived_at

    def _upload_progress(self) -> UploadProgress:
        """Return how much of the body has come."""
        unread_bytes = 0 if self.transport is None else socket_state.unread_bytes(self.transport)
        return UploadProgress(
            self.parser.content_length, self.parser.body_size, unread_bytes, self.receive_timer.is_paused
        )

    def _fail_overdue_upload(self) -> None:
        if self.request_id is not None:
            self.node.requests.expire_upload(self.request_id, self._upload_progress())

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has closed or reset the connection, even if that is still unread."""
        return self.transport is None or socket_state.has_peer_ended(self.transport)

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds received bytes that the event loop has not read yet."""
        assert self.transport is not None
        return socket_state.has_unread_data(self.transport)

    def on_receive_timeout(self) -> None:
        """Close an idle connection, or reject a request that arrives too slowly."""
        if not self.parser.is_receiving:
            if self.request_id is None:
                self.node.counts["client_idle"] += 1
                self.linger()
        elif self.stage is Stage.DRAINING:
            self.responses.abort_stream()
        else:
            self._reject_request(408, "request took too long")

    # --- handling a received request

    def _handle_request(self) -> None:
        node = self.node
        upload = self._upload
        if self._head is None:
            self.responses.write(200 if node.is_up else 503, b"up\n" if node.is_up else b"not up\n")
            return
        event = self._head.event
        if node.requests.is_repeated(event.request):
            self._reject_request(409, "Request-Id is in use or has been used")
            return
        if is_over_limit := self.listener.is_over_limit:
            self.close_after_response()
        if node.is_full or is_over_limit:
            node.count_over_limit(event.class_name)
            self.responses.write(503, b"too many requests\n")
            if upload is not None:
                upload.discard()
            return
        assert self.transport is not None
        unread_ms = node.loop_monitor.unread_ms(self.transport)
        event.deadline = node.now() - unread_ms + self._head.timeout_ms
        event.body_pending = upload is not None
        if upload is not None:
            self._upload_clock.begin(self._head.timeout_ms / 1000, self.receive_timer.is_paused)
        self.request_id = event.request
        parser = self.parser
        body = bytes(self.body)
        self.body = bytearray()
        framing = self._backend_framing(body)
        render = partial(render_request, parser.method, parser.target, parser.headers, framing, body)
        is_streamed = self._head.is_streamed
        node.requests.accept(event, self.responses, render, upload, unread_ms, is_streamed)

    def _backend_framing(self, body: bytes) -> bytes:
        """Return the framing header for the backend request; it is empty for a request without a body."""
        if self._upload is None:
            return b"Content-Length: %d" % len(body) if body or self.parser.method != b"GET" else b""
        if self._upload.size is None:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self._upload.size

    def _reject_request(self, status: int, reason: str) -> None:
        """Answer the request being received with an error and close the connection."""
        if self.is_closing:
            return
        if self.stage is Stage.DRAINING:
            self.responses.abort_stream()
            return
        if self.request_id is not None:
            if not self.parser.is_receiving or self._upload is None:
                self.close_after_response()  # The request in progress still gets its own response.
                return
            self._disconnect_request()
            if self.responses.is_streaming:
                self.responses.abort_stream()
                return
        if self._upload is not None:
            self._upload.discard()
            self._upload = None
        self._release_body()
        self.close_after_response()
        self.node.counts[f"client_error_{status}"] += 1
        self.responses.write(status, reason.encode() + b"\n")

    def _release_body(self) -> None:
        """Drop the buffered body, and give back its share of the memory."""
        self.body = bytearray()
        self.node.memory.release(self._buffered_bytes)
        self._buffered_bytes = 0

    def _disconnect_request(self) -> None:
        self._upload_clock.stop()
        if self.request_id is not None:
            name = self.request_id
            self.request_id = None
            self.node.requests.client_disconnected(name)

    def _abandon_request(self) -> None:
        """Disconnect the open request and release the timers, the stream and the upload."""
        self.receive_timer.cancel()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        self.responses.end_stream()
        self._disconnect_request()
        self._release_body()
        if self._upload is not None:
            self._upload.discard()

    def response_sent(self, is_kept_alive: bool) -> None:
        """Wait for the next request, or close the connection, once a response is sent.

        `is_kept_alive` tells whether the head of the response announced keep-alive.
        """
        self._release_body()
        self._upload_clock.stop()
        if self.parser.is_receiving and self._upload is not None:
            # Closing while the client still sends would reset the connection and discard the response.
            self.stage = Stage.DRAINING
        elif (
            self.stage is not Stage.OPEN
            or self.listener.is_stopped
            or (self.is_last_response and not is_kept_alive)
        ):
            self.linger()
        else:
            self.listener.idle[self] = None

    # --- closing the connection

    def linger(self) -> None:
        """Half-close once the response is sent, then discard received bytes until the client closes.

        Closing a socket with unread bytes sends a reset, which would discard a response in transit.
        """
        if self.is_closing or self.transport is None:
            return
        self.stage = Stage.LINGERING
        self._abandon_request()
        self.listener.move_to_lingering(self)
        if not self.transport.is_closing():
            self.transport.write_eof()
        self.delivery.watch()
        self._schedule_linger_end()

    def _schedule_linger_end(self) -> None:
        self._linger_timer = self.listener.loop.call_later(LINGER_TIMEOUT_S, self._end_linger)

    def _end_linger(self) -> None:
        """Close once the client has received everything: after the close, bytes from it cause a reset."""
        if self.delivery.queue.is_delivered:
            self.close()
        else:
            self._schedule_linger_end()

    @property
    def closes_cleanly(self) -> bool:
        """Whether closing at once cuts nothing off: the kernel has all bytes, and none that make it reset."""
        queue = self.delivery.queue
        return queue.is_delivered or not (queue.unsent_bytes or self.has_unread_data)

    def close(self) -> None:
        """Close at once and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if self.transport is not None:
            socket_state.reset(self.transport)

    def cut_off(self, reason: CutReason) -> None:
        """Reset the connection below a response that its client has not received; count and log that."""
        if self.transport is None or self.stage is Stage.CLOSED:
            return
        self.node.counts["client_answer_cut_off"] += 1
        unsent = self.delivery.queue.unsent_bytes
        unacknowledged = self.delivery.queue.unacknowledged_bytes
        self.listener.warnings.log(
            reason.value,
            f"response cut off: {reason.value}; {unsent} bytes not sent, {unacknowledged} not acknowledged",
        )
        self.reset()
