"""A crowd of idle clients, which hold connections to the nodes and send nothing."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast

from balancer.lab.run import Run

OPENED_PER_TURN = 20
TURN_S = 0.05


class IdleConnection(asyncio.Protocol):
    """A connection on which nothing is sent."""

    def __init__(self) -> None:
        """Begin unconnected."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Make room for another."""
        self.transport = None


class IdleCrowd:
    """Keeps `size` idle connections to each node; those that end are opened again."""

    def __init__(self, size: int) -> None:
        """Create a crowd that has not come."""
        self.size = size
        self._connections: dict[int, list[IdleConnection]] = {}

    async def come(self, run: Run) -> None:
        """Hold the connections until this is cancelled."""
        try:
            while True:
                for node in range(run.spec.fleet.nodes):
                    await self._fill(run, node)
                await asyncio.sleep(TURN_S)
        finally:
            for connections in self._connections.values():
                for connection in connections:
                    if connection.transport is not None:
                        connection.transport.abort()

    async def _fill(self, run: Run, node: int) -> None:
        open_ones = [c for c in self._connections.get(node, ()) if c.transport is not None]
        self._connections[node] = open_ones
        loop = asyncio.get_running_loop()
        for _ in range(min(OPENED_PER_TURN, self.size - len(open_ones))):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(TURN_S):
                    _, connection = await loop.create_connection(IdleConnection, *run.addresses.node(node))
                    open_ones.append(connection)
