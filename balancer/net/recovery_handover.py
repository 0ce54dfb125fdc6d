"""The file by which a process leaves the state of its recovery to its successor.

The times in it are on the node's clock; `clock` says what that shows when the system's monotonic one, which
both processes share, is 0.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from balancer.net import handover
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.shell import RecoveryHandover

HANDOVER_SUFFIX = ".return"  # of the file, beside the others by which a node's processes meet
LOG_NAME = "recovery"


def write_handover(path: Path, state: RecoveryHandover, clock: float) -> None:
    """Leave the state for the successor; `clock` is this process's (ms)."""
    table = {
        "clock": clock,
        "phase": int(state.phase),
        "path": state.path.value,
        "cold_since": state.cold_since,
        "rows": state.entries,
    }
    handover.leave(path, table, LOG_NAME)


def read_handover(path: Path, clock: float) -> RecoveryHandover | None:
    """Take what the predecessor has left, on this process's clock; None if there is nothing of use."""

    def parse(table: Any, age: float) -> RecoveryHandover:
        del age  # the table has its clock
        shift = clock - float(table["clock"])
        return RecoveryHandover(
            Phase(table["phase"]),
            RecoveryPath(table["path"]),
            float(table["cold_since"]) + shift,
            tuple(_parse_entry(row, shift) for row in table["rows"]),
        )

    return handover.taken(path, parse, LOG_NAME)


def _parse_entry(row: Any, shift: float) -> BanEntry:
    backend, node, incarnation, sequence, active, changed_at = row
    return BanEntry(
        str(backend),
        int(node),
        int(incarnation),
        int(sequence),
        bool(active),
        float(changed_at) + shift,
    )
