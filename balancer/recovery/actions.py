"""Actions that a node's recovery asks for. Times are node clock, ms."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one node, or to the whole tier if `node` is None."""

    node: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class PersistEntries:
    """Write entries of the register. With a token, sync them and report by `WriteCompleted`."""

    entries: tuple[BanEntry, ...]
    token: int | None = None


@dataclass(slots=True, frozen=True)
class ApplyBan:
    """Put a ban in force, or lift it, as the register says. It also answers a `BanRequested`."""

    backend: str
    banned: bool
    since_ms: float  # -inf if unknown


@dataclass(slots=True, frozen=True)
class RequestList:
    """Poll discovery in this node's slot; `ListReceived` or `ListRequestFailed` follows."""


@dataclass(slots=True, frozen=True)
class RestrictSavedList:
    """Avoid these backends of the saved list, in place of the previous set."""

    ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class PhaseEntered:
    """A phase begins, or the path is known better within one; the reason is its evidence, for the log."""

    phase: Phase
    path: RecoveryPath
    reason: str


@dataclass(slots=True, frozen=True)
class CapacityGranted:
    """The share of the capacity of cold backends that this node may use has changed noticeably."""

    share: float  # of what all nodes together may use
    cold_since: float  # node clock: a listed backend of unknown start counts as started then
    tier_rate: float  # requests a second that the whole tier carried when warm; 0: unknown


Action = (
    SendDatagram
    | PersistEntries
    | ApplyBan
    | RequestList
    | RestrictSavedList
    | PhaseEntered
    | CapacityGranted
)
