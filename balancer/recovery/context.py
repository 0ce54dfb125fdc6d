"""State of a node's recovery that its parts share."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from balancer.recovery.actions import Action
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.trust import DiskState, StateKind, TrustRule, is_trusted

REPLACED_BY_DISCOVERY = frozenset({StateKind.LIST, StateKind.REVISION})


@dataclass(slots=True)
class RecoveryContext:
    """Who this node is, what time it is, and how far its recovery is. Times are node clock, ms."""

    config: RecoveryConfig
    node: int
    node_count: int
    generator: random.Random
    trust_table: Mapping[StateKind, TrustRule]
    started_at: float
    now: float
    cold_since: float  # a listed backend of unknown start counts as started then
    phase: Phase = Phase.VERIFY
    phase_since: float = 0.0
    path: RecoveryPath = RecoveryPath.UNDECIDED
    disk: DiskState = field(default_factory=DiskState)
    has_fresh_list: bool = False  # discovery has sent a list in this process
    counts: Counter[str] = field(default_factory=Counter)
    actions: list[Action] = field(default_factory=list)  # asked for by the event that is handled

    @property
    def serves(self) -> bool:
        """Whether the node listens, and is not fully recovered yet."""
        return Phase.LISTED <= self.phase < Phase.FULL

    def is_trusted(self, kind: StateKind) -> bool:
        """Return whether saved state of a kind may be used now."""
        peers_asked = self.phase >= Phase.LISTED
        contradicted = kind in REPLACED_BY_DISCOVERY and self.has_fresh_list
        return is_trusted(kind, self.disk, peers_asked, contradicted, self.trust_table)
