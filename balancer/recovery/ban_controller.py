"""Bans and returns as this node lives by them: calls of its operators, rows of its peers and of its disk.

A call is answered once its rows are on the disk, and only then told to others: what fails leaves nothing
behind. A peer's rows apply at once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.events import Action, ApplyBan, BanRequested, PersistEntries, WriteCompleted
from balancer.recovery.exchange import Exchange


class BanController:
    """What follows from the register; `lately` is the time (ms) for which a backend that returned is cold."""

    def __init__(self, register: BanRegister, exchange: Exchange, lately: float, acts: list[Action]) -> None:
        self.register, self.exchange, self.lately = register, exchange, lately
        self.counts: Counter[str] = Counter()
        self._acts = acts  # where actions go
        self._words: dict[str, tuple[bool, float]] = {}  # what was applied last of each backend
        self._pending: dict[int, tuple[BanRequested, list[BanEntry]]] = {}  # calls that wait for the disk

    def restore(self, rows: Sequence[BanEntry], now: float) -> list[BanEntry]:
        """Rows of this node's own disk; returns those that were news."""
        changed = self.register.restore(rows)
        self.exchange.grown(changed)
        self._apply(changed, now)
        return changed

    def learned(self, changed: Sequence[BanEntry], came: Sequence[BanEntry], now: float) -> None:
        """The register has changed by rows that came; what it answered them with goes to all."""
        if changed:
            self._acts.append(PersistEntries(tuple(changed)))
            self._apply(changed, now)
            self.exchange.urge([row for row in changed if row not in came], now)

    def called(self, event: BanRequested, now: float) -> None:
        """An operator's call: its rows are to be synced first."""
        at = min(event.at, now)
        rows = [self.register.ban(event.backend, at)] if event.out else self.register.back(event.backend, at)
        self._pending[event.token] = (event, rows)
        self._acts.append(PersistEntries(tuple(rows), event.token))

    def synced(self, event: WriteCompleted, now: float) -> None:
        """They are, or are not."""
        called, rows = self._pending.pop(event.token, (None, []))
        if called is None:
            self.counts["unknown_tokens"] += 1
            return
        if not event.ok:
            self._undo(called, rows)
            return
        again = self.register.commit(rows)
        done = [row for row in rows if self.register.get(row.backend, row.node) == row]
        self.exchange.grown(done)
        if again:  # a former life of this node counted further than its disk knew
            self._pending[event.token] = (called, again)
            self._acts.append(PersistEntries(tuple(again), event.token))
            return
        self.exchange.urge(done, now)
        self._say(called.backend)

    def _undo(self, called: BanRequested, rows: list[BanEntry]) -> None:
        """What may have got to the disk all the same, of a call that failed, must not come back."""
        self.counts["calls_failed"] += 1
        undo: list[BanEntry] = []
        own = self.register.get(called.backend, self.register.me)
        if called.out and own is not None and own.live:
            undo = rows  # it was out by a call before, which goes on
        elif called.out:
            undo = [row._replace(live=False, at=-math.inf) for row in rows]
        elif rows and self.register.banned(called.backend):
            undo = [self.register.ban(called.backend, self.register.since(called.backend))]
        self.register.commit(undo)
        self.exchange.grown(undo)
        if undo:
            self._acts.append(PersistEntries(tuple(undo)))

    def _apply(self, changed: Iterable[BanEntry], now: float) -> None:
        """What is another word than the last one; a return of late counts, as that backend is cold."""
        for name in sorted({row.backend for row in changed}):
            out, since = self.register.banned(name), self.register.since(name)
            was, when = self._words.get(name, (False, -math.inf))
            if out != was or (not out and since > max(when, now - self.lately)):
                self._say(name)

    def _say(self, name: str) -> None:
        self._words[name] = (self.register.banned(name), self.register.since(name))
        self._acts.append(ApplyBan(name, *self._words[name]))
