"""Performs the actions of a simulated tier's recovery cores: datagrams, writes, bans, list requests."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from balancer.recovery import actions, events
from balancer.recovery.phases import Phase
from balancer.sim.recovery_disks import Record, shift_times
from balancer.sim.recovery_process import EnteredPhase, OperatorRequest, Process

if TYPE_CHECKING:
    from balancer.sim.recovery_world import Tier


class ActionRunner:
    """Performs the actions that the nodes' recovery cores return.

    `handled_token` is the token of the event that a core is handling, 0 if the event has none.
    """

    def __init__(self, tier: Tier, write_ms: tuple[float, float]) -> None:
        """Create the runner; `write_ms` is the range of the duration of a write."""
        self.sync_failure_rate = 0.0
        self.sent_by_second: Counter[int] = Counter()
        self.handled_token = 0
        self._tier = tier
        self._write_ms = write_ms
        self._written_until = [0.0] * tier.count

    def run(self, node: int, process: Process, action: actions.Action) -> None:
        """Perform an action that a node's recovery core has returned."""
        tier = self._tier
        number = tier.hosts[node].process_number
        match action:
            case actions.SendDatagram():
                self.sent_by_second[int(tier.now / 1000)] += 1
                tier.send_datagram(node, action.node, action.data)
            case actions.PersistEntries():
                process.unfinished_writes[action.token] += 1
                self._write(node, number, action)
            case actions.ApplyBan():
                self._apply(process, action)
            case actions.RequestList():
                answered = partial(self.list_answered, node, number)
                tier.discovery.call(answered, partial(self.list_failed, node, number))
            case actions.RestrictSavedList():
                process.restricted_ids = action.ids
                if tier.observer is not None:
                    tier.observer.list_restricted(node, action.ids)
            case actions.PhaseEntered():
                self._enter(node, process, action)
            case actions.CapacityGranted():
                process.capacity = action

    def list_answered(self, node: int, number: int) -> None:
        """Deliver discovery's list to a node if its process `number` still runs."""
        tier = self._tier
        process = tier.processes[node]
        if process is None or tier.hosts[node].process_number != number:
            return
        disk = tier.disks[node]
        disk.revision = tier.discovery.revision
        disk.saved_ids = tuple(tier.backends)
        process.listed_starts = {name: backend.start for name, backend in tier.backends.items()}
        process.restricted_ids = frozenset()
        # Discovery sends start times by the wall clock, which is off on each node.
        offset = tier.hosts[node].clock_offset + tier.wall_offsets[node]
        starts = tuple(start + offset for start in process.listed_starts.values())
        event = events.ListReceived(tier.discovery.revision, starts, tuple(tier.backends))
        tier.handle_event(node, event)

    def list_failed(self, node: int, number: int) -> None:
        """Report a failed request to discovery to a node if its process `number` still runs."""
        if self._tier.hosts[node].process_number == number:
            self._tier.handle_event(node, events.ListRequestFailed())

    def _enter(self, node: int, process: Process, action: actions.PhaseEntered) -> None:
        tier = self._tier
        phase = action.phase.name.lower()
        tier.log_event(f"n{node} phase {phase}, path {action.path.value}: {action.reason}")
        if action.phase is Phase.ASK:
            process.survey_began_at = tier.now
        if tier.observer is not None:
            tier.observer.phase_entered(node, action)
        process.phases.append(EnteredPhase(tier.now, action.phase, action.path))
        process.phase = action.phase

    def _apply(self, process: Process, action: actions.ApplyBan) -> None:
        if action.banned:
            process.banned.add(action.backend)
        else:
            process.banned.discard(action.backend)
        request = process.pending.get(self.handled_token)
        if request is not None and (request.backend, request.banned) == (action.backend, action.banned):
            self._answer(process, request)

    def _answer(self, process: Process, request: OperatorRequest) -> None:
        del process.pending[request.token]
        self._tier.log_event(f"n{request.node} acknowledges: {request.description}")
        if self._tier.observer is not None:
            self._tier.observer.answered(request)

    def _write(self, node: int, number: int, action: actions.PersistEntries) -> None:
        """Schedule a write of entries after the node's earlier writes, as a single thread makes them."""
        tier = self._tier
        begins = max(self._written_until[node], tier.now)
        self._written_until[node] = begins + tier.tier_random.uniform(*self._write_ms)
        written = partial(self._written, node, number, action.entries, action.token)
        tier.at(self._written_until[node], written)

    def _written(self, node: int, number: int, entries: Record, token: int | None) -> None:
        tier = self._tier
        process = tier.processes[node]
        disk = tier.disks[node]
        if process is None or tier.hosts[node].process_number != number:
            return
        process.unfinished_writes[token] -= 1
        if token is not None and tier.tier_random.random() < self.sync_failure_rate:
            tier.handle_event(node, events.WriteCompleted(token, False))
            process.pending.pop(token, None)
            return
        if entries:
            disk.unsynced.append(
                shift_times(entries, tier.wall_offsets[node] - tier.hosts[node].clock_offset)
            )
        disk.written_at = tier.now + tier.wall_offsets[node]
        if token is None:
            return
        disk.sync()
        tier.handle_event(node, events.WriteCompleted(token, True))
        # A request that changed no entry is answered here, as no ban is applied for it.
        if token in process.pending and not process.unfinished_writes[token]:
            self._answer(process, process.pending[token])
