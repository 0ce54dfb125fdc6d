"""Tiers of real processes that lose their power, with faults between them, and their bans afterwards."""

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
    """Nodes, each with discovery, disk and `$TMPDIR` of its own, and the datagrams between them."""

    folder: Path
    count: int
    block: AddressBlock
    backends: list[Backend] = field(default_factory=lambda: [Backend(name) for name in BACKENDS])
    discovery: list[FakeDiscovery] = field(default_factory=list)
    cut: set[frozenset[int]] = field(default_factory=set)  # pairs between which nothing gets through
    starts: int = 0
    sockets: dict[tuple[int, int], socket.socket] = field(default_factory=dict)

    async def prepare(self) -> None:
        """Start everything but the nodes."""
        places = self.block.places
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            await backend.start()
        for near in range(self.count):
            self.discovery.append(FakeDiscovery())
            await self.discovery[near].start()
            for far in range(self.count):
                sock = self.sockets[near, far] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind(places.relay(near, far))
                loop.add_reader(sock, self._pass, near, far)
            self.write(near)

    def write(self, node: int) -> None:
        """Write a node's files."""
        places = self.block.places
        home = self.home(node)
        home.mkdir(exist_ok=True)
        table = node_config([b.list_entry() for b in self.backends], self.discovery[node].port,
                              console=CONSOLE, me=node)  # fmt: skip
        table["settings"]["rules"]["cold-share"] = 1.0  # what cold backends bear is not in question here
        table |= {"name": f"n{node}", "seed": f"{node + 1:016x}",
                  "peer_listen": format_address(places.peer(node)),
                  "peers": [format_address(places.relay(node, far)) for far in range(self.count)],
                  "peers_all": format_address(places.relay(node, node))}  # fmt: skip
        (home / "config.json").write_text(json.dumps(table))
        state = json.dumps(str(home / "state"))
        (home / "fleet.toml").write_text(
            f"[membership]\nperiod-ms = 100\n[recovery]\n[durable]\ndirectory = {state}\n"
        )

    def home(self, node: int) -> Path:
        """Return a node's directory."""
        return self.folder / f"n{node}"

    def _pass(self, near: int, far: int) -> None:
        with contextlib.suppress(OSError):
            data = self.sockets[near, far].recv(512)
            for to in [far] if far != near else set(range(self.count)) - {near}:
                if frozenset({near, to}) not in self.cut:
                    self.sockets[to, near].sendto(data, self.block.places.peer(to))

    def split(self, *nodes: int) -> None:
        """Partition these nodes from the others."""
        others = set(range(self.count)) - set(nodes)
        self.cut = {frozenset({a, b}) for a in nodes for b in others}

    def env(self, node: int, fresh_tmp: bool = True) -> dict[str, str]:
        """Return the environment of a process; `$TMPDIR` is empty unless `fresh_tmp` is false."""
        self.starts += fresh_tmp
        tmp = self.home(node) / f"tmp-{self.starts}"
        tmp.mkdir(exist_ok=True)
        return {"TMPDIR": str(tmp), "PROXY_FLEET": str(self.home(node) / "fleet.toml")}

    def up(self, node: int, fresh_tmp: bool = True) -> contextlib.AbstractAsyncContextManager[Rig]:
        """Run a process of a node, from when it serves."""
        path = self.home(node) / "config.json"
        return started_node(path, self.discovery[node], **self.env(node, fresh_tmp))

    @contextlib.asynccontextmanager
    async def powered(self, *nodes: int) -> AsyncIterator[list[Rig]]:
        """Run these nodes; at the end all lose their power."""
        async with contextlib.AsyncExitStack() as stack:
            begin = [stack.enter_async_context(self.up(n)) for n in nodes or range(self.count)]
            rigs = await asyncio.gather(*begin)
            yield rigs
            for rig in rigs:
                if rig.process.returncode is None:
                    rig.process.kill()

    async def send_list(self, node: int) -> None:
        """Answer a node's request to discovery with the complete list."""
        await asyncio.wait_for(self.discovery[node].watch_targets.get(), WAIT_TIMEOUT_S)
        self.discovery[node].send_update(50, *[b.list_entry() for b in self.backends], complete=True)

    def close(self) -> None:
        """Close everything but the nodes."""
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
async def tier(folder: Path, count: int = 3) -> AsyncIterator[Tier]:
    """Provide a tier without its processes."""
    one = Tier(folder, count, AddressBlock(count, 1))
    try:
        await one.prepare()
        yield one
    finally:
        one.close()


async def recovery(rig: Rig) -> dict[str, Any]:
    """Return a node's progress of recovery."""
    out: dict[str, Any] = (await rig.stats())["fleet"]["recovery"]
    return out


async def fleet_recovery(rig: Rig) -> tuple[int, dict[str, Any]]:
    """Return the same by the command: its exit code and what it prints."""
    line = ["fleet", "recovery", "--console", f"127.0.0.1:{rig.console_port}"]
    assert "phase" in (await asyncio.to_thread(CliRunner().invoke, app, line)).stdout
    done = await asyncio.to_thread(CliRunner().invoke, app, [*line, "--json"])
    return done.exit_code, json.loads(done.stdout)


async def served(rig: Rig, requests: int = 24) -> set[str]:
    """Return the backends that answer a client of the node."""
    client = await rig.connect()
    return {(await client.request("/read")).body.split()[0].decode() for _ in range(requests)}


async def ban(rig: Rig, backend: str = "b1") -> None:
    """Ban a backend for an operator, acknowledged."""
    assert (await rig.call_console(f"/backends/{backend}/maint", "POST")).status == 200


async def test_a_ban_outlasts_a_power_loss_and_a_lost_and_two_swapped_disks(tmp_path: Path) -> None:
    async with tier(tmp_path) as one:
        async with one.powered() as rigs:
            await ban(rigs[0])
            for rig in rigs[1:]:
                await rig.wait_for_log("maintenance: b1 is out")
            assert [(await recovery(rig))["bans"] for rig in rigs] == [1, 1, 1]
        shutil.rmtree(one.home(1) / "state")
        async with one.powered() as rigs:
            for rig in rigs:
                assert "b1" not in await served(rig)
            assert "no saved state" in "".join(rigs[1].log)
            await rigs[1].wait_for_log("path power")
        (one.home(0) / "state").rename(tmp_path / "moved")
        (one.home(1) / "state").rename(one.home(0) / "state")
        (tmp_path / "moved").rename(one.home(1) / "state")
        async with one.powered() as rigs:
            for rig in rigs:
                assert "b1" not in await served(rig)
            assert "the disk is not sound" in "".join(rigs[0].log + rigs[1].log)
            assert (await rigs[2].call_console("/backends/b1/ready", "POST")).status == 200
            await rigs[0].wait_for_log("maintenance: b1 is back")


async def test_a_ban_of_a_partitioned_node_comes_back_with_it_and_a_partition_heals(tmp_path: Path) -> None:
    async with tier(tmp_path) as one:
        async with one.powered() as rigs:
            one.split(0)
            await ban(rigs[0])
        one.cut = set()
        async with one.powered(1, 2) as rigs:  # the others say so by serving: see docs/fleet-recovery.md
            assert "b1" in await served(rigs[0], 100)
            async with one.up(0) as late:
                assert "b1" not in await served(late)
                for rig in rigs:
                    await rig.wait_for_log("maintenance: b1 is out")
                one.split(2)
                assert (await late.call_console("/backends/b1/ready", "POST")).status == 200
                await rigs[0].wait_for_log("maintenance: b1 is back")
                await ban(rigs[1])  # on the other side: ends in the ban
                one.cut = set()
                await rigs[0].wait_for_log("maintenance: b1 is out")
                await late.wait_for_log("maintenance: b1 is out")


async def test_one_crash_among_live_peers_is_classified_and_needs_no_wait(tmp_path: Path) -> None:
    async with tier(tmp_path) as one, one.powered() as rigs:
        assert (await fleet_recovery(rigs[0]))[0] == 1
        await one.send_list(1)
        await one.send_list(2)
        await asyncio.wait_for(one.discovery[0].watch_targets.get(), WAIT_TIMEOUT_S)
        one.discovery[0].send_chunk(b"\n")  # the list that it was started with holds
        for rig in rigs:
            await rig.wait_for_log("phase full")
        code, told = await fleet_recovery(rigs[0])
        assert code == 0 and told["list"]["fresh"] and told["heard"] == told["asked"] == 2
        await ban(rigs[0], "b2")
        rigs[2].process.kill()
        async with one.up(2) as again:
            assert any("phase full, path crash" in line for line in again.log)
            assert "b2" not in await served(again)


@contextlib.asynccontextmanager
async def successor(one: Tier) -> AsyncIterator[Rig]:
    """Run a successor of node 0 beside it, once discovery has answered it."""
    answer = asyncio.create_task(one.send_list(0))
    async with one.up(0, fresh_tmp=False) as new:
        await answer
        yield new


async def test_a_shutdown_and_a_successor_during_a_recovery(tmp_path: Path) -> None:
    async with tier(tmp_path, 2) as one:
        process = await spawn_node(one.home(0) / "config.json", **one.env(0))
        rig = Rig(process, 0, one.discovery[0], [], one.home(0))
        await rig.wait_for_log("phase ask")
        rig.terminate()
        assert await rig.wait_for_exit() == 0 and not any("serves on" in line for line in rig.log)
        async with one.up(0) as old:
            await ban(old)
            assert (await recovery(old))["phase"] == "listed"
            await one.discovery[0].watch_targets.get()
            async with successor(one) as new:
                await ban(new, "b2")
                new.process.kill()

            async def learned() -> bool:
                return bool((await recovery(old))["bans"] == 2)

            async def returned() -> bool:
                return (await old.call_console("/backends/b2/ready", "POST")).status == 200

            await wait_until_async(learned)  # of a call that only the process that came to nothing had
            await wait_until_async(returned)
            async with successor(one) as new:
                assert "phase listed, path upgrade" in "".join(new.log)
                assert (await recovery(new))["bans"] == 1
                old.terminate()
                assert await old.wait_for_exit() == 0
                await new.wait_for_log("membership: node 0")


@pytest.mark.parametrize("name", ["peers", "disk"])
async def test_nothing_keeps_a_node_from_serving_alone(tmp_path: Path, name: str) -> None:
    async with tier(tmp_path, 2) as one:
        if name == "disk":
            (one.home(0) / "state").write_text("no directory")
        else:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(one.block.places.peer(0))
        async with one.up(0) as rig:
            assert (await recovery(rig))["path"] == "alone" and await served(rig)
            await ban(rig)
            assert "b1" not in await served(rig)
