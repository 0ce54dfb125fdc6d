"""Endpoints that operators take out of service and put back; their word stands beside the endpoint list."""

from __future__ import annotations


class Maintenance:
    """Bans by id, and what is remembered of endpoints that return from one."""

    __slots__ = ("_slow_start_ms", "awaiting_first_request", "banned", "positions", "returned_at")

    def __init__(self) -> None:
        self.banned: set[str] = set()
        self.returned_at: dict[str, float] = {}  # clock time (ms) at which operators put an endpoint back
        self.awaiting_first_request: set[str] = set()  # put back and sent nothing yet
        self.positions: dict[str, int] = {}  # where a banned endpoint stood in the node's order
        self._slow_start_ms = 0.0

    def configure(self, slow_start_ms: float) -> None:
        """Set how long an endpoint warms up after it was put back."""
        self._slow_start_ms = slow_start_ms

    def ban(self, name: str, position: int | None) -> None:
        """Take an endpoint out of service; `position`: where it stands in the node's order, if it does."""
        self.banned.add(name)
        self.awaiting_first_request.discard(name)
        if position is not None:
            self.positions[name] = position

    def lift(self, name: str, since: float, now: float) -> None:
        """Put an endpoint back that counts as started at the clock time `since`."""
        self.banned.discard(name)
        # Endpoints that were put back earlier are warm by now.
        self.returned_at = {
            other: at for other, at in self.returned_at.items() if now - at < self._slow_start_ms
        }
        self.awaiting_first_request &= self.returned_at.keys()
        self.returned_at[name] = max(self.returned_at.get(name, 0.0), since)

    def forget(self, name: str) -> None:
        """Drop the position of an endpoint that is no longer listed; a ban outlives its record."""
        if name not in self.banned:
            self.positions.pop(name, None)
