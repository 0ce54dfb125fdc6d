"""Log lines on single requests: failed attempts, repeats and unserved answers, with id and reason.

A line of a kind comes once in 10 s at most and stands for the others: the counts have them all.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)


class RequestLog:
    """Names one request for each kind of trouble, now and then."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` tells seconds."""
        self.lines = RateLimitedLog(log, clock, level=logging.INFO)

    def attempt_failed(
        self, request: str, number: int, backend: str, status: AttemptStatus, took: float
    ) -> None:
        """An attempt, the first one being 0, has ended without a served answer after `took` ms."""
        text = f"request {request}: attempt {number + 1} at {backend}: {status.value} after {took:.0f} ms"
        self.lines.log(f"attempt {status.value}", text)

    def sent_again(self, request: str, number: int, backend: str, before: AttemptStatus) -> None:
        """An attempt beyond the first goes out; `before` is how the one before it ended."""
        text = f"request {request}: attempt {number + 1} at {backend}, after one that ended: {before.value}"
        self.lines.log("sent again", text)

    def unserved(self, request: str, answer: str, reason: str, attempts: int) -> None:
        """The client is told that its request is refused, or has failed."""
        text = f"request {request}: {answer}, reason {reason}, attempts {attempts}"
        self.lines.log(f"{answer} {reason}", text)
