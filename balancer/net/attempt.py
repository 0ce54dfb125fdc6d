"""One request on its way to one backend, and its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from balancer.interface import AttemptStatus, LoadReport
from balancer.net.statistics import CloseReason
from balancer.net.stream import Upload

if TYPE_CHECKING:
    from balancer.net.backend_connection import BackendConnection


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; `body` and `content_type` are those of a buffered response with status 200."""

    status: AttemptStatus
    report: LoadReport | None = None
    body: bytes = b""
    content_type: bytes = b""


class ResponseSink(Protocol):
    """Receiver of a streamed response."""

    def feed(self, data: bytes) -> None:
        """Take a piece of the body."""


OnStream = Callable[["BackendConnection", int | None, bytes], ResponseSink | None]
"""Called when a response is to be streamed: its connection, its length if known, its content type.

Returns where it goes, or None if nobody wants it.
"""

OnResult = Callable[[AttemptResult], None]

IsWanted = Callable[[], bool]
"""Called when a connection is established: whether the request may still be sent on it."""


def always_wanted() -> bool:
    """Serve attempts that nobody abandons unseen."""
    return True


def reject_stream(
    connection: BackendConnection, size: int | None, content_type: bytes
) -> ResponseSink | None:
    """Serve attempts whose responses are never streamed."""
    return None


class Attempt:
    """One request on its way to one backend.

    `on_result` is called once, unless the attempt is cancelled. `request` holds the request's bytes, or only
    its head if an upload follows.
    """

    __slots__ = ("connection", "is_wanted", "on_result", "on_stream", "request", "upload")

    def __init__(
        self,
        request: bytes,
        on_result: OnResult,
        on_stream: OnStream,
        upload: Upload | None,
        is_wanted: IsWanted,
    ) -> None:
        """Make an attempt that has no connection yet."""
        self.request = request
        self.on_result = on_result
        self.on_stream = on_stream
        self.upload = upload
        self.is_wanted = is_wanted
        self.connection: BackendConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the request's last byte may have left this node."""
        return self.connection is not None and self.connection.is_request_sent

    @property
    def has_long_response(self) -> bool:
        """Whether a long response is under way, as far as its rate so far shows."""
        return self.connection is not None and self.connection.has_long_response

    def finish(self, result: AttemptResult) -> None:
        """Report the result."""
        self._detach()
        self.on_result(result)

    def cancel(self) -> None:
        """End the attempt without a result.

        The connection is closed before this returns, so that no two copies of a request are out at once.
        """
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close(CloseReason.ABANDONED)
            self._detach()

    def _detach(self) -> None:
        self.connection = None
        if self.upload is not None:
            self.upload.detach()
