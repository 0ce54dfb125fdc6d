"""Timestamps by wall clock and boot clock, so that an age is never underestimated."""

from __future__ import annotations

import math
import time
from pathlib import Path

import msgspec

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
MS_PER_S = 1000


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """A point in time by wall clock and boot clock.

    `uptime_ms` counts from boot, including suspended time, and is comparable only under the same `boot_id`.
    The boot id is empty on systems that do not provide one.
    """

    unix_ms: float
    boot_id: str
    uptime_ms: float

    @classmethod
    def now(cls) -> Timestamp:
        """Return the current time."""
        try:
            boot_id = BOOT_ID_PATH.read_text("ascii").strip()
        except (OSError, ValueError):
            boot_id = ""
        uptime_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return cls(time.time() * MS_PER_S, boot_id, uptime_s * MS_PER_S)

    def age_ms(self, now: Timestamp) -> float:
        """Return an age in ms that is never below the true one; infinity if no clock can tell.

        Setting the wall clock back or forward can make a timestamp look older, but never younger.
        """
        wall_age_ms = now.unix_ms - self.unix_ms
        if self.boot_id and self.boot_id == now.boot_id and now.uptime_ms >= self.uptime_ms:
            return max(wall_age_ms, now.uptime_ms - self.uptime_ms)
        return wall_age_ms if wall_age_ms >= 0 else math.inf
