"""What the return of a node is told, and what it says to do. Times are node clock, ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due at `Recovery.due` at the latest."""


@dataclass(slots=True, frozen=True)
class DiskRead:
    """The disk has been read: `VERIFY` is over."""

    sound: bool  # false: damaged, another node's, or none; nothing of it is used
    fresh_disk: bool  # nothing was ever kept on it
    life: int = 0
    age_ms: float = 0.0  # of what is kept, by `durable.records.Stamp.age`
    rows: tuple[BanEntry, ...] = ()
    revision: int = 0  # of the saved list
    rate: float = 0.0  # requests a second that this node carried when warm; 0: not known


@dataclass(slots=True, frozen=True)
class StateInherited:
    """This process takes the place of one of the same node that went on until now."""

    phase: Phase
    path: RecoveryPath
    cold_since: float
    rows: tuple[BanEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram came from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Who is present by the membership, with their lives, this node included: a hint, no more."""

    lives: Mapping[int, int]
    quorum: bool


@dataclass(slots=True, frozen=True)
class ListReceived:
    """Discovery itself has told the list in this process."""

    revision: int
    starts: tuple[float, ...]  # of the listed backends, node clock
    ids: tuple[str, ...] = ()  # of those in service; peers without such a list may avoid the others


@dataclass(slots=True, frozen=True)
class ListRequestFailed:
    """The call that an `AskList` brought about has failed."""


@dataclass(slots=True, frozen=True)
class SavedListLoaded:
    """The backends of the saved list, from which this node serves until discovery has told one."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class BanRequested:
    """An operator takes a backend out at this node, or puts it back; the answer waits for `Apply`."""

    backend: str
    out: bool
    at: float
    token: int


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """The rows of `Keep(rows, token)` are on the disk, or failed to get there."""

    token: int
    ok: bool


@dataclass(slots=True, frozen=True)
class DemandMeasured:
    """So many requests came to this node in the last second; told once a second until it is FULL."""

    per_s: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The node is about to end in good order. It goes on answering until it does."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The tier is of so many nodes now; at the numbers `replaced` others are at home than before."""

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

# --- actions


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one node, or to all of the tier where `node` is None."""

    node: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class PersistEntries:
    """Write rows. With a token they have to be synced, and `Synced` has to say so."""

    rows: tuple[BanEntry, ...]
    token: int | None = None


@dataclass(slots=True, frozen=True)
class ApplyBan:
    """The register's word on a backend: out, or back, since when. It also answers a `Called`."""

    backend: str
    out: bool
    since_ms: float  # -inf where nobody knows


@dataclass(slots=True, frozen=True)
class RequestList:
    """It is this node's turn to call discovery; `Listed` or `ListFailed` follows."""


@dataclass(slots=True, frozen=True)
class RestrictSavedList:
    """Of the saved list these are to be avoided, in place of any before; none once discovery has told it."""

    ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class PhaseEntered:
    """A phase begins, or the path is known better within one; the reason is its evidence, for the log."""

    phase: Phase
    path: RecoveryPath
    reason: str


@dataclass(slots=True, frozen=True)
class CapacityGranted:
    """What this node may put on cold backends has changed noticeably."""

    share: float  # of what all nodes together may
    cold_since: float  # node clock: a listed backend of which nobody knows better counts as started then
    rate: float  # requests a second that the whole tier carried when warm; 0: nobody knows


Action = (
    SendDatagram
    | PersistEntries
    | ApplyBan
    | RequestList
    | RestrictSavedList
    | PhaseEntered
    | CapacityGranted
)
