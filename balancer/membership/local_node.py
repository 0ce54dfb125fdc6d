"""State of the local node that all parts of the protocol share."""

from __future__ import annotations

import random
from collections import Counter

from balancer.membership.config import Config
from balancer.membership.events import Action
from balancer.membership.timers import TimerQueue
from balancer.membership.view import View


class LocalNode:
    """Identity, clock, randomness and view of this node, and the actions of the current event."""

    def __init__(
        self, config: Config, node_id: int, node_count: int, generation: int, seed: int, now_ms: float
    ) -> None:
        """Create node `node_id` of a tier of `node_count`; `generation` numbers its process's start."""
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
        """Time of the current event."""
        return self.timers.now_ms

    def present_peers(self, excluded: int | None = None) -> list[int]:
        """Return the present members other than this node and `excluded`."""
        present = self.view.present_members()
        return [member for member in present if member not in (self.node_id, excluded)]

    def next_sequence(self) -> int:
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def emit(self, action: Action) -> None:
        """Add an action to the result of the current event."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions emitted since the last call."""
        actions = self._actions
        self._actions = []
        return actions
