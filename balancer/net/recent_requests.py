"""Ids of the requests that may have run and must not run again, as long as their clients may repeat them."""

from __future__ import annotations

from balancer.interface import AttemptStatus

RETENTION_MS = 10_000.0
MAX_IDS = 10_000  # Some 2 MB.
# A backend has not executed a request whose attempt ended in one of these ways.
NOT_EXECUTED = (AttemptStatus.NOT_STARTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.REJECTED)


class RecentRequests:
    """Ids of the requests that are not idempotent and that a backend may have executed lately."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._ended_at: dict[
            str, float
        ] = {}  # Time (ms) of the last such attempt by request id, oldest first.

    def attempt_ended(self, request_id: str, status: AttemptStatus, now: float) -> None:
        """Record the end of an attempt of a request that is not idempotent, at `now` (ms)."""
        if status in NOT_EXECUTED:
            return
        self._ended_at.pop(request_id, None)
        self._ended_at[request_id] = now
        self._drop_old(now)

    def may_have_run(self, request_id: str, now: float) -> bool:
        """Return whether a backend may have executed a request within `RETENTION_MS` before `now` (ms)."""
        self._drop_old(now)
        return request_id in self._ended_at

    def _drop_old(self, now: float) -> None:
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            if self._ended_at[oldest] > now - RETENTION_MS and len(self._ended_at) <= MAX_IDS:
                return
            del self._ended_at[oldest]
