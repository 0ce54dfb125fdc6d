"""The tier's port: the one socket between nodes, shared by the rooms. It decides nothing.

A room registers the kinds of its datagrams: one byte, which stands at the same place in the head of all of
them (see `messages`). What comes from no address of `peers`, and what is of a kind that no room has, is
counted and dropped: a peer of a later version may have rooms that this one lacks.

One budget bounds what a node sends whatever its rooms think they need. Membership goes first: the others may
spend half of what can be saved up, so that a room in trouble never makes its node look dead.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from balancer.errors import BalancerError

log = logging.getLogger(__name__)

Address = tuple[str, int]
Take = Callable[[int, bytes], None]  # the node from whose address a datagram came, and its bytes
KIND = 5  # the byte that says of which kind a datagram is
MEMBERSHIP = range(16)  # kinds: those that there are, and room for later ones
RECOVERY = range(16, 32)
MOST = 100.0  # datagrams a second, and as many at once; membership alone usually sends 2.9


class SocketError(BalancerError):
    """The socket between nodes cannot be had."""

    code = "MEM01"
    remedy = "see who has the address of peer_listen (ss -lunp) and end that, then start the node again"


@dataclass(slots=True, frozen=True)
class Moved:
    """What another list of addresses brings: how many nodes, and at which numbers others are at home now."""

    count: int
    replaced: frozenset[int]


class Port(asyncio.DatagramProtocol):
    """The socket of one node."""

    def __init__(self, listen: Address, peers: list[Address], everybody: Address) -> None:
        self.listen, self.peers, self.everybody = listen, peers, everybody
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.counts: Counter[str] = Counter()
        self._number = {address: node for node, address in enumerate(peers)}
        self._rooms: dict[int, tuple[Take, float]] = {}  # by kind; what must be left over when it sends
        self._saved, self._saved_at = MOST, self.loop.time()

    def register(self, kinds: range, take: Take, first: bool = False) -> None:
        """Datagrams of these kinds are a room's; a room that goes `first` may spend all of the budget."""
        self._rooms |= dict.fromkeys(kinds, (take, 0.0 if first else MOST / 2))

    @property
    def open(self) -> bool:
        """Whether it has its socket."""
        return self.transport is not None and not self.transport.is_closing()

    async def bind(self) -> None:
        """Listen. Raises SocketError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        try:
            sock.setblocking(False)
            sock.bind(self.listen)
        except OSError as err:
            sock.close()
            raise SocketError(f"{self.listen[0]}:{self.listen[1]}: {err}") from None
        self.transport, _ = await self.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """A datagram counts only if it comes from an address of `peers`."""
        node = self._number.get((addr[0], addr[1]))
        if node is None:
            self.counts["foreign"] += 1
        elif len(data) <= KIND or (room := self._rooms.get(data[KIND])) is None:
            self.counts["unknown"] += 1
        else:
            room[0](node, data)

    def error_received(self, exc: Exception) -> None:
        """A peer's machine refused: its silence says as much."""

    def send(self, node: int | None, data: bytes) -> None:
        """Send to one node, or to all where it is None. Past the budget it is dropped, as by a link."""
        if not self.open or (node is not None and node >= len(self.peers)):
            return
        now = self.loop.time()
        self._saved = min(MOST, self._saved + (now - self._saved_at) * MOST)
        self._saved_at = now
        if self._saved < 1.0 + self._rooms[data[KIND]][1]:
            self.counts["over_budget"] += 1
            return
        self._saved -= 1.0
        self.counts["sent"] += 1
        assert self.transport is not None
        self.transport.sendto(data, self.everybody if node is None else self.peers[node])

    def move(self, peers: list[Address], everybody: Address) -> Moved | None:
        """The tier has another list of addresses, by node; None where it is the same as before.

        A node whose address has changed is another one: what was known of the one before is to be forgotten.
        """
        held, self.peers, self.everybody = self.peers, peers, everybody
        self._number = {address: node for node, address in enumerate(peers)}
        if peers == held:
            return None
        both = min(len(peers), len(held))
        return Moved(len(peers), frozenset(m for m in range(both) if peers[m] != held[m]))

    def close(self) -> None:
        """Fall silent."""
        if self.transport is not None:
            self.transport.close()

    def stats(self) -> dict[str, int]:
        """What operators are shown."""
        return {name: self.counts[name] for name in ("sent", "over_budget", "foreign", "unknown")}
