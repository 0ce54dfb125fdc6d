"""Apply a replaced configuration file on SIGHUP."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

from balancer.net import config as config_file
from balancer.net.config_errors import ConfigError
from balancer.net.discovery import DiscoveryClient
from balancer.net.node import Node

if TYPE_CHECKING:
    from balancer.net.fleet import Fleet

log = logging.getLogger(__name__)


def reload(node: Node, discovery: DiscoveryClient, fleet: Fleet | None) -> None:
    """Reload the configuration file and apply it; an invalid file leaves the configuration unchanged."""
    try:
        config = config_file.reload(os.environ, node.config)
        apply_to_fleet = fleet.prepare_reload(os.environ, config) if fleet is not None else None
    except ConfigError as err:
        node.statistics.reload_errors += 1
        log.warning("reload: %s; the configuration is unchanged", err.summary)
        return
    node.reconfigure(config)
    if apply_to_fleet is not None:
        apply_to_fleet()
    log.info(
        "reload: classes %s, %d attempts, discovery at %s:%d",
        " ".join(node.classes),
        config.settings.max_attempts,
        *config.discovery,
    )
    if config.discovery != discovery.address:
        discovery.change_address(config.discovery)
