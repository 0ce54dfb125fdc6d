"""Read the platform's configuration file and the environment variables that override it."""

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

ENV_PREFIX = "PROXY_"


class Limits(msgspec.Struct):
    """Resource limits that the node enforces on itself."""

    sockets: Annotated[int, msgspec.Meta(ge=2 * RESERVED_FDS)] = 1024
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=sys.float_info.max)] = 192.0


class ConfigFile(msgspec.Struct):
    """Typed fields of the configuration file, except for the addresses, which `address_at` reads."""

    settings: dict[str, Any]
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointListObject = msgspec.field(default_factory=lambda: EndpointListObject(0, [], True))
    seed: Any = "0"
    name: Any = ""
    console: Any = None


def read_config_file(env: Mapping[str, str]) -> dict[str, Any]:
    """Return the JSON object in the file that PROXY_CONFIG names. Raises ConfigFileError."""
    path = env.get(ENV_PREFIX + "CONFIG")
    if not path:
        raise ConfigFileError(f"{ENV_PREFIX}CONFIG is missing")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise ConfigFileError(f"{ENV_PREFIX}CONFIG cannot be read: {err}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigFileError(f"{ENV_PREFIX}CONFIG is not valid JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigFileError(f"{ENV_PREFIX}CONFIG does not hold a JSON object")
    return raw


def convert_file(raw: Mapping[str, Any]) -> ConfigFile:
    """Convert the file's fields to typed values. Raises ConfigError if a field is missing or invalid."""
    try:
        return convert(raw, ConfigFile)
    except FieldError as err:
        raise ConfigError(str(err)) from None


def address_at(raw: Mapping[str, Any], env: Mapping[str, str], name: str) -> Address:
    """Return an address from the environment or, failing that, from the file. Raises ConfigError."""
    value = env.get(ENV_PREFIX + name.upper()) or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing; it must be IP:PORT")
    try:
        return parse_address(value)
    except AddressError:
        raise ConfigError(f"{name} must be IP:PORT, got {value!r:.120}") from None


def dotted_keys(table: Mapping[str, Any], parent: str = "") -> Iterator[str]:
    """Yield the dotted names of all fields of a table, including nested tables but not the items of lists."""
    for name, value in table.items():
        yield parent + name
        if isinstance(value, dict):
            yield from dotted_keys(value, f"{parent}{name}.")


def common_class_keys(raw: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys that all request classes of a valid file have, except for `group` and `memory-span`.

    Those two depend on the class's `effect`, so a reload that changes the effect may drop them.
    """
    rows: list[dict[str, Any]] = raw["settings"]["request-classes"]
    return frozenset.intersection(*(frozenset(row) for row in rows)) - {"group", "memory-span"}
