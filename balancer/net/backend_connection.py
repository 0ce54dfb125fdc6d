"""A connection to a backend: connecting, sending a request, receiving its response, flow control."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, cast

from balancer.interface import AttemptStatus
from balancer.net.attempt import Attempt, AttemptResult
from balancer.net.load_report import LoadReportError
from balancer.net.response_parser import ResponseParser
from balancer.net.statistics import CloseReason
from balancer.net.stream import MAX_BUFFERED_BODY_BYTES

if TYPE_CHECKING:
    from balancer.net.connection_pool import ConnectionPool, EndpointConnections

STREAMING_DELAY_S = 0.025  # a body of unknown length is buffered so long: most are complete by then
MIN_LONG_RESPONSE_RATE = 16 * 1024  # bytes/s of a response of unknown length that may still become long
STALL_TIMEOUT_S = 10.0  # without a byte in either direction
STALL_CHECK_MIN_S = STALL_TIMEOUT_S / 10
REUSE_DELAY_S = 0.006  # without a byte before a connection is reused: a second response may come late


class BackendConnection(asyncio.BufferedProtocol):
    """One connection to a backend; it carries one attempt at a time.

    It has more than 20 methods, as eight of them are asyncio's protocol callbacks.
    """

    def __init__(self, pool: ConnectionPool, endpoint: EndpointConnections) -> None:
        """Make a connection to `endpoint` that is not established yet."""
        self.pool = pool
        self.endpoint = endpoint
        self.address = endpoint.address
        self.socket: socket.socket | None = None
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.attempt: Attempt | None = None
        self.is_closed = False
        self.is_request_written = False
        self.is_write_blocked = False
        self.idle_since = 0.0  # loop time
        self._last_progress = 0.0  # loop time
        self._is_creating_transport = False  # the loop owns the socket: only `connect` closes it
        self._is_request_started = False  # what is received before is no response
        self._is_reading_paused = False
        self.streaming_since = 0.0  # loop time
        self.streaming_timer: asyncio.TimerHandle | None = None  # for a body of unknown length
        self._reuse_timer: asyncio.TimerHandle | None = None  # an attempt waits for `REUSE_DELAY_S`
        self._stall_timer: asyncio.TimerHandle | None = None
        self.response = ResponseParser(self._begin_streaming)

    # --- connecting and closing

    async def connect(self) -> None:
        """Connect, then send the attempt that waits for it.

        The socket is made here, a turn of the loop after others were closed: by then their descriptors are
        free.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        try:
            sock = self.socket = socket.socket(family, socket.SOCK_STREAM)
        except OSError as err:
            self.pool.warnings.log("no socket", f"no socket for a backend: {err}")
            self._fail(AttemptStatus.NOT_STARTED)
            return
        sock.setblocking(False)
        try:
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await loop.sock_connect(sock, self.address)
            self._is_creating_transport = True
            await loop.create_connection(lambda: self, sock=sock)
        except (OSError, TimeoutError):
            self._is_creating_transport = False
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        self._is_creating_transport = False
        if self.is_closed:
            assert self.transport is not None
            self.transport.abort()
        else:
            self._send_waiting()

    def send_after_delay(self, attempt: Attempt) -> None:
        """Send an attempt's request as soon as the connection has been idle for `REUSE_DELAY_S`."""
        self.attempt = attempt
        attempt.connection = self
        self._reuse_timer = self.pool.loop.call_at(self.idle_since + REUSE_DELAY_S, self._send_waiting)

    def _send_waiting(self) -> None:
        """Send the waiting attempt's request, if it is still wanted."""
        attempt = self.attempt
        if attempt is None or self.is_closed:
            self.close(CloseReason.ABANDONED)
        elif not self.is_endpoint_current or not attempt.is_wanted():
            # The endpoint or the client may have gone while the connection was being established.
            accepts = self.endpoint.accepts_requests
            self._fail(
                AttemptStatus.NOT_STARTED, CloseReason.ABANDONED if accepts else CloseReason.ENDPOINT_REMOVED
            )
        elif self._reuse_timer is not None and not self.is_usable:
            self._fail(AttemptStatus.NOT_STARTED)
        else:
            self.send(attempt)

    @property
    def is_endpoint_current(self) -> bool:
        """Whether the endpoint accepts requests and is still at this connection's address."""
        return self.endpoint.accepts_requests and self.endpoint.address == self.address

    @property
    def is_usable(self) -> bool:
        """Whether it is established and nothing waits to be read, which would be no response to a request."""
        if self.socket is None or self.transport is None or self.transport.is_closing():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # part of a line, a second response or an end of file

    def _fail(self, status: AttemptStatus, reason: CloseReason = CloseReason.PEER_CLOSED) -> None:
        attempt = self.attempt
        self.attempt = None
        self.close(reason)
        if attempt is not None:
            attempt.finish(AttemptResult(status))

    def _warn(self, kind: str, text: str = "") -> None:
        self.pool.warnings.log(kind, "backend {}:{}: {:.300}".format(*self.address, text or kind))

    def close(self, reason: CloseReason) -> None:
        """Close now: transports would do it a turn of the loop later, after the next attempt was sent."""
        if self.is_closed:
            return
        self.is_closed = True
        self.pool.close_counts[reason] += 1
        self._cancel_timers()
        self.pool.remove(self)
        if self.transport is None and not self._is_creating_transport:
            if self.connect_task is not None and self.connect_task is not asyncio.current_task():
                self.connect_task.cancel()
            if self.socket is not None:
                self.socket.close()
            return
        assert self.socket is not None
        with contextlib.suppress(OSError):  # the peer was first
            self.socket.shutdown(socket.SHUT_RDWR)
        # A descriptor closed twice may by then be that of a client.
        if self.transport is not None and not self._is_creating_transport:
            self.transport.abort()

    # --- asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the watermark to 0, so that `pause_writing` tells which bytes have not been sent."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Note that bytes of the request are still buffered."""
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        """Go on with the upload, or count the request as sent."""
        self.is_write_blocked = False
        if self.is_request_written:
            self._count_sent()
        else:
            self._write_upload()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt: a break before the request's last byte was sent proves that it never ran."""
        if self._reuse_timer is not None:  # the request was not begun, so this says nothing of the backend
            self._fail(AttemptStatus.NOT_STARTED)
            return
        self._fail(self._break_status)

    def eof_received(self) -> bool:
        """Complete a body that lasts as long as its connection; anything else is a break."""
        if self.attempt is not None and self.response.finish_at_eof():
            self._finish(is_clean=True)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer: no read is longer than what may wait for a slow client."""
        return self.pool.memory.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(self.pool.memory.copy_read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse the response; bytes that belong to none make the connection unusable."""
        self._last_progress = self.pool.loop.time()
        if self.attempt is None or self._reuse_timer is not None:
            self._fail(AttemptStatus.NOT_STARTED)
            return
        if not self._is_request_started:
            self._warn("response before its request")
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        response = self.response
        fault = response.feed(data)
        if self.attempt is None:  # the streamed response is no longer wanted
            return
        if response.is_complete:
            self._finish(is_clean=not fault and not response.has_excess)
        elif fault or response.has_excessive_headers:
            self._warn("malformed response" if fault else "headers too long", fault)
            self._fail(AttemptStatus.RESET)
        elif response.body and response.length is None and self.streaming_timer is None:
            self.streaming_timer = self.pool.loop.call_later(STREAMING_DELAY_S, self._begin_streaming)

    # --- sending

    @property
    def is_request_sent(self) -> bool:
        """Whether the request's last byte may have left this node."""
        return self.is_request_written and not self.is_write_blocked

    @property
    def _break_status(self) -> AttemptStatus:
        return AttemptStatus.RESET if self.is_request_sent else AttemptStatus.CONNECT_FAILED

    def send(self, attempt: Attempt) -> None:
        """Send an attempt's request."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        self._reuse_timer = None
        self._is_reading_paused = False
        self.response.reset()
        self._is_request_started = True
        self.transport.write(attempt.request)
        if attempt.upload is not None:
            attempt.upload.attach(self._write_upload)
            self._watch_for_stall()
            self._write_upload()
        else:
            self.is_request_written = True
        # A write that fails at once closes the transport: nothing was sent, so this is no reset.
        if self.transport.is_closing():
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif attempt.upload is None:
            self._count_sent()

    def _count_sent(self) -> None:
        if self.attempt is not None and not self.is_write_blocked:
            self.pool.statistics.attempts_sent += 1

    def _write_upload(self) -> None:
        """Write what there is of a streamed request body while the backend takes it."""
        if self.attempt is None or (upload := self.attempt.upload) is None or self.is_request_written:
            return
        assert self.transport is not None
        while not (self.is_write_blocked or self.is_request_written or self.transport.is_closing()):
            self._last_progress = self.pool.loop.time()
            is_chunked = upload.size is None
            data = upload.take()
            if data:
                self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)
            elif upload.is_complete:
                if is_chunked:
                    self.transport.write(b"0\r\n\r\n")
                self.is_request_written = True
                self._count_sent()
            else:
                break

    # --- stalls

    def _watch_for_stall(self) -> None:
        """Fail the attempt when no byte moves: a streamed body has no other time limit."""
        if self._stall_timer is None:
            self._last_progress = self.pool.loop.time()
            self._stall_timer = self.pool.loop.call_later(STALL_TIMEOUT_S, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        if self.attempt is None:
            return
        is_receiving = self.response.sink is not None and not self._is_reading_paused
        remaining = self._last_progress + STALL_TIMEOUT_S - self.pool.loop.time()
        if (self.is_write_blocked or is_receiving) and remaining <= 0:
            self._warn("connection stalled")
            self._fail(self._break_status)
            return
        delay = max(remaining, STALL_CHECK_MIN_S)
        self._stall_timer = self.pool.loop.call_later(delay, self._check_stall)

    def _cancel_timers(self) -> None:
        for timer in (self._stall_timer, self.streaming_timer, self._reuse_timer):
            if timer is not None:
                timer.cancel()
        self._stall_timer = None
        self.streaming_timer = None
        self._reuse_timer = None

    # --- receiving

    def _begin_streaming(self) -> None:
        """Stream the response from here on: it is too long, or takes too long, to be buffered."""
        response = self.response
        if self.streaming_timer is not None:
            self.streaming_timer.cancel()
            self.streaming_timer = None
        if self.attempt is None or response.sink is not None or response.is_complete:
            return
        response.sink = self.attempt.on_stream(self, response.length, response.content_type)
        if response.sink is None:
            self._fail(AttemptStatus.RESET)
            return
        self._watch_for_stall()
        self.streaming_since = self.pool.loop.time()
        if response.body:
            response.sink.feed(response.take_body())

    @property
    def has_long_response(self) -> bool:
        """Whether the streamed response is long, or seems to become so at its rate.

        While the client is slow the rate says nothing.
        """
        response = self.response
        if response.sink is None:
            return False
        expected = MIN_LONG_RESPONSE_RATE * (self.pool.loop.time() - self.streaming_since)
        return (
            response.length is not None
            or self._is_reading_paused
            or response.body_size > MAX_BUFFERED_BODY_BYTES
            or response.body_size >= expected
        )

    def pause_reading(self) -> None:
        """Leave the rest of the response with the backend, as the client is slow."""
        if self.transport is not None and not self._is_reading_paused and not self.is_closed:
            self._is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on receiving the response."""
        if self.transport is not None and self._is_reading_paused and not self.is_closed:
            self._is_reading_paused = False
            self._last_progress = self.pool.loop.time()
            self.transport.resume_reading()

    def _finish(self, is_clean: bool) -> None:
        attempt = self.attempt
        assert attempt is not None
        self.attempt = None
        self._cancel_timers()
        report = None
        try:
            report = self.response.parse_load_report()
        except LoadReportError as err:
            self._warn("bad report", str(err))
        if self._is_reading_paused:
            self.resume_reading()
        result = self.response.result(report)
        self.pool.release(self, is_clean and self.response.keep_alive and self.is_request_sent)
        attempt.finish(result)
