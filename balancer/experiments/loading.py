"""Read an experiment from its TOML file, with fields overridden, or from the JSON that a run leaves."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from balancer.experiments.checks import check_experiment
from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.former_keys import with_present_keys


def load_experiment(path: Path, overrides: Iterable[str] = ()) -> Experiment:
    """Read and check an experiment file, with `KEY=VALUE` overrides applied.

    Raises:
        ExperimentError: The file cannot be read, or a field makes no sense.
    """
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise ExperimentError(f"{path} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise ExperimentError(f"{path} is not TOML: {err}") from None
    raw = with_present_keys(raw)
    for override in overrides:
        try:
            raw = with_present_keys(_overridden(raw, override))
        except (IndexError, TypeError):
            raise ExperimentError(f"--set {override}: there is no such field") from None
    try:
        spec = msgspec.convert(raw, Experiment)
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise ExperimentError(f"{where.rstrip('`') or path.name}: {text}") from None
    check_experiment(spec)
    return spec


def decode_experiment(data: bytes) -> Experiment:
    """Decode the `experiment.json` of a run, also of one by an earlier version.

    Raises:
        msgspec.MsgspecError: The bytes are no experiment.
    """
    raw = msgspec.json.decode(data)
    return msgspec.convert(with_present_keys(raw) if isinstance(raw, dict) else raw, Experiment)


def _overridden(raw: dict[str, Any], override: str) -> dict[str, Any]:
    """Return the tables with one dotted field set; a number in its path is an index of a list."""
    path, separator, text = override.partition("=")
    if not separator:
        raise ExperimentError(f"--set {override}: not KEY=VALUE")
    *tables, last = path.split(".")
    here: Any = raw
    for name in tables:
        here = here[int(name)] if isinstance(here, list) and name.isdecimal() else here.setdefault(name, {})
        if not isinstance(here, (dict, list)):
            raise ExperimentError(f"{path}: {name} is no table")
    if isinstance(here, list):
        raise ExperimentError(f"{path}: a list takes no value")
    here[last] = _parsed_value(text)
    return raw


def _parsed_value(text: str) -> Any:
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text
