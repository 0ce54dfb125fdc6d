"""Adapter that translates between the types of the node and those of recovery.

This module is imported only if the fleet file has `[recovery]`.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import replace

from balancer import interface as api
from balancer.durable.state import DurableState
from balancer.durable.store import DurableStore
from balancer.errors import BalancerError
from balancer.membership.peer_socket import PeerSocket
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.node import Node
from balancer.net.node_ports import EndpointWatcher
from balancer.net.rate_meter import RateMeter, RequestCounts
from balancer.net.recovery_handover import HandoverFile
from balancer.net.statistics import RequestOutcome
from balancer.recovery import events
from balancer.recovery.actions import CapacityGranted
from balancer.recovery.ban_requests import BanRequestError
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.shell import RecoveryHandover, RecoveryShell
from balancer.recovery.trust import StateKind

PHASES = {
    Phase.LISTED: api.RecoveryPhase.LISTED,
    Phase.WARMING: api.RecoveryPhase.WARMING,
    Phase.FULL: api.RecoveryPhase.FULL,
}


class RecoveryAdapter:
    """Recovery of one process of a node; the decision module uses it as its endpoint watcher."""

    def __init__(
        self,
        node: Node,
        watcher: EndpointWatcher,
        saved_list: EndpointUpdate,
        port: PeerSocket,
        incarnation: int,
        disk: DurableStore | None,
    ) -> None:
        """Create the adapter; `saved_list` is the endpoint list to start with."""
        self.node = node
        self.watcher = watcher
        self.disk = disk
        self.saved_state = disk.state if disk is not None else DurableState()
        settings = node.settings
        config = RecoveryConfig(ramp_time_ms=settings.slow_start_ms)
        self.shell = RecoveryShell(
            config, settings.node_index, incarnation, node.config.seed, port, self, disk
        )
        self._handover = HandoverFile(node.shared_path, node.now)
        sample = self.saved_state.learned_sample
        saved_rate = sample.request_rate if sample is not None else 0.0
        self._rates = RateMeter(saved_rate)
        self._may_poll = False
        # The decision module has requested the complete list, which waits for this node's slot.
        self._is_fetch_pending = False
        # Discovery has sent or confirmed the list since this process started.
        self._has_fresh_list = False
        # Phase and capacity as last reported to the decision module.
        self._reported_phase = Phase.VERIFY
        self._reported_capacity: CapacityGranted | None = None
        self._saved_list = replace(saved_list, members=tuple(map(_copy, saved_list.members)))
        self._current_members = {m.backend: m for m in self._saved_list.members}
        self._restricted_ids: frozenset[str] = frozenset()

    # --- startup

    async def wait_until_serving(
        self, is_successor: bool, recovered: api.LearnedStateRestored | None
    ) -> None:
        """Wait until the node may listen.

        Args:
            is_successor: Whether another process of the node is running.
            recovered: Learned state that an earlier process saved.
        """
        self.shell.handle(events.SavedListLoaded(tuple(self._current_members)))
        if is_successor:
            # A predecessor without a handover file ran without recovery and has served, so nothing is cold.
            inherited = await self._handover.wait()
            self.shell.inherit(inherited or RecoveryHandover(Phase.FULL, RecoveryPath.UPGRADE, -math.inf, ()))
            # The predecessor has written to the disk since this process started.
            if self.disk is not None and self.disk.disabled_by is None:
                self.saved_state = self.disk.reread()
        self.shell.start(self.saved_state)
        await self.shell.wait_until_serving()
        if not is_successor:
            await self._reconcile_bans()
        if recovered is not None and self.shell.is_trusted(StateKind.LEARNED):
            self.node.handle_event(recovered)

    def resume(self) -> None:
        """Resume after a successor has ended; its maintenance bans and lifts are read from disk."""
        if self.disk is not None and self.disk.disabled_by is None:
            self.shell.rejoin(self.disk.reread())

    def hand_over(self) -> None:
        """Hand the state over to a successor that has started."""
        self._handover.write(self.shell.handover())

    async def _reconcile_bans(self) -> None:
        """Lift bans that are only in `$TMPDIR` if the disk is reliable, and record them otherwise."""
        disk = self.disk
        is_authoritative = (
            disk is not None and disk.disabled_by is None and not (disk.has_lost_records or disk.is_new)
        )
        for backend in sorted(self.node.maintenance.record.banned):
            if self.shell.is_banned(backend):
                continue
            if is_authoritative or self.shell.has_entries(backend):
                await self.apply_ban(backend, False, 0.0)
            else:
                with contextlib.suppress(BalancerError):
                    await self.shell.request_ban(backend, True)

    # --- implementation of `RecoveryHost`

    def now(self) -> float:
        """Return the node's clock in ms."""
        return self.node.now()

    async def apply_ban(self, backend: str, banned: bool, since: float) -> None:
        """Apply a change of the ban register in all processes of the node."""
        await self.node.maintenance.apply_fleet_change(
            backend, banned, since, self.node.settings.slow_start_ms
        )

    def set_admission(self, phase: Phase, capacity: CapacityGranted | None) -> None:
        """Report phase and capacity to the decision module.

        The start times of backends in the list count once discovery has sent or confirmed it.
        """
        self._reported_phase = phase
        self._reported_capacity = capacity
        if capacity is None:
            self.node.handle_event(api.RecoveryProgressed(PHASES[phase], 1.0))
        else:
            cold_since = 0.0 if self._has_fresh_list else capacity.cold_since
            self.node.handle_event(
                api.RecoveryProgressed(PHASES[phase], capacity.share, cold_since, capacity.tier_rate)
            )

    def allow_polling(self) -> None:
        """Allow calls to discovery, because this node's slot in the schedule has come."""
        self._may_poll = True
        self.watcher.watch(True)
        if self._is_fetch_pending:
            self._is_fetch_pending = False
            self.watcher.fetch()

    def restrict_saved_list(self, ids: frozenset[str]) -> None:
        """Report the backends in `ids` as draining, and all others as saved.

        Until discovery sends its list, the complete saved list is sent again. After that, only backends that
        are no longer restricted and that discovery has not updated are sent again.
        """
        released = self._restricted_ids - ids
        self._restricted_ids = ids
        if not self._has_fresh_list:
            members = tuple(
                replace(m, phase=api.EndpointPhase.DRAINING) if m.backend in ids else _copy(m)
                for m in self._saved_list.members
            )
            self.node.update_endpoints(
                EndpointUpdate(self._saved_list.revision, True, members), api.ListUpdateKind.CACHED
            )
            return
        members = tuple(_copy(member) for name, member in self._current_members.items() if name in released)
        if members:
            self.node.update_endpoints(
                EndpointUpdate(self._saved_list.revision, False, members, True), api.ListUpdateKind.DELTA
            )

    # --- implementation of `EndpointWatcher`

    def watch(self, on: bool) -> None:
        """Start the watch if this node's slot has come, or stop it."""
        if self._may_poll or not on:
            self.watcher.watch(on)

    def fetch(self) -> None:
        """Fetch the complete list now, or when this node's slot comes."""
        if self._may_poll:
            self.watcher.fetch()
        else:
            self._is_fetch_pending = True

    def read_unread(self) -> None:
        """Apply updates that have been received but not read yet."""
        self.watcher.read_unread()

    # --- events from discovery

    def list_request_failed(self) -> None:
        """Wait for the next slot after a failed call, unless discovery has already sent the list."""
        if not self._has_fresh_list and self._may_poll and not self.shell.has_failed:
            self._may_poll = False
            self.watcher.watch(False)
            self.shell.handle(events.ListRequestFailed())

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Record a complete list from discovery, or a change of it."""
        if kind is api.ListUpdateKind.SNAPSHOT:
            self._current_members = {}
            self._restricted_ids = frozenset()
        is_first = not self._has_fresh_list
        self._has_fresh_list = True
        self._saved_list = replace(self._saved_list, revision=update.revision)
        self._current_members |= {m.backend: _copy(m) for m in update.members}
        self._restricted_ids -= {m.backend for m in update.members}
        up = [m for m in self._current_members.values() if m.phase is api.EndpointPhase.IN_SERVICE]
        starts = tuple(member.started_at for member in up)
        ids = tuple(member.backend for member in up)
        self.shell.handle(events.ListReceived(update.revision, starts, ids))
        # If warming began without discovery's list, the start times in the list count from now on.
        if is_first and self._reported_phase is Phase.WARMING:
            self.set_admission(self._reported_phase, self._reported_capacity)

    def list_confirmed(self) -> None:
        """Record that discovery has confirmed the saved list."""
        self.list_received(EndpointUpdate(self._saved_list.revision, False, ()), api.ListUpdateKind.DELTA)

    # --- calls of operators

    async def request_ban(self, backend: str, banned: bool) -> None:
        """Set or lift a maintenance ban and wait until the change is recorded and in force.

        Raises:
            BalancerError: The change is not recorded or not in force.
        """
        if await self.shell.request_ban(backend, banned) != banned:
            raise BanRequestError("another node changed the ban of this backend at the same time")

    def startup_status(self) -> str:
        """Return the reason why the node does not listen yet."""
        return f"recovering: {self.shell.core.phase.name.lower()}"

    # --- demand measurement

    def measure_rate(self) -> float:
        """Report the demand to recovery; called once per second.

        Returns:
            The highest rate of requests per second that the node has completed while warm, 0 if unknown.
        """
        rates = self._rates.measure(self._count_requests())
        if rates is not None:
            if self.shell.core.phase is Phase.FULL:
                self._rates.record_warm(rates.completed_per_s)
            else:
                self.shell.handle(events.DemandMeasured(max(0.0, rates.arrived_per_s)))
        return self._rates.peak

    def _count_requests(self) -> RequestCounts:
        outcomes = self.node.statistics.outcomes
        counted_at = self.node.loop.time()
        pending = sum(not request.is_answered for request in self.node.requests.open.values())
        arrived = sum(counts.total() for counts in outcomes.values()) + pending
        return RequestCounts(counted_at, arrived, outcomes[RequestOutcome.COMPLETED].total())


def _copy(member: Member) -> Member:
    """Return a copy, because the decision module modifies the entries that it receives."""
    return replace(member)
