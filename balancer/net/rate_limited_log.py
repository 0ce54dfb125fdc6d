"""A logger that limits how many lines of one kind it writes, and says how many it left out."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable

PERIOD_S = 10.0


class RateLimitedLog:
    """Write at most a fixed number of lines of each kind within `PERIOD_S`.

    The kinds have to be few and fixed, as each takes memory: the name of a peer is no kind.
    """

    def __init__(
        self,
        logger: logging.Logger,
        clock: Callable[[], float],
        max_lines: int = 1,
        level: int = logging.WARNING,
    ) -> None:
        """Make a log on `logger`; `clock` returns seconds, `max_lines` of a kind are written per period."""
        self.logger = logger
        self.clock = clock
        self.max_lines = max_lines
        self.level = level
        self._logged_at: dict[str, deque[float]] = {}  # times of the latest lines, by kind
        self._suppressed: Counter[str] = Counter()

    def log(self, kind: str, text: str) -> None:
        """Write a line, with the number of lines of its kind suppressed since the last, or suppress it."""
        now = self.clock()
        logged_at = self._logged_at.setdefault(kind, deque(maxlen=self.max_lines))
        if len(logged_at) == self.max_lines and now - logged_at[0] < PERIOD_S:
            self._suppressed[kind] += 1
            return
        logged_at.append(now)
        suppressed = self._suppressed.pop(kind, 0)
        suffix = f" ({suppressed} more since such a line)" if suppressed else ""
        self.logger.log(self.level, "%s%s", text, suffix)
