"""Membership in nodes of their own, with a kill, a restart and an upgrade. And what is refused."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import threading
from itertools import groupby
from pathlib import Path
from typing import Any

import pytest
import uvloop
from typer.testing import CliRunner

from balancer.cli import fleet as command
from balancer.cli.app import app
from balancer.experiments.loading import load_experiment
from balancer.lab import records
from balancer.lab.addresses import AddressBlock, AddressPlan, format_address
from balancer.lab.processes import node_configuration
from balancer.lab.programs import ROOT, Program
from balancer.lab.run import Run, play
from balancer.membership.config import Config
from balancer.membership.messages import Message, MessageKind, encode
from balancer.membership.peer_socket import MAX_DATAGRAMS_PER_S, RECOVERY_KINDS, PeerSocket
from balancer.membership.shell import MembershipShell
from balancer.net import config
from balancer.net.config_errors import ConfigError
from balancer.net.endpoints import Address
from balancer.net.fleet import Fleet
from balancer.net.fleet_file import read_fleet_file
from tests.sockets import wait_until_async

NODE = Program("tests", ROOT, f"exec {sys.executable} -B -m balancer")
SPEC = """
name = "members"
seconds = 14.0
[fleet]
nodes = 5
membership = true
[backends]
count = 3
[load]
rate = 30.0
[network]
peer-datagrams = true
[[faults]]
kind = "kill"
at = 3.0
what = "nodes:1"
[[faults]]
kind = "upgrade"
at = 3.5
what = "nodes:2"
[[faults]]
kind = "terminate"
at = 4.0
what = "nodes:3"
restart-after = 0.5
"""


PLAYS = 3  # at most, until one is not void


class EndpointWatcher:
    """Looks at node 0's console as the command does, once it has heard of the kill."""

    def __init__(self) -> None:
        self.looks: list[command.Membership] = []
        self.thread: threading.Thread | None = None

    def __call__(self, run: Run) -> None:
        if run.fleet.now() > 8000 and self.thread is None:
            console = format_address(run.fleet.places.console(0, 0))
            self.thread = threading.Thread(target=lambda: self.looks.append(command.read_membership(console)))
            self.thread.start()


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> tuple[records.RunRecords, command.Membership]:
    """A run with membership on, and what node 0 told in its midst."""
    folder = tmp_path_factory.mktemp("fleet")
    (folder / "spec.toml").write_text(SPEC)
    for number in range(PLAYS):
        watcher = EndpointWatcher()
        seen = uvloop.run(
            play(load_experiment(folder / "spec.toml"), 1, NODE, folder / f"{number}", False, watcher)
        )
        if not void(seen):
            break
    assert watcher.thread is not None
    watcher.thread.join()
    return seen, watcher.looks[0]


@pytest.fixture(scope="module")
def seen(played: tuple[records.RunRecords, command.Membership]) -> records.RunRecords:
    """What the run saw."""
    return played[0]


def void(seen: records.RunRecords) -> bool:
    """Whether a process that was to end had no processor until SIGKILL came: of it nobody could be told."""
    return any(life.term and life.killed for life in seen.processes)


def states(seen: records.RunRecords, node: int, member: int) -> list[str]:
    """What one process after another of `node` came to think of a member, in order of time.

    Suspicions are left out: they come to nothing where the member was only late.
    """
    rows = sorted((v for v in seen.member_views if (v.node, v.member) == (node, member)), key=lambda v: v.at)
    return [state for state, _ in groupby(row.state for row in rows if row.state != "suspected")]


@pytest.mark.parametrize("node", [0, 4])
def test_a_killed_node_is_dead_to_all_that_live(seen: records.RunRecords, node: int) -> None:
    assert states(seen, node, 1)[-1] == "dead"


@pytest.mark.parametrize("node", [0, 4])
def test_a_planned_restart_is_said_and_is_no_death(seen: records.RunRecords, node: int) -> None:
    found = states(seen, node, 3)
    assert found == ["present", "left", "present", "left"] or found == ["present", "left", "present"]


@pytest.mark.parametrize("node", [0, 4])
def test_an_upgraded_node_never_leaves_its_place(seen: records.RunRecords, node: int) -> None:
    until = min(life.term for life in seen.processes if life.node == 0)  # from then on all leave
    found = [v.state for v in seen.member_views if (v.node, v.member) == (node, 2) and v.at < until]
    assert "dead" not in found and "left" not in found


def run_node(tmp_path: Path, fleet: str, **over: Any) -> str:
    """What a node says that cannot start."""
    spec = load_text(tmp_path)
    table = node_configuration(spec, AddressPlan(16, 3), 0, 1, 4) | over
    (tmp_path / "config.json").write_text(json.dumps({k: v for k, v in table.items() if v is not None}))
    (tmp_path / "fleet.toml").write_text(fleet)
    env = {"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_FLEET": str(tmp_path / "fleet.toml"),
           "TMPDIR": str(tmp_path)}  # fmt: skip
    done = subprocess.run([sys.executable, "-B", "-m", "balancer"], cwd=ROOT, env=env, capture_output=True,
                          text=True, timeout=60, check=False)  # fmt: skip
    assert done.returncode == 2 and done.stderr.startswith("balancer: CFG") and done.stderr.count("\n") == 1
    return done.stderr.partition(": ")[2].partition(": ")[2].partition("; what to do: ")[0]


def load_text(tmp_path: Path) -> Any:
    (tmp_path / "spec.toml").write_text(SPEC)
    return load_experiment(tmp_path / "spec.toml")


@pytest.mark.parametrize(
    ("fleet", "over", "line"),
    [
        ("[membership]\n", {"peers": None}, "peers is missing, and [membership] needs it"),
        ("[membership]\n", {"peers": ["127.0.0.1:1", "127.0.0.1:1"]}, "peers[1] is there twice: 127.0.0.1:1"),
        ("[membership]\n", {"peer_listen": "x"}, "peer_listen must be IP:PORT, got 'x'"),
        ("[membership]\nperiod-ms = -1.0\n", {}, "PROXY_FLEET: membership.period-ms makes no sense: -1.0"),
        ("[recovery]\n", {}, "PROXY_FLEET: recovery: it needs [membership]"),
        ("[membership]\nperiod = 1\n", {}, "PROXY_FLEET: membership: Object contains unknown field `period`"),
        ("membership = 1\n", {}, "PROXY_FLEET: membership: Expected `object | null`, got `int`"),
    ],
)  # fmt: skip
def test_what_makes_no_sense_is_one_line(tmp_path: Path, fleet: str, over: dict[str, Any], line: str) -> None:
    assert run_node(tmp_path, fleet, **over) == line


def test_a_fleet_file_that_is_not_there_is_said(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="PROXY_FLEET cannot be read"):
        read_fleet_file(tmp_path / "none")


def test_the_console_tells_who_is_present(played: tuple[records.RunRecords, command.Membership]) -> None:
    told = played[1]
    rows = told.rows()
    assert [r["node"] for r in rows] == [0, 1, 2, 3, 4] and rows[1]["state"] == "dead"
    assert not command.all_members_alive(told) and told.quorum
    assert command.view_summary(told)["states"].get("dead") == 1 and told.view_reason


def test_a_console_that_gives_no_view_is_said() -> None:
    runner = CliRunner()
    for argument, line in (("127.0.0.1:1", "CLI03: 127.0.0.1:1 does not"), ("nowhere", "CLI02: --console")):
        done = runner.invoke(app, ["fleet", "view", "--console", argument])
        assert done.exit_code == 2 and line in done.stderr and done.stderr.count("\n") == 2


async def reach(shells: list[MembershipShell], members: list[int]) -> None:
    """Wait until some nodes hold just these for present."""

    async def same() -> bool:
        return all(s.core is not None and s.core.present_members() == members for s in shells)

    await wait_until_async(same)


Present = tuple[PeerSocket, MembershipShell]


async def present(node: int, listen: Address, peers: list[Address], seed: int) -> Present:
    """A node that is present, with quick times."""
    quick = Config.with_probe_interval(70.0)
    port = PeerSocket(listen, peers, listen)
    shell = MembershipShell(quick, node, port, seed)
    await port.bind()
    shell.start()
    return port, shell


def move(one: Present, peers: list[Address]) -> None:
    """Give it another list."""
    moved = one[0].change_peers(peers, one[0].broadcast_address)
    assert moved is not None
    one[1].change_peers(moved)


def close(one: Present) -> None:
    one[1].close()
    one[0].close()


def test_another_list_of_peers_is_taken_over_by_nodes_that_run() -> None:
    async def body() -> None:
        block = AddressBlock(4, 1)
        peers = [block.places.peer(node) for node in range(4)]
        nodes = [await present(n, peers[n], peers[:3], n) for n in range(3)]
        shells = [shell for _, shell in nodes]
        try:
            await reach(shells, [0, 1, 2])
            for one in nodes[:2]:
                move(one, peers[:2])
            close(nodes[2])
            await reach(shells[:2], [0, 1])
            nodes[2] = await present(2, peers[3], [*peers[:2], peers[3]], 9)
            for one in nodes[:2]:  # number two is at home elsewhere now
                move(one, [*peers[:2], peers[3]])
            await reach([*shells[:2], nodes[2][1]], [0, 1, 2])
        finally:
            for one in nodes:
                close(one)
            block.close()

    uvloop.run(body())


def test_the_port_gives_each_room_its_kinds_and_leaves_half_of_the_budget_to_membership() -> None:
    async def body() -> None:
        block = AddressBlock(2, 1)
        peers = [block.places.peer(node) for node in range(2)]
        here, there = PeerSocket(peers[0], peers, peers[1]), PeerSocket(peers[1], peers, peers[0])
        foreign = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        got: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        ping = encode(Message(MessageKind.PING, 0, 1, 1, 1, 0))
        roll = ping[:5] + bytes([RECOVERY_KINDS[0]]) + ping[6:]
        later = ping[:5] + bytes([RECOVERY_KINDS.stop]) + ping[6:]
        for port in (here, there):
            port.register(range(16), lambda node, data: got.put_nowait((node, data)), has_priority=True)
        here.register(RECOVERY_KINDS, lambda node, data: None)
        here.register(range(RECOVERY_KINDS.stop, RECOVERY_KINDS.stop + 1), lambda node, data: None)
        try:
            await here.bind()
            await there.bind()
            foreign.sendto(ping, peers[1])
            here.send(1, later)
            here.send(1, roll)
            here.send(1, ping)
            assert await asyncio.wait_for(got.get(), 20) == (0, ping)
            assert there.stats()["foreign"] == 1 and there.stats()["unknown"] == 2
            for _ in range(2 * int(MAX_DATAGRAMS_PER_S)):
                here.send(1, roll)
            assert (
                here.stats()["sent"] < 0.6 * MAX_DATAGRAMS_PER_S
                and here.stats()["over_budget"] > MAX_DATAGRAMS_PER_S
            )
            here.send(None, ping)
            assert await asyncio.wait_for(got.get(), 20) == (0, ping)
        finally:
            here.close()
            there.close()
            foreign.close()
            block.close()

    uvloop.run(body())


def test_peers_that_make_no_sense_at_sighup_change_nothing(tmp_path: Path) -> None:
    table = node_configuration(load_text(tmp_path), AddressPlan(16, 3), 0, 1, 4)
    path, fleet = tmp_path / "config.json", tmp_path / "fleet.toml"
    fleet.write_text("[membership]\n")
    path.write_text(json.dumps(table))
    env = {"PROXY_CONFIG": str(path), "PROXY_FLEET": str(fleet)}

    async def body() -> None:
        held = config.load(env)
        rooms = Fleet(env, held)
        assert rooms.peer_socket is not None
        for over, line in (
            ({"peer_listen": "127.0.0.1:9"}, "peer_listen cannot change"),
            ({"peers": []}, "peers is missing"),
            ({"settings": table["settings"] | {"me": 1}}, "me cannot change from 0 to 1"),
        ):
            path.write_text(json.dumps(table | over))
            with pytest.raises(ConfigError, match=line):
                rooms.prepare_reload(env, config.load(env))
        path.write_text(json.dumps(table | {"peers": table["peers"][:3]}))
        rooms.prepare_reload(env, config.load(env))()
        assert len(rooms.peer_socket.peers) == 3

    uvloop.run(body())
