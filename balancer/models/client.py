"""One client's wish: its tries, when it tries again, when it is over. Told the time, does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.experiments.tables import Clients, RequestClass

IMPATIENT_AFTER = 0.2  # share of a try's time that even an impatient client waits


class End(Enum):
    """How one try ended, as the client saw it."""

    SERVED = "served"
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other whole answer
    CUT = "cut"  # the connection ended with the answer not whole, or with none
    UNREACHABLE = "unreachable"  # no connection came up
    SILENT = "silent"  # nothing by the end of its time
    LEFT = "left"  # the client gave up early


@dataclass(slots=True)
class Try:
    """One try: what it asks for and until when it waits."""

    number: int
    deadline: float  # ms on the run's clock
    leaves: float | None  # when an impatient client closes


class Wish:
    """One operation over all its tries. `begin` gives each try, `ended` says when the next one comes."""

    __slots__ = ("backoff", "clients", "cls", "first_risk", "give_up", "honours", "impatient", "intended",
                 "leave_share", "number")  # fmt: skip

    def __init__(self, cls: RequestClass, clients: Clients, intended: float, whim: tuple[float, ...]) -> None:
        self.cls, self.clients, self.intended = cls, clients, intended
        self.give_up = intended + cls.deadline_ms
        self.impatient, self.leave_share = whim[0] < clients.impatient_share, whim[1]
        self.honours, self.backoff = whim[2] < clients.retry_after_share, clients.backoff_ms * (0.5 + whim[3])
        self.number = -1
        self.first_risk: float | None = None  # when a try first may have run

    def begin(self, now: float) -> Try:
        """The next try, sent now."""
        self.number += 1
        last = self.number >= self.clients.retries
        deadline = self.give_up
        if not last:
            deadline = min(deadline, now + self.clients.attempt_time_share * self.cls.deadline_ms)
        leaves = None
        if self.impatient:
            share = IMPATIENT_AFTER + (1 - IMPATIENT_AFTER) * self.leave_share
            leaves = now + share * (deadline - now)
        return Try(self.number, deadline, leaves)

    def ended(self, now: float, sent: float, end: End, retry_after: float) -> float | None:
        """When the next try is sent; None if there is none. `retry_after` is in ms."""
        if end in (End.SERVED, End.LEFT) or self.number >= self.clients.retries:
            return None
        harmless = end in (End.REFUSED, End.UNREACHABLE)
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
        if end is End.REFUSED and self.honours:
            wait = max(wait, retry_after)
        return now + wait if now + wait < self.give_up else None
