"""Rate-limited log of failed attempts, retries and unserved requests, with request id and reason.

At most one line of each kind is written per 10 s as an example; the counts line has the totals.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.rate_limited_log import RateLimitedLog
from balancer.net.response_progress import ResponseProgress
from balancer.net.upload_clock import UploadProgress

log = logging.getLogger(__name__)


class RequestLog:
    """Log of single requests as examples of each kind of failure."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a request log; `clock` returns seconds."""
        self._lines = RateLimitedLog(log, clock, level=logging.INFO)

    def attempt_failed(
        self,
        request_id: str,
        number: int,
        backend: str,
        status: AttemptStatus,
        elapsed_ms: float,
        reason: str = "",
    ) -> None:
        """Log an attempt that ended without a usable response; `number` counts from 0."""
        text = f"attempt {number + 1} at {backend}: {status.value} after {elapsed_ms:.0f} ms"
        if reason:
            text += f", {reason}"
        self._lines.log(f"attempt {status.value} {reason}", f"request {request_id}: {text}")

    def retried(self, request_id: str, number: int, backend: str, previous: AttemptStatus) -> None:
        """Log a retry; `number` counts attempts from 0, `previous` is the status of the attempt before."""
        text = f"attempt {number + 1} at {backend}, after one that ended: {previous.value}"
        self._lines.log("retry", f"request {request_id}: {text}")

    def read_late(self, request_id: str, unread_ms: float) -> None:
        """Log a request whose last byte had been received by the kernel long before it was read."""
        self._lines.log("read late", f"request {request_id}: read {unread_ms:.0f} ms after it arrived")

    def sent_late(self, request_id: str, number: int, backend: str, age_ms: float, waited_ms: float) -> None:
        """Log an attempt written long after its request arrived; `waited_ms` counts from the decision."""
        text = f"attempt {number + 1} at {backend}: written {age_ms:.0f} ms after the request arrived"
        self._lines.log("sent late", f"request {request_id}: {text}, {waited_ms:.0f} ms after its decision")

    def client_left(self, request_id: str, age_ms: float, stage: str, attempts: int) -> None:
        """Log a client that has disconnected before it had its response."""
        text = f"client left {age_ms:.0f} ms after the request arrived, {stage}, attempts {attempts}"
        self._lines.log(f"client left {stage}", f"request {request_id}: {text}")

    def unserved(self, request_id: str, response: str, reason: str, attempts: int) -> None:
        """Log a request that was rejected or has failed."""
        text = f"{response}, reason {reason}, attempts {attempts}"
        self._lines.log(f"{response} {reason}", f"request {request_id}: {text}")

    def response_passed_on(self, request_id: str, backend: str, progress: ResponseProgress) -> None:
        """Log a response of unknown length of which a part goes to the client before its end is known."""
        text = f"response of {backend} without a length is passed on: {progress}"
        self._lines.log("passed on", f"request {request_id}: {text}")

    def response_ended(
        self, request_id: str, backend: str, progress: ResponseProgress, is_passed_on: bool
    ) -> None:
        """Log a response of unknown length that is ended for its deadline, held or in the middle."""
        how = "broken off" if is_passed_on else "not passed on"
        text = f"response of {backend} without a length is {how} for its deadline: {progress}"
        self._lines.log(f"deadline {how}", f"request {request_id}: {text}")

    def upload_overdue(self, request_id: str, progress: UploadProgress, stage: str) -> None:
        """Log a request whose time is over although its body has not been read to its end."""
        came = f"{progress.read_bytes} bytes read, {progress.unread_bytes} received and not read"
        text = f"upload overdue, {came}, {stage}"
        self._lines.log("upload overdue", f"request {request_id}: {text}")
