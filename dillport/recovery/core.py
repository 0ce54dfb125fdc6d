"""The return of one node: told the time and what came, it says what to do. No I/O, no clock of its own."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from dillport.recovery.events import Action, Event
from dillport.recovery.phases import Path, Phase
from dillport.recovery.register import Register


@dataclass(slots=True, frozen=True)
class Config:
    """Times in ms. The defaults hold the bounds in `docs/fleet-recovery.md`."""

    ramp_time: float = 8000.0  # after which a backend is warm, from the platform's settings
    roll: float = 250.0  # from the first roll call to the second, then twice as long each time
    ask_most: float = 2000.0  # for which a node asks its peers at most
    alone_after: float = 1000.0  # for which it waits for a majority
    window: float = 60_000.0  # peers that have run longer did not return with this node
    slot: float = 25.0  # of discovery, for each node
    datagrams: float = 3.0  # a second, of this room
    burst: float = 3.0

    @property
    def warming_most(self) -> float:
        """From the first request that is served until `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time


class Recovery:
    """The return of node `me` of a tier of `count` nodes, in its life of that number."""

    def __init__(self, config: Config, me: int, count: int, life: int, seed: int, now: float) -> None:
        self.config, self.me, self.count = config, me, count
        self.random = random.Random(seed)
        self.register = Register(me, life, self.random.randrange(1 << 24))
        self.phase, self.path = Phase.VERIFY, Path.UNDECIDED
        self.cold_since = self.started = self.now = now
        self.share, self.rate = 1.0 / count, 0.0
        self.counts: Counter[str] = Counter()
        self._acts: list[Action] = []

    @property
    def due(self) -> float:
        """When a `Tick` is wanted."""
        return math.inf

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about an event, at a time that never goes back."""
        self.now = max(self.now, now)
        out, self._acts = self._acts, []
        return out

    def stats(self) -> dict[str, Any]:
        """For `/stats`."""
        return {"phase": self.phase.name.lower(), "path": self.path.value}
