"""The platform's configuration file and the environment that overrides it."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from balancer.net.config_errors import ConfigError, ConfigFileError
from balancer.net.connection_limits import RESERVED_FDS
from balancer.net.endpoint_decoder import EndpointListObject
from balancer.net.endpoints import Address, AddressError, parse_address
from balancer.net.json_fields import FieldError, convert

PREFIX = "PROXY_"  # of environment variables


class Limits(msgspec.Struct):
    """Limits that the node enforces itself."""

    sockets: Annotated[int, msgspec.Meta(ge=2 * RESERVED_FDS)] = 1024
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=sys.float_info.max)] = 192.0


class ConfigFile(msgspec.Struct):
    """The file's fields; `listen` and `discovery` are read by `address_at`."""

    settings: dict[str, Any]
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointListObject = msgspec.field(default_factory=lambda: EndpointListObject(0, [], True))
    seed: Any = "0"
    name: Any = ""
    console: Any = None


def read_config_file(env: Mapping[str, str]) -> dict[str, Any]:
    """Return the JSON object in the file that the environment names. Raises ConfigFileError."""
    path = env.get(PREFIX + "CONFIG")
    if not path:
        raise ConfigFileError(f"{PREFIX}CONFIG is missing")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise ConfigFileError(f"{PREFIX}CONFIG cannot be read: {err}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigFileError(f"{PREFIX}CONFIG is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigFileError(f"{PREFIX}CONFIG is not an object")
    return raw


def convert_file(raw: Mapping[str, Any]) -> ConfigFile:
    """Return the file's fields as typed values. Raises ConfigError."""
    try:
        return convert(raw, ConfigFile)
    except FieldError as err:
        raise ConfigError(str(err)) from None


def address_at(raw: Mapping[str, Any], env: Mapping[str, str], name: str) -> Address:
    """Return an address field; the environment takes precedence over the file. Raises ConfigError."""
    value = env.get(PREFIX + name.upper()) or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing")
    try:
        return parse_address(value)
    except AddressError:
        raise ConfigError(f"{name} makes no sense: {value!r:.120}") from None


def dotted_keys(table: Mapping[str, Any], parent: str = "") -> Iterator[str]:
    """Yield the dotted names of all fields of a table; a list counts as one value."""
    for name, value in table.items():
        yield parent + name
        if isinstance(value, dict):
            yield from dotted_keys(value, f"{parent}{name}.")


def common_class_keys(raw: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys that all request classes of a checked file have; the group goes with the effect."""
    rows: list[dict[str, Any]] = raw["settings"]["request-classes"]
    return frozenset.intersection(*(frozenset(row) for row in rows)) - {"group", "memory-span"}
