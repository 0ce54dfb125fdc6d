"""Tests of operator errors: unique codes, one-line remedies, and a documentation page that lists all."""

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


def errors_by_code() -> dict[str, type[BalancerError]]:
    """Return all operator error classes of the program by their code."""
    for module in pkgutil.walk_packages(balancer.__path__, "balancer."):
        # Importing this module would run the command.
        if module.name not in ("balancer.cli.__main__",):
            importlib.import_module(module.name)
    found: list[type[BalancerError]] = [BalancerError]
    for kind in found:
        found.extend(kind.__subclasses__())
    kinds = [kind for kind in found[1:] if kind.__module__.startswith("balancer.")]
    codes = {kind.__dict__.get("code", ""): kind for kind in kinds}
    assert len(codes) == len(set(kinds)), "an error code is used twice or missing"
    return codes


def test_each_error_has_a_unique_code_and_a_one_line_remedy() -> None:
    for code, kind in errors_by_code().items():
        assert CODE.fullmatch(code), (code, kind)
        remedy = kind.__dict__.get("remedy", "")
        assert remedy and remedy == " ".join(remedy.split()) and not remedy.endswith("."), (code, remedy)


def test_the_on_call_page_lists_exactly_the_codes_and_remedies() -> None:
    rows = ROW.findall((ROOT / "docs" / "on-call.md").read_text("utf-8"))
    documented = {code: remedy.replace("`", "") for code, _, remedy in rows}
    assert len(documented) == len(rows) and list(documented) == sorted(documented)
    assert documented == {code: kind.remedy for code, kind in errors_by_code().items()}


def test_messages_and_remedies_are_one_line_each() -> None:
    class ExampleError(BalancerError):
        code = "ODD01"
        remedy = "nothing"

    assert ExampleError("two\n  lines").report_lines == ("ODD01: two lines", "what to do: nothing")
    assert ExampleError("x").one_line_report == "ODD01: x; what to do: nothing"


@pytest.mark.parametrize(
    ("env", "start"),
    [
        ({}, "balancer: CFG02: PROXY_CONFIG is missing; what to do: "),
        ({"PROXY_CONFIG": "/nowhere"}, "balancer: CFG02: PROXY_CONFIG cannot be read: "),
        ({"PROXY_CONFIG": "{}"}, "balancer: CFG01: settings is missing; what to do: "),
    ],
)
def test_a_node_that_cannot_start_prints_the_reason_in_one_line(
    tmp_path: Path, env: dict[str, str], start: str
) -> None:
    if "{" in env.get("PROXY_CONFIG", ""):
        (tmp_path / "config.json").write_text(env["PROXY_CONFIG"])
        env = {"PROXY_CONFIG": str(tmp_path / "config.json")}
    base_env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    result = subprocess.run(
        [sys.executable, "-m", "balancer"], cwd=ROOT, env=base_env | env, capture_output=True
    )
    text = result.stderr.decode()
    assert result.returncode == 2 and text.startswith(start) and text.count("\n") == 1


def test_a_missing_library_is_reported_with_its_requirements_file(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(node_config([], 1)))
    (tmp_path / "fleet.toml").write_text(f'[durable]\ndirectory = "{tmp_path}/state"\n')
    (tmp_path / "google_crc32c.py").write_text("raise ModuleNotFoundError('No module named google_crc32c')")
    extra_env = {"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_FLEET": str(tmp_path / "fleet.toml"),
            "PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}  # fmt: skip
    result = subprocess.run([sys.executable, "-m", "balancer"], cwd=ROOT, env=os.environ | extra_env,
                         capture_output=True, text=True)  # fmt: skip
    assert result.returncode == 2 and result.stderr.count("\n") == 1
    assert result.stderr.startswith("balancer: NOD03: ") and "requirements-fleet.txt" in result.stderr


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
def test_the_command_prints_code_and_message_then_the_remedy(tmp_path: Path, args: str, code: str) -> None:
    command = args.replace("OUT", str(tmp_path / "none")).replace("FILLED", str(tmp_path))
    result = CliRunner().invoke(app, command.split())
    happened, remedy = result.stderr.splitlines()
    assert result.exit_code == 2 and happened.startswith(f"balancer: {code}: ")
    assert remedy == f"what to do: {errors_by_code()[code].remedy}"
