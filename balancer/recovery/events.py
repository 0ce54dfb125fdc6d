"""Events that a node's recovery handles. Times are node clock, ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; wanted at `Recovery.next_wakeup` at the latest."""


@dataclass(slots=True, frozen=True)
class DiskRead:
    """The disk has been read: `VERIFY` is over."""

    sound: bool  # false: damaged, another node's, or none; nothing of it is used
    fresh_disk: bool  # nothing was ever written to it
    incarnation: int = 0
    age_ms: float = 0.0  # of the saved state, by `durable.timestamp.Timestamp.age_ms`
    entries: tuple[BanEntry, ...] = ()
    revision: int = 0  # of the saved list
    warm_rate: float = 0.0  # requests a second that this node carried when warm; 0: unknown


@dataclass(slots=True, frozen=True)
class StateInherited:
    """This process takes over from one of the same node that went on until now."""

    phase: Phase
    path: RecoveryPath
    cold_since: float
    entries: tuple[BanEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram came from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """The membership's view of who is present, this node included: a hint, no more."""

    incarnations: Mapping[int, int]  # by node
    quorum: bool


@dataclass(slots=True, frozen=True)
class ListReceived:
    """Discovery itself has sent the endpoint list in this process."""

    revision: int
    start_times: tuple[float, ...]  # of the listed backends, node clock
    ids: tuple[str, ...] = ()  # of those in service; peers without such a list may avoid the others


@dataclass(slots=True, frozen=True)
class ListRequestFailed:
    """The request that a `RequestList` brought about has failed."""


@dataclass(slots=True, frozen=True)
class SavedListLoaded:
    """The backends of the saved list, from which this node serves until discovery has sent one."""

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
    """The entries of `PersistEntries(entries, token)` are on the disk, or failed to get there."""

    token: int
    succeeded: bool


@dataclass(slots=True, frozen=True)
class DemandMeasured:
    """Requests that came to this node in the last second; sent once a second until it is FULL."""

    requests_per_s: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The node shuts down gracefully. It goes on answering until it ends."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The tier has another number of nodes; the numbers `replaced` have new addresses."""

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
