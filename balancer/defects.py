"""Containment of unexpected exceptions, so that one failing callback stops no others and no timers."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from balancer.errors import BalancerError

# Kinds of defects beyond the limit are counted but not logged.
MAX_LOGGED_KINDS = 64


class DefectError(BalancerError):
    """A component raised an unexpected exception; the failed action is skipped, and the node continues."""

    code = "DEF01"
    remedy = (
        "report the stack trace that follows in the log; restart the node if the named action keeps failing"
    )


class DefectKind(NamedTuple):
    """Action, exception type and source line of the innermost frame, which identify a kind of defect."""

    action: str
    error: type[Exception]
    line: int


class DefectLog:
    """Counts the defects of one component, and logs each kind once, with its stack trace."""

    def __init__(self, logger: logging.Logger, component: str) -> None:
        """Start with a count of 0; `component` is the prefix of each log line."""
        self.count = 0
        self._logger = logger
        self._component = component
        self._logged: set[DefectKind] = set()

    @contextmanager
    def contain(self, action: str) -> Iterator[None]:
        """Catch and record any exception of the block; `action` names in the log what failed."""
        try:
            yield
        except Exception as error:
            self.record(action, error)

    def record(self, action: str, error: Exception) -> None:
        """Count a caught exception, and log it if it is the first of its kind."""
        self.count += 1
        kind = DefectKind(action, type(error), _innermost_line(error))
        if kind in self._logged or len(self._logged) >= MAX_LOGGED_KINDS:
            return
        self._logged.add(kind)
        defect = DefectError(f"{action} failed: {type(error).__name__}: {error}")
        self._logger.error(
            "%s: %s; continuing without this action", self._component, defect.summary, exc_info=error
        )


def _innermost_line(error: Exception) -> int:
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno if traceback is not None else 0
