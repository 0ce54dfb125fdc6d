"""Former keys of experiment files: each is read as its present name."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from balancer.experiments.experiment import Experiment
from balancer.experiments.former_keys import CLASS_KEYS, DISCOVERY_MODES, FAULT_KEYS, TABLE_KEYS
from balancer.experiments.loading import decode_experiment, load_experiment

VALUES = {  # other than the defaults
    "cold-from": 0.3, "cold-s": 2.5, "cold": True, "notice-s": 0.7, "add-s": 0.6, "spread-ms": 11.0,
    "call-ms": 9.0, "indented": True, "ends": True, "same-ms": 0.4, "cross-ms": 7.0, "peers": True,
    "swing": 0.2, "try-share": 0.4, "honour": 0.9, "impatient": 0.1, "per-connection": 7,
    "aim-ms": 99.0, "late-worth": 0.5, "attempts": 2, "moves": True, "times": 5.0, "by-ms": 700.0,
    "by": 3.0,
}  # fmt: skip
TARGETS = {"reload": 'what = "nodes:0"\n', "slow": 'what = "backends:0"\nfor = 1.0\n', "surge": "for = 1.0\n",
           "discovery-late": "for = 1.0\n"}  # fmt: skip
CLASSES = 'name = "read"\neffect = "retryable"\nshare = 1.0\n'


def key_pairs(tables: dict[str, dict[str, str]]) -> list[tuple[str, str, str]]:
    return [(table, former, present) for table, keys in tables.items() for former, present in keys.items()]


def toml(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else repr(value)


def read(folder: Path, text: str, overrides: tuple[str, ...] = ()) -> Experiment:
    path = folder / "x.toml"
    path.write_text(f'name = "x"\n{text}')
    return load_experiment(path, overrides)


def values_of(struct: Any, key: str) -> Any:
    return getattr(struct, key.replace("-", "_"))


@pytest.mark.parametrize(("table", "former", "present"), key_pairs(TABLE_KEYS))
def test_a_former_key_of_a_table_is_read_as_its_present_name(
    tmp_path: Path, table: str, former: str, present: str
) -> None:
    value = VALUES[former]
    by_former = read(tmp_path, f"[{table}]\n{former} = {toml(value)}\n")
    assert by_former == read(tmp_path, f"[{table}]\n{present} = {toml(value)}\n")
    assert values_of(getattr(by_former, table), present) == value
    assert by_former != read(tmp_path, "")


@pytest.mark.parametrize(("table", "former", "present"), key_pairs(TABLE_KEYS))
def test_an_override_by_a_former_key_counts_over_the_file(
    tmp_path: Path, table: str, former: str, present: str
) -> None:
    default = getattr(Experiment(name="x"), table)
    text = f"[{table}]\n{present} = {toml(values_of(default, present))}\n"
    spec = read(tmp_path, text, (f"{table}.{former}={toml(VALUES[former])}",))
    assert values_of(getattr(spec, table), present) == VALUES[former]


@pytest.mark.parametrize(("former", "present"), CLASS_KEYS.items())
def test_a_former_key_of_a_request_class_is_read_as_its_present_name(
    tmp_path: Path, former: str, present: str
) -> None:
    spec = read(tmp_path, f"[[load.classes]]\n{CLASSES}{former} = {VALUES[former]}\n")
    assert values_of(spec.load.classes[0], present) == VALUES[former]


@pytest.mark.parametrize(("kind", "former", "present"), key_pairs(FAULT_KEYS))
def test_a_former_key_of_a_fault_is_read_as_its_present_name(
    tmp_path: Path, kind: str, former: str, present: str
) -> None:
    text = f'[[faults]]\nkind = "{kind}"\nat = 2.0\n{TARGETS[kind]}{former} = {toml(VALUES[former])}\n'
    assert values_of(read(tmp_path, text).faults[0], present) == VALUES[former]


def test_the_former_key_of_a_clock_step_is_read_as_its_present_name(tmp_path: Path) -> None:
    text = '[[faults]]\nkind = "power"\nat = 2.0\nclocks = [{nodes = "nodes:0", by = 3.0}]\n'
    assert read(tmp_path, text).faults[0].clocks[0].offset_s == VALUES["by"]  # type: ignore[union-attr]


@pytest.mark.parametrize(("former", "present"), DISCOVERY_MODES.items())
def test_a_former_mode_of_discovery_is_read_as_its_present_name(
    tmp_path: Path, former: str, present: str
) -> None:
    assert read(tmp_path, f'[discovery]\nmode = "{former}"\n').discovery.mode == present


def test_the_experiment_of_an_earlier_run_is_read() -> None:
    raw = {"name": "x", "backends": {"cold-s": 2.5}, "discovery": {"mode": "ask", "ends": True},
           "faults": [{"kind": "surge", "at": 1.0, "for": 2.0, "times": 3.0}]}  # fmt: skip
    spec = decode_experiment(msgspec.json.encode(raw))
    assert spec.backends.warm_up_s == raw["backends"]["cold-s"]  # type: ignore[index]
    assert spec.discovery.watch_ends_on_change
    assert decode_experiment(msgspec.json.encode(spec)) == spec
