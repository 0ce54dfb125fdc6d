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
    leaves: float | None  # when an impatient client closes


class Operation:
    """One operation over all its attempts: `begin` plans each, `ended` says when the next one is sent."""

    __slots__ = ("backoff", "clients", "cls", "first_risk", "give_up", "honours", "impatient", "intended",
                 "leave_share", "number")  # fmt: skip

    def __init__(
        self, cls: RequestClass, clients: Clients, intended: float, client_draws: tuple[float, ...]
    ) -> None:
        """Plan an operation; `client_draws` are four uniform numbers, see `models.load.Arrivals`."""
        self.cls, self.clients, self.intended = cls, clients, intended
        self.give_up = intended + cls.deadline_ms
        self.impatient, self.leave_share = client_draws[0] < clients.impatient_share, client_draws[1]
        self.honours, self.backoff = (
            client_draws[2] < clients.retry_after_share,
            clients.backoff_ms * (0.5 + client_draws[3]),
        )
        self.number = -1
        self.first_risk: float | None = None  # when a try first may have run

    def begin(self, now: float) -> PlannedAttempt:
        """Plan the next attempt, which is sent now."""
        self.number += 1
        last = self.number >= self.clients.retries
        deadline = self.give_up
        if not last:
            deadline = min(deadline, now + self.clients.attempt_time_share * self.cls.deadline_ms)
        leaves = None
        if self.impatient:
            share = MIN_PATIENCE_SHARE + (1 - MIN_PATIENCE_SHARE) * self.leave_share
            leaves = now + share * (deadline - now)
        return PlannedAttempt(self.number, deadline, leaves)

    def ended(self, now: float, sent: float, end: Outcome, retry_after: float) -> float | None:
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
                self.first_risk = sent if self.first_risk is None else self.first_risk
                if now - self.first_risk > self.cls.memory_span_ms:
                    return None
        wait = self.backoff
        if end is Outcome.REJECTED and self.honours:
            wait = max(wait, retry_after)
        return now + wait if now + wait < self.give_up else None
