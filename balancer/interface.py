"""The types that the balancing policy shares with its callers: settings, events, actions and outcomes.

All times are in milliseconds; points in time are on the caller's clock. The module has no logic and knows no
wire format. It is longer than other modules because both sides of the interface are best read together.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from balancer.errors import BalancerError


class SettingsError(BalancerError):
    """A setting is missing or invalid; the message names the field and the value."""

    code = "SET01"
    remedy = "correct the setting that the message names"


class CallError(BalancerError):
    """The library was called in a way that its contract does not allow."""

    code = "SET02"
    remedy = "report this message as a defect to the developers of the program that calls the library"


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The endpoints that recognise duplicates of each other's requests, as they share idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointPhase(Enum):
    """The lifecycle phase of an endpoint, as the endpoint list states it."""

    IN_SERVICE = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    """The kind of an update of the endpoint list."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


NOT_EXECUTED = frozenset({AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
"""Statuses that prove that the backend did not execute the attempt."""


class GiveUpReason(StrEnum):
    """Why a request was rejected or failed; the values appear in logs and counters."""

    TOO_LATE = "late"
    LOW_SUCCESS_RATE = "success"
    QUEUE_TIMEOUT = "held"
    NO_ENDPOINT = "none"
    NO_RETRY = "failed"


class LoadReportMode(Enum):
    """How backends send load reports to a node."""

    IN_RESPONSES = "answers"
    IN_HEALTH_CHECKS = "probes"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, with its objectives and its rules for retries."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    objective_ms_per_work_unit: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its request quota, which all nodes share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Charges:
    """The cost of each kind of overhead, as the fraction of the score that one unit per request takes."""

    probe: float = 0.0
    waste: float = 0.0
    cross_zone: float = 0.0
    late_fail: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    discovery: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    origin: float = 0.0
    peer: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreWeights:
    """Weights of the components of the score."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    top_nines: float = 3.0
    slow_end: float = 0.0
    miss_allowed: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a node."""

    classes: tuple[RequestClass, ...]
    node_index: int = 0
    node_count: int = 1
    zone: str = ""
    clock_granularity_ms: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    charges: Charges = field(default_factory=Charges)
    score_weights: ScoreWeights = field(default_factory=ScoreWeights)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    must_subscribe: bool = False
    load_report_mode: LoadReportMode = LoadReportMode.NONE
    load_report_fields: tuple[str, ...] = ()
    health_checks_allowed: bool = False
    cancellation_allowed: bool = True
    hedging_allowed: bool = False
    max_attempts: int = 3
    max_retry_after_ms: float = 0.0
    answer_slack_ms: float = 5.0
    list_max_age_ms: float = 10_000.0
    drain_grace_ms: float = 1_000.0
    cold_capacity_fraction: float = 0.0
    slow_start_ms: float = 60_000.0
    overload_window_ms: float = 1_000.0
    overload_multiple: float = 1.0
    has_endpoint_weights: bool = False
    connect_timeout_ms: float = 250.0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    clients_mark_retries: bool = False
    warm_keys: bool = False
    propagates_deadline: bool = True
    peer_messages_allowed: bool = False
    connection_idle_ms: float = 60_000.0
    streams_per_connection: int = 1
    max_open_requests: int = 20_000
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True)
class LoadReport:
    """A load report of a backend; values that it does not include are None."""

    in_flight: float | None = None
    queue: float | None = None
    cpu_utilization: float | None = None
    mean_duration_ms: float | None = None
    requests_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    backend: str
    zone: str
    cell: int
    weight: float
    phase: EndpointPhase
    started_at: float
    kind: str = ""


# --- events that the caller passes to the policy ------------------------------------------------------


@dataclass(slots=True, frozen=True)
class DiscoveryFailure:
    """How a call to discovery failed.

    `silent_ms` is the time since the last complete message from discovery. With `ended_by_discovery`,
    discovery itself ended the call, so it may be running but overloaded. With `ended_after_wait`, it did so
    after making the caller wait without any message.
    """

    silent_ms: float = math.inf
    ended_by_discovery: bool = False
    ended_after_wait: bool = False


@dataclass(slots=True)
class ListUpdate:
    """An update of the endpoint list, or the failure to get one.

    A list that is too long for one event is split over several: all but the first are of kind `DELTA`,
    removals come first, and `more_follows` is set on all but the last. `failure` describes an update of kind
    `FAILED`, which has no entries; it is None if the cause is unknown.
    """

    kind: ListUpdateKind
    entries: list[Endpoint]
    revision: int = 0
    more_follows: bool = False
    failure: DiscoveryFailure | None = None


@dataclass(slots=True)
class RequestArrived:
    """A client's request arrived; it must get exactly one final response before `deadline`.

    While `body_pending`, the body is still being received, and `RequestBodyReceived` follows. `settings` are
    those in force when the head of the request arrived; None means the present ones.
    """

    request: str
    class_name: str
    deadline: float
    is_retry: bool = False
    key: str | None = None
    tenant: str | None = None
    work_hint: float | None = None
    writes: bool = False
    body_pending: bool = False
    settings: Settings | None = None


@dataclass(slots=True)
class RequestBodyReceived:
    """The body of a request is complete; its latency is measured from now on."""

    request: str
    deadline: float


@dataclass(slots=True)
class ResponseStarted:
    """A long response, or one of a streamed class, started; the request can no longer be retried."""

    request: str
    attempt: int
    backend: str = ""
    duration_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; after `ResponseStarted` this is the end of the response.

    With `is_answered`, the client already has its final response. With `not_replayable`, the request cannot
    be retried because its body was not buffered.
    """

    request: str
    attempt: int
    backend: str
    status: AttemptStatus
    duration_ms: float
    is_answered: bool
    report: LoadReport | None = None
    not_replayable: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected and gets no response."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer that a `SetTimer` action started has fired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended."""

    backend: str
    status: AttemptStatus
    duration_ms: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another node arrived."""

    sender: int
    content: bytes


@dataclass(slots=True)
class Reconfigured:
    """The settings changed; open requests keep the class and the maximum of attempts they arrived with."""

    settings: Settings


@dataclass(slots=True)
class MaintenanceChanged:
    """Operators banned an endpoint for maintenance or lifted the ban, whatever the endpoint list says.

    After a lift the endpoint is treated as started at `lifted_at`, unless the list has a later start time.
    """

    backend: str
    banned: bool
    lifted_at: float = 0.0


@dataclass(slots=True)
class TakeoverStarted:
    """This process takes over from another one of the same node and needs the endpoint list at once."""


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What a node has learned that its successor process can use; the field names are keys of stored files.

    `limit` is the concurrency limit, `trust` the success rate of attempts, `lost` the rate of lost responses.
    A row of `classes` has the expected duration, its mean deviation and the overload. A row of `backends` has
    the listed start time, slowness, minimum response time, consecutive failures and the remaining
    ejection time. Durations are in ms. Load estimates are left out: the attempts they count end with the
    process.
    """

    limit: float
    trust: float
    lost: float
    classes: dict[str, tuple[float, float, float]]
    backends: dict[str, tuple[float, float, float, int, float]]


class RecoveryPhase(Enum):
    """The phase of a serving node while its tier recovers from a power loss.

    A node in `LISTED` serves from its cached endpoint list, so no node knows which endpoints are warming up.
    A node in `WARMING` has a list from discovery.
    """

    LISTED = "listed"
    WARMING = "warming"
    FULL = "full"


@dataclass(slots=True, frozen=True)
class RecoveryProgressed:
    """This node's recovery from a power loss of its tier advanced, or its quota changed.

    `capacity_share` is this node's share of the requests that all nodes together may send to warming
    endpoints. Endpoints listed as started before `cold_since` are treated as started then; 0 keeps the listed
    times. `tier_requests_per_s` is the load that the whole tier carried when it was warm; 0 means unknown.
    """

    phase: RecoveryPhase
    capacity_share: float
    cold_since: float = 0.0
    tier_requests_per_s: float = 0.0


@dataclass(slots=True)
class LearnedStateRestored:
    """An earlier process of this node left its learned state, `age_ms` ago; it comes after the list."""

    learned: LearnedState
    age_ms: float


Event = (
    Reconfigured
    | MaintenanceChanged
    | TakeoverStarted
    | LearnedStateRestored
    | RecoveryProgressed
    | ListUpdate
    | RequestArrived
    | RequestBodyReceived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
)

# --- actions that the policy asks the caller to perform -----------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; with a timeout of 0 it may last until the deadline of the request.

    The attempt must not be sent after the clock time `latest_start`; 0 means that there is no such limit.
    """

    request: str
    backend: str
    timeout_ms: float
    latest_start: float = 0.0


@dataclass(slots=True)
class RejectRequest:
    """Reject a request, as its final response; the client may safely retry it.

    `reason` is the value of a `GiveUpReason`, for the log.
    """

    request: str
    retry_after_ms: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class FailRequest:
    """Fail a request, as its final response; a backend may have executed it.

    `reason` is the value of a `GiveUpReason`, for the log.
    """

    request: str
    reason: str = ""


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt whose response is no longer needed."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Start a timer that causes a `TimerFired` event at the clock time `fires_at`."""

    fires_at: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    backend: str


@dataclass(slots=True)
class WatchEndpoints:
    """Start watching the endpoint list, or stop it."""

    enabled: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this node's idle connections to an endpoint."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to one node, or to all nodes if `node` is None."""

    node: int | None
    content: bytes


@dataclass(slots=True)
class WriteLog:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | WatchEndpoints
    | FetchEndpoints
    | CloseIdleConnections
    | SendPeerMessage
    | WriteLog
)
