"""The file by which a process hands the state of its recovery over to its successor.

Its times are on the node clock of the writer. Its field `clock` is the offset of that clock from the system's
monotonic clock, which both processes share.
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

HANDOVER_SUFFIX = ".return"  # appended to the common path of the files that a node's processes share
LOG_NAME = "recovery"
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 0.5


class HandoverFile:
    """The handover file of a node."""

    def __init__(self, shared_path: Path, clock: Callable[[], float]) -> None:
        """Create the access to the file; `clock` returns the node's time in ms."""
        self._path = shared_path.with_suffix(HANDOVER_SUFFIX)
        self._clock = clock

    def write(self, state: RecoveryHandover) -> None:
        """Write the state for the successor."""
        write_handover(self._path, state, self._clock_offset_ms())

    async def wait(self) -> RecoveryHandover | None:
        """Wait for the state of the predecessor, and return None if it writes none in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_S
        while (state := read_handover(self._path, self._clock_offset_ms())) is None:
            if loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return state

    def _clock_offset_ms(self) -> float:
        """Return the offset (ms) of the node's clock from the system's monotonic clock."""
        return self._clock() - time.monotonic() * 1000


def write_handover(path: Path, state: RecoveryHandover, clock_offset_ms: float) -> None:
    """Write the state for the successor; `clock_offset_ms` is that of this process."""
    table = {
        "clock": clock_offset_ms,
        "phase": int(state.phase),
        "path": state.path.value,
        "cold_since": state.cold_since,
        "rows": state.entries,
    }
    state_handover.write_table(path, table, LOG_NAME)


def read_handover(path: Path, clock_offset_ms: float) -> RecoveryHandover | None:
    """Take the predecessor's state, if it is valid, with its times converted to the clock of this offset."""

    def parse(table: Any, age: float) -> RecoveryHandover:
        del age  # the table has its own clock offset
        shift_ms = clock_offset_ms - float(table["clock"])
        return RecoveryHandover(
            Phase(table["phase"]),
            RecoveryPath(table["path"]),
            float(table["cold_since"]) + shift_ms,
            tuple(_parse_entry(row, shift_ms) for row in table["rows"]),
        )

    return state_handover.consume_table(path, parse, LOG_NAME)


def _parse_entry(row: Any, shift_ms: float) -> BanEntry:
    backend, node, incarnation, sequence, active, changed_at_ms = row
    return BanEntry(
        str(backend),
        int(node),
        int(incarnation),
        int(sequence),
        bool(active),
        float(changed_at_ms) + shift_ms,
    )
