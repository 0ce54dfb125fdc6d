"""The membership on the tier's port: datagrams in, datagrams out, one timer. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import (
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
from balancer.membership.messages import PRESENT_STATES, MemberState
from balancer.membership.port import MEMBERSHIP, Moved, Port

log = logging.getLogger(__name__)

EPOCH = 1_577_836_800.0  # s, Unix time: the year 2020, from which lives are counted
GENERATION_UNIT_S = 0.256  # a generation fits four bytes until 2054, and a process takes longer to start
COLUMNS = ("state", "life", "incarnation", "changed_ms", "view")  # of a member in `stats`
LINES, SPAN = 100, 10.0  # log lines of one kind at most in so many seconds
WORDS = {
    MemberState.ALIVE: "is present",
    MemberState.SUSPECT: "is suspected",
    MemberState.DEAD: "is dead",
    MemberState.LEFT: "has left",
}


def current_generation() -> int:
    """Return the generation of a process that starts now; it grows with the wall clock."""
    return max(1, int((time.time() - EPOCH) / GENERATION_UNIT_S)) & 0xFFFFFFFF


class MembershipShell:
    """One node's membership, on the tier's port."""

    def __init__(self, config: Config, me: int, port: Port, seed: int, generation: int = 0) -> None:
        self.config, self.me, self.port, self.seed = config, me, port, seed
        self.generation = max(generation, current_generation())  # `generation` is the least that it may be
        self.loop = asyncio.get_running_loop()
        self.core: Membership | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = float("inf")
        self.viewed: Callable[[dict[int, int], bool], None] = lambda lives, quorum: None
        self._lines: dict[MemberState, list[float]] = {}
        self._unsaid = 0
        self._refuted_at = -SPAN
        self._viewed: ViewChanged | None = None
        self._viewed_at = 0.0  # ms, as `_now`
        self._changed_at: list[float] = []  # ms, when the state of each member last changed
        port.register(MEMBERSHIP, self._received, first=True)

    def begin(self) -> None:
        """Be present from now on: the port has its socket."""
        count = len(self.port.peers)
        self.core = Membership(self.config, self.me, count, self.generation, self.seed, self._now())
        self._viewed_at = self._now()
        self._changed_at = [self._viewed_at] * count
        log.info("membership: node %d of %d on %s:%d", self.me, count, *self.port.listen)
        self._handle(Tick())

    def _now(self) -> float:
        return time.monotonic() * 1000

    def _received(self, node: int, data: bytes) -> None:
        self._handle(DatagramReceived(node, data))

    def _handle(self, event: Event) -> None:
        if self.core is None:
            return
        for action in self.core.handle(self._now(), event):
            match action:
                case SendDatagram():
                    self.port.send(action.node, action.data)
                case MemberChanged():
                    if action.member < len(self._changed_at):  # else it is no longer of the tier
                        self._changed_at[action.member] = self._now()
                    self._say(action)
                case ViewChanged():
                    self._view(action)
                case DisagreementChanged():
                    self._disagreed(action)
                case SuspicionRefuted():
                    self._refuted(action)
        if self.core.next_wakeup_ms < self.due:
            if self.timer is not None:
                self.timer.cancel()
            self.due = self.core.next_wakeup_ms
            self.timer = self.loop.call_later(max(0.0, self.due - self._now()) / 1000, self._tick)

    def _tick(self) -> None:
        self.due, self.timer = float("inf"), None
        self._handle(Tick())

    def _say(self, change: MemberChanged) -> None:
        """A line for each change, but no flood of them."""
        now = self.loop.time()
        lately = [t for t in self._lines.get(change.after, ()) if t > now - SPAN]
        self._lines[change.after] = lately
        if len(lately) >= LINES:
            self._unsaid += 1
            return
        lately.append(now)
        if self._unsaid:
            log.info("membership: %d more changes", self._unsaid)
            self._unsaid = 0
        log.info("membership: node %d %s", change.member, WORDS.get(change.after, change.after.name))

    def _view(self, change: ViewChanged) -> None:
        """Who is present has changed. Whether this node is of a minority now is worth a line."""
        before, self._viewed, self._viewed_at = self._viewed, change, self._now()
        if self.core is not None:  # another room is told of it: who is present in which generation
            self.viewed(
                {r.member: r.generation for r in self.core.view.records if r.state in PRESENT_STATES},
                change.has_quorum,
            )
        if before is not None and before.has_quorum != change.has_quorum:
            words = "more than half again" if change.has_quorum else "a minority now"
            log.info("membership: %s with %d of %d present (%s)", words,
                     change.present_count, len(self.port.peers), change.reason)  # fmt: skip

    def _refuted(self, refuted: SuspicionRefuted) -> None:
        """One line in `SPAN` at most: a node that is often doubted has a bad link, or stands still."""
        now = self.loop.time()
        if now >= self._refuted_at + SPAN:
            self._refuted_at = now
            held = "dead" if refuted.claimed in (MemberState.DEAD, MemberState.LEFT) else "suspected"
            log.info("membership: others held this node for %s; it has said that it lives", held)

    def _disagreed(self, change: DisagreementChanged) -> None:
        """The core says it once, and once when it is over."""
        if change.is_active:
            log.warning("membership: views differ for over %.0f s, %.0f%% of the peers heard lately agree",
                        self.config.disagreement_alert_ms / 1000, 100 * change.agreement_ratio)  # fmt: skip
        else:
            log.info("membership: views agree again")

    def moved(self, moved: Moved) -> None:
        """The port has another list of addresses; this node keeps its number and its own address."""
        fewer, before = self._changed_at[: moved.count], len(self._changed_at)
        self._changed_at = fewer + [self._now()] * (moved.count - len(fewer))
        replaced = moved.replaced - {self.me}
        log.info("membership: %d nodes by the new list, %d of them others than before",
                 moved.count, len(replaced) + max(0, moved.count - before))  # fmt: skip
        self._handle(PeersChanged(moved.count, replaced))

    def leave(self) -> None:
        """Say that this node leaves; it goes on answering until `close`."""
        self._handle(Leave())

    def close(self) -> None:
        """Fall silent."""
        if self.timer is not None:
            self.timer.cancel()
        self.core = None

    def stats(self) -> dict[str, object]:
        """What operators are shown."""
        core = self.core
        if core is None:
            return {"present": False}
        now = self._now()
        members = []
        for r in core.view.records:
            said = core.peer_views.reports.get(r.member)
            view = None if said is None else f"{said.state_hash:08x}"
            members.append([r.state.name.lower(), r.generation, r.incarnation,
                            round(now - self._changed_at[r.member]), view])  # fmt: skip
        return {
            "present": True,
            "me": self.me,
            "nodes": core.node.node_count,
            "present_nodes": core.view.present_count,
            "life": core.node.generation,
            "incarnation": core.node.incarnation,
            "view": f"{core.view.state_hash:08x}",
            "view_for_ms": round(now - self._viewed_at),
            "view_reason": self._viewed.reason if self._viewed is not None else "",
            "agreement": round(core.agreement_ratio(), 3),
            "quorum": core.has_quorum(),
            "health": core.health.score,
            "columns": list(COLUMNS),
            "members": members,  # by the node's number, the fields in the order of `columns`
            "counts": dict(core.node.counts) | {"foreign": self.port.counts["foreign"]},
        }
