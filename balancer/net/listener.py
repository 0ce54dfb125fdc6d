"""Client listener: accepts connections and enforces the connection limit."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from balancer.net.client_connection import ClientConnection
from balancer.net.connection_limits import overflow_limit
from balancer.net.endpoints import Address
from balancer.net.node import Node
from balancer.net.rate_limited_log import RateLimitedLog
from balancer.net.response_delivery import CutReason

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
DELIVERY_POLL_INTERVAL_S = 0.05


class Listener:
    """Accept client connections and keep their number within a limit."""

    def __init__(self, node: Node, limit: int) -> None:
        """Create a listener that is not listening yet and allows `limit` connections."""
        self.node = node
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.warnings = RateLimitedLog(log, self.loop.time)
        self.socket: socket.socket | None = None
        self.connections: set[ClientConnection] = set()
        # Idle client connections; the one that has been idle longest comes first.
        self.idle: dict[ClientConnection, None] = {}
        # Half-closed client connections, oldest first, which are not in `connections`.
        self.lingering: dict[ClientConnection, None] = {}
        self.is_stopped = False
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._drained = asyncio.Event()  # Set when no client connection is open; lingering ones may remain.
        self._all_closed = asyncio.Event()  # Set when no client connection is open or lingering.
        self._server: asyncio.Server | None = None

    @property
    def is_over_limit(self) -> bool:
        """Whether more connections are open than the limit allows; lingering ones do not count."""
        return len(self.connections) > self.limit

    @property
    def address(self) -> Address:
        """The bound address; the kernel chooses the port if the configured one is 0."""
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    async def listen(self, address: Address, shared: bool) -> None:
        """Accept connections on an address; if `shared`, other processes of this node can bind it too."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        self._server = await self.loop.create_server(
            lambda: ClientConnection(self), sock=self.socket, backlog=LISTEN_BACKLOG
        )

    # --- open, idle and lingering connections

    def add(self, connection: ClientConnection) -> None:
        """Register a connection; over the limit, end the longest idle one, then make room for it."""
        self.connections.add(connection)
        self.node.counts["connected"] += 1
        self.idle[connection] = None
        if self.is_over_limit and (oldest := self._longest_idle(connection)) is not None:
            self._displace(oldest)
        if len(self.connections) + len(self.lingering) > self.limit + overflow_limit(self.limit):
            self._make_room(connection)

    def _make_room(self, newest: ClientConnection) -> None:
        """Close the longest lingering or idle connection with nothing left to send, or else the newest."""
        closable = self._longest_closable()
        if closable is None and (oldest := self._longest_idle(newest)) is not None and oldest.closes_cleanly:
            self._displace(oldest)
            closable = oldest
        if closable is None:
            self.node.counts["client_turned_away"] += 1
            closable = newest
        self.remove(closable)
        closable.close()

    def _longest_closable(self) -> ClientConnection | None:
        """Return the longest lingering connection that has delivered everything, or else one that will."""
        first = None
        for connection in self.lingering:
            if connection.delivery.queue.is_delivered:
                return connection
            if first is None and connection.closes_cleanly:
                first = connection
        return first

    def enforce_limit(self) -> None:
        """Close the longest idle connections until the limit holds; those with a request stay and count."""
        while self.is_over_limit and (oldest := self._longest_idle()) is not None:
            self._displace(oldest)

    def _displace(self, connection: ClientConnection) -> None:
        self.node.counts["client_displaced"] += 1
        connection.linger()

    def _longest_idle(self, newest: ClientConnection | None = None) -> ClientConnection | None:
        """Return the longest idle connection without unread data, if possible one without undelivered data.

        One that is still sending goes on after its displacement, so its descriptor is not free soon.
        """
        first_sending = None
        for connection in self.idle:
            if connection is newest or connection.has_unread_data:
                continue
            if connection.delivery.queue.is_delivered:
                return connection
            first_sending = first_sending or connection
        return first_sending

    def move_to_lingering(self, connection: ClientConnection) -> None:
        """Move a connection that this side has half-closed to the lingering ones, outside the limit."""
        self.remove(connection)
        self.lingering[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)
        if not self.connections:
            self._drained.set()
        if not self.connections and not self.lingering:
            self._all_closed.set()

    # --- graceful shutdown

    def stop(self) -> None:
        """Stop accepting and close idle connections; requests that have already arrived are still handled."""
        self.is_stopped = True
        if self._server is not None:
            self._accept_queued()
            self._server.close()
        for connection in list(self.idle):
            if not connection.has_unread_data:
                connection.linger()

    def _accept_queued(self) -> None:
        """Accept the connections in the kernel's queue, because closing the socket would reset them."""
        assert self.socket is not None
        with contextlib.suppress(OSError):  # `accept` raises BlockingIOError once the queue is empty.
            while True:
                sock, _ = self.socket.accept()
                sock.setblocking(False)
                task = self.loop.create_task(self._accept(sock))
                self._accept_tasks.add(task)
                task.add_done_callback(self._accept_tasks.discard)

    async def _accept(self, sock: socket.socket) -> None:
        await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)

    async def wait_until_drained(self, timeout_s: float) -> None:
        """Wait until every connection has received its last response; call `stop` first."""
        if self._accept_tasks:
            await asyncio.wait(self._accept_tasks, timeout=timeout_s)
        if self.connections:
            self._drained.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._drained.wait(), timeout_s)

    async def close(self, timeout_s: float) -> None:
        """Half-close connections, except below a streamed response; wait for the clients to close theirs.

        Args:
            timeout_s: Maximum time to wait, in seconds.
        """
        for connection in list(self.connections):
            if not connection.responses.is_streaming:
                connection.linger()
        if self.lingering:
            self._all_closed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), timeout_s)

    async def wait_until_delivered(self) -> None:
        """Wait until the kernel has every response that has begun; call `close` first.

        A response that ends with its connection is reset, as the client would take the end of the process for
        the end of the response. The limits on a client that reads nothing and on a backend that sends nothing
        end the wait.
        """
        for connection in (*self.connections, *self.lingering):
            if connection.is_sending and connection.responses.ends_with_connection:
                connection.cut_off(CutReason.PROCESS_ENDS)
        while any(connection.is_sending for connection in (*self.connections, *self.lingering)):
            await asyncio.sleep(DELIVERY_POLL_INTERVAL_S)
