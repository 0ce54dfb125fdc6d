"""Adapter between a node and its recovery: translates their types, without decisions of its own.

Imported only where the fleet file has `[recovery]`.
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
    """Recovery of one process of a node; the balancer uses it as the watcher of the list."""

    def __init__(
        self,
        node: Node,
        watcher: EndpointWatcher,
        known: EndpointUpdate,
        port: PeerSocket,
        incarnation: int,
        disk: DurableStore | None,
    ) -> None:
        """Create the adapter; `known` is the saved list."""
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
        self._fetch_wanted = False  # the balancer wants the complete list
        self._has_fresh_list = False  # discovery has sent the list
        self._phase = Phase.VERIFY  # that the balancer knows
        self._capacity: CapacityGranted | None = None  # that the balancer knows
        self._saved = replace(known, members=tuple(map(_copy, known.members)))
        self._list = {m.backend: m for m in self._saved.members}
        self._restricted: frozenset[str] = frozenset()

    # --- the start

    async def wait_until_serving(
        self, is_successor: bool, recovered: api.LearnedStateRestored | None
    ) -> None:
        """Return when the node may listen.

        Args:
            is_successor: Whether a process of the node is running.
            recovered: What the balancer had learned before.
        """
        self.shell.handle(events.SavedListLoaded(tuple(self._list)))
        if is_successor:
            # A predecessor without a handover file ran without recovery and has served: nothing is cold.
            left = await self._handover.wait()
            self.shell.inherit(left or RecoveryHandover(Phase.FULL, RecoveryPath.UPGRADE, -math.inf, ()))
            if (
                self.disk is not None and self.disk.disabled_by is None
            ):  # it has changed since this process began
                self.saved_state = self.disk.reread()
        self.shell.start(self.saved_state)
        await self.shell.wait_until_serving()
        if not is_successor:
            await self._reconcile_bans()
        if recovered is not None and self.shell.is_trusted(StateKind.LEARNED):
            self.node.handle_event(recovered)

    def resume(self) -> None:
        """Go on after a successor has ended; what operators called there is on the disk."""
        if self.disk is not None and self.disk.disabled_by is None:
            self.shell.rejoin(self.disk.reread())

    def hand_over(self) -> None:
        """Leave the state to a successor that has started."""
        self._handover.write(self.shell.handover())

    async def _reconcile_bans(self) -> None:
        """Lift bans that only `$TMPDIR` has, if the disk is sound; record them otherwise."""
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

    # --- for recovery: `RecoveryHost`

    def now(self) -> float:
        """Return the node's clock, ms."""
        return self.node.now()

    async def apply_ban(self, backend: str, banned: bool, since: float) -> None:
        """Follow the register, in both processes of an upgrade."""
        await self.node.maintenance.apply_fleet_change(
            backend, banned, since, self.node.settings.slow_start_ms
        )

    def set_admission(self, phase: Phase, capacity: CapacityGranted | None) -> None:
        """Tell the balancer. The list's start times of backends count once discovery has sent one."""
        self._phase = phase
        self._capacity = capacity
        if capacity is None:
            self.node.handle_event(api.RecoveryProgressed(PHASES[phase], 1.0))
        else:
            cold_since = 0.0 if self._has_fresh_list else capacity.cold_since
            self.node.handle_event(
                api.RecoveryProgressed(PHASES[phase], capacity.share, cold_since, capacity.tier_rate)
            )

    def allow_polling(self) -> None:
        """Let polls of discovery through, as the schedule has spread them."""
        self._may_poll = True
        self.watcher.watch(True)
        if self._fetch_wanted:
            self._fetch_wanted = False
            self.watcher.fetch()

    def restrict_saved_list(self, ids: frozenset[str]) -> None:
        """Send the saved list again with these draining; after discovery's list, what that did not name."""
        released = self._restricted - ids
        self._restricted = ids
        if not self._has_fresh_list:
            members = tuple(
                replace(m, phase=api.EndpointPhase.DRAINING) if m.backend in ids else _copy(m)
                for m in self._saved.members
            )
            self.node.update_endpoints(
                EndpointUpdate(self._saved.revision, True, members), api.ListUpdateKind.CACHED
            )
            return
        members = tuple(_copy(member) for name, member in self._list.items() if name in released)
        if members:
            self.node.update_endpoints(
                EndpointUpdate(self._saved.revision, False, members, True), api.ListUpdateKind.DELTA
            )

    # --- for the balancer: `Watcher`

    def watch(self, on: bool) -> None:
        """Start the watch in this node's slot, or end it."""
        if self._may_poll or not on:
            self.watcher.watch(on)

    def fetch(self) -> None:
        """Fetch the complete list in this node's slot."""
        if self._may_poll:
            self.watcher.fetch()
        else:
            self._fetch_wanted = True

    # --- events of discovery

    def list_request_failed(self) -> None:
        """Wait for the next slot after a failed request, until the list has been sent."""
        if not self._has_fresh_list and self._may_poll and not self.shell.has_failed:
            self._may_poll = False
            self.watcher.watch(False)
            self.shell.handle(events.ListRequestFailed())

    def list_received(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Record the list that discovery has sent, or a change of it."""
        if kind is api.ListUpdateKind.SNAPSHOT:
            self._list = {}
            self._restricted = frozenset()
        is_first = not self._has_fresh_list
        self._has_fresh_list = True
        self._saved = replace(self._saved, revision=update.revision)
        self._list |= {m.backend: _copy(m) for m in update.members}
        self._restricted -= {m.backend for m in update.members}
        up = [m for m in self._list.values() if m.phase is api.EndpointPhase.IN_SERVICE]
        starts = tuple(member.started_at for member in up)
        ids = tuple(member.backend for member in up)
        self.shell.handle(events.ListReceived(update.revision, starts, ids))
        if is_first and self._phase is Phase.WARMING:  # it may have been so while discovery was silent
            self.set_admission(self._phase, self._capacity)

    def list_confirmed(self) -> None:
        """Record that discovery has confirmed the saved list."""
        self.list_received(EndpointUpdate(self._saved.revision, False, ()), api.ListUpdateKind.DELTA)

    # --- for the operators

    async def request_ban(self, backend: str, banned: bool) -> None:
        """Return once a request is recorded and in force.

        Raises:
            BalancerError: If it is not.
        """
        if await self.shell.request_ban(backend, banned) != banned:
            raise BanRequestError("another node banned it at the same time")

    def startup_status(self) -> str:
        """Return why the node does not listen yet."""
        return f"recovering: {self.shell.core.phase.name.lower()}"

    # --- demand

    def measure_rate(self) -> float:
        """Report the demand to recovery; to be called once a second.

        Returns:
            The most requests a second that the node has carried when warm; 0: unknown.
        """
        rates = self._rates.measure(self._count_requests())
        if rates is not None:
            if self.shell.core.phase is Phase.FULL:
                self._rates.record_warm(rates.completed_per_s)
            else:
                self.shell.handle(events.DemandMeasured(max(0.0, rates.arrived_per_s)))
        return self._rates.peak

    def _count_requests(self) -> RequestCounts:
        ends = self.node.statistics.outcomes
        counted_at = self.node.loop.time()
        pending = sum(not request.is_answered for request in self.node.requests.open.values())
        arrived = sum(counts.total() for counts in ends.values()) + pending
        return RequestCounts(counted_at, arrived, ends[RequestOutcome.COMPLETED].total())


def _copy(member: Member) -> Member:
    """Return a copy, as the balancer changes the entries that it is given."""
    return replace(member)
