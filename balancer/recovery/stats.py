"""Table `fleet.recovery` of `/stats`, written by a node and read by `balancer fleet recovery`."""

from __future__ import annotations

import msgspec

NOT_TRUSTED = "no"


class ListStats(msgspec.Struct, frozen=True):
    """State of a recovering node's endpoint list.

    Attributes:
        fresh: Whether discovery has sent the list.
        revision: Revision of the list; 0 if unknown.
        restricted: Number of backends of the saved list that the node avoids.
        polls: Number of polls of discovery.
    """

    fresh: bool = False
    revision: int = 0
    restricted: int = 0
    polls: int = msgspec.field(default=0, name="calls")


class RecoveryStats(msgspec.Struct, frozen=True):
    """Progress of a node's recovery; decoding skips unknown keys.

    Attributes:
        phase: Current phase in lower case.
        path: Kind of outage that the node recovers from.
        since_ms: Time since the phase began.
        share: Fraction of the cold backends' capacity that this node may use.
        trusted: Trust level of each kind of saved state, or `NOT_TRUSTED`.
        peers: Number of peers in the tier.
        reported_peers: Number of peers that have reported their status.
        awaited_peers: Peers whose report or entries the survey waits for.
        remaining_ms: Longest time until the phase ends; None if unlimited.
        bans: Number of banned backends.
        entries: Number of entries in the ban register.
        register_hash: Hash of the ban register in hexadecimal digits.
        endpoint_list: State of the endpoint list.
        counts: Event counters.
        failed: Whether recovery has stopped because of a defect.
    """

    phase: str
    path: str
    since_ms: int = 0
    share: float = 1.0
    trusted: dict[str, str] = {}
    peers: int = msgspec.field(default=0, name="asked")
    reported_peers: int = msgspec.field(default=0, name="heard")
    awaited_peers: list[int] = msgspec.field(default_factory=list, name="waits_for")
    remaining_ms: int | None = msgspec.field(default=None, name="until_ms")
    bans: int = 0
    entries: int = msgspec.field(default=0, name="rows")
    register_hash: str = msgspec.field(default="", name="register")
    endpoint_list: ListStats = msgspec.field(default_factory=ListStats, name="list")
    counts: dict[str, int] = {}
    failed: bool = False
