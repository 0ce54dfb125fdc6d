"""Tracking and logging of failures of the state directory, and the errors that report them."""

from __future__ import annotations

import logging

from balancer.errors import BalancerError

log = logging.getLogger(__name__)


class NotPersistedError(BalancerError):
    """A record could not be persisted; the message gives the reason."""

    code = "STA04"
    remedy = "repair or free the disk of durable.directory, then call again; the node retries it every 5 s"


class WriterSupersededError(NotPersistedError):
    """A later process of this node has taken over the state directory."""

    code = "STA05"
    remedy = "send the call to the console of the process that was started last"


class DirectoryUnusableError(NotPersistedError):
    """The state directory cannot be created or opened."""

    code = "STA06"
    remedy = "set durable.directory to a directory that the node may write to, then restart the node"


class Health:
    """Health of the state directory at `location`; each outage is logged once."""

    def __init__(self, location: str) -> None:
        """Start enabled, with no failure counted."""
        self.location = location
        # The error that has disabled all writes for the lifetime of the process.
        self.disabled_by: BalancerError | None = None
        self.failures = 0
        self._is_outage_logged = False

    def disable(self, reason: BalancerError) -> None:
        """Stop using the state directory for the lifetime of the process."""
        self.disabled_by = reason
        log.warning("state: %s: %s; the node continues without durable state", self.location, reason.summary)

    def report_failure(self, err: OSError) -> NotPersistedError:
        """Count a failed disk operation and return the error that rejects its records."""
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
        """Log the end of an outage if one was logged."""
        if self._is_outage_logged:
            self._is_outage_logged = False
            log.info("state: %s: writes succeed again", self.location)
