"""An attempt: one request sent to one backend, and its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from balancer.interface import AttemptStatus, LoadReport
from balancer.net.response_progress import ResponseProgress
from balancer.net.statistics import CloseReason
from balancer.net.stream import Upload

if TYPE_CHECKING:
    from balancer.net.backend_connection import BackendConnection


@dataclass(slots=True)
class AttemptResult:
    """Outcome of an attempt; only a buffered response with status 200 has `body` and `content_type`.

    `reason` tells the log why an attempt was not started. A response was read `unread_ms` after it arrived.
    """

    status: AttemptStatus
    report: LoadReport | None = None
    body: bytes = b""
    content_type: bytes = b""
    reason: str = ""
    unread_ms: float = 0.0


class ResponseSink(Protocol):
    """Receiver of a streamed response body."""

    def feed(self, data: bytes) -> None:
        """Receive a chunk of the body."""


OnStream = Callable[["BackendConnection", int | None, bytes], ResponseSink | None]
"""Callback for a response to be streamed: gets its connection, its length if known, its content type.

It returns the receiver of the body, or None if the response is no longer wanted.
"""

OnResult = Callable[[AttemptResult], None]

Refresh = Callable[[], bytes | None]
"""Callback after a wait for a connection: returns the request to send now, or None not to send it.

The request states the time left to its client, which has become less.
"""

ResponseTimeLeft = Callable[[], float]
"""Callback that returns in how many seconds a response of unknown length has to be whole, or long."""


def reject_stream(
    connection: BackendConnection, size: int | None, content_type: bytes
) -> ResponseSink | None:
    """Return None, as the default for attempts that do not accept streamed responses."""
    return None


class Attempt:
    """One request sent, or to be sent, to one backend.

    `on_result` is called exactly once unless the attempt is cancelled. `request` holds the bytes of the
    complete request, or only of its head if its body is an upload. An attempt without `refresh` sends it
    unchanged after a wait. The response to one without `response_time_left` may come at any time.
    """

    __slots__ = (
        "connection",
        "on_result",
        "on_stream",
        "refresh",
        "request",
        "response_time_left",
        "upload",
    )

    def __init__(
        self,
        request: bytes,
        on_result: OnResult,
        on_stream: OnStream,
        upload: Upload | None,
        refresh: Refresh | None,
        response_time_left: ResponseTimeLeft | None,
    ) -> None:
        """Create an attempt that has no connection yet."""
        self.request = request
        self.on_result = on_result
        self.on_stream = on_stream
        self.upload = upload
        self.refresh = refresh
        self.response_time_left = response_time_left
        self.connection: BackendConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the last byte of the request may have left this node."""
        return self.connection is not None and self.connection.is_request_sent

    @property
    def has_unread_response(self) -> bool:
        """Whether bytes of the response have been received that the event loop has not read yet."""
        return self.connection is not None and self.connection.has_unread_data

    def pass_on(self) -> bool:
        """Pass on what has come of the response; return whether a response is being passed on."""
        return self.connection is not None and self.connection.pass_on()

    def pass_on_undecided(self, time_left_s: float) -> bool:
        """Pass on a held response if it may turn out long in time; return whether one is being passed on."""
        return self.connection is not None and self.connection.pass_on_undecided(time_left_s)

    def continue_past_deadline(self) -> bool:
        """Return whether a long response goes on behind the deadline; one that was held is passed on."""
        return self.connection is not None and self.connection.continue_past_deadline()

    @property
    def is_holding_response(self) -> bool:
        """Whether a part of a response of unknown length has been received and not been passed on."""
        return self.connection is not None and self.connection.is_holding_response

    @property
    def unknown_length_progress(self) -> ResponseProgress | None:
        """Progress of a response of unknown length, or None if it has a length or no body byte has come."""
        return None if self.connection is None else self.connection.hold.progress

    def finish(self, result: AttemptResult) -> None:
        """Report the result of the attempt."""
        self._detach()
        self.on_result(result)

    def cancel(self) -> None:
        """End the attempt without reporting a result.

        The connection is closed before this returns, so that a retry never overlaps this attempt.
        """
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close(CloseReason.ABANDONED)
            self._detach()

    def _detach(self) -> None:
        self.connection = None
        if self.upload is not None:
            self.upload.detach()
