"""Puts a timeout off once while bytes that may have come in time are still unread."""

from __future__ import annotations

from collections.abc import Callable

RECHECK_DELAY_S = 0.01  # The event loop reads received bytes within 10 ms.


class UnreadRecheck:
    """Decides whether a timeout that is due has to be checked again behind a read."""

    __slots__ = ("_clock", "_has_unread_data", "_until")

    def __init__(self, clock: Callable[[], float], has_unread_data: Callable[[], bool]) -> None:
        """Create the check.

        Args:
            clock: Returns the time in seconds.
            has_unread_data: Returns whether the kernel holds bytes that would end the wait.
        """
        self._clock = clock
        self._has_unread_data = has_unread_data
        self._until: float | None = None  # End of the delay, once there has been one.

    def is_due(self) -> bool:
        """Return whether to check the timeout again after `RECHECK_DELAY_S`, once per wait.

        A peer that always sends would otherwise put its timeout off for ever.
        """
        now = self._clock()
        if self._until is None and self._has_unread_data():
            self._until = now + RECHECK_DELAY_S
        return self._until is not None and now < self._until

    def reset(self) -> None:
        """Begin another wait."""
        self._until = None
