"""Whether the durable state of a process is usable, and what is logged about it."""

from __future__ import annotations

import logging

from balancer.errors import BalancerError

log = logging.getLogger(__name__)


class NotPersistedError(BalancerError):
    """A record is not on disk; the text says why."""

    code = "STA04"
    remedy = "mend or free the disk of durable.directory and call again; the node tries it every 5 s"


class WriterSupersededError(NotPersistedError):
    """A later process of this node writes the directory now."""

    code = "STA05"
    remedy = "call the console of the process that was started last"


class DirectoryUnusableError(NotPersistedError):
    """The directory cannot be made or opened."""

    code = "STA06"
    remedy = "let durable.directory name one that the node may write in, and start it again"


class Health:
    """Failures of the state directory at `location`; each outage is logged once."""

    def __init__(self, location: str) -> None:
        """Start without failures."""
        self.location = location
        self.disabled_by: BalancerError | None = None  # why nothing is written for the rest of the process
        self.failures = 0
        self._is_outage_logged = False

    def disable(self, reason: BalancerError) -> None:
        """Give up the directory for the rest of the process."""
        self.disabled_by = reason
        log.warning("state: %s: %s; the node continues without durable state", self.location, reason.summary)

    def report_failure(self, err: OSError) -> NotPersistedError:
        """Count a failed operation and return the error for whoever asked for it."""
        reason = NotPersistedError(err.strerror or str(err))
        self.failures += 1
        if not self._is_outage_logged:
            self._is_outage_logged = True
            log.warning(
                "state: %s: %s; the node continues serving, calls that need durable state are rejected",
                self.location,
                reason.summary,
            )
        return reason

    def report_success(self) -> None:
        """Log the end of an outage."""
        if self._is_outage_logged:
            self._is_outage_logged = False
            log.info("state: %s: writes succeed again", self.location)
