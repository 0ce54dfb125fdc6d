"""Containment of defects: what one callback raises ends neither the others nor a chain of timers."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from balancer.errors import BalancerError

MAX_KINDS = 64  # from which on other kinds are counted, not logged


class DefectError(BalancerError):
    """A part of the node has a defect; what it was about to do is not done, the rest goes on."""

    code = "DEF01"
    remedy = "report the trace that follows in the log; start the node anew where what is named stays wrong"


class DefectKind(NamedTuple):
    """What one kind of defect has in common."""

    action: str
    error: type[Exception]
    line: int  # in the source, of the innermost frame


class DefectLog:
    """Counts the defects of one part of the program, and logs each kind once, with its trace."""

    def __init__(self, logger: logging.Logger, part: str) -> None:
        """Begin without defects; `part` is named in front of each line."""
        self.count = 0
        self._logger = logger
        self._part = part
        self._logged: set[DefectKind] = set()

    @contextmanager
    def contain(self, action: str) -> Iterator[None]:
        """Keep an exception of the block from its caller; `action` says in the log what failed."""
        try:
            yield
        except Exception as error:
            self.record(action, error)

    def record(self, action: str, error: Exception) -> None:
        """Count an exception that was caught, and log it if it is the first of its kind."""
        self.count += 1
        kind = DefectKind(action, type(error), _innermost_line(error))
        if kind in self._logged or len(self._logged) >= MAX_KINDS:
            return
        self._logged.add(kind)
        defect = DefectError(f"{action} failed: {type(error).__name__}: {error}")
        self._logger.error("%s: %s; it goes on without", self._part, defect.summary, exc_info=error)


def _innermost_line(error: Exception) -> int:
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno if traceback is not None else 0
