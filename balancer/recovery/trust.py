"""What a node trusts of the state that it kept from before: one table, and the one function that enforces it.

What comes back is late, not right: a disk may be a month old, or empty, damaged, another node's. A disk that
is not sound, or that is fresh, counts as nothing kept whatever the table says.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType


class StateKind(Enum):
    """What is kept. Later rooms add theirs: quotas, configuration versions, release steps."""

    BANS = "bans"  # live rows of the register
    RETURNS = "returns"  # cleared rows: the memory that stops older disks
    LIST = "list"  # the list of backends, to be served from before discovery has told it
    REVISION = "revision"  # of that list: a peer that names a greater one may restrict it
    LIFE = "life"  # this node's number of its lives, by which its own bans are ordered
    LEARNED = "learned"  # what the module knew of backends
    RATE = "rate"  # requests a second that this node carried when all was warm


class TrustLevel(Enum):
    """When something kept may be used."""

    ALONE = "alone"  # at once, whoever else is there
    UNLESS = "unless peers know better"  # only when peers were asked, and where none said otherwise
    NEVER = "never"


@dataclass(slots=True, frozen=True)
class TrustRule:
    """One line of the table."""

    verdict: TrustLevel
    most_age: float = math.inf  # ms since it was written, by `durable.records.Stamp.age`


HOUR = 3_600_000.0
TRUST_TABLE: Mapping[StateKind, TrustRule] = MappingProxyType(
    {
        StateKind.BANS: TrustRule(TrustLevel.ALONE),  # said yes to: holds until a return that has seen it
        StateKind.RETURNS: TrustRule(
            TrustLevel.ALONE
        ),  # proves that its ban was seen; a later ban has a greater counter
        StateKind.LIST: TrustRule(TrustLevel.UNLESS),  # any age: peers restrict it, discovery replaces it
        StateKind.REVISION: TrustRule(TrustLevel.UNLESS),
        StateKind.LIFE: TrustRule(
            TrustLevel.ALONE
        ),  # a number too low is raised by rows of this node that peers know
        # Its limit counts requests at once, which cold backends bear too; what restarted voids its own part.
        StateKind.LEARNED: TrustRule(TrustLevel.UNLESS, HOUR),
        StateKind.RATE: TrustRule(
            TrustLevel.ALONE, 24 * HOUR
        ),  # the median of all that nodes kept is what counts
    }
)


@dataclass(slots=True, frozen=True)
class DiskState:
    """What the disk was found to be."""

    sound: bool = False
    fresh: bool = True  # nothing was ever kept on it
    age: float = math.inf  # ms, at the node's start


def is_trusted(
    kind: StateKind,
    disk: DiskState,
    asked: bool,
    better: bool = False,
    table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
) -> bool:
    """Whether what a disk kept of a kind may be used now.

    `asked`: the roll call is over, answered or not. `better`: a peer said what this kept state contradicts.
    """
    line = table[kind]
    if not disk.sound or disk.fresh or disk.age > line.most_age or line.verdict is TrustLevel.NEVER:
        return False
    return line.verdict is TrustLevel.ALONE or (asked and not better)
