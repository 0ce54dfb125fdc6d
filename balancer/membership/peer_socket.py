"""UDP socket between nodes, shared by the membership and recovery protocols.

Each protocol registers the kinds of its datagrams. The kind is one byte at the same offset in every header.
Datagrams from an address that is not in `peers` are counted and dropped, and so are datagrams of an
unregistered kind: a peer of a later version may run protocols that this version lacks.

One rate limit applies to all datagrams that a node sends. Membership has priority: the other protocols may
use only half of a burst, so that their load never makes the node look dead.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from balancer.errors import BalancerError

Address = tuple[str, int]
# A handler receives the number of the node from whose address a datagram came, and the datagram's bytes.
DatagramHandler = Callable[[int, bytes], None]
KIND_OFFSET = 5
MEMBERSHIP_KINDS = range(16)
RECOVERY_KINDS = range(16, 32)
# The token bucket for outgoing datagrams holds a burst of one second at its refill rate.
MAX_DATAGRAMS_PER_S = 100.0
RESERVED_FOR_PRIORITY = MAX_DATAGRAMS_PER_S / 2


class SocketError(BalancerError):
    """The UDP socket between nodes cannot be bound."""

    code = "MEM01"
    remedy = "find the process that uses the address peer_listen (ss -lunp), stop it and restart the node"


@dataclass(slots=True, frozen=True)
class PeerListChange:
    """A change of the peer list: its new length, and the numbers of nodes whose address has changed."""

    count: int
    replaced: frozenset[int]


@dataclass(slots=True, frozen=True)
class RegisteredProtocol:
    """Handler for datagrams of a kind, and the number of tokens that its sends must leave to others."""

    handler: DatagramHandler
    reserve: float


class PeerSocket(asyncio.DatagramProtocol):
    """A node's UDP socket, with a rate limit on sending and dispatch of received datagrams by kind."""

    def __init__(self, listen: Address, peers: list[Address], broadcast_address: Address) -> None:
        """Create an unbound socket; `peers` lists the addresses of all nodes by node number."""
        self.listen = listen
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._node_by_address = {address: node for node, address in enumerate(peers)}
        self._protocol_by_kind: dict[int, RegisteredProtocol] = {}
        self._tokens = MAX_DATAGRAMS_PER_S
        self._refilled_s = self._loop.time()

    def register(self, kinds: range, handler: DatagramHandler, has_priority: bool = False) -> None:
        """Dispatch datagrams of these kinds to `handler`; with priority, it may use the full send rate."""
        reserve = 0.0 if has_priority else RESERVED_FOR_PRIORITY
        self._protocol_by_kind |= dict.fromkeys(kinds, RegisteredProtocol(handler, reserve))

    @property
    def is_open(self) -> bool:
        """Whether the socket is bound and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    async def bind(self) -> None:
        """Bind the socket to its address. Raises SocketError if the address is not available."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        try:
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as err:
            sock.close()
            raise SocketError(
                f"{self.listen[0]}:{self.listen[1]}: cannot bind the UDP socket: {err}"
            ) from None
        self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Dispatch a peer's datagram to the protocol registered for its kind."""
        node = self._node_by_address.get((addr[0], addr[1]))
        if node is None:
            self.counts["foreign"] += 1
            return
        protocol = self._protocol_by_kind.get(data[KIND_OFFSET]) if len(data) > KIND_OFFSET else None
        if protocol is None:
            self.counts["unknown"] += 1
            return
        protocol.handler(node, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors, because the failure detector notices a silent peer."""

    def send(self, node: int | None, data: bytes) -> None:
        """Send to one node, or broadcast if `node` is None; drop the datagram beyond the rate limit."""
        if not self.is_open or (node is not None and node >= len(self.peers)):
            return
        self._refill()
        if self._tokens < 1.0 + self._protocol_by_kind[data[KIND_OFFSET]].reserve:
            self.counts["over_budget"] += 1
            return
        self._tokens -= 1.0
        self.counts["sent"] += 1
        assert self._transport is not None
        self._transport.sendto(data, self.broadcast_address if node is None else self.peers[node])

    def change_peers(self, peers: list[Address], broadcast_address: Address) -> PeerListChange | None:
        """Replace the peer addresses and return the change, or None if they are the same.

        A node whose address has changed is a different node, so earlier knowledge of it is invalid.
        """
        old_peers = self.peers
        self.peers = peers
        self.broadcast_address = broadcast_address
        self._node_by_address = {address: node for node, address in enumerate(peers)}
        if peers == old_peers:
            return None
        in_both = range(min(len(peers), len(old_peers)))
        return PeerListChange(len(peers), frozenset(n for n in in_both if peers[n] != old_peers[n]))

    def close(self) -> None:
        """Close the socket if it is bound."""
        if self._transport is not None:
            self._transport.close()

    def stats(self) -> dict[str, int]:
        """Return the `port` counters of `/stats`."""
        return {name: self.counts[name] for name in ("sent", "over_budget", "foreign", "unknown")}

    def _refill(self) -> None:
        now_s = self._loop.time()
        earned = (now_s - self._refilled_s) * MAX_DATAGRAMS_PER_S
        self._tokens = min(MAX_DATAGRAMS_PER_S, self._tokens + earned)
        self._refilled_s = now_s
