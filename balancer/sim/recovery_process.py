"""Parts of a simulated tier: processes, operators' requests, partitions and the observer's interface."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from balancer.recovery.actions import CapacityGranted, PhaseEntered
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.phases import Phase, RecoveryPath

MakeCore = Callable[[RecoveryConfig, int, int, int, int, float], Recovery]


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """An operator's request to a node to ban a backend or lift its ban.

    `seen` has the node and counter of each of the backend's bans that the node knew at the time.
    """

    token: int
    node: int
    backend: str
    banned: bool
    seen: frozenset[tuple[int, int, int]] = frozenset()

    @property
    def description(self) -> str:
        """The backend and its requested state, `out` or `in`, for the log."""
        return f"{self.backend} {'out' if self.banned else 'in'}"


@dataclass(slots=True, frozen=True)
class EnteredPhase:
    """A phase that a process has entered, with its time and recovery path."""

    at: float
    phase: Phase
    path: RecoveryPath


@dataclass
class Process:
    """A node's process, with the state that its recovery core has requested so far.

    A successor's `began_at` is that of its predecessor, and `inherits_phase` is set until it enters its first
    phase, which repeats its predecessor's. `lost_power_with_tier` tells whether the whole tier lost power
    before this start. `listed_starts` has the start times that discovery itself has sent, by backend.
    `pending` holds unanswered requests, and `unfinished_writes` the number of writes in progress, by token.
    """

    core: Recovery
    began_at: float
    phase: Phase = Phase.VERIFY
    phases: list[EnteredPhase] = field(default_factory=list)
    banned: set[str] = field(default_factory=set)
    saved_ids: frozenset[str] = frozenset()
    restricted_ids: frozenset[str] = frozenset()
    capacity: CapacityGranted | None = None
    listed_starts: dict[str, float] = field(default_factory=dict)
    pending: dict[int, OperatorRequest] = field(default_factory=dict)
    unfinished_writes: Counter[int | None] = field(default_factory=Counter)
    inherits_phase: bool = False
    lost_power_with_tier: bool = False
    survey_began_at: float = 0.0

    @property
    def serves(self) -> bool:
        """Whether the process sends requests to backends."""
        return self.phase >= Phase.LISTED


@dataclass(slots=True, frozen=True)
class Partition:
    """A network partition that separates the nodes in `side` from all others for an interval."""

    begin: float
    until: float
    side: frozenset[int]

    def separates(self, one: int, other: int) -> bool:
        """Return whether two nodes are on different sides of the partition."""
        return (one in self.side) != (other in self.side)


class TierObserver(Protocol):
    """Interface of an observer, which is notified of a tier's events and does not influence them."""

    def disk_read(self, node: int, entries: tuple[BanEntry, ...]) -> None:
        """Handle the entries that a process has read from its disk."""

    def phase_entered(self, node: int, entered: PhaseEntered) -> None:
        """Handle a phase that a node is about to enter."""

    def requested(self, request: OperatorRequest) -> None:
        """Handle an operator's request that has reached a node."""

    def answered(self, request: OperatorRequest) -> None:
        """Handle the acknowledgement of an operator's request."""

    def list_restricted(self, node: int, ids: frozenset[str]) -> None:
        """Handle the restriction of a node's saved list by a peer's filter."""

    def time_passed(self) -> None:
        """Check the state of the tier, at regular times."""
