"""Records of endpoints, attempts, request classes and requests, without any decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from balancer import interface as api


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """The state of one endpoint, created when it is first listed; points in time are clock times in ms.

    - `estimate`: upper bound of the load, the attempts of this node since the endpoint last reported idle.
    - `in_flight`: attempts of this node.
    - `slowness`: mean duration of its responses over the expected duration of their class.
    - `min_response_ms`: lowest recent response time, an estimate of the network round trip.
    - `busy_until`: it rejected a request or a connection; until then it is avoided even in a panic.
    - `unavailable_since`: start of the present interval in which it has been ejected or busy.
    - `health_check_waiters`: requests that wait for a health check; None if no check is in progress.
    - `order_block`: block of the node's order that contains it; None if it gets no new requests.
    - `is_local`: whether the order has it among the endpoints of the node's own zone.
    """

    entry: api.Endpoint
    estimate: int = 0
    in_flight: int = 0
    slowness: float = 1.0
    min_response_ms: float = math.inf
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0
    unavailable_since: float = 0.0
    health_check_waiters: list[Request] | None = None
    order_block: list[str] | None = None
    is_local: bool = False

    @property
    def weight(self) -> float:
        """Return the weight of the endpoint in a random choice, which is lower for slow endpoints."""
        return self.entry.weight / self.slowness**2

    def reset(self) -> None:
        """Reset the state after a restart of the endpoint, except for attempts that are still in flight."""
        self.estimate = self.in_flight
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.busy_until = 0.0
        self.slowness = 1.0
        self.min_response_ms = math.inf


@dataclass(slots=True, eq=False)
class Candidates:
    """The endpoints among which a request chooses first, cached until the list changes.

    The cache is valid until the first endpoint of `warming` is warm, at the clock time `valid_until`.
    `min_estimate` and `max_weight` are bounds for the warm endpoints, exact only after a scan of all of them.
    """

    endpoints: list[EndpointRecord]
    warm: list[EndpointRecord]
    warming: list[EndpointRecord]
    valid_until: float
    min_estimate: int = 0
    max_weight: float = math.inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    - `reflects_load`: its outcome depends on the endpoint's load, because the endpoint reported to be idle or
      because requests do not wait for health checks.
    - `status`: None while the attempt is in flight.
    - `has_short_timeout`: a response may take longer than the timeout, so that is not the endpoint's fault.
    - `counts_in_flight`: the body of its request is complete, so that the endpoint can work on it.
    - `has_reduced_timeout`: its timeout was reduced because responses get lost.
    """

    endpoint: EndpointRecord
    sent_at: float
    reflects_load: bool
    status: api.AttemptStatus | None = None
    has_short_timeout: bool = False
    counts_in_flight: bool = True
    has_reduced_timeout: bool = False


@dataclass(slots=True, eq=False)
class ClassStatistics:
    """A request class and the statistics that this node has collected for it.

    - `expected_ms`: expected duration of a response.
    - `deviation_ms`: mean absolute deviation of response times from it.
    - `overload`: mean logarithm of response times over the target of the concurrency limit.
    - `first_attempt_ms`: time until the deadline that clients give a first attempt, by majority vote.
    """

    config: api.RequestClass
    expected_ms: float
    deviation_ms: float = 0.0
    overload: float = -1.0
    first_attempt_ms: float = 0.0
    first_attempt_votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request, from its arrival to the end of its last attempt.

    - `useful_until`: clock time after which a response has no worth.
    - `is_high_value`: its priority weight per expected ms is far above the mean.
    - `max_attempts`: the limit in force when it arrived.
    - `is_arriving`: its body is not complete, and its deadline is not known.
    - `checked`: endpoints that answered a health check for it.
    - `check_rounds`: rounds of health checks since it was last routed; `total_check_rounds` has all of them.
    - `may_try_warming`: warming endpoints are allowed, which is so for its first choice of an endpoint only.
    """

    id: str
    statistics: ClassStatistics
    work_hint: float | None
    deadline: float
    useful_until: float
    is_high_value: bool
    max_attempts: int
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_closed: bool = False
    is_streaming: bool = False
    is_arriving: bool = False
    pending_checks: set[str] = field(default_factory=set)
    checked: list[EndpointRecord] = field(default_factory=list)
    check_rounds: int = 0
    total_check_rounds: int = 0
    may_try_warming: bool = True
