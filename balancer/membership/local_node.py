"""State of the local node that all components of the membership protocol share."""

from __future__ import annotations

import random
from collections import Counter

from balancer.membership.config import Config
from balancer.membership.events import Action
from balancer.membership.timers import TimerQueue
from balancer.membership.view import View


class LocalNode:
    """Identity, clock, random generator and view of this node, and the pending actions of the event."""

    def __init__(
        self, config: Config, node_id: int, node_count: int, generation: int, seed: int, now_ms: float
    ) -> None:
        """Create node `node_id` in a tier of `node_count` nodes; `generation` identifies its process."""
        self.config = config
        self.node_id = node_id
        self.node_count = node_count
        self.generation = generation
        self.incarnation = 0
        self.is_leaving = False
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.timers = TimerQueue(now_ms, self.counts)
        self.view = View.with_unknown_members(node_count)
        self.view_changed_ms = now_ms
        self._actions: list[Action] = []
        self._sequence = 0

    @property
    def now_ms(self) -> float:
        """Monotonic time of the current event, in ms."""
        return self.timers.now_ms

    def present_peers(self, excluded: int | None = None) -> list[int]:
        """Return the present members except this node and `excluded`."""
        present = self.view.present_members()
        return [member for member in present if member not in (self.node_id, excluded)]

    def next_sequence(self) -> int:
        """Return the next sequence number for a message."""
        self._sequence += 1
        return self._sequence

    def emit(self, action: Action) -> None:
        """Add an action to those that the current event returns."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Remove and return the actions emitted since the last call."""
        actions = self._actions
        self._actions = []
        return actions
