"""Tests that a node keeps serving while a zone of 7,778 of 70,000 backends is removed and returns cold."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from types import FrameType
from typing import cast

import pytest

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.net import endpoint_updater
from balancer.net.connection_pool import ConnectionPool
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.endpoint_updater import EndpointUpdater
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory
from balancer.policy import Balancer
from balancer.sim.scheduler import EventScheduler
from tests.helpers import BASE, OverloadBudgetChecker, RuleChecker
from tests.helpers import member as listed_at

REQUEST_INTERVAL_MS = 1000.0 * size.NODES / size.PEAK_PER_S  # A node gets 193 requests per second.
RESPONSE_MS = 4.0
STEP_INTERVAL_MS = 1.5  # Steps of a list update, including the pauses between them, start every 1.5 ms.
AWAY_MS, BACK_MS = 1_000.0, 1_000.0  # The zone is away for 1 s, and its return must be applied within 1 s.
# The list without the zone also has 300 backends of other zones that drain, and 300 new ones.
CHANGED_BACKENDS = 300
# A step may make 7,000 calls of Python or C functions; a loop over the whole list would make more.
MAX_CALLS_PER_STEP = size.BACKENDS // 10
SETTINGS = replace(
    BASE,
    zone="z0",
    node_count=size.NODES,
    node_index=7,
    charges=api.Charges(cross_zone=0.1),
    slow_start_ms=60_000.0,
)
CAPACITY_PER_S = size.PEAK_PER_S / size.BACKENDS  # Backends can serve just their share of the planned peak.
ORDER = GONE, DRAINING, UP = (
    api.EndpointPhase.REMOVED,
    api.EndpointPhase.DRAINING,
    api.EndpointPhase.IN_SERVICE,
)


@pytest.fixture(scope="module")
def full_list() -> list[Member]:
    """Return the complete list of warm backends in nine zones."""
    return [member(generated_inputs.entry(number)) for number in range(size.BACKENDS)]


def member(entry: api.Endpoint) -> Member:
    return listed_at(entry, "127.0.0.1:9")


class NodeSimulation(EventScheduler):
    """One node's list updater, connection pool and decision module on a virtual clock."""

    def __init__(self) -> None:
        super().__init__(generated_inputs.START_MS)
        self.balancer, self.checker = Balancer(SETTINGS, 3), RuleChecker(SETTINGS)
        self.budget = OverloadBudgetChecker(SETTINGS, CAPACITY_PER_S)
        # Backends get numbers in the order of their first attempts; five in a row form a group.
        self.backend_numbers: dict[str, int] = {}
        pool = ConnectionPool(SETTINGS, 1, RequestStatistics(), StreamMemory(192.0))
        self.updater = EndpointUpdater(
            pool, self.entries_reported, self.list_applied, cast(CooperativeScheduler, self)
        )
        self.number = self.refused = 0
        self.reported_phases: dict[str, api.EndpointPhase] = {}
        self.batches: list[Counter[api.EndpointPhase]] = []
        self.attempts_by_zone = Counter[str]()
        self.calls_by_step = [0]
        self.revisions_in_force: list[int] = []
        self.steps: Iterator[None] | None = None

    # --- Updates of the list

    def add(self, steps: Iterator[None]) -> None:
        """Schedule the steps of a list update, in place of the node's CooperativeScheduler."""
        self.at(self.now + STEP_INTERVAL_MS, partial(self.run_step, steps))

    def run_step(self, steps: Iterator[None]) -> None:
        def count(frame: FrameType, event: str, arg: object) -> None:
            self.calls_by_step[-1] += event in ("call", "c_call")

        batches_before = len(self.batches)
        # Calls are not counted for the first list, which is applied before the node serves.
        if self.revisions_in_force:
            self.calls_by_step.append(0)
            sys.setprofile(count)
        more = next(steps, self) is not self
        sys.setprofile(None)
        assert len(self.batches) <= batches_before + 1
        if more:
            self.add(steps)

    def entries_reported(self, event: api.ListUpdate) -> None:
        self.batches.append(Counter(entry.phase for entry in event.entries))
        self.reported_phases.update((entry.backend, entry.phase) for entry in event.entries)
        self.handle_event(event)

    def list_applied(self, update: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        assert update is not None
        self.revisions_in_force.append(update.revision)

    def put(self, revision: int, members: list[Member]) -> None:
        self.updater.put(EndpointUpdate(revision, True, tuple(members)), api.ListUpdateKind.SNAPSHOT)

    # --- Requests and attempts

    def handle_event(self, event: api.Event) -> None:
        self.checker.event(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.checker.actions(self.now, actions)
        for action in actions:
            match action:
                case api.StartAttempt():
                    self.attempt_started(action)
                case api.SetTimer():
                    self.at(action.fires_at, partial(self.handle_event, api.TimerFired(action.token)))
                case api.RejectRequest() | api.FailRequest():
                    self.refused += 1

    def attempt_started(self, send: api.StartAttempt) -> None:
        assert self.reported_phases[send.backend] is UP and send.backend in self.updater.pool.members
        entry = self.balancer.index.records[send.backend].entry
        self.attempts_by_zone[entry.zone] += 1
        # Five nodes send to each backend and draw independently, so the attempts of one node on five backends
        # stand for those of five nodes on one backend. The overload budget applies to that sum and allows for
        # random variation.
        backend_number = self.backend_numbers.setdefault(entry.backend, len(self.backend_numbers))
        self.budget.send(self.now, replace(entry, backend=f"{backend_number // size.NODES_PER_ENDPOINT}"))
        attempt = len(self.checker.requests[send.request].attempts) - 1
        ok = api.AttemptEnded(send.request, attempt, send.backend, api.AttemptStatus.OK, RESPONSE_MS, True)
        self.at(self.now + RESPONSE_MS, partial(self.handle_event, ok))

    def load(self, until: float) -> None:
        """Send a request every REQUEST_INTERVAL_MS until the given time."""
        while self.now < until:
            self.run(self.now + REQUEST_INTERVAL_MS)
            name = ("read", "pay", "once")[self.number % 3]
            self.handle_event(api.RequestArrived(f"r{self.number}", name, self.now + 1000.0))
            self.number += 1


def is_removal_first(batches: list[Counter[api.EndpointPhase]]) -> bool:
    """Return whether removed entries were reported before draining ones, and those before the others."""
    order = [phase for batch in batches for phase in ORDER if batch[phase]]
    return order == sorted(order, key=ORDER.index)


@pytest.mark.parametrize("zone", ["z0", "z1"], ids=["own", "other"])
async def test_zone_is_lost_and_returns_cold_within_2_s_at_full_size(
    full_list: list[Member], zone: str
) -> None:
    """No request may fail: other zones must take the load that the cold zone cannot take yet."""
    simulation = NodeSimulation()
    simulation.put(1, full_list)
    simulation.run(simulation.now + 10_000.0)
    assert simulation.revisions_in_force == [1] and len(simulation.balancer.index.order) == size.BACKENDS
    simulation.load(simulation.now + 1_000.0)
    before_loss = simulation.attempts_by_zone.copy()
    assert before_loss["z0"] > 0 and not simulation.refused

    # The zone is removed; the same list has other backends that drain and some that are new.
    begin, simulation.batches, simulation.calls_by_step = simulation.now, [], [0]
    lost = [m.backend for m in full_list if m.zone == zone]
    assert len(lost) == round(size.BACKENDS / size.ZONES)
    rest = [m for m in full_list if m.zone != zone]
    drain = [replace(m, phase=DRAINING) for m in rest[:CHANGED_BACKENDS]]
    numbers = (n for n in range(size.BACKENDS, 2 * size.BACKENDS) if generated_inputs.zone_name(n) != zone)
    new = [member(generated_inputs.entry(next(numbers))) for _ in range(CHANGED_BACKENDS)]
    simulation.put(2, [*new, *drain, *rest[CHANGED_BACKENDS:]])
    while simulation.revisions_in_force != [1, 2]:
        simulation.load(simulation.now + REQUEST_INTERVAL_MS)
    assert simulation.now < begin + AWAY_MS
    assert is_removal_first(simulation.batches)
    assert sum(simulation.batches, Counter()) == {
        GONE: len(lost),
        DRAINING: CHANGED_BACKENDS,
        UP: CHANGED_BACKENDS,
    }
    assert len(simulation.balancer.index.order) == size.BACKENDS - len(lost)
    before = simulation.attempts_by_zone[zone]
    simulation.load(begin + AWAY_MS)
    # The other zones take all requests.
    assert simulation.attempts_by_zone[zone] == before and not simulation.refused
    assert simulation.attempts_by_zone.total() == simulation.number

    # The zone returns cold; the draining backends are in service again and the new ones are removed.
    removal_batches, simulation.batches = simulation.batches, []
    cold = [replace(m, started_at=simulation.now) if m.zone == zone else m for m in full_list]
    simulation.put(3, cold)
    while simulation.revisions_in_force != [1, 2, 3]:
        simulation.load(simulation.now + REQUEST_INTERVAL_MS)
    assert simulation.now < begin + AWAY_MS + BACK_MS
    assert sum(simulation.batches, Counter()) == {GONE: CHANGED_BACKENDS, UP: len(lost) + CHANGED_BACKENDS}
    assert is_removal_first(simulation.batches)
    assert len(simulation.balancer.index.order) == size.BACKENDS
    simulation.load(begin + AWAY_MS + BACK_MS + 2_000.0)
    simulation.run(simulation.now + 2_000.0)

    # No step exceeds its limit of entries and calls, no backend its budget, and each request gets a response.
    assert (
        max(batch.total() for batch in removal_batches + simulation.batches) == endpoint_updater.BATCH_ENTRIES
    )
    assert max(simulation.calls_by_step) <= MAX_CALLS_PER_STEP
    assert simulation.budget.worst() <= 1.0
    assert simulation.attempts_by_zone.total() == simulation.number and not simulation.refused
    assert not simulation.balancer.requests.by_id and not simulation.checker.overdue(simulation.now)
