"""Hand-over of state to the process that takes over, by a file: what the old process has learned, above all.

The old process writes the file when it first sees the new one, which takes it away.
"""

from __future__ import annotations

import json
import logging
import math
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any, TypeVar

from balancer.interface import LearnedState, LearnedStateRestored
from balancer.net.shared_files import write_atomically

log = logging.getLogger(__name__)

State = TypeVar("State")

LEARNED_SUFFIX = ".learned"
READ_DELAY_S = 0.25  # after its start until a new process reads: the old one has seen it by then
MAX_AGE_MS = 10_000.0  # an older file is that of an upgrade that was abandoned


def write_table(path: Path, table: dict[str, Any], subject: str) -> None:
    """Write a table for the other process; an error is logged with its `subject`."""
    try:
        write_atomically(path, json.dumps(table | {"at": time.time() * 1000}))
    except OSError as err:
        log.info("%s: %s", subject, err)


def consume_table(path: Path, parse: Callable[[Any, float], State], subject: str) -> State | None:
    """Read and remove what the other process has written; None if there is nothing of use.

    `parse` gets the table and its age in ms; what it raises on a table that makes no sense is logged.
    """
    try:
        text = path.read_text("utf-8")
        path.unlink()  # what makes no sense now never will
        table: Any = json.loads(text)
        age_ms = time.time() * 1000 - float(table["at"])
        state = parse(table, age_ms)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as err:
        log.info("%s: %s cannot be read: %.200s", subject, path.name, err)
        return None
    return state if 0 <= age_ms <= MAX_AGE_MS else None


def write_learned(path: Path, learned: LearnedState) -> None:
    """Write the learned state for the other process."""
    write_table(path, {"learned": asdict(learned)}, "handover")


def consume_learned(path: Path) -> LearnedStateRestored | None:
    """Read and remove what the other process had learned, if it has written that."""
    return consume_table(path, _parse_learned, "handover")


def _parse_learned(table: Any, age_ms: float) -> LearnedStateRestored:
    learned = table["learned"]
    classes = {
        str(name): (_number(first), _number(second), _number(third))
        for name, (first, second, third) in learned["classes"].items()
    }
    backends = {
        str(name): (_number(first), _number(second), _time(third), int(_number(fourth)), _number(fifth))
        for name, (first, second, third, fourth, fifth) in learned["backends"].items()
    }
    limit, trust, lost = (_number(learned[name]) for name in ("limit", "trust", "lost"))
    return LearnedStateRestored(LearnedState(limit, trust, lost, classes, backends), age_ms)


def _time(value: Any) -> float:
    """Return a time, or infinity for never. Raises ValueError or TypeError."""
    return math.inf if value == math.inf else _number(value)


def _number(value: Any) -> float:
    """Return a finite number. Raises ValueError or TypeError."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is no number")
    return number
