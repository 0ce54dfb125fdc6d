"""Rate limit per kind of log line; suppressed lines are counted in the next one of their kind."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable

PERIOD_S = 10.0


class RateLimitedLog:
    """Write at most a fixed number of lines of each kind within `PERIOD_S`.

    Each kind takes memory, so kinds must be few and fixed and must not contain names of peers or requests.
    """

    def __init__(
        self,
        logger: logging.Logger,
        clock: Callable[[], float],
        max_lines: int = 1,
        level: int = logging.WARNING,
    ) -> None:
        """Create a log on `logger`; `clock` returns seconds, `max_lines` of a kind are written per period."""
        self.logger = logger
        self.clock = clock
        self.max_lines = max_lines
        self.level = level
        self._logged_at: dict[str, deque[float]] = {}  # Times in seconds of the latest log lines, by kind.
        self._suppressed: Counter[str] = Counter()

    def log(self, kind: str, text: str) -> None:
        """Write or suppress a line; a written line tells how many of its kind were suppressed before it."""
        now = self.clock()
        logged_at = self._logged_at.setdefault(kind, deque(maxlen=self.max_lines))
        if len(logged_at) == self.max_lines and now - logged_at[0] < PERIOD_S:
            self._suppressed[kind] += 1
            return
        logged_at.append(now)
        suppressed = self._suppressed.pop(kind, 0)
        suffix = f" ({suppressed} more since such a line)" if suppressed else ""
        self.logger.log(self.level, "%s%s", text, suffix)
