"""The socket between nodes, shared by the protocols that run over it: membership, recovery.

A protocol registers the kinds of its datagrams: one byte, at the same offset in all of their headers.
Datagrams from an address that is not in `peers`, and those of an unregistered kind, are counted and dropped:
a peer of a later version may run protocols that this one lacks.

One rate limit bounds what a node sends. Membership has priority: the other protocols may spend half of a
burst, so that their load never makes the node look dead.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from balancer.errors import BalancerError

Address = tuple[str, int]
DatagramHandler = Callable[[int, bytes], None]  # the node from whose address a datagram came, and its bytes
KIND_OFFSET = 5
MEMBERSHIP_KINDS = range(16)
RECOVERY_KINDS = range(16, 32)
MAX_DATAGRAMS_PER_S = 100.0  # and as many in a burst
RESERVED_FOR_PRIORITY = MAX_DATAGRAMS_PER_S / 2


class SocketError(BalancerError):
    """The socket between nodes cannot be had."""

    code = "MEM01"
    remedy = "see who has the address of peer_listen (ss -lunp) and end that, then start the node again"


@dataclass(slots=True, frozen=True)
class PeerListChange:
    """A new list of addresses: how many nodes, and the numbers whose address is another one now."""

    count: int
    replaced: frozenset[int]


@dataclass(slots=True, frozen=True)
class RegisteredProtocol:
    """Who handles datagrams of a kind, and how many tokens must remain for others when it sends."""

    handler: DatagramHandler
    reserve: float


class PeerSocket(asyncio.DatagramProtocol):
    """The socket of one node."""

    def __init__(self, listen: Address, peers: list[Address], broadcast_address: Address) -> None:
        """Create a closed socket; `peers` has the address of each node by its number."""
        self.listen = listen
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._node_by_address = {address: node for node, address in enumerate(peers)}
        self._protocols: dict[int, RegisteredProtocol] = {}  # by kind
        self._tokens = MAX_DATAGRAMS_PER_S
        self._refilled_s = self._loop.time()

    def register(self, kinds: range, handler: DatagramHandler, has_priority: bool = False) -> None:
        """Give datagrams of these kinds to a protocol; one with priority may spend the whole rate limit."""
        reserve = 0.0 if has_priority else RESERVED_FOR_PRIORITY
        self._protocols |= dict.fromkeys(kinds, RegisteredProtocol(handler, reserve))

    @property
    def is_open(self) -> bool:
        """Whether datagrams can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    async def bind(self) -> None:
        """Listen. Raises SocketError if the address is not available."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        try:
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as err:
            sock.close()
            raise SocketError(f"{self.listen[0]}:{self.listen[1]}: {err}") from None
        self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Give a datagram from a peer to its protocol."""
        node = self._node_by_address.get((addr[0], addr[1]))
        if node is None:
            self.counts["foreign"] += 1
            return
        protocol = self._protocols.get(data[KIND_OFFSET]) if len(data) > KIND_OFFSET else None
        if protocol is None:
            self.counts["unknown"] += 1
            return
        protocol.handler(node, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals: the failure detector notices a silent peer."""

    def send(self, node: int | None, data: bytes) -> None:
        """Send to one node, or to all where it is None. Beyond the rate limit the datagram is dropped."""
        if not self.is_open or (node is not None and node >= len(self.peers)):
            return
        self._refill()
        if self._tokens < 1.0 + self._protocols[data[KIND_OFFSET]].reserve:
            self.counts["over_budget"] += 1
            return
        self._tokens -= 1.0
        self.counts["sent"] += 1
        assert self._transport is not None
        self._transport.sendto(data, self.broadcast_address if node is None else self.peers[node])

    def change_peers(self, peers: list[Address], broadcast_address: Address) -> PeerListChange | None:
        """Replace the list of addresses; return what changed, None if it is the same list.

        A node whose address has changed is another one: what was known of it is out of date.
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
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def stats(self) -> dict[str, int]:
        """Return the counts that operators are shown."""
        return {name: self.counts[name] for name in ("sent", "over_budget", "foreign", "unknown")}

    def _refill(self) -> None:
        now_s = self._loop.time()
        earned = (now_s - self._refilled_s) * MAX_DATAGRAMS_PER_S
        self._tokens = min(MAX_DATAGRAMS_PER_S, self._tokens + earned)
        self._refilled_s = now_s
