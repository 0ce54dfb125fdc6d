"""Endpoints that operators take out of service and put back, whatever the endpoint list says."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Maintenance:
    """Bans by id, and what is remembered of endpoints that return from one."""

    banned: set[str] = field(default_factory=set)
    # Clock time (ms) at which operators put an endpoint back.
    returned_at: dict[str, float] = field(default_factory=dict)
    # Put back and sent nothing yet.
    awaiting_first_request: set[str] = field(default_factory=set)
    # Where a banned endpoint stood in the node's order.
    positions: dict[str, int] = field(default_factory=dict)
    _slow_start_ms: float = field(default=0.0, init=False)

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
