"""Model of a client's operation: its attempts, the backoff between them, and its end, without a clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.experiments.tables import Clients, RequestClass

MIN_PATIENCE_SHARE_OF_TIMEOUT = 0.2


class Outcome(Enum):
    """How an attempt ended from the client's point of view.

    REJECTED is a response 429 or 503, FAILED any other complete response except success. DISCONNECTED means
    that the connection closed before a complete response, UNREACHABLE that none could be opened, ABANDONED
    that an impatient client closed it before the attempt timed out.
    """

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "cut"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "silent"
    ABANDONED = "left"


@dataclass(slots=True)
class PlannedAttempt:
    """An attempt to send now; an impatient client disconnects before the deadline. Times are in ms."""

    number: int
    deadline: float
    disconnects_at: float | None


class Operation:
    """A client's operation with its retries: `begin_attempt` plans an attempt, `next_attempt_at` a retry."""

    __slots__ = ("backoff_ms", "clients", "cls", "first_possible_execution", "gives_up_at",
                 "honors_retry_after", "intended_at", "is_impatient", "number", "patience")  # fmt: skip

    def __init__(
        self, cls: RequestClass, clients: Clients, intended_at: float, client_draws: tuple[float, ...]
    ) -> None:
        """Plan an operation; `client_draws` are four uniform random numbers, see `models.load.Arrivals`."""
        self.cls, self.clients, self.intended_at = cls, clients, intended_at
        self.gives_up_at = intended_at + cls.deadline_ms
        self.is_impatient, self.patience = client_draws[0] < clients.impatient_share, client_draws[1]
        self.honors_retry_after, self.backoff_ms = (
            client_draws[2] < clients.retry_after_share,
            clients.backoff_ms * (0.5 + client_draws[3]),
        )
        self.number = -1
        self.first_possible_execution: float | None = None

    def begin_attempt(self, now: float) -> PlannedAttempt:
        """Return the plan of the next attempt, which the client sends now."""
        self.number += 1
        last = self.number >= self.clients.retries
        deadline = self.gives_up_at
        if not last:
            deadline = min(deadline, now + self.clients.attempt_time_share * self.cls.deadline_ms)
        disconnects_at = None
        if self.is_impatient:
            share = MIN_PATIENCE_SHARE_OF_TIMEOUT + (1 - MIN_PATIENCE_SHARE_OF_TIMEOUT) * self.patience
            disconnects_at = now + share * (deadline - now)
        return PlannedAttempt(self.number, deadline, disconnects_at)

    def next_attempt_at(self, now: float, sent: float, end: Outcome, retry_after: float) -> float | None:
        """Return the time (ms) of the next attempt, None without one; `retry_after` is a wait in ms."""
        if end in (Outcome.SERVED, Outcome.ABANDONED) or self.number >= self.clients.retries:
            return None
        was_not_executed = end in (Outcome.REJECTED, Outcome.UNREACHABLE)
        if not was_not_executed:
            if self.cls.effect == "fragile":
                return None
            if self.cls.effect == "dedup":
                if self.cls.group != "all":
                    return None
                self.first_possible_execution = (
                    sent if self.first_possible_execution is None else self.first_possible_execution
                )
                if now - self.first_possible_execution > self.cls.memory_span_ms:
                    return None
        wait = self.backoff_ms
        if end is Outcome.REJECTED and self.honors_retry_after:
            wait = max(wait, retry_after)
        return now + wait if now + wait < self.gives_up_at else None
