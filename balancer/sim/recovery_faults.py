"""Faults planted in the core of a tier's return: each must be found by the observer's invariants.

A fault is a subclass of the core, or of one of its parts, that gets one thing wrong; `FAULTS` names them,
with the invariants by which each may be found.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from balancer.recovery.ban_controller import BanController
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.core import Recovery
from balancer.recovery.events import (
    BanRequested,
    DiskRead,
    ListReceived,
    MembershipChanged,
    RestrictSavedList,
)
from balancer.recovery.exchange import Exchange
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.poll_schedule import PollSchedule


class _ByTime(BanRegister):
    def join(self, rows: Iterable[BanEntry]) -> list[BanEntry]:
        changed = []
        for row in rows:
            known = self.get(row.backend, row.node)
            if known is None or row.at > known.at + 1.0:
                self._put(row)
                changed.append(row)
        return changed


class JoinsByTime(Recovery):
    """The later row wins, by the clock of whoever wrote it."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.register.__class__ = _ByTime


class _ReturnWins(BanRegister):
    def banned(self, backend: str) -> bool:
        rows = self._rows.get(backend, {}).values()
        return bool(rows) and all(row.live for row in rows)


class ReturnWins(Recovery):
    """A return also ends bans that it has not seen."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.register.__class__ = _ReturnWins


class _LiveWins(BanRegister):
    def join(self, rows: Iterable[BanEntry]) -> list[BanEntry]:
        taken = []
        for row in rows:
            known = self.get(row.backend, row.node)
            if known is None or row.counter > known.counter or (row.counter == known.counter and row.live):
                self._put(row)
                taken.append(row)
        return taken


class LiveWins(Recovery):
    """At the same counter the ban wins over the return that has seen it: an old disk undoes a return."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.register.__class__ = _LiveWins


class _NeverAbove(BanRegister):
    def _outbid(self, row: BanEntry) -> list[BanEntry]:
        return []


class NeverAbove(Recovery):
    """After a lost disk a node's bans are not issued anew above those of its former lives."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.register.__class__ = _NeverAbove


class DropsCleared(Recovery):
    """Cleared rows are not taken from the disk: nothing is left that stops older disks."""

    def _kept(self, event: DiskRead) -> None:
        super()._kept(replace(event, rows=tuple(row for row in event.rows if row.live)))


class ServesAtOnce(Recovery):
    """It serves before it has asked anybody."""

    def _asked_enough(self, path: RecoveryPath) -> str | None:
        return "no wait"


class WaitsForAll(Recovery):
    """It does not serve before everybody has answered."""

    @property
    def due(self) -> float:
        """Later than now, as the time to serve at the latest has passed."""
        return max(super().due, self.now + 50.0)

    def _asked_enough(self, path: RecoveryPath) -> str | None:
        return "all are there" if len(self._heard) == self.count - 1 else None


class ShareOfPresent(Recovery):
    """A minority shares the whole budget among those that it sees."""

    @property
    def share(self) -> float:
        """Without the majority's condition."""
        return 1.0 / len(self._present())


class TrustsStarts(Recovery):
    """Starts of the saved list count after a power loss too: the return is handled as a crash."""

    def _ask(self) -> None:
        super()._ask()
        if self.phase is Phase.LISTED:
            self.path = RecoveryPath.CRASH
            self._enter(Phase.WARMING, "as saved")
            self._enter(Phase.FULL, "as saved")


class WarmsAgain(Recovery):
    """A restarted backend puts a node that is FULL back to WARMING."""

    def _told(self, event: ListReceived) -> None:
        super()._told(event)
        if self.phase is Phase.FULL and self.now - max(event.starts, default=0.0) < self.config.ramp_time:
            self._enter(Phase.WARMING, "a backend is cold")


class _AtOnce(PollSchedule):
    def plan(self, now: float, nodes: Iterable[int]) -> None:
        self.at_once(now)


class AsksAtOnce(Recovery):
    """Discovery is called without turns."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.turns.__class__ = _AtOnce


class RestrictsAll(Recovery):
    """A peer's filter of a newer list takes away whatever it does not name, however much that is."""

    def _restrict(self) -> None:
        if self._fresh is None and self._filter is not None and self._filter.revision > self._revision:
            self._acts.append(RestrictSavedList(frozenset(self._saved)))


class _YesFirst(BanController):
    def called(self, event: BanRequested, now: float) -> None:
        super().called(event, now)
        called, rows = self._pending[event.token]
        self.register.commit(rows)
        self._say(called.backend)


class YesFirst(Recovery):
    """An operator is told yes before the rows of the call are synced."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.bans.__class__ = _YesFirst


class _Deaf(Exchange):
    def digest_came(self, node: int, hash_: int, theirs: tuple[int, ...], now: float) -> None:
        return


class NeverRepairs(Recovery):
    """Digests are not answered: what differs by pairs stays so."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self.exchange.__class__ = _Deaf


class _LateIgnored(BanController):
    def _apply(self, changed: Iterable[BanEntry], now: float) -> None:
        return


class NotApplied(Recovery):
    """A ban heard from a peer while this node serves is written down, and no more."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]

    def _serve(self, reason: str) -> None:
        super()._serve(reason)
        self.bans.__class__ = _LateIgnored


class FullByMembers(Recovery):
    """A node is FULL only while the membership sees a majority; one that loses it begins anew."""

    def handle(self, now: float, event: object) -> list[object]:  # type: ignore[override]
        """As the core's, but for a majority that is lost."""
        lost = isinstance(event, MembershipChanged) and not event.quorum and self.phase is Phase.FULL
        if lost:
            self._enter(Phase.LISTED, "the majority is away")
        return list(super().handle(now, event))  # type: ignore[arg-type]


@dataclass(slots=True, frozen=True)
class Fault:
    """A core with something wrong, and what finds it."""

    make: type[Recovery]
    found_by: frozenset[str]
    counts: tuple[int, ...] = (3, 4, 5, 6)  # sizes of the tiers in which it is looked for, by `draw`


FAULTS = {
    "joins by wall time": Fault(JoinsByTime, frozenset({"known", "ban", "applied", "agree"})),
    "a return wins over a ban at the same time": Fault(ReturnWins, frozenset({"applied", "ban"})),
    "a ban wins over the return that saw it": Fault(LiveWins, frozenset({"known", "agree"})),
    "own bans are not issued anew after a lost disk": Fault(NeverAbove, frozenset({"ban", "known"})),
    "returns are dropped at a restart": Fault(DropsCleared, frozenset({"known"})),
    "serves before asking": Fault(ServesAtOnce, frozenset({"ban"})),
    "waits for everybody": Fault(WaitsForAll, frozenset({"full"})),
    "a minority shares the whole budget": Fault(ShareOfPresent, frozenset({"budget"}), (5, 6, 8)),
    "saved starts are trusted after a power loss": Fault(TrustsStarts, frozenset({"budget"})),
    "a phase is entered again": Fault(WarmsAgain, frozenset({"phase"})),
    "a lost majority begins anew": Fault(FullByMembers, frozenset({"phase"})),
    "discovery is asked at once": Fault(AsksAtOnce, frozenset({"turns"}), (200,)),  # or `mass_return`
    "a peer's filter restricts everything": Fault(RestrictsAll, frozenset({"list"})),
    "yes is said before the sync": Fault(YesFirst, frozenset({"ban"})),
    "digests are not answered": Fault(NeverRepairs, frozenset({"ban", "agree"})),
    "bans heard while serving are not applied": Fault(NotApplied, frozenset({"applied", "ban"})),
}
