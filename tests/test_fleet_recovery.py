"""Bans in tiers of real processes after power losses, partitions and lost disks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from balancer.cli.app import app
from balancer.lab.addresses import AddressBlock, format_address
from tests.sockets import (
    WAIT_TIMEOUT_S,
    Backend,
    FakeDiscovery,
    Rig,
    node_config,
    spawn_node,
    started_node,
    wait_until_async,
)
from tests.test_console import CONSOLE

BACKENDS = ["b0", "b1", "b2", "b3"]


@dataclass
class Tier:
    """Nodes with their own discovery, disk and `$TMPDIR`, and relays for the datagrams between them."""

    folder: Path
    count: int
    block: AddressBlock
    backends: list[Backend] = field(default_factory=lambda: [Backend(name) for name in BACKENDS])
    discovery: list[FakeDiscovery] = field(default_factory=list)
    # Datagrams between the two nodes of each pair are dropped.
    dropped_pairs: set[frozenset[int]] = field(default_factory=set)
    starts: int = 0
    sockets: dict[tuple[int, int], socket.socket] = field(default_factory=dict)

    async def prepare(self) -> None:
        """Start backends, discovery and relays, and write the files of the nodes."""
        places = self.block.addresses
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            await backend.start()
        for sender in range(self.count):
            self.discovery.append(FakeDiscovery())
            await self.discovery[sender].start()
            for receiver in range(self.count):
                sock = self.sockets[sender, receiver] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind(places.relay(sender, receiver))
                loop.add_reader(sock, self._relay, sender, receiver)
            self.write_files(sender)

    def write_files(self, node: int) -> None:
        """Write the configuration files of a node."""
        places = self.block.addresses
        directory = self.directory(node)
        directory.mkdir(exist_ok=True)
        table = node_config([b.list_entry() for b in self.backends], self.discovery[node].port,
                              console=CONSOLE, me=node)  # fmt: skip
        # These tests need no limits for cold backends.
        table["settings"]["rules"]["cold-share"] = 1.0
        table |= {"name": f"n{node}", "seed": f"{node + 1:016x}",
                  "peer_listen": format_address(places.peer(node)),
                  "peers": [format_address(places.relay(node, receiver)) for receiver in range(self.count)],
                  "peers_all": format_address(places.relay(node, node))}  # fmt: skip
        (directory / "config.json").write_text(json.dumps(table))
        state = json.dumps(str(directory / "state"))
        (directory / "fleet.toml").write_text(
            f"[membership]\nperiod-ms = 100\n[recovery]\n[durable]\ndirectory = {state}\n"
        )

    def directory(self, node: int) -> Path:
        """Return a node's directory."""
        return self.folder / f"n{node}"

    def _relay(self, sender: int, receiver: int) -> None:
        with contextlib.suppress(OSError):
            data = self.sockets[sender, receiver].recv(512)
            for target in [receiver] if receiver != sender else set(range(self.count)) - {sender}:
                if frozenset({sender, target}) not in self.dropped_pairs:
                    self.sockets[target, sender].sendto(data, self.block.addresses.peer(target))

    def partition(self, *nodes: int) -> None:
        """Partition these nodes from the others."""
        others = set(range(self.count)) - set(nodes)
        self.dropped_pairs = {frozenset({a, b}) for a in nodes for b in others}

    def env(self, node: int, fresh_tmp: bool = True) -> dict[str, str]:
        """Return the environment of a process; `$TMPDIR` is empty unless `fresh_tmp` is false."""
        self.starts += fresh_tmp
        tmp = self.directory(node) / f"tmp-{self.starts}"
        tmp.mkdir(exist_ok=True)
        return {"TMPDIR": str(tmp), "PROXY_FLEET": str(self.directory(node) / "fleet.toml")}

    def run_process(self, node: int, fresh_tmp: bool = True) -> contextlib.AbstractAsyncContextManager[Rig]:
        """Run a process of a node and wait until it serves."""
        path = self.directory(node) / "config.json"
        return started_node(path, self.discovery[node], **self.env(node, fresh_tmp))

    @contextlib.asynccontextmanager
    async def run_nodes(self, *nodes: int) -> AsyncIterator[list[Rig]]:
        """Run the given nodes, or all; kill their processes at the end, as in a power loss."""
        async with contextlib.AsyncExitStack() as stack:
            starting = [stack.enter_async_context(self.run_process(n)) for n in nodes or range(self.count)]
            rigs = await asyncio.gather(*starting)
            yield rigs
            for rig in rigs:
                if rig.process.returncode is None:
                    rig.process.kill()

    async def send_list(self, node: int) -> None:
        """Answer a node's request to discovery with the complete list."""
        await asyncio.wait_for(self.discovery[node].watch_targets.get(), WAIT_TIMEOUT_S)
        self.discovery[node].send_update(50, *[b.list_entry() for b in self.backends], complete=True)

    def close(self) -> None:
        """Close relays, discovery and backends."""
        for sock in self.sockets.values():
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        for discovery in self.discovery:
            assert discovery.server is not None
            discovery.server.close()
        for backend in self.backends:
            backend.stop()
        self.block.close()


@contextlib.asynccontextmanager
async def prepared_tier(folder: Path, count: int = 3) -> AsyncIterator[Tier]:
    """Provide a tier whose nodes have not started."""
    tier = Tier(folder, count, AddressBlock(count, 1))
    try:
        await tier.prepare()
        yield tier
    finally:
        tier.close()


async def recovery(rig: Rig) -> dict[str, Any]:
    """Return the recovery table of a node's `/stats`."""
    progress: dict[str, Any] = (await rig.stats())["fleet"]["recovery"]
    return progress


async def fleet_recovery(rig: Rig) -> tuple[int, dict[str, Any]]:
    """Return the exit code and the JSON output of `balancer fleet recovery`."""
    line = ["fleet", "recovery", "--console", f"127.0.0.1:{rig.console_port}"]
    assert "phase" in (await asyncio.to_thread(CliRunner().invoke, app, line)).stdout
    done = await asyncio.to_thread(CliRunner().invoke, app, [*line, "--json"])
    return done.exit_code, json.loads(done.stdout)


async def serving_backends(rig: Rig, requests: int = 24) -> set[str]:
    """Return the backends that serve a client's requests through a node."""
    client = await rig.connect()
    return {(await client.request("/read")).body.split()[0].decode() for _ in range(requests)}


async def ban(rig: Rig, backend: str = "b1") -> None:
    """Ban a backend and check that the request is acknowledged."""
    assert (await rig.call_console(f"/backends/{backend}/maint", "POST")).status == 200


async def test_ban_survives_a_power_loss_with_a_lost_disk_and_swapped_disks(tmp_path: Path) -> None:
    async with prepared_tier(tmp_path) as tier:
        async with tier.run_nodes() as rigs:
            await ban(rigs[0])
            for rig in rigs[1:]:
                await rig.wait_for_log("maintenance: b1 is banned")
            assert [(await recovery(rig))["bans"] for rig in rigs] == [1, 1, 1]
        shutil.rmtree(tier.directory(1) / "state")
        async with tier.run_nodes() as rigs:
            for rig in rigs:
                assert "b1" not in await serving_backends(rig)
            assert "no saved state" in "".join(rigs[1].log)
            await rigs[1].wait_for_log("path power")
        (tier.directory(0) / "state").rename(tmp_path / "moved")
        (tier.directory(1) / "state").rename(tier.directory(0) / "state")
        (tmp_path / "moved").rename(tier.directory(1) / "state")
        async with tier.run_nodes() as rigs:
            for rig in rigs:
                assert "b1" not in await serving_backends(rig)
            assert "the disk is not sound" in "".join(rigs[0].log + rigs[1].log)
            assert (await rigs[2].call_console("/backends/b1/ready", "POST")).status == 200
            await rigs[0].wait_for_log("maintenance: b1 is no longer banned")


async def test_ban_of_a_partitioned_node_spreads_when_the_node_or_the_network_returns(tmp_path: Path) -> None:
    async with prepared_tier(tmp_path) as tier:
        async with tier.run_nodes() as rigs:
            tier.partition(0)
            await ban(rigs[0])
        tier.dropped_pairs = set()
        # Without node 0 the tier does not know its ban and serves b1: see docs/fleet-recovery.md.
        async with tier.run_nodes(1, 2) as rigs:
            assert "b1" in await serving_backends(rigs[0], 100)
            async with tier.run_process(0) as rejoined:
                assert "b1" not in await serving_backends(rejoined)
                for rig in rigs:
                    await rig.wait_for_log("maintenance: b1 is banned")
                tier.partition(2)
                assert (await rejoined.call_console("/backends/b1/ready", "POST")).status == 200
                await rigs[0].wait_for_log("maintenance: b1 is no longer banned")
                await ban(rigs[1])  # a concurrent ban in the other partition wins
                tier.dropped_pairs = set()
                await rigs[0].wait_for_log("maintenance: b1 is banned")
                await rejoined.wait_for_log("maintenance: b1 is banned")


async def test_crash_among_running_peers_is_recognized_and_needs_no_wait(tmp_path: Path) -> None:
    async with prepared_tier(tmp_path) as tier, tier.run_nodes() as rigs:
        assert (await fleet_recovery(rigs[0]))[0] == 1
        await tier.send_list(1)
        await tier.send_list(2)
        await asyncio.wait_for(tier.discovery[0].watch_targets.get(), WAIT_TIMEOUT_S)
        tier.discovery[0].send_chunk(b"\n")  # an empty update confirms the saved list
        for rig in rigs:
            await rig.wait_for_log("phase full")
        code, progress = await fleet_recovery(rigs[0])
        assert code == 0 and progress["list"]["fresh"] and progress["heard"] == progress["asked"] == 2
        await ban(rigs[0], "b2")
        rigs[2].process.kill()
        async with tier.run_process(2) as restarted:
            assert any("phase full, path crash" in line for line in restarted.log)
            assert "b2" not in await serving_backends(restarted)


@contextlib.asynccontextmanager
async def started_successor(tier: Tier) -> AsyncIterator[Rig]:
    """Run a successor process along with node 0 and answer its request to discovery."""
    list_sent = asyncio.create_task(tier.send_list(0))
    async with tier.run_process(0, fresh_tmp=False) as successor:
        await list_sent
        yield successor


async def test_shutdown_and_upgrade_work_during_a_recovery(tmp_path: Path) -> None:
    async with prepared_tier(tmp_path, 2) as tier:
        process = await spawn_node(tier.directory(0) / "config.json", **tier.env(0))
        rig = Rig(process, 0, tier.discovery[0], [], tier.directory(0))
        await rig.wait_for_log("phase ask")
        rig.terminate()
        assert await rig.wait_for_exit() == 0 and not any("serves on" in line for line in rig.log)
        async with tier.run_process(0) as predecessor:
            await ban(predecessor)
            assert (await recovery(predecessor))["phase"] == "listed"
            await tier.discovery[0].watch_targets.get()
            async with started_successor(tier) as successor:
                await ban(successor, "b2")
                successor.process.kill()

            async def has_learned_ban() -> bool:
                return bool((await recovery(predecessor))["bans"] == 2)

            async def can_lift_ban() -> bool:
                return (await predecessor.call_console("/backends/b2/ready", "POST")).status == 200

            await wait_until_async(has_learned_ban)  # only the killed successor had received this ban
            await wait_until_async(can_lift_ban)
            async with started_successor(tier) as successor:
                assert "phase listed, path upgrade" in "".join(successor.log)
                assert (await recovery(successor))["bans"] == 1
                predecessor.terminate()
                assert await predecessor.wait_for_exit() == 0
                await successor.wait_for_log("membership: node 0")


@pytest.mark.parametrize("name", ["peers", "disk"])
async def test_node_serves_alone_without_peer_socket_or_disk(tmp_path: Path, name: str) -> None:
    async with prepared_tier(tmp_path, 2) as tier:
        if name == "disk":
            (tier.directory(0) / "state").write_text("no directory")
        else:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(tier.block.addresses.peer(0))
        async with tier.run_process(0) as rig:
            assert (await recovery(rig))["path"] == "alone" and await serving_backends(rig)
            await ban(rig)
            assert "b1" not in await serving_backends(rig)
