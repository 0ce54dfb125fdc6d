"""What a process leaves to the one that takes its place, by a file in `$TMPDIR`: what it has learned, say.

The old process writes it when it first sees the other one, the new one takes it away. Not taken: a socket
between the two: the bench's days have no Unix sockets, and a file is there already (the bans).
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
from balancer.net.bans import write_whole

log = logging.getLogger(__name__)

Left = TypeVar("Left")

SUFFIX = ".learned"  # of the file, beside the others by which a node's processes meet
SOON = 0.25  # s after its start at which a new process looks: the old one has seen it by then
OLDEST = 10_000.0  # ms: an older file is that of an upgrade that came to nothing


def leave(path: Path, table: dict[str, Any], what: str) -> None:
    """Leave a table for the other process; a file that cannot be written is left out. `what`: for the log."""
    try:
        write_whole(path, json.dumps(table | {"at": time.time() * 1000}))
    except OSError as err:
        log.info("%s: %s", what, err)


def taken(path: Path, read: Callable[[Any, float], Left], what: str) -> Left | None:
    """What the other process has left, and no more of it afterwards; None where there is nothing of use.

    `read` makes it of the table and its age in ms; what it raises on a table that makes no sense is logged.
    """
    try:
        text = path.read_text("utf-8")
        path.unlink()  # whatever it says: what makes no sense now never will
        raw: Any = json.loads(text)
        age = time.time() * 1000 - float(raw["at"])
        left = read(raw, age)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as err:
        log.info("%s: %s cannot be read: %.200s", what, path.name, err)
        return None
    return left if 0 <= age <= OLDEST else None


def give(path: Path, learned: LearnedState) -> None:
    """Leave what was learned."""
    leave(path, {"learned": asdict(learned)}, "handover")


def take(path: Path) -> LearnedStateRestored | None:
    """What the other process had learned, where it has left that."""
    return taken(path, _recovered, "handover")


def _recovered(raw: Any, age: float) -> LearnedStateRestored:
    told = raw["learned"]
    classes = {str(k): (_number(a), _number(b), _number(c)) for k, (a, b, c) in told["classes"].items()}
    backends = {
        str(k): (_number(a), _number(b), _time(c), int(_number(d)), _number(e))
        for k, (a, b, c, d, e) in told["backends"].items()
    }
    limit, trust, lost = (_number(told[name]) for name in ("limit", "trust", "lost"))
    return LearnedStateRestored(LearnedState(limit, trust, lost, classes, backends), age)


def _time(value: Any) -> float:
    """A time, or never; raises ValueError or TypeError."""
    return math.inf if value == math.inf else _number(value)


def _number(value: Any) -> float:
    """A finite number; raises ValueError or TypeError."""
    out = float(value)
    if not math.isfinite(out):
        raise ValueError(f"{value!r} is no number")
    return out
