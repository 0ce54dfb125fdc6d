"""The listener for clients and the limit on their connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from balancer.net.client_connection import ClientConnection
from balancer.net.connection_limits import overflow_limit
from balancer.net.endpoints import Address
from balancer.net.node import Node

BACKLOG = 1024  # connections that wait to be accepted


class Listener:
    """The listening socket and its connections."""

    def __init__(self, node: Node, limit: int) -> None:
        """Make a listener that does not listen yet, for at most `limit` connections."""
        self.node = node
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.socket: socket.socket | None = None
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}  # longest idle first
        self.lingering: dict[ClientConnection, None] = {}  # not among `connections`; longest lingering first
        self.is_stopped = False
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._drained = asyncio.Event()  # no connection is open
        self._all_closed = asyncio.Event()  # nor is one lingering
        self._server: asyncio.Server | None = None

    @property
    def is_over_limit(self) -> bool:
        """Whether there are more connections than the limit; lingering ones do not count."""
        return len(self.connections) > self.limit

    @property
    def address(self) -> Address:
        """Where it listens; the port is the system's choice if the configuration says 0."""
        assert self.socket is not None
        host, port = self.socket.getsockname()[:2]
        return host, port

    async def listen(self, address: Address, shared: bool) -> None:
        """Accept connections on this address; `shared` with another process of this node."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        self._server = await self.loop.create_server(
            lambda: ClientConnection(self), sock=self.socket, backlog=BACKLOG
        )

    # --- connections

    def add(self, connection: ClientConnection) -> None:
        """Register a connection; over the limit the longest idle one goes, then the longest lingering one."""
        self.connections.add(connection)
        self.node.counts["connected"] += 1
        self.idle[connection] = None
        if self.is_over_limit and (oldest := self._longest_idle(connection)) is not None:
            self._displace(oldest)
        if len(self.connections) + len(self.lingering) > self.limit + overflow_limit(self.limit):
            first = next(iter(self.lingering), connection)
            self.lingering.pop(first, None)
            first.close()

    def enforce_limit(self) -> None:
        """Close the longest idle connections over the limit; those with a request may stay, and count."""
        while self.is_over_limit and (oldest := self._longest_idle()) is not None:
            self._displace(oldest)

    def _displace(self, connection: ClientConnection) -> None:
        self.node.counts["client_displaced"] += 1
        connection.linger()

    def _longest_idle(self, newest: ClientConnection | None = None) -> ClientConnection | None:
        """Return the longest idle connection without unread data."""
        for connection in self.idle:
            if connection is not newest and not connection.has_unread_data:
                return connection
        return None

    def keep_lingering(self, connection: ClientConnection) -> None:
        """Note that this side has ended a connection, which counts no more under the limit."""
        self.remove(connection)
        self.lingering[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)
        if not self.connections:
            self._drained.set()
        if not self.connections and not self.lingering:
            self._all_closed.set()

    # --- graceful shutdown

    def stop(self) -> None:
        """Accept no more and close idle connections; a request received meanwhile is still handled."""
        self.is_stopped = True
        if self._server is not None:
            self._accept_queued()
            self._server.close()
        for connection in list(self.idle):
            if not connection.has_unread_data:
                connection.linger()

    def _accept_queued(self) -> None:
        """Accept what waits in the listening socket's queue, which a close would reset."""
        assert self.socket is not None
        with contextlib.suppress(OSError):  # the queue is empty
            while True:
                sock, _ = self.socket.accept()
                sock.setblocking(False)
                task = self.loop.create_task(self._accept(sock))
                self._accept_tasks.add(task)
                task.add_done_callback(self._accept_tasks.discard)

    async def _accept(self, sock: socket.socket) -> None:
        await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)

    async def wait_until_drained(self, timeout_s: float) -> None:
        """Wait until each connection has had its last response; call `stop` before."""
        if self._accept_tasks:
            await asyncio.wait(self._accept_tasks, timeout=timeout_s)
        if self.connections:
            self._drained.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._drained.wait(), timeout_s)

    async def close(self, timeout_s: float) -> None:
        """Close every connection; returns when all clients have ended, or after `timeout_s`."""
        for connection in list(self.connections):
            connection.linger()
        if self.lingering:
            self._all_closed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), timeout_s)
