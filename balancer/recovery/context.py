"""State that all components of a node's recovery share."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from balancer.recovery.actions import Action
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.trust import DiskState, StateKind, TrustRule, is_trusted

KINDS_REPLACED_BY_DISCOVERY = frozenset({StateKind.LIST, StateKind.REVISION})


@dataclass(slots=True)
class RecoveryContext:
    """Identity, clock and progress of a node's recovery. Times are milliseconds of the node's clock."""

    config: RecoveryConfig
    node: int
    node_count: int
    generator: random.Random
    trust_table: Mapping[StateKind, TrustRule]
    started_at: float
    now: float
    cold_since: float  # the time at which backends with an unknown start count as started
    phase: Phase = Phase.VERIFY
    phase_since: float = 0.0
    path: RecoveryPath = RecoveryPath.UNDECIDED
    disk: DiskState = field(default_factory=DiskState)
    has_fresh_list: bool = False  # true once discovery has sent this process an endpoint list
    counts: Counter[str] = field(default_factory=Counter)
    # Actions that the event being handled has requested so far.
    actions: list[Action] = field(default_factory=list)

    @property
    def serves_while_recovering(self) -> bool:
        """Whether the node serves requests while it is not fully recovered."""
        return Phase.LISTED <= self.phase < Phase.FULL

    def is_trusted(self, kind: StateKind) -> bool:
        """Return whether saved state of a kind may be used now."""
        peers_asked = self.phase >= Phase.LISTED
        contradicted = kind in KINDS_REPLACED_BY_DISCOVERY and self.has_fresh_list
        return is_trusted(kind, self.disk, peers_asked, contradicted, self.trust_table)
