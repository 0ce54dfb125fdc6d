"""Rate-limited log of failed attempts, retries and unserved requests, with request id and reason.

At most one line of each kind is written per 10 s as an example; the counts line has the totals.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.rate_limited_log import RateLimitedLog

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
