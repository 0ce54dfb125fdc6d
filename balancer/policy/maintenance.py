"""Maintenance bans: operators take endpoints out of service, whatever the endpoint list says."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Maintenance:
    """Bans by endpoint id, and the state of endpoints whose ban was lifted.

    `returned_at` has the clock time in ms at which a ban was lifted. Endpoints in `awaiting_first_request`
    have got no request since then. `positions` are those that banned endpoints had in the node's order.
    """

    banned: set[str] = field(default_factory=set)
    returned_at: dict[str, float] = field(default_factory=dict)
    awaiting_first_request: set[str] = field(default_factory=set)
    positions: dict[str, int] = field(default_factory=dict)
    _slow_start_ms: float = field(default=0.0, init=False)

    def configure(self, slow_start_ms: float) -> None:
        """Set how long an endpoint warms up after its ban was lifted."""
        self._slow_start_ms = slow_start_ms

    def ban(self, name: str, position: int | None) -> None:
        """Take an endpoint out of service; `position` is its index in the node's order, None if not in it."""
        self.banned.add(name)
        self.awaiting_first_request.discard(name)
        if position is not None:
            self.positions[name] = position

    def lift(self, name: str, lifted_at: float, now: float) -> None:
        """Put an endpoint back into service and treat it as started at the clock time `lifted_at`."""
        self.banned.discard(name)
        # Endpoints whose ban was lifted longer ago have warmed up, so their times are no longer needed.
        self.returned_at = {
            other: time for other, time in self.returned_at.items() if now - time < self._slow_start_ms
        }
        self.awaiting_first_request &= self.returned_at.keys()
        self.returned_at[name] = max(self.returned_at.get(name, 0.0), lifted_at)

    def forget(self, name: str) -> None:
        """Drop the position of an endpoint that left the list, unless it is banned and may return to it."""
        if name not in self.banned:
            self.positions.pop(name, None)
