"""What operators are told: codes that stay, a remedy for each, and a page that has all of them."""

from __future__ import annotations

import importlib
import json
import os
import pkgutil
import re
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

import balancer
from balancer.cli.app import app
from balancer.errors import BalancerError
from tests.sockets import node_config

ROOT = Path(__file__).parents[1]
CODE = re.compile(r"[A-Z]{3}[0-9]{2}")
ROW = re.compile(rf"^\| `({CODE.pattern})` \| (.+) \| (.+) \|$", re.M)


def every() -> dict[str, type[BalancerError]]:
    """All error types of the program, by code."""
    for module in pkgutil.walk_packages(balancer.__path__, "balancer."):
        if module.name not in ("balancer.cli.__main__",):  # runs as it is imported
            importlib.import_module(module.name)
    found: list[type[BalancerError]] = [BalancerError]
    for kind in found:
        found.extend(kind.__subclasses__())
    kinds = [kind for kind in found[1:] if kind.__module__.startswith("balancer.")]
    codes = {kind.__dict__.get("code", ""): kind for kind in kinds}
    assert len(codes) == len(set(kinds)), "a code is there twice, or missing"
    return codes


def test_each_error_has_a_code_of_its_own_and_one_line_of_what_to_do() -> None:
    for code, kind in every().items():
        assert CODE.fullmatch(code), (code, kind)
        remedy = kind.__dict__.get("remedy", "")
        assert remedy and remedy == " ".join(remedy.split()) and not remedy.endswith("."), (code, remedy)


def test_the_page_has_each_code_and_what_to_do_and_no_others() -> None:
    rows = ROW.findall((ROOT / "docs" / "on-call.md").read_text("utf-8"))
    told = {code: remedy.replace("`", "") for code, _, remedy in rows}
    assert len(told) == len(rows) and list(told) == sorted(told)
    assert told == {code: kind.remedy for code, kind in every().items()}


def test_what_is_said_is_one_line_each() -> None:
    class Odd(BalancerError):
        code = "ODD01"
        remedy = "nothing"

    assert Odd("two\n  lines").report_lines == ("ODD01: two lines", "what to do: nothing")
    assert Odd("x").one_line_report == "ODD01: x; what to do: nothing"


@pytest.mark.parametrize(
    ("env", "start"),
    [
        ({}, "balancer: CFG02: PROXY_CONFIG is missing; what to do: "),
        ({"PROXY_CONFIG": "/nowhere"}, "balancer: CFG02: PROXY_CONFIG cannot be read: "),
        ({"PROXY_CONFIG": "{}"}, "balancer: CFG01: settings is missing; what to do: "),
    ],
)
def test_a_node_that_does_not_run_says_why_in_one_line(
    tmp_path: Path, env: dict[str, str], start: str
) -> None:
    if "{" in env.get("PROXY_CONFIG", ""):
        (tmp_path / "config.json").write_text(env["PROXY_CONFIG"])
        env = {"PROXY_CONFIG": str(tmp_path / "config.json")}
    kept = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    got = subprocess.run([sys.executable, "-m", "balancer"], cwd=ROOT, env=kept | env, capture_output=True)
    text = got.stderr.decode()
    assert got.returncode == 2 and text.startswith(start) and text.count("\n") == 1


def test_libraries_that_are_not_there_are_said(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(node_config([], 1)))
    (tmp_path / "fleet.toml").write_text(f'[durable]\ndirectory = "{tmp_path}/state"\n')
    (tmp_path / "google_crc32c.py").write_text("raise ModuleNotFoundError('No module named google_crc32c')")
    more = {"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_FLEET": str(tmp_path / "fleet.toml"),
            "PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}  # fmt: skip
    got = subprocess.run([sys.executable, "-m", "balancer"], cwd=ROOT, env=os.environ | more,
                         capture_output=True, text=True)  # fmt: skip
    assert got.returncode == 2 and got.stderr.count("\n") == 1
    assert got.stderr.startswith("balancer: NOD03: ") and "requirements-fleet.txt" in got.stderr


@pytest.mark.parametrize(
    ("args", "code"),
    [
        ("lab run no-such-experiment --out OUT", "LAB01"),
        ("lab run calm --out OUT --set seconds=-1", "LAB01"),
        ("lab run calm --out OUT --revision .+slow", "LAB03"),
        ("lab report OUT", "LAB07"),
        ("fleet members --console 127.0.0.1:1", "CLI03"),
        ("fleet view --console nowhere", "CLI02"),
        ("state verify OUT", "CLI05"),
        ("state compact FILLED", "CLI05"),
    ],
)
def test_the_command_says_code_and_what_happened_then_what_to_do(
    tmp_path: Path, args: str, code: str
) -> None:
    where = args.replace("OUT", str(tmp_path / "none")).replace("FILLED", str(tmp_path))
    done = CliRunner().invoke(app, where.split())
    happened, remedy = done.stderr.splitlines()
    assert done.exit_code == 2 and happened.startswith(f"balancer: {code}: ")
    assert remedy == f"what to do: {every()[code].remedy}"
