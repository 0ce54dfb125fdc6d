"""The membership of one node: told the time and what came, it says what to send. No I/O, no clock of its own.

Sources: SWIM (Das, Gupta, Motivala 2002): probes in round-robin over a shuffled order, indirect probes,
suspicion, incarnations. Lifeguard (Dadgar, Phillips, Currey 2018): local health, a suspicion time that
shortens with independent confirmations, the suspect told first. Beyond them, as the platform allows one
datagram to all (`peers_all`): what is urgent is broadcast under a budget that counts what others broadcast,
so that it costs a node no more in a larger fleet.

All that is known of a member is ordered by (life, incarnation, state), and views are joined by the greatest:
rumours may come late, twice or in any order. A node alone raises its own incarnation, and `left` ends a life
for good.

Where much is new at once (a cold start, a healed partition), pages of rumours go to all: every node that has
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

from balancer.membership.messages import (
    BUCKETS,
    DIGEST,
    LAST_LIFE,
    LAST_WORD,
    NOBODY,
    ROOM,
    RUMOUR,
    Kind,
    Message,
    MessageError,
    Rumour,
    State,
    decode,
    encode,
)

MOST_HEALTH = 8  # worst local health: probes then take nine times as long
MIX, MASK = 0x9E3779B97F4A7C15, 2**64 - 1
PRESENT = frozenset({State.ALIVE, State.SUSPECT})
HEARD_LATELY = 15  # periods for which a peer's view counts in `agreement`
MOST_FLAPS = 3  # more do not lengthen a suspicion further
MOST_TIMERS = 4096
PER_DATAGRAM = ROOM // 9  # rumours
DEAF = MOST_HEALTH // 2  # local health from which a node does not trust its own suspicions' end
PATIENCE = 3  # longest suspicions for which it waits all the same
HELPS = 2  # periods within which one was heard who is asked to help
CROWD = 4  # members suspected at once from which one helper is enough: no lost datagram explains them
LAST_ROUNDS = 4  # how often a rumour heard on a page is told on: some have missed the page
MOST_REPAIRS = 8  # peers that are repaired at once
QUIET = 1  # periods in which all views heard differ and the own does not change, before a repair begins
ANYWAY = 3  # periods after which it begins without such a quiet
ROLL_AGAIN = 10  # periods between two roll calls of the same member


@dataclass(slots=True, frozen=True)
class Config:
    """Times in ms. The defaults hold the bounds in `docs/membership.md`."""

    period: float = 700.0  # between two probes
    direct: float = 250.0  # until a probe goes by way of others; after half of it it is sent once more
    indirect: float = 300.0  # and until it has failed
    helpers: int = 3
    suspicion_least: float = 600.0
    suspicion_most: float = 3000.0
    confirmations: int = 3  # that bring the suspicion's time to its least
    checks: float = 4.0  # nodes, on average, that look for themselves when one is suspected
    broadcasts: float = 4.0  # a second, own and heard
    pages: float = 8.0  # a second, of all nodes together, while much is new
    disagreement: float = 10_000.0  # until views that differ are worth a word to the operators
    reconnect: int = 4  # periods between two probes of a member that is not present
    repair: int = 40  # periods between two repairs with somebody whose view seems the same
    local_health: bool = True
    suspect_first: bool = True  # the suspect hears of it first
    shorten: bool = True  # suspicion shortens with confirmations
    retry: bool = True  # a probe is sent once more before it goes by way of others
    damping: float = 120_000.0  # for which a member that was held for dead and lived gets more time; 0: none

    @classmethod
    def plain(cls) -> Config:
        """SWIM as published in 2002, to be compared with: no extension, nothing to all."""
        return cls(checks=0.0, broadcasts=0.0, pages=0.0, local_health=False, suspect_first=False,
                   shorten=False, retry=False, damping=0.0)  # fmt: skip


# --- events


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due at `Membership.due` at the latest."""


@dataclass(slots=True, frozen=True)
class Received:
    """A datagram came from the address of node `source`."""

    source: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Leave:
    """The node is about to end in good order. It goes on answering until it does."""


@dataclass(slots=True, frozen=True)
class Peers:
    """The tier is of so many nodes now; at the numbers `replaced` others are at home than before."""

    count: int
    replaced: frozenset[int] = frozenset()


Event = Tick | Received | Leave | Peers

# --- actions


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a datagram to one node, or to all of the tier where `node` is None."""

    node: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Changed:
    """What is known of a member has changed."""

    member: int
    before: State
    after: State
    life: int


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """Who is present is another set than before, or their lives are; one for each event at most."""

    view: int  # hash of the members that are present, and their lives
    present: int
    quorum: bool
    reason: str


@dataclass(slots=True, frozen=True)
class Disagreement:
    """Peers' views have differed from this one for longer than `Config.disagreement`, or do no more."""

    lasts: bool
    share: float  # of the present peers heard lately, those that agree


@dataclass(slots=True, frozen=True)
class Refuted:
    """Others held this node for `said`; it has told them that it lives."""

    said: State


Action = Tell | Changed | ViewChanged | Disagreement | Refuted


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

    def take(self, view: View, room: int, but: int | None) -> list[Rumour]:
        """Rumours of at most `room` bytes together, each told once more by that."""
        out: list[Rumour] = []
        for level in self.levels:
            for member in level:
                rumour = view.known[member]
                if rumour.size <= room and member != but:
                    out.append(rumour)
                    room -= rumour.size
                if room < RUMOUR.size:
                    break
            if room < RUMOUR.size:
                break
        for rumour in out:
            self.put(rumour.member, self.told[rumour.member] + 1)
        return out


@dataclass
class View:
    """What is known of everybody; hashes are kept up with each change."""

    known: list[Rumour]
    present: int = 0
    hash: int = 0  # of the members that are present, and their lives
    buckets: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    def put(self, rumour: Rumour) -> Rumour:
        """Replace what is known of a member; returns what was."""
        old = self.known[rumour.member]
        bucket = rumour.member % BUCKETS
        for one, on in ((old, False), (rumour, True)):
            if one.state is not State.UNKNOWN:
                self.buckets[bucket] ^= _hash(one.member, *one.key)
            if one.state in PRESENT:
                self.hash ^= _hash(one.member, one.life) & 0xFFFFFFFF
                self.present += 1 if on else -1
        self.known[rumour.member] = rumour
        return old

    def digest(self, salt: int) -> list[int]:
        """Two bytes of each bucket's hash; another salt shows others, so that no difference stays hidden."""
        factor = (2 * salt + 1) * MIX
        return [(bucket * factor & MASK) >> 48 for bucket in self.buckets]


def _refutes(rumours: tuple[Rumour, ...]) -> bool:
    """Whether a broadcast with these is a refutation: what it is for comes first."""
    return bool(rumours) and rumours[0].state is State.ALIVE


def _most_told(count: int) -> int:
    """How often a rumour is told: so often that it reaches all, as SWIM has it."""
    return 4 * math.ceil(math.log10(count + 1))


def _reason(actions: list[Action]) -> str:
    """Why the view has changed, in a few words."""
    changes = [a for a in actions if isinstance(a, Changed)]
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

    def __init__(self, config: Config, me: int, count: int, life: int, seed: int, now: float) -> None:
        self.config, self.me, self.count, self.life = config, me, count, life
        self.random = random.Random(seed)
        self.incarnation, self.health, self.leaving = 0, 0, False
        self.view = View([Rumour(m, 0, 0, State.UNKNOWN) for m in range(count)])
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
        self._doubts: dict[int, Rumour] = {}  # deaths that repairs told of, of members that seem alive
        self._rumours = Queue(_most_told(count))
        self._rolled: dict[int, float] = {}  # members that a roll call named lately, and when
        self._roll_until = -math.inf  # roll calls go on that long after a death that was none
        self._pages_due: set[Kind] = set()  # pages and roll calls under way
        self._views: dict[int, tuple[float, int]] = {}  # what each peer's view was, and when it said so
        self._repairs: dict[int, list[int]] = {}  # for whom: members whose rumours he lacks
        self._budget, self._budget_at = [config.broadcasts] * 2, now  # for refutations the second one
        self._changed = now  # when this node's view last did
        self._since: float | None = None  # since when peers disagree
        self._said = False  # and whether that was said
        self._differ = math.inf  # since when every view heard has differed
        self._repaired = now  # when a repair was last begun for a view that differed
        self._take(Rumour(me, life, 0, State.ALIVE))
        # Starts spread over a period: nodes that come up at once must not probe in step.
        self._at(self.random.uniform(0, config.period), self._period)
        self._join()

    # --- for the node

    @property
    def due(self) -> float:
        """When a `Tick` is wanted."""
        return self._timers[0][0] if self._timers else math.inf

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about an event, at a time that never goes back."""
        self.now, view = max(self.now, now), self.view.hash
        self._awake()
        match event:
            case Received():
                self._received(event)
            case Leave():
                self._leave()
            case Peers():
                self._peers(event)
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)[2]()
        self.last = self.now
        out, self._acts = self._acts, []
        if self.view.hash != view:
            out.append(ViewChanged(self.view.hash, self.view.present, self.quorum(), _reason(out)))
        return out

    def members(self) -> list[int]:
        """Who is present, this node included, in order."""
        return [r.member for r in self.view.known if r.state in PRESENT]

    def quorum(self) -> bool:
        """Whether this node sees more than half of the tier: a minority starts nothing that others share."""
        return 2 * self.view.present > self.count

    def agreement(self) -> float:
        """The share of present peers, of those heard since its last change, whose view is this one's."""
        said = self._opinions()
        return sum(said) / len(said) if said else 1.0

    def _opinions(self) -> list[bool]:
        since = max(self.now - HEARD_LATELY * self.config.period, self._changed)
        return [view == self.view.hash for member, (at, view) in self._views.items()
                if at >= since and self.view.known[member].state in PRESENT]  # fmt: skip

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
        late = self.now - max(self.last, min(self.due, self.now))
        if not self.config.local_health or late < self.config.direct / 2:
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
        if self.config.local_health:
            self.health = max(0, min(MOST_HEALTH, self.health + by))

    # --- probes

    def _period(self) -> None:
        self._at(self._slow(self.config.period), self._period)
        self._periods += 1
        if self.view.present < 2:
            self._join()
        else:
            self._probe(self._next())
        self._ask_doubted()
        if self._periods % self.config.reconnect == 0:
            absent = [r.member for r in self.view.known if r.state in (State.UNKNOWN, State.DEAD)]
            if absent:
                self._ping(self.random.choice(absent))
        if self._periods % self.config.repair == 0 and (peers := self._others()):
            self._digest(self.random.choice(peers), True)
        self._look_round()

    def _look_round(self) -> None:
        """Whether peers hold others for present than this node does, and for how long they have done so."""
        said = self._opinions()
        share = sum(said) / len(said) if said else 1.0
        if share < 1.0:
            self._since = self.now if self._since is None else self._since
            if not self._said and self.now - self._since >= self.config.disagreement:
                self._said = True
                self._acts.append(Disagreement(True, share))
        elif said:
            self._since = None
            if self._said:
                self._said = False
                self._acts.append(Disagreement(False, share))

    def _ask_doubted(self) -> None:
        """Tell some that are said to be dead: the living refute it, the others fail the probe."""
        if self._doubts:
            member = self.random.choice(sorted(self._doubts))
            rumour = self._doubts.pop(member)
            if rumour.key > self.view.known[member].key:
                self._probe(member, rumour)

    def _join(self) -> None:
        peers = [m for m in range(self.count) if m != self.me]
        for peer in self.random.sample(peers, min(3, len(peers))):
            self._digest(peer, True)

    def _others(self, *but: int) -> list[int]:
        return [m for m in self.members() if m != self.me and m not in but]

    def _next(self) -> int | None:
        """The next to probe: everybody once in each round, in an order that changes."""
        for _ in range(2):
            while self._order:
                member = self._order.pop()
                suspicion = self._suspicions.get(member)
                if suspicion is not None and self.me in suspicion.accusers and self.config.local_health:
                    continue  # it has been looked at, and its time runs
                if self.view.known[member].state in PRESENT:
                    return member
            self._order = self._others()
            self.random.shuffle(self._order)
        return None

    def _ping(self, member: int, first: Rumour | None = None) -> int:
        self._sequence += 1
        self._tell(member, Kind.PING, self._sequence, member, first=first)
        return self._sequence

    def _probe(self, member: int | None, first: Rumour | None = None, helpers: int | None = None) -> None:
        if member is None:
            return
        sequence = self._ping(member, first)
        self._probes[sequence] = Probe(member, self.config.helpers if helpers is None else helpers)
        if self.config.retry:
            self._at(self._slow(self.config.direct / 2), partial(self._once_more, sequence))
        else:
            self._at(self._slow(self.config.direct), partial(self._unanswered, sequence))

    def _once_more(self, sequence: int) -> None:
        """A second try costs two datagrams, the way by others a dozen; most often one datagram is lost."""
        if (probe := self._probes.get(sequence)) is not None:
            self._tell(probe.target, Kind.PING, sequence, probe.target)
            self._at(self._slow(self.config.direct / 2), partial(self._unanswered, sequence))

    def _unanswered(self, sequence: int) -> None:
        if (probe := self._probes.get(sequence)) is None:
            return
        others = self._others(probe.target)
        if self.config.local_health:
            # Where many have died at once the silent ones are no help, and no sign that this node is late.
            since = self.now - HELPS * self.config.period
            others = [m for m in others if self._views.get(m, (-math.inf, 0))[0] >= since] or others
        helpers = probe.helpers if len(self._suspicions) < CROWD else 1
        for helper in self.random.sample(others, min(helpers, len(others))):
            probe.nacks_due += 1
            self._tell(helper, Kind.PING_REQ, sequence, probe.target)
        self._at(self._slow(self.config.indirect), partial(self._failed, sequence))

    def _failed(self, sequence: int) -> None:
        if (probe := self._probes.pop(sequence, None)) is None:
            return
        # Helpers that did not even say no: it may be this node that hears nothing.
        self._worse(probe.nacks_due - probe.nacks if probe.nacks_due else 1)
        known = self.view.known[probe.target]
        if known.state in PRESENT:
            self._suspect(known)

    # --- suspicion

    def _suspect(self, known: Rumour) -> None:
        self._learn(Rumour(known.member, known.life, known.incarnation, State.SUSPECT, self.me))

    def _confirm(self, rumour: Rumour) -> None:
        """Somebody else has come to the same suspicion: that is news as long as it shortens it."""
        suspicion = self._suspicions.get(rumour.member)
        if suspicion is None or rumour.accuser in suspicion.accusers or rumour.accuser == NOBODY:
            return
        if len(suspicion.accusers) > suspicion.needed:
            return
        suspicion.accusers.add(rumour.accuser)
        self._rumours.put(rumour.member)
        self.view.known[rumour.member] = rumour
        if rumour.accuser == self.me:
            self._broadcast(rumour)
        self._at(max(0.0, suspicion.until - self.now), partial(self._expire, rumour.member, suspicion))

    def _expire(self, member: int, suspicion: Suspicion) -> None:
        known = self.view.known[member]
        if self._suspicions.get(member) is not suspicion or known.state is not State.SUSPECT:
            return
        if suspicion.until > self.now + 1e-6:
            self._at(suspicion.until - self.now, partial(self._expire, member, suspicion))
            return
        if self.health >= DEAF and self.now < suspicion.since + PATIENCE * self.config.suspicion_most:
            # Who hears little may have missed the refutation: others are to say so, for a while.
            self._at(self.config.period, partial(self._expire, member, suspicion))
            return
        self.counts["declared_dead"] += 1
        dead = Rumour(member, known.life, known.incarnation, State.DEAD)
        self._learn(dead)
        self._broadcast(dead)

    def _least(self, member: int) -> float:
        """The least time of a suspicion: twice as long for each time that its death was none lately."""
        times, at = self._flaps.get(member, (0, -math.inf))
        if self.now - at > self.config.damping:
            self._flaps.pop(member, None)
            times = 0
        return min(self.config.suspicion_least * (1 << times), self.config.suspicion_most)

    def _lived(self, old: Rumour) -> None:
        """It was suspected or held for dead, and has refuted it: a node that stalls goes on stalling."""
        wrong_death = old.state is State.DEAD
        times = self._flaps.get(old.member, (0, 0.0))[0] + wrong_death
        if times and self.config.damping:
            self._flaps[old.member] = (min(times, MOST_FLAPS), self.now)
        if wrong_death:  # others may be none either
            self._roll_until = self.now + ROLL_AGAIN * self.config.period
            self._later(Kind.ROLL)

    def _begin_suspicion(self, rumour: Rumour) -> None:
        config = self.config
        needed = min(config.confirmations, max(0, self.view.present - 3)) if config.shorten else 0
        least = self._least(rumour.member) if config.shorten else config.suspicion_most
        suspicion = Suspicion(self.now, least, config.suspicion_most, needed, {rumour.accuser})
        self._suspicions[rumour.member] = suspicion
        self._at(suspicion.until - self.now, partial(self._expire, rumour.member, suspicion))
        if rumour.accuser == self.me:
            self._broadcast(rumour)
        elif self.random.random() * max(1, self.view.present - 2) < config.checks:
            self._probe(rumour.member, helpers=1)  # it is one look of several

    # --- what is learned

    def _learn(self, rumour: Rumour) -> None:
        """Take a rumour if it is newer than what is known."""
        if not 0 <= rumour.member < self.count:
            self.counts["no_such_member"] += 1
            return
        if rumour.member == self.me:
            self._about_me(rumour)
            return
        known = self.view.known[rumour.member]
        if rumour.key > known.key:
            self._take(rumour)
        elif rumour.key == known.key and rumour.state is State.SUSPECT:
            self._confirm(rumour)

    def _take(self, rumour: Rumour) -> None:
        was, old = self.view.hash, self.view.put(rumour)
        if self.view.hash != was:
            self._changed = self.now
        self._rumours.put(rumour.member)
        if rumour.state is State.SUSPECT:
            self._begin_suspicion(rumour)
        else:
            self._suspicions.pop(rumour.member, None)
        if old.life != rumour.life:
            self._flaps.pop(rumour.member, None)
        elif rumour.state is State.ALIVE:
            self._lived(old)
        self._later(Kind.PAGE)  # this rumour is one that nobody was told so far
        if old.state is not rumour.state or old.life != rumour.life:
            self._acts.append(Changed(rumour.member, old.state, rumour.state, rumour.life))

    def _about_me(self, rumour: Rumour, aloud: bool = True) -> None:
        """Others say what is not true: of this life it is refuted, an earlier one is out of date anyway."""
        own = self.view.known[self.me]
        if rumour.key <= own.key or self.leaving:
            return
        if rumour.life == self.life and rumour.incarnation < LAST_WORD - 1:
            self.incarnation = rumour.incarnation + 1
        elif max(self.life, rumour.life) < LAST_LIFE:  # this life's number was too low, or is used up
            self.life, self.incarnation = max(self.life, rumour.life) + 1, 0
        else:  # no number is above it: whoever says so keeps this node out, and operators see it counted
            self.counts["outbid"] += 1
            return
        self.counts["refutations"] += 1
        if rumour.state is State.SUSPECT:  # after a partition all are held for dead: no sign of their health
            self._worse(1)
        self._acts.append(Refuted(rumour.state))
        fresh = Rumour(self.me, self.life, self.incarnation, State.ALIVE)
        self._take(fresh)
        if aloud:
            self._broadcast(fresh)

    def _leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            gone = Rumour(self.me, self.life, LAST_WORD, State.LEFT)
            self._take(gone)
            self._budget[0] = max(self._budget[0], 2.0)
            for wait in (0.0, self.config.direct):  # twice: the first may be lost
                self._at(wait, partial(self._broadcast, gone))

    # --- much that is new at once

    def _later(self, kind: Kind) -> None:
        """A page or a roll call goes out some time: the tier as a whole sends so many a second."""
        if kind not in self._pages_due and not self.leaving and self.config.pages:
            self._pages_due.add(kind)
            wait = self.random.expovariate(self.config.pages / self.count) * 1000
            self._at(wait, partial(self._now, kind))

    def _now(self, kind: Kind) -> None:
        self._pages_due.discard(kind)
        if self.leaving:
            return
        if kind is Kind.ROLL:
            self._roll()
        elif self._rumours.hardly_told():
            self._page()
            if self._rumours.hardly_told():
                self._later(Kind.PAGE)

    def _page(self) -> None:
        """Rumours that were told least so far, to all."""
        page = self._gossip(None, ROOM)
        if page:
            self._acts.append(Tell(None, self._packed(Kind.PAGE, 0, NOBODY, b"", page)))
            self.counts["pages"] += 1

    def _heard_page(self, message: Message) -> None:
        """All have heard it: a few more words for those that missed it are enough."""
        most = len(self._rumours.levels)
        told = max(most - LAST_ROUNDS, most // 2)
        for rumour in message.rumours:
            member = rumour.member
            if self._rumours.told.get(member, told) < told and self.view.known[member] == rumour:
                self._rumours.put(member, told)

    def _roll(self) -> None:
        """Ask some that this node holds for dead whether they are: one that was held so has come back.

        Those that live answer this node, and what they answered goes to all on a page. Not taken: to tell all
        that they are dead, as gossip does: their own neighbours would bury them before they refute it.
        """
        again = self.now - ROLL_AGAIN * self.config.period
        self._rolled = {m: at for m, at in self._rolled.items() if at > again}
        dead = [r for r in self.view.known if r.state is State.DEAD and r.member not in self._rolled]
        if not dead or self.now > self._roll_until:
            return
        page = tuple(self.random.sample(dead, min(len(dead), PER_DATAGRAM)))
        self._rolled.update((r.member, self.now) for r in page)
        self._acts.append(Tell(None, self._packed(Kind.ROLL, 0, NOBODY, b"", page)))
        self.counts["roll_calls"] += 1
        self._at(self.config.direct, self._page)
        if len(page) < len(dead):
            self._later(Kind.ROLL)

    def _called(self, message: Message) -> None:
        """A roll call: the named answer for themselves, the others do not call them again."""
        for rumour in message.rumours:
            if rumour.member != self.me:
                if rumour.member < self.count:
                    self._rolled[rumour.member] = self.now
            elif not self.leaving:
                self._about_me(rumour, aloud=False)
                self._tell(message.sender, Kind.ACK, 0, self.me)

    # --- another tier

    def _peers(self, event: Peers) -> None:
        """Members that are gone have left, as far as this node goes; new ones are unknown until heard.

        Nothing of it is told: each node has its list from its own file, at a time of its own.
        """
        gone = {m for m in range(self.count) if m >= event.count or m in event.replaced} - {self.me}
        for member in gone:
            old = self.view.put(Rumour(member, 0, 0, State.UNKNOWN))
            if old.state in PRESENT:
                self._acts.append(Changed(member, old.state, State.LEFT, old.life))
            tables: tuple[dict[int, Any], ...] = (
                self._suspicions, self._doubts, self._views, self._repairs, self._rolled, self._flaps
            )  # fmt: skip
            for table in tables:
                table.pop(member, None)
        self._probes = {s: p for s, p in self._probes.items() if p.target not in gone}
        self._order = [m for m in self._order if m not in gone]
        known = self.view.known
        del known[event.count :]
        known.extend(Rumour(m, 0, 0, State.UNKNOWN) for m in range(len(known), event.count))
        self.count, self._changed = event.count, self.now
        told, self._rumours = self._rumours.told, Queue(_most_told(event.count))
        for member, times in told.items():
            if member not in gone:
                self._rumours.put(member, times)
        self._join()

    # --- datagrams

    def _received(self, event: Received) -> None:
        try:
            message = decode(event.data)
        except MessageError:
            self.counts["unreadable"] += 1
            return
        if message.sender != event.source or not 0 <= event.source < self.count or event.source == self.me:
            self.counts["wrong_sender"] += 1
            return
        self.counts["received"] += 1
        if message.incarnation != LAST_WORD:
            self._learn(Rumour(message.sender, message.life, message.incarnation, State.ALIVE))
        self._views[message.sender] = (self.now, message.view)
        if message.kind == Kind.ROLL:
            self._called(message)
            return
        repair = message.kind == Kind.GOSSIP and message.subject == self.me
        for rumour in message.rumours:
            if repair and self._doubted(rumour):
                self._doubts[rumour.member] = rumour
            else:
                self._learn(rumour)
        match message.kind:
            case Kind.PING if message.subject == self.me:
                self._tell(message.sender, Kind.ACK, message.sequence, self.me)
                self._disagree(message)
            case Kind.ACK:
                self._answered(message)
                self._disagree(message)
            case Kind.PING_REQ if message.subject < self.count and message.subject != self.me:
                self._relay(message)
            case Kind.NACK:
                if (probe := self._probes.get(message.sequence)) is not None:
                    probe.nacks += 1
            case Kind.DIGEST:
                self._compare(message)
            case Kind.GOSSIP if message.subject == NOBODY:
                self._spend(_refutes(message.rumours))  # a broadcast of another one's counts here, too
            case Kind.PAGE:
                self._heard_page(message)

    def _doubted(self, rumour: Rumour) -> bool:
        """Whether a repair says that one is dead whom this node holds for alive.

        He is asked before it is believed: after a partition each side holds the other for dead; told so, the
        living would bury their own neighbours.
        """
        known = self.view.known[rumour.member] if rumour.member < self.count else None
        if rumour.state is not State.DEAD or known is None or known.state is not State.ALIVE:
            return False
        return known.life == rumour.life and known.key < rumour.key and rumour.member != self.me

    def _answered(self, message: Message) -> None:
        if (probe := self._probes.get(message.sequence)) is not None and probe.target == message.subject:
            del self._probes[message.sequence]
            self._worse(-1)
        elif (relay := self._relays.pop(message.sequence, None)) is not None:
            self._tell(relay[0], Kind.ACK, relay[1], message.subject)

    def _relay(self, message: Message) -> None:
        sequence = self._ping(message.subject)
        self._relays[sequence] = (message.sender, message.sequence)
        self._at(self.config.direct * 0.8, partial(self._no_answer, sequence, message.subject))

    def _no_answer(self, sequence: int, subject: int) -> None:
        if (relay := self._relays.get(sequence)) is not None:
            self._tell(relay[0], Kind.NACK, relay[1], subject)
            self._at(self.config.period, partial(self._forget, sequence))

    def _forget(self, sequence: int) -> None:
        self._relays.pop(sequence, None)

    def _disagree(self, message: Message) -> None:
        """Views that differ are repaired, now and then: what is on its way by rumour may settle it before."""
        period = self.config.period
        if message.view == self.view.hash:
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
        self._tell(member, Kind.DIGEST, self._sequence, member, DIGEST.pack(ask, *hashes))

    def _compare(self, message: Message) -> None:
        """A digest came: what differs goes back, paced; one that asks is answered with one's own."""
        if len(message.extra) < DIGEST.size:
            return
        ask, *theirs = DIGEST.unpack_from(message.extra)
        own = self.view.digest(message.sequence)
        differ = {i for i, (a, b) in enumerate(zip(own, theirs, strict=True)) if a != b}
        known = [r.member for r in self.view.known
                 if r.member % BUCKETS in differ and r.state is not State.UNKNOWN]  # fmt: skip
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
        rest, page, room = self._repairs.pop(member), [], ROOM
        while rest and self.view.known[rest[-1]].size <= room:
            page.append(self.view.known[rest.pop()])
            room -= page[-1].size
        if rest:
            self._repairs[member] = rest
        self._tell(member, Kind.GOSSIP, 0, member, rumours=tuple(page))
        if self._repairs:
            self._at(self.config.period, self._repair)

    def _tell(self, member: int, kind: Kind, sequence: int, subject: int, extra: bytes = b"",
              rumours: tuple[Rumour, ...] | None = None, first: Rumour | None = None) -> None:  # fmt: skip
        if rumours is None:
            about = self.view.known[member]
            if first is None and self.config.suspect_first and about.state in (State.SUSPECT, State.DEAD):
                first = about
            rumours = self._gossip(first, ROOM - len(extra))
        self._acts.append(Tell(member, self._packed(kind, sequence, subject, extra, rumours)))
        self.counts["sent"] += 1

    def _packed(
        self, kind: Kind, sequence: int, subject: int, extra: bytes, rumours: tuple[Rumour, ...]
    ) -> bytes:
        incarnation = LAST_WORD if self.leaving else self.incarnation
        number, view = sequence & 0xFFFFFFFF, self.view.hash
        return encode(Message(kind, self.me, self.life, incarnation, number, view, subject, extra, rumours))

    def _gossip(self, first: Rumour | None, room: int) -> tuple[Rumour, ...]:
        """One rumour that must go, then those that were told least so far."""
        if first is None:
            return tuple(self._rumours.take(self.view, room, None))
        return (first, *self._rumours.take(self.view, room - first.size, first.member))

    def _spend(self, refutation: bool) -> bool:
        """Refutations have a budget of their own: where suspicions are many they must not wait for gossip."""
        most = self.config.broadcasts
        earned = (self.now - self._budget_at) / 1000 * most
        self._budget = [min(most, b + earned) for b in self._budget]
        self._budget_at = self.now
        if self._budget[refutation] < 1.0:
            return False
        self._budget[refutation] -= 1.0
        return True

    def _broadcast(self, rumour: Rumour) -> None:
        if self._spend(_refutes((rumour,))):
            rumours = self._gossip(rumour, ROOM)
            self._acts.append(Tell(None, self._packed(Kind.GOSSIP, 0, NOBODY, b"", rumours)))
            self.counts["broadcasts"] += 1
        else:
            self.counts["broadcasts_saved"] += 1
