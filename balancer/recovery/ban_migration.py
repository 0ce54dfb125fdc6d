"""Bans from before a node had the register, or from a time when its fleet file did without it."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from balancer.recovery.ban_register import BanEntry


def calls(out: Collection[str], rows: Iterable[BanEntry]) -> list[tuple[str, bool]]:
    """What was called meanwhile, as (backend, whether it is out): it is called once more in the register.

    `out` is who is out by all records of the disk. As every row counts there too, what differs from the rows
    came after them.
    """
    live = {row.backend for row in rows if row.live}
    return [(name, name not in live) for name in sorted(live.symmetric_difference(out))]
