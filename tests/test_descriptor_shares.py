"""The parts of a node's processes: together they never claim, nor hold, more than its limit."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from balancer.net import process_slots as slots_file
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
    """One process of a node, without listener and backends; clients come when a test says so."""

    def __init__(self, folder: Path, config: Config) -> None:
        self.node = Node(config)
        self.listener = Listener(self.node, config.limits_per_process(1)[0])
        self.slots = ProcessSlots(folder / "x", lambda beside: None)
        self.shares = DescriptorShares(self.node, self.listener, self.slots)
        self.transports: dict[ClientConnection, FakeTransport] = {}
        self.slots.acquire()
        self.slots.stop()  # a test says when it looks
        self.look()

    def look(self) -> None:
        """As every `REFRESH_INTERVAL_S` seconds."""
        self.slots.refresh()
        self.shares.apply()

    @property
    def said(self) -> int:
        """What it claims, as the others read it."""
        text = self.slots.paths[self.slots.own_slot].read_text()
        claim = parse_claim(text)
        assert claim is not None, text
        return claim.max_descriptors

    @property
    def holds(self) -> int:
        """Descriptors, as if it used all that it keeps for itself."""
        listener = self.listener
        return (
            RESERVED_FDS
            + CLOSING_FDS
            + len(listener.connections)
            + len(listener.lingering)
            + self.node.pool.connection_count
        )

    def flood(self, count: int = SOCKETS, half: bool = False) -> None:
        """So many clients come, with half a head or with nothing, and all backends' connections are used."""
        for _ in range(count):
            transport, connection = FakeTransport(), ClientConnection(self.listener)
            connection.connection_made(transport)
            self.transports[connection] = transport
            if half:
                connection.data_received(HEAD)
        self.node.pool.connection_count = max(self.node.pool.connection_count, self.node.pool.limit)
        self.settle()

    def settle(self, lingering: bool = False) -> None:
        """What was closed is gone, and where a test says so what was ended from this side."""
        for connection, transport in list(self.transports.items()):
            if transport.aborted or (lingering and transport.closed):
                connection.connection_lost(None)
                transport.sock.close()
                transport.client.close()
                del self.transports[connection]

    def answer(self) -> None:
        """All clients leave and all backends' connections are given up."""
        for transport in self.transports.values():
            transport.aborted = True
        self.node.pool.connection_count = 0
        self.settle()

    def die(self) -> None:
        """Its descriptors go, the lock among them."""
        self.answer()
        self.slots.release()


class Tier:
    """The processes of one node, oldest first."""

    def __init__(self, folder: Path, sockets: int = SOCKETS) -> None:
        self.folder, self.sockets = folder, sockets
        self.config = write_node_config(folder, [], 1, sockets=sockets, console="127.0.0.1:0")
        self.all: list[Process] = []

    def start(self) -> Process:
        """One more."""
        self.all.append(Process(self.folder, self.config))
        return self.all[-1]

    def check(self) -> None:
        """Nobody holds more than it said, all together not more than they may."""
        claims = [one.said for one in self.all]
        assert sum(claims) <= self.sockets, claims
        assert all(one.holds <= claim for one, claim in zip(self.all, claims, strict=True))


@pytest.fixture
def tier(tmp_path: Path) -> Iterator[Tier]:
    one = Tier(tmp_path)
    yield one
    for process in one.all:
        process.die()


@pytest.mark.parametrize("half", [False, True])
@pytest.mark.parametrize("first", [0, 1])
async def test_a_newcomer_under_a_flood_takes_only_what_the_old_one_has_given_up(
    tier: Tier, half: bool, first: int
) -> None:
    old = tier.start()
    old.flood(half=half)
    assert old.holds == SOCKETS - MIN_FDS  # what a newcomer needs at once is kept free
    new = tier.start()
    new.flood(half=half)
    tier.check()
    assert not new.shares.has_enough
    order = (old, new) if first == 0 else (new, old)
    for end in range(12):
        for one in order:
            one.look()
            tier.check()
            one.flood(40, half)
            tier.check()
        if end == 4:
            old.settle(lingering=True)
            new.settle(lingering=True)
        if end == 6:
            old.answer()
    for one in order:
        one.look()
    assert new.shares.has_enough and new.listener.limit >= 30 and new.node.pool.limit >= 15
    assert old.listener.limit == SOCKETS // 3
    old.shares.is_draining = True  # after SIGTERM: new connections come to the other
    old.answer()
    for one in (old, new):
        one.look()
        tier.check()
    assert new.listener.limit > SOCKETS // 3 and new.shares.share > SOCKETS * 3 // 4
    new.flood(half=half)
    tier.check()


async def test_a_request_under_way_is_not_cut_for_a_newcomer(tier: Tier) -> None:
    """Guards against a 503 too: what stays over the lowered cap does not count as a crowd."""
    old = tier.start()
    limit = old.listener.limit
    old.flood(limit, half=True)
    before = set(old.listener.connections)
    tier.start()
    for _ in range(3):
        old.look()
    assert (
        old.listener.connections == before and not old.listener.lingering and not old.listener.is_over_limit
    )
    for connection in list(before)[: limit - 20]:
        old.transports[connection].aborted = True
    old.settle()
    old.look()
    assert (
        old.listener.limit == tier.config.predecessor_limits(old.shares.share)[0]
        and len(old.listener.connections) == 20
    )


async def test_one_that_dies_leaves_all_to_the_other(tier: Tier) -> None:
    old, new = tier.start(), tier.start()
    for _ in range(2):
        old.look()
        new.look()
    part = new.shares.share
    tier.all.remove(old)
    old.die()
    new.look()
    assert (
        new.shares.share == tier.config.sole_process_fds > part
        and new.listener.limit == tier.config.limits_per_process(1)[0]
    )
    newest = tier.start()
    for _ in range(2):
        new.look()
        newest.look()
        tier.check()
    tier.all.remove(newest)
    newest.die()  # before it has taken over
    new.look()
    assert (new.listener.limit, new.node.pool.limit) == tier.config.limits_per_process(1)


@pytest.mark.parametrize("text", ["", "x" * 200, "\xff\n", "1 2 3\n", DescriptorClaim(1, 2).encode()[:-4]])
async def test_what_cannot_be_read_counts_as_half_and_as_before_where_it_was_read(
    tier: Tier, text: str
) -> None:
    assert parse_claim(text) is None
    old = tier.start()
    old.flood()
    slot = old.slots.paths[0]
    good = slot.read_bytes()
    slot.write_bytes(text.encode("latin-1"))
    new = tier.start()
    assert (new.listener.limit, new.node.pool.limit) == tier.config.limits_per_process(
        2
    ) and new.shares.has_enough
    slot.write_bytes(good)
    new.look()
    tier.check()
    assert new.shares.share == MIN_FDS  # the old one has not looked yet
    slot.write_bytes(text.encode("latin-1"))
    new.look()
    assert new.shares.share == MIN_FDS
    for _ in range(3):  # it is written anew at each look
        old.look()
        old.settle(lingering=True)
        old.node.pool.connection_count = 0
        new.look()
        tier.check()
    assert new.shares.has_enough
    new.slots.paths[1].write_bytes(text.encode("latin-1"))
    old.look()  # it is known to have come later
    assert old.shares.share == tier.config.predecessor_fds


async def test_who_holds_more_than_its_part_does_not_grow_until_that_is_gone(tier: Tier) -> None:
    """It took half while the other could not be read."""
    old = tier.start()
    slot = old.slots.paths[0]
    good = slot.read_bytes()
    slot.write_bytes(b"spoilt")
    new = tier.start()
    new.node.pool.connection_count = new.node.pool.limit
    slot.write_bytes(good)
    new.look()
    old.look()
    new.look()
    tier.check()
    assert (new.listener.limit, new.node.pool.limit) == tier.config.connection_limits(MIN_FDS)
    new.node.pool.connection_count = 0
    new.look()
    tier.check()
    assert new.shares.share == SOCKETS - tier.config.predecessor_fds


async def test_a_claim_is_read_as_it_was_written_and_no_other() -> None:
    text = DescriptorClaim(123_456_789_012, 219).encode()
    assert parse_claim(text) == parse_claim(text + "rest") == DescriptorClaim(123_456_789_012, 219)
    for at in range(len(text) - 1):
        assert parse_claim(text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]) is None
        assert parse_claim(text[:at]) is None


async def test_three_in_a_row_keep_to_the_limit_and_the_last_one_grows(tier: Tier) -> None:
    first = tier.start()
    first.flood(60)
    second = tier.start()
    for _ in range(2):
        first.look()
        second.look()
        tier.check()
    first.shares.is_draining = True
    for _ in range(2):
        first.look()
        second.look()
        tier.check()
    first.answer()
    second.flood(20)
    third = tier.start()
    most = second.said
    for _ in range(4):
        for one in tier.all:
            one.look()
        assert second.said <= most  # also as the first gives up what it held
        most = second.said
    tier.check()
    assert third.shares.share > MIN_FDS
    tier.all.remove(first)
    first.die()
    second.shares.is_draining = True
    for one in (second, third):
        one.look()
        tier.check()
    tier.all.remove(second)
    second.die()
    third.look()
    assert third.shares.share == tier.config.sole_process_fds


async def test_one_that_comes_while_another_grows_is_seen_before_that_is_used(
    tier: Tier, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = tier.start(), tier.start()
    old.look()
    last: list[Process] = []
    read = ProcessSlots.read_peers

    def comes(slots: ProcessSlots) -> dict[int, str] | None:
        if slots is new.slots and new.said > MIN_FDS and not last:  # between what it says and its look
            last.append(tier.start())
        return read(slots)

    with monkeypatch.context() as patch:
        patch.setattr(ProcessSlots, "read_peers", comes)
        new.look()
    assert last and new.shares.share == MIN_FDS and last[0].shares.share == MIN_FDS
    for _ in range(2):
        for one in tier.all:
            one.look()
    tier.check()


async def test_who_cannot_look_or_say_does_not_grow_into_what_it_does_not_know(
    tier: Tier, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*args: Any) -> int:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    old = tier.start()
    with monkeypatch.context() as patch:
        patch.setattr(slots_file, "read_slot", fails)
        new = tier.start()
        tier.check()
        assert new.shares.share == MIN_FDS
    old.look()
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fails)
        new.look()
        assert (new.listener.limit, new.node.pool.limit) == tier.config.limits_per_process(2)
    new.look()
    tier.check()


@pytest.mark.parametrize("sockets", [64, 128, 256, 1024, 4096])
def test_every_part_is_within_itself(tmp_path: Path, sockets: int) -> None:
    config = Tier(tmp_path, sockets).config
    for part in range(MIN_FDS, sockets + 1):
        for clients, upstream in (config.connection_limits(part), config.predecessor_limits(part)):
            assert clients >= 1 and upstream >= 1
            assert clients + max(1, min(16, clients // 8)) + CLOSING_FDS + upstream + RESERVED_FDS <= part
    if sockets >= 8 * RESERVED_FDS:
        assert config.sole_process_fds + MIN_FDS == sockets
        assert (
            config.predecessor_limits(config.predecessor_fds)[0] == sockets // 3
        )  # all that clients have may stay


async def test_without_a_console_nothing_is_kept_free_and_nothing_said(tmp_path: Path) -> None:
    config = write_node_config(tmp_path, [], 1, sockets=SOCKETS)
    node = Node(config)
    listener = Listener(node, config.limits_per_process(1)[0])
    slots = ProcessSlots(tmp_path / "x", lambda beside: None)
    DescriptorShares(node, listener, slots).apply()
    assert (listener.limit, node.pool.limit) == config.limits_per_process(
        1
    ) and config.sole_process_fds == SOCKETS
    assert not list(tmp_path.glob("x*"))


async def test_two_processes_under_a_flood_hold_no_more_than_one_may_and_lose_no_request(
    tmp_path: Path,
) -> None:
    """Real processes: an idle flood fills the first, and then whatever is to be had."""
    crowd, discovery, backend = ConnectionFlood(), FakeDiscovery(), Backend("b0")
    await discovery.start()
    await backend.start()
    worst = 0
    with reserved_port() as port, contextlib.ExitStack() as stack:
        stack.callback(crowd.close)
        write_node_config(tmp_path, [backend.list_entry()], discovery.port, sockets=SOCKETS, console=CONSOLE,
                  listen=f"127.0.0.1:{port}", **LONG_DEADLINES)  # fmt: skip
        path = tmp_path / "config.json"
        async with started_node(path, discovery) as old:
            await discovery.watch_targets.get()
            crowd.connect(old.port, SOCKETS)
            await old.stats()
            kept = await old.connect()
            assert (await kept.request("/read")).status == 200
            task = asyncio.create_task(_send_endpoint_update(discovery))
            async with started_node(path, discovery) as new:
                await task
                for _ in range(20):
                    crowd.connect(old.port, SOCKETS // 8)
                    await old.stats()
                    await new.stats()
                    worst = max(
                        worst, count_open_descriptors(new) + count_open_descriptors(old)
                    )  # in this order: only the new one grows
                    client = await new.connect()
                    assert (await client.request("/read")).status == 200
                    client.writer.close()
                old.terminate()
                while old.process.returncode is None:
                    crowd.connect(new.port, SOCKETS // 8)
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
