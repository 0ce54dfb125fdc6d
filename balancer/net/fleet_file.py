"""Read the TOML fleet file that `PROXY_FLEET` names, and the peer addresses of the configuration file."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from balancer.net.config_errors import ConfigError
from balancer.net.config_file import address_at
from balancer.net.endpoints import Address, parse_address

FLEET_FILE_VARIABLE = "PROXY_FLEET"
MIN_PERIOD_MS = 50
MAX_PERIOD_MS = 60_000


class FleetFileError(ConfigError):
    """The fleet file cannot be read, or one of its fields is invalid; the message names it."""

    code = "CFG03"
    remedy = "correct the named field in the fleet file, or unset PROXY_FLEET to run without one"


class FixedSettingError(ConfigError):
    """A replaced file changes a setting that is fixed while the process runs; the message names it."""

    code = "CFG04"
    remedy = "restore the old value and send SIGHUP again, or restart the node to apply the new value"


class MembershipTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The table `[membership]` of the fleet file; its presence enables membership."""

    # The period of health checks, from which all other times of membership are derived.
    period_ms: float = 700.0


class DurableTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The table `[durable]` of the fleet file: a persistent directory for the state of this node alone."""

    directory: str = ""


class RecoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The table `[recovery]` of the fleet file; its presence enables recovery."""


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The tables of the fleet file."""

    membership: MembershipTable | None = None
    durable: DurableTable | None = None
    recovery: RecoveryTable | None = None


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Addresses for the traffic between nodes, from the configuration file."""

    listen: Address
    # The address of each node of the tier at its index, including this node.
    peers: list[Address]
    broadcast: Address


def read_fleet_file(path: Path) -> FleetFile:
    """Read the fleet file. Raises FleetFileError, whose message names the dotted field."""
    try:
        table = msgspec.convert(tomllib.loads(path.read_text("utf-8")), FleetFile)
    except (OSError, UnicodeDecodeError) as err:
        raise FleetFileError(f"{FLEET_FILE_VARIABLE} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise FleetFileError(f"{FLEET_FILE_VARIABLE} is not valid TOML: {err}") from None
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise FleetFileError(f"{FLEET_FILE_VARIABLE}: {where.rstrip('`') or 'the file'}: {text}") from None
    membership = table.membership
    if membership is not None and not MIN_PERIOD_MS <= membership.period_ms <= MAX_PERIOD_MS:
        raise FleetFileError(
            f"{FLEET_FILE_VARIABLE}: membership.period-ms must be between {MIN_PERIOD_MS} and "
            f"{MAX_PERIOD_MS}, got {membership.period_ms!r}"
        )
    if table.recovery is not None and membership is None:
        raise FleetFileError(f"{FLEET_FILE_VARIABLE}: [recovery] requires [membership]")
    return table


def peer_addresses(table: Mapping[str, Any]) -> PeerAddresses:
    """Read the addresses of peers from the configuration file. Raises ConfigError."""
    rows = table.get("peers")
    if not isinstance(rows, list) or not rows:
        raise ConfigError("peers is missing or empty, but [membership] requires it")
    found: list[Address] = []
    for index, row in enumerate(rows):
        try:
            peer = parse_address(row)
        except ValueError:
            raise ConfigError(f"peers[{index}] must be IP:PORT, got {row!r:.120}") from None
        if peer in found:
            raise ConfigError(f"peers[{index}] duplicates an earlier peer: {row}")
        found.append(peer)
    return PeerAddresses(address_at(table, {}, "peer_listen"), found, address_at(table, {}, "peers_all"))


def check_node_index(node_index: int, peers: list[Address]) -> None:
    """Check that the index of this node is in the list of peers. Raises ConfigError."""
    if node_index >= len(peers):
        raise ConfigError(
            f"settings: me must be an index in the list of peers, got {node_index} for {len(peers)} peers"
        )
