"""What the node asks of the parties around it: clients, the fleet's services, the watch of endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from balancer import interface as api
from balancer.net.backend_connection import BackendConnection
from balancer.net.endpoints import EndpointUpdate


class Client(Protocol):
    """Receiver of the response to one request."""

    @property
    def has_disconnected(self) -> bool:
        """Whether it has left unseen, as nothing is read from it now."""

    def send_response(self, body: bytes, content_type: bytes) -> None:
        """Send a backend's buffered response."""

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request; 0 for no advice on a retry."""

    def fail(self) -> None:
        """Send an error, or break off the streamed response."""

    def begin_stream(self, backend: BackendConnection, size: int | None, content_type: bytes) -> None:
        """Begin a streamed response from `backend`, whose body follows by `feed`."""

    def feed(self, data: bytes) -> None:
        """Send a piece of the streamed response."""

    def finish_stream(self) -> None:
        """Complete the streamed response."""


class FleetServices(Protocol):
    """The services that nodes of a fleet share: what the node asks of them, and what it tells them."""

    def stats(self) -> dict[str, object]:
        """Return their part of the statistics."""

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Take an update of the endpoint list."""

    def list_confirmed(self) -> None:
        """Take note that the list in force is discovery's, before any update of it."""

    def save_learned(self, export: Callable[[float], api.LearnedState], now: float) -> None:
        """Save the learned state, which `export` returns, if that is due at `now` (ms)."""

    async def record_maintenance(self, backend: str, is_out: bool, at: float, is_change: bool) -> None:
        """Record a maintenance change, durably where that is configured.

        `is_change` tells whether it differs from what is in force. Raises BalancerError.
        """

    def confirms(self, backend: str, is_out: bool) -> bool:
        """Return whether a recorded maintenance change is still the newest that the tier knows of."""

    def list_request_failed(self) -> None:
        """Take note that a call of discovery has ended or failed."""

    def startup_status(self) -> str:
        """Return what the node's start waits for, empty if that is none of these services."""


class EndpointWatcher(Protocol):
    """Source of the endpoint list."""

    def watch(self, on: bool) -> None:
        """Start or stop watching."""

    def fetch(self) -> None:
        """Fetch the whole list once."""
