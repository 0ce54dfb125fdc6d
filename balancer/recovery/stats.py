"""Table `fleet.recovery` of `/stats`, written by a node and read by `balancer fleet recovery`."""

from __future__ import annotations

import msgspec

NOT_TRUSTED = "no"


class ListStats(msgspec.Struct, frozen=True):
    """State of a recovering node's endpoint list."""

    fresh: bool = False  # true once discovery has sent the list
    revision: int = 0
    restricted: int = 0  # number of saved backends that the node avoids
    polls: int = msgspec.field(default=0, name="calls")


class RecoveryStats(msgspec.Struct, frozen=True):
    """Progress of a node's recovery; decoding skips unknown keys."""

    phase: str
    path: str
    since_ms: int = 0
    share: float = 1.0  # fraction of the cold backends' capacity that this node may use
    trusted: dict[str, str] = {}  # trust level of each kind of saved state, or `NOT_TRUSTED`
    peers: int = msgspec.field(default=0, name="asked")
    reported_peers: int = msgspec.field(default=0, name="heard")
    awaited_peers: list[int] = msgspec.field(default_factory=list, name="waits_for")
    # Longest time until the phase ends; None if unlimited.
    remaining_ms: int | None = msgspec.field(default=None, name="until_ms")
    bans: int = 0
    entries: int = msgspec.field(default=0, name="rows")
    register_hash: str = msgspec.field(default="", name="register")
    endpoint_list: ListStats = msgspec.field(default_factory=ListStats, name="list")
    counts: dict[str, int] = {}
    failed: bool = False
