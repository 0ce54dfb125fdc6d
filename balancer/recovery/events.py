"""Events that the recovery core handles. Times are milliseconds of the node's clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due at `Recovery.next_wakeup` at the latest."""


@dataclass(slots=True, frozen=True)
class DiskRead:
    """The disk has been read, which ends the phase `VERIFY`."""

    sound: bool  # false if the disk is damaged, missing or another node's, so that nothing on it is used
    fresh_disk: bool  # true if nothing was ever written to the disk
    incarnation: int = 0
    age_ms: float = 0.0  # age of the saved state by `durable.timestamp.Timestamp.age_ms`
    entries: tuple[BanEntry, ...] = ()
    revision: int = 0  # revision of the saved endpoint list
    warm_rate: float = 0.0  # requests/s that this node carried when warm; 0 if unknown


@dataclass(slots=True, frozen=True)
class StateInherited:
    """This process takes over from a process of the same node that was running until now."""

    phase: Phase
    path: RecoveryPath
    cold_since: float
    entries: tuple[BanEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram has arrived from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Membership's view of the present nodes, including this one, has changed; it serves only as a hint."""

    incarnations: Mapping[int, int]  # incarnation of each present node
    quorum: bool


@dataclass(slots=True, frozen=True)
class ListReceived:
    """Discovery has sent the endpoint list to this process."""

    revision: int
    start_times: tuple[float, ...]  # start time of each listed backend by the node's clock
    ids: tuple[str, ...] = ()  # backends in service; peers without a list from discovery may avoid all others


@dataclass(slots=True, frozen=True)
class ListRequestFailed:
    """The request to discovery that `RequestList` started has failed."""


@dataclass(slots=True, frozen=True)
class SavedListLoaded:
    """The saved list, from which this node serves until discovery sends a list, has been loaded."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class BanRequested:
    """An operator bans a backend at this node, or lifts its ban; the answer waits for `ApplyBan`."""

    backend: str
    banned: bool
    requested_at: float
    token: int


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """The write of `PersistEntries(entries, token)` to disk has succeeded or failed."""

    token: int
    succeeded: bool


@dataclass(slots=True, frozen=True)
class DemandMeasured:
    """Requests that arrived at this node in the last second; sent every second until the node is FULL."""

    requests_per_s: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The node has started a graceful shutdown; it answers peers until its process exits."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The tier now has `count` nodes; the nodes in `replaced` have new addresses."""

    count: int
    replaced: frozenset[int] = field(default_factory=frozenset)


Event = (
    Tick
    | DiskRead
    | StateInherited
    | DatagramReceived
    | MembershipChanged
    | ListReceived
    | ListRequestFailed
    | SavedListLoaded
    | BanRequested
    | WriteCompleted
    | DemandMeasured
    | ShutdownStarted
    | PeersChanged
)
