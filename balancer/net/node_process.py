"""One process of a node: its components, its start alone or as a takeover, its shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Coroutine
from functools import partial
from typing import TYPE_CHECKING

from balancer.interface import LearnedStateRestored, ListUpdateKind
from balancer.net.config import Config
from balancer.net.connection_steering import stop_steering
from balancer.net.console import Console
from balancer.net.counts_log import CountsLog
from balancer.net.descriptor_shares import DescriptorShares
from balancer.net.discovery import DiscoveryClient
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.process_slots import ProcessSlots
from balancer.net.reload import reload
from balancer.net.shutdown import shut_down
from balancer.net.takeover import handle_peer_change, prepare_takeover

if TYPE_CHECKING:
    from balancer.net.fleet import Fleet

log = logging.getLogger(__name__)


def create_fleet(config: Config) -> Fleet | None:
    """Return the fleet's services if `PROXY_FLEET` names their file; import them only in that case."""
    if not os.environ.get("PROXY_FLEET"):
        return None
    from balancer.net.fleet import Fleet

    return Fleet(os.environ, config)


class NodeProcess:
    """The components of one node process."""

    def __init__(self, config: Config) -> None:
        """Create the components of the process. Raises ConfigError."""
        self.config = config
        self.node = Node(config)
        self.fleet = create_fleet(config)
        # The endpoint list with which the process starts, before discovery answers.
        self.initial_list = config.initial_list
        # Learned state that an earlier process has saved durably.
        self.recovered_learned: LearnedStateRestored | None = None
        self.node.fleet = self.fleet
        if self.fleet is not None:
            self.initial_list = self.fleet.newest_list(config.initial_list)
            self.recovered_learned = self.fleet.recovered_learned()
        self.discovery = DiscoveryClient(self.node, config.discovery, self.initial_list.revision)
        self.node.discovery = self.discovery
        if self.fleet is not None:
            self.node.discovery = self.fleet.wrap_watcher(self.node, self.discovery, self.initial_list)
        self.listener = Listener(self.node, config.limits_per_process(1)[0])
        self.console = Console(self.node)
        self.slots = ProcessSlots(self.node.shared_path, partial(handle_peer_change, self.node, self.fleet))
        self.shares = DescriptorShares(self.node, self.listener, self.slots)
        self.slots.on_refresh = self.shares.apply
        self._stop = asyncio.Event()
        self._stop_signalled_at = 0.0  # Earliest loop time of the first signal to stop.

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully. Raises SlotError, OSError."""
        self._handle_signals()
        self.node.loop_monitor.start()
        has_peer = await self._open_console() if self.config.console is not None else False
        if self.fleet is not None:
            self.fleet.take_over()
        await self._load_endpoints()
        if await self._become_ready(has_peer):
            await self._listen()
            await self._stop.wait()
            await shut_down(
                self.node, self.listener, self.slots, self.shares, self.fleet, self._stop_signalled_at
            )
        else:
            self._abandon_start()
        self._close()
        log.info("%s ends", self.config.name)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, reload, self.node, self.discovery, self.fleet)

    def _request_stop(self) -> None:
        """Stop the process; its time runs from the signal, which may have waited for a held-up process."""
        if not self._stop.is_set():
            self._stop_signalled_at = self.node.loop.time() - self.node.loop_monitor.max_wait_s()
            self._stop.set()

    async def _open_console(self) -> bool:
        """Open the console, slot and maintenance file; return whether another process of the node runs."""
        assert self.config.console is not None
        await self.console.listen(self.config.console)
        log.info("console on %s:%d", *self.console.address)
        has_peer = self.slots.acquire()
        self.shares.apply()
        saved = self.fleet.recovered_bans() if self.fleet is not None else ()
        self.node.maintenance.start(has_peer, *saved)
        return has_peer

    async def _load_endpoints(self) -> None:
        """Apply the initial endpoint list and start watching it."""
        node = self.node
        node.update_endpoints(self.initial_list, ListUpdateKind.CACHED)
        if not self.config.settings.must_subscribe and node.discovery is not None:
            node.discovery.watch(True)
        # Learned state refers to listed backends, so a long list must be applied completely first.
        if node.endpoint_updater.pending:
            await self._run_unless_stopped(node.endpoint_updater.wait_idle())

    async def _become_ready(self, has_peer: bool) -> bool:
        """Recover state and take over from another process; return whether the process should listen."""
        fleet = self.fleet
        has_recovery = fleet is not None and fleet.recovery is not None
        if self.recovered_learned is not None and not has_recovery:
            self.node.handle_event(self.recovered_learned)
        is_ready = True
        if fleet is not None and has_recovery:
            is_ready = await self._run_unless_stopped(fleet.wait_until_serving(has_peer))
        if is_ready and has_peer:
            takeover = prepare_takeover(self.node, self.shares, self.recovered_learned is None)
            is_ready = await self._run_unless_stopped(takeover)
        return is_ready

    async def _listen(self) -> None:
        """Start serving clients, and join the fleet."""
        gc.freeze()
        node = self.node
        await self.listener.listen(node.config.listen, shared=node.config.console is not None)
        node.is_listening = True
        node.scheduler.skips_pauses = False
        if self.listener.socket is not None and node.config.console is not None:
            stop_steering(self.listener.socket)
        CountsLog(node).start()
        log.info("%s serves on %s:%d", node.config.name, *self.listener.address)
        if self.fleet is not None and not self.slots.has_peer:
            self.fleet.start()

    async def _run_unless_stopped(self, work: Coroutine[None, None, None]) -> bool:
        """Run `work` until it ends or a stop is requested; return False if the process has to stop."""
        task = asyncio.create_task(work)
        stopped = asyncio.create_task(self._stop.wait())
        await asyncio.wait((task, stopped), return_when=asyncio.FIRST_COMPLETED)
        task.cancel()
        stopped.cancel()
        if task.done():
            task.result()
        return not self._stop.is_set()

    def _abandon_start(self) -> None:
        """Leave the fleet after a stop that was requested before the process listened."""
        self.node.is_stopping = True
        self.slots.refresh()
        if self.fleet is not None and not self.slots.has_peer:
            self.fleet.leave()

    def _close(self) -> None:
        self.node.loop_monitor.stop()
        self.discovery.watch(False)
        self.node.pool.close()
        self.console.close()
        self.node.maintenance.stop()
        self.slots.stop()
        if self.fleet is not None:
            self.fleet.close()


async def serve(config: Config) -> None:
    """Run a process of a node. Raises ConfigError, SlotError, OSError."""
    await NodeProcess(config).run()
