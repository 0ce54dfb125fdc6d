"""State of an open request and of its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.interface import AttemptStatus
from balancer.net.attempt import Attempt
from balancer.net.node_ports import Client
from balancer.net.stream import Upload
from balancer.net.unread_recheck import UnreadRecheck

Render = Callable[[float], bytes]
"""Function that renders a request to a backend; its argument is the `Request-Timeout` to send, in ms."""


class RequestAttempt:
    """One attempt of a request and its timeout timer."""

    __slots__ = (
        "attempt",
        "endpoint",
        "is_over",
        "number",
        "recheck",
        "request_id",
        "started_at",
        "status",
        "timeout_ms",
        "timer",
        "was_sent",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        endpoint: str,
        started_at: float,
        loop_time: Callable[[], float],
    ) -> None:
        """Record attempt `number`, counted from 0, as started at `started_at` (ms)."""
        self.request_id = request_id
        self.number = number
        self.endpoint = endpoint
        self.started_at = started_at
        self.attempt: Attempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timeout_ms = 0.0  # An attempt with a timeout of 0 may run until the client's deadline.
        self.recheck = UnreadRecheck(loop_time, self._has_unread_response)
        self.is_over = False
        self.was_sent = False  # Whether the request had been sent when the attempt was cancelled.
        self.status: AttemptStatus | None = None  # Final status; None while the attempt is in progress.

    @property
    def is_sent(self) -> bool:
        """Whether the last byte of the request may have left this node."""
        return self.attempt is not None and self.attempt.is_sent

    @property
    def is_holding_response(self) -> bool:
        """Whether a part of a response of unknown length has been received and not been passed on."""
        return self.attempt is not None and self.attempt.is_holding_response

    def pass_on_undecided(self, time_left_s: float) -> bool:
        """Pass on a held response if it may turn out long in time; return whether one is being passed on."""
        return self.attempt is not None and self.attempt.pass_on_undecided(time_left_s)

    def continue_past_deadline(self) -> bool:
        """Return whether a long response goes on behind the deadline; one that was held is passed on."""
        return self.attempt is not None and self.attempt.continue_past_deadline()

    def _has_unread_response(self) -> bool:
        return self.attempt is not None and self.attempt.has_unread_response

    def cancel_timer(self) -> None:
        """Stop the timeout timer."""
        if self.timer is not None:
            self.timer.cancel()

    def cancel(self) -> None:
        """Stop the timeout timer and close the connection."""
        self.cancel_timer()
        if self.attempt is not None:
            self.was_sent = self.is_sent
            self.attempt.cancel()
            self.attempt = None


class OpenRequest:
    """A request that awaits its response or still has an attempt in progress."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "class_name",
        "client",
        "deadline",
        "deadline_timer",
        "is_answered",
        "is_streamed_class",
        "is_streaming",
        "is_upload_overdue",
        "render",
        "request_id",
        "timeout_ms",
        "upload",
        "writes",
    )

    def __init__(
        self,
        request_id: str,
        class_name: str,
        client: Client,
        deadline: float,
        render: Render,
        upload: Upload | None,
    ) -> None:
        """Open a request; the `deadline` (ms) of an upload is valid once its last byte has been received."""
        self.request_id = request_id
        self.class_name = class_name
        self.client = client
        self.deadline = deadline
        self.render = render
        self.upload = upload
        self.writes = False  # True if a second execution would do harm.
        self.arrived_at = 0.0  # Time in ms at which the request's last byte, or an upload's head, arrived.
        self.timeout_ms = 0.0  # Time that the client allows after its last byte has been received.
        self.is_streamed_class = False  # True if a response that has begun may take any time.
        self.is_streaming = False  # True once a streamed response has begun.
        self.is_upload_overdue = False  # True once the time is over although the body has not been read.
        self.attempts: list[RequestAttempt] = []
        self.is_answered = False
        self.deadline_timer: asyncio.TimerHandle | None = None

    def age_ms(self, now: float) -> float:
        """Return how many ms before `now` (ms) the request's last byte, or an upload's head, arrived."""
        return now - self.arrived_at

    @property
    def is_receiving(self) -> bool:
        """Whether the request body is still being received."""
        return self.upload is not None and not self.upload.is_complete

    @property
    def stage(self) -> str:
        """How far the request has got, as written to the log."""
        if self.is_streaming:
            return "response begun"
        attempt = self.attempts[-1] if self.attempts else None
        if attempt is None or attempt.is_over:
            return "no attempt in progress"
        return "attempt sent" if attempt.is_sent else "attempt waits for its connection"

    @property
    def is_upload_prefix_dropped(self) -> bool:
        """Whether the start of the body is no longer buffered, which rules out a retry."""
        return self.upload is not None and self.upload.is_prefix_dropped

    @property
    def has_no_attempt(self) -> bool:
        """Whether no attempt is in progress."""
        return all(attempt.is_over for attempt in self.attempts)

    def close(self) -> None:
        """Mark the request as answered, stop its deadline and release its body."""
        self.is_answered = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.upload is not None:
            self.upload.discard()
