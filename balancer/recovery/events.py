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
    """The disk has been read, which ends the phase `VERIFY`.

    Attributes:
        sound: False if the disk is damaged, missing or another node's, so that nothing on it is used.
        fresh_disk: True if nothing was ever written to the disk.
        incarnation: Saved incarnation of this node.
        age_ms: Age of the saved state, as given by `durable.timestamp.Timestamp.age_ms`.
        entries: Saved entries of the ban register.
        revision: Revision of the saved endpoint list.
        warm_rate: Requests per second that this node carried when warm; 0 if unknown.
    """

    sound: bool
    fresh_disk: bool
    incarnation: int = 0
    age_ms: float = 0.0
    entries: tuple[BanEntry, ...] = ()
    revision: int = 0
    warm_rate: float = 0.0


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

    incarnations: Mapping[int, int]  # maps each present node to its incarnation
    quorum: bool


@dataclass(slots=True, frozen=True)
class ListReceived:
    """Discovery has sent the endpoint list to this process.

    Attributes:
        revision: Revision of the list.
        start_times: Start time of each listed backend by the node's clock.
        ids: Backends in service; peers without a list from discovery may avoid all others.
    """

    revision: int
    start_times: tuple[float, ...]
    ids: tuple[str, ...] = ()


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
