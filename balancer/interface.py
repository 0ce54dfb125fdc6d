"""The types shared by the decisions and their callers: settings, events, actions, outcomes.

Times are milliseconds; points in time are on the caller's clock. Nothing here decides or knows a wire format.
The file is longer than others, as both sides of the interface are read together.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from balancer.errors import BalancerError


class SettingsError(BalancerError):
    """A setting is missing or makes no sense; the message names the field and the value."""

    code = "SET01"
    remedy = "correct the setting that is named"


class CallError(BalancerError):
    """The library was called in a way that its contract does not allow."""

    code = "SET02"
    remedy = "a defect of the calling program: send its makers this line"


class Idempotency(Enum):
    """How often a request of a class may take effect."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which endpoints share idempotency keys, and so drop retries of each other's requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointPhase(Enum):
    """The phase of an endpoint in the list."""

    IN_SERVICE = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    """What an update of the endpoint list brings."""

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
"""Statuses that prove that the attempt had no effect."""


class GiveUpReason(StrEnum):
    """Why a request was rejected or failed; the values stand in logs and counts."""

    TOO_LATE = "late"
    LOW_SUCCESS_RATE = "success"
    QUEUE_TIMEOUT = "held"
    NO_ENDPOINT = "none"
    NO_RETRY = "failed"


class LoadReportMode(Enum):
    """How load reports reach a node."""

    IN_RESPONSES = "answers"
    IN_HEALTH_CHECKS = "probes"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests and its objectives."""

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
    """A tenant and its quota over all nodes."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Charges:
    """Prices, as fractions of the result for one unit a request."""

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
    """Weights of the parts of the result."""

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
    """Settings of a node."""

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
    """A load report; a value that is not reported is None."""

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


# --- events -----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class DiscoveryFailure:
    """How a call of discovery failed."""

    silent_ms: float = math.inf  # ms since the last complete message of discovery
    ended_by_discovery: bool = False  # discovery itself ended the call: it may be up, and only overloaded
    ended_after_wait: bool = False  # and it did so after a wait, without any message


@dataclass(slots=True)
class ListUpdate:
    """An update of the endpoint list; `FAILED` has no entries.

    A list that is too long for one event comes in pieces, all but the first of kind `DELTA`, removals first.
    """

    kind: ListUpdateKind
    entries: list[Endpoint]
    revision: int = 0
    more_follows: bool = False  # further pieces of the same list follow
    failure: DiscoveryFailure | None = None  # of `FAILED`, where it is known


@dataclass(slots=True)
class RequestArrived:
    """A client's request, which gets exactly one final answer before `deadline`."""

    request: str
    class_name: str
    deadline: float
    is_retry: bool = False
    key: str | None = None
    tenant: str | None = None
    work_hint: float | None = None
    writes: bool = False
    body_pending: bool = False  # its body is still arriving, see `RequestBodyReceived`
    settings: Settings | None = None  # settings in force when its head arrived; None: the present ones


@dataclass(slots=True)
class RequestBodyReceived:
    """The body of a request is complete: its time counts from now."""

    request: str
    deadline: float


@dataclass(slots=True)
class ResponseStarted:
    """A long response, or one of a streamed class, began: the request can no longer be retried."""

    request: str
    attempt: int
    backend: str = ""
    duration_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; after `ResponseStarted` this is the end of the response.

    `closed`: the request has its final answer. `spent`: it cannot be retried, as its body was not buffered.
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
    """The client disconnected and gets no answer."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` fired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    backend: str
    status: AttemptStatus
    duration_ms: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another node."""

    sender: int
    content: bytes


@dataclass(slots=True)
class Reconfigured:
    """New settings; requests under way keep the class and the attempts that they arrived with."""

    settings: Settings


@dataclass(slots=True)
class MaintenanceChanged:
    """Operators take an endpoint out of service, or put it back, whatever the list says of it.

    `since` is when it was put back: it counts as started then, unless the list has a later time.
    """

    backend: str
    banned: bool
    lifted_at: float = 0.0


@dataclass(slots=True)
class TakeoverStarted:
    """This process replaces another one of the same node and needs the endpoint list at once."""


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What a node has learned that a successor can use; all times are durations.

    The names are keys of files. Estimates are not included: the attempts they count end with the process.
    """

    limit: float  # the concurrency limit
    trust: float
    lost: float
    classes: dict[str, tuple[float, float, float]]  # expected duration, its mean deviation, overload
    # Start as listed, slowness, minimum response time, consecutive failures, time left of the ejection.
    backends: dict[str, tuple[float, float, float, int, float]]


class RecoveryPhase(Enum):
    """Progress of a node that recovers with its tier from a loss of power, once it serves."""

    LISTED = "listed"  # by the cached list: nobody knows which endpoints are warming up
    WARMING = "warming"  # by a list from discovery
    FULL = "full"


@dataclass(slots=True, frozen=True)
class RecoveryProgressed:
    """The tier recovers from a loss of power: progress of this node and its quota.

    `share` is this node's part of what all nodes together may send to warming endpoints. Endpoints that are
    listed as started before `cold_since` count as started then (0: as listed). `rate` is what the whole tier
    carried when it was warm, in requests a second (0: unknown).
    """

    phase: RecoveryPhase
    capacity_share: float
    cold_since: float = 0.0
    tier_requests_per_s: float = 0.0


@dataclass(slots=True)
class LearnedStateRestored:
    """What an earlier process of this node learned, `age` ms ago; comes after the list."""

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

# --- actions ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; a timeout of 0 lasts until the deadline of the request.

    It must not be sent after the clock time `before` (0: no such limit).
    """

    request: str
    backend: str
    timeout_ms: float
    latest_start: float = 0.0


@dataclass(slots=True)
class RejectRequest:
    """Final answer: the request is rejected, and a retry does no harm."""

    request: str
    retry_after_ms: float = 0.0
    reason: str = ""  # a `GiveUpReason`, for the log


@dataclass(slots=True)
class FailRequest:
    """Final answer: the request failed, and may have taken effect."""

    request: str
    reason: str = ""  # a `GiveUpReason`, for the log


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` event at the clock time `when`."""

    fires_at: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Check the health of an endpoint."""

    backend: str


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list from now on, or no longer."""

    enabled: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the whole endpoint list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this node's idle connections to an endpoint."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to one node, or to all where `node` is None."""

    node: int | None
    content: bytes


@dataclass(slots=True)
class WriteLog:
    """Write a line for the operators."""

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
