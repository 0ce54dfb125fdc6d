"""Find saved bans and lifts that predate the register or were made while the fleet file disabled recovery."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from balancer.recovery.ban_register import BanEntry


@dataclass(slots=True, frozen=True)
class UnregisteredChange:
    """Operator's ban or lift that the register does not contain."""

    backend: str
    banned: bool


def unregistered_changes(banned: Collection[str], entries: Iterable[BanEntry]) -> list[UnregisteredChange]:
    """Return the bans and lifts to repeat in the register.

    Args:
        banned: Backends that are banned according to all records on the disk. These records include the
            register entries, so any difference from `entries` was recorded after them.
        entries: Register entries on the same disk.
    """
    active = {entry.backend for entry in entries if entry.active}
    return [
        UnregisteredChange(backend, backend not in active)
        for backend in sorted(active.symmetric_difference(banned))
    ]
