"""Test membership of real nodes across a kill, a restart and an upgrade, and invalid fleet configurations."""

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
from balancer.lab.run import Run, run_experiment
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


MAX_RUNS = 3  # a void run is repeated up to this many runs in total


class MembershipReader:
    """Reads the membership from node 0's console once, after the kill, like the `fleet` command."""

    def __init__(self) -> None:
        self.memberships: list[command.Membership] = []
        self.thread: threading.Thread | None = None

    def __call__(self, run: Run) -> None:
        if run.fleet.now() > 8000 and self.thread is None:
            console = format_address(run.fleet.addresses.console(0, 0))
            self.thread = threading.Thread(
                target=lambda: self.memberships.append(command.read_membership(console))
            )
            self.thread.start()


@pytest.fixture(scope="module")
def run_result(tmp_path_factory: pytest.TempPathFactory) -> tuple[records.RunRecords, command.Membership]:
    """Run an experiment with membership, and return its records and the membership read from node 0."""
    folder = tmp_path_factory.mktemp("fleet")
    (folder / "spec.toml").write_text(SPEC)
    for number in range(MAX_RUNS):
        reader = MembershipReader()
        run_records = uvloop.run(
            run_experiment(
                load_experiment(folder / "spec.toml"), 1, NODE, folder / f"{number}", False, reader
            )
        )
        if not is_void(run_records):
            break
    assert reader.thread is not None
    reader.thread.join()
    return run_records, reader.memberships[0]


@pytest.fixture(scope="module")
def run_records(run_result: tuple[records.RunRecords, command.Membership]) -> records.RunRecords:
    """Return the records of the run."""
    return run_result[0]


def is_void(run_records: records.RunRecords) -> bool:
    """Return whether a process had no CPU time between SIGTERM and SIGKILL to announce its end."""
    return any(life.terminated_at and life.killed_at for life in run_records.processes)


def states(run_records: records.RunRecords, node: int, member: int) -> list[str]:
    """Return the successive states of a member in the view of `node`, over all its processes.

    Suspicions are left out, because they are withdrawn if the member was only late.
    """
    rows = sorted(
        (v for v in run_records.member_views if (v.node, v.member) == (node, member)), key=lambda v: v.at
    )
    return [state for state, _ in groupby(row.state for row in rows if row.state != "suspected")]


@pytest.mark.parametrize("node", [0, 4])
def test_a_killed_node_is_dead_in_the_view_of_live_nodes(run_records: records.RunRecords, node: int) -> None:
    assert states(run_records, node, 1)[-1] == "dead"


@pytest.mark.parametrize("node", [0, 4])
def test_a_planned_restart_is_announced_and_not_seen_as_a_death(
    run_records: records.RunRecords, node: int
) -> None:
    found = states(run_records, node, 3)
    assert found == ["present", "left", "present", "left"] or found == ["present", "left", "present"]


@pytest.mark.parametrize("node", [0, 4])
def test_an_upgraded_node_neither_leaves_nor_dies_in_the_view_of_others(
    run_records: records.RunRecords, node: int
) -> None:
    # All nodes are terminated from the time at which node 0 is.
    until = min(life.terminated_at for life in run_records.processes if life.node == 0)
    found = [v.state for v in run_records.member_views if (v.node, v.member) == (node, 2) and v.at < until]
    assert "dead" not in found and "left" not in found


def run_node(tmp_path: Path, fleet: str, **over: Any) -> str:
    """Start a node that must fail, and return its error message without code and remedy."""
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
    ("fleet", "over", "message"),
    [
        ("[membership]\n", {"peers": None}, "peers is missing or empty, but [membership] requires it"),
        (
            "[membership]\n",
            {"peers": ["127.0.0.1:1", "127.0.0.1:1"]},
            "peers[1] duplicates an earlier peer: 127.0.0.1:1",
        ),
        ("[membership]\n", {"peer_listen": "x"}, "peer_listen must be IP:PORT, got 'x'"),
        (
            "[membership]\nperiod-ms = -1.0\n",
            {},
            "PROXY_FLEET: membership.period-ms must be between 50 and 60000, got -1.0",
        ),
        ("[recovery]\n", {}, "PROXY_FLEET: [recovery] requires [membership]"),
        ("[membership]\nperiod = 1\n", {}, "PROXY_FLEET: membership: Object contains unknown field `period`"),
        ("membership = 1\n", {}, "PROXY_FLEET: membership: Expected `object | null`, got `int`"),
    ],
)  # fmt: skip
def test_an_invalid_fleet_configuration_fails_with_one_line(
    tmp_path: Path, fleet: str, over: dict[str, Any], message: str
) -> None:
    assert run_node(tmp_path, fleet, **over) == message


def test_a_missing_fleet_file_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="PROXY_FLEET cannot be read"):
        read_fleet_file(tmp_path / "none")


def test_the_console_reports_the_state_of_each_member(
    run_result: tuple[records.RunRecords, command.Membership],
) -> None:
    membership = run_result[1]
    rows = membership.rows()
    assert [r["node"] for r in rows] == [0, 1, 2, 3, 4] and rows[1]["state"] == "dead"
    assert not command.all_members_alive(membership) and membership.quorum
    assert command.view_summary(membership)["states"].get("dead") == 1 and membership.view_reason


def test_the_command_reports_an_unreachable_or_invalid_console() -> None:
    runner = CliRunner()
    for argument, message in (
        ("127.0.0.1:1", "CLI03: 127.0.0.1:1 does not"),
        ("nowhere", "CLI02: --console"),
    ):
        done = runner.invoke(app, ["fleet", "view", "--console", argument])
        assert done.exit_code == 2 and message in done.stderr and done.stderr.count("\n") == 2


async def wait_for_members(shells: list[MembershipShell], members: list[int]) -> None:
    """Wait until exactly these members are present in the view of all given nodes."""

    async def all_agree() -> bool:
        return all(s.core is not None and s.core.present_members() == members for s in shells)

    await wait_until_async(all_agree)


RunningMember = tuple[PeerSocket, MembershipShell]


async def start_member(node: int, listen: Address, peers: list[Address], seed: int) -> RunningMember:
    """Start the membership of a node with a short probe interval."""
    quick = Config.with_probe_interval(70.0)
    port = PeerSocket(listen, peers, listen)
    shell = MembershipShell(quick, node, port, seed)
    await port.bind()
    shell.start()
    return port, shell


def change_peers(member: RunningMember, peers: list[Address]) -> None:
    """Apply another list of peers."""
    peer_change = member[0].change_peers(peers, member[0].broadcast_address)
    assert peer_change is not None
    member[1].change_peers(peer_change)


def close(member: RunningMember) -> None:
    member[1].close()
    member[0].close()


def test_running_nodes_apply_a_changed_list_of_peers() -> None:
    async def body() -> None:
        block = AddressBlock(4, 1)
        peers = [block.addresses.peer(node) for node in range(4)]
        nodes = [await start_member(n, peers[n], peers[:3], n) for n in range(3)]
        shells = [shell for _, shell in nodes]
        try:
            await wait_for_members(shells, [0, 1, 2])
            for member in nodes[:2]:
                change_peers(member, peers[:2])
            close(nodes[2])
            await wait_for_members(shells[:2], [0, 1])
            nodes[2] = await start_member(2, peers[3], [*peers[:2], peers[3]], 9)
            for member in nodes[:2]:  # node 2 has another address now
                change_peers(member, [*peers[:2], peers[3]])
            await wait_for_members([*shells[:2], nodes[2][1]], [0, 1, 2])
        finally:
            for member in nodes:
                close(member)
            block.close()

    uvloop.run(body())


def test_the_peer_socket_routes_by_kind_and_reserves_half_of_the_budget_for_membership() -> None:
    async def body() -> None:
        block = AddressBlock(2, 1)
        peers = [block.addresses.peer(node) for node in range(2)]
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


def test_invalid_peers_on_sighup_change_nothing(tmp_path: Path) -> None:
    table = node_configuration(load_text(tmp_path), AddressPlan(16, 3), 0, 1, 4)
    path, fleet = tmp_path / "config.json", tmp_path / "fleet.toml"
    fleet.write_text("[membership]\n")
    path.write_text(json.dumps(table))
    env = {"PROXY_CONFIG": str(path), "PROXY_FLEET": str(fleet)}

    async def body() -> None:
        current = config.load(env)
        subsystems = Fleet(env, current)
        assert subsystems.peer_socket is not None
        for over, message in (
            ({"peer_listen": "127.0.0.1:9"}, "peer_listen cannot change"),
            ({"peers": []}, "peers is missing"),
            ({"settings": table["settings"] | {"me": 1}}, "me cannot change from 0 to 1"),
        ):
            path.write_text(json.dumps(table | over))
            with pytest.raises(ConfigError, match=message):
                subsystems.prepare_reload(env, config.load(env))
        path.write_text(json.dumps(table | {"peers": table["peers"][:3]}))
        subsystems.prepare_reload(env, config.load(env))()
        assert len(subsystems.peer_socket.peers) == 3

    uvloop.run(body())
