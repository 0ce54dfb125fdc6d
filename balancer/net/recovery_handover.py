"""File by which a process hands the state of its recovery over to its successor.

Its times are on the writer's node clock; its `clock` is that clock's offset to the system's monotonic
clock, which both processes share.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from balancer.net import state_handover
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.shell import RecoveryHandover

HANDOVER_SUFFIX = ".return"  # of the file, beside the others by which a node's processes meet
LOG_NAME = "recovery"
POLL_INTERVAL_S = 0.02  # between two looks for the predecessor's file
WAIT_TIMEOUT_S = 0.5  # for which it is looked for


class HandoverFile:
    """The file of a node."""

    def __init__(self, meeting: Path, clock: Callable[[], float]) -> None:
        """Create the access to it; `clock` returns the node's time, ms."""
        self._path = meeting.with_suffix(HANDOVER_SUFFIX)
        self._clock = clock

    def write(self, state: RecoveryHandover) -> None:
        """Leave the state for the successor."""
        write_handover(self._path, state, self._clock_offset())

    async def wait(self) -> RecoveryHandover | None:
        """Return what the predecessor leaves, once it has seen this process; None if it leaves nothing."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_S
        while (state := read_handover(self._path, self._clock_offset())) is None:
            if loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return state

    def _clock_offset(self) -> float:
        """Return the node's clock (ms) where the system's monotonic one, which processes share, is 0."""
        return self._clock() - time.monotonic() * 1000


def write_handover(path: Path, state: RecoveryHandover, clock: float) -> None:
    """Leave the state for the successor; `clock` is this process's clock offset (ms)."""
    table = {
        "clock": clock,
        "phase": int(state.phase),
        "path": state.path.value,
        "cold_since": state.cold_since,
        "rows": state.entries,
    }
    state_handover.write_table(path, table, LOG_NAME)


def read_handover(path: Path, clock: float) -> RecoveryHandover | None:
    """Take the predecessor's state, on the clock of offset `clock` (ms); None if there is no valid one."""

    def parse(table: Any, age: float) -> RecoveryHandover:
        del age  # the table has its clock
        shift = clock - float(table["clock"])
        return RecoveryHandover(
            Phase(table["phase"]),
            RecoveryPath(table["path"]),
            float(table["cold_since"]) + shift,
            tuple(_parse_entry(row, shift) for row in table["rows"]),
        )

    return state_handover.consume_table(path, parse, LOG_NAME)


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
