"""Whoever holds the descriptors: the list, a backend's connection and the console can still be had.

The node may hold no more descriptors than its configuration names, as on the platform.
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
HALF = b"GET /read HTTP/1.1\r\nHost:"


async def never_respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer nothing."""


class LateDiscovery(FakeDiscovery):
    """Discovery that is down at first: its port is taken, and nobody listens."""

    def __init__(self) -> None:
        super().__init__()
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]

    async def start(self) -> None:
        """Listen: it is back."""
        self.server = await asyncio.start_server(self._serve, sock=self.sock)


def write_node_config(tmp: Path, members: list[dict[str, Any]], discovery: int, **more: Any) -> Config:
    """A configuration, left in a file as the node reads it."""
    path, asking = tmp / "config.json", more.pop("asking", "automatic")
    told = node_config(members, discovery, **more)
    told["settings"]["discovery"] = asking
    path.write_text(json.dumps(told))
    return load({"PROXY_CONFIG": str(path)})


@contextlib.asynccontextmanager
async def limited_node(
    tmp: Path, discovery: FakeDiscovery, *backends: Backend, **more: Any
) -> AsyncIterator[Rig]:
    """A node with a console that may hold `SOCKETS` descriptors and no more.

    It knows these backends, each by many names: it limits what it sends to one.
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
    """Descriptors of the node."""
    return len(list(Path(f"/proc/{rig.process.pid}/fd").iterdir()))


def cpu_ticks(rig: Rig) -> int:
    """Processor time of the node, in ticks of 10 ms."""
    fields = Path(f"/proc/{rig.process.pid}/stat").read_text().rpartition(") ")[2].split()
    return int(fields[11]) + int(fields[12])


class ConnectionFlood:
    """Connections that are held, and may be closed by the node."""

    def __init__(self) -> None:
        self.socks: list[socket.socket] = []

    def connect(self, port: int, count: int, send: bytes = b"") -> None:
        """So many more; none waits for the node to accept it."""
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
        """All go."""
        for sock in self.socks:
            sock.close()


def idle(rig: Rig, crowd: ConnectionFlood) -> None:
    """Connections that send nothing."""
    crowd.connect(rig.port, 2 * SOCKETS)


def half(rig: Rig, crowd: ConnectionFlood) -> None:
    """Connections that send half a head."""
    crowd.connect(rig.port, 2 * SOCKETS, HALF)


def burst(rig: Rig, crowd: ConnectionFlood) -> None:
    """The whole backlog at once."""
    rig.process.send_signal(signal.SIGSTOP)
    crowd.connect(rig.port, LISTEN_BACKLOG, HALF)
    rig.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("attack", [idle, half, burst])
@pytest.mark.parametrize("asking", ["automatic", "subscribe"])
async def test_the_list_a_backend_and_the_console_can_be_had_from_a_full_node(
    tmp_path: Path, attack: Callable[[Rig, ConnectionFlood], None], asking: str
) -> None:
    """All that clients, backends and operators may hold is held when discovery returns."""
    discovery, crowd = LateDiscovery(), ConnectionFlood()
    old, new = Backend("b0", never_respond), Backend("b1")
    await new.start()
    async with limited_node(tmp_path, discovery, old, asking=asking, **LONG_DEADLINES) as rig:
        upstream = load({"PROXY_CONFIG": str(rig.config)}).limits_per_process(1)[1]
        for _ in range(upstream - 1):  # one is left for the backend that nobody knows yet
            (await rig.connect()).send("/read")
            await old.requests.get()
        crowd.connect(rig.console_port, 2 * MAX_CONNECTIONS)
        attack(rig, crowd)
        await rig.stats()  # the node has taken in what came before
        await discovery.start()
        await asyncio.wait_for(discovery.watch_targets.get(), 10)
        assert count_open_descriptors(rig) <= SOCKETS - 1
        discovery.send_update(50, new.list_entry(), complete=True)

        async def served() -> bool:
            client = await rig.connect()
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                return (await client.request("/read")).body.startswith(b"b1 ")
            return False  # half heads are let go after their time

        assert await wait_until_async(served)
        assert (await rig.call_console("/healthcheck")).status == 200
        crowd.close()
    new.stop()
    assert discovery.server is not None
    discovery.server.close()


@pytest.mark.parametrize("sockets", [64, 128, 256, 1024, 4096])
def test_all_that_may_be_held_is_within_the_limit(tmp_path: Path, sockets: int) -> None:
    config = write_node_config(tmp_path, [], 1, sockets=sockets)
    clients, upstream = config.limits_per_process(1)
    assert clients + overflow_limit(clients) + CLOSING_FDS + upstream + RESERVED_FDS <= sockets
    if sockets >= 4 * RESERVED_FDS:  # there is room for two
        clients, upstream = config.limits_per_process(
            2
        )  # the clients' connections are to the one or the other
        assert clients + 2 * (overflow_limit(clients) + CLOSING_FDS + upstream + RESERVED_FDS) <= sockets


async def test_accepting_without_descriptors_neither_spins_nor_logs_nor_stops(tmp_path: Path) -> None:
    """Ruled out: the loop closes what it cannot take and goes on."""
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
        await asyncio.sleep(0.5)  # the span that is measured
        assert cpu_ticks(rig) - ticks < 10 and count_open_descriptors(rig) == before
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        assert (await (await rig.connect()).request("/read")).status == 200
        rig.terminate()
        assert await rig.wait_for_exit() == 0
        assert not any("WARNING" in line or "ERROR" in line for line in rig.log)
    assert discovery.server is not None
    discovery.server.close()


async def test_connections_that_take_the_places_of_others_need_no_more_descriptors(tmp_path: Path) -> None:
    """A new list and requests are read in one turn, when the old backends' connections are not gone yet."""
    go, discovery, new = asyncio.Event(), FakeDiscovery(), Backend("b1")

    async def together(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    await discovery.start()
    await new.start()
    old = Backend("b0", together)
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
        most = count_open_descriptors(rig) + 2  # whoever looks for another process of the node opens a file
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


# --- whose connection goes


async def test_a_newcomer_is_served_while_the_idle_one_before_it_still_leaves(tmp_path: Path) -> None:
    """The node reads its request before the connection that made room is gone."""
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
    """A client's connection of which a test says what is unsent; `client` is its other end."""

    def __init__(self, unsent: int = 0) -> None:
        super().__init__()
        self.sock, self.client = socket.socketpair()
        self.unsent, self.closed, self.aborted = unsent, False, False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.sock

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        self.closed = True  # for this side: it lingers

    def abort(self) -> None:
        self.closed = self.aborted = True


def listener_of(tmp: Path, limit: int) -> Listener:
    """A listener's part for so many connections, without a listener."""
    return Listener(Node(write_node_config(tmp, [], 1)), limit)


def comes(listener: Listener, unsent: int = 0) -> FakeTransport:
    """One more connection, just accepted."""
    transport = FakeTransport(unsent)
    ClientConnection(listener).connection_made(transport)
    return transport


async def test_a_request_that_has_come_unread_keeps_its_connection(tmp_path: Path) -> None:
    """Guards against a reset that takes a request with it: the longest idle one without any goes."""
    listener = listener_of(tmp_path, 3)
    first, second, third = (comes(listener) for _ in range(3))
    first.client.send(b"GET /read HTTP/1.1\r\n")
    last = comes(listener)
    assert [t.closed for t in (first, second, third, last)] == [False, True, False, False]
    assert not listener.is_over_limit


async def test_those_that_read_no_answers_hold_neither_the_descriptors_nor_the_places(tmp_path: Path) -> None:
    """Guards the descriptors: one that is ended before its client has read all lingers, as few may."""
    listener = listener_of(tmp_path, 16)
    slow = [comes(listener, unsent=1) for _ in range(16)]
    late = [comes(listener, unsent=1) for _ in range(overflow_limit(16))]
    assert [transport.closed for transport in slow] == [True] * overflow_limit(16) + [False] * (
        16 - overflow_limit(16)
    )
    assert not listener.is_over_limit and not any(transport.closed for transport in late)
    assert not any(transport.aborted for transport in slow)  # for now
    for _ in range(64):
        last = comes(listener, unsent=1)
        slow.append(last)
        count_open_descriptors = [transport for transport in slow + late if not transport.aborted]
        assert (
            len(count_open_descriptors) == 16 + overflow_limit(16)
            and not last.closed
            and not listener.is_over_limit
        )


async def test_where_all_places_are_taken_the_longest_lingering_one_goes(tmp_path: Path) -> None:
    listener = listener_of(tmp_path, 16)
    slow = [comes(listener, unsent=1) for _ in range(15)]
    rest = [comes(listener) for _ in range(overflow_limit(16) + 1)]
    last = comes(listener)
    assert not any(transport.closed for transport in (*rest, last))
    assert [transport.closed for transport in slow] == [True] * (overflow_limit(16) + 1) + [False] * (
        14 - overflow_limit(16)
    )
    assert [transport.aborted for transport in slow] == [True] + [False] * 14


async def test_what_stays_open_beside_a_successor_does_not_lift_the_cap(tmp_path: Path) -> None:
    """Guards the descriptors of a full process: those over the cap are no part of what may stay."""
    config = write_node_config(tmp_path, [], 1, sockets=256)
    clients, upstream = config.limits_per_process(1)
    listener = Listener(Node(config), clients)
    for _ in range(clients + overflow_limit(clients)):
        comes(listener, unsent=1)
    listener.node.pool.connection_count = upstream
    for _ in range(2):
        apply_limits(listener.node, listener, fallback_limits(listener.node, True))
        comes(listener, unsent=1)
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


async def test_two_processes_of_a_node_keep_to_one_limit_together(tmp_path: Path) -> None:
    """An idle flood fills the first before the second comes, and then that one."""
    config = write_node_config(tmp_path, [], 1, sockets=256)
    clients, upstream = config.limits_per_process(1)
    old, new = Listener(Node(config), clients), Listener(Node(config), clients)
    for _ in range(clients):
        comes(old)
    old.node.pool.connection_count = upstream
    count_open_descriptors = 0
    for listener in (old, new):
        apply_limits(listener.node, listener, fallback_limits(listener.node, True))
        count_open_descriptors += (
            listener.limit
            + overflow_limit(listener.limit)
            + CLOSING_FDS
            + listener.node.pool.limit
            + RESERVED_FDS
        )
    assert count_open_descriptors <= 256, count_open_descriptors
