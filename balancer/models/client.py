"""A client's operation: its attempts, the backoff between them, its end. It is given the time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.experiments.tables import Clients, RequestClass

MIN_PATIENCE_SHARE = 0.2  # of an attempt's time


class Outcome(Enum):
    """How an attempt ended, as the client saw it."""

    SERVED = "served"
    REJECTED = "refused"  # 429 or 503
    FAILED = "failed"  # any other complete answer
    DISCONNECTED = "cut"  # the connection ended with an incomplete answer, or none
    UNREACHABLE = "unreachable"  # no connection came up
    TIMED_OUT = "silent"  # nothing by the end of its time
    ABANDONED = "left"  # the client gave up early


@dataclass(slots=True)
class PlannedAttempt:
    """An attempt that is about to be sent."""

    number: int
    deadline: float  # ms on the run's clock
    disconnects_at: float | None  # when an impatient client closes


class Operation:
    """A client operation: `begin_attempt` plans an attempt, `next_attempt_at` the time of a retry."""

    __slots__ = ("backoff_ms", "clients", "cls", "first_possible_execution", "gives_up_at",
                 "honors_retry_after", "intended_at", "is_impatient", "number", "patience")  # fmt: skip

    def __init__(
        self, cls: RequestClass, clients: Clients, intended_at: float, client_draws: tuple[float, ...]
    ) -> None:
        """Plan an operation; `client_draws` are four uniform numbers, see `models.load.Arrivals`."""
        self.cls, self.clients, self.intended_at = cls, clients, intended_at
        self.gives_up_at = intended_at + cls.deadline_ms
        self.is_impatient, self.patience = client_draws[0] < clients.impatient_share, client_draws[1]
        self.honors_retry_after, self.backoff_ms = (
            client_draws[2] < clients.retry_after_share,
            clients.backoff_ms * (0.5 + client_draws[3]),
        )
        self.number = -1
        self.first_possible_execution: float | None = None  # when a try first may have run

    def begin_attempt(self, now: float) -> PlannedAttempt:
        """Plan the next attempt, which is sent now."""
        self.number += 1
        last = self.number >= self.clients.retries
        deadline = self.gives_up_at
        if not last:
            deadline = min(deadline, now + self.clients.attempt_time_share * self.cls.deadline_ms)
        disconnects_at = None
        if self.is_impatient:
            share = MIN_PATIENCE_SHARE + (1 - MIN_PATIENCE_SHARE) * self.patience
            disconnects_at = now + share * (deadline - now)
        return PlannedAttempt(self.number, deadline, disconnects_at)

    def next_attempt_at(self, now: float, sent: float, end: Outcome, retry_after: float) -> float | None:
        """Return when the next attempt is sent, in ms; None if there is none. `retry_after` is in ms."""
        if end in (Outcome.SERVED, Outcome.ABANDONED) or self.number >= self.clients.retries:
            return None
        harmless = end in (Outcome.REJECTED, Outcome.UNREACHABLE)
        if not harmless:
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
