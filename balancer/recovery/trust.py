"""Trust table for the kinds of saved state, and the function that enforces it.

Saved state may be outdated: a disk may be a month old, empty, damaged, or from another node. A disk that is
not sound or that is fresh always counts as empty.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType


class StateKind(Enum):
    """Kinds of saved state; the values are keys of `/stats`."""

    BANS = "bans"  # active register entries ban their backends
    # Lifted register entries keep older disks from restoring their bans.
    LIFTED_BANS = "returns"
    LIST = "list"  # a node serves from the saved list until discovery has sent one
    REVISION = "revision"  # a peer with a greater revision may restrict the saved list
    INCARNATION = "life"  # the incarnation of a node orders the bans requested at it
    LEARNED = "learned"  # the balancer has learned the state of its backends
    WARM_RATE = "rate"  # the requests/s that the node carried when all backends were warm


class TrustLevel(Enum):
    """Condition under which saved state may be used; `/stats` shows the values."""

    ALONE = "alone"  # saved state may be used immediately
    # Saved state may be used after the survey, unless a source contradicts it.
    UNLESS_CONTRADICTED = "unless peers know better"
    NEVER = "never"


@dataclass(slots=True, frozen=True)
class TrustRule:
    """Row of the trust table."""

    level: TrustLevel
    # The age, by `durable.timestamp.Timestamp.age_ms`, beyond which state is not trusted.
    max_age_ms: float = math.inf


HOUR_MS = 3_600_000.0
TRUST_TABLE: Mapping[StateKind, TrustRule] = MappingProxyType(
    {
        # An acknowledged ban stays in force until a lift that has seen it.
        StateKind.BANS: TrustRule(TrustLevel.ALONE),
        # A lift proves that its ban was seen; a later ban has a greater counter.
        StateKind.LIFTED_BANS: TrustRule(TrustLevel.ALONE),
        # A list of any age can be used, because peers restrict it and discovery replaces it.
        StateKind.LIST: TrustRule(TrustLevel.UNLESS_CONTRADICTED),
        StateKind.REVISION: TrustRule(TrustLevel.UNLESS_CONTRADICTED),
        # An incarnation that is too low is raised by the entries of this node that peers have.
        StateKind.INCARNATION: TrustRule(TrustLevel.ALONE),
        # The learned limit counts requests in flight, which cold backends can bear too. Backends that have
        # restarted since start without learned state.
        StateKind.LEARNED: TrustRule(TrustLevel.UNLESS_CONTRADICTED, HOUR_MS),
        # A wrong rate of one node has little effect, as only the median over all nodes counts.
        StateKind.WARM_RATE: TrustRule(TrustLevel.ALONE, 24 * HOUR_MS),
    }
)


@dataclass(slots=True, frozen=True)
class DiskState:
    """Condition of the disk at the node's start."""

    sound: bool = False
    fresh: bool = True  # a disk is fresh if nothing was ever written to it
    age_ms: float = math.inf  # the age of the saved state at the start of the node


def is_trusted(
    kind: StateKind,
    disk: DiskState,
    peers_asked: bool,
    contradicted: bool = False,
    table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
) -> bool:
    """Return whether saved state of a kind may be used now.

    Args:
        kind: Kind of saved state.
        disk: Condition of the disk that the state was read from.
        peers_asked: Whether the survey of the peers is over, with or without answers.
        contradicted: Whether a better source contradicts the saved state.
        table: Trust rule of each kind.
    """
    rule = table[kind]
    if not disk.sound or disk.fresh or disk.age_ms > rule.max_age_ms or rule.level is TrustLevel.NEVER:
        return False
    return rule.level is TrustLevel.ALONE or (peers_asked and not contradicted)
