"""The table `fleet.recovery` of `/stats`: written by a node, read by `balancer fleet recovery`."""

from __future__ import annotations

import msgspec

NOT_TRUSTED = "no"


class ListStats(msgspec.Struct, frozen=True):
    """State of the endpoint list."""

    fresh: bool = False  # discovery has sent it
    revision: int = 0
    restricted: int = 0  # backends of the saved list that are avoided
    polls: int = msgspec.field(default=0, name="calls")


class RecoveryStats(msgspec.Struct, frozen=True):
    """Progress of a node's recovery; unknown keys are skipped."""

    phase: str
    path: str
    since_ms: int = 0
    share: float = 1.0  # of the capacity of cold backends
    trusted: dict[str, str] = {}  # trust level by kind of saved state, or `NOT_TRUSTED`
    peers: int = msgspec.field(default=0, name="asked")
    reported_peers: int = msgspec.field(default=0, name="heard")
    awaited_peers: list[int] = msgspec.field(default_factory=list, name="waits_for")
    remaining_ms: int | None = msgspec.field(default=None, name="until_ms")  # at most
    bans: int = 0
    entries: int = msgspec.field(default=0, name="rows")
    register_hash: str = msgspec.field(default="", name="register")
    endpoint_list: ListStats = msgspec.field(default_factory=ListStats, name="list")
    counts: dict[str, int] = {}
    failed: bool = False
