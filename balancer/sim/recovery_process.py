"""Parts of a simulated tier: a node's process, an operator's request, a partition, an observer's view."""

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
    """An operator's request at a node: ban a backend, or lift its ban."""

    token: int
    node: int
    backend: str
    banned: bool
    seen: frozenset[tuple[int, int, int]] = frozenset()  # node and counter of each ban it knew of then

    @property
    def description(self) -> str:
        """The backend and what is to become of it, for the log."""
        return f"{self.backend} {'out' if self.banned else 'in'}"


@dataclass(slots=True, frozen=True)
class EnteredPhase:
    """A phase that a process has entered."""

    at: float
    phase: Phase
    path: RecoveryPath


@dataclass
class Process:
    """One node's process: what its core has asked for so far."""

    core: Recovery
    began: float  # its predecessor's, where it is a successor
    phase: Phase = Phase.VERIFY
    phases: list[EnteredPhase] = field(default_factory=list)
    banned: set[str] = field(default_factory=set)  # what its balancer was told
    saved_ids: frozenset[str] = frozenset()
    restricted_ids: frozenset[str] = frozenset()
    capacity: CapacityGranted | None = None
    listed_starts: dict[str, float] = field(default_factory=dict)  # from discovery itself, by backend
    pending: dict[int, OperatorRequest] = field(default_factory=dict)  # unanswered requests, by token
    writing: Counter[int | None] = field(default_factory=Counter)  # writes under way, by token
    inherits: bool = False  # a successor's first phase is its predecessor's
    power_cut: bool = False  # whether all of the tier were cut before this start
    survey_began: float = 0.0

    @property
    def serves(self) -> bool:
        """Whether it sends requests to backends."""
        return self.phase >= Phase.LISTED


@dataclass(slots=True, frozen=True)
class Partition:
    """Two sides that do not hear each other for a while."""

    begin: float
    until: float
    side: frozenset[int]

    def separates(self, one: int, other: int) -> bool:
        """Return whether two nodes are on different sides."""
        return (one in self.side) != (other in self.side)


class TierObserver(Protocol):
    """Sees all, decides nothing."""

    def disk_read(self, node: int, entries: tuple[BanEntry, ...]) -> None:
        """Observe that a process has read its disk."""

    def phase_entered(self, node: int, entered: PhaseEntered) -> None:
        """Observe that a phase has begun."""

    def requested(self, request: OperatorRequest) -> None:
        """Observe that an operator's request has reached a node."""

    def answered(self, request: OperatorRequest) -> None:
        """Observe that a request has succeeded."""

    def list_restricted(self, node: int, ids: frozenset[str]) -> None:
        """Observe that a node avoids some of its saved list on a peer's word."""

    def time_passed(self) -> None:
        """Observe the tier."""
