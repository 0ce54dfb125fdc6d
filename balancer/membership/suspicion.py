"""Active suspicions and their timeouts.

As in Lifeguard (Dadgar, Phillips, Currey 2018), independent confirmations shorten the timeout of a suspicion.
In addition, a member that was recently declared dead by mistake gets a longer minimum timeout (flap damping).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from balancer.membership.config import Config
from balancer.membership.local_health import MAX_SCORE, LocalHealth
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import NO_MEMBER, MemberState, Update
from balancer.membership.sender import MessageSender

MAX_FLAPS = 3
# Local health score from which a node does not trust its own suspicion timeouts.
UNHEALTHY_SCORE = MAX_SCORE // 2
# Number of maximum suspicion timeouts for which an unhealthy node leaves the death of a suspect to its peers.
UNHEALTHY_MAX_TIMEOUTS = 3
# This node, the suspect and the accuser cannot confirm a suspicion independently; all other members can.
MEMBERS_UNABLE_TO_CONFIRM = 3
# Any member but the accuser and the suspect can verify a suspicion by a probe.
MEMBERS_UNABLE_TO_VERIFY = 2
DEADLINE_TOLERANCE_MS = 1e-6


@dataclass(slots=True)
class Suspicion:
    """An active suspicion; each further accuser shortens its timeout.

    `confirmations_needed` confirmations reduce the timeout to its minimum.
    """

    since_ms: float
    min_timeout_ms: float
    max_timeout_ms: float
    confirmations_needed: int
    accusers: set[int]

    @property
    def deadline_ms(self) -> float:
        """Time at which the suspect is declared dead unless it refutes the suspicion."""
        confirmations = min(len(self.accusers) - 1, self.confirmations_needed)
        if self.confirmations_needed:
            share = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        else:
            share = 1.0
        range_ms = self.max_timeout_ms - self.min_timeout_ms
        return self.since_ms + max(self.min_timeout_ms, self.max_timeout_ms - range_ms * share)

    @property
    def needs_confirmation(self) -> bool:
        """Whether another accuser would still shorten the timeout."""
        return len(self.accusers) <= self.confirmations_needed


@dataclass(slots=True, frozen=True)
class Flaps:
    """Number of false deaths of a member, and the time of its last refutation."""

    count: int
    refuted_ms: float


class FlapHistory:
    """History of false deaths by member: a node that stalls once is likely to stall again."""

    def __init__(self, config: Config) -> None:
        """Start with an empty history."""
        self._config = config
        self._flaps: dict[int, Flaps] = {}

    def record_refutation(self, member: int, was_dead: bool, now_ms: float) -> None:
        """Record that a member has refuted its suspicion or its death."""
        flaps = self._flaps.get(member)
        count = (flaps.count if flaps is not None else 0) + was_dead
        if count and self._config.flap_damping_ms:
            self._flaps[member] = Flaps(min(count, MAX_FLAPS), now_ms)

    def min_timeout_ms(self, member: int, now_ms: float) -> float:
        """Return the minimum suspicion timeout of a member, which doubles with each recent false death."""
        flaps = self._flaps.get(member)
        if flaps is not None and now_ms - flaps.refuted_ms > self._config.flap_damping_ms:
            self.forget(member)
            flaps = None
        count = flaps.count if flaps is not None else 0
        return min(self._config.min_suspicion_ms * (1 << count), self._config.max_suspicion_ms)

    def forget(self, member: int) -> None:
        """Drop the recorded false deaths of a member."""
        self._flaps.pop(member, None)


class SuspicionTable:
    """Active suspicions by suspect, with their timers."""

    def __init__(
        self, node: LocalNode, sender: MessageSender, health: LocalHealth, on_expired: Callable[[int], None]
    ) -> None:
        """Create an empty table; `on_expired` is called with each suspect whose suspicion times out."""
        self.active: dict[int, Suspicion] = {}
        self.flaps = FlapHistory(node.config)
        self._node = node
        self._sender = sender
        self._health = health
        self._on_expired = on_expired

    def is_accused_by(self, member: int, accuser: int) -> bool:
        """Return whether `accuser` is among the known accusers of a member."""
        suspicion = self.active.get(member)
        return suspicion is not None and accuser in suspicion.accusers

    def begin(self, update: Update) -> bool:
        """Start the timeout of a new suspicion; return whether this node is drawn to verify it by a probe."""
        node = self._node
        suspicion = self._new_suspicion(update)
        self.active[update.member] = suspicion
        self._call_at_deadline(update.member, suspicion)
        if update.accuser == node.node_id:
            self._sender.broadcast_urgent(update)
            return False
        verifiers = max(1, node.view.present_count - MEMBERS_UNABLE_TO_VERIFY)
        return node.random.random() * verifiers < node.config.expected_verifiers

    def confirm(self, update: Update) -> None:
        """Shorten a timeout if another accuser reports the same suspicion."""
        suspicion = self.active.get(update.member)
        if suspicion is None or update.accuser in suspicion.accusers or update.accuser == NO_MEMBER:
            return
        if not suspicion.needs_confirmation:
            return
        suspicion.accusers.add(update.accuser)
        self._sender.queue.put(update.member)
        self._node.view.put(update)
        if update.accuser == self._node.node_id:
            self._sender.broadcast_urgent(update)
        self._call_at_deadline(update.member, suspicion)

    def cancel(self, member: int) -> None:
        """End the suspicion of a member without declaring it dead."""
        self.active.pop(member, None)

    def forget(self, member: int) -> None:
        """Drop the suspicion and the false deaths of a removed member."""
        self.cancel(member)
        self.flaps.forget(member)

    def postpone(self, by_ms: float) -> None:
        """Extend all timeouts by the time for which this node was stalled."""
        for suspicion in self.active.values():
            suspicion.since_ms += by_ms

    def _new_suspicion(self, update: Update) -> Suspicion:
        node = self._node
        config = node.config
        if config.dynamic_suspicion_enabled:
            others = max(0, node.view.present_count - MEMBERS_UNABLE_TO_CONFIRM)
            needed = min(config.suspicion_confirmations, others)
            min_timeout_ms = self.flaps.min_timeout_ms(update.member, node.now_ms)
        else:
            needed = 0
            min_timeout_ms = config.max_suspicion_ms
        accusers = {update.accuser}
        return Suspicion(node.now_ms, min_timeout_ms, config.max_suspicion_ms, needed, accusers)

    def _call_at_deadline(self, member: int, suspicion: Suspicion) -> None:
        wait_ms = max(0.0, suspicion.deadline_ms - self._node.now_ms)
        self._node.timers.call_later(wait_ms, partial(self._expire, member, suspicion))

    def _expire(self, member: int, suspicion: Suspicion) -> None:
        node = self._node
        is_current = self.active.get(member) is suspicion
        if not is_current or node.view.records[member].state is not MemberState.SUSPECT:
            return
        if suspicion.deadline_ms > node.now_ms + DEADLINE_TOLERANCE_MS:
            self._call_at_deadline(member, suspicion)
        elif self._distrusts_own_timeout(suspicion):
            wait_ms = node.config.probe_interval_ms
            node.timers.call_later(wait_ms, partial(self._expire, member, suspicion))
        else:
            self._on_expired(member)

    def _distrusts_own_timeout(self, suspicion: Suspicion) -> bool:
        """Return whether this node may have missed a refutation and leaves the death to its peers."""
        patience_ms = UNHEALTHY_MAX_TIMEOUTS * self._node.config.max_suspicion_ms
        is_unhealthy = self._health.score >= UNHEALTHY_SCORE
        return is_unhealthy and self._node.now_ms < suspicion.since_ms + patience_ms
