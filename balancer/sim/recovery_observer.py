"""Outside observer of a simulated tier: it sees all and decides nothing.

What it holds against a tier:

- `ban`. A ban that was acknowledged, and that no lift since was requested for at a node that knew of it,
  is kept by every node that serves and could have known. A node could have known if (a) it acknowledged
  the ban itself and nothing that was synced has gone from its disk since, or its disk held the ban when
  it was read; (b) it began to serve before `RecoveryConfig.max_survey_ms` had passed, on a network that
  loses nothing, though a live peer that had known for `SPREAD_MS` was in touch with it since it began to
  ask (not on the path of a crash within `learn_ms` of a heal: two peers that went on may not have heard
  it either); (c) it has been in touch with a live peer that knows for longer than `learn_ms`, or than
  `DIRECT_SPREAD_MS` on a network that loses nothing where that peer itself acknowledged it when they had
  been in touch for `SETTLED_MS`. "In touch": both processes run and no partition is between them. At
  other nodes a lift by a later incarnation of the node that acknowledged, on a disk that was lost since,
  may cover its ban until it has heard of that and issued it anew: as in (c).
- `known`. What a process has known of an entry, or has read of it on a disk, it never knows less of: greater
  counter, and at the same one a lift over a ban. So a disk of a month ago undoes nothing.
- `applied`. The backends that a serving node avoids are those with an active entry in its register.
- `budget`. No cold backend is sent more than its budget by nodes that know of its start: discovery has told
  them, or they lost power together with it. Each sends as much as it is admitted: that is an upper bound.
- `phase`. Phases only go forward within an incarnation, a successor's from its predecessor's.
- `list`. A peer's word restricts at most half of the saved list, and nothing that is not in it.
- `turns`. Discovery has at most twice 1000 / slot requests in a second. A tier whose nodes enter `listed` at
  one moment makes half of that; those that enter it one after the other may share slots.
- `full`, `agree` (by `Observer.judge_end`). A stated time after the last fault all are in phase `full`, and
  the registers of all are the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from balancer.recovery.actions import PhaseEntered
from balancer.recovery.ban_register import BanEntry, EntryKey
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.sim.recovery_budget import overloaded_backends
from balancer.sim.recovery_process import OperatorRequest, Process
from balancer.sim.recovery_world import Tier

DIRECT_SPREAD_MS = 3_000.0
SETTLED_MS = 8_000.0
SPREAD_MS = 1_000.0  # within which an acknowledged ban has reached all that hear each other without loss
SURVEY_MARGIN_MS = 1.0
MAX_VIOLATIONS = 20
MAX_LISTED_NODES = 8  # in a violation's text


@dataclass(slots=True, frozen=True)
class InvariantViolation:
    """Something that must not be."""

    at: float
    invariant: str
    text: str


@dataclass(slots=True, frozen=True)
class KnowingProcess:
    """A process that knows a ban."""

    node: int
    number: int  # of its process


@dataclass(slots=True, frozen=True)
class KnowingNode:
    """A node that knows a ban now."""

    node: int
    since: float


@dataclass
class AcknowledgedBan:
    """A ban that an operator was told of."""

    backend: str
    node: int
    counter: tuple[int, int]
    epoch: int  # of the disk of the node that acknowledged it
    at: float
    has_ended: bool = False  # a lift was requested where it was known
    known_since: dict[KnowingProcess, float] = field(default_factory=dict)
    covered_since: dict[int, float] = field(default_factory=dict)  # by node: a greater counter hides it


def is_at_least(now: BanEntry, before: BanEntry) -> bool:
    """Return whether `now` says all that `before` said."""
    return now.counter > before.counter or (now.counter == before.counter and now.active <= before.active)


class Observer:
    """Looks at a tier at regular times and at each event that counts."""

    def __init__(self, tier: Tier, learn_ms: float) -> None:
        """Observe a tier in which a ban is known to all in touch after `learn_ms`."""
        self.tier = tier
        self.learn_ms = learn_ms
        self.is_lossy = bool(tier.network.loss_rate or tier.network.late_rate or tier.network.corrupt_rate)
        self.violations: list[InvariantViolation] = []
        self.answered_count = 0
        self._bans: list[AcknowledgedBan] = []
        self._floors: list[dict[EntryKey, BanEntry]] = [{} for _ in range(tier.count)]
        self._stamps: list[object] = [None] * tier.count  # of what was compared last
        tier.observer = self

    # --- events

    def disk_read(self, node: int, entries: tuple[BanEntry, ...]) -> None:
        """Record what a process has read: it knows that from now on."""
        self._floors[node] = {entry.key: entry for entry in entries}
        self._stamps[node] = None
        self._compare_register(node)
        epoch = self.tier.disks[node].epoch
        for ban in self._lasting():
            if ban.node == node and ban.epoch == epoch and not self._knows(node, ban):
                self._report_violation("ban", f"n{node} forgot its own ban of {ban.backend} on a sound disk")

    def phase_entered(self, node: int, entered: PhaseEntered) -> None:
        """Check that no phase is an earlier one, and none serves without what a peer at hand could tell."""
        process = self._process(node)
        path = process.phases[-1].path if process.phases else entered.path
        is_refined = entered.phase is process.phase and (entered.path is not path or process.inherits)
        if entered.phase <= process.phase and not is_refined:
            self._report_violation("phase", f"n{node} enters {entered.phase.name} from {process.phase.name}")
        process.inherits = False
        if entered.phase is Phase.LISTED and process.phase < Phase.LISTED:
            self._check_start(node, process, entered.path)

    def requested(self, request: OperatorRequest) -> None:
        """Record that a lift may take effect, from now on, on each ban that its node knows of."""
        if request.banned:
            return
        for ban in self._bans:
            if ban.backend == request.backend and any(
                node == ban.node and (incarnation, sequence) >= ban.counter
                for node, incarnation, sequence in request.seen
            ):
                ban.has_ended = True

    def answered(self, request: OperatorRequest) -> None:
        """Record an acknowledged ban: it has an entry of its node's own."""
        self.answered_count += 1
        if not request.banned:
            return
        process = self._process(request.node)
        own = process.core.register.get(request.backend, request.node)
        if own is None:
            text = f"n{request.node} acknowledged a ban of {request.backend} that it has no entry of"
            self._report_violation("ban", text)
            return
        epoch = self.tier.disks[request.node].epoch
        ban = AcknowledgedBan(request.backend, request.node, own.counter, epoch, self.tier.now)
        pending = process.pending.values()
        is_lifted = any(other.backend == request.backend and not other.banned for other in pending)
        ban.has_ended = not own.active or is_lifted
        self._bans.append(ban)

    def list_restricted(self, node: int, ids: frozenset[str]) -> None:
        """Check that a peer's list never adds, and takes away no more than half."""
        saved = self._process(node).saved_ids
        if not ids <= saved or 2 * len(ids) > len(saved):
            strange = len(ids - saved)
            self._report_violation(
                "list", f"n{node} restricts {len(ids)} ids, {strange} not of its {len(saved)}"
            )

    def time_passed(self) -> None:
        """Check what holds at any time."""
        for node, process in enumerate(self.tier.processes):
            if process is not None and process.phase > Phase.VERIFY:
                self._compare_register(node)
        for ban in self._lasting():
            self._check_ban(ban)
        for overloaded in overloaded_backends(self.tier):
            text = f"{overloaded.name} topples {overloaded.age_ms:.0f} ms after its start"
            self._report_violation("budget", text)

    def is_settled(self) -> bool:
        """Return whether all that live are full and agree."""
        processes = [process for process in self.tier.processes if process is not None]
        is_full = all(process.phase is Phase.FULL for process in processes)
        return is_full and len({process.core.register.hash for process in processes}) <= 1

    def judge_end(self) -> None:
        """Check what holds the stated time after the last fault."""
        processes = {node: p for node, p in enumerate(self.tier.processes) if p is not None}
        late = [f"n{node} {p.phase.name}" for node, p in processes.items() if p.phase is not Phase.FULL]
        if late:
            self._report_violation("full", f"not full in time: {', '.join(late[:MAX_LISTED_NODES])}")
        calls = max(self.tier.discovery.requests_per_second.values(), default=0)
        if calls > 2_000.0 / self.tier.recovery_config.poll_slot_ms:
            self._report_violation("turns", f"{calls} requests to discovery in one second")
        views = {
            frozenset((entry.key, entry.version) for entry in process.core.register.entries())
            for process in processes.values()
        }
        if len(views) > 1:
            self._report_violation("agree", f"{len(views)} different registers at the end")

    # --- bans

    def _lasting(self) -> list[AcknowledgedBan]:
        return [ban for ban in self._bans if not ban.has_ended]

    def _process(self, node: int) -> Process:
        process = self.tier.processes[node]
        assert process is not None
        return process

    def _knows(self, node: int, ban: AcknowledgedBan) -> bool:
        """Return whether a register has a ban that no lift has seen, or one that took its place."""
        entry = self._process(node).core.register.get(ban.backend, ban.node)
        return entry is not None and entry.counter >= ban.counter and entry.active

    def _covers(self, node: int, ban: AcknowledgedBan) -> bool:
        """Return whether a register has an entry of the ban's node above the ban, that a lift has seen."""
        entry = self._process(node).core.register.get(ban.backend, ban.node)
        return entry is not None and entry.counter > ban.counter and not entry.active

    def _compare_register(self, node: int) -> None:
        """Compare what a process knows with what it has known, and what it avoids with what it knows."""
        process = self._process(node)
        register = process.core.register
        stamp = (self.tier.hosts[node].process_number, register.hash, len(process.banned), process.serves)
        if stamp == self._stamps[node]:
            return
        self._stamps[node] = stamp
        known = {entry.key: entry for entry in register.entries()}
        for key, before in self._floors[node].items():
            if key not in known or not is_at_least(known[key], before):
                self._report_violation("known", f"n{node} knew {before}, now {known.get(key)}")
        self._floors[node] = known
        active = {entry.backend for entry in known.values() if entry.active}
        if process.serves and active != process.banned:
            avoided = sorted(process.banned)
            self._report_violation(
                "applied", f"n{node} keeps out {avoided}, its register has {sorted(active)}"
            )

    def _check_ban(self, ban: AcknowledgedBan) -> None:
        tier = self.tier
        breakers: list[int] = []
        knowing: list[KnowingNode] = []
        for node, process in enumerate(tier.processes):
            if process is None or process.phase is Phase.VERIFY:
                continue
            if self._knows(node, ban):
                knower = KnowingProcess(node, tier.hosts[node].process_number)
                knowing.append(KnowingNode(node, ban.known_since.setdefault(knower, tier.now)))
            elif process.serves and ban.backend not in process.banned:
                breakers.append(node)
        for node in breakers:
            self._check_breaker(node, ban, knowing)

    def _check_breaker(self, node: int, ban: AcknowledgedBan, knowing: list[KnowingNode]) -> None:
        """Check whether a node that sends to a banned backend could have known of the ban."""
        tier = self.tier
        if node == ban.node and ban.epoch == tier.disks[node].epoch:
            self._report_violation("ban", f"n{node} sends to {ban.backend} whose ban it has acknowledged")
        for peer in knowing:
            touch = tier.in_touch_since(node, peer.node)
            if touch is None:
                continue
            since = peer.since
            if self._covers(node, ban):
                since = max(since, ban.covered_since.setdefault(node, tier.now))
            is_direct = not self.is_lossy and peer.node == ban.node and ban.at > touch + SETTLED_MS
            elapsed = tier.now - max(touch, since)
            if elapsed > (DIRECT_SPREAD_MS if is_direct else self.learn_ms):
                text = f"n{node} sends to {ban.backend}; n{peer.node} knows the ban and is in touch"
                self._report_violation("ban", f"{text} for {elapsed:.0f} ms")
                break

    def _check_start(self, node: int, process: Process, path: RecoveryPath) -> None:
        """Check that a node which begins to serve has asked its peers."""
        tier = self.tier
        is_healing = any(p.begin <= tier.now < p.until + self.learn_ms for p in tier.partitions)
        if path is RecoveryPath.CRASH and is_healing:
            return
        asked_ms = tier.now - process.survey_began
        if self.is_lossy or asked_ms >= tier.recovery_config.max_survey_ms - SURVEY_MARGIN_MS:
            return
        for ban in self._lasting():
            if ban.backend in process.banned or self._covers(node, ban):
                continue
            peer = self._peer_that_knew(node, process, ban)
            if peer is not None:
                text = f"n{node} begins to serve after {asked_ms:.0f} ms of asking without the ban of"
                self._report_violation("ban", f"{text} {ban.backend} that n{peer} knew")
                return

    def _peer_that_knew(self, node: int, process: Process, ban: AcknowledgedBan) -> int | None:
        """Return a peer that knew a ban all the time in which a process asked."""
        tier = self.tier
        for knower, since in ban.known_since.items():
            touch = tier.in_touch_since(node, knower.node)
            is_running = tier.hosts[knower.node].process_number == knower.number
            if touch is None or not is_running or knower.node == node:
                continue
            if touch <= process.survey_began and since <= process.survey_began - SPREAD_MS:
                return knower.node
        return None

    def _report_violation(self, invariant: str, text: str) -> None:
        self.tier.note(f"VIOLATION {invariant}: {text}")
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(InvariantViolation(self.tier.now, invariant, text))
