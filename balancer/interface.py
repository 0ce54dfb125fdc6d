"""The types shared by the decision module and its callers: settings, events, actions, outcomes.

Times are milliseconds on the caller's clock. Nothing here decides anything or knows a wire format.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from balancer.errors import BalancerError


class SettingsError(BalancerError):
    """A setting is missing or makes no sense; the text names the field and the value."""

    code = "SET01"
    remedy = "correct the setting that is named"


class CallError(BalancerError):
    """The library was called in a way its contract rules out."""

    code = "SET02"
    remedy = "a defect of the calling program: send its makers this line"


class Idempotency(Enum):
    """How often a request of a class may take effect."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends together drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointPhase(Enum):
    """What the list says of a backend."""

    IN_SERVICE = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    """What a list event brings."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


NOT_EXECUTED = frozenset({AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
"""Outcomes that prove the attempt had no effect; every other one leaves it open."""


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
    """One class of request and what it asks for."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    deadline: float
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    objective_per_work: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the rate, over all nodes, that stays inside its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Charges:
    """Prices, as fractions of the result for one unit per request."""

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
    """What a node is told at start."""

    classes: tuple[RequestClass, ...]
    node_index: int = 0
    node_count: int = 1
    zone: str = ""
    clock_granularity_ms: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    charges: Charges = field(default_factory=Charges)
    blend: ScoreWeights = field(default_factory=ScoreWeights)
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
    weighted: bool = False
    connect_timeout: float = 250.0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    retries_marked: bool = False
    warm_keys: bool = False
    passes_deadline: bool = True
    peers: bool = False
    connection_idle_ms: float = 60_000.0
    streams_per_conn: int = 1
    max_open: int = 20_000
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True)
class LoadReport:
    """A load report; a value the site does not report is None."""

    in_flight: float | None = None
    queue: float | None = None
    cpu: float | None = None
    mean_time: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(slots=True)
class Endpoint:
    """One backend as the list gives it."""

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
    """How a call of discovery has failed."""

    silent_ms: float = math.inf  # ms since discovery last told something whole
    reached: bool = False  # discovery itself has ended it: it may be there, and only have too many callers
    queued: bool = False  # and that with nothing told, after a wait


@dataclass(slots=True)
class ListUpdate:
    """News of the backends; `FAILED` carries none.

    A list that is too long for one event comes in pieces, each but the first as `CHANGES`: what leaves first.
    """

    kind: ListUpdateKind
    entries: list[Endpoint]
    revision: int = 0
    more: bool = False  # further pieces of the same list follow
    failure: DiscoveryFailure | None = None  # of FAILED, where it is known


@dataclass(slots=True)
class RequestArrived:
    """A client's request: one final answer is now owed before `deadline`."""

    request: str
    class_name: str
    deadline: float
    is_retry: bool = False
    key: str | None = None
    tenant: str | None = None
    work_hint: float | None = None
    writes: bool = False
    arriving: bool = False  # its body still comes in: `deadline` is what it would be by now, see `Arrived`
    under: Settings | None = None  # those in force when its head came, which it keeps; None: those of now


@dataclass(slots=True)
class RequestBodyReceived:
    """The last byte of a request that came as `arriving` is in: its time counts from now."""

    request: str
    deadline: float


@dataclass(slots=True)
class ResponseStarted:
    """The answer of a streamed class, or a long one, began; the attempt now belongs to the client."""

    request: str
    attempt: int
    backend: str = ""
    duration: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt; `closed` says the request has its final answer.

    `spent` says that it cannot go out again, as its body is no longer held. After `StreamStarted` this is the
    end of the answer.
    """

    request: str
    attempt: int
    backend: str
    status: AttemptStatus
    duration: float
    closed: bool
    report: LoadReport | None = None
    spent: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; no answer is owed any more."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier came due."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of one probe."""

    backend: str
    status: AttemptStatus
    duration: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message of another node."""

    sender: int
    content: bytes


@dataclass(slots=True)
class Reconfigured:
    """New settings, checked and whole. Requests under way keep the class and attempts that they came with."""

    settings: Settings


@dataclass(slots=True)
class MaintenanceChanged:
    """The operators take a backend out of service or put it back, whatever the list says of it.

    `since` is when it was put back: it counts as started then, wherever that is later than the list says.
    """

    backend: str
    out: bool
    since: float = 0.0


@dataclass(slots=True)
class TakeoverStarted:
    """This process takes the place of another one of the same node, and may not be late with the list."""


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What a node has learned that an heir can use. Times in ms, none of them on a clock.

    Own counts of sends are not among it: what they count is gone with the process.
    """

    limit: float  # of concurrent attempts
    trust: float
    lost: float
    classes: dict[str, tuple[float, float, float]]  # usual time, its mean deviation, strain
    # Start as listed, slowness, least trip, failures in a row, what is left of its ejection.
    backends: dict[str, tuple[float, float, float, int, float]]


class RecoveryPhase(Enum):
    """How far a node is that returns with its tier, once it serves."""

    LISTED = "listed"  # by the list that was kept: nobody has told which backends are cold
    WARMING = "warming"  # discovery has told the list
    FULL = "full"


@dataclass(slots=True, frozen=True)
class RecoveryProgressed:
    """The tier returns from a loss of power: how far this node is, and what part of the work is its own.

    `share` is this node's part of what all nodes together may give to cold backends. What the list says to
    have started before `cold_since` counts as started then (0: the list is believed). `rate` is what the
    whole tier carried when it was warm, in requests a second (0: nobody knows).
    """

    phase: RecoveryPhase
    share: float
    cold_since: float = 0.0
    rate: float = 0.0


@dataclass(slots=True)
class LearnedStateRestored:
    """An earlier process of this node had learned this, `age` ms ago. Comes after the list."""

    learned: LearnedState
    age: float


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
    """Start an attempt; a time-out of 0 lasts until the client gives up.

    What has not left by the clock time `before` must not leave any more (0: no such limit).
    """

    request: str
    backend: str
    timeout: float
    before: float = 0.0


@dataclass(slots=True)
class RejectRequest:
    """Final answer: turned away, a retry is harmless."""

    request: str
    retry_after: float = 0.0
    reason: str = ""  # for the log


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, nothing promised."""

    request: str
    reason: str = ""  # for the log


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `Timer` event."""

    when: float
    token: int


@dataclass(slots=True)
class CheckHealth:
    """Ask a backend how it is."""

    backend: str


@dataclass(slots=True)
class WatchEndpoints:
    """Ask to be told of list changes from now on, or no longer."""

    on: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Ask for the whole list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this node's idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to one node, or to all where `node` is None."""

    node: int | None
    content: bytes


@dataclass(slots=True)
class WriteLog:
    """A line for the people on call."""

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
