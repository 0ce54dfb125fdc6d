"""Log lines on single requests: failed attempts, retries and unserved requests, with id and reason.

One line of a kind is written in 10 s and stands for the others: the counts line has them all.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)


class RequestLog:
    """Names one request for each kind of fault, now and then."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Make a log; `clock` returns seconds."""
        self._lines = RateLimitedLog(log, clock, level=logging.INFO)

    def attempt_failed(
        self, request_id: str, number: int, backend: str, status: AttemptStatus, elapsed_ms: float
    ) -> None:
        """Log an attempt, the first being 0, that ended without a response that is passed on."""
        text = f"attempt {number + 1} at {backend}: {status.value} after {elapsed_ms:.0f} ms"
        self._lines.log(f"attempt {status.value}", f"request {request_id}: {text}")

    def retried(self, request_id: str, number: int, backend: str, previous: AttemptStatus) -> None:
        """Log an attempt beyond the first; `previous` is how the one before it ended."""
        text = f"attempt {number + 1} at {backend}, after one that ended: {previous.value}"
        self._lines.log("retry", f"request {request_id}: {text}")

    def unserved(self, request_id: str, response: str, reason: str, attempts: int) -> None:
        """Log a request that is rejected or failed."""
        text = f"{response}, reason {reason}, attempts {attempts}"
        self._lines.log(f"{response} {reason}", f"request {request_id}: {text}")
