"""Log lines that may come in floods: a few of a kind now and then, with how many were left out."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable

EVERY = 10.0  # s in which a kind gets so many lines


class LimitedWarnings:
    """Keeps to `lines` of a kind in `EVERY`. Kinds are few and fixed: a peer's name is none of them."""

    def __init__(
        self, log: logging.Logger, clock: Callable[[], float], lines: int = 1, level: int = logging.WARNING
    ) -> None:
        """`clock` tells seconds; `level` is that of the lines."""
        self.log, self.clock, self.lines, self.level = log, clock, lines, level
        self.last: dict[str, deque[float]] = {}  # when the latest lines were logged, by kind
        self.muted: Counter[str] = Counter()

    def warn(self, kind: str, text: str) -> None:
        """Log what went wrong, with how often that was left out since the line before."""
        now = self.clock()
        last = self.last.setdefault(kind, deque(maxlen=self.lines))
        if len(last) == self.lines and now - last[0] < EVERY:
            self.muted[kind] += 1
            return
        last.append(now)
        more = self.muted.pop(kind, 0)
        self.log.log(self.level, "%s%s", text, f" ({more} more since such a line)" if more else "")
