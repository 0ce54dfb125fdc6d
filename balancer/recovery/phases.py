"""Phases of a recovery, and its classification by the uptime and phase that peers report."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from balancer.recovery.messages import NodeStatus

MIN_ESTABLISHED = 2  # peers whose reports prove that the tier kept running


class Phase(IntEnum):
    """Progress of a node's recovery; it never goes back."""

    VERIFY = 0  # reading the disk; not listening
    ASK = 1  # surveying the peers for bans; not listening
    LISTED = 2  # serving from the saved endpoint list
    WARMING = 3  # discovery has sent the list: serving within the capacity of cold backends
    FULL = 4


class RecoveryPath(Enum):
    """What a node recovers from. Its position is the code in datagrams."""

    UNDECIDED = "undecided"
    CRASH = "crash"  # of this node alone, among peers that went on
    POWER = "power"  # power loss of most of the tier
    SPLIT = "split"  # restart with a minority: the others are late, or partitioned
    ALONE = "alone"  # no peer answered
    UPGRADE = "upgrade"  # takeover from a process that went on until now


PATHS = tuple(RecoveryPath)


@dataclass(slots=True, frozen=True)
class Classification:
    """A recovery path and the evidence for it."""

    path: RecoveryPath
    reason: str


def classify_recovery(
    reported: Sequence[NodeStatus], node_count: int, present: int, established_after_ms: float
) -> Classification:
    """Classify a recovery by what peers report of themselves.

    Peers that report FULL, or an uptime above `established_after_ms` (ms), did not restart with this node.
    Uptime alone is no evidence, as a rolling restart leaves only young nodes. It is a crash only if
    established peers are half of those heard and see half of the tier running: a power loss that a few
    nodes survive is not.

    Args:
        reported: Status of each peer that was heard.
        node_count: Nodes of the tier.
        present: Nodes that seem to be present, this one included: a majority makes it a power loss, fewer may
            be one side of a partition, or the first nodes to restart.
        established_after_ms: Uptime (ms) from which a peer did not restart with this node.
    """
    running = [s for s in reported if s.phase >= Phase.FULL or s.uptime_ms >= established_after_ms]
    recovering = len(reported) - len(running)
    peers = f"{len(reported)} of {node_count - 1} peers answered"
    reason = f"{peers}, {recovering} recovering, {len(running)} running"
    if not reported:
        return Classification(RecoveryPath.ALONE, reason)
    established = established_peers(reported, node_count)
    enough = min(MIN_ESTABLISHED, node_count - 1)
    if len(established) >= enough and 2 * len(running) >= len(reported):
        return Classification(RecoveryPath.CRASH, reason)
    if 2 * present > node_count and 2 * len(running) <= len(reported):
        return Classification(RecoveryPath.POWER, f"{reason}, {present} present")
    return Classification(RecoveryPath.SPLIT, f"{reason}, {present} present")


def established_peers(reported: Sequence[NodeStatus], node_count: int) -> list[NodeStatus]:
    """Return those that say FULL while at least half of the tier runs and is not recovering.

    The count is the peer's own view or the number of FULL reports received, whichever is greater: a peer that
    missed another one's change to FULL counts it as recovering until its next report, seconds later.
    """
    full = [s for s in reported if s.phase >= Phase.FULL]
    return [s for s in full if 2 * max(s.present_count - s.recovering, len(full)) >= node_count]
