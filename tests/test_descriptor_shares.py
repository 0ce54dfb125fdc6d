"""Test descriptor shares: the processes of a node never claim or hold more descriptors than it may."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from balancer.net import process_slots
from balancer.net.client_connection import ClientConnection
from balancer.net.config import Config
from balancer.net.connection_limits import CLOSING_FDS, MIN_FDS, RESERVED_FDS
from balancer.net.descriptor_shares import DescriptorClaim, DescriptorShares, parse_claim
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.process_slots import ProcessSlots
from tests.sockets import LONG_DEADLINES, Backend, FakeDiscovery, started_node
from tests.test_console import CONSOLE
from tests.test_descriptors import ConnectionFlood, FakeTransport, count_open_descriptors, write_node_config
from tests.test_upgrade import _send_endpoint_update, reserved_port

SOCKETS = 256
HEAD = b"GET /read HTTP/1.1\r\n"


class Process:
    """One process of a node without sockets; the test adds its client connections."""

    def __init__(self, folder: Path, config: Config) -> None:
        self.node = Node(config)
        self.listener = Listener(self.node, config.limits_per_process(1)[0])
        self.slots = ProcessSlots(folder / "x", lambda has_peer: None)
        self.shares = DescriptorShares(self.node, self.listener, self.slots)
        self.transports: dict[ClientConnection, FakeTransport] = {}
        self.slots.acquire()
        self.slots.stop()  # The tests call `refresh` themselves, without the periodic timer.
        self.refresh()

    def refresh(self) -> None:
        """Do what a process does every `REFRESH_INTERVAL_S`."""
        self.slots.refresh()
        self.shares.apply()

    @property
    def claimed(self) -> int:
        """The claim in the slot, as other processes read it."""
        text = self.slots.paths[self.slots.own_slot].read_text()
        claim = parse_claim(text)
        assert claim is not None, text
        return claim.max_descriptors

    @property
    def held(self) -> int:
        """The number of descriptors held, including all reserved ones."""
        listener = self.listener
        return (
            RESERVED_FDS
            + CLOSING_FDS
            + len(listener.connections)
            + len(listener.lingering)
            + self.node.pool.connection_count
        )

    def flood(self, count: int = SOCKETS, with_head: bool = False) -> None:
        """Add clients that send nothing or part of a head, and use all backend connections."""
        for _ in range(count):
            transport, connection = FakeTransport(), ClientConnection(self.listener)
            connection.connection_made(transport)
            self.transports[connection] = transport
            if with_head:
                connection.data_received(HEAD)
        self.node.pool.connection_count = max(self.node.pool.connection_count, self.node.pool.limit)
        self.settle()

    def settle(self, lingering: bool = False) -> None:
        """Release closed connections, and with `lingering` also those that this side has half-closed."""
        for connection, transport in list(self.transports.items()):
            if transport.aborted or (lingering and transport.closed):
                connection.connection_lost(None)
                transport.sock.close()
                transport.client.close()
                del self.transports[connection]

    def drop_connections(self) -> None:
        """Close all client and backend connections."""
        for transport in self.transports.values():
            transport.aborted = True
        self.node.pool.connection_count = 0
        self.settle()

    def end(self) -> None:
        """Release all descriptors, including the locked slot."""
        self.drop_connections()
        self.slots.release()


class ProcessGroup:
    """The processes of one node, oldest first."""

    def __init__(self, folder: Path, sockets: int = SOCKETS) -> None:
        self.folder, self.sockets = folder, sockets
        self.config = write_node_config(folder, [], 1, sockets=sockets, console="127.0.0.1:0")
        self.processes: list[Process] = []

    def start(self) -> Process:
        """Start another process."""
        self.processes.append(Process(self.folder, self.config))
        return self.processes[-1]

    def check(self) -> None:
        """Check that no process holds more than it claims, and that the claims are within the limit."""
        claims = [one.claimed for one in self.processes]
        assert sum(claims) <= self.sockets, claims
        assert all(one.held <= claim for one, claim in zip(self.processes, claims, strict=True))


@pytest.fixture
def group(tmp_path: Path) -> Iterator[ProcessGroup]:
    one = ProcessGroup(tmp_path)
    yield one
    for process in one.processes:
        process.end()


@pytest.mark.parametrize("with_head", [False, True])
@pytest.mark.parametrize("first", [0, 1])
async def test_new_process_under_a_flood_uses_only_descriptors_that_the_old_one_released(
    group: ProcessGroup, with_head: bool, first: int
) -> None:
    old = group.start()
    old.flood(with_head=with_head)
    assert old.held == SOCKETS - MIN_FDS  # The descriptors that a new process needs at once stay free.
    new = group.start()
    new.flood(with_head=with_head)
    group.check()
    assert not new.shares.has_guaranteed_share
    order = (old, new) if first == 0 else (new, old)
    for end in range(12):
        for one in order:
            one.refresh()
            group.check()
            one.flood(40, with_head)
            group.check()
        if end == 4:
            old.settle(lingering=True)
            new.settle(lingering=True)
        if end == 6:
            old.drop_connections()
    for one in order:
        one.refresh()
    assert new.shares.has_guaranteed_share and new.listener.limit >= 30 and new.node.pool.limit >= 15
    assert old.listener.limit == SOCKETS // 3
    old.shares.is_draining = True  # After SIGTERM new connections go to the other process.
    old.drop_connections()
    for one in (old, new):
        one.refresh()
        group.check()
    assert new.listener.limit > SOCKETS // 3 and new.shares.share > SOCKETS * 3 // 4
    new.flood(with_head=with_head)
    group.check()


async def test_connections_in_use_are_not_closed_for_a_new_process(group: ProcessGroup) -> None:
    """Guards against closing connections in use, or rejecting their requests, when the limit is lowered."""
    old = group.start()
    limit = old.listener.limit
    old.flood(limit, with_head=True)
    before = set(old.listener.connections)
    group.start()
    for _ in range(3):
        old.refresh()
    assert (
        old.listener.connections == before and not old.listener.lingering and not old.listener.is_over_limit
    )
    for connection in list(before)[: limit - 20]:
        old.transports[connection].aborted = True
    old.settle()
    old.refresh()
    assert (
        old.listener.limit == group.config.predecessor_limits(old.shares.share)[0]
        and len(old.listener.connections) == 20
    )


async def test_ended_process_leaves_its_descriptors_to_the_other(group: ProcessGroup) -> None:
    old, new = group.start(), group.start()
    for _ in range(2):
        old.refresh()
        new.refresh()
    part = new.shares.share
    group.processes.remove(old)
    old.end()
    new.refresh()
    assert (
        new.shares.share == group.config.sole_process_fds > part
        and new.listener.limit == group.config.limits_per_process(1)[0]
    )
    newest = group.start()
    for _ in range(2):
        new.refresh()
        newest.refresh()
        group.check()
    group.processes.remove(newest)
    newest.end()  # The newest process ends before it has taken over.
    new.refresh()
    assert (new.listener.limit, new.node.pool.limit) == group.config.limits_per_process(1)


@pytest.mark.parametrize("text", ["", "x" * 200, "\xff\n", "1 2 3\n", DescriptorClaim(1, 2).encode()[:-4]])
async def test_unreadable_claim_counts_as_half_or_as_its_last_value(group: ProcessGroup, text: str) -> None:
    assert parse_claim(text) is None
    old = group.start()
    old.flood()
    slot = old.slots.paths[0]
    good = slot.read_bytes()
    slot.write_bytes(text.encode("latin-1"))
    new = group.start()
    assert (new.listener.limit, new.node.pool.limit) == group.config.limits_per_process(
        2
    ) and new.shares.has_guaranteed_share
    slot.write_bytes(good)
    new.refresh()
    group.check()
    assert new.shares.share == MIN_FDS  # The old process has not refreshed its share yet.
    slot.write_bytes(text.encode("latin-1"))
    new.refresh()
    assert new.shares.share == MIN_FDS
    for _ in range(3):  # Each refresh of the old process writes its claim again.
        old.refresh()
        old.settle(lingering=True)
        old.node.pool.connection_count = 0
        new.refresh()
        group.check()
    assert new.shares.has_guaranteed_share
    new.slots.paths[1].write_bytes(text.encode("latin-1"))
    old.refresh()  # The old process remembers that the other one started later.
    assert old.shares.share == group.config.predecessor_fds


async def test_process_over_its_share_does_not_grow_until_it_has_shrunk(group: ProcessGroup) -> None:
    """The new process used half of the descriptors while the claim of the old one was unreadable."""
    old = group.start()
    slot = old.slots.paths[0]
    good = slot.read_bytes()
    slot.write_bytes(b"spoilt")
    new = group.start()
    new.node.pool.connection_count = new.node.pool.limit
    slot.write_bytes(good)
    new.refresh()
    old.refresh()
    new.refresh()
    group.check()
    assert (new.listener.limit, new.node.pool.limit) == group.config.connection_limits(MIN_FDS)
    new.node.pool.connection_count = 0
    new.refresh()
    group.check()
    assert new.shares.share == SOCKETS - group.config.predecessor_fds


async def test_claim_is_parsed_and_any_damaged_claim_is_rejected() -> None:
    text = DescriptorClaim(123_456_789_012, 219).encode()
    assert parse_claim(text) == parse_claim(text + "rest") == DescriptorClaim(123_456_789_012, 219)
    for at in range(len(text) - 1):
        assert parse_claim(text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]) is None
        assert parse_claim(text[:at]) is None


async def test_three_successive_processes_stay_within_the_limit_and_the_last_grows(
    group: ProcessGroup,
) -> None:
    first = group.start()
    first.flood(60)
    second = group.start()
    for _ in range(2):
        first.refresh()
        second.refresh()
        group.check()
    first.shares.is_draining = True
    for _ in range(2):
        first.refresh()
        second.refresh()
        group.check()
    first.drop_connections()
    second.flood(20)
    third = group.start()
    previous_claim = second.claimed
    for _ in range(4):
        for one in group.processes:
            one.refresh()
        # The claim of a process does not grow when another process releases descriptors.
        assert second.claimed <= previous_claim
        previous_claim = second.claimed
    group.check()
    assert third.shares.share > MIN_FDS
    group.processes.remove(first)
    first.end()
    second.shares.is_draining = True
    for one in (second, third):
        one.refresh()
        group.check()
    group.processes.remove(second)
    second.end()
    third.refresh()
    assert third.shares.share == group.config.sole_process_fds


async def test_process_started_while_another_grows_is_detected_in_time(
    group: ProcessGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = group.start(), group.start()
    old.refresh()
    last: list[Process] = []
    read = ProcessSlots.read_peers

    def read_peers(slots: ProcessSlots) -> dict[int, str] | None:
        if slots is new.slots and new.claimed > MIN_FDS and not last:
            # The new process has written its claim and is about to read the others again.
            last.append(group.start())
        return read(slots)

    with monkeypatch.context() as patch:
        patch.setattr(ProcessSlots, "read_peers", read_peers)
        new.refresh()
    assert last and new.shares.share == MIN_FDS and last[0].shares.share == MIN_FDS
    for _ in range(2):
        for one in group.processes:
            one.refresh()
    group.check()


async def test_process_that_cannot_read_or_write_claims_does_not_grow(
    group: ProcessGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*args: Any) -> int:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    old = group.start()
    with monkeypatch.context() as patch:
        patch.setattr(process_slots, "read_slot", fails)
        new = group.start()
        group.check()
        assert new.shares.share == MIN_FDS
    old.refresh()
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fails)
        new.refresh()
        assert (new.listener.limit, new.node.pool.limit) == group.config.limits_per_process(2)
    new.refresh()
    group.check()


@pytest.mark.parametrize("sockets", [64, 128, 256, 1024, 4096])
def test_limits_of_any_share_are_within_that_share(tmp_path: Path, sockets: int) -> None:
    config = ProcessGroup(tmp_path, sockets).config
    for part in range(MIN_FDS, sockets + 1):
        for clients, upstream in (config.connection_limits(part), config.predecessor_limits(part)):
            assert clients >= 1 and upstream >= 1
            assert clients + max(1, min(16, clients // 8)) + CLOSING_FDS + upstream + RESERVED_FDS <= part
    if sockets >= 8 * RESERVED_FDS:
        assert config.sole_process_fds + MIN_FDS == sockets
        # All existing client connections may stay.
        assert config.predecessor_limits(config.predecessor_fds)[0] == sockets // 3


async def test_without_a_console_no_descriptors_are_kept_free_and_nothing_is_claimed(tmp_path: Path) -> None:
    config = write_node_config(tmp_path, [], 1, sockets=SOCKETS)
    node = Node(config)
    listener = Listener(node, config.limits_per_process(1)[0])
    slots = ProcessSlots(tmp_path / "x", lambda has_peer: None)
    DescriptorShares(node, listener, slots).apply()
    assert (listener.limit, node.pool.limit) == config.limits_per_process(
        1
    ) and config.sole_process_fds == SOCKETS
    assert not list(tmp_path.glob("x*"))


async def test_two_processes_under_a_flood_stay_within_the_limit_and_lose_no_request(
    tmp_path: Path,
) -> None:
    """Real processes: idle connections use all descriptors of the first, then whatever the second offers."""
    flood, discovery, backend = ConnectionFlood(), FakeDiscovery(), Backend("b0")
    await discovery.start()
    await backend.start()
    worst = 0
    with reserved_port() as port, contextlib.ExitStack() as stack:
        stack.callback(flood.close)
        write_node_config(tmp_path, [backend.list_entry()], discovery.port, sockets=SOCKETS, console=CONSOLE,
                  listen=f"127.0.0.1:{port}", **LONG_DEADLINES)  # fmt: skip
        path = tmp_path / "config.json"
        async with started_node(path, discovery) as old:
            await discovery.watch_targets.get()
            flood.connect(old.port, SOCKETS)
            await old.stats()
            kept = await old.connect()
            assert (await kept.request("/read")).status == 200
            task = asyncio.create_task(_send_endpoint_update(discovery))
            async with started_node(path, discovery) as new:
                await task
                for _ in range(20):
                    flood.connect(old.port, SOCKETS // 8)
                    await old.stats()
                    await new.stats()
                    # Only the new process grows, so it is counted first.
                    worst = max(worst, count_open_descriptors(new) + count_open_descriptors(old))
                    client = await new.connect()
                    assert (await client.request("/read")).status == 200
                    client.writer.close()
                old.terminate()
                while old.process.returncode is None:
                    flood.connect(new.port, SOCKETS // 8)
                    await new.stats()
                    with contextlib.suppress(FileNotFoundError, PermissionError):
                        worst = max(worst, count_open_descriptors(new) + count_open_descriptors(old))
                    assert (await (await new.connect()).request("/read")).status == 200
                assert await old.wait_for_exit() == 0
                assert (await new.stats()) is not None
    backend.stop()
    assert discovery.server is not None
    discovery.server.close()
    assert worst <= SOCKETS, worst
