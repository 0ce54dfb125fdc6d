"""Apply bans from operator requests, peers and disk at this node.

A request is answered, and its entries are sent to peers, only after the entries are on disk; a failed request
has no effect. Entries received from peers take effect immediately.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from balancer.recovery.actions import Action, ApplyBan, PersistEntries
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.events import BanRequested, WriteCompleted
from balancer.recovery.exchange import Exchange


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """Operator request whose entries are being written to disk."""

    request: BanRequested
    entries: list[BanEntry]


@dataclass(slots=True, frozen=True)
class AppliedState:
    """Ban state that was last applied for a backend."""

    banned: bool = False
    since: float = -math.inf


NEVER_APPLIED = AppliedState()


class BanController:
    """Apply changes of the ban register at this node and send them to peers."""

    def __init__(
        self, register: BanRegister, exchange: Exchange, ramp_time_ms: float, actions: list[Action]
    ) -> None:
        """Create the controller; a backend stays cold for `ramp_time_ms` after its ban is lifted."""
        self.register = register
        self.exchange = exchange
        self.ramp_time_ms = ramp_time_ms
        self.counts: Counter[str] = Counter()
        self.pending: dict[int, PendingRequest] = {}  # maps request tokens to pending requests
        self._actions = actions
        self._applied: dict[str, AppliedState] = {}

    def restore(self, entries: Sequence[BanEntry], now: float) -> list[BanEntry]:
        """Merge and apply entries from this node's own disk; return the entries that changed."""
        changed = self.register.restore(entries)
        self.exchange.register_changed(changed)
        self.apply_changes(changed, now)
        return changed

    def entries_received(self, changed: Sequence[BanEntry], received: Sequence[BanEntry], now: float) -> None:
        """Persist and apply changes by a peer's entries; send own bans that they caused to be reissued."""
        if changed:
            self._actions.append(PersistEntries(tuple(changed)))
            self.apply_changes(changed, now)
            self.exchange.send_urgently([entry for entry in changed if entry not in received], now)

    def request(self, event: BanRequested, now: float) -> None:
        """Start an operator's request by writing its entries to disk."""
        requested_at = min(event.requested_at, now)
        if event.banned:
            entries = [self.register.new_ban(event.backend, requested_at)]
        else:
            entries = self.register.new_lift(event.backend, requested_at)
        self._write(PendingRequest(event, entries))

    def write_completed(self, event: WriteCompleted, now: float) -> None:
        """Commit a request whose entries are on disk, or undo a request whose write failed."""
        pending = self.pending.pop(event.token, None)
        if pending is None:
            self.counts["unknown_tokens"] += 1
            return
        if not event.succeeded:
            self._undo(pending)
            return
        reissued = self.register.commit(pending.entries)
        committed = [e for e in pending.entries if self.register.get(e.backend, e.node) == e]
        self.exchange.register_changed(committed)
        if reissued:  # a peer knows a greater counter from an earlier incarnation of this node
            self._write(PendingRequest(pending.request, reissued))
            return
        self.exchange.send_urgently(committed, now)
        self.apply_current_state(pending.request.backend)

    def apply_changes(self, changed: Iterable[BanEntry], now: float) -> None:
        """Apply states that differ from the last applied ones, and recent lifts, whose backends are cold."""
        for backend in sorted({entry.backend for entry in changed}):
            banned = self.register.is_banned(backend)
            since = self.register.since(backend)
            former = self._applied.get(backend, NEVER_APPLIED)
            is_recent_lift = not banned and since > max(former.since, now - self.ramp_time_ms)
            if banned != former.banned or is_recent_lift:
                self.apply_current_state(backend)

    def apply_current_state(self, backend: str) -> None:
        """Apply the register's current state of a backend."""
        state = AppliedState(self.register.is_banned(backend), self.register.since(backend))
        self._applied[backend] = state
        self._actions.append(ApplyBan(backend, state.banned, state.since))

    def _write(self, pending: PendingRequest) -> None:
        token = pending.request.token
        self.pending[token] = pending
        self._actions.append(PersistEntries(tuple(pending.entries), token))

    def _undo(self, pending: PendingRequest) -> None:
        """Reverse the entries of a failed request, which may be on disk despite the error."""
        self.counts["calls_failed"] += 1
        backend = pending.request.backend
        own = self.register.get(backend, self.register.node)
        undone: list[BanEntry] = []
        if pending.request.banned and own is not None and own.active:
            undone = pending.entries  # an earlier request has banned the backend, and this ban continues
        elif pending.request.banned:
            undone = [entry._replace(active=False, changed_at=-math.inf) for entry in pending.entries]
        elif pending.entries and self.register.is_banned(backend):
            undone = [self.register.new_ban(backend, self.register.since(backend))]
        self.register.commit(undone)
        self.exchange.register_changed(undone)
        if undone:
            self._actions.append(PersistEntries(tuple(undone)))
