"""Former keys of experiment files, which are read as their current names."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from balancer.experiments.experiment import Experiment
from balancer.experiments.former_keys import CLASS_KEYS, DISCOVERY_MODES, FAULT_KEYS, TABLE_KEYS
from balancer.experiments.loading import decode_experiment, load_experiment

# Each value differs from the default of its field.
VALUES = {
    "cold-from": 0.3, "cold-s": 2.5, "cold": True, "notice-s": 0.7, "add-s": 0.6, "spread-ms": 11.0,
    "call-ms": 9.0, "indented": True, "ends": True, "same-ms": 0.4, "cross-ms": 7.0, "peers": True,
    "swing": 0.2, "try-share": 0.4, "honour": 0.9, "impatient": 0.1, "per-connection": 7,
    "aim-ms": 99.0, "late-worth": 0.5, "attempts": 2, "moves": True, "times": 5.0, "by-ms": 700.0,
    "by": 3.0,
}  # fmt: skip
REQUIRED_FAULT_FIELDS = {
    "reload": 'what = "nodes:0"\n',
    "slow": 'what = "backends:0"\nfor = 1.0\n',
    "surge": "for = 1.0\n",
    "discovery-late": "for = 1.0\n",
}
REQUIRED_CLASS_FIELDS = 'name = "read"\neffect = "retryable"\nshare = 1.0\n'


def key_pairs(tables: dict[str, dict[str, str]]) -> list[tuple[str, str, str]]:
    return [(table, former, current) for table, keys in tables.items() for former, current in keys.items()]


def toml_literal(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else repr(value)


def read_experiment(directory: Path, text: str, overrides: tuple[str, ...] = ()) -> Experiment:
    path = directory / "x.toml"
    path.write_text(f'name = "x"\n{text}')
    return load_experiment(path, overrides)


def field_value(table: Any, key: str) -> Any:
    return getattr(table, key.replace("-", "_"))


@pytest.mark.parametrize(("table", "former", "current"), key_pairs(TABLE_KEYS))
def test_former_table_key_is_read_as_current_key(
    tmp_path: Path, table: str, former: str, current: str
) -> None:
    value = VALUES[former]
    with_former_key = read_experiment(tmp_path, f"[{table}]\n{former} = {toml_literal(value)}\n")
    assert with_former_key == read_experiment(tmp_path, f"[{table}]\n{current} = {toml_literal(value)}\n")
    assert field_value(getattr(with_former_key, table), current) == value
    assert with_former_key != read_experiment(tmp_path, "")


@pytest.mark.parametrize(("table", "former", "current"), key_pairs(TABLE_KEYS))
def test_override_with_former_key_takes_precedence_over_file(
    tmp_path: Path, table: str, former: str, current: str
) -> None:
    default = getattr(Experiment(name="x"), table)
    text = f"[{table}]\n{current} = {toml_literal(field_value(default, current))}\n"
    spec = read_experiment(tmp_path, text, (f"{table}.{former}={toml_literal(VALUES[former])}",))
    assert field_value(getattr(spec, table), current) == VALUES[former]


@pytest.mark.parametrize(("former", "current"), CLASS_KEYS.items())
def test_former_request_class_key_is_read_as_current_key(tmp_path: Path, former: str, current: str) -> None:
    spec = read_experiment(
        tmp_path, f"[[load.classes]]\n{REQUIRED_CLASS_FIELDS}{former} = {VALUES[former]}\n"
    )
    assert field_value(spec.load.classes[0], current) == VALUES[former]


@pytest.mark.parametrize(("kind", "former", "current"), key_pairs(FAULT_KEYS))
def test_former_fault_key_is_read_as_current_key(
    tmp_path: Path, kind: str, former: str, current: str
) -> None:
    text = (
        f'[[faults]]\nkind = "{kind}"\nat = 2.0\n'
        f"{REQUIRED_FAULT_FIELDS[kind]}{former} = {toml_literal(VALUES[former])}\n"
    )
    assert field_value(read_experiment(tmp_path, text).faults[0], current) == VALUES[former]


def test_former_clock_offset_key_is_read_as_current_key(tmp_path: Path) -> None:
    text = '[[faults]]\nkind = "power"\nat = 2.0\nclocks = [{nodes = "nodes:0", by = 3.0}]\n'
    assert read_experiment(tmp_path, text).faults[0].clocks[0].offset_s == VALUES["by"]  # type: ignore[union-attr]


@pytest.mark.parametrize(("former", "current"), DISCOVERY_MODES.items())
def test_former_discovery_mode_is_read_as_current_mode(tmp_path: Path, former: str, current: str) -> None:
    assert read_experiment(tmp_path, f'[discovery]\nmode = "{former}"\n').discovery.mode == current


def test_experiment_json_of_earlier_version_is_decoded() -> None:
    raw = {"name": "x", "backends": {"cold-s": 2.5}, "discovery": {"mode": "ask", "ends": True},
           "faults": [{"kind": "surge", "at": 1.0, "for": 2.0, "times": 3.0}]}  # fmt: skip
    spec = decode_experiment(msgspec.json.encode(raw))
    assert spec.backends.warm_up_s == raw["backends"]["cold-s"]  # type: ignore[index]
    assert spec.discovery.watch_ends_on_change
    assert decode_experiment(msgspec.json.encode(spec)) == spec
