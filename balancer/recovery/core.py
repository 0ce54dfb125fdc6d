"""The return of one node: told the time and what came, it says what to do. No I/O, no clock of its own.

What a hostile peer can do at most: ban backends and put them back, as an operator at any node can (who
relays a row does not matter, so there is no smaller share for one peer); keep this node in ASK until
`Config.ask_most`; have it avoid half of a saved list until discovery tells its own; two that lie can make its
return seem a crash, and then it serves as a node without this room does; make its share smaller by a demand
that counts as four fifths of all at most. Nobody can keep it from FULL after the longest time.
"""

from __future__ import annotations

import math
import random
import statistics
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from balancer.recovery.ban_controller import BanController
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.demand_share import demand_weighted_share
from balancer.recovery.events import (
    Action,
    BanRequested,
    CapacityGranted,
    DatagramReceived,
    DemandMeasured,
    DiskRead,
    Event,
    ListReceived,
    ListRequestFailed,
    MembershipChanged,
    PeersChanged,
    PersistEntries,
    PhaseEntered,
    RequestList,
    RestrictSavedList,
    SavedListLoaded,
    SendDatagram,
    ShutdownStarted,
    StateInherited,
    WriteCompleted,
)
from balancer.recovery.exchange import Exchange
from balancer.recovery.list_filter import build_filter, excluded_ids
from balancer.recovery.messages import (
    ListFilter,
    Message,
    MessageError,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
    UnknownKindError,
    decode,
    encode,
    node_bits,
)
from balancer.recovery.phases import PATHS, Phase, RecoveryPath, classify_recovery, established_peers
from balancer.recovery.poll_schedule import PollSchedule
from balancer.recovery.trust import TRUST_TABLE, DiskState, StateKind, TrustRule, is_trusted

COLD = frozenset({RecoveryPath.POWER, RecoveryPath.SPLIT, RecoveryPath.ALONE})  # every backend may be cold
EXPECTED_SURVEY_REPLIES = 8  # of those that hear a roll call, on average
THROUGH = 4  # peers that have asked all others, from which no more are waited for
ANSWER_SOON = 150.0  # ms in which a node that is returning itself gathers whom it owes an answer
LATELY = 10_000.0  # ms for which a peer that was heard counts as present, and as returning
FRESH = 3000.0  # ms for which a peer's demand, and what it says of warmth, count
DEMAND_SOON = 300.0  # ms within which a node's demand goes to all
LOOK = 250.0  # ms between two looks at what peers say
NOTICEABLE = 0.05  # of a share or a rate


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """Times in ms. The defaults hold the bounds in `docs/fleet-recovery.md`."""

    ramp_time: float = 8000.0  # after which a backend is warm, from the platform's settings
    roll: float = 250.0  # from the first roll call to the second, then twice as long each time
    ask_most: float = 2000.0  # for which a node asks its peers at most
    alone_after: float = 1000.0  # for which it waits for a majority
    window: float = 60_000.0  # peers that have run longer did not return with this node
    slot: float = 25.0  # of discovery, for each node
    datagrams: float = 3.0  # a second, of this room
    burst: float = 3.0

    @property
    def listed_most(self) -> float:
        """For which a node waits for discovery before it goes by its own start alone."""
        return 1.5 * self.ramp_time

    @property
    def warming_most(self) -> float:
        """From the first request that is served until `FULL`, whatever peers and discovery do."""
        return 3 * self.ramp_time


@dataclass(slots=True)
class PeerReport:
    """What a peer last said of itself."""

    state: NodeStatus
    at: float


class Recovery:
    """The return of node `me` of a tier of `count` nodes, in its life of that number."""

    def __init__(
        self, config: RecoveryConfig, me: int, count: int, life: int, seed: int, now: float,
        table: Mapping[StateKind, TrustRule] = TRUST_TABLE,
    ) -> None:  # fmt: skip
        self.config, self.me, self.count, self.table = config, me, count, table
        self.random = random.Random(seed)
        self.register = BanRegister(me, life, self.random.randrange(1 << 24))
        self.exchange = Exchange(
            me, self.register, self.random, config.datagrams, config.burst, config.roll, now
        )
        self.turns = PollSchedule(me, config.slot)
        self.phase, self.path = Phase.VERIFY, RecoveryPath.UNDECIDED
        self.cold_since = self.started = self.now = now
        self.disk = DiskState()
        self.counts: Counter[str] = Counter()
        self._acts: list[Action] = []
        self.bans = BanController(self.register, self.exchange, config.ramp_time, self._acts)
        self._since = now  # this phase
        self._asked_since = self._listed_since = now
        self._roll_at, self._roll_wait = math.inf, config.roll
        self._heard: dict[int, PeerReport] = {}
        self._hearsay = 0  # bits of all whom peers say that they see
        self._settled = False  # whether peers were heard that did not return with this node
        self._members: frozenset[int] = frozenset({me})
        self._quorum_seen = False
        self._held: list[BanEntry] = []  # of the disk, until the peers are asked
        self._revision = 0  # of the list that is served from
        self._rate = 0.0  # as this node kept it
        self._fresh: ListReceived | None = None  # what discovery told in this process
        self._ahead_since = math.inf  # when it first told of a start ahead of this clock
        self._filter: ListFilter | None = None  # the newest one heard
        self._saved: tuple[str, ...] = ()
        self._restricted: frozenset[str] = frozenset()
        self._admitted: CapacityGranted | None = None
        self._admit_at = now  # when it is looked at next
        self._demand = math.inf  # requests in the last second, at this node; infinite: nobody said
        self._warm = False  # by this node's clock
        self._look_at = now  # when the others' clocks are asked next

    # --- for the node

    @property
    def due(self) -> float:
        """When a `Tick` is wanted."""
        ends = math.inf
        if self.phase is Phase.ASK:
            waits = (self.config.roll, self.config.alone_after, self.config.ask_most)
            ends = min((at for w in waits if (at := self._asked_since + w) > self.now), default=self.now)
        elif self.phase is Phase.WARMING:
            ends = max(self._until(), self._look_at)
        elif self.phase is Phase.LISTED:
            ends = self._until()
        elif self.phase is Phase.VERIFY:
            return math.inf
        return min(ends, self._roll_at, self.turns.due, self.exchange.due)

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about an event, at a time that never goes back."""
        self.now = max(self.now, now)
        match event:
            case DiskRead():
                self._kept(event)
            case StateInherited():
                self._inherited(event)
            case DatagramReceived():
                self._received(event)
            case MembershipChanged():
                self._members = frozenset(m for m in event.lives if 0 <= m < self.count) | {self.me}
                self._quorum_seen = event.quorum
                self._admit_at = self.now
            case ListReceived():
                self._told(event)
            case ListRequestFailed():
                self.counts["list_failed"] += 1
                self.turns.failed(self.now, self._turns_among())
            case SavedListLoaded():
                self._saved = event.ids
                self._restrict()
            case BanRequested():
                self.bans.called(event, self.now)
            case WriteCompleted():
                self.bans.synced(event, self.now)
            case DemandMeasured():
                self._demanded(event)
            case ShutdownStarted():
                self.exchange.leaving = True
                self._roll_at = math.inf
                self.turns.done()
            case PeersChanged():
                self._peers(event)
        self._go_on()
        out = list(self._acts)
        self._acts.clear()
        return out

    def trusts(self, kind: StateKind) -> bool:
        """Whether what the disk kept of a kind may be used now, by the table."""
        asked = self.phase >= Phase.LISTED
        better = kind in (StateKind.LIST, StateKind.REVISION) and self._fresh is not None
        return is_trusted(kind, self.disk, asked, better, self.table)

    @property
    def share(self) -> float:
        """What this node may take of a budget that all share: all sides of any partition take 1.5 at most.

        Where one node has most of the demand the others count it as half, and may take up to 0.4 more
        together than is theirs: more than comes to them.
        """
        present = self._present()
        most = 1.0 if 2 * len(present) > self.count else len(present) / self.count
        since = self.now - FRESH
        others = [self._heard[n].state.demand if n in self._heard and self._heard[n].at >= since else math.inf
                  for n in sorted(present - {self.me})]  # fmt: skip
        return most * demand_weighted_share(self._demand, others)

    @property
    def rate(self) -> float:
        """Requests a second of the whole tier when warm: by the median, that no few can move. 0: unknown."""
        rates = [h.state.rate for h in self._heard.values() if h.state.rate > 0]
        if own := self._own_rate():
            rates.append(own)
        return statistics.median(rates) * self.count if rates else 0.0

    def stats(self) -> dict[str, Any]:
        """For `/stats`."""
        until = {Phase.VERIFY: math.inf, Phase.ASK: self._asked_since + self.config.ask_most,
                 Phase.FULL: math.inf}.get(self.phase, self._until())  # fmt: skip
        parts = (self.exchange, self.bans, self.register)
        return {
            "phase": self.phase.name.lower(),
            "path": self.path.value,
            "since_ms": round(self.now - self._since),
            "share": round(self.share, 4),
            "trusted": {kind.value: self.table[kind].verdict.value if self.trusts(kind) else "no"
                        for kind in StateKind},
            "asked": self.count - 1,
            "heard": len(self._heard),
            "waits_for": self._waits_for(),
            "until_ms": None if until == math.inf else round(max(0.0, until - self.now)),
            "bans": len(self.register.bans()),
            "rows": len(self.register),
            "register": f"{self.register.hash:016x}",
            "list": {"fresh": self._fresh is not None, "revision": self._revision,
                     "restricted": len(self._restricted), "calls": self.turns.asked},
            "counts": dict(sorted(sum((part.counts for part in parts), self.counts).items())),
        }  # fmt: skip

    # --- who is there

    def _present(self) -> set[int]:
        """This node, who is a member, and who was heard lately."""
        since = self.now - LATELY
        return {*self._members, *(n for n, h in self._heard.items() if h.at >= since)}

    def _young(self) -> int:
        """Peers that are returning."""
        since = self.now - LATELY
        return sum(h.at >= since and h.state.phase < Phase.FULL for h in self._heard.values())

    def _states(self) -> list[NodeStatus]:
        return [h.state for _, h in sorted(self._heard.items())]

    def _waits_for(self) -> list[int]:
        """In ASK: who has not been heard, or knows what this node does not know yet."""
        if self.phase is not Phase.ASK:
            return []
        return sorted({*self._missing(), *self.exchange.lacking()})

    def _missing(self) -> list[int]:
        """Who should be there, by the membership or by what peers say, and has not been heard."""
        seen = (self._hearsay | node_bits(self._members)) & ~node_bits((*self._heard, self.me))
        return [node for node in range(min(self.count, seen.bit_length())) if seen >> node & 1]

    def _judged(self) -> tuple[RecoveryPath, str]:
        present = len(self._heard) + 1
        if self._quorum_seen:
            present = max(present, len(self._members))
        return classify_recovery(self._states(), self.count, present, self.config.window)

    # --- phases

    def _go_on(self) -> None:
        """Whatever is due by now."""
        if self.phase is Phase.ASK:
            self._ask()
        if self.phase in (Phase.LISTED, Phase.WARMING):
            self._refine()
        if self.phase is Phase.LISTED:
            self._wait_for_list()
        if self.phase is Phase.WARMING:
            self._warm_up()
        if Phase.LISTED <= self.phase < Phase.FULL and self.now >= self._admit_at:
            self._admit()
        if self.now >= self.turns.due:
            self.turns.taken(self.now, self._turns_among())
            self._acts.append(RequestList())
        if self.phase is Phase.VERIFY or self.now < self.exchange.due:
            return  # in VERIFY nothing that this node says would hold
        peers = sorted(self._present() - {self.me})
        for one in self.exchange.take(self.now, self._state, peers):
            message = Message(one.kind, self.me, self.register.hash, one.body)
            self._acts.append(SendDatagram(one.node, encode(message, self.now)))

    def _enter(self, phase: Phase, reason: str) -> None:
        self.phase, self._since = phase, self.now
        self._admit_at = self.now
        self._acts.append(PhaseEntered(phase, self.path, reason))
        if phase is Phase.FULL:
            self.exchange.owe(None, self.now)

    def _begin_asking(self, reason: str) -> None:
        self._enter(Phase.ASK, reason)
        self._asked_since = self._roll_at = self.now

    def _ask(self) -> None:
        if self.now >= self._roll_at:
            self.exchange.roll()
            self._roll_at = self.now + self._roll_wait
            self._roll_wait *= 2
        if self._heard and self.now < self._asked_since + self.config.roll and not self._settled:
            return  # too early for anything but a crash
        path, reason = self._judged()
        if (why := self._asked_enough(path)) is None:
            return
        self._roll_at = math.inf
        self.path = path
        lacking = len(self.exchange.lacking())
        if lacking:
            why += f", {lacking} know more"
        self._serve(f"{reason}; {why}")

    def _asked_enough(self, path: RecoveryPath) -> str | None:
        """Why no more is waited for; None while it is."""
        config, asked = self.config, self.now - self._asked_since
        if self.count == 1:
            return "the tier has no other node"
        if asked >= config.ask_most:
            return "the longest time is over"
        if path is RecoveryPath.CRASH and not self.exchange.lacking():
            agree = [h.state for node, h in self._heard.items() if self.exchange.agrees(node)]
            enough = len(established_peers(agree, self.count)) >= min(2, self.count - 1)
            return "they agree" if enough else None
        if not self._heard:
            return "nobody answers" if asked >= config.alone_after else None
        if self.exchange.lacking():
            return None
        through = [h.state for h in self._heard.values() if h.state.phase >= Phase.LISTED]
        if sum(2 * s.present > self.count for s in through) >= THROUGH:
            return "those that have asked agree"
        if self._waits_for():
            return None
        if 2 * (len(self._heard) + 1) > self.count:
            return "they agree" if asked >= config.roll else None
        return "they agree, the others are silent" if asked >= config.alone_after else None

    def _serve(self, reason: str) -> None:
        """The roll call is over: the node listens from here on."""
        self._listed_since = self.now
        self._enter(Phase.LISTED, reason)
        held, self._held = self._held, []
        self.bans.restore([r for r in held if self.trusts(_kind(r))], self.now)
        if self.path in COLD:
            self.cold_since = self.started
            self.turns.plan(self.now, self._present() if self._quorum() else range(self.count))
            self._restrict()
        else:
            self.turns.at_once(self.now)
            self._restrict()
            self._enter(Phase.WARMING, "the tier went on")
            self._enter(Phase.FULL, "the tier went on")
        if self._fresh is not None:
            self.turns.done()

    def _refine(self) -> None:
        """Others that come later tell more of what this return is. Who serves already has had no crash."""
        if self.path in (RecoveryPath.ALONE, RecoveryPath.SPLIT):
            path, reason = self._judged()
            if path in (RecoveryPath.SPLIT, RecoveryPath.POWER) and path is not self.path:
                self.path = path
                self._acts.append(PhaseEntered(self.phase, path, reason))

    def _wait_for_list(self) -> None:
        if self._fresh is not None:
            starts = self._fresh.starts
            last = f", the last started {self.now - max(starts):.0f} ms ago" if starts else ""
            self._enter(Phase.WARMING, f"discovery has told {len(starts)} backends{last}")
        elif self.now >= self._listed_since + self.config.listed_most:
            self._enter(Phase.WARMING, "discovery is silent: by this node's own start alone")

    def _until(self) -> float:
        """When LISTED or WARMING ends at the latest, by what is known."""
        latest = self._listed_since + self.config.warming_most
        if self.phase is Phase.LISTED:
            return self._listed_since + self.config.listed_most
        if self._fresh is None:
            return latest
        return min(latest, max(self._fresh.starts, default=-math.inf) + self.config.ramp_time)

    def _quorum(self) -> bool:
        return 2 * len(self._present()) > self.count

    def _turns_among(self) -> int:
        return len(self._present()) if self._quorum() else self.count

    def _warm_up(self) -> None:
        """FULL, once all is warm: by this node's clock, and by no fewer than half of those that say anything.

        The starts that discovery tells are wall-clock times: to a clock that is ahead all is warm at once.
        """
        if self.now >= self._listed_since + self.config.warming_most:
            self._enter(Phase.FULL, "the longest time is over")
        elif self.now >= self._until():
            if not self._warm:
                self._warm = True
                self.exchange.owe(None, self.now, ANSWER_SOON * self.random.random())
            since = self.now - FRESH
            told = [h.state for h in self._heard.values() if h.at >= since and h.state.phase >= Phase.LISTED]
            cold = sum(s.phase < Phase.FULL and StatusFlag.WARM not in s.flags for s in told)
            if 2 * cold > len(told) > 1:
                self._look_at = self.now + LOOK
            else:
                self._enter(Phase.FULL, "every listed backend is warm")

    def _demanded(self, event: DemandMeasured) -> None:
        """All tell how much comes to them, as the work on cold backends is shared by that."""
        self._demand = max(0.0, event.per_s)
        self._admit_at = self.now
        if Phase.LISTED <= self.phase < Phase.FULL:
            self.exchange.owe(None, self.now, DEMAND_SOON * self.random.random())

    def _admit(self) -> None:
        self._admit_at = self.now + LOOK
        new, old = CapacityGranted(self.share, self.cold_since, self.rate), self._admitted
        same = old is not None and old.cold_since == new.cold_since
        if old is None or not same or _differ(old.share, new.share) or _differ(old.rate, new.rate):
            self._admitted = new
            self._acts.append(new)

    # --- what was there before

    def _kept(self, event: DiskRead) -> None:
        self.disk = DiskState(event.sound, event.fresh_disk, event.age_ms)
        if self.trusts(StateKind.LIFE):
            self.register.life = max(self.register.life, event.life)
        rows = event.rows if event.sound else ()
        late = [row._replace(at=min(row.at, self.now)) for row in rows]
        self._held = [row for row in late if not self.trusts(_kind(row))]
        self.bans.restore([row for row in late if self.trusts(_kind(row))], self.now)
        self._revision, self._rate = event.revision, event.rate
        if self.phase is Phase.VERIFY:
            if not event.sound:
                found = "the disk is not sound, nothing of it is used"
            elif event.fresh_disk:
                found = "nothing was kept"
            else:
                found = f"{len(rows)} rows kept, {len(self.register.bans())} bans"
            self._begin_asking(found)

    def _inherited(self, event: StateInherited) -> None:
        """A phase that this process has reached itself is not left for an earlier one."""
        if news := self.bans.restore(event.rows, self.now):
            self._acts.append(PersistEntries(tuple(news)))
        if event.phase < Phase.LISTED or event.phase <= self.phase:
            if self.phase is Phase.VERIFY:
                self._begin_asking(f"the predecessor was in {event.phase.name.lower()}")
            return
        self.path, self.cold_since, self._roll_at = RecoveryPath.UPGRADE, event.cold_since, math.inf
        self._listed_since = self.now if event.cold_since == -math.inf else event.cold_since
        self._enter(event.phase, f"the predecessor's, by the way of {event.path.value}")
        self.turns.at_once(self.now)

    # --- datagrams

    def _received(self, event: DatagramReceived) -> None:
        try:
            message = decode(event.data, self.now)
        except UnknownKindError:
            self.counts["unknown_kinds"] += 1
            return
        except MessageError:
            self.counts["unreadable"] += 1
            return
        node = message.sender
        if node != event.source or not 0 <= node < self.count or node == self.me:
            self.counts["wrong_sender"] += 1
            return
        self.counts["received"] += 1
        match message.body:
            case NodeStatus() as state:
                self._heard[node] = PeerReport(state, self.now)
                self._hearsay |= state.nodes
                if self.phase <= Phase.ASK and not self._settled:
                    self._settled = bool(established_peers(self._states(), self.count))
                self.exchange.hears(node, message.hash, self.now, self._patience())
                self._answer(message, state)
            case RegisterPage() as rows:
                changed = self.exchange.rows_came(node, message.hash, rows)
                self.bans.learned(changed, rows.rows, self.now)
                self.exchange.hears(node, message.hash, self.now, self._patience())
            case ListFilter() as filter_:
                self.exchange.filter_came(filter_, self.now)
                if self._filter is None or filter_.revision > self._filter.revision:
                    self._filter = filter_
                    self._restrict()
            case hashes:
                if self.phase >= Phase.ASK:
                    self.exchange.hears(node, message.hash, self.now, self._patience())
                    self.exchange.digest_came(node, message.hash, hashes, self.now)

    def _patience(self) -> float:
        """Ms to wait for what may come to all before a peer is asked for what it knows."""
        if self.phase > Phase.ASK:
            return 1000.0
        return 10.0 if self._settled else 160.0

    def _answer(self, message: Message, state: NodeStatus) -> None:
        if message.kind is MessageKind.SURVEY:
            unheard = (node_bits(self._present()) & ~state.nodes).bit_count()  # by him
            if not state.nodes >> self.me & 1 and self.random.random() * unheard < EXPECTED_SURVEY_REPLIES:
                wait = 0.0 if self.phase is Phase.FULL else ANSWER_SOON * self.random.uniform(0.5, 1.0)
                self.exchange.owe(message.sender, self.now, wait)
        elif StatusFlag.REPLY not in state.flags and self.exchange.is_behind(message.sender):
            self.exchange.owe(message.sender, self.now)  # by that he learns of it
        if StatusFlag.LISTED not in state.flags and self._fresh is not None and self.phase >= Phase.LISTED:
            listed = sum(StatusFlag.LISTED in s.flags for s in self._states())
            self.exchange.filter_wanted(self.now, listed)

    def _state(self, flags: StatusFlag) -> NodeStatus:
        """What this node says of itself."""
        flags |= StatusFlag.SOUND if self.disk.sound else StatusFlag(0)
        flags |= StatusFlag.FRESH if self.disk.fresh else StatusFlag(0)
        flags |= StatusFlag.LISTED if self._fresh is not None else StatusFlag(0)
        flags |= StatusFlag.WARM if self._warm else StatusFlag(0)
        seen = self._present() if self.phase >= Phase.LISTED else {*self._heard, self.me}
        known = self._revision if self._fresh is not None or self.trusts(StateKind.REVISION) else 0
        return NodeStatus(
            self.register.life, self.now - self.started, self.phase, PATHS.index(self.path), flags, known,
            self._own_rate(), self._demand, self._young(), node_bits(seen),
        )  # fmt: skip

    def _own_rate(self) -> float:
        return self._rate if self.trusts(StateKind.RATE) else 0.0

    # --- the list

    def _told(self, event: ListReceived) -> None:
        first = self._fresh is None
        # What is ahead of this clock counts as of now, and goes on counting as of then.
        if self._ahead_since == math.inf and any(start > self.now for start in event.starts):
            self._ahead_since = self.now
        starts = tuple(start if start <= self.now else self._ahead_since for start in event.starts)
        self._fresh, self._revision = replace(event, starts=starts), event.revision
        self.turns.done()
        self.exchange.filter = build_filter(event.ids, event.revision)
        if first:
            self._restrict()

    def _restrict(self) -> None:
        """Avoid what peers know to be gone, or a list that is not trusted, until discovery tells one."""
        ids: frozenset[str] = frozenset()
        if self._fresh is None and self.phase >= Phase.LISTED:
            if not self.trusts(StateKind.LIST):
                ids = frozenset(self._saved)
            elif self._filter is not None:
                own = self._revision if self.trusts(StateKind.REVISION) else 0
                if self._filter.revision > own:
                    ids = excluded_ids(self._filter, self._saved)
                    self.counts["restrictions"] += 1
        if ids != self._restricted:
            self._restricted = ids
            self._acts.append(RestrictSavedList(ids))

    # --- another tier

    def _peers(self, event: PeersChanged) -> None:
        """Rows of nodes that are gone stay: others, and disks, may still hold the like."""
        gone = {n for n in range(self.count) if n >= event.count or n in event.replaced} - {self.me}
        self.count = event.count
        self._members -= gone
        self._hearsay &= ~node_bits(gone)
        for node in gone:
            self._heard.pop(node, None)
            self.exchange.forget(node)


def _kind(row: BanEntry) -> StateKind:
    return StateKind.BANS if row.live else StateKind.RETURNS


def _differ(one: float, two: float) -> bool:
    return abs(one - two) > NOTICEABLE * max(one, two)
