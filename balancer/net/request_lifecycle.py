"""Request lifecycle: accept, start attempts as decided, answer exactly once, remove."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from functools import partial

from balancer import interface as api
from balancer.interface import AttemptStatus
from balancer.net.attempt import AttemptResult, ResponseSink
from balancer.net.backend_connection import BackendConnection
from balancer.net.connection_pool import ConnectionPool
from balancer.net.node_ports import Client
from balancer.net.open_request import OpenRequest, Render, RequestAttempt
from balancer.net.recent_requests import RecentRequests
from balancer.net.request_deadlines import RequestDeadlines
from balancer.net.request_log import RequestLog
from balancer.net.statistics import RequestOutcome, RequestStatistics
from balancer.net.stream import Upload
from balancer.net.upload_clock import UploadProgress

# Requests end 10 ms before the deadline, because the client counts from when it sent the request.
DEADLINE_MARGIN_MS = 10.0
# A request or attempt is logged as late if it was read or written at least 50 ms after the request arrived.
LOGGED_DELAY_MS = 50.0


class RequestLifecycle:
    """Table of the open requests; it executes decisions of the balancer and makes none itself.

    It has more than 20 methods because each event in the life of a request has its own.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        statistics: RequestStatistics,
        counts: Counter[str],
        clock: Callable[[], float],
        handle_event: Callable[[api.Event], None],
    ) -> None:
        """Create an empty table; `clock` returns ms, `handle_event` receives the events of requests."""
        self.open: dict[str, OpenRequest] = {}  # Open requests by request id.
        self._recent = RecentRequests()
        self._pool = pool
        self._statistics = statistics
        self._counts = counts
        self._now = clock
        self._handle_event = handle_event
        self._loop = pool.loop
        self._log = RequestLog(pool.loop.time)
        self.deadlines = RequestDeadlines(
            pool.loop, clock, counts, self._log, self._end_attempt, self._fail_overdue
        )
        self._drained: asyncio.Event | None = None  # Created by `finish`, and set when no request is open.

    @property
    def pending_count(self) -> int:
        """Number of requests that have not been answered yet."""
        return sum(not request.is_answered for request in self.open.values())

    def is_repeated(self, request_id: str) -> bool:
        """Return whether a request is open, or may have run lately and is not to run again."""
        return request_id in self.open or self._recent.may_have_run(request_id, self._now())

    # --- events from clients

    def accept(
        self,
        event: api.RequestArrived,
        client: Client,
        render: Render,
        upload: Upload | None = None,
        unread_ms: float = 0.0,
        is_streamed: bool = False,
    ) -> None:
        """Open a request whose last bytes were received `unread_ms` before they were read.

        `render` omits the body of an `upload`, and `body_received` starts its deadline. The deadline of a
        class that is `streamed` stops once its response has begun.
        """
        self._counts["taken"] += 1
        deadline = event.deadline - DEADLINE_MARGIN_MS
        request = OpenRequest(event.request, event.class_name, client, deadline, render, upload)
        request.writes = event.writes
        request.is_streamed_class = is_streamed
        self.open[event.request] = request
        request.arrived_at = self._now() - unread_ms
        if unread_ms >= LOGGED_DELAY_MS:
            self._counts["read_late"] += 1
            self._log.read_late(event.request, unread_ms)
        request.timeout_ms = request.deadline - self._now()
        if upload is None:
            self.deadlines.start(request)
        self._handle_event(event)

    def body_received(self, request_id: str, deadline: float) -> None:
        """Start the deadline of a request whose upload is complete; `deadline` is the client's, in ms."""
        request = self.open.get(request_id)
        if request is None or request.is_answered or request.is_streaming:
            return
        request.deadline = deadline - DEADLINE_MARGIN_MS
        now = self._now()
        self.deadlines.start(request)
        for attempt in request.attempts:
            if not attempt.is_over:
                attempt.started_at = now
                self.deadlines.start_timeout(attempt, request)
        self._handle_event(api.RequestBodyReceived(request_id, deadline))

    def expire_upload(self, request_id: str, progress: UploadProgress) -> None:
        """End a request whose backend takes its body too slowly, so that its time is over before its end.

        The log tells how much of it has come.
        """
        request = self.open.get(request_id)
        if request is None or request.is_answered or request.is_streaming or not request.is_receiving:
            return
        self._counts["upload_overdue"] += 1
        self._log.upload_overdue(request_id, progress, request.stage)
        request.deadline = self._now()
        request.is_upload_overdue = True
        self.deadlines.expire(request)

    def client_disconnected(self, request_id: str) -> None:
        """Close a request whose client has disconnected, and cancel its attempts as needed."""
        request = self.open.get(request_id)
        if request is None or request.is_answered:
            return
        self._counts["left" if request.attempts else "left_unsent"] += 1
        age_ms = request.age_ms(self._now())
        self._log.client_left(request_id, age_ms, request.stage, len(request.attempts))
        # No timeout ends the attempts of a request with a streamed response or an incomplete upload.
        is_unbounded = request.is_streaming or request.is_receiving
        self._close(request)
        self._handle_event(api.ClientDisconnected(request_id))
        self._cancel_attempts(request, is_unbounded)

    def abandon(self, request_id: str) -> None:
        """Fail a request and cancel its attempts, for example after an error in its decision."""
        request = self.open.get(request_id)
        if request is None:
            return
        self._answer(request, RequestOutcome.FAILED, lambda client: client.fail())
        self._handle_event(api.ClientDisconnected(request_id))
        self._cancel_attempts(request, include_sent=True)

    async def finish(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for all requests to be answered, then fail those without a response.

        A streamed response that has begun goes on: its client may receive all of it before SIGKILL.
        """
        self._drained = asyncio.Event()
        if self.open:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._drained.wait(), timeout_s)
        for request in list(self.open.values()):
            if request.is_answered or not request.is_streaming:
                self.abandon(request.request_id)

    # --- decisions of the balancer

    def reject(self, action: api.RejectRequest) -> None:
        """Answer a request with a rejection."""
        self._counts["refused"] += 1
        request = self._log_unserved(action.request, "refused", action.reason)
        if request is not None:
            self._answer(
                request, RequestOutcome.REJECTED, lambda client: client.reject(action.retry_after_ms)
            )

    def fail(self, action: api.FailRequest) -> None:
        """Answer a request with a failure."""
        self._counts["failed"] += 1
        request = self._log_unserved(action.request, "failed", action.reason)
        if request is not None:
            self._answer(request, RequestOutcome.FAILED, lambda client: client.fail())

    def start_attempt(self, action: api.StartAttempt) -> None:
        """Send a request to a backend, unless it is answered, too late or no longer wanted."""
        request = self.open.get(action.request)
        now = self._now()
        number = len(request.attempts) if request else 0
        attempt = RequestAttempt(action.request, number, action.backend, now, self._loop.time)
        if request is None:
            result = AttemptResult(AttemptStatus.NOT_STARTED, reason="request is closed")
            self._end_attempt(attempt, result)
            return
        if request.attempts and (status := request.attempts[-1].status) is not None:
            self._log.retried(action.request, number, action.backend, status)
        request.attempts.append(attempt)
        attempt.timeout_ms = action.timeout_ms
        timeout_ms = self.deadlines.start_timeout(attempt, request)
        if reason := self._obstacle(request, action.backend, timeout_ms, action.latest_start):
            # The check whether the client is still there may have ended this attempt with its request.
            if not attempt.is_over:
                self._end_attempt(attempt, AttemptResult(AttemptStatus.NOT_STARTED, reason=reason))
            return
        attempt.attempt = self._pool.start_attempt(
            action.backend,
            request.render(timeout_ms),
            partial(self._end_attempt, attempt),
            partial(self._begin_stream, attempt),
            request.upload,
            partial(self._refresh, attempt, request, action.latest_start),
            None if request.is_streamed_class else partial(self.deadlines.response_time_left_s, request),
        )
        if attempt.is_sent:
            self._log_late_send(attempt, request)
        if attempt.is_over:
            attempt.attempt = None
        elif action.latest_start:
            self._loop.call_later((action.latest_start - now) / 1000, self.deadlines.cancel_unsent, attempt)

    def _obstacle(self, request: OpenRequest, backend: str, timeout_ms: float, latest_start: float) -> str:
        """Return why an attempt must not be sent any more, or an empty string."""
        if request.is_upload_prefix_dropped:
            return "the start of the upload is no longer buffered"
        if backend not in self._pool.members:
            return "backend is no longer listed"
        if timeout_ms <= 0:
            return "no time left"
        if 0 < latest_start <= self._now():
            return "deduplication window has passed"
        return "" if self._is_wanted(request) else "client has left"

    def cancel_attempt(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt if it is in progress."""
        request = self.open.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not attempt.is_over:
            attempt.cancel()
            self._end_attempt(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def _log_unserved(self, request_id: str, response: str, reason: str) -> OpenRequest | None:
        request = self.open.get(request_id)
        self._log.unserved(request_id, response, reason, len(request.attempts) if request else 0)
        return request

    # --- progress and end of attempts

    def _is_wanted(self, request: OpenRequest) -> bool:
        """Return whether the request still needs a response; detect a client whose close is still unread."""
        if not request.is_answered and request.client.has_disconnected:
            self.client_disconnected(request.request_id)
        return not request.is_answered

    def _refresh(self, attempt: RequestAttempt, request: OpenRequest, latest_start: float) -> bytes | None:
        """Render the request of an attempt that has waited for its connection, or None if it is too late.

        The timers that end attempts may be late themselves, so the clock is read once more.
        """
        timeout_ms = self.deadlines.time_left_ms(attempt, request)
        if self._obstacle(request, attempt.endpoint, timeout_ms, latest_start):
            return None
        self._log_late_send(attempt, request)
        return request.render(timeout_ms)

    def _log_late_send(self, attempt: RequestAttempt, request: OpenRequest) -> None:
        now = self._now()
        age_ms = request.age_ms(now)
        if age_ms >= LOGGED_DELAY_MS and not request.is_receiving:
            waited_ms = now - attempt.started_at
            self._log.sent_late(request.request_id, attempt.number, attempt.endpoint, age_ms, waited_ms)

    def _begin_stream(
        self, attempt: RequestAttempt, backend: BackendConnection, size: int | None, content_type: bytes
    ) -> ResponseSink | None:
        """Begin a streamed response, which ends the timeout of its attempt."""
        request = self.open.get(attempt.request_id)
        if request is None or request.is_answered:
            return None
        attempt.cancel_timer()
        # A response before the end of the upload makes the rest of it useless: the deadline starts now.
        if request.deadline_timer is None:
            request.deadline = self._now() + request.timeout_ms
            self.deadlines.start(request)
        request.is_streaming = True
        if (progress := backend.hold.progress) is not None:
            self._counts["no_length_passed_on"] += 1
            self._log.response_passed_on(request.request_id, attempt.endpoint, progress)
        request.client.begin_stream(backend, size, content_type)
        elapsed_ms = self._now() - attempt.started_at
        self._handle_event(
            api.ResponseStarted(attempt.request_id, attempt.number, attempt.endpoint, elapsed_ms)
        )
        return request.client

    def _end_attempt(self, attempt: RequestAttempt, result: AttemptResult) -> None:
        """Report the result of an attempt, and send a complete response to the client."""
        status = result.status
        attempt.is_over = True
        attempt.attempt = None
        attempt.status = status
        attempt.cancel_timer()
        self._counts[f"attempt_{status.value}"] += 1
        if status is not AttemptStatus.OK:
            elapsed_ms = self._now() - attempt.started_at
            self._log.attempt_failed(
                attempt.request_id, attempt.number, attempt.endpoint, status, elapsed_ms, result.reason
            )
        request = self.open.get(attempt.request_id)
        if request is not None:
            if request.writes and (attempt.was_sent or status is not AttemptStatus.CANCELLED):
                self._recent.attempt_ended(attempt.request_id, status, self._now())
            self._answer_with_result(request, result)
        is_closed = request is None or request.is_answered
        is_prefix_dropped = request is not None and request.is_upload_prefix_dropped
        if request is not None and is_closed:
            self._remove_if_done(request)
        # What the response waited for this node says nothing about its backend.
        elapsed_ms = max(0.0, self._now() - attempt.started_at - result.unread_ms)
        self._handle_event(
            api.AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.endpoint,
                status,
                elapsed_ms,
                is_closed,
                result.report,
                is_prefix_dropped,
            )
        )

    def _cancel_attempts(self, request: OpenRequest, include_sent: bool) -> None:
        """Cancel attempts of an answered request: those not sent completely, or with `include_sent` all.

        An answered request discards the rest of its upload. An attempt that is still sending it must stop, or
        the backend would take the truncated body for a complete one.
        """
        for attempt in request.attempts:
            is_sent = attempt.is_sent
            if not attempt.is_over and (include_sent or not is_sent):
                attempt.cancel()
                status = AttemptStatus.CANCELLED if is_sent else AttemptStatus.NOT_STARTED
                self._end_attempt(attempt, AttemptResult(status))

    # --- answering requests

    def _answer_with_result(self, request: OpenRequest, result: AttemptResult) -> None:
        is_ok = result.status is AttemptStatus.OK
        if request.is_streaming and is_ok:
            self._answer(request, RequestOutcome.COMPLETED, lambda client: client.finish_stream())
        elif request.is_streaming:
            self._answer(request, RequestOutcome.FAILED, lambda client: client.fail())
        elif is_ok:
            self._answer(
                request,
                RequestOutcome.COMPLETED,
                lambda client: client.send_response(result.body, result.content_type),
            )

    def _fail_overdue(self, request: OpenRequest) -> None:
        """Fail a request whose deadline has passed and whose attempts have ended, unless it is answered."""
        if request.is_answered:
            return
        self._counts["overdue"] += 1
        self._answer(request, RequestOutcome.FAILED, lambda client: client.fail())
        self._handle_event(api.ClientDisconnected(request.request_id))

    def _answer(
        self, request: OpenRequest, outcome: RequestOutcome, respond: Callable[[Client], None]
    ) -> None:
        if request.is_answered:
            return
        is_receiving = request.is_receiving
        self._statistics.record_outcome(outcome, request.class_name)
        self._close(request)
        respond(request.client)
        self._cancel_attempts(request, include_sent=is_receiving)

    def _close(self, request: OpenRequest) -> None:
        request.close()
        self._remove_if_done(request)

    def _remove_if_done(self, request: OpenRequest) -> None:
        """Remove an answered request once none of its attempts is in progress."""
        if request.request_id in self.open and request.has_no_attempt:
            del self.open[request.request_id]
            if not self.open and self._drained is not None:
                self._drained.set()
