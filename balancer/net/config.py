"""Load the node's configuration at startup and reload it on SIGHUP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from balancer import interface as api
from balancer.net import connection_limits
from balancer.net.config_errors import ConfigError
from balancer.net.config_file import (
    ENV_PREFIX,
    address_at,
    common_class_keys,
    convert_file,
    dotted_keys,
    read_config_file,
)
from balancer.net.config_size import check_size
from balancer.net.connection_limits import (
    MIN_FDS,
    PREDECESSOR_FRACTION,
    RESERVED_FDS,
    ConnectionLimits,
)
from balancer.net.endpoint_decoder import EndpointListObject, update_from_object
from balancer.net.endpoints import Address, EndpointListError, EndpointUpdate
from balancer.settings import parse_settings

# With a descriptor limit below 8 * RESERVED_FDS, a node keeps no descriptors free for a successor process.
MIN_SUCCESSOR_RESERVE_MULTIPLE = 8


@dataclass(slots=True, frozen=True)
class Config:
    """The validated configuration of a node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    initial_list: EndpointUpdate
    max_fds: int
    memory_mb: float
    console: Address | None = None
    # A reloaded file must have every key of the file that it replaces.
    file_keys: frozenset[str] = frozenset()
    request_class_keys: frozenset[str] = frozenset()

    @property
    def sole_process_fds(self) -> int:
        """The descriptor limit of a process that has detected no other process of the node.

        It leaves MIN_FDS free for a successor, which opens descriptors before it is detected. A node without
        a console never has a successor.
        """
        is_reserved = (
            self.console is not None and self.max_fds >= MIN_SUCCESSOR_RESERVE_MULTIPLE * RESERVED_FDS
        )
        return self.max_fds - (MIN_FDS if is_reserved else 0)

    @property
    def predecessor_fds(self) -> int:
        """The descriptor limit shared by all processes that have a successor."""
        return int(self.max_fds * PREDECESSOR_FRACTION)

    def limits_per_process(self, processes: int) -> ConnectionLimits:
        """Return the connection limits of each of several processes that have not detected each other."""
        return self.connection_limits(self.sole_process_fds if processes == 1 else self.max_fds // processes)

    def connection_limits(self, descriptors: int) -> ConnectionLimits:
        """Return the connection limits of a process with this descriptor limit."""
        return connection_limits.connection_limits(descriptors)

    def predecessor_limits(self, descriptors: int) -> ConnectionLimits:
        """Return the connection limits of a process that has a successor."""
        return connection_limits.predecessor_limits(descriptors, self.max_fds)


def load(env: Mapping[str, str]) -> Config:
    """Load the configuration file named by the environment. Raises ConfigError if it is invalid."""
    return _validated_config(read_config_file(env), env)


def reload(env: Mapping[str, str], current: Config) -> Config:
    """Load the configuration that replaces `current`. Raises ConfigError if it is invalid or lacks a key.

    A file without a key that the previous file had is rejected, because the setting would silently fall back
    to its default.
    """
    raw = read_config_file(env)
    if missing_keys := sorted(current.file_keys - set(dotted_keys(raw))):
        raise ConfigError(
            f"{missing_keys[0]} is missing; a reloaded file must have all keys of the previous file"
        )
    # The environment is fixed at process start, so only the file has the current address of discovery.
    config = _validated_config(raw, {k: v for k, v in env.items() if k != ENV_PREFIX + "DISCOVERY"})
    for index, row in enumerate(raw["settings"]["request-classes"]):
        if missing_keys := sorted(current.request_class_keys - row.keys()):
            raise ConfigError(
                f"settings: request-classes[{index}].{missing_keys[0]} is missing; "
                "all classes of the previous file had it"
            )
    return config


def _validated_config(raw: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    file = convert_file(raw)
    check_size(file)
    settings = _settings(file.settings)
    seed = _seed(file.seed)
    initial_list = _initial_list(file.known)
    console = env.get(ENV_PREFIX + "CONSOLE") or file.console
    return Config(
        name=str(env.get(ENV_PREFIX + "NAME") or file.name),
        listen=address_at(raw, env, "listen"),
        discovery=address_at(raw, env, "discovery"),
        seed=seed,
        settings=settings,
        initial_list=initial_list,
        max_fds=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        console=None if console is None else address_at(raw, env, "console"),
        file_keys=frozenset(dotted_keys(raw)),
        request_class_keys=common_class_keys(raw),
    )


def _settings(raw: dict[str, Any]) -> api.Settings:
    try:
        return parse_settings(raw)
    except api.SettingsError as err:
        raise ConfigError(f"settings: {err}") from None


def _seed(raw: Any) -> int:
    try:
        return int(raw, 16) if isinstance(raw, str) else int(raw)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed must be an integer or a hexadecimal string, got {raw!r:.120}") from None


def _initial_list(decoded: EndpointListObject) -> EndpointUpdate:
    try:
        return update_from_object(decoded)
    except EndpointListError as err:
        raise ConfigError(f"known.{err}") from None
