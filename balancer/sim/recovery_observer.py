"""The outside observer of a tier's return: it sees all and decides nothing. What it holds against a tier:

- `ban`. A ban that was said yes to, and that no return since was called for at a node that knew of it, is
  kept by every node that serves and could have known. A node could have known if (a) it said yes itself and
  nothing that was synced has gone from its disk since, or its disk held the ban when it was read; (b) it
  began to serve before `ask_most` had passed, on a network that loses nothing, though a live peer that had
  known for `NEWS_MS` was in touch with it since it began to ask (not on the path of a crash within
  `learn_ms` of a heal: two peers that went on may not have heard it either); (c) it has been in touch with a
  live peer that knows for longer than `learn_ms`, or than `SOON_MS` on a network that loses nothing where
  that peer itself said yes when they had been in touch for `SETTLED_MS`. "In touch": both processes run and
  no partition is between them. At other nodes a return of a later-numbered life of the node that said yes,
  on a disk that was lost since, may cover its ban until it has heard of that and issued it anew: as in (c).
- `known`. What a process has known of a row, or has read of it on a disk, it never knows less of: greater
  counter, and at the same one a return over a ban. So a disk of a month ago undoes nothing.
- `applied`. The backends that a serving node keeps out are those with a live row in its register.
- `budget`. No cold backend is sent more than its budget by nodes that know of its start: discovery has told
  them, or they lost power together with it. Each sends as much as it is admitted: that is an upper bound.
- `phase`. Phases only go forward within a life, a successor's from its predecessor's.
- `list`. A peer's word restricts at most half of the saved list, and nothing that is not in it.
- `turns`. Discovery has at most twice 1000 / slot calls in a second. A tier whose nodes enter `listed` at one
  moment makes half of that; those that enter it one after the other may share places.
- `full`, `agree` (by `Observer.ends`). A stated time after the last fault all are in phase `full`, and
  the registers of all are the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer.policy.slow_start import WARMING_BUDGET_FRACTION
from balancer.recovery.events import Entered
from balancer.recovery.phases import Path, Phase
from balancer.recovery.register import Row
from balancer.sim.recovery_outside import FALL_MULTIPLE, warmth
from balancer.sim.recovery_world import LOOK_MS, Call, Process, Tier

SOON_MS, SETTLED_MS = 3_000.0, 8_000.0
NEWS_MS = 1_000.0  # within which a yes has reached all that hear each other without loss
STORM = 2.0  # demand after an outage, in capacities: what nodes send that think a backend warm
MOST_BREACHES = 20

Key = tuple[str, int]
Counter = tuple[int, int]


@dataclass(slots=True, frozen=True)
class Breach:
    """Something that must not be."""

    at: float
    invariant: str
    text: str


@dataclass
class Ban:
    """One that was said yes to; `ended` once a return was called for where it was known."""

    backend: str
    node: int
    counter: Counter
    epoch: int  # of the disk of the node that said yes
    at: float
    ended: bool = False
    known: dict[tuple[int, int], float] = field(default_factory=dict)  # by node and process: since when
    covered: dict[int, float] = field(default_factory=dict)  # by node: since when a greater counter hides it


def newer(now: Row, before: Row) -> bool:
    """Whether `now` says all that `before` said."""
    one, other = (now.life, now.seq), (before.life, before.seq)
    return one > other or (one == other and now.live <= before.live)


class Observer:
    """Looks at a tier every `LOOK_MS` and at each event that counts."""

    def __init__(self, tier: Tier, learn_ms: float) -> None:
        self.tier, self.learn_ms = tier, learn_ms
        self.lossy = bool(tier.net.loss or tier.net.late or tier.net.corrupt)
        self.breaches: list[Breach] = []
        self.bans: list[Ban] = []
        self.floors: list[dict[Key, Row]] = [{} for _ in range(tier.count)]
        self.stamps: list[object] = [None] * tier.count
        self.yes = self.looks = 0
        tier.watcher = self

    # --- events

    def began(self, node: int, rows: tuple[Row, ...]) -> None:
        """A process has read its disk: what that held it knows from now on."""
        self.floors[node] = {(row.backend, row.node): row for row in rows}
        self.stamps[node] = None
        self._hold(node)
        epoch = self.tier.disks[node].epoch
        for ban in self._lasting():
            if ban.node == node and ban.epoch == epoch and not self._knows(node, ban):
                self._breach("ban", f"n{node} forgot its own ban of {ban.backend} on a sound disk")

    def entered(self, node: int, entered: Entered) -> None:
        """A phase begins: never an earlier one, and never service without what a peer at hand could tell."""
        process = self._process(node)
        known = process.phases[-1][2] if process.phases else entered.path
        refined = entered.phase is process.phase and (entered.path is not known or process.inherits)
        if entered.phase <= process.phase and not refined:
            self._breach("phase", f"n{node} enters {entered.phase.name} from {process.phase.name}")
        process.inherits = False
        if entered.phase is Phase.LISTED and process.phase < Phase.LISTED:
            self._begins_to_serve(node, process, entered.path)

    def called(self, call: Call) -> None:
        """From its call on a return may take effect on each ban that its node knew of."""
        if call.out:
            return
        for ban in self.bans:
            if ban.backend == call.backend and any(
                node == ban.node and (life, seq) >= ban.counter for node, life, seq in call.seen
            ):
                ban.ended = True

    def answered(self, call: Call) -> None:
        """A ban that was said yes to has a dot of its node's own."""
        self.yes += 1
        if not call.out:
            return
        own = self._process(call.node).core.register.get(call.backend, call.node)
        if own is None:
            self._breach("ban", f"n{call.node} said yes to a ban of {call.backend} that it does not hold")
            return
        epoch = self.tier.disks[call.node].epoch
        ban = Ban(call.backend, call.node, (own.life, own.seq), epoch, self.tier.now)
        pending = self._process(call.node).pending.values()
        ban.ended = not own.live or any(c.backend == call.backend and not c.out for c in pending)
        self.bans.append(ban)

    def restricts(self, node: int, ids: frozenset[str]) -> None:
        """A peer's list never adds, and takes away no more than half."""
        saved = self._process(node).saved
        if not ids <= saved or 2 * len(ids) > len(saved):
            strange = len(ids - saved)
            self._breach("list", f"n{node} restricts {len(ids)} ids, {strange} not of its {len(saved)}")

    def look(self) -> None:
        """Some time has passed."""
        self.looks += 1
        for node, process in enumerate(self.tier.processes):
            if process is not None and process.phase > Phase.VERIFY:
                self._hold(node)
        for ban in self._lasting():
            self._keeps(ban)
        self._traffic()

    def ends(self) -> bool:
        """Whether all that live are full and agree."""
        processes = [p for p in self.tier.processes if p is not None]
        full = all(p.phase is Phase.FULL for p in processes)
        return full and len({p.core.register.hash for p in processes}) <= 1

    def judge_end(self) -> None:
        """The stated time after the last fault is over."""
        processes = {n: p for n, p in enumerate(self.tier.processes) if p is not None}
        late = [f"n{n} {p.phase.name}" for n, p in processes.items() if p.phase is not Phase.FULL]
        if late:
            self._breach("full", f"not full in time: {', '.join(late[:8])}")
        calls = max(self.tier.discovery.per_second.values(), default=0)
        if calls > 2_000.0 / self.tier.room_config.slot:
            self._breach("turns", f"{calls} calls of discovery in one second")
        views = {frozenset(row[:5] for row in p.core.register.rows()) for p in processes.values()}
        if len(views) > 1:
            self._breach("agree", f"{len(views)} different registers at the end")

    # --- bans

    def _lasting(self) -> list[Ban]:
        return [ban for ban in self.bans if not ban.ended]

    def _process(self, node: int) -> Process:
        process = self.tier.processes[node]
        assert process is not None
        return process

    def _knows(self, node: int, ban: Ban) -> bool:
        """Whether a node's register has a ban that no return has seen, or one that took its place."""
        row = self._process(node).core.register.get(ban.backend, ban.node)
        return row is not None and row.counter >= ban.counter and row.live

    def _covers(self, node: int, ban: Ban) -> bool:
        """Whether a node's register has a row of the ban's node above the ban, that a return has seen."""
        row = self._process(node).core.register.get(ban.backend, ban.node)
        return row is not None and row.counter > ban.counter and not row.live

    def _hold(self, node: int) -> None:
        """Compare what a process knows with what it has known, and what it keeps out with what it knows."""
        process = self._process(node)
        register = process.core.register
        stamp = (self.tier.hosts[node].number, register.hash, len(process.banned), process.serves)
        if stamp == self.stamps[node]:
            return
        self.stamps[node], rows = stamp, register.rows()
        now, floor = {(row.backend, row.node): row for row in rows}, self.floors[node]
        for key, before in floor.items():
            if key not in now or not newer(now[key], before):
                self._breach("known", f"n{node} knew {before}, now {now.get(key)}")
        self.floors[node] = now
        live = {row.backend for row in rows if row.live}
        if process.serves and live != process.banned:
            out = sorted(process.banned)
            self._breach("applied", f"n{node} keeps out {out}, its register has {sorted(live)}")

    def _keeps(self, ban: Ban) -> None:
        tier, now = self.tier, self.tier.now
        breakers: list[int] = []
        knowing: list[tuple[int, float]] = []
        for node, process in enumerate(tier.processes):
            if process is None or process.phase is Phase.VERIFY:
                continue
            if self._knows(node, ban):
                knowing.append((node, ban.known.setdefault((node, tier.hosts[node].number), now)))
            elif process.serves and ban.backend not in process.banned:
                breakers.append(node)
        for node in breakers:
            if node == ban.node and ban.epoch == tier.disks[node].epoch:
                self._breach("ban", f"n{node} sends to {ban.backend} that it has said yes to ban")
            for peer, since in knowing:
                touch = tier.touch_since(node, peer)
                if touch is None:
                    continue
                if self._covers(node, ban):
                    since = max(since, ban.covered.setdefault(node, now))
                soon = not self.lossy and peer == ban.node and ban.at > touch + SETTLED_MS
                if now - max(touch, since) > (SOON_MS if soon else self.learn_ms):
                    self._breach("ban", f"n{node} sends to {ban.backend}; n{peer} knows the ban "
                                        f"and is in touch for {now - max(touch, since):.0f} ms")  # fmt: skip
                    break

    def _begins_to_serve(self, node: int, process: Process, path: Path) -> None:
        tier = self.tier
        if path is Path.CRASH and any(p.begin <= tier.now < p.until + self.learn_ms for p in tier.partitions):
            return
        asked = tier.now - process.ask_began
        if self.lossy or asked >= tier.room_config.ask_most - 1:
            return
        for ban in self._lasting():
            if ban.backend in process.banned or self._covers(node, ban):
                continue
            for (peer, number), since in ban.known.items():
                touch = tier.touch_since(node, peer)
                if touch is None or tier.hosts[peer].number != number or peer == node:
                    continue
                if touch <= process.ask_began and since <= process.ask_began - NEWS_MS:
                    self._breach("ban", f"n{node} begins to serve after {asked:.0f} ms of asking without the "
                                        f"ban of {ban.backend} that n{peer} knew")  # fmt: skip
                    return

    # --- traffic to cold backends

    def _traffic(self) -> None:
        tier, now = self.tier, self.tier.now
        cold = {name: b for name, b in tier.backends.items() if b.cold(now)}
        serving = [(n, p) for n, p in enumerate(tier.processes) if p is not None and p.serves]
        for node, process in serving if cold else ():
            admits = process.admits
            for name, backend in cold.items():
                believed = self._believed(node, process, name, backend.start)
                if believed is None or name in process.banned:
                    continue
                full = process.phase is Phase.FULL or admits is None
                share = 1.0 / len(serving) if full or admits is None else admits.share
                part = (
                    WARMING_BUDGET_FRACTION * FALL_MULTIPLE * warmth(believed) if believed < 8_000 else STORM
                )
                if backend.offer(now, share * part * LOOK_MS):
                    self._breach("budget", f"{name} topples {now - backend.start:.0f} ms after its start")

    def _believed(self, node: int, process: Process, name: str, start: float) -> float | None:
        """How old a backend is for a node that knows of its start; None for one that does not."""
        now = self.tier.now
        if process.told:
            return now - start if process.told.get(name) == start else None
        if not process.power_cut or start > process.began:
            return None
        if process.phase is Phase.FULL or process.admits is None:
            return float("inf")
        return now + self.tier.hosts[node].shift - process.admits.cold_since

    def _breach(self, invariant: str, text: str) -> None:
        self.tier.note(f"BREACH {invariant}: {text}")
        if len(self.breaches) < MOST_BREACHES:
            self.breaches.append(Breach(self.tier.now, invariant, text))
