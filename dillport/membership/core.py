"""The membership of one node: told the time and what came, it says what to send. No I/O, no clock of its own.

Sources: SWIM (Das, Gupta, Motivala 2002): probes in round-robin over a shuffled order, indirect probes,
suspicion, incarnations. Lifeguard (Dadgar, Phillips, Currey 2018): local health, a suspicion time that
shortens with independent confirmations, the suspect told first. Beyond them, as the platform allows one
datagram to all (`peers_all`): what is urgent is broadcast under a budget that counts what others broadcast,
so that it costs a node no more in a larger fleet.

All that is known of a member is ordered by (life, incarnation, state), and views are joined by the greatest:
rumours may come late, twice or in any order. A node alone raises its own incarnation, and `left` ends a life
for good.
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

from dillport.membership.messages import (
    BUCKETS,
    DIGEST,
    LAST_LIFE,
    LAST_WORD,
    NOBODY,
    ROOM,
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
MOST_TIMERS = 4096
PER_DATAGRAM = ROOM // 9  # rumours
MOST_EXTRA = 1  # datagrams a period that carry rumours alone, while more wait than one holds
MOST_REPAIRS = 8  # peers that are repaired at once


@dataclass(slots=True, frozen=True)
class Config:
    """Times in ms. The defaults hold the bounds in `docs/membership.md`."""

    period: float = 700.0  # between two probes
    direct: float = 250.0  # until a probe that is not answered goes by way of others
    indirect: float = 300.0  # and until it has failed
    helpers: int = 3
    suspicion_least: float = 600.0
    suspicion_most: float = 3000.0
    confirmations: int = 3  # that bring the suspicion's time to its least
    checks: float = 4.0  # nodes, on average, that look for themselves when one is suspected
    broadcasts: float = 4.0  # a second, own and heard
    reconnect: int = 4  # periods between two probes of a member that is not present
    repair: int = 40  # periods between two repairs with somebody whose view seems the same
    local_health: bool = True
    suspect_first: bool = True  # the suspect hears of it first
    shorten: bool = True  # suspicion shortens with confirmations


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


Event = Tick | Received | Leave

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


Action = Tell | Changed


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
    nacks_due: int = 0
    nacks: int = 0


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
        self._doubts: dict[int, Rumour] = {}  # deaths that repairs told of, of members that seem alive
        self._rumours: dict[int, int] = {}  # members that are gossiped about: how often so far
        self._views: dict[int, tuple[float, int]] = {}  # what each peer's view was, and when it said so
        self._repairs: dict[int, list[int]] = {}  # for whom: members whose rumours he lacks
        self._budget, self._budget_at = config.broadcasts, now
        self._changed = now  # when this node's view last did
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
        self.now = max(self.now, now)
        self._awake()
        match event:
            case Received():
                self._received(event)
            case Leave():
                self._leave()
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)[2]()
        self.last = self.now
        out, self._acts = self._acts, []
        return out

    def members(self) -> list[int]:
        """Who is present, this node included, in order."""
        return [r.member for r in self.view.known if r.state in PRESENT]

    def quorum(self) -> bool:
        """Whether this node sees more than half of the tier: a minority starts nothing that others share."""
        return 2 * self.view.present > self.count

    def agreement(self) -> float:
        """The share of present peers, of those heard since its last change, whose view is this one's."""
        since = max(self.now - HEARD_LATELY * self.config.period, self._changed)
        said = [view == self.view.hash for member, (at, view) in self._views.items()
                if at >= since and self.view.known[member].state in PRESENT]  # fmt: skip
        return sum(said) / len(said) if said else 1.0

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
        waiting = len(self._rumours) // PER_DATAGRAM
        peers = self._others()
        for peer in self.random.sample(peers, min(MOST_EXTRA, waiting, len(peers))):
            self._tell(peer, Kind.GOSSIP, 0, peer)
        absent = [r.member for r in self.view.known if r.state in (State.UNKNOWN, State.DEAD)]
        if absent and self._periods % self.config.reconnect == 0:
            self._ping(self.random.choice(absent))
        if self._periods % self.config.repair == 0 and peers:
            self._digest(self.random.choice(peers), True)

    def _ask_doubted(self) -> None:
        """Tell some that are said to be dead: the living refute it, the others fail the probe."""
        for member in self.random.sample(sorted(self._doubts), min(MOST_EXTRA, len(self._doubts))):
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
        while True:
            if not self._order:
                self._order = self._others()
                self.random.shuffle(self._order)
                if not self._order:
                    return None
            member = self._order.pop()
            if self.view.known[member].state in PRESENT:
                return member

    def _ping(self, member: int, first: Rumour | None = None) -> int:
        self._sequence += 1
        self._tell(member, Kind.PING, self._sequence, member, first=first)
        return self._sequence

    def _probe(self, member: int | None, first: Rumour | None = None) -> None:
        if member is None:
            return
        sequence = self._ping(member, first)
        self._probes[sequence] = Probe(member)
        self._at(self._slow(self.config.direct), partial(self._unanswered, sequence))

    def _unanswered(self, sequence: int) -> None:
        if (probe := self._probes.get(sequence)) is None:
            return
        others = self._others(probe.target)
        for helper in self.random.sample(others, min(self.config.helpers, len(others))):
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
        self._rumours[rumour.member] = 0
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
        self.counts["declared_dead"] += 1
        dead = Rumour(member, known.life, known.incarnation, State.DEAD)
        self._learn(dead)
        self._broadcast(dead)

    def _begin_suspicion(self, rumour: Rumour) -> None:
        config = self.config
        needed = min(config.confirmations, max(0, self.view.present - 3)) if config.shorten else 0
        least = config.suspicion_least if config.shorten else config.suspicion_most
        suspicion = Suspicion(self.now, least, config.suspicion_most, needed, {rumour.accuser})
        self._suspicions[rumour.member] = suspicion
        self._at(suspicion.until - self.now, partial(self._expire, rumour.member, suspicion))
        if rumour.accuser == self.me:
            self._broadcast(rumour)
        elif self.random.random() * max(1, self.view.present - 2) < config.checks:
            self._probe(rumour.member)

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
        self._rumours[rumour.member] = 0
        if rumour.state is State.SUSPECT:
            self._begin_suspicion(rumour)
        else:
            self._suspicions.pop(rumour.member, None)
        if old.state is not rumour.state or old.life != rumour.life:
            self._acts.append(Changed(rumour.member, old.state, rumour.state, rumour.life))

    def _about_me(self, rumour: Rumour) -> None:
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
        fresh = Rumour(self.me, self.life, self.incarnation, State.ALIVE)
        self._take(fresh)
        self._broadcast(fresh)

    def _leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            gone = Rumour(self.me, self.life, LAST_WORD, State.LEFT)
            self._take(gone)
            self._budget = max(self._budget, 2.0)
            for wait in (0.0, self.config.direct):  # twice: the first may be lost
                self._at(wait, partial(self._broadcast, gone))

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
                self._spend(1.0)  # a broadcast that another one made counts here, too

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
        if message.view != self.view.hash and self.now >= self._repaired + 2 * self.config.period:
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
        out = [] if first is None else [first]
        room -= sum(r.size for r in out)
        most = 4 * math.ceil(math.log10(self.count + 1))
        for one in heapq.nsmallest(room // 9, self._rumours, key=lambda m: (self._rumours[m], m)):
            rumour = self.view.known[one]
            if rumour.size > room or rumour is first:
                continue
            out.append(rumour)
            room -= rumour.size
            self._rumours[one] += 1
            if self._rumours[one] >= most:
                del self._rumours[one]
        return tuple(out)

    def _spend(self, amount: float) -> bool:
        earned = (self.now - self._budget_at) / 1000 * self.config.broadcasts
        self._budget = min(self.config.broadcasts, self._budget + earned)
        self._budget_at = self.now
        if self._budget < amount:
            return False
        self._budget -= amount
        return True

    def _broadcast(self, rumour: Rumour) -> None:
        if self._spend(1.0):
            rumours = self._gossip(rumour, ROOM)
            self._acts.append(Tell(None, self._packed(Kind.GOSSIP, 0, NOBODY, b"", rumours)))
            self.counts["broadcasts"] += 1
        else:
            self.counts["broadcasts_saved"] += 1
