"""Interfaces through which the node uses clients, the fleet's services and the endpoint watcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from balancer import interface as api
from balancer.net.backend_connection import BackendConnection
from balancer.net.endpoints import EndpointUpdate


class Client(Protocol):
    """Receiver of the responses to the requests of one client connection."""

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has closed or reset the connection, even if that is still unread."""

    def send_response(self, body: bytes, content_type: bytes) -> None:
        """Send a response that was buffered completely."""

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request; with a `retry_after_ms` of 0, without advice on when to retry."""

    def fail(self) -> None:
        """Send an error response, or abort the streamed response in progress."""

    def begin_stream(self, backend: BackendConnection, size: int | None, content_type: bytes) -> None:
        """Begin a streamed response from `backend`; calls of `feed` deliver its body."""

    def feed(self, data: bytes) -> None:
        """Send a chunk of the streamed response."""

    def finish_stream(self) -> None:
        """Finish the streamed response."""


class FleetServices(Protocol):
    """Services that the nodes of a fleet share, such as membership, recovery and durable state."""

    def stats(self) -> dict[str, object]:
        """Return the `fleet` section of the statistics."""

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Handle an update of the endpoint list."""

    def list_confirmed(self) -> None:
        """Handle discovery's first response saying that the current endpoint list has not changed."""

    def save_learned(self, export: Callable[[float], api.LearnedState], now: float) -> None:
        """Save the learned state returned by `export` if a save is due at `now` (ms)."""

    async def record_maintenance(self, backend: str, is_banned: bool, at_ms: float, is_change: bool) -> None:
        """Record a maintenance change, durably if that is configured.

        `is_change` is False if the backend is in that state already. Raises BalancerError.
        """

    def confirms(self, backend: str, is_banned: bool) -> bool:
        """Return whether a recorded maintenance change is still the newest one known in the tier."""

    def list_request_failed(self) -> None:
        """Handle the end or failure of a discovery call."""

    def startup_status(self) -> str:
        """Return which of these services the start of the node waits for, or an empty string."""


class EndpointWatcher(Protocol):
    """Source of the endpoint list."""

    def watch(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""

    def fetch(self) -> None:
        """Fetch the complete endpoint list once."""

    def read_unread(self) -> None:
        """Apply updates that have been received but not read yet."""
