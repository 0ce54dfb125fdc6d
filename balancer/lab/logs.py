"""Log of the lab: JSON lines with run, party, run time and wall time, and a readable form on a terminal."""

from __future__ import annotations

import sys
import time
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any, TextIO

import structlog

Fields = MutableMapping[str, Any]


class LabLog:
    """Writes each event to a file and, on request, in a readable form to standard error."""

    def __init__(self, path: Path, run: str, human: bool) -> None:
        """Open the log; `human` also shows the events on standard error."""
        self.file: TextIO = path.open("a", encoding="utf-8", buffering=1)
        self.zero: float | None = None  # The run's zero on the monotonic clock (s), None until it is set.
        self.render = structlog.processors.JSONRenderer(sort_keys=False)
        self.show = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()) if human else None
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(self.file), processors=[structlog.processors.add_log_level, self._times,
                                                          self._both], run=run,
        )  # fmt: skip

    def _times(self, logger: Any, method: str, event: Fields) -> Fields:
        event["wall"] = (
            time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime()) + f".{time.time_ns() // 10**6 % 1000:03d}Z"
        )
        event["t_ms"] = None if self.zero is None else round((time.monotonic() - self.zero) * 1000, 1)
        return event

    def _both(self, logger: Any, method: str, event: Fields) -> str:
        if self.show is not None:
            shown = {k: v for k, v in event.items() if k not in ("run", "wall")}
            print(self.show(logger, method, shown), file=sys.stderr)
        return str(self.render(logger, method, event))

    def write_event(self, party: str, event: str, **fields: Any) -> None:
        """Write one event of a party with its fields."""
        self.logger.info(event, party=party, **fields)

    def close(self) -> None:
        """Close the log file."""
        self.file.close()
