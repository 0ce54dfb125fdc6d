"""Membership in nodes of their own, with a kill, a restart and an upgrade. And what is refused."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop

from dillport.lab import records
from dillport.lab.places import Places
from dillport.lab.processes import configuration
from dillport.lab.programs import ROOT, Program
from dillport.lab.run import play
from dillport.lab.spec import load
from dillport.net.config import ConfigError
from dillport.net.fleet import read

NODE = Program("tests", ROOT, f"exec {sys.executable} -B -m dillport")
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
peers = true
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


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> records.Seen:
    """A run with membership on."""
    folder = tmp_path_factory.mktemp("fleet")
    (folder / "spec.toml").write_text(SPEC)
    return uvloop.run(play(load(folder / "spec.toml"), 1, NODE, folder / "out"))


def states(seen: records.Seen, node: int, member: int) -> list[str]:
    """What one process after another of `node` came to think of a member, in order of time."""
    rows = sorted((v for v in seen.views if (v.node, v.member) == (node, member)), key=lambda v: v.at)
    return [row.state for row in rows]


@pytest.mark.parametrize("node", [0, 4])
def test_a_killed_node_is_dead_to_all_that_live(seen: records.Seen, node: int) -> None:
    assert states(seen, node, 1)[-1] == "dead"


@pytest.mark.parametrize("node", [0, 4])
def test_a_planned_restart_is_said_and_is_no_death(seen: records.Seen, node: int) -> None:
    found = states(seen, node, 3)
    assert found == ["present", "left", "present", "left"] or found == ["present", "left", "present"]


@pytest.mark.parametrize("node", [0, 4])
def test_an_upgraded_node_never_leaves_its_place(seen: records.Seen, node: int) -> None:
    until = min(life.term for life in seen.lives if life.node == 0)  # from then on all leave
    found = [v.state for v in seen.views if (v.node, v.member) == (node, 2) and v.at < until]
    assert "dead" not in found and "left" not in found


def run_node(tmp_path: Path, fleet: str, **over: Any) -> str:
    """What a node says that cannot start."""
    spec = load_text(tmp_path)
    table = configuration(spec, Places(16, 3), 0, 1, 4) | over
    (tmp_path / "config.json").write_text(json.dumps({k: v for k, v in table.items() if v is not None}))
    (tmp_path / "fleet.toml").write_text(fleet)
    env = {"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_FLEET": str(tmp_path / "fleet.toml"),
           "TMPDIR": str(tmp_path)}  # fmt: skip
    done = subprocess.run([sys.executable, "-B", "-m", "dillport"], cwd=ROOT, env=env, capture_output=True,
                          text=True, timeout=60, check=False)  # fmt: skip
    assert done.returncode == 2 and done.stderr.startswith("dillport: ")
    return done.stderr.strip().removeprefix("dillport: ")


def load_text(tmp_path: Path) -> Any:
    (tmp_path / "spec.toml").write_text(SPEC)
    return load(tmp_path / "spec.toml")


@pytest.mark.parametrize(
    ("fleet", "over", "line"),
    [
        ("[membership]\n", {"peers": None}, "peers is missing, and [membership] needs it"),
        ("[membership]\n", {"peers": ["127.0.0.1:1", "127.0.0.1:1"]}, "peers[1] is there twice: 127.0.0.1:1"),
        ("[membership]\n", {"peer_listen": "x"}, "peer_listen makes no sense: 'x'"),
        ("[membership]\nperiod-ms = -1.0\n", {}, "PROXY_FLEET: membership.period-ms makes no sense: -1.0"),
        ("[membership]\nperiod = 1\n", {}, "PROXY_FLEET: membership: Object contains unknown field `period`"),
        ("membership = 1\n", {}, "PROXY_FLEET: membership: Expected `object | null`, got `int`"),
    ],
)  # fmt: skip
def test_what_makes_no_sense_is_one_line(tmp_path: Path, fleet: str, over: dict[str, Any], line: str) -> None:
    assert run_node(tmp_path, fleet, **over) == line


def test_a_fleet_file_that_is_not_there_is_said(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="PROXY_FLEET cannot be read"):
        read(tmp_path / "none")
