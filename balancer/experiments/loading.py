"""Reading of experiments from TOML files, with overrides, and from the JSON that a run writes."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from balancer.experiments.checks import check_experiment
from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.former_keys import with_current_keys


def load_experiment(path: Path, overrides: Iterable[str] = ()) -> Experiment:
    """Read an experiment file, apply `KEY=VALUE` overrides and validate the result.

    Raises:
        ExperimentError: The file cannot be read, or a field is invalid.
    """
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise ExperimentError(f"{path} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise ExperimentError(f"{path} is not valid TOML: {err}") from None
    raw = with_current_keys(raw)
    for override in overrides:
        try:
            raw = with_current_keys(_apply_override(raw, override))
        except (IndexError, TypeError):
            raise ExperimentError(f"--set {override}: the experiment has no such field") from None
    try:
        spec = msgspec.convert(raw, Experiment)
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise ExperimentError(f"{where.rstrip('`') or path.name}: {text}") from None
    check_experiment(spec)
    return spec


def decode_experiment(data: bytes) -> Experiment:
    """Decode the `experiment.json` of a run, including runs of earlier versions.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid experiment.
    """
    raw = msgspec.json.decode(data)
    return msgspec.convert(with_current_keys(raw) if isinstance(raw, dict) else raw, Experiment)


def _apply_override(raw: dict[str, Any], override: str) -> dict[str, Any]:
    """Set the field with a dotted path, in which a number is a list index, and return the tables."""
    path, separator, text = override.partition("=")
    if not separator:
        raise ExperimentError(f"--set {override}: expected KEY=VALUE")
    *tables, last = path.split(".")
    container: Any = raw
    for name in tables:
        container = (
            container[int(name)]
            if isinstance(container, list) and name.isdecimal()
            else container.setdefault(name, {})
        )
        if not isinstance(container, (dict, list)):
            raise ExperimentError(f"{path}: {name} is neither a table nor a list")
    if isinstance(container, list):
        raise ExperimentError(f"{path}: a list element cannot be replaced, only a field within it")
    container[last] = _parse_value(text)
    return raw


def _parse_value(text: str) -> Any:
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text
