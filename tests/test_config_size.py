"""Test that a configuration that exceeds the memory limit is rejected, at startup and on SIGHUP."""

from __future__ import annotations

import gc
import json
import os
import subprocess
import sys
import tracemalloc
from pathlib import Path
from typing import Any

import pytest

from balancer.net.config import Config, load, reload
from balancer.net.config_errors import ConfigSizeError
from balancer.net.config_size import ENTRY_BYTES
from balancer.policy import Balancer
from tests.sockets import node_config


def write_config(path: Path, memory_mb: float = 64, **counts: int) -> dict[str, str]:
    """Write a configuration file with these numbers of entries, and return the environment that names it."""
    raw = node_config([], 1, rules={"drain-grace": 2000})
    table = raw["settings"]
    first = table["request-classes"][0]
    table["projects"] = [
        {"name": f"tenant-{i:07d}", "quota-per-s": 1.0 + i / 7, "share": i / 9e9}
        for i in range(counts.get("tenants", 0))
    ]
    more = [first | {"name": f"class-{i:06d}"} for i in range(counts.get("classes", 0))]
    table["request-classes"] = table["request-classes"] + more
    members = [
        {"id": f"s-{i:08x}", "host_port": f"10.0.{i >> 8 & 255}.{i & 255}:8080", "phase": "in_service",
         "locality": "abc"[i % 3], "up_since_ms": 1.7e12 + i}
        for i in range(counts.get("members", 0))
    ]  # fmt: skip
    raw["known"] = {"revision": 7, "complete": True, "members": members}
    raw["limits"]["memory_mb"] = memory_mb
    file = path / "config.json"
    file.write_text(json.dumps(raw))
    return {"PROXY_CONFIG": str(file)}


@pytest.mark.parametrize(("counts", "line"), [
    ({"tenants": 60_000}, "settings: projects: 60000 entries take 10 of 10 MB"),
    ({"classes": 31_000}, "settings: request-classes: 31003 entries take 13 of 13 MB"),
    ({"members": 42_000}, "known.members: 42000 entries take 10 of 10 MB"),
    ({"tenants": 40_000, "members": 15_000}, "settings: projects: 40000 entries take 7 of 11 MB"),
])  # fmt: skip
def test_tables_that_exceed_the_limit_are_rejected_and_the_largest_is_named(
    tmp_path: Path, counts: dict[str, int], line: str
) -> None:
    """A memory limit of 64 MB leaves 10 MB for tables."""
    with pytest.raises(ConfigSizeError) as err:
        load(write_config(tmp_path, **counts))
    assert str(err.value) == f"{line} of tables, but limits.memory_mb 64 leaves 10"


def test_tables_that_fit_are_loaded(tmp_path: Path) -> None:
    config = load(write_config(tmp_path, tenants=20_000, classes=100, members=5000))
    assert len(config.settings.tenants) == 20_000 and len(config.initial_list.members) == 5000


def test_the_planned_size_fits_the_default_memory_limit(tmp_path: Path) -> None:
    """The planned size is 350,000 tenants and 14,000 classes; loading them would take some seconds."""
    sizes = list(ENTRY_BYTES.values())
    assert 350_000 * sizes[0] + 14_000 * sizes[1] < (192 / 2 - 22) * 2**20
    assert load(write_config(tmp_path, memory_mb=16, tenants=1000)).memory_mb == 16


def test_a_reload_that_exceeds_the_limit_is_rejected(tmp_path: Path) -> None:
    config: Config = load(write_config(tmp_path, tenants=10))
    with pytest.raises(ConfigSizeError):
        reload(write_config(tmp_path, tenants=60_000), config)
    assert len(reload(write_config(tmp_path, tenants=20), config).settings.tenants) == 20


def test_the_program_exits_with_one_line_on_standard_error(tmp_path: Path) -> None:
    env = os.environ | write_config(tmp_path, tenants=60_000)
    result = subprocess.run([sys.executable, "-m", "balancer"], env=env, capture_output=True, text=True)
    assert result.returncode == 2 and result.stderr.count("\n") == 1
    assert result.stderr.startswith("balancer: CFG05: settings: projects: 60000 entries take 10 of 10 MB")


@pytest.mark.parametrize(("field", "counts"), [
    ("settings: projects", {"tenants": 4000}),
    ("settings: request-classes", {"classes": 500}),
    ("known.members", {"members": 3000}),
])  # fmt: skip
def test_an_entry_takes_the_memory_that_the_check_assumes(
    tmp_path: Path, field: str, counts: dict[str, int]
) -> None:
    """The memory is measured with tracemalloc and includes the decision module's part."""

    def traced_bytes(**some: int) -> int:
        env = write_config(tmp_path, **some)
        gc.collect()
        tracemalloc.start()
        config: list[Any] = [load(env)]
        config.append(Balancer(config[0].settings, 1))
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return size

    # The first call creates objects that stay in memory; they must not count in later measurements.
    traced_bytes()
    (entry_count,) = counts.values()
    bytes_per_entry = (traced_bytes(**counts) - traced_bytes()) / entry_count
    assert 0.8 * ENTRY_BYTES[field] < bytes_per_entry <= 1.05 * ENTRY_BYTES[field]
