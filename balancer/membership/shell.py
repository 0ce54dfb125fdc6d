"""Runs the membership protocol core on the peer socket and the event loop's clock.

The shell performs I/O, logging and timing. All protocol decisions are made in the core.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from balancer.defects import DefectLog
from balancer.membership.change_log import ChangeLog
from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import (
    Action,
    DatagramReceived,
    DisagreementChanged,
    Event,
    Leave,
    MemberChanged,
    PeersChanged,
    SendDatagram,
    SuspicionRefuted,
    Tick,
    ViewChanged,
)
from balancer.membership.messages import MAX_GENERATION, PRESENT_STATES, Update
from balancer.membership.peer_socket import MEMBERSHIP_KINDS, PeerListChange, PeerSocket

log = logging.getLogger(__name__)

# Generations count from the start of the year 2020, given here as Unix time.
GENERATION_EPOCH_S = 1_577_836_800.0
# In units of 256 ms a generation fits four bytes until 2054. A process takes longer than that to start, so
# successive processes get different generations.
GENERATION_UNIT_S = 0.256
# Number of exceptions during one event after which the remaining due timers wait for the next event.
MAX_DEFECTS_PER_EVENT = 16
MEMBER_COLUMNS = ("state", "life", "incarnation", "changed_ms", "view")


def current_generation() -> int:
    """Return the generation for a process that starts now, derived from the wall clock."""
    return max(1, int((time.time() - GENERATION_EPOCH_S) / GENERATION_UNIT_S)) & MAX_GENERATION


class MembershipShell:
    """Runs a node's membership protocol on the socket between nodes."""

    def __init__(
        self, config: Config, node_id: int, peer_socket: PeerSocket, seed: int, min_generation: int = 0
    ) -> None:
        """Register for membership datagrams on the peer socket; `start` starts the protocol."""
        self.config = config
        self.node_id = node_id
        self.generation = max(min_generation, current_generation())
        self.core: Membership | None = None
        self.on_view_changed: Callable[[dict[int, int], bool], None] = lambda generations, has_quorum: None
        self._socket = peer_socket
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._wakeup_ms = math.inf
        self._log = ChangeLog()
        self._defects = DefectLog(log, "membership")
        self._view_reason = ""
        self._view_changed_ms = 0.0
        self._member_changed_ms: list[float] = []
        peer_socket.register(MEMBERSHIP_KINDS, self._receive, has_priority=True)

    def start(self) -> None:
        """Start the protocol; the peer socket must be bound."""
        node_count = len(self._socket.peers)
        now_ms = _now_ms()
        self.core = Membership(self.config, self.node_id, node_count, self.generation, self._seed, now_ms)
        self._view_changed_ms = now_ms
        self._member_changed_ms = [now_ms] * node_count
        log.info(
            "membership: node %d of %d starts on %s:%d",
            self.node_id,
            node_count,
            *self._socket.listen,
        )
        self._handle(Tick())

    def change_peers(self, change: PeerListChange) -> None:
        """Apply a changed peer list, in which this node must keep its number and address."""
        count_before = len(self._member_changed_ms)
        remaining = self._member_changed_ms[: change.count]
        self._member_changed_ms = remaining + [_now_ms()] * (change.count - len(remaining))
        replaced = change.replaced - {self.node_id}
        self._log.peers_changed(change.count, len(replaced) + max(0, change.count - count_before))
        self._handle(PeersChanged(change.count, replaced))

    def leave(self) -> None:
        """Announce that this node is leaving; it still answers peers until `close`."""
        self._handle(Leave())

    def close(self) -> None:
        """Stop the protocol without notifying peers."""
        if self._timer is not None:
            self._timer.cancel()
        self.core = None

    def stats(self) -> dict[str, object]:
        """Return the `membership` object of `/stats`."""
        core = self.core
        if core is None:
            return {"present": False}
        node = core.node
        view = core.view
        return {
            "present": True,
            "me": self.node_id,
            "nodes": node.node_count,
            "present_nodes": view.present_count,
            "life": node.generation,
            "incarnation": node.incarnation,
            "view": f"{view.state_hash:08x}",
            "view_for_ms": round(_now_ms() - self._view_changed_ms),
            "view_reason": self._view_reason,
            "agreement": round(core.agreement_ratio(), 3),
            "quorum": core.has_quorum(),
            "health": core.health.score,
            "columns": list(MEMBER_COLUMNS),
            "members": [self._member_row(core, record) for record in view.records],
            "counts": dict(node.counts)
            | {"foreign": self._socket.counts["foreign"], "defects": self._defects.count},
        }

    def _member_row(self, core: Membership, record: Update) -> list[object]:
        """Return the values of a member for `/stats`, in the order of `MEMBER_COLUMNS`."""
        report = core.peer_views.reports.get(record.member)
        return [
            record.state.name.lower(),
            record.generation,
            record.incarnation,
            round(_now_ms() - self._member_changed_ms[record.member]),
            None if report is None else f"{report.state_hash:08x}",
        ]

    def _receive(self, node: int, data: bytes) -> None:
        self._handle(DatagramReceived(node, data))

    def _handle(self, event: Event) -> None:
        if self.core is None:
            return
        for action in self._actions_of(self.core, event):
            with self._defects.contain(type(action).__name__):
                self._perform(action, self.core)
        if self.core is not None:
            self._set_timer(self.core.next_wakeup_ms)

    def _actions_of(self, core: Membership, event: Event) -> list[Action]:
        """Pass an event to the core and return its actions.

        If a callback of the core raises, the exception is logged and the remaining due callbacks still run.
        """
        for _ in range(MAX_DEFECTS_PER_EVENT):
            try:
                return core.handle(_now_ms(), event)
            except Exception as error:
                self._defects.record(type(event).__name__, error)
                event = Tick()
        return []

    def _perform(self, action: Action, core: Membership) -> None:
        match action:
            case SendDatagram():
                self._socket.send(action.node, action.data)
            case MemberChanged():
                # A member beyond the end of the list was removed from the peer list by the same event.
                if action.member < len(self._member_changed_ms):
                    self._member_changed_ms[action.member] = _now_ms()
                self._log.member_changed(action, self._loop.time())
            case ViewChanged():
                self._view_reason = action.reason
                self._view_changed_ms = _now_ms()
                self.on_view_changed(_generations(core), action.has_quorum)
                self._log.view_changed(action, len(self._socket.peers))
            case DisagreementChanged():
                self._log.disagreement_changed(action, self.config.disagreement_alert_ms)
            case SuspicionRefuted():
                self._log.refuted(action, self._loop.time())

    def _set_timer(self, wakeup_ms: float) -> None:
        """Set the timer to `wakeup_ms` unless it is already due sooner."""
        if wakeup_ms >= self._wakeup_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._wakeup_ms = wakeup_ms
        delay_s = max(0.0, wakeup_ms - _now_ms()) / 1000
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._wakeup_ms = math.inf
        self._timer = None
        self._handle(Tick())


def _now_ms() -> float:
    return time.monotonic() * 1000


def _generations(core: Membership) -> dict[int, int]:
    """Return the generation of each present member by member number."""
    return {r.member: r.generation for r in core.view.records if r.state in PRESENT_STATES}
