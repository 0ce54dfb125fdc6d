"""Connection limits of a process, derived from its share of the node's file descriptors."""

from __future__ import annotations

from typing import NamedTuple

# File descriptors that a process needs besides connections: 16 for the event loop, log, listeners and lock,
# up to 5 for discovery calls, 4 for the files and the port of a fleet, the rest for console connections.
RESERVED_FDS = 32
CLOSING_FDS = 2  # Closed connections keep their descriptors until the next event loop iteration.
MIN_FDS = RESERVED_FDS + CLOSING_FDS + 3  # A client, a client over the limit and a backend connect.
CLIENT_FRACTION = 0.6  # Share of the unreserved descriptors that client connections may use.
MAX_OVERFLOW_CONNECTIONS = 16
CLIENTS_PER_OVERFLOW_CONNECTION = 8
PREDECESSOR_FRACTION = 5 / 8  # Share of the node's descriptors for all processes older than the newest.
# A predecessor may use at most three quarters of its unreserved descriptors for clients.
PREDECESSOR_CLIENT_FRACTION = 0.75


class ConnectionLimits(NamedTuple):
    """Maximum numbers of client and backend connections of a process."""

    clients: int
    backends: int


def overflow_limit(clients: int) -> int:
    """Return how many client connections over the limit are accepted, to be answered and closed."""
    return max(1, min(MAX_OVERFLOW_CONNECTIONS, clients // CLIENTS_PER_OVERFLOW_CONNECTION))


def connection_limits(descriptors: int) -> ConnectionLimits:
    """Return the limits of a process that may hold this many descriptors."""
    return _split(descriptors, int((descriptors - RESERVED_FDS) * CLIENT_FRACTION))


def predecessor_limits(descriptors: int, node_descriptors: int) -> ConnectionLimits:
    """Return the limits of a process while a newer process of the node is running.

    Existing clients stay connected to it, so most of its descriptors are for clients, but not more than a
    third of the node's.
    """
    clients = int((descriptors - RESERVED_FDS) * PREDECESSOR_CLIENT_FRACTION)
    return _split(descriptors, min(node_descriptors // 3, clients))


def _split(descriptors: int, wanted_clients: int) -> ConnectionLimits:
    available = descriptors - RESERVED_FDS - CLOSING_FDS
    clients = max(1, min(wanted_clients, available - 2))
    return ConnectionLimits(clients, max(1, available - clients - overflow_limit(clients)))
