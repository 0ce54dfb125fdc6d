"""Deadlines of requests, and timeouts of their attempts."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.attempt import AttemptResult
from balancer.net.open_request import OpenRequest, RequestAttempt
from balancer.net.request_log import RequestLog
from balancer.net.unread_recheck import RECHECK_DELAY_S

# Interval between two checks whether a long response past its deadline is still being received.
LONG_RESPONSE_CHECK_S = 0.25
# A short response that has begun may end this long after the deadline; 500 ms later it is lost.
RESPONSE_END_GRACE_MS = 250.0


class RequestDeadlines:
    """Timers that end requests and attempts, unless what has begun may go on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        counts: Counter[str],
        log: RequestLog,
        end_attempt: Callable[[RequestAttempt, AttemptResult], None],
        fail_overdue: Callable[[OpenRequest], None],
    ) -> None:
        """Create the timers of a table of requests.

        Args:
            loop: Event loop of the timers.
            clock: Returns the time in ms.
            counts: Counts for the counts line.
            log: Log of responses that are ended.
            end_attempt: Called with the result of an attempt that was ended here.
            fail_overdue: Called with a request whose deadline has passed, after the end of its attempts.
        """
        self._loop = loop
        self._now = clock
        self._counts = counts
        self._log = log
        self._end_attempt = end_attempt
        self._fail_overdue = fail_overdue

    # --- deadlines

    def start(self, request: OpenRequest) -> None:
        """Start the deadline of a request."""
        self._schedule(request, max(0.0, request.deadline - self._now()) / 1000)

    def _schedule(self, request: OpenRequest, delay_s: float) -> None:
        request.deadline_timer = self._loop.call_later(delay_s, self.expire, request)

    def expire(self, request: OpenRequest) -> None:
        """End all attempts and fail the request, unless a long response is being received.

        A response of unknown length that is passed on has some more time to end, or to show that it is long;
        one that is held is passed on for that only if it may turn out long. One of a streamed class has no
        deadline once it has begun.
        """
        if request.is_answered:
            return
        attempts = request.attempts
        if any([self._passes_on_stream(attempt, request) for attempt in attempts]):
            return
        left_s = self.response_time_left_s(request)
        if left_s > 0 and any([attempt.pass_on_undecided(left_s) for attempt in attempts]):
            self._schedule(request, left_s)
        elif any([attempt.continue_past_deadline() for attempt in attempts]):
            self._schedule(request, LONG_RESPONSE_CHECK_S)
        elif any([not attempt.is_over and attempt.recheck.is_due() for attempt in attempts]):
            self._schedule(request, RECHECK_DELAY_S)
        else:
            for attempt in attempts:
                self._log_ended_response(attempt, request)
                self._time_out(attempt)
            self._fail_overdue(request)

    def response_time_left_s(self, request: OpenRequest) -> float:
        """Return in how many seconds a response that is not taken for a long one will be ended."""
        deadline = self._now() + request.timeout_ms if request.deadline_timer is None else request.deadline
        return (deadline + RESPONSE_END_GRACE_MS - self._now()) / 1000

    def _log_ended_response(self, attempt: RequestAttempt, request: OpenRequest) -> None:
        """Count and log a response of unknown length that ends because the time of its request is over."""
        if attempt.attempt is None or (progress := attempt.attempt.unknown_length_progress) is None:
            return
        self._counts["no_length_broken_off" if request.is_streaming else "no_length_not_passed_on"] += 1
        self._log.response_ended(request.request_id, attempt.endpoint, progress, request.is_streaming)

    # --- timeouts of attempts

    def start_timeout(self, attempt: RequestAttempt, request: OpenRequest) -> float:
        """Start the timeout timer of an attempt and return the timeout in ms."""
        timeout_ms = self.time_left_ms(attempt, request)
        if timeout_ms > 0 and not request.is_receiving:
            attempt.timer = self._loop.call_later(timeout_ms / 1000, self.expire_attempt, attempt, request)
        return timeout_ms

    def time_left_ms(self, attempt: RequestAttempt, request: OpenRequest) -> float:
        """Return the time in ms until an attempt times out; it does not pass while a body is received."""
        if request.is_upload_overdue:
            return 0.0
        if request.is_receiving:
            return min(attempt.timeout_ms or math.inf, request.timeout_ms)
        now = self._now()
        left_ms = request.deadline - now
        return min(attempt.started_at + attempt.timeout_ms - now, left_ms) if attempt.timeout_ms else left_ms

    def expire_attempt(self, attempt: RequestAttempt, request: OpenRequest) -> None:
        """End an attempt whose timeout has passed, but first let its response be read if there is one.

        One whose response has begun goes on until the deadline.
        """
        if attempt.is_holding_response or self._passes_on_stream(attempt, request):
            return
        if not attempt.is_over and attempt.recheck.is_due():
            attempt.timer = self._loop.call_later(RECHECK_DELAY_S, self.expire_attempt, attempt, request)
        else:
            self._time_out(attempt)

    def _passes_on_stream(self, attempt: RequestAttempt, request: OpenRequest) -> bool:
        """Pass on a response of a streamed class that has begun; return whether there is one."""
        return request.is_streamed_class and attempt.attempt is not None and attempt.attempt.pass_on()

    def _time_out(self, attempt: RequestAttempt) -> None:
        if attempt.is_over:
            return
        is_sent = attempt.is_sent
        attempt.cancel()
        # A backend cannot have executed a request that was not sent completely.
        status = AttemptStatus.TIMEOUT if is_sent else AttemptStatus.CONNECT_FAILED
        self._end_attempt(attempt, AttemptResult(status))

    def cancel_unsent(self, attempt: RequestAttempt) -> None:
        """Cancel an unsent attempt, because a backend may no longer recognize the request as a duplicate."""
        if not attempt.is_over and not attempt.is_sent:
            attempt.cancel()
            result = AttemptResult(AttemptStatus.NOT_STARTED, reason="deduplication window has passed")
            self._end_attempt(attempt, result)
