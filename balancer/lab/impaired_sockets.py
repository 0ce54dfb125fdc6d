"""Sockets of the stubs with the network's faults on them.

Each pair of parties has an address of its own, so a stub knows from which node a connection comes, and
holds back at its own end what the network would hold back. Not taken: a relay process between each pair,
which costs every byte two more trips through an event loop and with that two thirds of the load that the
harness can offer.
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

LISTEN_BACKLOG = 1024
TIMER_TOLERANCE_MS = 0.5
LINGER_RESET = struct.pack("ii", 1, 0)


class RunClock:
    """Milliseconds since the run's first possible arrival; all processes of a run share its zero."""

    def __init__(self, read: Callable[[], float] = time.monotonic) -> None:
        """Start at zero now; `read` gives seconds."""
        self.read = read  # s
        self.zero = read()

    def now(self) -> float:
        """Return the milliseconds since the run's zero."""
        return (self.read() - self.zero) * 1000


class Segment(NamedTuple):
    """Bytes in transit, ms: when they arrive, and when they were written or read from the socket."""

    arrives_at: float
    at: float
    data: bytes | None  # None: the end of the stream


class ImpairedConnection(asyncio.Protocol):
    """One end of a TCP connection between `me` and `peer`, each a party's name."""

    def __init__(self, network: NetworkConditions, clock: RunClock, me: str, peer: str) -> None:
        """Prepare a connection of party `me` with party `peer`."""
        self.network, self.clock, self.me, self.peer = network, clock, me, peer
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.inward: deque[Segment] = deque()
        self.outward: deque[Segment] = deque()
        self.timers: dict[bool, asyncio.TimerHandle] = {}
        self.came_at = 0.0  # when what is being received came off the socket
        self.closed_at = 0.0  # when the peer's end came off the socket; 0: it did not

    # --- for the party

    def up(self) -> None:
        """Handle that the connection is established."""

    def received(self, data: bytes) -> None:
        """Handle received bytes."""

    def ended(self) -> None:
        """Handle that the peer has closed, or that the connection broke."""

    def peer_closed(self) -> None:
        """Handle the end of the peer's stream as the socket has it, before the network's delay."""

    def send(self, data: bytes) -> None:
        """Write, subject to the conditions of the network."""
        self._pass(self.outward, data, False)

    def finish(self) -> None:
        """Close once everything is written."""
        self._pass(self.outward, None, False)

    def reset(self) -> None:
        """Reset the connection now."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is None:  # the loop has closed it, and is yet to say so
                return
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()

    # --- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio)."""
        self.transport, self.open = cast(asyncio.Transport, transport), True  # no subclass under uvloop
        self.network.watchers.append(self._changed)
        self.up()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on after the delay of the network (asyncio)."""
        self._pass(self.inward, data, True)

    def eof_received(self) -> bool:
        """Pass the end on after the delay of the network (asyncio)."""
        self._closed()
        self._pass(self.inward, None, True)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Deliver what has arrived, and end (asyncio)."""
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
                    self.came_at = piece.at
                    self.received(piece.data)
        self.inward.clear()
        self.ended()

    def _closed(self) -> None:
        self.closed_at = self.closed_at or self.clock.now()
        self.peer_closed()

    # --- the network

    def _pass(self, queue: deque[Segment], data: bytes | None, inward: bool) -> None:
        if not self.open:
            return
        here, there = (self.peer, self.me) if inward else (self.me, self.peer)
        link, now = self.network.conditions(here, there), self.clock.now()
        if link.is_unimpaired and not queue:
            self._deliver(Segment(now, now, data), inward)
            return
        arrives_at = now + self.network.tcp_delay_ms(link, len(data or b""))
        queue.append(Segment(max(arrives_at, queue[-1].arrives_at) if queue else arrives_at, now, data))
        if len(queue) == 1:
            self._arm(inward)

    def _arm(self, inward: bool) -> None:
        queue = self.inward if inward else self.outward
        wait = (queue[0].arrives_at - self.clock.now()) / 1000
        self.timers[inward] = asyncio.get_running_loop().call_later(max(0.0, wait), self._deliver_due, inward)

    def _deliver_due(self, inward: bool) -> None:
        queue = self.inward if inward else self.outward
        here, there = (self.peer, self.me) if inward else (self.me, self.peer)
        if self.network.conditions(here, there).cut:
            return  # goes on when the conditions change
        # The loop counts whole milliseconds: what is due within the half of one goes now.
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
            self.came_at = piece.at
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
                with contextlib.suppress(RuntimeError):  # the loop has closed it, and is yet to say so
                    self.transport.write(data)


class ImpairedListener:
    """A listening socket that can refuse connections, or let them never come up."""

    def __init__(self, address: tuple[str, int], make: Callable[[], asyncio.Protocol]) -> None:
        """Prepare a listener; `make` gives the protocol of a connection."""
        self.address, self.make = address, make
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Listen. Raises OSError."""
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
        """Refuse connections from now on."""
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
        self._drop_fillers()

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Let new connections never come up, by a full accept queue of the kernel; or let them again."""
        if self.sock is None or unresponsive == bool(self.fillers):
            return
        loop = asyncio.get_running_loop()
        if unresponsive:
            loop.remove_reader(self.sock.fileno())
            self._accept()  # these came before
            self.sock.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self.fillers.append(filler)
            return
        while True:  # the fillers, and whoever slipped in before them: for him the connection resets
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
            task = loop.create_task(loop.connect_accepted_socket(self.make, connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
