"""Faults injected into the recovery core, each of which the observer's invariants must detect.

A fault is a subclass of the core, or of one of its components, with a single error. `FAULTS` lists them by
name, with the invariants that may detect each.
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

OVERDUE_WAKEUP_DELAY_MS = 50.0
# The maximum difference at which two times of an entry count as equal.
CLOCK_TOLERANCE_MS = 1.0


class MergesByTime(BanRegister):
    """Faulty register in which the entry with the later wall-clock time wins a merge."""

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge entries by their wall-clock times instead of their versions."""
        changed = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            if known is None or entry.changed_at > known.changed_at + CLOCK_TOLERANCE_MS:
                self.put(entry)
                changed.append(entry)
        return changed


class LiftWins(BanRegister):
    """Faulty register in which a lift also ends concurrent bans."""

    def is_banned(self, backend: str) -> bool:
        """Return whether all of a backend's entries are active, so that one lift ends all its bans."""
        entries = self.entries_of(backend)
        return bool(entries) and all(entry.active for entry in entries)


class CommitsLiftsBlindly(BanRegister):
    """Faulty register in which a lift overwrites an entry that became newer while the lift was written."""

    def commit(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Store lifts without comparing their versions with the current entries."""
        committed = list(entries)
        for entry in committed:
            if not entry.active:
                self.put(entry)
        return super().commit([entry for entry in committed if entry.active])


class ActiveWins(BanRegister):
    """Faulty register in which a ban wins over its own lift, so that an old disk undoes the lift."""

    def merge(self, entries: Iterable[BanEntry]) -> list[BanEntry]:
        """Merge entries so that a ban wins over a lift with the same counter."""
        changed = []
        for entry in entries:
            known = self.get(entry.backend, entry.node)
            is_ban_again = known is not None and entry.counter == known.counter and entry.active
            if known is None or entry.counter > known.counter or is_ban_again:
                self.put(entry)
                changed.append(entry)
        return changed


class NeverReissues(BanRegister):
    """Faulty register that does not reissue bans above those of former incarnations after a lost disk."""

    def reissue_above(self, entry: BanEntry) -> list[BanEntry]:
        """Return no reissued entries."""
        return []


class DropsLifted(Recovery):
    """Faulty core that ignores lifted entries on disk, so that older disks can restore their bans."""

    def restore_saved_state(self, event: DiskRead) -> None:
        """Restore only the active entries of the saved state."""
        super().restore_saved_state(replace(event, entries=tuple(e for e in event.entries if e.active)))


class ServesAtOnce(PhaseMachine):
    """Faulty phase machine that serves before it has surveyed its peers."""

    def survey_end_reason(self, path: RecoveryPath) -> str | None:
        """End the survey immediately."""
        return "no wait"


class AwaitsAll(PhaseMachine):
    """Faulty phase machine that does not serve before every peer has answered."""

    def survey_end_reason(self, path: RecoveryPath) -> str | None:
        """End the survey only after reports from all peers."""
        return "all are there" if len(self.survey.reports) == self.context.node_count - 1 else None


class AwaitingRecovery(Recovery):
    """Core for `AwaitsAll`, which would otherwise request a wakeup in the past after its deadline."""

    @property
    def next_wakeup(self) -> float:
        """Time of the next `Tick`, at least `OVERDUE_WAKEUP_DELAY_MS` from now."""
        return max(super().next_wakeup, self.context.now + OVERDUE_WAKEUP_DELAY_MS)


class ShareOfPresent(CapacityQuota):
    """Faulty quota in which a minority of nodes divides the whole budget among the present ones."""

    @property
    def share(self) -> float:
        """Share of the budget, granted without a majority."""
        return 1.0 / len(self.survey.present())


class TrustsSavedStarts(PhaseMachine):
    """Faulty phase machine that trusts the saved list's start times even after a power loss."""

    def run_survey(self) -> None:
        """Treat the recovery as a crash, and enter FULL at the end of the survey."""
        super().run_survey()
        if self.context.phase is Phase.LISTED:
            self.context.path = RecoveryPath.CRASH
            self.enter(Phase.WARMING, "as saved")
            self.enter(Phase.FULL, "as saved")


class WarmsAgain(Recovery):
    """Faulty core that returns from FULL to WARMING when a backend restarts."""

    def receive_list(self, event: ListReceived) -> None:
        """Enter WARMING if the list contains a cold backend."""
        super().receive_list(event)
        context = self.context
        age = context.now - max(event.start_times, default=0.0)
        if self.phase is Phase.FULL and age < context.config.ramp_time_ms:
            self.phases.enter(Phase.WARMING, "a backend is cold")


class PollsAtOnce(PollSchedule):
    """Faulty schedule that polls discovery without slots."""

    def schedule_first(self, now: float, nodes: Iterable[int]) -> None:
        """Poll immediately instead of in the node's slot."""
        self.poll_now(now)


class RestrictsAll(SavedList):
    """Faulty saved list that a peer's filter may restrict without a limit."""

    def restrict(self) -> None:
        """Restrict the complete saved list if a peer has a newer filter."""
        newest = self.newest_filter
        if self.fresh is None and newest is not None and newest.revision > self.revision:
            self.context.actions.append(RestrictSavedList(frozenset(self.saved_ids)))


class AnswersFirst(BanController):
    """Faulty controller that answers an operator's request before its entries are synced."""

    def request(self, event: BanRequested, now: float) -> None:
        """Commit and apply the request's entries immediately."""
        super().request(event, now)
        self.register.commit(self.pending[event.token].entries)
        self.apply_current_state(event.backend)


class NeverRepairs(Exchange):
    """Faulty exchange that ignores digests, so that differences between two registers remain."""

    def digest_received(self, node: int, register_hash: int, digest: Digest, now: float) -> None:
        """Ignore a peer's digest."""


class IgnoresLateBans(BanController):
    """Faulty controller that does not apply bans received from peers while the node serves."""

    is_serving = False

    def apply_changes(self, changed: Iterable[BanEntry], now: float) -> None:
        """Apply changes only while the node does not serve yet."""
        if not self.is_serving:
            super().apply_changes(changed, now)


class MarksServing(PhaseMachine):
    """Phase machine that reports the start of serving to `IgnoresLateBans`."""

    def start_serving(self, reason: str) -> None:
        """End the survey, and mark the node as serving."""
        super().start_serving(reason)
        assert isinstance(self.bans, IgnoresLateBans)
        self.bans.is_serving = True


class FullByMembers(Recovery):
    """Faulty core that returns from FULL to LISTED when the majority is lost."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Enter LISTED again if the membership reports no quorum."""
        if isinstance(event, MembershipChanged) and not event.quorum and self.phase is Phase.FULL:
            self.phases.enter(Phase.LISTED, "the majority is away")
        return super().handle(now, event)


@dataclass(slots=True, frozen=True)
class Fault:
    """A faulty core, the invariants that may detect it, and the tier sizes in which it is sought."""

    make_core: MakeCore
    found_by: frozenset[str]
    counts: tuple[int, ...] = (3, 4, 5, 6)
    draw_schedule: Callable[[int, Iterable[int]], Schedule] = draw


def _faulty(components: RecoveryComponents, core: type[Recovery] = Recovery) -> MakeCore:
    return partial(core, components=components)


FAULTS = {
    "entries are merged by wall time": Fault(
        _faulty(RecoveryComponents(register=MergesByTime)), frozenset({"known", "ban", "applied", "agree"})
    ),
    "a lift wins over a concurrent ban": Fault(
        _faulty(RecoveryComponents(register=LiftWins)), frozenset({"applied", "ban"})
    ),
    "a lift covers a ban that came while it was written": Fault(
        _faulty(RecoveryComponents(register=CommitsLiftsBlindly)),
        frozenset({"known", "ban", "agree"}),
        draw_schedule=draw_crossings,
    ),
    "a ban wins over the lift that saw it": Fault(
        _faulty(RecoveryComponents(register=ActiveWins)), frozenset({"known", "agree"})
    ),
    "own bans are not reissued after a lost disk": Fault(
        _faulty(RecoveryComponents(register=NeverReissues)), frozenset({"ban", "known"})
    ),
    "lifted bans are dropped at a restart": Fault(DropsLifted, frozenset({"known"})),
    "serves before asking": Fault(_faulty(RecoveryComponents(phases=ServesAtOnce)), frozenset({"ban"})),
    "waits for all peers": Fault(
        _faulty(RecoveryComponents(phases=AwaitsAll), AwaitingRecovery), frozenset({"full"})
    ),
    "a minority shares the whole budget": Fault(
        _faulty(RecoveryComponents(quota=ShareOfPresent)), frozenset({"budget"}), (5, 6, 8)
    ),
    "saved starts are trusted after a power loss": Fault(
        _faulty(RecoveryComponents(phases=TrustsSavedStarts)), frozenset({"budget"})
    ),
    "a phase is entered again": Fault(WarmsAgain, frozenset({"phase"})),
    "a lost majority restarts the recovery": Fault(FullByMembers, frozenset({"phase"})),
    # Polls without slots are also detected by `measure_mass_restart`.
    "discovery is polled without slots": Fault(
        _faulty(RecoveryComponents(schedule=PollsAtOnce)), frozenset({"turns"}), (200,)
    ),
    "a peer's filter restricts everything": Fault(
        _faulty(RecoveryComponents(saved_list=RestrictsAll)), frozenset({"list"})
    ),
    "a request is answered before the sync": Fault(
        _faulty(RecoveryComponents(bans=AnswersFirst)), frozenset({"ban"})
    ),
    "digests are not answered": Fault(
        _faulty(RecoveryComponents(exchange=NeverRepairs)), frozenset({"ban", "agree"})
    ),
    "bans received while serving are not applied": Fault(
        _faulty(RecoveryComponents(bans=IgnoresLateBans, phases=MarksServing)), frozenset({"applied", "ban"})
    ),
}
