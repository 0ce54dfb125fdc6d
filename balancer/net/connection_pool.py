"""Pool of backend connections, and the endpoint list in effect."""

from __future__ import annotations

import asyncio
import bisect
import logging
from collections import Counter
from collections.abc import Callable
from itertools import takewhile

from balancer import interface as api
from balancer.interface import AttemptStatus
from balancer.net.attempt import (
    Attempt,
    AttemptResult,
    OnResult,
    OnStream,
    Refresh,
    ResponseTimeLeft,
    reject_stream,
)
from balancer.net.backend_connection import REUSE_DELAY_S, BackendConnection
from balancer.net.endpoints import Address, Member
from balancer.net.rate_limited_log import RateLimitedLog
from balancer.net.sharded_dict import ShardedDict
from balancer.net.statistics import CloseReason, RequestStatistics
from balancer.net.stream import StreamMemory, Upload

log = logging.getLogger(__name__)

# Idle connections are closed after 0.7 times the idle timeout of the backend itself.
IDLE_TIMEOUT_FRACTION = 0.7
SWEEP_INTERVAL_FRACTION = 0.1  # Interval between two sweeps, as a fraction of the idle timeout.
MIN_SWEEP_INTERVAL_S = 0.05


def _read_nothing() -> None:
    """Read no updates, as the default for a pool without discovery."""


def _read_at_once(transport: asyncio.Transport) -> float:
    """Return 0, as the default for a pool that does not measure how late it reads."""
    return 0.0


class EndpointConnections:
    """Connection state of one endpoint: its address, whether it accepts requests, its idle connections.

    The most recently used connection is last in `idle`. The object is created at the first attempt, because
    a node never sends requests to most endpoints of a long list.
    """

    __slots__ = ("address", "idle", "is_in_maintenance", "is_in_service")

    def __init__(self, address: Address, is_in_maintenance: bool, is_in_service: bool = True) -> None:
        """Create an endpoint without connections."""
        self.address = address
        self.is_in_maintenance = is_in_maintenance
        # True while the endpoint list has the endpoint in phase IN_SERVICE.
        self.is_in_service = is_in_service
        self.idle: list[BackendConnection] = []

    @property
    def accepts_requests(self) -> bool:
        """Whether the endpoint may receive new requests."""
        return self.is_in_service and not self.is_in_maintenance


class ConnectionPool:
    """All backend connections of the process, idle or in use."""

    def __init__(
        self, settings: api.Settings, limit: int, statistics: RequestStatistics, memory: StreamMemory
    ) -> None:
        """Create a pool of at most `limit` connections; `memory` bounds the buffers of streamed bodies."""
        self.statistics = statistics
        self.memory = memory
        self.configure(settings)
        self.limit = limit
        self.connection_count = 0
        self.members = ShardedDict[Member]()  # The endpoint list, as a map from backend ids.
        self.in_service_count = 0  # Number of listed backends in phase IN_SERVICE.
        # Applies updates of the list that have been received but not read, before a decision or a send.
        self.read_list_updates: Callable[[], None] = _read_nothing
        # Returns for how many ms the bytes that were last read from a connection had been received.
        self.unread_ms: Callable[[asyncio.Transport], float] = _read_at_once
        # Connection states of the listed backends that have had an attempt, by backend id.
        self.endpoints: dict[str, EndpointConnections] = {}
        # Idle connections to all endpoints; the one idle longest comes first.
        self.idle: dict[BackendConnection, None] = {}
        # Number of connections closed since the last counts line, by reason.
        self.close_counts: Counter[CloseReason] = Counter()
        # Ids of the backends in maintenance, which need not be in the endpoint list.
        self.in_maintenance: set[str] = set()
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.warnings = RateLimitedLog(log, self.loop.time)

    def configure(self, settings: api.Settings) -> None:
        """Apply settings to future connection attempts and idle sweeps."""
        self.connect_timeout_s = settings.connect_timeout_ms / 1000
        self.idle_timeout_s = settings.connection_idle_ms / 1000

    # --- updates of the endpoint list

    def update(self, members: tuple[Member, ...], complete: bool) -> None:
        """Apply an endpoint list update; close idle connections to endpoints that were removed or moved."""
        if complete:
            for name in self.members.keys() - {member.backend for member in members}:
                self._remove_endpoint(name)
        for member in members:
            name = member.backend
            if member.phase is api.EndpointPhase.REMOVED:
                self._remove_endpoint(name)
                continue
            is_in_service = member.phase is api.EndpointPhase.IN_SERVICE
            shard = self.members.shard(name)
            was_in_service = name in shard and shard[name].phase is api.EndpointPhase.IN_SERVICE
            self.in_service_count += is_in_service - was_in_service
            shard[name] = member
            if (endpoint := self.endpoints.get(name)) is not None:
                endpoint.is_in_service = is_in_service
                address = member.address
                if not endpoint.accepts_requests or endpoint.address != address:
                    self.close_idle(name)
                endpoint.address = address

    def set_maintenance(self, name: str, is_in_maintenance: bool) -> None:
        """Start or end maintenance of an endpoint."""
        if is_in_maintenance:
            self.in_maintenance.add(name)
        else:
            self.in_maintenance.discard(name)
        if name in self.endpoints:
            self.endpoints[name].is_in_maintenance = is_in_maintenance
            if is_in_maintenance:
                self.close_idle(name)

    def _remove_endpoint(self, name: str) -> None:
        """Remove an endpoint; attempts in progress run to their end."""
        if (member := self.members.pop(name, None)) is not None:
            self.in_service_count -= member.phase is api.EndpointPhase.IN_SERVICE
        if name in self.endpoints:
            self.endpoints[name].is_in_service = False
            self.close_idle(name)
            del self.endpoints[name]

    def endpoint(self, name: str) -> EndpointConnections:
        """Return a listed endpoint, creating it at its first use. Raises KeyError if it is not listed."""
        if (endpoint := self.endpoints.get(name)) is None:
            member = self.members[name]
            is_in_service = member.phase is api.EndpointPhase.IN_SERVICE
            endpoint = EndpointConnections(member.address, name in self.in_maintenance, is_in_service)
            self.endpoints[name] = endpoint
        return endpoint

    # --- starting attempts

    def start_attempt(
        self,
        name: str,
        request: bytes,
        on_result: OnResult,
        on_stream: OnStream = reject_stream,
        upload: Upload | None = None,
        refresh: Refresh | None = None,
        response_time_left: ResponseTimeLeft | None = None,
    ) -> Attempt:
        """Start an attempt on an idle connection or a new one; `on_result` may be called before it returns.

        If all idle connections were used less than `REUSE_DELAY_S` ago, the attempt waits for one of them.
        """
        endpoint = self.endpoint(name)
        attempt = Attempt(request, on_result, on_stream, upload, refresh, response_time_left)
        if (connection := self._take_reusable(endpoint)) is not None:
            connection.send(attempt)
            return attempt
        while endpoint.idle:  # Waiting at most `REUSE_DELAY_S` costs less than a new connection.
            connection = endpoint.idle[0]
            self.remove_idle(connection)
            if connection.is_usable:
                connection.send_after_delay(attempt)
                return attempt
            connection.close(CloseReason.PEER_CLOSED)
        if self.connection_count >= self.limit and not self.evict_longest_idle():
            attempt.finish(AttemptResult(AttemptStatus.NOT_STARTED, reason="all connections are in use"))
            return attempt
        self._connect(endpoint, attempt)
        return attempt

    def _connect(self, endpoint: EndpointConnections, attempt: Attempt) -> None:
        connection = BackendConnection(self, endpoint)
        self.connection_count += 1
        connection.attempt = attempt
        attempt.connection = connection
        connection.connect_task = self.loop.create_task(connection.connect())

    def _take_reusable(self, endpoint: EndpointConnections) -> BackendConnection | None:
        """Return the most recently used connection that has been idle for at least `REUSE_DELAY_S`.

        On one used more recently, a late second response could be taken for the response to the next request.
        """
        now = self.loop.time()
        expired_before = now - IDLE_TIMEOUT_FRACTION * self.idle_timeout_s
        while index := bisect.bisect_right(
            endpoint.idle, now - REUSE_DELAY_S, key=lambda connection: connection.idle_since
        ):
            connection = endpoint.idle[index - 1]
            self.remove_idle(connection)
            if connection.idle_since < expired_before:
                connection.close(CloseReason.IDLE_TIMEOUT)
            elif connection.is_usable:
                return connection
            else:
                connection.close(CloseReason.PEER_CLOSED)
        return None

    # --- idle connections and the connection limit

    def remove_idle(self, connection: BackendConnection) -> None:
        """Remove a connection from the idle connections."""
        del self.idle[connection]
        connection.endpoint.idle.remove(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection that is being closed."""
        self.connection_count -= 1
        if connection in self.idle:
            self.remove_idle(connection)

    def release(self, connection: BackendConnection, is_reusable: bool) -> None:
        """Return a connection to the idle connections after its response, or close it."""
        if not connection.is_endpoint_current:
            connection.close(CloseReason.ENDPOINT_REMOVED)
            return
        if not is_reusable or connection.is_closed:
            connection.close(CloseReason.NOT_REUSABLE)
            return
        connection.is_request_written = False
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        self.idle[connection] = None
        if self.sweep_timer is None:
            self._schedule_sweep()

    def close_idle(self, name: str) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.endpoints[name].idle[:] if name in self.endpoints else ():
            connection.close(CloseReason.ENDPOINT_REMOVED)

    def enforce_limit(self) -> None:
        """Close the longest idle connections until the limit holds; those in use are closed after use."""
        while self.connection_count > self.limit and self.evict_longest_idle():
            pass

    def evict_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        for connection in self.idle:
            connection.close(CloseReason.EVICTED)
            return True
        return False

    def _schedule_sweep(self) -> None:
        interval = max(SWEEP_INTERVAL_FRACTION * self.idle_timeout_s, MIN_SWEEP_INTERVAL_S)
        self.sweep_timer = self.loop.call_later(interval, self.sweep)

    def sweep(self) -> None:
        """Close idle connections before the backends do, whose close could coincide with a new request."""
        self.sweep_timer = None
        expired_before = self.loop.time() - IDLE_TIMEOUT_FRACTION * self.idle_timeout_s
        for connection in [*takewhile(lambda item: item.idle_since < expired_before, self.idle)]:
            connection.close(CloseReason.IDLE_TIMEOUT)
        if self.idle:
            self._schedule_sweep()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in [*self.idle]:
            connection.close(CloseReason.IDLE_TIMEOUT)
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
