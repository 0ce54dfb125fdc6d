"""Records of endpoints, attempts, classes and requests. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from balancer import interface as api


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """What this node knows of one endpoint; made when it is first listed. Times are clock times in ms."""

    entry: api.Endpoint
    estimate: int = 0  # upper bound of its load: own attempts since it last reported idle
    in_flight: int = 0  # own attempts
    slowness: float = 1.0  # mean duration of its responses over the expected one of their class
    min_response_ms: float = math.inf  # lowest recent duration: the network's part
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0  # it rejected a request or a connection: avoided even in a panic
    unavailable_since: float = 0.0  # since when it has been ejected or busy without interruption
    health_check_waiters: list[Request] | None = None  # None: no check is under way
    order_block: list[str] | None = None  # block of the node's order that holds it; None: gets no new work
    is_local: bool = False  # whether it stands there among the endpoints of the own zone

    @property
    def weight(self) -> float:
        """Return its weight in a random pick: slow endpoints get less."""
        return self.entry.weight / self.slowness**2

    def reset(self) -> None:
        """Forget what was known of an earlier process, except attempts that are still in flight."""
        self.estimate = self.in_flight
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.busy_until = 0.0
        self.slowness = 1.0
        self.min_response_ms = math.inf


@dataclass(slots=True, eq=False)
class Candidates:
    """The endpoints of a first draw, cached while the list stays as it is.

    `min_estimate` and `max_weight` bound the warm endpoints; they are exact once all have been looked at.
    """

    endpoints: list[EndpointRecord]
    warm: list[EndpointRecord]
    warming: list[EndpointRecord]
    valid_until: float  # clock time at which the first of `warming` is warm
    min_estimate: int = 0
    max_weight: float = math.inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    endpoint: EndpointRecord
    sent_at: float
    reflects_load: bool  # its outcome is a sign of the endpoint's load: it was idle, or none was checked
    status: api.AttemptStatus | None = None
    has_short_timeout: bool = False  # got less time than a response may take: a timeout is the client's fault
    counts_in_flight: bool = True  # its request has arrived with its whole body
    has_reduced_timeout: bool = False  # got less time than would be useful, because responses get lost


@dataclass(slots=True, eq=False)
class ClassStatistics:
    """A request class and what this node has learned of it."""

    config: api.RequestClass
    expected_ms: float  # duration of a response
    deviation_ms: float = 0.0  # mean absolute deviation from it
    overload: float = -1.0  # mean log of durations over what the concurrency limit steers for
    first_attempt_ms: float = 0.0  # time that clients give a first attempt, by majority vote
    first_attempt_votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival to the end of its last attempt."""

    id: str
    statistics: ClassStatistics
    work_hint: float | None
    deadline: float
    useful_until: float  # a later response is worth nothing
    is_high_value: bool  # worth far more for its time than the mean
    max_attempts: int  # allowed when it arrived
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_closed: bool = False
    is_streaming: bool = False
    is_arriving: bool = False  # its body is still arriving, and its time has not begun
    pending_checks: set[str] = field(default_factory=set)
    checked: list[EndpointRecord] = field(default_factory=list)  # endpoints that answered a health check
    check_rounds: int = 0  # since it was last routed
    total_check_rounds: int = 0
    may_try_warming: bool = True  # only a first draw may bring warming endpoints
