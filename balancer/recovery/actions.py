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
    since_ms: float  # -inf means that the time of the ban or lift is unknown


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
    """Limit this node to a share of the cold backends' capacity; sent when the limit changes noticeably."""

    share: float  # fraction of the capacity that all nodes of the tier may use together
    cold_since: float  # backends with an unknown start time count as started at this time
    tier_rate: float  # requests/s that the whole tier carried when warm; 0 if unknown


Action = (
    SendDatagram
    | PersistEntries
    | ApplyBan
    | RequestList
    | RestrictSavedList
    | PhaseEntered
    | CapacityGranted
)
