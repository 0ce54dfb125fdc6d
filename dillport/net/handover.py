"""What a node has learned, from a process to the one that takes its place, by a file in `$TMPDIR`.

The old process writes it when it first sees the other one, the new one takes it away. Not taken: a socket
between the two: the bench's days have no Unix sockets, and a file is there already (the bans).
"""

from __future__ import annotations

import json
import logging
import math
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from dillport.interface import Learned, Recovered
from dillport.net.bans import write_whole

log = logging.getLogger(__name__)

SUFFIX = ".learned"  # of the file, beside the others by which a node's processes meet
SOON = 0.25  # s after its start at which a new process looks: the old one has seen it by then
OLDEST = 10_000.0  # ms: an older file is that of an upgrade that came to nothing


def give(path: Path, learned: Learned) -> None:
    """Leave it for the other process; a file that cannot be written is left out."""
    try:
        write_whole(path, json.dumps({"at": time.time() * 1000, "learned": asdict(learned)}))
    except OSError as err:
        log.info("handover: %s", err)


def take(path: Path) -> Recovered | None:
    """What the other process has left, and no more of it afterwards; None where there is nothing of use."""
    try:
        raw: Any = json.loads(path.read_text("utf-8"))
        path.unlink()
        age, told = time.time() * 1000 - float(raw["at"]), raw["learned"]
        classes = {str(k): (_number(a), _number(b), _number(c)) for k, (a, b, c) in told["classes"].items()}
        backends = {
            str(k): (_number(a), _number(b), float(c), int(d), _number(e))
            for k, (a, b, c, d, e) in told["backends"].items()
        }
        limit, trust, lost = (_number(told[name]) for name in ("limit", "trust", "lost"))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as err:
        log.info("handover: %s cannot be read: %.200s", path.name, err)
        return None
    return Recovered(Learned(limit, trust, lost, classes, backends), age) if 0 <= age <= OLDEST else None


def _number(value: Any) -> float:
    """A finite number; raises ValueError or TypeError."""
    out = float(value)
    if not math.isfinite(out):
        raise ValueError(f"{value!r} is no number")
    return out
