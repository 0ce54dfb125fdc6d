"""Actions that the recovery core returns to its caller. Times are milliseconds of the node's clock."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one node, or to every node of the tier if `node` is None."""

    node: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class PersistEntries:
    """Write register entries to disk; with a token, sync them and report the result as `WriteCompleted`."""

    entries: tuple[BanEntry, ...]
    token: int | None = None


@dataclass(slots=True, frozen=True)
class ApplyBan:
    """Apply or lift a ban at this node to match the register; this also answers a `BanRequested`."""

    backend: str
    banned: bool
    since_ms: float  # -inf stands for an unknown time of the ban or lift


@dataclass(slots=True, frozen=True)
class RequestList:
    """Request the endpoint list from discovery; `ListReceived` or `ListRequestFailed` follows."""


@dataclass(slots=True, frozen=True)
class RestrictSavedList:
    """Send no requests to these backends of the saved list; replaces the previous set."""

    ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class PhaseEntered:
    """Report a new phase, or a changed recovery path within a phase; `reason` is the evidence to log."""

    phase: Phase
    path: RecoveryPath
    reason: str


@dataclass(slots=True, frozen=True)
class CapacityGranted:
    """Limit this node to a share of the cold backends' capacity; sent when the limit changes noticeably.

    Attributes:
        share: Fraction of the capacity that all nodes of the tier may use together.
        cold_since: Backends with an unknown start time count as started at this time.
        tier_rate: Requests per second that the whole tier carried when warm; 0 if unknown.
    """

    share: float
    cold_since: float
    tier_rate: float


Action = (
    SendDatagram
    | PersistEntries
    | ApplyBan
    | RequestList
    | RestrictSavedList
    | PhaseEntered
    | CapacityGranted
)
