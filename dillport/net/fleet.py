"""The port by which the node meets the fleet's rooms; imported only where `PROXY_FLEET` names a file.

The file is TOML, decoded by msgspec to frozen structs; what the platform says of peers stays in its file.
"""

from __future__ import annotations

import asyncio
import logging
import tomllib
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from dillport.membership.core import Config as MembershipConfig
from dillport.membership.shell import MembershipShell
from dillport.net import config
from dillport.net.config import Address, ConfigError, address, address_at

log = logging.getLogger(__name__)

VARIABLE = "PROXY_FLEET"


class MembershipTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[membership]`: its presence switches the part on."""

    period_ms: float = 700.0  # between two probes; the other times follow from it


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The fleet file."""

    membership: MembershipTable | None = None


def read(path: Path) -> FleetFile:
    """The fleet file; raises ConfigError with the dotted field."""
    try:
        out = msgspec.convert(tomllib.loads(path.read_text("utf-8")), FleetFile)
    except (OSError, UnicodeDecodeError) as err:
        raise ConfigError(f"{VARIABLE} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise ConfigError(f"{VARIABLE} is not TOML: {err}") from None
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise ConfigError(f"{VARIABLE}: {where.rstrip('`') or 'the file'}: {text}") from None
    if out.membership is not None and not 50 <= out.membership.period_ms <= 60_000:
        raise ConfigError(f"{VARIABLE}: membership.period-ms makes no sense: {out.membership.period_ms!r}")
    return out


def _peers(raw: Mapping[str, Any]) -> tuple[Address, list[Address], Address]:
    """`peer_listen`, `peers` and `peers_all` of the platform's file; raises ConfigError."""
    rows = raw.get("peers")
    if not isinstance(rows, list) or not rows:
        raise ConfigError("peers is missing, and [membership] needs it")
    found: list[Address] = []
    for index, row in enumerate(rows):
        try:
            one = address(row)
        except ValueError:
            raise ConfigError(f"peers[{index}] makes no sense: {row!r:.120}") from None
        if one in found:
            raise ConfigError(f"peers[{index}] is there twice: {row}")
        found.append(one)
    return address_at(raw, {}, "peer_listen"), found, address_at(raw, {}, "peers_all")


def _numbered(me: int, peers: list[Address]) -> None:
    """Check that this node is one of the tier; raises ConfigError."""
    if me >= len(peers):
        raise ConfigError(f"settings: me makes no sense: {me} of {len(peers)} peers")


class Fleet:
    """The rooms that the fleet file switches on, for one process of a node.

    The fleet file itself is read once. At SIGHUP the platform's file may bring other peers; this node's
    number and `peer_listen` stay for the life of its process.
    """

    def __init__(self, env: Mapping[str, str], held: config.Config) -> None:
        table = read(Path(env[VARIABLE]))
        self.membership: MembershipShell | None = None
        self._opening: asyncio.Task[None] | None = None
        if table.membership is not None:
            listen, peers, everybody = _peers(config.read(env))
            me = held.settings.me
            _numbered(me, peers)
            scale = table.membership.period_ms / MembershipConfig().period
            self.membership = MembershipShell(_scaled(scale), me, listen, peers, everybody, held.seed)

    def start(self) -> None:
        """Be present, unless it is so already. A successor calls this when its predecessor has ended."""
        if self.membership is not None and self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open(self.membership))

    def checked(self, env: Mapping[str, str], new: config.Config) -> Callable[[], None]:
        """What a replaced file brings for the rooms: a call that takes it over. Raises ConfigError."""
        shell = self.membership
        if shell is None:
            return lambda: None
        listen, peers, everybody = _peers(config.read(env))
        if new.settings.me != shell.me:
            raise ConfigError(f"settings: me cannot change from {shell.me} to {new.settings.me} in one life")
        _numbered(shell.me, peers)
        if listen != shell.listen:
            raise ConfigError("peer_listen cannot change in one life")
        return partial(shell.move, peers, everybody)

    async def _open(self, shell: MembershipShell) -> None:
        try:
            await shell.open()
        except OSError as err:  # the node serves without: alone, as without the file
            log.warning("membership: %s:%d: %s; the node goes on alone", *shell.listen, err)

    def leave(self) -> None:
        """The node ends, and nobody takes its place."""
        if self.membership is not None:
            self.membership.leave()

    def close(self) -> None:
        """The process ends."""
        if self._opening is not None:
            self._opening.cancel()
        if self.membership is not None:
            self.membership.close()

    def stats(self) -> dict[str, object]:
        """The `fleet` object of `/stats`."""
        return {"membership": self.membership.stats()} if self.membership is not None else {}


def _scaled(scale: float) -> MembershipConfig:
    """All times of the membership, a multiple of the defaults."""
    base = MembershipConfig()
    return MembershipConfig(
        period=base.period * scale,
        direct=base.direct * scale,
        indirect=base.indirect * scale,
        suspicion_least=base.suspicion_least * scale,
        suspicion_most=base.suspicion_most * scale,
    )
