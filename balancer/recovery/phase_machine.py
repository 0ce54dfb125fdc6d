"""State machine of the recovery phases: decides when a phase ends and which one follows."""

from __future__ import annotations

import math

from balancer.recovery.actions import PhaseEntered
from balancer.recovery.ban_controller import BanController
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.context import RecoveryContext
from balancer.recovery.exchange import Exchange
from balancer.recovery.messages import StatusFlag
from balancer.recovery.phases import MIN_ESTABLISHED_PEERS, Phase, RecoveryPath, established_peers
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.quota import CapacityQuota
from balancer.recovery.saved_list import SavedList
from balancer.recovery.survey import PeerSurvey
from balancer.recovery.trust import StateKind

# The kinds of outages after which backends may be cold.
COLD_PATHS = frozenset({RecoveryPath.POWER, RecoveryPath.SPLIT, RecoveryPath.ALONE})
# Later reports can show that a recovery classified as ALONE or SPLIT has one of these paths.
REFINED_PATHS = frozenset({RecoveryPath.SPLIT, RecoveryPath.POWER})
# Once enough peers with a completed survey agree, the node waits for no other peers.
MIN_SURVEYED_PEERS = 4
STATUS_SPREAD_MS = 150.0  # random delays spread the broadcasts of all nodes over 150 ms
WARM_CHECK_INTERVAL_MS = 250.0  # a node checks repeatedly whether its peers consider the backends warm


class PhaseMachine:
    """Advance a node through the phases from VERIFY to FULL."""

    def __init__(
        self,
        context: RecoveryContext,
        survey: PeerSurvey,
        saved_list: SavedList,
        quota: CapacityQuota,
        bans: BanController,
        exchange: Exchange,
        schedule: PollSchedule,
    ) -> None:
        """Create the machine in the phase VERIFY."""
        self.context = context
        self.survey = survey
        self.saved_list = saved_list
        self.quota = quota
        self.bans = bans
        self.exchange = exchange
        self.schedule = schedule
        self.next_survey_at = math.inf
        self.survey_started_at = context.now
        self.serving_since = context.now
        self.is_warm = False  # true once every listed backend is warm by this node's clock
        # Saved entries that are not trusted before the survey ends are restored afterwards.
        self.deferred_entries: list[BanEntry] = []
        self._survey_interval_ms = context.config.survey_interval_ms
        self._warm_check_at = context.now

    @property
    def next_transition_at(self) -> float:
        """Next time at which the current phase may end."""
        match self.context.phase:
            case Phase.ASK:
                return self._next_survey_deadline()
            case Phase.WARMING:
                return max(self.phase_ends_at(), self._warm_check_at)
            case Phase.LISTED:
                return self.phase_ends_at()
        return math.inf

    def phase_ends_at(self) -> float:
        """Return the latest time at which LISTED or WARMING ends, as far as it is known."""
        config = self.context.config
        latest = self.serving_since + config.max_warming_ms
        if self.context.phase is Phase.LISTED:
            return self.serving_since + config.max_listed_ms
        if self.saved_list.fresh is None:
            return latest
        return min(latest, max(self.saved_list.fresh.start_times, default=-math.inf) + config.ramp_time_ms)

    def deadline(self) -> float:
        """Return the latest end of the current phase; infinite for VERIFY and FULL."""
        match self.context.phase:
            case Phase.VERIFY | Phase.FULL:
                return math.inf
            case Phase.ASK:
                return self.survey_started_at + self.context.config.max_survey_ms
        return self.phase_ends_at()

    def _next_survey_deadline(self) -> float:
        config = self.context.config
        now = self.context.now
        waits = (config.survey_interval_ms, config.isolation_timeout_ms, config.max_survey_ms)
        deadlines = (self.survey_started_at + wait for wait in waits)
        return min((deadline for deadline in deadlines if deadline > now), default=now)

    def advance(self) -> None:
        """Perform all transitions that are due."""
        if self.context.phase is Phase.ASK:
            self.run_survey()
        if self.context.phase in (Phase.LISTED, Phase.WARMING):
            self._refine_path()
        if self.context.phase is Phase.LISTED:
            self._await_list()
        if self.context.phase is Phase.WARMING:
            self._await_warm_backends()
        if self.context.serves_while_recovering:
            self.quota.review()

    def enter(self, phase: Phase, reason: str) -> None:
        """Enter a phase and report it with the reason."""
        self.context.phase = phase
        self.context.phase_since = self.context.now
        self.quota.review_soon()
        self.context.actions.append(PhaseEntered(phase, self.context.path, reason))
        if phase is Phase.FULL:
            self.exchange.send_status(None, self.context.now)

    def begin_survey(self, reason: str) -> None:
        """Enter ASK, in which the node surveys its peers."""
        self.enter(Phase.ASK, reason)
        self.survey_started_at = self.context.now
        self.next_survey_at = self.context.now

    def take_over(self, phase: Phase, path: RecoveryPath, cold_since: float) -> None:
        """Continue in the phase of the node's previous process."""
        self.context.path = RecoveryPath.UPGRADE
        self.context.cold_since = cold_since
        self.next_survey_at = math.inf
        self.serving_since = self.context.now if cold_since == -math.inf else cold_since
        self.enter(phase, f"taken over from the previous process, on path {path.value}")
        self.schedule.poll_now(self.context.now)

    def run_survey(self) -> None:
        """Survey the peers, and start serving once the survey is over."""
        now = self.context.now
        if now >= self.next_survey_at:
            self.exchange.request_survey()
            self.next_survey_at = now + self._survey_interval_ms
            self._survey_interval_ms *= 2
        is_first_round = now < self.survey_started_at + self.context.config.survey_interval_ms
        if self.survey.reports and is_first_round and not self.survey.has_established_peers:
            return  # in the first round of the survey, reports can only prove a crash
        found = self.survey.classify()
        result = self.survey_end_reason(found.path)
        if result is None:
            return
        self.next_survey_at = math.inf
        self.context.path = found.path
        ahead = len(self.exchange.agreement.peers_ahead())
        if ahead:
            result += f", {ahead} peers have newer entries"
        self.start_serving(f"{found.reason}; {result}")

    def survey_end_reason(self, path: RecoveryPath) -> str | None:
        """Return why the survey is over, or None while it continues."""
        config = self.context.config
        elapsed = self.context.now - self.survey_started_at
        if self.context.node_count == 1:
            return "the tier has no other node"
        if elapsed >= config.max_survey_ms:
            return "the survey timed out"
        is_agreed = not self.exchange.agreement.peers_ahead()
        if path is RecoveryPath.CRASH and is_agreed:
            return "the peers agree" if self._agreeing_peers_suffice() else None
        if not self.survey.reports:
            return "no peer answers" if elapsed >= config.isolation_timeout_ms else None
        if not is_agreed:
            return None
        if self._surveyed_peer_count() >= MIN_SURVEYED_PEERS:
            return "peers that have completed their survey agree"
        if self.awaited_peers():
            return None
        if 2 * (len(self.survey.reports) + 1) > self.context.node_count:
            return "the peers agree" if elapsed >= config.survey_interval_ms else None
        return (
            "the peers that answered agree, the others do not answer"
            if elapsed >= config.isolation_timeout_ms
            else None
        )

    def awaited_peers(self) -> list[int]:
        """Return, during ASK, the peers that have not reported or have entries that this node lacks."""
        if self.context.phase is not Phase.ASK:
            return []
        return sorted({*self.survey.missing(), *self.exchange.agreement.peers_ahead()})

    def start_serving(self, reason: str) -> None:
        """End the survey and start serving requests."""
        now = self.context.now
        self.serving_since = now
        self.enter(Phase.LISTED, reason)
        deferred = self.deferred_entries
        self.deferred_entries = []
        trusted = [entry for entry in deferred if self.context.is_trusted(entry_kind(entry))]
        self.bans.restore(trusted, now)
        if self.context.path in COLD_PATHS:
            self.context.cold_since = self.context.started_at
            nodes = self.survey.present() if self.survey.has_majority() else range(self.context.node_count)
            self.schedule.schedule_first(now, nodes)
            self.saved_list.restrict()
        else:
            self.schedule.poll_now(now)
            self.saved_list.restrict()
            self.enter(Phase.WARMING, "the tier kept running")
            self.enter(Phase.FULL, "the tier kept running")
        if self.saved_list.fresh is not None:
            self.schedule.stop()

    def _agreeing_peers_suffice(self) -> bool:
        agreement = self.exchange.agreement
        agreeing = [r.status for node, r in self.survey.reports.items() if agreement.agrees_with(node)]
        established = established_peers(agreeing, self.context.node_count)
        return len(established) >= min(MIN_ESTABLISHED_PEERS, self.context.node_count - 1)

    def _surveyed_peer_count(self) -> int:
        """Return the number of peers that have completed their survey and see a majority of the tier."""
        statuses = [report.status for report in self.survey.reports.values()]
        return sum(
            status.phase >= Phase.LISTED and 2 * status.present_count > self.context.node_count
            for status in statuses
        )

    def _refine_path(self) -> None:
        """Reclassify ALONE and SPLIT by later reports; a node that already serves never changes to CRASH."""
        if self.context.path not in (RecoveryPath.ALONE, RecoveryPath.SPLIT):
            return
        found = self.survey.classify()
        if found.path in REFINED_PATHS and found.path is not self.context.path:
            self.context.path = found.path
            self.context.actions.append(PhaseEntered(self.context.phase, found.path, found.reason))

    def _await_list(self) -> None:
        now = self.context.now
        if self.saved_list.fresh is not None:
            starts = self.saved_list.fresh.start_times
            last = f", the newest started {now - max(starts):.0f} ms ago" if starts else ""
            self.enter(Phase.WARMING, f"discovery sent {len(starts)} backends{last}")
        elif now >= self.serving_since + self.context.config.max_listed_ms:
            self.enter(
                Phase.WARMING, "discovery does not answer: the warm-up is timed by this node's own start"
            )

    def _await_warm_backends(self) -> None:
        """Enter FULL once all backends are warm by this node's clock and by the clocks of half of its peers.

        Discovery sends wall-clock start times, so to a node with a fast clock all backends seem warm at once.
        """
        context = self.context
        if context.now >= self.serving_since + context.config.max_warming_ms:
            self.enter(Phase.FULL, "the warm-up timed out")
            return
        if context.now < self.phase_ends_at():
            return
        if not self.is_warm:
            self.is_warm = True
            self.exchange.send_status(None, context.now, STATUS_SPREAD_MS * context.generator.random())
        if self._is_cold_to_most_peers():
            self._warm_check_at = context.now + WARM_CHECK_INTERVAL_MS
        else:
            self.enter(Phase.FULL, "every listed backend is warm")

    def _is_cold_to_most_peers(self) -> bool:
        serving = [status for status in self.survey.fresh_statuses() if status.phase >= Phase.LISTED]
        cold = sum(status.phase < Phase.FULL and StatusFlag.WARM not in status.flags for status in serving)
        return 2 * cold > len(serving) > 1


def entry_kind(entry: BanEntry) -> StateKind:
    """Return the kind of saved state that an entry belongs to."""
    return StateKind.BANS if entry.active else StateKind.LIFTED_BANS
