"""Phases of a recovery, and its classification by the uptimes and phases that peers report."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from balancer.recovery.messages import NodeStatus

MIN_ESTABLISHED_PEERS = 2  # a single established peer does not prove that the tier kept running


class Phase(IntEnum):
    """Progress of a node's recovery; a node never returns to an earlier phase."""

    VERIFY = 0  # the node reads its disk and does not listen yet
    ASK = 1  # the node surveys its peers for bans and does not listen yet
    LISTED = 2  # the node serves from the saved endpoint list
    WARMING = 3  # the node serves from discovery's list, within the capacity of cold backends
    FULL = 4


class RecoveryPath(Enum):
    """Kind of outage that a node recovers from; datagrams carry its position in this enumeration."""

    UNDECIDED = "undecided"
    CRASH = "crash"  # this node alone restarted, among peers that kept running
    POWER = "power"  # most of the tier has lost power
    SPLIT = "split"  # a minority restarted; the other nodes are late or partitioned
    ALONE = "alone"  # no peer answered
    UPGRADE = "upgrade"  # the process took over from one that was running until now


PATHS = tuple(RecoveryPath)


@dataclass(slots=True, frozen=True)
class Classification:
    """Recovery path and the evidence for it."""

    path: RecoveryPath
    reason: str


def classify_recovery(
    reported: Sequence[NodeStatus], node_count: int, present: int, established_after_ms: float
) -> Classification:
    """Classify a recovery by the status reports of peers.

    Peers that report FULL, or a high uptime, did not restart together with this node.
    Uptime alone is not sufficient, because a rolling restart leaves only nodes with short uptimes. The node
    has crashed alone only if at least half of the reporting peers are running and established peers see at
    least half of the tier running; a power loss that a few nodes survive does not meet this condition.

    Args:
        reported: Status of each peer that has reported.
        node_count: Number of nodes in the tier.
        present: Number of nodes that seem to be present, including this one. A majority indicates a power
            loss; fewer nodes may be one side of a partition, or the first nodes to restart.
        established_after_ms: Uptime (ms) above which a peer did not restart together with this node.
    """
    running = [s for s in reported if s.phase >= Phase.FULL or s.uptime_ms >= established_after_ms]
    recovering = len(reported) - len(running)
    peers = f"{len(reported)} of {node_count - 1} peers answered"
    reason = f"{peers}, {recovering} recovering, {len(running)} running"
    if not reported:
        return Classification(RecoveryPath.ALONE, reason)
    established = established_peers(reported, node_count)
    enough = min(MIN_ESTABLISHED_PEERS, node_count - 1)
    if len(established) >= enough and 2 * len(running) >= len(reported):
        return Classification(RecoveryPath.CRASH, reason)
    if 2 * present > node_count and 2 * len(running) <= len(reported):
        return Classification(RecoveryPath.POWER, f"{reason}, {present} present")
    return Classification(RecoveryPath.SPLIT, f"{reason}, {present} present")


def established_peers(reported: Sequence[NodeStatus], node_count: int) -> list[NodeStatus]:
    """Return the peers that report FULL while at least half of the tier is running and not recovering.

    The number of running nodes is the peer's own count or the number of FULL reports received, whichever is
    greater. A peer that missed the change of another node to FULL counts that node as recovering until its
    next report, seconds later.
    """
    full = [s for s in reported if s.phase >= Phase.FULL]
    return [s for s in full if 2 * max(s.present_count - s.recovering, len(full)) >= node_count]
