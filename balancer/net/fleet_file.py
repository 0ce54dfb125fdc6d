"""The fleet file, which `PROXY_FLEET` names: TOML, decoded by msgspec to frozen structs.

What the platform says of peers stays in the platform's file; it is read here as well.
"""

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

VARIABLE = "PROXY_FLEET"
MIN_PERIOD_MS = 50
MAX_PERIOD_MS = 60_000


class FleetFileError(ConfigError):
    """The fleet file cannot be read, or a field of it makes no sense; the text names it."""

    code = "CFG03"
    remedy = "correct the field that is named in PROXY_FLEET's file, or unset PROXY_FLEET to run without it"


class FixedSettingError(ConfigError):
    """A replaced file changes what stays for the life of a process; the text names the field."""

    code = "CFG04"
    remedy = "put the old value back and send SIGHUP again, or start the node anew with the new one"


class MembershipTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[membership]`: its presence switches the subsystem on."""

    period_ms: float = 700.0  # between two health checks; the other times follow from it


class DurableTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[durable]`: state that outlasts a crash, in a directory that lasts and that no other node has."""

    directory: str = ""


class RecoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[recovery]`: its presence switches the subsystem on."""


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The whole file."""

    membership: MembershipTable | None = None
    durable: DurableTable | None = None
    recovery: RecoveryTable | None = None


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Addresses between nodes, as the platform's file has them."""

    listen: Address
    peers: list[Address]  # by the nodes' numbers, this one included
    broadcast: Address


def read_fleet_file(path: Path) -> FleetFile:
    """Return the fleet file; raises FleetFileError, which names the dotted field."""
    try:
        table = msgspec.convert(tomllib.loads(path.read_text("utf-8")), FleetFile)
    except (OSError, UnicodeDecodeError) as err:
        raise FleetFileError(f"{VARIABLE} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise FleetFileError(f"{VARIABLE} is not TOML: {err}") from None
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise FleetFileError(f"{VARIABLE}: {where.rstrip('`') or 'the file'}: {text}") from None
    membership = table.membership
    if membership is not None and not MIN_PERIOD_MS <= membership.period_ms <= MAX_PERIOD_MS:
        raise FleetFileError(f"{VARIABLE}: membership.period-ms makes no sense: {membership.period_ms!r}")
    if table.recovery is not None and membership is None:
        raise FleetFileError(f"{VARIABLE}: recovery: it needs [membership]")
    return table


def peer_addresses(table: Mapping[str, Any]) -> PeerAddresses:
    """Return the addresses between nodes out of the platform's file; raises ConfigError."""
    rows = table.get("peers")
    if not isinstance(rows, list) or not rows:
        raise ConfigError("peers is missing, and [membership] needs it")
    found: list[Address] = []
    for index, row in enumerate(rows):
        try:
            peer = parse_address(row)
        except ValueError:
            raise ConfigError(f"peers[{index}] makes no sense: {row!r:.120}") from None
        if peer in found:
            raise ConfigError(f"peers[{index}] is there twice: {row}")
        found.append(peer)
    return PeerAddresses(address_at(table, {}, "peer_listen"), found, address_at(table, {}, "peers_all"))


def check_node_index(node_index: int, peers: list[Address]) -> None:
    """Check that this node is one of the tier; raises ConfigError."""
    if node_index >= len(peers):
        raise ConfigError(f"settings: me makes no sense: {node_index} of {len(peers)} peers")
