"""Errors of the configuration file."""

from __future__ import annotations

from balancer.errors import BalancerError


class ConfigError(BalancerError):
    """A field of the configuration is missing or makes no sense; the text names it."""

    code = "CFG01"
    remedy = "correct the field that is named, then start the node again, or send SIGHUP once more"


class ConfigFileError(ConfigError):
    """The platform's file cannot be had whole."""

    code = "CFG02"
    remedy = "let PROXY_CONFIG name a file that the node may read and that holds one whole JSON object"


class ConfigSizeError(ConfigError):
    """The platform's file says more than the node's memory can hold; the text names the longest table."""

    code = "CFG05"
    remedy = "raise limits.memory_mb, or let the file say less; after SIGHUP the node keeps what it has"
