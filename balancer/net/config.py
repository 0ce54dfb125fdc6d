"""The configuration of a node: load at the start, reload on SIGHUP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from balancer import interface as api
from balancer.net import connection_limits
from balancer.net.config_errors import ConfigError
from balancer.net.config_file import (
    PREFIX,
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

SMALL_NODE_RESERVES = 8  # a node with fewer descriptors than so many reserves keeps none free for a successor


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is configured with."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    initial_list: EndpointUpdate
    max_fds: int
    memory_mb: float
    console: Address | None = None
    keys: frozenset[str] = frozenset()  # of the file: the one that replaces it must have them
    class_keys: frozenset[str] = frozenset()

    @property
    def sole_process_fds(self) -> int:
        """Descriptors of a process that knows of no other: a second one needs the minimum before it is seen.

        Without a console there is no second one.
        """
        is_reserved = self.console is not None and self.max_fds >= SMALL_NODE_RESERVES * RESERVED_FDS
        return self.max_fds - (MIN_FDS if is_reserved else 0)

    @property
    def predecessor_fds(self) -> int:
        """Descriptors of all processes beside a newer one."""
        return int(self.max_fds * PREDECESSOR_FRACTION)

    def limits_per_process(self, processes: int) -> ConnectionLimits:
        """Return the limits of each of so many processes that do not know of each other."""
        return self.connection_limits(self.sole_process_fds if processes == 1 else self.max_fds // processes)

    def connection_limits(self, descriptors: int) -> ConnectionLimits:
        """Return the limits of a process that may hold so many descriptors."""
        return connection_limits.connection_limits(descriptors)

    def predecessor_limits(self, descriptors: int) -> ConnectionLimits:
        """Return the limits of a process beside a newer one."""
        return connection_limits.predecessor_limits(descriptors, self.max_fds)


def load(env: Mapping[str, str]) -> Config:
    """Load the configuration that the environment points to. Raises ConfigError."""
    return _checked(read_config_file(env), env)


def reload(env: Mapping[str, str], current: Config) -> Config:
    """Load the configuration that replaces `current`. Raises ConfigError where it is not complete and valid.

    A file that lost a key is rejected: it would fall back to a default that nobody asked for.
    """
    raw = read_config_file(env)
    if lost := sorted(current.keys - set(dotted_keys(raw))):
        raise ConfigError(f"{lost[0]} is missing")
    # The environment is as old as the process: only the file has discovery's current address.
    config = _checked(raw, {k: v for k, v in env.items() if k != PREFIX + "DISCOVERY"})
    for index, row in enumerate(raw["settings"]["request-classes"]):
        if lost := sorted(current.class_keys - row.keys()):
            raise ConfigError(f"settings: request-classes[{index}].{lost[0]} is missing")
    return config


def _checked(raw: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    file = convert_file(raw)
    check_size(file)
    settings = _settings(file.settings)
    seed = _seed(file.seed)
    known = _known(file.known)
    console = env.get(PREFIX + "CONSOLE") or file.console
    return Config(
        name=str(env.get(PREFIX + "NAME") or file.name),
        listen=address_at(raw, env, "listen"),
        discovery=address_at(raw, env, "discovery"),
        seed=seed,
        settings=settings,
        initial_list=known,
        max_fds=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        console=None if console is None else address_at(raw, env, "console"),
        keys=frozenset(dotted_keys(raw)),
        class_keys=common_class_keys(raw),
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
        raise ConfigError(f"seed makes no sense: {raw!r:.120}") from None


def _known(decoded: EndpointListObject) -> EndpointUpdate:
    try:
        return update_from_object(decoded)
    except EndpointListError as err:
        raise ConfigError(f"known.{err}") from None
