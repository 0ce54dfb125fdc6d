"""Faults planted in the core of a tier's recovery: each must be found by the observer's invariants.

A fault is a subclass of the core, or of one of its parts, that gets one thing wrong; `FAULTS` names them,
with the invariants by which each may be found.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

from balancer.recovery.actions import Action, RestrictSavedList
from balancer.recovery.ban_controller import BanController
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.core import Recovery, RecoveryComponents
from balancer.recovery.events import BanRequested, DiskRead, Event, ListReceived, MembershipChanged
from balancer.recovery.exchange import Exchange
from balancer.recovery.messages import Digest
from balancer.recovery.phase_machine import PhaseMachine
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.quota import CapacityQuota
from balancer.recovery.saved_list import SavedList
from balancer.sim.recovery_process import MakeCore
from balancer.sim.recovery_schedule import Schedule, draw, draw_crossings

RETRY_MS = 50.0  # to the next wakeup of a core that is past its deadline
CLOCK_TOLERANCE_MS = 1.0  # below which two times of an entry count as equal


class MergesByTime(BanRegister):
    """The later entry wins, by the clock of whoever wrote it."""

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge by time."""
        changed = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            if known is None or entry.changed_at > known.changed_at + CLOCK_TOLERANCE_MS:
                self.put(entry)
                changed.append(entry)
        return changed


class LiftWins(BanRegister):
    """A lift also ends bans that it has not seen."""

    def is_banned(self, backend: str) -> bool:
        """Return whether all entries are bans."""
        entries = self.entries_of(backend)
        return bool(entries) and all(entry.active for entry in entries)


class CommitsLiftsBlindly(BanRegister):
    """A lift that waited for the disk is put over an entry that became newer meanwhile."""

    def commit(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Put lifts without comparing them."""
        committed = list(entries)
        for entry in committed:
            if not entry.active:
                self.put(entry)
        return super().commit([entry for entry in committed if entry.active])


class ActiveWins(BanRegister):
    """At the same counter the ban wins over the lift that has seen it: an old disk undoes a lift."""

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge so that a ban wins."""
        changed = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            is_ban_again = known is not None and entry.counter == known.counter and entry.active
            if known is None or entry.counter > known.counter or is_ban_again:
                self.put(entry)
                changed.append(entry)
        return changed


class NeverReissues(BanRegister):
    """After a lost disk a node's bans are not issued anew above those of its former incarnations."""

    def reissue_above(self, entry: BanEntry) -> list[BanEntry]:
        """Issue nothing."""
        return []


class DropsLifted(Recovery):
    """Lifted entries are not taken from the disk: nothing is left that stops older disks."""

    def restore_saved_state(self, event: DiskRead) -> None:
        """Take bans alone."""
        super().restore_saved_state(replace(event, entries=tuple(e for e in event.entries if e.active)))


class ServesAtOnce(PhaseMachine):
    """It serves before it has asked anybody."""

    def survey_end_reason(self, path: RecoveryPath) -> str | None:
        """End the survey."""
        return "no wait"


class AwaitsAll(PhaseMachine):
    """It does not serve before everybody has answered."""

    def survey_end_reason(self, path: RecoveryPath) -> str | None:
        """End the survey once all were heard."""
        return "all are there" if len(self.survey.reports) == self.context.node_count - 1 else None


class AwaitingRecovery(Recovery):
    """Wakes up later than now, as the time to serve at the latest has passed."""

    @property
    def next_wakeup(self) -> float:
        """When a `Tick` is wanted."""
        return max(super().next_wakeup, self.context.now + RETRY_MS)


class ShareOfPresent(CapacityQuota):
    """A minority shares the whole budget among those that it sees."""

    @property
    def share(self) -> float:
        """Part of the budget, without the majority's condition."""
        return 1.0 / len(self.survey.present())


class TrustsSavedStarts(PhaseMachine):
    """Starts of the saved list count after a power loss too: the recovery is handled as a crash."""

    def run_survey(self) -> None:
        """Enter FULL at the end of the survey."""
        super().run_survey()
        if self.context.phase is Phase.LISTED:
            self.context.path = RecoveryPath.CRASH
            self.enter(Phase.WARMING, "as saved")
            self.enter(Phase.FULL, "as saved")


class WarmsAgain(Recovery):
    """A restarted backend puts a node that is FULL back to WARMING."""

    def receive_list(self, event: ListReceived) -> None:
        """Enter WARMING for a cold backend."""
        super().receive_list(event)
        context = self.context
        age = context.now - max(event.start_times, default=0.0)
        if self.phase is Phase.FULL and age < context.config.ramp_time_ms:
            self.phases.enter(Phase.WARMING, "a backend is cold")


class PollsAtOnce(PollSchedule):
    """Discovery is polled without slots."""

    def schedule_first(self, now: float, nodes: Iterable[int]) -> None:
        """Poll at once."""
        self.poll_now(now)


class RestrictsAll(SavedList):
    """A peer's filter of a newer list takes away whatever it does not name, however much that is."""

    def restrict(self) -> None:
        """Avoid the whole saved list."""
        newest = self.newest_filter
        if self.fresh is None and newest is not None and newest.revision > self.revision:
            self.context.actions.append(RestrictSavedList(frozenset(self.saved_ids)))


class AnswersFirst(BanController):
    """An operator's request is answered before its entries are synced."""

    def request(self, event: BanRequested, now: float) -> None:
        """Answer at once."""
        super().request(event, now)
        self.register.commit(self.pending[event.token].entries)
        self.apply_current_state(event.backend)


class NeverRepairs(Exchange):
    """Digests are not answered: what differs by pairs stays so."""

    def digest_received(self, node: int, register_hash: int, digest: Digest, now: float) -> None:
        """Send nothing."""


class IgnoresLateBans(BanController):
    """A ban heard from a peer while this node serves is written down, and no more."""

    is_serving = False

    def apply_changes(self, changed: Iterable[BanEntry], now: float) -> None:
        """Apply what came before the node served."""
        if not self.is_serving:
            super().apply_changes(changed, now)


class MarksServing(PhaseMachine):
    """Tells `IgnoresLateBans` that the node serves."""

    def start_serving(self, reason: str) -> None:
        """End the survey."""
        super().start_serving(reason)
        assert isinstance(self.bans, IgnoresLateBans)
        self.bans.is_serving = True


class FullByMembers(Recovery):
    """A node is FULL only while the membership sees a majority; one that loses it begins anew."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return to LISTED when the majority is lost."""
        if isinstance(event, MembershipChanged) and not event.quorum and self.phase is Phase.FULL:
            self.phases.enter(Phase.LISTED, "the majority is away")
        return super().handle(now, event)


@dataclass(slots=True, frozen=True)
class Fault:
    """A core with something wrong, and what finds it."""

    make: MakeCore
    found_by: frozenset[str]
    counts: tuple[int, ...] = (3, 4, 5, 6)  # sizes of the tiers in which it is looked for
    draw_schedule: Callable[[int, Iterable[int]], Schedule] = draw


def _planted(components: RecoveryComponents, core: type[Recovery] = Recovery) -> MakeCore:
    return partial(core, components=components)


FAULTS = {
    "entries are merged by wall time": Fault(
        _planted(RecoveryComponents(register=MergesByTime)), frozenset({"known", "ban", "applied", "agree"})
    ),
    "a lift wins over a concurrent ban": Fault(
        _planted(RecoveryComponents(register=LiftWins)), frozenset({"applied", "ban"})
    ),
    "a lift covers a ban that came while it was written": Fault(
        _planted(RecoveryComponents(register=CommitsLiftsBlindly)),
        frozenset({"known", "ban", "agree"}),
        draw_schedule=draw_crossings,
    ),
    "a ban wins over the lift that saw it": Fault(
        _planted(RecoveryComponents(register=ActiveWins)), frozenset({"known", "agree"})
    ),
    "own bans are not issued anew after a lost disk": Fault(
        _planted(RecoveryComponents(register=NeverReissues)), frozenset({"ban", "known"})
    ),
    "lifted bans are dropped at a restart": Fault(DropsLifted, frozenset({"known"})),
    "serves before asking": Fault(_planted(RecoveryComponents(phases=ServesAtOnce)), frozenset({"ban"})),
    "waits for all peers": Fault(
        _planted(RecoveryComponents(phases=AwaitsAll), AwaitingRecovery), frozenset({"full"})
    ),
    "a minority shares the whole budget": Fault(
        _planted(RecoveryComponents(quota=ShareOfPresent)), frozenset({"budget"}), (5, 6, 8)
    ),
    "saved starts are trusted after a power loss": Fault(
        _planted(RecoveryComponents(phases=TrustsSavedStarts)), frozenset({"budget"})
    ),
    "a phase is entered again": Fault(WarmsAgain, frozenset({"phase"})),
    "a lost majority begins anew": Fault(FullByMembers, frozenset({"phase"})),
    "discovery is polled without slots": Fault(  # or by `mass_return`
        _planted(RecoveryComponents(schedule=PollsAtOnce)), frozenset({"turns"}), (200,)
    ),
    "a peer's filter restricts everything": Fault(
        _planted(RecoveryComponents(saved_list=RestrictsAll)), frozenset({"list"})
    ),
    "a request is answered before the sync": Fault(
        _planted(RecoveryComponents(bans=AnswersFirst)), frozenset({"ban"})
    ),
    "digests are not answered": Fault(
        _planted(RecoveryComponents(exchange=NeverRepairs)), frozenset({"ban", "agree"})
    ),
    "bans received while serving are not applied": Fault(
        _planted(RecoveryComponents(bans=IgnoresLateBans, phases=MarksServing)), frozenset({"applied", "ban"})
    ),
}
