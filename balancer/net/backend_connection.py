"""Backend connection: connecting, sending requests, receiving responses, flow control."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, cast

from balancer.interface import AttemptStatus
from balancer.net import socket_state
from balancer.net.attempt import Attempt, AttemptResult
from balancer.net.load_report import LoadReportError
from balancer.net.response_hold import ResponseHold
from balancer.net.response_parser import MAX_HEADER_BYTES, ResponseParser
from balancer.net.send_queue import SendQueue
from balancer.net.statistics import CloseReason

if TYPE_CHECKING:
    from balancer.net.connection_pool import ConnectionPool, EndpointConnections

# An attempt with a streamed body fails if the backend receives and sends no byte for 10 s.
STALL_TIMEOUT_S = 10.0
STALL_CHECK_INTERVAL_S = 1.0
# A connection is not reused until 6 ms after a response, because a faulty second response may follow.
REUSE_DELAY_S = 0.006


class BackendConnection(asyncio.BufferedProtocol):
    """Backend connection that carries one attempt at a time.

    It has more than 20 methods because eight of them are asyncio protocol callbacks.
    """

    def __init__(self, pool: ConnectionPool, endpoint: EndpointConnections) -> None:
        """Create a connection to `endpoint` that is not established yet."""
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
        self.idle_since = 0.0  # Loop time in seconds at which the connection became idle.
        self._last_progress = 0.0  # Loop time in seconds of the last byte sent or received.
        # While the transport is created, the event loop owns the socket, so only `connect` closes it.
        self._is_creating_transport = False
        self._is_request_started = False  # Bytes received before the first request are not a response.
        self._is_reading_paused = False
        # The timer runs while an attempt waits until the connection has been idle for `REUSE_DELAY_S`.
        self._reuse_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._send_queue = SendQueue()
        self.response = ResponseParser(self._begin_streaming)
        self.hold = ResponseHold(pool.loop, self._begin_streaming)

    # --- connecting and closing

    async def connect(self) -> None:
        """Connect, then send the request of the waiting attempt.

        The socket is created here, one event loop iteration after evicted connections were closed, because
        only then are their descriptors free.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        try:
            sock = self.socket = socket.socket(family, socket.SOCK_STREAM)
        except OSError as err:
            self.pool.warnings.log("no socket", f"no socket for a backend: the attempt is not started: {err}")
            self._fail(AttemptStatus.NOT_STARTED, detail="no socket for a new connection")
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
        """Send the request of an attempt as soon as the connection has been idle for `REUSE_DELAY_S`."""
        self.attempt = attempt
        attempt.connection = self
        self._reuse_timer = self.pool.loop.call_at(self.idle_since + REUSE_DELAY_S, self._send_waiting)

    def _send_waiting(self) -> None:
        """Send the request of the waiting attempt, unless its endpoint, client or time is gone meanwhile."""
        self.pool.read_list_updates()
        attempt = self.attempt
        if attempt is None or self.is_closed:
            self.close(CloseReason.ABANDONED)
        elif not self.is_endpoint_current:
            self._fail(AttemptStatus.NOT_STARTED, CloseReason.ENDPOINT_REMOVED, "backend has left or moved")
        elif self._reuse_timer is not None and not self.is_usable:
            self._fail(AttemptStatus.NOT_STARTED, detail="connection ended before its reuse")
        elif (request := attempt.refresh() if attempt.refresh is not None else attempt.request) is None:
            detail = "client or its time is gone"
            self._fail(AttemptStatus.NOT_STARTED, CloseReason.ABANDONED, detail)
        else:
            attempt.request = request
            self.send(attempt)

    @property
    def is_endpoint_current(self) -> bool:
        """Whether the endpoint accepts requests and still has the address of this connection."""
        return self.endpoint.accepts_requests and self.endpoint.address == self.address

    @property
    def is_usable(self) -> bool:
        """Whether the connection is established and has no unread data, which would be unsolicited."""
        if self.socket is None or self.transport is None or self.transport.is_closing():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # The peek found unsolicited bytes or the end of the stream.

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds bytes of the response that the event loop has not read yet."""
        return self.transport is not None and socket_state.has_unread_data(self.transport)

    def _fail(
        self, status: AttemptStatus, reason: CloseReason = CloseReason.PEER_CLOSED, detail: str = ""
    ) -> None:
        attempt = self.attempt
        self.attempt = None
        self.close(reason)
        if attempt is not None:
            attempt.finish(AttemptResult(status, reason=detail))

    def _warn(self, kind: str, text: str = "") -> None:
        self.pool.warnings.log(kind, "backend {}:{}: {:.300}".format(*self.address, text or kind))

    def close(self, reason: CloseReason) -> None:
        """Close the socket immediately.

        The transport alone would close it one loop iteration later, after the next attempt was sent.
        """
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
        with contextlib.suppress(OSError):  # The peer may have closed the connection first.
            self.socket.shutdown(socket.SHUT_RDWR)
        # Closing a descriptor twice could close a client connection that has reused its number.
        if self.transport is not None and not self._is_creating_transport:
            self.transport.abort()

    # --- asyncio protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the high watermark to 0, so that `pause_writing` reports any unsent bytes."""
        # uvloop's transports do not subclass `asyncio.Transport`, so this needs a cast.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self._send_queue.attach(self.transport)

    def pause_writing(self) -> None:
        """Record that bytes of the request are still buffered."""
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        """Continue the upload, or count the request as sent."""
        self.is_write_blocked = False
        if self.is_request_written:
            self._count_sent()
        else:
            self._write_upload()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt; if the request's last byte was not sent yet, the backend has not executed it."""
        # While an attempt waits for reuse nothing was sent, so the break is no fault of the backend.
        if self._reuse_timer is not None:
            self._fail(AttemptStatus.NOT_STARTED, detail="connection ended before its reuse")
            return
        self._fail(self._break_status)

    def eof_received(self) -> bool:
        """Complete a response delimited by connection close; any other end of file breaks the attempt."""
        if self.attempt is not None and self.response.finish_at_eof():
            self._finish(is_clean=True, unread_ms=0.0)
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer; its size caps how much one read can queue for a slow client."""
        return self.pool.memory.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that asyncio has read into the shared buffer."""
        self.data_received(self.pool.memory.copy_read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse the response; unsolicited bytes make the connection unusable."""
        self._last_progress = self.pool.loop.time()
        if self.attempt is None or self._reuse_timer is not None:
            self._fail(AttemptStatus.NOT_STARTED, detail="unsolicited bytes before the connection's reuse")
            return
        if not self._is_request_started:
            self._warn("bytes received before the request was sent: the attempt fails")
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        response = self.response
        fault = response.feed(data)
        if self.attempt is None:  # A callback found that the streamed response is no longer wanted.
            return
        if response.is_complete:
            assert self.transport is not None
            unread_ms = self.pool.unread_ms(self.transport)
            self._finish(not fault and not response.has_excess, unread_ms)
        elif fault or response.has_excessive_headers:
            self._warn(
                "malformed response"
                if fault
                else f"headers too long: more than {MAX_HEADER_BYTES // 1024} KiB, the attempt fails",
                fault,
            )
            self._fail(AttemptStatus.RESET)
        elif response.body_size and response.length is None:
            self.hold.received(response.body_size, response.sink is None)

    # --- sending a request

    @property
    def is_request_sent(self) -> bool:
        """Whether the last byte of the request may have left this node."""
        return self.is_request_written and not self.is_write_blocked

    @property
    def _break_status(self) -> AttemptStatus:
        return AttemptStatus.RESET if self.is_request_sent else AttemptStatus.CONNECT_FAILED

    def send(self, attempt: Attempt) -> None:
        """Send the request of an attempt."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        self._reuse_timer = None
        self._is_reading_paused = False
        self.response.reset()
        self.hold.begin(attempt.response_time_left)
        self._is_request_started = True
        self.transport.write(attempt.request)
        if attempt.upload is not None:
            attempt.upload.attach(self._write_upload)
            self._watch_for_stall()
            self._write_upload()
        else:
            self.is_request_written = True
        # A write that fails immediately closes the transport; nothing was sent, so this is not a reset.
        if self.transport.is_closing():
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif attempt.upload is None:
            self._count_sent()

    def _count_sent(self) -> None:
        if self.attempt is not None and not self.is_write_blocked:
            self.pool.statistics.attempts_sent += 1

    def _write_upload(self) -> None:
        """Write the available part of a streamed request body while the backend accepts data."""
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

    # --- stall detection

    def _watch_for_stall(self) -> None:
        """Start stall detection, because a streamed body has no other time limit."""
        if self._stall_timer is None:
            self._last_progress = self.pool.loop.time()
            self._send_queue.has_moved()  # Later calls compare with the length that the queue has now.
            self._schedule_stall_check()

    def _schedule_stall_check(self) -> None:
        self._stall_timer = self.pool.loop.call_later(STALL_CHECK_INTERVAL_S, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        if self.attempt is None:
            return
        now = self.pool.loop.time()
        if self._send_queue.has_moved():
            self._last_progress = now
        is_receiving = self.response.sink is not None and not self._is_reading_paused
        is_stalled = now - self._last_progress >= STALL_TIMEOUT_S
        if (self.is_write_blocked or is_receiving) and is_stalled:
            self._warn(
                f"connection stalled: no byte sent or received for {STALL_TIMEOUT_S:g} s, the attempt fails"
            )
            self._fail(self._break_status)
            return
        self._schedule_stall_check()

    def _cancel_timers(self) -> None:
        self.hold.cancel()
        for timer in (self._stall_timer, self._reuse_timer):
            if timer is not None:
                timer.cancel()
        self._stall_timer = None
        self._reuse_timer = None

    # --- receiving the response

    @property
    def is_holding_response(self) -> bool:
        """Whether a part of a response of unknown length is buffered."""
        return self.response.length is None and self.response.sink is None and bool(self.response.body)

    def pass_on_undecided(self, time_left_s: float) -> bool:
        """Pass on a held response if it may turn out long in time; return whether one is being passed on."""
        if self.response.sink is None and not self.hold.may_become_long(time_left_s):
            return False
        return self.pass_on()

    def continue_past_deadline(self) -> bool:
        """Return whether the response is, or is taken for, a long one; pass it on if it has been held."""
        response = self.response
        if response.sink is not None and (response.length is not None or self._is_reading_paused):
            return True  # While a slow client pauses reading, more may have come than is known.
        return self.hold.may_outlast_deadline(response.body_size) and self.pass_on()

    def pass_on(self) -> bool:
        """Pass on a response whose head has come; return whether one is being passed on."""
        if self.response.has_begun:
            self._begin_streaming()
        return self.response.sink is not None

    def _begin_streaming(self) -> None:
        """Stream the rest of a response that is too long or too slow to buffer."""
        response = self.response
        self.hold.cancel()
        if self.attempt is None or response.sink is not None or response.is_complete:
            return
        response.sink = self.attempt.on_stream(self, response.length, response.content_type)
        if response.sink is None:
            self._fail(AttemptStatus.RESET)
            return
        self._watch_for_stall()
        if response.body:
            response.sink.feed(response.take_body())

    def pause_reading(self) -> None:
        """Stop receiving the response while the client is slow."""
        if self.transport is not None and not self._is_reading_paused and not self.is_closed:
            self._is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue receiving the response."""
        if self.transport is not None and self._is_reading_paused and not self.is_closed:
            self._is_reading_paused = False
            self._last_progress = self.pool.loop.time()
            self.transport.resume_reading()

    def _finish(self, is_clean: bool, unread_ms: float) -> None:
        """Report a response whose end was received `unread_ms` before it was read."""
        attempt = self.attempt
        assert attempt is not None
        self.attempt = None
        self._cancel_timers()
        report = None
        try:
            report = self.response.parse_load_report()
        except LoadReportError as err:
            self._warn("invalid load report", str(err))
        if self._is_reading_paused:
            self.resume_reading()
        result = self.response.result(report)
        result.unread_ms = unread_ms
        self.pool.release(self, is_clean and self.response.keep_alive and self.is_request_sent)
        attempt.finish(result)
