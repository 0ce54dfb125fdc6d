"""Test descriptor limits: discovery, backends and the console stay reachable while clients use all the rest.

As in production, the node process may open only as many descriptors as its configuration allows.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from balancer.net.client_connection import ClientConnection
from balancer.net.config import Config, load
from balancer.net.connection_limits import CLOSING_FDS, RESERVED_FDS, overflow_limit
from balancer.net.console import MAX_CONNECTIONS
from balancer.net.descriptor_shares import apply_limits, fallback_limits
from balancer.net.listener import LISTEN_BACKLOG, Listener
from balancer.net.node import Node
from tests.sockets import (
    LONG_DEADLINES,
    Backend,
    FakeDiscovery,
    Message,
    Rig,
    echo,
    node_config,
    started_node,
    wait_until_async,
)

SOCKETS = 128
INCOMPLETE_HEAD = b"GET /read HTTP/1.1\r\nHost:"


async def never_respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Receive a request and send no response."""


class LateDiscovery(FakeDiscovery):
    """Discovery that is down at first: its port is bound, but it does not listen."""

    def __init__(self) -> None:
        super().__init__()
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, sock=self.sock)


def write_node_config(tmp: Path, members: list[dict[str, Any]], discovery: int, **more: Any) -> Config:
    """Write a node configuration to a file, and load it as a node does."""
    path, discovery_mode = tmp / "config.json", more.pop("discovery_mode", "automatic")
    table = node_config(members, discovery, **more)
    table["settings"]["discovery"] = discovery_mode
    path.write_text(json.dumps(table))
    return load({"PROXY_CONFIG": str(path)})


@contextlib.asynccontextmanager
async def limited_node(
    tmp: Path, discovery: FakeDiscovery, *backends: Backend, **more: Any
) -> AsyncIterator[Rig]:
    """Run a node with a console that may hold at most `SOCKETS` descriptors.

    Each backend is listed under many ids, because the node limits the requests in flight to one endpoint.
    """
    for backend in backends:
        await backend.start()
    more = {"sockets": SOCKETS, "console": "127.0.0.1:0"} | more
    members = [b.list_entry(id=f"{b.name}-{number}") for b in backends for number in range(SOCKETS)]
    write_node_config(tmp, members, discovery.port, **more)
    async with started_node(tmp / "config.json", discovery) as rig:
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        yield rig
    for backend in backends:
        backend.stop()


def count_open_descriptors(rig: Rig) -> int:
    """Return the number of open descriptors of the node process."""
    return len(list(Path(f"/proc/{rig.process.pid}/fd").iterdir()))


def cpu_ticks(rig: Rig) -> int:
    """Return the CPU time of the node process in ticks of 10 ms."""
    fields = Path(f"/proc/{rig.process.pid}/stat").read_text().rpartition(") ")[2].split()
    return int(fields[11]) + int(fields[12])


class ConnectionFlood:
    """Many client connections that stay open unless the node closes them."""

    def __init__(self) -> None:
        self.socks: list[socket.socket] = []

    def connect(self, port: int, count: int, send: bytes = b"") -> None:
        """Open `count` more connections without waiting for the node to accept them."""
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            self.socks.append(sock)
            with contextlib.suppress(BlockingIOError):
                sock.connect(("127.0.0.1", port))
            if send:
                with contextlib.suppress(OSError):
                    sock.send(send)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.socks:
            sock.close()


def flood_idle(rig: Rig, flood: ConnectionFlood) -> None:
    """Open connections that send nothing."""
    flood.connect(rig.port, 2 * SOCKETS)


def flood_incomplete_heads(rig: Rig, flood: ConnectionFlood) -> None:
    """Open connections that send an incomplete head."""
    flood.connect(rig.port, 2 * SOCKETS, INCOMPLETE_HEAD)


def flood_backlog(rig: Rig, flood: ConnectionFlood) -> None:
    """Fill the accept queue completely while the node is stopped."""
    rig.process.send_signal(signal.SIGSTOP)
    flood.connect(rig.port, LISTEN_BACKLOG, INCOMPLETE_HEAD)
    rig.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("attack", [flood_idle, flood_incomplete_heads, flood_backlog])
@pytest.mark.parametrize("discovery_mode", ["automatic", "subscribe"])
async def test_discovery_backends_and_console_are_reachable_from_a_full_node(
    tmp_path: Path, attack: Callable[[Rig, ConnectionFlood], None], discovery_mode: str
) -> None:
    """Clients, backends and operators use all their descriptors when discovery becomes available again."""
    discovery, flood = LateDiscovery(), ConnectionFlood()
    old, new = Backend("b0", never_respond), Backend("b1")
    await new.start()
    async with limited_node(tmp_path, discovery, old, discovery_mode=discovery_mode, **LONG_DEADLINES) as rig:
        upstream = load({"PROXY_CONFIG": str(rig.config)}).limits_per_process(1)[1]
        for _ in range(upstream - 1):  # One connection is left for the backend that is not listed yet.
            (await rig.connect()).send("/read")
            await old.requests.get()
        flood.connect(rig.console_port, 2 * MAX_CONNECTIONS)
        attack(rig, flood)
        await rig.stats()  # The response shows that the node has processed the earlier connections.
        await discovery.start()
        await asyncio.wait_for(discovery.watch_targets.get(), 10)
        assert count_open_descriptors(rig) <= SOCKETS - 1
        discovery.send_update(50, new.list_entry(), complete=True)

        async def served() -> bool:
            client = await rig.connect()
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                return (await client.request("/read")).body.startswith(b"b1 ")
            return False  # Connections with incomplete heads are closed after a timeout.

        assert await wait_until_async(served)
        assert (await rig.call_console("/healthcheck")).status == 200
        flood.close()
    new.stop()
    assert discovery.server is not None
    discovery.server.close()


@pytest.mark.parametrize("sockets", [64, 128, 256, 1024, 4096])
def test_sum_of_all_limits_is_within_the_descriptors_of_the_node(tmp_path: Path, sockets: int) -> None:
    config = write_node_config(tmp_path, [], 1, sockets=sockets)
    clients, upstream = config.limits_per_process(1)
    assert clients + overflow_limit(clients) + CLOSING_FDS + upstream + RESERVED_FDS <= sockets
    if sockets >= 4 * RESERVED_FDS:  # The descriptors suffice for two processes during an upgrade.
        # A client is connected to one of the two processes, so its descriptor counts once.
        clients, upstream = config.limits_per_process(2)
        assert clients + 2 * (overflow_limit(clients) + CLOSING_FDS + upstream + RESERVED_FDS) <= sockets


async def test_accepting_without_free_descriptors_neither_spins_nor_logs_nor_stops(tmp_path: Path) -> None:
    """Guards against a busy loop, log lines or an end of accepting when no descriptor is free."""
    discovery = FakeDiscovery()
    await discovery.start()
    async with limited_node(tmp_path, discovery, Backend("b0")) as rig:
        await discovery.watch_targets.get()
        before = count_open_descriptors(rig)
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (before, SOCKETS))
        for _ in range(20):
            client = await rig.connect()
            with contextlib.suppress(ConnectionResetError):
                assert await client.read_until_closed() == b""
        ticks = cpu_ticks(rig)
        await asyncio.sleep(0.5)  # The CPU time is measured over 0.5 s.
        assert cpu_ticks(rig) - ticks < 10 and count_open_descriptors(rig) == before
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        assert (await (await rig.connect()).request("/read")).status == 200
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        assert not any("WARNING" in line or "ERROR" in line for line in rig.log)
    assert discovery.server is not None
    discovery.server.close()


async def test_connections_that_replace_others_need_no_more_descriptors(tmp_path: Path) -> None:
    """The node reads a new list and requests at once, before it has released the old connections."""
    go, discovery, new = asyncio.Event(), FakeDiscovery(), Backend("b1")

    async def respond_together(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    await discovery.start()
    await new.start()
    old = Backend("b0", respond_together)
    async with limited_node(tmp_path, discovery, old, **LONG_DEADLINES) as rig:
        await discovery.watch_targets.get()
        clients = [
            await rig.connect()
            for _ in range(load({"PROXY_CONFIG": str(rig.config)}).limits_per_process(1)[1])
        ]
        for client in clients:
            client.send("/read")
            await old.requests.get()
        go.set()
        for client in clients:
            assert (await client.read_response()).status == 200
        most = count_open_descriptors(rig) + 2  # The search for other processes opens files.
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (most, SOCKETS))
        rig.process.send_signal(signal.SIGSTOP)
        members = [new.list_entry(id=f"b1-{number}") for number in range(SOCKETS)]
        discovery.send_update(50, *members, complete=True)
        assert discovery.writer is not None
        await discovery.writer.drain()
        for client in clients:
            client.send("/read")
            await client.writer.drain()
        rig.process.send_signal(signal.SIGCONT)
        for client in clients:
            assert (await client.read_response()).status == 200
    new.stop()
    assert discovery.server is not None
    discovery.server.close()


# --- choice of the connection to close


async def test_new_client_is_served_while_the_evicted_connection_is_closing(tmp_path: Path) -> None:
    """The node reads the request of the new client before the evicted connection is closed."""
    discovery = FakeDiscovery()
    await discovery.start()
    async with limited_node(tmp_path, discovery, Backend("b0")) as rig:
        clients = [
            await rig.connect()
            for _ in range(load({"PROXY_CONFIG": str(rig.config)}).limits_per_process(1)[0])
        ]
        for client in clients:
            assert (await client.request("/read")).status == 200
        for number in range(8):
            rig.process.send_signal(signal.SIGSTOP)
            last = await rig.connect()
            last.send("/read")
            await last.writer.drain()
            rig.process.send_signal(signal.SIGCONT)
            assert (await last.read_response()).status == 200
            assert await clients[number].read_until_closed() == b""
    assert discovery.server is not None
    discovery.server.close()


class FakeTransport(asyncio.Transport):
    """Transport of a client connection with a given number of unsent bytes; `client` is the other end."""

    def __init__(self, unsent: int = 0) -> None:
        super().__init__()
        self.sock, self.client = socket.socketpair()
        # After `write_eof` the connection is half-closed and lingers.
        self.unsent, self.half_closed, self.aborted = unsent, False, False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.sock

    def get_write_buffer_size(self) -> int:
        return self.unsent

    @property
    def closed(self) -> bool:
        """Whether the node has closed the connection or its own side of it."""
        return self.half_closed or self.aborted

    def is_closing(self) -> bool:
        return self.aborted

    def write_eof(self) -> None:
        self.half_closed = True

    def abort(self) -> None:
        self.aborted = True


def create_listener(tmp: Path, limit: int) -> Listener:
    """Create a listener that does not listen and allows `limit` connections."""
    return Listener(Node(write_node_config(tmp, [], 1)), limit)


def add_connection(listener: Listener, unsent: int = 0) -> FakeTransport:
    """Add an accepted connection to the listener."""
    transport = FakeTransport(unsent)
    ClientConnection(listener).connection_made(transport)
    return transport


async def test_connection_with_an_unread_request_is_not_evicted(tmp_path: Path) -> None:
    """Guards against evicting a connection with an unread request: the next longest idle one is closed."""
    listener = create_listener(tmp_path, 3)
    first, second, third = (add_connection(listener) for _ in range(3))
    first.client.send(b"GET /read HTTP/1.1\r\n")
    last = add_connection(listener)
    assert [t.closed for t in (first, second, third, last)] == [False, True, False, False]
    assert not listener.is_over_limit


async def test_clients_that_read_nothing_do_not_exhaust_the_descriptors(tmp_path: Path) -> None:
    """Guards against more descriptors than allowed for lingering connections of clients that read nothing.

    New clients are turned away then: closing one of the others would cut off its response.
    """
    listener = create_listener(tmp_path, 16)
    slow = [add_connection(listener, unsent=1) for _ in range(16)]
    late = [add_connection(listener, unsent=1) for _ in range(overflow_limit(16))]
    assert [transport.closed for transport in slow] == [True] * overflow_limit(16) + [False] * (
        16 - overflow_limit(16)
    )
    assert not listener.is_over_limit and not any(transport.closed for transport in late)
    for _ in range(64):
        last = add_connection(listener, unsent=1)
        assert last.aborted and not listener.is_over_limit
        assert len(listener.connections) + len(listener.lingering) == 16 + overflow_limit(16)
    assert not any(transport.aborted for transport in slow + late)  # No response is cut off.
    slow[1].unsent = 0
    assert not add_connection(listener).closed and slow[1].aborted
    assert len(listener.connections) + len(listener.lingering) == 16 + overflow_limit(16)
    assert not any(transport.aborted for transport in [slow[0], *slow[2:], *late])


async def test_connection_lingering_longest_is_aborted_at_the_limit(tmp_path: Path) -> None:
    listener = create_listener(tmp_path, 16)
    idle = [add_connection(listener) for _ in range(15)]
    rest = [add_connection(listener) for _ in range(overflow_limit(16) + 1)]
    last = add_connection(listener)
    assert not any(transport.closed for transport in (*rest, last))
    assert [transport.closed for transport in idle] == [True] * (overflow_limit(16) + 1) + [False] * (
        14 - overflow_limit(16)
    )
    assert [transport.aborted for transport in idle] == [True] + [False] * 14


async def test_connection_that_still_sends_is_neither_displaced_nor_aborted_before_others(
    tmp_path: Path,
) -> None:
    """Guards against ending the connection of a slow client because its last request is the oldest."""
    listener = create_listener(tmp_path, 16)
    slow = [add_connection(listener, unsent=1) for _ in range(15)]
    rest = [add_connection(listener) for _ in range(overflow_limit(16) + 2)]
    for _ in range(64):
        rest.append(add_connection(listener))
        assert len(listener.connections) == 16 and not rest[-1].closed
        assert len(listener.connections) + len(listener.lingering) == 16 + overflow_limit(16)
    assert not any(transport.closed for transport in slow)


async def test_connections_over_the_limit_do_not_raise_the_limit_beside_a_successor(tmp_path: Path) -> None:
    """Guards against counting connections over the limit as part of the lowered limit of a predecessor."""
    config = write_node_config(tmp_path, [], 1, sockets=256)
    clients, upstream = config.limits_per_process(1)
    listener = Listener(Node(config), clients)
    for _ in range(clients + overflow_limit(clients)):
        add_connection(listener, unsent=1)
    listener.node.pool.connection_count = upstream
    for _ in range(2):
        apply_limits(listener.node, listener, fallback_limits(listener.node, True))
        add_connection(listener, unsent=1)
        assert (
            listener.limit
            + overflow_limit(listener.limit)
            + CLOSING_FDS
            + listener.node.pool.limit
            + RESERVED_FDS
            <= 256
        )
    apply_limits(listener.node, listener, fallback_limits(listener.node, False))
    assert (listener.limit, listener.node.pool.limit) == (clients, upstream)


async def test_two_processes_of_a_node_stay_within_one_descriptor_limit(tmp_path: Path) -> None:
    """Idle connections fill the first process before the second starts, and then that one."""
    config = write_node_config(tmp_path, [], 1, sockets=256)
    clients, upstream = config.limits_per_process(1)
    old, new = Listener(Node(config), clients), Listener(Node(config), clients)
    for _ in range(clients):
        add_connection(old)
    old.node.pool.connection_count = upstream
    total = 0
    for listener in (old, new):
        apply_limits(listener.node, listener, fallback_limits(listener.node, True))
        total += (
            listener.limit
            + overflow_limit(listener.limit)
            + CLOSING_FDS
            + listener.node.pool.limit
            + RESERVED_FDS
        )
    assert total <= 256, total
