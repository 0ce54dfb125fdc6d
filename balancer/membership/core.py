"""The membership of one node: told the time and what came, it says what to send. No I/O, no clock of its own.

Sources: SWIM (Das, Gupta, Motivala 2002): probes in round-robin over a shuffled order, indirect probes,
suspicion, incarnations. Lifeguard (Dadgar, Phillips, Currey 2018): local health, a suspicion time that
shortens with independent confirmations, the suspect told first. Beyond them, as the platform allows one
datagram to all (`peers_all`): what is urgent is broadcast under a budget that counts what others broadcast,
so that it costs a node no more in a larger fleet.

All that is known of a member is ordered by (generation, incarnation, state), and views are joined by the
greatest: updates may come late, twice or in any order. A node alone raises its own incarnation, and `left`
ends a generation for good.

Where much is new at once (a cold start, a healed partition), pages of updates go to all: every node that has
a page waiting sends it after an exponential wait of mean count / `pages`, so that the tier as a whole sends
so many a second whatever its size, and what a node hears on a page it tells no further (suppression as in
SRM, Floyd et al. 1997).
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from balancer.membership.config import Config
from balancer.membership.events import (
    Action,
    DatagramReceived,
    DisagreementChanged,
    Event,
    Leave,
    MemberChanged,
    PeersChanged,
    SendDatagram,
    SuspicionRefuted,
    ViewChanged,
)
from balancer.membership.messages import (
    DIGEST_BUCKETS,
    DIGEST_STRUCT,
    LEFT_INCARNATION,
    MAX_GENERATION,
    NO_MEMBER,
    PAYLOAD_BYTES,
    PRESENT_STATES,
    UPDATE_STRUCT,
    MemberState,
    Message,
    MessageError,
    MessageKind,
    Update,
    decode,
    encode,
)

MOST_HEALTH = 8  # worst local health: probes then take nine times as long
MIX, MASK = 0x9E3779B97F4A7C15, 2**64 - 1
HEARD_LATELY = 15  # periods for which a peer's view counts in `agreement`
MOST_FLAPS = 3  # more do not lengthen a suspicion further
MOST_TIMERS = 4096
PER_DATAGRAM = PAYLOAD_BYTES // 9  # updates
DEAF = MOST_HEALTH // 2  # local health from which a node does not trust its own suspicions' end
PATIENCE = 3  # longest suspicions for which it waits all the same
HELPS = 2  # periods within which one was heard who is asked to help
CROWD = 4  # members suspected at once from which one helper is enough: no lost datagram explains them
LAST_ROUNDS = 4  # how often a update heard on a page is told on: some have missed the page
MOST_REPAIRS = 8  # peers that are repaired at once
QUIET = 1  # periods in which all views heard differ and the own does not change, before a repair begins
ANYWAY = 3  # periods after which it begins without such a quiet
ROLL_AGAIN = 10  # periods between two roll calls of the same member


@dataclass(slots=True)
class Suspicion:
    """A suspicion under way; its end comes sooner with each node that says the same by itself."""

    since: float
    least: float
    most: float
    needed: int
    accusers: set[int]

    @property
    def until(self) -> float:
        """When it becomes death."""
        others = min(len(self.accusers) - 1, self.needed)
        share = math.log(others + 1) / math.log(self.needed + 1) if self.needed else 1.0
        return self.since + max(self.least, self.most - (self.most - self.least) * share)


@dataclass(slots=True)
class Probe:
    """A probe under way."""

    target: int
    helpers: int
    nacks_due: int = 0
    nacks: int = 0


class Queue:
    """Members that are gossiped about, least told first; among equals the one that waits longest."""

    def __init__(self, most: int) -> None:
        self.levels: list[dict[int, None]] = [{} for _ in range(most)]  # by how often they were told
        self.told: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.told)

    def put(self, member: int, told: int = 0) -> None:
        """Gossip about a member as if it had been told `told` times so far."""
        if (before := self.told.pop(member, None)) is not None:
            del self.levels[before][member]
        if told < len(self.levels):
            self.told[member] = told
            self.levels[told][member] = None

    def hardly_told(self) -> int:
        """How many were told once at the most."""
        return sum(map(len, self.levels[:2]))

    def take(self, view: View, room: int, but: int | None) -> list[Update]:
        """Rumours of at most `room` bytes together, each told once more by that."""
        out: list[Update] = []
        for level in self.levels:
            for member in level:
                update = view.records[member]
                if update.size <= room and member != but:
                    out.append(update)
                    room -= update.size
                if room < UPDATE_STRUCT.size:
                    break
            if room < UPDATE_STRUCT.size:
                break
        for update in out:
            self.put(update.member, self.told[update.member] + 1)
        return out


@dataclass
class View:
    """What is known of everybody; hashes are kept up with each change."""

    records: list[Update]
    present: int = 0
    state_hash: int = 0  # of the members that are present, and their lives
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * DIGEST_BUCKETS)

    def put(self, update: Update) -> Update:
        """Replace what is known of a member; returns what was."""
        old = self.records[update.member]
        bucket = update.member % DIGEST_BUCKETS
        for one, on in ((old, False), (update, True)):
            if one.state is not MemberState.UNKNOWN:
                self.bucket_hashes[bucket] ^= _hash(one.member, *one.key)
            if one.state in PRESENT_STATES:
                self.state_hash ^= _hash(one.member, one.generation) & 0xFFFFFFFF
                self.present += 1 if on else -1
        self.records[update.member] = update
        return old

    def digest(self, salt: int) -> list[int]:
        """Two bytes of each bucket's hash; another salt shows others, so that no difference stays hidden."""
        factor = (2 * salt + 1) * MIX
        return [(bucket * factor & MASK) >> 48 for bucket in self.bucket_hashes]


def _refutes(updates: tuple[Update, ...]) -> bool:
    """Whether a broadcast with these is a refutation: what it is for comes first."""
    return bool(updates) and updates[0].state is MemberState.ALIVE


def _most_told(count: int) -> int:
    """How often a update is told: so often that it reaches all, as SWIM has it."""
    return 4 * math.ceil(math.log10(count + 1))


def _reason(actions: list[Action]) -> str:
    """Why the view has changed, in a few words."""
    changes = [a for a in actions if isinstance(a, MemberChanged)]
    if not changes:
        return "a new life"
    first = f"node {changes[0].member} {changes[0].after.name.lower()}"
    return first if len(changes) == 1 else f"{first} and {len(changes) - 1} more"


def _hash(*values: int) -> int:
    """Eight bytes that mix well: sums of plain checksums would cancel out."""
    text = b"".join(v.to_bytes(4, "big") for v in values)
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Membership:
    """One node's view of its tier of `count` nodes, itself number `me`."""

    def __init__(self, config: Config, me: int, count: int, generation: int, seed: int, now: float) -> None:
        self.config, self.me, self.count, self.generation = config, me, count, generation
        self.random = random.Random(seed)
        self.incarnation, self.health, self.leaving = 0, 0, False
        self.view = View([Update(m, 0, 0, MemberState.UNKNOWN) for m in range(count)])
        self.counts: Counter[str] = Counter()
        self.now = self.last = now
        self._acts: list[Action] = []
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._number = self._sequence = self._periods = 0
        self._order: list[int] = []
        self._probes: dict[int, Probe] = {}  # by sequence
        # By own sequence: for whom a probe is, and under which number of his.
        self._relays: dict[int, tuple[int, int]] = {}
        self._suspicions: dict[int, Suspicion] = {}
        # Members whose death was none: how often, and when they last refuted something.
        self._flaps: dict[int, tuple[int, float]] = {}
        self._doubts: dict[int, Update] = {}  # deaths that repairs told of, of members that seem alive
        self._rumours = Queue(_most_told(count))
        self._rolled: dict[int, float] = {}  # members that a roll call named lately, and when
        self._roll_until = -math.inf  # roll calls go on that long after a death that was none
        self._pages_due: set[MessageKind] = set()  # pages and roll calls under way
        self._views: dict[int, tuple[float, int]] = {}  # what each peer's view was, and when it said so
        self._repairs: dict[int, list[int]] = {}  # for whom: members whose updates he lacks
        self._budget, self._budget_at = [config.broadcasts_per_s] * 2, now  # for refutations the second one
        self._changed = now  # when this node's view last did
        self._since: float | None = None  # since when peers disagree
        self._said = False  # and whether that was said
        self._differ = math.inf  # since when every view heard has differed
        self._repaired = now  # when a repair was last begun for a view that differed
        self._take(Update(me, generation, 0, MemberState.ALIVE))
        # Starts spread over a period: nodes that come up at once must not probe in step.
        self._at(self.random.uniform(0, config.probe_interval_ms), self._period)
        self._join()

    # --- for the node

    @property
    def next_wakeup_ms(self) -> float:
        """When a `Tick` is wanted."""
        return self._timers[0][0] if self._timers else math.inf

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about an event, at a time that never goes back."""
        self.now, view = max(self.now, now), self.view.state_hash
        self._awake()
        match event:
            case DatagramReceived():
                self._received(event)
            case Leave():
                self._leave()
            case PeersChanged():
                self._peers(event)
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)[2]()
        self.last = self.now
        out, self._acts = self._acts, []
        if self.view.state_hash != view:
            out.append(ViewChanged(self.view.state_hash, self.view.present, self.has_quorum(), _reason(out)))
        return out

    def present_members(self) -> list[int]:
        """Who is present, this node included, in order."""
        return [r.member for r in self.view.records if r.state in PRESENT_STATES]

    def has_quorum(self) -> bool:
        """Whether this node sees more than half of the tier: a minority starts nothing that others share."""
        return 2 * self.view.present > self.count

    def agreement_ratio(self) -> float:
        """The share of present peers, of those heard since its last change, whose view is this one's."""
        said = self._opinions()
        return sum(said) / len(said) if said else 1.0

    def _opinions(self) -> list[bool]:
        since = max(self.now - HEARD_LATELY * self.config.probe_interval_ms, self._changed)
        return [view == self.view.state_hash for member, (at, view) in self._views.items()
                if at >= since and self.view.records[member].state in PRESENT_STATES]  # fmt: skip

    def said_by(self, member: int) -> tuple[float, int] | None:
        """When a peer last told of its view, and that view."""
        return self._views.get(member)

    # --- time

    def _at(self, wait: float, call: Callable[[], None]) -> None:
        if len(self._timers) >= MOST_TIMERS:
            self.counts["timers_dropped"] += 1
            return
        self._number += 1
        heapq.heappush(self._timers, (self.now + wait, self._number, call))

    def _awake(self) -> None:
        """A node that stood still does not know what came meanwhile: probes and suspicions wait for it."""
        late = self.now - max(self.last, min(self.next_wakeup_ms, self.now))
        if not self.config.local_health_enabled or late < self.config.ping_timeout_ms / 2:
            return
        self.counts["stalls"] += 1
        self._worse(1)
        self._probes.clear()
        self._relays.clear()
        for suspicion in self._suspicions.values():
            suspicion.since += self.now - self.last

    def _slow(self, wait: float) -> float:
        return wait * (1 + self.health)

    def _worse(self, by: int) -> None:
        if self.config.local_health_enabled:
            self.health = max(0, min(MOST_HEALTH, self.health + by))

    # --- probes

    def _period(self) -> None:
        self._at(self._slow(self.config.probe_interval_ms), self._period)
        self._periods += 1
        if self.view.present < 2:
            self._join()
        else:
            self._probe(self._next())
        self._ask_doubted()
        if self._periods % self.config.reconnect_periods == 0:
            absent = [
                r.member for r in self.view.records if r.state in (MemberState.UNKNOWN, MemberState.DEAD)
            ]
            if absent:
                self._ping(self.random.choice(absent))
        if self._periods % self.config.anti_entropy_periods == 0 and (peers := self._others()):
            self._digest(self.random.choice(peers), True)
        self._look_round()

    def _look_round(self) -> None:
        """Whether peers hold others for present than this node does, and for how long they have done so."""
        said = self._opinions()
        share = sum(said) / len(said) if said else 1.0
        if share < 1.0:
            self._since = self.now if self._since is None else self._since
            if not self._said and self.now - self._since >= self.config.disagreement_alert_ms:
                self._said = True
                self._acts.append(DisagreementChanged(True, share))
        elif said:
            self._since = None
            if self._said:
                self._said = False
                self._acts.append(DisagreementChanged(False, share))

    def _ask_doubted(self) -> None:
        """Tell some that are said to be dead: the living refute it, the others fail the probe."""
        if self._doubts:
            member = self.random.choice(sorted(self._doubts))
            update = self._doubts.pop(member)
            if update.key > self.view.records[member].key:
                self._probe(member, update)

    def _join(self) -> None:
        peers = [m for m in range(self.count) if m != self.me]
        for peer in self.random.sample(peers, min(3, len(peers))):
            self._digest(peer, True)

    def _others(self, *but: int) -> list[int]:
        return [m for m in self.present_members() if m != self.me and m not in but]

    def _next(self) -> int | None:
        """The next to probe: everybody once in each round, in an order that changes."""
        for _ in range(2):
            while self._order:
                member = self._order.pop()
                suspicion = self._suspicions.get(member)
                if (
                    suspicion is not None
                    and self.me in suspicion.accusers
                    and self.config.local_health_enabled
                ):
                    continue  # it has been looked at, and its time runs
                if self.view.records[member].state in PRESENT_STATES:
                    return member
            self._order = self._others()
            self.random.shuffle(self._order)
        return None

    def _ping(self, member: int, first: Update | None = None) -> int:
        self._sequence += 1
        self._tell(member, MessageKind.PING, self._sequence, member, first=first)
        return self._sequence

    def _probe(self, member: int | None, first: Update | None = None, helpers: int | None = None) -> None:
        if member is None:
            return
        sequence = self._ping(member, first)
        self._probes[sequence] = Probe(member, self.config.indirect_probes if helpers is None else helpers)
        if self.config.ping_retry_enabled:
            self._at(self._slow(self.config.ping_timeout_ms / 2), partial(self._once_more, sequence))
        else:
            self._at(self._slow(self.config.ping_timeout_ms), partial(self._unanswered, sequence))

    def _once_more(self, sequence: int) -> None:
        """A second try costs two datagrams, the way by others a dozen; most often one datagram is lost."""
        if (probe := self._probes.get(sequence)) is not None:
            self._tell(probe.target, MessageKind.PING, sequence, probe.target)
            self._at(self._slow(self.config.ping_timeout_ms / 2), partial(self._unanswered, sequence))

    def _unanswered(self, sequence: int) -> None:
        if (probe := self._probes.get(sequence)) is None:
            return
        others = self._others(probe.target)
        if self.config.local_health_enabled:
            # Where many have died at once the silent ones are no help, and no sign that this node is late.
            since = self.now - HELPS * self.config.probe_interval_ms
            others = [m for m in others if self._views.get(m, (-math.inf, 0))[0] >= since] or others
        helpers = probe.helpers if len(self._suspicions) < CROWD else 1
        for helper in self.random.sample(others, min(helpers, len(others))):
            probe.nacks_due += 1
            self._tell(helper, MessageKind.PING_REQ, sequence, probe.target)
        self._at(self._slow(self.config.indirect_timeout_ms), partial(self._failed, sequence))

    def _failed(self, sequence: int) -> None:
        if (probe := self._probes.pop(sequence, None)) is None:
            return
        # Helpers that did not even say no: it may be this node that hears nothing.
        self._worse(probe.nacks_due - probe.nacks if probe.nacks_due else 1)
        known = self.view.records[probe.target]
        if known.state in PRESENT_STATES:
            self._suspect(known)

    # --- suspicion

    def _suspect(self, known: Update) -> None:
        self._learn(Update(known.member, known.generation, known.incarnation, MemberState.SUSPECT, self.me))

    def _confirm(self, update: Update) -> None:
        """Somebody else has come to the same suspicion: that is news as long as it shortens it."""
        suspicion = self._suspicions.get(update.member)
        if suspicion is None or update.accuser in suspicion.accusers or update.accuser == NO_MEMBER:
            return
        if len(suspicion.accusers) > suspicion.needed:
            return
        suspicion.accusers.add(update.accuser)
        self._rumours.put(update.member)
        self.view.records[update.member] = update
        if update.accuser == self.me:
            self._broadcast(update)
        self._at(max(0.0, suspicion.until - self.now), partial(self._expire, update.member, suspicion))

    def _expire(self, member: int, suspicion: Suspicion) -> None:
        known = self.view.records[member]
        if self._suspicions.get(member) is not suspicion or known.state is not MemberState.SUSPECT:
            return
        if suspicion.until > self.now + 1e-6:
            self._at(suspicion.until - self.now, partial(self._expire, member, suspicion))
            return
        if self.health >= DEAF and self.now < suspicion.since + PATIENCE * self.config.max_suspicion_ms:
            # Who hears little may have missed the refutation: others are to say so, for a while.
            self._at(self.config.probe_interval_ms, partial(self._expire, member, suspicion))
            return
        self.counts["declared_dead"] += 1
        dead = Update(member, known.generation, known.incarnation, MemberState.DEAD)
        self._learn(dead)
        self._broadcast(dead)

    def _least(self, member: int) -> float:
        """The least time of a suspicion: twice as long for each time that its death was none lately."""
        times, at = self._flaps.get(member, (0, -math.inf))
        if self.now - at > self.config.flap_damping_ms:
            self._flaps.pop(member, None)
            times = 0
        return min(self.config.min_suspicion_ms * (1 << times), self.config.max_suspicion_ms)

    def _lived(self, old: Update) -> None:
        """It was suspected or held for dead, and has refuted it: a node that stalls goes on stalling."""
        wrong_death = old.state is MemberState.DEAD
        times = self._flaps.get(old.member, (0, 0.0))[0] + wrong_death
        if times and self.config.flap_damping_ms:
            self._flaps[old.member] = (min(times, MOST_FLAPS), self.now)
        if wrong_death:  # others may be none either
            self._roll_until = self.now + ROLL_AGAIN * self.config.probe_interval_ms
            self._later(MessageKind.LIVENESS_QUERY)

    def _begin_suspicion(self, update: Update) -> None:
        config = self.config
        needed = (
            min(config.suspicion_confirmations, max(0, self.view.present - 3))
            if config.dynamic_suspicion_enabled
            else 0
        )
        least = self._least(update.member) if config.dynamic_suspicion_enabled else config.max_suspicion_ms
        suspicion = Suspicion(self.now, least, config.max_suspicion_ms, needed, {update.accuser})
        self._suspicions[update.member] = suspicion
        self._at(suspicion.until - self.now, partial(self._expire, update.member, suspicion))
        if update.accuser == self.me:
            self._broadcast(update)
        elif self.random.random() * max(1, self.view.present - 2) < config.expected_verifiers:
            self._probe(update.member, helpers=1)  # it is one look of several

    # --- what is learned

    def _learn(self, update: Update) -> None:
        """Take a update if it is newer than what is known."""
        if not 0 <= update.member < self.count:
            self.counts["no_such_member"] += 1
            return
        if update.member == self.me:
            self._about_me(update)
            return
        known = self.view.records[update.member]
        if update.key > known.key:
            self._take(update)
        elif update.key == known.key and update.state is MemberState.SUSPECT:
            self._confirm(update)

    def _take(self, update: Update) -> None:
        was, old = self.view.state_hash, self.view.put(update)
        if self.view.state_hash != was:
            self._changed = self.now
        self._rumours.put(update.member)
        if update.state is MemberState.SUSPECT:
            self._begin_suspicion(update)
        else:
            self._suspicions.pop(update.member, None)
        if old.generation != update.generation:
            self._flaps.pop(update.member, None)
        elif update.state is MemberState.ALIVE:
            self._lived(old)
        self._later(MessageKind.BULK_UPDATE)  # this update is one that nobody was told so far
        if old.state is not update.state or old.generation != update.generation:
            self._acts.append(MemberChanged(update.member, old.state, update.state, update.generation))

    def _about_me(self, update: Update, aloud: bool = True) -> None:
        """Refute a false claim about this generation; one about an earlier one is out of date."""
        own = self.view.records[self.me]
        if update.key <= own.key or self.leaving:
            return
        if update.generation == self.generation and update.incarnation < LEFT_INCARNATION - 1:
            self.incarnation = update.incarnation + 1
        elif (
            max(self.generation, update.generation) < MAX_GENERATION
        ):  # this life's number was too low, or is used up
            self.generation, self.incarnation = max(self.generation, update.generation) + 1, 0
        else:  # no number is above it: whoever says so keeps this node out, and operators see it counted
            self.counts["outbid"] += 1
            return
        self.counts["refutations"] += 1
        if (
            update.state is MemberState.SUSPECT
        ):  # after a partition all are held for dead: no sign of their health
            self._worse(1)
        self._acts.append(SuspicionRefuted(update.state))
        fresh = Update(self.me, self.generation, self.incarnation, MemberState.ALIVE)
        self._take(fresh)
        if aloud:
            self._broadcast(fresh)

    def _leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            gone = Update(self.me, self.generation, LEFT_INCARNATION, MemberState.LEFT)
            self._take(gone)
            self._budget[0] = max(self._budget[0], 2.0)
            for wait in (0.0, self.config.ping_timeout_ms):  # twice: the first may be lost
                self._at(wait, partial(self._broadcast, gone))

    # --- much that is new at once

    def _later(self, kind: MessageKind) -> None:
        """A page or a roll call goes out some time: the tier as a whole sends so many a second."""
        if kind not in self._pages_due and not self.leaving and self.config.bulk_updates_per_s:
            self._pages_due.add(kind)
            wait = self.random.expovariate(self.config.bulk_updates_per_s / self.count) * 1000
            self._at(wait, partial(self._now, kind))

    def _now(self, kind: MessageKind) -> None:
        self._pages_due.discard(kind)
        if self.leaving:
            return
        if kind is MessageKind.LIVENESS_QUERY:
            self._roll()
        elif self._rumours.hardly_told():
            self._page()
            if self._rumours.hardly_told():
                self._later(MessageKind.BULK_UPDATE)

    def _page(self) -> None:
        """Rumours that were told least so far, to all."""
        page = self._gossip(None, PAYLOAD_BYTES)
        if page:
            self._acts.append(
                SendDatagram(None, self._packed(MessageKind.BULK_UPDATE, 0, NO_MEMBER, b"", page))
            )
            self.counts["pages"] += 1

    def _heard_page(self, message: Message) -> None:
        """All have heard it: a few more words for those that missed it are enough."""
        most = len(self._rumours.levels)
        told = max(most - LAST_ROUNDS, most // 2)
        for update in message.updates:
            member = update.member
            if self._rumours.told.get(member, told) < told and self.view.records[member] == update:
                self._rumours.put(member, told)

    def _roll(self) -> None:
        """Ask some that this node holds for dead whether they are: one that was held so has come back.

        Those that live answer this node, and what they answered goes to all on a page. Not taken: to tell all
        that they are dead, as gossip does: their own neighbours would bury them before they refute it.
        """
        again = self.now - ROLL_AGAIN * self.config.probe_interval_ms
        self._rolled = {m: at for m, at in self._rolled.items() if at > again}
        dead = [r for r in self.view.records if r.state is MemberState.DEAD and r.member not in self._rolled]
        if not dead or self.now > self._roll_until:
            return
        page = tuple(self.random.sample(dead, min(len(dead), PER_DATAGRAM)))
        self._rolled.update((r.member, self.now) for r in page)
        self._acts.append(
            SendDatagram(None, self._packed(MessageKind.LIVENESS_QUERY, 0, NO_MEMBER, b"", page))
        )
        self.counts["roll_calls"] += 1
        self._at(self.config.ping_timeout_ms, self._page)
        if len(page) < len(dead):
            self._later(MessageKind.LIVENESS_QUERY)

    def _called(self, message: Message) -> None:
        """A roll call: the named answer for themselves, the others do not call them again."""
        for update in message.updates:
            if update.member != self.me:
                if update.member < self.count:
                    self._rolled[update.member] = self.now
            elif not self.leaving:
                self._about_me(update, aloud=False)
                self._tell(message.sender, MessageKind.ACK, 0, self.me)

    # --- another tier

    def _peers(self, event: PeersChanged) -> None:
        """Members that are gone have left, as far as this node goes; new ones are unknown until heard.

        Nothing of it is told: each node has its list from its own file, at a time of its own.
        """
        gone = {m for m in range(self.count) if m >= event.count or m in event.replaced} - {self.me}
        for member in gone:
            old = self.view.put(Update(member, 0, 0, MemberState.UNKNOWN))
            if old.state in PRESENT_STATES:
                self._acts.append(MemberChanged(member, old.state, MemberState.LEFT, old.generation))
            tables: tuple[dict[int, Any], ...] = (
                self._suspicions, self._doubts, self._views, self._repairs, self._rolled, self._flaps
            )  # fmt: skip
            for table in tables:
                table.pop(member, None)
        self._probes = {s: p for s, p in self._probes.items() if p.target not in gone}
        self._order = [m for m in self._order if m not in gone]
        known = self.view.records
        del known[event.count :]
        known.extend(Update(m, 0, 0, MemberState.UNKNOWN) for m in range(len(known), event.count))
        self.count, self._changed = event.count, self.now
        told, self._rumours = self._rumours.told, Queue(_most_told(event.count))
        for member, times in told.items():
            if member not in gone:
                self._rumours.put(member, times)
        self._join()

    # --- datagrams

    def _received(self, event: DatagramReceived) -> None:
        try:
            message = decode(event.data)
        except MessageError:
            self.counts["unreadable"] += 1
            return
        if message.sender != event.source or not 0 <= event.source < self.count or event.source == self.me:
            self.counts["wrong_sender"] += 1
            return
        self.counts["received"] += 1
        if message.incarnation != LEFT_INCARNATION:
            self._learn(Update(message.sender, message.generation, message.incarnation, MemberState.ALIVE))
        self._views[message.sender] = (self.now, message.view)
        if message.kind == MessageKind.LIVENESS_QUERY:
            self._called(message)
            return
        repair = message.kind == MessageKind.GOSSIP and message.subject == self.me
        for update in message.updates:
            if repair and self._doubted(update):
                self._doubts[update.member] = update
            else:
                self._learn(update)
        match message.kind:
            case MessageKind.PING if message.subject == self.me:
                self._tell(message.sender, MessageKind.ACK, message.sequence, self.me)
                self._disagree(message)
            case MessageKind.ACK:
                self._answered(message)
                self._disagree(message)
            case MessageKind.PING_REQ if message.subject < self.count and message.subject != self.me:
                self._relay(message)
            case MessageKind.NACK:
                if (probe := self._probes.get(message.sequence)) is not None:
                    probe.nacks += 1
            case MessageKind.DIGEST:
                self._compare(message)
            case MessageKind.GOSSIP if message.subject == NO_MEMBER:
                self._spend(_refutes(message.updates))  # a broadcast of another one's counts here, too
            case MessageKind.BULK_UPDATE:
                self._heard_page(message)

    def _doubted(self, update: Update) -> bool:
        """Whether a repair says that one is dead whom this node holds for alive.

        He is asked before it is believed: after a partition each side holds the other for dead; told so, the
        living would bury their own neighbours.
        """
        known = self.view.records[update.member] if update.member < self.count else None
        if update.state is not MemberState.DEAD or known is None or known.state is not MemberState.ALIVE:
            return False
        return known.generation == update.generation and known.key < update.key and update.member != self.me

    def _answered(self, message: Message) -> None:
        if (probe := self._probes.get(message.sequence)) is not None and probe.target == message.subject:
            del self._probes[message.sequence]
            self._worse(-1)
        elif (relay := self._relays.pop(message.sequence, None)) is not None:
            self._tell(relay[0], MessageKind.ACK, relay[1], message.subject)

    def _relay(self, message: Message) -> None:
        sequence = self._ping(message.subject)
        self._relays[sequence] = (message.sender, message.sequence)
        self._at(self.config.ping_timeout_ms * 0.8, partial(self._no_answer, sequence, message.subject))

    def _no_answer(self, sequence: int, subject: int) -> None:
        if (relay := self._relays.get(sequence)) is not None:
            self._tell(relay[0], MessageKind.NACK, relay[1], subject)
            self._at(self.config.probe_interval_ms, partial(self._forget, sequence))

    def _forget(self, sequence: int) -> None:
        self._relays.pop(sequence, None)

    def _disagree(self, message: Message) -> None:
        """Views that differ are repaired, now and then: what is on its way by update may settle it before."""
        period = self.config.probe_interval_ms
        if message.view == self.view.state_hash:
            self._differ = math.inf
            return
        self._differ = min(self._differ, self.now)
        since = max(self._differ, self._repaired)
        if self.now >= min(max(since, self._changed) + QUIET * period, since + ANYWAY * period):
            self._repaired = self.now
            self._digest(message.sender, True)

    def _digest(self, member: int, ask: bool) -> None:
        self._sequence += 1
        hashes = self.view.digest(self._sequence)
        self._tell(member, MessageKind.DIGEST, self._sequence, member, DIGEST_STRUCT.pack(ask, *hashes))

    def _compare(self, message: Message) -> None:
        """A digest came: what differs goes back, paced; one that asks is answered with one's own."""
        if len(message.extra) < DIGEST_STRUCT.size:
            return
        ask, *theirs = DIGEST_STRUCT.unpack_from(message.extra)
        own = self.view.digest(message.sequence)
        differ = {i for i, (a, b) in enumerate(zip(own, theirs, strict=True)) if a != b}
        known = [r.member for r in self.view.records
                 if r.member % DIGEST_BUCKETS in differ and r.state is not MemberState.UNKNOWN]  # fmt: skip
        if differ and ask:
            self._digest(message.sender, False)
        idle = not self._repairs
        if message.sender not in self._repairs and len(self._repairs) >= MOST_REPAIRS:
            self.counts["repairs_dropped"] += 1
        elif known:
            self.random.shuffle(known)  # those who repair one peer at once begin at different places
            self._repairs[message.sender] = known  # in place of what an earlier digest of his asked for
        if idle and self._repairs:
            self._at(0.0, self._repair)

    def _repair(self) -> None:
        """One datagram now, the next one a period later: repairs are paced."""
        member = next(iter(self._repairs))
        rest, page, room = self._repairs.pop(member), [], PAYLOAD_BYTES
        while rest and self.view.records[rest[-1]].size <= room:
            page.append(self.view.records[rest.pop()])
            room -= page[-1].size
        if rest:
            self._repairs[member] = rest
        self._tell(member, MessageKind.GOSSIP, 0, member, updates=tuple(page))
        if self._repairs:
            self._at(self.config.probe_interval_ms, self._repair)

    def _tell(self, member: int, kind: MessageKind, sequence: int, subject: int, extra: bytes = b"",
              updates: tuple[Update, ...] | None = None, first: Update | None = None) -> None:  # fmt: skip
        if updates is None:
            about = self.view.records[member]
            if (
                first is None
                and self.config.buddy_system_enabled
                and about.state in (MemberState.SUSPECT, MemberState.DEAD)
            ):
                first = about
            updates = self._gossip(first, PAYLOAD_BYTES - len(extra))
        self._acts.append(SendDatagram(member, self._packed(kind, sequence, subject, extra, updates)))
        self.counts["sent"] += 1

    def _packed(
        self, kind: MessageKind, sequence: int, subject: int, extra: bytes, updates: tuple[Update, ...]
    ) -> bytes:
        incarnation = LEFT_INCARNATION if self.leaving else self.incarnation
        number, view = sequence & 0xFFFFFFFF, self.view.state_hash
        return encode(
            Message(kind, self.me, self.generation, incarnation, number, view, subject, extra, updates)
        )

    def _gossip(self, first: Update | None, room: int) -> tuple[Update, ...]:
        """One update that must go, then those that were told least so far."""
        if first is None:
            return tuple(self._rumours.take(self.view, room, None))
        return (first, *self._rumours.take(self.view, room - first.size, first.member))

    def _spend(self, refutation: bool) -> bool:
        """Refutations have a budget of their own: where suspicions are many they must not wait for gossip."""
        most = self.config.broadcasts_per_s
        earned = (self.now - self._budget_at) / 1000 * most
        self._budget = [min(most, b + earned) for b in self._budget]
        self._budget_at = self.now
        if self._budget[refutation] < 1.0:
            return False
        self._budget[refutation] -= 1.0
        return True

    def _broadcast(self, update: Update) -> None:
        if self._spend(_refutes((update,))):
            updates = self._gossip(update, PAYLOAD_BYTES)
            self._acts.append(
                SendDatagram(None, self._packed(MessageKind.GOSSIP, 0, NO_MEMBER, b"", updates))
            )
            self.counts["broadcasts"] += 1
        else:
            self.counts["broadcasts_saved"] += 1
