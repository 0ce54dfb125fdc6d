"""Observer that checks the invariants of a simulated tier without influencing its nodes.

The invariants are:

- `ban`. An acknowledged ban is honored by every serving node that could have known it, unless a lift was
  requested since at a node that knew the ban. A node could have known the ban if (a) the node acknowledged it
  itself and its disk has lost no synced record since, or its disk contained the ban when it was read; (b) the
  node began to serve before `RecoveryConfig.max_survey_ms` had passed, on a network without loss, and a live
  peer that had known the ban for `LOSSLESS_SPREAD_MS` was connected to it since its survey began (this does
  not apply to the crash path within `propagation_ms` of a partition's end, as the peers that kept running may
  not know the ban either); (c) the node has been connected to a live peer that knows the ban for longer than
  `propagation_ms`, or for longer than `DIRECT_SPREAD_MS` if the network has no loss and that peer itself
  acknowledged the ban after they had been connected for `SETTLED_MS`. Two nodes are connected if both
  processes run and no partition separates them. If the acknowledging node has lost its disk, a lift by its
  later incarnation may hide the ban at other nodes until the node has learned of the ban and reissued it,
  within the limits of (c).
- `known`. What a process knows of an entry, or has read from disk, never becomes older: a greater counter is
  newer, and at the same counter a lift is newer than a ban. So an old disk undoes no change.
- `applied`. The backends that a serving node avoids are those with an active entry in its register.
- `budget`. No cold backend receives more work than its budget from nodes that know its start, because
  discovery has sent it or they lost power together with it. Each node is assumed to send as much as it may,
  which is an upper bound.
- `phase`. Phases only advance within an incarnation; a successor continues from its predecessor's phase.
- `list`. A peer's filter restricts at most half of the saved list, and nothing that is not in it.
- `turns`. Discovery receives at most 2 * 1000 / slot requests per second. A tier whose nodes enter LISTED
  together makes half as many; nodes that enter it at different times may share slots.
- `full`, `agree` (checked at the end). Within a bound after the last fault all nodes are FULL, and their
  registers are equal.
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
# The time within which an acknowledged ban reaches all connected nodes on a network without loss.
LOSSLESS_SPREAD_MS = 1_000.0
SURVEY_MARGIN_MS = 1.0
MAX_VIOLATIONS = 20
MAX_NODES_IN_TEXT = 8


@dataclass(slots=True, frozen=True)
class InvariantViolation:
    """A violation of an invariant, with its virtual time and a description."""

    at: float
    invariant: str
    text: str


@dataclass(slots=True, frozen=True)
class KnowingProcess:
    """A process that knows a ban, by its node and process number."""

    node: int
    number: int


@dataclass(slots=True, frozen=True)
class KnowingNode:
    """A node that currently knows a ban, and since when."""

    node: int
    since: float


@dataclass
class AcknowledgedBan:
    """A ban that a node has acknowledged to an operator.

    `disk_epoch` is that of the acknowledging node's disk. `has_ended` is set when a lift is requested at a
    node that knows the ban. `covered_since` holds, for each node, since when an entry with a greater counter
    hides the ban.
    """

    backend: str
    node: int
    counter: tuple[int, int]
    disk_epoch: int
    at: float
    has_ended: bool = False
    known_since: dict[KnowingProcess, float] = field(default_factory=dict)
    covered_since: dict[int, float] = field(default_factory=dict)


def is_at_least_as_new(current: BanEntry, earlier: BanEntry) -> bool:
    """Return whether an entry is at least as new as an earlier state of it."""
    return current.counter > earlier.counter or (
        current.counter == earlier.counter and current.active <= earlier.active
    )


class Observer:
    """Checks the invariants of a tier at regular times and at each relevant event."""

    def __init__(self, tier: Tier, propagation_ms: float) -> None:
        """Observe a tier in which all connected nodes must know a ban after `propagation_ms`."""
        self.tier = tier
        self.propagation_ms = propagation_ms
        self.is_lossy = bool(tier.network.loss_rate or tier.network.late_rate or tier.network.corrupt_rate)
        self.violations: list[InvariantViolation] = []
        self.answered_count = 0
        self._bans: list[AcknowledgedBan] = []
        self._known_entries: list[dict[EntryKey, BanEntry]] = [{} for _ in range(tier.count)]
        self._compared_states: list[object] = [None] * tier.count
        tier.observer = self

    # --- events

    def disk_read(self, node: int, entries: tuple[BanEntry, ...]) -> None:
        """Record the entries that a process has read from disk, which it must know from now on."""
        self._known_entries[node] = {entry.key: entry for entry in entries}
        self._compared_states[node] = None
        self._compare_register(node)
        epoch = self.tier.disks[node].epoch
        for ban in self._bans_in_force():
            if ban.node == node and ban.disk_epoch == epoch and not self._knows(node, ban):
                self._report_violation("ban", f"n{node} forgot its own ban of {ban.backend} on a sound disk")

    def phase_entered(self, node: int, entered: PhaseEntered) -> None:
        """Check that the phase has advanced, and that a node which begins to serve has surveyed its peers."""
        process = self._process(node)
        path = process.phases[-1].path if process.phases else entered.path
        is_refined = entered.phase is process.phase and (entered.path is not path or process.inherits_phase)
        if entered.phase <= process.phase and not is_refined:
            self._report_violation("phase", f"n{node} enters {entered.phase.name} from {process.phase.name}")
        process.inherits_phase = False
        if entered.phase is Phase.LISTED and process.phase < Phase.LISTED:
            self._check_start(node, process, entered.path)

    def requested(self, request: OperatorRequest) -> None:
        """Record that a requested lift may end each ban that its node knows."""
        if request.banned:
            return
        for ban in self._bans:
            if ban.backend == request.backend and any(
                node == ban.node and (incarnation, sequence) >= ban.counter
                for node, incarnation, sequence in request.seen
            ):
                ban.has_ended = True

    def answered(self, request: OperatorRequest) -> None:
        """Record an acknowledged ban, and check that the node's register has an own entry for it."""
        self.answered_count += 1
        if not request.banned:
            return
        process = self._process(request.node)
        own = process.core.register.get(request.backend, request.node)
        if own is None:
            text = (
                f"n{request.node} acknowledged a ban of {request.backend}, but its register has no such entry"
            )
            self._report_violation("ban", text)
            return
        epoch = self.tier.disks[request.node].epoch
        ban = AcknowledgedBan(request.backend, request.node, own.counter, epoch, self.tier.now)
        pending = process.pending.values()
        is_lifted = any(other.backend == request.backend and not other.banned for other in pending)
        ban.has_ended = not own.active or is_lifted
        self._bans.append(ban)

    def list_restricted(self, node: int, ids: frozenset[str]) -> None:
        """Check that a peer's filter restricts only saved backends, and no more than half of them."""
        saved = self._process(node).saved_ids
        if not ids <= saved or 2 * len(ids) > len(saved):
            unsaved = len(ids - saved)
            self._report_violation(
                "list",
                f"n{node} restricts {len(ids)} backends, {unsaved} of them not among the saved {len(saved)}",
            )

    def time_passed(self) -> None:
        """Check the invariants that hold at any time."""
        for node, process in enumerate(self.tier.processes):
            if process is not None and process.phase > Phase.VERIFY:
                self._compare_register(node)
        for ban in self._bans_in_force():
            self._check_ban(ban)
        for overloaded in overloaded_backends(self.tier):
            text = f"{overloaded.name} is overloaded {overloaded.age_ms:.0f} ms after its start"
            self._report_violation("budget", text)

    def is_settled(self) -> bool:
        """Return whether all running nodes are FULL and have equal registers."""
        processes = [process for process in self.tier.processes if process is not None]
        is_full = all(process.phase is Phase.FULL for process in processes)
        return is_full and len({process.core.register.hash for process in processes}) <= 1

    def check_end(self) -> None:
        """Check the invariants that hold within a bound after the last fault."""
        processes = {node: p for node, p in enumerate(self.tier.processes) if p is not None}
        late = [f"n{node} {p.phase.name}" for node, p in processes.items() if p.phase is not Phase.FULL]
        if late:
            self._report_violation(
                "full", f"nodes are not FULL in time: {', '.join(late[:MAX_NODES_IN_TEXT])}"
            )
        calls = max(self.tier.discovery.requests_per_second.values(), default=0)
        if calls > 2_000.0 / self.tier.recovery_config.poll_slot_ms:
            self._report_violation("turns", f"{calls} requests to discovery in one second")
        registers = {
            frozenset((entry.key, entry.version) for entry in process.core.register.entries())
            for process in processes.values()
        }
        if len(registers) > 1:
            self._report_violation(
                "agree", f"{len(registers)} different registers at the end, expected equal ones"
            )

    # --- bans

    def _bans_in_force(self) -> list[AcknowledgedBan]:
        return [ban for ban in self._bans if not ban.has_ended]

    def _process(self, node: int) -> Process:
        process = self.tier.processes[node]
        assert process is not None
        return process

    def _knows(self, node: int, ban: AcknowledgedBan) -> bool:
        """Return whether a node's register contains the ban, unlifted, or a newer ban in its place."""
        entry = self._process(node).core.register.get(ban.backend, ban.node)
        return entry is not None and entry.counter >= ban.counter and entry.active

    def _covers(self, node: int, ban: AcknowledgedBan) -> bool:
        """Return whether a lifted entry with a greater counter hides the ban in a node's register."""
        entry = self._process(node).core.register.get(ban.backend, ban.node)
        return entry is not None and entry.counter > ban.counter and not entry.active

    def _compare_register(self, node: int) -> None:
        """Check a process's register against its earlier state, and the applied bans against the register."""
        process = self._process(node)
        register = process.core.register
        state = (self.tier.hosts[node].process_number, register.hash, len(process.banned), process.serves)
        if state == self._compared_states[node]:
            return
        self._compared_states[node] = state
        known = {entry.key: entry for entry in register.entries()}
        for key, before in self._known_entries[node].items():
            if key not in known or not is_at_least_as_new(known[key], before):
                self._report_violation("known", f"n{node} knew {before}, now {known.get(key)}")
        self._known_entries[node] = known
        active = {entry.backend for entry in known.values() if entry.active}
        if process.serves and active != process.banned:
            avoided = sorted(process.banned)
            self._report_violation(
                "applied", f"n{node} avoids {avoided}, but its register bans {sorted(active)}"
            )

    def _check_ban(self, ban: AcknowledgedBan) -> None:
        tier = self.tier
        violating_nodes: list[int] = []
        knowing: list[KnowingNode] = []
        for node, process in enumerate(tier.processes):
            if process is None or process.phase is Phase.VERIFY:
                continue
            if self._knows(node, ban):
                knower = KnowingProcess(node, tier.hosts[node].process_number)
                knowing.append(KnowingNode(node, ban.known_since.setdefault(knower, tier.now)))
            elif process.serves and ban.backend not in process.banned:
                violating_nodes.append(node)
        for node in violating_nodes:
            self._check_violating_node(node, ban, knowing)

    def _check_violating_node(self, node: int, ban: AcknowledgedBan, knowing: list[KnowingNode]) -> None:
        """Check whether a node that does not apply a ban could have known it."""
        tier = self.tier
        if node == ban.node and ban.disk_epoch == tier.disks[node].epoch:
            self._report_violation("ban", f"n{node} sends to {ban.backend}, whose ban it has acknowledged")
        for peer in knowing:
            connected_at = tier.connected_since(node, peer.node)
            if connected_at is None:
                continue
            since = peer.since
            if self._covers(node, ban):
                since = max(since, ban.covered_since.setdefault(node, tier.now))
            is_direct = not self.is_lossy and peer.node == ban.node and ban.at > connected_at + SETTLED_MS
            elapsed = tier.now - max(connected_at, since)
            if elapsed > (DIRECT_SPREAD_MS if is_direct else self.propagation_ms):
                text = (
                    f"n{node} sends to {ban.backend}; n{peer.node}, which knows the ban, is connected to it"
                )
                self._report_violation("ban", f"{text} for {elapsed:.0f} ms")
                break

    def _check_start(self, node: int, process: Process, path: RecoveryPath) -> None:
        """Check that a node which begins to serve knows the bans that its surveyed peers knew."""
        tier = self.tier
        is_healing = any(p.begin <= tier.now < p.until + self.propagation_ms for p in tier.partitions)
        if path is RecoveryPath.CRASH and is_healing:
            return
        survey_ms = tier.now - process.survey_began_at
        if self.is_lossy or survey_ms >= tier.recovery_config.max_survey_ms - SURVEY_MARGIN_MS:
            return
        for ban in self._bans_in_force():
            if ban.backend in process.banned or self._covers(node, ban):
                continue
            peer = self._peer_that_knew(node, process, ban)
            if peer is not None:
                text = f"n{node} begins to serve after a survey of {survey_ms:.0f} ms without the ban of"
                self._report_violation("ban", f"{text} {ban.backend} that n{peer} knew")
                return

    def _peer_that_knew(self, node: int, process: Process, ban: AcknowledgedBan) -> int | None:
        """Return a connected peer that knew a ban during the complete survey of a process."""
        tier = self.tier
        for knower, since in ban.known_since.items():
            connected_at = tier.connected_since(node, knower.node)
            is_running = tier.hosts[knower.node].process_number == knower.number
            if connected_at is None or not is_running or knower.node == node:
                continue
            if (
                connected_at <= process.survey_began_at
                and since <= process.survey_began_at - LOSSLESS_SPREAD_MS
            ):
                return knower.node
        return None

    def _report_violation(self, invariant: str, text: str) -> None:
        self.tier.log_event(f"VIOLATION {invariant}: {text}")
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(InvariantViolation(self.tier.now, invariant, text))
