"""Warnings that may come in floods: one line of a kind now and then, with how many it stands for."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

EVERY = 10.0  # s between two warnings of a kind


class LimitedWarnings:
    """Keeps to one line of a kind in `EVERY`. Kinds are few and fixed: a peer's name is none of them."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float]) -> None:
        self.log, self.clock = log, clock
        self.last: dict[str, float] = {}  # by kind
        self.muted: Counter[str] = Counter()

    def warn(self, kind: str, text: str) -> None:
        """Log what went wrong, with how often that was left out since the line before."""
        now = self.clock()
        if now - self.last.get(kind, -EVERY) < EVERY:
            self.muted[kind] += 1
            return
        self.last[kind] = now
        more = self.muted.pop(kind, 0)
        self.log.warning("%s%s", text, f" ({more} more since such a line)" if more else "")
