"""Log lines of the discovery client, limited in rate."""

from __future__ import annotations

import logging
from collections.abc import Callable

from balancer.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("balancer.net.discovery")

MAX_CALL_LINES = 40  # in 10 s
MAX_REASON_LENGTH = 200


class DiscoveryLog:
    """Logs what becomes of calls, and what goes wrong."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Begin with nothing logged; `clock` returns seconds."""
        self._warnings = RateLimitedLog(log, clock)
        self._calls = RateLimitedLog(log, clock, MAX_CALL_LINES, logging.INFO)

    def call(self, text: str) -> None:
        """Log what becomes of a call."""
        self._calls.log("call", f"discovery: {text}")

    def warn(self, fault: str, reason: str = "") -> None:
        """Log a fault, one line of a kind in a while."""
        self._warnings.log(fault, f"{fault}: {reason[:MAX_REASON_LENGTH]}" if reason else fault)

    def object_limit(self, limit_bytes: int, memory_mb: float) -> None:
        """Log the size limit of one object."""
        log.info("list: at most %.1f MiB in one object, of %g MB", limit_bytes / 2**20, memory_mb)
