"""Sockets of the stubs, which apply the network's faults to their traffic.

Each pair of parties has its own address, so a stub knows which node a connection comes from, and delays data
at its own end as the network would. A relay process between each pair was rejected: each byte would pass
through two more event loops, which would cost two thirds of the load that the harness can offer.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

from balancer.models.network import NetworkConditions
from balancer.net import socket_state

LISTEN_BACKLOG = 1024
TIMER_TOLERANCE_MS = 0.5
LINGER_RESET = struct.pack("ii", 1, 0)


class RunClock:
    """Clock in ms since the run's first possible arrival; all processes of a run share its zero."""

    def __init__(self, read_s: Callable[[], float] = time.monotonic) -> None:
        """Start the clock at zero; `read_s` returns the present time in seconds."""
        self.read_s = read_s
        self.zero = read_s()

    def now(self) -> float:
        """Return the milliseconds since the run's zero."""
        return (self.read_s() - self.zero) * 1000


class Segment(NamedTuple):
    """Bytes in transit: times in ms at which they are delivered, and were written or received."""

    arrives_at: float
    at: float  # Bytes that were read late count from their arrival in the kernel.
    data: bytes | None  # None as data marks the end of the stream.


class ImpairedConnection(asyncio.Protocol):
    """One end of a TCP connection between the parties named `me` and `peer`."""

    def __init__(self, network: NetworkConditions, clock: RunClock, me: str, peer: str) -> None:
        """Create the connection of party `me` with party `peer`, not yet established."""
        self.network, self.clock, self.me, self.peer = network, clock, me, peer
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.inward: deque[Segment] = deque()
        self.outward: deque[Segment] = deque()
        self.timers: dict[bool, asyncio.TimerHandle] = {}
        self.read_at = 0.0  # The bytes now being delivered arrived at the socket at this time.
        self.closed_at = 0.0  # The socket reported the peer's close at this time; 0 before that.

    # --- methods that subclasses override or call

    def up(self) -> None:
        """Handle an established connection."""

    def received(self, data: bytes) -> None:
        """Handle received bytes."""

    def ended(self) -> None:
        """Handle a connection that the peer has closed or that broke."""

    def peer_closed(self) -> None:
        """Handle the end of the peer's stream when the socket reports it, before the network's delay."""

    def send(self, data: bytes) -> None:
        """Send bytes, subject to the conditions of the network."""
        self._transmit(self.outward, data, False)

    def finish(self) -> None:
        """Close the connection once all bytes are written."""
        self._transmit(self.outward, None, False)

    def reset(self) -> None:
        """Reset the connection at once, without sending what is queued."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is None:  # The event loop closed the socket and has yet to call connection_lost.
                return
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()

    # --- callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        # Transports of uvloop do not derive from asyncio.Transport, so only a cast works for both loops.
        self.transport, self.open = cast(asyncio.Transport, transport), True
        self.network.watchers.append(self._changed)
        self.up()

    def data_received(self, data: bytes) -> None:
        """Deliver received bytes after the delay of the network."""
        self._transmit(self.inward, data, True, self._unread_ms())

    def eof_received(self) -> bool:
        """Deliver the end of the peer's stream after the delay of the network."""
        self._closed()
        self._transmit(self.inward, None, True)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Deliver bytes that are still queued, unless the link is cut, and end the connection."""
        if not self.open:
            return
        self.open = False
        with contextlib.suppress(ValueError):
            self.network.watchers.remove(self._changed)
        for timer in self.timers.values():
            timer.cancel()
        self._closed()
        self.outward.clear()
        if not self.network.conditions(self.peer, self.me).cut:
            for piece in list(self.inward):
                if piece.data is not None:
                    self.read_at = piece.at
                    self.received(piece.data)
        self.inward.clear()
        self.ended()

    def _closed(self) -> None:
        self.closed_at = self.closed_at or self.clock.now()
        self.peer_closed()

    def _unread_ms(self) -> float:
        """Return for how many ms the bytes that were just read had lain unread in the kernel."""
        if self.transport is None or self.transport.get_extra_info("socket") is None:
            return 0.0  # The event loop closed the socket and has yet to call connection_lost.
        return socket_state.ms_since_last_data(self.transport) or 0.0

    # --- delays and cuts of the simulated network

    def _transmit(
        self, queue: deque[Segment], data: bytes | None, inward: bool, unread_ms: float = 0.0
    ) -> None:
        if not self.open:
            return
        sender, receiver = (self.peer, self.me) if inward else (self.me, self.peer)
        link, now = self.network.conditions(sender, receiver), self.clock.now()
        if link.is_unimpaired and not queue:
            self._deliver(Segment(now, now - unread_ms, data), inward)
            return
        arrives_at = now + self.network.tcp_delay_ms(link, len(data or b""))
        delivered_at = max(arrives_at, queue[-1].arrives_at) if queue else arrives_at
        queue.append(Segment(delivered_at, now - unread_ms, data))
        if len(queue) == 1:
            self._arm(inward)

    def _arm(self, inward: bool) -> None:
        queue = self.inward if inward else self.outward
        wait = (queue[0].arrives_at - self.clock.now()) / 1000
        self.timers[inward] = asyncio.get_running_loop().call_later(max(0.0, wait), self._deliver_due, inward)

    def _deliver_due(self, inward: bool) -> None:
        queue = self.inward if inward else self.outward
        sender, receiver = (self.peer, self.me) if inward else (self.me, self.peer)
        if self.network.conditions(sender, receiver).cut:
            return  # Delivery resumes when the network conditions change.
        # The event loop counts whole milliseconds: segments due within half a millisecond are delivered now.
        while queue and queue[0].arrives_at <= self.clock.now() + TIMER_TOLERANCE_MS:
            self._deliver(queue.popleft(), inward)
        if queue and self.open:
            self._arm(inward)

    def _changed(self) -> None:
        for inward, queue in ((True, self.inward), (False, self.outward)):
            if queue:
                if inward in self.timers:
                    self.timers[inward].cancel()
                self._arm(inward)

    def _deliver(self, piece: Segment, inward: bool) -> None:
        data = piece.data
        if inward:
            self.read_at = piece.at
            if data is None:
                self.ended()
                if self.transport is not None:
                    self.transport.close()
            else:
                self.received(data)
        elif self.transport is not None and not self.transport.is_closing():
            if data is None:
                self.transport.close()
            else:
                # The event loop may have closed the socket without having called connection_lost yet.
                with contextlib.suppress(RuntimeError):
                    self.transport.write(data)


class ImpairedListener:
    """A listening socket that can refuse connections or leave them unaccepted."""

    def __init__(self, address: tuple[str, int], protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        """Create a closed listener; `protocol_factory` returns the protocol of a new connection."""
        self.address, self.protocol_factory = address, protocol_factory
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start to listen; raises OSError if the address cannot be bound."""
        if self.sock is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(self.address)
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._accept)

    def close(self) -> None:
        """Stop listening, so that new connections are refused."""
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
        self._drop_fillers()

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Leave new connections unaccepted by filling the kernel's accept queue, or accept them again."""
        if self.sock is None or unresponsive == bool(self.fillers):
            return
        loop = asyncio.get_running_loop()
        if unresponsive:
            loop.remove_reader(self.sock.fileno())
            self._accept()  # Connections that are already queued are still accepted.
            self.sock.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self.fillers.append(filler)
            return
        while True:  # Empty the queue of fillers; a real connection that preceded them is reset.
            try:
                self.sock.accept()[0].close()
            except BlockingIOError:
                break
        self._drop_fillers()
        self.sock.listen(LISTEN_BACKLOG)
        loop.add_reader(self.sock.fileno(), self._accept)

    def _drop_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self.sock is not None:
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, ConnectionError):
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(loop.connect_accepted_socket(self.protocol_factory, connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
