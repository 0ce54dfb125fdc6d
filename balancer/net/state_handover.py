"""Handover of state, mainly the learned state, to a new process of the same node through a file.

The old process writes the file when it first detects the new one, which reads and removes it.
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
READ_DELAY_S = 0.25  # A new process reads 0.25 s after its start, once the old one has detected it.
MAX_AGE_MS = 10_000.0  # An older file is left over from an aborted upgrade.


def write_table(path: Path, table: dict[str, Any], subject: str) -> None:
    """Write a table for the other process; log a failure with the prefix `subject`."""
    try:
        write_atomically(path, json.dumps(table | {"at": time.time() * 1000}))
    except OSError as err:
        log.info("%s: the file for the other process cannot be written: %s", subject, err)


def consume_table(path: Path, parse: Callable[[Any, float], State], subject: str) -> State | None:
    """Read and remove the other process's file; return None if it is missing, invalid or too old.

    `parse` receives the table and its age in ms; exceptions that it raises for an invalid table are logged.
    """
    try:
        text = path.read_text("utf-8")
        path.unlink()  # The file is removed even if it is invalid, because it would remain invalid.
        table: Any = json.loads(text)
        age_ms = time.time() * 1000 - float(table["at"])
        state = parse(table, age_ms)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as err:
        log.info("%s: %s cannot be read, so nothing is taken over from it: %.200s", subject, path.name, err)
        return None
    return state if 0 <= age_ms <= MAX_AGE_MS else None


def write_learned(path: Path, learned: LearnedState) -> None:
    """Write the learned state to the handover file."""
    write_table(path, {"learned": asdict(learned)}, "handover")


def consume_learned(path: Path) -> LearnedStateRestored | None:
    """Read and remove the other process's learned state; return None if there is no valid one."""
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
    """Convert a value to a time, with infinity meaning never. Raises ValueError or TypeError."""
    return math.inf if value == math.inf else _number(value)


def _number(value: Any) -> float:
    """Convert a value to a finite float. Raises ValueError or TypeError."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number
