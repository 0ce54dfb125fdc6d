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
from typing import TYPE_CHECKING, Any

import msgspec

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net import config
from balancer.net.config_errors import ConfigError
from balancer.net.config_file import address_at, read_config_file
from balancer.net.endpoints import Address, EndpointUpdate, parse_address

if TYPE_CHECKING:
    from balancer.membership.peer_socket import PeerSocket
    from balancer.membership.shell import MembershipShell
    from balancer.net.durable_adapter import DurableAdapter
    from balancer.net.node import Node
    from balancer.net.node_ports import EndpointWatcher
    from balancer.net.recovery_adapter import RecoveryAdapter

log = logging.getLogger(__name__)

VARIABLE = "PROXY_FLEET"


class FleetFileError(ConfigError):
    """The fleet file cannot be read, or a field of it makes no sense; the text names it."""

    code = "CFG03"
    remedy = "correct the field that is named in PROXY_FLEET's file, or unset PROXY_FLEET to run without it"


class FixedError(ConfigError):
    """A replaced file changes what stays for the life of a process; the text names the field."""

    code = "CFG04"
    remedy = "put the old value back and send SIGHUP again, or start the node anew with the new one"


class MembershipTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[membership]`: its presence switches the part on."""

    period_ms: float = 700.0  # between two probes; the other times follow from it


class DurableTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[durable]`: state that outlasts a crash, in a directory that lasts and that no other node has."""

    directory: str = ""


class RecoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """`[recovery]`: its presence switches the part on."""


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The fleet file."""

    membership: MembershipTable | None = None
    durable: DurableTable | None = None
    recovery: RecoveryTable | None = None


def read(path: Path) -> FleetFile:
    """The fleet file; raises ConfigError with the dotted field."""
    try:
        out = msgspec.convert(tomllib.loads(path.read_text("utf-8")), FleetFile)
    except (OSError, UnicodeDecodeError) as err:
        raise FleetFileError(f"{VARIABLE} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise FleetFileError(f"{VARIABLE} is not TOML: {err}") from None
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise FleetFileError(f"{VARIABLE}: {where.rstrip('`') or 'the file'}: {text}") from None
    if out.membership is not None and not 50 <= out.membership.period_ms <= 60_000:
        raise FleetFileError(f"{VARIABLE}: membership.period-ms makes no sense: {out.membership.period_ms!r}")
    if out.recovery is not None and out.membership is None:
        raise FleetFileError(f"{VARIABLE}: recovery: it needs [membership]")
    return out


def _peers(raw: Mapping[str, Any]) -> tuple[Address, list[Address], Address]:
    """`peer_listen`, `peers` and `peers_all` of the platform's file; raises ConfigError."""
    rows = raw.get("peers")
    if not isinstance(rows, list) or not rows:
        raise ConfigError("peers is missing, and [membership] needs it")
    found: list[Address] = []
    for index, row in enumerate(rows):
        try:
            one = parse_address(row)
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
        self.durable: DurableAdapter | None = None
        if table.durable is not None and not table.durable.directory:
            log.warning("state: durable.directory is not given: nothing outlasts a crash")
        elif table.durable is not None:
            from balancer.net.durable_adapter import DurableAdapter

            self.durable = DurableAdapter(Path(table.durable.directory), held.name)
        self.port: PeerSocket | None = None
        self.membership: MembershipShell | None = None
        self.returning: RecoveryAdapter | None = None
        self._returns = table.recovery is not None
        self._opening: asyncio.Task[None] | None = None
        if table.membership is not None:
            listen, peers, everybody = _peers(read_config_file(env))
            me = held.settings.node_index
            _numbered(me, peers)
            from balancer.membership.config import Config as MembershipConfig
            from balancer.membership.peer_socket import PeerSocket
            from balancer.membership.shell import MembershipShell

            times = MembershipConfig.with_probe_interval(table.membership.period_ms)
            least = self.durable.recovered.incarnation + 1 if self.durable is not None else 1
            self.port = PeerSocket(listen, peers, everybody)
            self.membership = MembershipShell(times, me, self.port, held.seed, least)

    def steer(self, node: Node, watcher: EndpointWatcher, known: EndpointUpdate) -> EndpointWatcher:
        """What brings the list to this node: the one given, or the room that asks it in turns.

        `known` is the list to begin with.
        """
        if not self._returns or self.port is None or self.membership is None:
            return watcher
        from balancer.net.recovery_adapter import RecoveryAdapter

        disk = self.durable.store if self.durable is not None else None
        self.returning = RecoveryAdapter(node, watcher, known, self.port, self.membership.generation, disk)
        self.membership.on_view_changed = self.returning.shell.members_changed
        return self.returning

    async def returned(self, beside: bool) -> None:
        """Returns when the node may listen, a bounded time after the start."""
        if self.returning is not None:
            if not beside:
                self.start()
            if self._opening is not None:  # else the first roll call would be lost
                await asyncio.shield(self._opening)
            await self.returning.wait_until_serving(beside, self.recovered())

    def hand_over(self) -> None:
        """A successor has come."""
        if self.returning is not None:
            self.returning.hand_over()

    def waiting(self) -> str:
        """Why the node does not listen yet; empty where that is not for its rooms."""
        return self.returning.startup_status() if self.returning is not None else ""

    def list_failed(self) -> None:
        """A call of discovery has failed."""
        if self.returning is not None:
            self.returning.list_request_failed()

    def take_over(self) -> None:
        """Keep the node's state from here on: before a successor is ready, or when it has ended by itself."""
        if self.durable is not None:
            self.durable.take_over(self.membership.generation if self.membership is not None else 0)
        if self.returning is not None and self.returning.shell.serving.is_set():
            self.returning.resume()

    def known(self, told: EndpointUpdate) -> EndpointUpdate:
        """The list to begin with: the one told at the start, or a newer one that was kept."""
        return told if self.durable is None else self.durable.newest_list(told)

    def recovered(self) -> api.LearnedStateRestored | None:
        """What an earlier process had learned, where that was kept."""
        return None if self.durable is None else self.durable.recovered_learned()

    def bans(self) -> tuple[dict[str, float], dict[str, float]]:
        """What the operators had taken out and put back, as it was kept: id to time."""
        if self.durable is None:
            return {}, {}
        return self.durable.recovered.banned, self.durable.recovered.lifted

    def listed(self, news: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Discovery has told the list, or a change of it."""
        if self.durable is not None:
            self.durable.save_list(news, kind)
        if self.returning is not None:
            self.returning.list_received(news, kind)

    def unchanged(self) -> None:
        """Discovery has said, before any news, that the list in force is the one that it has."""
        if self.returning is not None:
            self.returning.list_confirmed()

    def learned(self, what: Callable[[float], api.LearnedState], now: float) -> None:
        """What the module has learned may be had."""
        rate = self.returning.measure_rate() if self.returning is not None else 0.0
        if self.durable is not None:
            self.durable.save_learned(what, now, rate)

    async def banned(self, backend: str, out: bool, at: float, changes: bool) -> None:
        """Returns once a ban or a return will outlast a crash, where that is wanted. Raises BalancerError."""
        if self.returning is not None:  # to be called again is news there: the call is this node's own now
            await self.returning.request_ban(backend, out)
        elif self.durable is not None and changes:
            await self.durable.save_ban(backend, out, at)

    def start(self) -> None:
        """Be present, unless it is so already. A successor calls this when its predecessor has ended."""
        if self.port is not None and self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open(self.port))

    def checked(self, env: Mapping[str, str], new: config.Config) -> Callable[[], None]:
        """What a replaced file brings for the rooms: a call that takes it over. Raises ConfigError."""
        port, shell = self.port, self.membership
        if port is None or shell is None:
            return lambda: None
        listen, peers, everybody = _peers(read_config_file(env))
        if new.settings.node_index != shell.node_id:
            raise FixedError(
                f"settings: me cannot change from {shell.node_id} to {new.settings.node_index} in one life"
            )
        _numbered(shell.node_id, peers)
        if listen != port.listen:
            raise FixedError("peer_listen cannot change in one life")
        return partial(self._move, port, peers, everybody)

    def _move(self, port: PeerSocket, peers: list[Address], everybody: Address) -> None:
        if (moved := port.change_peers(peers, everybody)) is not None and self.membership is not None:
            self.membership.change_peers(moved)
            if self.returning is not None:
                self.returning.shell.peers_changed(moved)

    async def _open(self, port: PeerSocket) -> None:
        try:
            await port.bind()
        except BalancerError as err:  # the node serves without: alone, as without the file
            log.warning("membership: %s; the node goes on alone", err.line)
            return
        if self.membership is not None:
            self.membership.start()

    def leave(self) -> None:
        """The node ends, and nobody takes its place."""
        if self.returning is not None:
            self.returning.shell.leave()
        if self.membership is not None:
            self.membership.leave()

    def close(self) -> None:
        """The process ends."""
        if self._opening is not None:
            self._opening.cancel()
        if self.returning is not None:
            self.returning.shell.close()
        if self.membership is not None:
            self.membership.close()
        if self.port is not None:
            self.port.close()
        if self.durable is not None:
            self.durable.store.close()

    def stats(self) -> dict[str, object]:
        """The `fleet` object of `/stats`."""
        out: dict[str, object] = {}
        if self.membership is not None:
            out["membership"] = self.membership.stats()
        if self.port is not None:
            out["port"] = self.port.stats()
        if self.returning is not None:
            out["recovery"] = self.returning.shell.stats()
        if self.durable is not None:
            out["durable"] = self.durable.store.stats()
        return out
