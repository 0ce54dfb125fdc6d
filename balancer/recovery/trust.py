"""Trust in each kind of saved state: one table, and the one function that enforces it.

Saved state is late, not right: a disk may be a month old, or empty, damaged, another node's. A disk that is
not sound, or that is fresh, counts as empty in any case.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType


class StateKind(Enum):
    """Kinds of saved state; the values are keys of `/stats`."""

    BANS = "bans"  # active entries of the register
    LIFTED_BANS = "returns"  # lifted entries: they stop older disks from banning again
    LIST = "list"  # endpoint list, to be served from before discovery has sent one
    REVISION = "revision"  # of that list: a peer that names a greater one may restrict it
    INCARNATION = "life"  # of this node, by which its own bans are ordered
    LEARNED = "learned"  # what the balancer had learned of backends
    WARM_RATE = "rate"  # requests a second that this node carried when all was warm


class TrustLevel(Enum):
    """Condition under which saved state may be used; the values are shown in `/stats`."""

    ALONE = "alone"  # at once
    UNLESS_CONTRADICTED = "unless peers know better"  # after the peers were asked, if none contradicted
    NEVER = "never"


@dataclass(slots=True, frozen=True)
class TrustRule:
    """One row of the trust table."""

    level: TrustLevel
    max_age_ms: float = math.inf  # since it was written, by `durable.timestamp.Timestamp.age_ms`


HOUR_MS = 3_600_000.0
TRUST_TABLE: Mapping[StateKind, TrustRule] = MappingProxyType(
    {
        # An acknowledged ban holds until a lift that has seen it.
        StateKind.BANS: TrustRule(TrustLevel.ALONE),
        # A lift proves that its ban was seen; a later ban has a greater counter.
        StateKind.LIFTED_BANS: TrustRule(TrustLevel.ALONE),
        # At any age: peers restrict the list, discovery replaces it.
        StateKind.LIST: TrustRule(TrustLevel.UNLESS_CONTRADICTED),
        StateKind.REVISION: TrustRule(TrustLevel.UNLESS_CONTRADICTED),
        # A number too low is raised by entries of this node that peers have.
        StateKind.INCARNATION: TrustRule(TrustLevel.ALONE),
        # Its limit counts requests in flight, which cold backends bear too; restarted backends start anew.
        StateKind.LEARNED: TrustRule(TrustLevel.UNLESS_CONTRADICTED, HOUR_MS),
        # Only the median over all nodes counts.
        StateKind.WARM_RATE: TrustRule(TrustLevel.ALONE, 24 * HOUR_MS),
    }
)


@dataclass(slots=True, frozen=True)
class DiskState:
    """Condition in which the disk was found."""

    sound: bool = False
    fresh: bool = True  # nothing was ever written to it
    age_ms: float = math.inf  # at the node's start


def is_trusted(
    kind: StateKind,
    disk: DiskState,
    peers_asked: bool,
    contradicted: bool = False,
    table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
) -> bool:
    """Return whether saved state of a kind may be used now.

    Args:
        kind: Kind of state.
        disk: Condition of the disk that it was read from.
        peers_asked: Whether the peer survey is over, answered or not.
        contradicted: Whether a better source contradicts it.
        table: Rules by kind.
    """
    rule = table[kind]
    if not disk.sound or disk.fresh or disk.age_ms > rule.max_age_ms or rule.level is TrustLevel.NEVER:
        return False
    return rule.level is TrustLevel.ALONE or (peers_asked and not contradicted)
