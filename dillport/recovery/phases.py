"""Phases of a return, and what kind of return it is: decided by lives and by what peers say of themselves."""

from __future__ import annotations

from enum import Enum, IntEnum


class Phase(IntEnum):
    """How far a node's return has come; it never goes back."""

    VERIFY = 0  # the disk is being read; no listening
    ASK = 1  # bans are being learned; no listening
    LISTED = 2  # serves from the saved list
    WARMING = 3  # discovery has told the list: serves as much as cold backends bear
    FULL = 4


class Path(Enum):
    """What a node returns from."""

    UNDECIDED = "undecided"
    CRASH = "crash"  # alone, among peers that went on
    POWER = "power"  # with most of its tier
    SPLIT = "split"  # with some: the others are late, or cut off
    ALONE = "alone"  # nobody was heard
    UPGRADE = "upgrade"  # it takes the place of a process that went on until now


PATHS = tuple(Path)
