"""Phases of a return, and what kind of return it is: decided by lives and by what peers say of themselves."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, IntEnum

from balancer.recovery.messages import NodeStatus


class Phase(IntEnum):
    """How far a node's return has come; it never goes back."""

    VERIFY = 0  # the disk is being read; no listening
    ASK = 1  # bans are being learned; no listening
    LISTED = 2  # serves from the saved list
    WARMING = 3  # discovery has told the list: serves as much as cold backends bear
    FULL = 4


class RecoveryPath(Enum):
    """What a node returns from."""

    UNDECIDED = "undecided"
    CRASH = "crash"  # alone, among peers that went on
    POWER = "power"  # with most of its tier
    SPLIT = "split"  # with some: the others are late, or cut off
    ALONE = "alone"  # nobody was heard
    UPGRADE = "upgrade"  # it takes the place of a process that went on until now


PATHS = tuple(RecoveryPath)


def classify_recovery(
    heard: Sequence[NodeStatus], count: int, present: int, window: float
) -> tuple[RecoveryPath, str]:
    """What this node returns from, and the evidence for it, by what peers say of themselves.

    Peers that say FULL, or that have run for longer than `window` (ms), did not return with this node; their
    age alone is no sign, as a restart of all nodes one by one leaves only young ones. A crash it is only if
    they are half of those heard and see half of the tier of `count` running: a power cut that a few survive
    is none. `present` is how many nodes there seem to be, this one included: more than half of the tier make
    it a return of all, fewer may be one side of a partition, or the first ones.
    """
    old = [s for s in heard if s.phase >= Phase.FULL or s.running >= window]
    reason = f"{len(heard)} of {count - 1} heard, {len(heard) - len(old)} returning, {len(old)} not"
    if not heard:
        return RecoveryPath.ALONE, reason
    settled = established_peers(heard, count)
    if len(settled) >= min(2, count - 1) and 2 * len(old) >= len(heard):
        return RecoveryPath.CRASH, reason
    if 2 * present > count and 2 * len(old) <= len(heard):
        return RecoveryPath.POWER, f"{reason}, {present} present"
    return RecoveryPath.SPLIT, f"{reason}, {present} present"


def established_peers(heard: Sequence[NodeStatus], count: int) -> list[NodeStatus]:
    """Those that say FULL while at least half of the tier runs and is not returning.

    By what each sees, or by how many say so here. Guards against an old view of each other: where one has
    missed that another is FULL, it takes that one for returning until it is told again, seconds later.
    """
    full = [s for s in heard if s.phase >= Phase.FULL]
    return [s for s in full if 2 * max(s.present - s.young, len(full)) >= count]
