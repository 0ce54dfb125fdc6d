"""Rate-limited log lines of the discovery client."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("balancer.net.discovery")

MAX_CALL_LINES_PER_10_S = 40
MAX_REASON_LENGTH = 200


class DiscoveryLog:
    """Logs the progress of calls and their failures."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a log; `clock` returns the time in seconds."""
        self._warnings = RateLimitedLog(log, clock)
        self._calls = RateLimitedLog(log, clock, MAX_CALL_LINES_PER_10_S, logging.INFO)

    def call(self, text: str) -> None:
        """Log that a call is made, answered or ended."""
        self._calls.log("call", f"discovery: {text}")

    def warn(self, fault: str, reason: str = "") -> None:
        """Log a fault, limited to one line of its kind per `PERIOD_S` of RateLimitedLog."""
        self._warnings.log(fault, f"{fault}: {reason[:MAX_REASON_LENGTH]}" if reason else fault)

    def object_limit(self, limit_bytes: int, memory_mb: float) -> None:
        """Log the size limit of one JSON object."""
        log.info(
            "list: JSON objects are limited to %.1f MiB, as limits.memory_mb is %g MB",
            limit_bytes / 2**20,
            memory_mb,
        )
