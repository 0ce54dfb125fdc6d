"""Errors raised while loading the configuration file."""

from __future__ import annotations

from balancer.errors import BalancerError


class ConfigError(BalancerError):
    """A configuration field is missing or invalid; the message names the field."""

    code = "CFG01"
    remedy = "correct the named field, then restart the node or send SIGHUP again"


class ConfigFileError(ConfigError):
    """The configuration file is missing, unreadable, or not a complete JSON object."""

    code = "CFG02"
    remedy = "set PROXY_CONFIG to a file that the node can read and that holds one complete JSON object"


class ConfigSizeError(ConfigError):
    """The tables of the configuration exceed the node's memory limit; the message names the largest table."""

    code = "CFG05"
    remedy = (
        "raise limits.memory_mb or shorten the table; after SIGHUP the node keeps its current configuration"
    )
