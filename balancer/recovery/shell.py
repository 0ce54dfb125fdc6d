"""I/O of a node's recovery: connects the core, which makes all decisions, to peer socket, disk and timer.

If the core raises an exception, the node continues without recovery; if the socket cannot be bound, the node
recovers without its peers. Nothing here may prevent the node from serving.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from balancer.defects import DefectLog
from balancer.durable.state import DurableState
from balancer.durable.store import DurableStore
from balancer.durable.timestamp import Timestamp
from balancer.membership.peer_socket import RECOVERY_KINDS, PeerListChange, PeerSocket
from balancer.recovery import actions, events
from balancer.recovery.ban_migration import unregistered_changes
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.ban_requests import BanRequest, BanRequests, saved_entries
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.trust import StateKind
from balancer.recovery.wakeup_timer import WakeupTimer

log = logging.getLogger(__name__)

START_MARGIN_MS = 500.0  # a node serves 500 ms after the longest survey even if it is not ready


class RecoveryHost(Protocol):
    """Operations of the node that recovery controls."""

    def now(self) -> float:
        """Return the time of the node's clock, ms."""

    async def apply_ban(self, backend: str, banned: bool, since: float) -> None:
        """Apply or lift a ban to match the register; `since` is Unix time in ms, 0 if unknown."""

    def set_admission(self, phase: Phase, capacity: actions.CapacityGranted | None) -> None:
        """Limit the requests to cold backends to a capacity; with None, behave as without recovery."""

    def allow_polling(self) -> None:
        """Allow the node to poll discovery."""

    def restrict_saved_list(self, ids: frozenset[str]) -> None:
        """Send no requests to these backends of the saved list; replaces the previous set."""


@dataclass(slots=True, frozen=True)
class RecoveryHandover:
    """Recovery state that a process hands over to its successor."""

    phase: Phase
    path: RecoveryPath
    cold_since: float  # when backends with an unknown start count as started (node clock, ms)
    entries: tuple[BanEntry, ...]


@dataclass(slots=True, frozen=True)
class Admission:
    """Phase and capacity limit that were last set at the node."""

    phase: Phase
    capacity: actions.CapacityGranted | None


class RecoveryShell:
    """Recovery of one process of a node, including its I/O."""

    def __init__(
        self,
        config: RecoveryConfig,
        node: int,
        incarnation: int,
        seed: int,
        port: PeerSocket,
        host: RecoveryHost,
        disk: DurableStore | None,
    ) -> None:
        """Create the recovery of node number `node` and register it at the peer socket."""
        self.config = config
        self.port = port
        self.host = host
        self.disk = disk
        self.core = Recovery(config, node, len(port.peers), incarnation, seed, host.now())
        self.has_failed = False
        self._defects = DefectLog(log, "recovery")
        self.serving = asyncio.Event()  # set when the node may serve, which is from the phase LISTED on
        self._capacity: actions.CapacityGranted | None = None
        self._admission = Admission(Phase.FULL, None)
        self._timer = WakeupTimer(host.now, lambda: self.handle(events.Tick()))
        self._requests = BanRequests(disk, host.apply_ban, self.handle, self.is_banned, self._defects)
        self._migration_requests: list[BanRequest] = []
        port.register(RECOVERY_KINDS, lambda source, data: self.handle(events.DatagramReceived(source, data)))

    def start(self, saved: DurableState) -> None:
        """Start recovery from the state on the node's disk."""
        disk = self.disk
        entries = saved_entries(saved)
        sample = saved.learned_sample
        self.handle(
            events.DiskRead(
                sound=disk is None or (disk.disabled_by is None and not disk.has_lost_records),
                fresh_disk=disk is None or disk.is_new,
                incarnation=saved.incarnation,
                age_ms=sample.taken_at.age_ms(Timestamp.now()) if sample is not None else math.inf,
                entries=entries,
                revision=saved.list_revision,
                warm_rate=sample.request_rate if sample is not None else 0.0,
            )
        )
        changes = unregistered_changes(saved.banned, entries)
        self._migration_requests = [
            self._requests.start(c.backend, c.banned, self.host.now()) for c in changes
        ]

    def inherit(self, handover: RecoveryHandover) -> None:
        """Continue recovery in the state of the previous process."""
        state = events.StateInherited(handover.phase, handover.path, handover.cold_since, handover.entries)
        self.handle(state)

    def rejoin(self, saved: DurableState) -> None:
        """Merge requests that a failed successor process has recorded on disk."""
        cold_since = self.core.cold_since
        entries = saved_entries(saved)
        self.handle(events.StateInherited(Phase.VERIFY, RecoveryPath.UPGRADE, cold_since, entries))

    async def wait_until_serving(self) -> None:
        """Wait until the node may listen: its bans are in force, or the maximum wait has passed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((self.config.max_survey_ms + START_MARGIN_MS) / 1000):
                await self.serving.wait()
                if self._migration_requests:
                    await asyncio.wait([request.done for request in self._migration_requests])
                await self._requests.applied()
        if not self.serving.is_set():
            log.warning("recovery: survey not completed in time; the node serves without its result")
            self.serving.set()

    def handover(self) -> RecoveryHandover:
        """Return the state from which a successor process continues."""
        core = self.core
        return RecoveryHandover(core.phase, core.path, core.cold_since, tuple(core.register.entries()))

    def handle(self, event: events.Event, request: BanRequest | None = None) -> None:
        """Pass an event to the core and perform its actions; `request` is the one that the event is about."""
        if self.has_failed:
            return
        try:
            wanted = self.core.handle(self.host.now(), event)
        except Exception:  # a defect of recovery must not stop the node
            log.exception(
                "recovery: handling of %s failed; recovery stops and the node continues without it",
                type(event).__name__,
            )
            self._give_up()
            return
        for action in wanted:
            with self._defects.contain(type(action).__name__):
                self._perform(action, request)
        with self._defects.contain("setting the phase and capacity limit"):
            self._update_admission()
        self._timer.arm(self.core.next_wakeup)

    def members_changed(self, incarnations: Mapping[int, int], quorum: bool) -> None:
        """Pass membership's view of the present nodes to the core."""
        self.handle(events.MembershipChanged(incarnations, quorum))

    def peers_changed(self, change: PeerListChange) -> None:
        """Pass a change of the peer addresses to the core."""
        self.handle(events.PeersChanged(change.count, change.replaced))

    async def request_ban(self, backend: str, banned: bool) -> bool:
        """Ban a backend, or lift its ban, for an operator.

        Returns:
            Whether the backend is banned, once the request is recorded and in force.

        Raises:
            BalancerError: If the request could not be recorded or applied.
        """
        return await self._requests.result(self._requests.start(backend, banned, self.host.now()))

    def is_trusted(self, kind: StateKind) -> bool:
        """Return whether saved state of a kind may be used now."""
        return not self.has_failed and self.core.is_trusted(kind)

    def is_banned(self, backend: str) -> bool:
        """Return whether the register bans a backend."""
        return self.core.register.is_banned(backend)

    def has_entries(self, backend: str) -> bool:
        """Return whether the register has entries of a backend."""
        return bool(self.core.register.entries_of(backend))

    def stats(self) -> dict[str, object]:
        """Return the recovery table for `/stats`."""
        stats = msgspec.structs.replace(self.core.stats(), failed=self.has_failed)
        stats.counts["defects"] = self._defects.count
        table: dict[str, object] = msgspec.to_builtins(stats)
        return table

    def _perform(self, action: actions.Action, request: BanRequest | None) -> None:
        match action:
            case actions.SendDatagram():
                self.port.send(action.node, action.data)
            case actions.PersistEntries():
                self._requests.persist(action)
            case actions.ApplyBan():
                self._requests.apply(action, request)
            case actions.RequestList():
                self.host.allow_polling()
            case actions.RestrictSavedList():
                self.host.restrict_saved_list(action.ids)
            case actions.PhaseEntered():
                self._log_phase(action)
            case actions.CapacityGranted():
                self._capacity = action

    @staticmethod
    def _log_phase(entered: actions.PhaseEntered) -> None:
        phase = entered.phase.name.lower()
        log.info("recovery: phase %s, path %s: %s", phase, entered.path.value, entered.reason)

    def _update_admission(self) -> None:
        """Set the phase and the capacity limit at the node if they have changed."""
        phase = self.core.phase
        if phase < Phase.LISTED:
            return
        admission = Admission(phase, None if phase is Phase.FULL else self._capacity)
        self.serving.set()
        if admission != self._admission:
            self._admission = admission
            self.host.set_admission(admission.phase, admission.capacity)

    def _give_up(self) -> None:
        self.has_failed = True
        self._requests.fail()
        self.serving.set()
        with self._defects.contain("lifting the restriction of the saved list"):
            self.host.restrict_saved_list(frozenset())
        with self._defects.contain("setting the phase and capacity limit"):
            self.host.set_admission(Phase.FULL, None)
        with self._defects.contain("allowing polls of discovery"):
            self.host.allow_polling()

    def leave(self) -> None:
        """Announce a graceful shutdown without a successor."""
        self.handle(events.ShutdownStarted())

    def close(self) -> None:
        """Stop handling events and sending datagrams."""
        self.has_failed = True
        self._timer.cancel()
        self._requests.close()
