"""How many connections a process of a node may have, from the descriptors that the node may hold."""

from __future__ import annotations

from typing import NamedTuple

# File descriptors that a process needs besides connections: 16 for event loop, log, listeners and lock, up
# to 5 for calls of discovery, 4 for the files and the port of a fleet, the rest for callers of the console.
RESERVED_FDS = 32
CLOSING_FDS = 2  # of connections that are closed but not yet released by the event loop
MIN_FDS = RESERVED_FDS + CLOSING_FDS + 3  # a client, one over the limit, a backend
CLIENT_FRACTION = 0.6  # of the other descriptors, for clients; the rest is for backends
MAX_OVERFLOW = 16
CLIENTS_PER_OVERFLOW = 8
PREDECESSOR_FRACTION = 5 / 8  # of all descriptors, for the processes beside a newer one
PREDECESSOR_CLIENT_FRACTION = 0.75  # of a predecessor's descriptors that are not reserved, at most


class ConnectionLimits(NamedTuple):
    """Connections that a process may have."""

    clients: int
    backends: int


def overflow_limit(clients: int) -> int:
    """Return how many connections over the limit of clients a process accepts, to answer and close them."""
    return max(1, min(MAX_OVERFLOW, clients // CLIENTS_PER_OVERFLOW))


def connection_limits(descriptors: int) -> ConnectionLimits:
    """Return the limits of a process that may hold so many descriptors."""
    return _split(descriptors, int((descriptors - RESERVED_FDS) * CLIENT_FRACTION))


def predecessor_limits(descriptors: int, node_descriptors: int) -> ConnectionLimits:
    """Return the limits of a process beside a newer one: clients still have their connections here.

    Clients get a third of the node's descriptors at most.
    """
    clients = int((descriptors - RESERVED_FDS) * PREDECESSOR_CLIENT_FRACTION)
    return _split(descriptors, min(node_descriptors // 3, clients))


def _split(descriptors: int, wanted_clients: int) -> ConnectionLimits:
    available = descriptors - RESERVED_FDS - CLOSING_FDS
    clients = max(1, min(wanted_clients, available - 2))
    return ConnectionLimits(clients, max(1, available - clients - overflow_limit(clients)))
