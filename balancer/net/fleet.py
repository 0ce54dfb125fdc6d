"""The subsystems that the fleet file switches on, as the node meets them.

This module is imported only where `PROXY_FLEET` names a file.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net import config
from balancer.net.config_file import read_config_file
from balancer.net.endpoints import EndpointUpdate
from balancer.net.fleet_file import (
    VARIABLE,
    FixedSettingError,
    PeerAddresses,
    check_node_index,
    peer_addresses,
    read_fleet_file,
)

if TYPE_CHECKING:
    from balancer.membership.peer_socket import PeerSocket
    from balancer.membership.shell import MembershipShell
    from balancer.net.durable_adapter import DurableAdapter
    from balancer.net.node import Node
    from balancer.net.node_ports import EndpointWatcher
    from balancer.net.recovery_adapter import RecoveryAdapter

log = logging.getLogger(__name__)


class Fleet:
    """Membership, durable state and recovery of one process of a node, as far as they are switched on.

    The fleet file itself is read once. At SIGHUP the platform's file may bring other peers; this node's
    number and `peer_listen` stay for the life of its process. There are more than 20 methods, as each call
    of the node is passed on to those subsystems that are on.
    """

    def __init__(self, env: Mapping[str, str], node_config: config.Config) -> None:
        """Create what the file that `env` names asks for; raises ConfigError."""
        table = read_fleet_file(Path(env[VARIABLE]))
        self.durable: DurableAdapter | None = None
        if table.durable is not None and not table.durable.directory:
            log.warning("state: durable.directory is not given: nothing outlasts a crash")
        elif table.durable is not None:
            from balancer.net.durable_adapter import DurableAdapter

            self.durable = DurableAdapter(Path(table.durable.directory), node_config.name)
        self.peer_socket: PeerSocket | None = None
        self.membership: MembershipShell | None = None
        self.recovery: RecoveryAdapter | None = None
        self._has_recovery = table.recovery is not None
        self._opening: asyncio.Task[None] | None = None
        if table.membership is not None:
            addresses = peer_addresses(read_config_file(env))
            node_index = node_config.settings.node_index
            check_node_index(node_index, addresses.peers)
            from balancer.membership.config import Config as MembershipConfig
            from balancer.membership.peer_socket import PeerSocket
            from balancer.membership.shell import MembershipShell

            times = MembershipConfig.with_probe_interval(table.membership.period_ms)
            min_generation = self.durable.recovered.incarnation + 1 if self.durable is not None else 1
            self.peer_socket = PeerSocket(addresses.listen, addresses.peers, addresses.broadcast)
            self.membership = MembershipShell(
                times, node_index, self.peer_socket, node_config.seed, min_generation
            )

    def wrap_watcher(self, node: Node, watcher: EndpointWatcher, known: EndpointUpdate) -> EndpointWatcher:
        """Return the source of the endpoint list: `watcher`, or recovery, which polls it in turns.

        `known` is the list to begin with.
        """
        if not self._has_recovery or self.peer_socket is None or self.membership is None:
            return watcher
        from balancer.net.recovery_adapter import RecoveryAdapter

        disk = self.durable.store if self.durable is not None else None
        self.recovery = RecoveryAdapter(
            node, watcher, known, self.peer_socket, self.membership.generation, disk
        )
        self.membership.on_view_changed = self.recovery.shell.members_changed
        return self.recovery

    async def wait_until_serving(self, has_predecessor: bool) -> None:
        """Return when the node may listen, a bounded time after the start."""
        if self.recovery is not None:
            if not has_predecessor:
                self.start()
            if self._opening is not None:  # else the first survey would be lost
                await asyncio.shield(self._opening)
            await self.recovery.wait_until_serving(has_predecessor, self.recovered_learned())

    def hand_over(self) -> None:
        """Leave the state of a recovery under way to a successor, which has started."""
        if self.recovery is not None:
            self.recovery.hand_over()

    def startup_status(self) -> str:
        """Return why the node does not listen yet; empty if that is for no subsystem."""
        return self.recovery.startup_status() if self.recovery is not None else ""

    def list_request_failed(self) -> None:
        """Take note that a call of discovery has failed."""
        if self.recovery is not None:
            self.recovery.list_request_failed()

    def take_over(self) -> None:
        """Keep the node's state from here on: before a successor is ready, or when it has ended by itself."""
        if self.durable is not None:
            self.durable.take_over(self.membership.generation if self.membership is not None else 0)
        if self.recovery is not None and self.recovery.shell.serving.is_set():
            self.recovery.resume()

    def newest_list(self, configured: EndpointUpdate) -> EndpointUpdate:
        """Return the list to begin with: the platform's, or a newer one that was saved."""
        return configured if self.durable is None else self.durable.newest_list(configured)

    def recovered_learned(self) -> api.LearnedStateRestored | None:
        """Return what an earlier process had learned, if it was saved."""
        return None if self.durable is None else self.durable.recovered_learned()

    def recovered_bans(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return the maintenance bans set and those lifted, as saved: id to time (ms, Unix time)."""
        if self.durable is None:
            return {}, {}
        return self.durable.recovered.banned, self.durable.recovered.lifted

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Take an update of the endpoint list from discovery."""
        if self.durable is not None:
            self.durable.save_list(update, kind)
        if self.recovery is not None:
            self.recovery.list_received(update, kind)

    def list_confirmed(self) -> None:
        """Take note that the list in force is discovery's, before any update of it."""
        if self.recovery is not None:
            self.recovery.list_confirmed()

    def save_learned(self, export: Callable[[float], api.LearnedState], now: float) -> None:
        """Save the learned state, which `export` returns for the node clock `now` (ms), if that is due."""
        rate = self.recovery.measure_rate() if self.recovery is not None else 0.0
        if self.durable is not None:
            self.durable.save_learned(export, now, rate)

    async def record_maintenance(self, backend: str, is_out: bool, at: float, is_change: bool) -> None:
        """Return once a ban, or its lifting, will outlast a crash where that is configured.

        Raises:
            BalancerError: If it cannot be recorded.
        """
        if self.recovery is not None:  # also without a change: the register then has this node's own entry
            await self.recovery.request_ban(backend, is_out)
        elif self.durable is not None and is_change:
            await self.durable.save_ban(backend, is_out, at)

    def confirms(self, backend: str, is_out: bool) -> bool:
        """Return whether a recorded maintenance change is still the newest that the tier knows of."""
        return self.recovery is None or self.recovery.shell.is_banned(backend) is is_out

    def start(self) -> None:
        """Join the tier, unless done. A successor calls this when its predecessor has ended."""
        if self.peer_socket is not None and self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open(self.peer_socket))

    def prepare_reload(self, env: Mapping[str, str], new: config.Config) -> Callable[[], None]:
        """Return a call that applies what a replaced file brings; raises ConfigError."""
        peer_socket, membership = self.peer_socket, self.membership
        if peer_socket is None or membership is None:
            return lambda: None
        addresses = peer_addresses(read_config_file(env))
        node_id, node_index = membership.node_id, new.settings.node_index
        if node_index != node_id:
            raise FixedSettingError(f"settings: me cannot change from {node_id} to {node_index} in one life")
        check_node_index(node_id, addresses.peers)
        if addresses.listen != peer_socket.listen:
            raise FixedSettingError("peer_listen cannot change in one life")
        return partial(self._change_peers, peer_socket, addresses)

    def _change_peers(self, peer_socket: PeerSocket, addresses: PeerAddresses) -> None:
        change = peer_socket.change_peers(addresses.peers, addresses.broadcast)
        if change is None or self.membership is None:
            return
        self.membership.change_peers(change)
        if self.recovery is not None:
            self.recovery.shell.peers_changed(change)

    async def _open(self, peer_socket: PeerSocket) -> None:
        try:
            await peer_socket.bind()
        except BalancerError as err:  # the node serves alone, as without the file
            log.warning("membership: %s; the node goes on alone", err.summary)
            return
        if self.membership is not None:
            self.membership.start()

    def leave(self) -> None:
        """Tell the tier that the node ends, without a successor."""
        if self.recovery is not None:
            self.recovery.shell.leave()
        if self.membership is not None:
            self.membership.leave()

    def close(self) -> None:
        """Release sockets and files: the process ends."""
        if self._opening is not None:
            self._opening.cancel()
        if self.recovery is not None:
            self.recovery.shell.close()
        if self.membership is not None:
            self.membership.close()
        if self.peer_socket is not None:
            self.peer_socket.close()
        if self.durable is not None:
            self.durable.store.close()

    def stats(self) -> dict[str, object]:
        """Return the `fleet` object of `/stats`."""
        out: dict[str, object] = {}
        if self.membership is not None:
            out["membership"] = self.membership.stats()
        if self.peer_socket is not None:
            out["port"] = self.peer_socket.stats()
        if self.recovery is not None:
            out["recovery"] = self.recovery.shell.stats()
        if self.durable is not None:
            out["durable"] = self.durable.store.stats()
        return out
