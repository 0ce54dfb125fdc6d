"""The node's interface to the subsystems that the fleet file enables.

This module is imported only if `PROXY_FLEET` names a file.
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
    FLEET_FILE_VARIABLE,
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
    """Membership, durable state and recovery of one process of a node, each if it is enabled.

    The fleet file is read once. On SIGHUP the configuration file may name other peers, but this node's index
    and `peer_listen` are fixed while the process runs. The class has more than 20 methods because it forwards
    each call of the node to the enabled subsystems.
    """

    def __init__(self, env: Mapping[str, str], node_config: config.Config) -> None:
        """Create the subsystems that the fleet file enables. Raises ConfigError if the file is invalid."""
        table = read_fleet_file(Path(env[FLEET_FILE_VARIABLE]))
        self.durable: DurableAdapter | None = None
        if table.durable is not None and not table.durable.directory:
            log.warning("state: durable.directory is not set: no state survives a crash")
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

    def wrap_watcher(
        self, node: Node, watcher: EndpointWatcher, initial_list: EndpointUpdate
    ) -> EndpointWatcher:
        """Return the source of the endpoint list: `watcher`, or recovery, which schedules its calls.

        `initial_list` is the list to start with.
        """
        if not self._has_recovery or self.peer_socket is None or self.membership is None:
            return watcher
        from balancer.net.recovery_adapter import RecoveryAdapter

        disk = self.durable.store if self.durable is not None else None
        self.recovery = RecoveryAdapter(
            node, watcher, initial_list, self.peer_socket, self.membership.generation, disk
        )
        self.membership.on_view_changed = self.recovery.shell.members_changed
        return self.recovery

    async def wait_until_serving(self, has_predecessor: bool) -> None:
        """Wait until the node may listen, which is after a bounded time."""
        if self.recovery is not None:
            if not has_predecessor:
                self.start()
            if self._opening is not None:  # Before the socket is bound, the first survey would be lost.
                await asyncio.shield(self._opening)
            await self.recovery.wait_until_serving(has_predecessor, self.recovered_learned())

    def hand_over(self) -> None:
        """Hand the state of a recovery in progress over to a successor that has started."""
        if self.recovery is not None:
            self.recovery.hand_over()

    def startup_status(self) -> str:
        """Return why the node does not listen yet, or an empty string if no subsystem delays it."""
        return self.recovery.startup_status() if self.recovery is not None else ""

    def list_request_failed(self) -> None:
        """Notify recovery that a discovery call has failed."""
        if self.recovery is not None:
            self.recovery.list_request_failed()

    def take_over(self) -> None:
        """Become the writer of the node's state, at startup or after a successor has ended by itself."""
        if self.durable is not None:
            self.durable.take_over(self.membership.generation if self.membership is not None else 0)
        if self.recovery is not None and self.recovery.shell.serving.is_set():
            self.recovery.resume()

    def newest_list(self, configured: EndpointUpdate) -> EndpointUpdate:
        """Return the endpoint list to start with: the configured one, or the saved one if it is newer."""
        return configured if self.durable is None else self.durable.newest_list(configured)

    def recovered_learned(self) -> api.LearnedStateRestored | None:
        """Return the learned state that an earlier process saved, if any."""
        return None if self.durable is None else self.durable.recovered_learned()

    def recovered_bans(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return the saved maintenance bans and lifts, as maps from backend id to Unix time in ms."""
        if self.durable is None:
            return {}, {}
        return self.durable.recovered.banned, self.durable.recovered.lifted

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Pass an update of the endpoint list from discovery on to the subsystems."""
        if self.durable is not None:
            self.durable.save_list(update, kind)
        if self.recovery is not None:
            self.recovery.list_received(update, kind)

    def list_confirmed(self) -> None:
        """Notify recovery that discovery has confirmed the current list."""
        if self.recovery is not None:
            self.recovery.list_confirmed()

    def save_learned(self, export: Callable[[float], api.LearnedState], now: float) -> None:
        """Save the learned state if that is due; `export` returns it for the node clock `now` (ms)."""
        rate = self.recovery.measure_rate() if self.recovery is not None else 0.0
        if self.durable is not None:
            self.durable.save_learned(export, now, rate)

    async def record_maintenance(self, backend: str, is_banned: bool, at_ms: float, is_change: bool) -> None:
        """Record a maintenance ban or its lift, so that it survives a crash if that is configured.

        Raises:
            BalancerError: The change cannot be recorded.
        """
        # Recovery records a call without a change as well, so that the register has an entry of this node.
        if self.recovery is not None:
            await self.recovery.request_ban(backend, is_banned)
        elif self.durable is not None and is_change:
            await self.durable.save_ban(backend, is_banned, at_ms)

    def confirms(self, backend: str, is_banned: bool) -> bool:
        """Return whether a recorded maintenance change is still the newest one known in the tier."""
        return self.recovery is None or self.recovery.shell.is_banned(backend) is is_banned

    def start(self) -> None:
        """Join the tier, unless already done. A successor calls this when its predecessor has ended."""
        if self.peer_socket is not None and self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open(self.peer_socket))

    def prepare_reload(self, env: Mapping[str, str], new: config.Config) -> Callable[[], None]:
        """Check a replaced configuration file and return a callable that applies it. Raises ConfigError."""
        peer_socket, membership = self.peer_socket, self.membership
        if peer_socket is None or membership is None:
            return lambda: None
        addresses = peer_addresses(read_config_file(env))
        node_id, node_index = membership.node_id, new.settings.node_index
        if node_index != node_id:
            raise FixedSettingError(
                f"settings: me cannot change from {node_id} to {node_index} while the process runs"
            )
        check_node_index(node_id, addresses.peers)
        if addresses.listen != peer_socket.listen:
            raise FixedSettingError("peer_listen cannot change while the process runs")
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
        except BalancerError as err:  # The node serves as if membership were disabled.
            log.warning("membership: %s; the node continues without peers", err.summary)
            return
        if self.membership is not None:
            self.membership.start()

    def leave(self) -> None:
        """Announce to the tier that the node stops without a successor."""
        if self.recovery is not None:
            self.recovery.shell.leave()
        if self.membership is not None:
            self.membership.leave()

    def close(self) -> None:
        """Close sockets and files at the end of the process."""
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
        """Return the `fleet` object for `/stats`."""
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
