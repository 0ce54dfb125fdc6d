"""Bans from before a node had the register, or from a time when its fleet file did without it."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry


@dataclass(slots=True, frozen=True)
class MissedCall:
    """An operator's call that the register has not seen."""

    backend: str
    banned: bool


def missed_calls(banned: Collection[str], entries: Iterable[BanEntry]) -> list[MissedCall]:
    """Return the calls to be repeated in the register.

    Args:
        banned: Backends that are banned by all records of the disk. As every entry counts there too, what
            differs from the entries came after them.
        entries: Entries of the register on the same disk.
    """
    active = {entry.backend for entry in entries if entry.active}
    return [
        MissedCall(backend, backend not in active) for backend in sorted(active.symmetric_difference(banned))
    ]
