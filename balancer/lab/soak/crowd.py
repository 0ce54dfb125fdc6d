"""A crowd of idle clients that hold connections to the nodes and send nothing."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

from balancer.lab.run import Run

MAX_OPENED_PER_ROUND = 20
ROUND_INTERVAL_S = 0.05


class IdleConnection(asyncio.Protocol):
    """A connection on which nothing is sent."""

    def __init__(self) -> None:
        """Create a connection that is not established yet."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport, so that the crowd replaces the connection (asyncio)."""
        self.transport = None


class IdleCrowd:
    """Keeps `size` idle connections to each node, and replaces those that end."""

    def __init__(self, size: int) -> None:
        """Create a crowd without connections."""
        self.size = size
        self._connections: dict[int, list[IdleConnection]] = {}

    async def hold_open(self, run: Run) -> None:
        """Keep the connections open until cancelled."""
        try:
            while True:
                for node in range(run.spec.fleet.nodes):
                    await self._fill(run, node)
                await asyncio.sleep(ROUND_INTERVAL_S)
        finally:
            for connections in self._connections.values():
                for connection in connections:
                    if connection.transport is not None:
                        connection.transport.abort()

    async def _fill(self, run: Run, node: int) -> None:
        open_connections = [c for c in self._connections.get(node, ()) if c.transport is not None]
        self._connections[node] = open_connections
        loop = asyncio.get_running_loop()
        for _ in range(min(MAX_OPENED_PER_ROUND, self.size - len(open_connections))):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    _, connection = await loop.create_connection(IdleConnection, *run.addresses.node(node))
                    open_connections.append(connection)
