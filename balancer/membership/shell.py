"""The membership protocol on a real socket and clock: datagrams in and out, one timer. It decides nothing."""

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

EPOCH_S = 1_577_836_800.0  # Unix time of the year 2020, from which generations are counted
GENERATION_UNIT_S = 0.256  # a generation fits four bytes until 2054, and a process takes longer to start
MAX_DEFECTS_PER_EVENT = 16  # after which what is still due waits for the next event
COLUMNS = ("state", "life", "incarnation", "changed_ms", "view")  # of a member in `stats`


def current_generation() -> int:
    """Return the generation of a process that starts now; it grows with the wall clock."""
    return max(1, int((time.time() - EPOCH_S) / GENERATION_UNIT_S)) & MAX_GENERATION


class MembershipShell:
    """One node's membership, on the socket between nodes."""

    def __init__(
        self, config: Config, node_id: int, peer_socket: PeerSocket, seed: int, min_generation: int = 0
    ) -> None:
        """Register for the datagrams of membership; the protocol runs from `start` on."""
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
        self._member_changed_ms: list[float] = []  # when the state of each member last changed
        peer_socket.register(MEMBERSHIP_KINDS, self._receive, has_priority=True)

    def start(self) -> None:
        """Take part from now on: the socket is bound."""
        node_count = len(self._socket.peers)
        now_ms = _now_ms()
        self.core = Membership(self.config, self.node_id, node_count, self.generation, self._seed, now_ms)
        self._view_changed_ms = now_ms
        self._member_changed_ms = [now_ms] * node_count
        log.info("membership: node %d of %d on %s:%d", self.node_id, node_count, *self._socket.listen)
        self._handle(Tick())

    def change_peers(self, change: PeerListChange) -> None:
        """Follow another list of addresses, in which this node has the same number and address."""
        count_before = len(self._member_changed_ms)
        remaining = self._member_changed_ms[: change.count]
        self._member_changed_ms = remaining + [_now_ms()] * (change.count - len(remaining))
        replaced = change.replaced - {self.node_id}
        self._log.peers_changed(change.count, len(replaced) + max(0, change.count - count_before))
        self._handle(PeersChanged(change.count, replaced))

    def leave(self) -> None:
        """Announce that this node leaves; it goes on answering until `close`."""
        self._handle(Leave())

    def close(self) -> None:
        """Stop the protocol without a datagram."""
        if self._timer is not None:
            self._timer.cancel()
        self.core = None

    def stats(self) -> dict[str, object]:
        """Return the figures that operators are shown."""
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
            "columns": list(COLUMNS),
            "members": [self._member_row(core, record) for record in view.records],  # by number
            "counts": dict(node.counts)
            | {"foreign": self._socket.counts["foreign"], "defects": self._defects.count},
        }

    def _member_row(self, core: Membership, record: Update) -> list[object]:
        """Return the fields of a member in the order of `COLUMNS`."""
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
        """Return what the core wants done; where a callback of it raises the others still run."""
        for _ in range(MAX_DEFECTS_PER_EVENT):
            try:
                return core.handle(_now_ms(), event)
            except Exception as error:  # guards the node against a defect of the core
                self._defects.record(type(event).__name__, error)
                event = Tick()
        return []

    def _perform(self, action: Action, core: Membership) -> None:
        match action:
            case SendDatagram():
                self._socket.send(action.node, action.data)
            case MemberChanged():
                if action.member < len(self._member_changed_ms):  # else it was removed from the peer list
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
        """Wake up at a time unless the timer is due sooner."""
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
    """Return the generations of the present members."""
    return {r.member: r.generation for r in core.view.records if r.state in PRESENT_STATES}
