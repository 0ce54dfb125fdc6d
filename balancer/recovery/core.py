"""Recovery of one node as a state machine: it turns times and events into actions, without I/O or a clock.

The harm that a hostile peer can do is limited. It can ban backends and lift bans, as an operator at any node
can: nodes relay entries, so the sender of an entry proves nothing. It can keep this node in ASK for
`RecoveryConfig.max_survey_ms`, make it avoid half of a saved list until discovery sends a list, and reduce
its share with a false demand, which counts as at most four fifths of the total. Two hostile peers can make
the recovery look like a crash; the node then serves as it would without this subsystem. No peer can keep the
node from FULL for longer than `RecoveryConfig.max_warming_ms`.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from balancer.recovery.actions import Action, PersistEntries, RequestList, SendDatagram
from balancer.recovery.ban_controller import BanController
from balancer.recovery.ban_register import PROCESS_TAG_BITS, BanRegister
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.context import RecoveryContext
from balancer.recovery.events import (
    BanRequested,
    DatagramReceived,
    DemandMeasured,
    DiskRead,
    Event,
    ListReceived,
    ListRequestFailed,
    MembershipChanged,
    PeersChanged,
    SavedListLoaded,
    ShutdownStarted,
    StateInherited,
    WriteCompleted,
)
from balancer.recovery.exchange import Exchange, ExchangeLimits
from balancer.recovery.list_filter import build_filter
from balancer.recovery.messages import Message, NodeStatus, StatusFlag, encode, rounded_demand
from balancer.recovery.phase_machine import PhaseMachine, entry_kind
from balancer.recovery.phases import PATHS, Phase, RecoveryPath
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.quota import CapacityQuota
from balancer.recovery.receiver import DatagramReceiver
from balancer.recovery.saved_list import SavedList
from balancer.recovery.stats import NOT_TRUSTED, ListStats, RecoveryStats
from balancer.recovery.survey import PeerSurvey
from balancer.recovery.trust import TRUST_TABLE, DiskState, StateKind, TrustRule

DEMAND_BROADCAST_SPREAD_MS = 300.0  # random delays spread the broadcasts of all nodes over 300 ms


@dataclass(slots=True, frozen=True)
class RecoveryComponents:
    """Classes of the recovery's components; the simulation replaces them with faulty ones."""

    register: type[BanRegister] = BanRegister
    bans: type[BanController] = BanController
    exchange: type[Exchange] = Exchange
    schedule: type[PollSchedule] = PollSchedule
    saved_list: type[SavedList] = SavedList
    quota: type[CapacityQuota] = CapacityQuota
    phases: type[PhaseMachine] = PhaseMachine


DEFAULT_COMPONENTS = RecoveryComponents()


class Recovery:
    """Recovery of node number `node` in a tier of `node_count` nodes."""

    def __init__(
        self,
        config: RecoveryConfig,
        node: int,
        node_count: int,
        incarnation: int,
        seed: int,
        now: float,
        trust_table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
        components: RecoveryComponents = DEFAULT_COMPONENTS,
    ) -> None:
        """Create the recovery of a process that starts at `now` (node clock, ms)."""
        generator = random.Random(seed)
        self.context = context = RecoveryContext(
            config,
            node,
            node_count,
            generator,
            trust_table,
            started_at=now,
            now=now,
            cold_since=now,
            phase_since=now,
        )
        self.register = components.register(node, incarnation, generator.randrange(1 << PROCESS_TAG_BITS))
        limits = ExchangeLimits(config.datagrams_per_s, config.burst_datagrams, config.survey_interval_ms)
        self.exchange = components.exchange(self.register, generator, limits, now)
        self.schedule = components.schedule(node, config.poll_slot_ms)
        self.bans = components.bans(self.register, self.exchange, config.ramp_time_ms, context.actions)
        self.survey = PeerSurvey(context)
        self.saved_list = components.saved_list(context)
        self.quota = components.quota(context, self.survey)
        self.phases = components.phases(
            context, self.survey, self.saved_list, self.quota, self.bans, self.exchange, self.schedule
        )
        self._receiver = DatagramReceiver(context, self.survey, self.saved_list, self.bans, self.exchange)

    @property
    def phase(self) -> Phase:
        """Current phase of the recovery."""
        return self.context.phase

    @property
    def path(self) -> RecoveryPath:
        """Kind of outage that the node recovers from."""
        return self.context.path

    @property
    def cold_since(self) -> float:
        """Time at which backends with an unknown start time count as started."""
        return self.context.cold_since

    @property
    def next_wakeup(self) -> float:
        """Time at which the core needs the next `Tick` at the latest."""
        if self.phase is Phase.VERIFY:
            return math.inf
        return min(
            self.phases.next_transition_at,
            self.phases.next_survey_at,
            self.schedule.next_poll_at,
            self.exchange.next_send_at,
        )

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event at `now` (node clock, ms, never decreasing) and return the resulting actions."""
        self.context.now = max(self.context.now, now)
        self._dispatch(event)
        self.phases.advance()
        self._poll_discovery()
        self._send_datagrams()
        actions = list(self.context.actions)
        self.context.actions.clear()
        return actions

    def is_trusted(self, kind: StateKind) -> bool:
        """Return whether the trust table permits the use of saved state of a kind now."""
        return self.context.is_trusted(kind)

    def stats(self) -> RecoveryStats:
        """Return the figures for `/stats`."""
        context = self.context
        deadline = self.phases.deadline()
        counters = (context.counts, self.exchange.counts, self.bans.counts, self.register.counts)
        return RecoveryStats(
            phase=self.phase.name.lower(),
            path=self.path.value,
            since_ms=round(context.now - context.phase_since),
            share=round(self.quota.share, 4),
            trusted={
                kind.value: context.trust_table[kind].level.value if self.is_trusted(kind) else NOT_TRUSTED
                for kind in StateKind
            },
            peers=context.node_count - 1,
            reported_peers=len(self.survey.reports),
            awaited_peers=self.phases.awaited_peers(),
            remaining_ms=None if deadline == math.inf else round(max(0.0, deadline - context.now)),
            bans=len(self.register.bans()),
            entries=len(self.register),
            register_hash=f"{self.register.hash:016x}",
            endpoint_list=ListStats(
                fresh=context.has_fresh_list,
                revision=self.saved_list.revision,
                restricted=len(self.saved_list.restricted_ids),
                polls=self.schedule.poll_count,
            ),
            counts=dict(sorted(sum(counters, Counter[str]()).items())),
        )

    def _dispatch(self, event: Event) -> None:
        context = self.context
        match event:
            case DiskRead():
                self.restore_saved_state(event)
            case StateInherited():
                self._inherit(event)
            case ListReceived():
                self.receive_list(event)
            case ListRequestFailed():
                context.counts["list_failed"] += 1
                self.schedule.poll_failed(context.now, self.survey.polling_node_count())
            case SavedListLoaded():
                self.saved_list.set_saved(event.ids)
            case BanRequested():
                self.bans.request(event, context.now)
            case WriteCompleted():
                self.bans.write_completed(event, context.now)
            case DemandMeasured():
                self._measure_demand(event)
            case ShutdownStarted():
                self._leave()
            case _:
                self._dispatch_peer_event(event)

    def _dispatch_peer_event(self, event: Event) -> None:
        match event:
            case DatagramReceived():
                self._receiver.receive(event)
            case MembershipChanged():
                self.survey.set_members(event.incarnations, event.quorum)
                self.quota.review_soon()
            case PeersChanged():
                self._change_peers(event)

    def restore_saved_state(self, event: DiskRead) -> None:
        """Restore the state that was read from disk, as far as the trust table permits."""
        context = self.context
        context.disk = DiskState(event.sound, event.fresh_disk, event.age_ms)
        if self.is_trusted(StateKind.INCARNATION):
            self.register.counter.incarnation = max(self.register.counter.incarnation, event.incarnation)
        found = event.entries if event.sound else ()
        entries = [entry._replace(changed_at=min(entry.changed_at, context.now)) for entry in found]
        self.phases.deferred_entries = [e for e in entries if not self.is_trusted(entry_kind(e))]
        self.bans.restore([e for e in entries if self.is_trusted(entry_kind(e))], context.now)
        self.saved_list.revision = event.revision
        self.quota.saved_rate = event.warm_rate
        if self.phase is Phase.VERIFY:
            self.phases.begin_survey(self._disk_summary(event))

    def _disk_summary(self, event: DiskRead) -> str:
        if not event.sound:
            return "the disk is not sound, so its saved state is not used"
        if event.fresh_disk:
            return "no saved state on the disk"
        return f"{len(event.entries)} register entries on the disk, {len(self.register.bans())} bans in force"

    def _inherit(self, event: StateInherited) -> None:
        """Continue in the predecessor's phase unless this process has already reached a later one."""
        changed = self.bans.restore(event.entries, self.context.now)
        if changed:
            self.context.actions.append(PersistEntries(tuple(changed)))
        if event.phase >= Phase.LISTED and event.phase > self.phase:
            self.phases.take_over(event.phase, event.path, event.cold_since)
        elif self.phase is Phase.VERIFY:
            self.phases.begin_survey(f"the previous process was in phase {event.phase.name.lower()}")

    def receive_list(self, event: ListReceived) -> None:
        """Replace the saved list with the one that discovery has sent."""
        self.schedule.stop()
        self.exchange.filters.own = build_filter(event.ids, event.revision)
        self.saved_list.receive(event)

    def _measure_demand(self, event: DemandMeasured) -> None:
        """Broadcast this node's demand, which determines its share of the cold backends' capacity.

        All nodes must calculate with the same numbers, so this node rounds its own demand as peers decode it.
        """
        context = self.context
        self.quota.demand = rounded_demand(max(0.0, event.requests_per_s))
        self.quota.review_soon()
        if context.serves_while_recovering:
            self.exchange.send_status(
                None, context.now, DEMAND_BROADCAST_SPREAD_MS * context.generator.random()
            )

    def _leave(self) -> None:
        self.exchange.is_leaving = True
        self.phases.next_survey_at = math.inf
        self.schedule.stop()

    def _change_peers(self, event: PeersChanged) -> None:
        """Remove peers that left or were replaced; keep their entries, which other nodes may still have."""
        context = self.context
        numbers = range(context.node_count)
        gone = {node for node in numbers if node >= event.count or node in event.replaced} - {context.node}
        context.node_count = event.count
        self.survey.forget(gone)
        for node in gone:
            self.exchange.forget(node)

    def _poll_discovery(self) -> None:
        if self.context.now >= self.schedule.next_poll_at:
            self.schedule.poll_started(self.context.now, self.survey.polling_node_count())
            self.context.actions.append(RequestList())

    def _send_datagrams(self) -> None:
        context = self.context
        if self.phase is Phase.VERIFY or context.now < self.exchange.next_send_at:
            return  # this node's status is unknown until its disk has been read
        for outgoing in self.exchange.take_due(context.now, self.status, self.survey.present_peers()):
            message = Message(outgoing.kind, context.node, self.register.hash, outgoing.body)
            context.actions.append(SendDatagram(outgoing.node, encode(message, context.now)))

    def status(self, flags: StatusFlag) -> NodeStatus:
        """Return this node's status report, with `flags` in addition to the flags of its state."""
        context = self.context
        flags |= StatusFlag.SOUND if context.disk.sound else StatusFlag(0)
        flags |= StatusFlag.FRESH if context.disk.fresh else StatusFlag(0)
        flags |= StatusFlag.LISTED if context.has_fresh_list else StatusFlag(0)
        flags |= StatusFlag.WARM if self.phases.is_warm else StatusFlag(0)
        is_surveyed = self.phase >= Phase.LISTED
        return NodeStatus(
            incarnation=self.register.counter.incarnation,
            uptime_ms=context.now - context.started_at,
            phase=self.phase,
            path=PATHS.index(self.path),
            flags=flags,
            revision=self.saved_list.known_revision(),
            warm_rate=self.quota.own_rate(),
            demand=self.quota.demand,
            recovering=self.survey.recovering_count(),
            present_nodes=self.survey.present_bits() if is_surveyed else self.survey.heard_bits(),
        )
